//! Answers of the entry instance's own.

use http::{HeaderValue, Response, StatusCode, header};
use sill_base::{Millis, Name};
use sill_net::h1::{AnyBody, whole};
use sill_wire::{ErrorBody, ErrorCode, ErrorDetail};

use crate::dialect::Dialect;
use crate::state::State;

/// Why a call has no answer of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Why.
    pub code: ErrorCode,
    /// When the caller may come back.
    pub retry_after: Option<Millis>,
}

impl Failure {
    /// Makes a failure that names no time to come back.
    pub const fn new(code: ErrorCode) -> Self {
        Self { code, retry_after: None }
    }

    /// Makes a failure after which the caller may come back.
    pub const fn with_retry_after(code: ErrorCode, retry_after: Millis) -> Self {
        Self { code, retry_after: Some(retry_after) }
    }

    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Returns whether the call has certainly not run.
    pub const fn is_not_run(&self) -> bool {
        !matches!(self.code, ErrorCode::UpstreamFailed | ErrorCode::DeadlinePassed)
    }

    /// Makes the answer to a call; where the entry instance stops, the last one on its connection. On the
    /// same connection the caller would come back to this instance.
    pub fn to_response(&self, state: &State, attempt: &Name) -> Response<AnyBody> {
        let mut response = self.build_response(&*state.cfg.dialect, attempt);
        if state.planned_stop.has_begun() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn build_response(&self, dialect: &dyn Dialect, attempt: &Name) -> Response<AnyBody> {
        let detail = ErrorDetail {
            code: self.code,
            message: format!("{:?}", self.code),
            request_id: attempt.clone(),
            not_run: self.is_not_run(),
            findings: Vec::new(),
        };
        let body = serde_json::to_vec(&ErrorBody { error: detail }).unwrap_or_default();
        let mut response = Response::new(whole(body));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        dialect.failure(headers, self);
        response
    }
}
