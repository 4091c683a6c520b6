//! What the parts of a control instance share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use sill_base::Clock;
use sill_quorum::ReplicaId;
use tokio::runtime::Handle;

use crate::cfg::ControlCfg;
use crate::directory::Directory;
use crate::entry_status::EntryStatusTable;
use crate::link::Link;
use crate::log::LogHandle;
use crate::metrics::Metrics;
use crate::served::Served;

/// What the parts of a control instance share.
#[derive(Debug)]
pub struct Shared {
    /// Its settings.
    pub cfg: ControlCfg,
    /// Its clock.
    pub clock: Clock,
    /// The replicated log.
    pub log: LogHandle,
    /// What entry instances run.
    pub running: EntryStatusTable,
    /// The other control instances.
    pub directory: Directory,
    /// What is known of endpoints, and of entry instances that serve routes.
    pub link: Link,
    /// The served settings in pieces.
    pub served: Arc<Served>,
    /// Its metrics.
    pub metrics: Arc<Metrics>,
    /// Held while a change is checked and committed here.
    pub change_turn: tokio::sync::Mutex<()>,
    /// Where its tasks run.
    pub runtime: Handle,
    /// Held while a document of an operator is read; large ones take much memory.
    pub reading: Arc<tokio::sync::Mutex<()>>,
    /// Operators' calls that wait for the log.
    pub waiting: AtomicUsize,
}

/// Counts a call as waiting until it is dropped, also by a caller that left.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn count(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self(waiting)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Returns its id in the replicated log.
    pub fn id(&self) -> ReplicaId {
        let incarnation = self.log.status().incarnation;
        ReplicaId { name: self.cfg.name.clone(), incarnation }
    }

    /// Reads an operator's document on a thread of its own, one after the other. On the thread that serves
    /// the API, endpoints that leave could not say so meanwhile.
    ///
    /// # Panics
    ///
    /// Panics when the reading does.
    pub async fn read_aside<F, T>(&self, read: F) -> T
    where
        F: FnOnce() -> T + Send + 'static,
        T: Send + 'static,
    {
        let _waiting = Waiting::count(&self.waiting);
        let turn = self.reading.clone().lock_owned().await;
        let reading = self.runtime.spawn_blocking(move || {
            // Held to the end also where the caller has left: it sends the same again.
            let _turn = turn;
            read()
        });
        reading.await.expect("reading neither panics nor is cancelled while the server runs")
    }

    /// Runs something on the runtime of the peer calls; their clients work only there. A planned stop
    /// waits for it.
    ///
    /// # Panics
    ///
    /// Panics when the task does.
    pub async fn on_runtime<Fut, T>(&self, task: Fut) -> T
    where
        Fut: Future<Output = T> + Send + 'static,
        T: Send + 'static,
    {
        let _waiting = Waiting::count(&self.waiting);
        let running = self.runtime.spawn(task);
        running.await.expect("the task neither panics nor is cancelled while the server runs")
    }
}
