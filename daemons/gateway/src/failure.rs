//! Error responses of the entry instance itself.

use http::{HeaderValue, Response, StatusCode, header};
use sill_base::{Millis, Name};
use sill_net::h1::{AnyBody, full_body};
use sill_wire::{ErrorBody, ErrorCode, ErrorDetail};

use crate::dialect::Dialect;
use crate::state::State;

/// The reason why a call gets no answer from an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The error code, which determines the status.
    pub code: ErrorCode,
    /// The time after which the caller may retry; none if it is unknown.
    pub retry_after: Option<Millis>,
}

impl Failure {
    /// Creates a failure without a retry time.
    pub const fn new(code: ErrorCode) -> Self {
        Self { code, retry_after: None }
    }

    /// Creates a failure after which the caller may retry.
    pub const fn with_retry_after(code: ErrorCode, retry_after: Millis) -> Self {
        Self { code, retry_after: Some(retry_after) }
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    /// Returns whether the call is known not to have run.
    pub const fn is_not_run(&self) -> bool {
        !matches!(self.code, ErrorCode::UpstreamFailed | ErrorCode::DeadlinePassed)
    }

    /// Builds the response to a call. During a stop it is the last one on its connection: on the
    /// same connection the caller would retry at this instance.
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
        let mut response = Response::new(full_body(body));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        dialect.failure(headers, self);
        response
    }
}
