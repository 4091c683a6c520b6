//! Pauses that endpoints ask an entry instance for.

mod support;

use std::sync::Arc;

use sill_base::{Millis, Name};
use sill_dispatch::{Placement, PlacementDecision, PlacementRequest, Pool, PoolCfg, Prompt};
use sill_route::{Outcome, RefusalReason};
use sill_wire::Incarnation;
use sill_wire::link::{EndpointFact, EndpointLoad, EndpointState};
use support::heartbeat;

const NOW: Millis = Millis(10_000);

fn pool(endpoints: &[&str]) -> Pool {
    let mut pool = Pool::new(PoolCfg {
        service: "desk".into(),
        domain: "a".into(),
        is_engine: false,
        cache_tokens: 0,
        seed: 1,
    });
    for (i, name) in endpoints.iter().enumerate() {
        let mut fact = fact(name, 1, 1, EndpointState::Ready);
        fact.address.set_port(80 + i as u16);
        pool.update_endpoint(Millis(1000), &fact);
    }
    pool
}

fn fact(name: &str, incarnation: u64, sequence: u64, state: EndpointState) -> EndpointFact {
    EndpointFact { endpoint: name.into(), ..heartbeat(incarnation, sequence, state) }
}

fn place(pool: &mut Pool, now: Millis, attempt: &str) -> PlacementDecision {
    let ask = PlacementRequest {
        attempt: attempt.into(),
        prompt: Arc::new(Prompt::default()),
        deadline: now + Millis(60_000),
        exclude: Vec::new(),
        software: None,
        admitted: Default::default(),
    };
    pool.place(now, &ask)
}

fn placed(pool: &mut Pool, now: Millis, attempt: &str) -> Option<Placement> {
    match place(pool, now, attempt) {
        PlacementDecision::Endpoint(place) => Some(place),
        PlacementDecision::Refused { .. } => None,
    }
}

/// Has an endpoint reject a request and ask for a pause.
fn reject(pool: &mut Pool, now: Millis, endpoint: &str, span: Millis) {
    let attempt: Name = format!("rejected-{now}").into();
    let place = placed(pool, now, &attempt).expect("an endpoint has room");
    assert_eq!(place.endpoint.as_str(), endpoint);
    pool.record_rejection(now, &place, &attempt, None);
    pool.record_pause(now, &place.endpoint, place.incarnation, span);
}

/// Something that happens while an endpoint pauses.
enum During {
    /// It asks for a pause again, with the answer to a request that was under way.
    AsksAgain(Millis),
    /// It answers a request that was under way.
    Answers,
    /// Its heartbeat arrives.
    Heartbeat,
    /// It is silent for a moment.
    Silent,
    /// It announces that it leaves, and then that it is ready.
    Leaves,
    /// Another entry instance hears from it.
    HeardElsewhere,
    /// It restarts under its name.
    Restarts,
    /// A former incarnation is told to pause.
    FormerAsks,
}

/// An endpoint that asked for a pause gets a request before it is over, or none after it.
#[test]
fn what_happens_during_a_pause_does_not_end_it_but_a_restart() {
    struct Case {
        name: &'static str,
        during: During,
        /// When the endpoint takes requests again, from the first answer on.
        ends_after: Millis,
    }
    let case = |name, during, ms| Case { name, during, ends_after: Millis(ms) };
    let cases = [
        case("longer", During::AsksAgain(Millis(5000)), 6000),
        case("shorter", During::AsksAgain(Millis(500)), 3000),
        case("an hour", During::AsksAgain(Millis(3_600_000)), 3_601_000),
        case("answer", During::Answers, 3000),
        case("heartbeat", During::Heartbeat, 3000),
        case("silent", During::Silent, 3000),
        case("leaves", During::Leaves, 3_600_000),
        case("heard elsewhere", During::HeardElsewhere, 3000),
        case("restart", During::Restarts, 1000),
        case("former incarnation", During::FormerAsks, 3000),
    ];
    for Case { name, during, ends_after } in cases {
        let mut pool = pool(&["e1"]);
        let under_way = placed(&mut pool, NOW, "under-way").expect("the endpoint has room");
        reject(&mut pool, NOW, "e1", Millis(3000));
        let (at, endpoint, incarnation) = (NOW + Millis(1000), "e1".into(), Incarnation(1));
        match during {
            During::AsksAgain(span) => _ = pool.record_pause(at, &endpoint, incarnation, span),
            During::Answers => {
                pool.record_first_part(at, &under_way, &"under-way".into());
                pool.record_load(at, &under_way, 0, 0);
                pool.finish_attempt(at, &under_way, &"under-way".into(), Outcome::Finished);
            }
            During::Heartbeat => {
                pool.update_endpoint(at, &fact("e1", 1, 2, EndpointState::Ready));
            }
            During::Silent => {
                pool.update_endpoint(at, &fact("e1", 1, 2, EndpointState::Silent));
                pool.update_endpoint(at, &fact("e1", 1, 3, EndpointState::Ready));
            }
            During::Leaves => {
                pool.update_endpoint(at, &fact("e1", 1, 2, EndpointState::Leaving));
                pool.update_endpoint(at, &fact("e1", 1, 3, EndpointState::Ready));
            }
            During::HeardElsewhere => pool.record_remote_load(
                at,
                &EndpointLoad {
                    endpoint: endpoint.clone(),
                    incarnation,
                    running: 0,
                    queued: 0,
                    is_full: false,
                    rejection_bound: None,
                    request_limit: None,
                    pace: None,
                    relative_time: None,
                    age: Millis::ZERO,
                },
            ),
            During::Restarts => {
                pool.update_endpoint(at, &fact("e1", 2, 1, EndpointState::Ready));
            }
            During::FormerAsks => {
                _ = pool.record_pause(at, &endpoint, Incarnation(0), Millis(9000));
            }
        }
        let until = NOW + ends_after;
        let mut now = at;
        while now < until {
            assert_eq!(placed(&mut pool, now, "early"), None, "{name}: at {}", now - NOW);
            now = (now + Millis(250)).max(until.min(now + Millis(1_000_000)) - Millis(250));
        }
        if !matches!(during, During::Leaves) {
            assert!(placed(&mut pool, until, "late").is_some(), "{name}: after {ends_after}");
        }
    }
}

/// Calls that waited for the end of a pause come all at once, and the endpoint rejects them again.
#[test]
fn an_endpoint_gets_one_request_after_a_pause_and_more_once_it_has_accepted_it() {
    let mut pool = pool(&["e1"]);
    let names: Vec<Name> = (0..5).map(|i| format!("r{i}").into()).collect();
    let held: Vec<Placement> =
        names.iter().map(|name| placed(&mut pool, NOW, name).expect("it has room")).collect();
    reject(&mut pool, NOW, "e1", Millis(2000));
    for (place, name) in held.iter().zip(&names) {
        pool.finish_attempt(NOW + Millis(500), place, name, Outcome::Finished);
    }
    let now = NOW + Millis(2000);
    let first = placed(&mut pool, now, "first").expect("the pause is over");
    assert_eq!(placed(&mut pool, now + Millis(1), "second"), None);
    pool.record_first_part(now + Millis(20), &first, &"first".into());
    let more = (0..4).filter(|i| placed(&mut pool, now + Millis(30), &format!("m{i}")).is_some());
    assert_eq!(more.count(), 4);
}

/// While all endpoints pause, callers are told to come back too early, or wait for nothing.
#[test]
fn calls_are_refused_until_the_first_of_all_pauses_ends() {
    struct Case {
        name: &'static str,
        pauses: &'static [u64],
        reason: Option<RefusalReason>,
        /// Time until the first endpoint takes requests again.
        wait: u64,
        may_wait: bool,
    }
    let paused = Some(RefusalReason::Paused);
    let cases = [
        Case { name: "one of two", pauses: &[3000, 0], reason: None, wait: 0, may_wait: false },
        Case { name: "both", pauses: &[9000, 3000], reason: paused, wait: 3000, may_wait: false },
        Case {
            name: "an hour",
            pauses: &[3_600_000; 2],
            reason: paused,
            wait: 3_600_000,
            may_wait: false,
        },
        Case { name: "nearly over", pauses: &[90, 500], reason: paused, wait: 90, may_wait: true },
    ];
    for Case { name, pauses, reason, wait, may_wait } in cases {
        let names = ["e1", "e2"];
        let mut pool = pool(&names);
        for (endpoint, span) in names.iter().zip(pauses) {
            pool.record_pause(NOW, &(*endpoint).into(), Incarnation(1), Millis(*span));
        }
        match place(&mut pool, NOW, "r") {
            PlacementDecision::Endpoint(_) => assert_eq!(reason, None, "{name}"),
            PlacementDecision::Refused { reason: got, retry_after, may_wait: waits, view } => {
                assert_eq!((Some(got), waits), (reason, may_wait), "{name}");
                let spread = Millis(1000);
                let wait = Millis(wait);
                assert!(
                    retry_after >= wait && retry_after <= wait + spread,
                    "{name}: {retry_after}"
                );
                assert_eq!((view.paused, view.paused_for), (2, wait), "{name}");
            }
        }
    }
}

/// A call that finds one endpoint full and the others pausing is told of the pauses, although the full
/// one may have room before.
#[test]
fn a_full_endpoint_beside_pausing_ones_is_no_pause() {
    let mut pool = pool(&["e1", "e2"]);
    pool.record_pause(NOW, &"e1".into(), Incarnation(1), Millis(5000));
    let mut decision = place(&mut pool, NOW, "r0");
    for i in 1..200 {
        if !matches!(decision, PlacementDecision::Endpoint(_)) {
            break;
        }
        decision = place(&mut pool, NOW, &format!("r{i}"));
    }
    let PlacementDecision::Refused { reason, view, .. } = decision else {
        panic!("the endpoint is never full")
    };
    assert_eq!((reason, view.paused), (RefusalReason::Full, 1));
}
