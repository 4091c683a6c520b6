//! What the log says of calls that end without an answer.

#[allow(dead_code)] // The tests of ends use a part of it.
mod support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use support::lines::{self, value};
use support::{Action, Harness, PANICS, head, request_as, try_read_answer, wait_until_ready_is};

/// How a call ends without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Its caller closes the connection.
    CallerLeaves,
    /// Its task panics.
    TaskPanics,
}

/// Returns the line of a call that ends without an answer.
fn line_of(id: &str, end: End, stops: bool) -> String {
    let panics = head(&format!("{PANICS}: 1\r\ncontent-length: 0\r\n"));
    let pause = Duration::from_millis(400);
    let action = match end {
        End::CallerLeaves => Action::Hang,
        End::TaskPanics => Action::AnswerLater(panics, pause),
    };
    let harness = Harness::start(vec![vec![action]]);
    let (address, ready) = (harness.address, harness.ready_address);
    let mut stream = TcpStream::connect(address).expect("the entry instance accepts connections");
    stream
        .write_all(request_as(id, "/idempotent/x", "").as_bytes())
        .expect("the peer reads the bytes");
    while harness.endpoints[0].requests() == 0 {
        thread::sleep(Duration::from_millis(2));
    }
    let mut harness = Some(harness);
    let stop = stops.then(|| {
        let mut harness = harness.take();
        let stop = thread::spawn(move || harness.iter_mut().for_each(Harness::stop));
        wait_until_ready_is(503, ready);
        stop
    });
    match end {
        End::CallerLeaves => drop(stream),
        End::TaskPanics => {
            assert!(try_read_answer(&mut BufReader::new(stream)).is_none(), "an answer");
        }
    }
    let line = loop {
        if let Some(line) = lines::of_call(id).into_iter().find(|l| l.starts_with("event=call ")) {
            break line;
        }
        thread::sleep(Duration::from_millis(5));
    };
    if let Some(stop) = stop {
        stop.join().expect("the entry instance stops");
    }
    line
}

/// A call whose connection ended before it was admitted had no line.
#[test]
fn a_call_that_is_neither_admitted_nor_refused_has_a_line() {
    lines::capture();
    let harness = Harness::without_settings();
    let mut caller =
        TcpStream::connect(harness.address).expect("the entry instance accepts connections");
    caller
        .write_all(request_as("early", "/idempotent/x", "").as_bytes())
        .expect("the peer reads the bytes");
    thread::sleep(Duration::from_millis(200));
    drop(caller);
    let line = loop {
        if let Some(line) = lines::of_call("early").first() {
            break line.clone();
        }
        thread::sleep(Duration::from_millis(5));
    };
    assert!(line.starts_with("event=call_not_admitted "), "{line}");
    assert_eq!(value(&line, "outcome"), "caller_left", "{line}");
}

/// A call whose task ended with a panic is logged as if its caller had left, so a fault of the entry
/// instance looks like the caller's choice.
#[test]
fn the_log_tells_a_caller_that_left_from_a_task_that_ended() {
    struct Case {
        id: &'static str,
        end: End,
        stops: bool,
        expected: (&'static str, &'static str),
    }
    let cases = [
        Case { id: "left", end: End::CallerLeaves, stops: false, expected: ("caller_left", "") },
        Case {
            id: "left-in-stop",
            end: End::CallerLeaves,
            stops: true,
            expected: ("caller_left", "true"),
        },
        Case { id: "panic", end: End::TaskPanics, stops: false, expected: ("task_ended", "") },
        Case {
            id: "panic-in-stop",
            end: End::TaskPanics,
            stops: true,
            expected: ("task_ended", "true"),
        },
    ];
    lines::capture();
    for Case { id, end, stops, expected } in cases {
        let line = line_of(id, end, stops);
        assert_eq!((value(&line, "outcome"), value(&line, "in_stop")), expected, "{id}: {line}");
    }
}
