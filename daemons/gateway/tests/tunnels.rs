//! Calls at an entry instance that reaches endpoints only through another one.

#[allow(dead_code)] // The tests of tunnels use a part of it.
mod support;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use sill_base::Millis;
use sill_wire::link::{EndpointFact, RelayOffer};
use support::{
    Action, ConnectFailure, DeadAddress, Harness, answer_of, exchange, fact, head, request,
};

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

/// An entry instance without connections to endpoints, and one that reaches them.
struct Pair {
    cut_off: Harness,
    helper: Harness,
    _dead: DeadAddress,
}

impl Pair {
    fn start(failure: ConnectFailure, actions: Vec<Action>) -> Self {
        let helper = Harness::start(vec![actions]);
        let cut_off = Harness::start(vec![Vec::new()]);
        let dead = DeadAddress::new(failure);
        offer(&cut_off, &helper);
        // The endpoints of the helper have this name at another address.
        *cut_off.facts.lock() = vec![EndpointFact { sequence: 2, ..fact(0, dead.address) }];
        cut_off.wait_until_facts_applied();
        Self { cut_off, helper, _dead: dead }
    }
}

/// Tells an entry instance that another one offers tunnels.
fn offer(to: &Harness, by: &Harness) {
    let offer = RelayOffer { entry: by.name.clone(), domain: "a".into(), address: by.peer_address };
    *to.relays.lock() = vec![offer];
}

/// Calls fail at an entry instance that can't connect to endpoints, although another one can.
#[test]
fn calls_are_served_through_another_entry_instance() {
    struct Case {
        path: &'static str,
        failure: ConnectFailure,
    }
    let cases = [
        Case { path: "/idempotent/x", failure: ConnectFailure::Refused },
        Case { path: "/idempotent/x", failure: ConnectFailure::Hanging },
        Case { path: "/non_idempotent/x", failure: ConnectFailure::Refused },
        Case { path: "/non_idempotent/x", failure: ConnectFailure::Hanging },
    ];
    for Case { path, failure } in cases {
        let pair = Pair::start(failure, vec![Action::Answer(answer_of("hello")); 3]);
        for _ in 0..3 {
            let got = pair.cut_off.call(path);
            assert_eq!(
                (got.status, got.body.as_slice()),
                (200, &b"hello"[..]),
                "{path} {failure:?}"
            );
        }
        assert_eq!(pair.helper.endpoints[0].requests(), 3, "{path} {failure:?}");
    }
}

/// A call whose tunnel breaks may have run. Sent again, it would run twice.
#[test]
fn a_call_whose_tunnel_breaks_is_not_repeated_if_it_must_not_run_twice() {
    let pair = Pair::start(ConnectFailure::Refused, vec![Action::AnswerAndClose(String::new()); 3]);
    let got = pair.cut_off.call("/non_idempotent/x");
    assert_eq!(got.status, 502);
    assert!(!got.head.contains("sill-not-run"), "{}", got.head);
    assert_eq!(pair.helper.endpoints[0].requests(), 1);
}

/// An answer that breaks off behind a tunnel would look complete to its caller.
#[test]
fn a_stream_is_as_whole_as_its_endpoint_sent_it() {
    struct Case {
        name: &'static str,
        action: Action,
        is_complete: bool,
    }
    let stream = |events: &str| format!("{}{events}", head(EVENT_STREAM));
    let cases = [
        Case {
            name: "closed after an event",
            action: Action::AnswerAndClose(stream("id: 1\ndata: a\n\n")),
            is_complete: true,
        },
        Case {
            name: "closed inside an event",
            action: Action::AnswerAndClose(stream("id: 1\ndata: a\n\nid: 2\nda")),
            is_complete: false,
        },
        Case {
            name: "reset after an event",
            action: Action::AnswerAndReset(stream("id: 1\ndata: a\n\n")),
            is_complete: false,
        },
    ];
    for Case { name, action, is_complete } in cases {
        let pair = Pair::start(ConnectFailure::Refused, vec![action]);
        let got = pair.cut_off.call("/stream/x");
        assert_eq!((got.status, got.is_complete), (200, is_complete), "{name}");
        assert!(got.body.starts_with(b"id: 1\ndata: a\n\n"), "{name}");
    }
}

/// Carries one tunnel in which it sends an answer, and is killed: its connection is closed in order,
/// and new ones are refused.
fn run_killed_relay(listener: TcpListener, answer: &str) {
    let (mut stream, _) = listener.accept().expect("a tunnel is asked for");
    let _ = read_head(&mut stream);
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("the peer reads the bytes");
    let head = read_head(&mut stream);
    let id = head.lines().find_map(|line| line.strip_prefix("sill-request-id: "));
    let answer = answer.replace("{id}", id.expect("the request has an id"));
    // Unread bytes would reset the connection.
    stream.read_exact(&mut [0; "body".len()]).expect("the request is complete");
    drop(listener);
    stream.write_all(answer.as_bytes()).expect("the peer reads the bytes");
}

fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the head is complete");
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// An entry instance that carries a stream is killed between two events. Its connection is closed
/// like that of an endpoint that has sent the whole stream.
#[test]
fn a_stream_whose_tunnel_ends_with_its_entry_instance_is_incomplete() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    let event = "id: 1\ndata: a\n\n";
    let answer = format!("{}{event}", head(EVENT_STREAM));
    let relay = thread::spawn(move || run_killed_relay(listener, &answer));
    let cut_off = Harness::start(vec![Vec::new()]);
    let dead = DeadAddress::new(ConnectFailure::Hanging);
    let offer = RelayOffer { entry: "killed".into(), domain: "a".into(), address };
    *cut_off.relays.lock() = vec![offer];
    *cut_off.facts.lock() = vec![EndpointFact { sequence: 2, ..fact(0, dead.address) }];
    cut_off.wait_until_facts_applied();
    let got = cut_off.call("/stream/x");
    relay.join().expect("the tunnel is used");
    assert_eq!((got.status, got.is_complete), (200, false), "{}", got.head);
    assert_eq!(String::from_utf8_lossy(&got.body), event);
}

/// A stream that hangs in the middle because the path to its endpoint is lost waits for its deadline
/// although another endpoint could resume it.
#[test]
fn a_stream_on_a_lost_path_is_resumed_at_another_endpoint() {
    let helper = Harness::start(vec![Vec::new()]);
    let first = format!("{}id: 1\ndata: a\n\n", head(EVENT_STREAM));
    // An end without a mark would be checked at the failing endpoint.
    let rest = format!("{}f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n", head(CHUNKED));
    let cut_off = Harness::start(vec![
        vec![Action::AnswerAndFallSilent(first)],
        vec![Action::Answer(rest); 20],
    ]);
    offer(&cut_off, &helper);
    cut_off.wait_until_facts_applied();
    // Placement chooses one of the two; calls are repeated until it is the failing one.
    let got = loop {
        let got = cut_off.call("/resumable_stream/x");
        if cut_off.endpoints[0].requests() > 0 {
            break got;
        }
    };
    assert_eq!(got.status, 200);
    assert_eq!(got.body, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert!(got.is_complete);
    let resumed = cut_off.endpoints[1].request_log.lock().last().map(|req| req.headers.clone());
    let resumed = resumed.unwrap_or_default();
    assert!(resumed.iter().any(|header| header == "last-event-id: 1"), "{resumed:?}");
}

/// New connections to an endpoint fail while a stream that can't be sent again still arrives on an open
/// one, and its caller's connection breaks off at the next pause.
#[test]
fn a_stream_that_may_not_be_repeated_is_not_broken_off_on_a_lost_path() {
    let first = format!("{}8\r\nid: 1\n\n\n\r\n", head(CHUNKED));
    let rest = "8\r\nid: 2\n\n\n\r\n0\r\n\r\n";
    let helper = Harness::start(vec![Vec::new()]);
    let pause = Duration::from_millis(2500);
    let action = Action::AnswerInTwoAndRefuseOthers(first, pause, rest.to_owned());
    let cut_off = Harness::start(vec![vec![action]]);
    offer(&cut_off, &helper);
    cut_off.wait_until_facts_applied();
    let got = cut_off.call("/stream/x");
    assert_eq!(cut_off.metric("sill_gateway_lost_paths"), 1);
    assert_eq!((got.status, got.is_complete), (200, true), "{}", got.head);
    assert_eq!(String::from_utf8_lossy(&got.body), "id: 1\n\n\nid: 2\n\n\n");
}

/// A call that is carried for another entry instance is cut when the one that carries it stops.
#[test]
fn a_stopping_entry_instance_finishes_the_calls_that_it_carries() {
    let later = Action::AnswerLater(answer_of("hello"), Duration::from_millis(1500));
    let mut pair = Pair::start(ConnectFailure::Refused, vec![later]);
    let address = pair.cut_off.address;
    let caller = thread::spawn(move || exchange(address, &request("/idempotent/x", "")));
    while pair.helper.endpoints[0].requests() == 0 {
        thread::sleep(Duration::from_millis(5));
    }
    pair.helper.stop();
    let got = caller.join().expect("the caller gets an answer");
    assert_eq!((got.status, got.body.as_slice()), (200, &b"hello"[..]));
}

/// An endpoint asks for a pause with its answer to a call that is carried for another entry instance.
/// The one that carries it does not read the answer, and goes on sending to the endpoint.
#[test]
fn the_entry_instance_that_carries_a_call_keeps_the_pause_that_its_endpoint_asks_for() {
    let pause = Duration::from_millis(1500);
    let rejection = "HTTP/1.1 503 Service Unavailable\r\nsill-request-id: {id}\r\n\
                     sill-not-run: true\r\nretry-after: 1.5\r\ncontent-length: 0\r\n\r\n";
    let mut actions = vec![Action::Answer(rejection.to_owned())];
    actions.extend(vec![Action::Answer(answer_of("hello")); 200]);
    let pair = Pair::start(ConnectFailure::Refused, actions);
    assert_eq!(pair.cut_off.call("/idempotent/x").status, 503);
    let endpoint = &pair.helper.endpoints[0];
    let asked_at = endpoint.request_log.lock()[0].at;
    // The notice is on its way.
    thread::sleep(Duration::from_millis(200));
    while asked_at.elapsed() < pause + pause {
        let _ = pair.helper.call("/idempotent/x");
        let _ = pair.cut_off.call("/idempotent/x");
        thread::sleep(Duration::from_millis(20));
    }
    let log = endpoint.request_log.lock();
    let during = log[1..].iter().filter(|req| req.at - asked_at < pause).count();
    assert_eq!(during, 0, "of {} requests", log.len());
    assert!(log.len() > 2, "no request after the pause");
}

/// A call waits for its connection when its endpoint asks for a pause, and is sent there all the same.
#[test]
fn a_call_whose_connection_opens_after_its_endpoint_asked_for_a_pause_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    let cut_off = Harness::start(vec![Vec::new()]);
    let dead = DeadAddress::new(ConnectFailure::Hanging);
    let offer = RelayOffer { entry: "slow".into(), domain: "a".into(), address };
    *cut_off.relays.lock() = vec![offer];
    *cut_off.facts.lock() = vec![EndpointFact { sequence: 2, ..fact(0, dead.address) }];
    cut_off.wait_until_facts_applied();
    let caller_address = cut_off.address;
    let caller = thread::spawn(move || exchange(caller_address, &request("/idempotent/x", "")));
    let (mut stream, _) = listener.accept().expect("a tunnel is asked for");
    let _ = read_head(&mut stream);
    let known = fact(0, dead.address);
    let (id, pause) = ("other".into(), Millis(60_000));
    cut_off.state().record_pause(&known.endpoint, known.incarnation, pause, (&id, ""));
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("the peer reads the bytes");
    let got = caller.join().expect("the caller gets an answer");
    assert_eq!(got.status, 503);
    assert!(got.head.to_lowercase().contains("sill-not-run: true"), "{}", got.head);
    stream.set_read_timeout(Some(Duration::from_millis(100))).expect("the option can be set");
    let sent = stream.read(&mut [0; 64]).unwrap_or(0);
    assert_eq!(sent, 0, "bytes of the request are sent");
}

/// When the other entry instance does not reach the endpoint either, the call has not run, and its
/// caller waits for nothing.
#[test]
fn a_call_that_nobody_can_serve_is_refused_as_not_run() {
    let mut pair = Pair::start(ConnectFailure::Refused, Vec::new());
    pair.helper.stop_late(Millis::ZERO);
    let got = pair.cut_off.call("/non_idempotent/x");
    assert_eq!(got.status, 503);
    assert!(got.head.to_lowercase().contains("sill-not-run: true"), "{}", got.head);
    assert!(got.head.to_lowercase().contains("retry-after: "), "{}", got.head);
}
