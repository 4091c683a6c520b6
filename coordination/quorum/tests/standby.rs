//! Which voter is replaced, and by whom.

use sill_base::Millis;
use sill_quorum::ReplicaId;
use sill_quorum::standby::{Presence, Replacement, may_become_voter, replacement};

struct Case {
    name: &'static str,
    /// When each replica was last heard of, in milliseconds; the leader is `a`.
    heard: &'static [(&'static str, u64)],
    ready: &'static [&'static str],
    now: u64,
    expected: Option<(&'static str, &'static str)>,
}

fn id(name: &str) -> ReplicaId {
    ReplicaId { name: name.into(), incarnation: 1 }
}

fn presence(name: &str, domain: &str, at: u64) -> Presence {
    Presence { id: id(name), domain: domain.into(), last_seen: Millis(at) }
}

/// Nine instances in three failure domains, and five of them are to vote. With three voters in one domain
/// its loss would end the quorum, although six instances are left.
#[test]
fn voters_are_spread_over_failure_domains() {
    struct Case {
        name: &'static str,
        voters: &'static [&'static str],
        candidate: &'static str,
        /// Those that stand by and have everything.
        ready: &'static [&'static str],
        expected: bool,
    }
    let names = ["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"];
    let presences: Vec<Presence> =
        names.iter().skip(1).map(|name| presence(name, &name[..1], 4000)).collect();
    let cases = [
        Case {
            name: "a second one",
            voters: &["a1", "b1", "c1"],
            candidate: "a2",
            ready: &["a2", "b2"],
            expected: true,
        },
        Case {
            name: "a third one while others have one",
            voters: &["a1", "a2", "b1", "c1"],
            candidate: "a3",
            ready: &["a3", "b2"],
            expected: false,
        },
        Case {
            name: "a second one elsewhere",
            voters: &["a1", "a2", "b1", "c1"],
            candidate: "c2",
            ready: &["a3", "c2"],
            expected: true,
        },
        Case {
            name: "a third one, as nobody else has everything",
            voters: &["a1", "a2", "b1", "c1"],
            candidate: "a3",
            ready: &["a3"],
            expected: true,
        },
        Case {
            name: "one that lost its disk and votes again",
            voters: &["a1", "b1", "c1"],
            candidate: "c1",
            ready: &["c1"],
            expected: true,
        },
    ];
    for case in cases {
        let voters: Vec<ReplicaId> = case.voters.iter().map(|name| id(name)).collect();
        let candidate = id(case.candidate);
        let ready: Vec<ReplicaId> = case.ready.iter().map(|name| id(name)).collect();
        let decided = may_become_voter(&candidate, &"a".into(), &voters, &presences, &ready);
        assert_eq!(decided, case.expected, "{}", case.name);
    }
}

/// An instance that holds a vote goes for good and an empty one comes at another address. The platform
/// counts the new one four seconds later, and takes the next disk. Was the old vote still in force, the
/// one voter left has no quorum: operators can change nothing any more, and nobody is told why.
#[test]
fn a_successor_votes_before_the_next_disk_may_be_lost() {
    let cases = [
        Case {
            name: "gone for 3 s while its successor has everything",
            heard: &[("b", 1000), ("c", 3900), ("d", 3900)],
            ready: &["d"],
            now: 4000,
            expected: Some(("b", "d")),
        },
        Case {
            name: "a restart of a second",
            heard: &[("b", 3000), ("c", 3900), ("d", 3900)],
            ready: &["d"],
            now: 4000,
            expected: None,
        },
        Case {
            name: "the one that stands by lacks entries",
            heard: &[("b", 0), ("c", 3900), ("d", 3900)],
            ready: &[],
            now: 4000,
            expected: None,
        },
        Case {
            name: "the one that stands by is gone too",
            heard: &[("b", 0), ("c", 3900), ("d", 2000)],
            ready: &["d"],
            now: 4000,
            expected: None,
        },
        Case {
            name: "never heard of",
            heard: &[("c", 3900), ("d", 3900)],
            ready: &["d"],
            now: 4000,
            expected: Some(("b", "d")),
        },
    ];
    let voters = [id("a"), id("b"), id("c")];
    for case in cases {
        let presences: Vec<Presence> =
            case.heard.iter().map(|(name, at)| presence(name, "x", *at)).collect();
        let ready: Vec<ReplicaId> = case.ready.iter().map(|name| id(name)).collect();
        let decided = replacement(Millis(case.now), &id("a"), &voters, &presences, &ready);
        let expected =
            case.expected.map(|(lost, by)| Replacement { voter: id(lost), standby: id(by) });
        assert_eq!(decided, expected, "{}", case.name);
    }
}
