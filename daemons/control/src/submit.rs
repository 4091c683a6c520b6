//! Forwards asks to the leader, and confirms that local reads are current.

use std::sync::Arc;

use sill_base::{Millis, event};
use sill_quorum::RoleName;
use sill_wire::claim::{ClaimAsk, ClaimBatch, ClaimReply, ClaimVerdict};

use crate::app::decision::Decision;
use crate::app::{Ask, Outcome};
use crate::log::{CommandText, SubmitResult};
use crate::rpc::{ReadIndex, Submit, SubmitReply};
use crate::shared::Shared;

/// How long an operator's ask is retried until a leader commits it.
const SUBMIT_TIMEOUT: Millis = Millis(6000);

/// How long claims are retried while a leader is known. A caller's request waits for them.
const CLAIM_TIMEOUT: Millis = Millis(1500);

/// Pause between two attempts.
const RETRY_PAUSE: Millis = Millis(50);

/// How often a change is checked again because another one was committed after its check.
const MAX_RECHECKS: usize = 20;

/// Why an ask has no outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoOutcome {
    /// No leader was found; nothing was written.
    NotWritten,
    /// It may have been written; whether it will be committed is unknown.
    Unknown,
}

/// Submits an operator's ask to the current leader, here or on another instance.
///
/// Its `Change-Id` makes a retry after an unknown outcome idempotent.
///
/// # Errors
///
/// Fails when no leader commits it in time.
pub async fn submit(shared: &Arc<Shared>, ask: &Ask) -> Result<Outcome, NoOutcome> {
    submit_within(shared, ask, SUBMIT_TIMEOUT).await
}

/// Like [`submit`], with a given timeout.
///
/// # Errors
///
/// Fails when no leader commits it in time.
pub async fn submit_within(
    shared: &Arc<Shared>,
    ask: &Ask,
    timeout: Millis,
) -> Result<Outcome, NoOutcome> {
    let end = shared.clock.now() + timeout;
    let mut failure = NoOutcome::NotWritten;
    while shared.clock.now() < end {
        match attempt(shared, ask).await {
            SubmitReply::Done { outcome } => return Ok(outcome),
            SubmitReply::NotLeader => {}
            SubmitReply::Unknown => failure = NoOutcome::Unknown,
        }
        let has_disk_fault = shared.log.status().disk_fault.is_some();
        if has_disk_fault && shared.directory.is_alone() {
            break;
        }
        tokio::time::sleep(RETRY_PAUSE.into()).await;
    }
    Err(failure)
}

async fn attempt(shared: &Arc<Shared>, ask: &Ask) -> SubmitReply {
    let status = shared.log.status();
    if status.role == RoleName::Leader {
        return submit_as_leader(shared, ask).await;
    }
    let Some(peer) = status.leader.and_then(|name| shared.directory.get(&name)) else {
        return SubmitReply::NotLeader;
    };
    match peer.commit_client.call(&Submit { ask: ask.clone() }).await {
        Ok(reply) => reply,
        Err(err) => {
            event!(Debug, "leader_unreachable", leader = peer.info.name, error = err);
            SubmitReply::Unknown
        }
    }
}

/// Checks an ask and writes it to the log; only the leader can.
pub async fn submit_as_leader(shared: &Arc<Shared>, ask: &Ask) -> SubmitReply {
    // Changes run one at a time: of those checked at the same time only the first one would be
    // applied, and the others would have to be checked and written again.
    let _turn = match ask {
        Ask::Change(_) => Some(shared.change_lock.lock().await),
        Ask::Drain(_)
        | Ask::Claims { .. }
        | Ask::Usage(_)
        | Ask::Rollout(_)
        | Ask::RolloutDecision(_)
        | Ask::Origins(_) => None,
    };
    for _ in 0..MAX_RECHECKS {
        let command = match prepare(shared, ask).await {
            // Without the lease a later leader may have committed other orders already, so that an
            // order would be acknowledged that is in nobody's log.
            PreparedAsk::Answer(Outcome::Rollout { .. }) if !holds_lease(shared) => {
                return SubmitReply::NotLeader;
            }
            PreparedAsk::Answer(outcome) => return SubmitReply::Done { outcome },
            PreparedAsk::Write(command) => command,
        };
        match shared.log.submit(command).await {
            SubmitResult::Applied(Outcome::Recheck) => {}
            SubmitResult::Applied(outcome) => return SubmitReply::Done { outcome },
            SubmitResult::NotLeader => return SubmitReply::NotLeader,
            SubmitResult::Unknown => return SubmitReply::Unknown,
        }
    }
    SubmitReply::NotLeader
}

/// The result of checking an ask, with the command already serialised.
enum PreparedAsk {
    Answer(Outcome),
    Write(CommandText),
}

async fn prepare(shared: &Arc<Shared>, ask: &Ask) -> PreparedAsk {
    let at = match ask {
        Ask::Rollout(_) | Ask::RolloutDecision(_) => shared.link.true_time(shared.clock.now()),
        _ => Millis::wall(),
    };
    let decide = move |shared: &Shared, ask: &Ask| match shared.log.app().read().decide(at, ask) {
        Decision::Answer(outcome) => PreparedAsk::Answer(outcome),
        Decision::Write(command) => PreparedAsk::Write((&command).into()),
    };
    if !matches!(ask, Ask::Change(_)) {
        return decide(shared, ask);
    }
    // A large document takes long to check and to serialise. Heartbeats and votes of other
    // instances arrive through the same runtime, and would be delayed.
    let (own, ask) = (shared.clone(), ask.clone());
    let decision = tokio::task::spawn_blocking(move || decide(&own, &ask));
    decision.await.expect("checking an ask neither panics nor is cancelled")
}

/// Waits until this instance has applied everything that was acknowledged before the call, and
/// returns whether it has. Without a leader it returns false, and local reads may be stale.
pub async fn catch_up(shared: &Arc<Shared>) -> bool {
    catch_up_within(shared, SUBMIT_TIMEOUT).await
}

/// Like [`catch_up`], with a given timeout.
pub async fn catch_up_within(shared: &Arc<Shared>, timeout: Millis) -> bool {
    let end = shared.clock.now() + timeout;
    while shared.clock.now() < end {
        let status = shared.log.status();
        // A read after this check is at least as new as the newest state at the check.
        if shared.clock.now() < status.reads_until {
            return true;
        }
        let leader = status.leader.and_then(|name| shared.directory.get(&name));
        if let Some(peer) = leader
            && let Ok(reply) = peer.client.call(&ReadIndex {}).await
            && let Some(index) = reply.index
            && wait_until_applied(shared, index, end).await
        {
            return true;
        }
        if shared.log.status().disk_fault.is_some() {
            return false;
        }
        tokio::time::sleep(RETRY_PAUSE.into()).await;
    }
    false
}

/// Returns the index up to which everything acknowledged so far is applied, if this instance holds
/// the leader's lease.
pub fn read_index(shared: &Shared) -> Option<u64> {
    let index = shared.log.app().read().index();
    // The lease must still be valid after the index was read. A process suspended between the two
    // steps would otherwise answer with a state that a later leader has already changed.
    holds_lease(shared).then_some(index)
}

/// Returns whether this instance is the leader, and no other one can be yet.
pub fn holds_lease(shared: &Shared) -> bool {
    shared.clock.now() < shared.log.status().reads_until
}

async fn wait_until_applied(shared: &Shared, index: u64, end: Millis) -> bool {
    let mut applied = shared.log.applied();
    let remaining = end - shared.clock.now();
    let reached = applied.wait_for(|applied| *applied >= index);
    tokio::time::timeout(remaining.into(), reached).await.is_ok_and(|reached| reached.is_ok())
}

/// Answers a batch of claims. They are refused at once while no leader is known.
pub async fn claim(shared: Arc<Shared>, batch: ClaimBatch) -> ClaimReply {
    shared.metrics.claim_asks.inc_by(batch.asks.len() as u64);
    let end = shared.clock.now() + CLAIM_TIMEOUT;
    let unavailable = batch.asks.iter().map(|_: &ClaimAsk| ClaimVerdict::Unavailable);
    let unavailable: Vec<ClaimVerdict> = unavailable.collect();
    let ask = Ask::Claims { asks: batch.asks };
    while shared.clock.now() < end && shared.log.status().leader.is_some() {
        let reply = tokio::time::timeout(CLAIM_TIMEOUT.into(), attempt(&shared, &ask)).await;
        match reply {
            Ok(SubmitReply::Done { outcome: Outcome::Verdicts { verdicts } }) => {
                return ClaimReply { verdicts };
            }
            Ok(SubmitReply::NotLeader) => tokio::time::sleep(RETRY_PAUSE.into()).await,
            _ => break,
        }
    }
    ClaimReply { verdicts: unavailable }
}
