//! Resumptions that end without an event, and runs that are stopped, at endpoints that end.

#[allow(dead_code)] // The tests of resumptions use a part of it.
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sill_base::Millis;
use sill_wire::link::RelayOffer;
use support::{Action, CallerResponse, Harness, exchange, head, request};

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

const FIRST: &str = "id: 1\ndata: a\n\n";
const WHOLE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

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

/// An engine stops a run to migrate it, and marks the end of its stream before its reply arrives. The
/// caller must get the rest from the other engine, and nothing else if the run had finished before.
#[test]
fn a_run_that_was_stopped_is_not_complete_although_its_end_is_marked() {
    struct Case {
        name: &'static str,
        reply: &'static str,
        body: &'static str,
    }
    const COPIED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1";
    const UNKNOWN: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
    let cases = [
        Case { name: "stopped", reply: COPIED, body: WHOLE },
        Case { name: "finished before", reply: UNKNOWN, body: FIRST },
    ];
    for Case { name, reply, body } in cases {
        let begun = format!("{}{}", head(CHUNKED), chunk(FIRST));
        let (stopped, end) = (Arc::<AtomicBool>::default(), "0\r\n\r\n".to_owned());
        let old_engine = vec![
            Action::AnswerInTwoAndRefuseOthersWhen(begun, stopped.clone(), Duration::ZERO, end),
            Action::Answer(COPIED.to_owned()),
            Action::AnswerLater(reply.to_owned(), Duration::from_millis(300)),
        ];
        let rest = format!("{}{}0\r\n\r\n", head(CHUNKED), chunk("id: 2\ndata: b\n\n"));
        let harness = Harness::start_with_hidden(vec![old_engine, vec![Action::Answer(rest)]]);
        let got = call_and(&harness, "/stream/x", "", || {
            harness.announce_departure_and_last(Millis(1300));
            // The second copy stops the run.
            while harness.endpoints[0].requests() < 3 {
                thread::sleep(Duration::from_millis(2));
            }
            stopped.store(true, Ordering::Relaxed);
        });
        assert!(got.status == 200 && got.is_complete, "{name}: {}", got.head);
        assert_eq!(text(&got), body, "{name}");
    }
}
