//! Reads and admits calls.

use std::sync::{Arc, OnceLock};

use bytes::{Bytes, BytesMut};
use http::request::Parts;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use sill_base::{Millis, Name, event};
use sill_dispatch::streams::{KnownStream, TakeUp};
use sill_dispatch::{
    AccountEntry, AnswerMode, PartBlock, Prompt, Reservation, RouteEntry, RouteTable,
};
use sill_net::h1::AnyBody;
use sill_tree::RouteKind;
use sill_wire::{ErrorCode, RequestKey, SharedParts, Software};

use crate::cut::CutCause;
use crate::dialect::CallHead;
use crate::dispatch;
use crate::failure::Failure;
use crate::planned_stop::InsufficientTime;
use crate::state::{PoolState, State};
use crate::summary::CALLER_LEFT;
use crate::termination::{FinalPhase, StopOutcome};

/// Size limit of a body in bytes if the settings name none.
pub const MAX_BODY: usize = 4 << 20;

/// Retry time of an instance that has no settings yet; it receives them within half a second.
const RETRY_WITHOUT_SETTINGS: Millis = Millis(1000);

/// Time that a call waits for the first settings, and for the first totals. Control instances that
/// start together with this instance take as long to elect a leader.
const START_WAIT: Millis = Millis(1200);

/// A call waits for either at most one part in this many of the time until its deadline, so that
/// enough is left to serve it.
const START_WAIT_DIVISOR: u64 = 4;

/// Retry time for a service that has no endpoint yet.
const RETRY_WITHOUT_ENDPOINT: Millis = Millis(1000);

/// Retry time if the bodies of other calls take up the memory for them.
const RETRY_WITHOUT_MEMORY: Millis = Millis(1000);

/// Retry time for a stream that no instance knows yet. Another instance may know it.
const RETRY_UNKNOWN_STREAM: Millis = Millis(100);

/// Retry time for a stream whose version has no endpoint. It may be back once failed endpoints have
/// been replaced, or a rollout is undone.
const RETRY_WITHOUT_VERSION: Millis = Millis(10_000);

/// Retry time after a refusal by a stopping instance. A new connection usually reaches another one.
///
/// When callers were told to wait until this instance is back, they lost fewer requests but more
/// time: with 57 and then 75 of 83 instances stopping at once, 582 requests were lost instead of
/// 2,021, but 46,567 were answered within their targets instead of 48,055. To callers a late answer
/// is worth a tenth.
pub const RETRY_ELSEWHERE_AFTER: Millis = Millis(50);

/// An admitted call.
#[derive(Debug)]
pub struct Call {
    /// The routing information from the call's head.
    pub head: CallHead,
    /// The HTTP method, sent on unchanged.
    pub method: Method,
    /// The path and query, sent on unchanged.
    pub uri: Uri,
    /// The caller's headers, before the dialect adapts them for an endpoint.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The route that matched host and path.
    pub route: Arc<RouteEntry>,
    /// The client account of the caller's key; none for an anonymous call.
    pub account: Option<Arc<AccountEntry>>,
    /// The units taken from the account's limit; refunded if the call does not run.
    pub amount: f64,
    /// The endpoints of the service that was drawn for the call.
    pub pool: Arc<PoolState>,
    /// The prompt; empty for a call without one.
    pub prompt: Arc<Prompt>,
    /// The priority rank; 0 is served first.
    pub urgency: u8,
    /// When the head of the call was read.
    pub received_at: Millis,
    /// The deadline for the complete answer.
    pub due: Millis,
    /// Whether the answer is relayed as it arrives or once it is complete.
    pub answer_mode: AnswerMode,
    /// The version that began the stream that the call takes up; none if any version may serve it.
    pub software: Option<Software>,
    /// The parts that the prompt shares with others.
    pub shared_parts: SharedParts,
    request_key: OnceLock<RequestKey>,
}

impl Call {
    /// Returns the key that the call shares with equal ones.
    pub fn request_key(&self) -> RequestKey {
        *self.request_key.get_or_init(|| {
            let account = self.account.as_deref();
            request_key(account, &self.head, &self.method, &self.uri, &self.body)
        })
    }
}

fn request_key(
    account: Option<&AccountEntry>,
    head: &CallHead,
    method: &Method,
    uri: &Uri,
    body: &Bytes,
) -> RequestKey {
    let account = account.map_or("", |account| account.name.as_str());
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let fixed = [account, head.host.as_str(), method.as_str(), path].map(str::as_bytes);
    let prompt = head.prompt.iter().flat_map(|prompt| &prompt.parts);
    let prompt = prompt.map(|part| part.id.as_bytes());
    let all: Vec<&[u8]> = fixed.into_iter().chain([&body[..]]).chain(prompt).collect();
    RequestKey::of(&all)
}

/// Reads, admits and serves one call, and returns the response.
pub async fn serve_call(state: Arc<State>, req: Request<Incoming>) -> Response<AnyBody> {
    let received_at = state.clock.now();
    let (parts, body) = req.into_parts();
    let mut head = state.cfg.dialect.read(&parts);
    if head.attempt.is_empty() {
        head.attempt = format!("{:016x}", rand::random::<u64>()).into();
    }
    let attempt = head.attempt.clone();
    let mut arrival = Arrival { state: &state, attempt: &attempt, received_at, is_over: false };
    let admitted = tokio::select! {
        // Once the last answers are being sent, a call is refused before it is sent to an endpoint.
        biased;
        () = state.termination.wait_for(FinalPhase::LastAnswers) =>
            Err(Refusal::by_stop(&state, "request incomplete at the end of the stop".to_owned())),
        admitted = admit(&state, head, parts, body, received_at) => admitted,
    };
    arrival.is_over = true;
    drop(arrival);
    match admitted {
        Ok(call) => dispatch::run(state, Arc::new(call)).await,
        Err(refusal) => refusal.answer(&state, &attempt, received_at),
    }
}

/// A call that is neither admitted nor refused yet. Its line is written if it ends like that.
struct Arrival<'a> {
    state: &'a State,
    attempt: &'a Name,
    received_at: Millis,
    is_over: bool,
}

impl Drop for Arrival<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let cause = if std::thread::panicking() {
            Some(CutCause::TaskEnded)
        } else {
            self.state.termination.has_begun(FinalPhase::Cut).then_some(CutCause::CutByStop)
        };
        if let Some(cause) = cause {
            self.state.metrics.incomplete_answers.with_label_values(&[cause.name()]).inc();
        }
        event!(
            Warn,
            "call_not_admitted",
            id = self.attempt,
            outcome = cause.map_or(CALLER_LEFT, CutCause::name),
            ms = self.state.clock.now() - self.received_at
        );
    }
}

/// The refusal of a call that was not admitted, with the reason.
struct Refusal {
    failure: Failure,
    route: Name,
    account: Name,
    reason: &'static str,
    /// The figures behind the decision, beyond the call itself.
    inputs: String,
}

impl Refusal {
    fn new(code: ErrorCode, reason: &'static str) -> Self {
        let none = Name::default();
        let inputs = String::new();
        Self { failure: Failure::new(code), route: none.clone(), account: none, reason, inputs }
    }

    /// Creates the refusal of a call that may outlast the process.
    fn by_stop(state: &State, inputs: String) -> Self {
        state.termination.record(StopOutcome::Refused);
        let failure = Failure::with_retry_after(ErrorCode::NoCapacity, RETRY_ELSEWHERE_AFTER);
        Self { failure, inputs, ..Self::new(ErrorCode::NoCapacity, "stopping") }
    }

    /// Creates the refusal of a call for whose body there is no memory.
    fn without_memory(state: &State) -> Self {
        let failure = Failure::with_retry_after(ErrorCode::NoCapacity, RETRY_WITHOUT_MEMORY);
        let inputs = format!("{} bytes are held back already", state.buffers.used());
        Self { failure, inputs, ..Self::new(ErrorCode::NoCapacity, "no_memory") }
    }

    fn answer(&self, state: &State, attempt: &Name, received_at: Millis) -> Response<AnyBody> {
        state.metrics.calls.with_label_values(&[self.reason]).inc();
        event!(
            Warn,
            "call_refused",
            id = attempt,
            route = self.route,
            account = self.account,
            status = self.failure.status().as_u16(),
            why = self.reason,
            inputs = self.inputs,
            retry_after_ms = self.failure.retry_after.unwrap_or_default(),
            revision = state.metrics.revision.get(),
            ms = state.clock.now() - received_at
        );
        self.failure.to_response(state, attempt)
    }
}

async fn admit(
    state: &Arc<State>,
    head: CallHead,
    parts: Parts,
    body: Incoming,
    received_at: Millis,
) -> Result<Call, Refusal> {
    let Some(table) = settings(state, &head).await else {
        let failure = Failure::with_retry_after(ErrorCode::NoCapacity, RETRY_WITHOUT_SETTINGS);
        return Err(Refusal { failure, ..Refusal::new(ErrorCode::NoCapacity, "no_settings") });
    };
    let Some(route) = find_route(&table, &head, &parts) else {
        return Err(Refusal::new(ErrorCode::NotFound, "no_route"));
    };
    let account = account_of(&table, &head, &route)?;
    let body = read_body(state, &table, body).await?;
    let key = || request_key(account.as_deref(), &head, &parts.method, &parts.uri, &body);
    if let Some(block) = state.crashes.block_of(key) {
        return Err(Refusal {
            failure: Failure::with_retry_after(ErrorCode::RequestBlocked, block.time_left),
            inputs: format!("{}, {} endpoints crashed under it", key(), block.crashes),
            route: route.name.clone(),
            ..Refusal::new(ErrorCode::RequestBlocked, "request_blocked")
        });
    }
    let shared_parts = head.prompt.as_ref().map(Prompt::shared_parts).unwrap_or_default();
    if let Some(block) = state.crashes.block_of_parts(&shared_parts) {
        if !state.may_test(&block) {
            return Err(parts_blocked(state, &route, &block));
        }
        event!(Info, "parts_tested", id = head.attempt, parts = block.parts);
    }
    let (service, software) = resumption(state, account.as_deref(), &head, &route, &parts).await?;
    let service = service.unwrap_or_else(|| route.service(rand::random::<f64>()).clone());
    let Some(pool) = state.pool(&service) else {
        let failure = Failure::with_retry_after(ErrorCode::NoCapacity, RETRY_WITHOUT_ENDPOINT);
        let refusal = Refusal::new(ErrorCode::NoCapacity, "no_pool");
        return Err(Refusal { failure, route: route.name.clone(), ..refusal });
    };
    if let Some(software) = &software
        && (pool.is_rejected(software) || !pool.pool.lock().is_served_by(software))
    {
        state.record_unavailable_version();
        return Err(Refusal {
            failure: Failure::with_retry_after(
                ErrorCode::VersionUnavailable,
                RETRY_WITHOUT_VERSION,
            ),
            inputs: format!(
                "no ready endpoint of {service} has version {software}, or it is rejected"
            ),
            route: route.name.clone(),
            ..Refusal::new(ErrorCode::VersionUnavailable, "version_unavailable")
        });
    }
    let timeout = route.route.timeout_ms;
    let time_left = head.deadline.map_or(timeout, |deadline| deadline.min(timeout));
    let due = received_at + time_left;
    // A call that is admitted too late would be cut in the middle, and could not be repeated.
    let answer_mode = state.planned_stop.admit(&head.attempt, &route.name, due).map_err(|err| {
        let InsufficientTime { time_left, usual_duration } = err;
        let (due, usual_duration) = (due - received_at, usual_duration.unwrap_or_default());
        let inputs = format!(
            "{time_left} ms to the end, {due} ms to the deadline, usually {usual_duration} ms"
        );
        Refusal { route: route.name.clone(), ..Refusal::by_stop(state, inputs) }
    })?;
    let amount = limit_units(&head, account.as_deref());
    if let Some(account) = &account {
        // An instance that has just started doesn't know what it admitted before, nor what others
        // admit.
        state.first_totals(&account.name, amount, start_wait(&head), START_WAIT).await;
    }
    if let Some(account) = &account
        && let Err(over_limit) = state.admit(&account.name, amount)
    {
        return Err(Refusal {
            failure: Failure::with_retry_after(ErrorCode::LimitReached, over_limit.retry_after),
            inputs: format!("{amount:.0} of {over_limit}"),
            route: route.name.clone(),
            account: account.name.clone(),
            reason: "over_limit",
        });
    }
    let urgency = account.as_ref().and_then(|account| account.account.urgency);
    let prompt = head.prompt.clone().unwrap_or_default();
    Ok(Call {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        urgency: urgency.unwrap_or(route.route.urgency),
        account,
        amount,
        pool,
        shared_parts,
        prompt: Arc::new(prompt),
        route,
        head,
        received_at,
        due,
        answer_mode,
        software,
        request_key: OnceLock::new(),
    })
}

/// Creates the refusal of a call with blocked parts in its prompt.
fn parts_blocked(state: &State, route: &RouteEntry, block: &PartBlock) -> Refusal {
    let now = state.clock.now();
    let end = if now < block.trial_at { block.trial_at.min(block.until) } else { block.until };
    Refusal {
        failure: Failure::with_retry_after(ErrorCode::RequestBlocked, end - now),
        inputs: format!("{}, {} endpoints crashed under them", block.parts, block.crashes),
        route: route.name.clone(),
        ..Refusal::new(ErrorCode::RequestBlocked, "parts_blocked")
    }
}

/// Returns the service and the version at which a stream continues that the call takes up; none for
/// other calls. The service is none if the route draws it.
async fn resumption(
    state: &State,
    account: Option<&AccountEntry>,
    head: &CallHead,
    route: &RouteEntry,
    parts: &Parts,
) -> Result<(Option<Name>, Option<Software>), Refusal> {
    let is_take_up = head.last_event.is_some() || head.resumes.is_some();
    if !is_take_up || route.route.kind != RouteKind::ResumableStream {
        return Ok((None, None));
    }
    match state.take_up(account, head, route, parts.uri.path()).await {
        TakeUp::Known(KnownStream { origin, .. }) => {
            if route.services().contains(&origin.service) {
                return Ok((Some(origin.service), Some(origin.software)));
            }
            state.record_unavailable_version();
            Err(Refusal {
                failure: Failure::with_retry_after(
                    ErrorCode::VersionUnavailable,
                    RETRY_WITHOUT_VERSION,
                ),
                inputs: format!("the route no longer leads to service {}", origin.service),
                route: route.name.clone(),
                ..Refusal::new(ErrorCode::VersionUnavailable, "version_unavailable")
            })
        }
        TakeUp::Single(software) => Ok((None, Some(software))),
        TakeUp::Unknown => Err(Refusal {
            failure: Failure::with_retry_after(ErrorCode::StreamUnknown, RETRY_UNKNOWN_STREAM),
            route: route.name.clone(),
            ..Refusal::new(ErrorCode::StreamUnknown, "stream_unknown")
        }),
    }
}

/// Returns the settings in force. An instance that has just started has none for half a second. A
/// caller that it refused would retry a second later, although it could have been served long
/// before.
async fn settings(state: &State, head: &CallHead) -> Option<Arc<RouteTable>> {
    if let Some(table) = state.table() {
        return Some(table);
    }
    state.first_table(start_wait(head)).await
}

/// Returns how long a call waits for data that an instance that has just started lacks.
fn start_wait(head: &CallHead) -> Millis {
    let time_left = head.deadline.unwrap_or(Millis::MAX);
    Millis(time_left.0 / START_WAIT_DIVISOR).min(START_WAIT)
}

/// Finds the route by path and host, with or without the host's port.
fn find_route(table: &RouteTable, head: &CallHead, parts: &Parts) -> Option<Arc<RouteEntry>> {
    let path = parts.uri.path();
    let bare_host = head.host.split_once(':').map(|(host, _)| host);
    let route = table.find(&head.host, path).or_else(|| table.find(bare_host?, path));
    route.cloned()
}

fn account_of(
    table: &RouteTable,
    head: &CallHead,
    route: &RouteEntry,
) -> Result<Option<Arc<AccountEntry>>, Refusal> {
    let account = head.key.as_ref().and_then(|key| table.account_of(key)).cloned();
    if account.is_none() && table.has_accounts() && !route.route.anonymous {
        let refusal = Refusal::new(ErrorCode::Unauthorized, "unknown_key");
        return Err(Refusal { route: route.name.clone(), ..refusal });
    }
    Ok(account)
}

/// Returns the largest body that a caller may send.
pub fn max_body_bytes(table: &RouteTable) -> usize {
    table.bounds.body_bytes.map_or(MAX_BODY, |bytes| bytes as usize)
}

async fn read_body(state: &State, table: &RouteTable, body: Incoming) -> Result<Bytes, Refusal> {
    let limit = max_body_bytes(table);
    if body.size_hint().lower() > limit as u64 {
        return Err(Refusal::new(ErrorCode::TooLarge, "body_too_large"));
    }
    let mut body = Limited::new(body, limit);
    let mut reservation = Reservation::new(state.buffers.clone());
    // Parts are copied together: a list of very small ones would take many times their size.
    let (mut first, mut whole) = (Bytes::new(), BytesMut::new());
    while let Some(frame) = body.frame().await {
        let data = match frame {
            Ok(frame) => frame.into_data().unwrap_or_default(),
            Err(err) if err.is::<LengthLimitError>() => {
                return Err(Refusal::new(ErrorCode::TooLarge, "body_too_large"));
            }
            Err(_) => return Err(Refusal::new(ErrorCode::BadRequest, "body_not_whole")),
        };
        if first.is_empty() && whole.is_empty() {
            first = data;
            continue;
        }
        if !reservation.grow_to(first.len() + whole.len() + data.len()) {
            return Err(Refusal::without_memory(state));
        }
        whole.extend_from_slice(&std::mem::take(&mut first));
        whole.extend_from_slice(&data);
    }
    let whole = if first.is_empty() { whole.freeze() } else { first };
    match reservation.grow_to(whole.len()) {
        true => Ok(reservation.attach(whole)),
        false => Err(Refusal::without_memory(state)),
    }
}

/// Returns the units that a call takes from its account's limit: tokens, or 1 per request.
fn limit_units(head: &CallHead, account: Option<&AccountEntry>) -> f64 {
    let Some(account) = account else { return 0.0 };
    let limit = account.account.limit.unwrap_or_default();
    if limit.tokens_per_s.is_none() {
        return 1.0;
    }
    match &head.prompt {
        Some(prompt) => (prompt.tokens + u64::from(prompt.max_output_tokens)) as f64,
        None => account.account.default_tokens.unwrap_or_default() as f64,
    }
}
