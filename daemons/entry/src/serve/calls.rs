//! Calls that peers make about requests: hand-off, lookup, removal and following.

use std::sync::Arc;

use sill_flight::handoff::HandOff;
use sill_net::PeerServerBuilder;
use sill_wire::handoff::{FollowReply, FollowRun, ForgetRun, LocateRun};

use super::attach;
use crate::claims;
use crate::daemon::Shared;
use crate::handoff;

/// Registers the handlers of these calls at the peer server.
pub fn register(peers: &mut PeerServerBuilder, shared: &Arc<Shared>) {
    let app = shared.clone();
    peers.answer(move |call: HandOff| handoff::accept(app.clone(), call));
    let app = shared.clone();
    peers.answer(move |call: LocateRun| {
        let location = attach::locate(&app, &call);
        async move { Ok(location) }
    });
    let app = shared.clone();
    peers.answer(move |call: ForgetRun| {
        app.directory.lock().remove(&call.key, &call.run);
        async move { Ok(()) }
    });
    let app = shared.clone();
    peers.answer(move |call: FollowRun| {
        let app = app.clone();
        async move {
            if let Some(run) = app.runs.get(&call.key) {
                return Ok(run.follow(call.from, call.wait).await);
            }
            claims::wait_for_release(&app, &call.key, call.wait).await;
            Ok(FollowReply::Unknown)
        }
    });
}
