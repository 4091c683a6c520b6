//! Usage: started requests, counted by client account and time window.

use std::collections::BTreeMap;

use sill_base::{Map, Millis, Name};
use sill_wire::Incarnation;
use sill_wire::link::{EntryReport, WindowUsage};

/// Windows that an entry instance includes in each report, so that a new leader receives them too.
const REPORTED_WINDOWS: u64 = 5;

/// How long the last report of an incarnation is kept.
const REPORT_TTL: Millis = Millis(60_000);

/// How long totals wait for an entry instance without reports. Partitions last for some seconds.
const MAX_WAIT_FOR_SILENT: Millis = Millis(20_000);

/// Age of the last report up to which an entry instance counts as alive.
const ALIVE_FOR: Millis = Millis(3000);

/// Usage counts at one entry instance.
#[derive(Debug, Default)]
pub struct UsageCounter {
    windows: BTreeMap<u64, BTreeMap<Name, u64>>,
}

/// The newest report of each incarnation of each entry instance.
#[derive(Debug, Default)]
pub struct ReportStore {
    reports: Map<IncarnationKey, StoredReport>,
}

/// Identifies an incarnation of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct IncarnationKey {
    entry: Name,
    incarnation: Incarnation,
}

/// The newest report of one incarnation.
#[derive(Debug)]
pub struct StoredReport {
    /// The report as received; windows that it no longer lists are kept from earlier ones.
    pub report: EntryReport,
    /// When the entry instance made the report.
    pub reported_at: Millis,
    /// Whether the entry instance itself sent it, rather than another control instance.
    is_direct: bool,
    /// Whether it was sent to the leader.
    is_forwarded: bool,
}

/// The reports of one entry instance by incarnation.
#[derive(Debug)]
pub struct EntryIncarnations<'a> {
    /// Report of the newest incarnation.
    pub newest: &'a StoredReport,
    /// Reports of earlier incarnations that are still kept.
    pub earlier: Vec<&'a StoredReport>,
}

/// Returns the number of the window that contains a time of day.
pub fn window_of(time: Millis, length: Millis) -> u64 {
    time.0 / length.0.max(1)
}

impl UsageCounter {
    /// Counts a started request.
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
    /// Records a report, unless it is older than the known one of the same incarnation.
    pub fn record(&mut self, now: Millis, report: EntryReport, is_direct: bool) {
        let key = IncarnationKey { entry: report.entry.clone(), incarnation: report.incarnation };
        let reported_at = now - report.age;
        match self.reports.get_mut(&key) {
            Some(known) if known.report.sequence >= report.sequence => {}
            Some(known) => {
                // Windows that the entry instance no longer reports keep their last counts.
                let usage = merge_windows(&known.report.usage, &report.usage);
                known.report = EntryReport { usage, ..report };
                known.reported_at = reported_at;
                known.is_direct = is_direct;
                known.is_forwarded = false;
            }
            None => {
                self.reports.insert(
                    key,
                    StoredReport { report, reported_at, is_direct, is_forwarded: false },
                );
            }
        }
    }

    /// Drops reports that are older than a minute.
    pub fn expire(&mut self, now: Millis) {
        self.reports.retain(|_, reported| now - reported.reported_at < REPORT_TTL);
    }

    /// Returns the directly received reports that were not sent to the leader yet, and marks them
    /// as sent.
    pub fn take_unforwarded(&mut self, now: Millis) -> Vec<EntryReport> {
        let unforwarded = self.reports.values_mut().filter(|r| r.is_direct && !r.is_forwarded);
        unforwarded
            .map(|reported| {
                reported.is_forwarded = true;
                EntryReport { age: now - reported.reported_at, ..reported.report.clone() }
            })
            .collect()
    }

    /// Marks all reports as not sent to the leader, after a change of leader or a failed call.
    pub fn mark_unforwarded(&mut self) {
        self.reports.values_mut().for_each(|reported| reported.is_forwarded = false);
    }

    /// Returns the newest reports of the entry instances that are alive.
    pub fn live(&self, now: Millis) -> Vec<&EntryReport> {
        self.reported_within(now, ALIVE_FOR)
    }

    /// Returns the newest report of each entry instance that has one younger than `span`.
    pub fn reported_within(&self, now: Millis, span: Millis) -> Vec<&EntryReport> {
        self.incarnations(now, span).into_iter().map(|entry| &entry.newest.report).collect()
    }

    /// Returns the incarnations of each entry instance whose newest one has reported within `span`.
    pub fn incarnations(&self, now: Millis, span: Millis) -> Vec<EntryIncarnations<'_>> {
        let mut by_entry: Map<&Name, EntryIncarnations<'_>> = Map::default();
        for (key, reported) in &self.reports {
            let incarnations = by_entry
                .entry(&key.entry)
                .or_insert_with(|| EntryIncarnations { newest: reported, earlier: Vec::new() });
            // Incarnations are times of day, which may go back with the clock over a restart.
            let order = |r: &StoredReport| (r.reported_at, r.report.incarnation);
            if order(incarnations.newest) < order(reported) {
                incarnations.earlier.push(std::mem::replace(&mut incarnations.newest, reported));
            } else if incarnations.newest.report.incarnation != key.incarnation {
                incarnations.earlier.push(reported);
            }
        }
        by_entry.into_values().filter(|entry| now - entry.newest.reported_at < span).collect()
    }

    /// Returns whether all entry instances have reported since a point in time. Instances that are
    /// cut off report again within seconds; one without reports for long, or a former incarnation,
    /// is not waited for.
    pub fn is_complete(&self, now: Millis, since: Millis) -> bool {
        let newest = self.reported_within(now, MAX_WAIT_FOR_SILENT);
        newest.iter().all(|report| {
            let key =
                IncarnationKey { entry: report.entry.clone(), incarnation: report.incarnation };
            self.reports.get(&key).is_some_and(|reported| reported.reported_at >= since)
        })
    }

    /// Returns the counts of a window over all entry instances, or `None` if no report has reached
    /// it.
    pub fn total(&self, window: u64) -> Option<BTreeMap<Name, u64>> {
        let mut has_report = false;
        let mut total = BTreeMap::new();
        for usage in self.reports.values().flat_map(|reported| &reported.report.usage) {
            has_report |= usage.window >= window;
            if usage.window == window {
                for (account, count) in &usage.counts {
                    *total.entry(account.clone()).or_default() += count;
                }
            }
        }
        has_report.then_some(total)
    }
}

impl StoredReport {
    /// Returns the age of the report.
    pub fn age(&self, now: Millis) -> Millis {
        now - self.reported_at
    }

    /// Returns the age of the incarnation, if it reports its uptime.
    pub fn uptime(&self, now: Millis) -> Option<Millis> {
        self.report.uptime.map(|up| up + self.age(now))
    }
}

fn merge_windows(old: &[WindowUsage], new: &[WindowUsage]) -> Vec<WindowUsage> {
    const MAX_WINDOWS: usize = 12;
    let oldest_new = new.first().map_or(u64::MAX, |usage| usage.window);
    let kept = old.iter().filter(|usage| usage.window < oldest_new);
    let mut all: Vec<WindowUsage> = kept.chain(new).cloned().collect();
    let surplus = all.len().saturating_sub(MAX_WINDOWS);
    all.drain(..surplus);
    all
}
