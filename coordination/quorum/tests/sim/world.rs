//! A cluster in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Add;
use std::sync::Arc;

use rand::Rng;
use sill_base::Millis;
use sill_base::random::{self, seeded};
use sill_quorum::{Cfg, Event, MemberChange, Members, Message, ReplicaId, RoleName};

use crate::history::History;
use crate::node::{Fault, Node};
use crate::schedule::{Op, Schedule, Target};

/// Virtual milliseconds between two ticks of each node.
const TICK: u64 = 20;

/// Messages that may be on their way at once. Answers that lead to more than one other each would
/// pass any bound.
const MAX_IN_FLIGHT: usize = 20_000;

/// Virtual milliseconds in which a cluster without faults must be whole again.
const REPAIR: u64 = 30_000;

/// What a run came to.
#[derive(Debug, Default, Clone, Copy)]
pub struct Stats {
    /// Events that nodes took in.
    pub steps: u64,
    /// Changes that were answered.
    pub answered: u64,
    /// Reads that were answered.
    pub reads: u64,
    /// Entries that were committed.
    pub committed: u64,
}

pub struct World {
    cfg: Cfg,
    pub rng: random::Rng,
    pub now: u64,
    pub nodes: Vec<Node>,
    /// How many voters there shall be; the other nodes stand by.
    wanted: usize,
    queue: BTreeMap<(u64, u64), Message>,
    pub cuts: BTreeSet<(usize, usize)>,
    slow: BTreeMap<(usize, usize), u64>,
    loss: u8,
    doubled: u8,
    delay: u64,
    next_tick: u64,
    sequence: u64,
    steps: u64,
    has_load: bool,
    pub history: History,
}

impl Add for Stats {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            steps: self.steps + other.steps,
            answered: self.answered + other.answered,
            reads: self.reads + other.reads,
            committed: self.committed + other.committed,
        }
    }
}

/// Runs a schedule; panics when something that must hold does not.
pub fn run(schedule: &Schedule, cfg: &Cfg) -> Stats {
    let mut world = up_to_end(schedule, cfg);
    world.repair();
    world.stats()
}

/// Runs a schedule without the repair at its end.
pub fn up_to_end(schedule: &Schedule, cfg: &Cfg) -> World {
    let mut world = World::new(schedule, cfg.clone());
    world.pass(1500);
    for step in &schedule.steps {
        world.pass(step.wait);
        world.happen(&step.op);
    }
    world
}

/// Kills all nodes at once, starts them one after the other, and returns the time from the last start
/// until one of them leads.
pub fn time_to_lead(voters: usize, seed: u64, cfg: &Cfg) -> u64 {
    const BETWEEN_STARTS: u64 = 60;
    const STEP: u64 = 5;
    let mut world = World::new(&Schedule { seed, voters, steps: Vec::new() }, cfg.clone());
    world.pass(2000);
    world.nodes.iter_mut().for_each(Node::kill);
    for i in 0..voters {
        world.pass(BETWEEN_STARTS);
        world.start(i);
    }
    let started = world.now;
    while world.leaders().is_empty() && world.now < started + REPAIR {
        world.pass(STEP);
    }
    world.now - started
}

impl World {
    fn new(schedule: &Schedule, cfg: Cfg) -> Self {
        Self::with_standbys(schedule.seed, schedule.voters, 0, cfg)
    }

    /// Makes a cluster with nodes that take a voter's place when one is taken out.
    pub fn with_standbys(seed: u64, voters: usize, standbys: usize, cfg: Cfg) -> Self {
        let mut rng = seeded(seed);
        let nodes = (0..voters + standbys).map(|i| {
            let clock = rng.random_range(95..=105);
            Node::new(format!("c{i}"), clock, rng.random_range(0..5000))
        });
        let nodes: Vec<Node> = nodes.collect();
        let members = Members::from_voters(nodes.iter().take(voters).map(Node::id));
        let mut world = Self {
            cfg,
            rng,
            now: 1000,
            nodes,
            wanted: voters,
            queue: BTreeMap::new(),
            cuts: BTreeSet::new(),
            slow: BTreeMap::new(),
            loss: 0,
            doubled: 0,
            delay: 5,
            next_tick: 1000,
            sequence: 0,
            steps: 0,
            has_load: true,
            history: History::of(members.clone()),
        };
        (0..world.nodes.len()).for_each(|i| world.start(i));
        world.event(0, Event::Bootstrap(members));
        world
    }

    pub fn stats(&self) -> Stats {
        Stats {
            steps: self.steps,
            answered: self.history.answered,
            reads: self.history.reads,
            committed: self.history.len(),
        }
    }

    pub fn start(&mut self, i: usize) {
        if self.nodes[i].replica.is_none() {
            let seed = self.rng.random();
            self.nodes[i].start(self.now, &self.cfg, seed, &self.history);
        }
    }

    pub fn event(&mut self, i: usize, event: Event) {
        self.steps += 1;
        let sent = self.nodes[i].run(self.now, event, &mut self.history);
        self.transmit(i, sent);
        self.check(i);
    }

    fn transmit(&mut self, from: usize, sent: Vec<Message>) {
        for msg in sent {
            let Some(to) = self.index(&msg.to) else { continue };
            let slow = self.slow.get(&(from, to)).copied().unwrap_or(0);
            let copies = 1 + usize::from(self.rng.random_range(0..100) < self.doubled);
            for _ in 0..copies {
                if self.rng.random_range(0..100) < self.loss {
                    continue;
                }
                let delay = self.rng.random_range(1..=self.delay) + slow;
                self.sequence += 1;
                self.queue.insert((self.now + delay, self.sequence), msg.clone());
            }
        }
        assert!(self.queue.len() <= MAX_IN_FLIGHT, "messages multiply");
    }

    /// Checks what must hold between all nodes at all times.
    fn check(&mut self, changed: usize) {
        if let Some(replica) = &self.nodes[changed].replica
            && replica.role() == RoleName::Leader
        {
            self.history.leads(replica.term(), replica.id());
        }
        let now = self.now;
        let holders = self.nodes.iter().filter(|node| {
            let clock = node.clock(now);
            node.replica.as_ref().is_some_and(|replica| replica.holds_lease(clock))
        });
        let holders: Vec<&str> = holders.map(|node| node.name.as_str()).collect();
        assert!(holders.len() <= 1, "{holders:?} hold a lease at {now}");
        for node in self.nodes.iter().filter(|node| !node.is_frozen) {
            let clock = node.clock(now);
            if node.replica.as_ref().is_some_and(|replica| replica.can_read(clock)) {
                self.history.read(node.app.index);
            }
        }
    }

    pub fn pass(&mut self, span: u64) {
        let end = self.now + span;
        loop {
            let due = self.queue.keys().next().map_or(u64::MAX, |key| key.0);
            let next = due.min(self.next_tick);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if due <= self.next_tick {
                let Some((_, msg)) = self.queue.pop_first() else { break };
                self.deliver(msg);
            } else {
                self.tick();
            }
        }
        self.now = end;
    }

    fn index(&self, id: &ReplicaId) -> Option<usize> {
        self.nodes.iter().position(|node| *node.name == *id.name)
    }

    fn deliver(&mut self, msg: Message) {
        let (Some(from), Some(to)) = (self.index(&msg.from), self.index(&msg.to)) else { return };
        if !self.cuts.contains(&(from, to)) {
            self.event(to, Event::Receive(msg));
        }
    }

    fn tick(&mut self) {
        self.next_tick += TICK;
        for i in 0..self.nodes.len() {
            self.nodes[i].sync();
            self.event(i, Event::Tick);
            self.compact(i);
        }
        if self.has_load && self.rng.random_bool(0.5) {
            let i = self.rng.random_range(0..self.nodes.len());
            self.propose(i, 1);
        }
        if self.rng.random_bool(0.2) {
            self.join();
        }
    }

    fn compact(&mut self, i: usize) {
        let node = &self.nodes[i];
        let Some(replica) = &node.replica else { return };
        // A node that stopped between two actions has not applied all that its replica gave out.
        if replica.compactable_entries() > 40 && node.app.index == replica.applied_index() {
            let (index, data) = (node.app.index, Arc::from(node.app.text()));
            self.event(i, Event::Compact { index, data });
        }
    }

    pub fn propose(&mut self, i: usize, count: usize) {
        for _ in 0..count {
            self.sequence += 1;
            let commands = vec![Arc::from(format!("{}", self.sequence))];
            self.event(i, Event::Propose { tag: self.sequence, commands });
        }
    }

    /// Replicas that are no voters ask the leaders to take part.
    fn join(&mut self) {
        for i in 0..self.nodes.len() {
            let id = self.nodes[i].id();
            if self.nodes[i].replica.is_none() || self.history.members.voters.contains(&id) {
                continue;
            }
            for leader in self.leaders() {
                if !self.cuts.contains(&(i, leader)) {
                    let as_voter = self.wants_voter(leader, &id);
                    self.event(leader, Event::Join { id: id.clone(), as_voter });
                }
            }
        }
    }

    fn wants_voter(&self, leader: usize, id: &ReplicaId) -> bool {
        let Some(replica) = &self.nodes[leader].replica else { return false };
        let others = replica.members().voters.iter().filter(|voter| voter.name != id.name);
        others.count() < self.wanted
    }

    pub fn leaders(&self) -> Vec<usize> {
        let leads = |i: &usize| {
            let replica = self.nodes[*i].replica.as_ref();
            replica.is_some_and(|replica| replica.role() == RoleName::Leader)
        };
        (0..self.nodes.len()).filter(leads).collect()
    }

    fn find(&self, target: Target) -> usize {
        match target {
            Target::Leader => self.leaders().first().copied().unwrap_or(0),
            Target::Node(i) => i % self.nodes.len(),
        }
    }

    fn happen(&mut self, op: &Op) {
        let count = self.nodes.len();
        match *op {
            Op::Kill(target, after) => self.hit(target, after, Fault::Kill),
            Op::Freeze(target, after) => self.hit(target, after, Fault::Freeze),
            Op::KillAll => self.nodes.iter_mut().for_each(Node::kill),
            Op::Restart(i) => self.start(i % count),
            Op::RestartAll => (0..count).for_each(|i| self.start(i)),
            Op::LoseDisk(target) => self.lose_disk(target),
            Op::Thaw(i) => self.thaw(i % count),
            Op::CutOneWay(a, b) => {
                self.cuts.insert((a % count, b % count));
            }
            Op::Isolate(target) => {
                let i = self.find(target);
                self.cuts.extend((0..count).flat_map(|j| [(i, j), (j, i)]));
            }
            Op::Split(at) => {
                let across = |a: usize, b: usize| (a < at % count) != (b < at % count);
                let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
                self.cuts.extend(pairs.filter(|(a, b)| across(*a, *b)));
            }
            Op::Heal => self.cuts.clear(),
            Op::Network { loss, doubled, delay } => {
                (self.loss, self.doubled, self.delay) = (loss, doubled, delay);
            }
            Op::Slow(a, b, delay) => {
                self.slow.insert((a % count, b % count), delay);
            }
            Op::Propose(target, n) => {
                let i = self.find(target);
                self.propose(i, n);
            }
            Op::Remove(i) => self.remove(i % count),
            Op::Load(has_load) => self.has_load = has_load,
        }
    }

    /// An operator takes a voter out, where those that remain can bear the disks lost so far.
    fn remove(&mut self, i: usize) {
        let id = self.nodes[i].id();
        let bears_it = |mut members: Members| {
            members.voters.remove(&id);
            self.bears(&members, usize::MAX)
        };
        if !self.possible_members().into_iter().all(bears_it) {
            return;
        }
        for leader in self.leaders() {
            self.event(leader, Event::ChangeMembers(MemberChange::Remove(id.clone())));
        }
    }

    fn hit(&mut self, target: Target, after: Option<usize>, fault: Fault) {
        let i = self.find(target);
        match (after, fault) {
            (Some(_), _) => self.nodes[i].fault = after.map(|n| (n, fault)),
            (None, Fault::Kill) => self.nodes[i].kill(),
            (None, Fault::Freeze) => self.nodes[i].is_frozen = self.nodes[i].replica.is_some(),
        }
    }

    fn thaw(&mut self, i: usize) {
        if self.nodes[i].is_frozen {
            let sent = self.nodes[i].thaw(self.now, &mut self.history);
            self.transmit(i, sent);
            self.check(i);
        }
    }

    /// Loses a disk, if the voters can bear it: with more than a minority of the disks gone there
    /// is nothing that any protocol could save.
    pub fn lose_disk(&mut self, target: Target) {
        let i = self.find(target);
        if self.possible_members().iter().all(|members| self.bears(members, i)) {
            self.nodes[i].lose_disk();
        }
    }

    /// Returns the committed members, and those that an open change may turn them into.
    fn possible_members(&self) -> Vec<Members> {
        let mut all: Vec<Members> = self.nodes.iter().flat_map(Node::possible_members).collect();
        all.push(self.history.members.clone());
        all
    }

    fn bears(&self, members: &Members, lost: usize) -> bool {
        let is_gone = |id: &&ReplicaId| {
            self.nodes.iter().enumerate().any(|(i, node)| {
                *node.name == *id.name && (i == lost || node.incarnation != id.incarnation)
            })
        };
        let gone = members.voters.iter().filter(is_gone).count();
        members.voters.is_empty() || gone <= (members.voters.len() - 1) / 2
    }

    /// Ends all faults of the network.
    pub fn calm(&mut self) {
        self.cuts.clear();
        self.slow.clear();
        (self.loss, self.doubled, self.delay) = (0, 0, 5);
    }

    /// Ends all faults; the cluster must then become whole and take changes in time.
    pub fn repair(&mut self) {
        self.calm();
        for i in 0..self.nodes.len() {
            self.nodes[i].fault = None;
            self.thaw(i);
            self.start(i);
        }
        self.pass(REPAIR);
        let answered = self.history.answered;
        for leader in self.leaders() {
            self.propose(leader, 3);
        }
        self.pass(1000);
        assert!(self.history.answered >= answered + 3, "no progress after the faults ended");
        let newest = self.history.len();
        for node in &self.nodes {
            let behind = newest - node.app.index;
            assert!(behind <= 60, "{} is {behind} entries behind after the repair", node.name);
        }
        let voters = &self.history.members.voters;
        let are_there = voters.iter().all(|id| self.nodes.iter().any(|node| node.id() == *id));
        assert!(are_there, "one that is gone votes after the repair: {voters:?}");
        assert_eq!(voters.len(), self.wanted, "voters after the repair: {voters:?}");
    }
}

/// The spans that the daemon uses, with a log that is compacted often.
pub fn cfg() -> Cfg {
    Cfg { max_entries: 16, trailing_entries: 10, heartbeat: Millis(100), ..Cfg::default() }
}
