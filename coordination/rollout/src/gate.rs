//! Which versions and endpoints of a service a request may use at one entry instance.

use sill_base::{Millis, Name};
use sill_wire::rollout::{Candidate, RolloutPhase, ServiceVersions, probe_rank};
use sill_wire::software::SoftwareFilter;
use sill_wire::{Incarnation, Software};

/// Time without a reply of a control instance with a leader after which the candidate gets nothing.
/// The verdict on a bad version would not be heard, and polls return every 250 ms.
pub const LEADERLESS_LIMIT: Millis = Millis(2000);

/// Upper bound on the credit, so that an instance whose candidate had no room sends no burst later.
const MAX_CREDIT: f64 = 2.0;

/// The credit that one request to the candidate costs.
const SEND_COST: f64 = 1.0;

/// A version with ready endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadyVersion {
    /// The version.
    pub software: Software,
    /// The start of the ready endpoint that was started first.
    pub first_started: Incarnation,
}

/// What a request needs an endpoint for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need<'a> {
    /// The first attempt.
    New,
    /// An attempt after a failed one, while no part of an answer has reached the caller.
    Retry {
        /// Whether an attempt failed at the candidate.
        after_candidate: bool,
    },
    /// The continuation of a stream that an endpoint of this version began.
    Continue(&'a Software),
}

/// Which endpoints of the admitted versions a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointSubset {
    /// All of them.
    All,
    /// Those of the first so many by [`probe_rank`] that are not cold.
    Probed(u32),
}

/// Versions and endpoints that a request may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// The versions.
    pub software: SoftwareFilter,
    /// The endpoints of these versions.
    pub endpoints: EndpointSubset,
}

/// What an instance has counted since it learned of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateCounts {
    /// The order.
    pub order: u64,
    /// The newest decision on the service that the instance has applied.
    pub step: u64,
    /// Requests that were sent since to endpoints of any version and whose answers began.
    pub sent: u64,
    /// Requests that were sent to the candidate, each attempt and resumption counted.
    pub sent_to_candidate: u64,
}

/// Decides which endpoints of one service requests may use at one entry instance.
///
/// While a candidate is probed, a request is sent there for a credit that requests of the same
/// instance have earned since it learned of the order. The bound on what a candidate gets therefore
/// holds for any set of instances without messages between them.
#[derive(Debug, Default, Clone)]
pub struct Gate {
    versions: Option<ServiceVersions>,
    credit: f64,
    sent: u64,
    sent_to_candidate: u64,
    led_at: Option<Millis>,
}

impl Gate {
    /// Applies what a control instance reports. Returns whether it is newer than what was known.
    pub fn apply(&mut self, versions: &ServiceVersions) -> bool {
        if self.versions.as_ref().is_some_and(|known| known.step >= versions.step) {
            return false;
        }
        let order = versions.candidate.as_ref().map(|candidate| candidate.order);
        if order.is_none() || order != self.order() {
            self.credit = 0.0;
            self.sent = 0;
            self.sent_to_candidate = 0;
        }
        self.versions = Some(versions.clone());
        true
    }

    /// Records the reply of a control instance that is in contact with a leader.
    pub fn record_leader(&mut self, now: Millis) {
        self.led_at = Some(now);
    }

    /// Returns what is known of the service's versions.
    pub const fn versions(&self) -> Option<&ServiceVersions> {
        self.versions.as_ref()
    }

    /// Returns the order in progress. A request keeps the order under which it was sent for
    /// [`record_answer`](Self::record_answer).
    pub fn order(&self) -> Option<u64> {
        self.candidate().map(|candidate| candidate.order)
    }

    /// Returns the counts since the order in progress; none without one.
    pub fn counts(&self) -> Option<GateCounts> {
        Some(GateCounts {
            order: self.order()?,
            step: self.versions.as_ref()?.step,
            sent: self.sent,
            sent_to_candidate: self.sent_to_candidate,
        })
    }

    /// Returns whether requests to this version are counted as sent to the candidate.
    pub fn is_candidate(&self, software: &Software) -> bool {
        self.candidate().is_some_and(|candidate| candidate.software == *software)
    }

    /// Returns whether this version was reverted and may get no requests. A version that an order
    /// names again, or that is in force, may.
    pub fn is_rejected(&self, software: &Software) -> bool {
        let Some(versions) = &self.versions else { return false };
        versions.rejected.contains(software)
            && versions.stable.as_ref() != Some(software)
            && !self.is_candidate(software)
    }

    /// Records that a request leaves for an endpoint of this version. Has to be called before the
    /// next request is admitted.
    pub fn record_sent(&mut self, software: &Software) {
        let Some(phase) = self.candidate().map(|candidate| candidate.phase) else { return };
        if !self.is_candidate(software) {
            return;
        }
        self.sent_to_candidate += 1;
        self.credit -= SEND_COST;
        // From shifting on, the candidate also takes what stable has no room for. That must not
        // keep later requests from it.
        if phase != RolloutPhase::Probing {
            self.credit = self.credit.max(0.0);
        }
    }

    /// Records that the answer to a request began, once for each request. `order` is the one under
    /// which it was sent: requests from before the order earn no credit.
    pub fn record_answer(&mut self, order: Option<u64>) {
        let Some(candidate) = self.candidate() else { return };
        if order != Some(candidate.order) {
            return;
        }
        self.credit = (self.credit + candidate.share.clamp(0.0, 1.0)).min(MAX_CREDIT);
        self.sent += 1;
    }

    /// Returns what a request may use, the preferred first; the next is for a request that the one
    /// before can't take. If the list is empty, the request must be refused.
    pub fn admissions(
        &self,
        now: Millis,
        need: Need<'_>,
        ready: &[ReadyVersion],
    ) -> Vec<Admission> {
        if let Need::Continue(software) = need {
            return self.continuation(now, software, ready);
        }
        let stable = || all(self.stable_filter(ready));
        let Some(candidate) = self.candidate() else { return vec![stable()] };
        if self.is_withheld(now, ready) {
            return vec![stable()];
        }
        let has_credit = self.credit >= SEND_COST;
        let to_candidate = candidate_admission(candidate);
        match candidate.phase {
            // A request that failed elsewhere says little about the candidate and may be the cause
            // of its failure, so retries don't probe.
            RolloutPhase::Probing if has_credit && need == Need::New => {
                vec![to_candidate, stable()]
            }
            RolloutPhase::Probing => vec![stable()],
            RolloutPhase::Shifting => {
                let is_preferred = has_credit && need != Need::Retry { after_candidate: true };
                match is_preferred {
                    true => vec![to_candidate, stable()],
                    false => vec![stable(), to_candidate],
                }
            }
            RolloutPhase::Draining if is_ready(&candidate.software, ready) => vec![to_candidate],
            RolloutPhase::Draining => vec![stable()],
        }
    }

    fn candidate(&self) -> Option<&Candidate> {
        self.versions.as_ref()?.candidate.as_ref()
    }

    /// Returns what the continuation of a stream may use: endpoints of its own version, unless that
    /// one may get nothing.
    fn continuation(
        &self,
        now: Millis,
        software: &Software,
        ready: &[ReadyVersion],
    ) -> Vec<Admission> {
        if self.is_rejected(software) {
            return Vec::new();
        }
        let Some(candidate) = self.candidate().filter(|c| c.software == *software) else {
            return vec![all(SoftwareFilter::Only(software.clone()))];
        };
        let lacks_credit = candidate.phase == RolloutPhase::Probing && self.credit < SEND_COST;
        match lacks_credit || self.is_withheld(now, ready) {
            true => Vec::new(),
            false => vec![candidate_admission(candidate)],
        }
    }

    /// Returns whether the candidate gets nothing because the instance has lost the leader.
    fn is_withheld(&self, now: Millis, ready: &[ReadyVersion]) -> bool {
        let is_led = self.led_at.is_some_and(|led_at| now - led_at <= LEADERLESS_LIMIT);
        !is_led && self.is_stable_ready(ready)
    }

    fn is_stable_ready(&self, ready: &[ReadyVersion]) -> bool {
        match self.versions.as_ref().and_then(|versions| versions.stable.as_ref()) {
            Some(stable) => is_ready(stable, ready),
            None => self.first_started(ready).is_some(),
        }
    }

    /// Returns the version that was started first among those that are neither candidate nor
    /// rejected.
    fn first_started<'a>(&self, ready: &'a [ReadyVersion]) -> Option<&'a Software> {
        let is_allowed = |version: &&ReadyVersion| {
            let software = &version.software;
            !software.is_ambiguous() && !self.is_candidate(software) && !self.is_rejected(software)
        };
        let first = ready.iter().filter(is_allowed);
        let first = first.min_by_key(|version| (version.first_started, &version.software));
        first.map(|version| &version.software)
    }

    /// Returns the versions for requests that don't go to the candidate.
    fn stable_filter(&self, ready: &[ReadyVersion]) -> SoftwareFilter {
        let Some(versions) = &self.versions else {
            return match self.first_started(ready) {
                Some(first) if ready.len() > 1 => SoftwareFilter::Only(first.clone()),
                _ => SoftwareFilter::Any,
            };
        };
        let in_force = match &versions.stable {
            Some(stable) => Some(stable).filter(|stable| is_ready(stable, ready)),
            None => self.first_started(ready),
        };
        if let Some(in_force) = in_force {
            return SoftwareFilter::Only(in_force.clone());
        }
        let mut excluded: Vec<Software> = versions.rejected.clone();
        excluded.extend(versions.candidate.iter().map(|candidate| candidate.software.clone()));
        excluded.retain(|software| versions.stable.as_ref() != Some(software));
        match excluded.is_empty() {
            true => SoftwareFilter::Any,
            false => SoftwareFilter::Except(excluded),
        }
    }
}

/// Returns the first `count` endpoints by [`probe_rank`]; all instances choose the same.
pub fn probed<'a, I>(endpoints: I, count: u32) -> Vec<&'a Name>
where
    I: IntoIterator<Item = &'a Name>,
{
    let mut ranked: Vec<(u64, &Name)> =
        endpoints.into_iter().map(|endpoint| (probe_rank(endpoint), endpoint)).collect();
    ranked.sort_unstable();
    ranked.truncate(count as usize);
    ranked.into_iter().map(|(_, endpoint)| endpoint).collect()
}

const fn all(software: SoftwareFilter) -> Admission {
    Admission { software, endpoints: EndpointSubset::All }
}

fn candidate_admission(candidate: &Candidate) -> Admission {
    let endpoints = match candidate.phase {
        RolloutPhase::Probing => EndpointSubset::Probed(candidate.endpoints),
        RolloutPhase::Shifting | RolloutPhase::Draining => EndpointSubset::All,
    };
    Admission { software: SoftwareFilter::Only(candidate.software.clone()), endpoints }
}

fn is_ready(software: &Software, ready: &[ReadyVersion]) -> bool {
    ready.iter().any(|version| version.software.is_compatible(software))
}
