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
use crate::serve::TakenOver;
use crate::serve::signals::Offer;

/// Time that a hand-off is given at least; with less left it begins at once.
const NEEDED: Millis = Millis(1_500);

/// How long offers are gathered into one call.
const GATHER: Millis = Millis(5);

/// Requests in one call at most.
const MAX_RUNS: usize = 256;

/// How long a peer has to take requests over before another one is asked.
const TIMEOUT: Millis = Millis(500);

/// Threads that requests can be handed to.
pub type Takers = parking_lot::Mutex<Vec<mpsc::UnboundedSender<TakenOver>>>;

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
    begin(&app, notice.in_ms);
    http::json(200, &json!({ "accepted": true }))
}

/// Begins to leave.
pub fn begin(app: &Arc<Shared>, left: Millis) {
    event!(Info, "reclaim_notice", name = app.cfg.name, in_ms = left);
    app.is_stopping.store(true, Ordering::Relaxed);
    if app.is_reclaimed.swap(true, Ordering::Relaxed) {
        return;
    }
    let leaving = app.clone();
    app.runtime.spawn(async move {
        // Answers that come to their end meanwhile need not be moved.
        tokio::time::sleep(wait(left).into()).await;
        hand_off(&leaving).await;
    });
}

/// Hands over what a planned stop would cut at its limit, shortly before that.
///
/// A caller whose answer is cut has half of it, and whoever comes back has the prompt computed again; one
/// that was handed over finds its answer at a peer.
pub fn before_limit(app: &Arc<Shared>, limit: Millis) {
    let leaving = app.clone();
    app.runtime.spawn(async move {
        tokio::time::sleep(limit.since(NEEDED).into()).await;
        // What comes from now on would have to be handed over at once.
        if !leaving.is_reclaimed.swap(true, Ordering::Relaxed) {
            hand_off(&leaving).await;
        }
    });
}

/// Returns how long to let requests run on here.
fn wait(left: Millis) -> Millis {
    left.since(NEEDED.max(Millis(left.0 / 3)))
}

async fn hand_off(app: &Arc<Shared>) {
    let mut offers = app.signals.begin_hand_off();
    let mut refused = BTreeMap::new();
    while let Some(first) = offers.recv().await {
        tokio::time::sleep(GATHER.into()).await;
        let mut batch = vec![first];
        while batch.len() < MAX_RUNS {
            let Ok(next) = offers.try_recv() else {
                break;
            };
            batch.push(next);
        }
        give(app, batch, &mut refused).await;
    }
}

/// Offers requests to one peer after the other.
async fn give(app: &Arc<Shared>, mut batch: Vec<Offer>, refused: &mut BTreeMap<Name, u32>) {
    let mut peers = peers::active_peers(app);
    peers.sort_by_key(|peer| refused.get(peer).copied().unwrap_or_default());
    for peer in peers {
        if batch.is_empty() {
            return;
        }
        let runs = batch.iter().map(|offer| offer.run.clone()).collect();
        let call = HandOff { from: app.cfg.name.clone(), runs };
        let called = tokio::time::timeout(TIMEOUT.into(), peers::call(app, &peer, call)).await;
        match called {
            Ok(Ok(reply)) => {
                event!(Info, "handed_off", to = peer, requests = reply.accepted.len());
                batch = tell(batch, &reply, &peer);
            }
            Ok(Err(_)) | Err(_) => {
                event!(Warn, "hand_off_failed", to = peer, requests = batch.len());
                *refused.entry(peer).or_default() += 1;
                // Whether the peer has them is unknown. A second peer may run the others again, but
                // these could then be moved twice.
                batch.retain(|offer| offer.run.spec.is_idempotent);
            }
        }
    }
}

fn tell(batch: Vec<Offer>, reply: &HandOffReply, peer: &Name) -> Vec<Offer> {
    let mut left = Vec::new();
    for offer in batch {
        if reply.accepted.contains(&offer.run.spec.request) {
            let _ = offer.taken_by.send(Some(peer.clone()));
        } else {
            left.push(offer);
        }
    }
    left
}

/// Takes requests over from a peer.
///
/// # Errors
///
/// Refuses when this instance is leaving itself.
pub async fn take(app: Arc<Shared>, call: HandOff) -> Result<HandOffReply, PeerError> {
    if app.is_stopping.load(Ordering::Relaxed) {
        return Err(PeerError::Refused("leaving as well".to_owned()));
    }
    let mut taken = Vec::new();
    let takers = app.handoff_workers.lock();
    for (number, run) in call.runs.into_iter().enumerate() {
        let request = run.spec.request.clone();
        let Some(taker) = takers.get(number % takers.len().max(1)) else {
            break;
        };
        match taker.send(TakenOver::begin(&app, run)) {
            Ok(()) => taken.push(request),
            Err(unsent) => unsent.0.give_back(),
        }
    }
    event!(Info, "taken_over", from = call.from, requests = taken.len());
    Ok(HandOffReply { accepted: taken })
}
