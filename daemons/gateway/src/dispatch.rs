//! Chooses an endpoint for a call and sends the attempts.

mod attempt;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Request, Response, header};
use http_body_util::Full;
use sill_base::{Millis, Name};
use sill_dispatch::{
    AnswerMode, AttemptOutcome, CallProgress, NextStep, Placement, PlacementDecision,
    PlacementRequest,
};
use sill_net::h1::{Answer, AnyBody, strip_hop_by_hop};
use sill_route::{AdmittedEndpoints, Outcome, PoolView, RefusalReason};
use sill_tree::RouteKind;
use sill_wire::Software;
use tokio::sync::Notify;

use crate::answer;
use crate::dialect::{Forward, MigratedMemory};
use crate::egress::{Destination, Exchange, SendError, SendOptions};
use crate::kept::KeptAttempts;
use crate::rollouts::AnswerWatch;
use crate::serve::Call;
use crate::state::State;
use crate::summary::CallSummary;
use crate::termination::FinalPhase;
use crate::waiting::{self, WaitEnd};

/// Longest time that a connection may have been idle if a call is sent on it that must not run
/// twice. The longer the idle time, the likelier it is that the endpoint is closing the connection
/// at this moment, and then it is unknown whether the call ran.
const MAX_IDLE_NON_REPEATABLE: Millis = Millis(1500);

/// Longest time that a call waits for an endpoint that may have room within moments.
const MAX_PLACEMENT_WAIT: Millis = Millis(150);

/// Part of a call's time, at its end, in which a caller that leaves counts as not answered in time. The
/// time is counted here from the arrival of the call, so a caller that waits for all of it leaves
/// shortly before the end.
const LATE_PART: u64 = 10;

/// How often such a call looks for an endpoint.
const PLACEMENT_RETRY_INTERVAL: Millis = Millis(10);

/// A running attempt. It counts towards its endpoint's load until it is finished or dropped.
#[derive(Debug)]
pub struct Attempt {
    /// The endpoint chosen for the attempt, and why.
    pub placement: Placement,
    /// When it was chosen.
    pub placed_at: Millis,
    /// How long the call waited for capacity.
    pub waited: Millis,
    state: Arc<State>,
    call: Arc<Call>,
    name: Name,
    /// The request in flight, from the head of its answer on.
    exchange: Option<Exchange>,
    /// Counts the answer for its version; none without a roll-out.
    watch: Option<AnswerWatch>,
    /// Notified if its path is lost before the answer has begun.
    stuck: Arc<Notify>,
    is_over: bool,
}

/// Why no endpoint was chosen for a call.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRefusal {
    /// The reason.
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after: Millis,
    /// Whether the call may be placed within moments.
    pub may_wait: bool,
    /// What was believed of the endpoints.
    pub view: PoolView,
    /// How the wait ended, if the service has a wait queue.
    pub wait_end: Option<WaitEnd>,
}

/// The point at which a stream is resumed.
#[derive(Debug, Default, Clone)]
pub struct Resumption {
    /// The id of the last event that the caller received.
    pub last_event: Option<String>,
    /// The run's KV cache, if the run was migrated.
    pub memory: Option<MigratedMemory>,
}

// At most one exists per call at a time, so its size doesn't matter.
#[allow(clippy::large_enum_variant)]
/// The result of one attempt before its answer is relayed.
pub enum AttemptResult {
    /// An answer to relay.
    Answer(Attempt, Answer),
    /// No answer to relay; the attempt is finished.
    Failed(AttemptOutcome),
    /// The same, with unknown outcome, on a path that failed before. The endpoint itself may not be
    /// at fault, and a retry is taken from the budget already.
    TrialFailed,
}

/// Sends attempts until one is answered, no further attempt is possible or the process ends.
pub async fn run(state: Arc<State>, call: Arc<Call>) -> Response<AnyBody> {
    let mut summary = CallSummary::new(state.clone(), call.clone());
    let route = &call.route.route;
    let mut progress =
        CallProgress::new(route.kind, route.max_attempts, call.due - call.received_at);
    let answered = tokio::select! {
        biased;
        answered = send_until_answered(&state, &call, &mut summary, &mut progress) => answered,
        // Dropping the attempt closes its connection, so the endpoint cancels the call.
        () = state.termination.wait_for(FinalPhase::LastAnswers) => Err(match progress.may_have_run() {
            true => summary.fail_by_stop(),
            false => summary.end_without_retry(&progress),
        }),
    };
    match answered {
        Ok((attempt, answer, progress)) => {
            answer::relay_answer(summary, attempt, answer, progress).await
        }
        Err(response) => response,
    }
}

/// Sends attempts until one is answered; otherwise returns the error response for the caller.
async fn send_until_answered(
    state: &Arc<State>,
    call: &Arc<Call>,
    summary: &mut CallSummary,
    progress: &mut CallProgress,
) -> Result<(Attempt, Answer, CallProgress), Response<AnyBody>> {
    let mut exclude = Vec::new();
    let mut kept = KeptAttempts::default();
    state.count_request(&call.pool.service);
    loop {
        let now = state.clock.now();
        progress.time_left = call.due - now;
        let placed = tokio::select! {
            biased;
            Some(found) = kept.answer() => return Ok(summary.begin_answer(found, *progress)),
            placed = place_or_wait(state, call, &exclude, progress.attempts()) => placed,
        };
        let attempt = match placed {
            Ok(attempt) => attempt,
            Err(refusal) => match kept.answer().await {
                Some(found) => return Ok(summary.begin_answer(found, *progress)),
                None => return Err(summary.refuse(progress, &refusal)),
            },
        };
        summary.record_send(&attempt.placement, state.clock.now());
        summary.add_wait(attempt.waited);
        exclude.push(attempt.placement.endpoint.clone());
        let stuck = attempt.stuck.clone();
        let before = *progress;
        progress.begin();
        let mut sending: BoxFuture<'static, AttemptResult> =
            Box::pin(async move { send_attempt(attempt, &before, None).await });
        let result = tokio::select! {
            biased;
            Some(found) = kept.answer() => return Ok(summary.begin_answer(found, *progress)),
            result = &mut sending => Some(result),
            () = stuck.notified() => None,
        };
        let (outcome, is_trial) = match result {
            Some(AttemptResult::Answer(attempt, answer)) => {
                return Ok(summary.begin_answer((attempt, answer), *progress));
            }
            Some(AttemptResult::Failed(outcome)) => (outcome, false),
            Some(AttemptResult::TrialFailed) => (AttemptOutcome::Unknown, true),
            None => {
                kept.push(&call.head.attempt, sending);
                (AttemptOutcome::Unknown, false)
            }
        };
        if is_trial {
            exclude.pop();
        }
        progress.time_left = call.due - state.clock.now();
        let mut next = progress.next_step(outcome);
        if next == NextStep::Retry && is_blocked(state, call) {
            next = progress.next_step_without_retry(outcome);
        }
        let has_time = next != NextStep::Retry || has_time_for_attempt(state, call);
        // For an endpoint's own failure, the retry was taken when its answer was not relayed.
        let is_free =
            is_trial || matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::Failed);
        let takes_budget = has_time && next == NextStep::Retry && !is_free;
        if takes_budget && !state.may_retry(&call.pool.service) {
            next = progress.next_step_without_retry(outcome);
        }
        progress.record(outcome);
        if next == NextStep::Retry && has_time {
            continue;
        }
        if let Some(found) = kept.answer().await {
            return Ok(summary.begin_answer(found, *progress));
        }
        if next == NextStep::Retry {
            return Err(summary.end_without_retry(progress));
        }
        if kept.is_out_of_time() {
            next = NextStep::TimedOut;
        }
        if let Some(response) = summary.response_after(next, outcome) {
            return Err(response);
        }
    }
}

/// Chooses an endpoint for a call. If there is none but may be one within moments, the call waits for
/// it, at most for [`MAX_PLACEMENT_WAIT`] and a tenth of the time that it has left.
async fn place_or_wait(
    state: &Arc<State>,
    call: &Arc<Call>,
    exclude: &[Name],
    sends: u32,
) -> Result<Attempt, PlacementRefusal> {
    // A call that needs one version would block others at the head of the queue.
    if call.software.is_none() && call.pool.has_wait_queue(state.clock.now()) {
        return waiting::place_in_turn(state, call, exclude, sends).await;
    }
    let started_at = state.clock.now();
    let max_wait = MAX_PLACEMENT_WAIT.min(Millis((call.due - started_at).0 / 10));
    loop {
        let (now, software) = (state.clock.now(), call.software.clone());
        let refusal = match place_attempt(state, call, now, exclude, sends, software) {
            Ok(attempt) => return Ok(attempt),
            Err(refusal) => refusal,
        };
        if !refusal.may_wait {
            return Err(refusal);
        }
        if now - started_at >= max_wait {
            call.pool.count_refusal(now);
            return Err(refusal);
        }
        tokio::time::sleep(PLACEMENT_RETRY_INTERVAL.into()).await;
    }
}

/// Returns whether endpoints have crashed under equal calls, or under prompts with the same parts, so
/// this one is not sent again.
pub fn is_blocked(state: &State, call: &Call) -> bool {
    state.crashes.block_of_parts(&call.shared_parts).is_some()
        || state.crashes.block_of(|| call.request_key()).is_some()
}

/// Returns whether the process lasts long enough for one more attempt at a call.
///
/// An attempt that is started too late is cut or ends with an unknown outcome. Before it, the call
/// is known not to have run, and another entry instance could serve it.
pub fn has_time_for_attempt(state: &State, call: &Call) -> bool {
    let mode = state.planned_stop.attempt_mode(&call.route.name, call.due);
    mode.is_some_and(|mode| mode == AnswerMode::Passed || call.answer_mode == AnswerMode::Held)
}

/// Chooses an endpoint, of the version that is needed, and counts the attempt towards its load.
pub fn place_attempt(
    state: &Arc<State>,
    call: &Arc<Call>,
    now: Millis,
    exclude: &[Name],
    sends: u32,
    software: Option<Software>,
) -> Result<Attempt, PlacementRefusal> {
    let placed = try_to_place(state, call, now, exclude, sends, software);
    if placed.as_ref().is_err_and(|refusal| !refusal.may_wait) {
        call.pool.count_refusal(now);
    }
    placed
}

/// Like [`place_attempt`], without counting a refusal.
pub fn try_to_place(
    state: &Arc<State>,
    call: &Arc<Call>,
    now: Millis,
    exclude: &[Name],
    sends: u32,
    software: Option<Software>,
) -> Result<Attempt, PlacementRefusal> {
    // The router needs a distinct id for each attempt of a call.
    let name: Name = match sends {
        0 => call.head.attempt.clone(),
        sends => format!("{}/{sends}", call.head.attempt).into(),
    };
    let mut exclude = exclude.to_vec();
    if software.is_none() && call.route.route.kind == RouteKind::ResumableStream {
        exclude.extend(state.held_endpoints(&call.pool));
    }
    let placement_request = PlacementRequest {
        attempt: name.clone(),
        prompt: call.prompt.clone(),
        deadline: call.due,
        exclude,
        software,
        admitted: AdmittedEndpoints::default(),
    };
    {
        let mut pool = call.pool.pool.lock();
        if pool.reports_pace(now) {
            pool.set_connected(&state.egress.idle_addresses(max_idle(call)));
        }
    }
    let continues = placement_request.software.is_some();
    let (decision, ticket) = call.pool.place(now, placement_request, sends == 0);
    match decision {
        PlacementDecision::Endpoint(placement) => {
            call.pool.count_fresh_tokens(now, placement.fresh_tokens);
            let watch = ticket.and_then(|ticket| {
                AnswerWatch::new(ticket, call, &placement, sends == 0, continues)
            });
            let (state, call) = (state.clone(), call.clone());
            let (placed_at, exchange) = (now, None);
            let waited = Millis::ZERO;
            let is_over = false;
            Ok(Attempt {
                placement,
                placed_at,
                waited,
                state,
                call,
                name,
                exchange,
                watch,
                stuck: Arc::default(),
                is_over,
            })
        }
        PlacementDecision::Refused { reason, retry_after, may_wait, view } => {
            Err(PlacementRefusal { reason, retry_after, may_wait, view, wait_end: None })
        }
    }
}

/// Returns how long a connection on which a call is sent may have been idle.
fn max_idle(call: &Call) -> Millis {
    if call.route.route.kind.may_repeat() { Millis::MAX } else { MAX_IDLE_NON_REPEATABLE }
}

/// Sends the call to the attempt's endpoint and reads the head of the answer.
pub async fn send_attempt(
    mut attempt: Attempt,
    progress: &CallProgress,
    resumption: Option<&Resumption>,
) -> AttemptResult {
    let (state, call) = (attempt.state.clone(), attempt.call.clone());
    let time_left = call.due - state.clock.now();
    let req = request(&state, &call, &attempt.placement, time_left, resumption);
    let take_retry = || state.may_retry(&call.pool.service);
    let Placement { endpoint, incarnation, .. } = &attempt.placement;
    let (endpoint, incarnation) = (endpoint.clone(), *incarnation);
    let is_paused = || call.pool.pool.lock().is_paused(state.clock.now(), &endpoint, incarnation);
    let may_send = || !is_paused();
    let id = attempt.name.clone();
    let is_stuck = AtomicBool::new(false);
    let on_stuck = || {
        // The endpoint may have ended; the silence of one that has not is taken back.
        attempt.record_broken_answer(None);
        is_stuck.store(true, Ordering::Relaxed);
        attempt.stuck.notify_one();
    };
    let options = SendOptions {
        id: &id,
        max_idle: max_idle(&call),
        may_send: &may_send,
        take_retry: &take_retry,
        on_stuck: &on_stuck,
        may_repeat: progress.next_step(AttemptOutcome::Unknown) == NextStep::Retry,
        // A stream that can't be resumed at once is cut.
        may_try: resumption.is_none(),
        is_engine: call.pool.is_engine,
    };
    let destination = Destination::from(&attempt.placement);
    let sending = state.egress.send(&destination, req, options);
    let outcome = match tokio::time::timeout(time_left.into(), sending).await {
        Ok(Ok((answer, exchange))) => {
            attempt.exchange = Some(exchange);
            match attempt.check_answer(&answer, progress) {
                None => return AttemptResult::Answer(attempt, answer),
                Some(outcome) => outcome,
            }
        }
        Ok(Err(SendError::TrialFailed(err))) => {
            attempt.failed(AttemptOutcome::Unknown, &err);
            attempt.finish(Outcome::Cancelled);
            return AttemptResult::TrialFailed;
        }
        Ok(Err(SendError::NotSent(err))) => attempt.failed(AttemptOutcome::NotSent, &err),
        Ok(Err(SendError::Unknown(err))) => {
            if !is_stuck.load(Ordering::Relaxed) {
                attempt.record_broken_answer(None);
            }
            attempt.record_closed_answer();
            attempt.end_broken();
            attempt.failed(AttemptOutcome::Unknown, &err)
        }
        Err(_) => {
            attempt.end_late();
            attempt.failed(AttemptOutcome::TimedOut, "no answer before the deadline")
        }
    };
    attempt.finish(match outcome {
        _ if state.egress.is_path_lost(destination.address) => Outcome::Cancelled,
        AttemptOutcome::NotSent if is_paused() => Outcome::Cancelled,
        AttemptOutcome::NotSent | AttemptOutcome::Unknown | AttemptOutcome::Failed => {
            Outcome::Failed
        }
        _ => Outcome::Cancelled,
    });
    AttemptResult::Failed(outcome)
}

fn request(
    state: &State,
    call: &Call,
    placement: &Placement,
    time_left: Millis,
    resumption: Option<&Resumption>,
) -> Request<Full<Bytes>> {
    let mut headers = call.headers.clone();
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let account = call.account.as_ref().map(|account| &account.name);
    let forward = Forward {
        time_left,
        endpoint: &placement.endpoint,
        account,
        urgency: call.urgency,
        last_event: resumption.and_then(|resumption| resumption.last_event.as_deref()),
        memory: resumption.and_then(|resumption| resumption.memory.as_ref()),
    };
    state.cfg.dialect.forward(&mut headers, &forward);
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.uri.clone();
    *req.headers_mut() = headers;
    req
}
