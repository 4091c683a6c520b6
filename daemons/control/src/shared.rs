//! State shared between the threads and tasks of a control instance.

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
use crate::settings_pieces::SettingsPieces;

/// State shared between the threads and tasks of a control instance.
#[derive(Debug)]
pub struct Shared {
    /// The settings of this instance; fixed from start to stop.
    pub cfg: ControlCfg,
    /// The monotonic clock of this instance.
    pub clock: Clock,
    /// The replicated log.
    pub log: LogHandle,
    /// The settings revisions that entry instances run.
    pub entry_status: EntryStatusTable,
    /// The other control instances.
    pub directory: Directory,
    /// The state of endpoints, and of entry instances that serve routes.
    pub link: Link,
    /// The newest revisions of the serving subtree, cut into pieces.
    pub settings_pieces: Arc<SettingsPieces>,
    /// The metrics of this instance.
    pub metrics: Arc<Metrics>,
    /// Serialises changes: held while one is checked and committed here.
    pub change_lock: tokio::sync::Mutex<()>,
    /// The runtime of the peer calls and background tasks.
    pub runtime: Handle,
    /// Serialises the parsing of operators' documents, since a large one takes much memory.
    pub document_lock: Arc<tokio::sync::Mutex<()>>,
    /// Number of operators' calls in flight; a planned stop waits for them.
    pub in_flight: AtomicUsize,
}

/// Counts a call as in flight until dropped, also when the caller disconnects.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl<'a> InFlightGuard<'a> {
    fn new(in_flight: &'a AtomicUsize) -> Self {
        in_flight.fetch_add(1, Ordering::Relaxed);
        Self(in_flight)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Returns the id of this instance in the replicated log, with its current incarnation.
    pub fn id(&self) -> ReplicaId {
        let incarnation = self.log.status().incarnation;
        ReplicaId { name: self.cfg.name.clone(), incarnation }
    }

    /// Parses an operator's document on a blocking thread, one document at a time. On the thread
    /// that serves the API, parsing would delay the announcements of endpoints that leave.
    ///
    /// # Panics
    ///
    /// Panics if `read` panics.
    pub async fn run_document_read<F, T>(&self, read: F) -> T
    where
        F: FnOnce() -> T + Send + 'static,
        T: Send + 'static,
    {
        let _guard = InFlightGuard::new(&self.in_flight);
        let lock = self.document_lock.clone().lock_owned().await;
        let task = self.runtime.spawn_blocking(move || {
            // Held to the end even if the caller has disconnected, since it sends the same document
            // again.
            let _lock = lock;
            read()
        });
        task.await
            .expect("parsing a document neither panics nor is cancelled while the server runs")
    }

    /// Runs a task on the runtime of the peer calls, where alone their clients work. A planned stop
    /// waits for the task.
    ///
    /// # Panics
    ///
    /// Panics if the task panics.
    pub async fn run_on_runtime<Fut, T>(&self, task: Fut) -> T
    where
        Fut: Future<Output = T> + Send + 'static,
        T: Send + 'static,
    {
        let _guard = InFlightGuard::new(&self.in_flight);
        let handle = self.runtime.spawn(task);
        handle.await.expect("the task neither panics nor is cancelled while the server runs")
    }
}
