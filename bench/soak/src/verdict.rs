//! Checks the records of a run against the guarantees of the system.

use std::fmt::{self, Display, Formatter};

use sill_base::Millis;
use sill_wire::link::LIMIT_WINDOW;

use crate::backend::{Ledger, expected, software_of};
use crate::caller::{CallerAnswer, Client, GUESTS, Record, is_blocked};
use crate::journal::{Event, Journal};
use crate::stream;

/// Maximum number of endpoints that may run one request: `max_attempts` in the settings of a run.
const MAX_ATTEMPTS: usize = 2;

/// Largest share of its limit that an account may use in any window, as the requirements state it.
const MAX_LIMIT_SHARE: f64 = 1.1;

/// The result of a run.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests that callers sent.
    pub requests: usize,
    /// Number of requests with a complete answer of status 200.
    pub answered: usize,
    /// Number of requests refused with the guarantee that they were not run.
    pub refused: usize,
    /// Number of requests without a complete answer, by outcome.
    pub cut: Vec<(Outcome, usize)>,
    /// Requests with a near deadline.
    pub near: Near,
    /// Share of its limit that the limited account used over the whole run.
    pub limit_used: f64,
    /// Largest share of its limit that the limited account used in any window.
    pub limit_most: f64,
    /// Number of times that endpoints asked for a pause.
    pub pauses: usize,
    /// Number of faults injected.
    pub faults: usize,
    /// Number of settings changes that were acknowledged.
    pub changes: u64,
    /// The orders of roll-outs and how they ended.
    pub rollouts: Vec<String>,
    /// Violated guarantees, each with the name of its rule as prefix.
    pub findings: Vec<String>,
}

impl Display for Verdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed={} faults={} requests={} answered={} refused={} cut={:?} near={}/{} limit_used={:.2} limit_most={:.2} pauses={} changes={} findings={}",
            self.seed,
            self.faults,
            self.requests,
            self.answered,
            self.refused,
            self.cut,
            self.near.whole,
            self.near.whole + self.near.cut,
            self.limit_used,
            self.limit_most,
            self.pauses,
            self.changes,
            self.findings.len()
        )?;
        self.rollouts.iter().try_for_each(|order| write!(f, "\n  rollout {order}"))?;
        self.findings.iter().try_for_each(|finding| write!(f, "\n  {finding}"))
    }
}

/// How a request ended from its caller's point of view.
///
/// A request that an entry instance has read gets a complete answer, even if the instance is
/// stopped gracefully meanwhile. The only exceptions are injected faults and the caller's own
/// deadline. A request that was cut off may have run, so its caller may not send it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was complete.
    Whole,
    /// The connection probably ended before the request was read: an idle connection may be closed
    /// just as its caller sends the next request, and a new one fails when its entry instance has
    /// exited.
    Unread,
    /// The connection was opened for this request and ended before the request was read, although
    /// the entry instance kept running.
    TurnedAway,
    /// The caller's deadline passed.
    OutOfTime,
    /// The entry instance was killed or paused.
    Struck,
    /// An endpoint that ran the request broke off its answer, or the link to that endpoint was cut.
    BrokenOff,
    /// Cut off by an entry instance during its graceful stop.
    CutByStop,
    /// Cut off by an entry instance that was not stopping, without an injected fault.
    CutWithoutReason,
}

/// Requests whose answers an endpoint completed shortly before their deadline.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Near {
    /// Number of those whose answer was complete.
    pub whole: usize,
    /// Number of those whose answer was cut, at the deadline or before.
    pub cut: usize,
}

/// Counts the requests with a near deadline before which an endpoint completed the answer.
pub fn count_near(records: &[Record], ledger: &Ledger) -> Near {
    let in_time = |record: &&Record| {
        let completed = ledger.completed_at(&record.id);
        record.is_near() && completed.is_some_and(|at| at < record.sent + record.deadline)
    };
    records.iter().filter(in_time).fold(Near::default(), |near, record| match record.is_cut() {
        true => Near { cut: near.cut + 1, ..near },
        false => Near { whole: near.whole + 1, ..near },
    })
}

/// Counts the requests without a complete answer by outcome.
pub fn count_cuts(records: &[Record], ledger: &Ledger, journal: &Journal) -> Vec<(Outcome, usize)> {
    let mut counts = Vec::new();
    for record in records.iter().filter(|record| record.is_cut()) {
        let ended_as = outcome(record, ledger, journal);
        match counts.iter_mut().find(|(counted, _)| *counted == ended_as) {
            Some((_, count)) => *count += 1,
            None => counts.push((ended_as, 1)),
        }
    }
    counts
}

/// Checks each request against the runs noted by endpoints and the faults in the journal. Returns
/// the violated guarantees.
pub fn check(records: &[Record], ledger: &Ledger, journal: &Journal) -> Vec<String> {
    let mut findings = ledger.anomalies();
    findings.extend(check_limit(&GUESTS, limit_most(&GUESTS, records, ledger)));
    for record in records {
        let runs = ledger.runs(&record.id);
        if record.kind.runs_once() && runs.len() > 1 {
            findings.push(format!("at_most_once: {} ran at {runs:?}", record.id));
        }
        if runs.len() > MAX_ATTEMPTS {
            findings.push(format!("attempts: {} ran at {runs:?}", record.id));
        }
        if let Some(answer) = &record.answer {
            findings.extend(check_answer(record, answer, &runs));
            if is_blocked(answer) {
                findings.push(format!("blocked: {} crashes no endpoint", record.id));
            }
        }
        let rule = match outcome(record, ledger, journal) {
            Outcome::CutByStop | Outcome::TurnedAway => "graceful_stop",
            Outcome::CutWithoutReason => "whole_answer",
            _ => continue,
        };
        findings.push(format!("{rule}: {}, ran at {runs:?}", describe_cut(record)));
    }
    findings
}

fn outcome(record: &Record, ledger: &Ledger, journal: &Journal) -> Outcome {
    let runs = ledger.runs(&record.id);
    let Record { deadline, entry, sent, ended, .. } = record;
    let is_hit = |event| journal.overlaps(event, *sent, *ended);
    if !record.is_cut() {
        Outcome::Whole
    } else if *ended - *sent >= *deadline {
        Outcome::OutOfTime
    } else if is_hit(Event::Disruption(*entry)) {
        Outcome::Struck
    } else if record.answer.is_none() && runs.is_empty() {
        match record.is_first && !is_hit(Event::Exit(*entry)) {
            true => Outcome::TurnedAway,
            false => Outcome::Unread,
        }
    } else if ledger.is_withheld(&record.id)
        || runs.iter().filter_map(|run| endpoint_of(run)).any(|i| is_hit(Event::EndpointOutage(i)))
    {
        Outcome::BrokenOff
    } else if is_hit(Event::GracefulStop(*entry)) {
        Outcome::CutByStop
    } else {
        Outcome::CutWithoutReason
    }
}

/// Returns the index of the endpoint that noted a run as `e<index>.<incarnation>`.
fn endpoint_of(run: &str) -> Option<usize> {
    let (name, _incarnation) = run.split_once('.')?;
    let number = name.split_once('-').map_or(name, |(number, _version)| number);
    number.strip_prefix('e')?.parse().ok()
}

fn check_limit(client: &Client, most: f64) -> Option<String> {
    let is_over = most > MAX_LIMIT_SHARE;
    let account = client.account;
    is_over.then(|| format!("account_limit: {account} used {most:.2} of their limit in a window"))
}

/// Returns the share of its limit that an account used over the whole run; 1 is the full limit.
pub fn limit_used(client: &Client, records: &[Record], ledger: &Ledger) -> f64 {
    let sent = records.iter().filter(|record| record.client == client);
    let ran = sent.filter(|record| !ledger.runs(&record.id).is_empty()).count();
    let began = records.iter().map(|record| record.sent).min().unwrap_or_default();
    let ended = records.iter().map(|record| record.ended).max().unwrap_or_default();
    let allowed = client.limit.map(f64::from).unwrap_or(f64::MAX) * (ended - began).as_secs_f64();
    ran as f64 / allowed.max(1.0)
}

/// Returns the largest share of its limit that an account used in any `LIMIT_WINDOW`; 1 is the full
/// limit.
pub fn limit_most(client: &Client, records: &[Record], ledger: &Ledger) -> f64 {
    let ran = |record: &&Record| record.client == client && !ledger.runs(&record.id).is_empty();
    let mut sent: Vec<Millis> = records.iter().filter(ran).map(|record| record.sent).collect();
    sent.sort_unstable();
    let within =
        |(i, from): (usize, &Millis)| sent[i..].partition_point(|at| *at < *from + LIMIT_WINDOW);
    let most = sent.iter().enumerate().map(within).max().unwrap_or_default();
    let limit = client.limit.map_or(f64::MAX, f64::from);
    most as f64 / (limit * LIMIT_WINDOW.as_secs_f64())
}

/// Returns whether an answer is a refusal that guarantees that the request was not run.
pub fn is_refusal(answer: &CallerAnswer) -> bool {
    answer.is_not_run || matches!(answer.status, 408 | 421 | 429 | 503)
}

fn check_answer(record: &Record, answer: &CallerAnswer, runs: &[String]) -> Option<String> {
    let Record { id, body, .. } = record;
    if is_refusal(answer) && !runs.is_empty() {
        return Some(format!("not_run_is_true: {id} got {} and ran at {runs:?}", answer.status));
    }
    if answer.status == 200 {
        let got = answer.body.as_ref()?;
        let senders = record.pace.map(|pace| stream::senders(pace, id, body, runs, got));
        if let Some(Some(senders)) = &senders
            && senders.iter().any(|sender| software_of(sender) != software_of(senders[0]))
        {
            return Some(format!("one_version: {id} got events of {senders:?}"));
        }
        let is_own = match senders {
            Some(senders) => senders.is_some(),
            None => runs.iter().any(|endpoint| expected(id, body, endpoint) == *got),
        };
        return (!is_own).then(|| format!("whole_answer: {id} got {got:?}, ran at {runs:?}"));
    }
    let is_denied = (400..500).contains(&answer.status) && !is_refusal(answer);
    is_denied
        .then(|| format!("settings: {id} got {} although the settings allow it", answer.status))
}

fn describe_cut(record: &Record) -> String {
    let Record { id, kind, entry, sent, ended, deadline, answer, .. } = record;
    let status = answer.as_ref().map(|answer| answer.status);
    format!(
        "{kind:?} {id} at g{entry} from {sent} to {ended} (deadline {}) was cut after head {status:?}",
        *sent + *deadline
    )
}
