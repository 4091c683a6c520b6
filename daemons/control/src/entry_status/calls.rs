//! Exchange of the entry instances' status between control instances.

use std::sync::Arc;

use sill_base::Millis;

use crate::rpc::{EntryStatusRequest, EntryStatusSync};
use crate::shared::Shared;

/// Interval at which changes are sent to the other control instances.
const PUSH_INTERVAL: Millis = Millis(50);

/// Interval at which the status of all live entry instances is sent, so that peers see them as
/// live.
const REFRESH_INTERVAL: Millis = Millis(4000);

/// Merges the entry instances' status from all other control instances.
///
/// They also send it unasked, but with a delay. Without this call, an operator who waits until a
/// change is in force everywhere could get a confirmation while an entry instance that just started
/// to poll another control instance, or that is stalled, does not run it yet.
pub async fn pull_from_peers(shared: &Shared) {
    let peers = shared.directory.peers();
    let calls = peers.iter().map(|peer| peer.client.call(&EntryStatusRequest {}));
    for sync in futures_util::future::join_all(calls).await.into_iter().flatten() {
        shared.entry_status.merge(shared.clock.now(), &sync);
    }
}

/// Sends the entry instances' status to the other control instances for as long as the process
/// runs.
pub async fn push_to_peers(shared: Arc<Shared>) {
    let mut refresh_at = Millis::ZERO;
    loop {
        tokio::time::sleep(PUSH_INTERVAL.into()).await;
        let now = shared.clock.now();
        let is_refresh = now >= refresh_at;
        if is_refresh {
            refresh_at = now + REFRESH_INTERVAL;
        }
        let entries = shared.entry_status.take_updates(now, is_refresh);
        let endpoints = shared.entry_status.take_new_reports(now);
        if entries.is_empty() && endpoints.is_empty() {
            continue;
        }
        let sync = EntryStatusSync { entries, endpoints };
        let peers = shared.directory.peers();
        let calls = peers.iter().map(|peer| peer.client.call(&sync));
        futures_util::future::join_all(calls).await;
    }
}
