//! Preferences and refusals of the router, as tables of cases.

mod support;

use sill_base::{Machine, Millis};
use sill_route::{
    Choice, Event, PoolView, RefusalReason, RetryBudget, RetryCfg, RouteRequest, Router, RouterCfg,
    Target,
};
use sill_wire::{Announcement, Load, Priority};

use support::{endpoint, request};

const NOW: Millis = Millis(100_000);

struct Case {
    name: &'static str,
    endpoints: Vec<Announcement>,
    cached_at: Option<&'static str>,
    request: RouteRequest,
    expected: Result<&'static str, RefusalReason>,
}

fn busy(name: &str, domain: &str, running: u32) -> Announcement {
    let load = Load { running, ..Load::default() };
    Announcement { load, ..endpoint(name, domain) }
}

fn cases() -> Vec<Case> {
    let plain = || request(1, 1, 100);
    vec![
        Case {
            name: "cached prefix before idle endpoint",
            endpoints: vec![endpoint("x", "a"), endpoint("y", "a")],
            cached_at: Some("y"),
            request: plain(),
            expected: Ok("y"),
        },
        Case {
            name: "own failure domain before others",
            endpoints: vec![busy("x", "a", 1), busy("y", "b", 1)],
            cached_at: None,
            request: request(1, 1, 0),
            expected: Ok("x"),
        },
        Case {
            name: "idle endpoint in another failure domain before a loaded one in the own",
            endpoints: vec![busy("x", "a", 3), endpoint("y", "b")],
            cached_at: None,
            request: plain(),
            expected: Ok("y"),
        },
        Case {
            name: "another failure domain before refusal",
            endpoints: vec![busy("x", "a", 6), endpoint("y", "b")],
            cached_at: None,
            request: plain(),
            expected: Ok("y"),
        },
        Case {
            name: "low priority is refused first",
            endpoints: vec![busy("x", "a", 4), busy("y", "a", 3)],
            cached_at: None,
            request: RouteRequest { priority: Priority::Low, ..plain() },
            expected: Err(RefusalReason::Full),
        },
        Case {
            name: "normal priority is refused later",
            endpoints: vec![busy("x", "a", 4), busy("y", "a", 3)],
            cached_at: None,
            request: plain(),
            expected: Ok("y"),
        },
        Case {
            name: "normal priority is refused in a full pool",
            endpoints: vec![busy("x", "a", 4), busy("y", "a", 4)],
            cached_at: None,
            request: plain(),
            expected: Err(RefusalReason::Full),
        },
        Case {
            name: "high priority may queue a little",
            endpoints: vec![busy("x", "a", 4)],
            cached_at: None,
            request: RouteRequest { priority: Priority::High, ..plain() },
            expected: Ok("x"),
        },
        Case {
            // The prompt's home is x. Endpoints w and y differ in their failure domain only.
            name: "full endpoint is not chosen while the pool has room",
            endpoints: vec![busy("x", "a", 6), endpoint("y", "a"), endpoint("w", "b")],
            cached_at: Some("x"),
            request: plain(),
            expected: Ok("y"),
        },
        Case {
            // The prompt's home is z.
            name: "home in another failure domain before another endpoint in the own",
            endpoints: vec![busy("x", "a", 6), endpoint("y", "a"), endpoint("z", "b")],
            cached_at: Some("x"),
            request: plain(),
            expected: Ok("z"),
        },
        Case {
            name: "deadline that can't be met is refused at once",
            endpoints: vec![endpoint("x", "a")],
            cached_at: None,
            request: RouteRequest { deadline: NOW + Millis(1000), ..plain() },
            expected: Err(RefusalReason::Deadline),
        },
        Case {
            name: "on-demand endpoint for a long prompt during a reclaim wave",
            endpoints: vec![
                Announcement { leaving: Some(Millis(9000)), ..endpoint("w", "a") },
                endpoint("x", "a"),
                Announcement { reclaimable: false, price: 1500, ..endpoint("y", "a") },
            ],
            cached_at: None,
            request: request(1, 1, 800),
            expected: Ok("y"),
        },
        Case {
            name: "no endpoint serves the target",
            endpoints: vec![endpoint("x", "a")],
            cached_at: None,
            request: RouteRequest { target: Target::Model("other".into()), ..plain() },
            expected: Err(RefusalReason::NoEndpoint),
        },
    ]
}

/// The router sends a request to a worse endpoint than it could, or refuses it for the wrong
/// reason.
#[test]
fn requests_do_not_go_to_worse_endpoints() {
    for case in cases() {
        let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
        for announcement in case.endpoints {
            let first = Announcement { sequence: 0, leaving: None, ..announcement.clone() };
            let long_ago = NOW - Millis(60_000);
            router.step(
                long_ago,
                Event::Announced { announcement: first, age: Millis::ZERO },
                &mut Vec::new(),
            );
            router.step(NOW, Event::Announced { announcement, age: Millis::ZERO }, &mut Vec::new());
        }
        if let Some(endpoint) = case.cached_at {
            let sent = Event::Sent { endpoint: endpoint.into(), ask: request(9, 1, 100) };
            router.step(NOW, sent, &mut Vec::new());
            let (endpoint, request) = (endpoint.into(), "r-9".into());
            router.step(NOW, Event::FirstToken { endpoint, request }, &mut Vec::new());
        }
        let got = match router.choose(NOW, &case.request) {
            Choice::Endpoint(chosen) => Ok(chosen.endpoint),
            Choice::Refuse(refusal) => Err(refusal.reason),
        };
        assert_eq!(got, case.expected.map(Into::into), "choice, case \"{}\"", case.name);
    }
}

/// A burst has a few more requests than the pool has slots. If answers are short, the last callers
/// would get their first tokens within moments, but a refusal sends them away for seconds. If
/// answers are long, they would wait for a slot longer than that.
#[test]
fn burst_above_slots_is_not_refused_if_first_tokens_are_in_time() {
    struct Case {
        name: &'static str,
        priority: Priority,
        decode_ms: u32,
        admitted: u32,
    }
    let case = |name, priority, decode_ms, admitted| Case { name, priority, decode_ms, admitted };
    let cases = [
        case("answers of a second", Priority::Normal, 5, 40),
        case("answers of ten seconds", Priority::Normal, 50, 32),
        case("answers of a second, low priority", Priority::Low, 5, 36),
        case("answers of ten seconds, low priority", Priority::Low, 50, 32),
    ];
    for Case { name, priority, decode_ms, admitted: expected } in cases {
        let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
        for name in ["w", "x", "y", "z"] {
            let announcement = Announcement { slots: 8, decode_ms, ..endpoint(name, "a") };
            let age = Millis::ZERO;
            router.step(NOW, Event::Announced { announcement, age }, &mut Vec::new());
        }
        let mut admitted = 0;
        for number in 0..40 {
            let req = RouteRequest {
                prompt_tokens: 8,
                max_tokens: 200,
                priority,
                ..request(number, 1, 0)
            };
            let Choice::Endpoint(chosen) = router.choose(NOW, &req) else { continue };
            admitted += 1;
            router.step(NOW, Event::Sent { endpoint: chosen.endpoint, ask: req }, &mut Vec::new());
        }
        assert_eq!(admitted, expected, "admitted requests of 40, case \"{name}\"");
    }
}

/// An on-call engineer investigates why a caller was refused. If the view counted wrongly, the log
/// would not tell a full pool from endpoints without recent announcements, or how old the load
/// reports were.
#[test]
fn pool_view_does_not_miscount_endpoints_of_a_refusal() {
    let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
    let load = Load { running: 6, age: Millis(300), ..Load::default() };
    let announcements = [
        (Announcement { load, ..endpoint("x", "a") }, 200),
        (Announcement { leaving: Some(Millis(9000)), ..endpoint("y", "a") }, 0),
        (endpoint("z", "a"), 60_000),
    ];
    for (announcement, age) in announcements {
        router.step(NOW, Event::Announced { announcement, age: Millis(age) }, &mut Vec::new());
    }
    let sent = Event::Sent { endpoint: "x".into(), ask: request(1, 1, 1) };
    router.step(NOW, sent, &mut Vec::new());
    let view = router.view(NOW, &request(2, 1, 1));
    let expected = PoolView {
        ready: 1,
        full: 1,
        ineligible: 2,
        active: 7,
        own_active: 1,
        slots: 4,
        oldest_load_age: Millis(500),
        ..PoolView::default()
    };
    assert_eq!(view, expected);
}

/// An endpoint starts while another has been running for a while. A burst on its cold cache would
/// queue there, so its usable slots rise gradually. If all endpoints have just started, all slots
/// are usable.
#[test]
fn new_endpoint_is_not_flooded() {
    for (name, warm, at_most, at_least) in
        [("one endpoint warm", true, 2, 1), ("all new", false, 4, 4)]
    {
        let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
        let announce = |router: &mut Router, at: Millis, announcement: Announcement| {
            let age = Millis::ZERO;
            router.step(at, Event::Announced { announcement, age }, &mut Vec::new());
        };
        if warm {
            announce(&mut router, NOW - Millis(60_000), endpoint("x", "a"));
            announce(&mut router, NOW, Announcement { sequence: 2, ..busy("x", "a", 1) });
        }
        announce(&mut router, NOW, endpoint("y", "a"));
        let mut sent = 0;
        for number in 0..4 {
            let req = RouteRequest { priority: Priority::High, ..request(number, 1, 0) };
            let Choice::Endpoint(chosen) = router.choose(NOW, &req) else {
                break;
            };
            sent += u32::from(chosen.endpoint.as_str() == "y");
            router.step(NOW, Event::Sent { endpoint: chosen.endpoint, ask: req }, &mut Vec::new());
        }
        assert!(
            (at_least..=at_most).contains(&sent),
            "{name}: {sent} of 4 requests sent to the new endpoint, expected {at_least} to {at_most}"
        );
    }
}

/// A failure domain is lost and hundreds of callers are refused at once. With the same
/// `retry_after`, they would all retry at the same time and be refused again.
#[test]
fn refused_callers_do_not_retry_together() {
    let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
    let mut times: Vec<Millis> = (0..200)
        .map(|number| match router.choose(NOW, &request(number, 1, 1)) {
            Choice::Refuse(refusal) => refusal.retry_after,
            Choice::Endpoint(chosen) => panic!("chose {chosen:?} of a router without endpoints"),
        })
        .collect();
    times.sort_unstable();
    let fullest_100_ms = times.chunk_by(|a, b| a.0 / 100 == b.0 / 100).map(<[_]>::len).max();
    assert!(
        times[0] >= Millis(1000) && times[199] < Millis(3000),
        "retry_after from {} to {}, expected within 1 to 3 s",
        times[0],
        times[199]
    );
    assert!(
        fullest_100_ms.unwrap() < 25,
        "{fullest_100_ms:?} of 200 callers retry in the same 100 ms, expected fewer than 25"
    );
}

/// All endpoints of a pool fail every request for a while. If each request were retried, the pool
/// would get its load twice and never recover.
#[test]
fn retries_do_not_exceed_their_share_of_successes() {
    let mut budget = RetryBudget::new(RetryCfg { share: 0.1, reserve: 10.0, max_pairs: 2 });
    let (account, target) = ("desk".into(), Target::Model("m".into()));
    let allowed = (0..1000).filter(|_| budget.try_spend(&account, &target)).count();
    assert_eq!(allowed, 10, "retries out of the full reserve");
    for _ in 0..100 {
        budget.record_success(&account, &target);
    }
    let allowed = (0..1000).filter(|_| budget.try_spend(&account, &target)).count();
    assert!((9..=10).contains(&allowed), "{allowed} retries after 100 successes, expected 9 or 10");
    assert!(
        budget.try_spend(&"fleet".into(), &target),
        "the retries of one account used up those of another"
    );
}
