//! Asks the claims' log, in batches on a short tick.

use std::fmt::Debug;
use std::sync::Arc;

use parking_lot::Mutex;
use sill_base::{Map, Millis, event};
use sill_flight::ClaimTable;
use sill_net::PeerClient;
use sill_wire::claim::{ClaimAsk, ClaimBatch, ClaimKey, ClaimOwner, ClaimVerdict};
use tokio::sync::{mpsc, oneshot};

use crate::cfg::EntryCfg;
use crate::daemon::Shared;
use crate::peers;

/// How long asks are gathered.
const BATCH_INTERVAL: Millis = Millis(2);

/// Asks in one batch at most.
const MAX_BATCH: usize = 512;

/// How long one control instance has to answer.
const CALL_TIMEOUT: Millis = Millis(700);

/// Pause before the log is told again what it has to know.
const RETRY_DELAY: Millis = Millis(500);

/// How often the log is told before it is given up; the claim expires by itself then.
const MAX_SETTLE_ATTEMPTS: u32 = 120;

/// Pause before the log is asked again for the outcome of a key that another one holds.
const OUTCOME_POLL_INTERVAL: Millis = Millis(100);

/// How often it is asked again.
const MAX_OUTCOME_POLLS: u32 = 10;

/// The claims' log, as requests see it.
pub trait Claims: Debug + Send + Sync {
    /// Asks; a verdict that never comes reads as a closed channel.
    fn submit(&self, ask: ClaimAsk) -> oneshot::Receiver<ClaimVerdict>;

    /// Tells, and tells again until it was heard.
    fn settle(&self, ask: ClaimAsk);

    /// Returns whether a claim on the key was given up here, and the log may not know yet.
    fn is_releasing(&self, key: &ClaimKey) -> bool;
}

/// The claims' log of the control instances.
#[derive(Debug)]
pub struct ControlClaims {
    asks: mpsc::UnboundedSender<PendingAsk>,
    releases: PendingReleases,
}

#[derive(Debug)]
struct PendingAsk {
    ask: ClaimAsk,
    recipient: Recipient,
}

/// Who has to learn the verdict on an ask.
#[derive(Debug)]
enum Recipient {
    /// A request that waits for it.
    Request(oneshot::Sender<ClaimVerdict>),
    /// Nobody, but the log has to be told until it has heard.
    Settle { attempts: u32 },
    /// Nobody; what it repeats is told by another ask.
    None,
}

/// Releases that the log may not have heard yet.
///
/// A refused caller may be back before that. Its claim would find the key held by the refused
/// request, and the caller would be told that the outcome of a request is unknown that was never
/// sent. So a claim goes to the log behind the releases of its key, in the same batch.
#[derive(Debug, Clone, Default)]
struct PendingReleases(Arc<Mutex<Map<ClaimKey, Vec<ClaimOwner>>>>);

impl PendingReleases {
    fn add(&self, ask: &ClaimAsk) {
        if let ClaimAsk::Release { key, owner } = ask {
            self.0.lock().entry(key.clone()).or_default().push(owner.clone());
        }
    }

    fn remove(&self, ask: &ClaimAsk) {
        let ClaimAsk::Release { key, owner } = ask else {
            return;
        };
        let mut owners_by_key = self.0.lock();
        let Some(owners) = owners_by_key.get_mut(key) else {
            return;
        };
        owners.retain(|o| o != owner);
        if owners.is_empty() {
            owners_by_key.remove(key);
        }
    }

    fn contains(&self, key: &ClaimKey) -> bool {
        self.0.lock().contains_key(key)
    }

    /// Returns the releases that have to reach the log before an ask.
    fn releases_before(&self, ask: &ClaimAsk) -> Vec<PendingAsk> {
        let ClaimAsk::Take { key, .. } = ask else {
            return Vec::new();
        };
        let owners = self.0.lock().get(key).cloned().unwrap_or_default();
        let release = |owner| ClaimAsk::Release { key: key.clone(), owner };
        let asks = owners.into_iter().map(release);
        asks.map(|ask| PendingAsk { ask, recipient: Recipient::None }).collect()
    }
}

impl ControlClaims {
    /// Starts the task that sends batches; must be called inside a tokio runtime.
    pub fn start(cfg: &EntryCfg) -> Self {
        let clients: Vec<PeerClient> = cfg
            .control
            .iter()
            .map(|address| PeerClient::new(*address, &cfg.cluster_key, CALL_TIMEOUT))
            .collect();
        let (asks, rx) = mpsc::unbounded_channel();
        let releases = PendingReleases::default();
        let client = LogClient { clients: clients.into(), retry_tx: asks.downgrade(), releases };
        let releases = client.releases.clone();
        tokio::spawn(send_batches(client, rx));
        Self { asks, releases }
    }
}

impl Claims for ControlClaims {
    fn submit(&self, ask: ClaimAsk) -> oneshot::Receiver<ClaimVerdict> {
        let (tx, rx) = oneshot::channel();
        let _ = self.asks.send(PendingAsk { ask, recipient: Recipient::Request(tx) });
        rx
    }

    fn settle(&self, ask: ClaimAsk) {
        self.releases.add(&ask);
        let _ = self.asks.send(PendingAsk { ask, recipient: Recipient::Settle { attempts: 0 } });
    }

    fn is_releasing(&self, key: &ClaimKey) -> bool {
        self.releases.contains(key)
    }
}

/// Asks, and asks again for up to a second while the key is held without an outcome by an entry
/// instance that can't be asked itself.
///
/// An owner answers its caller before the log has the outcome. A caller that sends the request again
/// at once, through another failure domain, would be told that its outcome is unknown.
pub fn submit(app: &Arc<Shared>, ask: ClaimAsk) -> oneshot::Receiver<ClaimVerdict> {
    let (tx, rx) = oneshot::channel();
    let shared = app.clone();
    app.runtime.spawn(async move {
        let mut verdict = shared.claims.submit(ask.clone()).await;
        for _ in 0..MAX_OUTCOME_POLLS {
            let Ok(ClaimVerdict::Taken { owner, outcome: None }) = &verdict else {
                break;
            };
            if tx.is_closed() || peers::find_owner(&shared, owner).is_some() {
                break;
            }
            tokio::time::sleep(OUTCOME_POLL_INTERVAL.into()).await;
            verdict = shared.claims.submit(ask.clone()).await;
        }
        let _ = tx.send(verdict.unwrap_or(ClaimVerdict::Unavailable));
    });
    rx
}

/// Waits until the log has heard that a claim on a key was given up here.
///
/// A peer whose caller came with the same key takes the refused request for a running one until then.
pub async fn wait_for_release(app: &Arc<Shared>, key: &ClaimKey, wait: Millis) {
    let end = app.clock.now() + wait;
    while app.claims.is_releasing(key) && app.clock.now() < end {
        tokio::time::sleep(OUTCOME_POLL_INTERVAL.into()).await;
    }
}

/// What is needed to ask the claims' log.
#[derive(Debug, Clone)]
struct LogClient {
    clients: Arc<[PeerClient]>,
    retry_tx: mpsc::WeakUnboundedSender<PendingAsk>,
    releases: PendingReleases,
}

async fn send_batches(client: LogClient, mut asks: mpsc::UnboundedReceiver<PendingAsk>) {
    let mut turn = 0;
    while let Some(first) = asks.recv().await {
        tokio::time::sleep(BATCH_INTERVAL.into()).await;
        let mut batch = client.releases.releases_before(&first.ask);
        batch.push(first);
        while batch.len() < MAX_BATCH {
            let Ok(next) = asks.try_recv() else {
                break;
            };
            batch.extend(client.releases.releases_before(&next.ask));
            batch.push(next);
        }
        tokio::spawn(client.clone().send_batch(turn, batch));
        turn += 1;
    }
}

impl LogClient {
    /// Asks one control instance after the other until every ask has its verdict.
    async fn send_batch(self, turn: usize, mut batch: Vec<PendingAsk>) {
        for offset in 0..self.clients.len() {
            if batch.is_empty() {
                return;
            }
            let client = &self.clients[(turn + offset) % self.clients.len()];
            let call = ClaimBatch { asks: batch.iter().map(|a| a.ask.clone()).collect() };
            match client.call(&call).await {
                Ok(reply) if reply.verdicts.len() == batch.len() => {
                    batch = self.deliver(batch, reply.verdicts);
                }
                Ok(_) => event!(Error, "claims_garbled", address = client.address()),
                Err(err) => {
                    event!(Debug, "claims_unreachable", address = client.address(), error = err);
                }
            }
        }
        for ask in batch {
            self.handle_undecided(ask);
        }
    }

    /// Hands verdicts out, and returns the asks that this instance could not decide.
    fn deliver(&self, batch: Vec<PendingAsk>, verdicts: Vec<ClaimVerdict>) -> Vec<PendingAsk> {
        let mut undecided = Vec::new();
        for (ask, verdict) in batch.into_iter().zip(verdicts) {
            if verdict == ClaimVerdict::Unavailable {
                undecided.push(ask);
                continue;
            }
            self.releases.remove(&ask.ask);
            if let Recipient::Request(tx) = ask.recipient {
                let _ = tx.send(verdict);
            }
        }
        undecided
    }

    fn handle_undecided(&self, ask: PendingAsk) {
        match ask.recipient {
            Recipient::Request(tx) => drop(tx.send(ClaimVerdict::Unavailable)),
            Recipient::Settle { attempts } if attempts < MAX_SETTLE_ATTEMPTS => {
                let recipient = Recipient::Settle { attempts: attempts + 1 };
                self.retry_later(PendingAsk { recipient, ..ask });
            }
            Recipient::Settle { .. } => {
                self.releases.remove(&ask.ask);
                event!(Warn, "claim_not_settled", ask = format!("{:?}", ask.ask));
            }
            Recipient::None => {}
        }
    }

    fn retry_later(&self, ask: PendingAsk) {
        let retry_tx = self.retry_tx.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RETRY_DELAY.into()).await;
            if let Some(asks) = retry_tx.upgrade() {
                let _ = asks.send(ask);
            }
        });
    }
}

/// Claims held in memory, for tests and for trials with a single entry instance.
#[derive(Debug, Default)]
pub struct MemoryClaims(Mutex<ClaimTable>);

impl Claims for MemoryClaims {
    fn submit(&self, ask: ClaimAsk) -> oneshot::Receiver<ClaimVerdict> {
        let (tx, rx) = oneshot::channel();
        let _ = tx.send(self.0.lock().apply(Millis::wall(), &ask));
        rx
    }

    fn settle(&self, ask: ClaimAsk) {
        self.0.lock().apply(Millis::wall(), &ask);
    }

    fn is_releasing(&self, _key: &ClaimKey) -> bool {
        false
    }
}
