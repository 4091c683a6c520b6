//! Checks callers' requests and reads what the system has to know of them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use ntex::http::HeaderMap;
use ntex::web::HttpRequest;
use serde_json::Value;
use sill_base::{Findings, Millis, Name};
use sill_net::http::Failure;
use sill_tree::document::CallRule;
use sill_tree::{Effective, EffectiveAccount, EffectiveService, KeyHash, Service};
use sill_wire::chat::ChatSummary;
use sill_wire::claim::BodyHash;
use sill_wire::handoff::ReplyHeader;
use sill_wire::{ErrorCode, Priority, header};

use crate::daemon::Shared;
use crate::serve::headers::passed_headers;

/// The longest idempotency key, in bytes.
const MAX_KEY: usize = 255;

/// A checked request for a model's answer.
#[derive(Debug, Clone)]
pub struct ChatAsk {
    /// What holds for every request.
    pub common: CommonAsk,
    /// What the system needs to know of the body.
    pub summary: ChatSummary,
    /// The path that was called.
    pub path: String,
    /// The body as the caller sent it.
    pub body: Value,
    /// The first token that a caller who came back has not got.
    pub from: u32,
}

/// A checked call of a plain service.
#[derive(Debug, Clone)]
pub struct PlainAsk {
    /// What holds for every request.
    pub common: CommonAsk,
    /// The method.
    pub method: ntex::http::Method,
    /// The service.
    pub service: Name,
    /// Path and query below the service, starting with `/`.
    pub path: String,
    /// The caller's headers that are passed on.
    pub headers: Vec<ReplyHeader>,
    /// The body.
    pub body: ntex::util::Bytes,
}

/// What holds for every request.
#[derive(Debug, Clone)]
pub struct CommonAsk {
    /// The client account.
    pub account: Arc<EffectiveAccount>,
    /// The caller's key, which names the request over resends.
    pub key: Option<Name>,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Its priority, no higher than its account may ask for.
    pub priority: Priority,
    /// Time in which the whole answer is wanted.
    pub deadline: Option<Millis>,
    /// Hash of method, path and body.
    pub content: BodyHash,
}

/// Checks a request for a model's answer.
///
/// # Errors
///
/// Returns the refusal; nothing was sent anywhere then.
pub fn chat(app: &Shared, req: &HttpRequest, body: &[u8]) -> Result<ChatAsk, Failure> {
    check_running(app)?;
    let settings = app.settings.current();
    let account = account(&settings, req.headers())?;
    let content = content_hash(req.method().as_str(), req.path(), body);
    let body: Value = serde_json::from_slice(body)
        .map_err(|err| Failure::new(ErrorCode::BadRequest, format!("body: not JSON: {err}")))?;
    let mut findings = Findings::new();
    let summary = ChatSummary::read(&body).map_err(|found| findings.extend(found)).ok();
    let common = common(req.headers(), account, content, &mut findings);
    let last = read(req.headers(), header::LAST_EVENT_ID, &mut findings, |text| {
        text.parse::<u32>().map_err(|_| "expected the id of the last event that came")
    });
    let (Some(summary), true) = (summary, findings.is_empty()) else {
        return Err(bad_request(findings));
    };
    let is_model = |s: &EffectiveService| matches!(s.kind, Service::Model { .. });
    let service = service(&settings, &common.account, &summary.model, is_model)?;
    let deadline = common.deadline.or(service.deadline);
    let common = CommonAsk { deadline, ..common };
    let from = last.map_or(0, |last| last.saturating_add(1));
    Ok(ChatAsk { common, summary, path: req.path().to_owned(), body, from })
}

/// Checks a call of a plain service.
///
/// # Errors
///
/// Returns the refusal; nothing was sent anywhere then.
pub fn plain(
    app: &Shared,
    req: &HttpRequest,
    name: &Name,
    rest: &str,
    body: ntex::util::Bytes,
) -> Result<PlainAsk, Failure> {
    check_running(app)?;
    let settings = app.settings.current();
    let account = account(&settings, req.headers())?;
    let mut path = below_service(req.uri().path());
    // Two calls that differ in their query only are two calls.
    let target = req.uri().path_and_query().map_or(req.path(), |whole| whole.as_str());
    let content = content_hash(req.method().as_str(), target, &body);
    let mut findings = Findings::new();
    let mut common = common(req.headers(), account, content, &mut findings);
    if !findings.is_empty() {
        return Err(bad_request(findings));
    }
    let is_plain = |s: &EffectiveService| matches!(s.kind, Service::Plain { .. });
    let service = service(&settings, &common.account, name, is_plain)?;
    if let Service::Plain { non_idempotent, .. } = &service.kind {
        common.idempotent &= !is_marked(non_idempotent, req.method().as_str(), &path, rest);
    }
    common.deadline = common.deadline.or(service.deadline);
    if !req.query_string().is_empty() {
        path.push('?');
        path.push_str(req.query_string());
    }
    let headers = passed_headers(req.headers());
    let method = req.method().clone();
    Ok(PlainAsk { common, method, service: name.clone(), path, headers, body })
}

/// Returns the path below `/s/SERVICE` as the caller wrote it.
fn below_service(path: &str) -> String {
    let rest = path.trim_start_matches('/').splitn(3, '/').nth(2).unwrap_or_default();
    format!("/{}", rest.trim_start_matches('/'))
}

/// Returns whether a call may not be repeated.
///
/// A service may take `/x/../send`, `//send` or `/%73end` for `/send`. Were such a call not marked,
/// a lost answer would send the notice again; so what is written in an odd way counts as marked.
fn is_marked(rules: &[CallRule], method: &str, path: &str, decoded: &str) -> bool {
    let decoded = format!("/{}", decoded.trim_start_matches('/'));
    let odd = ["//", "/./", "/../"].iter().any(|part| decoded.contains(part))
        || decoded.ends_with("/..")
        || decoded.contains('%');
    let marks = |rule: &CallRule| {
        rule.marks(method, path)
            || rule.marks(method, &decoded)
            || (odd && rule.marks(method, &rule.path))
    };
    rules.iter().any(marks)
}

/// Finds the client account by the key in the `Authorization` header.
///
/// # Errors
///
/// Returns the refusal when the key is missing or unknown.
pub fn account(
    settings: &Effective,
    headers: &HeaderMap,
) -> Result<Arc<EffectiveAccount>, Failure> {
    let Some(key) = text(headers, "authorization").and_then(|h| h.strip_prefix("Bearer ")) else {
        return Err(Failure::new(ErrorCode::Unauthorized, "Authorization: expected `Bearer KEY`"));
    };
    let account = settings.accounts.get(&KeyHash::of(key.trim()));
    account.cloned().ok_or_else(|| Failure::new(ErrorCode::Unauthorized, "unknown key"))
}

fn check_running(app: &Shared) -> Result<(), Failure> {
    // During the notice of a planned stop the balancer still sends requests, and they are served.
    if app.closing.load(Ordering::Relaxed) || app.reclaimed.load(Ordering::Relaxed) {
        return Err(Failure {
            retry_after: Some(1),
            ..Failure::new(ErrorCode::Stopping, "stopping")
        });
    }
    Ok(())
}

fn service(
    settings: &Effective,
    account: &EffectiveAccount,
    name: &Name,
    fits: impl Fn(&EffectiveService) -> bool,
) -> Result<Arc<EffectiveService>, Failure> {
    let service = settings.services.get(name);
    let usable = service.filter(|s| fits(s) && Effective::may_use(account, s));
    usable.cloned().ok_or_else(|| {
        let message = format!("{name:?} is not served to this client account");
        Failure::new(ErrorCode::NotFound, message)
    })
}

fn common(
    headers: &HeaderMap,
    account: Arc<EffectiveAccount>,
    content: BodyHash,
    findings: &mut Findings,
) -> CommonAsk {
    let key = read(headers, header::IDEMPOTENCY_KEY, findings, |text| {
        let fits = !text.is_empty() && text.len() <= MAX_KEY && text.is_ascii();
        fits.then(|| Name::from(text)).ok_or("expected 1 to 255 ASCII characters")
    });
    let idempotent = read(headers, header::IDEMPOTENT, findings, |text| {
        text.parse::<bool>().map_err(|_| "expected `true` or `false`")
    });
    let asked = read(headers, header::PRIORITY, findings, |text| {
        Priority::parse(text).ok_or("expected `low`, `normal` or `high`")
    });
    let deadline = read(headers, header::DEADLINE_MS, findings, |text| {
        let millis = text.parse().ok().filter(|ms| *ms > 0);
        millis.map(Millis).ok_or("expected a whole number of milliseconds")
    });
    let usual = account.account.priority.as_deref().and_then(Priority::parse).unwrap_or_default();
    let highest =
        account.account.max_priority.as_deref().and_then(Priority::parse).unwrap_or(Priority::High);
    CommonAsk {
        account,
        key,
        idempotent: idempotent.unwrap_or(true),
        priority: asked.unwrap_or(usual).min(highest),
        deadline,
        content,
    }
}

fn read<T, F>(headers: &HeaderMap, name: &str, findings: &mut Findings, parse: F) -> Option<T>
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

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
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
