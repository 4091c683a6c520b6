//! Runs that are moved away from an engine before it is taken back.
//!
//! A stream that may not be resumed is lost with its engine, and its prompt, mostly the longest ones,
//! is computed in vain. Engines can stop such a run and copy its memory to another one, which goes on
//! with it; the platform's notice of two seconds is enough.

use std::net::SocketAddr;
use std::sync::Arc;

use sill_base::{Millis, Name, event};

use crate::dialect::MovedMemory;
use crate::dispatch::{self, Attempt};
use crate::serve::Call;
use crate::state::State;

/// How long before its engine is gone a run begins to be moved. Most runs end before; the memory of the
/// rest takes 15 ms each, one after the other, for some twenty of them at an engine.
const AHEAD: Millis = Millis(1000);

/// How long a move may take; after that the engine is gone.
const PATIENCE: Millis = Millis(950);

/// Time for which a connection for such a call may have been unused.
const MAX_IDLE: Millis = Millis(2000);

/// A run that was moved, and the attempt that goes on with it.
pub struct Moved {
    /// Counted at the engine that has the memory now.
    pub attempt: Attempt,
    /// Where the memory came from.
    pub memory: MovedMemory,
}

/// Waits until a run has to be moved away from its engine.
pub async fn due(state: Arc<State>, call: Arc<Call>, endpoint: Name) {
    let at = call.pool.departure(&endpoint).await;
    let left = at - AHEAD - state.clock.now();
    tokio::time::sleep(left.into()).await;
}

/// Has the engine copy the memory of the run to another one, and then stop the run.
///
/// The first copy takes up to 0.8 s behind those of other runs, while the run goes on. The second one
/// copies what came since, so the stream pauses for some 30 ms; stopped before the first, it paused for
/// longer than callers of streams accept.
pub async fn run(
    state: Arc<State>,
    call: Arc<Call>,
    source: SocketAddr,
    endpoint: Name,
    sends: u32,
) -> Option<Moved> {
    let began = state.clock.now();
    let attempt =
        dispatch::place(&state, &call, began, std::slice::from_ref(&endpoint), sends).ok()?;
    let copies = async {
        copy(&state, &call, source, attempt.place.address, false).await?;
        let copied = state.clock.now();
        let handle = copy(&state, &call, source, attempt.place.address, true).await?;
        Ok::<_, String>((handle, state.clock.now() - copied))
    };
    let copies = tokio::time::timeout(PATIENCE.into(), copies).await;
    let copies = copies.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    let (id, to) = (&call.head.attempt, &attempt.place.endpoint);
    let ms = state.clock.now() - began;
    match copies {
        Ok((handle, paused)) => {
            event!(Info, "run_moved", id = id, from = endpoint, to = to, ms = ms, paused = paused);
            Some(Moved { attempt, memory: MovedMemory { source, handle } })
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
    stops: bool,
) -> Result<Name, String> {
    let dialect = &state.cfg.dialect;
    let req = dialect.copy_run(&call.head.attempt, to, stops).ok_or("engines can't")?;
    let (status, body) = state.connections.fetch(source, req, MAX_IDLE).await?;
    dialect.copied(status, &body).ok_or_else(|| status.to_string())
}
