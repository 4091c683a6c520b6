//! How the rest of the process talks to the replicated log.

use std::sync::Arc;
use std::sync::mpsc::Sender;

use parking_lot::RwLock;
use sill_base::{Millis, Name};
use sill_quorum::{Event, ReplicaId, RoleName};
use sill_wire::control::Revision;
use tokio::sync::{oneshot, watch};

use crate::app::{App, Command, Outcome};

/// What is sent to the thread of the log.
#[derive(Debug)]
pub enum Input {
    /// An event for the replica.
    Event(Event),
    /// A command to write, if this instance leads.
    Submit {
        /// The command, as it is written to the log.
        command: Arc<str>,
        /// Gets what came of it.
        done: oneshot::Sender<Submitted>,
    },
    /// A life of this instance takes part, by this number; an empty disk begins a later one.
    OlderLife(u64),
    /// The process stops.
    Stop,
}

/// A command as text. It is written by whoever submits it: on the thread of the log, heartbeats would wait
/// while a large one is packed.
#[derive(Debug, Clone)]
pub struct CommandText(Arc<str>);

impl From<&Command> for CommandText {
    fn from(command: &Command) -> Self {
        let text = serde_json::to_string(command);
        Self(text.expect("a command can always be written as JSON").into())
    }
}

/// What came of a command that was submitted.
#[derive(Debug, Clone, PartialEq)]
pub enum Submitted {
    /// It is committed and applied.
    Applied(Outcome),
    /// This instance doesn't lead; the command was not written.
    NotLeader,
    /// It was written, but whether it will be committed is unknown.
    Unknown,
}

/// What the thread of the log reports.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// The role.
    pub role: RoleName,
    /// The term.
    pub term: u64,
    /// The leader, if one is known.
    pub leader: Option<Name>,
    /// The commit index.
    pub commit: u64,
    /// Until when this instance may answer reads as the leader.
    pub reads_until: Millis,
    /// Whether it has never taken part in a log.
    pub is_new: bool,
    /// Whether it is a voter.
    pub is_voter: bool,
    /// Which life of this instance its disk holds.
    pub incarnation: u64,
    /// The voters of the newest members.
    pub voters: Vec<ReplicaId>,
    /// The learners of the newest members.
    pub learners: Vec<ReplicaId>,
    /// The learners that have everything, as the leader knows.
    pub ready_learners: Vec<ReplicaId>,
    /// Why it can't write, if it can't.
    pub disk_fault: Option<String>,
}

/// Wakes those who wait for something to be applied.
#[derive(Debug, Clone)]
pub struct News {
    /// The last applied entry.
    pub applied: watch::Sender<u64>,
    /// The newest revision of the tree; claims don't change it.
    pub revision: watch::Sender<Revision>,
}

/// Talks to the replicated log.
#[derive(Debug, Clone)]
pub struct LogHandle {
    pub(crate) input: Sender<Input>,
    pub(crate) status: Arc<RwLock<Status>>,
    pub(crate) app: Arc<RwLock<App>>,
    pub(crate) news: News,
}

impl LogHandle {
    /// Hands over an event.
    pub fn event(&self, event: Event) {
        // The thread ends only with the process.
        let _ = self.input.send(Input::Event(event));
    }

    /// Hands over that a life of this instance takes part, which its disk may not be.
    pub fn older_life(&self, incarnation: u64) {
        let _ = self.input.send(Input::OlderLife(incarnation));
    }

    /// Submits a command and waits for what comes of it.
    pub async fn submit(&self, command: CommandText) -> Submitted {
        let (done, result) = oneshot::channel();
        let input = Input::Submit { command: command.0, done };
        if self.input.send(input).is_err() {
            return Submitted::NotLeader;
        }
        result.await.unwrap_or(Submitted::Unknown)
    }

    /// Returns what the log reports.
    pub fn status(&self) -> Status {
        self.status.read().clone()
    }

    /// Returns the applied state, for reading.
    pub fn app(&self) -> &RwLock<App> {
        &self.app
    }

    /// Returns a receiver that learns of each applied entry.
    pub fn applied(&self) -> watch::Receiver<u64> {
        self.news.applied.subscribe()
    }

    /// Returns a receiver that learns of each new revision of the tree.
    pub fn revision(&self) -> watch::Receiver<Revision> {
        self.news.revision.subscribe()
    }

    /// Ends the thread of the log.
    pub fn stop(&self) {
        let _ = self.input.send(Input::Stop);
    }
}

impl News {
    /// Tells what was applied.
    pub fn tell(&self, app: &App) {
        self.applied.send_replace(app.index());
        self.revision.send_if_modified(|revision| {
            let is_new = *revision != app.revision();
            *revision = app.revision();
            is_new
        });
    }
}

impl Default for News {
    fn default() -> Self {
        Self { applied: watch::Sender::new(0), revision: watch::Sender::new(Revision(0)) }
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
