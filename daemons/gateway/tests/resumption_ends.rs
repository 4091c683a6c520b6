//! Resumptions that end without an event, and runs that are stopped, at endpoints that end.

#[allow(dead_code)] // The tests of resumptions use a part of it.
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sill_wire::link::RelayOffer;
use support::{Action, CallerResponse, Harness, exchange, head, request};

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

const FIRST: &str = "id: 1\ndata: a\n\n";

/// An answer in chunks with the last one and no event.
fn empty_in_chunks() -> String {
    format!("{}0\r\n\r\n", head(CHUNKED))
}

/// Sends a call, and runs `then` once the first endpoint has it.
fn call_and<F>(harness: &Harness, path: &'static str, extra: &str, then: F) -> CallerResponse
where
    F: FnOnce(),
{
    let (address, text) = (harness.address, request(path, extra));
    let caller = thread::spawn(move || exchange(address, &text));
    while harness.endpoints[0].requests() == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    then();
    caller.join().expect("the caller gets an answer")
}

fn text(got: &CallerResponse) -> String {
    String::from_utf8_lossy(&got.body).into_owned()
}

/// A resumption confirms that a stream is whole if nothing follows. One that its endpoint marks as ended
/// because it ends itself would confirm a short stream.
#[test]
fn a_resumption_that_ends_with_its_endpoint_confirms_no_end() {
    struct Case {
        name: &'static str,
        other: Action,
        is_complete: bool,
    }
    let cases = [
        Case {
            name: "the other endpoint ends as well",
            other: Action::AnswerAndEnd(empty_in_chunks()),
            is_complete: false,
        },
        Case {
            name: "it runs on, and closes the connection",
            other: Action::AnswerAndClose(empty_in_chunks()),
            is_complete: true,
        },
        Case { name: "it runs on", other: Action::Answer(empty_in_chunks()), is_complete: true },
    ];
    for Case { name, other, is_complete } in cases {
        let ends = Arc::<AtomicBool>::default();
        let begun = format!("{}{FIRST}", head(EVENT_STREAM));
        let first =
            Action::AnswerAndEndBitByBit(begun, ends.clone(), String::new(), Duration::ZERO);
        let harness = Harness::start_with_hidden(vec![vec![first], vec![other]]);
        let got = call_and(&harness, "/resumable_stream/x", "", || {
            harness.announce_last();
            harness.wait_until_facts_applied();
            ends.store(true, Ordering::Relaxed);
        });
        assert_eq!((got.status, text(&got).as_str()), (200, FIRST), "{name}");
        assert_eq!(harness.endpoints[1].requests(), 1, "{name}");
        assert_eq!(got.is_complete, is_complete, "{name}");
    }
}

/// The same for a stream whose path is lost, which another endpoint is asked to continue meanwhile.
#[test]
fn a_second_attempt_that_ends_with_its_endpoint_completes_no_stream() {
    struct Case {
        name: &'static str,
        other: Action,
        is_complete: bool,
    }
    let cases = [
        Case {
            name: "the other endpoint ends as well",
            other: Action::AnswerAndEnd(empty_in_chunks()),
            is_complete: false,
        },
        Case { name: "it runs on", other: Action::Answer(empty_in_chunks()), is_complete: true },
    ];
    for Case { name, other, is_complete } in cases {
        let helper = Harness::start(vec![Vec::new()]);
        let first = Action::AnswerAndFallSilent(format!("{}{FIRST}", head(EVENT_STREAM)));
        let harness = Harness::start_with_hidden(vec![vec![first], vec![other]]);
        *harness.relays.lock() = vec![RelayOffer {
            entry: helper.name.clone(),
            domain: "a".into(),
            address: helper.peer_address,
        }];
        harness.wait_until_facts_applied();
        let got = call_and(&harness, "/resumable_stream/x", "sill-deadline-ms: 6000\r\n", || {
            harness.announce_last();
        });
        assert_eq!((got.status, text(&got).as_str()), (200, FIRST), "{name}");
        assert_eq!(harness.endpoints[1].requests(), 1, "{name}");
        assert_eq!(got.is_complete, is_complete, "{name}");
    }
}
