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

/// Number of checks of an endpoint in that time.
const CHECKS: u64 = 4;

/// Upper bound on the ends that are not resumed after one whose resumption showed nothing new.
const MAX_SKIPPED: u32 = 63;

/// Checks of the endpoints at which streams have ended. All ends at an endpoint share its checks.
#[derive(Debug)]
pub struct EndChecks<K> {
    span: Millis,
    by_endpoint: Map<K, Checks>,
}

#[derive(Debug, Default)]
struct Checks {
    /// When the newest check began.
    began_at: Option<Millis>,
    is_running: bool,
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
}

impl<K> EndChecks<K>
where
    K: Eq + Hash + Clone,
{
    /// Creates a record without checks. Endpoints announce themselves at this interval.
    pub fn new(heartbeat: Millis) -> Self {
        Self { span: heartbeat.min(MAX_SPAN), by_endpoint: Map::default() }
    }

    /// Returns what to do about a stream of an endpoint that ended at `ended_at`. A check that it asks
    /// for counts as begun.
    pub fn step(&mut self, now: Millis, endpoint: &K, ended_at: Millis) -> EndStep {
        let proven_from = ended_at + self.span;
        let checks = self.by_endpoint.entry(endpoint.clone()).or_default();
        if let Some((at, check)) = checks.not_shown
            && at >= ended_at
        {
            return EndStep::Decided(check);
        }
        if checks.shown_at.is_some_and(|at| at >= proven_from) {
            return EndStep::Decided(EndpointCheck::Running);
        }
        if checks.is_running {
            return EndStep::Wait(now + self.span);
        }
        let due = match checks.began_at {
            Some(began_at) if began_at >= ended_at => {
                proven_from.min(began_at + Millis(self.span.0 / CHECKS))
            }
            _ => now,
        };
        if now < due {
            return EndStep::Wait(due);
        }
        checks.began_at = Some(now);
        checks.is_running = true;
        EndStep::Check
    }

    /// Records the result of the check that is running.
    pub fn record(&mut self, now: Millis, endpoint: &K, check: EndpointCheck) {
        let checks = self.by_endpoint.entry(endpoint.clone()).or_default();
        checks.is_running = false;
        match check {
            EndpointCheck::Running => checks.shown_at = checks.began_at,
            _ => checks.not_shown = Some((now, check)),
        }
        // The end that asked for the oldest check has been decided, or its caller has left.
        let kept = self.span + self.span;
        self.by_endpoint.retain(|_, checks| {
            checks.is_running || checks.began_at.is_some_and(|at| now - at < kept)
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
