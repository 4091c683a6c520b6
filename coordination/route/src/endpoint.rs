//! What the router knows of one endpoint.

use std::collections::VecDeque;

use sill_base::{Map, Millis, Name};
use sill_wire::{Announcement, Incarnation};

use crate::home;
use crate::policy::PolicyCfg;
use crate::request::Outcome;

/// Ended requests kept to correct a lagging report, at most.
const MAX_ENDED: usize = 1024;

/// An endpoint with its load as corrected by our own dispatches.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) announcement: Announcement,
    /// When the announcement was sent.
    pub(crate) announced_at: Millis,
    /// When this life was first heard of.
    pub(crate) first_seen: Millis,
    /// Hash of its name, for the rendezvous choice of a prompt's home.
    pub(crate) name_hash: u64,
    /// Its number in the prefix index.
    pub(crate) slot: usize,
    /// The next cache event's number, once one has come.
    pub(crate) next_event: Option<u64>,
    own: Map<Name, Dispatch>,
    /// Prompt tokens of our own requests that have had no first token.
    own_pending: u64,
    ended: VecDeque<EndedDispatch>,
    others: u32,
    others_tokens: u64,
    own_at_sample: u32,
    sampled: Millis,
    /// Prompt tokens that we sent since the sample.
    own_tokens_since: u64,
    failures: u32,
    suspect_until: Millis,
}

/// A request that we sent and that has not ended.
#[derive(Debug, Clone, Copy)]
struct Dispatch {
    sent: Millis,
    prefill_tokens: u64,
    first_token: Option<Millis>,
}

#[derive(Debug, Clone, Copy)]
struct EndedDispatch {
    dispatch: Dispatch,
    ended: Millis,
}

impl Endpoint {
    pub(crate) fn new(announcement: Announcement, slot: usize, now: Millis, age: Millis) -> Self {
        let mut endpoint = Self {
            name_hash: home::hash(&announcement.name),
            announcement,
            announced_at: now - age,
            first_seen: now,
            slot,
            next_event: None,
            own: Map::default(),
            own_pending: 0,
            ended: VecDeque::new(),
            others: 0,
            others_tokens: 0,
            own_at_sample: 0,
            sampled: Millis::ZERO,
            own_tokens_since: 0,
            failures: 0,
            suspect_until: Millis::ZERO,
        };
        endpoint.correct_load();
        endpoint
    }

    /// Takes in a newer announcement of the same life.
    pub(crate) fn update(&mut self, announcement: Announcement, now: Millis, age: Millis) {
        self.announcement = announcement;
        self.announced_at = now - age;
        self.correct_load();
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.announcement.incarnation
    }

    /// Returns the requests that it is thought to hold now.
    pub(crate) fn active(&self) -> u32 {
        self.others + self.own()
    }

    /// Returns our own requests that it holds.
    pub(crate) fn own(&self) -> u32 {
        self.own.len() as u32
    }

    /// Returns when its reported load was true.
    pub(crate) fn sampled(&self) -> Millis {
        self.sampled
    }

    /// Returns the prompt tokens that it is thought to have before it: those of others are worked
    /// off since the sample, and what we sent since, others are presumed to have sent too.
    pub(crate) fn pending_tokens(&self, now: Millis, peers: f64, cfg: &PolicyCfg) -> u64 {
        let worked_off = now.since(self.sampled).as_secs_f64() * self.prefill_rate(cfg);
        let others = self.others_tokens as f64 + self.own_tokens_since as f64 * peers;
        self.own_pending + (others - worked_off).max(0.0) as u64
    }

    /// Returns how many requests others had here at the sample, and how many we had.
    pub(crate) fn shares(&self) -> (u32, u32) {
        (self.others, self.own_at_sample)
    }

    /// Returns the requests that it runs side by side.
    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.announcement.slots.max(1))
    }

    /// Returns the slots that it may use now; a new endpoint comes up to its slots step by step,
    /// since a burst on cold caches would queue there while others have room.
    pub(crate) fn usable_slots(&self, now: Millis, cfg: &PolicyCfg) -> f64 {
        let up = now.since(self.first_seen).as_secs_f64();
        let ramp = up / cfg.slow_start.as_secs_f64().max(0.001);
        (self.slots() * ramp.min(1.0)).max(1.0)
    }

    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        now < self.suspect_until
    }

    pub(crate) fn is_expired(&self, now: Millis, cfg: &PolicyCfg) -> bool {
        now.since(self.announced_at) > cfg.announcement_ttl
    }

    pub(crate) fn prefill_ms(&self, tokens: u64, cfg: &PolicyCfg) -> f64 {
        tokens as f64 * 1000.0 / self.prefill_rate(cfg)
    }

    /// Returns the prompt tokens that it computes in a second.
    fn prefill_rate(&self, cfg: &PolicyCfg) -> f64 {
        let announced = self.announcement.prefill_tokens_per_s;
        let rate = if announced == 0 { cfg.prefill_tokens_per_s } else { announced };
        f64::from(rate.max(1))
    }

    pub(crate) fn decode_ms(&self, cfg: &PolicyCfg) -> f64 {
        match self.announcement.decode_ms {
            0 => cfg.decode_per_token.0 as f64,
            ms => f64::from(ms),
        }
    }

    pub(crate) fn sent(&mut self, now: Millis, request: Name, prefill_tokens: u64) {
        let dispatch = Dispatch { sent: now, prefill_tokens, first_token: None };
        self.own_pending += prefill_tokens;
        self.own_tokens_since += prefill_tokens;
        if let Some(replaced) = self.own.insert(request, dispatch) {
            self.own_pending -= replaced.pending();
        }
    }

    pub(crate) fn first_token(&mut self, now: Millis, request: &Name) {
        if let Some(dispatch) = self.own.get_mut(request) {
            self.own_pending -= dispatch.pending();
            dispatch.first_token.get_or_insert(now);
        }
    }

    pub(crate) fn ended(&mut self, now: Millis, request: &Name, outcome: Outcome, cfg: &PolicyCfg) {
        if let Some(dispatch) = self.own.remove(request) {
            self.own_pending -= dispatch.pending();
            self.ended.push_back(EndedDispatch { dispatch, ended: now });
            if self.ended.len() > MAX_ENDED {
                self.ended.pop_front();
            }
        }
        match outcome {
            Outcome::Finished => self.failures = 0,
            Outcome::Cancelled => {}
            Outcome::Failed => {
                let span = cfg.failure_backoff * (1 << self.failures.min(5));
                self.suspect_until = now + span;
                self.failures += 1;
            }
        }
    }

    /// Splits the reported load into our own requests at the time of the sample and those of
    /// others, because a report that lags would otherwise hide what we sent since, and several
    /// requests would go to an endpoint that only looks idle.
    fn correct_load(&mut self) {
        let load = self.announcement.load;
        let sampled = self.announced_at - load.age;
        self.ended.retain(|e| e.ended > sampled);
        let running = self.own.values().filter(|d| d.sent <= sampled);
        let since_ended = self.ended.iter().map(|e| &e.dispatch).filter(|d| d.sent <= sampled);
        let (mut own, mut own_tokens) = (0, 0);
        for dispatch in running.chain(since_ended) {
            own += 1;
            own_tokens += dispatch.pending_at(sampled);
        }
        let since = self.own.values().filter(|d| d.sent > sampled);
        self.own_tokens_since = since.map(|d| d.prefill_tokens).sum();
        self.own_at_sample = own;
        self.sampled = sampled;
        self.others = (load.running + load.queued).saturating_sub(own);
        self.others_tokens = load.queued_tokens.saturating_sub(own_tokens);
    }
}

impl Dispatch {
    fn pending(&self) -> u64 {
        if self.first_token.is_none() { self.prefill_tokens } else { 0 }
    }

    fn pending_at(&self, at: Millis) -> u64 {
        let waited = self.first_token.is_none_or(|first| first > at);
        if waited { self.prefill_tokens } else { 0 }
    }
}
