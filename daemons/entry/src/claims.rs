//! Asks the claims' log, in batches on a short tick.

use std::fmt::Debug;
use std::sync::Arc;

use parking_lot::Mutex;
use sill_base::{Millis, event};
use sill_flight::ClaimTable;
use sill_net::PeerClient;
use sill_wire::claim::{ClaimAsk, ClaimBatch, ClaimVerdict};
use tokio::sync::{mpsc, oneshot};

use crate::cfg::EntryCfg;
use crate::daemon::Shared;
use crate::peers;

/// How long asks are gathered.
const TICK: Millis = Millis(2);

/// Asks in one batch at most.
const MAX_BATCH: usize = 512;

/// How long one control instance has to answer.
const TIMEOUT: Millis = Millis(700);

/// Pause before the log is told again what it has to know.
const RETRY: Millis = Millis(500);

/// How often the log is told before it is given up; the claim expires by itself then.
const MAX_TELLS: u32 = 120;

/// Pause before the log is asked again for the outcome of a key that another one holds.
const OUTCOME_PAUSE: Millis = Millis(100);

/// How often it is asked again.
const OUTCOME_ASKS: u32 = 10;

/// The claims' log, as requests see it.
pub trait Claims: Debug + Send + Sync {
    /// Asks; a verdict that never comes reads as a closed channel.
    fn ask(&self, ask: ClaimAsk) -> oneshot::Receiver<ClaimVerdict>;

    /// Tells, and tells again until it was heard.
    fn settle(&self, ask: ClaimAsk);
}

/// The claims' log of the control instances.
#[derive(Debug)]
pub struct ControlClaims {
    asks: mpsc::UnboundedSender<Ask>,
}

#[derive(Debug)]
struct Ask {
    ask: ClaimAsk,
    reply: Option<oneshot::Sender<ClaimVerdict>>,
    tells: u32,
}

impl ControlClaims {
    /// Starts the task that sends batches; must be called inside a tokio runtime.
    pub fn start(cfg: &EntryCfg) -> Self {
        let clients: Vec<PeerClient> = cfg
            .control
            .iter()
            .map(|address| PeerClient::new(*address, &cfg.cluster_key, TIMEOUT))
            .collect();
        let (asks, rx) = mpsc::unbounded_channel();
        tokio::spawn(gather(clients.into(), rx, asks.downgrade()));
        Self { asks }
    }
}

impl Claims for ControlClaims {
    fn ask(&self, ask: ClaimAsk) -> oneshot::Receiver<ClaimVerdict> {
        let (tx, rx) = oneshot::channel();
        let _ = self.asks.send(Ask { ask, reply: Some(tx), tells: 0 });
        rx
    }

    fn settle(&self, ask: ClaimAsk) {
        let _ = self.asks.send(Ask { ask, reply: None, tells: 0 });
    }
}

/// Asks, and asks again for up to a second while the key is held without an outcome by an entry
/// instance that can't be asked itself.
///
/// An owner answers its caller before the log has the outcome. A caller that sends the request again
/// at once, through another failure domain, would be told that its outcome is unknown.
pub fn ask(app: &Arc<Shared>, ask: ClaimAsk) -> oneshot::Receiver<ClaimVerdict> {
    let (tx, rx) = oneshot::channel();
    let shared = app.clone();
    app.runtime.spawn(async move {
        let mut verdict = shared.claims.ask(ask.clone()).await;
        for _ in 0..OUTCOME_ASKS {
            let Ok(ClaimVerdict::Taken { owner, outcome: None }) = &verdict else {
                break;
            };
            if tx.is_closed() || peers::find_owner(&shared, owner).is_some() {
                break;
            }
            tokio::time::sleep(OUTCOME_PAUSE.into()).await;
            verdict = shared.claims.ask(ask.clone()).await;
        }
        let _ = tx.send(verdict.unwrap_or(ClaimVerdict::Unavailable));
    });
    rx
}

async fn gather(
    clients: Arc<[PeerClient]>,
    mut asks: mpsc::UnboundedReceiver<Ask>,
    again: mpsc::WeakUnboundedSender<Ask>,
) {
    let mut turn = 0;
    while let Some(first) = asks.recv().await {
        tokio::time::sleep(TICK.into()).await;
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH {
            let Ok(next) = asks.try_recv() else {
                break;
            };
            batch.push(next);
        }
        tokio::spawn(carry(clients.clone(), turn, batch, again.clone()));
        turn += 1;
    }
}

/// Asks one control instance after the other until every ask has its verdict.
async fn carry(
    clients: Arc<[PeerClient]>,
    turn: usize,
    mut batch: Vec<Ask>,
    again: mpsc::WeakUnboundedSender<Ask>,
) {
    for offset in 0..clients.len() {
        if batch.is_empty() {
            return;
        }
        let client = &clients[(turn + offset) % clients.len()];
        let call = ClaimBatch { asks: batch.iter().map(|a| a.ask.clone()).collect() };
        match client.call(&call).await {
            Ok(reply) if reply.verdicts.len() == batch.len() => {
                batch = hand_out(batch, reply.verdicts);
            }
            Ok(_) => event!(Error, "claims_garbled", address = client.address()),
            Err(err) => {
                event!(Debug, "claims_unreachable", address = client.address(), error = err);
            }
        }
    }
    for ask in batch {
        give_up(ask, &again);
    }
}

/// Hands verdicts out, and returns the asks that this instance could not decide.
fn hand_out(batch: Vec<Ask>, verdicts: Vec<ClaimVerdict>) -> Vec<Ask> {
    let mut undecided = Vec::new();
    for (ask, verdict) in batch.into_iter().zip(verdicts) {
        if verdict == ClaimVerdict::Unavailable {
            undecided.push(ask);
        } else if let Some(reply) = ask.reply {
            let _ = reply.send(verdict);
        }
    }
    undecided
}

fn give_up(mut ask: Ask, again: &mpsc::WeakUnboundedSender<Ask>) {
    if let Some(reply) = ask.reply.take() {
        let _ = reply.send(ClaimVerdict::Unavailable);
        return;
    }
    ask.tells += 1;
    if ask.tells > MAX_TELLS {
        event!(Warn, "claim_not_settled", ask = format!("{:?}", ask.ask));
        return;
    }
    let again = again.clone();
    tokio::spawn(async move {
        tokio::time::sleep(RETRY.into()).await;
        if let Some(asks) = again.upgrade() {
            let _ = asks.send(ask);
        }
    });
}

/// Claims held in memory, for tests and for trials with a single entry instance.
#[derive(Debug, Default)]
pub struct MemoryClaims(Mutex<ClaimTable>);

impl Claims for MemoryClaims {
    fn ask(&self, ask: ClaimAsk) -> oneshot::Receiver<ClaimVerdict> {
        let (tx, rx) = oneshot::channel();
        let _ = tx.send(self.0.lock().apply(Millis::wall(), &ask));
        rx
    }

    fn settle(&self, ask: ClaimAsk) {
        self.0.lock().apply(Millis::wall(), &ask);
    }
}
