//! Answers that go on without end, and large bodies.

#[allow(dead_code)] // The tests of endless answers use a part of it.
mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sill_base::Millis;
use support::{
    Action, CallerResponse, Endpoint, Harness, KEY, answer_of, exchange, head, lines, request_as,
};

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

const FIRST: &str = "id: 1\ndata: a\n\n";
const REST: &str = "id: 2\ndata: b\n\n";

/// Upper bound on an event: that of a body, as the settings name none.
const MAX_EVENT: usize = 4 << 20;

/// Bytes that are read ahead of an event's bound.
const READ_AHEAD: usize = 64 << 10;

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn whole(events: &str) -> Action {
    Action::Answer(format!("{}{}0\r\n\r\n", head(CHUNKED), chunk(events)))
}

fn looks_complete(got: &CallerResponse) -> bool {
    got.status == 200 && got.is_complete
}

/// Sends a call, and lets its endpoint go on without end once the other endpoint is known.
fn call_with_other(harness: &Harness, id: &str, path: &str, flag: &AtomicBool) -> CallerResponse {
    let (address, text) = (harness.address, request_as(id, path, "sill-deadline-ms: 3000\r\n"));
    let caller = thread::spawn(move || exchange(address, &text));
    while harness.endpoints[0].requests() == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    harness.announce_last();
    harness.wait_until_facts_applied();
    flag.store(true, Ordering::Relaxed);
    caller.join().expect("the caller gets an answer")
}

/// An event without end would take up the memory of the instance, or its caller would wait in vain.
#[test]
fn a_stream_whose_event_has_no_end_goes_on_at_another_endpoint() {
    struct Case {
        name: &'static str,
        first: &'static str,
        part: String,
    }
    lines::capture();
    let line = "x".repeat(1 << 10);
    let long_id = format!("id: {}", "7".repeat(20 << 20));
    let case = |name, first, part| Case { name, first, part };
    let cases = [
        case("a line of the first event", "", "\u{a5}".repeat(32 << 10)),
        case("a line after an event", FIRST, "\u{a5}".repeat(32 << 10)),
        case("lines", FIRST, format!("data: {line}\n").repeat(64)),
        case("lines and comments", FIRST, format!("data: {line}\n: {line}\n").repeat(32)),
        case("an id", FIRST, long_id),
    ];
    for framing in [EVENT_STREAM, CHUNKED] {
        for (number, Case { name, first, part }) in cases.iter().enumerate() {
            let is_chunked = framing == CHUNKED;
            let frame = |text: &str| if is_chunked { chunk(text) } else { text.to_owned() };
            let begun = if first.is_empty() { String::new() } else { frame(first) };
            let may_go_on = Arc::<AtomicBool>::default();
            let endless = Action::AnswerWithoutEnd(
                format!("{}{begun}", head(framing)),
                may_go_on.clone(),
                frame(part),
            );
            let rest = if first.is_empty() { format!("{FIRST}{REST}") } else { REST.to_owned() };
            let harness = Harness::start_with_hidden(vec![vec![endless], vec![whole(&rest)]]);
            let id = format!("endless-{number}-{is_chunked}");
            let got = call_with_other(&harness, &id, "/resumable_stream/x", &may_go_on);
            assert!(looks_complete(&got), "{name}, {framing}: {}", got.head);
            assert_eq!(String::from_utf8_lossy(&got.body), format!("{FIRST}{REST}"), "{name}");
            let lines = lines::of_call(&id);
            let ended = lines.iter().find(|line| line.starts_with("event=event_not_held "));
            let held = ended.map(|line| lines::value(line, "held_bytes").parse::<usize>());
            let held = held.expect("a line").expect("a number");
            assert!((MAX_EVENT..=MAX_EVENT + READ_AHEAD).contains(&held), "{name}: {held}");
            assert_eq!(harness.state().buffers.used(), 0, "{name}");
        }
    }
}

/// A bound on what is held back would cut sound streams with larger events.
#[test]
fn a_stream_with_a_large_event_goes_through() {
    struct Case {
        bytes: usize,
        budget: usize,
        path: &'static str,
    }
    let case = |bytes, budget, path| Case { bytes, budget, path };
    let cases = [
        case(MAX_EVENT - (64 << 10), 64 << 20, "/resumable_stream/x"),
        // No other endpoint can be asked.
        case(2 * MAX_EVENT, 64 << 20, "/resumable_stream/x"),
        case(2 * MAX_EVENT, 64 << 20, "/stream/x"),
        // There is no memory to hold it back.
        case(1 << 20, 0, "/resumable_stream/x"),
        case(1 << 20, 0, "/stream/x"),
    ];
    for Case { bytes, budget, path } in cases {
        let events = format!("{FIRST}id: 2\ndata: {}\n\nid: 3\ndata: c\n\n", "b".repeat(bytes));
        let harness = Harness::start_with_buffer(budget, vec![vec![whole(&events)]]);
        let got = harness.call(path);
        assert!(looks_complete(&got), "{bytes} at {path}: {}", got.head);
        assert!(got.body == events.as_bytes(), "{bytes} at {path}: another body");
    }
}

/// Another endpoint would repeat an event of which the caller has a part, or join it with the next.
#[test]
fn a_stream_is_not_resumed_inside_an_event_that_was_forwarded_in_part() {
    let part = format!("{}{FIRST}id: 2\ndata: {}", head(EVENT_STREAM), "b".repeat(1 << 20));
    let actions = vec![vec![Action::AnswerAndClose(part)], vec![whole(REST)]];
    let harness = Harness::start_with_buffer(0, actions);
    let got = loop {
        let got = harness.call("/resumable_stream/x");
        if harness.endpoints[0].requests() > 0 {
            break got;
        }
    };
    assert!(!looks_complete(&got), "{}", got.head);
    assert!(got.body.starts_with(format!("{FIRST}id: 2\ndata: b").as_bytes()));
    let text = String::from_utf8_lossy(&got.body);
    assert_eq!(text.matches("id: ").count(), 2, "an event follows the part of another");
}

/// Large bodies of many callers would take the instance over its memory.
#[test]
fn bodies_for_which_there_is_no_memory_are_refused_as_not_run() {
    let answers = vec![Action::Answer(answer_of("ok")); 4];
    let harness = Harness::start_with_buffer(1 << 20, vec![answers]);
    let send = |bytes: usize| {
        let head = format!(
            "POST /idempotent/x HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer {KEY}\r\n\
             sill-request-id: b-{bytes}\r\ncontent-length: {bytes}\r\nconnection: close\r\n\r\n"
        );
        let mut stream = TcpStream::connect(harness.address).expect("the instance accepts");
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&vec![b'x'; bytes]);
        let mut got = Vec::new();
        let _ = stream.read_to_end(&mut got);
        String::from_utf8_lossy(&got).to_lowercase()
    };
    let refused = send(3 << 20);
    assert!(refused.starts_with("http/1.1 503"), "{refused}");
    assert!(
        refused.contains("sill-not-run: true") && refused.contains("retry-after: "),
        "{refused}"
    );
    for bytes in [512 << 10, 16 << 10] {
        assert!(send(bytes).starts_with("http/1.1 200"), "{bytes} bytes");
    }
    assert_eq!(harness.endpoints.iter().map(Endpoint::requests).sum::<usize>(), 2);
    assert_eq!(harness.state().buffers.used(), 0);
}

/// The reply of an engine that is asked to copy a run would take up the memory of the instance.
#[test]
fn a_reply_without_end_to_a_copy_request_is_not_read_on() {
    lines::capture();
    let runs = format!("{}{}", head(CHUNKED), chunk(FIRST));
    let endless = Action::AnswerWithoutEnd(
        "HTTP/1.1 200 OK\r\n\r\n".to_owned(),
        Arc::new(AtomicBool::new(true)),
        "x".repeat(32 << 10),
    );
    let old_engine = vec![Action::AnswerAndCloseLater(runs, Duration::from_millis(1500)), endless];
    let harness = Harness::start_with_hidden(vec![old_engine, Vec::new()]);
    let (address, text) = (harness.address, request_as("copied", "/stream/x", ""));
    let caller = thread::spawn(move || exchange(address, &text));
    while harness.endpoints[0].requests() == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    harness.announce_departure_and_last(Millis(1300));
    caller.join().expect("the caller gets an answer");
    let lines = lines::of_call("copied");
    let not_moved = lines.iter().find(|line| line.starts_with("event=run_not_moved "));
    let line = not_moved.expect("the copy is given up");
    assert!(line.contains("length limit exceeded"), "{line}");
}
