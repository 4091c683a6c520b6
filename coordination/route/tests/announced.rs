//! What the router makes of announcements that come marked, late or alone.

mod support;

use sill_base::{Machine, Millis};
use sill_route::{Choice, Event, Router, RouterCfg};
use sill_wire::{Announcement, Incarnation};

use support::{ask, endpoint};

const NOW: Millis = Millis(100_000);

struct Case {
    name: &'static str,
    /// Sequence number, and whether the announcement says leaving.
    heard: &'static [(u64, bool)],
    is_chosen: bool,
}

/// Membership learns by a notice of its own that an endpoint is leaving, and marks the announcement
/// that it already passed on; a stale peer then passes on an older or newer one without the mark.
/// The user would notice a request sent to an endpoint that is about to be gone.
#[test]
fn a_life_that_is_leaving_stays_so() {
    let cases = [
        Case { name: "ready", heard: &[(1, false), (2, false)], is_chosen: true },
        Case {
            name: "marked under the same number",
            heard: &[(7, false), (7, true)],
            is_chosen: false,
        },
        Case {
            name: "marked under an older number",
            heard: &[(7, false), (5, true)],
            is_chosen: false,
        },
        Case { name: "unmarked later", heard: &[(7, true), (8, false)], is_chosen: false },
    ];
    for case in cases {
        let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
        for (sequence, leaving) in case.heard {
            let leaving = leaving.then_some(Millis(9000));
            let announcement = Announcement {
                sequence: *sequence,
                incarnation: Incarnation(1),
                leaving,
                ..endpoint("x", "a")
            };
            let heard = Event::Announced { announcement, age: Millis::ZERO };
            router.step(NOW, heard, &mut Vec::new());
        }
        let is_chosen = matches!(router.choose(NOW, &ask(1, 1, 10)), Choice::Endpoint(_));
        assert_eq!(is_chosen, case.is_chosen, "{}", case.name);
    }
}

/// An entry instance has just started, so every endpoint is new to it, or the only endpoint left has
/// just started. Were new endpoints held to a slot each, callers would be refused while slots are
/// free.
#[test]
fn new_endpoints_are_used_fully_where_there_are_no_others() {
    let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
    let announcement = endpoint("x", "a");
    let slots = announcement.slots;
    router.step(NOW, Event::Announced { announcement, age: Millis::ZERO }, &mut Vec::new());
    for number in 0..slots {
        let ask = ask(u64::from(number), u64::from(number), 1);
        let Choice::Endpoint(chosen) = router.choose(NOW, &ask) else {
            panic!("request {number} of {slots} was refused");
        };
        router.step(NOW, Event::Sent { endpoint: chosen.endpoint, ask }, &mut Vec::new());
    }
}
