//! Migrates runs off an engine before it is reclaimed.
//!
//! A stream that can't be resumed is lost with its engine, and its prompt, often one of the
//! longest, has been computed in vain. Engines can stop such a run and copy its KV cache to another
//! engine, which continues the run. The platform's notice of two seconds is long enough for this.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use futures_util::future::BoxFuture;
use sill_base::{Millis, Name, event};

use sill_wire::Software;

use crate::dialect::MigratedMemory;
use crate::dispatch::{self, Attempt};
use crate::egress::Destination;
use crate::serve::Call;
use crate::state::State;

/// How long before the end of its engine a run starts to be migrated. Most runs finish before that.
/// The KV cache of each remaining one takes 15 ms, one after the other, for some twenty runs at an
/// engine.
const MIGRATION_LEAD: Millis = Millis(1000);

/// Time limit of a migration; after that the engine is gone.
const MIGRATION_TIMEOUT: Millis = Millis(950);

/// Longest time that a connection may have been idle if a copy request is sent on it.
const MAX_CONNECTION_IDLE: Millis = Millis(2000);

/// A migrated run and the attempt that continues it.
pub struct MigratedRun {
    /// The attempt at the engine that now has the KV cache.
    pub attempt: Attempt,
    /// The KV cache and the engine it was copied from.
    pub memory: MigratedMemory,
}

/// The state of a run's migration: not due, in progress or copied.
#[derive(Default)]
pub struct RunMigration {
    /// Resolves when the run has to leave its engine; none once that has happened.
    due: Option<BoxFuture<'static, ()>>,
    transfer: Option<MemoryTransfer>,
    /// Whether the engine was asked to stop the run.
    stop_requested: Arc<AtomicBool>,
}

/// A migration that was started.
pub enum MemoryTransfer {
    /// The KV cache of the run is being copied.
    Copying(BoxFuture<'static, Option<MigratedRun>>),
    /// The KV cache is copied; the old stream has not ended yet.
    Copied(Box<MigratedRun>),
}

impl RunMigration {
    /// Creates the migration of an attempt's run, to start when its engine is about to end.
    pub fn of(attempt: &Attempt) -> Self {
        let (state, call) = (attempt.state().clone(), attempt.call().clone());
        let endpoint = attempt.placement.endpoint.clone();
        Self { due: Some(Box::pin(due(state, call, endpoint))), ..Self::default() }
    }

    /// Starts the migration once it is due, and drives it.
    pub fn poll(&mut self, cx: &mut Context<'_>, attempt: &Attempt, sends: u32) {
        if self.due.as_mut().is_some_and(|due| due.as_mut().poll(cx).is_ready()) {
            self.due = None;
            // The process ends before the engine does, so a migration can't save the stream. The
            // engine copies one KV cache after the other, and would have less time for the runs of
            // other entry instances.
            if attempt.state().planned_stop.ends_within(MIGRATION_LEAD) {
                return;
            }
            let source = Destination::from(&attempt.placement);
            let (state, call) = (attempt.state().clone(), attempt.call().clone());
            // The router tells attempts of one call apart by their number.
            let stop_requested = self.stop_requested.clone();
            let software = attempt.placement.software.clone();
            let migrated = migrate(state, call, source, software, sends + 1, stop_requested);
            self.transfer = Some(MemoryTransfer::Copying(Box::pin(migrated)));
        }
        if let Some(MemoryTransfer::Copying(copying)) = &mut self.transfer
            && let Poll::Ready(migrated) = copying.as_mut().poll(cx)
        {
            self.transfer = migrated.map(|migrated| MemoryTransfer::Copied(Box::new(migrated)));
        }
    }

    /// Returns whether the copy is complete and only the old stream has to end.
    pub const fn is_copied(&self) -> bool {
        matches!(self.transfer, Some(MemoryTransfer::Copied(_)))
    }

    /// Returns whether the engine was asked to stop the run and has not replied yet.
    pub fn is_stopping_run(&self) -> bool {
        matches!(self.transfer, Some(MemoryTransfer::Copying(_))) && self.has_stopped_run()
    }

    /// Returns whether the engine was asked to stop the run, so its stream may end anywhere.
    pub fn has_stopped_run(&self) -> bool {
        self.stop_requested.load(Ordering::Relaxed)
    }

    /// Takes the migration out, if it was started.
    pub fn take(&mut self) -> Option<MemoryTransfer> {
        self.transfer.take()
    }
}

impl MemoryTransfer {
    /// Waits until the KV cache is copied; none if the migration failed.
    pub async fn finish(self) -> Option<MigratedRun> {
        match self {
            Self::Copying(copying) => copying.await,
            Self::Copied(migrated) => Some(*migrated),
        }
    }
}

/// Waits until a run has to leave its engine.
async fn due(state: Arc<State>, call: Arc<Call>, endpoint: Name) {
    let at = call.pool.wait_for_departure(&endpoint).await;
    let time_left = at - MIGRATION_LEAD - state.clock.now();
    tokio::time::sleep(time_left.into()).await;
}

/// Has the engine copy the run's KV cache to another engine of its version, and then stop the run.
///
/// The first copy takes up to 0.8 s behind those of other runs, while the run continues. The second
/// one copies what was added since, so the stream pauses for some 30 ms. Stopping the run before
/// the first copy made the pause longer than callers of streams accept.
async fn migrate(
    state: Arc<State>,
    call: Arc<Call>,
    source: Destination,
    software: Software,
    sends: u32,
    stop_requested: Arc<AtomicBool>,
) -> Option<MigratedRun> {
    let started_at = state.clock.now();
    let attempt = dispatch::place_attempt(
        &state,
        &call,
        started_at,
        std::slice::from_ref(&source.endpoint),
        sends,
        Some(software),
    )
    .ok()?;
    let copies = async {
        copy(&state, &call, &source, attempt.placement.address, false).await?;
        let copied_at = state.clock.now();
        stop_requested.store(true, Ordering::Relaxed);
        let handle = copy(&state, &call, &source, attempt.placement.address, true).await?;
        Ok::<_, String>((handle, state.clock.now() - copied_at))
    };
    let copies = tokio::time::timeout(MIGRATION_TIMEOUT.into(), copies).await;
    let copies =
        copies.unwrap_or_else(|_| Err("copy not complete within the time limit".to_owned()));
    let (id, to) = (&call.head.attempt, &attempt.placement.endpoint);
    let Destination { endpoint, address, .. } = &source;
    let ms = state.clock.now() - started_at;
    match copies {
        Ok((handle, pause)) => {
            event!(Info, "run_moved", id = id, from = endpoint, to = to, ms = ms, paused = pause);
            Some(MigratedRun { attempt, memory: MigratedMemory { source: *address, handle } })
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
    source: &Destination,
    to: SocketAddr,
    stop_run: bool,
) -> Result<Name, String> {
    if state.is_paused(&source.endpoint, source.incarnation) {
        return Err("the engine has asked for a pause".to_owned());
    }
    let dialect = &state.cfg.dialect;
    let req =
        dialect.copy_run(&call.head.attempt, to, stop_run).ok_or("engines can't copy runs")?;
    let (status, body) =
        state.egress.fetch(source, req, &call.head.attempt, MAX_CONNECTION_IDLE).await?;
    dialect.memory_handle(status, &body).ok_or_else(|| status.to_string())
}
