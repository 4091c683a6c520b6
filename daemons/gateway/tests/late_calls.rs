//! Calls that reach an entry instance late in its planned stop.

#[allow(dead_code)] // The tests of late calls use a part of it.
mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use sill_base::Millis;
use support::{
    Action, CallerResponse, Harness, answer_of, exchange, head, request, request_as,
    try_read_answer, wait_until_ready_is,
};

const STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

/// Time that a stop may last.
const LIMIT: Millis = Millis(2000);

/// Number of callers.
const CALLERS: usize = 6;

/// Pause of a caller between two calls.
const PAUSE: Duration = Duration::from_millis(15);

/// How calls reach the instance, and how its endpoint answers.
#[derive(Debug, Clone)]
struct Case {
    name: &'static str,
    path: &'static str,
    /// Calls of the route that are answered before the stop.
    on_record: usize,
    /// Time that these take, and time that later ones take.
    usual: Duration,
    late: Duration,
    /// Time that a caller takes to send a body.
    body_takes: Duration,
    /// Whether all places of the endpoint are taken when the stop begins.
    is_full: bool,
    /// Time after which the instance handles the signal.
    handled_after: Duration,
    /// The deadline that callers state, in milliseconds; none for that of the route, 10 s.
    deadline: Option<u64>,
}

impl Case {
    const fn new(name: &'static str) -> Self {
        Self {
            name,
            path: "/non_idempotent/x",
            on_record: 25,
            usual: Duration::from_millis(20),
            late: Duration::from_millis(20),
            body_takes: Duration::ZERO,
            is_full: false,
            handled_after: Duration::ZERO,
            deadline: None,
        }
    }
}

/// What became of a call, as its caller sees it.
#[derive(Debug)]
struct Late {
    id: String,
    got: Option<CallerResponse>,
}

/// Sends calls on kept connections for as long as the instance accepts them.
fn call_until_closed(address: SocketAddr, name: &str, case: &Case, until: Instant) -> Vec<Late> {
    let mut calls = Vec::new();
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(address) else { break };
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the option can be set");
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        loop {
            let id = format!("{name}-{}", calls.len());
            let deadline = case.deadline.map(|ms| format!("sill-deadline-ms: {ms}\r\n"));
            let text = request_as(&id, case.path, &deadline.unwrap_or_default());
            let (first, rest) = text.split_at(text.len() - 2);
            let mut sent = stream.write_all(first.as_bytes());
            thread::sleep(case.body_takes);
            sent = sent.and_then(|()| stream.write_all(rest.as_bytes()));
            let got = try_read_answer(&mut reader);
            let is_kept = got.as_ref().is_some_and(|got| {
                got.is_complete && !got.head.to_lowercase().contains("connection: close")
            });
            calls.push(Late { id, got });
            thread::sleep(PAUSE);
            if !is_kept || sent.is_err() || Instant::now() >= until {
                break;
            }
        }
    }
    calls
}

/// What became of the calls of a stop.
struct Outcome {
    calls: usize,
    /// Calls that reached the endpoint.
    runs: usize,
    /// Those of which their callers got no complete answer, or a refusal as not run.
    lost: Vec<String>,
}

fn play(case: &Case) -> Outcome {
    let answer = match case.path.starts_with("/stream/") {
        true => format!("{}f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", head(STREAM)),
        false => answer_of("whole"),
    };
    let usual = Action::AnswerLater(answer.clone(), case.usual);
    let late = Action::AnswerLater(answer, case.late);
    let places = if case.is_full { 7 } else { 0 };
    let full = vec![Action::AnswerLater(answer_of("full"), Duration::from_millis(1500)); places];
    let actions =
        [vec![usual; case.on_record], vec![Action::Hang], full, vec![late; 4000]].concat();
    let mut harness = Harness::start_with_stop_limit(LIMIT, vec![actions]);
    for _ in 0..case.on_record {
        assert_eq!(harness.call(case.path).status, 200, "{}", case.name);
    }
    // A call from before the signal has the stop last for all of its time.
    let address = harness.address;
    let older = thread::spawn(move || exchange(address, &request("/idempotent/x", "")));
    while harness.endpoints[0].requests() <= case.on_record {
        thread::sleep(Duration::from_millis(1));
    }
    if case.is_full {
        harness.enable_wait_queue();
        for _ in 0..places {
            thread::spawn(move || exchange(address, &request("/idempotent/x", "")));
        }
        while harness.endpoints[0].requests() < 1 + case.on_record + places {
            thread::sleep(Duration::from_millis(1));
        }
    }
    let run_ids = harness.endpoints[0].run_ids.clone();
    let signalled_at = Instant::now();
    let until = signalled_at + Duration::from(LIMIT) + Duration::from_secs(1);
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let case = case.clone();
            thread::spawn(move || call_until_closed(address, &format!("c{n}"), &case, until))
        })
        .collect();
    thread::sleep(case.handled_after);
    let ready = harness.ready_address;
    let stop = thread::spawn(move || {
        harness.stop_late(Millis(signalled_at.elapsed().as_millis() as u64));
        // The process ends: what is open is closed.
        drop(harness);
    });
    wait_until_ready_is_not_200(ready);
    let calls: Vec<Late> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("the caller's thread ends"))
        .collect();
    stop.join().expect("the entry instance stops");
    assert_eq!(older.join().expect("the caller gets an answer").status, 502, "{}", case.name);
    let run_ids = run_ids.lock();
    let is_lost = |call: &&Late| {
        let has_run = run_ids.contains(&call.id);
        match &call.got {
            None => has_run,
            Some(got) => !got.is_complete || (got.status == 503 && has_run),
        }
    };
    let lost = calls.iter().filter(is_lost).map(|call| format!("{call:?}")).collect();
    let runs = calls.iter().filter(|call| run_ids.contains(&call.id)).count();
    Outcome { calls: calls.len(), runs, lost }
}

/// The process may end before a readiness check gets its answer.
fn wait_until_ready_is_not_200(ready: SocketAddr) {
    if TcpStream::connect(ready).is_ok() {
        wait_until_ready_is(503, ready);
    }
}

/// A late call that has run and is cut without an answer may not be sent again by its caller.
#[test]
fn no_late_call_in_a_stop_runs_without_an_answer() {
    let ms = Duration::from_millis;
    let usual = Case::new("usual calls");
    let cases = [
        usual.clone(),
        Case { name: "none on record", on_record: 0, late: ms(900), ..usual.clone() },
        Case { name: "one on record", on_record: 1, late: ms(900), ..usual.clone() },
        Case { name: "19 on record", on_record: 19, late: ms(900), ..usual.clone() },
        Case { name: "the endpoint gets slow", late: ms(1400), ..usual.clone() },
        Case {
            name: "slow, with a deadline",
            late: ms(1400),
            deadline: Some(700),
            ..usual.clone()
        },
        Case { name: "a slow body", body_takes: ms(400), late: ms(300), ..usual.clone() },
        Case { name: "a body that outlasts the stop", body_takes: ms(2500), ..usual.clone() },
        Case { name: "no place", is_full: true, late: ms(300), ..usual.clone() },
        Case {
            name: "the signal is handled late",
            handled_after: ms(900),
            late: ms(600),
            ..usual.clone()
        },
        Case { name: "idempotent", path: "/idempotent/x", late: ms(700), ..usual.clone() },
        Case { name: "a stream", path: "/stream/x", late: ms(700), ..usual.clone() },
        Case { name: "a short stream", path: "/stream/x", ..usual },
    ];
    let plays = cases.map(|case| thread::spawn(move || (case.name, play(&case))));
    let mut failures = Vec::new();
    for playing in plays {
        let (name, Outcome { calls, runs, lost }) = playing.join().expect("the case is played");
        println!("{name}: {calls} calls, {runs} have run, {} lost", lost.len());
        assert!(calls >= CALLERS, "{name}: {calls} calls");
        if !lost.is_empty() {
            failures.push(format!("{name}: {} of {calls}: {:?}", lost.len(), &lost[..1]));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
