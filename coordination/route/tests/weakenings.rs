//! A scenario for each rule of the router, which passes with the rule and fails without it.

mod support;

use std::panic::{self, AssertUnwindSafe};

use sill_base::Millis;
use sill_route::{Choice, Weakening};
use sill_wire::endpoint::CacheEvent;
use sill_wire::{Announcement, Load, Role};

use support::{CheckedRouter, SLOTS, endpoint, request};

const NOW: Millis = Millis(100_000);

struct Case {
    name: &'static str,
    weakening: Weakening,
    /// Runs the scenario and returns whether the rule was kept.
    run: fn(CheckedRouter) -> bool,
}

/// A request is sent to a leaving endpoint. It is lost seconds later, and the caller waits for a
/// resume on another endpoint or gets an error.
fn leaving_is_not_chosen(mut checked: CheckedRouter) -> bool {
    let leaving = Announcement { leaving: Some(Millis(5000)), ..endpoint("x", "a") };
    checked.announce(NOW, &leaving);
    matches!(checked.send(NOW, &request(1, 1, 4)), Choice::Refuse(_))
        && checked.violations.is_empty()
}

/// A slow peer passes on an announcement from before the endpoint's reclaim notice. If it is
/// applied, the endpoint looks ready again, and requests are sent to an endpoint that is about to
/// be reclaimed.
fn late_copy_is_dropped(mut checked: CheckedRouter) -> bool {
    let ready = endpoint("x", "a");
    let leaving = Announcement { sequence: 2, leaving: Some(Millis(5000)), ..ready.clone() };
    checked.announce(NOW, &leaving);
    checked.announce(NOW, &ready);
    matches!(checked.send(NOW, &request(1, 1, 4)), Choice::Refuse(_))
        && checked.violations.is_empty()
}

/// A reclaim notice comes from the platform and not from the endpoint, so it has the sequence
/// number of the endpoint's last announcement. If it were discarded as a copy of that announcement,
/// requests would be sent to the endpoint until it dies.
#[test]
fn reclaim_notice_with_known_sequence_number_is_not_discarded() {
    let mut checked = CheckedRouter::new(None);
    let ready = endpoint("x", "a");
    checked.announce(NOW, &ready);
    checked.announce(NOW, &Announcement { leaving: Some(Millis(5000)), ..ready.clone() });
    assert!(
        matches!(checked.send(NOW, &request(1, 1, 4)), Choice::Refuse(_)),
        "the endpoint was chosen after its reclaim notice"
    );
    checked.announce(NOW, &ready);
    assert!(
        matches!(checked.send(NOW, &request(1, 1, 4)), Choice::Refuse(_)),
        "the endpoint was chosen after a late copy of its last announcement"
    );
}

/// An endpoint was removed, and a delayed copy of its last announcement arrives afterwards.
/// Requests would be sent to an address where nothing listens.
fn late_copy_does_not_restore_removed_endpoint(mut checked: CheckedRouter) -> bool {
    let ready = endpoint("x", "a");
    checked.announce(NOW, &ready);
    checked.remove(NOW, &ready);
    checked.announce(NOW, &ready);
    matches!(checked.send(NOW, &request(1, 1, 4)), Choice::Refuse(_))
        && checked.violations.is_empty()
}

/// An endpoint died without a notice. If its last announcement doesn't expire, requests sent to it
/// time out.
fn silent_endpoint_is_not_chosen(mut checked: CheckedRouter) -> bool {
    checked.announce(NOW, &endpoint("x", "a"));
    let later = NOW + Millis(5001);
    matches!(checked.send(later, &request(1, 1, 4)), Choice::Refuse(_))
        && checked.violations.is_empty()
}

/// A standby endpoint keeps its weights loaded for a failover and refuses requests sent to it.
fn standby_is_not_chosen(mut checked: CheckedRouter) -> bool {
    checked.announce(NOW, &Announcement { role: Role::Standby, ..endpoint("x", "a") });
    matches!(checked.send(NOW, &request(1, 1, 4)), Choice::Refuse(_))
        && checked.violations.is_empty()
}

/// One prompt becomes popular. Without a load bound, the endpoint that has it cached would get all
/// of its requests, and callers would wait in its queue while the other endpoints are idle.
fn cached_prompt_does_not_overload(mut checked: CheckedRouter) -> bool {
    checked.announce(NOW, &endpoint("x", "a"));
    for number in 0..u64::from(SLOTS) * 3 {
        checked.send(NOW, &request(number, 1, 100));
    }
    checked.violations.is_empty()
}

/// A batch of cache events is lost that reported dropped blocks. Requests would be sent to an
/// endpoint for a prefix that it no longer has, and their prompts computed again behind others.
fn gap_evicts_cached_blocks(mut checked: CheckedRouter) -> bool {
    checked.announce(NOW, &endpoint("x", "a"));
    let stored =
        request(1, 1, 8).blocks.iter().map(|&block| CacheEvent::Stored { block }).collect();
    checked.publish_cache_events(NOW, "x", 1, stored);
    let cached_before = checked.router.cached_tokens("x", &request(1, 1, 8).blocks);
    checked.publish_cache_events(NOW, "x", 30, vec![CacheEvent::Stored { block: 9 }]);
    cached_before == 8 * 64 && checked.router.cached_tokens("x", &request(1, 1, 8).blocks) == 0
}

/// Load reports lag by seconds. Between two of them, an endpoint looks idle, and all new requests
/// would be sent to it at once.
fn own_dispatches_correct_the_report(mut checked: CheckedRouter) -> bool {
    let load = Load { age: Millis(900), ..Load::default() };
    checked.announce(NOW, &Announcement { load, ..endpoint("x", "a") });
    checked.announce(NOW, &Announcement { load, ..endpoint("y", "a") });
    for number in 0..u64::from(SLOTS) * 4 {
        checked.send(NOW, &request(number, number, 1));
    }
    checked.violations.is_empty()
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
        name: "removed endpoint is not restored",
        weakening: Weakening::NoTombstones,
        run: late_copy_does_not_restore_removed_endpoint,
    },
    Case { name: "expired", weakening: Weakening::KeepExpired, run: silent_endpoint_is_not_chosen },
    Case { name: "role", weakening: Weakening::IgnoreRole, run: standby_is_not_chosen },
    Case {
        name: "bounded load",
        weakening: Weakening::UnboundedLoad,
        run: cached_prompt_does_not_overload,
    },
    Case { name: "gap", weakening: Weakening::IgnoreGaps, run: gap_evicts_cached_blocks },
    Case {
        name: "lagging load",
        weakening: Weakening::TrustLaggingLoad,
        run: own_dispatches_correct_the_report,
    },
];

/// Each scenario describes the failure that its rule prevents.
#[test]
fn no_rule_is_broken() {
    for case in &CASES {
        assert!((case.run)(CheckedRouter::new(None)), "rule \"{}\" was broken", case.name);
    }
}

/// A scenario that passes without its rule would not notice a router that breaks the rule.
#[test]
fn each_weakening_is_noticed() {
    for case in &CASES {
        let run = || (case.run)(CheckedRouter::new(Some(case.weakening)));
        let passed = panic::catch_unwind(AssertUnwindSafe(run)).unwrap_or(false);
        assert!(!passed, "scenario \"{}\" passed with {:?}", case.name, case.weakening);
    }
}
