//! The router's state of one endpoint.

use std::collections::VecDeque;

use sill_base::{Map, Millis, Name};
use sill_wire::{Announcement, Incarnation, Load};

use crate::home;
use crate::pace::Pace;
use crate::performance::{CallKind, Performance};
use crate::policy::PolicyCfg;
use crate::request::{Guard, Outcome, SendRate};
use crate::room::{Held, Room};

/// Highest number of ended requests kept to correct lagging load reports.
const MAX_ENDED_DISPATCHES: usize = 1024;

/// Time after which a request to a brittle endpoint that was neither answered nor rejected counts as
/// accepted. Until then no other is sent there, as both might be rejected.
const REJECTION_TIME: Millis = Millis(100);

/// An endpoint, with its reported load corrected by this router's own dispatches.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) announcement: Announcement,
    /// When the endpoint sent the announcement.
    pub(crate) announced_at: Millis,
    /// When the first announcement of this incarnation was received.
    pub(crate) first_seen: Millis,
    /// Hash of its name, for the rendezvous hashing of prompts to homes.
    pub(crate) name_hash: u64,
    /// Its index in the prefix index, reused after the endpoint is removed.
    pub(crate) index: usize,
    /// Expected sequence number of the next cache event, after the first batch was received.
    pub(crate) next_event: Option<u64>,
    /// Our own requests in flight, by request name.
    own_dispatches: Map<Name, Dispatch>,
    /// Prefill tokens of our own requests without a first token.
    own_pending_tokens: u64,
    /// Our own requests that ended after the load sample, the last one at the back.
    ended_dispatches: VecDeque<EndedDispatch>,
    /// Requests of other entry instances at the load sample.
    other_active: u32,
    /// Queued prompt tokens of other entry instances at the load sample.
    other_queued_tokens: u64,
    /// Our own requests at the load sample.
    own_at_sample: u32,
    /// When the endpoint sampled its reported load.
    sampled_at: Millis,
    /// Prefill tokens that we sent since the load sample.
    own_tokens_since_sample: u64,
    /// What was learned from the last rejection.
    room: Option<Room>,
    /// How it may be used if it is brittle.
    guard: Option<Guard>,
    /// How many requests it may be sent, if it has named a limit.
    pace: Option<Pace>,
    /// How long work takes there.
    pub(crate) performance: Performance,
    /// Whether an idle connection to it is kept; none if connections don't matter.
    pub(crate) is_connected: Option<bool>,
    /// The last request sent to it, and when, if it was neither answered nor rejected yet.
    unconfirmed: Option<(Name, Millis)>,
    consecutive_failures: u32,
    suspect_until: Millis,
    /// Until when nothing is sent, because it asked for a pause.
    paused_until: Millis,
    /// Whether no request was accepted since the pause.
    is_resuming: bool,
}

/// A request that we sent to the endpoint.
#[derive(Debug, Clone, Copy)]
struct Dispatch {
    sent_at: Millis,
    prefill_tokens: u64,
    first_token_at: Option<Millis>,
    /// The kind by which its time to the first token is compared.
    kind: CallKind,
    /// Whether the endpoint was presumed to be full.
    is_trial: bool,
}

#[derive(Debug, Clone, Copy)]
struct EndedDispatch {
    dispatch: Dispatch,
    ended_at: Millis,
}

impl Endpoint {
    pub(crate) fn new(announcement: Announcement, index: usize, now: Millis, age: Millis) -> Self {
        let mut endpoint = Self {
            name_hash: home::name_hash(&announcement.name),
            announcement,
            announced_at: now - age,
            first_seen: now,
            index,
            next_event: None,
            own_dispatches: Map::default(),
            own_pending_tokens: 0,
            ended_dispatches: VecDeque::new(),
            other_active: 0,
            other_queued_tokens: 0,
            own_at_sample: 0,
            sampled_at: Millis::ZERO,
            own_tokens_since_sample: 0,
            room: None,
            guard: None,
            pace: None,
            performance: Performance::default(),
            is_connected: None,
            unconfirmed: None,
            consecutive_failures: 0,
            suspect_until: Millis::ZERO,
            paused_until: Millis::ZERO,
            is_resuming: false,
        };
        endpoint.correct_load();
        endpoint
    }

    /// Applies a newer announcement of the same incarnation.
    pub(crate) fn update(&mut self, announcement: Announcement, now: Millis, age: Millis) {
        self.announcement = announcement;
        self.announced_at = now - age;
        self.correct_load();
        self.record_held(now);
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.announcement.incarnation
    }

    /// Returns the estimated number of requests at the endpoint now.
    pub(crate) fn active(&self, now: Millis, cfg: &PolicyCfg) -> u32 {
        let age = now.since(self.sampled_at);
        let past_ttl = (age - cfg.load_ttl).as_secs_f64() / cfg.load_ttl.as_secs_f64().max(0.001);
        let present = (1.0 - past_ttl).clamp(0.0, 1.0);
        (f64::from(self.other_active) * present).ceil() as u32 + self.own_active()
    }

    /// Returns whether the endpoint is presumed to have room for one more request.
    pub(crate) fn has_room(&self, now: Millis, active: u32) -> bool {
        let held = Held { all: active, own: self.own_active() };
        // Nothing may wait at a brittle endpoint: it may reject what it can't run at once.
        let is_confirmed =
            || self.unconfirmed.as_ref().is_none_or(|(_, at)| now - *at >= REJECTION_TIME);
        let may_use = self.guard.is_none_or(|guard| {
            guard.is_assigned && f64::from(active) < self.slots() && is_confirmed()
        });
        may_use
            && !self.is_paused(now)
            // All that waited for the end of the pause would come at once.
            && (!self.is_resuming || is_confirmed())
            && self.pace.is_none_or(|pace| pace.may_send(now))
            && self.room.is_none_or(|room| room.admits(now, held, self.is_brittle()))
    }

    /// Returns whether the endpoint has asked for a pause that is not over.
    pub(crate) fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Returns when the pause that it asked for is over.
    pub(crate) fn paused_until(&self) -> Millis {
        self.paused_until
    }

    /// Records that it asked for a pause. A later request for a shorter one doesn't end it earlier.
    pub(crate) fn pause(&mut self, until: Millis) {
        self.paused_until = self.paused_until.max(until);
        self.is_resuming = true;
    }

    /// Records that the endpoint accepted a request that was sent at `sent_at`.
    fn record_accepted(&mut self, sent_at: Millis) {
        self.is_resuming &= sent_at < self.paused_until;
    }

    /// Records that it is known what became of a request.
    fn confirm(&mut self, request: &Name) {
        if self.unconfirmed.as_ref().is_some_and(|(last, _)| last == request) {
            self.unconfirmed = None;
        }
    }

    pub(crate) fn is_brittle(&self) -> bool {
        self.guard.is_some()
    }

    /// Sets how the endpoint may be used if it is brittle.
    pub(crate) fn set_guard(&mut self, guard: Option<Guard>) {
        self.guard = guard;
    }

    /// Sets how many requests it may be sent.
    pub(crate) fn set_rate(&mut self, now: Millis, rate: Option<SendRate>) {
        match (&mut self.pace, rate) {
            (Some(pace), Some(rate)) => pace.set_rate(now, rate),
            (_, rate) => self.pace = rate.map(|rate| Pace::new(now, rate)),
        }
    }

    /// Returns the number of requests at the endpoint as of the last sample, with the own requests
    /// since.
    fn sampled(&self) -> Held {
        let own = self.own_active();
        Held { all: self.other_active + own, own }
    }

    fn record_held(&mut self, now: Millis) {
        let (held, is_brittle) = (self.sampled(), self.is_brittle());
        if let Some(room) = &mut self.room {
            room.record_held(now, held, is_brittle);
        }
    }

    /// Returns the number of our own requests in flight at the endpoint.
    pub(crate) fn own_active(&self) -> u32 {
        self.own_dispatches.len() as u32
    }

    /// Returns when the endpoint sampled its reported load.
    pub(crate) fn sampled_at(&self) -> Millis {
        self.sampled_at
    }

    /// Returns the estimated number of prompt tokens queued at the endpoint.
    ///
    /// The tokens of other entry instances are reduced by what the endpoint can have prefilled
    /// since the sample. For each token that we sent since, the others are assumed to have sent
    /// `peer_load_ratio` tokens.
    pub(crate) fn pending_tokens(&self, now: Millis, peer_load_ratio: f64, cfg: &PolicyCfg) -> u64 {
        let prefilled = now.since(self.sampled_at).as_secs_f64() * self.prefill_tokens_per_s(cfg)
            / self.performance.time_factor(now);
        let others =
            self.other_queued_tokens as f64 + self.own_tokens_since_sample as f64 * peer_load_ratio;
        self.own_pending_tokens + (others - prefilled).max(0.0) as u64
    }

    /// Returns the number of requests of other entry instances, and of our own, at the load sample.
    pub(crate) fn request_counts_at_sample(&self) -> (u32, u32) {
        (self.other_active, self.own_at_sample)
    }

    /// Returns the number of requests that the endpoint runs concurrently, at least 1.
    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.announcement.slots.max(1))
    }

    /// Returns the slots that may be used now, at least 1. They rise linearly over the slow start
    /// of a new endpoint, since a burst on its cold cache would queue while other endpoints have
    /// room.
    pub(crate) fn usable_slots(&self, now: Millis, cfg: &PolicyCfg) -> f64 {
        let uptime_s = now.since(self.first_seen).as_secs_f64();
        let ramp = uptime_s / cfg.slow_start.as_secs_f64().max(0.001);
        (self.slots() * ramp.min(1.0)).max(1.0)
    }

    pub(crate) fn is_suspect(&self, now: Millis) -> bool {
        now < self.suspect_until
    }

    pub(crate) fn is_expired(&self, now: Millis, cfg: &PolicyCfg) -> bool {
        now.since(self.announced_at) > cfg.announcement_ttl
    }

    pub(crate) fn prefill_ms(&self, tokens: u64, cfg: &PolicyCfg) -> f64 {
        tokens as f64 * 1000.0 / self.prefill_tokens_per_s(cfg)
    }

    /// Returns the prefill speed in prompt tokens per second.
    fn prefill_tokens_per_s(&self, cfg: &PolicyCfg) -> f64 {
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

    pub(crate) fn record_sent(
        &mut self,
        now: Millis,
        request: Name,
        prefill_tokens: u64,
        trial_interval: Millis,
    ) {
        let (held, is_brittle) = (self.sampled(), self.is_brittle());
        let trial = self.room.as_mut().filter(|room| room.is_full(held, is_brittle));
        let is_trial = trial.is_some();
        if let Some(room) = trial {
            room.record_trial(now, trial_interval);
        }
        self.unconfirmed = Some((request.clone(), now));
        if let Some(pace) = &mut self.pace {
            pace.record_sent(now);
        }
        let kind = CallKind::new(prefill_tokens, held.all, self.slots());
        let dispatch =
            Dispatch { sent_at: now, prefill_tokens, first_token_at: None, kind, is_trial };
        self.own_pending_tokens += prefill_tokens;
        self.own_tokens_since_sample += prefill_tokens;
        if let Some(replaced) = self.own_dispatches.insert(request, dispatch) {
            self.own_pending_tokens -= replaced.pending_tokens();
        }
    }

    /// Records that the endpoint rejected a request, with the load that it reported.
    pub(crate) fn record_rejected(
        &mut self,
        now: Millis,
        request: &Name,
        load: Option<Load>,
        trial_interval: Millis,
    ) {
        self.confirm(request);
        let dispatch = self.own_dispatches.remove(request);
        if let Some(dispatch) = &dispatch {
            self.own_pending_tokens -= dispatch.pending_tokens();
        }
        if let Some(load) = load {
            self.announcement.load = load;
            self.announced_at = now;
            self.correct_load();
        }
        let was_trial = dispatch.is_some_and(|dispatch| dispatch.is_trial);
        self.room = Some(Room::learn(self.sampled(), now, trial_interval, was_trial));
    }

    /// Records that the endpoint rejected a request of another entry instance.
    pub(crate) fn record_rejected_elsewhere(&mut self, at: Millis, trial_interval: Millis) {
        if self.room.is_none_or(|room| room.learned_at() < at) {
            let limit = self.sampled().all;
            self.room = Some(Room::learn_elsewhere(self.room, limit, at, trial_interval));
        }
    }

    /// Returns the kind of a request without a first token yet, and the time since it was sent.
    pub(crate) fn awaited(&self, now: Millis, request: &Name) -> Option<(CallKind, Millis)> {
        let dispatch = self.own_dispatches.get(request)?;
        dispatch.first_token_at.is_none().then(|| (dispatch.kind, now - dispatch.sent_at))
    }

    /// Records the first token of an answer. Returns whether the request was a trial.
    pub(crate) fn record_first_token(&mut self, now: Millis, request: &Name) -> bool {
        self.confirm(request);
        let Some(dispatch) = self.own_dispatches.get_mut(request) else { return false };
        self.own_pending_tokens -= dispatch.pending_tokens();
        dispatch.first_token_at.get_or_insert(now);
        let is_trial = std::mem::take(&mut dispatch.is_trial);
        let sent_at = dispatch.sent_at;
        self.record_accepted(sent_at);
        self.record_held(now);
        is_trial
    }

    pub(crate) fn record_end(
        &mut self,
        now: Millis,
        request: &Name,
        outcome: Outcome,
        cfg: &PolicyCfg,
    ) {
        self.confirm(request);
        if let Some(dispatch) = self.own_dispatches.remove(request) {
            self.own_pending_tokens -= dispatch.pending_tokens();
            if outcome == Outcome::Finished {
                self.record_accepted(dispatch.sent_at);
            }
            self.ended_dispatches.push_back(EndedDispatch { dispatch, ended_at: now });
            if self.ended_dispatches.len() > MAX_ENDED_DISPATCHES {
                self.ended_dispatches.pop_front();
            }
        }
        match outcome {
            Outcome::Finished => self.consecutive_failures = 0,
            Outcome::Cancelled => {}
            Outcome::Failed => {
                let backoff = cfg.failure_backoff * (1 << self.consecutive_failures.min(5));
                self.suspect_until = now + backoff;
                self.consecutive_failures += 1;
            }
        }
    }

    /// Splits the reported load into our own requests at the time of the sample and those of other
    /// entry instances. A lagging report would otherwise hide what we sent since, and several
    /// requests would go to an endpoint that only looks idle.
    fn correct_load(&mut self) {
        let load = self.announcement.load;
        let sampled_at = self.announced_at - load.age;
        self.ended_dispatches.retain(|e| e.ended_at > sampled_at);
        let running = self.own_dispatches.values().filter(|d| d.sent_at <= sampled_at);
        let ended_since =
            self.ended_dispatches.iter().map(|e| &e.dispatch).filter(|d| d.sent_at <= sampled_at);
        let (mut own, mut own_tokens) = (0, 0);
        for dispatch in running.chain(ended_since) {
            own += 1;
            own_tokens += dispatch.pending_tokens_at(sampled_at);
        }
        let sent_since = self.own_dispatches.values().filter(|d| d.sent_at > sampled_at);
        self.own_tokens_since_sample = sent_since.map(|d| d.prefill_tokens).sum();
        self.own_at_sample = own;
        self.sampled_at = sampled_at;
        self.other_active = (load.running + load.queued).saturating_sub(own);
        self.other_queued_tokens = load.queued_tokens.saturating_sub(own_tokens);
    }
}

impl Dispatch {
    fn pending_tokens(&self) -> u64 {
        if self.first_token_at.is_none() { self.prefill_tokens } else { 0 }
    }

    fn pending_tokens_at(&self, at: Millis) -> u64 {
        let is_pending = self.first_token_at.is_none_or(|first| first > at);
        if is_pending { self.prefill_tokens } else { 0 }
    }
}
