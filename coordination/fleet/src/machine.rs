//! State machine by which the leading control instance manages the instances of all services.

use std::collections::BTreeMap;

use sill_base::random::{self, Rng};
use sill_base::{Machine, Millis, Name};

use crate::backoff::Backoff;
use crate::baseline;
use crate::cfg::FleetCfg;
use crate::demand::DemandWindow;
use crate::event::{Action, Event, ServiceTarget, StartId};
use crate::loads::{Load, LoadQueue};
use crate::offer::{Offer, OfferKey};
use crate::plan::{Candidate, Need, Plan};

/// Plans, starts, drains and stops the instances of all services.
#[derive(Debug)]
pub struct Fleet {
    cfg: FleetCfg,
    rng: Rng,
    /// Term of the own leadership; `None` while another control instance leads.
    term: Option<u64>,
    next_start: u64,
    offers: BTreeMap<OfferKey, Offer>,
    services: BTreeMap<Name, ServiceState>,
    instances: BTreeMap<Name, Instance>,
    pending_starts: BTreeMap<StartId, PendingStart>,
    backoff: Backoff,
    loads: LoadQueue,
}

#[derive(Debug)]
struct ServiceState {
    target: ServiceTarget,
    demand: DemandWindow,
    excess_since: Option<Millis>,
    plan: Plan,
}

#[derive(Debug, Clone)]
struct Instance {
    service: Name,
    key: OfferKey,
    first_announced_at: Millis,
    loaded: bool,
    running: u32,
    stage: Stage,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Serving,
    Reclaimed,
    Draining { since: Millis },
    Stopped,
}

/// A start that was requested, of an instance that has not announced itself yet.
#[derive(Debug, Clone)]
struct PendingStart {
    service: Name,
    key: OfferKey,
    requested_at: Millis,
    /// Name of the instance, once the platform granted the start.
    instance: Option<Name>,
}

/// Plan for a service, with the number of instances that serve or start by offer before the plan is
/// carried out.
///
/// Starts bring no count above its plan, so these counts also determine the excess.
#[derive(Debug)]
struct PlanChoice {
    plan: Plan,
    current: BTreeMap<OfferKey, u32>,
}

impl PlanChoice {
    fn current_count(&self, key: &OfferKey) -> u32 {
        self.current.get(key).copied().unwrap_or(0)
    }
}

/// Capacity of a service that can serve, with weights loaded.
#[derive(Debug, Default)]
struct ReadyCapacity {
    slots_by_domain: BTreeMap<Name, u32>,
    instances: u32,
}

impl ReadyCapacity {
    /// Removes an instance if the need is met without it, and returns whether it did.
    fn try_remove(&mut self, need: &Need, domain: &Name, slots: u32) -> bool {
        let before = self.slots_by_domain.get(domain).copied().unwrap_or(0);
        self.slots_by_domain.insert(domain.clone(), before.saturating_sub(slots));
        let total: u32 = self.slots_by_domain.values().sum();
        let largest = self.slots_by_domain.values().copied().max().unwrap_or(0);
        if total - largest >= need.slots && self.instances > need.min_instances {
            self.instances -= 1;
            return true;
        }
        self.slots_by_domain.insert(domain.clone(), before);
        false
    }
}

impl Fleet {
    /// Creates a fleet without services, offers and instances that does not lead.
    pub fn new(cfg: FleetCfg) -> Self {
        Self {
            rng: random::seeded(cfg.seed),
            term: None,
            next_start: 1,
            offers: BTreeMap::new(),
            services: BTreeMap::new(),
            instances: BTreeMap::new(),
            pending_starts: BTreeMap::new(),
            backoff: Backoff::new(cfg.backoff),
            loads: LoadQueue::new(cfg.store_megabytes_per_s),
            cfg,
        }
    }

    /// Returns the plan in force for a service.
    pub fn plan(&self, service: &str) -> Option<&Plan> {
        self.services.get(service).map(|s| &s.plan)
    }

    /// Returns whether an offer is not requested now because of refusals.
    pub fn is_blocked(&self, now: Millis, key: &OfferKey) -> bool {
        self.backoff.is_blocked(now, key)
    }

    /// Checks timeouts, then starts, drains and loads instances according to new plans.
    fn reconcile(&mut self, now: Millis, out: &mut Vec<Action>) {
        let Some(term) = self.term else {
            return;
        };
        self.check_timeouts(now, out);
        let names: Vec<Name> = self.services.keys().cloned().collect();
        for service in names {
            let choice = self.choose_plan(now, &service);
            self.start_missing(now, term, &service, &choice, out);
            self.stop_excess(now, &service, &choice, out);
            if let Some(state) = self.services.get_mut(&service) {
                state.plan = choice.plan;
            }
        }
        self.start_loads(now, out);
    }

    fn need(&self, service: &ServiceState) -> Need {
        let slots = service.demand.max() * self.cfg.headroom_percent / 100;
        Need { slots, min_instances: service.target.min_instances }
    }

    fn choose_plan(&self, now: Millis, name: &Name) -> PlanChoice {
        let service = &self.services[name];
        let need = self.need(service);
        let allowed =
            |o: &&Offer| o.is_allowed(&service.target.placement, service.target.price_cap);
        let current = self.count_instances(name);
        let candidate = |offer: &Offer| {
            let running = current.get(&offer.key).copied().unwrap_or(0);
            let blocked = self.backoff.is_blocked(now, &offer.key);
            Candidate {
                price: offer.price_with_risk(self.cfg.cost_of_reclaim),
                running,
                limit: if blocked { running } else { u32::MAX / 4 },
                offer: offer.clone(),
            }
        };
        let candidates: Vec<Candidate> =
            self.offers.values().filter(allowed).map(candidate).collect();
        PlanChoice { plan: baseline::plan_for_policy(self.cfg.policy, &need, candidates), current }
    }

    /// Returns the number of a service's instances that serve or start, by offer.
    fn count_instances(&self, service: &Name) -> BTreeMap<OfferKey, u32> {
        let serving = self.instances.values().filter(|i| i.stage == Stage::Serving);
        let serving = serving.filter(|i| i.service == *service).map(|i| &i.key);
        let starting =
            self.pending_starts.values().filter(|s| s.service == *service).map(|s| &s.key);
        let mut counts = BTreeMap::new();
        for key in serving.chain(starting) {
            match counts.get_mut(key) {
                Some(count) => *count += 1,
                None => {
                    counts.insert(key.clone(), 1);
                }
            }
        }
        counts
    }

    fn start_missing(
        &mut self,
        now: Millis,
        term: u64,
        service: &Name,
        choice: &PlanChoice,
        out: &mut Vec<Action>,
    ) {
        let mut starts_left = self.cfg.max_starts_per_step;
        for (key, wanted) in &choice.plan.counts {
            let missing = wanted.saturating_sub(choice.current_count(key)).min(starts_left);
            starts_left -= missing;
            for _ in 0..missing {
                let id = StartId { term, sequence: self.next_start };
                self.next_start += 1;
                let start = PendingStart {
                    service: service.clone(),
                    key: key.clone(),
                    requested_at: now,
                    instance: None,
                };
                self.pending_starts.insert(id, start);
                let why = format!(
                    "{} slots needed without the largest domain; plan has {wanted} of this offer",
                    self.need(&self.services[service]).slots
                );
                out.push(Action::Start { id, key: key.clone(), service: service.clone(), why });
            }
        }
    }

    /// Drains instances beyond the plan, once there has been an excess for the minimum stay and as
    /// far as the remaining ready capacity meets the need.
    fn stop_excess(
        &mut self,
        now: Millis,
        service: &Name,
        choice: &PlanChoice,
        out: &mut Vec<Action>,
    ) {
        let excess = self.excess(now, service, choice);
        let state = self.services.get_mut(service).expect("the planned service has no state");
        if excess.is_empty() {
            state.excess_since = None;
            return;
        }
        let since = *state.excess_since.get_or_insert(now);
        if now - since < self.cfg.min_stay {
            return;
        }
        let need = self.need(&self.services[service]);
        let mut ready = self.ready_capacity(service);
        for name in excess {
            let instance = self.instances.get_mut(&name).expect("an excess instance has no state");
            let slots = self.offers.get(&instance.key).map_or(0, |o| o.slots);
            if instance.loaded && !ready.try_remove(&need, &instance.key.domain, slots) {
                continue;
            }
            instance.stage = Stage::Draining { since: now };
            let why = format!("not needed for {} ms", now - since);
            out.push(Action::Drain { instance: name, why });
        }
    }

    /// Returns the instances beyond the plan, those with the fewest requests in flight first.
    /// Instances that have not reached the minimum stay are left out.
    fn excess(&self, now: Millis, service: &Name, choice: &PlanChoice) -> Vec<Name> {
        let mut surplus: BTreeMap<&OfferKey, u32> = BTreeMap::new();
        for (key, count) in &choice.current {
            let wanted = choice.plan.counts.get(key).copied().unwrap_or(0);
            surplus.insert(key, count.saturating_sub(wanted));
        }
        let mut candidates: Vec<_> = self
            .instances
            .iter()
            .filter(|(_, i)| i.service == *service && i.stage == Stage::Serving)
            .filter(|(_, i)| now - i.first_announced_at >= self.cfg.min_stay)
            .collect();
        candidates.sort_by_key(|(_, i)| i.running);
        let mut excess = Vec::new();
        for (name, instance) in candidates {
            if let Some(count) = surplus.get_mut(&instance.key).filter(|count| **count > 0) {
                *count -= 1;
                excess.push(name.clone());
            }
        }
        excess
    }

    /// Returns the capacity of a service that can serve, with weights loaded.
    fn ready_capacity(&self, service: &Name) -> ReadyCapacity {
        let mut ready = ReadyCapacity::default();
        let serving = self.instances.values().filter(|i| i.stage == Stage::Serving && i.loaded);
        for instance in serving.filter(|i| i.service == *service) {
            let slots = self.offers.get(&instance.key).map_or(0, |o| o.slots);
            *ready.slots_by_domain.entry(instance.key.domain.clone()).or_default() += slots;
            ready.instances += 1;
        }
        ready
    }

    fn check_timeouts(&mut self, now: Millis, out: &mut Vec<Action>) {
        let limit = self.cfg.start_timeout;
        let overdue: Vec<StartId> = self
            .pending_starts
            .iter()
            .filter(|(_, s)| now - s.requested_at > limit)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let start = self.pending_starts.remove(&id).expect("an overdue start has no state");
            self.backoff.record_refusal(now, &start.key, &mut self.rng);
            if let Some(instance) = start.instance {
                let why = format!("did not announce itself in {limit} ms");
                out.push(Action::Stop { instance, why });
            }
        }
        for (name, instance) in &mut self.instances {
            let Stage::Draining { since } = instance.stage else {
                continue;
            };
            let why = if instance.running == 0 {
                "drained"
            } else if now - since > self.cfg.drain_timeout {
                "did not drain in time"
            } else {
                continue;
            };
            instance.stage = Stage::Stopped;
            out.push(Action::Stop { instance: name.clone(), why: why.to_owned() });
        }
    }

    fn start_loads(&mut self, now: Millis, out: &mut Vec<Action>) {
        let (instances, services) = (&self.instances, &self.services);
        // The load of the service with the smallest loaded share of its plan is the most urgent.
        let urgency = |load: &Load| {
            let service =
                &instances.get(&load.endpoint).map(|i| i.service.clone()).unwrap_or_default();
            let loaded = instances.values().filter(|i| i.service == *service && i.loaded).count();
            let wanted: u32 =
                services.get(service).map_or(0, |s| s.plan.counts.values().sum::<u32>());
            u64::from(wanted).saturating_sub(loaded as u64) * 1000 / u64::from(wanted.max(1))
        };
        while let Some(load) = self.loads.next(now, urgency) {
            let why = format!("{} loads wait for the store", self.loads.len());
            out.push(Action::LoadModel {
                instance: load.endpoint,
                model: load.model,
                version: load.version,
                why,
            });
        }
    }

    fn apply_announcement(&mut self, instance: Name, reported: Instance) {
        if !self.instances.contains_key(&instance) {
            self.pending_starts.retain(|_, s| s.instance.as_ref() != Some(&instance));
        }
        let is_first = !self.instances.contains_key(&instance);
        let state = self.instances.entry(instance.clone()).or_insert_with(|| reported.clone());
        let was_loaded = std::mem::replace(&mut state.loaded, reported.loaded);
        state.running = reported.running;
        // The platform never withdraws a reclaim notice from an instance.
        if reported.stage == Stage::Reclaimed {
            state.stage = Stage::Reclaimed;
        }
        let is_serving = state.stage == Stage::Serving;
        if reported.loaded || !is_serving {
            if is_first || !was_loaded || !is_serving {
                self.loads.remove_endpoint(&instance);
            }
            return;
        }
        if let Some(service) =
            self.services.get(&reported.service).filter(|s| s.target.megabytes > 0)
        {
            self.loads.add(Load {
                endpoint: instance,
                model: reported.service,
                version: service.target.version.clone(),
                megabytes: service.target.megabytes,
            });
        }
    }
}

impl Machine for Fleet {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        let mut must_reconcile = false;
        match event {
            Event::LeadershipGained { term } => {
                self.term = Some(term);
                self.next_start = 1;
            }
            Event::LeadershipLost => self.term = None,
            Event::Settings(targets) => self.set_targets(targets),
            Event::Offers(offers) => {
                self.offers = offers.into_iter().map(|o| (o.key.clone(), o)).collect();
            }
            Event::Demand { service, slots } => {
                if let Some(service) = self.services.get_mut(&service) {
                    service.demand.record(now, slots);
                }
            }
            Event::StartLogged { id, key, service } => {
                let start = PendingStart { service, key, requested_at: now, instance: None };
                self.pending_starts.entry(id).or_insert(start);
            }
            Event::StartGranted { id, instance } => {
                if let Some(start) = self.pending_starts.get_mut(&id) {
                    self.backoff.record_grant(&start.key);
                    start.instance = Some(instance.clone());
                }
                // If the announcement arrived before the grant, the instance would count twice and
                // the plan would be one instance short.
                if self.instances.contains_key(&instance) {
                    self.pending_starts.remove(&id);
                }
            }
            Event::StartRefused { id } => {
                if let Some(start) = self.pending_starts.remove(&id) {
                    self.backoff.record_refusal(now, &start.key, &mut self.rng);
                    // Requests instances of other offers without waiting for the next tick.
                    must_reconcile = true;
                }
            }
            Event::Announcement { instance, key, service, loaded, running, leaving } => {
                let stage = leaving.map_or(Stage::Serving, |_| Stage::Reclaimed);
                let was_leaving =
                    self.instances.get(&instance).is_some_and(|i| i.stage == Stage::Reclaimed);
                // Requests a replacement with the reclaim notice, not with the next tick.
                must_reconcile = leaving.is_some() && !was_leaving;
                self.apply_announcement(
                    instance,
                    Instance { service, key, first_announced_at: now, loaded, running, stage },
                );
            }
            Event::InstanceGone { instance } => {
                self.loads.remove_endpoint(&instance);
                must_reconcile =
                    self.instances.remove(&instance).is_some_and(|i| i.stage == Stage::Serving);
            }
            Event::Tick => must_reconcile = true,
        }
        if must_reconcile {
            self.reconcile(now, out);
        }
    }
}

impl Fleet {
    /// Replaces the settings. Services that stay keep their demand and plan; others are dropped.
    fn set_targets(&mut self, targets: Vec<ServiceTarget>) {
        let mut services = BTreeMap::new();
        for target in targets {
            let previous = self.services.remove(&target.service);
            let state = match previous {
                Some(previous) => ServiceState { target, ..previous },
                None => ServiceState {
                    demand: DemandWindow::new(self.cfg.demand_window),
                    excess_since: None,
                    plan: Plan::default(),
                    target,
                },
            };
            services.insert(state.target.service.clone(), state);
        }
        self.services = services;
    }
}
