//! Converts errors of the HTTP library to the JSON format of all other error answers.
//!
//! Callers read `error.code`. An unknown path, a wrong method or a body over the limit is refused
//! by the library with a body of its own, before any handler of this crate runs.

use ntex::SharedCfg;
use ntex::http::body::Body;
use ntex::http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use ntex::service::{Middleware, Service, ServiceCtx};
use ntex::web::{WebRequest, WebResponse};
use sill_base::Name;
use sill_wire::{ErrorBody, ErrorCode, ErrorDetail, header};

/// Paths that load balancers probe. Their answers stay as they are, since only the status is read.
const PROBES: [&str; 2] = ["/livez", "/readyz"];

/// Middleware that converts errors without a request id. Every answer of this crate's handlers has
/// one, so the others come from the library.
#[derive(Debug, Clone, Copy, Default)]
pub struct ErrorFormat;

/// The service that [`ErrorFormat`] wraps around another one.
#[derive(Debug)]
pub struct ErrorFormatService<S> {
    inner: S,
}

impl<S> Middleware<S, SharedCfg> for ErrorFormat {
    type Service = ErrorFormatService<S>;

    fn create(&self, inner: S, _: SharedCfg) -> Self::Service {
        ErrorFormatService { inner }
    }
}

impl<S, E> Service<WebRequest<E>> for ErrorFormatService<S>
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
        let is_probe = PROBES.contains(&req.path());
        let mut res = cx.call(&self.inner, req).await?;
        let status = res.status().as_u16();
        let is_ours = res.headers().contains_key(header::REQUEST_ID);
        if is_probe || is_ours || status < 400 {
            return Ok(res);
        }
        let json = HeaderValue::from_static("application/json");
        res.headers_mut().insert(CONTENT_TYPE, json);
        let body = error_body(status);
        if body.error.not_run {
            let not_run = HeaderValue::from_static("true");
            res.headers_mut().insert(HeaderName::from_static(header::NOT_RUN), not_run);
        }
        let body = serde_json::to_vec(&body).unwrap_or_default();
        Ok(res.map_body(|_, _| Body::from(body).into()))
    }
}

fn error_body(status: u16) -> ErrorBody {
    let (code, message) = match status {
        404 => (ErrorCode::NotFound, "no such path"),
        405 => (ErrorCode::BadRequest, "the path has no such method"),
        408 => (ErrorCode::BadRequest, "the request did not come in time"),
        413 => (ErrorCode::TooLarge, "the body is larger than the limit"),
        400..500 => (ErrorCode::BadRequest, "the request can't be read"),
        _ => (ErrorCode::Internal, "a fault of the system itself"),
    };
    let detail = ErrorDetail {
        code,
        message: message.to_owned(),
        request_id: Name::default(),
        // The library refuses with 4xx before any handler runs, so nothing was sent to an endpoint.
        not_run: status < 500,
        findings: Vec::new(),
    };
    ErrorBody { error: detail }
}
