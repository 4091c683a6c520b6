//! How control instances tell each other what entry instances run.

use std::sync::Arc;

use sill_base::Millis;

use crate::rpc::{RunningAsk, RunningSync};
use crate::shared::Shared;

/// How often news are passed on to the other control instances.
const PUSH_INTERVAL: Millis = Millis(50);

/// How often everything is passed on, so that they know who is alive.
const REFRESH_INTERVAL: Millis = Millis(4000);

/// Asks the other control instances which entry instances they have heard of.
///
/// They tell it by themselves, but a little later. An operator who waits until a change is in force
/// everywhere would be told so while an entry instance that has just begun to poll another control
/// instance, or that stands still, does not run it yet.
pub async fn pull_from_peers(shared: &Shared) {
    let peers = shared.directory.peers();
    let calls = peers.iter().map(|peer| peer.quick.call(&RunningAsk {}));
    for sync in futures_util::future::join_all(calls).await.into_iter().flatten() {
        shared.running.merge(shared.clock.now(), &sync);
    }
}

/// Passes on to the other control instances what entry instances run.
pub async fn push_to_peers(shared: Arc<Shared>) {
    let mut refresh_at = Millis::ZERO;
    loop {
        tokio::time::sleep(PUSH_INTERVAL.into()).await;
        let now = shared.clock.now();
        let is_refresh = now >= refresh_at;
        if is_refresh {
            refresh_at = now + REFRESH_INTERVAL;
        }
        let entries = shared.running.take_updates(now, is_refresh);
        let endpoints = shared.running.take_new_reports(now);
        if entries.is_empty() && endpoints.is_empty() {
            continue;
        }
        let sync = RunningSync { entries, endpoints };
        let peers = shared.directory.peers();
        let calls = peers.iter().map(|peer| peer.quick.call(&sync));
        futures_util::future::join_all(calls).await;
    }
}
