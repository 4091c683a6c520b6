//! Calls that an entry instance refuses by their heads, while their callers still send.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::harness::CALLER_KEY;
use crate::serving::{HOST, Serving, announce};

const CALLERS: usize = 8;

/// Calls of each caller.
const CALLS: usize = 4;

/// Size of a part of a body, and the number of parts.
const PART: usize = 4 << 10;
const PARTS: usize = 18;

/// Pause before each part.
const PAUSE: Duration = Duration::from_millis(5);

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Time that a caller waits for its answer.
const PATIENCE: Duration = Duration::from_secs(20);

struct Case {
    name: &'static str,
    path: &'static str,
    key: &'static str,
    is_stopping: bool,
    status: u16,
}

/// Announces an endpoint, without which the entry instance isn't ready. Nothing is sent to it.
fn announce_until(is_over: &AtomicBool, control: SocketAddr, endpoint: SocketAddr) {
    for sequence in 1.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        announce(control, 0, 1, sequence, endpoint);
        thread::sleep(ANNOUNCE_INTERVAL);
    }
}

/// Sends a call part by part, and returns the status of its complete answer.
fn call(gateway: SocketAddr, case: &Case) -> Result<u16, &'static str> {
    let mut stream = TcpStream::connect(gateway).map_err(|_| "no connection")?;
    stream.set_read_timeout(Some(PATIENCE)).expect("the option can be set");
    let head = format!(
        "POST {}x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {}\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n",
        case.path,
        case.key,
        PART * PARTS
    );
    stream.write_all(head.as_bytes()).map_err(|_| "broken off in the head")?;
    let part = [b'x'; PART];
    for _ in 0..PARTS {
        thread::sleep(PAUSE);
        stream.write_all(&part).map_err(|_| "broken off in the body")?;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(|_| "broken off in the answer")?;
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
    status.ok_or("closed without an answer")
}

/// A refusal is lost as its connection is closed, and so reset, while its caller still sends.
#[test]
fn calls_that_are_refused_by_their_heads_are_answered() {
    let cases = [
        Case {
            name: "a route that is gone",
            path: "/gone/",
            key: CALLER_KEY,
            is_stopping: false,
            status: 404,
        },
        Case {
            name: "a key that is gone",
            path: "/booked/",
            key: "gone",
            is_stopping: false,
            status: 401,
        },
        Case {
            name: "a route that is gone, in a stop",
            path: "/gone/",
            key: CALLER_KEY,
            is_stopping: true,
            status: 404,
        },
    ];
    let mut failures = Vec::new();
    for case in cases {
        let mut serving = Serving::start("refused-uploads", 1, 1);
        let is_over = AtomicBool::new(false);
        let (control, endpoint) = (serving.control(), serving.endpoint(0));
        let outcomes: Vec<_> = thread::scope(|scope| {
            let (case, is_over) = (&case, &is_over);
            scope.spawn(move || announce_until(is_over, control, endpoint));
            serving.start_gateways();
            let gateway = serving.gateway(0);
            let calls = if case.is_stopping { 1 } else { CALLS };
            let callers: Vec<_> = (0..CALLERS)
                .map(|_| scope.spawn(move || (0..calls).map(|_| call(gateway, case)).collect()))
                .collect();
            if case.is_stopping {
                thread::sleep(PAUSE * 2);
                serving.gateways[0].signal("-TERM");
            }
            let outcomes = callers.into_iter().map(|caller| caller.join().expect("no panic"));
            let outcomes = outcomes.flat_map(|outcomes: Vec<_>| outcomes).collect();
            is_over.store(true, Ordering::Relaxed);
            outcomes
        });
        let refused = outcomes.iter().filter(|outcome| **outcome == Ok(case.status)).count();
        println!("{}: {refused} of {} are answered", case.name, outcomes.len());
        if refused < outcomes.len() {
            let others = outcomes.into_iter().filter(|outcome| *outcome != Ok(case.status));
            failures.push((case.name, others.collect::<Vec<_>>()));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
