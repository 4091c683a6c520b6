//! Answers the waiting calls by which entry instances get settings.

use std::sync::Arc;

use sill_net::PeerError;
use sill_wire::feed::{FeedPoll, FeedReply};

use crate::daemon::Shared;

/// Answers a poll at once when something is newer, else after its wait or the next change.
///
/// # Errors
///
/// Never fails; the type is what peer calls ask for.
pub async fn poll(shared: Arc<Shared>, poll: FeedPoll) -> Result<FeedReply, PeerError> {
    let mut newest = shared.newest.subscribe();
    let reply = shared.state.lock().feed(shared.clock.now(), &poll);
    if reply != FeedReply::Current {
        return Ok(reply);
    }
    let _ = tokio::time::timeout(poll.wait.into(), newest.changed()).await;
    Ok(shared.state.lock().feed(shared.clock.now(), &poll))
}
