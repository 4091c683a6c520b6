//! Disks that are lost together, right after an answer, while all other machines lose power.

use rand::Rng as _;
use rand::seq::SliceRandom as _;
use sill_base::random::{self, cases, seed, seeded};
use sill_quorum::{Cfg, Event, MemberChange, ReplicaId, Weakening};

use crate::node::{Fault, Syncs};
use crate::runs::{caught, runner};
use crate::schedule::{Target, schedules};
use crate::world::{self, Stats, World};

/// Virtual milliseconds in which a leader that has everything must be there again.
const RECOVERY: u64 = 10_000;

/// The longest wait for an answer, or for a change of voters.
const PATIENCE: u64 = 8_000;

/// A run that ends with the loss.
#[derive(Debug, Clone)]
struct Loss {
    /// Seeds delays, clocks, and what else is drawn in the run.
    seed: u64,
    voters: usize,
    /// Nodes that may take a voter's place.
    standbys: usize,
    before: Before,
    /// Nodes that are stopped between two actions when the answer is given, at most.
    stopped: usize,
    /// Disks that are lost, at most; never more than the voters are made for.
    disks: usize,
    /// Whether disks that have the entry are lost first.
    is_aimed: bool,
}

/// What happened shortly before the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Before {
    /// Nothing.
    Calm,
    /// As many as may lose their disks are down; the entry lies on no disk more than a quorum's.
    Down,
    /// One was cut off while others compacted their logs, and gets what it lacks.
    CatchingUp,
    /// All were restarted.
    Restarted,
    /// One lost its disk, and is back or on its way to be a voter again.
    DiskLost,
    /// One is gone for good, and one that stood by has its place or is about to get it.
    Replaced,
}

impl Before {
    const ALL: [Self; 6] =
        [Self::Calm, Self::Down, Self::CatchingUp, Self::Restarted, Self::DiskLost, Self::Replaced];
}

impl Loss {
    fn draw(rng: &mut random::Rng) -> Self {
        let voters = [3, 3, 5, 5, 5, 7][rng.random_range(0..6)];
        let borne = (voters - 1) / 2;
        Self {
            seed: rng.random(),
            voters,
            standbys: rng.random_range(0..=2),
            before: Before::ALL[rng.random_range(0..Before::ALL.len())],
            stopped: rng.random_range(0..=borne),
            disks: if rng.random_bool(0.7) { borne } else { rng.random_range(1..=borne) },
            is_aimed: rng.random_bool(0.7),
        }
    }

    /// Plays it, and returns whether the loss came right after an answer; panics when something that was
    /// answered is gone, or nobody leads afterwards.
    fn play(&self, cfg: &Cfg, syncs: Syncs) -> (Stats, bool) {
        let mut world = World::with_standbys(self.seed, self.voters, self.standbys, cfg.clone());
        world.nodes.iter_mut().for_each(|node| node.syncs = syncs);
        world.pass(2000);
        self.bring_about(&mut world);
        self.stop_some(&mut world);
        let is_answered = wait_for_answer(&mut world);
        lose(&mut world, self.disks, self.is_aimed);
        expect_all_there(&mut world);
        world.repair();
        (world.stats(), is_answered)
    }

    fn bring_about(&self, world: &mut World) {
        match self.before {
            Before::Calm => {}
            Before::Down => {
                for i in draw_nodes(world, (self.voters - 1) / 2) {
                    world.nodes[i].kill();
                }
                pass_up_to(world, 2500);
            }
            Before::CatchingUp => {
                let i = draw_nodes(world, 1)[0];
                let others = (0..world.nodes.len()).filter(|j| *j != i);
                world.cuts = others.flat_map(|j| [(i, j), (j, i)]).collect();
                pass_up_to(world, 6000);
                world.cuts.clear();
                pass_up_to(world, 400);
            }
            Before::Restarted => {
                world.nodes.iter_mut().for_each(|node| node.kill());
                restart(world);
            }
            Before::DiskLost => {
                let i = draw_nodes(world, 1)[0];
                world.lose_disk(Target::Node(i));
                pass_up_to(world, 1500);
                world.start(i);
                wait_for_voters(world, self.voters);
            }
            Before::Replaced => {
                let i = draw_nodes(world, 1)[0];
                let lost = world.nodes[i].id();
                world.lose_disk(Target::Node(i));
                if self.standbys == 0 {
                    return;
                }
                world.pass(2000);
                remove(world, lost);
                wait_for_voters(world, self.voters);
            }
        }
    }

    /// Stops some nodes between two actions, as between a write and the answer to it.
    fn stop_some(&self, world: &mut World) {
        for i in draw_nodes(world, self.stopped) {
            let after = world.rng.random_range(0..5);
            world.nodes[i].fault = Some((after, Fault::Freeze));
        }
    }
}

/// All lose power, and some their disks: at most as many as given, and as the voters are made for.
fn lose(world: &mut World, disks: usize, is_aimed: bool) {
    for node in &mut world.nodes {
        node.lose_power(&mut world.rng);
    }
    let newest = world.history.newest_seen();
    let mut order: Vec<usize> = (0..world.nodes.len()).collect();
    order.shuffle(&mut world.rng);
    if is_aimed {
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

fn pass_up_to(world: &mut World, span: u64) {
    let span = world.rng.random_range(0..=span);
    world.pass(span);
}

/// The leader takes a voter out as soon as it may.
fn remove(world: &mut World, lost: ReplicaId) {
    let end = world.now + PATIENCE;
    while world.history.members.voters.contains(&lost) && world.now < end {
        for leader in world.leaders() {
            world.event(leader, Event::ChangeMembers(MemberChange::Remove(lost.clone())));
        }
        world.pass(20);
    }
}

/// Waits until all votes are held again, or not that long: the loss may come in between.
fn wait_for_voters(world: &mut World, wanted: usize) {
    let is_whole = |world: &World| {
        let voters = &world.history.members.voters;
        let is_there = |id: &ReplicaId| world.nodes.iter().any(|node| node.id() == *id);
        voters.len() == wanted && voters.iter().all(is_there)
    };
    let is_patient = world.rng.random_bool(0.7);
    let span = if is_patient { PATIENCE } else { world.rng.random_range(0..600) };
    let end = world.now + span;
    while !is_whole(world) && world.now < end {
        world.pass(5);
    }
}

/// Ends right after the next change that is answered, and returns whether one was.
fn wait_for_answer(world: &mut World) -> bool {
    let (answered, end) = (world.history.answered, world.now + PATIENCE);
    while world.history.answered == answered && world.now < end {
        for leader in world.leaders() {
            world.propose(leader, 1);
        }
        world.pass(1);
    }
    world.history.answered > answered
}

/// Starts all one after the other, but for those that are gone for good.
fn restart(world: &mut World) {
    for i in 0..world.nodes.len() {
        world.start(i);
        pass_up_to(world, 120);
    }
}

/// Power is back; somebody must soon lead with all that was answered.
fn expect_all_there(world: &mut World) {
    world.calm();
    restart(world);
    let newest = world.history.newest_seen();
    let end = world.now + RECOVERY;
    let leads = |world: &World| {
        world.leaders().into_iter().any(|leader| world.nodes[leader].app.index >= newest)
    };
    while !leads(world) {
        assert!(world.now < end, "nobody leads with what was answered, up to {newest}");
        world.pass(20);
    }
}

#[test]
fn what_was_answered_outlasts_lost_disks_and_a_loss_of_power() {
    // A change is answered. At that moment as many instances as the voters are made for lose their disks,
    // and all others lose power: nothing is in memory anywhere, and what wasn't synced may be missing.
    // Shortly before, voters were down, behind, replaced or had lost a disk. An operator reads the change back.
    let mut rng = seeded(seed(31));
    let (mut total, mut answered) = (Stats::default(), 0);
    let count = cases(400);
    for case in 0..count {
        let loss = Loss::draw(&mut rng);
        match caught(|| loss.play(&world::cfg(), Syncs::AtOnce)) {
            Ok((stats, is_answered)) => {
                total = total + stats;
                answered += u32::from(is_answered);
            }
            Err(text) => panic!("case {case}, {loss:?}: {text}"),
        }
    }
    println!("{answered} of {count} right after an answer; {total:?}");
    assert!(answered >= count / 2, "{answered} of {count} losses came right after an answer");
}

#[test]
fn what_was_answered_in_any_run_outlasts_lost_disks_and_a_loss_of_power() {
    // The same at the end of runs in which instances were killed, frozen, cut off and taken out, and
    // disks lost, in any order.
    let mut runner = runner(cases(60), 3, 300);
    let result = runner.run(&schedules(30), |schedule| {
        let mut world = world::up_to_end(&schedule, &world::cfg());
        wait_for_answer(&mut world);
        lose(&mut world, schedule.voters / 2, true);
        expect_all_there(&mut world);
        world.repair();
        Ok(())
    });
    result.expect("all runs hold");
}

#[test]
fn an_answer_that_rests_on_too_few_disks_is_found() {
    // Each of these answers too early. If the losses above didn't notice, they would prove nothing.
    struct Case {
        name: &'static str,
        weakening: Option<Weakening>,
        syncs: Syncs,
    }
    let cases = [
        Case { name: "answers before the sync", weakening: None, syncs: Syncs::Later },
        Case {
            name: "a quorum one smaller",
            weakening: Some(Weakening::CommitWithoutQuorum),
            syncs: Syncs::AtOnce,
        },
        Case {
            name: "answers before the write",
            weakening: Some(Weakening::SendBeforePersist),
            syncs: Syncs::AtOnce,
        },
        Case {
            name: "counts an older life's copies",
            weakening: Some(Weakening::AnswerForOldLife),
            syncs: Syncs::AtOnce,
        },
    ];
    const TRIES: usize = 3_000;
    for Case { name, weakening, syncs } in cases {
        let cfg = Cfg { weakening, ..world::cfg() };
        let mut rng = seeded(seed(32));
        let found = (0..TRIES).find_map(|i| {
            let loss = Loss::draw(&mut rng);
            caught(|| loss.play(&cfg, syncs)).err().map(|text| (i, text))
        });
        println!("{name}: {found:?}");
        assert!(found.is_some(), "{name}: not found in {TRIES} runs");
    }
}
