//! Choice of the parent that an entry instance polls for settings.

use sill_base::{Millis, Name};
use sill_entry::parents::{Outcome, Parent, ParentSelector};

fn peers(count: usize) -> Vec<Name> {
    (0..count).map(|n| format!("10.0.0.{n}:81").into()).collect()
}

struct Case {
    entries: usize,
    place: usize,
    expected: Parent,
}

/// Guards against entry instances that poll the wrong parent and against roots that poll no control
/// instance, by which load on the control instances would grow or changes would not arrive.
#[test]
fn entry_does_not_poll_the_wrong_parent() {
    let peer = |n: usize| Parent::Peer(format!("10.0.0.{n}:81").into());
    let table = [
        Case { entries: 1, place: 0, expected: Parent::Control(0) },
        Case { entries: 2, place: 1, expected: Parent::Control(0) },
        Case { entries: 3, place: 2, expected: peer(0) },
        Case { entries: 36, place: 7, expected: peer(0) },
        Case { entries: 36, place: 8, expected: peer(1) },
        Case { entries: 36, place: 35, expected: peer(5) },
        // A leaving instance has no place in the tree and must still receive changes.
        Case { entries: 3, place: 3, expected: Parent::Control(0) },
    ];
    for case in table {
        let mut parents = ParentSelector::new(3, 0);
        let next = parents.next(Millis::ZERO, &peers(case.entries), case.place);
        assert_eq!(next, Some(case.expected), "place {} of {}", case.place, case.entries);
    }
}

/// The parent is partitioned or has stopped. Guards against one entry instance that stays on old
/// settings while all others run the new ones.
#[test]
fn failed_parent_is_not_polled_again_before_all_others() {
    let ranked = peers(12);
    let mut parents = ParentSelector::new(2, 0);
    let mut polled = Vec::new();
    for now in 0..13 {
        let next = parents.next(Millis(now), &ranked, 9).expect("there is a parent to poll");
        assert!(!polled.contains(&next), "{next:?} was polled twice before all others");
        polled.push(next);
        parents.record(Millis(now), Outcome::Failed);
    }
    assert!(polled[..4].contains(&Parent::Control(1)), "{polled:?}");
    assert_eq!(parents.next(Millis(6000), &ranked, 9), Some(polled[0].clone()));
}
