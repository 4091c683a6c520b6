//! The end of this instance, by a reclaim or at the limit of a planned stop: every model request in flight
//! goes to a peer of the domain.

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

/// Time that a hand-off is given at least; with less left it begins at once.
const MIN_HAND_OFF_TIME: Millis = Millis(1_500);

/// How long offers are gathered into one call.
const BATCH_INTERVAL: Millis = Millis(5);

/// Requests in one call at most.
const MAX_RUNS: usize = 256;

/// How long a peer has to take requests over before another one is asked.
const PEER_TIMEOUT: Millis = Millis(500);

/// Threads that requests can be handed to.
pub type WorkerSenders = parking_lot::Mutex<Vec<mpsc::UnboundedSender<IncomingRun>>>;

/// `POST /reclaim`.
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

/// Begins to leave.
pub fn begin_reclaim(app: &Arc<Shared>, time_left: Millis) {
    event!(Info, "reclaim_notice", name = app.cfg.name, in_ms = time_left);
    app.stopping.store(true, Ordering::Relaxed);
    if app.reclaimed.swap(true, Ordering::Relaxed) {
        return;
    }
    let leaving = app.clone();
    app.runtime.spawn(async move {
        // Answers that come to their end meanwhile need not be moved.
        tokio::time::sleep(hand_off_delay(time_left).into()).await;
        hand_off(&leaving).await;
    });
}

/// Hands over what a planned stop would cut at its limit, shortly before that.
///
/// A caller whose answer is cut has half of it, and whoever comes back has the prompt computed again; one
/// that was handed over finds its answer at a peer.
pub fn schedule_before_limit(app: &Arc<Shared>, limit: Millis) {
    let leaving = app.clone();
    app.runtime.spawn(async move {
        tokio::time::sleep(limit.since(MIN_HAND_OFF_TIME).into()).await;
        // What comes from now on would have to be handed over at once.
        if !leaving.reclaimed.swap(true, Ordering::Relaxed) {
            hand_off(&leaving).await;
        }
    });
}

/// Returns how long to let requests run on here.
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

/// Offers requests to one peer after the other.
async fn offer_to_peers(
    app: &Arc<Shared>,
    mut batch: Vec<Offer>,
    failures: &mut BTreeMap<Name, u32>,
) {
    let mut peers = peers::candidates(app);
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
                // Whether the peer has them is unknown. A second peer may run the others again, but
                // these could then be moved twice.
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

/// Takes requests over from a peer.
///
/// # Errors
///
/// Refuses when this instance is leaving itself.
pub async fn accept(app: Arc<Shared>, call: HandOff) -> Result<HandOffReply, PeerError> {
    if app.stopping.load(Ordering::Relaxed) {
        return Err(PeerError::Refused("leaving as well".to_owned()));
    }
    let mut accepted = Vec::new();
    let workers = app.takers.lock();
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
