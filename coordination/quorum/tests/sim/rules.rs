//! Each rule of the protocol, broken in one line, is found by the checks.

use proptest::test_runner::{TestCaseError, TestError};
use sill_base::{Machine, Millis};
use sill_quorum::{
    Action, Body, Cfg, Entry, Event, HardState, Members, Message, Payload, PersistentState,
    Replica, ReplicaId, Restarted, Run, Stamp, Weakening,
};

use crate::runs::{finding, runner};
use crate::schedule::{Op, Schedule, Step, Target, schedules};
use crate::world;

/// Random runs that are tried at most.
const TRIES: u32 = 2_000;

/// Seeds that a directed schedule is tried with.
const SEEDS: u64 = 40;

fn weakened(weakening: Weakening) -> Cfg {
    Cfg { weakening: Some(weakening), ..world::cfg() }
}

#[test]
fn random_runs_find_a_broken_rule() {
    // A rule of the protocol is left out in one line. If random runs don't notice, the checks
    // prove nothing about that rule.
    let rules = [
        Weakening::VoteTwice,
        Weakening::VoteForShorterLog,
        Weakening::LeaseWithoutEnd,
        Weakening::ReadBeforeOwnTerm,
        Weakening::CommitWithoutQuorum,
        Weakening::AppendWithoutCheck,
        Weakening::AnswerForOldLife,
        Weakening::InstallOlderSnapshot,
    ];
    for rule in rules {
        let cfg = weakened(rule);
        let mut runner = runner(TRIES, 1, 0);
        let result = runner.run(&schedules(60), |schedule| match finding(&schedule, &cfg) {
            Some(text) => Err(TestCaseError::fail(text)),
            None => Ok(()),
        });
        match result {
            Err(TestError::Fail(reason, _)) => println!("{rule:?}: {}", reason.message()),
            other => panic!("{rule:?} was not found: {other:?}"),
        }
    }
}

#[test]
fn directed_runs_find_a_broken_rule() {
    // These faults need a certain order of events within a second. Each schedule brings it about;
    // it holds while the rule is kept. Node 0 leads at first.
    struct Case {
        rule: Weakening,
        voters: usize,
        steps: Vec<Step>,
    }
    let step = |wait, op| Step { wait, op };
    let cut_off_from_leader = || {
        let cut = [Op::Load(false), Op::CutOneWay(0, 2), Op::CutOneWay(2, 0)];
        [500, 500, 0].into_iter().zip(cut).map(|(wait, op)| step(wait, op)).collect::<Vec<_>>()
    };
    let cases = [
        Case {
            // Node 2 doesn't hear the leader and asks node 1, which hears it well.
            rule: Weakening::VoteInsideLease,
            voters: 3,
            steps: [
                cut_off_from_leader(),
                vec![step(950, Op::CutOneWay(1, 0)), step(1500, Op::Heal)],
            ]
            .concat(),
        },
        Case {
            // As before, but node 1 is restarted and forgets that it heard the leader.
            rule: Weakening::VoteRightAfterRestart,
            voters: 3,
            steps: [
                cut_off_from_leader(),
                vec![
                    step(950, Op::CutOneWay(1, 0)),
                    step(0, Op::CutOneWay(0, 1)),
                    step(0, Op::Kill(Target::Node(1), None)),
                    step(1, Op::Restart(1)),
                    step(1500, Op::Heal),
                ],
            ]
            .concat(),
        },
        Case {
            // Nodes 1 and 2 are restarted behind a cut and know of each other that they were. The
            // leader on the other side was not, and still answers reads.
            rule: Weakening::ReleaseByQuorum,
            voters: 3,
            steps: [
                cut_off_from_leader(),
                vec![
                    step(100, Op::CutOneWay(1, 0)),
                    step(0, Op::CutOneWay(0, 1)),
                    step(0, Op::Kill(Target::Node(1), None)),
                    step(0, Op::Kill(Target::Node(2), None)),
                    step(1, Op::RestartAll),
                    step(1500, Op::Heal),
                ],
            ]
            .concat(),
        },
        Case {
            // Answers of node 1 reach the leader late, when its promise is nearly over.
            rule: Weakening::LeaseFromAnswer,
            voters: 3,
            steps: [
                vec![step(0, Op::Slow(1, 0, 900))],
                cut_off_from_leader(),
                vec![step(1200, Op::CutOneWay(0, 1)), step(2500, Op::Heal)],
            ]
            .concat(),
        },
        Case {
            // Node 1 is killed after it answered the leader and before it wrote. It restarts
            // without the entry, and elects a leader with node 2, which was cut off.
            rule: Weakening::SendBeforePersist,
            voters: 3,
            steps: [
                cut_off_from_leader(),
                vec![
                    step(100, Op::Kill(Target::Node(1), Some(1))),
                    step(0, Op::Propose(Target::Leader, 1)),
                    step(50, Op::Kill(Target::Node(0), None)),
                    step(0, Op::Restart(1)),
                    step(5000, Op::Propose(Target::Leader, 1)),
                    step(500, Op::Heal),
                ],
            ]
            .concat(),
        },
        Case {
            // Two nodes of five take two of the others out and then are a quorum of three.
            rule: Weakening::TwoChangesAtOnce,
            voters: 5,
            steps: vec![
                step(500, Op::Split(2)),
                step(0, Op::Remove(2)),
                step(0, Op::Remove(3)),
                step(3000, Op::Heal),
            ],
        },
    ];
    for case in cases {
        let schedule = |seed| Schedule { seed, voters: case.voters, steps: case.steps.clone() };
        for seed in 0..SEEDS {
            let found = finding(&schedule(seed), &world::cfg());
            assert_eq!(found, None, "{:?} kept, seed {seed}", case.rule);
        }
        let found = (0..SEEDS).find_map(|seed| finding(&schedule(seed), &weakened(case.rule)));
        println!("{:?}: {}", case.rule, found.as_deref().unwrap_or("not found"));
        assert!(found.is_some(), "{:?} was not found", case.rule);
    }
}

#[test]
fn a_vote_outlives_a_restart() {
    // A voter is restarted after it voted, and a late request of another candidate of the same
    // term comes in. A second vote could give the term two leaders, and operators two orderers.
    for (weakening, is_granted) in [(None, false), (Some(Weakening::ForgetVote), true)] {
        let cfg = Cfg { weakening, ..world::cfg() };
        let mut disk = PersistentState {
            hard: term(3),
            entries: vec![members(1)],
            ..PersistentState::default()
        };
        let mut voter = Replica::restore(cfg.clone(), id("c0"), disk.clone(), 1, Millis(0));
        let vote = |from: &str| {
            message(from, 4, Body::Vote { last_index: 1, last_term: 1, runs: Vec::new() })
        };
        assert!(grants(&step(&mut voter, 5000, vote("c1")), &mut disk), "the first vote");
        let mut voter = Replica::restore(cfg, id("c0"), disk.clone(), 1, Millis(6000));
        let second = grants(&step(&mut voter, 8000, vote("c2")), &mut disk);
        assert_eq!(second, is_granted, "{weakening:?}");
    }
}

#[test]
fn a_restarted_voter_is_released_only_in_the_run_that_promised_nothing() {
    // All instances lose power, and one collects that all were restarted. Before its request for a
    // vote arrives, the voter has followed another leader, or was restarted once more and forgot it. A
    // vote now would help a second leader up, and an operator could read an old value from the first.
    struct Case {
        name: &'static str,
        weakening: Option<Weakening>,
        /// What the voter takes in between.
        between: Vec<Event>,
        /// Whether it is restarted in between.
        is_restarted: bool,
        is_granted: bool,
    }
    let heartbeat = || {
        let stamp = Stamp { sent_at: Millis(50), round: 0 };
        let (prev_index, prev_term, commit) = (1, 1, 1);
        message("c2", 3, Body::Append { prev_index, prev_term, entries: vec![], commit, stamp })
    };
    let case = |name, weakening, between, is_restarted, is_granted| Case {
        name,
        weakening,
        between,
        is_restarted,
        is_granted,
    };
    let after_promise = Some(Weakening::ReleaseAfterPromise);
    let cases = [
        case("nothing happened", None, vec![], false, true),
        case("it followed a leader", None, vec![heartbeat()], false, false),
        case(
            "it followed a leader and counts as fresh",
            after_promise,
            vec![heartbeat()],
            false,
            true,
        ),
        case("it was restarted once more", None, vec![], true, false),
        case("it followed a leader and was restarted", None, vec![heartbeat()], true, false),
    ];
    for Case { name, weakening, between, is_restarted, is_granted } in cases {
        let cfg = Cfg { weakening, ..world::cfg() };
        let mut disk = PersistentState {
            hard: term(3),
            entries: vec![members(1)],
            ..PersistentState::default()
        };
        let mut voter = Replica::restore(cfg.clone(), id("c0"), disk.clone(), 1, Millis(0));
        let own = Restarted { run: 7, last_term: 1, last_index: 1 };
        let asked = step(&mut voter, 10, message("c1", 3, Body::Restarted { own, runs: vec![] }));
        let run = asked.iter().find_map(|action| match action {
            Action::Send(Message { body: Body::RestartedToo { own, .. }, .. }) => Some(own.run),
            _ => None,
        });
        let number = run.expect("a voter that has just started says so");
        for event in between {
            step(&mut voter, 20, event);
        }
        if is_restarted {
            voter = Replica::restore(cfg, id("c0"), disk.clone(), 2, Millis(30));
        }
        let runs = vec![Run { replica: id("c0"), number }];
        let vote = Body::Vote { last_index: 1, last_term: 1, runs };
        let actions = step(&mut voter, 40, message("c1", 4, vote));
        assert_eq!(grants(&actions, &mut disk), is_granted, "{name}");
    }
}

#[test]
fn an_entry_of_an_older_term_is_not_committed_by_its_copies() {
    // A new leader finds an entry of an older term on a quorum. A voter that lacks it but has one
    // of a later term could still be elected and replace it, so that a change that was answered
    // would be lost. It counts only once an entry of the leader's own term lies on top.
    for (weakening, committed) in [(None, 0), (Some(Weakening::CommitOlderTerm), 2)] {
        let cfg = Cfg { weakening, ..world::cfg() };
        let older = Entry { term: 2, payload: Payload::Noop };
        let disk = PersistentState {
            hard: term(3),
            entries: vec![members(1), older],
            ..PersistentState::default()
        };
        let mut leader = Replica::restore(cfg, id("c0"), disk, 1, Millis(0));
        step(&mut leader, 5000, Event::Tick);
        step(&mut leader, 5001, message("c1", 4, Body::PreVoteReply { granted: true }));
        step(&mut leader, 5002, message("c1", 4, Body::VoteReply { granted: true }));
        let stamp = Stamp { sent_at: Millis(5002), round: 0 };
        let stored = |index| Body::AppendReply { accepted: true, index, stamp };
        step(&mut leader, 5003, message("c1", 4, stored(2)));
        assert_eq!(leader.commit_index(), committed, "{weakening:?}");
        step(&mut leader, 5004, message("c1", 4, stored(3)));
        assert_eq!(leader.commit_index(), 3, "{weakening:?}");
    }
}

fn id(name: &str) -> ReplicaId {
    ReplicaId { name: name.into(), incarnation: 1 }
}

fn term(term: u64) -> HardState {
    HardState { term, vote: None }
}

fn members(term: u64) -> Entry {
    let members = Members::from_voters(["c0", "c1", "c2"].map(id));
    Entry { term, payload: Payload::Members(members) }
}

fn message(from: &str, term: u64, body: Body) -> Event {
    Event::Receive(Message { from: id(from), to: id("c0"), term, body })
}

fn step(replica: &mut Replica, now: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    replica.step(Millis(now), event, &mut actions);
    actions
}

/// Carries writes out, and returns whether a vote was given.
fn grants(actions: &[Action], disk: &mut PersistentState) -> bool {
    let mut is_granted = false;
    for action in actions {
        match action {
            Action::Persist(write) => disk.apply(write.clone()),
            Action::Send(msg) => is_granted |= msg.body == Body::VoteReply { granted: true },
            _ => {}
        }
    }
    is_granted
}
