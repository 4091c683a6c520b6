//! The checks detect each protocol rule that is broken on purpose.

use proptest::test_runner::{TestCaseError, TestError};
use sill_base::{Machine, Millis};
use sill_quorum::{
    Action, Body, Cfg, Entry, Event, HardState, Members, Message, Payload, PersistentState,
    Replica, ReplicaId, RequestStamp, RestartStatus, RunId, Weakening,
};

use crate::runs::{find_violation, runner};
use crate::schedule::{Op, Schedule, Step, Target, schedules};
use crate::world;

/// Maximum number of random runs per rule.
const MAX_RUNS: u32 = 2_000;

/// Number of seeds for each directed schedule.
const SEEDS: u64 = 40;

fn weakened(weakening: Weakening) -> Cfg {
    Cfg { weakening: Some(weakening), ..world::cfg() }
}

#[test]
fn random_runs_find_a_broken_rule() {
    // Each case breaks one rule of the protocol. If random runs don't detect it, the checks prove
    // nothing about that rule.
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
        let mut runner = runner(MAX_RUNS, 1, 0);
        let result = runner.run(&schedules(60), |schedule| match find_violation(&schedule, &cfg) {
            Some(text) => Err(TestCaseError::fail(text)),
            None => Ok(()),
        });
        match result {
            Err(TestError::Fail(reason, _)) => println!("{rule:?}: {}", reason.message()),
            other => panic!("{rule:?} was not detected in {MAX_RUNS} runs: {other:?}"),
        }
    }
}

#[test]
fn directed_runs_find_a_broken_rule() {
    // These faults need a certain order of events within a second, which each schedule produces.
    // The invariants hold on the same schedule while the rule is kept. Node 0 is the first leader.
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
            // Node 2 receives nothing from the leader and asks node 1, which does, for a vote.
            rule: Weakening::VoteInsideLease,
            voters: 3,
            steps: [
                cut_off_from_leader(),
                vec![step(950, Op::CutOneWay(1, 0)), step(1500, Op::Heal)],
            ]
            .concat(),
        },
        Case {
            // As before, but node 1 is restarted and forgets its promise to the leader.
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
            // Nodes 1 and 2 are restarted in one partition and know that both were. The leader in
            // the other partition was not restarted, and still answers reads.
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
            // Replies of node 1 reach the leader late, when its promise is about to expire.
            rule: Weakening::LeaseFromAnswer,
            voters: 3,
            steps: [
                vec![step(0, Op::DelayLink(1, 0, 900))],
                cut_off_from_leader(),
                vec![step(1200, Op::CutOneWay(0, 1)), step(2500, Op::Heal)],
            ]
            .concat(),
        },
        Case {
            // Node 1 is killed after it replied to the leader and before it wrote. It restarts
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
            // Two nodes of five remove two of the others, and are then a quorum of three.
            rule: Weakening::TwoChangesAtOnce,
            voters: 5,
            steps: vec![
                step(500, Op::Partition(2)),
                step(0, Op::Remove(2)),
                step(0, Op::Remove(3)),
                step(3000, Op::Heal),
            ],
        },
    ];
    for case in cases {
        let schedule = |seed| Schedule { seed, voters: case.voters, steps: case.steps.clone() };
        for seed in 0..SEEDS {
            let violation = find_violation(&schedule(seed), &world::cfg());
            assert_eq!(violation, None, "violation without {:?}, seed {seed}", case.rule);
        }
        let violation =
            (0..SEEDS).find_map(|seed| find_violation(&schedule(seed), &weakened(case.rule)));
        println!("{:?}: {}", case.rule, violation.as_deref().unwrap_or("not detected"));
        assert!(violation.is_some(), "{:?} was not detected with {SEEDS} seeds", case.rule);
    }
}

#[test]
fn a_vote_survives_a_restart() {
    // A voter is restarted after it voted, and a delayed request of another candidate of the same
    // term arrives. A second vote could elect two leaders in the term, which both give orders.
    for (weakening, is_granted) in [(None, false), (Some(Weakening::ForgetVote), true)] {
        let cfg = Cfg { weakening, ..world::cfg() };
        let mut disk = PersistentState {
            hard_state: term(3),
            entries: vec![members(1)],
            ..PersistentState::default()
        };
        let mut voter = Replica::restore(cfg.clone(), id("c0"), disk.clone(), 1, Millis(0));
        let vote = |from: &str| {
            message(from, 4, Body::Vote { last_index: 1, last_term: 1, runs: Vec::new() })
        };
        assert!(
            grants(&step(&mut voter, 5000, vote("c1")), &mut disk),
            "first vote was not granted"
        );
        let mut voter = Replica::restore(cfg, id("c0"), disk.clone(), 1, Millis(6000));
        let second = grants(&step(&mut voter, 8000, vote("c2")), &mut disk);
        assert_eq!(second, is_granted, "second vote with {weakening:?}");
    }
}

#[test]
fn a_restarted_voter_votes_early_only_in_a_run_without_promises() {
    // All instances lose power, and one collects reports that all were restarted. Before its vote
    // request arrives, the voter has followed another leader, or was restarted once more and forgot
    // that leader. A vote now would help to elect a second leader, and an operator could read a
    // stale value from the first.
    struct Case {
        name: &'static str,
        weakening: Option<Weakening>,
        /// Events that the voter handles between its report and the vote request.
        between: Vec<Event>,
        /// Whether the voter is restarted between its report and the vote request.
        is_restarted: bool,
        is_granted: bool,
    }
    let heartbeat = || {
        let stamp = RequestStamp { sent_at: Millis(50), round: 0 };
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
        case("no event", None, vec![], false, true),
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
            hard_state: term(3),
            entries: vec![members(1)],
            ..PersistentState::default()
        };
        let mut voter = Replica::restore(cfg.clone(), id("c0"), disk.clone(), 1, Millis(0));
        let own = RestartStatus { run: 7, last_term: 1, last_index: 1 };
        let actions =
            step(&mut voter, 10, message("c1", 3, Body::RestartQuery { own, runs: vec![] }));
        let run = actions.iter().find_map(|action| match action {
            Action::Send(Message { body: Body::RestartReply { own, .. }, .. }) => Some(own.run),
            _ => None,
        });
        let number = run.expect("a restarted voter did not report its run");
        for event in between {
            step(&mut voter, 20, event);
        }
        if is_restarted {
            voter = Replica::restore(cfg, id("c0"), disk.clone(), 2, Millis(30));
        }
        let runs = vec![RunId { replica: id("c0"), number }];
        let vote = Body::Vote { last_index: 1, last_term: 1, runs };
        let actions = step(&mut voter, 40, message("c1", 4, vote));
        assert_eq!(grants(&actions, &mut disk), is_granted, "{name}");
    }
}

#[test]
fn an_entry_of_an_older_term_is_not_committed_by_counting_replicas() {
    // A new leader finds an entry of an older term on a quorum. A voter that lacks it, but has an
    // entry of a later term, could still be elected and replace it, which would lose an
    // acknowledged change. The entry is committed only once a quorum stores a later entry of the
    // leader's own term.
    for (weakening, committed) in [(None, 0), (Some(Weakening::CommitOlderTerm), 2)] {
        let cfg = Cfg { weakening, ..world::cfg() };
        let older = Entry { term: 2, payload: Payload::Noop };
        let disk = PersistentState {
            hard_state: term(3),
            entries: vec![members(1), older],
            ..PersistentState::default()
        };
        let mut leader = Replica::restore(cfg, id("c0"), disk, 1, Millis(0));
        step(&mut leader, 5000, Event::Tick);
        step(&mut leader, 5001, message("c1", 4, Body::PreVoteReply { granted: true }));
        step(&mut leader, 5002, message("c1", 4, Body::VoteReply { granted: true }));
        let stamp = RequestStamp { sent_at: Millis(5002), round: 0 };
        let stored = |index| Body::AppendReply { accepted: true, index, stamp };
        step(&mut leader, 5003, message("c1", 4, stored(2)));
        assert_eq!(leader.commit_index(), committed, "older term, {weakening:?}");
        step(&mut leader, 5004, message("c1", 4, stored(3)));
        assert_eq!(leader.commit_index(), 3, "own term, {weakening:?}");
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

/// Applies the writes to the disk, and returns whether a vote was granted.
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
