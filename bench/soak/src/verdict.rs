//! What a run showed, held against the promises.

use std::fmt::{self, Display, Formatter};

use crate::backend::{Ledger, expected};
use crate::caller::{Answered, Kind, Record};

/// Endpoints that one call may run at, as the settings of a run say.
const MAX_ATTEMPTS: usize = 2;

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
            "seed={} faults={} requests={} answered={} refused={} changes={} findings={}",
            self.seed,
            self.faults,
            self.requests,
            self.answered,
            self.refused,
            self.changes,
            self.findings.len()
        )?;
        self.findings.iter().try_for_each(|finding| write!(f, "\n  {finding}"))
    }
}

/// Checks each request against what the endpoints ran.
pub fn check(records: &[Record], ledger: &Ledger) -> Vec<String> {
    let mut findings = ledger.oddities();
    for record in records {
        let runs = ledger.runs(&record.id);
        if record.kind == Kind::NonIdempotent && runs.len() > 1 {
            findings.push(format!("at_most_once: {} ran at {runs:?}", record.id));
        }
        if runs.len() > MAX_ATTEMPTS {
            findings.push(format!("attempts: {} ran at {runs:?}", record.id));
        }
        if let Some(answer) = &record.answer {
            findings.extend(check_answer(record, answer, &runs));
        }
    }
    findings
}

/// Returns whether an answer is a refusal that promises that the request has not run.
pub fn is_refusal(answer: &Answered) -> bool {
    answer.is_not_run || matches!(answer.status, 408 | 421 | 429 | 503)
}

fn check_answer(record: &Record, answer: &Answered, runs: &[String]) -> Option<String> {
    let Record { id, body, .. } = record;
    if is_refusal(answer) && !runs.is_empty() {
        return Some(format!("not_run_is_true: {id} got {} and ran at {runs:?}", answer.status));
    }
    if answer.status == 200 {
        let got = answer.body.as_ref()?;
        let is_own = runs.iter().any(|endpoint| expected(id, body, endpoint) == *got);
        return (!is_own).then(|| format!("whole_answer: {id} got {got:?}, ran at {runs:?}"));
    }
    let is_denied = (400..500).contains(&answer.status) && !is_refusal(answer);
    is_denied.then(|| format!("settings: {id} got {} though it is allowed", answer.status))
}
