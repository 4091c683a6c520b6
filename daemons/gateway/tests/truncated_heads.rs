//! What callers receive of answers that end in the middle of their heads.

#[allow(dead_code)] // The tests of truncated heads use a part of it.
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sill_base::Millis;
use sill_wire::link::{EndpointFact, RelayOffer};
use support::{
    Action, CallerResponse, ConnectFailure, DeadAddress, Harness, exchange, fact, head, request,
};

/// Heads of complete answers, whose bodies have a length, chunks, or neither.
const HEADS: [&str; 3] = [
    "content-type: text/plain\r\ncontent-length: 5\r\n",
    "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
    "content-type: text/event-stream\r\nx-last: 1\r\n",
];

/// Endpoints of one entry instance; each sends another part of a head.
const ENDPOINTS: usize = 24;

/// Calls until each endpoint has been asked, and the pause between them: endpoints that have failed are
/// left alone for a while.
const MAX_CALLS: usize = 2000;
const CALL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns all beginnings of a text that lack at least its last byte.
fn beginnings(text: &str) -> Vec<String> {
    (1..text.len()).map(|length| text[..length].to_owned()).collect()
}

fn check(got: &CallerResponse, name: &str) {
    assert!(got.status >= 500, "{name}: {} {}", got.head, String::from_utf8_lossy(&got.body));
}

/// An endpoint stops in the middle of its answer's head and closes its connection. Its caller must not
/// get a success, whatever the head would have said.
#[test]
fn an_answer_that_ends_in_its_head_is_a_failure() {
    for extra in HEADS {
        for (path, part) in beginnings(&head(extra)).chunks(ENDPOINTS).enumerate() {
            let path = ["/non_idempotent/x", "/idempotent/x", "/stream/x", "/resumable_stream/x"]
                [path % 4];
            let actions =
                part.iter().map(|text| vec![Action::AnswerAndClose(text.clone()); MAX_CALLS]);
            let harness = Harness::start(actions.collect());
            let are_all_asked = || harness.endpoints.iter().all(|e| e.requests() > 0);
            let mut calls = 0;
            while !are_all_asked() {
                check(&harness.call(path), path);
                calls += 1;
                assert!(calls < MAX_CALLS, "{path}: not all parts are sent in {calls} calls");
                thread::sleep(CALL_INTERVAL);
            }
        }
    }
}

/// The same in a tunnel: the end of the endpoint's connection closes the tunnel in order.
#[test]
fn an_answer_that_ends_in_its_head_is_a_failure_in_a_tunnel() {
    for extra in HEADS {
        let text = head(extra);
        let ends = [1, 9, 15, 17, 19, text.len() - 1, text.len() - 2, text.len() - 3];
        for length in ends {
            let part = text[..length].to_owned();
            let helper = Harness::start(vec![vec![Action::AnswerAndClose(part); 9]]);
            let cut_off = Harness::start(vec![Vec::new()]);
            let dead = DeadAddress::new(ConnectFailure::Refused);
            let (entry, address) = (helper.name.clone(), helper.peer_address);
            *cut_off.relays.lock() = vec![RelayOffer { entry, domain: "a".into(), address }];
            *cut_off.facts.lock() = vec![EndpointFact { sequence: 2, ..fact(0, dead.address) }];
            cut_off.wait_until_facts_applied();
            // A busy helper may open the tunnel too late, and the call is not sent.
            let mut calls = 0;
            while helper.endpoints[0].requests() == 0 {
                check(&cut_off.call("/stream/x"), &format!("{length} bytes of {text}"));
                calls += 1;
                assert!(calls < MAX_CALLS, "{length} bytes of {text}: never sent");
                thread::sleep(CALL_INTERVAL);
            }
            assert_eq!(helper.endpoints[0].requests(), 1, "{length} bytes of {text}");
        }
    }
}

/// The same where another endpoint resumes a stream: the caller has a part, and must not take it for the
/// whole.
#[test]
fn a_stream_whose_resumption_ends_in_its_head_is_incomplete() {
    let first = format!("{}8\r\nid: 1\n\n\n\r\n", head(HEADS[1]));
    let text = head(HEADS[1]);
    for length in [1, 9, 17, 40, text.len() - 2, text.len() - 1] {
        let may_close = Arc::<AtomicBool>::default();
        let begin = vec![Action::AnswerAndCloseWhen(first.clone(), may_close.clone())];
        let parts = vec![Action::AnswerAndClose(text[..length].to_owned()); 9];
        let harness = Harness::start_with_hidden(vec![begin, parts]);
        let address = harness.address;
        let caller = thread::spawn(move || exchange(address, &request("/resumable_stream/x", "")));
        while harness.endpoints[0].requests() == 0 {
            thread::sleep(CALL_INTERVAL);
        }
        harness.announce_departure_and_last(Millis(10_000));
        harness.wait_until_facts_applied();
        may_close.store(true, Ordering::Relaxed);
        let got = caller.join().expect("the caller gets an answer");
        assert_eq!((got.status, got.is_complete), (200, false), "{length}: {}", got.head);
        assert_eq!(String::from_utf8_lossy(&got.body), "id: 1\n\n\n", "{length}");
        assert_eq!(harness.endpoints[1].requests(), 1, "{length}: it is resumed");
    }
}
