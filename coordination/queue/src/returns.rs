//! Callers that were told when to return.

use std::collections::{BTreeMap, BTreeSet};

use sill_base::{Millis, Name};

/// How much earlier than told a caller may return. Timers and paths vary by some milliseconds.
const EARLY_MARGIN: Millis = Millis(50);

/// How long after its time a caller is still recognized.
const LATE_MARGIN: Millis = Millis(1000);

/// Number of callers that are remembered. Further ones are told a time too, but count as new when
/// they return and may be overtaken. Each is remembered for up to 7 s, so the bound suffices for 1,100
/// refusals a second; at some 150 bytes each, it is 1.2 MB.
const MAX_RETURNS: usize = 8192;

/// A priority and a client account.
type Lane = (u8, Name);

/// Key, time at which the caller is due, and a number that tells equal requests apart.
type ReturnId = (u64, Millis, u64);

#[derive(Debug)]
struct Return {
    /// When the caller was refused first.
    since: Millis,
    lane: Lane,
    /// The cost that still counts as backlog; 0 once the caller is due.
    pending_cost: f64,
}

#[derive(Debug, Default)]
struct Reserved {
    cost: f64,
    callers: usize,
    last_due: Millis,
}

/// The callers that are expected back, by request key. Several callers may send equal requests; it
/// doesn't matter which of them takes which turn.
#[derive(Debug, Default)]
pub(crate) struct Returns {
    by_id: BTreeMap<ReturnId, Return>,
    /// When each caller is due, and when it is forgotten.
    times: BTreeSet<(Millis, ReturnId)>,
    lanes: BTreeMap<Lane, Reserved>,
    next: u64,
}

impl Returns {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Drops callers that did not return, and what is due from the backlog: they are now either
    /// here or at another entry instance.
    pub(crate) fn expire(&mut self, now: Millis) {
        while let Some((at, id)) = self.times.first().copied().filter(|(at, _)| *at <= now) {
            self.times.remove(&(at, id));
            let Some(entry) = self.by_id.get_mut(&id) else { continue };
            let end = id.1 + LATE_MARGIN;
            if at >= end {
                self.by_id.remove(&id);
                continue;
            }
            let cost = std::mem::take(&mut entry.pending_cost);
            let lane = entry.lane.clone();
            self.times.insert((end, id));
            self.release(&lane, cost);
        }
    }

    fn release(&mut self, lane: &Lane, cost: f64) {
        let Some(reserved) = self.lanes.get_mut(lane).filter(|_| cost > 0.0) else { return };
        reserved.cost -= cost;
        reserved.callers -= 1;
        if reserved.callers == 0 {
            self.lanes.remove(lane);
        }
    }

    /// Returns the caller with a key that is due first, if it may have returned by now.
    fn returned(&self, now: Millis, key: u64) -> Option<(ReturnId, &Return)> {
        let latest = (key, now + EARLY_MARGIN, u64::MAX);
        let mut due = self.by_id.range((key, Millis::ZERO, 0)..=latest);
        due.next().map(|(id, entry)| (*id, entry))
    }

    /// Returns when a caller was refused first if it has returned at the time that it was told.
    pub(crate) fn refused_since(&self, now: Millis, key: u64) -> Option<Millis> {
        self.returned(now, key).map(|(_, entry)| entry.since)
    }

    /// Removes a caller that has returned at its time.
    pub(crate) fn remove(&mut self, now: Millis, key: u64) {
        let Some((id, _)) = self.returned(now, key) else { return };
        if let Some(entry) = self.by_id.remove(&id) {
            self.times.remove(&(id.1, id));
            self.times.remove(&(id.1 + LATE_MARGIN, id));
            self.release(&entry.lane, entry.pending_cost);
        }
    }

    /// Returns the cost of the callers of a priority that are not due yet, by account.
    pub(crate) fn reserved(&self, priority: u8) -> impl Iterator<Item = (&Name, f64)> {
        let lanes = self.lanes.range((priority, Name::default())..);
        let lanes = lanes.take_while(move |((lane, _), _)| *lane == priority);
        lanes.map(|((_, account), reserved)| (account, reserved.cost))
    }

    /// Returns the cost of the callers of more urgent priorities that are not due yet.
    pub(crate) fn reserved_above(&self, priority: u8) -> f64 {
        self.lanes.range(..(priority, Name::default())).map(|(_, reserved)| reserved.cost).sum()
    }

    /// Returns when the last caller of an account and priority is due.
    pub(crate) fn last_due(&self, priority: u8, account: &Name) -> Option<Millis> {
        self.lanes.get(&(priority, account.clone())).map(|reserved| reserved.last_due)
    }

    /// Remembers when a caller was told to return, and since when it has been refused.
    pub(crate) fn insert(&mut self, key: u64, since: Millis, due: Millis, lane: Lane, cost: f64) {
        if self.by_id.len() >= MAX_RETURNS {
            return;
        }
        let reserved = self.lanes.entry(lane.clone()).or_default();
        reserved.cost += cost;
        reserved.callers += 1;
        reserved.last_due = reserved.last_due.max(due);
        let id = (key, due, self.next);
        self.next += 1;
        self.times.insert((due, id));
        self.by_id.insert(id, Return { since, lane, pending_cost: cost });
    }
}
