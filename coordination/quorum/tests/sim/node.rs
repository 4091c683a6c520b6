//! A node: a replica, its disk, its clock, and what it has still to do.

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
    /// What is synced.
    pub disk: PersistentState,
    /// What is written and not yet synced.
    unsynced: Vec<Write>,
    pub syncs: Syncs,
    pub replica: Option<Replica>,
    pub app: AppState,
    pub is_frozen: bool,
    /// What to do after so many more actions.
    pub fault: Option<(usize, Fault)>,
    inbox: Vec<Message>,
    actions: VecDeque<Action>,
    waiting: BTreeMap<u64, Waiting>,
    seen_at_start: BTreeMap<u64, u64>,
    clock_percent: u64,
    clock_offset: u64,
}

/// When a node syncs what it has written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Syncs {
    /// Before it carries out the next action.
    AtOnce,
    /// At its next tick, after it has told others. A weakening of the caller of the replica.
    Later,
}

/// What befalls a node between two actions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Kill,
    Freeze,
}

#[derive(Debug)]
struct Waiting {
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
            syncs: Syncs::AtOnce,
            replica: None,
            app: AppState::default(),
            is_frozen: false,
            fault: None,
            inbox: Vec::new(),
            actions: VecDeque::new(),
            waiting: BTreeMap::new(),
            seen_at_start: BTreeMap::new(),
            clock_percent,
            clock_offset,
        }
    }

    pub fn id(&self) -> ReplicaId {
        ReplicaId { name: self.name.as_str().into(), incarnation: self.incarnation }
    }

    /// The node's own clock, which runs a little fast or slow.
    pub fn clock(&self, now: u64) -> Millis {
        Millis(now * self.clock_percent / 100 + self.clock_offset)
    }

    pub fn start(&mut self, now: u64, cfg: &Cfg, seed: u64, history: &History) {
        let snapshot = self.disk.snapshot.as_ref();
        self.app = snapshot.map_or(AppState::default(), |s| AppState::parse(&s.data));
        history.restore(self.app);
        let (id, disk, clock) = (self.id(), self.disk.clone(), self.clock(now));
        self.replica = Some(Replica::restore(cfg.clone(), id, disk, seed, clock));
        self.is_frozen = false;
    }

    /// Kills the process. The machine goes on, and what was written gets to its disk.
    pub fn kill(&mut self) {
        self.sync();
        self.replica = None;
        self.is_frozen = false;
        self.fault = None;
        self.actions.clear();
        self.inbox.clear();
        self.waiting.clear();
        self.seen_at_start.clear();
    }

    /// Makes durable what was written.
    pub fn sync(&mut self) {
        for write in self.unsynced.drain(..) {
            self.disk.apply(write);
        }
    }

    /// Loses power. Of what was not synced, the disk has any number of writes from the oldest on; a torn
    /// one is cut off at the next start. The write that the node was stopped in may be there as well.
    pub fn lose_power(&mut self, rng: &mut Rng) {
        if let Some(Action::Persist(write)) = self.actions.front() {
            self.unsynced.push(write.clone());
        }
        let kept = rng.random_range(0..=self.unsynced.len());
        self.unsynced.truncate(kept);
        self.kill();
    }

    /// Returns whether its disk has an entry.
    pub fn has_on_disk(&self, index: u64) -> bool {
        index <= self.disk.base_index + self.disk.entries.len() as u64
    }

    pub fn lose_disk(&mut self) {
        self.kill();
        self.disk = PersistentState::default();
        self.incarnation += 1;
    }

    /// Returns all members that its disk or its memory knows of.
    pub fn possible_members(&self) -> Vec<Members> {
        let on_disk = self.disk.entries.iter().filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        let in_memory = self.replica.as_ref().map(|replica| replica.members().clone());
        on_disk.chain(in_memory).collect()
    }

    /// Takes in an event and carries out what follows; returns the messages that were sent.
    pub fn run(&mut self, now: u64, event: Event, history: &mut History) -> Vec<Message> {
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
        self.carry_out(history)
    }

    pub fn thaw(&mut self, now: u64, history: &mut History) -> Vec<Message> {
        self.is_frozen = false;
        let mut sent = self.carry_out(history);
        for msg in std::mem::take(&mut self.inbox) {
            sent.extend(self.run(now, Event::Receive(msg), history));
        }
        sent
    }

    fn carry_out(&mut self, history: &mut History) -> Vec<Message> {
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
                Some((left, _)) => *left -= 1,
                None => {}
            }
            let Some(action) = self.actions.pop_front() else { break };
            self.carry_out_one(action, history, &mut sent);
        }
        sent
    }

    fn carry_out_one(&mut self, action: Action, history: &mut History, sent: &mut Vec<Message>) {
        match action {
            Action::Persist(write) => {
                self.unsynced.push(write);
                if self.syncs == Syncs::AtOnce {
                    self.sync();
                }
            }
            Action::Send(msg) => sent.push(msg),
            Action::Restore(snapshot) => {
                self.app = AppState::parse(&snapshot.data);
                history.restore(self.app);
            }
            Action::ProposalAppended { tag, first_index: first, term } => {
                let seen_at_start = self.seen_at_start.remove(&tag).unwrap_or(0);
                self.waiting.insert(first, Waiting { term, seen_at_start });
            }
            Action::NotLeader { tag } => {
                self.seen_at_start.remove(&tag);
            }
            Action::Apply { index, entry } => {
                self.app = history.apply(self.app, index, &entry);
                if let Some(waiting) = self.waiting.remove(&index)
                    && waiting.term == entry.term
                {
                    history.answer(waiting.seen_at_start, index);
                }
            }
        }
    }
}
