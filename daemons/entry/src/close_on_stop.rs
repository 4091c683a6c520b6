//! Closes callers' connections during a stop, so that they reconnect to another instance.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use ntex::SharedCfg;
use ntex::http::ConnectionType;
use ntex::service::{Middleware, Service, ServiceCtx};
use ntex::web::{WebRequest, WebResponse};

use crate::daemon::Shared;

/// Middleware that closes connections with each answer during a stop.
///
/// On a kept-alive connection the caller would send its next request to this instance too. It would
/// be refused, or arrive as the process ends, and the caller would not know whether it has run.
#[derive(Debug, Clone)]
pub struct CloseOnStop(pub Arc<Shared>);

/// The service that [`CloseOnStop`] wraps around another one.
#[derive(Debug)]
pub struct CloseOnStopService<S> {
    inner: S,
    app: Arc<Shared>,
}

impl<S> Middleware<S, SharedCfg> for CloseOnStop {
    type Service = CloseOnStopService<S>;

    fn create(&self, inner: S, _: SharedCfg) -> Self::Service {
        CloseOnStopService { inner, app: self.0.clone() }
    }
}

impl<S, E> Service<WebRequest<E>> for CloseOnStopService<S>
where
    S: Service<WebRequest<E>, Response = WebResponse>,
{
    type Error = S::Error;
    type Response = WebResponse;

    ntex::forward_poll!(inner);
    ntex::forward_ready!(inner);
    ntex::forward_shutdown!(inner);

    async fn call(
        &self,
        req: WebRequest<E>,
        cx: ServiceCtx<'_, Self>,
    ) -> Result<Self::Response, Self::Error> {
        let mut res = cx.call(&self.inner, req).await?;
        if self.app.is_stopping.load(Ordering::Relaxed) {
            res.response_mut().head_mut().set_connection_type(ConnectionType::Close);
        }
        Ok(res)
    }
}
