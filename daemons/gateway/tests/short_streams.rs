//! Streams that end between two events and are not whole.

#[allow(dead_code)] // The tests of short streams use a part of it.
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sill_wire::link::{EndpointFact, EndpointState};
use support::lines;
use support::{Action, CallerResponse, Harness, exchange, fact, head, not_run, request_as};

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

const FIRST: &str = "id: 1\ndata: a\n\n";
const WHOLE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// How the endpoint frames its streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Frame {
    /// Neither a length nor chunks.
    Unmarked,
    /// In chunks, and closed without the last one.
    NoLastChunk,
    /// In chunks, and closed with the last one, which comes too early.
    EarlyLastChunk,
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn begun(frame: Frame) -> String {
    match frame {
        Frame::Unmarked => format!("{}{FIRST}", head(EVENT_STREAM)),
        Frame::NoLastChunk => format!("{}{}", head(CHUNKED), chunk(FIRST)),
        Frame::EarlyLastChunk => begun(Frame::NoLastChunk),
    }
}

fn whole_in_chunks(events: &str) -> Action {
    let events = if events.is_empty() { String::new() } else { chunk(events) };
    Action::Answer(format!("{}{events}0\r\n\r\n", head(CHUNKED)))
}

/// Returns whether the caller can take the answer for a complete one.
fn looks_complete(got: &CallerResponse) -> bool {
    got.status == 200 && got.is_complete
}

fn text(got: &CallerResponse) -> String {
    String::from_utf8_lossy(&got.body).into_owned()
}

/// An entry instance with an endpoint, and another one that is only announced once a call runs.
struct System {
    harness: Harness,
}

impl System {
    fn start_with_other(first: Vec<Action>, other: Vec<Action>) -> Self {
        Self { harness: Harness::start_with_hidden(vec![first, other]) }
    }

    /// Sends a call, and lets its endpoint close the stream once all endpoints are known.
    fn call(&self, path: &str, may_close: &AtomicBool) -> CallerResponse {
        let (address, text) = (self.harness.address, request_as("r-1", path, ""));
        let caller = thread::spawn(move || exchange(address, &text));
        while self.harness.endpoints[0].requests() == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        if self.harness.endpoints.len() > 1 {
            self.harness.announce_last();
            self.harness.wait_until_facts_applied();
        }
        may_close.store(true, Ordering::Relaxed);
        caller.join().expect("the caller gets an answer")
    }
}

/// An endpoint ends and closes its connections between two events, and its listener outlives them. If
/// one connection that opens proved that it runs, the caller would get a part of a report as all of it.
#[test]
fn a_stream_of_an_endpoint_whose_listener_outlives_its_connections_is_not_whole() {
    struct Case {
        outlives: Duration,
        frame: Frame,
        path: &'static str,
        /// Whether another endpoint can continue the stream.
        has_other: bool,
        body: &'static str,
        is_complete: bool,
    }
    let mut cases = Vec::new();
    for millis in [5, 15, 40, 100, 300] {
        for frame in [Frame::Unmarked, Frame::NoLastChunk, Frame::EarlyLastChunk] {
            let case = |path, has_other, body, is_complete| {
                let outlives = Duration::from_millis(millis);
                Case { outlives, frame, path, has_other, body, is_complete }
            };
            cases.push(case("/stream/x", false, FIRST, false));
            cases.push(case("/resumable_stream/x", false, FIRST, false));
            cases.push(case("/resumable_stream/x", true, WHOLE, true));
        }
    }
    let check = |case: Case| {
        let Case { outlives, frame, path, has_other, body, is_complete } = case;
        let ends = Arc::<AtomicBool>::default();
        let end = if frame == Frame::EarlyLastChunk { "0\r\n\r\n" } else { "" };
        let first = Action::AnswerAndEndBitByBit(begun(frame), ends.clone(), end.into(), outlives);
        let first = vec![first];
        let other = vec![whole_in_chunks("id: 2\ndata: b\n\n")];
        let system = match has_other {
            true => System::start_with_other(first, other),
            false => System { harness: Harness::start(vec![first]) },
        };
        let got = system.call(path, &ends);
        let got = (text(&got), looks_complete(&got));
        let name = format!("{frame:?} at {path}, {outlives:?}, another endpoint: {has_other}");
        (got != (body.to_owned(), is_complete)).then(|| format!("{name}: {got:?}"))
    };
    let failures: Vec<String> = thread::scope(|scope| {
        let running: Vec<_> =
            cases.into_iter().map(|case| scope.spawn(move || check(case))).collect();
        running.into_iter().filter_map(|case| case.join().expect("a case ends")).collect()
    });
    assert!(failures.is_empty(), "{} cases: {failures:#?}", failures.len());
}

/// A proxy in front of an endpoint that has ended accepts connections, and is busy when it closes them.
#[test]
fn a_stream_of_an_endpoint_that_ended_behind_a_proxy_is_not_whole() {
    for delay in [0, 30, 110, 150] {
        let delay = Duration::from_millis(delay);
        let ends = Action::AnswerAndEndBehindProxy(begun(Frame::Unmarked), delay);
        let harness = Harness::start(vec![vec![ends]]);
        let got = harness.call("/stream/x");
        assert_eq!((text(&got), looks_complete(&got)), (FIRST.to_owned(), false), "{delay:?}");
    }
}

/// An endpoint closes one connection between two events and goes on. Only what another endpoint adds
/// tells such a stream from a whole one; what it repeats must not reach the caller.
#[test]
fn a_stream_that_may_be_resumed_is_checked_at_another_endpoint() {
    struct Case {
        name: &'static str,
        other: Action,
        body: &'static str,
    }
    let unmarked = |events: &str| Action::AnswerAndClose(format!("{}{events}", head(EVENT_STREAM)));
    let in_chunks = "id: 2\ndata: b\n\n";
    let cases = [
        Case { name: "goes on", other: whole_in_chunks(in_chunks), body: WHOLE },
        Case { name: "goes on, unmarked", other: unmarked(in_chunks), body: WHOLE },
        Case { name: "nothing follows", other: whole_in_chunks(""), body: FIRST },
        Case { name: "no events, unmarked", other: unmarked(": bye\n\n"), body: FIRST },
        Case { name: "begins anew", other: whole_in_chunks(WHOLE), body: FIRST },
        Case { name: "no id", other: whole_in_chunks("data: end\n\n"), body: FIRST },
        Case { name: "hangs", other: Action::Hang, body: FIRST },
        Case {
            name: "fails",
            other: Action::Answer(not_run("503 Service Unavailable")),
            body: FIRST,
        },
    ];
    let check = |Case { name, other, body }| {
        let closes = Arc::<AtomicBool>::default();
        let first = Action::AnswerAndCloseWhen(begun(Frame::Unmarked), closes.clone());
        let system = System::start_with_other(vec![first], vec![other]);
        let got = system.call("/resumable_stream/x", &closes);
        assert!(looks_complete(&got), "{name}: {}", got.head);
        assert_eq!(text(&got), body, "{name}");
        let resumed = system.harness.endpoints[1].request_log.lock()[0].headers.clone();
        assert!(resumed.contains(&"last-event-id: 1".to_owned()), "{name}: {resumed:?}");
    };
    thread::scope(|scope| {
        for case in cases {
            scope.spawn(|| check(case));
        }
    });
}

/// A service whose streams all end without a mark, and are whole. If each were run again, the service
/// would be loaded twice, and no retry would be left for calls that break.
#[test]
fn whole_streams_without_marks_are_seldom_run_again() {
    let streams = |count| {
        let unmarked = format!("{}{WHOLE}", head(EVENT_STREAM));
        vec![Action::AnswerAndClose(unmarked); count]
    };
    let harness = Harness::start(vec![streams(24), streams(24)]);
    let calls = 12;
    for _ in 0..calls {
        let got = exchange(harness.address, &request_as("r-1", "/resumable_stream/x", ""));
        assert!(looks_complete(&got), "{}", got.head);
        assert_eq!(text(&got), WHOLE);
    }
    let sent: usize = harness.endpoints.iter().map(support::Endpoint::requests).sum();
    // The pauses between checks double.
    assert!(sent > calls, "no stream was checked");
    assert!(sent <= calls + 4, "{sent} requests for {calls} streams");
}

/// A retry is taken from the budget for each whole stream, although no other endpoint can be asked.
#[test]
fn an_end_is_not_resumed_where_no_other_endpoint_serves() {
    lines::capture();
    let unmarked = Action::AnswerAndClose(format!("{}{WHOLE}", head(EVENT_STREAM)));
    let harness = Harness::start(vec![vec![unmarked; 3]]);
    for i in 0..3 {
        let id = format!("alone-{i}");
        let got = exchange(harness.address, &request_as(&id, "/resumable_stream/x", ""));
        assert!(looks_complete(&got), "{}", got.head);
        let lines = lines::of_call(&id);
        assert!(lines.iter().any(|line| line.contains("event=unmarked_end")), "{lines:?}");
        assert!(!lines.iter().any(|line| line.contains("event=stream_not_resumed")), "{lines:?}");
    }
}

/// An endpoint that leaves in order completes its streams, and its announcement may come late. Its
/// callers would get whole streams as broken ones.
#[test]
fn a_marked_stream_is_whole_if_its_endpoint_announces_its_end_meanwhile() {
    struct Case {
        state: EndpointState,
        is_complete: bool,
    }
    let cases = [
        Case { state: EndpointState::Leaving, is_complete: true },
        Case { state: EndpointState::Gone, is_complete: true },
        Case { state: EndpointState::Ready, is_complete: false },
    ];
    for Case { state, is_complete } in cases {
        let ends = Arc::<AtomicBool>::default();
        let (text, end) = (begun(Frame::EarlyLastChunk), "0\r\n\r\n".to_owned());
        let outlives = Duration::from_millis(500);
        let first = Action::AnswerAndEndBitByBit(text, ends.clone(), end, outlives);
        let harness = Harness::start(vec![vec![first]]);
        let address = harness.address;
        let caller = thread::spawn(move || exchange(address, &request_as("r-1", "/stream/x", "")));
        while harness.endpoints[0].requests() == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        ends.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(100));
        let known = fact(0, harness.endpoints[0].address);
        *harness.facts.lock() = vec![EndpointFact { sequence: 2, state, ..known }];
        let got = caller.join().expect("the caller gets an answer");
        assert_eq!(looks_complete(&got), is_complete, "{state:?}: {}", got.head);
    }
}

/// Whole answers would be cut, as an endpoint that ends in order doesn't outlive the last ones for long.
#[test]
fn an_unmarked_answer_is_whole_if_its_endpoint_ends_in_order() {
    #[derive(Debug, Clone, Copy)]
    enum Announced {
        Before,
        After,
        Never,
    }
    struct Case {
        state: EndpointState,
        announced: Announced,
        is_complete: bool,
    }
    use EndpointState::{Gone, Leaving, Ready, Silent};
    let case = |state, announced, is_complete| Case { state, announced, is_complete };
    let cases = [
        case(Leaving, Announced::Before, true),
        case(Gone, Announced::Before, true),
        case(Gone, Announced::After, true),
        case(Silent, Announced::Before, false),
        case(Ready, Announced::Never, false),
    ];
    for Case { state, announced, is_complete } in cases {
        for (kind, path) in [(EVENT_STREAM, "/stream/x"), ("", "/non_idempotent/x")] {
            let is_stream = !kind.is_empty();
            if !is_stream && !matches!(announced, Announced::Before) {
                // A plain answer is checked only once.
                continue;
            }
            let ends = Arc::<AtomicBool>::default();
            let first = Action::AnswerAndEndBitByBit(
                format!("{}{WHOLE}", head(kind)),
                ends.clone(),
                String::new(),
                match (announced, is_stream) {
                    (Announced::After, _) => Duration::from_millis(750),
                    (_, true) => Duration::from_millis(300),
                    (_, false) => Duration::ZERO,
                },
            );
            let harness = Harness::start(vec![vec![first]]);
            let address = harness.address;
            let caller = thread::spawn(move || exchange(address, &request_as("r-1", path, "")));
            while harness.endpoints[0].requests() == 0 {
                thread::sleep(Duration::from_millis(1));
            }
            let known = fact(0, harness.endpoints[0].address);
            let announce = || {
                *harness.facts.lock() = vec![EndpointFact { sequence: 2, state, ..known.clone() }];
            };
            if matches!(announced, Announced::Before) {
                announce();
                harness.wait_until_facts_applied();
            }
            ends.store(true, Ordering::Relaxed);
            if matches!(announced, Announced::After) {
                thread::sleep(Duration::from_millis(50));
                announce();
            }
            let got = caller.join().expect("the caller gets an answer");
            let name = format!("{path}, {state:?} {announced:?}: {}", got.head);
            assert_eq!(looks_complete(&got), is_complete, "{name}");
        }
    }
}

/// Ends are held while their endpoint is checked. If the streams counted as running meanwhile, the
/// endpoint would seem full, and calls that it has room for would be refused.
#[test]
fn a_stream_that_has_ended_takes_no_place_at_its_endpoint() {
    let calls = 40;
    let unmarked = Action::AnswerAndClose(format!("{}{WHOLE}", head(EVENT_STREAM)));
    let harness = Harness::start(vec![vec![unmarked; calls]]);
    let address = harness.address;
    let got: Vec<CallerResponse> = thread::scope(|scope| {
        let start = |number: usize| {
            let text = request_as(&format!("r-{number}"), "/stream/x", "");
            let caller = scope.spawn(move || exchange(address, &text));
            while harness.endpoints[0].requests() <= number && !caller.is_finished() {
                thread::sleep(Duration::from_millis(1));
            }
            thread::sleep(Duration::from_millis(10));
            caller
        };
        let callers: Vec<_> = (0..calls).map(start).collect();
        callers.into_iter().map(|caller| caller.join().expect("an answer")).collect()
    });
    let whole = got.iter().filter(|got| looks_complete(got) && text(got) == WHOLE).count();
    assert_eq!(whole, calls);
}
