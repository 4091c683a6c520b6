//! What callers receive, and what the log says, of calls that are open at the end of a stop.

#[allow(dead_code)] // The tests of the end use a part of it.
mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use sill_base::Millis;
use sill_gateway::daemon::LAST_ANSWERS_TIME;
use sill_gateway::termination::MAX_LINES_PER_OUTCOME;
use support::lines::{self, value};
use support::{
    Action, CallerResponse, Harness, answer_of, exchange, head, not_run, request_as,
    try_read_answer, wait_until_ready_is,
};

/// Time from the stop signal to the end in these tests.
const LIMIT: Millis = Millis(700);

/// Time for an entry instance to admit a call, shorter than the pause for which that call waits.
const ADMISSION_TIME: Duration = Duration::from_millis(20);

/// Number of times that a call may be sent.
const MAX_SENDS: usize = 8;

/// Longer than any stop in these tests.
const LONGER_THAN_ANY_STOP: Duration = Duration::from_secs(20);

const STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends a call, and returns once an endpoint received it.
fn start_call(harness: &Harness, path: &str, id: &str) -> JoinHandle<CallerResponse> {
    start_call_with(harness, path, id, "")
}

fn start_calls(
    harness: &Harness,
    path: &str,
    id: &str,
    count: usize,
) -> Vec<JoinHandle<CallerResponse>> {
    let runs = || harness.endpoints.iter().map(|endpoint| endpoint.requests()).sum::<usize>();
    let (all, address, text) = (runs() + count, harness.address, request_as(id, path, ""));
    let call = |_| {
        let text = text.clone();
        thread::spawn(move || exchange(address, &text))
    };
    let callers: Vec<_> = (0..count).map(call).collect();
    while runs() < all {
        assert!(
            !callers.iter().any(JoinHandle::is_finished),
            "a call was refused before all reached an endpoint"
        );
        thread::sleep(Duration::from_millis(2));
    }
    callers
}

/// Starts a stop, and returns once the readiness check fails.
fn start_stop(mut harness: Harness) -> JoinHandle<Harness> {
    let ready_address = harness.ready_address;
    let stop = thread::spawn(move || {
        harness.stop();
        harness
    });
    wait_until_ready_is(503, ready_address);
    stop
}

fn start_call_with(
    harness: &Harness,
    path: &str,
    id: &str,
    extra: &str,
) -> JoinHandle<CallerResponse> {
    let runs = || harness.endpoints.iter().map(|endpoint| endpoint.requests()).sum::<usize>();
    let (before, address, text) = (runs(), harness.address, request_as(id, path, extra));
    let caller = thread::spawn(move || exchange(address, &text));
    while runs() == before {
        assert!(!caller.is_finished(), "refused: {:?}", caller.join());
        thread::sleep(Duration::from_millis(2));
    }
    caller
}

/// Returns whether the connection of a hanging endpoint is closed within half a second.
fn is_disconnected(harness: &Harness) -> bool {
    (0..50).any(|_| {
        thread::sleep(Duration::from_millis(10));
        *harness.endpoints[0].disconnects.lock() == 1
    })
}

/// A stream is longer than the time that an entry instance has for its stop, and is cut in the
/// middle. Its caller reports an id. Without a log line for it a stop could not be told from a
/// broken endpoint.
#[test]
fn the_log_names_the_answers_that_a_stop_cut() {
    lines::capture();
    let part = format!("{}{}", head(STREAM), chunk("id: 1\ndata: a\n\n"));
    let mut harness = Harness::start_with_stop_limit(
        LIMIT,
        vec![vec![Action::AnswerAndCloseLater(part, LONGER_THAN_ANY_STOP)]],
    );
    let caller = start_call(&harness, "/stream/x", "cut-1");
    thread::sleep(Duration::from_millis(100));
    harness.stop();
    let got = caller.join().expect("the caller gets an answer");
    assert!(got.status == 200 && !got.is_complete, "{got:?}");
    let call_lines = lines::of_call("cut-1");
    assert_eq!(call_lines.len(), 1, "{call_lines:?}");
    assert_eq!(value(&call_lines[0], "outcome"), "cut_by_stop", "{call_lines:?}");
    assert_eq!(value(&call_lines[0], "endpoint"), "e0", "{call_lines:?}");
    assert_eq!(value(&lines::of_stop(&harness.name), "cut"), "1");
}

/// Calls still wait for the first byte of their answers when the time of a stop is up. If their
/// connections just ended with the process, callers could not know whether their calls had run, nor
/// engineers why they got no answer. They may have run, so no response may say that they have not.
#[test]
fn calls_that_wait_at_the_end_of_a_stop_get_a_failure() {
    struct Case {
        id: &'static str,
        path: &'static str,
        action: Action,
    }
    let stream_begins = Action::AnswerAndCloseLater(head(STREAM), LONGER_THAN_ANY_STOP);
    let cases = [
        Case { id: "waits-1", path: "/non_idempotent/x", action: Action::Hang },
        Case { id: "waits-2", path: "/idempotent/x", action: Action::Hang },
        Case { id: "waits-3", path: "/stream/x", action: Action::Hang },
        Case { id: "waits-4", path: "/stream/x", action: stream_begins },
    ];
    lines::capture();
    for case in cases {
        let is_hanging = matches!(case.action, Action::Hang);
        let mut harness = Harness::start_with_stop_limit(LIMIT, vec![vec![case.action]]);
        let caller = start_call(&harness, case.path, case.id);
        harness.stop();
        let got = caller.join().expect("the caller gets an answer");
        assert_eq!((got.status, got.is_complete), (502, true), "{}", case.id);
        let head = got.head.to_lowercase();
        assert!(!head.contains("sill-not-run") && head.contains("connection: close"), "{head}");
        let call_lines = lines::of_call(case.id);
        assert_eq!(call_lines.len(), 1, "{call_lines:?}");
        assert_eq!(value(&call_lines[0], "outcome"), "failed_by_stop", "{call_lines:?}");
        assert_eq!(value(&lines::of_stop(&harness.name), "failed"), "1");
        assert_eq!(
            harness.endpoints[0].requests(),
            1,
            "{}: sent to the endpoint more than once",
            case.id
        );
        assert!(
            !is_hanging || is_disconnected(&harness),
            "{}: the endpoint's connection stays open",
            case.id
        );
    }
}

/// A caller is still sending its request when the time of a stop is up. No part of it was sent to
/// an endpoint, so the response must say that it has not run, and the caller can retry elsewhere.
#[test]
fn an_incomplete_request_at_the_end_of_a_stop_is_refused_as_not_run() {
    lines::capture();
    let mut harness = Harness::start_with_stop_limit(LIMIT, vec![vec![Action::Hang]]);
    let text = request_as("half", "/idempotent/x", "").replace("\r\n\r\nbody", "\r\n\r\nbo");
    let address = harness.address;
    let caller = thread::spawn(move || exchange(address, &text));
    thread::sleep(Duration::from_millis(100));
    harness.stop();
    let got = caller.join().expect("the caller gets an answer");
    let head = got.head.to_lowercase();
    assert_eq!(got.status, 503);
    for part in ["sill-not-run: true", "retry-after: ", "connection: close"] {
        assert!(head.contains(part), "{part} in {head}");
    }
    assert_eq!(value(&lines::of_call("half")[0], "why"), "stopping");
    assert_eq!(value(&lines::of_stop(&harness.name), "refused"), "1");
    assert_eq!(harness.endpoints[0].requests(), 0);
}

/// Guards against calls that fail at the end of a stop, though they have only waited for an endpoint that had
/// asked for a short pause.
#[test]
fn a_call_that_waits_for_a_place_at_the_end_of_a_stop_is_refused_as_not_run() {
    lines::capture();
    let pause = not_run("503 Service Unavailable\r\nretry-after: 0.1");
    let limit = LAST_ANSWERS_TIME + Millis(10);
    let mut harness =
        Harness::start_with_stop_limit(limit, vec![vec![Action::Answer(pause); MAX_SENDS]]);
    let rejected = exchange(harness.address, &request_as("rejected", "/idempotent/x", ""));
    assert_eq!(rejected.status, 503);
    let mut caller = TcpStream::connect(harness.address).expect("the instance accepts connections");
    let text = request_as("pauses", "/idempotent/x", "");
    caller.write_all(text.as_bytes()).expect("the peer reads the bytes");
    thread::sleep(ADMISSION_TIME);
    harness.stop();
    let got = try_read_answer(&mut BufReader::new(caller)).expect("the caller gets an answer");
    let head = got.head.to_lowercase();
    let call_lines = lines::of_call("pauses");
    assert_eq!(got.status, 503, "{call_lines:?}");
    for part in ["sill-not-run: true", "retry-after: ", "connection: close"] {
        assert!(head.contains(part), "{part} in {head}");
    }
    // A busy instance may not have admitted it before the stop.
    let is_admitted = value(&call_lines[0], "event") == "call";
    assert!(!is_admitted || value(&call_lines[0], "outcome") == "refused", "{call_lines:?}");
    assert_eq!(value(&lines::of_stop(&harness.name), "refused"), "1");
}

/// An endpoint fails a call while the entry instance stops, and another attempt could outlast the
/// process: the caller would lose a retry at another entry instance, or see a stream cut. It must
/// get a response at once that says whether the call may have run. If the caller's deadline is
/// before the end of the process, the call is still retried.
#[test]
fn an_attempt_that_would_outlast_the_process_is_not_sent() {
    struct Case {
        name: &'static str,
        path: &'static str,
        extra: &'static str,
        /// What the endpoint does once the entry instance stops.
        action: fn(Arc<AtomicBool>) -> Action,
        status: u16,
        sends: usize,
    }
    const FAILURE: &str =
        "HTTP/1.1 500 Internal Server Error\r\nsill-request-id: {id}\r\ncontent-length: 0\r\n\r\n";
    let refuses: fn(_) -> _ = |when| Action::AnswerWhen(not_run("503 Service Unavailable"), when);
    let breaks: fn(_) -> _ = |when| Action::AnswerAndCloseWhen(String::new(), when);
    let breaks_early: fn(_) -> _ = |when| Action::AnswerAndCloseWhen(head(STREAM), when);
    let fails: fn(_) -> _ = |when| Action::AnswerWhen(FAILURE.to_owned(), when);
    let case =
        |name, path, action, status| Case { name, path, extra: "", action, status, sends: 1 };
    let in_time = "sill-deadline-ms: 4000\r\n";
    let cases = [
        case("refused by an endpoint", "/non_idempotent/x", refuses, 503),
        case("may have run", "/idempotent/x", breaks, 502),
        case("has failed", "/idempotent/x", fails, 500),
        case("no first event", "/resumable_stream/x", breaks_early, 502),
        Case { extra: in_time, sends: 2, ..case("in time", "/idempotent/x", refuses, 200) },
    ];
    for case in cases {
        let complete = Action::Answer(answer_of("whole"));
        let has_stopped = Arc::<AtomicBool>::default();
        let actions = vec![vec![(case.action)(has_stopped.clone())], vec![complete]];
        let harness = Harness::start_with_hidden(actions);
        let caller = start_call_with(&harness, case.path, "again", case.extra);
        harness.announce_last();
        harness.wait_until_facts_applied();
        let stop = start_stop(harness);
        has_stopped.store(true, Ordering::Relaxed);
        let got = caller.join().expect("the caller gets an answer");
        let harness = stop.join().expect("the entry instance stops");
        let sends: usize = harness.endpoints.iter().map(|endpoint| endpoint.requests()).sum();
        assert_eq!((got.status, sends), (case.status, case.sends), "{}: {}", case.name, got.head);
        let head = got.head.to_lowercase();
        let is_refused = case.status == 503;
        assert_eq!(head.contains("sill-not-run: true"), is_refused, "{}: {head}", case.name);
        assert_eq!(head.contains("retry-after: "), is_refused, "{}: {head}", case.name);
        // An endpoint's answer may arrive before the balancer has noticed the stop; connections are
        // kept open until then.
        let is_own = matches!(case.status, 502 | 503);
        assert!(!is_own || head.contains("connection: close"), "{}: {head}", case.name);
    }
}

/// An endpoint crashes in the middle of a resumable stream, at an entry instance that stops.
/// Without a resumption the stream would be cut at once, so it is resumed even if it might outlast
/// the process.
#[test]
fn a_stream_that_has_started_is_resumed_during_a_stop() {
    let first = format!("{}{}", head(STREAM), chunk("id: 1\ndata: a\n\n"));
    let remainder = format!("{}{}0\r\n\r\n", head(STREAM), chunk("id: 2\ndata: b\n\n"));
    let has_stopped = Arc::<AtomicBool>::default();
    let crash = Action::AnswerAndCloseWhen(first, has_stopped.clone());
    let harness = Harness::start_with_hidden(vec![vec![crash], vec![Action::Answer(remainder)]]);
    let caller = start_call(&harness, "/resumable_stream/x", "goes-on");
    harness.announce_last();
    harness.wait_until_facts_applied();
    let stop = start_stop(harness);
    has_stopped.store(true, Ordering::Relaxed);
    let got = caller.join().expect("the caller gets an answer");
    stop.join().expect("the entry instance stops");
    assert_eq!(String::from_utf8_lossy(&got.body), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert!(got.is_complete);
}

/// The engine of a stream is reclaimed, but the entry instance ends before the engine does. A
/// migration could not save the stream, and would delay the migrations of runs of other entry
/// instances at the engine.
#[test]
fn a_run_that_ends_with_the_process_is_not_moved() {
    let part = format!("{}{}", head(STREAM), chunk("id: 1\ndata: a\n\n"));
    let copied = || Action::Answer("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1".to_owned());
    let old_engine =
        vec![Action::AnswerAndCloseLater(part, LONGER_THAN_ANY_STOP), copied(), copied()];
    lines::capture();
    let actions = vec![old_engine, vec![Action::Hang]];
    let limit = Millis(2000);
    let harness = Harness::start_with_stop_limit_and_hidden(limit, actions);
    let caller = start_call(&harness, "/stream/x", "stays");
    let facts = harness.facts.clone();
    let leaving = harness.departure_facts(limit);
    let stop = start_stop(harness);
    // The stop starts before the entry instance receives this, so it ends before the engine does.
    *facts.lock() = leaving;
    let got = caller.join().expect("the caller gets an answer");
    let harness = stop.join().expect("the entry instance stops");
    assert_eq!((got.status, got.is_complete), (200, false));
    assert_eq!(
        harness.endpoints[0].requests(),
        1,
        "the engine was asked to copy the run's KV cache"
    );
    assert_eq!(value(&lines::of_call("stays")[0], "outcome"), "cut_by_stop");
}

/// The time of a stop is up with hundreds of streams open. A log line for each would take the
/// little time left from those that have not been ended yet, so further ones are only counted.
#[test]
fn the_lines_on_cut_answers_have_a_bound() {
    lines::capture();
    let count = MAX_LINES_PER_OUTCOME + 20;
    let part = format!("{}{}", head(STREAM), chunk("id: 1\ndata: a\n\n"));
    let actions = vec![Action::AnswerAndCloseLater(part, LONGER_THAN_ANY_STOP); count];
    let mut harness = Harness::start_with_stop_limit(LIMIT, vec![actions]);
    let mut callers = Vec::new();
    // Engines have a limited number of slots; one call after the other would let the first ones
    // reach their deadlines.
    while callers.len() < count {
        callers.extend(start_calls(&harness, "/stream/x", "many", 8));
    }
    harness.stop();
    let cut = callers.into_iter().map(|caller| caller.join().expect("the caller gets an answer"));
    assert_eq!(cut.filter(|got| !got.is_complete).count(), count);
    assert_eq!(lines::of_call("many").len(), MAX_LINES_PER_OUTCOME);
    let stop_line = lines::of_stop(&harness.name);
    let number = |key: &str| value(&stop_line, key).parse::<usize>().expect("a number");
    assert_eq!((number("cut"), number("without_line")), (count, 20), "{stop_line}");
}

/// A caller has stopped reading in the middle of a long answer, so the server doesn't poll the
/// answer and it never sees the end of the stop. Its line is logged when it is dropped with the
/// process, and must not say that the caller left.
#[test]
fn an_unread_answer_is_logged_as_cut_by_the_stop() {
    lines::capture();
    let length = 32 << 20;
    let answer =
        format!("{}{}", head(&format!("content-length: {length}\r\n")), "x".repeat(length));
    let mut harness = Harness::start_with_stop_limit(
        LIMIT,
        vec![vec![Action::AnswerAndCloseLater(answer, LONGER_THAN_ANY_STOP)]],
    );
    let mut caller =
        TcpStream::connect(harness.address).expect("the entry instance accepts connections");
    let text = request_as("unread", "/idempotent/x", "");
    caller.write_all(text.as_bytes()).expect("the peer reads the bytes");
    // The endpoint needs some time for an answer of this size; until a part of it arrives, the call
    // would count as waiting for its first byte.
    caller.peek(&mut [0]).expect("the answer begins");
    harness.stop();
    drop(harness);
    let call_lines = lines::of_call("unread");
    assert_eq!(call_lines.len(), 1, "{call_lines:?}");
    assert_eq!(value(&call_lines[0], "outcome"), "cut_by_stop", "{call_lines:?}");
}
