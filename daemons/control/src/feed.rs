//! Answers the waiting calls by which entry instances get settings.

use std::sync::Arc;

use sill_net::PeerError;
use sill_wire::feed::{FeedPoll, FeedReply};

use crate::shared::Shared;

/// Answers a poll at once when something is newer, else after its wait or the next change.
///
/// Without a leader it says that it has nothing, so that the entry instance asks another one: this
/// instance may be cut off from the changes of the others. What it has is still handed to one
/// that has less, as to an entry instance that restarts in a cut-off failure domain.
///
/// # Errors
///
/// Never fails; the type is what peer calls ask for.
pub async fn poll(shared: Arc<Shared>, poll: FeedPoll) -> Result<FeedReply, PeerError> {
    shared.metrics.polls.inc();
    shared.running.record_poll(shared.clock.now(), &poll);
    let mut revision = shared.log.revision();
    let is_newer = revision.wait_for(|revision| *revision > poll.have);
    let is_newer = tokio::time::timeout(poll.wait.into(), is_newer).await.is_ok();
    let reply = shared.log.app().read().changes_since(poll.have);
    if !is_newer && shared.log.status().leader.is_none() {
        return Ok(FeedReply::Empty);
    }
    Ok(reply)
}
