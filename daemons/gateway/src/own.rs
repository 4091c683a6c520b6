//! The product's own headers.

use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use sill_base::{Millis, Name};
use sill_wire::header as names;

use crate::dialect::{CallHead, Dialect, Forward, ReportedLoad, Word};
use crate::failure::Failure;

/// Reads and writes the headers that docs/operators/routes.md lists.
#[derive(Debug, Clone, Copy)]
pub struct SillDialect;

impl Dialect for SillDialect {
    fn read(&self, parts: &Parts) -> CallHead {
        let headers = &parts.headers;
        let bearer = text(headers, "authorization").and_then(|value| value.strip_prefix("Bearer "));
        let deadline = text(headers, names::DEADLINE_MS).and_then(|value| value.parse().ok());
        CallHead {
            attempt: text(headers, names::REQUEST_ID).unwrap_or_default().into(),
            host: text(headers, "host").unwrap_or_default().into(),
            deadline: deadline.map(Millis),
            key: bearer.map(|key| key.trim().into()),
            prompt: None,
        }
    }

    fn forward(&self, headers: &mut HeaderMap, forward: &Forward<'_>) {
        headers.remove(header::AUTHORIZATION);
        headers.remove(names::ACCOUNT);
        set(headers, names::ENDPOINT, forward.endpoint);
        set(headers, names::DEADLINE_MS, &forward.left.to_string());
        if let Some(account) = forward.account {
            set(headers, names::ACCOUNT, account);
        }
        if let Some(id) = forward.last_event {
            set(headers, names::LAST_EVENT_ID, id);
        }
    }

    fn word(&self, attempt: &Name, status: StatusCode, headers: &HeaderMap) -> Word {
        let is_ours = text(headers, names::REQUEST_ID) == Some(attempt.as_str());
        let is_not_run = text(headers, names::NOT_RUN) == Some("true");
        match status.as_u16() {
            _ if !is_ours => Word::Improper,
            421 if is_not_run => Word::WrongEndpoint,
            429 | 503 if is_not_run => Word::Full,
            _ if is_not_run => Word::NotRun,
            500..=599 => Word::Failed,
            _ => Word::Answer,
        }
    }

    fn load(&self, _headers: &HeaderMap) -> Option<ReportedLoad> {
        None
    }

    fn failure(&self, headers: &mut HeaderMap, failure: &Failure) {
        if failure.is_not_run() {
            set(headers, names::NOT_RUN, "true");
        }
        if let Some(wait) = failure.retry_after {
            set(headers, names::RETRY_AFTER, &wait.0.div_ceil(1000).to_string());
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    // Names and numbers of ours are always fit for a header.
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
