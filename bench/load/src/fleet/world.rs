//! Simulated platform with prices, refused starts and reclaims.
//!
//! Its instances boot and load weights; the time step is one second.
//!
//! Only what affects the fleet's decisions is modelled. A request without a free slot counts as not
//! answered within the latency target. During its notice a reclaimed instance moves the KV cache of
//! running requests to free slots elsewhere; requests without such a slot are recomputed.

use std::collections::BTreeMap;

use rand::Rng as _;
use sill_base::random::{self, Rng};
use sill_base::{Machine, Millis, Name};
use sill_fleet::{Action, Event, Fleet, FleetCfg, Offer, OfferKey, Policy, ServiceTarget, StartId};
use sill_tree::Placement;

use super::sizes::Size;

/// Requests that an instance runs concurrently.
const SLOTS_PER_INSTANCE: u32 = 8;

/// Duration of a run in seconds.
pub const RUN_S: u64 = 4 * 3600;

/// Time in seconds before counting starts. A run starts without instances, which no user's fleet
/// does, so its start is left out.
const WARM_UP_S: u64 = 1800;

/// Time in seconds at which the reclaimable instances of the first failure domain get notice.
const WAVE_AT_S: u64 = 2 * 3600;

/// Time in seconds at which those of a second domain get notice, while the first still refuses
/// starts.
const SECOND_WAVE_AT_S: u64 = WAVE_AT_S + 1200;

/// Time in seconds for which a domain refuses reclaimable starts after its wave.
const REFUSAL_S: u64 = 2400;

/// Time in seconds from the reclaim notice to the end of the instance.
const NOTICE_S: u64 = 20;

/// Time in seconds to boot an instance.
const BOOT_S: u64 = 60;

/// Time in seconds to load weights, once the store is free.
const LOAD_S: u64 = 10;

/// Size of the weights in megabytes.
const WEIGHTS_MB: u64 = 20_000;

/// Tokens of KV cache that an instance exports per second.
const EXPORT_TOKENS_PER_S: u64 = 50_000;

/// Price of an on-demand instance in thousandths of a currency unit per hour.
const ON_DEMAND_PRICE: u64 = 1000;

/// Totals of a run after its warm-up.
#[derive(Debug, Default, Clone)]
pub struct Totals {
    /// Requests sent.
    pub asked: f64,
    /// Requests answered within the latency target.
    pub answered: f64,
    /// Price of all instances, in thousandths of a currency unit.
    pub price: f64,
    /// Tokens recomputed because running requests lost their KV cache.
    pub recomputed_running: u64,
    /// Tokens recomputed because prefix caches were lost.
    pub recomputed_cache: u64,
    /// Starts granted.
    pub starts: u64,
    /// Starts refused.
    pub refused: u64,
    /// Instances stopped by the fleet.
    pub stops: u64,
}

/// Wanted and ready slots at one time.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Seconds since the start of the run.
    pub at: u64,
    /// Slots wanted by the demand.
    pub wanted: u32,
    /// Slots of instances that accept requests.
    pub ready: u32,
}

/// Simulation of one run: the platform, its instances and the fleet that controls them.
pub struct World {
    size: &'static Size,
    fleet: Fleet,
    rng: Rng,
    second: u64,
    instances: BTreeMap<Name, Instance>,
    next_instance: u64,
    prices: BTreeMap<Name, u64>,
    /// Time in seconds until which each failure domain refuses reclaimable starts.
    refusal_ends: BTreeMap<Name, u64>,
    /// Totals since the end of the warm-up.
    pub totals: Totals,
    /// Samples of the slots over time.
    pub trace: Vec<Sample>,
}

struct Instance {
    key: OfferKey,
    booted_at: u64,
    loaded_at: Option<u64>,
    reclaimed_at: Option<u64>,
    is_draining: bool,
}

impl Totals {
    /// Adds the totals of another run.
    pub fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.answered += other.answered;
        self.price += other.price;
        self.recomputed_running += other.recomputed_running;
        self.recomputed_cache += other.recomputed_cache;
        self.starts += other.starts;
        self.refused += other.refused;
        self.stops += other.stops;
    }

    /// Returns the price of 1,000 requests answered within the latency target, in currency units.
    pub fn price_per_1000(&self) -> f64 {
        self.price / self.answered.max(1.0)
    }
}

impl World {
    /// Creates a simulation without instances.
    pub fn new(size: &'static Size, policy: Policy, seed: u64) -> Self {
        let cfg = FleetCfg {
            policy,
            seed,
            max_starts_per_step: 64,
            store_megabytes_per_s: size.store_megabytes_per_s,
            ..FleetCfg::default()
        };
        let mut world = Self {
            size,
            fleet: Fleet::new(cfg),
            rng: random::seeded(seed),
            second: 0,
            instances: BTreeMap::new(),
            next_instance: 1,
            prices: BTreeMap::new(),
            refusal_ends: BTreeMap::new(),
            totals: Totals::default(),
            trace: Vec::new(),
        };
        for domain in 0..size.domains {
            let price = world.rng.random_range(280..360);
            world.prices.insert(domain_name(domain), price);
        }
        world.step_fleet(Event::LeadershipGained { term: 1 });
        world.step_fleet(Event::Settings(vec![ServiceTarget {
            service: "pool".into(),
            version: "1".into(),
            megabytes: WEIGHTS_MB,
            min_instances: 2,
            price_cap: None,
            placement: Placement::default(),
        }]));
        world
    }

    /// Simulates the whole run.
    pub fn run(&mut self) {
        while self.second < RUN_S {
            self.tick();
            self.second += 1;
        }
    }

    fn tick(&mut self) {
        if self.second.is_multiple_of(300) {
            self.update_prices();
        }
        if self.second == WAVE_AT_S {
            self.reclaim(0);
        }
        if self.second == SECOND_WAVE_AT_S {
            self.reclaim(1);
        }
        self.remove_reclaimed();
        let wanted = self.wanted_slots();
        self.step_fleet(Event::Demand { service: "pool".into(), slots: wanted });
        self.send_announcements();
        self.step_fleet(Event::Tick);
        self.count(wanted);
    }

    /// Returns the demand, which varies between 45% and 100% of the peak in a period of 80 minutes.
    fn wanted_slots(&self) -> u32 {
        let phase = self.second as f64 / 4800.0 * std::f64::consts::TAU;
        let share = 0.725 - 0.275 * phase.cos();
        (f64::from(self.size.peak_slots) * share) as u32
    }

    fn update_prices(&mut self) {
        for price in self.prices.values_mut() {
            let moved = *price as i64 + self.rng.random_range(-15..=15);
            *price = moved.clamp(220, 480) as u64;
        }
        let offer = |domain: &Name, price, reclaimable| Offer {
            key: OfferKey { domain: domain.clone(), class: "gpu".into(), reclaimable },
            price,
            slots: SLOTS_PER_INSTANCE,
            reclaims_per_1000h: if reclaimable { 100 } else { 0 },
        };
        let offers = self
            .prices
            .iter()
            .flat_map(|(d, price)| [offer(d, *price, true), offer(d, ON_DEMAND_PRICE, false)]);
        let offers = offers.collect();
        self.step_fleet(Event::Offers(offers));
    }

    /// Gives notice to the reclaimable instances of one domain. Rank 0 is the domain with the most
    /// reclaimable instances, rank 1 the next.
    fn reclaim(&mut self, rank: usize) {
        let mut counts: BTreeMap<Name, usize> = BTreeMap::new();
        for instance in self.instances.values().filter(|i| i.key.reclaimable) {
            *counts.entry(instance.key.domain.clone()).or_default() += 1;
        }
        let mut domains: Vec<_> = counts.into_iter().collect();
        domains.sort_by_key(|(name, count)| (std::cmp::Reverse(*count), name.clone()));
        let Some((domain, _)) = domains.get(rank.min(domains.len().saturating_sub(1))) else {
            return;
        };
        for instance in self.instances.values_mut() {
            if instance.key.reclaimable && instance.key.domain == *domain {
                instance.reclaimed_at.get_or_insert(self.second + NOTICE_S);
            }
        }
        self.refusal_ends.insert(domain.clone(), self.second + REFUSAL_S);
    }

    fn remove_reclaimed(&mut self) {
        let second = self.second;
        let reclaimed: Vec<Name> = self
            .instances
            .iter()
            .filter(|(_, i)| i.reclaimed_at.is_some_and(|at| at <= second))
            .map(|(name, _)| name.clone())
            .collect();
        if reclaimed.is_empty() {
            return;
        }
        let wanted = self.wanted_slots();
        let before = self.ready_slots().max(1);
        let running_per_instance = wanted.min(before) * SLOTS_PER_INSTANCE / before;
        let mut free = self.ready_without_notice().saturating_sub(wanted.min(before));
        for name in reclaimed {
            let instance =
                self.instances.remove(&name).expect("the name was read from the instances");
            if instance.loaded_at.is_some_and(|at| at <= second) {
                self.count_recomputed(running_per_instance, &mut free);
            }
            self.step_fleet(Event::InstanceGone { instance: name });
        }
    }

    /// Counts the tokens that other instances recompute because this one was lost.
    fn count_recomputed(&mut self, running: u32, free: &mut u32) {
        let tokens_per_request = self.size.prompt_tokens + self.size.answer_tokens / 2;
        let exported = (NOTICE_S * EXPORT_TOKENS_PER_S / tokens_per_request) as u32;
        let moved = running.min(*free).min(exported);
        *free -= moved;
        self.totals.recomputed_running += u64::from(running - moved) * tokens_per_request;
        self.totals.recomputed_cache += self.size.hot_cache_tokens;
    }

    fn ready_slots(&self) -> u32 {
        self.instances.values().filter(|i| self.is_ready(i)).count() as u32 * SLOTS_PER_INSTANCE
    }

    fn ready_without_notice(&self) -> u32 {
        let instances =
            self.instances.values().filter(|i| self.is_ready(i) && i.reclaimed_at.is_none());
        instances.count() as u32 * SLOTS_PER_INSTANCE
    }

    fn is_ready(&self, instance: &Instance) -> bool {
        !instance.is_draining && instance.loaded_at.is_some_and(|at| at <= self.second)
    }

    fn send_announcements(&mut self) {
        let second = self.second;
        let booted = self.instances.iter().filter(|(_, i)| i.booted_at <= second);
        let events: Vec<Event> = booted
            .map(|(name, i)| Event::Announcement {
                instance: name.clone(),
                key: i.key.clone(),
                service: "pool".into(),
                loaded: i.loaded_at.is_some_and(|at| at <= second),
                running: 0,
                leaving: i.reclaimed_at.map(|at| Millis::from_secs(at - second)),
            })
            .collect();
        for event in events {
            self.step_fleet(event);
        }
    }

    fn count(&mut self, wanted: u32) {
        let ready = self.ready_slots();
        if self.second == WARM_UP_S {
            self.totals = Totals::default();
        }
        let asked = f64::from(wanted) / self.size.request_seconds as f64;
        self.totals.asked += asked;
        self.totals.answered += asked * (f64::from(ready) / f64::from(wanted.max(1))).min(1.0);
        let price: u64 = self
            .instances
            .values()
            .map(|i| if i.key.reclaimable { self.prices[&i.key.domain] } else { ON_DEMAND_PRICE })
            .sum();
        self.totals.price += price as f64 / 3600.0;
        if self.second.is_multiple_of(15) {
            self.trace.push(Sample { at: self.second, wanted, ready });
        }
    }

    fn step_fleet(&mut self, event: Event) {
        let mut out = Vec::new();
        self.fleet.step(Millis::from_secs(self.second), event, &mut out);
        for action in out {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Start { id, key, .. } => self.start(id, key),
            Action::Drain { instance, .. } => {
                if let Some(instance) = self.instances.get_mut(&instance) {
                    instance.is_draining = true;
                }
            }
            Action::Stop { instance, .. } => {
                self.totals.stops += 1;
                self.totals.recomputed_cache += self.size.hot_cache_tokens;
                self.instances.remove(&instance);
                self.step_fleet(Event::InstanceGone { instance });
            }
            Action::LoadModel { instance, .. } => {
                let at = self.second + LOAD_S;
                if let Some(instance) = self.instances.get_mut(&instance) {
                    instance.loaded_at = Some(at);
                }
            }
        }
    }

    fn start(&mut self, id: StartId, key: OfferKey) {
        let until = self.refusal_ends.get(&key.domain).copied().unwrap_or(0);
        let in_wave = (WAVE_AT_S..WAVE_AT_S + REFUSAL_S).contains(&self.second);
        let is_refused_by_chance = in_wave && self.rng.random_range(0..100) < 30;
        if key.reclaimable && (self.second < until || is_refused_by_chance) {
            self.totals.refused += 1;
            return self.step_fleet(Event::StartRefused { id });
        }
        self.totals.starts += 1;
        let instance = Name::from(format!("i{}", self.next_instance));
        self.next_instance += 1;
        let new = Instance {
            key,
            booted_at: self.second + BOOT_S,
            loaded_at: None,
            reclaimed_at: None,
            is_draining: false,
        };
        self.instances.insert(instance.clone(), new);
        self.step_fleet(Event::StartGranted { id, instance });
    }
}

fn domain_name(domain: u32) -> Name {
    format!("domain-{domain}").into()
}
