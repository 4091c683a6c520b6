//! The product's own header format.

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderName, Request, StatusCode, header};
use http_body_util::Full;
use sill_base::{Millis, Name};
use sill_wire::header as names;

use crate::dialect::{
    AnswerClass, CallHead, Dialect, Forward, InvalidLimit, LoadReport, get, load_report,
    request_limit, set, text,
};
use crate::failure::Failure;

/// A name that no endpoint has.
const NO_ENDPOINT: &str = "-";

/// Reads and writes the headers that docs/operators/routes.md lists.
#[derive(Debug, Clone, Copy)]
pub struct SillDialect;

impl Dialect for SillDialect {
    fn read(&self, parts: &Parts) -> CallHead {
        let headers = &parts.headers;
        let bearer =
            text(headers, &name("authorization")).and_then(|value| value.strip_prefix("Bearer "));
        let deadline =
            text(headers, &name(names::DEADLINE_MS)).and_then(|value| value.parse().ok());
        CallHead {
            attempt: text(headers, &name(names::REQUEST_ID)).unwrap_or_default().into(),
            host: text(headers, &name("host")).unwrap_or_default().into(),
            deadline: deadline.map(Millis),
            key: bearer.map(|key| key.trim().into()),
            prompt: None,
            last_event: text(headers, &name(names::LAST_EVENT_ID)).map(Name::from),
            resumes: text(headers, &name(names::RESUMES)).map(Name::from),
        }
    }

    fn forward(&self, headers: &mut HeaderMap, forward: &Forward<'_>) {
        headers.remove(header::AUTHORIZATION);
        headers.remove(names::ACCOUNT);
        set(headers, name(names::ENDPOINT), forward.endpoint);
        set(headers, name(names::DEADLINE_MS), &forward.time_left.to_string());
        if let Some(account) = forward.account {
            set(headers, name(names::ACCOUNT), account);
        }
        if let Some(id) = forward.last_event {
            set(headers, name(names::LAST_EVENT_ID), id);
        }
    }

    fn classify(&self, attempt: &Name, status: StatusCode, headers: &HeaderMap) -> AnswerClass {
        let is_ours = text(headers, &name(names::REQUEST_ID)) == Some(attempt.as_str());
        let is_not_run = text(headers, &name(names::NOT_RUN)) == Some("true");
        match status.as_u16() {
            _ if !is_ours => AnswerClass::Improper,
            421 if is_not_run => AnswerClass::WrongEndpoint,
            429 | 503 if is_not_run => AnswerClass::Full,
            _ if is_not_run => AnswerClass::NotRun,
            500..=599 => AnswerClass::Failed,
            _ => AnswerClass::Answer,
        }
    }

    fn load(&self, headers: &HeaderMap) -> LoadReport {
        load_report(headers, &name(names::LOAD))
    }

    fn rejection_bound(&self, headers: &HeaderMap) -> Option<u32> {
        text(headers, &name(names::REJECTION_BOUND))?.parse().ok()
    }

    fn request_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, InvalidLimit> {
        request_limit(headers, &name(names::REQUEST_LIMIT))
    }

    fn is_leaving(&self, headers: &HeaderMap) -> bool {
        text(headers, &name(names::LEAVING)) == Some("true")
    }

    fn ping(&self, path: &str, time_left: Millis) -> Option<Request<Full<Bytes>>> {
        let mut req = get(path, "endpoint")?;
        set(req.headers_mut(), name(names::ENDPOINT), NO_ENDPOINT);
        set(req.headers_mut(), name(names::DEADLINE_MS), &time_left.to_string());
        Some(req)
    }

    fn is_ping_reply(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        let is_not_run = text(headers, &name(names::NOT_RUN)) == Some("true");
        is_not_run || status == StatusCode::MISDIRECTED_REQUEST || status.is_success()
    }

    fn failure(&self, headers: &mut HeaderMap, failure: &Failure) {
        if failure.is_not_run() {
            set(headers, name(names::NOT_RUN), "true");
        }
        if let Some(wait) = failure.retry_after {
            set(headers, name(names::RETRY_AFTER), &wait.0.div_ceil(1000).to_string());
        }
    }
}

const fn name(text: &'static str) -> HeaderName {
    HeaderName::from_static(text)
}
