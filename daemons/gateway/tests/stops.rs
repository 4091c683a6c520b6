//! What callers receive from a stopping entry instance.

#[allow(dead_code)] // The tests of stops use a part of it.
mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use sill_base::Millis;
use support::{
    Action, CallerResponse, Harness, answer_of, exchange, exchange_after, head, request,
    wait_until_ready_is,
};

/// Longer than the notice time of the test's instance.
const NOTICE_WAIT: Duration = Duration::from_millis(300);

/// A call that keeps the instance running until all others of a test are done.
fn long_call() -> Action {
    Action::AnswerLater(answer_of("long"), Duration::from_millis(2500))
}

/// Stops an instance that has one call open, and returns once the notice time is over.
fn stop_behind_a_long_call(mut harness: Harness) -> (SocketAddr, thread::JoinHandle<Harness>) {
    let (address, ready_address) = (harness.address, harness.ready_address);
    let long = thread::spawn(move || exchange(address, &request("/idempotent/x", "")));
    while harness.endpoints[0].requests() == 0 {
        thread::sleep(Duration::from_millis(10));
    }
    let stop = thread::spawn(move || {
        harness.stop();
        assert!(
            long.join().expect("the caller gets an answer").is_complete,
            "the answer to a call from before the stop was cut"
        );
        harness
    });
    wait_until_ready_is(503, ready_address);
    thread::sleep(NOTICE_WAIT);
    (address, stop)
}

/// Most entry instances of a failure domain stop at once, so the balancer continues to send callers
/// to all of them. A caller connects to one that has closed its idle connections already, and sends
/// its request one or more round trips later. When its connection was closed without an answer, it
/// retried elsewhere with the same outcome, although the instance had seconds left to serve it.
#[test]
fn a_new_connection_to_a_stopping_instance_gets_an_answer() {
    struct Case {
        name: &'static str,
        pause: Duration,
        extra: &'static str,
        status: u16,
    }
    let cases = [
        Case {
            name: "one that ends in time, at once",
            pause: Duration::ZERO,
            extra: "sill-deadline-ms: 1000\r\n",
            status: 200,
        },
        Case {
            name: "one that ends in time, a round trip later",
            pause: Duration::from_millis(20),
            extra: "sill-deadline-ms: 1000\r\n",
            status: 200,
        },
        Case {
            name: "one that ends in time, much later",
            pause: Duration::from_millis(300),
            extra: "sill-deadline-ms: 1000\r\n",
            status: 200,
        },
        Case {
            name: "one that may not end in time",
            pause: Duration::from_millis(20),
            extra: "",
            status: 503,
        },
    ];
    let answers = cases.iter().map(|_| Action::Answer(answer_of("quick")));
    let harness = Harness::start(vec![std::iter::once(long_call()).chain(answers).collect()]);
    let (address, stop) = stop_behind_a_long_call(harness);
    for case in cases {
        let got = exchange_after(address, case.pause, &request("/idempotent/x", case.extra));
        assert_eq!(got.status, case.status, "{}: {}", case.name, got.head);
        let head = got.head.to_lowercase();
        assert!(head.contains("connection: close"), "{}: {head}", case.name);
    }
    let harness = stop.join().expect("the entry instance stops");
    assert_eq!(harness.endpoints[0].requests(), 4, "the call that may not end in time was sent");
}

/// The calls from before a stop are done, and callers still connect. If the instance admitted them,
/// its process would last for as long as they arrive; restarted at once, it can serve all of them.
/// They must be refused although they would end in time, and the one that was admitted must be
/// answered.
#[test]
fn new_calls_are_refused_once_the_calls_from_before_a_stop_are_done() {
    let later = Action::AnswerLater(answer_of("later"), Duration::from_millis(1800));
    let quick = vec![Action::Answer(answer_of("quick")); 100];
    let harness = Harness::start(vec![[vec![long_call(), later], quick].concat()]);
    let request_log = harness.endpoints[0].request_log.clone();
    let (address, stop) = stop_behind_a_long_call(harness);
    // The long call has a second left; this call is still open when it is done.
    thread::sleep(Duration::from_millis(1200));
    let later = thread::spawn(move || {
        exchange(address, &request("/idempotent/x", "sill-deadline-ms: 2500\r\n"))
    });
    while request_log.lock().len() < 2 {
        thread::sleep(Duration::from_millis(10));
    }
    let refused = loop {
        let got = exchange(address, &request("/idempotent/x", "sill-deadline-ms: 500\r\n"));
        if got.status != 200 || later.is_finished() {
            break got;
        }
        thread::sleep(Duration::from_millis(50));
    };
    assert_eq!(refused.status, 503, "{}", refused.head);
    let head = refused.head.to_lowercase();
    assert!(head.contains("sill-not-run: true") && head.contains("connection: close"), "{head}");
    assert!(
        later.join().expect("the caller gets an answer").is_complete,
        "the answer to an admitted call was cut"
    );
    stop.join().expect("the entry instance stops");
}

/// Number of calls of a route that an instance must have served before it admits one late in a
/// stop.
const PREVIOUS_CALLS: usize = 25;

/// Sends enough calls for the instance to know the route's durations, each with `action`, and one
/// more late in a stop, which gets `last`. Callers of the earlier ones disconnect before their
/// answers if `callers_leave` is set.
fn call_late(
    path: &'static str,
    action: Action,
    callers_leave: bool,
    last: Action,
) -> CallerResponse {
    let actions = [vec![action; PREVIOUS_CALLS], vec![Action::Hang, last]].concat();
    let harness = Harness::start(vec![actions]);
    for number in 0..PREVIOUS_CALLS {
        match callers_leave {
            true => harness.call_and_disconnect_after(path, number + 1),
            false => assert_eq!(harness.call(path).status, 200),
        }
    }
    let (got, older) = call_in_stop(harness, path, NOTICE_WAIT);
    assert_eq!(older.status, 502);
    got
}

/// Stops an instance that has an older call open, and sends one more call some time after the stop
/// started. Returns the answers to the new call and to the older one.
fn call_in_stop(
    mut harness: Harness,
    path: &str,
    after: Duration,
) -> (CallerResponse, CallerResponse) {
    let (address, ready_address) = (harness.address, harness.ready_address);
    let older = thread::spawn(move || exchange(address, &request("/idempotent/y", "")));
    while harness.endpoints[0].requests() <= PREVIOUS_CALLS {
        thread::sleep(Duration::from_millis(10));
    }
    let stop = thread::spawn(move || harness.stop());
    wait_until_ready_is(503, ready_address);
    thread::sleep(after);
    let got = exchange(address, &request(path, ""));
    stop.join().expect("the entry instance stops");
    (got, older.join().expect("the caller gets an answer"))
}

/// Late in a stop an instance admits a call of a route whose calls have been short. This one is
/// longer than all of them, and the process ends before it. When its answer was relayed as it
/// arrived, it was cut in the middle, and its caller could neither use it nor repeat the call.
#[test]
fn a_call_admitted_late_in_a_stop_gets_a_complete_answer_or_a_failure() {
    struct Case {
        name: &'static str,
        path: &'static str,
        usual_answer: String,
        callers_leave: bool,
        last: Action,
        expected: (u16, &'static [u8]),
    }
    let stream = head("content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");
    let event = "f\r\nid: 1\ndata: a\n\n\r\n";
    let half = format!("{}half", head("content-length: 10\r\n"));
    let never = |text: &str| Action::AnswerAndCloseLater(text.to_owned(), Duration::from_secs(20));
    let plain = |name, last, expected| Case {
        name,
        path: "/idempotent/x",
        usual_answer: answer_of("whole"),
        callers_leave: false,
        last,
        expected,
    };
    let cases = [
        plain("short", Action::Answer(answer_of("whole")), (200, b"whole")),
        plain("a plain one that is slow", never(&half), (502, b"")),
        Case {
            path: "/stream/x",
            usual_answer: format!("{stream}{event}0\r\n\r\n"),
            ..plain("a longer stream", never(&format!("{stream}{event}")), (502, b""))
        },
        Case { callers_leave: true, ..plain("callers left before", Action::Hang, (503, b"")) },
    ];
    for Case { name, path, usual_answer, callers_leave, last, expected: (status, body) } in cases {
        let action = if callers_leave { Action::Hang } else { Action::Answer(usual_answer) };
        let got = call_late(path, action, callers_leave, last);
        assert_eq!(got.status, status, "{name}: {}", got.head);
        assert!(got.is_complete, "{name}: {}", got.head);
        assert!(status != 200 || got.body == body, "{name}: {:?}", got.body);
    }
}

/// Serves calls of a route with `usual`, and sends one more when a stop starts, which gets `last`.
fn call_as_a_stop_begins(path: &'static str, usual: Action, last: Action) -> CallerResponse {
    let actions = [vec![usual; PREVIOUS_CALLS], vec![Action::Hang, last]].concat();
    let harness = Harness::start_with_stop_limit(Millis(1500), vec![actions]);
    for _ in 0..PREVIOUS_CALLS {
        assert_eq!(harness.call(path).status, 200);
    }
    call_in_stop(harness, path, Duration::ZERO).0
}

/// An instance that was just asked to stop admits a call whose endpoint has become slow. The answer
/// outlasts the process, and must not be cut in the middle.
#[test]
fn an_answer_of_a_slow_endpoint_is_not_cut_by_a_stop() {
    struct Case {
        name: &'static str,
        path: &'static str,
        usual: Action,
        last: Action,
    }
    let stream = head("content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");
    let event = |id: u32| format!("f\r\nid: {id}\ndata: a\n\n\r\n");
    let begins = format!("{stream}{}", event(1));
    let (pause, never) = (Duration::from_millis(40), Duration::from_secs(20));
    let half = format!("{}half", head("content-length: 10\r\n"));
    let cases = [
        Case {
            name: "a stream with a late first event",
            path: "/stream/x",
            usual: Action::AnswerInTwo(begins.clone(), pause, format!("{}0\r\n\r\n", event(2))),
            last: Action::AnswerInTwo(String::new(), pause * 15, begins),
        },
        Case {
            name: "a plain answer with a slow body",
            path: "/idempotent/x",
            usual: Action::Answer(answer_of("whole")),
            last: Action::AnswerAndCloseLater(half, never),
        },
    ];
    for Case { name, path, usual, last } in cases {
        let got = call_as_a_stop_begins(path, usual, last);
        assert_eq!((got.status, got.is_complete), (502, true), "{name}: {}", got.head);
    }
}
