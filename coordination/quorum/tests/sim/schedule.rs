//! Faults and operations of a run, as values that proptest can generate and shrink.

use proptest::collection::vec;
use proptest::prelude::*;

/// A run: a cluster and the operations on it.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// Seed of delays, losses and clocks.
    pub seed: u64,
    /// Number of voters at the start.
    pub voters: usize,
    /// Operations in order.
    pub steps: Vec<Step>,
}

/// One operation, some time after the one before.
#[derive(Debug, Clone)]
pub struct Step {
    /// Virtual milliseconds after the previous operation.
    pub wait: u64,
    /// The operation.
    pub op: Op,
}

/// The node that an operation affects.
#[derive(Debug, Clone, Copy)]
pub enum Target {
    /// A node that leads, or believes it does.
    Leader,
    /// The node with this number, modulo the number of nodes.
    Node(usize),
}

/// A fault, the end of one, or an operation of a client or an operator.
#[derive(Debug, Clone)]
pub enum Op {
    /// Kills a process; `Some(n)` only after `n` more of its actions.
    Kill(Target, Option<usize>),
    /// Kills all processes, as a power loss does.
    KillAll,
    /// Starts a killed process.
    Restart(usize),
    /// Starts all killed processes.
    RestartAll,
    /// Kills a process and deletes its disk; it restarts as a new incarnation.
    LoseDisk(Target),
    /// Suspends a process, which does not notice; `Some(n)` after `n` more of its actions.
    Freeze(Target, Option<usize>),
    /// Resumes a suspended process.
    Thaw(usize),
    /// Cuts the link from one node to another.
    CutOneWay(usize, usize),
    /// Cuts a node off from all others.
    Isolate(Target),
    /// Cuts the nodes below a number off from the others.
    Partition(usize),
    /// Restores all cut links.
    Heal,
    /// Loses and duplicates these percentages of messages, and delays all by up to some
    /// milliseconds.
    Network { loss_percent: u8, duplicate_percent: u8, max_delay: u64 },
    /// Delays the messages from one node to another by some milliseconds.
    DelayLink(usize, usize, u64),
    /// Proposes this many commands.
    Propose(Target, usize),
    /// An operator removes a voter, which then asks to join again.
    Remove(usize),
    /// Clients send changes all the time, or none. A replica that was cut off can win an election
    /// only while no entries are written.
    Load(bool),
}

/// Returns a strategy for runs of 3, 5 or 7 voters.
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
    let action_count = || prop_oneof![Just(None), (0_usize..6).prop_map(Some)];
    prop_oneof![
        4 => (target(), action_count()).prop_map(|(t, n)| Op::Kill(t, n)),
        1 => Just(Op::KillAll),
        5 => node().prop_map(Op::Restart),
        2 => Just(Op::RestartAll),
        2 => target().prop_map(Op::LoseDisk),
        2 => (target(), action_count()).prop_map(|(t, n)| Op::Freeze(t, n)),
        3 => node().prop_map(Op::Thaw),
        2 => (node(), node()).prop_map(|(a, b)| Op::CutOneWay(a, b)),
        2 => target().prop_map(Op::Isolate),
        1 => (1_usize..7).prop_map(Op::Partition),
        4 => Just(Op::Heal),
        1 => (0_u8..40, 0_u8..40, 1_u64..300)
            .prop_map(|(loss_percent, duplicate_percent, max_delay)| {
                Op::Network { loss_percent, duplicate_percent, max_delay }
            }),
        1 => (node(), node(), 0_u64..1500).prop_map(|(a, b, delay)| Op::DelayLink(a, b, delay)),
        6 => (target(), 1_usize..20).prop_map(|(t, n)| Op::Propose(t, n)),
        1 => node().prop_map(Op::Remove),
        2 => any::<bool>().prop_map(Op::Load),
    ]
}
