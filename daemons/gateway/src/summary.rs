//! The log line of a finished call.

use std::sync::Arc;

use http::Response;
use sill_base::{Millis, Name};
use sill_dispatch::{AttemptOutcome, CallProgress, NextStep, Placement};
use sill_net::h1::{Answer, AnyBody, Framing};
use sill_route::PoolView;
use sill_tree::RouteKind;
use sill_wire::{ErrorCode, Software};

use crate::cut::{CutCause, NoResumption};
use crate::dispatch::{Attempt, PlacementRefusal};
use crate::egress::Via;
use crate::failure::Failure;
use crate::serve::{Call, RETRY_ELSEWHERE_AFTER};
use crate::state::State;
use crate::termination::{FinalPhase, StopOutcome};
use crate::waiting::{WaitEnd, reason_name};

/// Retry time after a refusal that names none itself.
const DEFAULT_RETRY_AFTER: Millis = Millis(500);

/// The outcome of a call whose caller got the whole answer.
const ANSWERED: &str = "answered";

/// The outcome of a call unless another one is set.
pub const CALLER_LEFT: &str = "caller_left";

/// The outcome of a call whose task ended with a panic.
const TASK_ENDED: &str = "task_ended";

/// The outcome of a call whose answer broke off.
const CUT: &str = "cut";

/// The outcome of a call whose answer was cut by its deadline.
const OUT_OF_TIME: &str = "out_of_time";

/// The outcome of a call whose answer was cut by the end of the process.
const CUT_BY_STOP: &str = "cut_by_stop";

/// The outcome of a call that still waited for its answer at the end of the process.
const FAILED_BY_STOP: &str = "failed_by_stop";

/// Collects what is logged and counted when the call ends; the line is written on drop.
#[derive(Debug)]
pub struct CallSummary {
    state: Arc<State>,
    call: Arc<Call>,
    /// How the call ended. It is [`CALLER_LEFT`] at first, as nothing reports a caller's
    /// disconnect.
    outcome: &'static str,
    status: u16,
    endpoint: Name,
    /// The version of that endpoint's software.
    software: Software,
    reason: String,
    /// What was believed of the endpoints when none was chosen.
    view: Option<PoolView>,
    /// How the wait for capacity ended, if the call was refused, and the retry time.
    wait_end: Option<(WaitEnd, Millis)>,
    /// How long the call waited for capacity before it was sent, over all attempts.
    waited: Millis,
    send_count: u32,
    /// The entry instance through which the endpoint answered, if the path to it was lost.
    via: Name,
    first_part: Option<Millis>,
    bytes: u64,
    framing: Option<Framing>,
    stream_end: Option<StreamEnd>,
    /// What has shown that the answer is whole, and how long after its end that was, if its end alone
    /// didn't.
    proof: Option<(&'static str, Option<Millis>)>,
    /// When the endpoint ended the answer with a complete part, if that proves nothing.
    ended_at: Option<Millis>,
    /// What the check of the endpoint showed after that end.
    end_check: &'static str,
    /// Why the answer of the last endpoint is not whole.
    cut_by: Option<CutCause>,
    /// Why no other endpoint goes on with it.
    not_resumed: Option<NoResumption>,
    /// The id of the last event that the caller got of an answer that is not whole.
    last_event: String,
}

/// Where the stream of an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// After a complete event.
    AfterEvent,
    /// Inside an event.
    InsideEvent,
    /// Before the first event.
    NoEvent,
}

impl CallSummary {
    /// Creates the summary of an admitted call.
    pub fn new(state: Arc<State>, call: Arc<Call>) -> Self {
        Self {
            state,
            call,
            outcome: CALLER_LEFT,
            status: 0,
            endpoint: Name::default(),
            software: Software::default(),
            reason: String::new(),
            view: None,
            wait_end: None,
            waited: Millis::ZERO,
            send_count: 0,
            via: Name::default(),
            first_part: None,
            bytes: 0,
            framing: None,
            stream_end: None,
            proof: None,
            ended_at: None,
            end_check: "",
            cut_by: None,
            not_resumed: None,
            last_event: String::new(),
        }
    }

    /// Records that the call is sent to an endpoint.
    pub fn record_send(&mut self, placement: &Placement, now: Millis) {
        if self.send_count == 0 {
            let waited = (now - self.call.received_at).as_secs_f64();
            self.state.metrics.before_send.observe(waited);
        }
        self.send_count += 1;
        self.endpoint = placement.endpoint.clone();
        self.software = placement.software.clone();
        self.reason.clone_from(&placement.reason);
    }

    /// Records the attempt whose answer the caller gets.
    pub fn begin_answer(
        &mut self,
        (attempt, answer): (Attempt, Answer),
        progress: CallProgress,
    ) -> (Attempt, Answer, CallProgress) {
        attempt.record_chosen();
        let Placement { endpoint, software, .. } = &attempt.placement;
        (self.endpoint, self.software) = (endpoint.clone(), software.clone());
        (attempt, answer, progress)
    }

    /// Adds time for which the call waited for capacity before it was sent.
    pub fn add_wait(&mut self, waited: Millis) {
        self.waited = self.waited + waited;
    }

    /// Records that another endpoint continues the answer.
    pub fn record_resume(&mut self, placement: &Placement) {
        self.send_count += 1;
        sill_base::event!(
            Info,
            "stream_resumed",
            id = self.call.head.attempt,
            from = self.endpoint,
            from_software = self.software,
            endpoint = placement.endpoint,
            software = placement.software
        );
        self.endpoint = placement.endpoint.clone();
        self.software = placement.software.clone();
    }

    /// Records that the call was sent to an endpoint that did not continue the answer.
    pub fn record_failed_resume(&mut self) {
        self.send_count += 1;
    }

    /// Records the tunnel in which the answer arrives.
    pub fn set_via(&mut self, via: Option<&Via>) {
        self.via = via.map(|via| via.entry.clone()).unwrap_or_default();
    }

    /// Records how the endpoint that now answers marks the end of its answer.
    pub fn set_framing(&mut self, framing: Framing) {
        self.framing = Some(framing);
        (self.stream_end, self.proof) = (None, None);
        (self.ended_at, self.end_check) = (None, "");
        (self.cut_by, self.not_resumed) = (None, None);
    }

    /// Records that the endpoint ended the answer, in a way that proves nothing.
    pub fn set_ended(&mut self, at: Millis) {
        self.ended_at = Some(at);
    }

    /// Returns whether the end of the answer is in doubt, and nothing was decided about it.
    pub const fn is_end_undecided(&self) -> bool {
        self.ended_at.is_some() && self.end_check.is_empty()
    }

    /// Records what the check of the endpoint showed after the end of its answer.
    pub fn set_end_check(&mut self, result: &'static str) {
        self.end_check = result;
    }

    /// Records why the answer of the present endpoint is not whole.
    pub fn set_cut_by(&mut self, cause: CutCause) {
        self.cut_by = Some(cause);
    }

    /// Records why no other endpoint goes on with the answer; none while one may.
    pub fn set_not_resumed(&mut self, reason: Option<NoResumption>) {
        self.not_resumed = reason;
    }

    /// Returns why no other endpoint goes on with the answer, for log lines.
    pub fn not_resumed(&self) -> &'static str {
        self.not_resumed.map_or("", NoResumption::name)
    }

    /// Records the last event that the caller got, unless its answer is whole.
    pub fn set_last_event(&mut self, id: &str) {
        if self.outcome != ANSWERED {
            id.clone_into(&mut self.last_event);
        }
    }

    /// Records where the endpoint's stream ended.
    pub fn set_stream_end(&mut self, end: StreamEnd) {
        self.stream_end = Some(end);
    }

    /// Records what has shown that the answer is whole, and how long after its end that was.
    pub fn set_proof(&mut self, proof: &'static str, after: Option<Millis>) {
        self.proof = Some((proof, after));
    }

    /// Sets the HTTP status that the caller gets.
    pub fn set_status(&mut self, status: u16) {
        self.status = status;
    }

    /// Returns whether the endpoint answered with a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Records a part of the answer, of `bytes` bytes.
    pub fn record_part(&mut self, now: Millis, bytes: usize) {
        if self.first_part.is_none() {
            self.first_part = Some(now);
            let first = now - self.call.received_at;
            self.state.planned_stop.record_first_part(&self.call.route.name, first);
        }
        self.bytes += bytes as u64;
    }

    /// Sets the outcome of an answer that is whole.
    pub fn mark_answered(&mut self) {
        self.outcome = ANSWERED;
    }

    /// Sets the outcome of an answer that broke off.
    pub fn mark_cut(&mut self) {
        self.outcome = CUT;
    }

    /// Sets the outcome of an answer that the deadline cuts.
    pub fn mark_out_of_time(&mut self) {
        self.outcome = OUT_OF_TIME;
    }

    /// Sets the outcome of an answer that the end of the process cuts.
    pub fn mark_cut_by_stop(&mut self) {
        self.outcome = CUT_BY_STOP;
    }

    /// Fails a call that still waits for the first part of its answer when the process ends.
    ///
    /// The call is at an endpoint or on its way there, so it is unknown whether it runs. If its
    /// connection were just closed, its caller would know neither that nor which side failed.
    pub fn fail_by_stop(&mut self) -> Response<AnyBody> {
        let response = self.fail(Failure::new(ErrorCode::UpstreamFailed));
        self.outcome = FAILED_BY_STOP;
        response
    }

    /// Ends a call that the process has no time to attempt, or to attempt again.
    pub fn end_without_retry(&mut self, progress: &CallProgress) -> Response<AnyBody> {
        self.reason = "stopping".to_owned();
        if progress.may_have_run() {
            return self.fail_by_stop();
        }
        self.state.termination.record(StopOutcome::Refused);
        self.fail(Failure::with_retry_after(ErrorCode::NoCapacity, RETRY_ELSEWHERE_AFTER))
    }

    /// Ends a call for which no endpoint was available.
    pub fn refuse(
        &mut self,
        progress: &CallProgress,
        refusal: &PlacementRefusal,
    ) -> Response<AnyBody> {
        self.reason = format!("{:?}", refusal.reason);
        self.add_wait(refusal.wait_end.map(|end| end.waited).unwrap_or_default());
        self.wait_end = refusal.wait_end.map(|end| (end, refusal.retry_after));
        // A call behind others in the wait queue was not compared with the endpoints.
        let is_known = refusal.wait_end.is_none() || refusal.view != PoolView::default();
        self.view = is_known.then_some(refusal.view);
        // After an attempt that may have run, the response must not say that the call has not run.
        let failure = match progress.possible_runs {
            0 => Failure::with_retry_after(ErrorCode::NoCapacity, refusal.retry_after),
            _ => Failure::new(ErrorCode::UpstreamFailed),
        };
        self.fail(failure)
    }

    /// Ends a call after a failed attempt; returns none if the call is retried.
    pub fn response_after(
        &mut self,
        next: NextStep,
        outcome: AttemptOutcome,
    ) -> Option<Response<AnyBody>> {
        let failure = match next {
            NextStep::Retry => return None,
            NextStep::RefuseNotRun => {
                Failure::with_retry_after(ErrorCode::NoCapacity, DEFAULT_RETRY_AFTER)
            }
            NextStep::TimedOut => Failure::new(ErrorCode::DeadlinePassed),
            NextStep::PassOn | NextStep::OutcomeUnknown => Failure::new(ErrorCode::UpstreamFailed),
        };
        self.reason = format!("{outcome:?}");
        Some(self.fail(failure))
    }

    /// Ends a call with an error response of the entry instance itself.
    pub fn fail(&mut self, failure: Failure) -> Response<AnyBody> {
        if failure.is_not_run()
            && let Some(account) = &self.call.account
        {
            self.state.refund(&account.name, self.call.amount);
        }
        self.status = failure.status().as_u16();
        self.outcome = if failure.is_not_run() { "refused" } else { "failed" };
        failure.to_response(&self.state, &self.call.head.attempt)
    }

    /// Returns why the caller got neither a whole answer nor an error response; none if it got one, or
    /// left.
    fn incomplete_by(&self) -> Option<CutCause> {
        let by_outcome = match self.outcome {
            TASK_ENDED => return Some(CutCause::TaskEnded),
            OUT_OF_TIME => CutCause::OutOfTime,
            CUT_BY_STOP => CutCause::CutByStop,
            CUT => CutCause::BrokenByEndpoint,
            _ => return None,
        };
        Some(self.cut_by.unwrap_or(by_outcome))
    }
}

impl Drop for CallSummary {
    /// Logs the call whatever its outcome, including a caller's disconnect.
    fn drop(&mut self) {
        let (state, call) = (&self.state, &self.call);
        let now = state.clock.now();
        if self.outcome == CALLER_LEFT && state.termination.has_begun(FinalPhase::Cut) {
            // The answer is dropped with the process: its caller had stopped reading, so it was not
            // polled and never saw the end.
            self.outcome = CUT_BY_STOP;
        }
        if std::thread::panicking() {
            self.outcome = TASK_ENDED;
        }
        state.metrics.calls.with_label_values(&[self.outcome]).inc();
        let incomplete_by = self.incomplete_by();
        if let Some(cause) = incomplete_by {
            state.metrics.incomplete_answers.with_label_values(&[cause.name()]).inc();
        }
        let first = self.first_part.map(|first| first - call.received_at);
        // A call that failed or whose caller left says nothing about how long an answer takes. If
        // endpoints that fail fast counted, a stopping instance would start calls that it then has
        // to cut.
        if matches!(self.outcome, ANSWERED | OUT_OF_TIME) {
            state.planned_stop.record_call(&call.route.name, now - call.received_at);
        }
        if self.outcome == ANSWERED {
            state.metrics.whole_answer.observe((now - call.received_at).as_secs_f64());
            if let Some(first) = first {
                state.metrics.first_part.observe(first.as_secs_f64());
            }
        }
        if self.outcome == ANSWERED && self.stream_end.is_some() {
            let by_framing = self.framing.map_or("", Framing::name);
            let proof = self.proof.map_or(by_framing, |(proof, _)| proof);
            state.metrics.whole_streams.with_label_values(&[proof]).inc();
        }
        let level = match self.outcome {
            ANSWERED => log::Level::Info,
            _ => log::Level::Warn,
        };
        let has_line = match self.outcome {
            CUT_BY_STOP => state.termination.record(StopOutcome::Cut),
            FAILED_BY_STOP => state.termination.record(StopOutcome::Failed),
            _ => true,
        };
        if !has_line || !log::log_enabled!(level) {
            return;
        }
        let account = call.account.as_ref().map(|account| account.name.clone());
        let mut line = String::from("event=call");
        let mut pair = |key: &str, value: &dyn std::fmt::Display| {
            sill_base::event::push_pair(&mut line, key, value);
        };
        pair("id", &call.head.attempt);
        pair("outcome", &self.outcome);
        pair("status", &self.status);
        pair("route", &call.route.name);
        pair("kind", &kind_name(call.route.route.kind));
        pair("account", &account.unwrap_or_default());
        pair("service", &call.pool.service);
        pair("endpoint", &self.endpoint);
        pair("software", &self.software);
        pair("sends", &self.send_count);
        pair("via", &self.via);
        pair("prompt", &call.prompt.tokens);
        pair("parts", &call.shared_parts);
        pair("output", &call.prompt.max_output_tokens);
        pair("urgency", &call.urgency);
        pair("why", &self.reason);
        if let Some(view) = &self.view {
            pair("endpoints", &view);
        }
        if self.waited > Millis::ZERO {
            pair("waited_ms", &self.waited);
        }
        if let Some((end, retry_after)) = &self.wait_end {
            pair("queue", &reason_name(end.reason));
            pair("ahead", &format_args!("{:.0}", end.ahead));
            pair("per_s", &format_args!("{:.1}", end.rate.unwrap_or_default()));
            pair("retry_after_ms", retry_after);
        }
        pair("first_ms", &first.unwrap_or_default());
        pair("ms", &(now - call.received_at));
        pair("left_ms", &(call.due - now));
        pair("bytes", &self.bytes);
        if let Some(cause) = incomplete_by {
            pair("cut_by", &cause.name());
            pair("check", &self.end_check);
            pair("not_resumed", &self.not_resumed());
        }
        if self.outcome != ANSWERED {
            if let Some(ended_at) = self.ended_at {
                pair("ended_ms", &(now - ended_at));
            }
            pair("last_event", &self.last_event);
            pair("request", &call.request_key());
            if let Some(ends_at) = state.planned_stop.ends_at() {
                pair("in_stop", &true);
                pair("stop_left_ms", &(ends_at - now));
            }
        }
        pair("framing", &self.framing.map_or("", Framing::name));
        pair("end", &self.stream_end.map_or("", StreamEnd::name));
        if let Some((proof, after)) = self.proof {
            pair("proof", &proof);
            if let Some(after) = after {
                pair("proof_ms", &after);
            }
        }
        log::log!(target: "sill_gateway", level, "{line}");
    }
}

impl StreamEnd {
    const fn name(self) -> &'static str {
        match self {
            Self::AfterEvent => "after_event",
            Self::InsideEvent => "inside_event",
            Self::NoEvent => "no_event",
        }
    }
}

fn kind_name(kind: RouteKind) -> &'static str {
    let entry = RouteKind::NAMES.iter().find(|(named, _)| *named == kind);
    entry.map_or("", |(_, name)| name)
}
