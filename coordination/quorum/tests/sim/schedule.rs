//! What happens in a run, as values that proptest can make and shrink.

use proptest::collection::vec;
use proptest::prelude::*;

/// A run: a cluster and what befalls it.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// Seeds delays, losses and clocks.
    pub seed: u64,
    /// Voters at the start.
    pub voters: usize,
    /// Events in their order.
    pub steps: Vec<Step>,
}

/// One event, some time after the one before.
#[derive(Debug, Clone)]
pub struct Step {
    /// Virtual milliseconds.
    pub wait: u64,
    /// What happens.
    pub op: Op,
}

/// Which node is meant.
#[derive(Debug, Clone, Copy)]
pub enum Target {
    /// One that leads, or believes so.
    Leader,
    /// The node with this number, modulo their count.
    Node(usize),
}

/// Something that happens.
#[derive(Debug, Clone)]
pub enum Op {
    /// Kills a process; `Some(n)` only after it has carried out `n` more actions.
    Kill(Target, Option<usize>),
    /// Kills all processes, as a loss of power does.
    KillAll,
    /// Starts a killed process.
    Restart(usize),
    /// Starts all killed processes.
    RestartAll,
    /// Kills a process and takes its disk away; it comes back as another life.
    LoseDisk(Target),
    /// Stops a process without its noticing; `Some(n)` after `n` more actions.
    Freeze(Target, Option<usize>),
    /// Lets it go on.
    Thaw(usize),
    /// Cuts the way from one node to another.
    CutOneWay(usize, usize),
    /// Cuts a node off from all others.
    Isolate(Target),
    /// Cuts the nodes below a number off from the rest.
    Split(usize),
    /// Mends all cuts.
    Heal,
    /// Loses and doubles this percentage of messages, and delays all by up to a time.
    Network { loss: u8, doubled: u8, delay: u64 },
    /// Delays what one node sends to another.
    Slow(usize, usize, u64),
    /// Proposes commands.
    Propose(Target, usize),
    /// An operator takes a voter out; it asks to come in again.
    Remove(usize),
    /// Clients send changes all the time, or none. A replica that was cut off can win an election
    /// only while nothing is written.
    Load(bool),
}

/// Makes runs of 3, 5 or 7 voters.
pub fn schedules(steps: usize) -> impl Strategy<Value = Schedule> {
    let voters = prop_oneof![3 => Just(3_usize), 2 => Just(5), 1 => Just(7)];
    let run = (any::<u64>(), voters, vec(step(), 5..steps));
    run.prop_map(|(seed, voters, steps)| Schedule { seed, voters, steps })
}

fn step() -> impl Strategy<Value = Step> {
    let wait = prop_oneof![3 => 0_u64..60, 3 => 60_u64..600, 1 => 600_u64..2500];
    (wait, op()).prop_map(|(wait, op)| Step { wait, op })
}

fn target() -> impl Strategy<Value = Target> {
    prop_oneof![2 => Just(Target::Leader), 2 => (0_usize..7).prop_map(Target::Node)]
}

fn op() -> impl Strategy<Value = Op> {
    let node = || 0_usize..7;
    let inside = || prop_oneof![Just(None), (0_usize..6).prop_map(Some)];
    prop_oneof![
        4 => (target(), inside()).prop_map(|(t, n)| Op::Kill(t, n)),
        1 => Just(Op::KillAll),
        5 => node().prop_map(Op::Restart),
        2 => Just(Op::RestartAll),
        2 => target().prop_map(Op::LoseDisk),
        2 => (target(), inside()).prop_map(|(t, n)| Op::Freeze(t, n)),
        3 => node().prop_map(Op::Thaw),
        2 => (node(), node()).prop_map(|(a, b)| Op::CutOneWay(a, b)),
        2 => target().prop_map(Op::Isolate),
        1 => (1_usize..7).prop_map(Op::Split),
        4 => Just(Op::Heal),
        1 => (0_u8..40, 0_u8..40, 1_u64..300)
            .prop_map(|(loss, doubled, delay)| Op::Network { loss, doubled, delay }),
        1 => (node(), node(), 0_u64..1500).prop_map(|(a, b, delay)| Op::Slow(a, b, delay)),
        6 => (target(), 1_usize..20).prop_map(|(t, n)| Op::Propose(t, n)),
        1 => node().prop_map(Op::Remove),
        2 => any::<bool>().prop_map(Op::Load),
    ]
}
