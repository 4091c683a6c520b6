//! What callers receive of answers whose heads don't tell how the body ends.

#[allow(dead_code)] // The tests of malformed heads use a part of it.
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sill_base::Millis;
use sill_wire::link::{EndpointFact, RelayOffer};
use support::{
    Action, ConnectFailure, DeadAddress, Harness, answer_of, exchange, fact, head, lines, request,
    request_as,
};

const INTERVAL: Duration = Duration::from_millis(5);

/// Calls until a failing endpoint has been asked.
const MAX_CALLS: usize = 2000;

const CHUNKS: &str = "8\r\nid: 1\n\n\n\r\n0\r\n\r\n";

/// A malformed head, and what the log says about it.
struct Case {
    fields: &'static str,
    why: &'static str,
}

const CASES: [Case; 5] = [
    Case { fields: "transfer-encoding: chunkex\r\n", why: "invalid transfer-encoding 'chunkex'" },
    Case {
        fields: "transfer-encoding: gzip, chunked\r\n",
        why: "invalid transfer-encoding 'gzip, chunked'",
    },
    Case {
        fields: "transfer-encoding: chunkex\r\ncontent-length: 5\r\n",
        why: "invalid transfer-encoding 'chunkex'",
    },
    Case {
        fields: "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        why: "both transfer-encoding and content-length",
    },
    Case { fields: "content-length: 2x0\r\n", why: "" },
];

fn malformed(case: &Case) -> String {
    format!("{}{CHUNKS}", head(&format!("content-type: text/event-stream\r\n{}", case.fields)))
}

/// A failing endpoint sends malformed framing fields. The caller would get a body that isn't
/// the endpoint's as a complete one.
#[test]
fn an_answer_whose_framing_is_malformed_is_a_failure() {
    lines::capture();
    for (number, case) in CASES.iter().enumerate() {
        for path in ["/non_idempotent/x", "/idempotent/x", "/stream/x", "/resumable_stream/x"] {
            let harness = Harness::start(vec![vec![Action::AnswerAndClose(malformed(case)); 9]]);
            let id = format!("malformed-{number}{}", path.replace('/', "-"));
            let got = exchange(harness.address, &request_as(&id, path, ""));
            assert_eq!(got.status, 502, "{path} {}: {}", case.fields, got.head);
            let lines = lines::of_call(&id);
            let names_field = |line: &String| {
                line.starts_with("event=attempt_failed ") && line.contains(case.why)
            };
            assert!(lines.iter().any(names_field), "{path} {}: {lines:?}", case.fields);
        }
    }
}

/// An answer with a malformed head doesn't show that its call has not run, so only calls that may run
/// twice are sent to another endpoint.
#[test]
fn a_call_is_repeated_after_a_malformed_head_only_if_it_may_be() {
    for case in &CASES {
        for (path, is_repeated) in [("/idempotent/x", true), ("/non_idempotent/x", false)] {
            let malformed = vec![Action::AnswerAndClose(malformed(case)); 9];
            let sound = vec![Action::Answer(answer_of("sound")); MAX_CALLS];
            let harness = Harness::start(vec![malformed, sound]);
            let mut calls = 0;
            while harness.endpoints[0].requests() == 0 {
                let got = harness.call(path);
                let reaches_sound = got.status == 200 && got.body == b"sound";
                let is_malformed = harness.endpoints[0].requests() > 0;
                assert_eq!(reaches_sound, is_repeated || !is_malformed, "{path} {}", case.fields);
                assert!(reaches_sound || got.status == 502, "{path} {}", got.head);
                calls += 1;
                assert!(calls < MAX_CALLS, "{path}: the failing endpoint is never asked");
            }
        }
    }
}

/// The same in a tunnel, which passes the endpoint's bytes on.
#[test]
fn an_answer_whose_framing_is_malformed_is_a_failure_in_a_tunnel() {
    for case in &CASES {
        let helper = Harness::start(vec![vec![Action::AnswerAndClose(malformed(case)); 9]]);
        let cut_off = Harness::start(vec![Vec::new()]);
        let dead = DeadAddress::new(ConnectFailure::Refused);
        let (entry, address) = (helper.name.clone(), helper.peer_address);
        *cut_off.relays.lock() = vec![RelayOffer { entry, domain: "a".into(), address }];
        *cut_off.facts.lock() = vec![EndpointFact { sequence: 2, ..fact(0, dead.address) }];
        cut_off.wait_until_facts_applied();
        // A busy helper may open the tunnel too late, and the call is not sent.
        let mut calls = 0;
        while helper.endpoints[0].requests() == 0 {
            let got = cut_off.call("/non_idempotent/x");
            assert!(got.status >= 500, "{}: {}", case.fields, got.head);
            calls += 1;
            assert!(calls < MAX_CALLS, "{}: never sent", case.fields);
            thread::sleep(INTERVAL);
        }
    }
}

/// The same where another endpoint resumes a stream: what its chunks look like must not follow the part
/// that the caller has.
#[test]
fn a_stream_whose_resumption_has_a_malformed_head_is_incomplete() {
    let chunked = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let first = format!("{}8\r\nid: 1\n\n\n\r\n", head(chunked));
    for case in &CASES {
        let may_close = Arc::<AtomicBool>::default();
        let begin = vec![Action::AnswerAndCloseWhen(first.clone(), may_close.clone())];
        let resumption = vec![Action::AnswerAndClose(malformed(case)); 9];
        let harness = Harness::start_with_hidden(vec![begin, resumption]);
        let address = harness.address;
        let caller = thread::spawn(move || exchange(address, &request("/resumable_stream/x", "")));
        while harness.endpoints[0].requests() == 0 {
            thread::sleep(INTERVAL);
        }
        harness.announce_departure_and_last(Millis(10_000));
        harness.wait_until_facts_applied();
        may_close.store(true, Ordering::Relaxed);
        let got = caller.join().expect("the caller gets an answer");
        assert_eq!((got.status, got.is_complete), (200, false), "{}: {}", case.fields, got.head);
        assert_eq!(String::from_utf8_lossy(&got.body), "id: 1\n\n\n", "{}", case.fields);
        assert_eq!(harness.endpoints[1].requests(), 1, "{}: it is resumed", case.fields);
    }
}

/// Some sound servers send their length twice. Its caller must be able to read the answer.
#[test]
fn a_length_that_is_sent_twice_is_passed_on_once() {
    for fields in ["content-length: 5\r\ncontent-length: 5\r\n", "content-length: 5, 5\r\n"] {
        let answer = format!("{}hello", head(fields));
        let harness = Harness::start(vec![vec![Action::Answer(answer); 9]]);
        for path in ["/non_idempotent/x", "/idempotent/x"] {
            let got = harness.call(path);
            assert_eq!((got.status, &got.body[..]), (200, &b"hello"[..]), "{fields}: {}", got.head);
            let lengths = got.head.to_lowercase().matches("content-length: 5\r\n").count();
            assert_eq!(lengths, 1, "{fields}: {}", got.head);
        }
    }
}

/// A corrupted status that has no body beside a field that tells of one: the caller would get an empty
/// answer.
#[test]
fn an_answer_without_content_that_has_a_body_is_a_failure() {
    for fields in ["content-length: 5\r\n", "transfer-encoding: chunked\r\n"] {
        let answer = format!("{}{CHUNKS}", head(fields)).replace("200 OK", "204 x");
        let harness = Harness::start(vec![vec![Action::AnswerAndClose(answer); 9]]);
        let got = harness.call("/non_idempotent/x");
        assert_eq!(got.status, 502, "{fields}: {}", got.head);
    }
}
