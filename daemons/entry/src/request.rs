//! Checks callers' requests and parses the headers and body fields that the system uses.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use ntex::http::HeaderMap;
use ntex::web::HttpRequest;
use serde_json::Value;
use sill_base::{Findings, Millis, Name};
use sill_net::http::Failure;
use sill_tree::document::CallRule;
use sill_tree::{EffectiveAccount, EffectiveService, EffectiveSettings, KeyHash, Service};
use sill_wire::chat::ChatSummary;
use sill_wire::claim::BodyHash;
use sill_wire::handoff::ReplyHeader;
use sill_wire::{ErrorCode, Priority, header};

use crate::daemon::Shared;
use crate::serve::headers::forwardable_headers;

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// A checked request to a model.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// Fields that every request has.
    pub meta: RequestMeta,
    /// The fields of the body that the system uses.
    pub summary: ChatSummary,
    /// The path that was called.
    pub path: String,
    /// The body as the caller sent it.
    pub body: Value,
    /// Index of the first token that a re-attaching caller has not received; 0 for a new request.
    pub start_index: u32,
}

/// A checked call of a plain service.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// Fields that every request has.
    pub meta: RequestMeta,
    /// The HTTP method.
    pub method: ntex::http::Method,
    /// Name of the plain service.
    pub service: Name,
    /// Path and query below the service, starting with `/`.
    pub path: String,
    /// The caller's headers that are forwarded.
    pub headers: Vec<ReplyHeader>,
    /// The body, forwarded unchanged.
    pub body: ntex::util::Bytes,
}

/// Fields that every request has.
#[derive(Debug, Clone)]
pub struct RequestMeta {
    /// The client account that the `Authorization` header names.
    pub account: Arc<EffectiveAccount>,
    /// The caller's idempotency key, the same in every resend of the request.
    pub key: Option<Name>,
    /// Whether the request may be run more than once.
    pub is_idempotent: bool,
    /// The priority, limited to the maximum of the client account.
    pub priority: Priority,
    /// Time within which the complete answer has to be sent.
    pub deadline: Option<Millis>,
    /// Hash of method, path and body.
    pub content_hash: BodyHash,
}

/// Checks a request to a model.
///
/// # Errors
///
/// Returns the refusal; nothing was sent to an endpoint.
pub fn chat(app: &Shared, req: &HttpRequest, body: &[u8]) -> Result<ChatRequest, Failure> {
    check_running(app)?;
    let settings = app.settings.current();
    let account = find_account(&settings, req.headers())?;
    let content_hash = content_hash(req.method().as_str(), req.path(), body);
    let body: Value = serde_json::from_slice(body)
        .map_err(|err| Failure::new(ErrorCode::BadRequest, format!("body: not JSON: {err}")))?;
    let mut findings = Findings::new();
    let summary = ChatSummary::read(&body).map_err(|found| findings.extend(found)).ok();
    let meta = read_meta(req.headers(), account, content_hash, &mut findings);
    let last_event_id = parse_header(req.headers(), header::LAST_EVENT_ID, &mut findings, |text| {
        text.parse::<u32>().map_err(|_| "expected the id of the last event that came")
    });
    let (Some(summary), true) = (summary, findings.is_empty()) else {
        return Err(bad_request(findings));
    };
    let is_model = |s: &EffectiveService| matches!(s.kind, Service::Model { .. });
    let service = find_service(&settings, &meta.account, &summary.model, is_model)?;
    let deadline = meta.deadline.or(service.deadline);
    let meta = RequestMeta { deadline, ..meta };
    let start_index = last_event_id.map_or(0, |id| id.saturating_add(1));
    Ok(ChatRequest { meta, summary, path: req.path().to_owned(), body, start_index })
}

/// Checks a call of a plain service.
///
/// # Errors
///
/// Returns the refusal; nothing was sent to an endpoint.
pub fn plain(
    app: &Shared,
    req: &HttpRequest,
    name: &Name,
    decoded_path: &str,
    body: ntex::util::Bytes,
) -> Result<PlainRequest, Failure> {
    check_running(app)?;
    let settings = app.settings.current();
    let account = find_account(&settings, req.headers())?;
    let mut path = path_below_service(req.uri().path());
    // The query is part of the content: calls that differ only in it are different calls.
    let target = req.uri().path_and_query().map_or(req.path(), |target| target.as_str());
    let content_hash = content_hash(req.method().as_str(), target, &body);
    let mut findings = Findings::new();
    let mut meta = read_meta(req.headers(), account, content_hash, &mut findings);
    if !findings.is_empty() {
        return Err(bad_request(findings));
    }
    let is_plain = |s: &EffectiveService| matches!(s.kind, Service::Plain { .. });
    let service = find_service(&settings, &meta.account, name, is_plain)?;
    if let Service::Plain { non_idempotent, .. } = &service.kind {
        meta.is_idempotent &=
            !is_non_idempotent(non_idempotent, req.method().as_str(), &path, decoded_path);
    }
    meta.deadline = meta.deadline.or(service.deadline);
    if !req.query_string().is_empty() {
        path.push('?');
        path.push_str(req.query_string());
    }
    let headers = req.headers().iter().map(|(name, value)| (name.as_str(), value.to_str().ok()));
    let headers = forwardable_headers(headers);
    let method = req.method().clone();
    Ok(PlainRequest { meta, method, service: name.clone(), path, headers, body })
}

/// Returns the path below `/s/SERVICE` without decoding it.
fn path_below_service(path: &str) -> String {
    let rest = path.trim_start_matches('/').splitn(3, '/').nth(2).unwrap_or_default();
    format!("/{}", rest.trim_start_matches('/'))
}

/// Returns whether a call is non-idempotent by the service's rules.
///
/// A service may treat `/x/../send`, `//send` or `/%73end` as `/send`. If such a call did not match
/// the rule, a lost answer would repeat it; so an ambiguous path matches every rule for its method.
fn is_non_idempotent(rules: &[CallRule], method: &str, path: &str, decoded: &str) -> bool {
    let decoded = format!("/{}", decoded.trim_start_matches('/'));
    let is_ambiguous = ["//", "/./", "/../"].iter().any(|part| decoded.contains(part))
        || decoded.ends_with("/..")
        || decoded.contains('%');
    let matches = |rule: &CallRule| {
        rule.matches(method, path)
            || rule.matches(method, &decoded)
            || (is_ambiguous && rule.matches(method, &rule.path))
    };
    rules.iter().any(matches)
}

/// Looks up the client account by the key in the `Authorization` header.
///
/// # Errors
///
/// Returns the refusal when the key is missing or unknown.
pub fn find_account(
    settings: &EffectiveSettings,
    headers: &HeaderMap,
) -> Result<Arc<EffectiveAccount>, Failure> {
    let Some(key) = header_text(headers, "authorization").and_then(|h| h.strip_prefix("Bearer "))
    else {
        return Err(Failure::new(ErrorCode::Unauthorized, "Authorization: expected `Bearer KEY`"));
    };
    let account = settings.accounts.get(&KeyHash::of(key.trim()));
    account.cloned().ok_or_else(|| Failure::new(ErrorCode::Unauthorized, "unknown key"))
}

fn check_running(app: &Shared) -> Result<(), Failure> {
    // `is_stopping` is not checked: during the notice of a planned stop the load balancer still
    // sends requests, and they are served.
    if app.is_closing.load(Ordering::Relaxed) || app.is_reclaimed.load(Ordering::Relaxed) {
        return Err(Failure {
            retry_after: Some(1),
            ..Failure::new(ErrorCode::Stopping, "stopping")
        });
    }
    Ok(())
}

fn find_service(
    settings: &EffectiveSettings,
    account: &EffectiveAccount,
    name: &Name,
    is_kind: impl Fn(&EffectiveService) -> bool,
) -> Result<Arc<EffectiveService>, Failure> {
    let service = settings.services.get(name);
    let usable = service.filter(|s| is_kind(s) && EffectiveSettings::may_use(account, s));
    usable.cloned().ok_or_else(|| {
        let message = format!("{name:?} is not served to this client account");
        Failure::new(ErrorCode::NotFound, message)
    })
}

fn read_meta(
    headers: &HeaderMap,
    account: Arc<EffectiveAccount>,
    content_hash: BodyHash,
    findings: &mut Findings,
) -> RequestMeta {
    let key = parse_header(headers, header::IDEMPOTENCY_KEY, findings, |text| {
        let is_valid = !text.is_empty() && text.len() <= MAX_KEY_BYTES && text.is_ascii();
        is_valid.then(|| Name::from(text)).ok_or("expected 1 to 255 ASCII characters")
    });
    let idempotent = parse_header(headers, header::IDEMPOTENT, findings, |text| {
        text.parse::<bool>().map_err(|_| "expected `true` or `false`")
    });
    let requested = parse_header(headers, header::PRIORITY, findings, |text| {
        Priority::parse(text).ok_or("expected `low`, `normal` or `high`")
    });
    let deadline = parse_header(headers, header::DEADLINE_MS, findings, |text| {
        let millis = text.parse().ok().filter(|ms| *ms > 0);
        millis.map(Millis).ok_or("expected a whole number of milliseconds")
    });
    let default = account.account.priority.as_deref().and_then(Priority::parse).unwrap_or_default();
    let highest =
        account.account.max_priority.as_deref().and_then(Priority::parse).unwrap_or(Priority::High);
    RequestMeta {
        account,
        key,
        is_idempotent: idempotent.unwrap_or(true),
        priority: requested.unwrap_or(default).min(highest),
        deadline,
        content_hash,
    }
}

fn parse_header<T, F>(
    headers: &HeaderMap,
    name: &str,
    findings: &mut Findings,
    parse: F,
) -> Option<T>
where
    F: FnOnce(&str) -> Result<T, &'static str>,
{
    let value = headers.get(name)?;
    match value.to_str().map_err(|_| "expected ASCII text").and_then(parse) {
        Ok(parsed) => Some(parsed),
        Err(reason) => {
            findings.add(name, reason);
            None
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn bad_request(findings: Findings) -> Failure {
    let message = findings.to_string();
    Failure { findings, ..Failure::new(ErrorCode::BadRequest, message) }
}

fn content_hash(method: &str, path: &str, body: &[u8]) -> BodyHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(method.as_bytes()).update(&[0]).update(path.as_bytes()).update(&[0]).update(body);
    BodyHash(hasher.finalize().to_hex().as_str().into())
}
