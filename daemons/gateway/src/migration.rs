//! Runs that are moved away from an engine before it is taken back.
//!
//! A stream that may not be resumed is lost with its engine, and its prompt, mostly the longest ones,
//! is computed in vain. Engines can stop such a run and copy its memory to another one, which goes on
//! with it; the platform's notice of two seconds is enough.

use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures_util::future::BoxFuture;
use sill_base::{Millis, Name, event};
use sill_dispatch::Placement;

use crate::dialect::MovedMemory;
use crate::dispatch::{self, Attempt};
use crate::serve::Call;
use crate::state::State;

/// How long before its engine is gone a run begins to be moved. Most runs end before; the memory of the
/// rest takes 15 ms each, one after the other, for some twenty of them at an engine.
const MIGRATION_LEAD: Millis = Millis(1000);

/// How long a move may take; after that the engine is gone.
const MIGRATION_TIMEOUT: Millis = Millis(950);

/// Time for which a connection for such a call may have been unused.
const MAX_CONNECTION_IDLE: Millis = Millis(2000);

/// A run that was moved, and the attempt that goes on with it.
pub struct MigratedRun {
    /// Counted at the engine that has the memory now.
    pub attempt: Attempt,
    /// Where the memory came from.
    pub memory: MovedMemory,
}

/// When a run is moved, and its move.
#[derive(Default)]
pub struct RunMigration {
    /// Done when the run has to be moved away from its engine.
    due: Option<BoxFuture<'static, ()>>,
    transfer: Option<MemoryTransfer>,
}

/// A move that has begun.
pub enum MemoryTransfer {
    /// The memory of the run is being copied.
    Copying(BoxFuture<'static, Option<MigratedRun>>),
    /// It is copied; the old stream is still to end.
    Copied(Box<MigratedRun>),
}

impl RunMigration {
    /// Makes the one of a run that may be moved.
    pub fn of(attempt: &Attempt) -> Self {
        let (state, call) = (attempt.state().clone(), attempt.call().clone());
        let endpoint = attempt.placement.endpoint.clone();
        Self { due: Some(Box::pin(due(state, call, endpoint))), transfer: None }
    }

    /// Starts to move the run once that is due, and goes on with it.
    pub fn poll(&mut self, cx: &mut Context<'_>, attempt: &Attempt, sends: u32) {
        if self.due.as_mut().is_some_and(|due| due.as_mut().poll(cx).is_ready()) {
            self.due = None;
            // The process ends before the engine does, so a move can't save the stream. The engine copies one
            // memory after the other, and would have less time for the runs of other entry instances.
            if attempt.state().planned_stop.ends_within(MIGRATION_LEAD) {
                return;
            }
            let Placement { endpoint, address, .. } = attempt.placement.clone();
            let (state, call) = (attempt.state().clone(), attempt.call().clone());
            // The router tells attempts of one call apart by their number.
            let migrated = migrate(state, call, address, endpoint, sends + 1);
            self.transfer = Some(MemoryTransfer::Copying(Box::pin(migrated)));
        }
        if let Some(MemoryTransfer::Copying(copying)) = &mut self.transfer
            && let Poll::Ready(migrated) = copying.as_mut().poll(cx)
        {
            self.transfer = migrated.map(|migrated| MemoryTransfer::Copied(Box::new(migrated)));
        }
    }

    /// Returns whether only the end of the old stream is still to come.
    pub const fn is_copied(&self) -> bool {
        matches!(self.transfer, Some(MemoryTransfer::Copied(_)))
    }

    /// Takes the move out, if it has begun.
    pub fn take(&mut self) -> Option<MemoryTransfer> {
        self.transfer.take()
    }
}

impl MemoryTransfer {
    /// Waits for the end of the move.
    pub async fn finish(self) -> Option<MigratedRun> {
        match self {
            Self::Copying(copying) => copying.await,
            Self::Copied(migrated) => Some(*migrated),
        }
    }
}

/// Waits until a run has to be moved away from its engine.
async fn due(state: Arc<State>, call: Arc<Call>, endpoint: Name) {
    let at = call.pool.wait_for_departure(&endpoint).await;
    let time_left = at - MIGRATION_LEAD - state.clock.now();
    tokio::time::sleep(time_left.into()).await;
}

/// Has the engine copy the memory of the run to another one, and then stop the run.
///
/// The first copy takes up to 0.8 s behind those of other runs, while the run goes on. The second one
/// copies what came since, so the stream pauses for some 30 ms; stopped before the first, it paused for
/// longer than callers of streams accept.
async fn migrate(
    state: Arc<State>,
    call: Arc<Call>,
    source: SocketAddr,
    endpoint: Name,
    sends: u32,
) -> Option<MigratedRun> {
    let started_at = state.clock.now();
    let attempt =
        dispatch::place_attempt(&state, &call, started_at, std::slice::from_ref(&endpoint), sends)
            .ok()?;
    let copies = async {
        copy(&state, &call, source, attempt.placement.address, false).await?;
        let copied_at = state.clock.now();
        let handle = copy(&state, &call, source, attempt.placement.address, true).await?;
        Ok::<_, String>((handle, state.clock.now() - copied_at))
    };
    let copies = tokio::time::timeout(MIGRATION_TIMEOUT.into(), copies).await;
    let copies = copies.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    let (id, to) = (&call.head.attempt, &attempt.placement.endpoint);
    let ms = state.clock.now() - started_at;
    match copies {
        Ok((handle, pause)) => {
            event!(Info, "run_moved", id = id, from = endpoint, to = to, ms = ms, paused = pause);
            Some(MigratedRun { attempt, memory: MovedMemory { source, handle } })
        }
        Err(why) => {
            event!(Warn, "run_not_moved", id = id, from = endpoint, to = to, why = why, ms = ms);
            None
        }
    }
}

async fn copy(
    state: &State,
    call: &Call,
    source: SocketAddr,
    to: SocketAddr,
    stop_run: bool,
) -> Result<Name, String> {
    let dialect = &state.cfg.dialect;
    let req = dialect.copy_run(&call.head.attempt, to, stop_run).ok_or("engines can't")?;
    let (status, body) = state.connections.fetch(source, req, MAX_CONNECTION_IDLE).await?;
    dialect.memory_handle(status, &body).ok_or_else(|| status.to_string())
}
