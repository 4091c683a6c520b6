//! What was counted in a time slice: differences of the cumulative counts that entry instances
//! report.

use std::collections::{BTreeMap, VecDeque};

use sill_base::Name;
use sill_wire::Incarnation;
use sill_wire::rollout::{Durations, EndpointCounts, RolloutReport, StratumCounts};

use crate::Weakening;
use crate::plan::EntryView;

/// Slices (2 s) over which the failures that entry instances see are compared with each other.
const COMPARED_SLICES: usize = 10;

/// Answers of an entry instance in them from which on it is compared.
const MIN_ANSWERS: u64 = 10;

/// Difference of an entry instance's part of failed answers from the median of all that is not due to
/// chance: with 40 answers, over four standard deviations of a version that fails by 0.05.
const DEVIATION: f64 = 0.15;

/// Of so many entry instances, one may be left out. A version that fails does so at most of them.
const ENTRIES_PER_OUTLIER: usize = 3;

/// Answers of one route and of one size of requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Stratum {
    pub route: Name,
    pub size: u8,
}

/// Answers of one stratum.
#[derive(Debug, Default, Clone)]
pub(crate) struct Tally {
    pub answers: u64,
    pub failures: u64,
    pub first: Durations,
    pub pauses: Durations,
    pub whole: Durations,
}

/// Answers by stratum.
pub(crate) type Tallies = BTreeMap<Stratum, Tally>;

/// What all entry instances counted in one time slice.
#[derive(Debug, Default)]
pub(crate) struct Slice {
    /// Answers of the version in force.
    pub stable: Tallies,
    /// Answers of each endpoint of the candidate.
    pub candidate: BTreeMap<Name, Tallies>,
}

/// What each entry instance counted in the current time slice, and its failures in the newest ones.
///
/// An entry instance whose own connections are reset sees answers fail at endpoints that others reach.
/// While the version in force drains, it has few answers to compare with, so these failures would be
/// held against the candidate; before, they would hide those of a bad one.
#[derive(Debug, Default)]
pub(crate) struct EntrySlices {
    current: BTreeMap<Name, Slice>,
    /// Answers and failures by slice, the newest last.
    recent: BTreeMap<Name, VecDeque<(u64, u64)>>,
}

/// Sums of what entry instances count for an order.
#[derive(Debug, Default)]
pub(crate) struct Totals {
    entries: BTreeMap<Name, Reported>,
    /// Requests in total and to the candidate that entry instances had counted before they started
    /// anew.
    earlier: (u64, u64),
}

/// The newest report of an entry instance.
#[derive(Debug)]
struct Reported {
    incarnation: Incarnation,
    report: RolloutReport,
}

impl Tally {
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        add_durations(&mut self.first, &other.first);
        add_durations(&mut self.pauses, &other.pauses);
        add_durations(&mut self.whole, &other.whole);
    }

    fn add_difference(&mut self, newer: &StratumCounts, older: &StratumCounts) {
        self.answers += u64::from(newer.answers.saturating_sub(older.answers));
        self.failures += u64::from(newer.failures.saturating_sub(older.failures));
        add_duration_difference(&mut self.first, &newer.first, &older.first);
        add_duration_difference(&mut self.pauses, &newer.pauses, &older.pauses);
        add_duration_difference(&mut self.whole, &newer.whole, &older.whole);
    }
}

impl Slice {
    fn answers_and_failures(&self) -> (u64, u64) {
        let tallies = self.stable.values().chain(self.candidate.values().flat_map(Tallies::values));
        tallies.fold((0, 0), |sum, tally| (sum.0 + tally.answers, sum.1 + tally.failures))
    }

    fn add(&mut self, other: Self) {
        add_tallies(&mut self.stable, other.stable);
        for (endpoint, tallies) in other.candidate {
            add_tallies(self.candidate.entry(endpoint).or_default(), tallies);
        }
    }
}

impl EntrySlices {
    /// Returns the current slice of an entry instance.
    pub fn of(&mut self, entry: &Name) -> &mut Slice {
        self.current.entry(entry.clone()).or_default()
    }

    /// Ends the current slice. Returns what the entry instances counted, without those that see far
    /// more failures than the others.
    pub fn end(&mut self, weakening: Option<Weakening>) -> Slice {
        for (entry, slice) in &self.current {
            let recent = self.recent.entry(entry.clone()).or_default();
            recent.push_back(slice.answers_and_failures());
            if recent.len() > COMPARED_SLICES {
                recent.pop_front();
            }
        }
        let outliers = match weakening {
            Some(Weakening::TrustEveryEntry) => Vec::new(),
            _ => self.outliers(),
        };
        let mut all = Slice::default();
        for (entry, slice) in std::mem::take(&mut self.current) {
            if !outliers.contains(&entry) {
                all.add(slice);
            }
        }
        all
    }

    fn outliers(&self) -> Vec<Name> {
        let rates = self.recent.iter().filter_map(|(entry, recent)| {
            let sum = recent.iter().fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1));
            (sum.0 >= MIN_ANSWERS).then(|| (sum.1 as f64 / sum.0 as f64, entry))
        });
        let mut rates: Vec<(f64, &Name)> = rates.collect();
        rates.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let Some((median, _)) = rates.get(rates.len() / 2).copied() else { return Vec::new() };
        let most = rates.len() / ENTRIES_PER_OUTLIER;
        let outliers = rates.iter().rev().take(most).filter(|(rate, _)| *rate > median + DEVIATION);
        outliers.map(|(_, entry)| (*entry).clone()).collect()
    }
}

impl Totals {
    /// Adds to `slice` what an entry instance counted since its report before this one.
    pub fn observe(
        &mut self,
        order: u64,
        entry: &EntryView<'_>,
        weakening: Option<Weakening>,
        slice: &mut Slice,
    ) {
        let Some(report) = entry.report.filter(|report| report.order == order) else { return };
        let ignores_restarts = weakening == Some(Weakening::IgnoreRestarts);
        let earlier = self.entries.get(entry.entry).filter(|earlier| {
            let is_same = earlier.incarnation == entry.incarnation;
            ignores_restarts || (is_same && continues(report, &earlier.report))
        });
        let earlier = earlier.map(|earlier| &earlier.report);
        if earlier == Some(report) {
            return;
        }
        let older_stable = earlier.map_or(&[][..], |earlier| &earlier.stable);
        add_differences(&mut slice.stable, &report.stable, older_stable);
        let older = earlier.map_or(&[][..], |earlier| &earlier.candidate);
        for (i, newer) in report.candidate.iter().enumerate() {
            let is_same = |older: &&EndpointCounts| {
                older.endpoint == newer.endpoint && older.incarnation == newer.incarnation
            };
            let older = older.get(i).filter(is_same).or_else(|| older.iter().find(is_same));
            let older = older.map_or(&[][..], |older| &older.strata);
            let tallies = slice.candidate.entry(newer.endpoint.clone()).or_default();
            add_differences(tallies, &newer.strata, older);
        }
        let continues = earlier.is_some();
        let reported = Reported { incarnation: entry.incarnation, report: report.clone() };
        let replaced = self.entries.insert(entry.entry.clone(), reported);
        if let Some(Reported { report, .. }) = replaced.filter(|_| !continues) {
            self.earlier.0 += report.sent;
            self.earlier.1 += report.sent_to_candidate;
        }
    }

    /// Returns the requests that each entry instance has sent in total and to the candidate. The
    /// first are those of earlier incarnations.
    pub fn requests(&self) -> Vec<(u64, u64)> {
        let newest = self.entries.values().map(|reported| &reported.report);
        let newest = newest.map(|report| (report.sent, report.sent_to_candidate));
        std::iter::once(self.earlier).chain(newest).collect()
    }
}

/// Returns whether a report's counts are at least those of the earlier one of the same instance.
fn continues(newer: &RolloutReport, older: &RolloutReport) -> bool {
    let answers = |strata: &[StratumCounts]| -> u64 {
        strata.iter().map(|stratum| u64::from(stratum.answers)).sum()
    };
    newer.sent >= older.sent
        && newer.sent_to_candidate >= older.sent_to_candidate
        && answers(&newer.stable) >= answers(&older.stable)
}

fn add_differences(tallies: &mut Tallies, newer: &[StratumCounts], older: &[StratumCounts]) {
    let none = StratumCounts::default();
    for (i, newer) in newer.iter().enumerate() {
        let is_same =
            |older: &&StratumCounts| older.route == newer.route && older.size == newer.size;
        let older = older.get(i).filter(is_same).or_else(|| older.iter().find(is_same));
        let older = older.unwrap_or(&none);
        if newer == older {
            continue;
        }
        let stratum = Stratum { route: newer.route.clone(), size: newer.size };
        tallies.entry(stratum).or_default().add_difference(newer, older);
    }
}

fn add_tallies(sum: &mut Tallies, tallies: Tallies) {
    for (stratum, tally) in tallies {
        sum.entry(stratum).or_default().add(&tally);
    }
}

fn add_durations(sum: &mut Durations, durations: &Durations) {
    durations.0.iter().for_each(|(bucket, count)| sum.add(*bucket, *count));
}

fn add_duration_difference(sum: &mut Durations, newer: &Durations, older: &Durations) {
    for (bucket, count) in &newer.0 {
        let found = older.0.binary_search_by_key(bucket, |(bucket, _)| *bucket);
        let earlier = found.map_or(0, |i| older.0[i].1);
        if *count > earlier {
            sum.add(*bucket, count - earlier);
        }
    }
}
