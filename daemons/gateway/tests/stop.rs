//! What callers get, and an on-call engineer reads, of calls that an entry instance's stop meets.

mod support;

use std::thread::{self, JoinHandle};
use std::time::Duration;

use sill_base::Millis;
use sill_gateway::ending::LINES_BY_STOP;
use support::lines::{self, value};
use support::{Act, Got, World, exchange, head, request_as};

/// Time from the signal to the end in these tests.
const LIMIT: Millis = Millis(700);

/// Longer than any stop here.
const LONG: Duration = Duration::from_secs(20);

const STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends a call, and returns once an endpoint has it.
fn begin(world: &World, path: &str, id: &str) -> JoinHandle<Got> {
    let runs = || world.endpoints.iter().map(|endpoint| endpoint.requests()).sum::<usize>();
    let (before, address, text) = (runs(), world.address, request_as(id, path, ""));
    let caller = thread::spawn(move || exchange(address, &text));
    while runs() == before {
        assert!(!caller.is_finished(), "refused: {:?}", caller.join());
        thread::sleep(Duration::from_millis(2));
    }
    caller
}

/// Returns whether an endpoint that hangs has its connection closed within half a second.
fn is_told_to_stop(world: &World) -> bool {
    (0..50).any(|_| {
        thread::sleep(Duration::from_millis(10));
        *world.endpoints[0].left.lock() == 1
    })
}

/// A stream is longer than the time that an entry instance has for its stop, and is cut in the middle.
/// Its caller reports an id. Without a line on it nobody could tell the stop from an endpoint that broke.
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

/// Calls still wait for the first byte of their answers when the time of a stop is up. With the process their
/// connections ended: a caller could not tell whether its call had run, nor an engineer why it has no
/// answer. They may have run, so no answer may say that they have not.
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

/// A caller is still sending its request when the time of a stop is up. Nothing of it went to an endpoint,
/// so the caller is told that it has not run, and goes elsewhere.
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

/// An entry instance with hundreds of open streams comes to its end. A line on each would take the moment
/// that is left from those that are still to be told; the rest is counted.
#[test]
fn the_lines_on_cut_answers_have_a_bound() {
    lines::keep();
    let count = LINES_BY_STOP + 20;
    let part = format!("{}{}", head(STREAM), chunk("id: 1\ndata: a\n\n"));
    let acts = vec![Act::AnswerAndCloseLater(part, LONG); count];
    let mut world = World::stopping_within(LIMIT, vec![acts]);
    let callers: Vec<_> = (0..count).map(|_| begin(&world, "/stream/x", "many")).collect();
    world.stop();
    let cut = callers.into_iter().map(|caller| caller.join().expect("an answer"));
    assert_eq!(cut.filter(|got| !got.is_whole).count(), count);
    assert_eq!(lines::of_call("many").len(), LINES_BY_STOP);
    let told = lines::of_stop(&world.name);
    let number = |key: &str| value(&told, key).parse::<usize>().expect("a number");
    assert_eq!((number("cut"), number("without_line")), (count, 20), "{told}");
}
