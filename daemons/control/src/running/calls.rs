//! How control instances tell each other what entry instances run.

use std::sync::Arc;

use sill_base::Millis;

use crate::rpc::{EntryStatusRequest, EntryStatusSync};
use crate::shared::Shared;

/// How often news are passed on to the other control instances.
const TICK: Millis = Millis(50);

/// How often everything is passed on, so that they know who is alive.
const REFRESH: Millis = Millis(4000);

/// Asks the other control instances which entry instances they have heard of.
///
/// They tell it by themselves, but a little later. An operator who waits until a change is in force
/// everywhere would be told so while an entry instance that has just begun to poll another control
/// instance, or that stands still, does not run it yet.
pub async fn ask_all(shared: &Shared) {
    let peers = shared.directory.peers();
    let calls = peers.iter().map(|peer| peer.client.call(&EntryStatusRequest {}));
    for told in futures_util::future::join_all(calls).await.into_iter().flatten() {
        shared.running.told(shared.clock.now(), &told);
    }
}

/// Passes on to the other control instances what entry instances run.
pub async fn pass_on(shared: Arc<Shared>) {
    let mut refresh_at = Millis::ZERO;
    loop {
        tokio::time::sleep(TICK.into()).await;
        let now = shared.clock.now();
        let everything = now >= refresh_at;
        if everything {
            refresh_at = now + REFRESH;
        }
        let entries = shared.running.own(now, everything);
        let endpoints = shared.running.new_reports(now);
        if entries.is_empty() && endpoints.is_empty() {
            continue;
        }
        let sync = EntryStatusSync { entries, endpoints };
        let peers = shared.directory.peers();
        let calls = peers.iter().map(|peer| peer.client.call(&sync));
        futures_util::future::join_all(calls).await;
    }
}
