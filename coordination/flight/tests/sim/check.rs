//! Checks the promises after a run of the simulation.

use sill_base::Promise;
use sill_flight::flight::ServiceKind;
use sill_wire::ErrorCode;

use super::{Faults, RequestEnd, Simulation};

/// A promise that a run violated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    pub promise: Promise,
    pub details: String,
}

fn violation(promise: Promise, details: String) -> Result<(), Violation> {
    Err(Violation { promise, details })
}

/// Checks a run that has ended.
pub fn check(sim: &Simulation, faults: Faults) -> Result<(), Violation> {
    for (number, caller) in sim.callers.iter().enumerate() {
        let request = &caller.spec.request;
        let expected: Vec<u32> = (0..caller.tokens.len() as u32).collect();
        if caller.tokens != expected {
            return violation(
                Promise::WholeAnswer,
                format!("{request}: caller received tokens {:?}", caller.tokens),
            );
        }
        let has_run = sim.runs.iter().any(|run| run.request == number);
        match &caller.end {
            Some(RequestEnd::Complete) if caller.tokens.len() as u32 != caller.spec.max_tokens => {
                return violation(
                    Promise::WholeAnswer,
                    format!("{request}: answer ended before token {}", caller.spec.max_tokens),
                );
            }
            Some(RequestEnd::Refused(code, retry_after)) => {
                if has_run {
                    return violation(
                        Promise::NotRunIsTrue,
                        format!("{request} was refused as not run, but ran"),
                    );
                }
                if retry_after.is_none() && *code != ErrorCode::KeyReused {
                    return violation(
                        Promise::NotRunIsTrue,
                        format!("{request} was refused without retry_after"),
                    );
                }
            }
            Some(RequestEnd::Failed(code, retry_after)) => {
                let must_survive = faults == Faults::ReclaimsOnly && caller.spec.is_idempotent;
                if must_survive || retry_after.is_none() {
                    return violation(
                        Promise::AcceptedSurvives,
                        format!("{request} failed with {code:?}, retry_after {retry_after:?}"),
                    );
                }
            }
            None => return violation(Promise::AcceptedSurvives, format!("{request} never ended")),
            Some(_) => {}
        }
    }
    at_most_once(sim)
}

fn at_most_once(sim: &Simulation) -> Result<(), Violation> {
    for first_send in 0..sim.callers.len() {
        let caller = &sim.callers[first_send];
        if caller.spec.is_idempotent || caller.first_send != first_send {
            continue;
        }
        let runs = sim.runs.iter().filter(|run| {
            let sender = &sim.callers[run.request];
            let is_same_key = sender.first_send == first_send
                && (sender.spec.claim.is_some() || run.request == first_send);
            is_same_key && !run.is_same_run
        });
        let runs = runs.count();
        if runs > 1 {
            let kind = caller.spec.kind;
            let what = if kind == ServiceKind::Plain { "call" } else { "prompt" };
            let details = format!("non-idempotent {what} {first_send} ran {runs} times");
            return violation(Promise::AtMostOnce, details);
        }
    }
    Ok(())
}
