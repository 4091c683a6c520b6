//! Calls that wait until an endpoint has capacity for them.
//!
//! [`sill_queue`] decides; here are the tasks, the locks, the log lines and the metrics. The lock of
//! the queue is never held together with that of the pool. See `docs/design/wait-queue.md`.

use std::sync::Arc;

use parking_lot::Mutex;
use sill_base::{Clock, Map, Millis, Name, RecentTimes, event};
use sill_queue::{
    Ask, CallId, Elsewhere, Enqueued, QueueBounds, QueueRefusal, QueueRefusalReason, Removed,
    WaitQueue,
};
use sill_route::{PoolView, RefusalReason};
use sill_wire::link::QueueLoad;
use tokio::sync::Notify;

use crate::dispatch::{self, Attempt, PlacementRefusal};
use crate::metrics::Metrics;
use crate::serve::{Call, RETRY_ELSEWHERE_AFTER};
use crate::state::State;

/// Interval at which the head of the queue is tried without a reason. Some bounds on endpoints, such
/// as limits that they name, change with time alone. A try compares all endpoints, which an instance
/// of a tenth of a core can't afford more often for each service.
const HEAD_RETRY_INTERVAL: Millis = Millis(50);

/// Time before its deadline by which a call is refused, so that its caller still hears of it.
const REFUSAL_MARGIN: Millis = Millis(50);

/// Retry time of a call that was blocked while it waited. Its next try is told the true time.
const RETRY_BLOCKED: Millis = Millis(1000);

/// Interval of the review of waiting calls.
const REVIEW_INTERVAL: Millis = Millis(100);

/// Interval of the log line on a queue in use.
const LOG_INTERVAL: Millis = Millis(1000);

/// Number of accounts in that line.
const LOGGED_ACCOUNTS: usize = 5;

/// Window of the times to the first part of answers. They change within seconds as load changes.
const FIRST_PART_WINDOW: Millis = Millis(5000);

/// Number of routes whose times to the first part are known. Settings have a few dozen.
const MAX_ROUTES: usize = 256;

/// How the wait of a refused call ended, for the log.
#[derive(Debug, Clone, Copy)]
pub struct WaitEnd {
    /// Why it was refused.
    pub reason: QueueRefusalReason,
    /// How long it had waited.
    pub waited: Millis,
    /// Cost of the work ahead of it.
    pub ahead: f64,
    /// Cost of the work that was started here per second; none if it is unknown.
    pub rate: Option<f64>,
}

/// The wait queue of one service.
#[derive(Debug)]
pub struct WaitingCalls {
    service: Name,
    clock: Clock,
    metrics: Metrics,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    queue: WaitQueue,
    waiters: Map<CallId, Arc<Notify>>,
    /// Calls that were removed from the queue and have not noticed yet.
    refused: Map<CallId, Removed>,
    first_parts: Map<Name, RecentTimes>,
    reviewed_at: Millis,
    logged_at: Millis,
    /// Calls that were sent after a wait since the last line.
    started: u64,
    /// Refusals by account since the last line.
    refusals: Map<Name, u64>,
}

/// A waiting call. Dropping it, as when the caller leaves, removes the call from the queue.
#[derive(Debug)]
struct Ticket<'a> {
    waiting: &'a WaitingCalls,
    id: CallId,
    account: Name,
    latest_start: Millis,
    notify: Arc<Notify>,
    is_over: bool,
}

impl WaitingCalls {
    /// Creates an empty queue.
    pub fn new(service: Name, clock: Clock, metrics: Metrics) -> Self {
        let queue = WaitQueue::new(QueueBounds::default());
        let inner = Mutex::new(Inner { queue, ..Inner::default() });
        Self { service, clock, metrics, inner }
    }

    /// Has the head of the queue try again, as there may be capacity.
    pub fn wake(&self) {
        self.inner.lock().wake_head(self.clock.now());
    }

    /// Records the time from sending a call of a route to the first part of its answer.
    pub fn record_first_part(&self, now: Millis, route: &Name, time: Millis) {
        let mut inner = self.inner.lock();
        if inner.first_parts.len() < MAX_ROUTES || inner.first_parts.contains_key(route) {
            let times = inner.first_parts.entry(route.clone()).or_default();
            times.record(now, FIRST_PART_WINDOW, time);
        }
    }

    /// Applies the loads of the queues of all entry instances together.
    pub fn apply_total(&self, total: &QueueLoad) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let own_started = inner.queue.started_per_s(now).unwrap_or_default();
        let elsewhere = Elsewhere {
            waiting: (total.waiting - inner.queue.waiting_cost()).max(0.0),
            started_per_s: (total.started_per_s - own_started).max(0.0),
        };
        inner.queue.set_elsewhere(now, elsewhere);
        for (account, per_s) in &total.accounts {
            inner.queue.set_received_everywhere(now, account, *per_s);
        }
    }

    /// Returns the load for the report to the control instances.
    pub fn load(&self) -> QueueLoad {
        let now = self.clock.now();
        let inner = self.inner.lock();
        let accounts = inner.queue.received_per_s(now);
        QueueLoad {
            waiting: inner.queue.waiting_cost(),
            started_per_s: accounts.iter().map(|(_, per_s)| per_s).sum(),
            accounts,
        }
    }

    /// Refuses all waiting calls, as the instance stops. Later calls do not wait.
    pub fn close(&self) {
        let mut inner = self.inner.lock();
        let removed = inner.queue.close(self.clock.now());
        inner.notify_refused(removed);
    }

    fn ask(&self, now: Millis, call: &Call) -> Ask {
        let inner = self.inner.lock();
        let times = inner.first_parts.get(&call.route.name);
        let expected = times.and_then(|times| times.quantile(now, FIRST_PART_WINDOW, 0.5));
        let expects_returns = inner.queue.expects_returns();
        drop(inner);
        let target = call.route.route.target_ms.map_or(call.due, |t| call.received_at + t);
        let account = call.account.as_deref();
        Ask {
            priority: call.urgency,
            account: account.map(|account| account.name.clone()).unwrap_or_default(),
            weight: account.and_then(|entry| entry.account.weight).map_or(1.0, f64::from),
            cost: cost(call),
            bytes: call.body.len(),
            latest_start: (target - expected.unwrap_or_default()).min(call.due - REFUSAL_MARGIN),
            key: expects_returns.then(|| call.request_key().as_u64()),
        }
    }

    /// Adds a call to the queue.
    fn enqueue(&self, ask: Ask) -> Result<Ticket<'_>, QueueRefusal> {
        let now = self.clock.now();
        let account = ask.account.clone();
        let latest_start = ask.latest_start.min(now + QueueBounds::default().wait);
        let mut inner = self.inner.lock();
        match inner.queue.enqueue(now, ask) {
            Enqueued::Waits(id, removed) => {
                inner.notify_refused(removed);
                let notify = Arc::new(Notify::new());
                inner.waiters.insert(id, notify.clone());
                drop(inner);
                self.metrics.waiting_calls.inc();
                Ok(Ticket { waiting: self, id, account, latest_start, notify, is_over: false })
            }
            Enqueued::Refused(refusal) => Err(refusal),
        }
    }

    /// Counts and logs the refusal of a call.
    fn record_refusal(&self, account: &Name, end: WaitEnd, retry_after: Millis) {
        let reason = reason_name(end.reason);
        self.metrics.queue_refusals.with_label_values(&[reason]).inc();
        self.metrics.retry_after.observe(retry_after.as_secs_f64());
        let mut inner = self.inner.lock();
        *inner.refusals.entry(account.clone()).or_default() += 1;
        self.log(&mut inner);
    }

    /// Logs the state of a queue in use, at most once a second.
    fn log(&self, inner: &mut Inner) {
        let now = self.clock.now();
        if now - inner.logged_at < LOG_INTERVAL {
            return;
        }
        inner.logged_at = now;
        let refused = std::mem::take(&mut inner.refusals);
        let waiting = inner.queue.waiting_by_account();
        event!(
            Info,
            "wait_queue",
            service = self.service,
            waiting = inner.queue.len(),
            waiting_by = largest(waiting.into_iter().map(|(name, count)| (name, count as u64))),
            started = std::mem::take(&mut inner.started),
            refused = refused.values().sum::<u64>(),
            refused_by = largest(refused.into_iter()),
            per_s = inner.queue.started_per_s(now).map(|p| format!("{p:.1}")).unwrap_or_default()
        );
    }
}

/// Returns the accounts with the largest counts, for the log.
fn largest(counts: impl Iterator<Item = (Name, u64)>) -> String {
    let mut counts: Vec<(Name, u64)> = counts.collect();
    counts.sort_unstable_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
    let largest = counts.iter().take(LOGGED_ACCOUNTS);
    largest.map(|(name, count)| format!("{name}:{count}")).collect::<Vec<_>>().join(",")
}

/// Returns the name of a reason in metrics and log lines.
pub const fn reason_name(reason: QueueRefusalReason) -> &'static str {
    match reason {
        QueueRefusalReason::NoTime => "no_time",
        QueueRefusalReason::Expired => "expired",
        QueueRefusalReason::QueueFull => "queue_full",
        QueueRefusalReason::Stopping => "stopping",
    }
}

/// Returns the work of a call: tokens at model engines, 1 otherwise.
fn cost(call: &Call) -> f64 {
    let tokens = call.prompt.tokens + u64::from(call.prompt.max_output_tokens);
    if call.pool.is_engine && tokens > 0 { tokens as f64 } else { 1.0 }
}

impl Inner {
    fn wake_head(&mut self, now: Millis) {
        if let Some(id) = self.queue.head(now)
            && let Some(notify) = self.waiters.get(&id)
        {
            notify.notify_one();
        }
    }

    fn notify_refused(&mut self, removed: Vec<Removed>) {
        for removed in removed {
            if let Some(notify) = self.waiters.get(&removed.id) {
                notify.notify_one();
                self.refused.insert(removed.id, removed);
            }
        }
    }

    fn review(&mut self, now: Millis) {
        if now - self.reviewed_at >= REVIEW_INTERVAL {
            self.reviewed_at = now;
            let removed = self.queue.review(now);
            self.notify_refused(removed);
        }
    }
}

impl Ticket<'_> {
    /// Waits until the call is the head of the queue and should be tried, or is refused.
    async fn turn(&mut self) -> Result<(), Removed> {
        loop {
            let now = self.waiting.clock.now();
            let is_head = self.waiting.inner.lock().queue.head(now) == Some(self.id);
            let pause = match is_head {
                true => HEAD_RETRY_INTERVAL,
                false => self.latest_start - now + Millis(1),
            };
            let _ = tokio::time::timeout(pause.into(), self.notify.notified()).await;
            let now = self.waiting.clock.now();
            let mut inner = self.waiting.inner.lock();
            if now >= self.latest_start {
                inner.reviewed_at = Millis::ZERO;
            }
            inner.review(now);
            self.waiting.log(&mut inner);
            if let Some(removed) = inner.refused.remove(&self.id) {
                self.is_over = true;
                inner.waiters.remove(&self.id);
                inner.wake_head(now);
                return Err(removed);
            }
            if inner.queue.head(now) == Some(self.id) {
                return Ok(());
            }
        }
    }

    /// Records that the call is being sent, and has the next one try. Returns how long it waited.
    fn start(mut self) -> Millis {
        self.is_over = true;
        let now = self.waiting.clock.now();
        let mut inner = self.waiting.inner.lock();
        inner.waiters.remove(&self.id);
        let waited = inner.queue.start(now, self.id).unwrap_or_default();
        inner.started += 1;
        inner.wake_head(now);
        drop(inner);
        self.waiting.metrics.waited.observe(waited.as_secs_f64());
        waited
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.waiting.metrics.waiting_calls.dec();
        if self.is_over {
            return;
        }
        let now = self.waiting.clock.now();
        let mut inner = self.waiting.inner.lock();
        inner.waiters.remove(&self.id);
        inner.refused.remove(&self.id);
        inner.queue.leave(now, self.id);
        inner.wake_head(now);
    }
}

/// Chooses an endpoint for a call, in its turn: a call for which no endpoint has capacity waits for as
/// long as its answer can be in time.
///
/// Nothing is sent meanwhile, so the call is known not to have run if it is refused.
pub async fn place_in_turn(
    state: &Arc<State>,
    call: &Arc<Call>,
    exclude: &[Name],
    sends: u32,
) -> Result<Attempt, PlacementRefusal> {
    let waiting = &call.pool.waiting;
    let now = state.clock.now();
    let mut ask = waiting.ask(now, call);
    let mut view = PoolView::default();
    if waiting.inner.lock().queue.precedes_all(now, &ask) {
        match dispatch::try_to_place(state, call, now, exclude, sends, None) {
            Ok(attempt) => {
                waiting.inner.lock().queue.record_direct_start(now, &ask);
                return Ok(attempt);
            }
            Err(refusal) if !may_have_room(now, &refusal, ask.latest_start) => {
                call.pool.count_refusal(now);
                return Err(refusal);
            }
            Err(refusal) => view = refusal.view,
        }
    }
    ask.key = Some(call.request_key().as_u64());
    let account = ask.account.clone();
    let mut ticket = match waiting.enqueue(ask) {
        Ok(ticket) => ticket,
        Err(refusal) => return Err(refuse(state, call, &account, view, refusal, Millis::ZERO)),
    };
    loop {
        if let Err(Removed { refusal, waited, .. }) = ticket.turn().await {
            return Err(refuse(state, call, &ticket.account, view, refusal, waited));
        }
        let now = state.clock.now();
        // Endpoints may have crashed under equal calls while this one waited.
        if state.crashes.block_of(|| call.request_key()).is_some() {
            call.pool.count_refusal(now);
            return Err(PlacementRefusal {
                reason: RefusalReason::NoEndpoint,
                retry_after: RETRY_BLOCKED,
                may_wait: false,
                view,
                wait_end: None,
            });
        }
        // Endpoints that refused the call earlier may have capacity by now.
        match dispatch::try_to_place(state, call, now, &[], sends, None) {
            Ok(mut attempt) => {
                attempt.waited = ticket.start();
                return Ok(attempt);
            }
            Err(refusal) if !may_have_room(now, &refusal, ticket.latest_start) => {
                call.pool.count_refusal(now);
                return Err(refusal);
            }
            Err(refusal) => view = refusal.view,
        }
    }
}

/// Returns whether endpoints may have room for a refused call before its latest start.
fn may_have_room(now: Millis, refusal: &PlacementRefusal, latest_start: Millis) -> bool {
    match refusal.reason {
        RefusalReason::Full => true,
        RefusalReason::Paused => now + refusal.view.paused_for < latest_start,
        RefusalReason::NoEndpoint | RefusalReason::Deadline => false,
    }
}

fn refuse(
    state: &State,
    call: &Call,
    account: &Name,
    view: PoolView,
    refusal: QueueRefusal,
    waited: Millis,
) -> PlacementRefusal {
    call.pool.count_refusal(state.clock.now());
    let QueueRefusal { reason, retry_after, ahead, rate } = refusal;
    // Another instance may have capacity at once.
    let retry_after = match reason {
        QueueRefusalReason::Stopping => RETRY_ELSEWHERE_AFTER,
        _ => retry_after,
    };
    let wait_end = WaitEnd { reason, waited, ahead, rate };
    call.pool.waiting.record_refusal(account, wait_end, retry_after);
    PlacementRefusal {
        reason: RefusalReason::Full,
        retry_after,
        may_wait: false,
        view,
        wait_end: Some(wait_end),
    }
}
