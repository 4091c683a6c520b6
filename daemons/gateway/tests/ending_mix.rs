//! Planned stops of an entry instance in the middle of random calls.

#[allow(dead_code)] // The tests of stops use a part of it.
mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use rand::Rng;
use sill_base::{Millis, random};
use support::lines::{self, value};
use support::{
    Action, CallerResponse, Harness, answer_of, head, not_run, request_as, try_read_answer,
};

const STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
const KINDS: [&str; 4] = ["idempotent", "non_idempotent", "stream", "resumable_stream"];
const CALLERS: usize = 24;
const LIMIT: Millis = Millis(900);
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
const STOP_DELAY: Duration = Duration::from_millis(300);

/// A call as seen by its caller.
struct Call {
    id: String,
    kind: &'static str,
    /// `None` if the connection ended before the head of an answer.
    got: Option<CallerResponse>,
}

impl Call {
    fn may_repeat(&self) -> bool {
        matches!(self.kind, "idempotent" | "resumable_stream")
    }
}

fn event(number: usize) -> String {
    let text = format!("id: {number}\ndata: x\n\n");
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn random_action<R>(rng: &mut R) -> Action
where
    R: Rng,
{
    let pause = Duration::from_millis(rng.random_range(1..700));
    let complete = format!("{}{}{}0\r\n\r\n", head(STREAM), event(1), event(2));
    match rng.random_range(0..100) {
        0..50 => Action::Answer(answer_of("whole")),
        50..65 => Action::AnswerLater(answer_of("whole"), pause),
        65..80 => Action::AnswerLater(complete, pause),
        80..85 => Action::AnswerAndCloseLater(format!("{}{}", head(STREAM), event(1)), pause),
        85..89 => Action::AnswerAndCloseLater(head(STREAM), pause),
        89..93 => Action::AnswerAndCloseLater(String::new(), pause),
        93..97 => Action::AnswerLater(not_run("503 Service Unavailable"), pause),
        _ => Action::Hang,
    }
}

/// Sends calls on reused connections until the instance accepts no more or the time is up.
fn make_calls(address: SocketAddr, seed: u64, name: &str, until: Instant) -> Vec<Call> {
    let mut rng = random::seeded(seed);
    let mut calls = Vec::new();
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(address) else { break };
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("the socket option can be set");
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        loop {
            let id = format!("{name}-{}", calls.len());
            let kind = KINDS[rng.random_range(0..KINDS.len())];
            let deadline = format!("sill-deadline-ms: {}\r\n", rng.random_range(200..4000));
            let text = request_as(&id, &format!("/{kind}/x"), &deadline);
            if stream.write_all(text.as_bytes()).is_err() {
                break;
            }
            let got = try_read_answer(&mut reader);
            let is_reusable = got.as_ref().is_some_and(|got| got.is_complete)
                && !got
                    .as_ref()
                    .is_some_and(|got| got.head.to_lowercase().contains("connection: close"));
            calls.push(Call { id, kind, got });
            if !is_reusable {
                // A caller pauses before it connects again.
                thread::sleep(RECONNECT_PAUSE);
                break;
            }
        }
    }
    calls
}

/// An entry instance stops while callers reuse their connections, and endpoints answer, refuse,
/// break off and hang. In any combination, each call that was started must get an answer, one that
/// may not be repeated must run once, one refused as not run must never run, and each cut must have
/// a log line with the reason.
#[test]
fn no_stop_loses_repeats_or_misreports_a_call() {
    lines::capture();
    let seed = random::seed(1);
    for case in 0..u64::from(random::cases(4)) {
        run_one_stop(seed.wrapping_mul(1000) + case);
    }
}

fn run_one_stop(seed: u64) {
    let mut rng = random::seeded(seed);
    let actions = (0..3).map(|_| (0..600).map(|_| random_action(&mut rng)).collect()).collect();
    let mut harness = Harness::start_with_stop_limit(LIMIT, actions);
    let address = harness.address;
    let until = Instant::now() + STOP_DELAY + LIMIT.into();
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let name = format!("s{seed}c{i}");
            thread::spawn(move || make_calls(address, seed ^ i as u64, &name, until))
        })
        .collect();
    thread::sleep(STOP_DELAY);
    let run_ids: Vec<_> =
        harness.endpoints.iter().map(|endpoint| endpoint.run_ids.clone()).collect();
    harness.stop();
    // Drops what is still open, as the end of the process does.
    drop(harness);
    let calls: Vec<Call> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("the caller thread ends"))
        .collect();
    let run_ids: Vec<String> = run_ids.iter().flat_map(|run_ids| run_ids.lock().clone()).collect();
    let count = |is: fn(&CallerResponse) -> bool| {
        calls.iter().filter(|c| c.got.as_ref().is_some_and(is)).count()
    };
    println!(
        "seed {seed}: {} calls, {} answered, {} refused, {} failed, {} cut, {} without an answer",
        calls.len(),
        count(|got| got.status == 200 && got.is_complete),
        count(|got| got.status == 503),
        count(|got| got.status >= 500 && got.status != 503),
        count(|got| !got.is_complete),
        calls.iter().filter(|call| call.got.is_none()).count(),
    );
    for call in &calls {
        check_call(seed, call, run_ids.iter().filter(|id| **id == call.id).count());
    }
}

fn check_call(seed: u64, call: &Call, runs: usize) {
    let Call { id, kind, got } = call;
    let details =
        || format!("seed {seed}, {kind} {id}, {runs} runs: {got:?} {:?}", lines::of_call(id));
    assert!(
        call.may_repeat() || runs <= 1,
        "call that may not be repeated ran more than once: {}",
        details()
    );
    let Some(got) = got else {
        assert_eq!(runs, 0, "call ran and got no answer: {}", details());
        return;
    };
    let says_not_run = got.head.contains("sill-not-run: true");
    assert!(!says_not_run || runs == 0, "call reported as not run has run: {}", details());
    assert!(
        got.is_complete || is_explained(id),
        "answer cut without a log line that says why: {}",
        details()
    );
}

/// Returns whether the log line of a call says why its answer was cut.
fn is_explained(id: &str) -> bool {
    let lines = lines::of_call(id);
    let line = lines.iter().find(|line| line.starts_with("event=call "));
    line.is_some_and(|line| ["cut", "cut_by_stop", "out_of_time"].contains(&value(line, "outcome")))
}
