//! What callers receive from a stopping entry instance.

#[allow(dead_code)] // The tests of stops use a part of it.
mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use sill_base::Millis;
use support::{
    Act, Got, World, answer_of, exchange, exchange_after, head, request, wait_until_ready_is,
};

/// Longer than the notice time of the test's instance.
const UNTIL_NOTICED: Duration = Duration::from_millis(300);

/// A call that keeps the instance running until all others of a test are done.
fn long_call() -> Act {
    Act::AnswerLater(answer_of("long"), Duration::from_millis(2500))
}

/// Stops an instance that has one call open, and returns once the notice time is over.
fn stop_behind_a_long_call(mut world: World) -> (SocketAddr, thread::JoinHandle<World>) {
    let (address, ready_address) = (world.address, world.ready_address);
    let long = thread::spawn(move || exchange(address, &request("/idempotent/x", "")));
    while world.endpoints[0].requests() == 0 {
        thread::sleep(Duration::from_millis(10));
    }
    let stop = thread::spawn(move || {
        world.stop();
        assert!(long.join().expect("an answer").is_whole, "what ran before is not cut");
        world
    });
    wait_until_ready_is(503, ready_address);
    thread::sleep(UNTIL_NOTICED);
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
    let answers = cases.iter().map(|_| Act::Answer(answer_of("quick")));
    let world = World::start(vec![std::iter::once(long_call()).chain(answers).collect()]);
    let (address, stop) = stop_behind_a_long_call(world);
    for case in cases {
        let got = exchange_after(address, case.pause, &request("/idempotent/x", case.extra));
        assert_eq!(got.status, case.status, "{}: {}", case.name, got.head);
        let head = got.head.to_lowercase();
        assert!(head.contains("connection: close"), "{}: {head}", case.name);
    }
    let world = stop.join().expect("it stops");
    assert_eq!(world.endpoints[0].requests(), 4, "the one that may not end was not sent");
}

/// The calls from before a stop are done, and callers still connect. If the instance admitted them,
/// its process would last for as long as they arrive; restarted at once, it can serve all of them.
/// They must be refused although they would end in time, and the one that was admitted must be
/// answered.
#[test]
fn an_instance_takes_no_more_once_what_it_took_before_its_stop_is_over() {
    let later = Act::AnswerLater(answer_of("later"), Duration::from_millis(1800));
    let quick = vec![Act::Answer(answer_of("quick")); 100];
    let world = World::start(vec![[vec![long_call(), later], quick].concat()]);
    let seen = world.endpoints[0].seen.clone();
    let (address, stop) = stop_behind_a_long_call(world);
    // The long call has a second left; this call is still open when it is done.
    thread::sleep(Duration::from_millis(1200));
    let later = thread::spawn(move || {
        exchange(address, &request("/idempotent/x", "sill-deadline-ms: 2500\r\n"))
    });
    while seen.lock().len() < 2 {
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
    assert!(later.join().expect("an answer").is_whole, "what it has begun is not cut");
    stop.join().expect("it stops");
}

/// Number of calls of a route that an instance must have served before it admits one late in a
/// stop.
const SEEN: usize = 25;

/// Sends enough calls for the instance to know the route's durations, each with `act`, and one more
/// late in a stop, which gets `last`. Callers of the earlier ones disconnect before their answers
/// if `leave` is set.
fn call_late(path: &'static str, act: Act, leave: bool, last: Act) -> Got {
    let others = [vec![act; SEEN], vec![Act::Hang, last]].concat();
    let world = World::start(vec![others]);
    for number in 0..SEEN {
        match leave {
            true => world.call_and_leave_after(path, number + 1),
            false => assert_eq!(world.call(path).status, 200),
        }
    }
    let (got, older) = call_in_stop(world, path, UNTIL_NOTICED);
    assert_eq!(older.status, 502);
    got
}

/// Stops an instance that has an older call open, and sends one more call some time after the stop
/// started. Returns the answers to the new call and to the older one.
fn call_in_stop(mut world: World, path: &str, after: Duration) -> (Got, Got) {
    let (address, ready_address) = (world.address, world.ready_address);
    let older = thread::spawn(move || exchange(address, &request("/idempotent/y", "")));
    while world.endpoints[0].requests() <= SEEN {
        thread::sleep(Duration::from_millis(10));
    }
    let stop = thread::spawn(move || world.stop());
    wait_until_ready_is(503, ready_address);
    thread::sleep(after);
    let got = exchange(address, &request(path, ""));
    stop.join().expect("it stops");
    (got, older.join().expect("an answer"))
}

/// Late in a stop an instance admits a call of a route whose calls have been short. This one is
/// longer than all of them, and the process ends before it. When its answer was relayed as it
/// arrived, it was cut in the middle, and its caller could neither use it nor repeat the call.
#[test]
fn a_call_begun_late_is_answered_whole_or_as_of_unknown_outcome() {
    struct Case {
        name: &'static str,
        path: &'static str,
        seen: String,
        leave: bool,
        last: Act,
        expected: (u16, &'static [u8]),
    }
    let stream = head("content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");
    let event = "f\r\nid: 1\ndata: a\n\n\r\n";
    let half = format!("{}half", head("content-length: 10\r\n"));
    let never = |text: &str| Act::AnswerAndCloseLater(text.to_owned(), Duration::from_secs(20));
    let plain = |name, last, expected| Case {
        name,
        path: "/idempotent/x",
        seen: answer_of("whole"),
        leave: false,
        last,
        expected,
    };
    let cases = [
        plain("short", Act::Answer(answer_of("whole")), (200, b"whole")),
        plain("a plain one that is slow", never(&half), (502, b"")),
        Case {
            path: "/stream/x",
            seen: format!("{stream}{event}0\r\n\r\n"),
            ..plain("a longer stream", never(&format!("{stream}{event}")), (502, b""))
        },
        Case { leave: true, ..plain("callers left before", Act::Hang, (503, b"")) },
    ];
    for Case { name, path, seen, leave, last, expected: (status, body) } in cases {
        let act = if leave { Act::Hang } else { Act::Answer(seen) };
        let got = call_late(path, act, leave, last);
        assert_eq!(got.status, status, "{name}: {}", got.head);
        assert!(got.is_whole, "{name}: {}", got.head);
        assert!(status != 200 || got.body == body, "{name}: {:?}", got.body);
    }
}

/// Serves calls of a route with `usual`, and sends one more when a stop starts, which gets `last`.
fn call_as_a_stop_begins(path: &'static str, usual: Act, last: Act) -> Got {
    let acts = [vec![usual; SEEN], vec![Act::Hang, last]].concat();
    let world = World::stopping_within(Millis(1500), vec![acts]);
    for _ in 0..SEEN {
        assert_eq!(world.call(path).status, 200);
    }
    call_in_stop(world, path, Duration::ZERO).0
}

/// An instance that was just asked to stop admits a call whose endpoint has become slow. The answer
/// outlasts the process, and must not be cut in the middle.
#[test]
fn an_answer_of_a_slow_endpoint_is_not_cut_by_a_stop() {
    struct Case {
        name: &'static str,
        path: &'static str,
        usual: Act,
        last: Act,
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
            usual: Act::AnswerInTwo(begins.clone(), pause, format!("{}0\r\n\r\n", event(2))),
            last: Act::AnswerInTwo(String::new(), pause * 15, begins),
        },
        Case {
            name: "a plain answer with a slow body",
            path: "/idempotent/x",
            usual: Act::Answer(answer_of("whole")),
            last: Act::AnswerAndCloseLater(half, never),
        },
    ];
    for Case { name, path, usual, last } in cases {
        let got = call_as_a_stop_begins(path, usual, last);
        assert_eq!((got.status, got.is_whole), (502, true), "{name}: {}", got.head);
    }
}
