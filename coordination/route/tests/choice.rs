//! What the router prefers, as tables of cases.

mod support;

use sill_base::{Machine, Millis};
use sill_route::{
    Choice, Event, PoolView, RefusalReason, RetryBudget, RetryCfg, RouteRequest, Router, RouterCfg,
    Target,
};
use sill_wire::{Announcement, Load, Priority};

use support::{ask, endpoint};

const NOW: Millis = Millis(100_000);

struct Case {
    name: &'static str,
    endpoints: Vec<Announcement>,
    cached_at: Option<&'static str>,
    ask: RouteRequest,
    expected: Result<&'static str, RefusalReason>,
}

fn busy(name: &str, domain: &str, running: u32) -> Announcement {
    let load = Load { running, ..Load::default() };
    Announcement { load, ..endpoint(name, domain) }
}

fn cases() -> Vec<Case> {
    let plain = || ask(1, 1, 100);
    vec![
        Case {
            name: "the cached prefix wins",
            endpoints: vec![endpoint("x", "a"), endpoint("y", "a")],
            cached_at: Some("y"),
            ask: plain(),
            expected: Ok("y"),
        },
        Case {
            name: "own domain before others",
            endpoints: vec![busy("x", "a", 1), busy("y", "b", 1)],
            cached_at: None,
            ask: ask(1, 1, 0),
            expected: Ok("x"),
        },
        Case {
            name: "an idle endpoint elsewhere before a crowded one here",
            endpoints: vec![busy("x", "a", 3), endpoint("y", "b")],
            cached_at: None,
            ask: plain(),
            expected: Ok("y"),
        },
        Case {
            name: "others before refusal",
            endpoints: vec![busy("x", "a", 6), endpoint("y", "b")],
            cached_at: None,
            ask: plain(),
            expected: Ok("y"),
        },
        Case {
            name: "low priority is refused first",
            endpoints: vec![busy("x", "a", 4), busy("y", "a", 3)],
            cached_at: None,
            ask: RouteRequest { priority: Priority::Low, ..plain() },
            expected: Err(RefusalReason::Full),
        },
        Case {
            name: "normal priority is refused later",
            endpoints: vec![busy("x", "a", 4), busy("y", "a", 3)],
            cached_at: None,
            ask: plain(),
            expected: Ok("y"),
        },
        Case {
            name: "normal priority is refused in a full pool",
            endpoints: vec![busy("x", "a", 4), busy("y", "a", 4)],
            cached_at: None,
            ask: plain(),
            expected: Err(RefusalReason::Full),
        },
        Case {
            name: "high priority may queue a little",
            endpoints: vec![busy("x", "a", 4)],
            cached_at: None,
            ask: RouteRequest { priority: Priority::High, ..plain() },
            expected: Ok("x"),
        },
        Case {
            // The prompt's home is x; w and y differ by their failure domain only.
            name: "a full endpoint is left alone while the pool has room",
            endpoints: vec![busy("x", "a", 6), endpoint("y", "a"), endpoint("w", "b")],
            cached_at: Some("x"),
            ask: plain(),
            expected: Ok("y"),
        },
        Case {
            // The prompt's home is z.
            name: "a home in another domain goes before a lesser endpoint nearby",
            endpoints: vec![busy("x", "a", 6), endpoint("y", "a"), endpoint("z", "b")],
            cached_at: Some("x"),
            ask: plain(),
            expected: Ok("z"),
        },
        Case {
            name: "a deadline that can't be met is refused at once",
            endpoints: vec![endpoint("x", "a")],
            cached_at: None,
            ask: RouteRequest { deadline: NOW + Millis(1000), ..plain() },
            expected: Err(RefusalReason::Deadline),
        },
        Case {
            name: "on-demand for a long prompt while its domain is being reclaimed",
            endpoints: vec![
                Announcement { leaving: Some(Millis(9000)), ..endpoint("w", "a") },
                endpoint("x", "a"),
                Announcement { reclaimable: false, price: 1500, ..endpoint("y", "a") },
            ],
            cached_at: None,
            ask: ask(1, 1, 800),
            expected: Ok("y"),
        },
        Case {
            name: "nothing serves it",
            endpoints: vec![endpoint("x", "a")],
            cached_at: None,
            ask: RouteRequest { target: Target::Model("other".into()), ..plain() },
            expected: Err(RefusalReason::NoEndpoint),
        },
    ]
}

#[test]
fn preferences() {
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
            let sent = Event::Sent { endpoint: endpoint.into(), ask: ask(9, 1, 100) };
            router.step(NOW, sent, &mut Vec::new());
            let (endpoint, request) = (endpoint.into(), "r-9".into());
            router.step(NOW, Event::FirstToken { endpoint, request }, &mut Vec::new());
        }
        let got = match router.choose(NOW, &case.ask) {
            Choice::Endpoint(chosen) => Ok(chosen.endpoint),
            Choice::Refuse(refusal) => Err(refusal.reason),
        };
        assert_eq!(got, case.expected.map(Into::into), "{}", case.name);
    }
}

/// Callers come together, a few more than the pool has slots. Where answers are short, the last of them would have
/// their first tokens in a moment; turned away, they are told to come back in seconds. Where answers are long,
/// they would wait for a slot longer than that.
#[test]
fn a_burst_over_the_slots_is_taken_if_it_is_served_in_time() {
    struct Case {
        name: &'static str,
        priority: Priority,
        decode_ms: u32,
        taken: u32,
    }
    let case = |name, priority, decode_ms, taken| Case { name, priority, decode_ms, taken };
    let cases = [
        case("answers of a second", Priority::Normal, 5, 40),
        case("answers of ten seconds", Priority::Normal, 50, 32),
        case("answers of a second, low priority", Priority::Low, 5, 36),
        case("answers of ten seconds, low priority", Priority::Low, 50, 32),
    ];
    for Case { name, priority, decode_ms, taken: expected } in cases {
        let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
        for name in ["w", "x", "y", "z"] {
            let announcement = Announcement { slots: 8, decode_ms, ..endpoint(name, "a") };
            let age = Millis::ZERO;
            router.step(NOW, Event::Announced { announcement, age }, &mut Vec::new());
        }
        let mut taken = 0;
        for request in 0..40 {
            let ask =
                RouteRequest { prompt_tokens: 8, max_tokens: 200, priority, ..ask(request, 1, 0) };
            let Choice::Endpoint(chosen) = router.choose(NOW, &ask) else { continue };
            taken += 1;
            router.step(NOW, Event::Sent { endpoint: chosen.endpoint, ask }, &mut Vec::new());
        }
        assert_eq!(taken, expected, "{name}");
    }
}

/// An on-call engineer asks why a caller was refused. The log has to tell a full pool from endpoints that were
/// not heard of, and how old the loads were that decided.
#[test]
fn a_refusal_can_be_explained_by_what_was_believed_of_the_pool() {
    let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
    let load = Load { running: 6, age: Millis(300), ..Load::default() };
    let heard = [
        (Announcement { load, ..endpoint("x", "a") }, 200),
        (Announcement { leaving: Some(Millis(9000)), ..endpoint("y", "a") }, 0),
        (endpoint("z", "a"), 60_000),
    ];
    for (announcement, age) in heard {
        router.step(NOW, Event::Announced { announcement, age: Millis(age) }, &mut Vec::new());
    }
    let sent = Event::Sent { endpoint: "x".into(), ask: ask(1, 1, 1) };
    router.step(NOW, sent, &mut Vec::new());
    let view = router.view(NOW, &ask(2, 1, 1));
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

/// An endpoint starts beside one that runs for long. A burst on its cold cache would queue there, so
/// it is given its slots step by step; where all have just started, none is held back.
#[test]
fn new_endpoints_start_slowly() {
    for (name, warm, at_most, at_least) in
        [("beside a warm one", true, 2, 1), ("all new", false, 4, 4)]
    {
        let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
        let hear = |router: &mut Router, at: Millis, announcement: Announcement| {
            let age = Millis::ZERO;
            router.step(at, Event::Announced { announcement, age }, &mut Vec::new());
        };
        if warm {
            hear(&mut router, NOW - Millis(60_000), endpoint("x", "a"));
            hear(&mut router, NOW, Announcement { sequence: 2, ..busy("x", "a", 1) });
        }
        hear(&mut router, NOW, endpoint("y", "a"));
        let mut taken = 0;
        for request in 0..4 {
            let ask = RouteRequest { priority: Priority::High, ..ask(request, 1, 0) };
            let Choice::Endpoint(chosen) = router.choose(NOW, &ask) else {
                break;
            };
            taken += u32::from(chosen.endpoint.as_str() == "y");
            router.step(NOW, Event::Sent { endpoint: chosen.endpoint, ask }, &mut Vec::new());
        }
        assert!((at_least..=at_most).contains(&taken), "{name}: {taken}");
    }
}

/// A failure domain is lost and hundreds of callers are refused in the same moment. Were all told
/// the same time, they would come back as one wave and be refused again.
#[test]
fn refused_callers_come_back_spread_out() {
    let mut router = Router::new(RouterCfg { domain: "a".into(), seed: 1 });
    let mut times: Vec<Millis> = (0..200)
        .map(|request| match router.choose(NOW, &ask(request, 1, 1)) {
            Choice::Refuse(refusal) => refusal.retry_after,
            Choice::Endpoint(chosen) => panic!("there is no endpoint, but got {chosen:?}"),
        })
        .collect();
    times.sort_unstable();
    let fullest_100_ms = times.chunk_by(|a, b| a.0 / 100 == b.0 / 100).map(<[_]>::len).max();
    assert!(times[0] >= Millis(1000) && times[199] < Millis(3000));
    assert!(fullest_100_ms.unwrap() < 25, "{fullest_100_ms:?} of 200 in the same 100 ms");
}

/// An endpoint pool fails every request for a while. Were each retried, the pool would get its own
/// load twice and never come back.
#[test]
fn retries_are_a_share_of_successes() {
    let mut budget = RetryBudget::new(RetryCfg { share: 0.1, reserve: 10.0, max_pairs: 2 });
    let (account, target) = ("desk".into(), Target::Model("m".into()));
    let allowed = (0..1000).filter(|_| budget.try_spend(&account, &target)).count();
    assert_eq!(allowed, 10);
    for _ in 0..100 {
        budget.record_success(&account, &target);
    }
    let allowed = (0..1000).filter(|_| budget.try_spend(&account, &target)).count();
    assert!((9..=10).contains(&allowed), "{allowed}");
    assert!(budget.try_spend(&"fleet".into(), &target), "accounts don't spend each other's");
}
