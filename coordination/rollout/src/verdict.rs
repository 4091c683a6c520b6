//! The comparison of two versions of a service by the answers of their endpoints.
//!
//! Answers are compared by time slice, so that a burst of requests, which slows both versions, is no
//! evidence against one. Evidence is a log-likelihood ratio: above zero if the answers fit a bad
//! version better than one that is like the version in force.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use sill_base::{Millis, Name};

use crate::Weakening;
use crate::evidence::{
    MEASURES, MIN_REFERENCE, Measure, RATE_ANSWERS, Reference, Sample, Track, UNKNOWN_FAILURE_RATE,
    WINDOWS, duration_at,
};
use crate::plan::{PoolView, RolloutView};
use crate::slices::{EntrySlices, Stratum, Tallies, Tally, Totals};

/// Length of a time slice: the interval at which reports are forwarded to the leader.
const SLICE: Millis = Millis(200);

/// Evidence at which a hypothesis is accepted: ln 100, an error of 0.01 either way.
const DECISIVE: f64 = 4.6;

/// The same for all endpoints together on one route, and in one stratum: ln 200 and ln 3000. They are
/// higher since there are several routes, and many strata.
const DECISIVE_ON_ROUTE: f64 = 5.3;
const DECISIVE_IN_STRATUM: f64 = 8.0;

/// Upper bound on the evidence of one endpoint where endpoints are judged together: half of
/// [`DECISIVE`], so that two that crash, or run on bad machines, decide nothing. With [`DECISIVE`], and
/// the highest evidence left out always, 22 of 50 versions that failed from 4 s on got above the bounds
/// with 3 entry instances, and 55 of 200 with this one.
const ENDPOINT_CAP: f64 = 2.3;

/// Evidence of all endpoints together from which on a version must not move on without a verdict:
/// ln 2.7 for failures, ln 10 for times. With ln 10 for failures, 97 of 300 versions that failed from
/// 4 s on got above the bounds with 3 entry instances, and 81 with ln 2.7. With ln 2.7 for times, one of
/// 50 good versions with a slow machine was reverted. For a single stratum the bound is [`DECISIVE`], as
/// there are many of them.
const DOUBTFUL_FAILURES: f64 = 1.0;
const DOUBTFUL_TIMES: f64 = 2.3;

/// Endpoints that have to vote bad, and below which all of them have to.
const MIN_BAD: usize = 3;

/// Part of the decided votes that have to be bad.
const BAD_MAJORITY: f64 = 0.6;

/// Part of the used endpoints that have to vote bad. Shortly after the order few have decided, and
/// those are the ones that crashed: a crash decides a vote sooner than good answers.
const BAD_QUORUM: f64 = 0.3;

/// Part of the endpoints, those with the highest evidence, that is left out where endpoints are
/// judged together. Covers crashes of 0.15 of them. Leaving out 0.3 hid versions that turned bad after
/// 4 s: of 50 runs with 74 entry instances, 3 got above the bounds, with 0.2 only one.
const TRIMMED: f64 = 0.2;

/// Slices with evidence against an endpoint that its vote needs where fewer than [`MIN_BAD`] are used.
const MIN_SLICES: u32 = 3;

/// The same for doubts.
const MIN_DOUBTFUL_SLICES: u32 = 2;

/// Answers of the version in force in a stratum to compare with. Slices are merged backwards until
/// they hold as many; a 90th percentile of fewer varies by more than a bucket.
const REFERENCE_ANSWERS: u64 = 30;

/// Slices of the version in force that are kept (9.6 s), for services with little traffic.
const KEPT_SLICES: usize = 48;

/// Slices without answers of the version in force (2.8 s) after which times are no longer compared:
/// from draining on, a burst would look like a slow version.
const STALE_SLICES: usize = 14;

/// Part of the traffic from which on a good verdict needs evidence on a stratum.
const MIN_TRAFFIC: f64 = 0.05;

/// Part of the answers that end within the time that is left for running ones.
const TAIL_PART: f64 = 0.99;

/// The requests whose answers are summed up.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Cell {
    All,
    Route(Name),
    Stratum(Stratum),
}

/// What the evidence says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// The candidate is worse than the version in force.
    Bad,
    /// The candidate is like the version in force.
    Good,
    /// There is not enough evidence, and what there is speaks against the candidate.
    Doubtful,
    /// There is not enough evidence.
    Open,
}

/// What the evidence says, with its figures as text for people.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// What the evidence says.
    pub judgement: Judgement,
    /// Whether recent answers on a route fit a bad version better, however few they are.
    pub is_suspect: bool,
    /// Whether all answers taken together show a good version.
    pub is_likely_good: bool,
    /// The figures.
    pub why: String,
}

/// Compares the candidate of one order with the version in force.
#[derive(Debug)]
pub struct Comparison {
    order: u64,
    weakening: Option<Weakening>,
    totals: Totals,
    /// What was counted since the newest slice ended.
    current: EntrySlices,
    current_since: Option<Millis>,
    /// Number of slices that ended.
    slices: u64,
    /// Answers of the version in force in the newest slices, the newest last.
    reference: VecDeque<Tallies>,
    /// All answers of the version in force.
    stable: Tallies,
    endpoints: BTreeMap<Name, BTreeMap<Cell, Track>>,
    verdict: Verdict,
}

/// The votes of endpoints on one measure in one cell.
#[derive(Debug, Default, Clone, Copy)]
struct Votes {
    used: usize,
    bad: usize,
    fine: usize,
    /// The least number of slices with evidence against an endpoint.
    slices_against: u32,
}

/// The evidence of all endpoints together.
#[derive(Debug, Clone, Copy)]
struct Together {
    used: usize,
    /// Endpoints with evidence against them.
    against: usize,
    evidence: f64,
}

impl Comparison {
    /// Creates a comparison without evidence.
    pub(crate) fn new(order: u64, weakening: Option<Weakening>) -> Self {
        Self {
            order,
            weakening,
            totals: Totals::default(),
            current: EntrySlices::default(),
            current_since: None,
            slices: 0,
            reference: VecDeque::new(),
            stable: Tallies::new(),
            endpoints: BTreeMap::new(),
            verdict: Verdict {
                judgement: Judgement::Open,
                is_suspect: false,
                is_likely_good: false,
                why: "no answers yet".into(),
            },
        }
    }

    /// Adds what entry instances have reported, and evaluates it once a slice has ended.
    pub(crate) fn observe(&mut self, now: Millis, view: &RolloutView<'_>) {
        for entry in &view.entries {
            let slice = self.current.of(entry.entry);
            self.totals.observe(self.order, entry, self.weakening, slice);
        }
        let since = *self.current_since.get_or_insert(now);
        if now - since >= SLICE {
            self.current_since = Some(now);
            self.end_slice();
            self.verdict = self.evaluate(&view.pool);
        }
    }

    /// Returns what the slices that ended say.
    pub(crate) const fn verdict(&self) -> &Verdict {
        &self.verdict
    }

    /// Returns the number of answers of the candidate.
    pub(crate) fn answers(&self) -> u64 {
        self.tracks(&Cell::All).map(|track| track.answers).sum()
    }

    /// Returns the requests that each entry instance has sent in total and to the candidate.
    pub(crate) fn requests(&self) -> Vec<(u64, u64)> {
        self.totals.requests()
    }

    /// Returns the duration within which all but one of so many running answers of the version in
    /// force end, at least the 99th percentile.
    pub(crate) fn stable_tail(&self, running: u64, elapsed: Millis) -> Option<Millis> {
        let mut all = Tally::default();
        self.stable.values().for_each(|tally| all.add(tally));
        let part = (1.0 - 1.0 / running.max(1) as f64).max(TAIL_PART);
        duration_at(&all.whole, part, elapsed)
    }

    fn end_slice(&mut self) {
        let slice = self.current.end(self.weakening);
        self.slices += 1;
        for (stratum, tally) in &slice.stable {
            self.stable.entry(stratum.clone()).or_default().add(tally);
        }
        let keeps_first = self.weakening == Some(Weakening::OldReference);
        if !keeps_first || self.reference.iter().all(Tallies::is_empty) {
            self.reference.push_back(slice.stable);
        }
        if self.reference.len() > KEPT_SLICES {
            self.reference.pop_front();
        }
        let overall = self.overall_failure_rate();
        let mut references = BTreeMap::new();
        for (endpoint, tallies) in slice.candidate {
            let mut cells: BTreeMap<Cell, (u64, [Sample; MEASURES.len()])> = BTreeMap::new();
            for (stratum, tally) in &tallies {
                let reference = references
                    .entry(stratum.clone())
                    .or_insert_with(|| self.reference_of(stratum, overall));
                let samples = MEASURES.map(|measure| reference.compare(measure, tally));
                let route = Cell::Route(stratum.route.clone());
                for cell in [Cell::All, route, Cell::Stratum(stratum.clone())] {
                    let (answers, sums) = cells.entry(cell).or_default();
                    *answers += tally.answers;
                    sums.iter_mut().zip(&samples).for_each(|(sum, sample)| sum.add(sample));
                }
            }
            let tracks = self.endpoints.entry(endpoint).or_default();
            let is_capped = self.weakening != Some(Weakening::OneEndpointDecides);
            for (cell, (answers, samples)) in cells {
                let track = tracks.entry(cell).or_default();
                track.answers += answers;
                for (series, sample) in track.series.iter_mut().zip(&samples) {
                    series.push(self.slices, sample, is_capped);
                }
            }
        }
    }

    /// Returns the probability that an answer of the version in force fails, whatever the stratum.
    fn overall_failure_rate(&self) -> f64 {
        let (mut answers, mut failures) = (0, 0);
        for tallies in self.reference.iter().rev() {
            answers += tallies.values().map(|tally| tally.answers).sum::<u64>();
            failures += tallies.values().map(|tally| tally.failures).sum::<u64>();
            if answers >= RATE_ANSWERS {
                break;
            }
        }
        match answers {
            0 => UNKNOWN_FAILURE_RATE,
            _ => (failures as f64 + 0.5) / (answers as f64 + 1.0),
        }
    }

    /// Merges slices of the version in force, from the newest on, until they hold enough answers.
    fn reference_of(&self, stratum: &Stratum, overall: f64) -> Reference {
        let mut merged = Tally::default();
        let mut is_fresh = false;
        for (age, tallies) in self.reference.iter().rev().enumerate() {
            let Some(tally) = tallies.get(stratum) else { continue };
            is_fresh |= age < STALE_SLICES;
            merged.add(tally);
            if merged.answers >= REFERENCE_ANSWERS {
                break;
            }
        }
        Reference::new(&merged, overall, is_fresh)
    }

    fn tracks<'a>(&'a self, cell: &'a Cell) -> impl Iterator<Item = &'a Track> {
        self.endpoints.values().filter_map(move |cells| cells.get(cell))
    }

    fn cells(&self) -> Vec<Cell> {
        let mut cells: Vec<Cell> =
            self.endpoints.values().flat_map(BTreeMap::keys).cloned().collect();
        cells.sort_unstable();
        cells.dedup();
        if self.weakening == Some(Weakening::AllRoutesTogether) {
            cells.retain(|cell| *cell == Cell::All);
        }
        cells
    }

    fn measures(&self) -> impl Iterator<Item = Measure> {
        let ignored = match self.weakening {
            Some(Weakening::IgnoreFailures) => Some(Measure::Failures),
            Some(Weakening::IgnoreFirstParts) => Some(Measure::FirstParts),
            Some(Weakening::IgnorePauses) => Some(Measure::Pauses),
            _ => None,
        };
        MEASURES.into_iter().filter(move |measure| Some(*measure) != ignored)
    }

    fn evaluate(&self, pool: &PoolView) -> Verdict {
        // While few have answered yet, the others count too: one slow machine that answers first must
        // not decide alone.
        let used = self.tracks(&Cell::All).count().max(pool.candidate_ready as usize);
        let excused = match self.weakening {
            Some(Weakening::NeverExcuseCrashes) => 0,
            _ => excused_crashes(pool, self.tracks(&Cell::All).count()),
        };
        if let Some(why) = crashing(pool) {
            return Verdict {
                judgement: Judgement::Bad,
                is_suspect: true,
                is_likely_good: false,
                why,
            };
        }
        let cells = self.cells();
        let mut doubt = None;
        let mut is_suspect = false;
        for cell in &cells {
            let tracks: Vec<&Track> = self.tracks(cell).collect();
            for measure in self.measures() {
                let votes = votes(&tracks, measure);
                if votes.are_bad(used, excused) {
                    return self.verdict_on(Judgement::Bad, cell, measure, &votes, None);
                }
                let together = self.together(&tracks, measure, None, excused);
                let is_stratum = matches!(cell, Cell::Stratum(_));
                let decisive = match cell {
                    Cell::All => DECISIVE,
                    Cell::Route(_) => DECISIVE_ON_ROUTE,
                    Cell::Stratum(_) => DECISIVE_IN_STRATUM,
                };
                if self.is_bad_together(used, &together, decisive) {
                    return self.verdict_on(Judgement::Bad, cell, measure, &votes, Some(together));
                }
                let recent = WINDOWS.map(|w| self.together(&tracks, measure, Some(w), excused));
                let bad = recent.iter().find(|r| self.is_bad_together(used, r, decisive));
                if let Some(recent) = bad.copied() {
                    return self.verdict_on(Judgement::Bad, cell, measure, &votes, Some(recent));
                }
                is_suspect |= !is_stratum && recent.iter().any(|sum| sum.is_doubtful(used, 2, 0.0));
                let bound = match measure {
                    _ if is_stratum => DECISIVE,
                    Measure::Failures => DOUBTFUL_FAILURES,
                    Measure::FirstParts | Measure::Pauses => DOUBTFUL_TIMES,
                };
                let least = if *cell == Cell::All { 2 } else { MIN_BAD };
                // One failed answer of one or two endpoints must not outweigh all earlier ones.
                let recent = recent.into_iter().filter(|_| used >= MIN_BAD);
                let is_lasting = used >= MIN_BAD || votes.slices_against >= MIN_DOUBTFUL_SLICES;
                let mut sums = recent.chain([together]).filter(|_| is_lasting);
                if let Some(sum) = sums.find(|sum| sum.is_doubtful(used, least, bound)) {
                    doubt.get_or_insert((cell, measure, votes, sum));
                }
            }
        }
        if let Some((cell, measure, votes, sum)) = doubt {
            return self.verdict_on(Judgement::Doubtful, cell, measure, &votes, Some(sum));
        }
        let judgement = match self.is_good(excused) {
            true => Judgement::Good,
            false => Judgement::Open,
        };
        let tracks: Vec<&Track> = self.tracks(&Cell::All).collect();
        let votes = votes(&tracks, Measure::Failures);
        let verdict = self.verdict_on(judgement, &Cell::All, Measure::Failures, &votes, None);
        let is_fine = |measure: Measure| {
            let together = self.together(&tracks, measure, None, excused);
            together.evidence <= -DECISIVE || (together.used == 0 && measure == Measure::Pauses)
        };
        let is_likely_good = !is_suspect && MEASURES.into_iter().all(is_fine);
        Verdict { is_suspect, is_likely_good, ..verdict }
    }

    /// Sums the evidence of all endpoints over the newest slices, or all, without those endpoints that
    /// have most of it. One endpoint counts as no more than a vote.
    fn together(
        &self,
        tracks: &[&Track],
        measure: Measure,
        window: Option<u64>,
        excused: usize,
    ) -> Together {
        let evidence = |track: &&Track| {
            let series = &track.series[measure as usize];
            (series.compared > 0).then(|| match window {
                Some(window) => series.since(self.slices.saturating_sub(window)),
                None => series.total,
            })
        };
        let mut all: Vec<f64> = tracks.iter().filter_map(evidence).collect();
        if window.is_some() {
            all.retain(|evidence| *evidence != 0.0);
        }
        let used = all.len();
        let against = all.iter().filter(|evidence| **evidence > 0.0).count();
        if self.weakening == Some(Weakening::OneEndpointDecides) {
            return Together { used, against, evidence: all.iter().sum() };
        }
        let least = usize::from(measure != Measure::Failures);
        let trimmed = match used < MIN_BAD {
            true => 0,
            false => ((used as f64 * TRIMMED) as usize).max(least).max(excused.min(used / 2)),
        };
        all.sort_unstable_by(|a, b| b.total_cmp(a));
        let evidence = all.iter().skip(trimmed).map(|evidence| evidence.min(ENDPOINT_CAP)).sum();
        Together { used, against, evidence }
    }

    fn is_bad_together(&self, used: usize, together: &Together, decisive: f64) -> bool {
        let is_decisive = together.evidence >= decisive;
        let are_enough = used >= MIN_BAD && together.against >= MIN_BAD;
        is_decisive && (are_enough || self.weakening == Some(Weakening::OneEndpointDecides))
    }

    /// Returns whether each stratum with enough traffic has the evidence for a good version.
    fn is_good(&self, excused: usize) -> bool {
        let mut traffic: BTreeMap<&Stratum, u64> = BTreeMap::new();
        for (stratum, tally) in &self.stable {
            *traffic.entry(stratum).or_default() += tally.answers;
        }
        for (cell, track) in self.endpoints.values().flatten() {
            if let Cell::Stratum(stratum) = cell {
                *traffic.entry(stratum).or_default() += track.answers;
            }
        }
        let all: u64 = traffic.values().sum();
        let mut main = traffic.iter().filter(|(_, n)| **n as f64 >= MIN_TRAFFIC * all as f64);
        let is_fine = |stratum: &Stratum| {
            let stable = self.stable.get(stratum);
            let cell = Cell::Stratum(stratum.clone());
            let tracks: Vec<&Track> = self.tracks(&cell).collect();
            self.measures().all(|measure| {
                let is_measured = match (measure, stable) {
                    (Measure::Failures, _) => true,
                    (Measure::FirstParts, Some(stable)) => stable.first.total() >= MIN_REFERENCE,
                    (Measure::Pauses, Some(stable)) => stable.pauses.total() >= MIN_REFERENCE,
                    (_, None) => false,
                };
                let together = self.together(&tracks, measure, None, excused);
                !is_measured || together.evidence <= -DECISIVE
            })
        };
        all > 0 && main.all(|(stratum, _)| is_fine(stratum))
    }

    fn verdict_on(
        &self,
        judgement: Judgement,
        cell: &Cell,
        measure: Measure,
        votes: &Votes,
        together: Option<Together>,
    ) -> Verdict {
        let (mut compared, mut adverse) = (0, 0);
        for track in self.tracks(cell) {
            compared += track.series[measure as usize].compared;
            adverse += track.series[measure as usize].adverse;
        }
        let (mut answers, mut failures) = (0, 0);
        for (_, tally) in self.stable.iter().filter(|(stratum, _)| cell.contains(stratum)) {
            answers += tally.answers;
            failures += tally.failures;
        }
        let adverse_word = match measure {
            Measure::Failures => "failed",
            Measure::FirstParts => "had a slow first part",
            Measure::Pauses => "had a slow pause",
        };
        let Votes { used, bad, fine, .. } = *votes;
        let mut why = format!(
            "{cell}: {adverse} of {compared} answers of the candidate {adverse_word}; votes of \
             {used} endpoints: {bad} bad, {fine} fine; {failures} of {answers} answers of the \
             version in force failed"
        );
        if let Some(Together { against, evidence, .. }) = together {
            why += &format!("; evidence {evidence:.1}, with {against} endpoints against it");
        }
        Verdict { judgement, is_suspect: true, is_likely_good: false, why }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let judgement = match self.judgement {
            Judgement::Bad => "bad",
            Judgement::Good => "good",
            Judgement::Doubtful => "doubtful",
            Judgement::Open => "open",
        };
        write!(f, "{judgement}; {}", self.why)
    }
}

impl Votes {
    fn are_bad(&self, used: usize, excused: usize) -> bool {
        let bad = self.bad.saturating_sub(excused);
        if used < MIN_BAD {
            return bad > 0 && bad == used && self.slices_against >= MIN_SLICES;
        }
        bad >= MIN_BAD
            && bad as f64 >= BAD_MAJORITY * (bad + self.fine) as f64
            && bad as f64 >= BAD_QUORUM * self.used as f64
    }
}

impl Together {
    /// Returns whether there is that much evidence, against `least` endpoints and most of them.
    fn is_doubtful(&self, used: usize, least: usize, bound: f64) -> bool {
        let are_enough = match used < MIN_BAD {
            true => self.against == used,
            false => self.against >= least && self.against * 2 > self.used,
        };
        are_enough && self.evidence >= bound
    }
}

impl Cell {
    fn contains(&self, stratum: &Stratum) -> bool {
        match self {
            Self::All => true,
            Self::Route(route) => *route == stratum.route,
            Self::Stratum(own) => own == stratum,
        }
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::All => f.write_str("all routes"),
            Self::Route(route) => write!(f, "route {route}"),
            Self::Stratum(stratum) => write!(f, "route {} size {}", stratum.route, stratum.size),
        }
    }
}

/// Returns the votes of these endpoints.
fn votes(tracks: &[&Track], measure: Measure) -> Votes {
    let mut votes = Votes { slices_against: u32::MAX, ..Votes::default() };
    for track in tracks {
        let series = &track.series[measure as usize];
        if series.compared == 0 {
            continue;
        }
        votes.used += 1;
        votes.slices_against = votes.slices_against.min(series.slices_against);
        if series.against >= DECISIVE {
            votes.bad += 1;
        } else if series.total <= -DECISIVE {
            votes.fine += 1;
        }
    }
    votes
}

/// Returns the number of bad votes that crashes explain, if no larger part of the candidate's
/// endpoints crashed than of the others: those to be expected among the used ones.
fn excused_crashes(pool: &PoolView, used: usize) -> usize {
    let part = crashed_part(pool.candidate_crashed, pool.candidate_ready);
    let is_excused = part <= crashed_part(pool.stable_crashed, pool.stable_ready);
    if is_excused { (part * used as f64).ceil() as usize } else { 0 }
}

/// Returns the figures if so many endpoints of the candidate crashed that it is bad.
fn crashing(pool: &PoolView) -> Option<String> {
    let crashed = pool.candidate_crashed;
    let part = crashed_part(crashed, pool.candidate_ready);
    let stable_part = crashed_part(pool.stable_crashed, pool.stable_ready);
    let is_bad = crashed as usize >= MIN_BAD && part >= BAD_MAJORITY && part > 2.0 * stable_part;
    is_bad.then(|| {
        format!(
            "{crashed} endpoints of the candidate crashed and {} are ready; {} of the version in \
             force crashed and {} are ready",
            pool.candidate_ready, pool.stable_crashed, pool.stable_ready
        )
    })
}

fn crashed_part(crashed: u32, ready: u32) -> f64 {
    f64::from(crashed) / f64::from((crashed + ready).max(1))
}
