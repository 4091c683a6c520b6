//! Which versions may begin streams that may be taken up.

use sill_base::{Millis, Set};
use sill_dispatch::{HOLD_TIME, HeldVersions, ReleasedVersions};
use sill_wire::Incarnation;
use sill_wire::link::{EndpointFact, EndpointState};
use sill_wire::streams::ServedVersion;

const START: Millis = Millis(10_000);

fn version(software: &str) -> ServedVersion {
    ServedVersion { service: "desk".into(), software: software.into() }
}

fn recorded(versions: &[&str]) -> Set<ServedVersion> {
    versions.iter().map(|software| version(software)).collect()
}

fn fact(software: &str) -> EndpointFact {
    EndpointFact {
        endpoint: "e1".into(),
        incarnation: Incarnation(1),
        service: "desk".into(),
        domain: "a".into(),
        address: ([10, 0, 0, 1], 80).into(),
        slots: 1,
        sequence: 1,
        state: EndpointState::Ready,
        reclaimable: false,
        leaves_in: None,
        software: software.into(),
        cold_for: None,
        age: Millis::ZERO,
    }
}

/// A version begins streams of which nothing tells after a kill of all processes; or an endpoint takes none
/// for longer than needed.
#[test]
fn a_version_is_held_until_it_is_recorded() {
    struct Case {
        name: &'static str,
        /// What the log has before and after the endpoint was heard.
        before: &'static [&'static str],
        after: &'static [&'static str],
        /// Time since it was heard first.
        later: Millis,
        is_held: bool,
    }
    let case = |name, before, after, later, is_held| Case { name, before, after, later, is_held };
    let (soon, late) = (Millis(10), HOLD_TIME);
    let cases = [
        case("recorded before", &["v1"], &["v1"], soon, false),
        case("recorded now", &[], &["v1"], soon, false),
        case("another was recorded", &["v0"], &["v0", "v2"], soon, true),
        case("nothing can be recorded", &[], &[], late, false),
        case("not yet", &[], &[], late - Millis(1), true),
        case("forgotten", &["v1"], &[], soon, false),
    ];
    for Case { name, before, after, later, is_held } in cases {
        let mut versions = HeldVersions::default();
        versions.set_recorded(recorded(before));
        let was_held = versions.observe(START, &version("v1"));
        assert_eq!(was_held, !before.contains(&"v1"), "{name}");
        assert!(!versions.observe(START, &version("v1")), "{name}, heard twice");
        let mut released = versions.set_recorded(recorded(after));
        released.extend(versions.expire(START + later));
        assert_eq!(versions.held(), vec![version("v1"); usize::from(is_held)], "{name}");
        assert_eq!(released.len(), usize::from(was_held && !is_held), "{name}: {released:?}");
    }
}

/// A version that the log has forgotten, as no endpoint ran it, begins streams without a record again.
#[test]
fn a_version_that_is_heard_again_after_the_log_has_forgotten_it_is_held() {
    let mut versions = HeldVersions::default();
    versions.set_recorded(recorded(&["v1"]));
    assert!(!versions.observe(START, &version("v1")));
    versions.set_recorded(recorded(&[]));
    assert!(versions.observe(START + Millis(60_000), &version("v1")));
    // While it is heard, one that was released without a record isn't held again.
    let mut now = START + Millis(60_000) + HOLD_TIME;
    assert_eq!(versions.expire(now), [version("v1")]);
    for _ in 0..100 {
        now = now + Millis(1000);
        assert!(!versions.observe(now, &version("v1")), "at {now:?}");
        assert!(versions.expire(now).is_empty() && versions.held().is_empty(), "at {now:?}");
    }
    versions.expire(now + Millis(60_000));
    assert!(versions.observe(now + Millis(60_001), &version("v1")), "after a minute of silence");
}

/// One of two control instances is behind, and would take a version away that serves already.
#[test]
fn a_version_that_one_control_instance_has_released_stays_so() {
    let mut released = ReleasedVersions::default();
    released.record(&[fact("v1")], &[version("v1")]);
    assert!(!released.admits(&version("v1")), "held by the only one");
    released.record(&[fact("v1")], &[]);
    assert!(released.admits(&version("v1")), "released by another");
    released.record(&[fact("v1")], &[version("v1")]);
    assert!(released.admits(&version("v1")), "still held by the first");
    assert!(!released.admits(&version("v2")), "not known");
}
