//! A platform of prices, refusals and reclaims, with instances that boot and load, by the second.
//!
//! Only what bears on the fleet's decisions is modelled. A request that finds no slot counts as not
//! answered within the latency target. A reclaimed instance moves its KV cache in its notice to
//! free slots elsewhere; what finds none is computed again.

use std::collections::BTreeMap;

use rand::Rng as _;
use sill_base::random::{self, Rng};
use sill_base::{Machine, Millis, Name};
use sill_fleet::{Action, Event, Fleet, FleetCfg, Offer, OfferKey, Policy, ServiceTarget, StartId};
use sill_tree::Placement;

use super::sizes::Size;

/// Slots of an instance.
const SLOTS: u32 = 8;

/// Length of a run in seconds.
pub const SECONDS: u64 = 4 * 3600;

/// Until then nothing is counted: the fleet starts from nothing, as no user's does.
const WARM_UP: u64 = 1800;

/// When the first failure domain's reclaimable instances get notice.
const WAVE_AT: u64 = 2 * 3600;

/// When another domain's do, while the first still refuses.
const SECOND_WAVE_AT: u64 = WAVE_AT + 1200;

/// How long a domain refuses reclaimable starts after its wave.
const REFUSES_FOR: u64 = 2400;

/// Seconds of notice.
const NOTICE: u64 = 20;

/// Seconds to boot.
const BOOT: u64 = 60;

/// Seconds to load weights, once the store is free.
const LOAD: u64 = 10;

/// Megabytes of weights.
const MEGABYTES: u64 = 20_000;

/// Tokens of KV cache that an instance exports in a second.
const EXPORT_TOKENS_PER_S: u64 = 50_000;

/// Price of an on-demand instance in thousandths of a currency unit an hour.
const ON_DEMAND: u64 = 1000;

/// What a run came to.
#[derive(Debug, Default, Clone)]
pub struct Tally {
    /// Requests asked for.
    pub asked: f64,
    /// Requests answered within the latency target.
    pub answered: f64,
    /// Price of all instances, in thousandths of a currency unit.
    pub price: f64,
    /// Tokens computed again since a running request lost its KV cache.
    pub recomputed_running: u64,
    /// Tokens computed again since a prefix cache was lost.
    pub recomputed_cache: u64,
    /// Starts granted.
    pub starts: u64,
    /// Starts refused.
    pub refused: u64,
    /// Instances stopped by the fleet.
    pub stops: u64,
}

/// Slots at a moment.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Seconds since the start.
    pub at: u64,
    /// Slots wanted.
    pub wanted: u32,
    /// Slots ready.
    pub ready: u32,
}

/// The world of one run.
pub struct World {
    size: &'static Size,
    fleet: Fleet,
    rng: Rng,
    second: u64,
    instances: BTreeMap<Name, Instance>,
    next_instance: u64,
    prices: BTreeMap<Name, u64>,
    /// Until when each failure domain refuses reclaimable starts.
    refusals: BTreeMap<Name, u64>,
    /// What came of it.
    pub tally: Tally,
    /// Slots over time.
    pub trace: Vec<Sample>,
}

struct Instance {
    key: OfferKey,
    boots_at: u64,
    loaded_at: Option<u64>,
    gone_at: Option<u64>,
    draining: bool,
}

impl Tally {
    /// Adds another run.
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

    /// Returns the price of a thousand requests answered within the latency target.
    pub fn price_per_1000(&self) -> f64 {
        self.price / self.answered.max(1.0)
    }
}

impl World {
    /// Makes a world in which nothing runs yet.
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
            refusals: BTreeMap::new(),
            tally: Tally::default(),
            trace: Vec::new(),
        };
        for domain in 0..size.domains {
            let price = world.rng.random_range(280..360);
            world.prices.insert(domain_name(domain), price);
        }
        world.hear(Event::LeadershipGained { term: 1 });
        world.hear(Event::Settings(vec![ServiceTarget {
            service: "pool".into(),
            version: "1".into(),
            megabytes: MEGABYTES,
            min_instances: 2,
            price_cap: None,
            placement: Placement::default(),
        }]));
        world
    }

    /// Runs to the end.
    pub fn run(&mut self) {
        while self.second < SECONDS {
            self.tick();
            self.second += 1;
        }
    }

    fn tick(&mut self) {
        if self.second.is_multiple_of(300) {
            self.move_prices();
        }
        if self.second == WAVE_AT {
            self.reclaim(0);
        }
        if self.second == SECOND_WAVE_AT {
            self.reclaim(1);
        }
        self.remove_gone();
        let wanted = self.wanted();
        self.hear(Event::Demand { service: "pool".into(), slots: wanted });
        self.announce_all();
        self.hear(Event::Tick);
        self.count(wanted);
    }

    /// Demand swings between 45% and 100% of the peak in 80 minutes.
    fn wanted(&self) -> u32 {
        let phase = self.second as f64 / 4800.0 * std::f64::consts::TAU;
        let share = 0.725 - 0.275 * phase.cos();
        (f64::from(self.size.peak_slots) * share) as u32
    }

    fn move_prices(&mut self) {
        for price in self.prices.values_mut() {
            let moved = *price as i64 + self.rng.random_range(-15..=15);
            *price = moved.clamp(220, 480) as u64;
        }
        let offer = |domain: &Name, price, reclaimable| Offer {
            key: OfferKey { domain: domain.clone(), class: "gpu".into(), reclaimable },
            price,
            slots: SLOTS,
            reclaims_per_1000h: if reclaimable { 100 } else { 0 },
        };
        let offers = self
            .prices
            .iter()
            .flat_map(|(d, price)| [offer(d, *price, true), offer(d, ON_DEMAND, false)]);
        let offers = offers.collect();
        self.hear(Event::Offers(offers));
    }

    /// The wave takes the domain that has the most reclaimable instances, or the one after it.
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
                instance.gone_at.get_or_insert(self.second + NOTICE);
            }
        }
        self.refusals.insert(domain.clone(), self.second + REFUSES_FOR);
    }

    fn remove_gone(&mut self) {
        let second = self.second;
        let gone: Vec<Name> = self
            .instances
            .iter()
            .filter(|(_, i)| i.gone_at.is_some_and(|at| at <= second))
            .map(|(name, _)| name.clone())
            .collect();
        if gone.is_empty() {
            return;
        }
        let wanted = self.wanted();
        let before = self.ready().max(1);
        let running_each = wanted.min(before) * SLOTS / before;
        let mut free = self.ready_staying().saturating_sub(wanted.min(before));
        for name in gone {
            let instance = self.instances.remove(&name).expect("the instance is known");
            if instance.loaded_at.is_some_and(|at| at <= second) {
                self.lose(running_each, &mut free);
            }
            self.hear(Event::InstanceGone { instance: name });
        }
    }

    /// Counts what one lost instance makes others compute again.
    fn lose(&mut self, running: u32, free: &mut u32) {
        let each = self.size.prompt_tokens + self.size.answer_tokens / 2;
        let exported = (NOTICE * EXPORT_TOKENS_PER_S / each) as u32;
        let moved = running.min(*free).min(exported);
        *free -= moved;
        self.tally.recomputed_running += u64::from(running - moved) * each;
        self.tally.recomputed_cache += self.size.hot_cache_tokens;
    }

    fn ready(&self) -> u32 {
        self.instances.values().filter(|i| self.is_ready(i)).count() as u32 * SLOTS
    }

    fn ready_staying(&self) -> u32 {
        let staying = self.instances.values().filter(|i| self.is_ready(i) && i.gone_at.is_none());
        staying.count() as u32 * SLOTS
    }

    fn is_ready(&self, instance: &Instance) -> bool {
        !instance.draining && instance.loaded_at.is_some_and(|at| at <= self.second)
    }

    fn announce_all(&mut self) {
        let second = self.second;
        let booted = self.instances.iter().filter(|(_, i)| i.boots_at <= second);
        let events: Vec<Event> = booted
            .map(|(name, i)| Event::Announcement {
                instance: name.clone(),
                key: i.key.clone(),
                service: "pool".into(),
                loaded: i.loaded_at.is_some_and(|at| at <= second),
                running: 0,
                leaving: i.gone_at.map(|at| Millis::from_secs(at - second)),
            })
            .collect();
        for event in events {
            self.hear(event);
        }
    }

    fn count(&mut self, wanted: u32) {
        let ready = self.ready();
        if self.second == WARM_UP {
            self.tally = Tally::default();
        }
        let asked = f64::from(wanted) / self.size.request_seconds as f64;
        self.tally.asked += asked;
        self.tally.answered += asked * (f64::from(ready) / f64::from(wanted.max(1))).min(1.0);
        let price: u64 = self
            .instances
            .values()
            .map(|i| if i.key.reclaimable { self.prices[&i.key.domain] } else { ON_DEMAND })
            .sum();
        self.tally.price += price as f64 / 3600.0;
        if self.second.is_multiple_of(15) {
            self.trace.push(Sample { at: self.second, wanted, ready });
        }
    }

    fn hear(&mut self, event: Event) {
        let mut out = Vec::new();
        self.fleet.step(Millis::from_secs(self.second), event, &mut out);
        for action in out {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start { id, key, .. } => self.start(id, key),
            Action::Drain { instance, .. } => {
                if let Some(instance) = self.instances.get_mut(&instance) {
                    instance.draining = true;
                }
            }
            Action::Stop { instance, .. } => {
                self.tally.stops += 1;
                self.tally.recomputed_cache += self.size.hot_cache_tokens;
                self.instances.remove(&instance);
                self.hear(Event::InstanceGone { instance });
            }
            Action::LoadModel { instance, .. } => {
                let at = self.second + LOAD;
                if let Some(instance) = self.instances.get_mut(&instance) {
                    instance.loaded_at = Some(at);
                }
            }
        }
    }

    fn start(&mut self, id: StartId, key: OfferKey) {
        let until = self.refusals.get(&key.domain).copied().unwrap_or(0);
        let in_wave = (WAVE_AT..WAVE_AT + REFUSES_FOR).contains(&self.second);
        let unlucky = in_wave && self.rng.random_range(0..100) < 30;
        if key.reclaimable && (self.second < until || unlucky) {
            self.tally.refused += 1;
            return self.hear(Event::StartRefused { id });
        }
        self.tally.starts += 1;
        let instance = Name::from(format!("i{}", self.next_instance));
        self.next_instance += 1;
        let new = Instance {
            key,
            boots_at: self.second + BOOT,
            loaded_at: None,
            gone_at: None,
            draining: false,
        };
        self.instances.insert(instance.clone(), new);
        self.hear(Event::StartGranted { id, instance });
    }
}

fn domain_name(domain: u32) -> Name {
    format!("domain-{domain}").into()
}
