//! Answers the long polls by which entry instances receive settings changes.

use std::sync::Arc;

use sill_net::PeerError;
use sill_wire::feed::{FeedPoll, FeedReply};

use crate::shared::Shared;

/// Answers a poll as soon as a newer revision is applied, else once its wait time has passed.
///
/// Without a leader the reply is empty, so that the entry instance polls another control instance:
/// this one may be partitioned from the changes of the others. An entry instance with an older
/// revision still gets the newer one, for example when it restarts in a partitioned failure domain.
///
/// # Errors
///
/// Never fails; peer calls require the type.
pub async fn poll(shared: Arc<Shared>, poll: FeedPoll) -> Result<FeedReply, PeerError> {
    shared.metrics.polls.inc();
    shared.entry_status.record_poll(shared.clock.now(), &poll);
    let mut revision = shared.log.revision();
    let is_newer = revision.wait_for(|revision| *revision > poll.have);
    let is_newer = tokio::time::timeout(poll.wait.into(), is_newer).await.is_ok();
    let reply = shared.log.app().read().changes_since(poll.have);
    if !is_newer && shared.log.status().leader.is_none() {
        return Ok(FeedReply::Empty);
    }
    Ok(reply)
}
