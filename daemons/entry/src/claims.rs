//! Client of the claims' log, which sends commands in batches.

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

/// How long commands are collected for a batch.
const BATCH_INTERVAL: Millis = Millis(2);

/// Maximum number of commands in a batch, apart from the releases sent ahead of the last one.
const MAX_BATCH: usize = 512;

/// Timeout of a call to one control instance.
const CALL_TIMEOUT: Millis = Millis(700);

/// Delay before a command that must reach the log is sent again.
const RETRY_DELAY: Millis = Millis(500);

/// How often such a command is retried. After that the claim is left to expire.
const MAX_SETTLE_ATTEMPTS: u32 = 120;

/// Poll interval while the outcome of a key held by another request, or a release, is pending.
const OUTCOME_POLL_INTERVAL: Millis = Millis(100);

/// Maximum number of polls for an outcome.
const MAX_OUTCOME_POLLS: u32 = 10;

/// Interface of the claims' log for requests.
pub trait Claims: Debug + Send + Sync {
    /// Submits a command. A closed channel means that there will be no verdict.
    fn submit(&self, ask: ClaimAsk) -> oneshot::Receiver<ClaimVerdict>;

    /// Submits a command that nobody waits for, and retries until the log has decided it or the
    /// implementation gives up.
    fn settle(&self, ask: ClaimAsk);

    /// Returns whether this instance released a claim on the key and the log may not have applied
    /// that yet.
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

/// Who receives the verdict on a command.
#[derive(Debug)]
enum Recipient {
    /// A request that waits for the verdict.
    Request(oneshot::Sender<ClaimVerdict>),
    /// Nobody, but the command is retried until the log has decided it.
    Settle { attempts: u32 },
    /// Nobody; the command duplicates one that is retried on its own.
    None,
}

/// Releases that the log may not have applied yet.
///
/// A refused caller may resend before they are applied. Its claim would find the key held by the
/// refused request, and the caller would be told that the outcome is unknown of a request that was
/// never sent. So a claim is sent after the releases of its key, in the same batch.
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

    /// Returns the releases that the log has to apply before a command.
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
    /// Starts the task that sends batches. Must be called inside a tokio runtime.
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

/// Submits a claim, and polls for up to a second while the key is held without an outcome by an
/// entry instance that can't be queried directly.
///
/// An owner answers its caller before the log has the outcome. A caller that resends the request at
/// once through another failure domain would otherwise be told that its outcome is unknown.
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

/// Waits up to `wait` until the log has applied this instance's releases of a key.
///
/// Until then, a peer that received a request with the same key treats the refused request as
/// running.
pub async fn wait_for_release(app: &Arc<Shared>, key: &ClaimKey, wait: Millis) {
    let end = app.clock.now() + wait;
    while app.claims.is_releasing(key) && app.clock.now() < end {
        tokio::time::sleep(OUTCOME_POLL_INTERVAL.into()).await;
    }
}

/// State of the task that sends batches to the claims' log.
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
    /// Sends a batch to one control instance after another until every command has its verdict.
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

    /// Delivers verdicts, and returns the commands that this control instance could not decide.
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

/// A claims' log in memory, for tests and trials with a single entry instance.
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
