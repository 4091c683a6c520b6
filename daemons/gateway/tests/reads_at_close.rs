//! Whole requests that an entry instance reads as it closes connections in a planned stop.

#[allow(dead_code)] // The tests of closes use a part of it.
mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use sill_base::Millis;
use support::{
    Action, CallerResponse, Harness, KEY, answer_of, exchange, request, request_as,
    try_read_answer, wait_until_ready_is,
};

/// Time that a stop may last.
const LIMIT: Millis = Millis(2000);

/// Number of callers of each case.
const CALLERS: usize = 8;

/// Calls of each caller before the stop, so that the usual time of the route is known.
const ON_RECORD: usize = 4;

/// Pause between the sends of two callers, so that the last one sends after the connections are
/// closed.
const STAGGER: Duration = Duration::from_millis(40);

/// Size of a body that fits into no buffer on its way.
const LARGE: usize = 3 << 20;

/// What a caller writes on a kept connection: parts, with a pause before each.
struct Case {
    name: &'static str,
    parts: fn(usize) -> Vec<(Duration, String)>,
    /// Number of requests in these parts.
    requests: usize,
    /// Whether the caller has had answers on the connection.
    is_kept: bool,
    /// Whether each request has to be answered, as its first part is sent before the stop.
    is_read: bool,
}

const NO_PAUSE: Duration = Duration::ZERO;

fn id(caller: usize, number: usize) -> String {
    format!("c{caller}-{number}")
}

fn whole(caller: usize, number: usize) -> String {
    request_as(&id(caller, number), "/non_idempotent/x", "")
}

fn large(caller: usize, number: usize) -> String {
    format!(
        "POST /non_idempotent/x HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer {KEY}\r\n\
         sill-request-id: {}\r\ncontent-length: {LARGE}\r\n\r\n{}",
        id(caller, number),
        "x".repeat(LARGE)
    )
}

fn in_two(text: &str, at: usize, pause: Duration) -> Vec<(Duration, String)> {
    let (first, rest) = text.split_at(at);
    vec![(NO_PAUSE, first.to_owned()), (pause, rest.to_owned())]
}

fn stagger(caller: usize) -> Duration {
    STAGGER * caller as u32
}

fn cases() -> [Case; 9] {
    [
        Case {
            name: "one request each, around the close",
            parts: |c| vec![(stagger(c), whole(c, 1))],
            requests: 1,
            is_kept: true,
            is_read: false,
        },
        Case {
            name: "two in one segment",
            parts: |c| vec![(stagger(c), whole(c, 1) + &whole(c, 2))],
            requests: 2,
            is_kept: true,
            is_read: false,
        },
        Case {
            name: "two in one segment, the second with a large body",
            parts: |c| vec![(stagger(c), whole(c, 1) + &large(c, 2))],
            requests: 2,
            is_kept: true,
            is_read: false,
        },
        Case {
            name: "the rest of a head after the close",
            parts: |c| in_two(&whole(c, 1), 40, Duration::from_millis(700)),
            requests: 1,
            is_kept: true,
            is_read: false,
        },
        Case {
            name: "the rest of a body after the close was decided",
            parts: |c| in_two(&whole(c, 1), whole(c, 1).len() - 2, Duration::from_millis(700)),
            requests: 1,
            is_kept: true,
            is_read: true,
        },
        Case {
            name: "a large body around the close",
            parts: |c| vec![(stagger(c), large(c, 1))],
            requests: 1,
            is_kept: true,
            is_read: false,
        },
        Case {
            name: "the rest of a large body after the close was decided",
            parts: |c| in_two(&large(c, 1), LARGE / 2, Duration::from_millis(700)),
            requests: 1,
            is_kept: true,
            is_read: true,
        },
        Case {
            name: "a large body on a new connection",
            parts: |c| vec![(stagger(c), large(c, 1))],
            requests: 1,
            is_kept: false,
            is_read: false,
        },
        Case {
            name: "the rest of a large body on a connection with no request before",
            parts: |c| in_two(&large(c, 1), LARGE / 2, Duration::from_millis(700)),
            requests: 1,
            is_kept: false,
            is_read: true,
        },
    ]
}

fn connect(address: SocketAddr) -> (TcpStream, BufReader<TcpStream>) {
    let stream = TcpStream::connect(address).expect("the entry instance accepts connections");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the option can be set");
    let reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
    (stream, reader)
}

/// Sends the parts, counts the first ones in `begun`, and returns the answers up to the end of the connection.
fn send(
    (mut stream, mut reader): (TcpStream, BufReader<TcpStream>),
    parts: Vec<(Duration, String)>,
    requests: usize,
    begun: Arc<AtomicUsize>,
) -> Vec<CallerResponse> {
    let writer = thread::spawn(move || {
        for (pause, part) in parts {
            thread::sleep(pause);
            if stream.write_all(part.as_bytes()).is_err() {
                return;
            }
            begun.fetch_add(1, Ordering::Relaxed);
        }
    });
    let answers = std::iter::from_fn(|| try_read_answer(&mut reader)).take(requests).collect();
    writer.join().expect("the caller's thread ends");
    answers
}

/// Returns what is wrong with the calls of a case.
fn play(case: &Case) -> Vec<String> {
    let actions = [
        vec![Action::Answer(answer_of("first")); CALLERS * ON_RECORD],
        vec![Action::Hang],
        vec![Action::Answer(answer_of("whole")); 100],
    ];
    let mut harness = Harness::start_with_stop_limit(LIMIT, vec![actions.concat()]);
    let address = harness.address;
    let mut kept: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (mut stream, mut reader) = connect(address);
            for _ in 0..ON_RECORD {
                let text = request("/non_idempotent/x", "");
                stream.write_all(text.as_bytes()).expect("the peer reads the bytes");
                assert!(try_read_answer(&mut reader).is_some(), "{}: before the stop", case.name);
            }
            (stream, reader)
        })
        .collect();
    // A call from before the signal has the stop last for all of its time.
    let older = thread::spawn(move || exchange(address, &request("/idempotent/x", "")));
    while harness.endpoints[0].requests() <= CALLERS * ON_RECORD {
        thread::sleep(Duration::from_millis(1));
    }
    let (ready, run_ids) = (harness.ready_address, harness.endpoints[0].run_ids.clone());
    let begun = Arc::<AtomicUsize>::default();
    let mut begin = || -> Vec<JoinHandle<Vec<CallerResponse>>> {
        let callers = (0..CALLERS).map(|c| {
            let connection = if case.is_kept { kept.remove(0) } else { connect(address) };
            let (parts, requests, begun) = ((case.parts)(c), case.requests, begun.clone());
            thread::spawn(move || send(connection, parts, requests, begun))
        });
        callers.collect()
    };
    let early = if case.is_read { begin() } else { Vec::new() };
    while begun.load(Ordering::Relaxed) < early.len() {
        thread::sleep(Duration::from_millis(1));
    }
    let stop = thread::spawn(move || {
        harness.stop();
        drop(harness);
    });
    wait_until_ready_is(503, ready);
    let callers = if early.is_empty() { begin() } else { early };
    let (mut faults, mut counts) = (Vec::new(), [0; 3]);
    for (c, caller) in callers.into_iter().enumerate() {
        let answers = caller.join().expect("the caller's thread ends");
        for number in 1..=case.requests {
            let has_run = run_ids.lock().contains(&id(c, number));
            let status = answers.get(number - 1).map(|got| (got.status, got.is_complete));
            counts[status.map_or(0, |(status, _)| if status == 200 { 1 } else { 2 })] += 1;
            let is_right = match status {
                Some((200, true)) => has_run,
                Some((503, true)) => !has_run,
                Some(_) => false,
                None => !has_run && !case.is_read,
            };
            if !is_right {
                faults.push(format!("{}: caller {c}: {status:?}, run: {has_run}", case.name));
            }
        }
    }
    let [closed, answered, refused] = counts;
    println!("{}: {answered} answered, {refused} refused, {closed} closed", case.name);
    assert_eq!(older.join().expect("the caller gets an answer").status, 502, "{}", case.name);
    stop.join().expect("the entry instance stops");
    faults
}

/// An entry instance closes a connection while a request arrives on it. One that is sent on must be
/// answered, and so must one whose head was read before.
#[test]
fn a_request_beside_a_close_is_answered_or_not_run() {
    let plays = cases().map(|case| thread::spawn(move || play(&case)));
    let faults: Vec<String> =
        plays.into_iter().flat_map(|playing| playing.join().expect("the case is played")).collect();
    assert!(faults.is_empty(), "{faults:#?}");
}
