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

    /// Returns whether a claim on the key was given up here, and the log may not know yet.
    fn is_releasing(&self, key: &ClaimKey) -> bool;
}

/// The claims' log of the control instances.
#[derive(Debug)]
pub struct ControlClaims {
    asks: mpsc::UnboundedSender<Ask>,
    releases: Releases,
}

#[derive(Debug)]
struct Ask {
    ask: ClaimAsk,
    to: Recipient,
}

/// Who has to learn the verdict on an ask.
#[derive(Debug)]
enum Recipient {
    /// A request that waits for it.
    Request(oneshot::Sender<ClaimVerdict>),
    /// Nobody, but the log has to be told until it has heard.
    Settling { tells: u32 },
    /// Nobody; what it repeats is told by another ask.
    Nobody,
}

/// Releases that the log may not have heard yet.
///
/// A refused caller may be back before that. Its claim would find the key held by the refused
/// request, and the caller would be told that the outcome of a request is unknown that was never
/// sent. So a claim goes to the log behind the releases of its key, in the same batch.
#[derive(Debug, Clone, Default)]
struct Releases(Arc<Mutex<Map<ClaimKey, Vec<ClaimOwner>>>>);

impl Releases {
    fn note(&self, ask: &ClaimAsk) {
        if let ClaimAsk::Release { key, owner } = ask {
            self.0.lock().entry(key.clone()).or_default().push(owner.clone());
        }
    }

    fn forget(&self, ask: &ClaimAsk) {
        let ClaimAsk::Release { key, owner } = ask else {
            return;
        };
        let mut owners_of = self.0.lock();
        let Some(owners) = owners_of.get_mut(key) else {
            return;
        };
        owners.retain(|o| o != owner);
        if owners.is_empty() {
            owners_of.remove(key);
        }
    }

    fn has(&self, key: &ClaimKey) -> bool {
        self.0.lock().contains_key(key)
    }

    /// Returns the releases that have to reach the log before an ask.
    fn before(&self, ask: &ClaimAsk) -> Vec<Ask> {
        let ClaimAsk::Take { key, .. } = ask else {
            return Vec::new();
        };
        let owners = self.0.lock().get(key).cloned().unwrap_or_default();
        let release = |owner| ClaimAsk::Release { key: key.clone(), owner };
        let asks = owners.into_iter().map(release);
        asks.map(|ask| Ask { ask, to: Recipient::Nobody }).collect()
    }
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
        let releases = Releases::default();
        let log = Log { clients: clients.into(), again: asks.downgrade(), releases };
        let releases = log.releases.clone();
        tokio::spawn(gather(log, rx));
        Self { asks, releases }
    }
}

impl Claims for ControlClaims {
    fn ask(&self, ask: ClaimAsk) -> oneshot::Receiver<ClaimVerdict> {
        let (tx, rx) = oneshot::channel();
        let _ = self.asks.send(Ask { ask, to: Recipient::Request(tx) });
        rx
    }

    fn settle(&self, ask: ClaimAsk) {
        self.releases.note(&ask);
        let _ = self.asks.send(Ask { ask, to: Recipient::Settling { tells: 0 } });
    }

    fn is_releasing(&self, key: &ClaimKey) -> bool {
        self.releases.has(key)
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

/// Waits until the log has heard that a claim on a key was given up here.
///
/// A peer whose caller came with the same key takes the refused request for a running one until then.
pub async fn released(app: &Arc<Shared>, key: &ClaimKey, wait: Millis) {
    let end = app.clock.now() + wait;
    while app.claims.is_releasing(key) && app.clock.now() < end {
        tokio::time::sleep(OUTCOME_PAUSE.into()).await;
    }
}

/// What is needed to ask the claims' log.
#[derive(Debug, Clone)]
struct Log {
    clients: Arc<[PeerClient]>,
    again: mpsc::WeakUnboundedSender<Ask>,
    releases: Releases,
}

async fn gather(log: Log, mut asks: mpsc::UnboundedReceiver<Ask>) {
    let mut turn = 0;
    while let Some(first) = asks.recv().await {
        tokio::time::sleep(TICK.into()).await;
        let mut batch = log.releases.before(&first.ask);
        batch.push(first);
        while batch.len() < MAX_BATCH {
            let Ok(next) = asks.try_recv() else {
                break;
            };
            batch.extend(log.releases.before(&next.ask));
            batch.push(next);
        }
        tokio::spawn(log.clone().carry(turn, batch));
        turn += 1;
    }
}

impl Log {
    /// Asks one control instance after the other until every ask has its verdict.
    async fn carry(self, turn: usize, mut batch: Vec<Ask>) {
        for offset in 0..self.clients.len() {
            if batch.is_empty() {
                return;
            }
            let client = &self.clients[(turn + offset) % self.clients.len()];
            let call = ClaimBatch { asks: batch.iter().map(|a| a.ask.clone()).collect() };
            match client.call(&call).await {
                Ok(reply) if reply.verdicts.len() == batch.len() => {
                    batch = self.hand_out(batch, reply.verdicts);
                }
                Ok(_) => event!(Error, "claims_garbled", address = client.address()),
                Err(err) => {
                    event!(Debug, "claims_unreachable", address = client.address(), error = err);
                }
            }
        }
        for ask in batch {
            self.give_up(ask);
        }
    }

    /// Hands verdicts out, and returns the asks that this instance could not decide.
    fn hand_out(&self, batch: Vec<Ask>, verdicts: Vec<ClaimVerdict>) -> Vec<Ask> {
        let mut undecided = Vec::new();
        for (ask, verdict) in batch.into_iter().zip(verdicts) {
            if verdict == ClaimVerdict::Unavailable {
                undecided.push(ask);
                continue;
            }
            self.releases.forget(&ask.ask);
            if let Recipient::Request(tx) = ask.to {
                let _ = tx.send(verdict);
            }
        }
        undecided
    }

    fn give_up(&self, ask: Ask) {
        match ask.to {
            Recipient::Request(tx) => drop(tx.send(ClaimVerdict::Unavailable)),
            Recipient::Settling { tells } if tells < MAX_TELLS => {
                let to = Recipient::Settling { tells: tells + 1 };
                self.tell_later(Ask { to, ..ask });
            }
            Recipient::Settling { .. } => {
                self.releases.forget(&ask.ask);
                event!(Warn, "claim_not_settled", ask = format!("{:?}", ask.ask));
            }
            Recipient::Nobody => {}
        }
    }

    fn tell_later(&self, ask: Ask) {
        let again = self.again.clone();
        tokio::spawn(async move {
            tokio::time::sleep(RETRY.into()).await;
            if let Some(asks) = again.upgrade() {
                let _ = asks.send(ask);
            }
        });
    }
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

    fn is_releasing(&self, _key: &ClaimKey) -> bool {
        false
    }
}
