//! The endpoints of one service at an entry instance.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use sill_base::{Millis, Name};
use sill_dispatch::{
    FactUpdate, Placement, PlacementDecision, PlacementRequest, Pool, PoolCfg, Prompt,
};
use sill_route::Outcome;
use sill_wire::Incarnation;
use sill_wire::link::EndpointState;
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
    let ask = PlacementRequest {
        attempt: attempt.into(),
        prompt: Arc::new(Prompt::default()),
        deadline: now + Millis(10_000),
        exclude: Vec::new(),
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
        pool.mark_full(Millis(2100), place);
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
