//! Reads request bodies up to the limit of the process settings.

use std::fmt::{self, Display, Formatter};
use std::ops::Deref;
use std::sync::Arc;

use futures_util::StreamExt;
use ntex::http::{Payload, header::CONTENT_LENGTH};
use ntex::util::{Bytes, BytesMut};
use ntex::web::{DefaultError, FromRequest, HttpRequest, HttpResponse, WebResponseError};
use sill_base::Name;
use sill_net::http::Failure;
use sill_wire::ErrorCode;

use crate::daemon::Shared;

/// The complete body of a request.
#[derive(Debug, Clone)]
pub struct Body(pub Bytes);

/// Why a body was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// It ended early, or can't be decoded.
    Unreadable,
}

impl FromRequest<DefaultError> for Body {
    type Error = BodyError;

    async fn from_request(req: &HttpRequest, payload: &mut Payload) -> Result<Self, BodyError> {
        let limit = req.app_state::<Arc<Shared>>().map_or(0, |app| app.cfg.max_body);
        let content_length = req.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
        // A too large `Content-Length` is refused before any of the body is read.
        if content_length.and_then(|n| n.parse::<u64>().ok()).is_some_and(|n| n > limit as u64) {
            return Err(BodyError::TooLarge { limit });
        }
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| BodyError::Unreadable)?;
            if body.len() + chunk.len() > limit {
                return Err(BodyError::TooLarge { limit });
            }
            body.extend_from_slice(&chunk);
        }
        Ok(Self(body.freeze()))
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl Display for BodyError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { limit } => write!(f, "body: larger than the limit of {limit} bytes"),
            Self::Unreadable => f.write_str("body: it ended early or can't be decoded"),
        }
    }
}

impl WebResponseError<DefaultError> for BodyError {
    fn error_response(&self, req: &HttpRequest) -> HttpResponse {
        let code = match self {
            Self::TooLarge { .. } => ErrorCode::TooLarge,
            Self::Unreadable => ErrorCode::BadRequest,
        };
        let id = req.app_state::<Arc<Shared>>().map_or(Name::default(), |app| app.request_id());
        // The handler has not run, so no byte can have been sent to an endpoint.
        Failure { not_run: true, ..Failure::new(code, self.to_string()) }.response(&id)
    }
}
