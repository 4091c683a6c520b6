//! Which voter is replaced, and by whom.

use sill_base::Millis;
use sill_quorum::ReplicaId;
use sill_quorum::standby::{Presence, Replacement, replacement};

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
        let presences: Vec<Presence> = case
            .heard
            .iter()
            .map(|(name, at)| Presence { id: id(name), at: Millis(*at) })
            .collect();
        let ready: Vec<ReplicaId> = case.ready.iter().map(|name| id(name)).collect();
        let decided = replacement(Millis(case.now), &id("a"), &voters, &presences, &ready);
        let expected = case.expected.map(|(lost, by)| Replacement { lost: id(lost), by: id(by) });
        assert_eq!(decided, expected, "{}", case.name);
    }
}
