//! Each rule of the router, kept, and shown to be noticed when it is left out.

mod support;

use std::panic::{self, AssertUnwindSafe};

use sill_base::Millis;
use sill_route::{Choice, Weakening};
use sill_wire::endpoint::CacheEvent;
use sill_wire::{Announcement, Load, Role};

use support::{Checked, SLOTS, ask, endpoint};

const NOW: Millis = Millis(100_000);

struct Case {
    name: &'static str,
    weakening: Weakening,
    /// Returns whether the rule held.
    run: fn(Checked) -> bool,
}

/// A leaving endpoint that is given work loses it seconds later, and the caller waits for a resume
/// elsewhere or gets an error.
fn leaving_is_not_chosen(mut run: Checked) -> bool {
    let leaving = Announcement { leaving: Some(Millis(5000)), ..endpoint("x", "a") };
    run.announce(NOW, &leaving);
    matches!(run.send(NOW, &ask(1, 1, 4)), Choice::Refuse(_)) && run.violations.is_empty()
}

/// A peer that was slow passes on what an endpoint said before its reclaim notice. Taken at its
/// word, the endpoint looks ready again and requests are sent into the reclaim.
fn late_copy_is_dropped(mut run: Checked) -> bool {
    let ready = endpoint("x", "a");
    let leaving = Announcement { sequence: 2, leaving: Some(Millis(5000)), ..ready.clone() };
    run.announce(NOW, &leaving);
    run.announce(NOW, &ready);
    matches!(run.send(NOW, &ask(1, 1, 4)), Choice::Refuse(_)) && run.violations.is_empty()
}

/// A reclaim notice comes from the platform and not from the endpoint, so it carries the number of
/// the endpoint's last announcement. Taken for a copy of that, it would be dropped, and the endpoint
/// would get work until it dies.
#[test]
fn notice_with_the_last_number_counts() {
    let mut run = Checked::new(None);
    let ready = endpoint("x", "a");
    run.announce(NOW, &ready);
    run.announce(NOW, &Announcement { leaving: Some(Millis(5000)), ..ready.clone() });
    assert!(matches!(run.send(NOW, &ask(1, 1, 4)), Choice::Refuse(_)));
    run.announce(NOW, &ready);
    assert!(matches!(run.send(NOW, &ask(1, 1, 4)), Choice::Refuse(_)));
}

/// An endpoint went, and a delayed copy of its last words arrives afterwards. Requests would be
/// sent to an address where nobody listens.
fn late_copy_does_not_raise_the_dead(mut run: Checked) -> bool {
    let ready = endpoint("x", "a");
    run.announce(NOW, &ready);
    run.leave(NOW, &ready);
    run.announce(NOW, &ready);
    matches!(run.send(NOW, &ask(1, 1, 4)), Choice::Refuse(_)) && run.violations.is_empty()
}

/// An endpoint died without a word. Its last announcement stays, and requests time out on it.
fn silent_endpoint_is_not_chosen(mut run: Checked) -> bool {
    run.announce(NOW, &endpoint("x", "a"));
    let later = NOW + Millis(5001);
    matches!(run.send(later, &ask(1, 1, 4)), Choice::Refuse(_)) && run.violations.is_empty()
}

/// A standby endpoint keeps its weights for a failover; work sent there is refused by it.
fn standby_is_not_chosen(mut run: Checked) -> bool {
    run.announce(NOW, &Announcement { role: Role::Standby, ..endpoint("x", "a") });
    matches!(run.send(NOW, &ask(1, 1, 4)), Choice::Refuse(_)) && run.violations.is_empty()
}

/// One prompt becomes popular. The endpoint that has it cached would get every request of it,
/// while the others idle, and its callers would wait in its queue.
fn cached_prompt_does_not_overload(mut run: Checked) -> bool {
    run.announce(NOW, &endpoint("x", "a"));
    for request in 0..u64::from(SLOTS) * 3 {
        run.send(NOW, &ask(request, 1, 100));
    }
    run.violations.is_empty()
}

/// A batch of cache events is lost, and it told that blocks were dropped. Requests would go to an
/// endpoint for a prefix that it no longer has, and be computed there anew behind others.
fn gap_expires_knowledge(mut run: Checked) -> bool {
    run.announce(NOW, &endpoint("x", "a"));
    let stored = ask(1, 1, 8).blocks.iter().map(|&block| CacheEvent::Stored { block }).collect();
    run.cache(NOW, "x", 1, stored);
    let known_before = run.router.cached_tokens("x", &ask(1, 1, 8).blocks);
    run.cache(NOW, "x", 30, vec![CacheEvent::Stored { block: 9 }]);
    known_before == 8 * 64 && run.router.cached_tokens("x", &ask(1, 1, 8).blocks) == 0
}

/// Load reports lag by seconds. Between two of them an endpoint looks idle, and all new requests
/// would be sent to it at once.
fn own_dispatches_correct_the_report(mut run: Checked) -> bool {
    let load = Load { age: Millis(900), ..Load::default() };
    run.announce(NOW, &Announcement { load, ..endpoint("x", "a") });
    run.announce(NOW, &Announcement { load, ..endpoint("y", "a") });
    for request in 0..u64::from(SLOTS) * 4 {
        run.send(NOW, &ask(request, request, 1));
    }
    run.violations.is_empty()
}

const CASES: [Case; 8] = [
    Case {
        name: "leaving_gets_nothing: leaving",
        weakening: Weakening::ChooseLeaving,
        run: leaving_is_not_chosen,
    },
    Case {
        name: "leaving_gets_nothing: late copy",
        weakening: Weakening::OldAnnouncementOverrides,
        run: late_copy_is_dropped,
    },
    Case {
        name: "gone stays gone",
        weakening: Weakening::NoTombstones,
        run: late_copy_does_not_raise_the_dead,
    },
    Case { name: "expired", weakening: Weakening::KeepExpired, run: silent_endpoint_is_not_chosen },
    Case { name: "role", weakening: Weakening::IgnoreRole, run: standby_is_not_chosen },
    Case {
        name: "bounded load",
        weakening: Weakening::UnboundedLoad,
        run: cached_prompt_does_not_overload,
    },
    Case { name: "gap", weakening: Weakening::IgnoreGaps, run: gap_expires_knowledge },
    Case {
        name: "lagging load",
        weakening: Weakening::TrustLaggingLoad,
        run: own_dispatches_correct_the_report,
    },
];

#[test]
fn rules_hold() {
    for case in &CASES {
        assert!((case.run)(Checked::new(None)), "{}", case.name);
    }
}

#[test]
fn each_weakening_is_noticed() {
    for case in &CASES {
        let run = || (case.run)(Checked::new(Some(case.weakening)));
        let held = panic::catch_unwind(AssertUnwindSafe(run)).unwrap_or(false);
        assert!(!held, "{}: {:?} went unnoticed", case.name, case.weakening);
    }
}
