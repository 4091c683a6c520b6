//! The endpoints of one service at an entry instance.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use sill_base::{Millis, Name};
use sill_dispatch::{
    FactUpdate, Placement, PlacementDecision, PlacementRequest, Pool, PoolCfg, Prompt, PromptPart,
};
use sill_route::Outcome;
use sill_wire::link::{EndpointFact, EndpointState};
use sill_wire::{Incarnation, Software};
use support::heartbeat;

fn pool() -> Pool {
    Pool::new(PoolCfg {
        service: "desk".into(),
        domain: "a".into(),
        is_engine: false,
        cache_tokens: 0,
        seed: 1,
    })
}

fn place(pool: &mut Pool, now: Millis, attempt: &str) -> Option<Placement> {
    place_at(pool, now, attempt, None)
}

fn place_at(
    pool: &mut Pool,
    now: Millis,
    attempt: &str,
    software: Option<&str>,
) -> Option<Placement> {
    let ask = PlacementRequest {
        attempt: attempt.into(),
        prompt: Arc::new(Prompt::default()),
        deadline: now + Millis(10_000),
        exclude: Vec::new(),
        software: software.map(Software::from),
        admitted: Default::default(),
    };
    match pool.place(now, &ask) {
        PlacementDecision::Endpoint(place) => Some(place),
        PlacementDecision::Refused { .. } => None,
    }
}

/// An endpoint crashes with requests in flight and restarts at once under the same name. If the
/// outcomes of the old requests counted against the new incarnation, it would be avoided as failing
/// or as full, and idle while callers are refused.
#[test]
fn outcomes_of_calls_to_an_old_incarnation_do_not_affect_the_new_one() {
    let mut pool = pool();
    pool.update_endpoint(Millis(1000), &heartbeat(5, 90, EndpointState::Ready));
    let names: Vec<Name> = (0..8).map(|i| format!("r{i}").into()).collect();
    let old: Vec<Placement> = names
        .iter()
        .map(|name| place(&mut pool, Millis(1000), name).expect("the endpoint has free slots"))
        .collect();
    assert_eq!(pool.running(), 8);
    let restarted = pool.update_endpoint(Millis(2000), &heartbeat(7, 1, EndpointState::Ready));
    assert_eq!(restarted, FactUpdate::Restart(SocketAddr::from(([10, 0, 0, 1], 80))));
    assert_eq!(pool.running(), 0, "requests counted at the new incarnation");
    let new = place(&mut pool, Millis(2000), "s0").expect("the new incarnation accepts requests");
    for (place, name) in old.iter().zip(&names) {
        pool.record_rejection(Millis(2100), place, name, None);
        pool.mark_gone(Millis(2100), place);
        pool.finish_attempt(Millis(2100), place, name, Outcome::Failed);
    }
    assert_eq!((pool.running(), new.incarnation), (1, Incarnation(7)));
    assert!(
        place(&mut pool, Millis(2200), "s1").is_some(),
        "the new incarnation is avoided as full or failing"
    );
}

/// Two control instances report an endpoint that restarted under its name. One of them is cut off,
/// knows only the old incarnation, and reports last.
#[test]
fn facts_of_an_old_incarnation_never_replace_a_newer_one() {
    let mut pool = pool();
    pool.update_endpoint(Millis(1000), &heartbeat(7, 1, EndpointState::Ready));
    let late = [
        heartbeat(5, 90, EndpointState::Ready),
        heartbeat(5, 91, EndpointState::Leaving),
        heartbeat(5, 92, EndpointState::Silent),
        heartbeat(5, 93, EndpointState::Gone),
    ];
    for fact in late {
        assert_eq!(pool.update_endpoint(Millis(1100), &fact), FactUpdate::Stale);
        assert!(pool.is_ready(&"e1".into()));
    }
    pool.update_endpoint(Millis(1200), &heartbeat(7, 2, EndpointState::Gone));
    assert!(!pool.is_ready(&"e1".into()));
}

/// What an endpoint has said of itself applies to its next incarnation, which is then hardly used, or is
/// taken for busy.
#[test]
fn a_new_incarnation_inherits_nothing_that_the_earlier_one_has_said() {
    type Say = fn(&mut Pool, Millis, &Placement);
    struct Case {
        name: &'static str,
        say: Say,
    }
    let cases = [
        Case { name: "full", say: |pool, now, place| pool.record_load(now, place, 40, 20) },
        Case {
            name: "a rejection",
            say: |pool, now, place| pool.record_rejection(now, place, &"r".into(), None),
        },
        Case {
            name: "a limit",
            say: |pool, now, place| pool.record_request_limit(now, place, Some(0.01)),
        },
        Case {
            name: "a bound on rejections",
            say: |pool, now, place| pool.record_rejection_bound(now, place, Some(1)),
        },
        Case {
            name: "failures",
            say: |pool, now, place| {
                pool.finish_attempt(now, place, &"r".into(), Outcome::Failed);
            },
        },
        Case { name: "a pace", say: |pool, now, place| pool.record_pace(now, place, Some(10_000)) },
    ];
    let placed_at_once = |pool: &mut Pool, now| {
        (0..8).filter(|i| place(pool, now, &format!("s{i}")).is_some()).count()
    };
    for Case { name, say } in cases {
        let mut pool = pool();
        pool.set_entries(&"g1".into(), &Arc::from([Name::from("g1"), Name::from("g2")]));
        pool.update_endpoint(Millis(1000), &heartbeat(5, 90, EndpointState::Ready));
        let earlier = place(&mut pool, Millis(3000), "r").expect("the endpoint has free slots");
        say(&mut pool, Millis(3010), &earlier);
        pool.update_endpoint(Millis(3500), &heartbeat(7, 1, EndpointState::Ready));
        // The earlier incarnation's last answer arrives late.
        say(&mut pool, Millis(3600), &earlier);
        assert_eq!(placed_at_once(&mut pool, Millis(3700)), 8, "{name}");
        assert!(!pool.reports_pace(Millis(3700)), "{name}");
        assert_eq!(pool.recent_loads(Millis(3700), Millis(5000)).count(), 0, "{name}");
        // A heartbeat with a later number of the earlier incarnation changes nothing.
        let late = heartbeat(5, 91, EndpointState::Leaving);
        assert_eq!(pool.update_endpoint(Millis(3800), &late), FactUpdate::Stale, "{name}");
        assert!(pool.is_ready(&"e1".into()), "{name}");
    }
}

/// An endpoint is back under its name for another service. In the pool of its former service it would
/// stay ready, and be sent calls that it can't serve.
#[test]
fn an_earlier_incarnation_ends_when_a_later_one_is_known_elsewhere() {
    let mut pool = pool();
    pool.update_endpoint(Millis(1000), &heartbeat(5, 90, EndpointState::Ready));
    for same_or_earlier in [4, 5] {
        pool.end_earlier(Millis(1100), &"e1".into(), Incarnation(same_or_earlier));
        assert!(pool.is_ready(&"e1".into()));
    }
    pool.end_earlier(Millis(1200), &"e1".into(), Incarnation(7));
    assert!(!pool.is_ready(&"e1".into()));
    assert!(place(&mut pool, Millis(1300), "r").is_none());
    pool.update_endpoint(Millis(1400), &heartbeat(5, 91, EndpointState::Ready));
    assert!(!pool.is_ready(&"e1".into()), "a late heartbeat brings the earlier incarnation back");
    pool.update_endpoint(Millis(1500), &heartbeat(8, 1, EndpointState::Ready));
    assert!(place(&mut pool, Millis(1600), "s").is_some());
}

fn endpoint(number: u8, software: &str, state: EndpointState) -> EndpointFact {
    EndpointFact {
        endpoint: format!("e{number}").into(),
        address: SocketAddr::from(([10, 0, 0, number], 80)),
        software: software.into(),
        ..heartbeat(1, 1, state)
    }
}

/// A stream continues at an endpoint of another version, or nowhere although its version serves.
#[test]
fn a_call_that_needs_a_version_is_placed_at_its_endpoints_only() {
    let mut pool = pool();
    let endpoints = [(1, "v1"), (2, "v2"), (3, "v2"), (4, "v2"), (5, "")];
    for (number, software) in endpoints {
        pool.update_endpoint(Millis(1000), &endpoint(number, software, EndpointState::Ready));
    }
    for (software, chosen) in [("v1", "e1"), ("", "e5")] {
        let place = place_at(&mut pool, Millis(1100), software, Some(software));
        assert_eq!(
            place.expect("an endpoint of the version").endpoint,
            chosen.into(),
            "{software}"
        );
    }
    assert_eq!(place_at(&mut pool, Millis(1100), "r", Some("v3")), None);
    assert!(!pool.is_served_by(&"v3".into()));
    assert!(!pool.is_served_by(&Software::AMBIGUOUS));
    pool.update_endpoint(
        Millis(1200),
        &EndpointFact { sequence: 2, ..endpoint(1, "v1", EndpointState::Leaving) },
    );
    assert!(!pool.is_served_by(&"v1".into()), "it leaves");
    assert_eq!(place_at(&mut pool, Millis(1300), "s", Some("v1")), None);
}

/// New streams fill the last endpoints of a version, so that none of its streams can continue.
#[test]
fn endpoints_of_a_version_without_room_are_left_to_its_streams() {
    let mut pool = pool();
    for (number, software) in [(1, "v1"), (2, "v2"), (3, "v2")] {
        pool.update_endpoint(Millis(1000), &endpoint(number, software, EndpointState::Ready));
    }
    let name = |i: usize| format!("r{i}");
    let running: Vec<Placement> =
        (0..100).map_while(|i| place_at(&mut pool, Millis(1100), &name(i), Some("v1"))).collect();
    assert!(running.len() < 100, "the endpoint has no bound");
    for (i, placed) in running.iter().enumerate().take(16) {
        pool.finish_attempt(Millis(1200), placed, &name(i).into(), Outcome::Finished);
    }
    for i in 0..24 {
        let name = format!("n{i}");
        let placed = place(&mut pool, Millis(1300), &name).expect("others have room");
        assert_ne!(placed.endpoint, "e1".into(), "new call {i}");
    }
    for i in 0..8 {
        let name = format!("s{i}");
        assert!(place_at(&mut pool, Millis(1300), &name, Some("v1")).is_some(), "stream {i}");
    }
    for (i, placed) in running.iter().enumerate().skip(16) {
        pool.finish_attempt(Millis(1400), placed, &name(i).into(), Outcome::Finished);
    }
    let later = Millis(3400);
    let used = (0..40).filter_map(|i| place(&mut pool, later, &format!("l{i}")));
    assert!(used.into_iter().any(|placed| placed.endpoint == "e1".into()), "it is used again");
}

/// A version of an endpoint that is gone is forgotten while streams that it began are taken up.
#[test]
fn versions_of_endpoints_that_are_gone_are_remembered() {
    let mut pool = pool();
    let names = |versions: Vec<Software>| {
        versions.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
    };
    pool.update_endpoint(Millis(1000), &endpoint(1, "v1", EndpointState::Ready));
    assert_eq!(names(pool.versions(Millis(1000))), "v1");
    pool.update_endpoint(
        Millis(2000),
        &EndpointFact { incarnation: Incarnation(2), ..endpoint(1, "v2", EndpointState::Ready) },
    );
    pool.update_endpoint(Millis(3000), &endpoint(2, "v3", EndpointState::Gone));
    assert_eq!(names(pool.versions(Millis(61_000))), "v1,v2,v3");
    assert_eq!(names(pool.versions(Millis(62_500))), "v2,v3");
    assert_eq!(names(pool.versions(Millis(63_500))), "v2");
}

/// Returns how many calls are placed within `span` at the only endpoint, which answers none.
fn placed_within(pool: &mut Pool, from: Millis, span: Millis) -> usize {
    let times = (from.0..from.0 + span.0).step_by(10).map(Millis);
    times.filter(|at| place(pool, *at, &format!("r{at}")).is_some()).count()
}

/// An endpoint that allows few requests, or tolerates few rejections, falls silent and is back. If
/// what it has said were forgotten, one entry instance would send it as much as it has room for.
#[test]
fn restrictions_of_an_endpoint_hold_after_it_was_silent() {
    struct Case {
        name: &'static str,
        request_limit: Option<f64>,
        rejection_bound: Option<u32>,
        span: Millis,
        most: usize,
    }
    let cases = [
        Case {
            name: "two requests a second, and two saved up",
            request_limit: Some(2.0),
            rejection_bound: None,
            span: Millis(1000),
            most: 4,
        },
        Case {
            name: "three rejections a second, so one request at a time",
            request_limit: None,
            rejection_bound: Some(3),
            span: Millis(100),
            most: 1,
        },
    ];
    let mut exceeded = false;
    for Case { name, request_limit, rejection_bound, span, most } in cases {
        let mut pool = pool();
        let fact = |sequence, state| EndpointFact { slots: 40, ..heartbeat(1, sequence, state) };
        pool.set_entries(&"g1".into(), &Arc::from([Name::from("g1")]));
        pool.update_endpoint(Millis(1000), &fact(1, EndpointState::Ready));
        let answered = place(&mut pool, Millis(3000), "r").expect("it has free slots");
        pool.record_request_limit(Millis(3050), &answered, request_limit);
        pool.record_rejection_bound(Millis(3050), &answered, rejection_bound);
        let before = placed_within(&mut pool, Millis(4000), span);
        pool.update_endpoint(Millis(5000), &fact(2, EndpointState::Silent));
        place(&mut pool, Millis(5001), "none is there");
        pool.update_endpoint(Millis(5002), &fact(3, EndpointState::Ready));
        let after = placed_within(&mut pool, Millis(5003), span);
        println!("{name}: {before} before it was silent, {after} after, {most} allowed");
        exceeded |= before > most || after > most;
    }
    assert!(!exceeded);
}

/// An entry for each block of a prompt that its caller only states would take up the memory.
#[test]
fn a_stated_prompt_takes_no_more_memory_than_a_cache_holds() {
    struct Case {
        cache_tokens: u64,
        tokens: u64,
        max_blocks: usize,
        blocks: usize,
    }
    let cases = [
        Case { cache_tokens: 602_252, tokens: 4_000_000_000, max_blocks: 9410, blocks: 9410 },
        Case { cache_tokens: 0, tokens: u64::MAX, max_blocks: 1 << 16, blocks: 1 << 16 },
        Case { cache_tokens: 602_252, tokens: 6400, max_blocks: 9410, blocks: 200 },
        Case { cache_tokens: 10, tokens: 6400, max_blocks: 0, blocks: 0 },
    ];
    for Case { cache_tokens, tokens, max_blocks, blocks } in cases {
        let part = |id: &str, tokens| PromptPart { id: id.into(), tokens };
        let parts = vec![part("a", tokens), part("b", tokens), part("own", 1)];
        let prompt = Prompt { parts, tokens, max_output_tokens: 80 };
        assert_eq!(prompt.prefix_blocks(max_blocks).len(), blocks);
        let mut pool = Pool::new(PoolCfg {
            service: "desk".into(),
            domain: "a".into(),
            is_engine: true,
            cache_tokens,
            seed: 1,
        });
        pool.update_endpoint(Millis(1000), &heartbeat(5, 90, EndpointState::Ready));
        let ask = PlacementRequest {
            attempt: "r1".into(),
            prompt: Arc::new(prompt),
            deadline: Millis(10_000),
            exclude: Vec::new(),
            software: None,
            admitted: Default::default(),
        };
        let decision = pool.place(Millis(1000), &ask);
        let is_placed = matches!(decision, PlacementDecision::Endpoint(_));
        assert_eq!(is_placed, tokens == 6400, "{decision:?}");
    }
}

/// Short answers of an endpoint that crashes while it leaves would pass as whole.
#[test]
fn only_an_endpoint_that_ends_in_order_has_announced_its_end() {
    use EndpointState::{Gone, Leaving, Ready, Silent};
    struct Case {
        states: &'static [EndpointState],
        is_marked_gone: bool,
        has_announced: bool,
    }
    let case = |states, has_announced| Case { states, is_marked_gone: false, has_announced };
    let cases = [
        case(&[Ready], false),
        case(&[Ready, Leaving], true),
        case(&[Ready, Gone], true),
        case(&[Ready, Leaving, Gone], true),
        case(&[Ready, Silent], false),
        case(&[Ready, Leaving, Silent], false),
        case(&[Ready, Leaving, Silent, Gone], true),
        Case { is_marked_gone: true, ..case(&[Ready], false) },
    ];
    for Case { states, is_marked_gone, has_announced } in cases {
        let mut pool = pool();
        let mut placed = None;
        for (sequence, state) in (1..).zip(states) {
            pool.update_endpoint(Millis(1000), &heartbeat(5, sequence, *state));
            placed = placed.or_else(|| place(&mut pool, Millis(1000), "r1"));
        }
        let placed = placed.expect("the endpoint was ready");
        if is_marked_gone {
            pool.mark_gone(Millis(1000), &placed);
        }
        let name = format!("{states:?}, marked as gone: {is_marked_gone}");
        assert_eq!(pool.has_announced_end(&placed), has_announced, "{name}");
        pool.update_endpoint(Millis(2000), &heartbeat(7, 1, Ready));
        assert!(!pool.has_announced_end(&placed), "a later incarnation, {name}");
    }
}

/// Streams that an endpoint cuts as it exits right after its announcement would pass as whole.
#[test]
fn only_an_announcement_after_the_end_confirms_it() {
    use EndpointState::{Gone, Leaving, Ready};
    struct Case {
        states: &'static [(EndpointState, u64)],
        ended_at: u64,
        is_confirmed: bool,
    }
    let case = |states, ended_at, is_confirmed| Case { states, ended_at, is_confirmed };
    let cases = [
        case(&[(Ready, 1000), (Leaving, 1500)], 2000, false),
        case(&[(Ready, 1000), (Leaving, 1500), (Gone, 2100)], 2000, true),
        case(&[(Ready, 1000), (Leaving, 1500), (Gone, 1990)], 2000, false),
        // Only the first announcement counts.
        case(&[(Ready, 1000), (Gone, 1500), (Gone, 2100)], 2000, false),
    ];
    for Case { states, ended_at, is_confirmed } in cases {
        let mut pool = pool();
        let mut placed = None;
        for (sequence, (state, at)) in (1..).zip(states) {
            pool.update_endpoint(Millis(*at), &heartbeat(5, sequence, *state));
            placed = placed.or_else(|| place(&mut pool, Millis(*at), "r1"));
        }
        let placed = placed.expect("the endpoint was ready");
        let got = pool.has_confirmed_end(&placed, Millis(ended_at));
        assert_eq!(got, is_confirmed, "{states:?}");
    }
}

/// A later announcement would put off the end of an endpoint that is taken away.
#[test]
fn an_endpoint_leaves_at_the_earliest_time_that_it_has_named() {
    let mut pool = pool();
    pool.update_endpoint(Millis(1000), &heartbeat(5, 1, EndpointState::Ready));
    let placed = place(&mut pool, Millis(1000), "r1").expect("the endpoint is ready");
    assert_eq!(pool.leaves_at(&placed), None);
    let leaving = |sequence, leaves_in: u64, age: u64| EndpointFact {
        leaves_in: Some(Millis(leaves_in)),
        age: Millis(age),
        ..heartbeat(5, sequence, EndpointState::Leaving)
    };
    pool.update_endpoint(Millis(1500), &leaving(2, 1200, 100));
    assert_eq!(pool.leaves_at(&placed), Some(Millis(2600)));
    pool.update_endpoint(Millis(2000), &leaving(3, 1200, 0));
    assert_eq!(pool.leaves_at(&placed), Some(Millis(2600)));
}

/// An endpoint that has asked for fewer requests would get more.
#[test]
fn an_endpoint_that_wants_few_requests_is_not_pinged() {
    struct Case {
        name: &'static str,
        restrict: fn(&mut Pool, &Placement),
        may_ping: bool,
    }
    const AT: Millis = Millis(1000);
    let cases = [
        Case { name: "none", restrict: |_, _| {}, may_ping: true },
        Case {
            name: "a pause",
            restrict: |pool, place| {
                pool.record_pause(AT, &place.endpoint, place.incarnation, Millis(500));
            },
            may_ping: false,
        },
        Case {
            name: "a limit",
            restrict: |pool, place| pool.record_request_limit(AT, place, Some(3.0)),
            may_ping: false,
        },
        Case {
            name: "a limit that is withdrawn",
            restrict: |pool, place| {
                pool.record_request_limit(AT, place, Some(3.0));
                pool.record_request_limit(AT, place, None);
            },
            may_ping: true,
        },
        Case {
            name: "brittle",
            restrict: |pool, place| pool.record_rejection_bound(AT, place, Some(2)),
            may_ping: false,
        },
    ];
    for Case { name, restrict, may_ping } in cases {
        let mut pool = pool();
        pool.update_endpoint(AT, &heartbeat(5, 1, EndpointState::Ready));
        let placed = place(&mut pool, AT, "r1").expect("the endpoint is ready");
        restrict(&mut pool, &placed);
        let got = pool.may_ping(Millis(1100), &placed.endpoint, placed.incarnation);
        assert_eq!(got, may_ping, "{name}");
    }
}
