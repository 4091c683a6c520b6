//! What callers get, and an on-call engineer reads, of calls that an entry instance's stop meets.

mod support;

use std::thread::{self, JoinHandle};
use std::time::Duration;

use sill_base::Millis;
use sill_gateway::ending::CUT_LINES;
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

/// An entry instance with hundreds of open streams comes to its end. A line on each would take the moment
/// that is left from those that are still to be told; the rest is counted.
#[test]
fn the_lines_on_cut_answers_have_a_bound() {
    lines::keep();
    let count = CUT_LINES + 20;
    let part = format!("{}{}", head(STREAM), chunk("id: 1\ndata: a\n\n"));
    let acts = vec![Act::AnswerAndCloseLater(part, LONG); count];
    let mut world = World::stopping_within(LIMIT, vec![acts]);
    let callers: Vec<_> = (0..count).map(|_| begin(&world, "/stream/x", "many")).collect();
    world.stop();
    let cut = callers.into_iter().map(|caller| caller.join().expect("an answer"));
    assert_eq!(cut.filter(|got| !got.is_whole).count(), count);
    assert_eq!(lines::of_call("many").len(), CUT_LINES);
    let told = lines::of_stop(&world.name);
    let number = |key: &str| value(&told, key).parse::<usize>().expect("a number");
    assert_eq!((number("cut"), number("cut_without_line")), (count, 20), "{told}");
}
