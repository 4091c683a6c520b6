//! What a run showed, held against the promises.

use std::fmt::{self, Display, Formatter};

use sill_base::Millis;
use sill_wire::link::LIMIT_WINDOW;

use crate::backend::{Ledger, expected};
use crate::caller::{CallerAnswer, Client, GUESTS, Record};
use crate::journal::{Event, Journal};
use crate::stream;

/// Endpoints that one call may run at, as the settings of a run say.
const MAX_ATTEMPTS: usize = 2;

/// How much of its limit an account may use in any window, as the users state it.
const MAX_LIMIT_SHARE: f64 = 1.1;

/// What a run came to.
#[derive(Debug, Default)]
pub struct Verdict {
    /// The seed.
    pub seed: u64,
    /// Requests that callers sent.
    pub requests: usize,
    /// Those that were answered whole.
    pub answered: usize,
    /// Those that were refused as not run.
    pub refused: usize,
    /// Those without a whole answer, by why.
    pub cut: Vec<(Outcome, usize)>,
    /// How much of its limit the limited account used.
    pub limit_used: f64,
    /// The most of its limit that it used in any window.
    pub limit_most: f64,
    /// Faults that were brought about.
    pub faults: usize,
    /// Changes that were acknowledged.
    pub changes: u64,
    /// Promises that were broken.
    pub findings: Vec<String>,
}

impl Display for Verdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed={} faults={} requests={} answered={} refused={} cut={:?} limit_used={:.2} limit_most={:.2} changes={} findings={}",
            self.seed,
            self.faults,
            self.requests,
            self.answered,
            self.refused,
            self.cut,
            self.limit_used,
            self.limit_most,
            self.changes,
            self.findings.len()
        )?;
        self.findings.iter().try_for_each(|finding| write!(f, "\n  {finding}"))
    }
}

/// How a request ended, as its caller saw it.
///
/// One that an entry instance has read ends with a whole answer, also where that instance is asked to stop,
/// but for faults from outside and the caller's own deadline. Cut off, it may have run, and its caller may
/// not send it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With a whole answer.
    Whole,
    /// Its connection ended before it was read, as far as is known: an unused connection may end just when
    /// its caller sends the next request on it, and a new one when its entry instance is gone.
    Unread,
    /// The connection was opened for it and ended before it was read, though the entry instance went on.
    TurnedAway,
    /// Its time was up.
    OutOfTime,
    /// Its entry instance was killed or stood still.
    Struck,
    /// An endpoint that ran it broke off, or the way to it was cut.
    BrokenOff,
    /// By an entry instance that was asked to stop.
    CutByStop,
    /// By an entry instance that was not.
    CutWithoutReason,
}

/// Counts how requests ended that have no whole answer.
pub fn count_cuts(records: &[Record], ledger: &Ledger, journal: &Journal) -> Vec<(Outcome, usize)> {
    let mut counts = Vec::new();
    for record in records.iter().filter(|record| record.is_cut()) {
        let end = outcome(record, ledger, journal);
        match counts.iter_mut().find(|(counted, _)| *counted == end) {
            Some((_, count)) => *count += 1,
            None => counts.push((end, 1)),
        }
    }
    counts
}

/// Checks each request against what the endpoints ran, and when faults were brought about.
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

/// Returns how a request ended.
fn outcome(record: &Record, ledger: &Ledger, journal: &Journal) -> Outcome {
    let runs = ledger.runs(&record.id);
    let Record { kind, entry, sent, ended, .. } = record;
    let is_hit = |event| journal.overlaps(event, *sent, *ended);
    if !record.is_cut() {
        Outcome::Whole
    } else if *ended - *sent >= kind.deadline() {
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

/// Returns the number of the endpoint that noted a run, which it did with its name and start.
fn endpoint_of(run: &str) -> Option<usize> {
    let (name, _start) = run.split_once('.')?;
    name.strip_prefix('e')?.parse().ok()
}

fn check_limit(client: &Client, most: f64) -> Option<String> {
    let is_over = most > MAX_LIMIT_SHARE;
    let account = client.account;
    is_over.then(|| format!("account_limit: {account} used {most:.2} of their limit in a window"))
}

/// Returns how much of its limit an account used over the whole run; 1 is all of it.
pub fn limit_used(client: &Client, records: &[Record], ledger: &Ledger) -> f64 {
    let sent = records.iter().filter(|record| record.client == client);
    let ran = sent.filter(|record| !ledger.runs(&record.id).is_empty()).count();
    let began = records.iter().map(|record| record.sent).min().unwrap_or_default();
    let ended = records.iter().map(|record| record.ended).max().unwrap_or_default();
    let allowed = client.limit.map(f64::from).unwrap_or(f64::MAX) * (ended - began).as_secs_f64();
    ran as f64 / allowed.max(1.0)
}

/// Returns the most of its limit that an account used in any window; 1 is all of it.
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

/// Returns whether an answer is a refusal that promises that the request has not run.
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
        let is_own = match record.pace {
            Some(pace) => stream::is_complete(pace, id, body, runs, got),
            None => runs.iter().any(|endpoint| expected(id, body, endpoint) == *got),
        };
        return (!is_own).then(|| format!("whole_answer: {id} got {got:?}, ran at {runs:?}"));
    }
    let is_denied = (400..500).contains(&answer.status) && !is_refusal(answer);
    is_denied.then(|| format!("settings: {id} got {} though it is allowed", answer.status))
}

fn describe_cut(record: &Record) -> String {
    let Record { id, kind, entry, sent, ended, answer, .. } = record;
    let status = answer.as_ref().map(|answer| answer.status);
    format!("{kind:?} {id} at g{entry} from {sent} to {ended} was cut after head {status:?}")
}
