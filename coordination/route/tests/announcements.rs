//! Stale, marked and first announcements.

mod support;

use sill_base::{Machine, Millis};
use sill_route::{Choice, Event, Router, RouterCfg};
use sill_wire::{Announcement, Incarnation};

use support::{endpoint, request};

const NOW: Millis = Millis(100_000);

struct Case {
    name: &'static str,
    /// Sequence numbers of the announcements, and whether each is marked as leaving.
    announcements: &'static [(u64, bool)],
    is_chosen: bool,
}

/// Membership learns from a separate notice that an endpoint is leaving, and marks an announcement
/// that it has already passed on. A stale peer then passes on an older or newer announcement
/// without the mark. If the router believed it, requests would be sent to an endpoint that is about
/// to stop.
#[test]
fn leaving_endpoint_is_not_revived_by_unmarked_announcement() {
    let cases = [
        Case { name: "ready", announcements: &[(1, false), (2, false)], is_chosen: true },
        Case {
            name: "marked under the same sequence number",
            announcements: &[(7, false), (7, true)],
            is_chosen: false,
        },
        Case {
            name: "marked under an older sequence number",
            announcements: &[(7, false), (5, true)],
            is_chosen: false,
        },
        Case { name: "unmarked later", announcements: &[(7, true), (8, false)], is_chosen: false },
    ];
    for case in cases {
        let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
        for (sequence, leaving) in case.announcements {
            let leaving = leaving.then_some(Millis(9000));
            let announcement = Announcement {
                sequence: *sequence,
                incarnation: Incarnation(1),
                leaving,
                ..endpoint("x", "a")
            };
            let event = Event::Announced { announcement, age: Millis::ZERO };
            router.step(NOW, event, &mut Vec::new());
        }
        let is_chosen = matches!(router.choose(NOW, &request(1, 1, 10)), Choice::Endpoint(_));
        assert_eq!(is_chosen, case.is_chosen, "endpoint chosen, case \"{}\"", case.name);
    }
}

/// An entry instance has just started, so every endpoint is new to it, or the only remaining
/// endpoint has just started. If the slow start limited new endpoints to one slot each, callers
/// would be refused while slots are free.
#[test]
fn slow_start_does_not_refuse_requests_where_all_endpoints_are_new() {
    let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
    let announcement = endpoint("x", "a");
    let slots = announcement.slots;
    router.step(NOW, Event::Announced { announcement, age: Millis::ZERO }, &mut Vec::new());
    for number in 0..slots {
        let req = request(u64::from(number), u64::from(number), 1);
        let Choice::Endpoint(chosen) = router.choose(NOW, &req) else {
            panic!("request {number} was refused by an idle endpoint with {slots} slots");
        };
        router.step(NOW, Event::Sent { endpoint: chosen.endpoint, ask: req }, &mut Vec::new());
    }
}
