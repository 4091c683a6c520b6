//! Disks that are lost together, right after an acknowledgement, while all other machines lose
//! power.

use rand::Rng as _;
use rand::seq::SliceRandom as _;
use sill_base::random::{self, cases, seed, seeded};
use sill_quorum::{Cfg, Event, MemberChange, ReplicaId, Weakening};

use crate::node::{Fault, SyncMode};
use crate::runs::{catch_panic, runner};
use crate::schedule::{Target, schedules};
use crate::world::{self, Stats, World};

/// Virtual milliseconds within which a leader with all acknowledged entries must be elected.
const RECOVERY_MS: u64 = 10_000;

/// Maximum virtual milliseconds to wait for an acknowledgement or for a change of voters.
const MAX_WAIT_MS: u64 = 8_000;

/// A run that ends with the loss of disks and power.
#[derive(Debug, Clone)]
struct DiskLoss {
    /// Seed of delays, clocks and all other random choices of the run.
    seed: u64,
    voters: usize,
    /// Number of nodes that may replace a voter.
    standbys: usize,
    precondition: Precondition,
    /// Maximum number of nodes that are frozen between two actions when the change is acknowledged.
    frozen_nodes: usize,
    /// Maximum number of disks that are lost; at most a minority of the voters.
    lost_disks: usize,
    /// Whether disks that hold the acknowledged entry are lost first.
    is_targeted: bool,
}

/// The state of the cluster shortly before the acknowledgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Precondition {
    /// All nodes run without faults.
    Steady,
    /// As many nodes are down as may lose their disks; the entry is on no more disks than a quorum
    /// has.
    MinorityDown,
    /// A node was cut off while others compacted their logs, and is catching up.
    CatchUp,
    /// All nodes were restarted.
    Restart,
    /// A node lost its disk, and is a voter again or is becoming one.
    EarlierDiskLoss,
    /// A voter is lost for good, and a standby has replaced it or is about to.
    Replacement,
}

impl Precondition {
    const ALL: [Self; 6] = [
        Self::Steady,
        Self::MinorityDown,
        Self::CatchUp,
        Self::Restart,
        Self::EarlierDiskLoss,
        Self::Replacement,
    ];
}

impl DiskLoss {
    fn random(rng: &mut random::Rng) -> Self {
        let voters = [3, 3, 5, 5, 5, 7][rng.random_range(0..6)];
        let max_losses = (voters - 1) / 2;
        Self {
            seed: rng.random(),
            voters,
            standbys: rng.random_range(0..=2),
            precondition: Precondition::ALL[rng.random_range(0..Precondition::ALL.len())],
            frozen_nodes: rng.random_range(0..=max_losses),
            lost_disks: if rng.random_bool(0.7) {
                max_losses
            } else {
                rng.random_range(1..=max_losses)
            },
            is_targeted: rng.random_bool(0.7),
        }
    }

    /// Runs it, and returns whether the loss came right after an acknowledgement; panics when an
    /// acknowledged entry is lost or no leader is elected afterwards.
    fn run(&self, cfg: &Cfg, sync_mode: SyncMode) -> (Stats, bool) {
        let mut world = World::with_standbys(self.seed, self.voters, self.standbys, cfg.clone());
        world.nodes.iter_mut().for_each(|node| node.sync_mode = sync_mode);
        world.advance(2000);
        self.set_up(&mut world);
        self.freeze_nodes(&mut world);
        let is_answered = wait_for_answer(&mut world);
        lose_power_and_disks(&mut world, self.lost_disks, self.is_targeted);
        expect_recovery(&mut world);
        world.repair();
        (world.stats(), is_answered)
    }

    fn set_up(&self, world: &mut World) {
        match self.precondition {
            Precondition::Steady => {}
            Precondition::MinorityDown => {
                for i in draw_nodes(world, (self.voters - 1) / 2) {
                    world.nodes[i].kill();
                }
                advance_up_to(world, 2500);
            }
            Precondition::CatchUp => {
                let i = draw_nodes(world, 1)[0];
                let others = (0..world.nodes.len()).filter(|j| *j != i);
                world.cut_links = others.flat_map(|j| [(i, j), (j, i)]).collect();
                advance_up_to(world, 6000);
                world.cut_links.clear();
                advance_up_to(world, 400);
            }
            Precondition::Restart => {
                world.nodes.iter_mut().for_each(|node| node.kill());
                restart(world);
            }
            Precondition::EarlierDiskLoss => {
                let i = draw_nodes(world, 1)[0];
                world.lose_disk(Target::Node(i));
                advance_up_to(world, 1500);
                world.start(i);
                wait_for_voters(world, self.voters);
            }
            Precondition::Replacement => {
                let i = draw_nodes(world, 1)[0];
                let lost = world.nodes[i].id();
                world.lose_disk(Target::Node(i));
                if self.standbys == 0 {
                    return;
                }
                world.advance(2000);
                remove(world, lost);
                wait_for_voters(world, self.voters);
            }
        }
    }

    /// Freezes some nodes between two actions, for example between a write and the reply to it.
    fn freeze_nodes(&self, world: &mut World) {
        for i in draw_nodes(world, self.frozen_nodes) {
            let after = world.rng.random_range(0..5);
            world.nodes[i].fault = Some((after, Fault::Freeze));
        }
    }
}

/// All nodes lose power, and some lose their disks: at most `disks`, and at most a minority of the
/// voters.
fn lose_power_and_disks(world: &mut World, disks: usize, is_targeted: bool) {
    for node in &mut world.nodes {
        node.lose_power(&mut world.rng);
    }
    let newest = world.history.newest_seen();
    let mut order: Vec<usize> = (0..world.nodes.len()).collect();
    order.shuffle(&mut world.rng);
    if is_targeted {
        order.sort_by_key(|i| !world.nodes[*i].has_on_disk(newest));
    }
    for i in order.into_iter().take(disks) {
        world.lose_disk(Target::Node(i));
    }
}

fn draw_nodes(world: &mut World, count: usize) -> Vec<usize> {
    let mut nodes: Vec<usize> = (0..world.nodes.len()).collect();
    nodes.shuffle(&mut world.rng);
    nodes.truncate(count);
    nodes
}

fn advance_up_to(world: &mut World, span: u64) {
    let span = world.rng.random_range(0..=span);
    world.advance(span);
}

/// Has the leader remove a voter as soon as it can.
fn remove(world: &mut World, lost: ReplicaId) {
    let end = world.now + MAX_WAIT_MS;
    while world.history.members.voters.contains(&lost) && world.now < end {
        for leader in world.leaders() {
            world.step(leader, Event::ChangeMembers(MemberChange::Remove(lost.clone())));
        }
        world.advance(20);
    }
}

/// Waits until all voters are present again, or for a shorter time, so that the loss may come
/// before.
fn wait_for_voters(world: &mut World, target_voters: usize) {
    let is_complete = |world: &World| {
        let voters = &world.history.members.voters;
        let is_present = |id: &ReplicaId| world.nodes.iter().any(|node| node.id() == *id);
        voters.len() == target_voters && voters.iter().all(is_present)
    };
    let waits_long = world.rng.random_bool(0.7);
    let timeout = if waits_long { MAX_WAIT_MS } else { world.rng.random_range(0..600) };
    let end = world.now + timeout;
    while !is_complete(world) && world.now < end {
        world.advance(5);
    }
}

/// Proposes changes until one is acknowledged, and returns whether one was in time.
fn wait_for_answer(world: &mut World) -> bool {
    let (answered, end) = (world.history.answered_changes, world.now + MAX_WAIT_MS);
    while world.history.answered_changes == answered && world.now < end {
        for leader in world.leaders() {
            world.propose(leader, 1);
        }
        world.advance(1);
    }
    world.history.answered_changes > answered
}

/// Starts all stopped nodes one after the other; a node without its disk starts as a new
/// incarnation.
fn restart(world: &mut World) {
    for i in 0..world.nodes.len() {
        world.start(i);
        advance_up_to(world, 120);
    }
}

/// Restores power; a leader with all acknowledged entries must be elected in time.
fn expect_recovery(world: &mut World) {
    world.heal_network();
    restart(world);
    let newest = world.history.newest_seen();
    let end = world.now + RECOVERY_MS;
    let has_leader = |world: &World| {
        world.leaders().into_iter().any(|leader| world.nodes[leader].app.index >= newest)
    };
    while !has_leader(world) {
        assert!(world.now < end, "no leader has all acknowledged entries, up to {newest}");
        world.advance(20);
    }
}

#[test]
fn acknowledged_changes_survive_lost_disks_and_a_power_loss() {
    // A change is acknowledged. At that moment up to a minority of the instances lose their disks,
    // and all others lose power: no memory is left, and writes that were not synced may be missing.
    // Shortly before, voters were down, behind, replaced or had lost a disk. An operator must be
    // able to read the change.
    let mut rng = seeded(seed(31));
    let (mut total, mut answered) = (Stats::default(), 0);
    let count = cases(400);
    for case in 0..count {
        let loss = DiskLoss::random(&mut rng);
        match catch_panic(|| loss.run(&world::cfg(), SyncMode::Immediate)) {
            Ok((stats, is_answered)) => {
                total = total + stats;
                answered += u32::from(is_answered);
            }
            Err(text) => panic!("case {case}, {loss:?}: {text}"),
        }
    }
    println!("{answered} of {count} losses came right after an acknowledgement; {total:?}");
    assert!(
        answered >= count / 2,
        "only {answered} of {count} losses came right after an acknowledgement"
    );
}

#[test]
fn acknowledged_changes_of_random_runs_survive_lost_disks_and_a_power_loss() {
    // The same loss at the end of random runs, in which instances are killed, frozen, cut off,
    // removed, or lose their disks in any order.
    let mut runner = runner(cases(60), 3, 300);
    let result = runner.run(&schedules(30), |schedule| {
        let mut world = world::run_without_repair(&schedule, &world::cfg());
        wait_for_answer(&mut world);
        lose_power_and_disks(&mut world, schedule.voters / 2, true);
        expect_recovery(&mut world);
        world.repair();
        Ok(())
    });
    result.expect("a run violated an invariant");
}

#[test]
fn an_acknowledgement_on_too_few_disks_is_detected() {
    // Each case acknowledges a change too early. If the runs above don't detect it, they prove
    // nothing.
    struct Case {
        name: &'static str,
        weakening: Option<Weakening>,
        sync_mode: SyncMode,
    }
    let cases = [
        Case {
            name: "acknowledges before the sync",
            weakening: None,
            sync_mode: SyncMode::Deferred,
        },
        Case {
            name: "commits with one copy less than a quorum",
            weakening: Some(Weakening::CommitWithoutQuorum),
            sync_mode: SyncMode::Immediate,
        },
        Case {
            name: "acknowledges before the write",
            weakening: Some(Weakening::SendBeforePersist),
            sync_mode: SyncMode::Immediate,
        },
        Case {
            name: "counts copies of an older incarnation",
            weakening: Some(Weakening::AnswerForOldLife),
            sync_mode: SyncMode::Immediate,
        },
    ];
    const MAX_RUNS: usize = 3_000;
    for Case { name, weakening, sync_mode } in cases {
        let cfg = Cfg { weakening, ..world::cfg() };
        let mut rng = seeded(seed(32));
        let violation = (0..MAX_RUNS).find_map(|i| {
            let loss = DiskLoss::random(&mut rng);
            catch_panic(|| loss.run(&cfg, sync_mode)).err().map(|text| (i, text))
        });
        println!("{name}: {violation:?}");
        assert!(violation.is_some(), "{name}: not detected in {MAX_RUNS} runs");
    }
}
