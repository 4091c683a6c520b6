//! The order of waiting calls, who is refused, and the times of return.

use std::collections::{BTreeMap, BTreeSet};

use sill_base::{Map, Millis, Name};

use crate::accounts::Accounts;
use crate::rate::StartRate;
use crate::returns::Returns;

/// A waiting call is refused before its time if the estimated wait is this many times the time
/// left. The estimate varies by about this factor from one second to the next, and what was
/// accepted should not be refused for that.
const REVIEW_MARGIN: f64 = 2.0;

/// Number of calls of one account that a review examines, from the last in the order. More would
/// take longer than a decision may (50 us).
const REVIEWED_CALLS: usize = 200;

/// Range of retry times while no work was started yet, so that no rate is known.
const RETRY_WITHOUT_RATE: (Millis, Millis) = (Millis(1000), Millis(3000));

/// Time over which callers are spread whose computed retry time is above the longest one.
const RETRY_SPREAD: Millis = Millis(1000);

/// Age from which on figures of other entry instances are not used, as for limits.
const MAX_ELSEWHERE_AGE: Millis = Millis(1500);

/// Fractional part of the golden ratio. Its multiples modulo 1 are spread evenly.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;

/// Bounds of a wait queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueBounds {
    /// Number of waiting calls.
    pub calls: usize,
    /// Bytes that the waiting calls hold.
    pub bytes: usize,
    /// Longest time that a call waits.
    pub wait: Millis,
    /// Shortest time after which a refused caller should return. An earlier one finds the state
    /// unchanged, as loads of endpoints are heard after up to 250 ms.
    pub min_retry: Millis,
    /// Longest time after which a refused caller should return, without the spread.
    pub max_retry: Millis,
}

impl Default for QueueBounds {
    fn default() -> Self {
        Self {
            calls: 2000,
            bytes: 8 << 20,
            wait: Millis(5000),
            min_retry: Millis(200),
            max_retry: Millis(5000),
        }
    }
}

/// Identifies a waiting call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(u64);

/// A call that needs capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// Priority rank; 0 is served first.
    pub priority: u8,
    /// Client account; empty for an anonymous call.
    pub account: Name,
    /// Weight of the account.
    pub weight: f64,
    /// Work of the call: prompt tokens and expected output tokens, or 1.
    pub cost: f64,
    /// Bytes that the call holds while it waits.
    pub bytes: usize,
    /// Time by which the call must be sent so that its answer can be in time.
    pub latest_start: Millis,
    /// Key by which a caller that returns is recognized.
    pub key: Option<u64>,
}

/// Why a call does not wait, or no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRefusalReason {
    /// The work ahead takes longer than the call can wait.
    NoTime,
    /// The call waited until its answer could no longer be in time.
    Expired,
    /// The queue holds as many calls or bytes as it may.
    QueueFull,
    /// The entry instance stops.
    Stopping,
}

/// The refusal of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueRefusal {
    /// The reason.
    pub reason: QueueRefusalReason,
    /// Time after which the caller should return.
    pub retry_after: Millis,
    /// Cost of the work ahead of the call, with that of callers who were told to return.
    pub ahead: f64,
    /// Cost of the work that is started per second; none if it is unknown.
    pub rate: Option<f64>,
}

/// A call that was removed from the queue and is refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Removed {
    /// The call.
    pub id: CallId,
    /// Its refusal.
    pub refusal: QueueRefusal,
    /// How long it has waited.
    pub waited: Millis,
}

/// The result of adding a call to the queue.
#[derive(Debug, Clone, PartialEq)]
pub enum Enqueued {
    /// The call waits; others may have been removed for it.
    Waits(CallId, Vec<Removed>),
    /// The call is refused.
    Refused(QueueRefusal),
}

/// The load of a service at all other entry instances together.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Elsewhere {
    /// Cost of the calls that wait there.
    pub waiting: f64,
    /// Cost of the work that is started there per second.
    pub started_per_s: f64,
}

/// Order of the calls of one account and priority: those who return at their time by their first
/// refusal, then all others by the latest start.
type Place = (Millis, Millis, CallId);

#[derive(Debug, Default)]
struct Lane {
    /// Costs by place.
    calls: BTreeMap<Place, f64>,
    cost: f64,
}

#[derive(Debug)]
struct Waiting {
    ask: Ask,
    place: Place,
    since: Millis,
}

/// What precedes a call: the received work of its account after all its own calls ahead, by weight.
#[derive(Debug, Clone, Copy)]
struct Turn {
    own_ahead: f64,
    virtual_time: f64,
}

/// An account that competes within a priority.
#[derive(Debug, Clone, Copy)]
struct Competitor {
    virtual_time: f64,
    weight: f64,
    cost: f64,
}

/// The wait queue of one service at one entry instance.
#[derive(Debug, Default)]
pub struct WaitQueue {
    bounds: QueueBounds,
    lanes: BTreeMap<u8, BTreeMap<Name, Lane>>,
    calls: Map<CallId, Waiting>,
    by_latest_start: BTreeSet<(Millis, CallId)>,
    accounts: Accounts,
    rate: StartRate,
    returns: Returns,
    elsewhere: Option<(Millis, Elsewhere)>,
    bytes: usize,
    next_id: u64,
    /// Number of retry times given out.
    refusals: u64,
    /// The account whose calls were reviewed last.
    reviewed: (u8, Name),
    is_closed: bool,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new(bounds: QueueBounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the cost of all waiting calls.
    pub fn waiting_cost(&self) -> f64 {
        self.lanes.values().flat_map(BTreeMap::values).map(|lane| lane.cost).sum()
    }

    /// Returns the cost of the work that is started per second; none if nothing was ever started.
    pub fn started_per_s(&self, now: Millis) -> Option<f64> {
        self.rate.per_second(now)
    }

    /// Returns the cost that each account receives here per second, without those that received
    /// next to nothing.
    pub fn received_per_s(&self, now: Millis) -> Vec<(Name, f64)> {
        self.accounts.local_per_s(now)
    }

    /// Returns the number of waiting calls of each account.
    pub fn waiting_by_account(&self) -> BTreeMap<Name, usize> {
        let mut counts = BTreeMap::new();
        for (account, lane) in self.lanes.values().flatten() {
            *counts.entry(account.clone()).or_default() += lane.calls.len();
        }
        counts
    }

    /// Returns whether callers are expected back, so that the keys of new calls matter.
    pub fn expects_returns(&self) -> bool {
        !self.returns.is_empty()
    }

    /// Sets the load of the service at all other entry instances.
    pub fn set_elsewhere(&mut self, now: Millis, elsewhere: Elsewhere) {
        self.elsewhere = Some((now, elsewhere));
    }

    /// Sets the cost that an account received per second lately at all entry instances together.
    pub fn set_received_everywhere(&mut self, now: Millis, account: &Name, per_s: f64) {
        self.accounts.set_rate_everywhere(now, account, per_s);
    }

    /// Returns whether a new call may try to be placed at once: no waiting call precedes it.
    pub fn precedes_all(&self, now: Millis, ask: &Ask) -> bool {
        let Some((&first, _)) = self.lanes.first_key_value() else { return true };
        if ask.priority != first {
            return ask.priority < first;
        }
        let Some(head) = self.head(now).and_then(|id| self.calls.get(&id)) else { return true };
        let place = self.place_of(now, ask, CallId(u64::MAX));
        match head.ask.account == ask.account {
            true => place < head.place,
            false => self.virtual_time(now, ask, 0.0) < self.virtual_time(now, &head.ask, 0.0),
        }
    }

    /// Counts a call that was sent without waiting.
    pub fn record_direct_start(&mut self, now: Millis, ask: &Ask) {
        if let Some(key) = ask.key {
            self.returns.remove(now, key);
        }
        self.charge(now, ask);
    }

    /// Adds a call that no endpoint has capacity for.
    pub fn enqueue(&mut self, now: Millis, mut ask: Ask) -> Enqueued {
        self.returns.expire(now);
        ask.latest_start = ask.latest_start.min(now + self.bounds.wait);
        let id = CallId(self.next_id);
        let place = self.place_of(now, &ask, id);
        let is_return = place.0 < Millis::MAX;
        if let Some(key) = ask.key.filter(|_| is_return) {
            self.returns.remove(now, key);
        }
        if self.is_closed {
            return Enqueued::Refused(self.refusal(now, &ask, place, QueueRefusalReason::Stopping));
        }
        if ask.latest_start <= now {
            return Enqueued::Refused(self.refusal(now, &ask, place, QueueRefusalReason::Expired));
        }
        if ask.bytes > self.bounds.bytes {
            return Enqueued::Refused(self.refusal(
                now,
                &ask,
                place,
                QueueRefusalReason::QueueFull,
            ));
        }
        // A caller that returned at its time precedes all newer calls of its account, so it is
        // refused again only if none of these is served either.
        let turn = self.turn(now, &ask, place);
        let ahead = self.work_ahead(now, &ask, turn, false);
        if !is_return && !self.is_in_time(now, ask.latest_start, ahead, 1.0) {
            return Enqueued::Refused(self.refusal(now, &ask, place, QueueRefusalReason::NoTime));
        }
        let Some(removed) = self.make_room(now, &ask, place, turn) else {
            return Enqueued::Refused(self.refusal(
                now,
                &ask,
                place,
                QueueRefusalReason::QueueFull,
            ));
        };
        self.next_id += 1;
        self.accounts.set_weight(now, &ask.account, ask.weight);
        let lane = self.lanes.entry(ask.priority).or_default();
        let lane = lane.entry(ask.account.clone()).or_default();
        lane.calls.insert(place, ask.cost);
        lane.cost += ask.cost;
        self.bytes += ask.bytes;
        self.by_latest_start.insert((ask.latest_start, id));
        self.calls.insert(id, Waiting { ask, place, since: now });
        Enqueued::Waits(id, removed)
    }

    /// Returns the call that is to be placed next.
    pub fn head(&self, now: Millis) -> Option<CallId> {
        let lanes = self.lanes.first_key_value()?.1;
        let firsts = lanes.iter().filter_map(|(account, lane)| {
            let (received, weight) = self.accounts.received(now, account);
            let (place, _) = lane.calls.first_key_value()?;
            let ask = &self.calls.get(&place.2)?.ask;
            Some((received / weight.unwrap_or(ask.weight), *place))
        });
        let first = firsts.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        first.map(|(_, place)| place.2)
    }

    /// Removes a call that is being sent, and returns how long it waited; none if it does not wait.
    pub fn start(&mut self, now: Millis, id: CallId) -> Option<Millis> {
        let waiting = self.remove(id)?;
        self.charge(now, &waiting.ask);
        Some(now - waiting.since)
    }

    /// Removes a call whose caller has left, or that is refused for another reason. Returns how
    /// long it waited.
    pub fn leave(&mut self, now: Millis, id: CallId) -> Option<Millis> {
        self.remove(id).map(|waiting| now - waiting.since)
    }

    /// Removes calls that can no longer be in time: all that have reached their time, and those of
    /// one account whose estimated wait is far too long. The next review examines the next account.
    pub fn review(&mut self, now: Millis) -> Vec<Removed> {
        self.returns.expire(now);
        let mut removed = Vec::new();
        while let Some((at, id)) = self.by_latest_start.first().copied()
            && at <= now
        {
            removed.extend(self.remove_refused(now, id, QueueRefusalReason::Expired));
        }
        for id in self.hopeless(now) {
            removed.extend(self.remove_refused(now, id, QueueRefusalReason::NoTime));
        }
        removed
    }

    /// Removes all calls because the entry instance stops. Later calls are refused.
    pub fn close(&mut self, now: Millis) -> Vec<Removed> {
        self.is_closed = true;
        let ids: Vec<CallId> = self.calls.keys().copied().collect();
        let refused =
            ids.into_iter().map(|id| self.remove_refused(now, id, QueueRefusalReason::Stopping));
        refused.flatten().collect()
    }

    fn charge(&mut self, now: Millis, ask: &Ask) {
        self.rate.record(now, ask.cost);
        self.accounts.charge(now, &ask.account, ask.weight, ask.cost);
    }

    fn remove(&mut self, id: CallId) -> Option<Waiting> {
        let waiting = self.calls.remove(&id)?;
        let ask = &waiting.ask;
        self.bytes -= ask.bytes;
        self.by_latest_start.remove(&(ask.latest_start, id));
        if let Some(lanes) = self.lanes.get_mut(&ask.priority) {
            if let Some(lane) = lanes.get_mut(&ask.account) {
                lane.calls.remove(&waiting.place);
                lane.cost -= ask.cost;
                if lane.calls.is_empty() {
                    lanes.remove(&ask.account);
                }
            }
            if lanes.is_empty() {
                self.lanes.remove(&ask.priority);
            }
        }
        Some(waiting)
    }

    fn remove_refused(
        &mut self,
        now: Millis,
        id: CallId,
        reason: QueueRefusalReason,
    ) -> Option<Removed> {
        let waiting = self.remove(id)?;
        let refusal = self.refusal(now, &waiting.ask, waiting.place, reason);
        Some(Removed { id, refusal, waited: now - waiting.since })
    }

    fn place_of(&self, now: Millis, ask: &Ask, id: CallId) -> Place {
        let since = ask.key.and_then(|key| self.returns.refused_since(now, key));
        (since.unwrap_or(Millis::MAX), ask.latest_start, id)
    }

    fn virtual_time(&self, now: Millis, ask: &Ask, own_ahead: f64) -> f64 {
        let (received, weight) = self.accounts.received(now, &ask.account);
        (received + own_ahead) / weight.unwrap_or(ask.weight)
    }

    fn turn(&self, now: Millis, ask: &Ask, place: Place) -> Turn {
        let lane = self.lanes.get(&ask.priority).and_then(|lanes| lanes.get(&ask.account));
        let own_ahead = lane.map_or(0.0, |lane| match lane.calls.last_key_value() {
            Some((last, _)) if *last < place => lane.cost,
            _ => lane.calls.range(..place).map(|(_, cost)| cost).sum(),
        });
        Turn { own_ahead, virtual_time: self.virtual_time(now, ask, own_ahead) }
    }

    /// Returns the accounts other than `account` that compete within a priority.
    fn competitors(
        &self,
        now: Millis,
        priority: u8,
        account: &Name,
        with_returns: bool,
    ) -> Vec<Competitor> {
        let mut costs: BTreeMap<&Name, f64> = BTreeMap::new();
        for (name, lane) in self.lanes.get(&priority).into_iter().flatten() {
            *costs.entry(name).or_default() += lane.cost;
        }
        for (name, cost) in self.returns.reserved(priority).filter(|_| with_returns) {
            *costs.entry(name).or_default() += cost;
        }
        costs.remove(account);
        let competitor = |(name, cost)| {
            let (received, weight) = self.accounts.received(now, name);
            let weight = weight.unwrap_or(1.0);
            Competitor { virtual_time: received / weight, weight, cost }
        };
        costs.into_iter().map(competitor).collect()
    }

    fn more_urgent_cost(&self, priority: u8) -> f64 {
        let lanes = self.lanes.range(..priority).flat_map(|(_, lanes)| lanes.values());
        lanes.map(|lane| lane.cost).sum()
    }

    /// Returns the cost of the work that is started before a call's turn: more urgent calls, own
    /// ones ahead, and those that other accounts may have sent until they have received as much.
    fn work_ahead(&self, now: Millis, ask: &Ask, turn: Turn, with_returns: bool) -> f64 {
        let mut ahead = self.more_urgent_cost(ask.priority) + turn.own_ahead;
        if with_returns {
            ahead += self.returns.reserved_above(ask.priority);
        }
        let competitors = self.competitors(now, ask.priority, &ask.account, with_returns);
        ahead + competing_work(&competitors, turn.virtual_time)
    }

    /// Returns how long work of a cost takes to be started; none if it is unknown.
    fn time_for(&self, now: Millis, ahead: f64) -> Option<f64> {
        let recent = self.elsewhere.filter(|(at, _)| now - *at < MAX_ELSEWHERE_AGE);
        let elsewhere = recent.map(|(_, elsewhere)| elsewhere).unwrap_or_default();
        // An instance that has just started knows the rate of the others only.
        let rate = match self.rate.per_second(now) {
            None if elsewhere.started_per_s > 0.0 => 0.0,
            rate => rate?,
        };
        let total_rate = rate + elsewhere.started_per_s;
        if ahead <= 0.0 {
            return Some(0.0);
        }
        // Of what waits elsewhere, the same part precedes as of what waits here.
        let waiting = self.waiting_cost().max(ahead);
        let ahead = ahead + elsewhere.waiting * ahead / waiting;
        Some(ahead / total_rate.max(f64::MIN_POSITIVE))
    }

    fn is_in_time(&self, now: Millis, latest_start: Millis, ahead: f64, margin: f64) -> bool {
        let needed = self.time_for(now, ahead).unwrap_or(0.0);
        needed <= (latest_start - now).as_secs_f64() * margin
    }

    /// Removes the last calls in the order until there is room for another one. Returns none if
    /// that one is the last itself.
    fn make_room(
        &mut self,
        now: Millis,
        ask: &Ask,
        place: Place,
        turn: Turn,
    ) -> Option<Vec<Removed>> {
        let mut removed = Vec::new();
        let has_room = |queue: &Self| {
            queue.calls.len() < queue.bounds.calls && queue.bytes + ask.bytes <= queue.bounds.bytes
        };
        while !has_room(self) {
            let (priority, virtual_time, last) = self.last_in_order(now)?;
            let last_account = self.calls.get(&last.2).map(|waiting| &waiting.ask.account);
            let precedes = match priority == ask.priority {
                false => ask.priority < priority,
                true if last_account == Some(&ask.account) => place < last,
                true => turn.virtual_time + ask.cost / ask.weight < virtual_time,
            };
            if !precedes {
                return None;
            }
            removed.extend(self.remove_refused(now, last.2, QueueRefusalReason::QueueFull));
        }
        Some(removed)
    }

    /// Returns the place of the last call in the order, with its priority and its virtual time.
    fn last_in_order(&self, now: Millis) -> Option<(u8, f64, Place)> {
        let (priority, lanes) = self.lanes.last_key_value()?;
        let lasts = lanes.iter().filter_map(|(account, lane)| {
            let (received, weight) = self.accounts.received(now, account);
            let (place, _) = lane.calls.last_key_value()?;
            Some(((received + lane.cost) / weight.unwrap_or(1.0), *place))
        });
        let last = lasts.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        last.map(|(virtual_time, place)| (*priority, virtual_time, place))
    }

    /// Returns the calls of the next account whose estimated wait is far above the time left.
    fn hopeless(&mut self, now: Millis) -> Vec<CallId> {
        let all = || {
            let lanes = self.lanes.iter();
            lanes.flat_map(|(priority, lanes)| lanes.keys().map(|name| (*priority, name.clone())))
        };
        let next = all().find(|lane| *lane > self.reviewed).or_else(|| all().next());
        let Some((priority, account)) = next else { return Vec::new() };
        let competitors = self.competitors(now, priority, &account, false);
        let (received, weight) = self.accounts.received(now, &account);
        let more_urgent = self.more_urgent_cost(priority);
        let mut hopeless = Vec::new();
        if let Some(lane) = self.lanes.get(&priority).and_then(|lanes| lanes.get(&account)) {
            let mut own_ahead = lane.cost;
            for (place, cost) in lane.calls.iter().rev().take(REVIEWED_CALLS) {
                own_ahead -= cost;
                let virtual_time = (received + own_ahead) / weight.unwrap_or(1.0);
                let ahead = more_urgent + own_ahead + competing_work(&competitors, virtual_time);
                if !self.is_in_time(now, place.1, ahead, REVIEW_MARGIN) {
                    hopeless.push(place.2);
                }
            }
        }
        self.reviewed = (priority, account);
        hopeless
    }

    /// Refuses a call, with the time after which its turn is expected.
    fn refusal(
        &mut self,
        now: Millis,
        ask: &Ask,
        place: Place,
        reason: QueueRefusalReason,
    ) -> QueueRefusal {
        let reserved = self.returns.reserved(ask.priority);
        let own_reserved: f64 =
            reserved.filter(|(name, _)| **name == ask.account).map(|(_, cost)| cost).sum();
        let lane = self.lanes.get(&ask.priority).and_then(|lanes| lanes.get(&ask.account));
        let own_ahead = own_reserved + lane.map_or(0.0, |lane| lane.cost);
        let virtual_time = self.virtual_time(now, ask, own_ahead);
        let turn = Turn { own_ahead, virtual_time };
        let ahead = self.work_ahead(now, ask, turn, true);
        let rate = self.rate.per_second(now);
        let retry_after = self.retry_after(now, ask, ahead);
        if let Some(key) = ask.key.filter(|_| reason != QueueRefusalReason::Stopping) {
            let since = if place.0 < Millis::MAX { place.0 } else { now };
            let lane = (ask.priority, ask.account.clone());
            self.returns.insert(key, since, now + retry_after, lane, ask.cost);
        }
        QueueRefusal { reason, retry_after, ahead, rate }
    }

    fn retry_after(&mut self, now: Millis, ask: &Ask, ahead: f64) -> Millis {
        self.refusals += 1;
        let spread = (self.refusals as f64 * GOLDEN_FRACTION).fract();
        let Some(needed) = self.time_for(now, ahead + ask.cost) else {
            let (shortest, longest) = RETRY_WITHOUT_RATE;
            return shortest + Millis(((longest - shortest).0 as f64 * spread) as u64);
        };
        let QueueBounds { min_retry, max_retry, .. } = self.bounds;
        let needed = needed * 1000.0;
        if needed >= max_retry.0 as f64 {
            return max_retry + Millis((RETRY_SPREAD.0 as f64 * spread) as u64);
        }
        let last_due = self.returns.last_due(ask.priority, &ask.account).unwrap_or_default();
        Millis(needed.ceil() as u64).max(min_retry).max((last_due - now).min(max_retry))
    }
}

/// Returns the cost that competitors may have sent until each has received as much as
/// `virtual_time`, by weight.
fn competing_work(competitors: &[Competitor], virtual_time: f64) -> f64 {
    let until_equal = |c: &Competitor| ((virtual_time - c.virtual_time) * c.weight).max(0.0);
    competitors.iter().map(|c| c.cost.min(until_equal(c))).sum()
}
