//! Endpoints that this entry instance does not reach after an answer of them has ended.

#[allow(dead_code)] // The tests of endpoint checks use a part of it.
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sill_base::Millis;
use sill_gateway::streams::LIST_SETTLE_TIME;
use sill_wire::link::{EndpointFact, EndpointState, RelayOffer};
use sill_wire::streams::EntryPeer;
use sill_wire::{EndpointCrash, Incarnation};
use support::{
    Action, CallerResponse, ConnectFailure, DeadAddress, Harness, exchange, fact, head, lines,
    request, request_as,
};

/// Number of checks after a broken answer, unless one shows a crash.
const CHECKS: u64 = 3;

/// What another entry instance sees of the endpoint.
#[derive(Debug, Clone, Copy)]
enum Other {
    /// It connects.
    Reaches,
    /// Its connections are refused.
    Refused,
    /// Its connections are not accepted in time.
    Hanging,
    /// It does not reply.
    Down,
    /// It connects, and is known only as an offer of tunnels.
    Offers,
}

/// An entry instance that doesn't reach its endpoint any more, and others that it can ask.
struct System {
    harness: Harness,
    _others: Vec<Harness>,
    _dead: Vec<DeadAddress>,
}

impl System {
    fn start(answer: String, others: &[Other]) -> Self {
        let mut system = Self {
            harness: Harness::start(vec![vec![Action::AnswerAndEnd(answer)]]),
            _others: Vec::new(),
            _dead: Vec::new(),
        };
        for (i, other) in others.iter().enumerate() {
            let peer = system.start_other(i, *other);
            match other {
                Other::Offers => system.harness.relays.lock().push(offer_of(peer)),
                _ => system.harness.entries.lock().push(peer),
            }
        }
        system.harness.wait_until_facts_applied();
        system
    }

    fn start_other(&mut self, i: usize, other: Other) -> EntryPeer {
        let failure = match other {
            Other::Hanging => ConnectFailure::Hanging,
            _ => ConnectFailure::Refused,
        };
        let dead = DeadAddress::new(failure);
        let at = |address: SocketAddr| EntryPeer {
            entry: format!("other-{i}").into(),
            domain: format!("d{i}").into(),
            address,
            incarnation: Incarnation(1),
        };
        if matches!(other, Other::Down) {
            return at(dead.address);
        }
        let instance = Harness::start(vec![Vec::new()]);
        if matches!(other, Other::Refused | Other::Hanging) {
            // The endpoint has this name at another address.
            *instance.facts.lock() = vec![EndpointFact { sequence: 2, ..fact(0, dead.address) }];
            instance.wait_until_facts_applied();
        }
        let peer = at(instance.peer_address);
        self._others.push(instance);
        self._dead.push(dead);
        peer
    }

    /// Waits until all checks after a broken answer have ended, and returns the number of crashes.
    fn crashes(&self) -> u64 {
        loop {
            let crashes = self.harness.metric("sill_gateway_endpoint_crashes_total");
            let results = ["running", "silent", "unclear"];
            let name =
                |result| format!("sill_gateway_endpoint_checks_total{{result=\"{result}\"}}");
            let checks: u64 = results.iter().map(|result| self.harness.metric(&name(result))).sum();
            if crashes > 0 || checks >= CHECKS {
                return crashes;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

fn offer_of(peer: EntryPeer) -> RelayOffer {
    RelayOffer { entry: peer.entry, domain: peer.domain, address: peer.address }
}

/// A lost path looks like a crash of the endpoint, and the requests that ran there are blocked. The
/// same if another entry instance is too busy to connect in time.
#[test]
fn an_endpoint_has_crashed_only_if_all_other_entry_instances_confirm_it() {
    struct Case {
        others: &'static [Other],
        crashes: u64,
    }
    let cases = [
        Case { others: &[], crashes: 1 },
        Case { others: &[Other::Refused], crashes: 1 },
        Case { others: &[Other::Refused, Other::Refused], crashes: 1 },
        Case { others: &[Other::Reaches], crashes: 0 },
        Case { others: &[Other::Refused, Other::Reaches], crashes: 0 },
        Case { others: &[Other::Hanging], crashes: 0 },
        Case { others: &[Other::Refused, Other::Hanging], crashes: 0 },
        Case { others: &[Other::Down], crashes: 0 },
        Case { others: &[Other::Refused, Other::Down], crashes: 0 },
        Case { others: &[Other::Offers], crashes: 0 },
    ];
    let check = |Case { others, crashes }| {
        let broken = format!("{}part", head("content-length: 100\r\n"));
        let system = System::start(broken, others);
        thread::sleep(LIST_SETTLE_TIME.into());
        let _ = system.harness.call("/non_idempotent/x");
        assert_eq!(system.crashes(), crashes, "{others:?}");
    };
    // Each waits for the list of entry instances.
    thread::scope(|scope| {
        for case in cases {
            scope.spawn(|| check(case));
        }
    });
}

/// Entry instances that start together hear of each other one after the other. If one that is cut off
/// asks the only one that it knows, which is cut off as well, both take the cut for a crash.
#[test]
fn an_endpoint_has_not_crashed_while_other_entry_instances_may_be_unknown() {
    struct Case {
        others: &'static [Other],
        crashes: u64,
    }
    let cases = [
        Case { others: &[], crashes: 0 },
        Case { others: &[Other::Refused], crashes: 0 },
        Case { others: &[Other::Refused, Other::Refused], crashes: 0 },
        // More are never asked.
        Case { others: &[Other::Refused, Other::Refused, Other::Refused], crashes: 1 },
    ];
    for Case { others, crashes } in cases {
        let broken = format!("{}part", head("content-length: 100\r\n"));
        let system = System::start(broken, others);
        let _ = system.harness.call("/non_idempotent/x");
        assert_eq!(system.crashes(), crashes, "{others:?}");
    }
}

/// An answer without a marked end whose endpoint crashed is taken for complete while no other entry
/// instance can tell whether the endpoint runs.
#[test]
fn an_unmarked_end_is_complete_only_if_the_endpoint_is_shown_to_run() {
    struct Case {
        others: &'static [Other],
        is_complete: bool,
    }
    let cases = [
        Case { others: &[Other::Reaches], is_complete: true },
        Case { others: &[Other::Hanging, Other::Reaches], is_complete: true },
        Case { others: &[Other::Refused], is_complete: false },
        Case { others: &[Other::Hanging], is_complete: false },
        Case { others: &[Other::Down], is_complete: false },
    ];
    for Case { others, is_complete } in cases {
        let stream = format!("{}id: 1\ndata: a\n\n", head("content-type: text/event-stream\r\n"));
        let system = System::start(stream, others);
        let got: CallerResponse = system.harness.call("/stream/x");
        assert_eq!(got.is_complete, is_complete, "{others:?}: {}", got.head);
    }
}

/// An endpoint crashed behind a proxy that accepts connections and is silent; what it had sent, and
/// the end of its connection, arrive when the proxy passes bytes on again.
#[test]
fn an_unmarked_end_is_incomplete_if_the_endpoint_is_known_to_have_crashed() {
    struct Case {
        /// Age of the crash, if one is known.
        age: Option<Millis>,
        is_complete: bool,
    }
    let cases = [
        Case { age: None, is_complete: true },
        Case { age: Some(Millis::ZERO), is_complete: false },
        // It has restarted before the call was sent.
        Case { age: Some(Millis(60_000)), is_complete: true },
    ];
    for Case { age, is_complete } in cases {
        let may_close = Arc::<AtomicBool>::default();
        let stream = format!("{}id: 1\ndata: a\n\n", head("content-type: text/event-stream\r\n"));
        let action = Action::AnswerAndCloseWhen(stream, may_close.clone());
        let harness = Harness::start(vec![vec![action]]);
        let address = harness.address;
        let caller = thread::spawn(move || exchange(address, &request("/stream/x", "")));
        while harness.endpoints[0].requests() == 0 {
            thread::sleep(Duration::from_millis(10));
        }
        if let Some(age) = age {
            let EndpointFact { endpoint, incarnation, .. } = fact(0, harness.endpoints[0].address);
            let requests = Vec::new();
            let prompts = Vec::new();
            let crash =
                EndpointCrash { endpoint, incarnation, requests, prompts, age, is_presumed: false };
            harness.crashes.lock().crashes.push(crash);
            harness.wait_until_facts_applied();
        }
        may_close.store(true, Ordering::Relaxed);
        let got = caller.join().expect("the caller gets an answer");
        assert_eq!(got.is_complete, is_complete, "{age:?}: {}", got.head);
    }
}

/// Guards against a running endpoint that counts as crashed, and whole streams of it that are cut, as a control
/// instance that hears of it late tells of its predecessor at the same address.
#[test]
fn an_endpoint_has_not_crashed_because_its_predecessor_is_heard_of_later() {
    struct Case {
        name: &'static str,
        state: EndpointState,
        /// Start times of the endpoint and of the other one; 0 for none.
        born: [u64; 2],
        /// Time from the endpoint's heartbeat to the news of the other one.
        after: Duration,
        /// Age of that news.
        age: Millis,
        is_whole: bool,
    }
    use EndpointState::{Gone, Leaving, Ready};
    lines::capture();
    let late = Duration::from_millis(1200);
    let case = |name, state, after, age, is_whole| {
        let born = [0, 0];
        Case { name, state, born, after, age, is_whole }
    };
    let born = |name, born, after, age, is_whole| {
        let state = Ready;
        Case { name, state, born, after, age, is_whole }
    };
    let cases = [
        case("an old heartbeat", Ready, late, Millis(60_000), true),
        case("a heartbeat that was under way for long", Ready, Duration::ZERO, Millis::ZERO, true),
        case("one that drains beside it", Leaving, late, Millis::ZERO, true),
        case("one that is gone", Gone, late, Millis::ZERO, true),
        case("the endpoint that has the address now", Ready, late, Millis::ZERO, false),
        born("an earlier start, told of very late", [4, 3], late, Millis::ZERO, true),
        born("a later start", [3, 4], Duration::ZERO, Millis(60_000), false),
        born("another one with as many starts", [1, 1], late, Millis::ZERO, false),
    ];
    let mut crashes = 0;
    for Case { name, state, born, after, age, is_whole } in cases {
        let born = born.map(Incarnation);
        let may_end = Arc::<AtomicBool>::default();
        let stream = "content-type: text/event-stream\r\nconnection: close\r\n";
        let first = format!("{}id: 1\ndata: a\n\n", head(stream));
        let remainder = "id: 2\ndata: b\n\n".to_owned();
        let harness = Harness::start(vec![vec![
            Action::AnswerInTwoAndCloseWhen(first, may_end.clone(), remainder),
            Action::AnswerAndClose(format!("{}part", head("content-length: 100\r\n"))),
        ]]);
        harness.wait_until_facts_applied();
        let (address, endpoint) = (harness.address, harness.endpoints[0].address);
        let known = EndpointFact { incarnation: born[0], sequence: 2, ..fact(0, endpoint) };
        harness.apply_fact(known);
        let caller = thread::spawn(move || exchange(address, &request("/stream/x", "")));
        while harness.endpoints[0].requests() == 0 {
            thread::sleep(Duration::from_millis(2));
        }
        thread::sleep(after);
        let _ = harness.call("/non_idempotent/x");
        let incarnation = born[1];
        harness.apply_fact(EndpointFact { incarnation, state, age, ..fact(1, endpoint) });
        may_end.store(true, Ordering::Relaxed);
        let got = caller.join().expect("the caller gets an answer");
        assert_eq!((got.status, got.is_complete), (200, is_whole), "{name}: {got:?}");
        crashes += usize::from(!is_whole);
        assert_eq!(lines::count("sign=replacement"), crashes, "{name}");
    }
}

/// Guards against whole streams that are cut as if their endpoint had ended, as its heartbeats are late and
/// another answer of it has broken off.
#[test]
fn whole_streams_of_a_silent_endpoint_that_runs_are_not_cut() {
    let may_end = Arc::<AtomicBool>::default();
    let stream = head("content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");
    let whole = format!("{stream}f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
    let harness = Harness::start(vec![vec![
        Action::AnswerWhen(whole.clone(), may_end.clone()),
        Action::AnswerWhen(whole, may_end.clone()),
        Action::AnswerAndClose(format!("{}part", head("content-length: 100\r\n"))),
    ]]);
    harness.wait_until_facts_applied();
    let address = harness.address;
    let call = |id| thread::spawn(move || exchange(address, &request_as(id, "/stream/x", "")));
    let callers = ["first", "second"].map(call);
    while harness.endpoints[0].requests() < callers.len() {
        thread::sleep(Duration::from_millis(2));
    }
    let _ = harness.call("/non_idempotent/x");
    let state = EndpointState::Silent;
    harness.apply_fact(EndpointFact { state, ..fact(0, harness.endpoints[0].address) });
    assert_eq!(harness.metric("sill_gateway_endpoint_crashes_total"), 1);
    // Both end at the same time, so that their marks prove nothing.
    may_end.store(true, Ordering::Relaxed);
    for caller in callers {
        let got = caller.join().expect("the caller gets an answer");
        assert_eq!((got.status, got.is_complete), (200, true), "{got:?}");
    }
}
