//! The interface of the log thread to the rest of the process.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use parking_lot::RwLock;
use sill_base::{Millis, Name, event};
use sill_quorum::{Event, ReplicaId, RoleName};
use sill_wire::control::Revision;
use tokio::sync::{oneshot, watch};

use crate::app::{App, Command, Outcome};

/// Longest time that a stop waits for a write to the disk.
const STOP_TIMEOUT: Millis = Millis(2000);

/// A message to the log thread.
#[derive(Debug)]
pub enum Input {
    /// An event for the replica.
    Event(Event),
    /// Appends a command to the log, if this instance is the leader.
    Submit {
        /// The command as JSON, as it is stored in the log.
        command: Arc<str>,
        /// Receives the result.
        reply: oneshot::Sender<SubmitResult>,
    },
    /// The incarnation of this instance that peers have as a member. With an empty disk the
    /// instance starts a later one.
    ActiveIncarnation(u64),
    /// Ends the thread.
    Stop,
}

/// A command as JSON. The submitter serialises it: on the log thread a large one would delay
/// heartbeats.
#[derive(Debug, Clone)]
pub struct CommandText(Arc<str>);

impl From<&Command> for CommandText {
    fn from(command: &Command) -> Self {
        let text = serde_json::to_string(command);
        Self(text.expect("a command can always be written as JSON").into())
    }
}

/// The result of submitting a command.
#[derive(Debug, Clone, PartialEq)]
pub enum SubmitResult {
    /// The command was committed and applied.
    Applied(Outcome),
    /// This instance is not the leader. The command was not written, or will never be committed.
    NotLeader,
    /// The command may have been written; whether it will be committed is unknown.
    Unknown,
}

/// The state of the replica as the log thread last published it.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// The replica's role; follower while the disk can't be used.
    pub role: RoleName,
    /// The replica's current term.
    pub term: u64,
    /// The leader of the term, if known.
    pub leader: Option<Name>,
    /// The index of the last committed entry.
    pub commit: u64,
    /// When the leader's lease for reads ends; zero on an instance that may not serve them.
    pub reads_until: Millis,
    /// Whether the replica has never been part of a log.
    pub is_new: bool,
    /// Whether the replica is a voter among the newest members.
    pub is_voter: bool,
    /// The incarnation of this instance that its disk belongs to.
    pub incarnation: u64,
    /// The voters of the newest members.
    pub voters: Vec<ReplicaId>,
    /// The learners of the newest members.
    pub learners: Vec<ReplicaId>,
    /// The learners that have caught up; known on the leader only.
    pub ready_learners: Vec<ReplicaId>,
    /// The error of the last disk access, while the disk can't be used.
    pub disk_fault: Option<String>,
}

/// Notifies subscribers of applied entries and new revisions.
#[derive(Debug, Clone)]
pub struct Notifier {
    /// The index of the last applied entry.
    pub applied: watch::Sender<u64>,
    /// The newest revision of the settings tree; claims don't change it.
    pub revision: watch::Sender<Revision>,
    /// The index of the newest decision on the software versions of a service.
    pub rollout_step: watch::Sender<u64>,
}

/// A handle to the log thread. Clones share it.
#[derive(Debug, Clone)]
pub struct LogHandle {
    pub(crate) input: Sender<Input>,
    pub(crate) status: Arc<RwLock<Status>>,
    pub(crate) app: Arc<RwLock<App>>,
    pub(crate) notifier: Notifier,
    /// Closed when the thread has ended and its data folder is free.
    pub(crate) ended: watch::Receiver<()>,
}

impl LogHandle {
    /// Passes an event to the replica.
    pub fn event(&self, event: Event) {
        // The thread ends only with the process.
        let _ = self.input.send(Input::Event(event));
    }

    /// Reports the incarnation of this instance that peers have as a member; the disk's may be
    /// another.
    pub fn report_active_incarnation(&self, incarnation: u64) {
        let _ = self.input.send(Input::ActiveIncarnation(incarnation));
    }

    /// Submits a command and waits for its result.
    pub async fn submit(&self, command: CommandText) -> SubmitResult {
        let (reply, result) = oneshot::channel();
        let input = Input::Submit { command: command.0, reply };
        if self.input.send(input).is_err() {
            return SubmitResult::NotLeader;
        }
        result.await.unwrap_or(SubmitResult::Unknown)
    }

    /// Returns the last published status.
    pub fn status(&self) -> Status {
        self.status.read().clone()
    }

    /// Returns the applied state; only the log thread writes to it.
    pub fn app(&self) -> &RwLock<App> {
        &self.app
    }

    /// Returns a receiver of the index of the last applied entry.
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.notifier.applied.subscribe()
    }

    /// Returns a receiver of the newest revision of the tree.
    pub fn revision(&self) -> watch::Receiver<Revision> {
        self.notifier.revision.subscribe()
    }

    /// Returns a receiver of the index of the newest decision on the software versions of a service.
    pub fn rollout_step(&self) -> watch::Receiver<u64> {
        self.notifier.rollout_step.subscribe()
    }

    /// Stops the log thread, and waits until its data folder is free.
    ///
    /// Waits for 2 s at most, as a disk may hang.
    pub async fn stop(&self) {
        let _ = self.input.send(Input::Stop);
        let mut ended = self.ended.clone();
        let wait = async { while ended.changed().await.is_ok() {} };
        if tokio::time::timeout(STOP_TIMEOUT.into(), wait).await.is_err() {
            event!(Warn, "data_folder_not_released", ms = STOP_TIMEOUT);
        }
    }
}

impl Notifier {
    /// Notifies subscribers of the index, and of what else changed.
    pub fn notify(&self, app: &App) {
        self.applied.send_replace(app.index());
        self.revision.send_if_modified(|revision| {
            let is_new = *revision != app.revision();
            *revision = app.revision();
            is_new
        });
        self.rollout_step.send_if_modified(|step| {
            let newest = app.rollouts().newest_step();
            std::mem::replace(step, newest) != newest
        });
    }
}

impl Default for Notifier {
    fn default() -> Self {
        Self {
            applied: watch::Sender::new(0),
            revision: watch::Sender::new(Revision(0)),
            rollout_step: watch::Sender::new(0),
        }
    }
}

impl Default for Status {
    fn default() -> Self {
        Self {
            role: RoleName::Follower,
            term: 0,
            leader: None,
            commit: 0,
            reads_until: Millis::ZERO,
            is_new: true,
            is_voter: false,
            incarnation: 0,
            voters: Vec::new(),
            learners: Vec::new(),
            ready_learners: Vec::new(),
            disk_fault: None,
        }
    }
}
