//! A server of small text pages, such as readiness and metrics.

use std::sync::Arc;

use http::{Response, StatusCode};
use sill_base::Millis;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::h1::full_body;
use crate::h1::server::{ServerCfg, ServerPhase, serve};

/// Bounds of a page server. Load balancers and metrics collectors request about once a second.
const CFG: ServerCfg = ServerCfg {
    max_header_bytes: 8 << 10,
    idle_timeout: Millis(30_000),
    unacknowledged_timeout: Millis(10_000),
};

/// A text page and its status code.
#[derive(Debug, Clone)]
pub struct Page {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The body of the response.
    pub text: Vec<u8>,
}

impl Page {
    /// Creates a page from a status code and a text.
    pub fn new<T>(status: StatusCode, text: T) -> Self
    where
        T: Into<Vec<u8>>,
    {
        Self { status, text: text.into() }
    }
}

/// Serves the page that `page` returns for the path of each request, until the future is dropped.
pub async fn serve_pages<F>(listener: TcpListener, page: F)
where
    F: Fn(&str) -> Page + Clone + Send + Sync + 'static,
{
    let (_phase_tx, phase) = watch::channel(ServerPhase::Serving);
    let handler = move |req: http::Request<hyper::body::Incoming>, _| {
        let Page { status, text } = page(req.uri().path());
        async move {
            let mut response = Response::new(full_body(text));
            *response.status_mut() = status;
            response
        }
    };
    serve(listener, CFG, phase, Arc::default(), handler).await;
}
