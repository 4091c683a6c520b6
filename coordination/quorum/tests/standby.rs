//! Choice of the voter to replace and of its standby.

use sill_base::Millis;
use sill_quorum::ReplicaId;
use sill_quorum::standby::{Presence, Replacement, may_become_voter, replacement};

struct Case {
    name: &'static str,
    /// When each replica was last seen, in milliseconds; the leader is `a`.
    last_seen: &'static [(&'static str, u64)],
    /// Learners that have caught up.
    ready: &'static [&'static str],
    now: u64,
    /// The lost voter and its standby.
    expected: Option<(&'static str, &'static str)>,
}

fn id(name: &str) -> ReplicaId {
    ReplicaId { name: name.into(), incarnation: 1 }
}

fn presence(name: &str, domain: &str, at: u64) -> Presence {
    Presence { id: id(name), domain: domain.into(), last_seen: Millis(at) }
}

/// Nine instances in three failure domains, of which five become voters. With three voters in one
/// domain, the loss of the domain would end the quorum although six instances are left.
#[test]
fn voters_are_spread_over_failure_domains() {
    struct Case {
        name: &'static str,
        voters: &'static [&'static str],
        candidate: &'static str,
        /// Learners that have caught up.
        ready: &'static [&'static str],
        expected: bool,
    }
    let names = ["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"];
    let presences: Vec<Presence> =
        names.iter().skip(1).map(|name| presence(name, &name[..1], 4000)).collect();
    let cases = [
        Case {
            name: "second voter in a domain",
            voters: &["a1", "b1", "c1"],
            candidate: "a2",
            ready: &["a2", "b2"],
            expected: true,
        },
        Case {
            name: "third voter in a domain while others have one",
            voters: &["a1", "a2", "b1", "c1"],
            candidate: "a3",
            ready: &["a3", "b2"],
            expected: false,
        },
        Case {
            name: "second voter in another domain",
            voters: &["a1", "a2", "b1", "c1"],
            candidate: "c2",
            ready: &["a3", "c2"],
            expected: true,
        },
        Case {
            name: "third voter in a domain, as no other learner has caught up",
            voters: &["a1", "a2", "b1", "c1"],
            candidate: "a3",
            ready: &["a3"],
            expected: true,
        },
        Case {
            name: "new incarnation of a voter that lost its disk",
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

/// A voter is lost for good and an empty instance starts at another address. The platform counts
/// the new instance as a full member four seconds later, and takes the next disk. If the lost voter
/// is still a member then, the one voter left has no quorum: operators can make no change any more,
/// and nothing tells them why.
#[test]
fn a_lost_voter_is_replaced_before_the_next_disk_may_be_lost() {
    let cases = [
        Case {
            name: "voter not seen for 3 s, standby has caught up",
            last_seen: &[("b", 1000), ("c", 3900), ("d", 3900)],
            ready: &["d"],
            now: 4000,
            expected: Some(("b", "d")),
        },
        Case {
            name: "voter not seen for 1 s, as in a restart",
            last_seen: &[("b", 3000), ("c", 3900), ("d", 3900)],
            ready: &["d"],
            now: 4000,
            expected: None,
        },
        Case {
            name: "standby lacks entries",
            last_seen: &[("b", 0), ("c", 3900), ("d", 3900)],
            ready: &[],
            now: 4000,
            expected: None,
        },
        Case {
            name: "standby not seen for 2 s either",
            last_seen: &[("b", 0), ("c", 3900), ("d", 2000)],
            ready: &["d"],
            now: 4000,
            expected: None,
        },
        Case {
            name: "voter never seen",
            last_seen: &[("c", 3900), ("d", 3900)],
            ready: &["d"],
            now: 4000,
            expected: Some(("b", "d")),
        },
    ];
    let voters = [id("a"), id("b"), id("c")];
    for case in cases {
        let presences: Vec<Presence> =
            case.last_seen.iter().map(|(name, at)| presence(name, "x", *at)).collect();
        let ready: Vec<ReplicaId> = case.ready.iter().map(|name| id(name)).collect();
        let decided = replacement(Millis(case.now), &id("a"), &voters, &presences, &ready);
        let expected = case
            .expected
            .map(|(voter, standby)| Replacement { voter: id(voter), standby: id(standby) });
        assert_eq!(decided, expected, "{}", case.name);
    }
}
