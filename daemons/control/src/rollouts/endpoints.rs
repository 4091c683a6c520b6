//! What the registry of endpoints says about the versions of a service.

use std::collections::BTreeSet;

use sill_base::{Map, Millis, Name};
use sill_rollout::PoolView;
use sill_wire::link::{EndpointFact, EndpointState};
use sill_wire::{Incarnation, Software};

/// How long endpoints of one version must be the only ready ones before it is in force.
const SOLE_VERSION_TIME: Millis = Millis(1000);

/// How long no endpoint of the version in force must have been present before another one replaces
/// it. A restart of all of them, or the end of a failure domain, takes less.
const ABSENT_TIME: Millis = Millis(10_000);

/// How long an endpoint that is no longer present is remembered.
const ENDED_TTL: Millis = Millis(600_000);

/// Upper bound on the incarnations of endpoints that are remembered.
const MAX_INCARNATIONS: usize = 20_000;

/// Remembers which endpoints ended without notice.
///
/// The registry doesn't know it: a silent endpoint may have announced before that it leaves, and a
/// restarted one replaces its earlier incarnation.
#[derive(Debug, Default)]
pub struct EndpointHistory {
    incarnations: Map<(Name, Incarnation), Remembered>,
}

#[derive(Debug)]
struct Remembered {
    service: Name,
    software: Software,
    /// Whether it has announced that it leaves.
    has_notice: bool,
    /// When it was found to be no longer present.
    ended_at: Option<Millis>,
}

/// Finds the version in force of a service while it has no order in progress.
#[derive(Debug)]
pub struct VersionWatch {
    sole: Option<(Software, Millis)>,
    stable_seen_at: Millis,
}

impl EndpointHistory {
    /// Records the current facts of all registered endpoints.
    pub fn record(&mut self, now: Millis, facts: &[EndpointFact]) {
        let mut present: BTreeSet<(&Name, Incarnation)> = BTreeSet::new();
        // A fact without a service is the end of an endpoint that was never heard of.
        for fact in facts.iter().filter(|fact| !fact.service.is_empty()) {
            let key = (fact.endpoint.clone(), fact.incarnation);
            let remembered = self.incarnations.entry(key).or_insert_with(|| Remembered {
                service: fact.service.clone(),
                software: fact.software.clone(),
                has_notice: false,
                ended_at: None,
            });
            remembered.software = fact.software.clone();
            let announces = matches!(fact.state, EndpointState::Leaving | EndpointState::Gone);
            remembered.has_notice |= announces || fact.leaves_in.is_some();
            if fact.state < EndpointState::Silent {
                // Endpoints of a failure domain that was cut off come back.
                remembered.ended_at = None;
                present.insert((&fact.endpoint, fact.incarnation));
            } else {
                remembered.ended_at.get_or_insert(now - fact.age);
            }
        }
        for ((endpoint, incarnation), remembered) in &mut self.incarnations {
            if !present.contains(&(endpoint, *incarnation)) {
                remembered.ended_at.get_or_insert(now);
            }
        }
        self.incarnations.retain(|_, remembered| {
            remembered.ended_at.is_none_or(|ended_at| now - ended_at < ENDED_TTL)
        });
        if self.incarnations.len() > MAX_INCARNATIONS {
            self.incarnations.retain(|_, remembered| remembered.ended_at.is_none());
        }
    }

    /// Counts the endpoints of a service by version, for an order to move it to `to` given at
    /// `since`. `has_crashed` tells whether entry instances reported a crash of an incarnation.
    pub fn pool_view<F>(
        &self,
        facts: &[EndpointFact],
        service: &Name,
        to: &Software,
        since: Millis,
        has_crashed: F,
    ) -> PoolView
    where
        F: Fn(&Name, Incarnation) -> bool,
    {
        let mut view = PoolView::default();
        let is_ready = |f: &&EndpointFact| f.service == *service && f.state == EndpointState::Ready;
        for fact in facts.iter().filter(is_ready) {
            let (ready, slots) = if fact.software == *to {
                (&mut view.candidate_ready, &mut view.candidate_slots)
            } else {
                (&mut view.stable_ready, &mut view.stable_slots)
            };
            *ready += 1;
            *slots += fact.slots;
        }
        for ((endpoint, incarnation), remembered) in &self.incarnations {
            let has_ended = remembered.ended_at.is_some_and(|at| at >= since);
            let is_crash = has_ended || has_crashed(endpoint, *incarnation);
            if remembered.service != *service || remembered.has_notice || !is_crash {
                continue;
            }
            if remembered.software == *to {
                view.candidate_crashed += 1;
            } else {
                view.stable_crashed += 1;
            }
        }
        view
    }
}

impl VersionWatch {
    /// Creates a watch that has seen nothing.
    pub fn new(now: Millis) -> Self {
        Self { sole: None, stable_seen_at: now }
    }

    /// Returns the version that is found to be in force, if it is another than `stable`. Endpoints
    /// of the versions in `excluded` don't count.
    pub fn find(
        &mut self,
        now: Millis,
        facts: &[EndpointFact],
        service: &Name,
        stable: Option<&Software>,
        excluded: &[Software],
    ) -> Option<Software> {
        let of_service = facts.iter().filter(|fact| fact.service == *service);
        let is_stable = |fact: &EndpointFact| stable == Some(&fact.software);
        let is_present = |fact: &EndpointFact| fact.state < EndpointState::Silent;
        if stable.is_none() || of_service.clone().any(|f| is_present(f) && is_stable(f)) {
            self.stable_seen_at = now;
        }
        let ready: BTreeSet<&Software> = of_service
            .filter(|fact| fact.state == EndpointState::Ready && !fact.software.is_ambiguous())
            .map(|fact| &fact.software)
            .filter(|software| !excluded.contains(software))
            .collect();
        let sole = ready.first().filter(|_| ready.len() == 1).map(|sole| (*sole).clone());
        let Some(sole) = sole else {
            self.sole = None;
            return None;
        };
        let since = match &self.sole {
            Some((known, since)) if *known == sole => *since,
            _ => {
                self.sole = Some((sole.clone(), now));
                now
            }
        };
        let is_absent = stable.is_none() || now - self.stable_seen_at >= ABSENT_TIME;
        let is_found = stable != Some(&sole) && is_absent && now - since >= SOLE_VERSION_TIME;
        is_found.then_some(sole)
    }
}
