//! Requests that began to run, counted by client account and window of time.

use std::collections::BTreeMap;

use sill_base::{Map, Millis, Name};
use sill_wire::Incarnation;
use sill_wire::link::{EntryReport, WindowUsage};

/// Windows that an entry instance reports again and again, so that a new leader gets them too.
const REPORTED_WINDOWS: u64 = 5;

/// Time after which the report of an entry instance that is gone is forgotten.
const KEPT: Millis = Millis(60_000);

/// Time for which an entry instance that is not heard of is waited for. Cuts last for some seconds.
const WAITED_FOR: Millis = Millis(20_000);

/// Time after which an entry instance that is not heard of counts as gone.
const LIVE: Millis = Millis(3000);

/// Counts at one entry instance.
#[derive(Debug, Default)]
pub struct UsageCounter {
    windows: BTreeMap<u64, BTreeMap<Name, u64>>,
}

/// The newest report of each life of an entry instance.
#[derive(Debug, Default)]
pub struct ReportStore {
    reports: Map<LifeKey, StoredReport>,
}

/// One life of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LifeKey {
    entry: Name,
    incarnation: Incarnation,
}

/// The newest report of one life.
#[derive(Debug)]
pub struct StoredReport {
    /// The report.
    pub report: EntryReport,
    /// When the entry instance told it.
    pub reported_at: Millis,
    /// Whether it came from the entry instance itself.
    is_direct: bool,
    /// Whether the leader was told.
    is_told: bool,
}

/// What is held of one entry instance.
#[derive(Debug)]
pub struct EntryIncarnations<'a> {
    /// Its newest life.
    pub newest: &'a StoredReport,
    /// Lives before it that are remembered.
    pub earlier: Vec<&'a StoredReport>,
}

/// Returns the window that a time of day lies in.
pub fn window_of(time: Millis, length: Millis) -> u64 {
    time.0 / length.0.max(1)
}

impl UsageCounter {
    /// Counts a request that begins to run.
    pub fn count(&mut self, window: u64, account: &Name) {
        *self.windows.entry(window).or_default().entry(account.clone()).or_default() += 1;
    }

    /// Returns the newest windows and drops older ones.
    pub fn report(&mut self, window: u64) -> Vec<WindowUsage> {
        let oldest = window.saturating_sub(REPORTED_WINDOWS - 1);
        self.windows = self.windows.split_off(&oldest);
        let windows = self.windows.iter();
        windows
            .map(|(window, counts)| WindowUsage { window: *window, counts: counts.clone() })
            .collect()
    }
}

impl ReportStore {
    /// Takes in a report; an older one than what is held changes nothing.
    pub fn record(&mut self, now: Millis, report: EntryReport, is_direct: bool) {
        let key = LifeKey { entry: report.entry.clone(), incarnation: report.incarnation };
        let at = now - report.age;
        match self.reports.get_mut(&key) {
            Some(known) if known.report.sequence >= report.sequence => {}
            Some(known) => {
                // Windows that the entry instance no longer reports keep their last counts.
                let usage = merged(&known.report.usage, &report.usage);
                known.report = EntryReport { usage, ..report };
                known.reported_at = at;
                known.is_direct = is_direct;
                known.is_told = false;
            }
            None => {
                self.reports.insert(
                    key,
                    StoredReport { report, reported_at: at, is_direct, is_told: false },
                );
            }
        }
    }

    /// Forgets reports of lives that are long gone.
    pub fn expire(&mut self, now: Millis) {
        self.reports.retain(|_, reported| now - reported.reported_at < KEPT);
    }

    /// Returns the direct reports that the leader was not told yet.
    pub fn take_unforwarded(&mut self, now: Millis) -> Vec<EntryReport> {
        let untold = self.reports.values_mut().filter(|r| r.is_direct && !r.is_told);
        untold
            .map(|reported| {
                reported.is_told = true;
                EntryReport { age: now - reported.reported_at, ..reported.report.clone() }
            })
            .collect()
    }

    /// Has everything told again, as to a new leader or after a call that failed.
    pub fn mark_unforwarded(&mut self) {
        self.reports.values_mut().for_each(|reported| reported.is_told = false);
    }

    /// Returns the reports of entry instances that are alive; of several lives the newest.
    pub fn live(&self, now: Millis) -> Vec<&EntryReport> {
        self.reported_within(now, LIVE)
    }

    /// Returns the reports that are not older than a span; of several lives the newest.
    pub fn reported_within(&self, now: Millis, span: Millis) -> Vec<&EntryReport> {
        self.incarnations(now, span).into_iter().map(|lives| &lives.newest.report).collect()
    }

    /// Returns the entry instances whose newest life has reported within a span.
    pub fn incarnations(&self, now: Millis, span: Millis) -> Vec<EntryIncarnations<'_>> {
        let mut by_entry: Map<&Name, EntryIncarnations<'_>> = Map::default();
        for (key, reported) in &self.reports {
            let lives = by_entry
                .entry(&key.entry)
                .or_insert_with(|| EntryIncarnations { newest: reported, earlier: Vec::new() });
            // Incarnations are times of day, and may go back with the clock over a restart.
            let order = |r: &StoredReport| (r.reported_at, r.report.incarnation);
            if order(lives.newest) < order(reported) {
                lives.earlier.push(std::mem::replace(&mut lives.newest, reported));
            } else if lives.newest.report.incarnation != key.incarnation {
                lives.earlier.push(reported);
            }
        }
        by_entry.into_values().filter(|lives| now - lives.newest.reported_at < span).collect()
    }

    /// Returns whether all entry instances have reported since a point in time. Those that are cut off
    /// report again in some seconds; one that is not heard of for long, or has restarted, is not waited
    /// for.
    pub fn is_complete(&self, now: Millis, since: Millis) -> bool {
        let newest = self.reported_within(now, WAITED_FOR);
        newest.iter().all(|report| {
            let key = LifeKey { entry: report.entry.clone(), incarnation: report.incarnation };
            self.reports.get(&key).is_some_and(|reported| reported.reported_at >= since)
        })
    }

    /// Sums a window over all entry instances; none if nobody has reported it or a later one.
    pub fn total(&self, window: u64) -> Option<BTreeMap<Name, u64>> {
        let mut is_reached = false;
        let mut total = BTreeMap::new();
        for usage in self.reports.values().flat_map(|reported| &reported.report.usage) {
            is_reached |= usage.window >= window;
            if usage.window == window {
                for (account, count) in &usage.counts {
                    *total.entry(account.clone()).or_default() += count;
                }
            }
        }
        is_reached.then_some(total)
    }
}

impl StoredReport {
    /// Returns how long ago it was told.
    pub fn age(&self, now: Millis) -> Millis {
        now - self.reported_at
    }

    /// Returns how long ago the life began, if it tells.
    pub fn uptime(&self, now: Millis) -> Option<Millis> {
        self.report.up.map(|up| up + self.age(now))
    }
}

fn merged(old: &[WindowUsage], new: &[WindowUsage]) -> Vec<WindowUsage> {
    const KEPT_WINDOWS: usize = 12;
    let oldest_new = new.first().map_or(u64::MAX, |usage| usage.window);
    let kept = old.iter().filter(|usage| usage.window < oldest_new);
    let mut all: Vec<WindowUsage> = kept.chain(new).cloned().collect();
    let surplus = all.len().saturating_sub(KEPT_WINDOWS);
    all.drain(..surplus);
    all
}
