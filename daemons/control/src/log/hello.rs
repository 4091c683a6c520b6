//! How a control instance starts a log, or asks to take part in one.

use std::sync::Arc;

use sill_base::{Millis, event};
use sill_quorum::{Event, Members, ReplicaId};

use crate::daemon::Shared;
use crate::rpc::{Hello, HelloReply};

/// Pause between two tries.
const PAUSE: Millis = Millis(500);

/// Asks all others for as long as this instance is not a voter.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let status = shared.log.status();
        if !status.is_voter {
            let replies = ask_all(&shared).await;
            if status.is_new {
                found(&shared, &replies);
            }
        }
        tokio::time::sleep(PAUSE.into()).await;
    }
}

async fn ask_all(shared: &Shared) -> Vec<HelloReply> {
    let id = shared.id.clone();
    let as_voter = shared.cfg.voters.iter().any(|voter| voter.name == shared.cfg.name);
    let hello = Hello { id, as_voter };
    let calls = shared.controls.iter().map(|peer| peer.quick.call(&hello));
    futures_util::future::join_all(calls).await.into_iter().flatten().collect()
}

/// Starts the log, if all voters are there, all are new, and this one comes first by name.
///
/// A majority would not be enough: two voters that lost their disks would start an empty log, and
/// forget all that the third one still has.
fn found(shared: &Shared, replies: &[HelloReply]) {
    let mut names: Vec<_> = shared.cfg.voters.iter().map(|voter| &voter.name).collect();
    names.sort();
    if names.first() != Some(&&shared.cfg.name) {
        return;
    }
    let mut ids: Vec<ReplicaId> = vec![shared.id.clone()];
    let others = replies.iter().filter(|reply| reply.is_new);
    ids.extend(others.map(|reply| reply.id.clone()).filter(|id| names.contains(&&id.name)));
    if ids.len() == names.len() {
        event!(Info, "log_started", voters = ids.len());
        shared.log.event(Event::Found(Members::of_voters(ids)));
    }
}

/// Answers a control instance that is not a voter.
pub fn answer(shared: &Shared, hello: Hello) -> HelloReply {
    let Hello { id, as_voter } = hello;
    let is_wanted = as_voter && shared.cfg.voters.iter().any(|voter| voter.name == id.name);
    shared.log.event(Event::Join { id, as_voter: is_wanted });
    HelloReply { id: shared.id.clone(), is_new: shared.log.status().is_new }
}
