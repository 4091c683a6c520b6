//! Finds out whether an answer is whole whose end proves nothing, from whether its endpoint runs on, and
//! from what another endpoint adds to it.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::{self, BoxFuture, Either};
use parking_lot::Mutex;
use sill_base::{Millis, Name};
use sill_dispatch::end_log::may_be_gone;
use sill_dispatch::{
    EndChecks, EndInDoubt, EndKind, EndLog, EndStep, EndVerdict, EndpointCheck, KnownCrash,
    Placement, Proof, ProofKind, ResumeChecks, TICK,
};
use sill_net::h1::ReusableConnection;
use sill_wire::Incarnation;
use tokio::sync::Notify;

use crate::crashes::REFUSAL_TIME;
use crate::daemon::LAST_ANSWERS_TIME;
use crate::egress::{Destination, Via};
use crate::endpoint_check::CHECK_TIME;
use crate::relay::EndpointAnswer;
use crate::resume::{NotResumed, ResumedEnd};
use crate::state::{PoolState, State};

/// Time for the resumption of a stream whose endpoint had announced that it leaves.
pub const ANNOUNCED_RESUME_TIME: Millis = Millis(700);

/// Time for the resumption of a stream whose endpoint is shown to run.
const RESUME_TIME: Millis = Millis(400);

/// Time for the end of an answer to reach its caller.
const FINISH_TIME: Millis = Millis(20);

/// Time for others to hear of the ends that came with one, and again to tell of them.
const REPORT_TIME: Millis = Millis(50);

/// An endpoint, and the entry instance that carries the answer if it is one in a tunnel.
type CheckedEndpoint = (Name, Incarnation, Option<SocketAddr>);

/// An incarnation of an endpoint.
type EndpointKey = (Name, Incarnation);

/// Checks of endpoints at which answers have ended.
#[derive(Debug)]
pub struct StreamEnds {
    checks: Mutex<EndChecks<CheckedEndpoint>>,
    resumptions: Mutex<ResumeChecks>,
    /// The ends that are known here, also those at other entry instances.
    log: Mutex<EndLog<EndpointKey>>,
    has_changed: Notify,
}

/// The answer whose end is checked.
#[derive(Debug, Clone)]
pub struct EndedAnswer {
    /// The endpoint.
    pub to: Destination,
    /// The tunnel in which the answer arrived.
    pub via: Option<Via>,
    /// The id of the call's attempt.
    pub answer: Name,
    /// What has ended.
    pub kind: EndKind,
    /// When the endpoint was chosen.
    pub placed_at: Millis,
    /// When the endpoint is known to have run: when it was chosen, or when the answer's own connection to it
    /// was opened, if that was later.
    pub ran_at: Millis,
    /// When the answer ended.
    pub ended_at: Millis,
    /// The deadline of the call.
    pub due: Millis,
    /// Whether its caller gets nothing before it is complete.
    pub is_held: bool,
    /// Whether it is a stream that another endpoint can go on with.
    pub may_resume: bool,
    /// The endpoints of the service.
    pub pool: Arc<PoolState>,
    /// The endpoint's place in it.
    pub placement: Placement,
}

/// What an end that proves nothing turns out to be.
pub struct UnmarkedEnd {
    /// The decision.
    pub decision: EndDecision,
    /// Whether another endpoint was asked to go on, and did not.
    pub has_asked_other: bool,
    /// Whether that one had no time to answer.
    is_other_late: bool,
    /// Whether another answer of the endpoint ended at the same time.
    pub has_other_end: bool,
}

// One exists per end, so its size doesn't matter.
#[allow(clippy::large_enum_variant)]
/// Whether an answer is whole.
pub enum EndDecision {
    /// It is whole: its endpoint has outlived its end.
    Proven(Proof),
    /// The endpoint was not shown to run on.
    NotShown(EndpointCheck),
    /// The instance that carried it in a tunnel was not shown to run on.
    CarrierNotShown,
    /// The call or the process ends before anything can be shown.
    NoTime,
    /// It is whole: its end is marked, and its connection is still open.
    Marked,
    /// It is whole: its endpoint has announced after the end that it has ended in order.
    Confirmed,
    /// It counts as whole: its endpoint had announced that it leaves, and nothing shows another cause of
    /// the end.
    Announced,
    /// Another endpoint has confirmed that nothing follows.
    Whole,
    /// Another endpoint goes on with it.
    Continued(EndpointAnswer),
}

impl EndDecision {
    /// Returns the name for log lines.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Proven(_) => EndpointCheck::Running.name(),
            Self::NotShown(check) => check.name(),
            Self::CarrierNotShown => "carrier_not_shown",
            Self::NoTime => "no_time",
            Self::Marked => "marked",
            Self::Confirmed => "confirmed",
            Self::Announced => "announced",
            Self::Whole => "whole",
            Self::Continued(_) => "continued",
        }
    }

    /// Returns the name of what shows that the answer is whole; none if it isn't.
    pub const fn proof(&self) -> Option<&'static str> {
        match self {
            Self::Proven(Proof { kind, .. }) => Some(kind.name()),
            Self::Marked | Self::Confirmed | Self::Announced => Some(self.name()),
            Self::Whole => Some("resumed"),
            Self::NotShown(_) | Self::CarrierNotShown | Self::NoTime | Self::Continued(_) => None,
        }
    }

    /// Returns whether the answer counts as whole though its endpoint was not shown to run.
    pub const fn is_unproven(&self) -> bool {
        matches!(self, Self::Announced | Self::Proven(Proof { kind: ProofKind::Open, .. }))
    }

    /// Returns whether nothing shows that the answer is whole.
    pub const fn is_doubt(&self) -> bool {
        matches!(self, Self::NotShown(_) | Self::CarrierNotShown | Self::NoTime)
    }
}

impl From<Option<EndVerdict>> for EndDecision {
    fn from(verdict: Option<EndVerdict>) -> Self {
        match verdict {
            Some(EndVerdict::Proven(proof)) => Self::Proven(proof),
            Some(EndVerdict::NotShown(check)) => Self::NotShown(check),
            None => Self::NoTime,
        }
    }
}

impl UnmarkedEnd {
    const fn of(decision: EndDecision) -> Self {
        Self { decision, has_asked_other: false, is_other_late: false, has_other_end: false }
    }

    /// Returns whether another endpoint has shown nothing new.
    pub const fn was_resumed_in_vain(&self) -> bool {
        self.has_asked_other && !self.is_other_late
    }
}

impl EndedAnswer {
    fn key(&self) -> EndpointKey {
        (self.to.endpoint.clone(), self.to.incarnation)
    }

    /// Returns whether its endpoint has announced by now that it leaves, or that it has ended.
    fn has_announced_end(&self) -> bool {
        self.pool.pool.lock().has_announced_end(&self.placement)
    }

    /// Returns whether something else decides if its endpoint stays silent.
    fn has_alternative(&self) -> bool {
        let Placement { endpoint, software, .. } = &self.placement;
        self.kind == EndKind::LeavingStream
            || self.may_resume && self.pool.pool.lock().is_served_beside(endpoint, software)
    }

    /// Returns whether its endpoint may have been gone by the time that it had announced.
    fn may_be_gone(&self) -> bool {
        may_be_gone(self.pool.pool.lock().leaves_at(&self.placement), self.ended_at)
    }
}

impl StreamEnds {
    /// Creates an empty record. Endpoints announce themselves at this interval.
    pub fn new(heartbeat: Millis) -> Self {
        Self {
            checks: Mutex::new(EndChecks::new(heartbeat, CHECK_TIME)),
            resumptions: Mutex::default(),
            log: Mutex::default(),
            has_changed: Notify::new(),
        }
    }

    /// Records that an answer of an endpoint ended with its connection.
    pub fn record_end(&self, now: Millis, endpoint: EndpointKey, answer: &Name, ended_at: Millis) {
        self.log.lock().record(now, endpoint, answer, ended_at);
    }

    /// Returns whether another answer of the endpoint is known to have ended at the same time.
    pub fn has_other_end(&self, endpoint: &EndpointKey, answer: &Name, ended_at: Millis) -> bool {
        self.log.lock().has_other(endpoint, answer, ended_at)
    }

    /// Returns whether an end is checked by resuming its stream.
    pub fn may_resume(&self, service: &Name) -> bool {
        self.resumptions.lock().may_check(service)
    }

    /// Records whether a resumption has shown that a stream was short.
    pub fn record_resumed(&self, service: &Name, was_short: bool) {
        self.resumptions.lock().record(service, was_short);
    }
}

impl State {
    /// Waits until the endpoint of an answer is shown to run long enough after its end, or not to run.
    /// Returns none if the call or the process ends before.
    pub async fn wait_until_proven(self: Arc<Self>, ended: EndedAnswer) -> Option<EndVerdict> {
        let EndedAnswer { to, via, kind, placed_at, ran_at, ended_at, .. } = &ended;
        let key = checked_endpoint(to, via.as_ref());
        loop {
            let has_changed = self.stream_ends.has_changed.notified();
            tokio::pin!(has_changed);
            has_changed.as_mut().enable();
            // The answer may arrive late, when the endpoint has restarted or a proxy accepts
            // connections again.
            let ran_at = match self.crashes.crash_since(*placed_at, &to.endpoint, to.incarnation) {
                Some(KnownCrash::Confirmed) => {
                    return Some(EndVerdict::NotShown(EndpointCheck::Ended));
                }
                Some(KnownCrash::Presumed) => Some(*ran_at),
                None => None,
            };
            let now = self.clock.now();
            // A stop may begin while the end is in doubt.
            let report_time = match kind {
                EndKind::LeavingStream => REPORT_TIME,
                _ => Millis::ZERO,
            };
            let decide_by = self.decide_by(ended.due, ended.is_held) - report_time;
            let has_alternative = ended.has_alternative();
            let end = EndInDoubt { kind: *kind, at: *ended_at, decide_by, ran_at, has_alternative };
            let step = {
                let mut checks = self.stream_ends.checks.lock();
                let signs = self.egress.signs_of(to, checks.opened_by(end));
                checks.step(now, &key, end, signs)
            };
            match step {
                EndStep::Decided(verdict) => return Some(verdict),
                EndStep::NoTime => return None,
                EndStep::Check => {
                    // Other ends wait for it too, whether or not this caller leaves.
                    let (to, via) = (to.clone(), via.clone());
                    tokio::spawn(self.clone().check_for_ends(to, via, now));
                }
                EndStep::Wait(until) => {
                    // Crashes are heard of from others, and other answers may go on.
                    let pause = (until - now).min(TICK);
                    tokio::select! {
                        () = has_changed => {}
                        () = tokio::time::sleep(pause.into()) => {}
                    }
                }
            }
        }
    }

    /// Returns the time by which must be decided about the end of a call with deadline `due`, so that its
    /// caller can still be told.
    pub fn decide_by(&self, due: Millis, is_held: bool) -> Millis {
        // What is forwarded is cut later than what waits.
        let forward_time = if is_held { Millis::ZERO } else { Millis(LAST_ANSWERS_TIME.0 / 2) };
        let stop = self.planned_stop.ends_at().map_or(Millis::MAX, |at| at + forward_time);
        stop.min(due - FINISH_TIME)
    }

    /// Returns how long the resumption of a call is waited for that ends without it as well: at most `most`,
    /// and half of the time in which must be decided.
    pub fn resume_time(&self, most: Millis, due: Millis, is_held: bool) -> Millis {
        let left = self.decide_by(due, is_held) - self.clock.now();
        most.min(Millis(left.0 / 2))
    }

    /// Has an endpoint reply whose answer is about to end, so that it can reply later on a connection from
    /// before the end.
    pub async fn prepare_end_check(self: Arc<Self>, to: Destination, via: Option<Via>) {
        if !self.may_ping(&to) {
            // A connection without a reply has no age that counts.
            return;
        }
        let now = self.clock.now();
        let is_due =
            self.stream_ends.checks.lock().prepare(now, &checked_endpoint(&to, via.as_ref()));
        if is_due {
            self.check_for_ends(to, via, now).await;
        }
    }

    async fn check_for_ends(self: Arc<Self>, to: Destination, via: Option<Via>, began_at: Millis) {
        let (check, opened_at) = self.check_process(&to, via.as_ref()).await;
        let (now, key) = (self.clock.now(), checked_endpoint(&to, via.as_ref()));
        self.stream_ends.checks.lock().record(now, &key, began_at, check, opened_at);
        self.stream_ends.has_changed.notify_waiters();
    }

    /// Decides about an end from its endpoint alone.
    async fn decide_end(self: Arc<Self>, ended: EndedAnswer) -> UnmarkedEnd {
        let key = ended.key();
        self.stream_ends.record_end(self.clock.now(), key, &ended.answer, ended.ended_at);
        if ended.kind == EndKind::LeavingStream {
            // Others learn of it at once, as they may have to decide about ends that came with it.
            let (state, ended) = (self.clone(), ended.clone());
            tokio::spawn(async move {
                state.report_end(&ended.to, &ended.answer, ended.ended_at).await;
            });
        }
        let mut end = UnmarkedEnd::of(self.clone().wait_until_proven(ended.clone()).await.into());
        if end.decision.is_doubt() {
            end.has_other_end = self.has_other_end(&ended).await;
        }
        let is_silent = matches!(end.decision, EndDecision::NotShown(EndpointCheck::Silent));
        let is_leaving = ended.kind == EndKind::LeavingStream;
        let is_announcement_void = end.has_other_end || ended.may_be_gone();
        if is_silent && is_leaving && is_announcement_void && self.may_ping(&ended.to) {
            // It alone can still prove its end, by a reply.
            let ended = EndedAnswer { kind: EndKind::Stream, ..ended };
            end.decision = self.wait_until_proven(ended).await.into();
        }
        end
    }

    /// Returns whether another answer may have ended at the same time. For a stream, no reply in time shows
    /// nothing.
    async fn has_other_end(&self, ended: &EndedAnswer) -> bool {
        let decide_by = self.decide_by(ended.due, ended.is_held);
        let is_stream = ended.kind == EndKind::LeavingStream;
        if is_stream {
            // Other ends may be read and reported later.
            let report_at = (ended.ended_at + REPORT_TIME).min(decide_by);
            tokio::time::sleep((report_at - self.clock.now()).into()).await;
        }
        let time_left = decide_by - self.clock.now();
        let report = self.report_end(&ended.to, &ended.answer, ended.ended_at);
        let known = tokio::time::timeout(time_left.into(), report).await;
        known.unwrap_or_else(|_| {
            is_stream || self.stream_ends.has_other_end(&ended.key(), &ended.answer, ended.ended_at)
        })
    }

    /// Decides about an end without a mark from its endpoint, and from the instance that carried it. What
    /// the endpoint has announced shows nothing of that one.
    pub async fn decide_unmarked(self: Arc<Self>, ended: EndedAnswer) -> UnmarkedEnd {
        let endpoint = self.clone().decide_end(ended.clone());
        let time_left = self.decide_by(ended.due, ended.is_held) - self.clock.now();
        let carrier = tokio::time::timeout(time_left.into(), self.is_carrier_running(&ended));
        match future::join(endpoint, carrier).await {
            (end, Ok(true)) => end,
            (_, Ok(false)) => UnmarkedEnd::of(EndDecision::CarrierNotShown),
            (_, Err(_)) => UnmarkedEnd::of(EndDecision::NoTime),
        }
    }
}

fn checked_endpoint(to: &Destination, via: Option<&Via>) -> CheckedEndpoint {
    (to.endpoint.clone(), to.incarnation, via.map(|via| via.address))
}

/// Decides about a marked end of a stream. `connection` is the one that was to be kept: if it is closed
/// with the mark nevertheless, its endpoint may be ending, and has written the mark as it stopped. The
/// same if other streams have ended at the same time.
pub async fn check_mark(
    state: Arc<State>,
    mut ended: EndedAnswer,
    connection: Option<ReusableConnection>,
) -> UnmarkedEnd {
    let Some(connection) = connection else {
        return state.decide_end(ended).await;
    };
    let key = ended.key();
    state.stream_ends.record_end(state.clock.now(), key.clone(), &ended.answer, ended.ended_at);
    let is_closed = connection.is_closed_within(REFUSAL_TIME).await;
    let has_other_end = state.stream_ends.has_other_end(&key, &ended.answer, ended.ended_at);
    if !is_closed {
        // The endpoint can reply on it.
        connection.release();
        ended.kind = EndKind::OpenMark;
    }
    match is_closed || has_other_end {
        true => state.decide_end(ended).await,
        false => UnmarkedEnd::of(EndDecision::Marked),
    }
}

/// Decides about the end of a stream that would count as whole without a proof, from its resumption if that
/// answers within `wait`.
pub async fn resume_announced(
    resumption: BoxFuture<'static, Result<ResumedEnd, NotResumed>>,
    wait: Millis,
    has_other_end: bool,
) -> UnmarkedEnd {
    let resumed = tokio::time::timeout(wait.into(), resumption).await;
    let is_other_late = resumed.is_err();
    let (decision, has_asked_other) = match resumed {
        Ok(Ok(ResumedEnd::Continued(answer))) => (EndDecision::Continued(answer), false),
        Ok(Ok(ResumedEnd::Whole)) => (EndDecision::Whole, true),
        Ok(Err(NotResumed::NotSent)) => (EndDecision::Announced, false),
        Ok(_) | Err(_) => (EndDecision::Announced, true),
    };
    UnmarkedEnd { decision, has_asked_other, is_other_late, has_other_end }
}

/// Returns after a pause that the end of a stream would count as whole without a proof.
pub async fn announced_later(pause: Millis, has_other_end: bool) -> UnmarkedEnd {
    tokio::time::sleep(pause.into()).await;
    UnmarkedEnd { has_other_end, ..UnmarkedEnd::of(EndDecision::Announced) }
}

/// Decides about an end from its endpoint, and from its resumption if there is one. Where that shows
/// nothing in time, the endpoint decides.
pub async fn decide(
    state: Arc<State>,
    ended: EndedAnswer,
    endpoint: BoxFuture<'static, UnmarkedEnd>,
    resumption: Option<BoxFuture<'static, Result<ResumedEnd, NotResumed>>>,
) -> UnmarkedEnd {
    let Some(resumption) = resumption else { return endpoint.await };
    let EndedAnswer { due, is_held, .. } = ended;
    let mut is_other_late = false;
    let (end, resumed) = match future::select(endpoint, resumption).await {
        Either::Left((end, resumption)) => {
            let is_doubt = end.decision.is_doubt();
            let wait = async {
                // Nothing else can complete the answer until its endpoint announces that it leaves.
                while is_doubt && !ended.has_announced_end() {
                    tokio::time::sleep(TICK.into()).await;
                }
                // An endpoint that runs may have closed the connection of a stream that is not whole.
                let most = if is_doubt { ANNOUNCED_RESUME_TIME } else { RESUME_TIME };
                tokio::time::sleep(state.resume_time(most, due, is_held).into()).await;
            };
            let resumed = tokio::select! {
                resumed = resumption => Some(resumed),
                () = wait => None,
            };
            is_other_late = resumed.is_none();
            (end, resumed.unwrap_or(Ok(ResumedEnd::Unclear)))
        }
        Either::Right((resumed @ (Ok(ResumedEnd::Unclear) | Err(_)), endpoint)) => {
            (endpoint.await, resumed)
        }
        Either::Right((resumed, _)) => (UnmarkedEnd::of(EndDecision::NoTime), resumed),
    };
    let UnmarkedEnd { decision, has_other_end, .. } = end;
    let (decision, has_asked_other) = match resumed {
        Ok(ResumedEnd::Continued(answer)) => (EndDecision::Continued(answer), false),
        Ok(ResumedEnd::Whole) => (EndDecision::Whole, true),
        Ok(ResumedEnd::Unclear) | Err(NotResumed::Sent) => (decision, true),
        Err(NotResumed::NotSent) => (decision, false),
    };
    UnmarkedEnd { decision, has_asked_other, is_other_late, has_other_end }
}
