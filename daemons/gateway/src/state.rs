//! The state shared by the parts of an entry instance, each under its own lock.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use parking_lot::{Mutex, RwLock};
use sill_base::{Clock, Map, Millis, Name, Promise, Set, assert_promise, event};
use sill_dispatch::usage::window_of;
use sill_dispatch::{
    AdmittedByReason, BrittleCounts, BufferBudget, FactUpdate, LimitEstimate, LimitShares,
    MAX_TOTALS_AGE, MovingAverage, OpenCalls, OverLimit, PartBlock, Pool, PoolCfg, RetryBudgets,
    RouteTable, UsageCounter,
};
use sill_net::h1::{ConnectionPool, ConnectionPoolCfg, OpenConnections};
use sill_route::{EndpointWeights, SendRate};
use sill_tree::Engine;
use sill_wire::Incarnation;
use sill_wire::link::{
    EndpointFact, EndpointState, EngineSpeed, EntryReport, LinkReply, QueueTotal, ServiceReport,
    Totals,
};

use tokio::sync::watch;

use crate::cfg::GatewayCfg;
use crate::crashes::{CrashSign, Crashes};
use crate::egress::Egress;
use crate::metrics::Metrics;
use crate::planned_stop::PlannedStop;
use crate::rollouts::{Rollouts, ServiceGate};
use crate::serve::{MAX_BODY, max_body_bytes};
use crate::stream_end::StreamEnds;
use crate::streams::Streams;
use crate::termination::Termination;
use crate::tunnels::Tunnels;
use crate::waiting::WaitingCalls;

/// Timeout for connecting to an endpoint. A connection between failure domains takes 3 ms. A lost
/// first packet is sent again after a second, which is too late for most calls.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// Time without acknowledgements after which a connection to an endpoint is dropped.
const UNACKNOWLEDGED_TIMEOUT: Millis = Millis(3000);

/// Time for which an idle connection is kept if the endpoint announces no limit.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(10_000);

/// Time by which an idle connection is closed before the limit that its endpoint announces.
const IDLE_MARGIN: Millis = Millis(1000);

/// Time for which the departure of an endpoint is remembered.
const DEPARTURE_TTL: Millis = Millis(60_000);

/// Relative change of the learned engine speed after which it is logged again.
const SPEED_LOG_CHANGE: f64 = 0.1;

/// Number of endpoints of a service with a limit, or a load, that makes no sense that are logged.
const MAX_INVALID_REPORTS: usize = 1000;

/// Age up to which a load reported by an endpoint is sent to control instances. Reports are sent
/// four times a second, so a load lost with one report is in the next.
const LOAD_REPORT_AGE: Millis = Millis(600);

/// Time span over which rates reported to the leader are averaged.
const RATE_SPAN: Millis = Millis(2000);

/// The state of an entry instance.
#[derive(Debug)]
pub struct State {
    /// The settings the instance was started with.
    pub cfg: GatewayCfg,
    /// The steady clock of the process.
    pub clock: Clock,
    /// The incarnation, which tells restarts under the same name apart.
    pub incarnation: Incarnation,
    /// The metrics served to operators.
    pub metrics: Metrics,
    /// The connections to endpoints.
    pub egress: Arc<Egress>,
    /// The tunnels that this instance carries for others.
    pub tunnels: Tunnels,
    /// Counts open connections of callers.
    pub callers: Arc<OpenConnections>,
    /// Ends the calls that a stop doesn't wait for.
    pub termination: Termination,
    /// The memory for what can't be passed on yet.
    pub buffers: Arc<BufferBudget>,
    /// Crashes of endpoints, and the requests that are blocked because of them.
    pub crashes: Crashes,
    /// Checks of the endpoints whose streams ended without a mark.
    pub stream_ends: StreamEnds,
    /// Which software versions began the streams that callers may take up.
    pub streams: Arc<Streams>,
    /// Which versions of services calls may use.
    pub rollouts: Rollouts,
    /// The planned stop, and the call durations it depends on.
    pub planned_stop: PlannedStop,
    table: watch::Sender<Option<Arc<RouteTable>>>,
    pools: RwLock<Map<Name, Arc<PoolState>>>,
    shares: Mutex<LimitShares>,
    has_totals: watch::Sender<bool>,
    /// When the first settings came into force.
    first_settings_at: OnceLock<Millis>,
    budgets: Mutex<RetryBudgets>,
    usage: Mutex<UsageCounter>,
    /// True time of day minus the steady clock, in milliseconds.
    time_offset: AtomicU64,
}

/// The endpoints of a service, and rates of its calls.
#[derive(Debug)]
pub struct PoolState {
    /// The name of the service.
    pub service: Name,
    /// The endpoints and their loads.
    pub pool: Mutex<Pool>,
    /// Whether the endpoints are model engines.
    pub is_engine: bool,
    /// Whether runs can be migrated between the endpoints.
    pub can_move: bool,
    /// Which versions calls may use; none if roll-outs are not enabled.
    pub gate: Option<Arc<ServiceGate>>,
    /// Calls that wait for capacity.
    pub waiting: WaitingCalls,
    rates: Mutex<Rates>,
    /// Prefill speed of an engine in tokens per second as last logged.
    logged_speed: Mutex<f64>,
    /// Endpoints that have named limits that make no sense.
    invalid_limits: Mutex<Set<Name>>,
    /// Endpoints that have asked for pauses that make no sense.
    invalid_pauses: Mutex<Set<Name>>,
    /// Endpoints that have reported loads that make no sense.
    invalid_loads: Mutex<Set<Name>>,
    /// The parts of endpoints' limits as last logged.
    logged_rates: Mutex<Map<Name, SendRate>>,
    /// The weights of endpoints as homes as last logged.
    logged_homes: Mutex<Map<Name, f64>>,
    /// What was last logged of the brittle endpoints.
    logged_brittle: Mutex<BrittleCounts>,
    /// When leaving endpoints will be gone.
    departures: Mutex<Map<Name, Millis>>,
    departure_count: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Rates {
    fresh_tokens: MovingAverage,
    refused: MovingAverage,
}

impl State {
    /// Creates the state of an instance without settings or endpoints.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub fn new(cfg: GatewayCfg) -> eyre::Result<Self> {
        let clock = Clock::start();
        let connections = ConnectionPoolCfg {
            source: cfg.connect_from,
            connect_timeout: CONNECT_TIMEOUT,
            unacknowledged_timeout: UNACKNOWLEDGED_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            keep_alive_margin: IDLE_MARGIN,
        };
        let wall = Millis::wall();
        let metrics = Metrics::new()?;
        Ok(Self {
            buffers: BufferBudget::new(cfg.buffer_bytes),
            crashes: Crashes::new(clock, &metrics),
            stream_ends: StreamEnds::new(cfg.endpoint_heartbeat),
            streams: Arc::new(Streams::new(&cfg, clock, &metrics)),
            egress: Arc::new(Egress::new(
                &cfg,
                ConnectionPool::new(connections, clock),
                clock,
                metrics.clone(),
            )),
            tunnels: Tunnels::new(&metrics),
            rollouts: Rollouts::new(cfg.rollouts.is_some(), metrics.clone()),
            metrics,
            callers: Arc::default(),
            termination: Termination::default(),
            table: watch::Sender::new(None),
            pools: RwLock::default(),
            shares: Mutex::new(LimitShares::new(cfg.limits)),
            has_totals: watch::Sender::new(false),
            first_settings_at: OnceLock::new(),
            budgets: Mutex::new(RetryBudgets::new(cfg.retries)),
            usage: Mutex::default(),
            time_offset: AtomicU64::new((wall - clock.now()).0),
            planned_stop: PlannedStop::new(clock),
            incarnation: Incarnation(wall.0),
            clock,
            cfg,
        })
    }

    /// Returns the settings in force; none before the first arrived.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Returns the largest body that a caller may send. Events of streams have the same bound.
    pub fn max_body_bytes(&self) -> usize {
        self.table().map_or(MAX_BODY, |table| max_body_bytes(&table))
    }

    /// Waits for the first settings, at most for `timeout`, and returns the settings in force.
    pub async fn first_table(&self, timeout: Millis) -> Option<Arc<RouteTable>> {
        let mut tables = self.table.subscribe();
        let first = tables.wait_for(|table| table.is_some());
        let first = tokio::time::timeout(timeout.into(), first).await;
        first.ok()?.ok()?.clone()
    }

    /// Waits for the totals of all entry instances if a call needs them, at most for `timeout` and
    /// until `after_settings` after the first settings: without a leader nobody sends totals.
    pub async fn first_totals(
        &self,
        account: &Name,
        amount: f64,
        timeout: Millis,
        after_settings: Millis,
    ) {
        if *self.has_totals.borrow() || !self.shares.lock().needs_totals(account, amount) {
            return;
        }
        let first_settings_at = self.first_settings_at.get().copied().unwrap_or_default();
        let time_left = (first_settings_at + after_settings) - self.clock.now();
        let mut totals = self.has_totals.subscribe();
        let totals = totals.wait_for(|totals| *totals);
        let _ = tokio::time::timeout(time_left.min(timeout).into(), totals).await;
    }

    /// Returns the endpoints of a service; none if neither settings nor endpoints have named it.
    pub fn pool(&self, service: &Name) -> Option<Arc<PoolState>> {
        self.pools.read().get(service).cloned()
    }

    /// Returns whether the balancer should send callers to this instance.
    pub fn is_ready(&self) -> bool {
        let has_endpoints =
            || self.pools.read().values().any(|pool| pool.pool.lock().ready_count() > 0);
        !self.planned_stop.has_begun() && self.table.borrow().is_some() && has_endpoints()
    }

    /// Returns how many connections of callers are open, from before and after the stop request.
    pub fn open_calls(&self) -> OpenCalls {
        OpenCalls {
            older: self.callers.accepted_before_drain(),
            later: self.callers.accepted_during_drain(),
        }
    }

    /// Returns the true time of day, as the control instances last reported it.
    pub fn true_time(&self) -> Millis {
        self.clock.now() + Millis(self.time_offset.load(Ordering::Relaxed))
    }

    /// Applies a poll reply of the control instance at `from`.
    pub fn apply_reply(&self, from: SocketAddr, reply: &LinkReply) {
        let now = self.clock.now();
        self.time_offset.store((reply.true_time - now).0, Ordering::Relaxed);
        // Before the endpoints: those of a new version must not get requests meanwhile.
        self.rollouts.apply(from, reply.versions.as_deref().unwrap_or_default());
        if reply.has_leader {
            self.rollouts.record_leader(now);
        }
        self.streams.record_versions(reply);
        for fact in &reply.endpoints {
            // A control instance without a leader may be partitioned, and miss heartbeats that
            // others receive.
            if fact.state != EndpointState::Silent || reply.has_leader {
                self.apply_fact(now, from, fact);
            }
        }
        let pools: Vec<Arc<PoolState>> = self.pools.read().values().cloned().collect();
        for pool in pools {
            let mut pool = pool.pool.lock();
            reply.loads.iter().for_each(|load| pool.record_remote_load(now, load));
        }
        if !reply.loads.is_empty() {
            self.pools.read().values().for_each(|pool| pool.waiting.wake());
        }
        self.crashes.apply(from, &reply.crashes);
        if let Some(relays) = &reply.relays {
            self.egress.set_offers(from, relays.clone());
        }
        if let Some(entries) = &reply.entries {
            self.streams.set_peers(from, entries.clone());
            let names = self.streams.entry_names();
            for pool in self.pools.read().values() {
                pool.pool.lock().set_entries(&self.cfg.name, &names);
            }
        }
        if reply.has_leader
            && let (Some(table), Some(unchanged)) = (self.table(), reply.routes)
        {
            self.streams.record_unchanged_routes(table.revision, unchanged);
        }
        if let Some(totals) = &reply.totals {
            self.apply_totals(now, from, totals);
        }
    }

    /// Returns whether a request may be sent to test whether blocked parts still crash endpoints.
    pub fn may_test(&self, block: &PartBlock) -> bool {
        self.crashes.may_test(block, &self.cfg.name, &self.streams.entry_names())
    }

    fn apply_totals(&self, now: Millis, from: SocketAddr, totals: &Totals) {
        let (entries, age) = {
            let mut shares = self.shares.lock();
            let before = shares.entries_and_totals_age(now);
            shares.set_totals(now, totals);
            before
        };
        self.budgets.lock().set_entries(totals.entries);
        for QueueTotal { service, load } in &totals.queues {
            if let Some(pool) = self.pool(service) {
                pool.waiting.apply_total(load);
            }
        }
        self.has_totals.send_if_modified(|has_totals| !std::mem::replace(has_totals, true));
        if entries == totals.entries && age.is_some_and(|age| age < MAX_TOTALS_AGE) {
            return;
        }
        event!(
            Info,
            "totals_heard",
            from = from,
            entries = totals.entries,
            before = entries,
            age_ms = totals.age,
            before_age_ms = age.map(|age| age.to_string()).unwrap_or_default()
        );
    }

    /// Logs and counts admissions under limits since the last call.
    fn log_limits(&self, now: Millis) {
        let (estimates, admitted, (entries, age)) = {
            let mut shares = self.shares.lock();
            (shares.take_estimates(now), shares.take_admitted(), shares.entries_and_totals_age(now))
        };
        let AdmittedByReason { far_below, share, stale } = admitted;
        for (by, amount) in [("far_below", far_below), ("share", share), ("stale", stale)] {
            self.metrics.admitted_units.with_label_values(&[by]).inc_by(amount);
        }
        for (account, estimate) in estimates {
            let LimitEstimate {
                admitted_everywhere,
                window_limit,
                admitted_here,
                admitted_by_reason,
                share,
                balance,
            } = estimate;
            event!(
                Info,
                "limit_near",
                account = account,
                admitted = admitted_everywhere as u64,
                owed = window_limit as u64,
                here = admitted_here as u64,
                far_below = admitted_by_reason.far_below as u64,
                by_share = admitted_by_reason.share as u64,
                stale = admitted_by_reason.stale as u64,
                share = share.map(|share| format!("{share:.3}")).unwrap_or_default(),
                balance = balance as i64,
                entries = entries,
                age_ms = age.map(|age| age.to_string()).unwrap_or_default()
            );
        }
    }

    /// Puts newer settings in force.
    pub fn apply_settings(&self, table: Arc<RouteTable>) {
        let before = self.table();
        let current = before.as_ref().map_or(0, |table| table.revision);
        assert_promise!(
            Promise::AcceptedChangeStays,
            table.revision > current,
            "revision {} over {current}",
            table.revision
        );
        let now = self.clock.now();
        let _ = self.first_settings_at.set(now);
        self.shares.lock().set_limits(now, &table);
        for (name, pool) in &table.pools {
            let engine = pool.engine.as_ref();
            self.open_pool(name, engine);
        }
        self.metrics.revision.set(table.revision as i64);
        self.streams.record_settings(before.as_deref(), &table);
        self.table.send_replace(Some(table));
    }

    fn open_pool(&self, service: &Name, engine: Option<&Engine>) -> Arc<PoolState> {
        let is_engine = engine.is_some();
        let mut pools = self.pools.write();
        let existing = pools.get(service);
        // Endpoints may be known before the settings, which say whether the endpoints are engines.
        if let Some(existing) = existing.filter(|existing| existing.is_engine || !is_engine) {
            return existing.clone();
        }
        let cfg = PoolCfg {
            service: service.clone(),
            domain: self.cfg.domain.clone(),
            is_engine,
            cache_tokens: engine.map_or(0, |engine| engine.cache_tokens),
            seed: self.incarnation.0,
        };
        let mut pool = Pool::new(cfg);
        pool.set_entries(&self.cfg.name, &self.streams.entry_names());
        if let Some(existing) = existing {
            let now = self.clock.now();
            for fact in existing.pool.lock().facts() {
                pool.update_endpoint(now, fact);
            }
        }
        let state = Arc::new(PoolState {
            service: service.clone(),
            pool: Mutex::new(pool),
            is_engine,
            can_move: engine.is_some_and(|engine| engine.moves),
            gate: self.rollouts.gate_of(service),
            waiting: WaitingCalls::new(service.clone(), self.clock, self.metrics.clone()),
            rates: Mutex::default(),
            logged_speed: Mutex::default(),
            invalid_limits: Mutex::default(),
            invalid_pauses: Mutex::default(),
            invalid_loads: Mutex::default(),
            logged_rates: Mutex::default(),
            logged_homes: Mutex::default(),
            logged_brittle: Mutex::default(),
            departures: Mutex::default(),
            departure_count: watch::Sender::new(0),
        });
        pools.insert(service.clone(), state.clone());
        state
    }

    fn apply_fact(&self, now: Millis, from: SocketAddr, fact: &EndpointFact) {
        let pool = self.pool(&fact.service);
        let pool = pool.unwrap_or_else(|| self.open_pool(&fact.service, None));
        let (was_ready, is_return, ended, update) = {
            let mut pool = pool.pool.lock();
            let was_ready = pool.is_ready(&fact.endpoint);
            let is_return = pool.is_return(fact);
            (
                was_ready,
                is_return,
                ended_without_notice(&pool, now, fact),
                pool.update_endpoint(now, fact),
            )
        };
        match update {
            FactUpdate::Stale => return,
            FactUpdate::Newer => {}
            FactUpdate::Restart(old_address) => {
                self.egress.forget(old_address);
                pool.departures.lock().remove(&fact.endpoint);
            }
        }
        // A later incarnation may belong to another service. In the pool of the former one, the
        // earlier incarnation would stay ready.
        let others = self.pools.read();
        for other in others.values().filter(|other| other.service != fact.service) {
            other.pool.lock().end_earlier(now, &fact.endpoint, fact.incarnation);
        }
        drop(others);
        self.streams.review();
        for (endpoint, incarnation, sign) in ended {
            self.crashes.confirm(&endpoint, incarnation, sign);
        }
        if is_return {
            self.crashes.record_return(&fact.endpoint, fact.incarnation);
        }
        if fact.state >= EndpointState::Silent {
            self.egress.forget(fact.address);
        }
        if matches!(fact.state, EndpointState::Leaving | EndpointState::Gone) {
            let time_left = fact.leaves_in.unwrap_or(self.cfg.endpoint_notice);
            pool.record_departure(now, &fact.endpoint, now - fact.age + time_left);
            if was_ready {
                self.metrics.departure_age.observe(fact.age.0 as f64 / 1000.0);
            }
        }
        event!(
            Info,
            "endpoint",
            endpoint = fact.endpoint,
            service = fact.service,
            domain = fact.domain,
            address = fact.address,
            born = fact.incarnation.0,
            software = fact.software,
            state = format!("{:?}", fact.state),
            sequence = fact.sequence,
            from = from,
            age_ms = fact.age
        );
        pool.waiting.wake();
    }

    /// Admits a call under its account's limit.
    ///
    /// # Errors
    ///
    /// Fails with the retry time if the account is over its limit.
    pub fn admit(&self, account: &Name, amount: f64) -> Result<(), OverLimit> {
        self.shares.lock().admit(self.clock.now(), account, amount)
    }

    /// Returns the units of a call that did not run to its account.
    pub fn refund(&self, account: &Name, amount: f64) {
        self.shares.lock().refund(self.clock.now(), account, amount);
    }

    /// Counts a request that starts to run now towards its account's usage.
    pub fn count_usage(&self, account: &Name) {
        let window = window_of(self.true_time(), self.cfg.usage_window);
        self.usage.lock().count(window, account);
    }

    /// Counts a request for a service, which adds a fraction of a retry to the service's budget.
    pub fn count_request(&self, service: &Name) {
        self.budgets.lock().count_request(self.clock.now(), service);
    }

    /// Takes a retry from the service's budget; returns false if it is used up.
    pub fn may_retry(&self, service: &Name) -> bool {
        self.budgets.lock().may_retry(self.clock.now(), service)
    }

    /// Builds the next report of usage, demand and load for the control instances.
    pub fn report(&self, sequence: u64) -> EntryReport {
        let now = self.clock.now();
        self.log_limits(now);
        let window = window_of(self.true_time(), self.cfg.usage_window);
        let pools = self.pools.read();
        pools.values().for_each(|pool| pool.record_weights(now, &self.metrics));
        let services = pools.values().map(|pool| pool.report(now)).collect();
        let mut loads = Vec::new();
        for pool in pools.values() {
            loads.extend(pool.pool.lock().recent_loads(now, LOAD_REPORT_AGE));
        }
        drop(pools);
        let (accounts, entries) = {
            let mut shares = self.shares.lock();
            (shares.report(now), shares.recent_entries(now))
        };
        EntryReport {
            entry: self.cfg.name.clone(),
            incarnation: self.incarnation,
            domain: self.cfg.domain.clone(),
            sequence,
            wall: Millis::wall(),
            uptime: Some(now),
            entries,
            age: Millis::ZERO,
            usage: self.usage.lock().report(window),
            accounts,
            services,
            loads,
            relay: self.tunnels.offer(self),
            peer: self.tunnels.address().filter(|_| !self.planned_stop.has_begun()),
        }
    }

    /// Refuses all calls that wait for capacity, as the instance stops.
    pub fn close_wait_queues(&self) {
        self.pools.read().values().for_each(|pool| pool.waiting.close());
    }

    /// Records that an endpoint has rejected a request of this entry instance, or one that it carried,
    /// and asked for a pause. `id` is the request's, and `via` the tunnel that carried it.
    pub fn record_pause(
        &self,
        endpoint: &Name,
        incarnation: Incarnation,
        span: Millis,
        (id, via): (&Name, &str),
    ) {
        let now = self.clock.now();
        let pools: Vec<Arc<PoolState>> = self.pools.read().values().cloned().collect();
        for pool in pools {
            if !pool.pool.lock().record_pause(now, endpoint, incarnation, span) {
                continue;
            }
            self.metrics.pauses.with_label_values(&[pool.service.as_str()]).inc();
            event!(
                Info,
                "endpoint_paused",
                service = pool.service,
                endpoint = endpoint,
                id = id,
                via = via,
                for_ms = span
            );
        }
    }

    /// Returns whether an endpoint has asked for a pause that is not over.
    pub fn is_paused(&self, endpoint: &Name, incarnation: Incarnation) -> bool {
        let now = self.clock.now();
        let pools = self.pools.read();
        pools.values().any(|pool| pool.pool.lock().is_paused(now, endpoint, incarnation))
    }

    /// Returns the addresses of all endpoints that are alive.
    pub fn alive_addresses(&self) -> Set<SocketAddr> {
        let mut alive = Set::default();
        for pool in self.pools.read().values() {
            let pool = pool.pool.lock();
            let facts = pool.facts().filter(|fact| fact.state < EndpointState::Silent);
            alive.extend(facts.map(|fact| fact.address));
        }
        alive
    }

    /// Returns the address of an incarnation of an endpoint that is alive.
    pub fn address_of(&self, endpoint: &Name, incarnation: Incarnation) -> Option<SocketAddr> {
        self.pools.read().values().find_map(|pool| {
            let pool = pool.pool.lock();
            let fact = pool.facts().find(|fact| fact.endpoint == *endpoint)?;
            let is_alive = fact.state < EndpointState::Silent && fact.incarnation == incarnation;
            is_alive.then_some(fact.address)
        })
    }

    /// Builds a request to which an endpoint replies without running it; none if it wants no requests.
    pub fn ping_of(
        &self,
        endpoint: &Name,
        incarnation: Incarnation,
        time_left: Millis,
    ) -> Option<Request<Full<Bytes>>> {
        let now = self.clock.now();
        let pools = self.pools.read();
        let pool = pools.values().find(|pool| {
            let pool = pool.pool.lock();
            pool.incarnation(endpoint) == Some(incarnation)
                && pool.may_ping(now, endpoint, incarnation)
        })?;
        let table = self.table.borrow();
        let settings = table.as_ref().and_then(|table| table.pools.get(&pool.service));
        let path = settings.and_then(|pool| pool.health_path.as_deref()).unwrap_or("/");
        self.cfg.dialect.ping(path, time_left)
    }
}

/// Returns the ready endpoints that a fact shows to have ended: the endpoint itself if it is silent
/// or has restarted, and those whose address it has now.
fn ended_without_notice(
    pool: &Pool,
    now: Millis,
    fact: &EndpointFact,
) -> Vec<(Name, Incarnation, CrashSign)> {
    if fact.state == EndpointState::Silent {
        return vec![(fact.endpoint.clone(), fact.incarnation, CrashSign::Silence)];
    }
    let replaced = pool.replaced_by(now, fact).into_iter();
    let replaced = replaced.map(|(name, born)| (name, born, CrashSign::Replacement));
    let before = pool.incarnation(&fact.endpoint).filter(|known| *known < fact.incarnation);
    let restarted = before.filter(|_| pool.is_ready(&fact.endpoint));
    let restarted = restarted.map(|born| (fact.endpoint.clone(), born, CrashSign::Restart));
    replaced.chain(restarted).collect()
}

impl PoolState {
    /// Records when a leaving endpoint will be gone.
    fn record_departure(&self, now: Millis, endpoint: &Name, at: Millis) {
        let mut departures = self.departures.lock();
        departures.retain(|_, at| now - *at < DEPARTURE_TTL);
        departures.entry(endpoint.clone()).or_insert(at);
        drop(departures);
        self.departure_count.send_modify(|count| *count += 1);
    }

    /// Waits until an endpoint announces its departure, and returns when it will be gone.
    pub async fn wait_for_departure(&self, endpoint: &Name) -> Millis {
        let mut departure_count = self.departure_count.subscribe();
        loop {
            if let Some(at) = self.departures.lock().get(endpoint) {
                return *at;
            }
            if departure_count.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Returns whether calls wait for capacity in a queue, rather than being refused. Services whose
    /// endpoints don't report the pace of their machines are served without a queue, as before it.
    pub fn has_wait_queue(&self, now: Millis) -> bool {
        self.pool.lock().reports_pace(now)
    }

    /// Counts prompt tokens that an endpoint has to compute because they are not in its prefix
    /// cache.
    pub fn count_fresh_tokens(&self, now: Millis, tokens: u64) {
        self.rates.lock().fresh_tokens.add(now, RATE_SPAN, tokens as f64);
    }

    /// Counts a request that was refused because no endpoint had capacity.
    pub fn count_refusal(&self, now: Millis) {
        self.rates.lock().refused.add(now, RATE_SPAN, 1.0);
    }

    /// Logs the learned engine speed once it changed by more than [`SPEED_LOG_CHANGE`].
    fn log_speed(&self, speed: EngineSpeed) {
        let mut logged = self.logged_speed.lock();
        let (before, now) = (*logged, speed.prefill_tokens_per_s);
        if (now - before).abs() <= before * SPEED_LOG_CHANGE {
            return;
        }
        *logged = now;
        event!(
            Info,
            "engine_speed",
            service = self.service,
            prefill_tokens_per_s = now as u64,
            lines = speed.fits,
            before = before as u64
        );
    }

    /// Logs that an endpoint named a limit that makes no sense, once for each endpoint.
    pub fn log_invalid_limit(&self, endpoint: &Name, named: &str) {
        let mut invalid = self.invalid_limits.lock();
        if invalid.len() < MAX_INVALID_REPORTS && invalid.insert(endpoint.clone()) {
            event!(
                Warn,
                "endpoint_limit_invalid",
                service = self.service,
                endpoint = endpoint,
                named = named
            );
        }
    }

    /// Logs that an endpoint asked for a pause that makes no sense, once for each endpoint.
    pub fn log_invalid_pause(&self, endpoint: &Name, named: &str) {
        let mut invalid = self.invalid_pauses.lock();
        if invalid.len() < MAX_INVALID_REPORTS && invalid.insert(endpoint.clone()) {
            event!(
                Warn,
                "endpoint_pause_invalid",
                service = self.service,
                endpoint = endpoint,
                named = named
            );
        }
    }

    /// Logs that an endpoint reported a load that makes no sense, once for each endpoint.
    pub fn log_invalid_load(&self, endpoint: &Name, reported: &str) {
        let mut invalid = self.invalid_loads.lock();
        if invalid.len() < MAX_INVALID_REPORTS && invalid.insert(endpoint.clone()) {
            event!(
                Warn,
                "endpoint_load_invalid",
                service = self.service,
                endpoint = endpoint,
                reported = reported
            );
        }
    }

    /// Logs this instance's parts of the limits that endpoints name, once they have changed.
    fn log_rates(&self, rates: Map<Name, SendRate>) {
        let before = std::mem::replace(&mut *self.logged_rates.lock(), rates.clone());
        for (endpoint, rate) in rates.iter().filter(|(e, rate)| before.get(*e) != Some(*rate)) {
            event!(
                Info,
                "endpoint_limited",
                service = self.service,
                endpoint = endpoint,
                per_s = format!("{:.3}", rate.per_s),
                burst = format!("{:.1}", rate.burst)
            );
        }
        for endpoint in before.keys().filter(|endpoint| !rates.contains_key(*endpoint)) {
            event!(Info, "endpoint_unlimited", service = self.service, endpoint = endpoint);
        }
    }

    /// Sets the metrics of the endpoints that report their pace, and logs those whose weight as homes
    /// has changed.
    fn record_weights(&self, now: Millis, metrics: &Metrics) {
        let weights: Vec<(Name, EndpointWeights)> = {
            let pool = self.pool.lock();
            pool.weights(now).map(|(endpoint, weights)| (endpoint.clone(), weights)).collect()
        };
        let mut logged = self.logged_homes.lock();
        if weights.is_empty() && logged.is_empty() {
            return;
        }
        let service = self.service.as_str();
        metrics.paced_endpoints.with_label_values(&[service]).set(weights.len() as i64);
        let time_factor = |(_, w): &(Name, EndpointWeights)| w.pace_factor / w.speed;
        let mut factors: Vec<f64> = weights.iter().map(time_factor).collect();
        factors.sort_unstable_by(f64::total_cmp);
        let median = factors.get(factors.len() / 2);
        for (of, factor) in
            [("lowest", factors.first()), ("median", median), ("highest", factors.last())]
        {
            let factor = factor.copied().unwrap_or(1.0);
            metrics.time_factor.with_label_values(&[service, of]).set(factor);
        }
        let homes = weights.iter().map(|(name, weights)| (name.clone(), weights.home_weight));
        let before = std::mem::replace(&mut *logged, homes.collect());
        for (endpoint, weights) in &weights {
            let before = before.get(endpoint).copied().unwrap_or(1.0);
            if before != weights.home_weight {
                event!(
                    Info,
                    "endpoint_weight",
                    service = self.service,
                    endpoint = endpoint,
                    home_weight = format!("{:.2}", weights.home_weight),
                    before = format!("{before:.2}"),
                    speed = format!("{:.2}", weights.speed),
                    answers = weights.samples,
                    pace = format!("{:.2}", weights.pace_factor)
                );
            }
        }
    }

    /// Logs how many endpoints are brittle, and how many of these this instance may use, once that
    /// has changed.
    fn log_brittle(&self, counts: BrittleCounts) {
        let before = std::mem::replace(&mut *self.logged_brittle.lock(), counts);
        if before == counts {
            return;
        }
        let BrittleCounts { brittle, assigned, entries } = counts;
        event!(
            Info,
            "endpoints_brittle",
            service = self.service,
            brittle = brittle,
            assigned = assigned,
            before = before.brittle,
            entries = entries
        );
    }

    fn report(&self, now: Millis) -> ServiceReport {
        let mut rates = self.rates.lock();
        let pool = self.pool.lock();
        let (running, speed) = (pool.running(), pool.learned_speed());
        let brittle = pool.brittle_counts();
        let send_rates = pool.send_rates().map(|(name, rate)| (name.clone(), rate)).collect();
        drop(pool);
        self.log_brittle(brittle);
        self.log_rates(send_rates);
        if let Some(speed) = speed {
            self.log_speed(speed);
        }
        ServiceReport {
            service: self.service.clone(),
            running,
            speed,
            fresh_tokens_per_s: rates.fresh_tokens.per_second(now, RATE_SPAN),
            refused_per_s: rates.refused.per_second(now, RATE_SPAN),
            rollout: self.rollout_report(),
            queue: self.has_wait_queue(now).then(|| self.waiting.load()),
        }
    }
}
