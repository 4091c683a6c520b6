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
const TICK_MS: u64 = 20;

/// Maximum number of messages in flight. If each reply triggered more than one message, their
/// number would exceed any bound.
const MAX_IN_FLIGHT: usize = 20_000;

/// Virtual milliseconds within which a cluster must recover after all faults ended.
const REPAIR_MS: u64 = 30_000;

/// Totals of one or more runs.
#[derive(Debug, Default, Clone, Copy)]
pub struct Stats {
    /// Number of events handled by nodes.
    pub steps: u64,
    /// Number of acknowledged changes.
    pub answered_changes: u64,
    /// Number of answered reads.
    pub answered_reads: u64,
    /// Number of committed entries.
    pub committed_entries: u64,
}

pub struct World {
    cfg: Cfg,
    pub rng: random::Rng,
    pub now: u64,
    pub nodes: Vec<Node>,
    /// Number of voters that the cluster keeps; the other nodes are standbys.
    target_voters: usize,
    /// Messages in flight by delivery time and sequence number.
    queue: BTreeMap<(u64, u64), Message>,
    /// Links that drop all messages, by sender and receiver.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Additional delay of a link in virtual milliseconds, by sender and receiver.
    link_delays: BTreeMap<(usize, usize), u64>,
    loss_percent: u8,
    duplicate_percent: u8,
    max_delay: u64,
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
            answered_changes: self.answered_changes + other.answered_changes,
            answered_reads: self.answered_reads + other.answered_reads,
            committed_entries: self.committed_entries + other.committed_entries,
        }
    }
}

/// Runs a schedule and repairs the cluster at its end; panics when an invariant is violated.
pub fn run(schedule: &Schedule, cfg: &Cfg) -> Stats {
    let mut world = run_without_repair(schedule, cfg);
    world.repair();
    world.stats()
}

/// Runs a schedule without the repair at its end.
pub fn run_without_repair(schedule: &Schedule, cfg: &Cfg) -> World {
    let mut world = World::new(schedule, cfg.clone());
    world.advance(1500);
    for step in &schedule.steps {
        world.advance(step.wait);
        world.apply_op(&step.op);
    }
    world
}

/// Kills all nodes at once, starts them one after the other, and returns the virtual milliseconds
/// from the last start until one of them leads.
pub fn election_time_after_power_loss(voters: usize, seed: u64, cfg: &Cfg) -> u64 {
    const START_INTERVAL_MS: u64 = 60;
    const STEP_MS: u64 = 5;
    let mut world = World::new(&Schedule { seed, voters, steps: Vec::new() }, cfg.clone());
    world.advance(2000);
    world.nodes.iter_mut().for_each(Node::kill);
    for i in 0..voters {
        world.advance(START_INTERVAL_MS);
        world.start(i);
    }
    let started = world.now;
    while world.leaders().is_empty() && world.now < started + REPAIR_MS {
        world.advance(STEP_MS);
    }
    world.now - started
}

impl World {
    fn new(schedule: &Schedule, cfg: Cfg) -> Self {
        Self::with_standbys(schedule.seed, schedule.voters, 0, cfg)
    }

    /// Creates a cluster with standbys, which take the place of voters that are removed.
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
            target_voters: voters,
            queue: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            link_delays: BTreeMap::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay: 5,
            next_tick: 1000,
            sequence: 0,
            steps: 0,
            has_load: true,
            history: History::new(members.clone()),
        };
        (0..world.nodes.len()).for_each(|i| world.start(i));
        world.step(0, Event::Bootstrap(members));
        world
    }

    pub fn stats(&self) -> Stats {
        Stats {
            steps: self.steps,
            answered_changes: self.history.answered_changes,
            answered_reads: self.history.answered_reads,
            committed_entries: self.history.len(),
        }
    }

    pub fn start(&mut self, i: usize) {
        if self.nodes[i].replica.is_none() {
            let seed = self.rng.random();
            self.nodes[i].start(self.now, &self.cfg, seed, &self.history);
        }
    }

    pub fn step(&mut self, i: usize, event: Event) {
        self.steps += 1;
        let sent = self.nodes[i].handle(self.now, event, &mut self.history);
        self.transmit(i, sent);
        self.check(i);
    }

    fn transmit(&mut self, from: usize, sent: Vec<Message>) {
        for msg in sent {
            let Some(to) = self.index(&msg.to) else { continue };
            let link_delay = self.link_delays.get(&(from, to)).copied().unwrap_or(0);
            let copies = 1 + usize::from(self.rng.random_range(0..100) < self.duplicate_percent);
            for _ in 0..copies {
                if self.rng.random_range(0..100) < self.loss_percent {
                    continue;
                }
                let delay = self.rng.random_range(1..=self.max_delay) + link_delay;
                self.sequence += 1;
                self.queue.insert((self.now + delay, self.sequence), msg.clone());
            }
        }
        assert!(
            self.queue.len() <= MAX_IN_FLIGHT,
            "{} messages in flight, limit is {MAX_IN_FLIGHT}",
            self.queue.len()
        );
    }

    /// Checks the invariants across all nodes after an event at one of them.
    fn check(&mut self, changed: usize) {
        if let Some(replica) = &self.nodes[changed].replica
            && replica.role() == RoleName::Leader
        {
            self.history.record_leader(replica.term(), replica.id());
        }
        let now = self.now;
        let holders = self.nodes.iter().filter(|node| {
            let clock = node.clock(now);
            node.replica.as_ref().is_some_and(|replica| replica.has_lease(clock))
        });
        let holders: Vec<&str> = holders.map(|node| node.name.as_str()).collect();
        assert!(holders.len() <= 1, "{holders:?} hold a lease at virtual time {now} ms");
        for node in self.nodes.iter().filter(|node| !node.is_frozen) {
            let clock = node.clock(now);
            if node.replica.as_ref().is_some_and(|replica| replica.can_read(clock)) {
                self.history.record_read(node.app.index);
            }
        }
    }

    /// Delivers messages and ticks for a number of virtual milliseconds.
    pub fn advance(&mut self, span: u64) {
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
        if !self.cut_links.contains(&(from, to)) {
            self.step(to, Event::Receive(msg));
        }
    }

    fn tick(&mut self) {
        self.next_tick += TICK_MS;
        for i in 0..self.nodes.len() {
            self.nodes[i].sync();
            self.step(i, Event::Tick);
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
        // A node that stopped between two actions has not applied all entries that its replica
        // returned.
        if replica.compactable_entries() > 40 && node.app.index == replica.applied_index() {
            let (index, data) = (node.app.index, Arc::from(node.app.to_text()));
            self.step(i, Event::Compact { index, data });
        }
    }

    pub fn propose(&mut self, i: usize, count: usize) {
        for _ in 0..count {
            self.sequence += 1;
            let commands = vec![Arc::from(format!("{}", self.sequence))];
            self.step(i, Event::Propose { tag: self.sequence, commands });
        }
    }

    /// Sends the leaders a join request from each running replica that is not a voter.
    fn join(&mut self) {
        for i in 0..self.nodes.len() {
            let id = self.nodes[i].id();
            if self.nodes[i].replica.is_none() || self.history.members.voters.contains(&id) {
                continue;
            }
            for leader in self.leaders() {
                if !self.cut_links.contains(&(i, leader)) {
                    let as_voter = self.needs_voter(leader, &id);
                    self.step(leader, Event::Join { id: id.clone(), as_voter });
                }
            }
        }
    }

    fn needs_voter(&self, leader: usize, id: &ReplicaId) -> bool {
        let Some(replica) = &self.nodes[leader].replica else { return false };
        let others = replica.members().voters.iter().filter(|voter| voter.name != id.name);
        others.count() < self.target_voters
    }

    pub fn leaders(&self) -> Vec<usize> {
        let is_leader = |i: &usize| {
            let replica = self.nodes[*i].replica.as_ref();
            replica.is_some_and(|replica| replica.role() == RoleName::Leader)
        };
        (0..self.nodes.len()).filter(is_leader).collect()
    }

    fn resolve(&self, target: Target) -> usize {
        match target {
            Target::Leader => self.leaders().first().copied().unwrap_or(0),
            Target::Node(i) => i % self.nodes.len(),
        }
    }

    fn apply_op(&mut self, op: &Op) {
        let count = self.nodes.len();
        match *op {
            Op::Kill(target, after) => self.inject_fault(target, after, Fault::Kill),
            Op::Freeze(target, after) => self.inject_fault(target, after, Fault::Freeze),
            Op::KillAll => self.nodes.iter_mut().for_each(Node::kill),
            Op::Restart(i) => self.start(i % count),
            Op::RestartAll => (0..count).for_each(|i| self.start(i)),
            Op::LoseDisk(target) => self.lose_disk(target),
            Op::Thaw(i) => self.thaw(i % count),
            Op::CutOneWay(a, b) => {
                self.cut_links.insert((a % count, b % count));
            }
            Op::Isolate(target) => {
                let i = self.resolve(target);
                self.cut_links.extend((0..count).flat_map(|j| [(i, j), (j, i)]));
            }
            Op::Partition(at) => {
                let is_across = |a: usize, b: usize| (a < at % count) != (b < at % count);
                let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
                self.cut_links.extend(pairs.filter(|(a, b)| is_across(*a, *b)));
            }
            Op::Heal => self.cut_links.clear(),
            Op::Network { loss_percent, duplicate_percent, max_delay } => {
                (self.loss_percent, self.duplicate_percent, self.max_delay) =
                    (loss_percent, duplicate_percent, max_delay);
            }
            Op::DelayLink(a, b, delay) => {
                self.link_delays.insert((a % count, b % count), delay);
            }
            Op::Propose(target, n) => {
                let i = self.resolve(target);
                self.propose(i, n);
            }
            Op::Remove(i) => self.remove(i % count),
            Op::Load(has_load) => self.has_load = has_load,
        }
    }

    /// Removes a voter as an operator does, if the remaining voters tolerate the disks lost so far.
    fn remove(&mut self, i: usize) {
        let id = self.nodes[i].id();
        let can_be_removed = |mut members: Members| {
            members.voters.remove(&id);
            self.can_lose(&members, usize::MAX)
        };
        if !self.possible_members().into_iter().all(can_be_removed) {
            return;
        }
        for leader in self.leaders() {
            self.step(leader, Event::ChangeMembers(MemberChange::Remove(id.clone())));
        }
    }

    fn inject_fault(&mut self, target: Target, after: Option<usize>, fault: Fault) {
        let i = self.resolve(target);
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

    /// Loses a disk, if the voters tolerate it: no protocol can keep entries when more than a
    /// minority of the disks is lost.
    pub fn lose_disk(&mut self, target: Target) {
        let i = self.resolve(target);
        if self.possible_members().iter().all(|members| self.can_lose(members, i)) {
            self.nodes[i].lose_disk();
        }
    }

    /// Returns the committed members, and those that an uncommitted change may turn them into.
    fn possible_members(&self) -> Vec<Members> {
        let mut all: Vec<Members> = self.nodes.iter().flat_map(Node::possible_members).collect();
        all.push(self.history.members.clone());
        all
    }

    /// Returns whether at most a minority of voters have lost their disk, counting node `lost` too.
    fn can_lose(&self, members: &Members, lost: usize) -> bool {
        let is_lost = |id: &&ReplicaId| {
            self.nodes.iter().enumerate().any(|(i, node)| {
                *node.name == *id.name && (i == lost || node.incarnation != id.incarnation)
            })
        };
        let lost_voters = members.voters.iter().filter(is_lost).count();
        members.voters.is_empty() || lost_voters <= (members.voters.len() - 1) / 2
    }

    /// Ends all faults of the network.
    pub fn heal_network(&mut self) {
        self.cut_links.clear();
        self.link_delays.clear();
        (self.loss_percent, self.duplicate_percent, self.max_delay) = (0, 0, 5);
    }

    /// Ends all faults; the cluster must then recover and accept changes in time.
    pub fn repair(&mut self) {
        self.heal_network();
        for i in 0..self.nodes.len() {
            self.nodes[i].fault = None;
            self.thaw(i);
            self.start(i);
        }
        self.advance(REPAIR_MS);
        let answered = self.history.answered_changes;
        for leader in self.leaders() {
            self.propose(leader, 3);
        }
        self.advance(1000);
        assert!(
            self.history.answered_changes >= answered + 3,
            "{answered} changes acknowledged before 3 more were proposed, {} after",
            self.history.answered_changes
        );
        let newest = self.history.len();
        for node in &self.nodes {
            let behind = newest - node.app.index;
            assert!(behind <= 60, "{} is {behind} entries behind after the repair", node.name);
        }
        let voters = &self.history.members.voters;
        let all_present = voters.iter().all(|id| self.nodes.iter().any(|node| node.id() == *id));
        assert!(all_present, "a lost replica is a voter after the repair: {voters:?}");
        assert_eq!(
            voters.len(),
            self.target_voters,
            "number of voters after the repair: {voters:?}"
        );
    }
}

/// Returns the default timeouts, with a shorter heartbeat and a log that is compacted often.
pub fn cfg() -> Cfg {
    Cfg {
        max_append_entries: 16,
        trailing_entries: 10,
        heartbeat_interval: Millis(100),
        ..Cfg::default()
    }
}
