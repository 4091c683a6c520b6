//! What control instances know of endpoints, and what they tell each other.

mod support;

use sill_base::{Millis, Name};
use sill_dispatch::Registry;
use sill_wire::Incarnation;
use sill_wire::link::{Cursor, EndpointFact, EndpointState};
use support::born;

/// How often endpoints make themselves heard.
const HEARTBEAT: Millis = Millis(1200);

/// Returns a heartbeat of an endpoint that doesn't tell its life.
fn fact(sequence: u64, state: EndpointState) -> EndpointFact {
    born(0, sequence, state)
}

fn registry(life: u64) -> Registry {
    Registry::new(Incarnation(life), HEARTBEAT)
}

/// Passes on what one heard, as control instances do.
fn pass_on(from: &mut Registry, to: &mut Registry, now: Millis) {
    for fact in from.take_direct(now) {
        to.merge(now, fact);
    }
}

/// Returns what an entry instance that knows nothing would be told.
fn told(registry: &Registry, now: Millis) -> Vec<(Name, EndpointState)> {
    let facts = registry.newer_than(now, Cursor::default());
    facts.into_iter().map(|fact| (fact.endpoint, fact.state)).collect()
}

/// An endpoint tells one control instance that it is ready, and a moment later another one that it
/// ends. The second has not heard of it yet. Were its word dropped, entry instances would send it
/// requests until it falls silent; each waits for its deadline in vain.
#[test]
fn an_end_that_comes_before_the_beginning_is_kept() {
    let (mut a, mut b) = (registry(1), registry(2));
    a.record_heartbeat(Millis(1000), fact(1, EndpointState::Ready));
    assert!(b.record_end(Millis(1100), &"e1".into(), None), "it is news to the others");
    pass_on(&mut b, &mut a, Millis(1150));
    pass_on(&mut a, &mut b, Millis(1200));
    for registry in [&a, &b] {
        assert_eq!(told(registry, Millis(1200)), [("e1".into(), EndpointState::Gone)]);
    }
}

/// Heartbeats are late or overtake each other. One from before the endpoint said that it leaves must
/// not bring it back.
#[test]
fn an_endpoint_that_leaves_never_comes_back() {
    struct Case {
        name: &'static str,
        then: EndpointFact,
        expected: EndpointState,
    }
    let cases = [
        Case {
            name: "an older heartbeat",
            then: fact(1, EndpointState::Ready),
            expected: EndpointState::Leaving,
        },
        Case {
            name: "a newer one that says ready",
            then: fact(9, EndpointState::Ready),
            expected: EndpointState::Leaving,
        },
        Case {
            name: "that it ends",
            then: fact(3, EndpointState::Gone),
            expected: EndpointState::Gone,
        },
    ];
    for case in cases {
        let mut registry = registry(1);
        registry.record_heartbeat(Millis(1000), fact(1, EndpointState::Ready));
        registry.record_heartbeat(Millis(2000), fact(2, EndpointState::Leaving));
        registry.record_heartbeat(Millis(2100), case.then);
        assert_eq!(told(&registry, Millis(2100)), [("e1".into(), case.expected)], "{}", case.name);
    }
}

/// An endpoint behind a cut is not heard of for a while. It counts as silent, so that requests go
/// elsewhere, and is back with its first heartbeat after the cut.
#[test]
fn a_silent_endpoint_is_back_once_it_is_heard_of() {
    let mut registry = registry(1);
    registry.record_heartbeat(Millis(1000), fact(1, EndpointState::Ready));
    assert!(!registry.expire(Millis(4000)));
    assert!(registry.expire(Millis(5000)));
    assert_eq!(told(&registry, Millis(5000)), [("e1".into(), EndpointState::Silent)]);
    assert!(registry.record_heartbeat(Millis(6000), fact(5, EndpointState::Ready)));
    assert_eq!(told(&registry, Millis(6000)), [("e1".into(), EndpointState::Ready)]);
}

/// A control instance that is cut off from an endpoint's failure domain must not have others believe
/// that the endpoint is silent.
#[test]
fn silence_is_not_passed_on() {
    let (mut a, mut b) = (registry(1), registry(2));
    for registry in [&mut a, &mut b] {
        registry.record_heartbeat(Millis(1000), fact(1, EndpointState::Ready));
    }
    a.expire(Millis(6000));
    a.all(Millis(6000)).into_iter().for_each(|fact| {
        b.merge(Millis(6000), fact);
    });
    assert_eq!(told(&b, Millis(6000)), [("e1".into(), EndpointState::Ready)]);
}

/// An entry instance that follows another life of a control instance gets everything; one that is up
/// to date gets nothing.
#[test]
fn only_what_changed_is_told() {
    let mut registry = registry(1);
    registry.record_heartbeat(Millis(1000), fact(1, EndpointState::Ready));
    let cursor = registry.cursor();
    registry.record_heartbeat(Millis(2200), fact(2, EndpointState::Ready));
    assert!(registry.newer_than(Millis(2200), cursor).is_empty());
    let of_other_life = Cursor { life: Incarnation(7), ..cursor };
    assert_eq!(registry.newer_than(Millis(2200), of_other_life).len(), 1);
}

/// An endpoint crashes and starts again under the name that it had, and counts its heartbeats from one.
/// Compared by that count alone, the new life is ignored for as long as the old one lasted, and its callers
/// find one endpoint less; or a heartbeat of the old life that was held up by a cut comes last, and
/// requests go to an address where nothing listens any more.
#[test]
fn a_restart_under_the_same_name_replaces_the_old_life() {
    struct Case {
        name: &'static str,
        words: Vec<EndpointFact>,
        expected: (u64, EndpointState),
    }
    let cases = [
        Case {
            name: "the new life counts anew",
            words: vec![born(5, 90, EndpointState::Ready), born(7, 1, EndpointState::Ready)],
            expected: (7, EndpointState::Ready),
        },
        Case {
            name: "the old life had left",
            words: vec![born(5, 90, EndpointState::Leaving), born(7, 1, EndpointState::Ready)],
            expected: (7, EndpointState::Ready),
        },
        Case {
            name: "the old life is heard last",
            words: vec![
                born(5, 1, EndpointState::Ready),
                born(7, 1, EndpointState::Ready),
                born(5, 91, EndpointState::Leaving),
            ],
            expected: (7, EndpointState::Ready),
        },
        Case {
            name: "the old life ends last",
            words: vec![born(7, 1, EndpointState::Ready), born(5, 91, EndpointState::Gone)],
            expected: (7, EndpointState::Ready),
        },
        Case {
            name: "the new life leaves",
            words: vec![born(5, 90, EndpointState::Ready), born(7, 1, EndpointState::Leaving)],
            expected: (7, EndpointState::Leaving),
        },
    ];
    for case in cases {
        let (mut a, mut b) = (registry(1), registry(2));
        for (i, word) in case.words.into_iter().enumerate() {
            let now = Millis(1000 + i as u64);
            a.record_heartbeat(now, word);
            // Each change is passed on at once; all of them once more, in the end, by another way.
            pass_on(&mut a, &mut b, now);
        }
        a.all(Millis(1100)).into_iter().for_each(|fact| {
            b.merge(Millis(1100), fact);
        });
        for registry in [&a, &b] {
            let facts = registry.newer_than(Millis(1100), Cursor::default());
            let got: Vec<_> = facts.iter().map(|fact| (fact.born.0, fact.state)).collect();
            assert_eq!(got, [case.expected], "{}", case.name);
        }
    }
}

/// An endpoint says that it ends to a control instance that has not heard of it, and doesn't tell which
/// life that is. Taken for an old one, the end is dropped, and its requests go nowhere.
#[test]
fn an_end_without_a_life_means_the_life_that_is_known() {
    let (mut a, mut b) = (registry(1), registry(2));
    a.record_heartbeat(Millis(1000), born(5, 1, EndpointState::Ready));
    b.record_end(Millis(1100), &"e1".into(), None);
    pass_on(&mut b, &mut a, Millis(1150));
    assert_eq!(told(&a, Millis(1200)), [("e1".into(), EndpointState::Gone)]);
}

/// Something else writes heartbeats under the name of an endpoint, for another service. Taken in, they
/// take the endpoint away from its callers.
#[test]
fn an_endpoint_keeps_its_service_and_failure_domain_for_life() {
    let foreign = [
        EndpointFact { service: "other".into(), ..born(5, 2, EndpointState::Ready) },
        EndpointFact { domain: "elsewhere".into(), ..born(5, 2, EndpointState::Gone) },
    ];
    for word in foreign {
        let mut registry = registry(1);
        registry.record_heartbeat(Millis(1000), born(5, 1, EndpointState::Ready));
        assert!(registry.is_contradictory(&word));
        assert!(!registry.merge(Millis(1100), word));
        assert_eq!(told(&registry, Millis(1200)), [("e1".into(), EndpointState::Ready)]);
    }
}
