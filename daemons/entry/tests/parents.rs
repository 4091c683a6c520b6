//! Whom entry instances ask for settings.

use sill_base::{Millis, Name};
use sill_entry::parents::{Outcome, Parent, Parents};

fn peers(count: usize) -> Vec<Name> {
    (0..count).map(|n| format!("10.0.0.{n}:81").into()).collect()
}

struct Place {
    entries: usize,
    place: usize,
    first: Parent,
}

#[test]
fn heads_ask_control_instances_and_others_the_one_above() {
    let peer = |n: usize| Parent::Peer(format!("10.0.0.{n}:81").into());
    let table = [
        Place { entries: 1, place: 0, first: Parent::Control(0) },
        Place { entries: 2, place: 1, first: Parent::Control(0) },
        Place { entries: 3, place: 2, first: peer(0) },
        Place { entries: 36, place: 7, first: peer(0) },
        Place { entries: 36, place: 8, first: peer(1) },
        Place { entries: 36, place: 35, first: peer(5) },
        // One that is leaving has no place, and must still learn of changes.
        Place { entries: 3, place: 3, first: Parent::Control(0) },
    ];
    for case in table {
        let mut parents = Parents::new(3, 0);
        let next = parents.next(Millis::ZERO, &peers(case.entries), case.place);
        assert_eq!(next, Some(case.first), "place {} of {}", case.place, case.entries);
    }
}

/// The one above is cut off or gone. A user would notice that one entry runs old settings while all
/// others run the new ones.
#[test]
fn each_failure_leads_on_until_all_were_asked_and_time_leads_back() {
    let ranked = peers(12);
    let mut parents = Parents::new(2, 0);
    let mut asked = Vec::new();
    for now in 0..13 {
        let next = parents.next(Millis(now), &ranked, 9).expect("someone");
        assert!(!asked.contains(&next), "{next:?} was asked twice in a round");
        asked.push(next);
        parents.note(Millis(now), Outcome::Failed);
    }
    assert!(asked[..4].contains(&Parent::Control(1)), "{asked:?}");
    assert_eq!(parents.next(Millis(6000), &ranked, 9), Some(asked[0].clone()));
}
