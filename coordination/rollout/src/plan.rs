//! The leader's decisions on an order.

use std::collections::BTreeMap;

use sill_base::{Millis, Name};
use sill_wire::rollout::{RolloutPhase, RolloutReport};
use sill_wire::{Incarnation, Software};

use crate::verdict::{Comparison, Judgement};
use crate::{RolloutBounds, Weakening};

/// Part of the bound on the exposure that a candidate gets while it is probed. The rest is for
/// requests that are sent between a verdict and its arrival.
const PROBED_PART: f64 = 0.9;

/// Part of the slack that a share for little traffic may use. The rest covers the credit that entry
/// instances hold when the share falls again.
const SLACK_PART: f64 = 0.6;

/// Multiples of the share while probing. Few, since each change is an entry in the log.
const SHARE_FACTORS: [f64; 6] = [5.0, 4.0, 3.0, 2.0, 1.5, 1.0];

/// Part of the requests that is left out of a higher share's budget, so that a rate that varies
/// does not change the share to and fro.
const RAISE_MARGIN: f64 = 0.1;

/// Time after the order, and between two rises of the share, in which the rate of requests is
/// measured.
const RATE_TIME: Millis = Millis(1000);

/// Lower bound on the endpoints that are probed. Three have to vote bad, also if one crashes.
const MIN_PROBED: u32 = 4;

/// Part of the duration before which shifting does not begin, for orders so short that nothing
/// would be left for probing.
const MIN_PROBING_PART: f64 = 0.3;

/// Part of the duration for which a candidate is probed whose first endpoint became ready late.
const LATE_PROBING_PART: f64 = 0.15;

/// Share and duration of the first step after probing, which shows how the candidate carries more
/// load before all requests go to it.
const SHIFT_SHARE: f64 = 0.3;
const SHIFT_TIME: Millis = Millis(500);

/// Time for which the candidate has to carry the whole load.
const LOAD_TIME: Millis = Millis(1000);

/// Time from the begin of draining until entry instances have heard of it, and from the end of the
/// last answer until the leader has: polls every 250 ms, reports forwarded and evaluated every 200 ms.
const DECISION_TIME: Millis = Millis(800);

/// Part of the ready slots of the version in force that the candidate needs to take its load.
const MIN_SLOTS_PART: f64 = 0.5;

/// Time before the deadline at which an order is to end: at least [`MIN_RESERVE`], and this part of
/// the duration.
const RESERVE_PART: f64 = 0.1;
const MIN_RESERVE: Millis = Millis(1000);

/// Bounds on the time that running answers are expected to take to end, the upper one as a part of
/// the duration: a few endless answers must not leave nothing for probing.
const MIN_TAIL: Millis = Millis(500);
const MAX_TAIL_PART: f64 = 0.4;

/// Time after which an entry instance that does not report is no longer waited for. It has lost the
/// control instances by then, and sends the candidate nothing after 2 s.
const SILENCE_LIMIT: Millis = Millis(4000);

/// Time after the deadline for which running answers are waited for. Late is better for callers
/// than a cut answer.
const OVERTIME: Millis = Millis(15_000);

/// How many times more of its requests than the version in force, and by how many, a candidate may
/// have left without an end when shifting is due. A version that is four times slower has less than
/// three times as many, and is seen by its times; one that never answers has no times.
const STUCK_FACTOR: f64 = 3.0;
const STUCK_MARGIN: f64 = 5.0;

/// Time in which a new leader hears of all counts: two reports, forwarded, and a time slice.
const EVIDENCE_TIME: Millis = Millis(1000);

/// The replicated state of an order in progress.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderState {
    /// The order: the index of its entry in the replicated log.
    pub order: u64,
    /// The log index of the newest decision on the service.
    pub step: u64,
    /// The service.
    pub service: Name,
    /// The version in force, if one was established.
    pub stable: Option<Software>,
    /// The version that was ordered.
    pub to: Software,
    /// When it was ordered, in true time.
    pub ordered_at: Millis,
    /// Time from the order to its deadline.
    pub duration: Millis,
    /// The phase.
    pub phase: RolloutPhase,
    /// When the phase and share were decided, in true time.
    pub decided_at: Millis,
    /// The part of the requests that the candidate may get.
    pub share: f64,
    /// Number of the candidate's endpoints that are used while probing.
    pub endpoints: u32,
}

/// What the leader knows of one entry instance.
#[derive(Debug, Clone)]
pub struct EntryView<'a> {
    /// The entry instance.
    pub entry: &'a Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Age of its newest report.
    pub age: Millis,
    /// Its counts, if it has learned of an order of the service.
    pub report: Option<&'a RolloutReport>,
}

/// The ready endpoints of a service, and those that ended, by version.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PoolView {
    /// Ready endpoints of the candidate.
    pub candidate_ready: u32,
    /// Their slots.
    pub candidate_slots: u32,
    /// Endpoints of the candidate that ended without notice since the order.
    pub candidate_crashed: u32,
    /// Ready endpoints of other versions.
    pub stable_ready: u32,
    /// Their slots.
    pub stable_slots: u32,
    /// Endpoints of other versions that ended without notice since the order.
    pub stable_crashed: u32,
}

/// What a decision on an order is based on.
#[derive(Debug, Clone)]
pub struct RolloutView<'a> {
    /// The entry instances that have reported within the last 15 s, each once.
    pub entries: Vec<EntryView<'a>>,
    /// Number of entry instances that are known, reporting or not.
    pub expected_entries: u32,
    /// The endpoints.
    pub pool: PoolView,
    /// Whether the configuration in force names the service.
    pub is_configured: bool,
}

/// A decision on an order, to be written to the replicated log.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// The order goes on like this.
    Set {
        /// The phase; never an earlier one than before.
        phase: RolloutPhase,
        /// The part of the requests that the candidate may get.
        share: f64,
        /// Number of the candidate's endpoints that are used while probing.
        endpoints: u32,
        /// The figures behind the decision, as text for people.
        why: String,
    },
    /// The candidate becomes the version in force.
    Complete {
        /// The figures behind the decision, as text for people.
        why: String,
    },
    /// The candidate is rejected.
    Revert {
        /// The figures behind the decision, as text for people.
        why: String,
    },
}

/// Decides on one order. It keeps the evidence of earlier evaluations.
#[derive(Debug)]
pub struct Planner {
    bounds: RolloutBounds,
    weakening: Option<Weakening>,
    progress: Option<Progress>,
}

/// What a planner has learned of the order in progress. All of it but times comes from cumulative
/// counts, so a new planner learns it within [`EVIDENCE_TIME`].
#[derive(Debug)]
struct Progress {
    order: u64,
    /// When this planner first saw the order.
    since: Millis,
    comparison: Comparison,
    /// When this planner first saw a ready endpoint of the candidate; zero if requests had been sent
    /// to it before.
    ready_since: Option<Millis>,
    /// When each entry instance was first seen.
    seen: BTreeMap<Name, (Incarnation, Millis)>,
}

/// When the phases of an order are due.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    /// When shifting is due.
    shift: Millis,
    /// Until when doubts delay shifting.
    shift_latest: Millis,
    /// Until when doubts delay draining.
    drain_latest: Millis,
    /// Until when doubts and silent entry instances delay the end.
    finish_latest: Millis,
    deadline: Millis,
}

/// What has to end before an order completes.
#[derive(Debug, Default, Clone, Copy)]
struct Pending {
    /// Requests that run at endpoints of other versions.
    running: u64,
    /// Entry instances that have not reported since the phase began.
    unreported: u64,
}

/// Returns the part of the requests that a candidate gets when an order begins.
pub fn initial_share(bounds: &RolloutBounds) -> f64 {
    PROBED_PART * bounds.share
}

/// Returns how many endpoints of a candidate are probed, so that each has the load of one of the
/// version in force: a version that is bad under load only is not seen otherwise.
pub fn probed_endpoints(share: f64, stable_ready: u32) -> u32 {
    ((share * f64::from(stable_ready)).ceil() as u32).max(MIN_PROBED)
}

impl Planner {
    /// Creates the planner of an order, without evidence.
    pub fn new(bounds: RolloutBounds) -> Self {
        Self { bounds, weakening: None, progress: None }
    }

    /// Creates a planner without one of its rules, for tests.
    pub fn weakened(bounds: RolloutBounds, weakening: Option<Weakening>) -> Self {
        Self { bounds, weakening, progress: None }
    }

    /// Evaluates an order at `now`, in true time; returns a decision if there is one.
    pub fn step(
        &mut self,
        now: Millis,
        order: &OrderState,
        view: &RolloutView<'_>,
    ) -> Option<Step> {
        let Self { bounds, weakening, progress } = self;
        if !view.is_configured && *weakening != Some(Weakening::IgnoreConfiguration) {
            let why = "the configuration in force does not name the service".into();
            return Some(Step::Revert { why });
        }
        let progress = match progress {
            Some(progress)
                if progress.order == order.order || *weakening == Some(Weakening::KeepEvidence) =>
            {
                progress
            }
            other => other.insert(Progress::new(now, order.order, *weakening)),
        };
        progress.observe(now, order, view);
        let verdict = progress.comparison.verdict();
        let is_probing = order.phase == RolloutPhase::Probing;
        let is_watched = is_probing || *weakening != Some(Weakening::VerdictWhileProbingOnly);
        if verdict.judgement == Judgement::Bad && is_watched {
            return Some(Step::Revert { why: verdict.why.clone() });
        }
        let schedule = Schedule::new(now, order, progress, view);
        if now >= schedule.deadline && view.pool.candidate_ready == 0 {
            let why = "the candidate has no ready endpoint at the deadline".into();
            return Some(Step::Revert { why });
        }
        // A new leader does not know the counts yet.
        let is_uninformed = now - progress.since < EVIDENCE_TIME && order.share > 0.0;
        if is_uninformed && *weakening != Some(Weakening::DecideUninformed) {
            return None;
        }
        if now >= schedule.deadline
            && let Some(step) = progress.overdue(now, order, view, schedule, *weakening)
        {
            return Some(step);
        }
        match order.phase {
            RolloutPhase::Probing => progress.probe(now, order, view, schedule, bounds, *weakening),
            RolloutPhase::Shifting => progress.shift(now, order, view, schedule),
            RolloutPhase::Draining => progress.drain(now, order, view, schedule, *weakening),
        }
    }
}

impl Progress {
    fn new(now: Millis, order: u64, weakening: Option<Weakening>) -> Self {
        Self {
            order,
            since: now,
            comparison: Comparison::new(order, weakening),
            ready_since: None,
            seen: BTreeMap::new(),
        }
    }

    fn observe(&mut self, now: Millis, order: &OrderState, view: &RolloutView<'_>) {
        self.comparison.observe(now, view);
        if self.ready_since.is_none() && view.pool.candidate_ready > 0 {
            self.ready_since = Some(now);
        }
        // A new leader hears of the requests that were sent before it led.
        let is_new = self.since > order.ordered_at + EVIDENCE_TIME;
        if is_new && now - self.since < EVIDENCE_TIME && self.has_requests() {
            self.ready_since = Some(Millis::ZERO);
        }
        for entry in &view.entries {
            let is_known = self.seen.get(entry.entry).is_some_and(|(i, _)| *i == entry.incarnation);
            if !is_known {
                self.seen.insert(entry.entry.clone(), (entry.incarnation, now));
            }
        }
        self.seen.retain(|name, _| view.entries.iter().any(|entry| entry.entry == name));
    }

    fn has_requests(&self) -> bool {
        self.comparison.requests().iter().any(|(_, to_candidate)| *to_candidate > 0)
    }

    /// Decides on an order that is past its deadline and would not end by itself.
    fn overdue(
        &self,
        now: Millis,
        order: &OrderState,
        view: &RolloutView<'_>,
        schedule: Schedule,
        weakening: Option<Weakening>,
    ) -> Option<Step> {
        let verdict = self.comparison.verdict();
        let has_evidence =
            self.comparison.answers() > 0 || weakening == Some(Weakening::ContinueUnled);
        let was_led = self.since < schedule.deadline;
        let goes_on = match order.phase {
            RolloutPhase::Probing => verdict.judgement == Judgement::Good || verdict.is_likely_good,
            RolloutPhase::Shifting => has_evidence && verdict.judgement != Judgement::Doubtful,
            RolloutPhase::Draining => {
                (was_led || has_evidence) && verdict.judgement != Judgement::Doubtful
            }
        };
        let goes_on = goes_on || (weakening == Some(Weakening::ContinueUnled) && !was_led);
        let late = (now - schedule.deadline).0;
        if !goes_on {
            let why = format!("{late} ms past the deadline without a good verdict; {verdict}");
            return Some(Step::Revert { why });
        }
        if order.phase == RolloutPhase::Draining {
            return None;
        }
        let pool = &view.pool;
        if !has_slots(pool) {
            let (candidate, stable) = (pool.candidate_slots, pool.stable_slots);
            let why = format!(
                "{late} ms past the deadline the candidate has {candidate} ready slots, other versions \
                 {stable}; {verdict}"
            );
            return Some(Step::Revert { why });
        }
        let why = format!("{late} ms past the deadline; {verdict}");
        Some(set(RolloutPhase::Draining, 1.0, view.pool.candidate_ready, why))
    }

    fn probe(
        &self,
        now: Millis,
        order: &OrderState,
        view: &RolloutView<'_>,
        schedule: Schedule,
        bounds: &RolloutBounds,
        weakening: Option<Weakening>,
    ) -> Option<Step> {
        let verdict = self.comparison.verdict();
        let is_early =
            weakening == Some(Weakening::ShiftEarly) && verdict.judgement == Judgement::Good;
        if now < schedule.shift && !is_early {
            return self.change_share(now, order, view, schedule, bounds, weakening);
        }
        let is_ready = has_slots(&view.pool) && view.pool.candidate_ready > 0;
        if !is_ready && weakening != Some(Weakening::IgnoreReadiness) {
            return None;
        }
        let is_careful = weakening != Some(Weakening::ShiftAgainstEvidence);
        if verdict.judgement == Judgement::Doubtful && is_careful {
            let why = format!("evidence against the candidate when shifting was due; {verdict}");
            return (now >= schedule.shift_latest).then_some(Step::Revert { why });
        }
        if let Some(why) = stuck(view, order).filter(|_| weakening != Some(Weakening::IgnoreStuck))
        {
            return (now >= schedule.shift_latest).then_some(Step::Revert { why });
        }
        if verdict.is_suspect && now < schedule.shift_latest && is_careful {
            return None;
        }
        let why = format!("shifting was due; {verdict}");
        Some(set(RolloutPhase::Shifting, SHIFT_SHARE, view.pool.candidate_ready, why))
    }

    fn shift(
        &self,
        now: Millis,
        order: &OrderState,
        view: &RolloutView<'_>,
        schedule: Schedule,
    ) -> Option<Step> {
        let verdict = self.comparison.verdict();
        if verdict.judgement == Judgement::Doubtful {
            let why = format!("evidence against the candidate while it took over; {verdict}");
            return (now >= schedule.finish_latest).then_some(Step::Revert { why });
        }
        if now - order.decided_at < SHIFT_TIME || !has_slots(&view.pool) {
            return None;
        }
        if verdict.is_suspect && now < schedule.drain_latest {
            return None;
        }
        let why = format!("the candidate carried a larger share; {verdict}");
        Some(set(RolloutPhase::Draining, 1.0, view.pool.candidate_ready, why))
    }

    fn drain(
        &self,
        now: Millis,
        order: &OrderState,
        view: &RolloutView<'_>,
        schedule: Schedule,
        weakening: Option<Weakening>,
    ) -> Option<Step> {
        let verdict = self.comparison.verdict();
        let is_late = now >= schedule.finish_latest;
        if verdict.judgement == Judgement::Doubtful {
            let why = format!("evidence against the candidate while it drained; {verdict}");
            return is_late.then_some(Step::Revert { why });
        }
        let is_carried = has_slots(&view.pool) || now >= schedule.deadline;
        if now - order.decided_at < LOAD_TIME || view.pool.candidate_ready == 0 || !is_carried {
            return None;
        }
        let pending = self.pending(now, order, view);
        let waits_for_silent = match weakening {
            Some(Weakening::WaitForSilent) => {
                let reported = view.entries.iter().filter(|e| reported_under(e, order).is_some());
                (reported.count() as u32) < view.expected_entries && now < schedule.deadline
            }
            _ => pending.unreported > 0 && !is_late,
        };
        let waits_for_running = pending.running > 0
            && now < schedule.deadline + OVERTIME
            && weakening != Some(Weakening::IgnoreRunning);
        if waits_for_silent || waits_for_running {
            return None;
        }
        let Pending { running, unreported } = pending;
        let why = format!(
            "{running} requests run at other versions, {unreported} entry instances have not \
             reported; {verdict}"
        );
        Some(Step::Complete { why })
    }

    fn pending(&self, now: Millis, order: &OrderState, view: &RolloutView<'_>) -> Pending {
        let mut pending = Pending::default();
        for entry in &view.entries {
            let is_silent = entry.age >= SILENCE_LIMIT;
            match reported_under(entry, order) {
                Some(report) if !is_silent => {
                    pending.running += u64::from(report.running_elsewhere)
                }
                Some(_) => {}
                None => {
                    let seen = self.seen.get(entry.entry).map_or(now, |(_, seen)| *seen);
                    let since = seen.max(order.decided_at);
                    let is_waited_for = !is_silent && now - since < SILENCE_LIMIT;
                    pending.unreported += u64::from(is_waited_for);
                }
            }
        }
        // An old planner would have seen them within the 15 s of its view.
        if now - self.since < SILENCE_LIMIT {
            let missing = view.expected_entries.saturating_sub(view.entries.len() as u32);
            pending.unreported += u64::from(missing);
        }
        pending
    }

    /// Returns the change of the share and of the endpoints while probing, if there is one.
    fn change_share(
        &self,
        now: Millis,
        order: &OrderState,
        view: &RolloutView<'_>,
        schedule: Schedule,
        bounds: &RolloutBounds,
        weakening: Option<Weakening>,
    ) -> Option<Step> {
        let base = initial_share(bounds);
        let current = order.share;
        let verdict = self.comparison.verdict();
        let mut share = if current > 0.0 { current } else { base };
        if let Some(factor) = self.share_factor(now, order, schedule, bounds, 0.0) {
            share = share.min(factor * base);
        }
        let may_rise = now - order.ordered_at >= RATE_TIME
            && now - order.decided_at >= RATE_TIME
            && verdict.judgement == Judgement::Open
            && weakening != Some(Weakening::FixedShare);
        if may_rise
            && let Some(factor) = self.share_factor(now, order, schedule, bounds, RAISE_MARGIN)
        {
            share = share.max(factor * base);
        }
        let endpoints = match weakening {
            Some(Weakening::ProbeAll) => u32::MAX / 2,
            _ => probed_endpoints(share, view.pool.stable_ready),
        };
        // A changed number moves requests between endpoints, so small differences are ignored.
        let is_moved = endpoints > order.endpoints + order.endpoints / 2;
        if (share - current).abs() < 1e-9 && !is_moved {
            return None;
        }
        let why = format!("share of the requests for probing; {verdict}");
        Some(set(RolloutPhase::Probing, share, endpoints, why))
    }

    /// Returns the highest multiple of the initial share with which the requests that the candidate
    /// has got, and is expected to get until shifting is due, stay within the bound.
    fn share_factor(
        &self,
        now: Millis,
        order: &OrderState,
        schedule: Schedule,
        bounds: &RolloutBounds,
        margin: f64,
    ) -> Option<f64> {
        let elapsed = (now - order.ordered_at).as_secs_f64();
        let remaining = (schedule.shift - now).as_secs_f64();
        let growth = 1.0 + remaining / elapsed.max(0.1);
        let requests = self.comparison.requests();
        let sent: u64 = requests.iter().map(|(sent, _)| sent).sum();
        if sent == 0 {
            return None;
        }
        let budget = bounds.share * sent as f64 * growth + SLACK_PART * bounds.slack;
        let is_within = |factor: &&f64| {
            let share = **factor * initial_share(bounds);
            let expected = |(sent, to_candidate): &(u64, u64)| {
                (share * *sent as f64 * growth).max(*to_candidate as f64)
            };
            requests.iter().map(expected).sum::<f64>() <= budget * (1.0 - margin)
        };
        SHARE_FACTORS.iter().find(is_within).or(SHARE_FACTORS.last()).copied()
    }
}

impl Schedule {
    fn new(now: Millis, order: &OrderState, progress: &Progress, view: &RolloutView<'_>) -> Self {
        let part = |part: f64| Millis((order.duration.0 as f64 * part) as u64);
        let deadline = order.ordered_at + order.duration;
        let reserve = part(RESERVE_PART).max(MIN_RESERVE);
        let max_tail = part(MAX_TAIL_PART);
        let reports = view.entries.iter().filter_map(|entry| entry.report);
        let running = reports.map(|report| u64::from(report.running_elsewhere)).sum();
        let tail = progress.comparison.stable_tail(running, now - order.ordered_at);
        let tail = tail.unwrap_or(max_tail);
        let tail = tail.min(max_tail).max(MIN_TAIL);
        let drain = tail.max(LOAD_TIME) + DECISION_TIME;
        let shift = deadline - reserve - drain - SHIFT_TIME;
        let mut shift = shift.max(order.ordered_at + part(MIN_PROBING_PART));
        if let Some(ready_since) = progress.ready_since {
            shift = shift.max(ready_since + part(LATE_PROBING_PART));
        }
        let half = Millis(reserve.0 / 2);
        let shift_latest = shift + half;
        let drain_latest = shift_latest + SHIFT_TIME;
        Self { shift, shift_latest, drain_latest, finish_latest: deadline - half, deadline }
    }
}

/// Returns the report of an entry instance that has applied the newest decision.
fn reported_under<'a>(entry: &EntryView<'a>, order: &OrderState) -> Option<&'a RolloutReport> {
    entry.report.filter(|report| report.order == order.order && report.step >= order.step)
}

/// Returns the figures if the candidate has far more requests without an end than the version in force.
fn stuck(view: &RolloutView<'_>, order: &OrderState) -> Option<String> {
    let (mut sent, mut running) = ([0; 2], [0; 2]);
    let reports = view.entries.iter().filter_map(|entry| entry.report);
    for report in reports.filter(|report| report.order == order.order) {
        let at_candidate = u64::from(report.running_at_candidate);
        let ended = report.sent_to_candidate.saturating_sub(at_candidate);
        sent[0] += report.sent.saturating_sub(ended);
        sent[1] += report.sent_to_candidate;
        running[0] += u64::from(report.running_elsewhere);
        running[1] += at_candidate;
    }
    let part = running[0] as f64 / (sent[0] as f64).max(1.0);
    let is_stuck = running[1] as f64 > STUCK_FACTOR * part * sent[1] as f64 + STUCK_MARGIN;
    is_stuck.then(|| {
        format!(
            "the candidate has not ended {} of {} requests when shifting was due, other versions {} \
             of {}",
            running[1], sent[1], running[0], sent[0]
        )
    })
}

fn has_slots(pool: &PoolView) -> bool {
    f64::from(pool.candidate_slots) >= MIN_SLOTS_PART * f64::from(pool.stable_slots)
}

const fn set(phase: RolloutPhase, share: f64, endpoints: u32, why: String) -> Step {
    Step::Set { phase, share, endpoints, why }
}
