//! Decides whether answers are whole whose ends prove nothing.
//!
//! An endpoint that ends closes its connections and its listener one after the other, and its host may
//! accept connections when it is gone. So an end counts as whole only once the process of the endpoint
//! is shown to run later than it: by bytes that it sends on another connection, or by a reply.

use std::hash::Hash;

use sill_base::{Map, Millis, Name};

use crate::check::EndpointCheck;

/// Upper bound on the time by which an endpoint has to outlive the end of a stream.
const MAX_SPAN: Millis = Millis(800);

/// How long parts of a process that ends outlive its connections. If less time is left, the process has to
/// reply on a connection from before the end.
const MIN_SPAN: Millis = Millis(300);

/// Time within which the endpoint of a stream has to be shown to run that can go on at another one. Callers
/// leave after 2 s of silence.
const STREAM_WAIT: Millis = Millis(1600);

/// Number of heartbeats after which an endpoint that sends nothing counts as silent. An end that only its
/// endpoint can prove is held for as long.
const SILENT_HEARTBEATS: u64 = 3;

/// Time for the news that an endpoint which leaves has ended in order.
const NEWS_TIME: Millis = Millis(500);

/// Time within which an endpoint that leaves has to be shown to run, before its announcement decides.
const LEAVING_WAIT: Millis = Millis(800);

/// Time by which an endpoint has to outlive the end of a plain answer. Its caller waits for the end.
const PLAIN_SPAN: Millis = Millis(20);

/// Time after the end of a plain answer within which a connection that opens counts.
const PLAIN_OPEN_TIME: Millis = Millis(400);

/// How much later than the last sign of a process a connection may be opened on which it replies. Another
/// process at the address starts later.
const OPENED_MARGIN: Millis = Millis(250);

/// Time by which an endpoint has to outlive a mark whose connection is still open.
const MARK_SPAN: Millis = Millis(100);

/// Number of checks of an endpoint in the time that it has to outlive an end.
const CHECKS: u64 = 4;

/// Least time between two checks of an endpoint.
const MIN_INTERVAL: Millis = Millis(100);

/// Least time between two checks that prepare for ends. Their connection is kept for longer.
const PREPARED: Millis = Millis(1000);

/// Upper bound on the checks of an endpoint that run at the same time. A second one is needed only for
/// an end that can't wait for the first.
const MAX_RUNNING: usize = 3;

/// Upper bound on the ends that are not resumed after one whose resumption showed nothing new.
const MAX_SKIPPED: u32 = 63;

/// What ends an answer in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// A stream of an endpoint that is not known to leave.
    Stream,
    /// A stream of an endpoint that has announced that it leaves or has ended.
    LeavingStream,
    /// A stream with a mark, whose connection is still open.
    OpenMark,
    /// A plain answer.
    Plain,
}

/// The end of an answer that has to be decided about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndInDoubt {
    /// What has ended.
    pub kind: EndKind,
    /// When it ended.
    pub at: Millis,
    /// The time by which must be decided.
    pub decide_by: Millis,
    /// When the process is known to have run before the end, if another one may run at the address since.
    pub ran_at: Option<Millis>,
    /// Whether something else decides if the endpoint stays silent: another one can go on with the
    /// stream, or its announcement is believed.
    pub has_alternative: bool,
}

/// What is known of an endpoint without a check.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct EndpointSigns {
    /// When its process was last heard, on a connection that was opened in time.
    pub heard_at: Option<Millis>,
    /// Whether other answers of it are awaited. If it runs, they go on.
    pub is_awaited: bool,
    /// When something last arrived on such a connection. It may have been sent long before.
    pub arrived_at: Option<Millis>,
}

/// The proof that an endpoint has outlived an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// How it was shown to run.
    pub kind: ProofKind,
    /// When it ran.
    pub at: Millis,
}

/// How a process was shown to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofKind {
    /// It has sent a part of another answer.
    Heard,
    /// It has replied to a check, here or at another entry instance.
    Replied,
    /// It accepted a connection, and must not be asked for more.
    Open,
}

/// What an end turned out to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndVerdict {
    /// The endpoint ran on, so the answer is whole.
    Proven(Proof),
    /// The endpoint was not shown to run on.
    NotShown(EndpointCheck),
}

/// What to do next about an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndStep {
    /// Check the endpoint, and record the result.
    Check,
    /// Ask again at this time, or once a check has ended.
    Wait(Millis),
    /// It is decided.
    Decided(EndVerdict),
    /// The time to decide has come, too early for silence to show anything.
    NoTime,
}

/// Checks of the endpoints at which answers have ended. All ends at an endpoint share its checks.
#[derive(Debug)]
pub struct EndChecks<K> {
    heartbeat: Millis,
    /// Time that a check takes.
    check_time: Millis,
    by_endpoint: Map<K, Checks>,
}

#[derive(Debug, Default)]
struct Checks {
    /// When the newest check began.
    began_at: Option<Millis>,
    running: usize,
    /// The newest reply.
    shown: Option<Shown>,
    /// When the newest check began that found that it accepts connections, and must not be asked for more.
    open_at: Option<Millis>,
    /// When the newest check ended that found that the endpoint has ended, and its result.
    refuted: Option<(Millis, EndpointCheck)>,
}

/// A reply of the process at the address of an endpoint.
#[derive(Debug, Clone, Copy)]
struct Shown {
    /// When the check began.
    at: Millis,
    /// When the connection was opened.
    opened_at: Millis,
    /// From when on the same process has replied.
    since: Millis,
}

/// The times that hold for an end.
#[derive(Debug, Clone, Copy)]
struct Bounds {
    /// The endpoint is to be shown to run at this time or later.
    proven_from: Millis,
    /// A refutation that nothing contradicts counts from then on.
    settled_from: Millis,
    /// When the wait for a proof ends, unless a check is running.
    until: Millis,
    /// When it ends in any case.
    expires_at: Millis,
    /// When the last check may begin.
    last_check_at: Millis,
    /// By when a connection must have been opened on which the process is heard.
    opened_by: Millis,
    /// By when one must have opened that counts by itself. Later it may lead to another process.
    open_by: Millis,
    /// Whether there is time for a proof on a connection from after the end.
    has_time: bool,
    /// Whether there is time enough for silence to mean that the endpoint has ended.
    is_whole_wait: bool,
    /// The least time between two checks.
    interval: Millis,
}

impl ProofKind {
    /// Returns the name for log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Heard => "heard",
            Self::Replied => "replied",
            Self::Open => "open",
        }
    }
}

impl EndInDoubt {
    fn bounds(&self, heartbeat: Millis, check_time: Millis) -> Bounds {
        let (span, settle) = match self.kind {
            EndKind::Stream => (heartbeat.min(MAX_SPAN), Millis::ZERO),
            EndKind::LeavingStream => (heartbeat.min(MIN_SPAN), NEWS_TIME),
            EndKind::OpenMark => (MARK_SPAN, Millis::ZERO),
            EndKind::Plain => (PLAIN_SPAN, Millis::ZERO),
        };
        let open_time = match self.kind {
            EndKind::Stream | EndKind::OpenMark => STREAM_WAIT,
            EndKind::LeavingStream => LEAVING_WAIT,
            EndKind::Plain => PLAIN_OPEN_TIME,
        };
        let wait = match (self.has_alternative, self.kind) {
            (true, EndKind::LeavingStream) => LEAVING_WAIT,
            (true, _) => STREAM_WAIT,
            (false, _) => longest_wait(heartbeat),
        };
        let left = self.decide_by - self.at;
        // Half of the time that is left is for the check itself, if it is less than a check may take.
        let outlives = span.min((left - check_time).max(Millis(left.0 / 2)));
        let has_time = outlives >= span.min(MIN_SPAN);
        let until = (self.at + wait).min(self.decide_by);
        let is_whole_wait = until == self.at + wait;
        let opened_by = if has_time { self.at + OPENED_MARGIN } else { self.at - Millis(1) };
        Bounds {
            proven_from: self.at + outlives,
            settled_from: (self.at + settle).min(self.decide_by),
            until,
            expires_at: (until + check_time).min(self.decide_by),
            last_check_at: self.decide_by - check_time,
            opened_by: self.ran_at.map_or(opened_by, |at| opened_by.min(at + OPENED_MARGIN)),
            open_by: self.at + open_time,
            has_time,
            is_whole_wait,
            interval: Millis(span.0 / CHECKS).max(MIN_INTERVAL),
        }
    }
}

/// Returns for how long an end is held at most that only its endpoint can prove, if endpoints announce
/// themselves at the interval `heartbeat`.
pub fn longest_wait(heartbeat: Millis) -> Millis {
    STREAM_WAIT.max(heartbeat * SILENT_HEARTBEATS)
}

impl<K> EndChecks<K>
where
    K: Eq + Hash + Clone,
{
    /// Creates a record without checks. Endpoints announce themselves at the interval `heartbeat`, and a
    /// check takes at most `check_time`.
    pub fn new(heartbeat: Millis, check_time: Millis) -> Self {
        Self { heartbeat, check_time, by_endpoint: Map::default() }
    }

    /// Returns by when a connection must have been opened on which the process of an endpoint is heard after
    /// an end.
    pub fn opened_by(&self, end: EndInDoubt) -> Millis {
        end.bounds(self.heartbeat, self.check_time).opened_by
    }

    /// Returns whether to check an endpoint whose answers are about to end, so that it can reply later on a
    /// connection from before the end. The check counts as begun now.
    pub fn prepare(&mut self, now: Millis, endpoint: &K) -> bool {
        let checks = self.by_endpoint.entry(endpoint.clone()).or_default();
        let is_due = checks.began_at.is_none_or(|at| now - at >= PREPARED);
        if is_due {
            checks.begin(now);
        }
        is_due
    }

    /// Returns what to do about an end at an endpoint. A check that it asks for counts as begun now.
    pub fn step(
        &mut self,
        now: Millis,
        endpoint: &K,
        end: EndInDoubt,
        signs: EndpointSigns,
    ) -> EndStep {
        let bounds = end.bounds(self.heartbeat, self.check_time);
        let checks = self.by_endpoint.entry(endpoint.clone()).or_default();
        if let Some(verdict) = checks.verdict(now, &end, bounds, signs) {
            return EndStep::Decided(verdict);
        }
        if now >= bounds.expires_at {
            return EndStep::NoTime;
        }
        if let Some(at) = checks.next_check(now, &end, bounds, self.check_time, signs)
            && now < at
        {
            return EndStep::Wait(at.min(bounds.expires_at));
        }
        checks.begin(now);
        EndStep::Check
    }

    /// Records the result of a check that began at `began_at`, and when the connection was opened on which
    /// the process was heard.
    pub fn record(
        &mut self,
        now: Millis,
        endpoint: &K,
        began_at: Millis,
        check: EndpointCheck,
        opened_at: Option<Millis>,
    ) {
        let checks = self.by_endpoint.entry(endpoint.clone()).or_default();
        checks.running = checks.running.saturating_sub(1);
        match check {
            EndpointCheck::Running => {
                opened_at.into_iter().for_each(|at| checks.record_shown(began_at, at));
            }
            EndpointCheck::Open => checks.open_at = checks.open_at.max(Some(began_at)),
            EndpointCheck::Silent => {}
            EndpointCheck::Ended | EndpointCheck::Unclear => {
                (checks.refuted, checks.shown) = (Some((now, check)), None);
            }
        }
        // The end that asked for the oldest check has been decided, or its caller has left.
        let kept = longest_wait(self.heartbeat) + self.check_time;
        self.by_endpoint.retain(|_, checks| {
            checks.running > 0 || checks.began_at.is_some_and(|at| now - at < kept)
        });
    }
}

impl Checks {
    fn begin(&mut self, now: Millis) {
        self.began_at = Some(now);
        self.running += 1;
    }

    /// Records a reply on a connection that was opened at `opened_at`. An endpoint that leaves closes each
    /// connection after one reply.
    fn record_shown(&mut self, at: Millis, opened_at: Millis) {
        let since = match self.shown {
            Some(before) if opened_at <= before.at + OPENED_MARGIN => before.since.min(opened_at),
            _ => opened_at,
        };
        let at = self.shown.map_or(at, |before| before.at.max(at));
        self.shown = Some(Shown { at, opened_at, since });
    }

    fn verdict(
        &self,
        now: Millis,
        end: &EndInDoubt,
        bounds: Bounds,
        signs: EndpointSigns,
    ) -> Option<EndVerdict> {
        let proof = |kind, at: Option<Millis>| {
            let at = at.filter(|at| *at >= bounds.proven_from)?;
            Some(EndVerdict::Proven(Proof { kind, at }))
        };
        let is_over = now >= bounds.until;
        let refuted = self.refuted.filter(|(at, _)| *at >= end.at).map(|(_, check)| check);
        let mut proven = proof(ProofKind::Heard, signs.heard_at);
        let shown = self.shown.filter(|shown| {
            // A process that ends may serve new connections for a while, and one that was restarted for good.
            let is_any_of_series = bounds.has_time && end.ran_at.is_none();
            let opened_at = if is_any_of_series { shown.since } else { shown.opened_at };
            opened_at <= bounds.opened_by
        });
        let shown_at = shown.map(|shown| shown.at);
        // After its end another process may reply at its address.
        if refuted != Some(EndpointCheck::Ended) {
            let open_at = self.open_at.filter(|at| end.ran_at.is_none() && *at <= bounds.open_by);
            proven = proven
                .or_else(|| proof(ProofKind::Replied, shown_at))
                .or_else(|| proof(ProofKind::Open, open_at));
        }
        if proven.is_some() {
            return proven;
        }
        if let Some(check) = refuted {
            let is_settled = now >= bounds.settled_from && !signs.is_awaited;
            return (is_settled || is_over).then_some(EndVerdict::NotShown(check));
        }
        // A check that runs may still show it.
        let is_silent = (is_over && self.running == 0) || now >= bounds.expires_at;
        (is_silent && bounds.is_whole_wait).then_some(EndVerdict::NotShown(EndpointCheck::Silent))
    }

    /// Returns when to begin the next check; none if it is due.
    fn next_check(
        &self,
        now: Millis,
        end: &EndInDoubt,
        bounds: Bounds,
        check_time: Millis,
        signs: EndpointSigns,
    ) -> Option<Millis> {
        let Bounds { proven_from, last_check_at, .. } = bounds;
        // The longer an endpoint is silent, the longer it is likely to be.
        let interval = bounds.interval.max(Millis((now - end.at).0 / CHECKS));
        // An endpoint that was silent may have gone on, so the next check is likely to show it.
        let has_gone_on = signs.arrived_at > self.began_at && self.began_at >= Some(end.at);
        if has_gone_on && now >= proven_from && self.running < MAX_RUNNING {
            return None;
        }
        // An early check can only refute, and open the connection for the next ones. That isn't worth it for
        // a caller that waits for the end.
        let first = (end.kind == EndKind::Plain).then_some(proven_from);
        let Some(began_at) = self.began_at else { return first };
        let first = first.map(|at| at.max(began_at + PLAIN_SPAN));
        if self.running > 0 {
            let can_wait = began_at >= proven_from || began_at + check_time <= last_check_at;
            if can_wait || self.running == MAX_RUNNING {
                return Some(now + interval);
            }
            return Some(proven_from);
        }
        match began_at {
            at if at < end.at => first,
            at if at < proven_from => Some(proven_from.min(at + interval)),
            at => Some(at + interval),
        }
    }
}

/// Decides which ends are checked by resuming their streams, for each service.
///
/// Where all streams end without a mark, most are whole, and each resumption would take a retry from
/// those that need it.
#[derive(Debug, Default)]
pub struct ResumeChecks {
    by_service: Map<Name, Skips>,
}

#[derive(Debug, Default)]
struct Skips {
    /// Number of ends that are skipped after the next check that shows nothing new.
    next: u32,
    left: u32,
}

impl ResumeChecks {
    /// Returns whether an end is checked.
    pub fn may_check(&mut self, service: &Name) -> bool {
        let skips = self.by_service.entry(service.clone()).or_default();
        let may_check = skips.left == 0;
        // Until the result is known, further ends are skipped like after the last one.
        skips.left = if may_check { skips.next } else { skips.left - 1 };
        may_check
    }

    /// Records whether a check has shown that a stream was short.
    pub fn record(&mut self, service: &Name, was_short: bool) {
        let skips = self.by_service.entry(service.clone()).or_default();
        skips.next = if was_short { 0 } else { (2 * skips.next + 1).min(MAX_SKIPPED) };
        skips.left = skips.next;
    }
}
