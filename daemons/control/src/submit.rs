//! Gets an ask to the leader and brings back what came of it.

use std::sync::Arc;

use sill_base::{Millis, event};
use sill_quorum::RoleName;
use sill_wire::claim::{ClaimAsk, ClaimBatch, ClaimReply, ClaimVerdict};

use crate::app::judge::Judged;
use crate::app::{Ask, Outcome};
use crate::log::{CommandText, Submitted};
use crate::rpc::{ReadIndex, Submit, SubmitReply};
use crate::shared::Shared;

/// How long an operator's ask looks for a leader that commits it.
const PATIENCE: Millis = Millis(6000);

/// How long claims look for a leader while one is known. A request waits for them.
const CLAIM_PATIENCE: Millis = Millis(1500);

/// Pause before the next try.
const PAUSE: Millis = Millis(50);

/// How often a change is checked again because another one came between.
const RECHECKS: usize = 20;

/// Why an ask has no outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoOutcome {
    /// No leader was found; nothing was written.
    NotWritten,
    /// It was written, but whether it will be committed is unknown.
    Unknown,
}

/// Gets an operator's ask committed, by whoever leads.
///
/// It has a `Change-Id`, so that trying again after an unknown outcome makes no second change.
///
/// # Errors
///
/// Fails when no leader commits it in time.
pub async fn submit(shared: &Arc<Shared>, ask: &Ask) -> Result<Outcome, NoOutcome> {
    submit_within(shared, ask, PATIENCE).await
}

/// Does the same within a time of the caller's.
///
/// # Errors
///
/// Fails when no leader commits it in time.
pub async fn submit_within(
    shared: &Arc<Shared>,
    ask: &Ask,
    patience: Millis,
) -> Result<Outcome, NoOutcome> {
    let end = shared.clock.now() + patience;
    let mut failure = NoOutcome::NotWritten;
    while shared.clock.now() < end {
        match attempt(shared, ask).await {
            SubmitReply::Done { outcome } => return Ok(outcome),
            SubmitReply::NotLeader => {}
            SubmitReply::Unknown => failure = NoOutcome::Unknown,
        }
        let has_fault = shared.log.status().disk_fault.is_some();
        if has_fault && shared.directory.is_alone() {
            break;
        }
        tokio::time::sleep(PAUSE.into()).await;
    }
    Err(failure)
}

async fn attempt(shared: &Arc<Shared>, ask: &Ask) -> SubmitReply {
    let status = shared.log.status();
    if status.role == RoleName::Leader {
        return lead(shared, ask).await;
    }
    let Some(peer) = status.leader.and_then(|name| shared.directory.get(&name)) else {
        return SubmitReply::NotLeader;
    };
    match peer.commit_client.call(&Submit { ask: ask.clone() }).await {
        Ok(reply) => reply,
        Err(err) => {
            event!(Debug, "leader_unreachable", leader = peer.place.name, error = err);
            SubmitReply::Unknown
        }
    }
}

/// Checks an ask and writes it, as the leader.
pub async fn lead(shared: &Arc<Shared>, ask: &Ask) -> SubmitReply {
    // One change after the other: of changes that are checked at the same time only the first one
    // counts, and the others would have to be checked and written again.
    let _turn = match ask {
        Ask::Change(_) => Some(shared.change_lock.lock().await),
        Ask::Drain(_) | Ask::Claims { .. } | Ask::Usage(_) => None,
    };
    for _ in 0..RECHECKS {
        let command = match judge(shared, ask).await {
            Ready::Known(outcome) => return SubmitReply::Done { outcome },
            Ready::Write(command) => command,
        };
        match shared.log.submit(command).await {
            Submitted::Applied(Outcome::Recheck) => {}
            Submitted::Applied(outcome) => return SubmitReply::Done { outcome },
            Submitted::NotLeader => return SubmitReply::NotLeader,
            Submitted::Unknown => return SubmitReply::Unknown,
        }
    }
    SubmitReply::NotLeader
}

/// An ask that was checked.
enum Ready {
    Known(Outcome),
    Write(CommandText),
}

async fn judge(shared: &Arc<Shared>, ask: &Ask) -> Ready {
    let judge =
        |shared: &Shared, ask: &Ask| match shared.log.app().read().judge(Millis::wall(), ask) {
            Judged::Known(outcome) => Ready::Known(outcome),
            Judged::Write(command) => Ready::Write((&command).into()),
        };
    if !matches!(ask, Ask::Change(_)) {
        return judge(shared, ask);
    }
    // A large document takes long to check and to pack. Heartbeats and votes of other instances come
    // through the same runtime, and would have to wait.
    let (own, ask) = (shared.clone(), ask.clone());
    let judging = tokio::task::spawn_blocking(move || judge(&own, &ask));
    judging.await.expect("checking doesn't panic")
}

/// Waits until this instance's state holds everything that was answered before the call, and
/// returns whether it does. Without a leader it may not, and what is read may be old.
pub async fn catch_up(shared: &Arc<Shared>) -> bool {
    catch_up_within(shared, PATIENCE).await
}

/// Does the same within a time of the caller's.
pub async fn catch_up_within(shared: &Arc<Shared>, patience: Millis) -> bool {
    let end = shared.clock.now() + patience;
    while shared.clock.now() < end {
        let status = shared.log.status();
        // What is read after this is at least as new as what was newest now.
        if shared.clock.now() < status.reads_until {
            return true;
        }
        let leader = status.leader.and_then(|name| shared.directory.get(&name));
        if let Some(peer) = leader
            && let Ok(reply) = peer.client.call(&ReadIndex {}).await
            && let Some(index) = reply.index
            && applied(shared, index, end).await
        {
            return true;
        }
        if shared.log.status().disk_fault.is_some() {
            return false;
        }
        tokio::time::sleep(PAUSE.into()).await;
    }
    false
}

/// Returns the entry that holds everything answered so far, if this instance holds the lease.
pub fn read_index(shared: &Shared) -> Option<u64> {
    let index = shared.log.app().read().index();
    // The lease must still run after the state was looked at. A process that was stopped between
    // the two would otherwise answer with a state that a later leader has already changed.
    (shared.clock.now() < shared.log.status().reads_until).then_some(index)
}

async fn applied(shared: &Shared, index: u64, end: Millis) -> bool {
    let mut applied = shared.log.applied();
    let left = end - shared.clock.now();
    let reached = applied.wait_for(|applied| *applied >= index);
    tokio::time::timeout(left.into(), reached).await.is_ok_and(|reached| reached.is_ok())
}

/// Answers claims. They are refused at once when no leader is known.
pub async fn claim(shared: Arc<Shared>, batch: ClaimBatch) -> ClaimReply {
    shared.metrics.claim_asks.inc_by(batch.asks.len() as u64);
    let end = shared.clock.now() + CLAIM_PATIENCE;
    let unavailable = batch.asks.iter().map(|_: &ClaimAsk| ClaimVerdict::Unavailable);
    let unavailable: Vec<ClaimVerdict> = unavailable.collect();
    let ask = Ask::Claims { asks: batch.asks };
    while shared.clock.now() < end && shared.log.status().leader.is_some() {
        let reply = tokio::time::timeout(CLAIM_PATIENCE.into(), attempt(&shared, &ask)).await;
        match reply {
            Ok(SubmitReply::Done { outcome: Outcome::Verdicts { verdicts } }) => {
                return ClaimReply { verdicts };
            }
            Ok(SubmitReply::NotLeader) => tokio::time::sleep(PAUSE.into()).await,
            _ => break,
        }
    }
    ClaimReply { verdicts: unavailable }
}
