//! Chooses an endpoint for a call and sends the attempts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::Full;
use sill_base::{Millis, Name, event};
use sill_dispatch::{
    AnswerMode, AttemptOutcome, BrokenRequest, CallProgress, NextStep, Placement,
    PlacementDecision, PlacementRequest,
};
use sill_net::h1::{Answer, AnyBody, strip_hop_by_hop};
use sill_rollout::AnswerEnd;
use sill_route::{AdmittedEndpoints, Outcome, PoolView, RefusalReason};
use sill_wire::{Load, Software};
use tokio::sync::Notify;

use crate::answer;
use crate::crashes::{self, PROVEN_AFTER};
use crate::dialect::{
    AnswerClass, Forward, InvalidLimit, InvalidPause, LoadReport, MigratedMemory, ReportedLoad,
};
use crate::egress::{Destination, Exchange, SendError, SendOptions, Via};
use crate::kept::KeptAttempts;
use crate::pause_notice;
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
    let answered = tokio::select! {
        biased;
        answered = send_until_answered(&state, &call, &mut summary) => answered,
        // Dropping the attempt closes its connection, so the endpoint cancels the call.
        () = state.termination.wait_for(FinalPhase::LastAnswers) => Err(summary.fail_by_stop()),
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
) -> Result<(Attempt, Answer, CallProgress), Response<AnyBody>> {
    let route = &call.route.route;
    let mut progress =
        CallProgress::new(route.kind, route.max_attempts, call.due - call.received_at);
    let mut exclude = Vec::new();
    let mut kept = KeptAttempts::default();
    state.count_request(&call.pool.service);
    loop {
        let now = state.clock.now();
        progress.time_left = call.due - now;
        let placed = tokio::select! {
            biased;
            Some(found) = kept.answer() => return Ok(summary.begin_answer(found, progress)),
            placed = place_or_wait(state, call, &exclude, progress.attempts()) => placed,
        };
        let attempt = match placed {
            Ok(attempt) => attempt,
            Err(refusal) => match kept.answer().await {
                Some(found) => return Ok(summary.begin_answer(found, progress)),
                None => return Err(summary.refuse(&progress, &refusal)),
            },
        };
        summary.record_send(&attempt.placement, state.clock.now());
        summary.add_wait(attempt.waited);
        exclude.push(attempt.placement.endpoint.clone());
        let stuck = attempt.stuck.clone();
        let mut sending: BoxFuture<'static, AttemptResult> =
            Box::pin(async move { send_attempt(attempt, &progress, None).await });
        let result = tokio::select! {
            biased;
            Some(found) = kept.answer() => return Ok(summary.begin_answer(found, progress)),
            result = &mut sending => Some(result),
            () = stuck.notified() => None,
        };
        let (outcome, is_trial) = match result {
            Some(AttemptResult::Answer(attempt, answer)) => {
                return Ok(summary.begin_answer((attempt, answer), progress));
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
            return Ok(summary.begin_answer(found, progress));
        }
        if next == NextStep::Retry {
            return Err(summary.end_without_retry(&progress));
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
    let placement_request = PlacementRequest {
        attempt: name.clone(),
        prompt: call.prompt.clone(),
        deadline: call.due,
        exclude: exclude.to_vec(),
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

/// Describes the answer of an endpoint that is full, with the load that it reported.
fn rejection_text(status: StatusCode, load: Option<ReportedLoad>) -> String {
    match load {
        Some(ReportedLoad { running, queued, .. }) => {
            format!("{}, {running} running, {queued} queued", status.as_u16())
        }
        None => format!("{}, no load reported", status.as_u16()),
    }
}

impl Attempt {
    /// Checks the head of an answer. Returns the outcome if the answer must not be relayed.
    fn check_answer(&mut self, answer: &Answer, progress: &CallProgress) -> Option<AttemptOutcome> {
        let dialect = &self.state.cfg.dialect;
        let (status, headers) = (answer.response.status(), answer.response.headers());
        if answer.is_new {
            let service = [self.call.pool.service.as_str()];
            self.state.metrics.connects.with_label_values(&service).inc();
        }
        let now = self.state.clock.now();
        let LoadReport { load, invalid } = dialect.load(headers);
        let class = dialect.classify(&self.call.head.attempt, status, headers);
        if !matches!(class, AnswerClass::Improper | AnswerClass::WrongEndpoint) {
            let (bound, limit) = (dialect.rejection_bound(headers), dialect.request_limit(headers));
            let mut pool = self.call.pool.pool.lock();
            pool.record_rejection_bound(now, &self.placement, bound);
            match limit {
                Ok(limit) => pool.record_request_limit(now, &self.placement, limit),
                Err(InvalidLimit(named)) => {
                    drop(pool);
                    self.call.pool.log_invalid_limit(&self.placement.endpoint, &named);
                }
            }
        }
        if class != AnswerClass::WrongEndpoint {
            self.record_pause(status, headers);
            self.record_leaving(headers);
        }
        if let Some(reported) = invalid {
            self.call.pool.log_invalid_load(&self.placement.endpoint, &reported);
        }
        if let Some(load) = load.filter(|_| class != AnswerClass::Full) {
            let mut pool = self.call.pool.pool.lock();
            pool.record_load(now, &self.placement, load.running, load.queued);
            pool.record_pace(now, &self.placement, load.pace);
            drop(pool);
            self.call.pool.waiting.wake();
        }
        let status_text = status.as_str();
        match class {
            AnswerClass::Answer => None,
            AnswerClass::Failed => {
                self.count_usage();
                self.end_answer(AnswerEnd::Failed);
                match progress.next_step(AttemptOutcome::Failed) {
                    NextStep::Retry if self.may_be_repeated() => {
                        Some(self.failed(AttemptOutcome::Failed, status_text))
                    }
                    _ => None,
                }
            }
            AnswerClass::Full => {
                self.record_rejection(now, load);
                Some(self.failed(AttemptOutcome::Full, &rejection_text(status, load)))
            }
            AnswerClass::NotRun => Some(self.failed(AttemptOutcome::NotRun, status_text)),
            AnswerClass::WrongEndpoint => {
                self.call.pool.pool.lock().mark_gone(now, &self.placement);
                self.state.egress.forget(self.placement.address);
                let Placement { endpoint, incarnation, .. } = &self.placement;
                self.state.crashes.confirm(endpoint, *incarnation, false);
                Some(self.failed(AttemptOutcome::WrongEndpoint, status_text))
            }
            AnswerClass::Improper => {
                self.end_answer(AnswerEnd::Failed);
                Some(self.failed(AttemptOutcome::Unknown, "invalid answer"))
            }
        }
    }

    /// Records whether the endpoint says with an answer that it leaves.
    fn record_leaving(&self, headers: &HeaderMap) {
        if !self.state.cfg.dialect.is_leaving(headers) {
            return;
        }
        let now = self.state.clock.now();
        if self.call.pool.pool.lock().record_leaving(now, &self.placement) {
            let service = [self.call.pool.service.as_str()];
            self.state.metrics.leaving_answers.with_label_values(&service).inc();
            event!(
                Info,
                "endpoint_says_it_leaves",
                service = self.call.pool.service,
                endpoint = self.placement.endpoint,
                id = self.call.head.attempt
            );
        }
    }

    /// Records the pause for which the endpoint asks with an answer, also at the entry instance that
    /// carried the request.
    fn record_pause(&self, status: StatusCode, headers: &HeaderMap) {
        let Placement { endpoint, incarnation, .. } = &self.placement;
        let span = match self.state.cfg.dialect.requested_pause(status, headers) {
            Ok(Some(span)) => span,
            Ok(None) => return,
            Err(InvalidPause(named)) => return self.call.pool.log_invalid_pause(endpoint, &named),
        };
        let via = self.via();
        let id = &self.call.head.attempt;
        let via_name = via.map(|via| via.entry.as_str()).unwrap_or_default();
        self.state.record_pause(endpoint, *incarnation, span, (id, via_name));
        if let Some(via) = via {
            pause_notice::send(&self.state, via, endpoint, *incarnation, span);
        }
    }

    fn record_rejection(&mut self, now: Millis, load: Option<ReportedLoad>) {
        let service = [self.call.pool.service.as_str()];
        self.state.metrics.rejections.with_label_values(&service).inc();
        if !std::mem::replace(&mut self.is_over, true) {
            let pace = load.and_then(|load| load.pace);
            let load = load.map(|load| Load {
                running: load.running,
                queued: load.queued,
                ..Load::default()
            });
            let mut pool = self.call.pool.pool.lock();
            pool.record_rejection(now, &self.placement, &self.name, load);
            pool.record_pace(now, &self.placement, pace);
        }
    }

    fn may_be_repeated(&self) -> bool {
        has_time_for_attempt(&self.state, &self.call)
            && self.state.may_retry(&self.call.pool.service)
    }

    fn failed(&self, outcome: AttemptOutcome, reason: &str) -> AttemptOutcome {
        let name = format!("{outcome:?}");
        self.state.metrics.attempts.with_label_values(&[&name]).inc();
        event!(
            Warn,
            "attempt_failed",
            id = self.name,
            endpoint = self.placement.endpoint,
            address = self.placement.address,
            request = self.call.request_key(),
            parts = self.call.shared_parts,
            outcome = name,
            why = reason,
            ms = self.state.clock.now() - self.call.received_at
        );
        outcome
    }

    /// Records that its answer is the one that the caller gets.
    pub fn record_chosen(&self) {
        self.watch.iter().for_each(AnswerWatch::record_begun);
    }

    /// The shared state of the entry instance.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// The call that the attempt serves.
    pub fn call(&self) -> &Arc<Call> {
        &self.call
    }

    /// Returns the tunnel that carries the answer.
    pub fn via(&self) -> Option<&Via> {
        self.exchange.as_ref()?.via()
    }

    /// Ends the request in flight: no more of the answer is awaited from the endpoint.
    pub fn end_exchange(&mut self) {
        self.exchange = None;
    }

    /// Records that a part of the answer arrived, which shows that the path to the endpoint works.
    pub fn record_heard(&self) {
        self.exchange.iter().for_each(Exchange::record_heard);
    }

    /// Waits until the path is lost on which the answer arrives.
    pub fn wait_until_stuck(&self) -> BoxFuture<'static, ()> {
        match &self.exchange {
            Some(exchange) => exchange.wait_until_stuck(),
            None => Box::pin(std::future::pending()),
        }
    }

    /// Waits for `pause`, and then until that path is lost.
    pub fn wait_until_still_stuck(&self, pause: Millis) -> BoxFuture<'static, ()> {
        match &self.exchange {
            Some(exchange) => exchange.wait_until_still_stuck(pause),
            None => Box::pin(std::future::pending()),
        }
    }

    /// Returns whether the endpoint has announced that it leaves or has ended.
    pub fn has_announced_end(&self) -> bool {
        self.call.pool.pool.lock().has_announced_end(&self.placement)
    }

    /// Records that the answer broke off, because the endpoint may have crashed. `began_at` is when
    /// its first part arrived, if one did.
    pub fn record_broken_answer(&self, began_at: Option<Millis>) {
        // An endpoint that leaves ends anyway.
        if !self.call.pool.pool.lock().is_ready(&self.placement.endpoint) {
            return;
        }
        let now = self.state.clock.now();
        let is_proven = began_at.is_some_and(|began_at| now - began_at >= PROVEN_AFTER);
        // A machine or a network that fails takes whatever runs there.
        let is_path_lost = self.state.egress.is_path_lost(self.placement.address);
        let is_suspect = !is_proven && !is_path_lost;
        let prompt = is_suspect.then(|| self.call.shared_parts.clone());
        let request = BrokenRequest { request: self.call.request_key(), prompt };
        crashes::record_broken_answer(&self.state, &self.placement, request);
    }

    /// Records that a part of the answer arrived, for the comparison of versions.
    pub fn record_part(&mut self, now: Millis) {
        self.watch.iter_mut().for_each(|watch| watch.record_part(now));
    }

    /// Counts the answer for the version of its endpoint. Only the first end counts.
    pub fn end_answer(&mut self, end: AnswerEnd) {
        let now = self.state.clock.now();
        self.watch.iter_mut().for_each(|watch| watch.end(now, end));
    }

    /// Counts an answer that broke off. That is no failure of the version if the path is lost, or the
    /// endpoint had announced that it leaves.
    pub fn end_broken(&mut self) {
        let is_excused =
            self.state.egress.is_path_lost(self.placement.address) || self.has_announced_end();
        self.end_answer(if is_excused { AnswerEnd::Abandoned } else { AnswerEnd::Failed });
    }

    /// Counts an answer that was not complete in time.
    pub fn end_late(&mut self) {
        if self.state.egress.is_path_lost(self.placement.address) {
            return self.end_answer(AnswerEnd::Abandoned);
        }
        let now = self.state.clock.now();
        self.watch.iter_mut().for_each(|watch| watch.end_late(now));
    }

    /// Records that the first part of the answer arrived.
    pub fn record_first_part(&self, now: Millis) {
        self.call.pool.pool.lock().record_first_part(now, &self.placement, &self.name);
        let time = now - self.placed_at;
        self.call.pool.waiting.record_first_part(now, &self.call.route.name, time);
    }

    /// Counts the call towards its client account's usage; called when the call starts to run.
    pub fn count_usage(&self) {
        if let Some(account) = &self.call.account {
            self.state.count_usage(&account.name);
        }
    }

    /// Removes the attempt from its endpoint's load. Only the first outcome counts.
    pub fn finish(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.is_over, true) {
            let now = self.state.clock.now();
            self.call.pool.pool.lock().finish_attempt(now, &self.placement, &self.name, outcome);
            self.call.pool.waiting.wake();
        }
    }
}

impl Drop for Attempt {
    /// A caller that disconnects cancels the attempt in any state.
    fn drop(&mut self) {
        self.finish(Outcome::Cancelled);
        let Call { received_at, due, .. } = *self.call;
        let late_from = due - Millis((due - received_at).0 / LATE_PART);
        let is_stopping = self.state.termination.has_begun(FinalPhase::LastAnswers);
        match self.state.clock.now() >= late_from && !is_stopping {
            true => self.end_late(),
            false => self.end_answer(AnswerEnd::Abandoned),
        }
    }
}
