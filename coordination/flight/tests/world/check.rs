//! What must hold in every run of the world.

use sill_base::Promise;
use sill_flight::flight::ServiceKind;
use sill_wire::ErrorCode;

use super::{End, Faults, World};

/// A promise that a run broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    pub promise: Promise,
    pub how: String,
}

fn broken(promise: Promise, how: String) -> Result<(), Broken> {
    Err(Broken { promise, how })
}

/// Checks a run that has come to its end.
pub fn check(world: &World, faults: Faults) -> Result<(), Broken> {
    for (number, caller) in world.callers.iter().enumerate() {
        let request = &caller.spec.request;
        let due: Vec<u32> = (0..caller.tokens.len() as u32).collect();
        if caller.tokens != due {
            return broken(Promise::WholeAnswer, format!("{request} got {:?}", caller.tokens));
        }
        let ran = world.runs.iter().any(|run| run.flight == number);
        match &caller.end {
            Some(End::Whole) if caller.tokens.len() as u32 != caller.spec.max_tokens => {
                return broken(Promise::WholeAnswer, format!("{request} ended early"));
            }
            Some(End::NotRun(code, retry_after)) => {
                if ran {
                    return broken(Promise::NotRunIsTrue, format!("{request} ran"));
                }
                if retry_after.is_none() && *code != ErrorCode::KeyReused {
                    return broken(Promise::NotRunIsTrue, format!("{request}: when to come back?"));
                }
            }
            Some(End::Failed(code, retry_after)) => {
                let survives = faults == Faults::Reclaims && caller.spec.is_idempotent;
                if survives || retry_after.is_none() {
                    return broken(Promise::AcceptedSurvives, format!("{request} got {code:?}"));
                }
            }
            None => return broken(Promise::AcceptedSurvives, format!("{request} has no answer")),
            Some(_) => {}
        }
    }
    at_most_once(world)
}

fn at_most_once(world: &World) -> Result<(), Broken> {
    for notice in 0..world.callers.len() {
        let caller = &world.callers[notice];
        if caller.spec.is_idempotent || caller.notice != notice {
            continue;
        }
        let runs = world.runs.iter().filter(|run| {
            let ran = &world.callers[run.flight];
            let same = ran.notice == notice && (ran.spec.claim.is_some() || run.flight == notice);
            same && !run.same_run
        });
        let runs = runs.count();
        if runs > 1 {
            let kind = caller.spec.kind;
            let what = if kind == ServiceKind::Plain { "call" } else { "prompt" };
            let how = format!("{what} {notice} ran {runs} times");
            return broken(Promise::AtMostOnce, how);
        }
    }
    Ok(())
}
