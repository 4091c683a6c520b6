//! A node: a replica with its disk, its clock and its outstanding actions.

use std::collections::{BTreeMap, VecDeque};

use rand::Rng as _;
use sill_base::random::Rng;
use sill_base::{Machine, Millis};
use sill_quorum::{
    Action, Cfg, Event, Members, Message, Payload, PersistentState, Replica, ReplicaId, Write,
};

use crate::history::{AppState, History};

/// One instance with its disk.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub incarnation: u64,
    /// State that is synced.
    pub disk: PersistentState,
    /// Writes that are not yet synced, oldest first.
    unsynced: Vec<Write>,
    pub sync_mode: SyncMode,
    pub replica: Option<Replica>,
    pub app: AppState,
    pub is_frozen: bool,
    /// Fault to inject after this many more actions.
    pub fault: Option<(usize, Fault)>,
    /// Messages received while the node is frozen.
    inbox: Vec<Message>,
    actions: VecDeque<Action>,
    /// Appended changes of clients by index.
    pending_changes: BTreeMap<u64, PendingChange>,
    /// Newest entry that any client had seen when a change was proposed, by tag.
    seen_at_start: BTreeMap<u64, u64>,
    clock_percent: u64,
    clock_offset: u64,
}

/// When a node syncs its writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncMode {
    /// Before its next action.
    Immediate,
    /// At its next tick, after it has sent messages. Violates the contract of the
    /// replica's caller.
    Deferred,
}

/// A fault that stops a node between two actions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Kill,
    Freeze,
}

#[derive(Debug)]
struct PendingChange {
    term: u64,
    seen_at_start: u64,
}

impl Node {
    pub fn new(name: String, clock_percent: u64, clock_offset: u64) -> Self {
        Self {
            name,
            incarnation: 1,
            disk: PersistentState::default(),
            unsynced: Vec::new(),
            sync_mode: SyncMode::Immediate,
            replica: None,
            app: AppState::default(),
            is_frozen: false,
            fault: None,
            inbox: Vec::new(),
            actions: VecDeque::new(),
            pending_changes: BTreeMap::new(),
            seen_at_start: BTreeMap::new(),
            clock_percent,
            clock_offset,
        }
    }

    pub fn id(&self) -> ReplicaId {
        ReplicaId { name: self.name.as_str().into(), incarnation: self.incarnation }
    }

    /// Returns the time on the node's own clock, which runs slightly fast or slow.
    pub fn clock(&self, now: u64) -> Millis {
        Millis(now * self.clock_percent / 100 + self.clock_offset)
    }

    pub fn start(&mut self, now: u64, cfg: &Cfg, seed: u64, history: &History) {
        let snapshot = self.disk.snapshot.as_ref();
        self.app = snapshot.map_or(AppState::default(), |s| AppState::parse(&s.data));
        history.check_snapshot(self.app);
        let (id, disk, clock) = (self.id(), self.disk.clone(), self.clock(now));
        self.replica = Some(Replica::restore(cfg.clone(), id, disk, seed, clock));
        self.is_frozen = false;
    }

    /// Kills the process. The machine keeps running and syncs what the process has written.
    pub fn kill(&mut self) {
        self.sync();
        self.replica = None;
        self.is_frozen = false;
        self.fault = None;
        self.actions.clear();
        self.inbox.clear();
        self.pending_changes.clear();
        self.seen_at_start.clear();
    }

    /// Makes all writes durable.
    pub fn sync(&mut self) {
        for write in self.unsynced.drain(..) {
            self.disk.apply(write);
        }
    }

    /// Simulates a power loss. A random number of the oldest unsynced writes reach the disk, since
    /// a torn write is cut off at the next start. They may include the write during which the node
    /// was stopped.
    pub fn lose_power(&mut self, rng: &mut Rng) {
        if let Some(Action::Persist(write)) = self.actions.front() {
            self.unsynced.push(write.clone());
        }
        let kept = rng.random_range(0..=self.unsynced.len());
        self.unsynced.truncate(kept);
        self.kill();
    }

    /// Returns whether its disk holds the entry at an index.
    pub fn has_on_disk(&self, index: u64) -> bool {
        index <= self.disk.base_index + self.disk.entries.len() as u64
    }

    pub fn lose_disk(&mut self) {
        self.kill();
        self.disk = PersistentState::default();
        self.incarnation += 1;
    }

    /// Returns all members in the entries on its disk, and the newest in its memory.
    pub fn possible_members(&self) -> Vec<Members> {
        let on_disk = self.disk.entries.iter().filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        let in_memory = self.replica.as_ref().map(|replica| replica.members().clone());
        on_disk.chain(in_memory).collect()
    }

    /// Handles an event and executes the resulting actions; returns the messages that were sent.
    pub fn handle(&mut self, now: u64, event: Event, history: &mut History) -> Vec<Message> {
        if self.is_frozen {
            if let Event::Receive(msg) = event {
                self.inbox.push(msg);
            }
            return Vec::new();
        }
        let clock = self.clock(now);
        let Some(replica) = &mut self.replica else { return Vec::new() };
        if let Event::Propose { tag, .. } = &event {
            self.seen_at_start.insert(*tag, history.newest_seen());
        }
        let mut actions = Vec::new();
        replica.step(clock, event, &mut actions);
        self.actions.extend(actions);
        self.execute_actions(history)
    }

    pub fn thaw(&mut self, now: u64, history: &mut History) -> Vec<Message> {
        self.is_frozen = false;
        let mut sent = self.execute_actions(history);
        for msg in std::mem::take(&mut self.inbox) {
            sent.extend(self.handle(now, Event::Receive(msg), history));
        }
        sent
    }

    fn execute_actions(&mut self, history: &mut History) -> Vec<Message> {
        let mut sent = Vec::new();
        while !self.actions.is_empty() {
            match &mut self.fault {
                Some((0, fault)) => {
                    let fault = *fault;
                    self.fault = None;
                    match fault {
                        Fault::Kill => self.kill(),
                        Fault::Freeze => self.is_frozen = true,
                    }
                    break;
                }
                Some((remaining, _)) => *remaining -= 1,
                None => {}
            }
            let Some(action) = self.actions.pop_front() else { break };
            self.execute(action, history, &mut sent);
        }
        sent
    }

    fn execute(&mut self, action: Action, history: &mut History, sent: &mut Vec<Message>) {
        match action {
            Action::Persist(write) => {
                self.unsynced.push(write);
                if self.sync_mode == SyncMode::Immediate {
                    self.sync();
                }
            }
            Action::Send(msg) => sent.push(msg),
            Action::Restore(snapshot) => {
                self.app = AppState::parse(&snapshot.data);
                history.check_snapshot(self.app);
            }
            Action::ProposalAppended { tag, first_index: first, term } => {
                let seen_at_start = self.seen_at_start.remove(&tag).unwrap_or(0);
                self.pending_changes.insert(first, PendingChange { term, seen_at_start });
            }
            Action::NotLeader { tag } => {
                self.seen_at_start.remove(&tag);
            }
            Action::Apply { index, entry } => {
                self.app = history.record_apply(self.app, index, &entry);
                if let Some(pending) = self.pending_changes.remove(&index)
                    && pending.term == entry.term
                {
                    history.record_answer(pending.seen_at_start, index);
                }
            }
        }
    }
}
