//! The thread that runs the replica and carries out its actions in order.

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
use tokio::sync::oneshot;

use crate::app::App;
use crate::cfg::ControlCfg;
use crate::log::disk::{LogDisk, OpenDisk};
use crate::log::handle::{Input, LogHandle, News, Status, Submitted};
use crate::log::peers::Peers;
use crate::metrics::Metrics;

/// Inputs that are taken in before the replica runs again, so that they share one write.
const BATCH: usize = 512;

/// The log is compacted when it is larger than this, in bytes, and than the snapshot.
const COMPACT_SIZE: u64 = 8 << 20;

/// Entries that a log is not compacted below, unless it is very large.
const COMPACT_ENTRIES: u64 = 1000;

/// The log is compacted when it is larger than this, in bytes, however few entries it has. A served
/// document with hundreds of routes takes half a megabyte an entry, and the smallest disks 128 MB.
const COMPACT_ALWAYS: u64 = 24 << 20;

/// Entries kept in memory behind a snapshot; with the largest documents they take 32 MB.
const TRAILING: u64 = 64;

/// Pause before a folder that could not be written is opened again.
const REOPEN: Millis = Millis(1000);

/// The longest sleep without a look at the clock.
const MAX_SLEEP: Millis = Millis(100);

/// What the thread of the log works with.
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
    news: News,
    peers: Peers,
    metrics: Arc<Metrics>,
    waiting: BTreeMap<u64, Waiting>,
    proposed: Map<u64, Vec<oneshot::Sender<Submitted>>>,
    next_tag: u64,
    reopen_at: Millis,
    is_compacting: bool,
    input: Sender<Input>,
    inputs: Receiver<Input>,
}

/// Someone who waits for a command.
#[derive(Debug)]
pub(crate) struct Waiting {
    term: u64,
    done: oneshot::Sender<Submitted>,
}

impl Driver {
    /// Makes what the thread works with; nothing is opened yet.
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
            cfg: Cfg { trailing_entries: TRAILING, ..cfg.quorum.clone() },
            folder: cfg.data.clone(),
            open_disk,
            name: cfg.name.clone(),
            disk: None,
            replica: None,
            app: Arc::default(),
            status: Arc::default(),
            news: News::default(),
            peers,
            metrics,
            waiting: BTreeMap::new(),
            proposed: Map::default(),
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
        // An empty instance that may start the log asks the others whether they are new too. Until the
        // thread first looked, one whose disk holds the log would say yes; with enough disks lost, a
        // second history would begin and overwrite this one.
        self.report();
        let handle = LogHandle {
            input: self.input.clone(),
            status: self.status.clone(),
            app: self.app.clone(),
            news: self.news.clone(),
        };
        thread::Builder::new().name("log".to_owned()).spawn(move || self.run())?;
        Ok(handle)
    }

    /// Opens the folder and makes the replica.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be used.
    pub fn open(&mut self) -> Result<()> {
        let (disk, persisted) = LogDisk::open(&self.open_disk, &self.folder, &self.name)?;
        if let Some(snapshot) = &persisted.snapshot {
            self.restore(snapshot)?;
        }
        // Not drawn from the clock: it tells this run of the replica from all earlier ones, also where
        // the time of day went back between them.
        let seed = rand::random();
        let (cfg, id) = (self.cfg.clone(), disk.id().clone());
        self.replica = Some(Replica::restore(cfg, id, persisted, seed, self.clock.now()));
        self.disk = Some(disk);
        Ok(())
    }

    /// Begins a life after one that takes part, if the disk is empty and its life counts as the older.
    ///
    /// Lives are numbered by the time of day, which may go back between two disks. The others would take
    /// whatever the empty one says for a late message of a life that is over, and it would never vote
    /// again. One that has never taken part has promised nothing by its number, so it may take another.
    fn begin_life_after(&mut self, known: u64) {
        let is_new = self.replica.as_ref().is_some_and(Replica::is_new);
        let Some(disk) = self.disk.as_mut().filter(|disk| is_new && disk.id().incarnation < known)
        else {
            return;
        };
        event!(Warn, "later_life_begun", known = known, own = disk.id().incarnation);
        let now = self.clock.now();
        match disk.begin_life(known + 1) {
            Ok(()) => {
                let (cfg, id, seed) = (self.cfg.clone(), disk.id().clone(), rand::random());
                self.replica =
                    Some(Replica::restore(cfg, id, PersistentState::default(), seed, now));
            }
            Err(err) => self.stop_taking_part(now, &err),
        }
    }

    /// Runs until the process stops.
    fn run(mut self) {
        loop {
            let mut batch = Vec::new();
            match self.inputs.recv_timeout(self.sleep().into()) {
                Ok(first) => batch.push(first),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            batch.extend(self.inputs.try_iter().take(BATCH));
            if batch.iter().any(|input| matches!(input, Input::Stop)) {
                return;
            }
            self.take(batch);
            self.compact();
            self.report();
        }
    }

    fn sleep(&self) -> Millis {
        let now = self.clock.now();
        let due = self.replica.as_ref().map_or(self.reopen_at, Replica::wake_at);
        (due - now).max(Millis(1)).min(MAX_SLEEP)
    }

    fn take(&mut self, batch: Vec<Input>) {
        let (mut commands, mut waiters) = (Vec::new(), Vec::new());
        for input in batch {
            match input {
                Input::Event(event) => {
                    self.is_compacting &= !matches!(event, Event::Compact { .. });
                    self.step(event);
                }
                Input::Submit { command, done } => {
                    commands.push(command);
                    waiters.push(done);
                }
                Input::OlderLife(incarnation) => self.begin_life_after(incarnation),
                Input::Stop => {}
            }
        }
        if commands.is_empty() {
            self.step(Event::Tick);
        } else {
            self.next_tag += 1;
            let tag = self.next_tag;
            self.proposed.insert(tag, waiters);
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
                self.not_leader(tag);
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
            if let Err(err) = self.carry_out(action) {
                self.stop_taking_part(now, &err);
                return;
            }
        }
        self.apply(committed);
    }

    fn carry_out(&mut self, action: Action) -> Result<(), WriteError> {
        match action {
            Action::Persist(write) => {
                let start = Instant::now();
                let disk = self.disk.as_mut().ok_or(WriteError::Broken)?;
                disk.write(write)?;
                self.metrics.append_seconds.observe(start.elapsed().as_secs_f64());
            }
            Action::Send(msg) => self.peers.send(msg),
            Action::Restore(snapshot) => {
                if let Err(err) = self.restore(&snapshot) {
                    panic!("a snapshot that can't be read: {err:#}");
                }
            }
            Action::Apply { index, entry } => self.apply(vec![(index, entry)]),
            Action::ProposalAppended { tag, first_index: first, term } => {
                let waiters = self.proposed.remove(&tag).unwrap_or_default();
                for (index, done) in (first..).zip(waiters) {
                    self.waiting.insert(index, Waiting { term, done });
                }
            }
            Action::NotLeader { tag } => self.not_leader(tag),
        }
        Ok(())
    }

    fn not_leader(&mut self, tag: u64) {
        for done in self.proposed.remove(&tag).unwrap_or_default() {
            let _ = done.send(Submitted::NotLeader);
        }
    }

    /// Applies entries in one go.
    ///
    /// After a restart a whole log is committed at once. Whoever reads the state in between would be told
    /// settings that were replaced long ago, and entry instances that restart as well would run them.
    fn apply(&mut self, committed: Vec<(u64, Entry)>) {
        let mut app = self.app.write();
        // After a disk fault the replica starts again from its disk, behind the state.
        let behind = app.index();
        let new = committed.into_iter().filter(|(index, _)| *index > behind);
        let applied = new.map(|(index, entry)| (index, entry.term, app.apply(index, &entry)));
        let applied: Vec<_> = applied.collect();
        if applied.is_empty() {
            return;
        }
        if let Err(err) = app.read_documents() {
            panic!("{err}");
        }
        drop(app);
        // Not while the state is locked for writing: whoever is woken looks at the state, and holds what wakes
        // the others meanwhile.
        self.news.tell(&self.app.read());
        for (index, term, outcome) in applied {
            let Some(waiting) = self.waiting.remove(&index) else { continue };
            let result = match outcome {
                Some(outcome) if waiting.term == term => Submitted::Applied(outcome),
                // Another leader's entry stands there; this one will never be committed.
                _ => Submitted::NotLeader,
            };
            let _ = waiting.done.send(result);
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
        self.waiting = self.waiting.split_off(&(snapshot.index + 1));
        self.news.tell(&self.app.read());
        Ok(())
    }

    /// Starts to drop old entries, once the log is large.
    ///
    /// The state is written as text on a thread of its own. A leader that did it here would send
    /// no heartbeat meanwhile, and with many claims held would lose its lease each time.
    fn compact(&mut self) {
        let (Some(replica), Some(disk)) = (&self.replica, &self.disk) else { return };
        let is_large = disk.log_size() > COMPACT_SIZE.max(disk.size() / 2);
        let is_worth_it = replica.compactable_entries() >= COMPACT_ENTRIES
            || disk.log_size() > COMPACT_ALWAYS && replica.compactable_entries() > TRAILING;
        if self.is_compacting || !is_large || !is_worth_it {
            return;
        }
        let start = Instant::now();
        let app = self.app.read().clone();
        event!(Info, "log_compacts", index = app.index(), ms = Millis::from(start.elapsed()));
        let input = self.input.clone();
        let spawned = thread::Builder::new().name("compact".to_owned()).spawn(move || {
            let data = serde_json::to_string(&app).expect("the state can be written as JSON");
            let event = Event::Compact { index: app.index(), data: data.into() };
            let _ = input.send(Input::Event(event));
        });
        self.is_compacting = spawned.is_ok();
    }

    /// Leaves the replicated log until the disk can be written again.
    ///
    /// In memory the replica is ahead of its disk. To the others it must look as if it had been
    /// killed before the write, so it is made anew from the disk; the applied state stays, and
    /// serves reads.
    fn stop_taking_part(&mut self, now: Millis, err: &WriteError) {
        event!(Error, "disk_fault", error = err);
        self.replica = None;
        self.disk = None;
        self.reopen_at = now + REOPEN;
        self.status.write().disk_fault = Some(err.to_string());
        // After a failed sync the commands may be on the disk or not.
        let of_proposed = match err {
            WriteError::Full => Submitted::NotLeader,
            WriteError::Io(_) | WriteError::Broken => Submitted::Unknown,
        };
        for done in std::mem::take(&mut self.proposed).into_values().flatten() {
            let _ = done.send(of_proposed.clone());
        }
        for waiting in std::mem::take(&mut self.waiting).into_values() {
            let _ = waiting.done.send(Submitted::Unknown);
        }
    }

    fn reopen(&mut self, now: Millis) {
        self.reopen_at = now + REOPEN;
        let reopened = self.open().and_then(|()| self.write_anew());
        match reopened {
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

    /// What was read after a failed sync may be lost in a crash, so it is written to new files.
    fn write_anew(&mut self) -> Result<()> {
        if let (Some(disk), Some(replica)) = (&mut self.disk, &self.replica) {
            disk.write_anew(replica.persistent_state())?;
        }
        Ok(())
    }

    fn report(&mut self) {
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
            // Whether a later leader commits what this one wrote may not show for long.
            for waiting in std::mem::take(&mut self.waiting).into_values() {
                let _ = waiting.done.send(Submitted::Unknown);
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
