//! Hand-off: when this instance is reclaimed or reaches the limit of a planned stop, every model
//! request in flight is handed over to a peer of the failure domain.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use ntex::web::{self, HttpRequest, HttpResponse};
use serde_json::json;
use sill_base::{Millis, Name, event};
use sill_flight::handoff::{HandOff, HandOffReply};
use sill_net::PeerError;
use sill_net::http::{self, Failure};
use sill_wire::ErrorCode;
use sill_wire::endpoint::ReclaimNotice;
use tokio::sync::mpsc;

use crate::daemon::Shared;
use crate::peers;
use crate::serve::IncomingRun;
use crate::serve::signals::Offer;

/// Minimum time reserved for a hand-off; with less time left it begins at once.
const MIN_HAND_OFF_TIME: Millis = Millis(1_500);

/// How long offers are collected for one call.
const BATCH_INTERVAL: Millis = Millis(5);

/// Maximum number of requests in one call.
const MAX_RUNS: usize = 256;

/// Timeout of a hand-off call to a peer, after which the next peer is asked.
const PEER_TIMEOUT: Millis = Millis(500);

/// Channels to the worker threads that resume requests handed over by peers.
pub type WorkerSenders = parking_lot::Mutex<Vec<mpsc::UnboundedSender<IncomingRun>>>;

/// Handles `POST /reclaim`, authorized by the join token.
pub async fn reclaim(
    app: web::types::State<Arc<Shared>>,
    req: HttpRequest,
    notice: web::types::Json<ReclaimNotice>,
) -> HttpResponse {
    let authorization = req.headers().get("authorization").and_then(|v| v.to_str().ok());
    if !authorization.is_some_and(|header| app.cfg.join_token.is_bearer(header)) {
        return Failure::new(ErrorCode::Unauthorized, "wrong join token")
            .response(&Name::default());
    }
    begin_reclaim(&app, notice.in_ms);
    http::json(200, &json!({ "accepted": true }))
}

/// Marks this instance as leaving and schedules the hand-off of its requests.
pub fn begin_reclaim(app: &Arc<Shared>, time_left: Millis) {
    event!(Info, "reclaim_notice", name = app.cfg.name, in_ms = time_left);
    app.is_stopping.store(true, Ordering::Relaxed);
    if app.is_reclaimed.swap(true, Ordering::Relaxed) {
        return;
    }
    let leaving = app.clone();
    app.runtime.spawn(async move {
        // Requests that finish during this delay need no hand-off.
        tokio::time::sleep(hand_off_delay(time_left).into()).await;
        hand_off(&leaving).await;
    });
}

/// Schedules the hand-off of requests that a planned stop would cut off, shortly before its limit.
///
/// A cut leaves the caller with half of the answer, and a retry computes the prompt again. After a
/// hand-off the caller finds its answer at a peer.
pub fn schedule_before_limit(app: &Arc<Shared>, limit: Millis) {
    let leaving = app.clone();
    app.runtime.spawn(async move {
        tokio::time::sleep(limit.since(MIN_HAND_OFF_TIME).into()).await;
        // Marking the instance as reclaimed refuses new requests, which would have to be handed
        // over at once.
        if !leaving.is_reclaimed.swap(true, Ordering::Relaxed) {
            hand_off(&leaving).await;
        }
    });
}

/// Returns how long requests keep running here before the hand-off: the time left minus a third of
/// it, but minus at least `MIN_HAND_OFF_TIME`.
fn hand_off_delay(time_left: Millis) -> Millis {
    time_left.since(MIN_HAND_OFF_TIME.max(Millis(time_left.0 / 3)))
}

async fn hand_off(app: &Arc<Shared>) {
    let mut offers = app.signals.begin_hand_off();
    let mut failures = BTreeMap::new();
    while let Some(first) = offers.recv().await {
        tokio::time::sleep(BATCH_INTERVAL.into()).await;
        let mut batch = vec![first];
        while batch.len() < MAX_RUNS {
            let Ok(next) = offers.try_recv() else {
                break;
            };
            batch.push(next);
        }
        offer_to_peers(app, batch, &mut failures).await;
    }
}

/// Offers a batch to one peer after another, starting with those that failed least often.
async fn offer_to_peers(
    app: &Arc<Shared>,
    mut batch: Vec<Offer>,
    failures: &mut BTreeMap<Name, u32>,
) {
    let mut peers = peers::active_peers(app);
    peers.sort_by_key(|peer| failures.get(peer).copied().unwrap_or_default());
    for peer in peers {
        if batch.is_empty() {
            return;
        }
        let runs = batch.iter().map(|offer| offer.run.clone()).collect();
        let call = HandOff { from: app.cfg.name.clone(), runs };
        let called = tokio::time::timeout(PEER_TIMEOUT.into(), peers::call(app, &peer, call)).await;
        match called {
            Ok(Ok(reply)) => {
                event!(Info, "handed_off", to = peer, requests = reply.accepted.len());
                batch = confirm_accepted(batch, &reply, &peer);
            }
            Ok(Err(_)) | Err(_) => {
                event!(Warn, "hand_off_failed", to = peer, requests = batch.len());
                *failures.entry(peer).or_default() += 1;
                // Whether the peer accepted the batch is unknown. Idempotent requests are offered
                // to the next peer, which may run them again; non-idempotent ones are not, since
                // they could be handed over twice.
                batch.retain(|offer| offer.run.spec.is_idempotent);
            }
        }
    }
}

fn confirm_accepted(batch: Vec<Offer>, reply: &HandOffReply, peer: &Name) -> Vec<Offer> {
    let mut remaining = Vec::new();
    for offer in batch {
        if reply.accepted.contains(&offer.run.spec.request) {
            let _ = offer.accepted_by.send(Some(peer.clone()));
        } else {
            remaining.push(offer);
        }
    }
    remaining
}

/// Accepts requests that a peer hands over, and distributes them over the worker threads.
///
/// # Errors
///
/// Refuses if this instance is stopping as well.
pub async fn accept(app: Arc<Shared>, call: HandOff) -> Result<HandOffReply, PeerError> {
    if app.is_stopping.load(Ordering::Relaxed) {
        return Err(PeerError::Refused("leaving as well".to_owned()));
    }
    let mut accepted = Vec::new();
    let workers = app.handoff_workers.lock();
    for (number, run) in call.runs.into_iter().enumerate() {
        let request = run.spec.request.clone();
        let Some(worker) = workers.get(number % workers.len().max(1)) else {
            break;
        };
        match worker.send(IncomingRun::register(&app, run)) {
            Ok(()) => accepted.push(request),
            Err(unsent) => unsent.0.unregister(),
        }
    }
    event!(Info, "taken_over", from = call.from, requests = accepted.len());
    Ok(HandOffReply { accepted })
}
