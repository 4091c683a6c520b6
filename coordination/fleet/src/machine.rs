//! The fleet of all services, as the leading control instance runs it.

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

/// Chooses, starts and stops instances.
#[derive(Debug)]
pub struct Fleet {
    cfg: FleetCfg,
    rng: Rng,
    term: Option<u64>,
    next_start: u64,
    offers: BTreeMap<OfferKey, Offer>,
    services: BTreeMap<Name, ServiceState>,
    instances: BTreeMap<Name, Instance>,
    starting: BTreeMap<StartId, Starting>,
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
    since: Millis,
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

#[derive(Debug, Clone)]
struct Starting {
    service: Name,
    key: OfferKey,
    since: Millis,
    instance: Option<Name>,
}

/// The plan for a service, and the instances that serve or will, by offer, before it is carried out.
///
/// Starts bring no count over its plan, so the counts hold for the excess as well.
#[derive(Debug)]
struct Choice {
    plan: Plan,
    counts: BTreeMap<OfferKey, u32>,
}

impl Choice {
    fn count(&self, key: &OfferKey) -> u32 {
        self.counts.get(key).copied().unwrap_or(0)
    }
}

/// What of a service is ready to serve.
#[derive(Debug, Default)]
struct Ready {
    by_domain: BTreeMap<Name, u32>,
    instances: u32,
}

impl Ready {
    /// Takes an instance out, unless the need would not be carried without it.
    fn spare(&mut self, need: &Need, domain: &Name, slots: u32) -> bool {
        let held = self.by_domain.get(domain).copied().unwrap_or(0);
        self.by_domain.insert(domain.clone(), held.saturating_sub(slots));
        let total: u32 = self.by_domain.values().sum();
        let largest = self.by_domain.values().copied().max().unwrap_or(0);
        if total - largest >= need.slots && self.instances > need.min_instances {
            self.instances -= 1;
            return true;
        }
        self.by_domain.insert(domain.clone(), held);
        false
    }
}

impl Fleet {
    /// Makes a fleet that knows nothing and does not lead.
    pub fn new(cfg: FleetCfg) -> Self {
        Self {
            rng: random::seeded(cfg.seed),
            term: None,
            next_start: 1,
            offers: BTreeMap::new(),
            services: BTreeMap::new(),
            instances: BTreeMap::new(),
            starting: BTreeMap::new(),
            backoff: Backoff::new(cfg.backoff),
            loads: LoadQueue::new(cfg.store_megabytes_per_s),
            cfg,
        }
    }

    /// Returns the plan in force for a service.
    pub fn plan(&self, service: &str) -> Option<&Plan> {
        self.services.get(service).map(|s| &s.plan)
    }

    /// Returns whether an offer is left alone after refusals.
    pub fn is_blocked(&self, now: Millis, key: &OfferKey) -> bool {
        self.backoff.is_blocked(now, key)
    }

    fn act(&mut self, now: Millis, out: &mut Vec<Action>) {
        let Some(term) = self.term else {
            return;
        };
        self.expire(now, out);
        let names: Vec<Name> = self.services.keys().cloned().collect();
        for service in names {
            let choice = self.choose(now, &service);
            self.start_missing(now, term, &service, &choice, out);
            self.stop_excess(now, &service, &choice, out);
            if let Some(state) = self.services.get_mut(&service) {
                state.plan = choice.plan;
            }
        }
        self.load_next(now, out);
    }

    fn need(&self, service: &ServiceState) -> Need {
        let slots = service.demand.max() * self.cfg.headroom_percent / 100;
        Need { slots, min_instances: service.target.min_instances }
    }

    fn choose(&self, now: Millis, name: &Name) -> Choice {
        let service = &self.services[name];
        let need = self.need(service);
        let allowed =
            |o: &&Offer| o.is_allowed(&service.target.placement, service.target.price_cap);
        let counts = self.counts(name);
        let candidate = |offer: &Offer| {
            let running = counts.get(&offer.key).copied().unwrap_or(0);
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
        Choice { plan: baseline::plan(self.cfg.policy, &need, candidates), counts }
    }

    /// Counts instances that serve or will, by offer.
    fn counts(&self, service: &Name) -> BTreeMap<OfferKey, u32> {
        let serving = self.instances.values().filter(|i| i.stage == Stage::Serving);
        let serving = serving.filter(|i| i.service == *service).map(|i| &i.key);
        let starting = self.starting.values().filter(|s| s.service == *service).map(|s| &s.key);
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
        choice: &Choice,
        out: &mut Vec<Action>,
    ) {
        let mut left = self.cfg.max_starts_per_step;
        for (key, wanted) in &choice.plan.counts {
            let missing = wanted.saturating_sub(choice.count(key)).min(left);
            left -= missing;
            for _ in 0..missing {
                let id = StartId { term, sequence: self.next_start };
                self.next_start += 1;
                let starting = Starting {
                    service: service.clone(),
                    key: key.clone(),
                    since: now,
                    instance: None,
                };
                self.starting.insert(id, starting);
                let why = format!(
                    "{} slots needed without the largest domain; plan has {wanted} of this offer",
                    self.need(&self.services[service]).slots
                );
                out.push(Action::Start { id, key: key.clone(), service: service.clone(), why });
            }
        }
    }

    /// Drains what the plan does not want, once that has held for the minimum stay and what is
    /// ready carries the need without it.
    fn stop_excess(&mut self, now: Millis, service: &Name, choice: &Choice, out: &mut Vec<Action>) {
        let excess = self.excess(now, service, choice);
        let state = self.services.get_mut(service).expect("the service is known");
        if excess.is_empty() {
            state.excess_since = None;
            return;
        }
        let since = *state.excess_since.get_or_insert(now);
        if now - since < self.cfg.min_stay {
            return;
        }
        let need = self.need(&self.services[service]);
        let mut ready = self.ready(service);
        for name in excess {
            let instance = self.instances.get_mut(&name).expect("the instance is known");
            let slots = self.offers.get(&instance.key).map_or(0, |o| o.slots);
            if instance.loaded && !ready.spare(&need, &instance.key.domain, slots) {
                continue;
            }
            instance.stage = Stage::Draining { since: now };
            let why = format!("not needed for {} ms", now - since);
            out.push(Action::Drain { instance: name, why });
        }
    }

    fn excess(&self, now: Millis, service: &Name, choice: &Choice) -> Vec<Name> {
        let mut surplus: BTreeMap<&OfferKey, u32> = BTreeMap::new();
        for (key, count) in &choice.counts {
            let wanted = choice.plan.counts.get(key).copied().unwrap_or(0);
            surplus.insert(key, count.saturating_sub(wanted));
        }
        let mut candidates: Vec<_> = self
            .instances
            .iter()
            .filter(|(_, i)| i.service == *service && i.stage == Stage::Serving)
            .filter(|(_, i)| now - i.since >= self.cfg.min_stay)
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

    /// Returns what of a service is ready to serve.
    fn ready(&self, service: &Name) -> Ready {
        let mut ready = Ready::default();
        let serving = self.instances.values().filter(|i| i.stage == Stage::Serving && i.loaded);
        for instance in serving.filter(|i| i.service == *service) {
            let slots = self.offers.get(&instance.key).map_or(0, |o| o.slots);
            *ready.by_domain.entry(instance.key.domain.clone()).or_default() += slots;
            ready.instances += 1;
        }
        ready
    }

    fn expire(&mut self, now: Millis, out: &mut Vec<Action>) {
        let limit = self.cfg.start_timeout;
        let overdue: Vec<StartId> = self
            .starting
            .iter()
            .filter(|(_, s)| now - s.since > limit)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let starting = self.starting.remove(&id).expect("the start is known");
            self.backoff.record_refusal(now, &starting.key, &mut self.rng);
            if let Some(instance) = starting.instance {
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

    fn load_next(&mut self, now: Millis, out: &mut Vec<Action>) {
        let (instances, services) = (&self.instances, &self.services);
        // Most needed is the service with the smallest share of its plan loaded.
        let need = |load: &Load| {
            let service =
                &instances.get(&load.endpoint).map(|i| i.service.clone()).unwrap_or_default();
            let loaded = instances.values().filter(|i| i.service == *service && i.loaded).count();
            let wanted: u32 =
                services.get(service).map_or(0, |s| s.plan.counts.values().sum::<u32>());
            u64::from(wanted).saturating_sub(loaded as u64) * 1000 / u64::from(wanted.max(1))
        };
        while let Some(load) = self.loads.next(now, need) {
            let why = format!("{} loads wait for the store", self.loads.len());
            out.push(Action::LoadModel {
                instance: load.endpoint,
                model: load.model,
                version: load.version,
                why,
            });
        }
    }

    fn announced(&mut self, instance: Name, news: Instance) {
        if !self.instances.contains_key(&instance) {
            self.starting.retain(|_, s| s.instance.as_ref() != Some(&instance));
        }
        let first = !self.instances.contains_key(&instance);
        let known = self.instances.entry(instance.clone()).or_insert_with(|| news.clone());
        let was_loaded = std::mem::replace(&mut known.loaded, news.loaded);
        known.running = news.running;
        // A notice is never taken back for the same instance.
        if news.stage == Stage::Reclaimed {
            known.stage = Stage::Reclaimed;
        }
        let serving = known.stage == Stage::Serving;
        if news.loaded || !serving {
            if first || !was_loaded || !serving {
                self.loads.remove_endpoint(&instance);
            }
            return;
        }
        if let Some(service) = self.services.get(&news.service).filter(|s| s.target.megabytes > 0) {
            self.loads.add(Load {
                endpoint: instance,
                model: news.service,
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
        let mut act = false;
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
                let starting = Starting { service, key, since: now, instance: None };
                self.starting.entry(id).or_insert(starting);
            }
            Event::StartGranted { id, instance } => {
                if let Some(starting) = self.starting.get_mut(&id) {
                    self.backoff.record_grant(&starting.key);
                    starting.instance = Some(instance.clone());
                }
                // The announcement may have come first; counted twice, one would be missing.
                if self.instances.contains_key(&instance) {
                    self.starting.remove(&id);
                }
            }
            Event::StartRefused { id } => {
                if let Some(starting) = self.starting.remove(&id) {
                    self.backoff.record_refusal(now, &starting.key, &mut self.rng);
                    // Spill over to other offers at once.
                    act = true;
                }
            }
            Event::Announcement { instance, key, service, loaded, running, leaving } => {
                let stage = leaving.map_or(Stage::Serving, |_| Stage::Reclaimed);
                let was_leaving =
                    self.instances.get(&instance).is_some_and(|i| i.stage == Stage::Reclaimed);
                // A replacement is ordered with the notice, not with the next tick.
                act = leaving.is_some() && !was_leaving;
                self.announced(
                    instance,
                    Instance { service, key, since: now, loaded, running, stage },
                );
            }
            Event::InstanceGone { instance } => {
                self.loads.remove_endpoint(&instance);
                act = self.instances.remove(&instance).is_some_and(|i| i.stage == Stage::Serving);
            }
            Event::Tick => act = true,
        }
        if act {
            self.act(now, out);
        }
    }
}

impl Fleet {
    fn set_targets(&mut self, targets: Vec<ServiceTarget>) {
        let mut services = BTreeMap::new();
        for target in targets {
            let before = self.services.remove(&target.service);
            let state = match before {
                Some(before) => ServiceState { target, ..before },
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
