//! Calls in tunnels while the entry instance that carries them stops.

#[allow(dead_code)] // The tests of carriers use a part of it.
mod support;

use std::thread::{self, JoinHandle};
use std::time::Duration;

use sill_base::Millis;
use sill_wire::link::{EndpointFact, RelayOffer};
use support::{
    Action, CallerResponse, ConnectFailure, DeadAddress, Harness, answer_of, exchange, fact, head,
    request, wait_until_ready_is,
};

const STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

/// Time that the instance that carries has for its stop.
const LIMIT: Millis = Millis(3000);

/// Pause between quick calls.
const PAUSE: Duration = Duration::from_millis(200);

/// A call that is sent before or during the stop, and what its caller gets.
struct Case {
    name: &'static str,
    path: &'static str,
    action: Action,
    /// When the call is sent; before the signal if there is none.
    sent_after_signal: Option<Duration>,
    /// Whether control withdraws the offer of tunnels once the instance stops.
    is_withdrawn: bool,
    expected: (u16, &'static [u8]),
}

fn begin(address: std::net::SocketAddr, path: &'static str) -> JoinHandle<CallerResponse> {
    thread::spawn(move || exchange(address, &request(path, "")))
}

/// Plays one case: quick calls leave a tunnel open that is used again.
fn play(case: &Case) -> (CallerResponse, usize) {
    let warm_up = Action::Answer(answer_of("warm"));
    let quick_calls = case.sent_after_signal.unwrap_or_default().as_millis() / PAUSE.as_millis();
    let mut actions = vec![warm_up; 1 + quick_calls as usize];
    actions.push(case.action.clone());
    let mut helper = Harness::start_with_stop_limit(LIMIT, vec![actions]);
    let user = Harness::start(vec![Vec::new()]);
    let dead = DeadAddress::new(ConnectFailure::Refused);
    *user.relays.lock() = vec![RelayOffer {
        entry: helper.name.clone(),
        domain: "a".into(),
        address: helper.peer_address,
    }];
    *user.facts.lock() = vec![EndpointFact { sequence: 2, ..fact(0, dead.address) }];
    user.wait_until_facts_applied();
    assert_eq!(user.call("/idempotent/x").status, 200, "{}: the warm-up", case.name);
    let caller = case.sent_after_signal.is_none().then(|| {
        let caller = begin(user.address, case.path);
        while helper.endpoints[0].requests() < 2 {
            thread::sleep(Duration::from_millis(2));
        }
        caller
    });
    let ready = helper.ready_address;
    let stop = thread::spawn(move || {
        helper.stop();
        // The process ends: its connections break.
        let sent = helper.endpoints[0].requests();
        drop(helper);
        sent
    });
    wait_until_ready_is(503, ready);
    let caller = caller.unwrap_or_else(|| {
        if case.is_withdrawn {
            user.relays.lock().clear();
        }
        // Quick calls keep the tunnel in use.
        for _ in 0..quick_calls {
            thread::sleep(PAUSE);
            user.call("/idempotent/x");
        }
        begin(user.address, case.path)
    });
    let got = caller.join().expect("the caller gets an answer");
    let sent = stop.join().expect("the entry instance stops");
    (got, sent)
}

/// A call that must not be repeated breaks off with the tunnel that carries it, as the instance at its
/// other end stops. One that may outlast that instance must be refused as not run.
#[test]
fn a_call_in_a_tunnel_ends_before_the_instance_that_carries_it() {
    let later = |ms| Action::AnswerLater(answer_of("hello"), Duration::from_millis(ms));
    let begins = format!("{}4\r\n:a\n\n\r\n", head(STREAM));
    let rest = "4\r\n:b\n\n\r\n0\r\n\r\n".to_owned();
    let stream = |ms| Action::AnswerInTwo(begins.clone(), Duration::from_millis(ms), rest.clone());
    let ms = |ms| Some(Duration::from_millis(ms));
    let cases = [
        Case {
            name: "a stream from before the signal",
            path: "/stream/x",
            action: stream(2000),
            sent_after_signal: None,
            is_withdrawn: true,
            expected: (200, b":a\n\n:b\n\n"),
        },
        Case {
            name: "a call in a kept tunnel, early",
            path: "/non_idempotent/x",
            action: later(1200),
            sent_after_signal: ms(200),
            is_withdrawn: false,
            expected: (200, b"hello"),
        },
        Case {
            name: "a call in a kept tunnel that outlasts the instance",
            path: "/non_idempotent/x",
            action: later(2500),
            sent_after_signal: ms(1200),
            is_withdrawn: true,
            expected: (503, b""),
        },
        Case {
            name: "a stream in a kept tunnel that outlasts the instance",
            path: "/stream/x",
            action: stream(2500),
            sent_after_signal: ms(1200),
            is_withdrawn: true,
            expected: (503, b""),
        },
        Case {
            name: "a call that outlasts it, control silent",
            path: "/non_idempotent/x",
            action: later(2500),
            sent_after_signal: ms(1200),
            is_withdrawn: false,
            expected: (503, b""),
        },
        Case {
            name: "a stream that outlasts it, control silent",
            path: "/stream/x",
            action: stream(2500),
            sent_after_signal: ms(1200),
            is_withdrawn: false,
            expected: (503, b""),
        },
    ];
    let mut failures = Vec::new();
    let runs = cases.map(|case| thread::spawn(move || (play(&case), case)));
    for run in runs {
        let ((got, sent), case) = run.join().expect("the case runs");
        let (status, body) = case.expected;
        let is_right = got.status == status && (status != 200 || got.body == body);
        if !is_right || !got.is_complete {
            let (name, whole) = (case.name, got.is_complete);
            let body = String::from_utf8_lossy(&got.body);
            let status = got.status;
            failures.push(format!("{name}: {status} whole={whole} sent={sent} {body:?}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
