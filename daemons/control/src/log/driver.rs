//! The thread that runs the replica and executes its actions in order.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::Instant;

use eyre::Result;
use parking_lot::RwLock;
use sill_base::{Clock, Machine, Map, Millis, Name, event};
use sill_quorum::{Action, Cfg, Entry, Event, PersistentState, Replica, RoleName, Snapshot};
use sill_store::WriteError;
use tokio::sync::{oneshot, watch};

use crate::app::App;
use crate::cfg::ControlCfg;
use crate::log::disk::{LogDisk, OpenDisk};
use crate::log::handle::{Input, LogHandle, Notifier, Status, SubmitResult};
use crate::log::peers::Peers;
use crate::metrics::Metrics;

/// Inputs handled before the replica runs again, so that their entries share one disk write.
const MAX_BATCH: usize = 512;

/// The log is compacted when it is larger than this, in bytes, and larger than the snapshot.
const COMPACT_MIN_BYTES: u64 = 8 << 20;

/// A log with fewer compactable entries than this is compacted only above [`COMPACT_FORCE_BYTES`].
const COMPACT_MIN_ENTRIES: u64 = 1000;

/// The log is compacted when it is larger than this, in bytes, however few entries it has. A served
/// document with hundreds of routes takes half a megabyte per entry, and the smallest disks hold
/// 128 MB.
const COMPACT_FORCE_BYTES: u64 = 24 << 20;

/// Entries kept in memory before a snapshot's index; with the largest documents they take 32 MB.
const TRAILING_ENTRIES: u64 = 64;

/// Pause before the data folder is reopened after a disk fault.
const REOPEN_PAUSE: Millis = Millis(1000);

/// The longest wait for input before the clock is read again.
const MAX_SLEEP: Millis = Millis(100);

/// Drives the replica: feeds it inputs, persists its writes, sends its messages, and applies what
/// it commits.
pub struct Driver {
    clock: Clock,
    cfg: Cfg,
    folder: PathBuf,
    open_disk: OpenDisk,
    name: Name,
    disk: Option<LogDisk>,
    replica: Option<Replica>,
    app: Arc<RwLock<App>>,
    status: Arc<RwLock<Status>>,
    notifier: Notifier,
    peers: Peers,
    metrics: Arc<Metrics>,
    pending: BTreeMap<u64, PendingCommand>,
    proposals: Map<u64, Vec<oneshot::Sender<SubmitResult>>>,
    next_tag: u64,
    reopen_at: Millis,
    is_compacting: bool,
    input: Sender<Input>,
    inputs: Receiver<Input>,
}

/// A command in the log whose submitter waits for its result.
#[derive(Debug)]
pub(crate) struct PendingCommand {
    term: u64,
    reply: oneshot::Sender<SubmitResult>,
}

impl Driver {
    /// Creates a driver. The data folder is opened by [`Self::open`].
    pub fn new(
        cfg: &ControlCfg,
        open_disk: OpenDisk,
        clock: Clock,
        peers: Peers,
        metrics: Arc<Metrics>,
    ) -> Self {
        let (input, inputs) = mpsc::channel();
        Self {
            clock,
            cfg: Cfg { trailing_entries: TRAILING_ENTRIES, ..cfg.quorum.clone() },
            folder: cfg.data.clone(),
            open_disk,
            name: cfg.name.clone(),
            disk: None,
            replica: None,
            app: Arc::default(),
            status: Arc::default(),
            notifier: Notifier::default(),
            peers,
            metrics,
            pending: BTreeMap::new(),
            proposals: Map::default(),
            next_tag: 0,
            reopen_at: Millis::ZERO,
            is_compacting: false,
            input,
            inputs,
        }
    }

    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub fn start(mut self) -> io::Result<LogHandle> {
        // An empty instance that may bootstrap the log asks its peers whether they are new as well.
        // The default status says so. If it were visible until the thread first publishes its own,
        // an instance whose disk holds the log would answer yes; with enough disks lost, a second
        // history would then start and overwrite this one.
        self.publish_status();
        let (end, ended) = watch::channel(());
        let handle = LogHandle {
            input: self.input.clone(),
            status: self.status.clone(),
            app: self.app.clone(),
            notifier: self.notifier.clone(),
            ended,
        };
        let run = move || {
            // Dropped last, also in a panic.
            let _end = end;
            self.run();
        };
        thread::Builder::new().name("log".to_owned()).spawn(run)?;
        Ok(handle)
    }

    /// Opens the data folder and restores the replica from it.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be opened or read.
    pub fn open(&mut self) -> Result<()> {
        let (disk, persisted) = LogDisk::open(&self.open_disk, &self.folder, &self.name)?;
        if let Some(snapshot) = &persisted.snapshot {
            self.restore(snapshot)?;
        }
        // Not derived from the clock: the seed distinguishes this run of the replica from all
        // earlier ones, even if the wall clock went back between them.
        let seed = rand::random();
        let (cfg, id) = (self.cfg.clone(), disk.id().clone());
        self.replica = Some(Replica::restore(cfg, id, persisted, seed, self.clock.now()));
        self.disk = Some(disk);
        Ok(())
    }

    /// Starts an incarnation after the one that is a member, if the disk is empty and its own
    /// number is lower.
    ///
    /// Incarnations are numbered by the wall clock, which may go back between two disks. Peers
    /// would treat the messages of the empty instance as late ones of an ended incarnation, and it
    /// would never vote again. An instance that was never a member has made no promise under its
    /// number, so it may change it.
    fn begin_incarnation_after(&mut self, active: u64) {
        let is_new = self.replica.as_ref().is_some_and(Replica::is_new);
        let Some(disk) = self.disk.as_mut().filter(|disk| is_new && disk.id().incarnation < active)
        else {
            return;
        };
        event!(Warn, "later_life_begun", known = active, own = disk.id().incarnation);
        let now = self.clock.now();
        match disk.begin_incarnation(active + 1) {
            Ok(()) => {
                let (cfg, id, seed) = (self.cfg.clone(), disk.id().clone(), rand::random());
                self.replica =
                    Some(Replica::restore(cfg, id, PersistentState::default(), seed, now));
            }
            Err(err) => self.suspend_replica(now, &err),
        }
    }

    /// Runs until the process stops.
    fn run(mut self) {
        loop {
            let mut batch = Vec::new();
            match self.inputs.recv_timeout(self.sleep_time().into()) {
                Ok(first) => batch.push(first),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            batch.extend(self.inputs.try_iter().take(MAX_BATCH));
            if batch.iter().any(|input| matches!(input, Input::Stop)) {
                return;
            }
            self.handle_inputs(batch);
            self.compact();
            self.publish_status();
        }
    }

    fn sleep_time(&self) -> Millis {
        let now = self.clock.now();
        let due = self.replica.as_ref().map_or(self.reopen_at, Replica::wake_at);
        (due - now).max(Millis(1)).min(MAX_SLEEP)
    }

    fn handle_inputs(&mut self, batch: Vec<Input>) {
        let (mut commands, mut waiters) = (Vec::new(), Vec::new());
        for input in batch {
            match input {
                Input::Event(event) => {
                    self.is_compacting &= !matches!(event, Event::Compact { .. });
                    self.step(event);
                }
                Input::Submit { command, reply } => {
                    commands.push(command);
                    waiters.push(reply);
                }
                Input::ActiveIncarnation(incarnation) => self.begin_incarnation_after(incarnation),
                Input::Stop => {}
            }
        }
        if commands.is_empty() {
            self.step(Event::Tick);
        } else {
            self.next_tag += 1;
            let tag = self.next_tag;
            self.proposals.insert(tag, waiters);
            self.step(Event::Propose { tag, commands });
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.clock.now();
        if self.replica.is_none() && now >= self.reopen_at {
            self.reopen(now);
        }
        let Some(replica) = &mut self.replica else {
            if let Event::Propose { tag, .. } = event {
                self.reject_proposal(tag);
            }
            return;
        };
        let mut actions = Vec::new();
        replica.step(now, event, &mut actions);
        let mut committed = Vec::new();
        for action in actions {
            if let Action::Apply { index, entry } = action {
                committed.push((index, entry));
                continue;
            }
            self.apply(std::mem::take(&mut committed));
            if let Err(err) = self.execute(action) {
                self.suspend_replica(now, &err);
                return;
            }
        }
        self.apply(committed);
    }

    fn execute(&mut self, action: Action) -> Result<(), WriteError> {
        match action {
            Action::Persist(write) => {
                let start = Instant::now();
                let disk = self.disk.as_mut().ok_or(WriteError::ReopenRequired)?;
                disk.write(write)?;
                self.metrics.append_seconds.observe(start.elapsed().as_secs_f64());
            }
            Action::Send(msg) => self.peers.send(msg),
            Action::Restore(snapshot) => {
                if let Err(err) = self.restore(&snapshot) {
                    panic!("snapshot up to entry {} can't be read: {err:#}", snapshot.index);
                }
            }
            Action::Apply { index, entry } => self.apply(vec![(index, entry)]),
            Action::ProposalAppended { tag, first_index: first, term } => {
                let waiters = self.proposals.remove(&tag).unwrap_or_default();
                for (index, reply) in (first..).zip(waiters) {
                    self.pending.insert(index, PendingCommand { term, reply });
                }
            }
            Action::NotLeader { tag } => self.reject_proposal(tag),
        }
        Ok(())
    }

    fn reject_proposal(&mut self, tag: u64) {
        for reply in self.proposals.remove(&tag).unwrap_or_default() {
            let _ = reply.send(SubmitResult::NotLeader);
        }
    }

    /// Applies committed entries under one write lock.
    ///
    /// After a restart a whole log is committed at once. A reader in between would get settings
    /// that were replaced long ago, and entry instances that restart at the same time would run
    /// them.
    fn apply(&mut self, committed: Vec<(u64, Entry)>) {
        let mut app = self.app.write();
        // After a disk fault the replica restarts from its disk and commits applied entries again.
        let applied_index = app.index();
        let new = committed.into_iter().filter(|(index, _)| *index > applied_index);
        let applied = new.map(|(index, entry)| (index, entry.term, app.apply(index, &entry)));
        let applied: Vec<_> = applied.collect();
        if applied.is_empty() {
            return;
        }
        if let Err(err) = app.read_documents() {
            panic!("{err}");
        }
        drop(app);
        // Not under the write lock: a receiver that wakes up reads the state, and would hold up the
        // notification of the others meanwhile.
        self.notifier.notify(&self.app.read());
        for (index, term, outcome) in applied {
            let Some(command) = self.pending.remove(&index) else { continue };
            let result = match outcome {
                Some(outcome) if command.term == term => SubmitResult::Applied(outcome),
                // Another leader's entry has this index; the submitted one will never be committed.
                _ => SubmitResult::NotLeader,
            };
            let _ = command.reply.send(result);
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<()> {
        if snapshot.index <= self.app.read().index() {
            return Ok(());
        }
        let app: App = serde_json::from_str(&snapshot.data)?;
        event!(Info, "snapshot_taken_in", index = snapshot.index, bytes = snapshot.data.len());
        app.read_documents()?;
        *self.app.write() = app;
        self.pending = self.pending.split_off(&(snapshot.index + 1));
        self.notifier.notify(&self.app.read());
        Ok(())
    }

    /// Starts a compaction once the log is large.
    ///
    /// The state is serialised on a separate thread. On this thread a leader would send no
    /// heartbeat meanwhile, and with many claims held would lose its lease at each compaction.
    fn compact(&mut self) {
        let (Some(replica), Some(disk)) = (&self.replica, &self.disk) else { return };
        let is_large = disk.log_size() > COMPACT_MIN_BYTES.max(disk.size() / 2);
        let is_worthwhile = replica.compactable_entries() >= COMPACT_MIN_ENTRIES
            || disk.log_size() > COMPACT_FORCE_BYTES
                && replica.compactable_entries() > TRAILING_ENTRIES;
        if self.is_compacting || !is_large || !is_worthwhile {
            return;
        }
        let start = Instant::now();
        let app = self.app.read().clone();
        event!(Info, "log_compacts", index = app.index(), ms = Millis::from(start.elapsed()));
        let input = self.input.clone();
        let spawned = thread::Builder::new().name("compact".to_owned()).spawn(move || {
            let data =
                serde_json::to_string(&app).expect("the application state can be written as JSON");
            let event = Event::Compact { index: app.index(), data: data.into() };
            let _ = input.send(Input::Event(event));
        });
        self.is_compacting = spawned.is_ok();
    }

    /// Drops the replica after a disk fault, until the disk can be written again.
    ///
    /// In memory the replica is ahead of its disk. To its peers it must look as if it had been
    /// killed before the write, so it is restored from the disk. The applied state stays and serves
    /// reads.
    fn suspend_replica(&mut self, now: Millis, err: &WriteError) {
        event!(Error, "disk_fault", error = err);
        self.replica = None;
        self.disk = None;
        self.reopen_at = now + REOPEN_PAUSE;
        self.status.write().disk_fault = Some(err.to_string());
        // After a failed sync the commands may or may not be on the disk.
        let proposal_result = match err {
            WriteError::Full => SubmitResult::NotLeader,
            WriteError::Io(_) | WriteError::ReopenRequired => SubmitResult::Unknown,
        };
        for reply in std::mem::take(&mut self.proposals).into_values().flatten() {
            let _ = reply.send(proposal_result.clone());
        }
        for command in std::mem::take(&mut self.pending).into_values() {
            let _ = command.reply.send(SubmitResult::Unknown);
        }
    }

    fn reopen(&mut self, now: Millis) {
        self.reopen_at = now + REOPEN_PAUSE;
        let result = self.open().and_then(|()| self.rewrite_disk());
        match result {
            Ok(()) => {
                event!(Info, "disk_usable_again");
                self.status.write().disk_fault = None;
            }
            Err(err) => {
                event!(Error, "disk_fault", error = format!("{err:#}"));
                self.replica = None;
                self.disk = None;
                self.status.write().disk_fault = Some(format!("{err:#}"));
            }
        }
    }

    /// Writes the state to new files: after a failed sync, what was read from the old ones may be
    /// lost in a crash.
    fn rewrite_disk(&mut self) -> Result<()> {
        if let (Some(disk), Some(replica)) = (&mut self.disk, &self.replica) {
            disk.rewrite(replica.persistent_state())?;
        }
        Ok(())
    }

    fn publish_status(&mut self) {
        let now = self.clock.now();
        let mut status = self.status.write();
        let before = (status.role, status.term, status.leader.clone());
        match &self.replica {
            Some(replica) => {
                status.role = replica.role();
                status.term = replica.term();
                status.leader = replica.leader().map(|id| id.name.clone());
                status.commit = replica.commit_index();
                status.is_new = replica.is_new();
                status.is_voter = replica.members().voters.contains(replica.id());
                status.incarnation = replica.id().incarnation;
                status.voters = replica.members().voters.iter().cloned().collect();
                status.learners = replica.members().learners.iter().cloned().collect();
                status.ready_learners = replica.caught_up_learners();
                let lease = replica.lease_until(now).filter(|_| replica.can_read(now));
                status.reads_until = lease.unwrap_or_default();
            }
            None => {
                status.role = RoleName::Follower;
                status.leader = None;
                status.reads_until = Millis::ZERO;
            }
        }
        let after = (status.role, status.term, status.leader.clone());
        if before.0 == RoleName::Leader && after.0 != RoleName::Leader {
            // It may take long until it shows whether a later leader commits these entries.
            for command in std::mem::take(&mut self.pending).into_values() {
                let _ = command.reply.send(SubmitResult::Unknown);
            }
        }
        self.metrics.report(&status, &self.app.read());
        if before != after {
            let (role, term, leader) = after;
            let leader = leader.unwrap_or_default();
            event!(Info, "role", role = format!("{role:?}"), term = term, leader = leader);
        }
    }
}
