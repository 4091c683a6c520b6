//! Small texts for balancers and whoever reads metrics.

use std::sync::Arc;

use http::{Response, StatusCode};
use sill_base::Millis;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::h1::full_body;
use crate::h1::server::{ServerCfg, ServerPhase, serve};

/// Bounds of such a server: its callers ask every second or so.
const CFG: ServerCfg = ServerCfg {
    max_header_bytes: 8 << 10,
    idle_timeout: Millis(30_000),
    unacknowledged_timeout: Millis(10_000),
};

/// A page.
#[derive(Debug, Clone)]
pub struct Page {
    /// Its status.
    pub status: StatusCode,
    /// Its text.
    pub text: Vec<u8>,
}

impl Page {
    /// Makes a page.
    pub fn new<T>(status: StatusCode, text: T) -> Self
    where
        T: Into<Vec<u8>>,
    {
        Self { status, text: text.into() }
    }
}

/// Serves the pages that `page` makes of paths, until the task is dropped.
pub async fn serve_pages<F>(listener: TcpListener, page: F)
where
    F: Fn(&str) -> Page + Clone + Send + Sync + 'static,
{
    let (_never, stop) = watch::channel(ServerPhase::Serving);
    let answer = move |req: http::Request<hyper::body::Incoming>, _| {
        let Page { status, text } = page(req.uri().path());
        async move {
            let mut response = Response::new(full_body(text));
            *response.status_mut() = status;
            response
        }
    };
    serve(listener, CFG, stop, Arc::default(), answer).await;
}
