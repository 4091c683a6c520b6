//! The router of one entry instance.

use rand::Rng as _;
use sill_base::random::{self, Rng};
use sill_base::{Machine, Map, Millis, Name, Promise, keep};
use sill_wire::endpoint::{CacheEvent, CacheEvents};
use sill_wire::prefix::BLOCK_TOKENS;
use sill_wire::{Announcement, Incarnation, Role};

use crate::endpoint::Endpoint;
use crate::home;
use crate::newest::Newest;
use crate::policy::{PolicyCfg, PriorityBounds, SampleSize};
use crate::prefix::{Depths, PrefixIndex};
use crate::request::{Choice, ChosenEndpoint, Event, Refusal, RefusalReason, RouteRequest, Target};
use crate::risk::Waves;
use crate::score::{Candidate, Scorer};
use crate::survey::Survey;
use crate::view::PoolView;
use crate::weakening::Weakening;

/// Settings of a router.
#[derive(Debug, Clone)]
pub struct RouterCfg {
    /// The failure domain of the entry instance.
    pub domain: Name,
    /// Seed of its random choices.
    pub seed: u64,
}

/// Chooses endpoints, from announcements and what it sent itself.
#[derive(Debug)]
pub struct Router {
    cfg: RouterCfg,
    policy: PolicyCfg,
    rng: Rng,
    endpoints: Map<Name, Endpoint>,
    newest: Newest,
    prefixes: PrefixIndex,
    free_slots: Vec<usize>,
    slots: usize,
    waves: Waves,
    depths: Depths,
    survey: Survey,
    weakening: Option<Weakening>,
}

/// Why an endpoint is not chosen.
enum Unfit {
    /// It does not serve the target, or may not be given work.
    No,
    /// It has all it may take.
    Full,
    /// It would be too late.
    Late,
}

impl Router {
    /// Makes a router that knows no endpoint.
    pub fn new(cfg: RouterCfg) -> Self {
        Self::with_policy(cfg, PolicyCfg::default())
    }

    /// Makes a router with other figures than the default ones.
    pub fn with_policy(cfg: RouterCfg, policy: PolicyCfg) -> Self {
        Self {
            rng: random::seeded(cfg.seed),
            prefixes: PrefixIndex::new(policy.block_ttl),
            cfg,
            policy,
            endpoints: Map::default(),
            newest: Newest::default(),
            free_slots: Vec::new(),
            slots: 0,
            waves: Waves::default(),
            depths: Depths::default(),
            survey: Survey::default(),
            weakening: None,
        }
    }

    /// Leaves out one rule, for tests of the checks.
    pub fn weaken(&mut self, weakening: Weakening) {
        self.weakening = Some(weakening);
        if weakening == Weakening::UnboundedLoad {
            self.policy.load_factor = PriorityBounds::UNBOUNDED;
            self.policy.wait_factor = PriorityBounds::UNBOUNDED;
            self.policy.pool_factor = PriorityBounds::UNBOUNDED;
        }
    }

    /// Returns the number of endpoints it knows.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the number of cached blocks it remembers over all endpoints.
    pub fn block_count(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns the leading prompt tokens that an endpoint is thought to hold.
    pub fn cached_tokens(&self, endpoint: &str, blocks: &[u64]) -> u64 {
        let Some(endpoint) = self.endpoints.get(endpoint) else {
            return 0;
        };
        let mut depths = Depths::default();
        self.prefixes.depths(blocks, self.slots, &mut depths);
        u64::from(depths.get(endpoint.slot)) * BLOCK_TOKENS as u64
    }

    /// Chooses an endpoint, or says why there is none. The caller reports a request that it sends
    /// by [`Event::Sent`].
    pub fn choose(&mut self, now: Millis, ask: &RouteRequest) -> Choice {
        let mut depths = std::mem::take(&mut self.depths);
        self.prefixes.depths(&ask.blocks, self.slots, &mut depths);
        let mut choice = self.choose_by(now, ask, &depths, self.policy.sample_size);
        if matches!(choice, Choice::Refuse(_)) && self.policy.sample_size.is_some() {
            // Those that were not drawn may have room.
            choice = self.choose_by(now, ask, &depths, None);
        }
        self.depths = depths;
        if let Choice::Endpoint(chosen) = &choice {
            self.check_choice(now, chosen);
        }
        choice
    }

    /// Returns what is believed of the endpoints that serve a request's target.
    pub fn view(&self, now: Millis, ask: &RouteRequest) -> PoolView {
        let mut view = PoolView::default();
        let serves = |e: &&Endpoint| ask.target.is_served_by(&e.announcement);
        for endpoint in self.endpoints.values().filter(serves) {
            let candidate = self.candidate(now, ask, endpoint, 0, None);
            match self.check(now, ask, &candidate) {
                Err(Unfit::No) => view.ineligible += 1,
                _ => view.count(now, &candidate, &self.policy),
            }
        }
        view
    }

    fn choose_by(
        &mut self,
        now: Millis,
        ask: &RouteRequest,
        depths: &Depths,
        drawn: Option<SampleSize>,
    ) -> Choice {
        let mut scorer = Scorer::new(&self.policy, ask, self.survey.dearest);
        let mut reason = RefusalReason::NoEndpoint;
        let home = self.home(now, ask);
        let mut has_healthy = false;
        for endpoint in self.endpoints.values() {
            let cached = u64::from(depths.get(endpoint.slot)) * BLOCK_TOKENS as u64;
            let candidate = self.candidate(now, ask, endpoint, cached, home);
            let fit = self.check(now, ask, &candidate);
            has_healthy |= !candidate.suspect && !matches!(fit, Err(Unfit::No));
            let is_drawn = drawn.is_none_or(|drawn| {
                let chance = self.survey.chance(drawn, candidate.elsewhere);
                candidate.is_home || cached > 0 || self.rng.random::<f64>() < chance
            });
            match fit {
                Ok(()) if !is_drawn => scorer.count(&candidate),
                Ok(()) => {
                    scorer.offer(candidate, &mut self.rng);
                    reason = RefusalReason::Full;
                }
                Err(Unfit::No) => {}
                Err(Unfit::Full) => {
                    scorer.count(&candidate);
                    reason = RefusalReason::Full;
                }
                Err(Unfit::Late) if reason == RefusalReason::NoEndpoint => {
                    reason = RefusalReason::Deadline;
                }
                Err(Unfit::Late) => {}
            }
        }
        match scorer.best() {
            // While healthy ones are only full, one that just failed would fail the request again.
            Some(best) if best.is_suspect() && has_healthy => {
                Choice::Refuse(self.refusal(RefusalReason::Full))
            }
            Some(best) => Choice::Endpoint(best.chosen(&self.policy, ask)),
            None => Choice::Refuse(self.refusal(reason)),
        }
    }

    /// Returns the number of the endpoint where all entry instances look for the prompt.
    fn home(&self, now: Millis, ask: &RouteRequest) -> Option<usize> {
        let block = home::deciding_block(&ask.blocks)?;
        let may_be = |e: &&Endpoint| {
            let a = &e.announcement;
            a.leaving.is_none() && !e.is_expired(now, &self.policy) && ask.target.is_served_by(a)
        };
        let homes = self.endpoints.values().filter(may_be);
        homes.max_by_key(|e| home::draw(block, e.name_hash)).map(|e| e.slot)
    }

    fn candidate<'a>(
        &self,
        now: Millis,
        ask: &RouteRequest,
        endpoint: &'a Endpoint,
        cached: u64,
        home: Option<usize>,
    ) -> Candidate<'a> {
        let a = &endpoint.announcement;
        let reclaim_per_s = if a.reclaimable {
            let left = self.survey.reclaimable_left.get(&a.domain).copied().unwrap_or(0);
            self.waves.chance_per_s(&a.domain, left, now, &self.policy)
        } else {
            0.0
        };
        let reported = a.load.running + a.load.queued;
        let trusts_report = self.weakening == Some(Weakening::TrustLaggingLoad);
        let pending = |peers| endpoint.pending_tokens(now, peers, &self.policy);
        Candidate {
            endpoint,
            cached: cached.min(ask.prompt_tokens),
            is_home: home == Some(endpoint.slot),
            active: if trusts_report { reported } else { endpoint.active() },
            pending_tokens: pending(0.0),
            presumed_tokens: pending(self.survey.peers),
            slots: endpoint.slots(),
            usable_slots: self.usable_slots(now, endpoint),
            elsewhere: a.domain != self.cfg.domain,
            suspect: endpoint.is_suspect(now),
            reclaim_per_s,
        }
    }

    /// Returns the slots that an endpoint may use now. Where all are new, as after a start of the
    /// whole system, slow start would only make waits look longer than they are.
    fn usable_slots(&self, now: Millis, endpoint: &Endpoint) -> f64 {
        if self.survey.any_warm {
            return endpoint.usable_slots(now, &self.policy);
        }
        endpoint.slots()
    }

    fn check(
        &self,
        now: Millis,
        ask: &RouteRequest,
        candidate: &Candidate<'_>,
    ) -> Result<(), Unfit> {
        let endpoint = candidate.endpoint;
        let a = &endpoint.announcement;
        let skips = |weakening| self.weakening == Some(weakening);
        let leaving = a.leaving.is_some() && !skips(Weakening::ChooseLeaving);
        let expired = endpoint.is_expired(now, &self.policy) && !skips(Weakening::KeepExpired);
        let role_fits = skips(Weakening::IgnoreRole) || takes(a.role, ask);
        if leaving || expired || !role_fits || ask.exclude.contains(&a.name) {
            return Err(Unfit::No);
        }
        if !ask.target.is_served_by(a) {
            return Err(Unfit::No);
        }
        if candidate.is_full(&self.policy) {
            return Err(Unfit::Full);
        }
        if ask.deadline != Millis::MAX {
            let needed = Millis(candidate.answer_ms(&self.policy, ask) as u64);
            if now + needed > ask.deadline {
                return Err(Unfit::Late);
            }
        }
        Ok(())
    }

    /// Jittered, because callers that were refused together would otherwise come back together.
    fn refusal(&mut self, reason: RefusalReason) -> Refusal {
        let base = self.policy.retry_after.0.max(1);
        Refusal { reason, retry_after: Millis(base + self.rng.random_range(0..2 * base)) }
    }

    fn check_choice(&self, now: Millis, chosen: &ChosenEndpoint) {
        let Some(word) = self.newest.get(&chosen.endpoint) else {
            return;
        };
        keep!(
            Promise::LeavingGetsNothing,
            !word.leaving && word.incarnation == chosen.incarnation,
            "at {now} endpoint {} was chosen {} after it said that it is leaving",
            chosen.endpoint,
            now.since(word.at)
        );
    }

    /// Takes in an announcement unless something newer is known of the endpoint: a late copy must
    /// not bring back an endpoint that is leaving or gone.
    fn announced(&mut self, now: Millis, mut announcement: Announcement, age: Millis) {
        let incarnation = announcement.incarnation;
        let newest = self.newest.get(&announcement.name);
        let was_leaving = newest.is_some_and(|w| w.is_leaving(incarnation));
        if was_leaving && self.weakening != Some(Weakening::OldAnnouncementOverrides) {
            announcement.leaving.get_or_insert(Millis::ZERO);
        }
        let is_news = newest.is_none_or(|w| w.is_older_than(&announcement));
        let is_known = self.endpoints.contains_key(&announcement.name);
        let is_taken = match self.weakening {
            Some(Weakening::OldAnnouncementOverrides) => true,
            Some(Weakening::NoTombstones) if !is_known => true,
            _ => is_news,
        };
        if !is_taken {
            return;
        }
        let leaving = announcement.leaving.is_some();
        if leaving && !was_leaving && announcement.reclaimable {
            self.waves.reclaimed(&announcement.domain, now, &self.policy);
        }
        if is_news {
            self.newest.note(now, &announcement);
        }
        self.store(now, announcement, age);
        self.survey(now);
    }

    fn store(&mut self, now: Millis, announcement: Announcement, age: Millis) {
        let name = announcement.name.clone();
        let cache_tokens = announcement.cache_tokens;
        match self.endpoints.get_mut(&name) {
            Some(known) if known.incarnation() == announcement.incarnation => {
                known.update(announcement, now, age);
            }
            _ => {
                self.drop_endpoint(&name);
                let slot = self.take_slot();
                let endpoint = Endpoint::new(announcement, slot, now, age);
                self.endpoints.insert(name.clone(), endpoint);
                self.share_memory();
            }
        }
        let share = self.block_share();
        let slot = self.endpoints[&name].slot;
        self.prefixes.set_capacity(slot, share.min(cache_tokens as usize / BLOCK_TOKENS));
    }

    fn gone(&mut self, now: Millis, name: &Name, incarnation: Incarnation) {
        let Some(endpoint) = self.endpoints.get(name) else {
            return;
        };
        if endpoint.incarnation() > incarnation {
            return;
        }
        let a = &endpoint.announcement;
        if a.reclaimable && a.leaving.is_none() {
            self.waves.reclaimed(&a.domain.clone(), now, &self.policy);
        }
        self.drop_endpoint(name);
        self.survey(now);
        self.forget_words(now);
    }

    fn drop_endpoint(&mut self, name: &Name) {
        if let Some(endpoint) = self.endpoints.remove(name) {
            self.prefixes.clear(endpoint.slot);
            self.free_slots.push(endpoint.slot);
        }
    }

    fn take_slot(&mut self) -> usize {
        self.free_slots.pop().unwrap_or_else(|| {
            self.slots += 1;
            self.slots - 1
        })
    }

    fn block_share(&self) -> usize {
        self.policy.max_blocks / self.endpoints.len().max(1)
    }

    /// Lowers what is remembered of each endpoint to its share of the memory.
    fn share_memory(&mut self) {
        let share = self.block_share();
        for endpoint in self.endpoints.values() {
            let held = endpoint.announcement.cache_tokens as usize / BLOCK_TOKENS;
            self.prefixes.set_capacity(endpoint.slot, share.min(held));
        }
    }

    fn survey(&mut self, now: Millis) {
        let (domain, policy) = (&self.cfg.domain, &self.policy);
        self.survey.renew(now, self.endpoints.values(), domain, policy);
    }

    fn forget_words(&mut self, now: Millis) {
        let endpoints = &self.endpoints;
        let is_known = |name: &Name| endpoints.contains_key(name);
        self.newest.forget(now, self.policy.tombstone_ttl, is_known);
    }

    fn sent(&mut self, now: Millis, name: &Name, ask: &RouteRequest) {
        let cached = self.cached_tokens(name, &ask.blocks);
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        let prefill = ask.prompt_tokens.saturating_sub(cached);
        endpoint.sent(now, ask.request.clone(), prefill);
        self.prefixes.insert(endpoint.slot, &ask.blocks, now);
    }

    /// Applies cache events in order. Each lost event may have dropped one block, and caches drop
    /// what was used longest ago, so a gap forgets as many of the oldest blocks.
    fn cache_events(&mut self, now: Millis, batch: CacheEvents) {
        let Some(endpoint) = self.endpoints.get_mut(&batch.name) else {
            return;
        };
        if endpoint.incarnation() != batch.incarnation {
            return;
        }
        let slot = endpoint.slot;
        let expected = endpoint.next_event.unwrap_or(batch.sequence);
        let end = batch.sequence + batch.events.len() as u64;
        let is_late = batch.sequence < expected;
        endpoint.next_event = Some(end.max(expected));
        let lost = batch.sequence.saturating_sub(expected);
        if self.weakening != Some(Weakening::IgnoreGaps) {
            self.prefixes.evict_oldest(slot, lost as usize);
        }
        for event in batch.events {
            match event {
                // What a late batch says was stored may have been dropped since.
                CacheEvent::Stored { .. } if is_late => {}
                CacheEvent::Stored { block } => self.prefixes.insert(slot, &[block], now),
                CacheEvent::Dropped { block } => self.prefixes.remove(slot, block),
                CacheEvent::Cleared => self.prefixes.clear(slot),
            }
        }
    }
}

impl Machine for Router {
    /// The router has nothing to be done; it only answers.
    type Action = ();
    type Event = Event;

    fn step(&mut self, now: Millis, event: Event, _out: &mut Vec<()>) {
        match event {
            Event::Announced { announcement, age } => self.announced(now, announcement, age),
            Event::Gone { endpoint, incarnation } => self.gone(now, &endpoint, incarnation),
            Event::Cache(batch) => self.cache_events(now, batch),
            Event::Sent { endpoint, ask } => self.sent(now, &endpoint, &ask),
            Event::FirstToken { endpoint, request } => {
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    endpoint.first_token(now, &request);
                }
            }
            Event::Ended { endpoint, request, outcome, .. } => {
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    endpoint.ended(now, &request, outcome, &self.policy);
                }
            }
        }
    }
}

impl Target {
    /// Returns whether an endpoint serves the target.
    pub fn is_served_by(&self, announcement: &Announcement) -> bool {
        match self {
            Self::Model(model) => announcement.has_model(model),
            Self::Service(service) => announcement.has_service(service),
        }
    }
}

/// Returns whether a role takes a whole request. An answer of one token needs no decoding.
fn takes(role: Role, ask: &RouteRequest) -> bool {
    match role {
        Role::Mixed => true,
        Role::Prefill => ask.max_tokens <= 1,
        Role::Decode | Role::Standby => false,
    }
}
