//! The router of one entry instance, which chooses an endpoint for each request.

use rand::Rng as _;
use sill_base::random::{self, Rng};
use sill_base::{Machine, Map, Millis, Name, Promise, assert_promise};
use sill_wire::endpoint::{CacheEvent, CacheEvents};
use sill_wire::prefix::BLOCK_TOKENS;
use sill_wire::{Announcement, Incarnation, Role};

use crate::endpoint::Endpoint;
use crate::home;
use crate::performance::{self, EndpointWeights, UsualTimes};
use crate::policy::{PolicyCfg, PriorityBounds, SampleSize};
use crate::pool_stats::PoolStats;
use crate::prefix::{Depths, PrefixIndex};
use crate::request::{Choice, ChosenEndpoint, Event, Refusal, RefusalReason, RouteRequest, Target};
use crate::risk::ReclaimWaves;
use crate::room::{TrialPace, brittle_trial_interval};
use crate::score::{Candidate, Scorer};
use crate::versions::Versions;
use crate::view::PoolView;
use crate::weakening::Weakening;

/// Factor on the chance that an endpoint with an idle connection is compared. Otherwise few of those that
/// are compared would have one.
const CONNECTED_SAMPLE_FACTOR: f64 = 2.0;

/// Interval at which the speeds of all endpoints are compared. Samples arrive at hundreds a second, and
/// an entry instance may have a tenth of a core.
const COMPARE_INTERVAL: Millis = Millis(200);

/// Settings of a router.
#[derive(Debug, Clone)]
pub struct RouterCfg {
    /// Failure domain of the entry instance, whose endpoints are preferred.
    pub domain: Name,
    /// Seed of the random numbers for sampling, tie breaks and jitter.
    pub seed: u64,
}

/// Chooses endpoints by their announcements and by the requests that it sent itself.
#[derive(Debug)]
pub struct Router {
    cfg: RouterCfg,
    policy: PolicyCfg,
    rng: Rng,
    endpoints: Map<Name, Endpoint>,
    versions: Versions,
    prefixes: PrefixIndex,
    /// Endpoint indices of removed endpoints, for reuse.
    free_indices: Vec<usize>,
    /// Endpoint indices allocated so far, in use or free.
    index_count: usize,
    waves: ReclaimWaves,
    /// Kept between choices to save allocations.
    depths: Depths,
    stats: PoolStats,
    trial_pace: TrialPace,
    usual_times: UsualTimes,
    compared_at: Millis,
    weakening: Option<Weakening>,
}

/// Why an endpoint can't take a request.
enum Rejection {
    /// It doesn't serve the target, or must not be sent requests.
    Unusable,
    /// It has reached its load bound.
    Full,
    /// Its answer is expected after the deadline.
    TooSlow,
}

impl Router {
    /// Creates a router without endpoints and with the default policy.
    pub fn new(cfg: RouterCfg) -> Self {
        Self::with_policy(cfg, PolicyCfg::default())
    }

    /// Creates a router without endpoints and with a given policy.
    pub fn with_policy(cfg: RouterCfg, policy: PolicyCfg) -> Self {
        Self {
            rng: random::seeded(cfg.seed),
            prefixes: PrefixIndex::new(policy.block_ttl),
            cfg,
            policy,
            endpoints: Map::default(),
            versions: Versions::default(),
            free_indices: Vec::new(),
            index_count: 0,
            waves: ReclaimWaves::default(),
            depths: Depths::default(),
            stats: PoolStats::default(),
            trial_pace: TrialPace::default(),
            usual_times: UsualTimes::default(),
            compared_at: Millis::ZERO,
            weakening: None,
        }
    }

    /// Leaves out one rule, to test that the checks notice.
    pub fn weaken(&mut self, weakening: Weakening) {
        self.weakening = Some(weakening);
        if weakening == Weakening::UnboundedLoad {
            self.policy.load_factor = PriorityBounds::UNBOUNDED;
            self.policy.wait_factor = PriorityBounds::UNBOUNDED;
            self.policy.pool_factor = PriorityBounds::UNBOUNDED;
        }
    }

    /// Returns the number of endpoints that were announced and not removed, whatever their state.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the number of tracked cached blocks, summed over all endpoints.
    pub fn block_count(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns the estimated number of leading prompt tokens that an endpoint has cached.
    pub fn cached_tokens(&self, endpoint: &str, blocks: &[u64]) -> u64 {
        let Some(endpoint) = self.endpoints.get(endpoint) else {
            return 0;
        };
        let mut depths = Depths::default();
        self.prefixes.depths(blocks, self.index_count, &mut depths);
        u64::from(depths.get(endpoint.index)) * BLOCK_TOKENS as u64
    }

    /// Returns the weights of the endpoints that have reported a pace.
    pub fn performance(&self, now: Millis) -> impl Iterator<Item = (&Name, EndpointWeights)> {
        let reported = self.endpoints.iter().filter(|(_, e)| e.performance.is_reported());
        reported.map(move |(name, endpoint)| (name, endpoint.performance.weights(now)))
    }

    /// Returns how long the newest answer of an endpoint took, in percent of what is usual for such a
    /// call at its pace, and when that was.
    pub fn own_sample(&self, endpoint: &Name) -> Option<(u32, Millis)> {
        self.endpoints.get(endpoint)?.performance.own_sample()
    }

    /// Sets to which endpoints idle connections are kept, or none if that doesn't matter for the choice.
    pub fn set_connected<F>(&mut self, is_connected: F)
    where
        F: Fn(&Name) -> Option<bool>,
    {
        for (name, endpoint) in &mut self.endpoints {
            endpoint.is_connected = is_connected(name);
        }
    }

    /// Chooses an endpoint, or returns why there is none. If the caller sends the request, it
    /// reports that by [`Event::Sent`].
    pub fn choose(&mut self, now: Millis, req: &RouteRequest) -> Choice {
        let mut depths = std::mem::take(&mut self.depths);
        self.prefixes.depths(&req.blocks, self.index_count, &mut depths);
        let mut choice = self.choose_from(now, req, &depths, self.policy.sample_size);
        if matches!(choice, Choice::Refuse(_)) && self.policy.sample_size.is_some() {
            // Endpoints outside the sample may have room.
            choice = self.choose_from(now, req, &depths, None);
        }
        self.depths = depths;
        if let Choice::Endpoint(chosen) = &choice {
            self.check_choice(now, chosen);
        }
        choice
    }

    /// Returns counts over the endpoints that serve a request's target.
    pub fn view(&self, now: Millis, req: &RouteRequest) -> PoolView {
        let mut view = PoolView::default();
        let serves = |e: &&Endpoint| req.target.is_served_by(&e.announcement);
        for endpoint in self.endpoints.values().filter(serves) {
            let candidate = self.candidate(now, req, endpoint, 0, None);
            match self.check_eligibility(now, req, &candidate) {
                Err(Rejection::Unusable) => view.ineligible += 1,
                _ => view.count(now, &candidate, &self.policy),
            }
        }
        view
    }

    /// Chooses among the home, the endpoints with a cached prefix and a random sample of the
    /// others. Without a sample size, all endpoints are compared.
    fn choose_from(
        &mut self,
        now: Millis,
        req: &RouteRequest,
        depths: &Depths,
        sample_size: Option<SampleSize>,
    ) -> Choice {
        let mut scorer = Scorer::new(&self.policy, req, self.stats.max_price);
        let mut reason = RefusalReason::NoEndpoint;
        let home = self.home_index(now, req);
        let admitted_share = self.admitted_share(req);
        let mut has_healthy = false;
        let (mut has_unpaused, mut first_end) = (false, Millis::MAX);
        for endpoint in self.endpoints.values() {
            let cached = u64::from(depths.get(endpoint.index)) * BLOCK_TOKENS as u64;
            let candidate = self.candidate(now, req, endpoint, cached, home);
            let eligibility = self.check_eligibility(now, req, &candidate);
            has_healthy |=
                !candidate.is_suspect && !matches!(eligibility, Err(Rejection::Unusable));
            let is_sampled = sample_size.is_none_or(|size| {
                let chance = self.stats.sample_chance(size, candidate.is_remote) / admitted_share;
                let chance = match endpoint.is_connected == Some(true) {
                    true => chance * CONNECTED_SAMPLE_FACTOR,
                    false => chance,
                };
                candidate.is_home || cached > 0 || self.rng.random::<f64>() < chance
            });
            // The second pass considers endpoints that are reserved, after all others.
            let is_sampled = is_sampled && !(candidate.is_reserved && sample_size.is_some());
            match eligibility {
                Ok(()) if !is_sampled => {
                    has_unpaused = true;
                    scorer.add_load(&candidate);
                }
                Ok(()) => {
                    has_unpaused = true;
                    scorer.offer(candidate, &mut self.rng);
                    reason = RefusalReason::Full;
                }
                Err(Rejection::Unusable) => {}
                Err(Rejection::Full) => {
                    if endpoint.is_paused(now) {
                        first_end = first_end.min(endpoint.paused_until());
                    } else {
                        has_unpaused = true;
                    }
                    scorer.add_load(&candidate);
                    reason = RefusalReason::Full;
                }
                Err(Rejection::TooSlow) if reason == RefusalReason::NoEndpoint => {
                    reason = RefusalReason::Deadline;
                }
                Err(Rejection::TooSlow) => {}
            }
        }
        match scorer.best() {
            // Refuses rather than choosing an endpoint in backoff while healthy ones are full: the
            // endpoint would probably fail the request again.
            Some(best) if best.is_suspect() && has_healthy => {
                Choice::Refuse(self.refusal(RefusalReason::Full))
            }
            Some(best) => Choice::Endpoint(best.chosen_endpoint(&self.policy, req)),
            None if reason == RefusalReason::Full && !has_unpaused => {
                Choice::Refuse(self.refusal_until(now, first_end))
            }
            None => Choice::Refuse(self.refusal(reason)),
        }
    }

    /// Returns the index of the prompt's home, on which all entry instances agree.
    fn home_index(&self, now: Millis, req: &RouteRequest) -> Option<usize> {
        let block = home::home_block(&req.blocks)?;
        let is_eligible = |e: &&Endpoint| {
            let a = &e.announcement;
            // Without the last condition, half of the prompts would lose their homes while as many
            // endpoints of a version that gets nothing are present.
            a.leaving.is_none()
                && !e.is_expired(now, &self.policy)
                && req.target.is_served_by(a)
                && req.admitted.admits(a)
        };
        let homes = || self.endpoints.values().filter(is_eligible);
        let rendezvous = |e: &&Endpoint| home::rendezvous_weight(block, e.name_hash);
        if homes().all(|e| e.performance.home_weight() == 1.0) {
            return homes().max_by_key(rendezvous).map(|e| e.index);
        }
        let rank = |e: &&Endpoint| home::weighted_rank(rendezvous(e), e.performance.home_weight());
        homes().max_by(|a, b| rank(a).total_cmp(&rank(b))).map(|e| e.index)
    }

    /// Returns the share of the endpoints that a request may use, by which its sample is enlarged.
    fn admitted_share(&self, req: &RouteRequest) -> f64 {
        if req.admitted.is_all() {
            return 1.0;
        }
        let admitted = self.endpoints.values().filter(|e| req.admitted.admits(&e.announcement));
        admitted.count().max(1) as f64 / self.endpoints.len().max(1) as f64
    }

    fn candidate<'a>(
        &self,
        now: Millis,
        req: &RouteRequest,
        endpoint: &'a Endpoint,
        cached: u64,
        home: Option<usize>,
    ) -> Candidate<'a> {
        let a = &endpoint.announcement;
        let reclaim_per_s = if a.reclaimable {
            let remaining = self.stats.reclaimable_by_domain.get(&a.domain).copied().unwrap_or(0);
            self.waves.chance_per_s(&a.domain, remaining, now, &self.policy)
        } else {
            0.0
        };
        let reported = a.load.running + a.load.queued;
        let uses_report = self.weakening == Some(Weakening::TrustLaggingLoad);
        let active = if uses_report { reported } else { endpoint.active(now, &self.policy) };
        let pending = |ratio| endpoint.pending_tokens(now, ratio, &self.policy);
        Candidate {
            endpoint,
            cached: cached.min(req.prompt_tokens),
            is_home: home == Some(endpoint.index),
            active,
            pending_tokens: pending(0.0),
            assumed_pending_tokens: pending(self.stats.peer_load_ratio),
            slots: endpoint.slots(),
            usable_slots: self.usable_slots(now, endpoint),
            has_room: endpoint.has_room(now, active),
            is_remote: a.domain != self.cfg.domain,
            is_suspect: endpoint.is_suspect(now),
            is_reserved: req.reserved.contains(&a.software),
            reclaim_per_s,
            pace_factor: endpoint.performance.pace_factor(now),
            learned_factor: endpoint.performance.learned_factor(),
            needs_connection: endpoint.is_connected == Some(false),
            // The work of other calls is known from their prompts.
            work_ms: if req.prompt_tokens == 0 { self.usual_times.work_ms() } else { 0.0 },
        }
    }

    /// Returns the slots of an endpoint that may be used now. If all endpoints are new, as after a
    /// start of the whole system, there is no slow start: it would only make the expected waits
    /// longer than they are.
    fn usable_slots(&self, now: Millis, endpoint: &Endpoint) -> f64 {
        if self.stats.has_warm {
            return endpoint.usable_slots(now, &self.policy);
        }
        endpoint.slots()
    }

    fn check_eligibility(
        &self,
        now: Millis,
        req: &RouteRequest,
        candidate: &Candidate<'_>,
    ) -> Result<(), Rejection> {
        let endpoint = candidate.endpoint;
        let a = &endpoint.announcement;
        let skips = |weakening| self.weakening == Some(weakening);
        let leaving = a.leaving.is_some() && !skips(Weakening::ChooseLeaving);
        let expired = endpoint.is_expired(now, &self.policy) && !skips(Weakening::KeepExpired);
        let accepts_role = skips(Weakening::IgnoreRole) || role_accepts(a.role, req);
        if leaving || expired || !accepts_role || req.exclude.contains(&a.name) {
            return Err(Rejection::Unusable);
        }
        let is_other_version =
            req.software.as_ref().is_some_and(|software| !a.software.is_compatible(software));
        if is_other_version || !req.admitted.admits(a) || !req.target.is_served_by(a) {
            return Err(Rejection::Unusable);
        }
        if candidate.is_full_for(&self.policy, req) {
            return Err(Rejection::Full);
        }
        if req.deadline != Millis::MAX {
            let needed = Millis(candidate.answer_ms(&self.policy, req) as u64);
            if now + needed > req.deadline {
                return Err(Rejection::TooSlow);
            }
        }
        Ok(())
    }

    /// Returns a refusal with jitter, since callers that were refused together would otherwise
    /// retry together.
    fn refusal(&mut self, reason: RefusalReason) -> Refusal {
        let base = self.policy.retry_after.0.max(1);
        Refusal { reason, retry_after: Millis(base + self.rng.random_range(0..2 * base)) }
    }

    /// Returns the refusal of a request for which all endpoints pause, the first of them until
    /// `first_end`.
    fn refusal_until(&mut self, now: Millis, first_end: Millis) -> Refusal {
        let spread = Millis(self.rng.random_range(0..=self.policy.retry_after.0));
        Refusal { reason: RefusalReason::Paused, retry_after: first_end - now + spread }
    }

    fn check_choice(&self, now: Millis, chosen: &ChosenEndpoint) {
        let Some(latest) = self.versions.get(&chosen.endpoint) else {
            return;
        };
        assert_promise!(
            Promise::LeavingGetsNothing,
            !latest.leaving && latest.incarnation == chosen.incarnation,
            "at {now}, endpoint {} was chosen as {:?}, but its latest announcement, received {} \
             before, is of {:?} with leaving: {}",
            chosen.endpoint,
            chosen.incarnation,
            now.since(latest.received_at),
            latest.incarnation,
            latest.leaving
        );
    }

    /// Applies an announcement unless a newer one of the endpoint was received. A late copy must
    /// not make a leaving or removed endpoint eligible again.
    fn apply_announcement(&mut self, now: Millis, mut announcement: Announcement, age: Millis) {
        let incarnation = announcement.incarnation;
        let latest = self.versions.get(&announcement.name);
        let was_leaving = latest.is_some_and(|v| v.is_leaving(incarnation));
        if was_leaving && self.weakening != Some(Weakening::OldAnnouncementOverrides) {
            announcement.leaving.get_or_insert(Millis::ZERO);
        }
        let is_newer = latest.is_none_or(|v| v.is_older_than(&announcement));
        let is_known = self.endpoints.contains_key(&announcement.name);
        let is_accepted = match self.weakening {
            Some(Weakening::OldAnnouncementOverrides) => true,
            Some(Weakening::NoTombstones) if !is_known => true,
            _ => is_newer,
        };
        if !is_accepted {
            return;
        }
        let leaving = announcement.leaving.is_some();
        if leaving && !was_leaving && announcement.reclaimable {
            self.waves.record_reclaim(&announcement.domain, now, &self.policy);
        }
        if is_newer {
            self.versions.record(now, &announcement);
        }
        self.store_endpoint(now, announcement, age);
        self.refresh_stats(now);
    }

    fn store_endpoint(&mut self, now: Millis, announcement: Announcement, age: Millis) {
        let name = announcement.name.clone();
        let cache_tokens = announcement.cache_tokens;
        match self.endpoints.get_mut(&name) {
            Some(endpoint) if endpoint.incarnation() == announcement.incarnation => {
                endpoint.update(announcement, now, age);
            }
            _ => {
                self.remove_endpoint(&name);
                let index = self.allocate_index();
                let endpoint = Endpoint::new(announcement, index, now, age);
                self.endpoints.insert(name.clone(), endpoint);
                self.update_capacities();
            }
        }
        let share = self.blocks_per_endpoint();
        let index = self.endpoints[&name].index;
        self.prefixes.set_capacity(index, share.min(cache_tokens as usize / BLOCK_TOKENS));
    }

    fn apply_removal(&mut self, now: Millis, name: &Name, incarnation: Incarnation) {
        let Some(endpoint) = self.endpoints.get(name) else {
            return;
        };
        if endpoint.incarnation() > incarnation {
            return;
        }
        let a = &endpoint.announcement;
        if a.reclaimable && a.leaving.is_none() {
            self.waves.record_reclaim(&a.domain.clone(), now, &self.policy);
        }
        self.remove_endpoint(name);
        self.refresh_stats(now);
        self.expire_versions(now);
    }

    fn remove_endpoint(&mut self, name: &Name) {
        if let Some(endpoint) = self.endpoints.remove(name) {
            self.prefixes.clear(endpoint.index);
            self.free_indices.push(endpoint.index);
        }
    }

    fn allocate_index(&mut self) -> usize {
        self.free_indices.pop().unwrap_or_else(|| {
            self.index_count += 1;
            self.index_count - 1
        })
    }

    fn blocks_per_endpoint(&self) -> usize {
        self.policy.max_blocks / self.endpoints.len().max(1)
    }

    /// Sets the capacity of each endpoint in the prefix index to its share of `max_blocks`, but to
    /// no more than its cache holds.
    fn update_capacities(&mut self) {
        let share = self.blocks_per_endpoint();
        for endpoint in self.endpoints.values() {
            let cache_blocks = endpoint.announcement.cache_tokens as usize / BLOCK_TOKENS;
            self.prefixes.set_capacity(endpoint.index, share.min(cache_blocks));
        }
    }

    fn refresh_stats(&mut self, now: Millis) {
        let (domain, policy) = (&self.cfg.domain, &self.policy);
        self.stats.refresh(now, self.endpoints.values(), domain, policy);
    }

    fn expire_versions(&mut self, now: Millis) {
        let endpoints = &self.endpoints;
        let is_known = |name: &Name| endpoints.contains_key(name);
        self.versions.expire(now, self.policy.tombstone_ttl, is_known);
    }

    /// Learns from the time to the first token of a request how fast its endpoint is.
    fn learn_speed(&mut self, now: Millis, name: &Name, request: &Name) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        let performance = &mut endpoint.performance;
        if !performance.is_reported() {
            return;
        }
        let pace_factor = performance.pace_factor(now);
        let Some((kind, time)) = endpoint.awaited(now, request) else { return };
        let Some(ratio) = self.usual_times.record(kind, time, pace_factor) else { return };
        endpoint.performance.record_own_sample(now, ratio);
        self.compare_speeds(now);
    }

    /// Compares the speeds of all endpoints, at most every [`COMPARE_INTERVAL`].
    fn compare_speeds(&mut self, now: Millis) {
        if now - self.compared_at < COMPARE_INTERVAL {
            return;
        }
        self.compared_at = now;
        let estimates = self.endpoints.values().filter_map(|e| e.performance.estimate()).collect();
        let median = performance::median(estimates);
        self.endpoints.values_mut().for_each(|e| e.performance.set_median(median));
    }

    fn record_sent(&mut self, now: Millis, name: &Name, req: &RouteRequest) {
        let cached = self.cached_tokens(name, &req.blocks);
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        let prefill = req.prompt_tokens.saturating_sub(cached);
        let trial_interval = trial_interval(&self.trial_pace, &mut self.rng, endpoint);
        endpoint.record_sent(now, req.request.clone(), prefill, trial_interval);
        self.prefixes.insert(endpoint.index, &req.blocks, now);
    }

    /// Applies a batch of cache events in order. Each lost event may have dropped one block, and
    /// caches drop the least recently used block first, so a gap evicts as many of the oldest
    /// blocks.
    fn apply_cache_events(&mut self, now: Millis, batch: CacheEvents) {
        let Some(endpoint) = self.endpoints.get_mut(&batch.name) else {
            return;
        };
        if endpoint.incarnation() != batch.incarnation {
            return;
        }
        let index = endpoint.index;
        let expected = endpoint.next_event.unwrap_or(batch.sequence);
        let end = batch.sequence + batch.events.len() as u64;
        let is_late = batch.sequence < expected;
        endpoint.next_event = Some(end.max(expected));
        let lost = batch.sequence.saturating_sub(expected);
        if self.weakening != Some(Weakening::IgnoreGaps) {
            self.prefixes.evict_oldest(index, lost as usize);
        }
        for event in batch.events {
            match event {
                // A block that a late batch reports as stored may have been dropped since.
                CacheEvent::Stored { .. } if is_late => {}
                CacheEvent::Stored { block } => self.prefixes.insert(index, &[block], now),
                CacheEvent::Dropped { block } => self.prefixes.remove(index, block),
                CacheEvent::Cleared => self.prefixes.clear(index),
            }
        }
    }
}

impl Machine for Router {
    /// The router emits no actions; it only answers requests.
    type Action = ();
    type Event = Event;

    fn step(&mut self, now: Millis, event: Event, _out: &mut Vec<()>) {
        match event {
            Event::Announced { announcement, age } => {
                self.apply_announcement(now, announcement, age)
            }
            Event::Gone { endpoint, incarnation } => {
                self.apply_removal(now, &endpoint, incarnation)
            }
            Event::Cache(batch) => self.apply_cache_events(now, batch),
            Event::Sent { endpoint, ask } => self.record_sent(now, &endpoint, &ask),
            Event::FirstToken { endpoint, request } => {
                self.learn_speed(now, &endpoint, &request);
                let endpoint = self.endpoints.get_mut(&endpoint);
                if endpoint.is_some_and(|e| e.record_first_token(now, &request)) {
                    self.trial_pace.record(true);
                }
            }
            Event::Rejected { endpoint, request, load } => {
                self.trial_pace.record(false);
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    let trial_interval = trial_interval(&self.trial_pace, &mut self.rng, endpoint);
                    endpoint.record_rejected(now, &request, load, trial_interval);
                }
            }
            Event::RejectedElsewhere { endpoint, age } => {
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    let trial_interval = trial_interval(&self.trial_pace, &mut self.rng, endpoint);
                    endpoint.record_rejected_elsewhere(now - age, trial_interval);
                }
            }
            Event::Paused { endpoint, span } => {
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    endpoint.pause(now + span);
                }
            }
            Event::Guarded { endpoint, guard } => {
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    endpoint.set_guard(guard);
                }
            }
            Event::Paced { endpoint, rate } => {
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    endpoint.set_rate(now, rate);
                }
            }
            Event::PaceReported { endpoint, percent, age } => {
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    endpoint.performance.record_pace(now - age, percent);
                }
            }
            Event::TimeHeard { endpoint, percent } => {
                let endpoint = self.endpoints.get_mut(&endpoint);
                if let Some(endpoint) = endpoint.filter(|e| e.performance.is_reported()) {
                    endpoint.performance.record_sample((f64::from(percent.max(1)) / 100.0).ln());
                    self.compare_speeds(now);
                }
            }
            Event::Ended { endpoint, request, outcome, .. } => {
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    endpoint.record_end(now, &request, outcome, &self.policy);
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

/// Returns the time until the next request to an endpoint that is presumed to be full.
fn trial_interval(pace: &TrialPace, rng: &mut Rng, endpoint: &Endpoint) -> Millis {
    match endpoint.is_brittle() {
        true => brittle_trial_interval(rng),
        false => pace.next_interval(rng),
    }
}

/// Returns whether an endpoint of a role serves a whole request. An answer of one token needs no
/// decoding, so prefill endpoints serve it.
fn role_accepts(role: Role, req: &RouteRequest) -> bool {
    match role {
        Role::Mixed => true,
        Role::Prefill => req.max_tokens <= 1,
        Role::Decode | Role::Standby => false,
    }
}
