//! What callers receive, and what the log says, of calls that are open at the end of a stop.

#[allow(dead_code)] // The tests of the end use a part of it.
mod support;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use sill_base::Millis;
use sill_gateway::termination::MAX_LINES_PER_OUTCOME;
use support::lines::{self, value};
use support::{
    Act, Got, World, answer_of, exchange, head, not_run, request_as, wait_until_ready_is,
};

/// Time from the stop signal to the end in these tests.
const LIMIT: Millis = Millis(700);

/// Longer than any stop in these tests.
const LONG: Duration = Duration::from_secs(20);

const STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends a call, and returns once an endpoint received it.
fn begin(world: &World, path: &str, id: &str) -> JoinHandle<Got> {
    begin_with(world, path, id, "")
}

fn begin_together(world: &World, path: &str, id: &str, count: usize) -> Vec<JoinHandle<Got>> {
    let runs = || world.endpoints.iter().map(|endpoint| endpoint.requests()).sum::<usize>();
    let (all, address, text) = (runs() + count, world.address, request_as(id, path, ""));
    let call = |_| {
        let text = text.clone();
        thread::spawn(move || exchange(address, &text))
    };
    let callers: Vec<_> = (0..count).map(call).collect();
    while runs() < all {
        assert!(!callers.iter().any(JoinHandle::is_finished), "one was refused");
        thread::sleep(Duration::from_millis(2));
    }
    callers
}

/// Starts a stop, and returns once the readiness check fails.
fn begin_to_stop(mut world: World) -> JoinHandle<World> {
    let ready_address = world.ready_address;
    let stop = thread::spawn(move || {
        world.stop();
        world
    });
    wait_until_ready_is(503, ready_address);
    stop
}

fn begin_with(world: &World, path: &str, id: &str, extra: &str) -> JoinHandle<Got> {
    let runs = || world.endpoints.iter().map(|endpoint| endpoint.requests()).sum::<usize>();
    let (before, address, text) = (runs(), world.address, request_as(id, path, extra));
    let caller = thread::spawn(move || exchange(address, &text));
    while runs() == before {
        assert!(!caller.is_finished(), "refused: {:?}", caller.join());
        thread::sleep(Duration::from_millis(2));
    }
    caller
}

/// Returns whether the connection of a hanging endpoint is closed within half a second.
fn is_told_to_stop(world: &World) -> bool {
    (0..50).any(|_| {
        thread::sleep(Duration::from_millis(10));
        *world.endpoints[0].left.lock() == 1
    })
}

/// A stream is longer than the time that an entry instance has for its stop, and is cut in the
/// middle. Its caller reports an id. Without a log line for it a stop could not be told from a
/// broken endpoint.
#[test]
fn the_log_tells_which_answers_a_stop_cut() {
    lines::keep();
    let part = format!("{}{}", head(STREAM), chunk("id: 1\ndata: a\n\n"));
    let mut world = World::stopping_within(LIMIT, vec![vec![Act::AnswerAndCloseLater(part, LONG)]]);
    let caller = begin(&world, "/stream/x", "cut-1");
    thread::sleep(Duration::from_millis(100));
    world.stop();
    let got = caller.join().expect("an answer");
    assert!(got.status == 200 && !got.is_whole, "{got:?}");
    let told = lines::of_call("cut-1");
    assert_eq!(told.len(), 1, "{told:?}");
    assert_eq!(value(&told[0], "outcome"), "cut_by_stop", "{told:?}");
    assert_eq!(value(&told[0], "endpoint"), "e0", "{told:?}");
    assert_eq!(value(&lines::of_stop(&world.name), "cut"), "1");
}

/// Calls still wait for the first byte of their answers when the time of a stop is up. If their
/// connections just ended with the process, callers could not know whether their calls had run, nor
/// engineers why they got no answer. They may have run, so no response may say that they have not.
#[test]
fn what_waits_at_the_end_of_a_stop_is_answered() {
    struct Case {
        id: &'static str,
        path: &'static str,
        act: Act,
    }
    let stream_begins = Act::AnswerAndCloseLater(head(STREAM), LONG);
    let cases = [
        Case { id: "waits-1", path: "/non_idempotent/x", act: Act::Hang },
        Case { id: "waits-2", path: "/idempotent/x", act: Act::Hang },
        Case { id: "waits-3", path: "/stream/x", act: Act::Hang },
        Case { id: "waits-4", path: "/stream/x", act: stream_begins },
    ];
    lines::keep();
    for case in cases {
        let hangs = matches!(case.act, Act::Hang);
        let mut world = World::stopping_within(LIMIT, vec![vec![case.act]]);
        let caller = begin(&world, case.path, case.id);
        world.stop();
        let got = caller.join().expect("an answer");
        assert_eq!((got.status, got.is_whole), (502, true), "{}", case.id);
        let head = got.head.to_lowercase();
        assert!(!head.contains("sill-not-run") && head.contains("connection: close"), "{head}");
        let told = lines::of_call(case.id);
        assert_eq!(told.len(), 1, "{told:?}");
        assert_eq!(value(&told[0], "outcome"), "failed_by_stop", "{told:?}");
        assert_eq!(value(&lines::of_stop(&world.name), "failed"), "1");
        assert_eq!(world.endpoints[0].requests(), 1, "{}: sent again", case.id);
        assert!(!hangs || is_told_to_stop(&world), "{}: the endpoint still works on it", case.id);
    }
}

/// A caller is still sending its request when the time of a stop is up. No part of it was sent to
/// an endpoint, so the response must say that it has not run, and the caller can retry elsewhere.
#[test]
fn a_request_that_is_not_whole_at_the_end_of_a_stop_has_not_run() {
    lines::keep();
    let mut world = World::stopping_within(LIMIT, vec![vec![Act::Hang]]);
    let text = request_as("half", "/idempotent/x", "").replace("\r\n\r\nbody", "\r\n\r\nbo");
    let address = world.address;
    let caller = thread::spawn(move || exchange(address, &text));
    thread::sleep(Duration::from_millis(100));
    world.stop();
    let got = caller.join().expect("an answer");
    let head = got.head.to_lowercase();
    assert_eq!(got.status, 503);
    for part in ["sill-not-run: true", "retry-after: ", "connection: close"] {
        assert!(head.contains(part), "{part} in {head}");
    }
    assert_eq!(value(&lines::of_call("half")[0], "why"), "stopping");
    assert_eq!(value(&lines::of_stop(&world.name), "refused"), "1");
    assert_eq!(world.endpoints[0].requests(), 0);
}

/// An endpoint fails a call while the entry instance stops, and another attempt could outlast the
/// process: the caller would lose a retry at another entry instance, or see a stream cut. It must
/// get a response at once that says whether the call may have run. If the caller's deadline is
/// before the end of the process, the call is still retried.
#[test]
fn an_attempt_that_would_outlast_the_process_is_not_begun() {
    struct Case {
        name: &'static str,
        path: &'static str,
        extra: &'static str,
        /// What the endpoint does once the entry instance stops.
        act: fn(Arc<AtomicBool>) -> Act,
        status: u16,
        sends: usize,
    }
    const FAILURE: &str =
        "HTTP/1.1 500 Internal Server Error\r\nsill-request-id: {id}\r\ncontent-length: 0\r\n\r\n";
    let refuses: fn(_) -> _ = |when| Act::AnswerWhen(not_run("503 Service Unavailable"), when);
    let breaks: fn(_) -> _ = |when| Act::AnswerAndCloseWhen(String::new(), when);
    let breaks_early: fn(_) -> _ = |when| Act::AnswerAndCloseWhen(head(STREAM), when);
    let fails: fn(_) -> _ = |when| Act::AnswerWhen(FAILURE.to_owned(), when);
    let case = |name, path, act, status| Case { name, path, extra: "", act, status, sends: 1 };
    let in_time = "sill-deadline-ms: 4000\r\n";
    let cases = [
        case("refused by an endpoint", "/non_idempotent/x", refuses, 503),
        case("may have run", "/idempotent/x", breaks, 502),
        case("has failed", "/idempotent/x", fails, 500),
        case("no first event", "/resumable_stream/x", breaks_early, 502),
        Case { extra: in_time, sends: 2, ..case("in time", "/idempotent/x", refuses, 200) },
    ];
    for case in cases {
        let whole = Act::Answer(answer_of("whole"));
        let stops = Arc::<AtomicBool>::default();
        let acts = vec![vec![(case.act)(stops.clone())], vec![whole]];
        let world = World::start_with_hidden(acts);
        let caller = begin_with(&world, case.path, "again", case.extra);
        world.show_last();
        world.wait_until_told();
        let stop = begin_to_stop(world);
        stops.store(true, Ordering::Relaxed);
        let got = caller.join().expect("an answer");
        let world = stop.join().expect("it stops");
        let sends: usize = world.endpoints.iter().map(|endpoint| endpoint.requests()).sum();
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
fn a_stream_that_has_begun_is_resumed_during_a_stop() {
    let first = format!("{}{}", head(STREAM), chunk("id: 1\ndata: a\n\n"));
    let rest = format!("{}{}0\r\n\r\n", head(STREAM), chunk("id: 2\ndata: b\n\n"));
    let stops = Arc::<AtomicBool>::default();
    let crashes = Act::AnswerAndCloseWhen(first, stops.clone());
    let world = World::start_with_hidden(vec![vec![crashes], vec![Act::Answer(rest)]]);
    let caller = begin(&world, "/resumable_stream/x", "goes-on");
    world.show_last();
    world.wait_until_told();
    let stop = begin_to_stop(world);
    stops.store(true, Ordering::Relaxed);
    let got = caller.join().expect("an answer");
    stop.join().expect("it stops");
    assert_eq!(String::from_utf8_lossy(&got.body), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert!(got.is_whole);
}

/// The engine of a stream is reclaimed, but the entry instance ends before the engine does. A
/// migration could not save the stream, and would delay the migrations of runs of other entry
/// instances at the engine.
#[test]
fn a_run_that_ends_with_the_process_is_not_moved() {
    let part = format!("{}{}", head(STREAM), chunk("id: 1\ndata: a\n\n"));
    let copied = || Act::Answer("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nh1".to_owned());
    let old = vec![Act::AnswerAndCloseLater(part, LONG), copied(), copied()];
    lines::keep();
    let acts = vec![old, vec![Act::Hang]];
    let limit = Millis(2000);
    let world = World::stopping_within_with_hidden(limit, acts);
    let caller = begin(&world, "/stream/x", "stays");
    let facts = world.facts.clone();
    let leaving = world.first_leaves_in(limit);
    let stop = begin_to_stop(world);
    // The stop starts before the entry instance receives this, so it ends before the engine does.
    *facts.lock() = leaving;
    let got = caller.join().expect("an answer");
    let world = stop.join().expect("it stops");
    assert_eq!((got.status, got.is_whole), (200, false));
    assert_eq!(world.endpoints[0].requests(), 1, "its memory was copied");
    assert_eq!(value(&lines::of_call("stays")[0], "outcome"), "cut_by_stop");
}

/// The time of a stop is up with hundreds of streams open. A log line for each would take the
/// little time left from those that have not been ended yet, so further ones are only counted.
#[test]
fn the_lines_on_cut_answers_have_a_bound() {
    lines::keep();
    let count = MAX_LINES_PER_OUTCOME + 20;
    let part = format!("{}{}", head(STREAM), chunk("id: 1\ndata: a\n\n"));
    let acts = vec![Act::AnswerAndCloseLater(part, LONG); count];
    let mut world = World::stopping_within(LIMIT, vec![acts]);
    let mut callers = Vec::new();
    // Engines have a limited number of slots; one call after the other would let the first ones
    // reach their deadlines.
    while callers.len() < count {
        callers.extend(begin_together(&world, "/stream/x", "many", 8));
    }
    world.stop();
    let cut = callers.into_iter().map(|caller| caller.join().expect("an answer"));
    assert_eq!(cut.filter(|got| !got.is_whole).count(), count);
    assert_eq!(lines::of_call("many").len(), MAX_LINES_PER_OUTCOME);
    let told = lines::of_stop(&world.name);
    let number = |key: &str| value(&told, key).parse::<usize>().expect("a number");
    assert_eq!((number("cut"), number("without_line")), (count, 20), "{told}");
}

/// A caller has stopped reading in the middle of a long answer, so the server doesn't poll the
/// answer and it never sees the end of the stop. Its line is logged when it is dropped with the
/// process, and must not say that the caller left.
#[test]
fn an_answer_that_nobody_reads_is_told_as_cut() {
    lines::keep();
    let length = 32 << 20;
    let answer =
        format!("{}{}", head(&format!("content-length: {length}\r\n")), "x".repeat(length));
    let mut world =
        World::stopping_within(LIMIT, vec![vec![Act::AnswerAndCloseLater(answer, LONG)]]);
    let mut caller = TcpStream::connect(world.address).expect("it listens");
    let text = request_as("unread", "/idempotent/x", "");
    caller.write_all(text.as_bytes()).expect("it is read");
    // The endpoint needs some time for an answer of this size; until a part of it arrives, the call
    // would count as waiting for its first byte.
    caller.peek(&mut [0]).expect("the answer begins");
    world.stop();
    drop(world);
    let told = lines::of_call("unread");
    assert_eq!(told.len(), 1, "{told:?}");
    assert_eq!(value(&told[0], "outcome"), "cut_by_stop", "{told:?}");
}
