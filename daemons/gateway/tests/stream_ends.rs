//! What callers receive of streams that end where their endpoint did not mean to end them.

#[allow(dead_code)] // The tests of streams use a part of it.
mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sill_base::Millis;
use support::{Action, CallerResponse, Harness, exchange, head, request};

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A stream that ends with its connection, without a length or chunks.
fn unframed(events: &str) -> Action {
    Action::AnswerAndClose(format!("{}{events}", head(EVENT_STREAM)))
}

/// A stream with a length.
fn with_length(events: &str) -> Action {
    let length = format!("{EVENT_STREAM}content-length: {}\r\n", events.len());
    Action::AnswerAndClose(format!("{}{events}", head(&length)))
}

/// A stream in chunks, with the last one.
fn chunked(events: &str) -> Action {
    Action::AnswerAndClose(format!("{}{}0\r\n\r\n", head(CHUNKED), chunk(events)))
}

/// A stream of an endpoint that speaks HTTP/1.0 and ends all answers with their connections.
fn of_old_version(events: &str) -> Action {
    let head = head(EVENT_STREAM).replace("HTTP/1.1", "HTTP/1.0");
    Action::AnswerAndClose(format!("{head}{events}"))
}

/// Returns whether the caller can take the answer for a complete one.
fn looks_complete(got: &CallerResponse) -> bool {
    got.status == 200 && got.is_complete
}

/// An endpoint breaks off its stream by closing the connection in order. If the entry instance took
/// any clean end for the end of the stream, the caller would take a part of a report for all of it.
#[test]
fn a_stream_that_ends_inside_an_event_is_incomplete_for_the_caller_too() {
    struct Case {
        name: &'static str,
        stream: &'static str,
        /// The events that a caller of a stream that may be resumed elsewhere receives.
        events: &'static str,
    }
    let cases = [
        Case {
            name: "within a line",
            stream: "id: 1\ndata: a\n\nid: 2\nda",
            events: "id: 1\ndata: a\n\n",
        },
        Case {
            name: "without the blank line",
            stream: "id: 1\ndata: a\n\nid: 2\ndata: b\n",
            events: "id: 1\ndata: a\n\n",
        },
        Case {
            name: "between CR and LF",
            stream: "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r",
            events: "id: 1\r\ndata: a\r\n\r\n",
        },
        Case { name: "CR", stream: "id: 1\r\rid: 2\rdata: b\r", events: "id: 1\r\r" },
        Case { name: "within the first event", stream: "id: 1\ndata: a", events: "" },
    ];
    for case in cases {
        for frame in [unframed, with_length, chunked, of_old_version] {
            for path in ["/stream/x", "/resumable_stream/x"] {
                let harness = Harness::start(vec![vec![frame(case.stream)]]);
                let got = harness.call(path);
                let name = format!("{} at {path}: {}", case.name, got.head);
                assert!(!looks_complete(&got), "the truncated stream looks complete, {name}");
                if case.events.is_empty() {
                    assert_eq!(got.status, 502, "{name}");
                    assert!(!got.head.contains("sill-not-run"), "{name}");
                } else {
                    assert_eq!(String::from_utf8_lossy(&got.body), case.events, "{name}");
                }
            }
        }
    }
}

/// A caller that speaks HTTP/1.0 takes an orderly close for the end of its answer, as there are no
/// chunks. A truncated answer must end with a reset.
#[test]
fn a_truncated_answer_is_reset_for_a_caller_without_chunks() {
    let cut = format!("{}id: 1\ndata: a\n\nid: 2\nda", head(EVENT_STREAM));
    let whole = "id: 1\ndata: a\n\n";
    for (action, is_complete) in [(Action::AnswerAndClose(cut), false), (unframed(whole), true)] {
        let harness = Harness::start(vec![vec![action]]);
        let mut stream = TcpStream::connect(harness.address).expect("the instance accepts");
        let text = request("/stream/x", "").replace("HTTP/1.1", "HTTP/1.0");
        stream.write_all(text.as_bytes()).expect("the peer reads the bytes");
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        assert_eq!(read.is_ok(), is_complete, "{read:?}: {}", String::from_utf8_lossy(&answer));
    }
}

/// An endpoint ends after the head of a stream. An empty answer with status 200 would tell the
/// caller that the model had nothing to say.
#[test]
fn a_stream_that_ends_with_its_connection_before_its_first_event_is_a_failure() {
    for stream in ["", ": alive\n\n", "\u{feff}"] {
        for path in ["/stream/x", "/resumable_stream/x"] {
            let harness = Harness::start(vec![vec![unframed(stream)]]);
            let got = harness.call(path);
            assert!(!looks_complete(&got), "{path} {stream:?}: {}", got.head);
        }
    }
}

/// An answer without a body has no events. If it were judged as a stream, it would never be complete.
#[test]
fn an_answer_without_a_body_is_not_judged_as_a_stream() {
    let no_content = head(EVENT_STREAM).replace("200 OK", "204 No Content");
    let zero_length = head(&format!("{EVENT_STREAM}content-length: 0\r\n"));
    for (answer, status) in [(no_content, "204"), (zero_length, "200")] {
        for path in ["/stream/x", "/resumable_stream/x"] {
            let harness = Harness::start(vec![vec![Action::AnswerAndClose(answer.clone())]]);
            let mut stream = TcpStream::connect(harness.address).expect("the instance accepts");
            let text = request(path, "connection: close\r\n");
            stream.write_all(text.as_bytes()).expect("the peer reads the bytes");
            let mut got = String::new();
            stream.read_to_string(&mut got).expect("an answer");
            assert!(got.starts_with(&format!("HTTP/1.1 {status}")), "{path}: {got}");
            assert!(got.ends_with("\r\n\r\n"), "{path}: {got}");
        }
    }
}

/// A stream without a length or chunks is whole if it ends between two events; none may be lost.
#[test]
fn a_whole_stream_is_whole_for_the_caller_whatever_its_framing() {
    let streams = [
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
        "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
        "\u{feff}: alive\nid: 1\ndata: a\n\n: bye\n",
    ];
    for stream in streams {
        for frame in [unframed, with_length, chunked, of_old_version] {
            for path in ["/stream/x", "/resumable_stream/x"] {
                let harness = Harness::start(vec![vec![frame(stream)]]);
                let got = harness.call(path);
                assert!(looks_complete(&got), "{path} {stream:?}: {}", got.head);
                assert_eq!(String::from_utf8_lossy(&got.body), stream, "{path}");
            }
        }
    }
}

/// A stream that may be resumed breaks off with an orderly close. Another endpoint must continue it
/// without a gap or a repeat, and the end of the resumed stream is judged in the same way.
#[test]
fn a_stream_that_ends_inside_an_event_is_resumed_at_another_endpoint() {
    struct Case {
        rest: &'static str,
        body: &'static str,
        is_complete: bool,
    }
    let cases = [
        Case {
            rest: "id: 2\ndata: b\n\n",
            body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            is_complete: true,
        },
        Case {
            rest: "id: 2\ndata: b\n\nid: 3\n",
            body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
            is_complete: false,
        },
        Case { rest: "", body: "id: 1\ndata: a\n\n", is_complete: false },
    ];
    for case in cases {
        let has_failed = Arc::<AtomicBool>::default();
        let first = format!("{}id: 1\ndata: a\n\nid: 2\nda", head(EVENT_STREAM));
        let first = vec![Action::AnswerAndCloseWhen(first, has_failed.clone())];
        let harness = Harness::start_with_hidden(vec![first, vec![unframed(case.rest)]]);
        let address = harness.address;
        let caller = thread::spawn(move || exchange(address, &request("/resumable_stream/x", "")));
        while harness.endpoints[0].requests() == 0 {
            thread::sleep(Duration::from_millis(10));
        }
        harness.announce_departure_and_last(Millis(10_000));
        harness.wait_until_facts_applied();
        has_failed.store(true, Ordering::Relaxed);
        let got = caller.join().expect("the caller gets an answer");
        assert_eq!(String::from_utf8_lossy(&got.body), case.body, "rest {:?}", case.rest);
        assert_eq!(looks_complete(&got), case.is_complete, "rest {:?}", case.rest);
        let resumed = harness.endpoints[1].request_log.lock()[0].headers.clone();
        assert!(resumed.contains(&"last-event-id: 1".to_owned()), "{resumed:?}");
    }
}

/// An endpoint crashes between two events of a stream whose end only the close of its connection
/// marks. The close looks like that of a complete stream; that the endpoint is gone tells it apart.
#[test]
fn a_stream_without_a_marked_end_is_incomplete_if_its_endpoint_has_ended() {
    let event = "id: 1\ndata: a\n\n";
    for answer in [EVENT_STREAM, "content-type: text/plain\r\n"] {
        for path in ["/stream/x", "/resumable_stream/x"] {
            let ends = Action::AnswerAndEnd(format!("{}{event}", head(answer)));
            let harness = Harness::start(vec![vec![ends]]);
            let got = harness.call(path);
            assert!(!looks_complete(&got), "{answer:?} at {path}: {}", got.head);
            assert_eq!(String::from_utf8_lossy(&got.body), event, "{answer:?} at {path}");
        }
    }
}

/// An engine stops a run to migrate it, and closes the stream in order between two events before
/// the copy is complete. The caller must get the rest from the other engine.
#[test]
fn a_run_that_was_stopped_for_its_migration_is_not_complete() {
    let runs = format!("{}id: 1\ndata: a\n\n", head(EVENT_STREAM));
    let copied = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1".to_owned();
    let stopped = Arc::<AtomicBool>::default();
    let old_engine = vec![
        Action::AnswerAndCloseWhen(runs, stopped.clone()),
        Action::Answer(copied.clone()),
        Action::AnswerLater(copied, Duration::from_millis(300)),
    ];
    let new_engine =
        vec![Action::Answer(format!("{}{}0\r\n\r\n", head(CHUNKED), chunk("id: 2\ndata: b\n\n")))];
    let harness = Harness::start_with_hidden(vec![old_engine, new_engine]);
    let address = harness.address;
    let caller = thread::spawn(move || exchange(address, &request("/stream/x", "")));
    while harness.endpoints[0].requests() == 0 {
        thread::sleep(Duration::from_millis(10));
    }
    harness.announce_departure_and_last(Millis(1300));
    // The second copy stops the run.
    while harness.endpoints[0].requests() < 3 {
        thread::sleep(Duration::from_millis(5));
    }
    stopped.store(true, Ordering::Relaxed);
    let got = caller.join().expect("the caller gets an answer");
    assert!(looks_complete(&got), "{}", got.head);
    assert_eq!(String::from_utf8_lossy(&got.body), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

/// A run with an unusable event id was stopped for its migration, and its stream looked complete.
#[test]
fn a_stopped_run_that_can_not_be_continued_is_not_complete() {
    let runs = format!("{}id: 1\t1\ndata: a\n\n", head(EVENT_STREAM));
    let copied = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1".to_owned();
    let stopped = Arc::<AtomicBool>::default();
    let old_engine = vec![
        Action::AnswerAndCloseWhen(runs, stopped.clone()),
        Action::Answer(copied.clone()),
        Action::Answer(copied),
    ];
    let mut harness = Harness::start_with_hidden(vec![old_engine, vec![Action::Hang]]);
    let metrics = harness.state().metrics.clone();
    let (address, text) = (harness.address, request("/stream/x", "sill-deadline-ms: 3000\r\n"));
    let caller = thread::spawn(move || exchange(address, &text));
    while harness.endpoints[0].requests() == 0 {
        thread::sleep(Duration::from_millis(10));
    }
    harness.announce_departure_and_last(Millis(1300));
    // The second copy stops the run.
    while harness.endpoints[0].requests() < 3 {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(200));
    stopped.store(true, Ordering::Relaxed);
    let got = caller.join().expect("the caller gets an answer");
    assert!(!looks_complete(&got), "{}", got.head);
    harness.stop();
    assert_eq!(metrics.incomplete_answers.with_label_values(&["run_not_moved"]).get(), 1);
}
