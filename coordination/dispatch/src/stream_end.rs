//! Decides whether streams are whole whose ends have no mark.
//!
//! An endpoint that ends closes its connections and its listener one after the other, so a connection
//! that opens right after an end proves nothing. A stream counts as whole once its endpoint is shown to
//! run later than its end by the interval at which endpoints announce themselves, 0.8 s at most.

use std::hash::Hash;

use sill_base::{Map, Millis, Name};

use crate::check::EndpointCheck;

/// Upper bound on the time by which an endpoint has to outlive an end. Callers leave after 2 s of
/// silence.
const MAX_SPAN: Millis = Millis(800);

/// Lower bound on that time, where less is left than the usual one. Listeners outlive the connections
/// of a process that ends by up to this long.
const MIN_SPAN: Millis = Millis(300);

/// Number of checks of an endpoint in that time.
const CHECKS: u64 = 4;

/// Upper bound on the checks of an endpoint that run at the same time. A second one is needed only for
/// an end that can't wait for the first.
const MAX_RUNNING: usize = 3;

/// Upper bound on the ends that are not resumed after one whose resumption showed nothing new.
const MAX_SKIPPED: u32 = 63;

/// Checks of the endpoints at which streams have ended. All ends at an endpoint share its checks.
#[derive(Debug)]
pub struct EndChecks<K> {
    span: Millis,
    /// Time that a check takes.
    check_time: Millis,
    by_endpoint: Map<K, Checks>,
}

#[derive(Debug, Default)]
struct Checks {
    /// When the newest check began.
    began_at: Option<Millis>,
    running: usize,
    /// When the newest check began that found the endpoint running.
    shown_at: Option<Millis>,
    /// When the newest check ended that did not, and its result.
    not_shown: Option<(Millis, EndpointCheck)>,
}

/// What to do next about an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndStep {
    /// Check the endpoint, and record the result.
    Check,
    /// Ask again at this time, or once a check has ended.
    Wait(Millis),
    /// The stream is whole if the endpoint runs, and otherwise not.
    Decided(EndpointCheck),
    /// Too little time is left to show anything.
    NoTime,
}

impl<K> EndChecks<K>
where
    K: Eq + Hash + Clone,
{
    /// Creates a record without checks. Endpoints announce themselves at the interval `heartbeat`, and a
    /// check takes at most `check_time`.
    pub fn new(heartbeat: Millis, check_time: Millis) -> Self {
        Self { span: heartbeat.min(MAX_SPAN), check_time, by_endpoint: Map::default() }
    }

    /// Returns what to do about a stream of an endpoint that ended at `ended_at`, and about which must
    /// be decided by `decide_by`. A check that it asks for counts as begun now.
    pub fn step(
        &mut self,
        now: Millis,
        endpoint: &K,
        ended_at: Millis,
        decide_by: Millis,
    ) -> EndStep {
        let last_check_at = decide_by - self.check_time;
        let proven_from = (ended_at + self.span).min(last_check_at);
        let has_time = proven_from >= ended_at + self.span.min(MIN_SPAN);
        let checks = self.by_endpoint.entry(endpoint.clone()).or_default();
        if let Some((at, check)) = checks.not_shown
            && at >= ended_at
        {
            return EndStep::Decided(check);
        }
        if !has_time {
            return EndStep::NoTime;
        }
        if checks.shown_at.is_some_and(|at| at >= proven_from) {
            return EndStep::Decided(EndpointCheck::Running);
        }
        if let Some(began_at) = checks.began_at
            && checks.running > 0
        {
            let can_wait = began_at >= proven_from || began_at + self.check_time <= last_check_at;
            if can_wait || checks.running == MAX_RUNNING {
                return EndStep::Wait(now + self.span);
            }
            if now < proven_from {
                return EndStep::Wait(proven_from);
            }
        } else {
            let due = match checks.began_at {
                Some(began_at) if began_at >= ended_at => {
                    proven_from.min(began_at + Millis(self.span.0 / CHECKS))
                }
                _ => now,
            };
            if now < due {
                return EndStep::Wait(due);
            }
        }
        checks.began_at = Some(now);
        checks.running += 1;
        EndStep::Check
    }

    /// Records the result of a check that began at `began_at`.
    pub fn record(&mut self, now: Millis, endpoint: &K, began_at: Millis, check: EndpointCheck) {
        let checks = self.by_endpoint.entry(endpoint.clone()).or_default();
        checks.running = checks.running.saturating_sub(1);
        match check {
            EndpointCheck::Running => checks.shown_at = checks.shown_at.max(Some(began_at)),
            _ => checks.not_shown = Some((now, check)),
        }
        // The end that asked for the oldest check has been decided, or its caller has left.
        let kept = self.span + self.span;
        self.by_endpoint.retain(|_, checks| {
            checks.running > 0 || checks.began_at.is_some_and(|at| now - at < kept)
        });
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
