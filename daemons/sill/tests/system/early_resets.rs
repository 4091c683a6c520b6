//! Endpoints that answer a long upload early, and reset the connection while it is still being written.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::harness::CALLER_KEY;
use crate::serving::{HOST, Serving, announce};

/// Endpoints, of which the first ones are left alone once they have failed.
const ENDPOINTS: usize = 12;

/// Calls of each case.
const CALLS: usize = 24;

/// Size of a call that fits into no buffer on its way.
const LARGE: usize = 4_100_000;

/// Bytes of a call that an endpoint reads before it answers.
const READ_BYTES: usize = 16 << 10;

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Time for entry instances to hear of endpoints.
const NEWS_TIME: Duration = Duration::from_millis(1500);

/// Time that a caller waits for its answer; routes have a time-out of 5 s.
const PATIENCE: Duration = Duration::from_secs(20);

/// An event of a stream, and the body of a plain answer.
const PART: &str = "id: 1\ndata: x\n\n";

#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    headers: &'static str,
    /// Pause before the reset; none if the connection is closed with the upload unread.
    reset_after: Option<Duration>,
    /// Whether what the endpoint sends is a whole answer.
    is_whole: bool,
}

fn serve(mut stream: TcpStream, case: Case) -> Option<()> {
    let mut buf = vec![0; READ_BYTES];
    let mut text = String::new();
    while text.len() < READ_BYTES {
        let n = stream.read(&mut buf).ok().filter(|n| *n > 0)?;
        text.push_str(&String::from_utf8_lossy(&buf[..n]));
        if text.contains("content-length: 0\r\n") || !text.contains("x-upload: ") {
            return None;
        }
    }
    let id = text.lines().find_map(|line| line.strip_prefix("sill-request-id: "))?.to_owned();
    let answer = format!("HTTP/1.1 200 OK\r\nsill-request-id: {id}\r\n{}\r\n{PART}", case.headers);
    stream.write_all(answer.as_bytes()).ok()?;
    match case.reset_after {
        Some(pause) => {
            thread::sleep(pause);
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).ok()
        }
        None => stream.shutdown(std::net::Shutdown::Write).ok(),
    }
}

fn run_endpoint(
    i: usize,
    case: Case,
    (address, control): (SocketAddr, SocketAddr),
    is_over: Arc<AtomicBool>,
) {
    let listener = TcpListener::bind(address).expect("the address is reserved");
    let announced = is_over.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            if announced.load(Ordering::Relaxed) {
                return;
            }
            announce(control, i, 1, sequence, address);
            thread::sleep(ANNOUNCE_INTERVAL);
        }
    });
    for stream in listener.incoming().flatten() {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        thread::spawn(move || serve(stream, case));
    }
}

/// How a call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// A 200 that is complete by its framing.
    Complete,
    /// A 200 that isn't.
    Cut,
    Other(u16),
    None,
}

fn call(gateway: SocketAddr, number: usize) -> Outcome {
    let path = ["looked-up", "booked", "told", "dictated"][number % 4];
    let mut stream = TcpStream::connect(gateway).expect("the entry instance listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("the option can be set");
    let head = format!(
        "POST /{path}/{number} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         sill-request-id: u-{number}\r\nx-upload: yes\r\nconnection: close\r\n\
         content-length: {LARGE}\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(&vec![b'x'; LARGE]);
    let mut bytes = Vec::new();
    let is_closed = stream.read_to_end(&mut bytes).is_ok();
    let text = String::from_utf8_lossy(&bytes).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return Outcome::None };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let is_complete = match head.contains("transfer-encoding: chunked") {
        true => body.ends_with("0\r\n\r\n"),
        false => {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            length.map_or(is_closed, |length| length.parse() == Ok(body.len()))
        }
    };
    match (status, is_complete) {
        (200, true) => Outcome::Complete,
        (200, false) => Outcome::Cut,
        _ => Outcome::Other(status),
    }
}

/// Callers get a part of an answer as a complete one, or a failure in place of a whole answer, as its endpoint
/// resets the connection on which the upload is still being written.
#[test]
fn an_answer_that_is_reset_beside_its_upload_is_complete_only_if_its_framing_says_so() {
    let part = Case { name: "", headers: "", reset_after: None, is_whole: false };
    let ms = |ms| Some(Duration::from_millis(ms));
    // A call that follows on the connection would be reset without an answer.
    let length = "connection: close\r\ncontent-length: 15\r\n";
    let cases = [
        Case { name: "close, 0 ms", headers: "connection: close\r\n", reset_after: ms(0), ..part },
        Case { name: "no length, 0 ms", reset_after: ms(0), ..part },
        Case { name: "no length, 20 ms", reset_after: ms(20), ..part },
        Case { name: "no length, closed", ..part },
        Case { name: "length, closed", headers: length, is_whole: true, ..part },
        Case { name: "length, 20 ms", headers: length, reset_after: ms(20), is_whole: true },
    ];
    let mut wrong = Vec::new();
    for case in cases {
        let mut serving = Serving::start("early-resets", 1, ENDPOINTS);
        let is_over = Arc::<AtomicBool>::default();
        for i in 0..ENDPOINTS {
            let addresses = (serving.endpoint(i), serving.control());
            let is_over = is_over.clone();
            thread::spawn(move || run_endpoint(i, case, addresses, is_over));
        }
        serving.start_gateways();
        thread::sleep(NEWS_TIME);
        let gateway = serving.gateway(0);
        let outcomes: Vec<Outcome> = thread::scope(|scope| {
            let calls = (0..CALLS).map(|number| scope.spawn(move || call(gateway, number)));
            let calls: Vec<_> = calls.collect();
            calls.into_iter().map(|call| call.join().expect("no caller panics")).collect()
        });
        is_over.store(true, Ordering::Relaxed);
        let count = |outcome| outcomes.iter().filter(|other| **other == outcome).count();
        let (complete, cut) = (count(Outcome::Complete), count(Outcome::Cut));
        println!("{}: {complete} complete, {cut} cut, of {CALLS}: {outcomes:?}", case.name);
        // Calls whose endpoints have all failed are refused.
        let is_right = match case.is_whole {
            true => complete > 0 && count(Outcome::Other(502)) == 0 && cut == 0,
            false => complete == 0,
        };
        if !is_right || outcomes.contains(&Outcome::None) {
            wrong.push((case.name, outcomes));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
