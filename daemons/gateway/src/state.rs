//! What the parts of an entry instance share, each under its own lock.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use parking_lot::{Mutex, RwLock};
use sill_base::{Clock, Map, Millis, Name, Promise, event, keep};
use sill_dispatch::usage::window_of;
use sill_dispatch::{
    AdmittedByReason, FactUpdate, LimitEstimate, LimitShares, MAX_TOTALS_AGE, MovingAverage,
    OpenCalls, OverLimit, Pool, PoolCfg, RetryBudgets, RouteTable, UsageCounter,
};
use sill_net::h1::{Connections, ConnectionsCfg, OpenConnections};
use sill_tree::Engine;
use sill_wire::Incarnation;
use sill_wire::link::{
    EndpointFact, EndpointState, EngineSpeed, EntryReport, LinkReply, ServiceReport, Totals,
};

use tokio::sync::watch;

use crate::cfg::GatewayCfg;
use crate::metrics::Metrics;
use crate::planned_stop::PlannedStop;
use crate::termination::Termination;

/// Time that a new connection to an endpoint may take. Between failure domains it takes 3 ms; a
/// first packet that was lost is sent again after a second, which is too late for most calls.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// Time after which a connection is given up that no longer acknowledges.
const UNACKNOWLEDGED_TIMEOUT: Millis = Millis(3000);

/// Time for which an unused connection is kept to an endpoint that names none.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(10_000);

/// Part of the time that an endpoint names which is not used.
const IDLE_MARGIN: Millis = Millis(1000);

/// Time for which the departure of an endpoint is remembered.
const DEPARTURE_TTL: Millis = Millis(60_000);

/// Part by which the learned speed of engines moves before it is logged again.
const SPEED_LOG_CHANGE: f64 = 0.1;

/// How long the load that an endpoint told is reported. Reports go out four times a second; what one of them
/// lost on its way is in the next.
const LOAD_REPORT_AGE: Millis = Millis(600);

/// Span over which rates for the leader are averaged.
const RATE_SPAN: Millis = Millis(2000);

/// An entry instance's own state.
#[derive(Debug)]
pub struct State {
    /// Its settings.
    pub cfg: GatewayCfg,
    /// Its clock.
    pub clock: Clock,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its metrics.
    pub metrics: Metrics,
    /// Connections to endpoints.
    pub connections: Connections,
    /// Open connections of callers.
    pub callers: Arc<OpenConnections>,
    /// How calls end that a stop doesn't wait for.
    pub termination: Termination,
    /// Its planned stop.
    pub planned_stop: PlannedStop,
    table: watch::Sender<Option<Arc<RouteTable>>>,
    pools: RwLock<Map<Name, Arc<PoolState>>>,
    shares: Mutex<LimitShares>,
    has_totals: watch::Sender<bool>,
    /// When the first settings came.
    first_settings_at: OnceLock<Millis>,
    budgets: Mutex<RetryBudgets>,
    usage: Mutex<UsageCounter>,
    /// True time of day less the steady clock, in milliseconds.
    time_offset: AtomicU64,
}

/// The endpoints of a service, and what is counted of its calls.
#[derive(Debug)]
pub struct PoolState {
    /// The service.
    pub service: Name,
    /// The endpoints.
    pub pool: Mutex<Pool>,
    /// Whether they are model engines.
    pub is_engine: bool,
    /// Whether runs can be moved between them.
    pub can_move: bool,
    rates: Mutex<Rates>,
    /// Prompt tokens that an engine reads in a second, as they were last logged.
    logged_speed: Mutex<f64>,
    /// When endpoints that leave are gone.
    departures: Mutex<Map<Name, Millis>>,
    departure_count: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Rates {
    fresh_tokens: MovingAverage,
    refused: MovingAverage,
}

impl State {
    /// Makes the state of an instance that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub fn new(cfg: GatewayCfg) -> eyre::Result<Self> {
        let clock = Clock::start();
        let connections = ConnectionsCfg {
            connect: CONNECT_TIMEOUT,
            silent: UNACKNOWLEDGED_TIMEOUT,
            idle: DEFAULT_IDLE_TIMEOUT,
            margin: IDLE_MARGIN,
        };
        let wall = Millis::wall();
        Ok(Self {
            metrics: Metrics::new()?,
            connections: Connections::new(connections, clock),
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

    /// Returns the settings in force, if any are known.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Returns the settings in force, once any are known.
    pub async fn first_table(&self, timeout: Millis) -> Option<Arc<RouteTable>> {
        let mut tables = self.table.subscribe();
        let first = tables.wait_for(|table| table.is_some());
        let first = tokio::time::timeout(timeout.into(), first).await;
        first.ok()?.ok()?.clone()
    }

    /// Waits until it is known what all entry instances admit, if a call needs that, and no longer than a time
    /// after the first settings: while there is no leader nobody tells it.
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

    /// Returns the endpoints of a service.
    pub fn pool(&self, service: &Name) -> Option<Arc<PoolState>> {
        self.pools.read().get(service).cloned()
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let has_endpoints =
            || self.pools.read().values().any(|pool| pool.pool.lock().ready_count() > 0);
        !self.planned_stop.has_begun() && self.table.borrow().is_some() && has_endpoints()
    }

    /// Returns the open connections of callers.
    pub fn open_calls(&self) -> OpenCalls {
        OpenCalls { older: self.callers.older(), later: self.callers.later() }
    }

    /// Returns true time of day.
    pub fn true_time(&self) -> Millis {
        self.clock.now() + Millis(self.time_offset.load(Ordering::Relaxed))
    }

    /// Takes in what the control instance at an address tells.
    pub fn apply_reply(&self, from: SocketAddr, reply: &LinkReply) {
        let now = self.clock.now();
        self.time_offset.store((reply.true_time - now).0, Ordering::Relaxed);
        for fact in &reply.endpoints {
            // Without a leader it may be cut off, and hears less than others.
            if fact.state != EndpointState::Silent || reply.is_led {
                self.apply_fact(now, from, fact);
            }
        }
        let pools: Vec<Arc<PoolState>> = self.pools.read().values().cloned().collect();
        for pool in pools {
            let mut pool = pool.pool.lock();
            reply.loads.iter().for_each(|load| pool.record_remote_load(now, load));
        }
        if let Some(totals) = &reply.totals {
            self.apply_totals(now, from, totals);
        }
    }

    fn apply_totals(&self, now: Millis, from: SocketAddr, totals: &Totals) {
        let (entries, age) = {
            let mut shares = self.shares.lock();
            let before = shares.entries_and_totals_age(now);
            shares.set_totals(now, totals);
            before
        };
        self.budgets.lock().set_entries(totals.entries);
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

    /// Logs and counts how limits were applied since the last time.
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
        let current = self.table().map_or(0, |table| table.revision);
        keep!(
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
        self.table.send_replace(Some(table));
    }

    fn open_pool(&self, service: &Name, engine: Option<&Engine>) -> Arc<PoolState> {
        let is_engine = engine.is_some();
        let mut pools = self.pools.write();
        let existing = pools.get(service);
        // What endpoints say comes before settings do, and doesn't tell whether they are engines.
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
            rates: Mutex::default(),
            logged_speed: Mutex::default(),
            departures: Mutex::default(),
            departure_count: watch::Sender::new(0),
        });
        pools.insert(service.clone(), state.clone());
        state
    }

    fn apply_fact(&self, now: Millis, from: SocketAddr, fact: &EndpointFact) {
        let pool = self.pool(&fact.service);
        let pool = pool.unwrap_or_else(|| self.open_pool(&fact.service, None));
        let (was_ready, update) = {
            let mut pool = pool.pool.lock();
            (pool.is_ready(&fact.endpoint), pool.update_endpoint(now, fact))
        };
        match update {
            FactUpdate::Stale => return,
            FactUpdate::Newer => {}
            FactUpdate::Restart(old_address) => {
                self.connections.forget(old_address);
                pool.departures.lock().remove(&fact.endpoint);
            }
        }
        if fact.state >= EndpointState::Silent {
            self.connections.forget(fact.address);
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
            born = fact.born.0,
            state = format!("{:?}", fact.state),
            sequence = fact.sequence,
            from = from,
            age_ms = fact.age
        );
    }

    /// Admits a call of an account, or tells when to come back.
    ///
    /// # Errors
    ///
    /// Fails with the time to wait where the account is over its limit.
    pub fn admit(&self, account: &Name, amount: f64) -> Result<(), OverLimit> {
        self.shares.lock().admit(self.clock.now(), account, amount)
    }

    /// Gives back what a call took that did not run.
    pub fn refund(&self, account: &Name, amount: f64) {
        self.shares.lock().refund(self.clock.now(), account, amount);
    }

    /// Counts a request that begins to run now.
    pub fn count_usage(&self, account: &Name) {
        let window = window_of(self.true_time(), self.cfg.usage_window);
        self.usage.lock().count(window, account);
    }

    /// Counts a request for a service, which earns a part of a retry.
    pub fn count_request(&self, service: &Name) {
        self.budgets.lock().count_request(self.clock.now(), service);
    }

    /// Returns whether a retry may be sent to a service, and counts it if so.
    pub fn may_retry(&self, service: &Name) -> bool {
        self.budgets.lock().may_retry(self.clock.now(), service)
    }

    /// Reports usage, demand and work for the control instances.
    pub fn report(&self, sequence: u64) -> EntryReport {
        let now = self.clock.now();
        self.log_limits(now);
        let window = window_of(self.true_time(), self.cfg.usage_window);
        let pools = self.pools.read();
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
            up: Some(now),
            entries,
            age: Millis::ZERO,
            usage: self.usage.lock().report(window),
            accounts,
            services,
            loads,
        }
    }
}

impl PoolState {
    /// Takes in when an endpoint that leaves is gone.
    fn record_departure(&self, now: Millis, endpoint: &Name, at: Millis) {
        let mut departures = self.departures.lock();
        departures.retain(|_, at| now - *at < DEPARTURE_TTL);
        departures.entry(endpoint.clone()).or_insert(at);
        drop(departures);
        self.departure_count.send_modify(|count| *count += 1);
    }

    /// Waits until an endpoint has said that it leaves, and returns when it is gone.
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

    /// Counts prompt tokens that an endpoint has to compute.
    pub fn count_fresh_tokens(&self, now: Millis, tokens: u64) {
        self.rates.lock().fresh_tokens.add(now, RATE_SPAN, tokens as f64);
    }

    /// Counts a request that was refused for want of room.
    pub fn count_refusal(&self, now: Millis) {
        self.rates.lock().refused.add(now, RATE_SPAN, 1.0);
    }

    /// Logs what was learned of the engines, once it has moved by [`SPEED_LOG_CHANGE`].
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
            lines = speed.lines,
            before = before as u64
        );
    }

    fn report(&self, now: Millis) -> ServiceReport {
        let mut rates = self.rates.lock();
        let pool = self.pool.lock();
        let (running, speed) = (pool.running(), pool.learned_speed());
        drop(pool);
        if let Some(speed) = speed {
            self.log_speed(speed);
        }
        ServiceReport {
            service: self.service.clone(),
            running,
            speed,
            fresh_tokens_per_s: rates.fresh_tokens.per_second(now, RATE_SPAN),
            refused_per_s: rates.refused.per_second(now, RATE_SPAN),
        }
    }
}
