//! Endpoints, requests and a checked router for the tests.
#![allow(dead_code)]

use sill_base::{Machine, Map, Millis, Name};
use sill_route::{
    Ask, Choice, Chosen, Event, Outcome, Policy, PolicyCfg, Router, RouterCfg, Target, Weakening,
};
use sill_wire::endpoint::{CacheEvent, CacheEvents};
use sill_wire::{Announcement, Incarnation, Load, Priority, Role, Servable};

pub const SLOTS: u32 = 4;

/// An endpoint that is idle and ready.
pub fn endpoint(name: &str, domain: &str) -> Announcement {
    Announcement {
        name: name.into(),
        incarnation: Incarnation(1),
        sequence: 1,
        address: "127.0.0.1:1".into(),
        domain: domain.into(),
        class: Name::default(),
        reclaimable: true,
        price: 1000,
        serves: vec![Servable::Model { model: "m".into(), version: "1".into(), adapters: vec![] }],
        role: Role::Mixed,
        slots: SLOTS,
        prefill_tokens_per_s: 8000,
        decode_ms: 20,
        cache_tokens: 64_000,
        load: Load::default(),
        leaving: None,
        checks_fencing: true,
    }
}

/// A request with a prompt of `length` blocks that starts as all others of the same `prompt`.
pub fn ask(request: u64, prompt: u64, length: u64) -> Ask {
    Ask {
        request: format!("r-{request}").into(),
        target: Target::Model("m".into()),
        blocks: (0..length).map(|b| prompt << 32 | b).collect(),
        prompt_tokens: length * 64,
        max_tokens: 32,
        priority: Priority::Normal,
        deadline: Millis::MAX,
        exclude: Vec::new(),
    }
}

/// A router whose choices are checked against what was said to it.
pub struct Checked {
    pub router: Router,
    newest: Map<Name, Announcement>,
    heard: Map<Name, Millis>,
    gone: Map<Name, Incarnation>,
    held: Map<Name, u32>,
    pub violations: Vec<&'static str>,
}

impl Checked {
    pub fn new(weakening: Option<Weakening>) -> Self {
        Self::with_policy(weakening, Policy::Cost)
    }

    pub fn with_policy(weakening: Option<Weakening>, policy: Policy) -> Self {
        let policy =
            PolicyCfg { policy, slow_start: Millis(1), max_blocks: 4096, ..PolicyCfg::default() };
        let mut router = Router::with_policy(RouterCfg { domain: "a".into(), seed: 7 }, policy);
        if let Some(weakening) = weakening {
            router.weaken(weakening);
        }
        Self {
            router,
            newest: Map::default(),
            heard: Map::default(),
            gone: Map::default(),
            held: Map::default(),
            violations: Vec::new(),
        }
    }

    pub fn announce(&mut self, now: Millis, announcement: &Announcement) {
        let number = |a: &Announcement| (a.incarnation, a.sequence, a.leaving.is_some());
        let name = announcement.name.clone();
        if self.newest.get(&name).is_none_or(|known| number(known) < number(announcement)) {
            if self.newest.get(&name).is_some_and(|k| k.incarnation < announcement.incarnation) {
                self.held.remove(&name);
            }
            self.newest.insert(name.clone(), announcement.clone());
            self.heard.insert(name.clone(), now);
            self.gone.remove(&name);
        }
        self.step(now, Event::Announced { announcement: announcement.clone(), age: Millis::ZERO });
    }

    pub fn leave(&mut self, now: Millis, announcement: &Announcement) {
        let (endpoint, incarnation) = (announcement.name.clone(), announcement.incarnation);
        if self.newest.get(&endpoint).is_some_and(|known| known.incarnation <= incarnation) {
            self.gone.insert(endpoint.clone(), incarnation);
            self.held.remove(&endpoint);
        }
        self.step(now, Event::Gone { endpoint, incarnation });
    }

    pub fn knows(&self, name: &Name) -> bool {
        self.newest.contains_key(name)
    }

    pub fn cache(&mut self, now: Millis, name: &str, sequence: u64, events: Vec<CacheEvent>) {
        let incarnation = self.newest[name].incarnation;
        self.step(
            now,
            Event::Cache(CacheEvents { name: name.into(), incarnation, sequence, events }),
        );
    }

    /// Chooses and sends, and notes each rule that the choice breaks.
    pub fn send(&mut self, now: Millis, ask: &Ask) -> Choice {
        let choice = self.router.choose(now, ask);
        if let Choice::Endpoint(chosen) = &choice {
            self.check(now, ask, chosen);
            *self.held.entry(chosen.endpoint.clone()).or_default() += 1;
            let endpoint = chosen.endpoint.clone();
            self.step(now, Event::Sent { endpoint, ask: ask.clone() });
        }
        choice
    }

    pub fn end(&mut self, now: Millis, endpoint: &Name, request: &Name, outcome: Outcome) {
        if let Some(held) = self.held.get_mut(endpoint) {
            *held = held.saturating_sub(1);
        }
        let (endpoint, request) = (endpoint.clone(), request.clone());
        self.step(now, Event::Ended { endpoint, request, tokens: 1, outcome });
    }

    fn check(&mut self, now: Millis, ask: &Ask, chosen: &Chosen) {
        let newest = &self.newest[&chosen.endpoint];
        let held = self.held.get(&chosen.endpoint).copied().unwrap_or(0);
        let heard = self.heard[&chosen.endpoint];
        let rules = [
            (newest.leaving.is_none(), "leaving"),
            (newest.incarnation == chosen.incarnation, "incarnation"),
            (self.gone.get(&chosen.endpoint) != Some(&chosen.incarnation), "gone"),
            (now.since(heard) <= Millis(5000), "expired"),
            (newest.role == Role::Mixed, "role"),
            (f64::from(held) < f64::from(SLOTS) * 1.5, "bound"),
            (!ask.exclude.contains(&chosen.endpoint), "excluded"),
        ];
        self.violations.extend(rules.iter().filter(|(holds, _)| !holds).map(|(_, rule)| *rule));
        if self.router.blocks() > 4096 {
            self.violations.push("memory");
        }
    }

    fn step(&mut self, now: Millis, event: Event) {
        self.router.step(now, event, &mut Vec::new());
    }
}
