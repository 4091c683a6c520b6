//! Stops of entry instances while all endpoints fall silent for a moment, beside changes of settings.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::{CALLER_KEY, wait_until};
use crate::serving::{HOST, SERVICE, Serving, ServingCfg, announce};

const GATEWAYS: usize = 3;
const ENDPOINTS: usize = 6;

/// Callers of each entry instance.
const CALLERS: usize = 6;

/// Events of a stream, and the pause between two.
const EVENTS: usize = 12;
const PAUSE: Duration = Duration::from_millis(100);

/// Time that a caller waits for each part of an answer; routes have a time-out of 5 s.
const PATIENCE: Duration = Duration::from_secs(7);

const UNPOISONED: &str = "no thread panics with the lock";

/// What all endpoints and callers of a play share.
#[derive(Default)]
struct Shared {
    is_silent: AtomicBool,
    is_over: AtomicBool,
    calls: AtomicUsize,
    /// Calls that were read completely and whose connection ended without a complete answer.
    lost: Mutex<Vec<String>>,
}

impl Shared {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Waits while all endpoints are silent. Each goes on a different while after the silence.
    fn wait_until_heard(&self, number: usize) {
        let mut was_silent = false;
        while self.is_silent.load(Ordering::Relaxed) && !self.is_over() {
            was_silent = true;
            thread::sleep(Duration::from_millis(2));
        }
        if was_silent {
            thread::sleep(Duration::from_millis((number * 61 % 300) as u64));
        }
    }
}

fn run_endpoint(address: SocketAddr, shared: &Arc<Shared>) {
    let listener = TcpListener::bind(address).expect("the address is reserved");
    for (number, stream) in listener.incoming().enumerate() {
        let (Ok(stream), shared) = (stream, shared.clone()) else { return };
        thread::spawn(move || _ = serve(number, stream, &shared));
    }
}

fn serve(number: usize, mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let mut head = Vec::new();
        let mut line = String::new();
        while reader.read_line(&mut line)? > 0 && line != "\r\n" {
            head.push(std::mem::take(&mut line).trim_end().to_owned());
        }
        let Some(first) = head.first() else { return Ok(()) };
        let value = |name: &str| head.iter().find_map(|line| line.strip_prefix(name));
        let length = value("content-length: ").and_then(|text| text.parse().ok()).unwrap_or(0);
        reader.read_exact(&mut vec![0; length])?;
        let id = value("sill-request-id: ").unwrap_or_default();
        let start = format!("HTTP/1.1 200 OK\r\nsill-request-id: {id}\r\n");
        shared.wait_until_heard(number);
        if !first.contains("/told/") {
            thread::sleep(PAUSE * 3);
            shared.wait_until_heard(number);
            stream.write_all(format!("{start}content-length: 4\r\n\r\ndone").as_bytes())?;
            continue;
        }
        let kind = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(format!("{start}{kind}").as_bytes())?;
        let had = value("last-event-id: ").and_then(|text| text.parse().ok()).unwrap_or(0);
        for event in had + 1..=EVENTS {
            thread::sleep(PAUSE);
            shared.wait_until_heard(number + event);
            let text = format!("id: {event}\ndata: {id}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
    }
}

/// Calls again and again on kept connections.
fn run_caller(number: usize, address: SocketAddr, shared: &Shared) {
    let path = ["told", "booked", "looked-up"][number % 3];
    let mut kept: Option<BufReader<TcpStream>> = None;
    while !shared.is_over() {
        let Some(mut reader) = kept.take().or_else(|| connect(address)) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        let call = shared.calls.fetch_add(1, Ordering::Relaxed);
        let at = Instant::now();
        let text = format!(
            "POST /{path}/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CALLER_KEY}\r\n\
             sill-request-id: s-{call}\r\ncontent-length: 4\r\n\r\nbody"
        );
        if reader.get_mut().write_all(text.as_bytes()).is_err() {
            continue;
        }
        match read_answer(&mut reader, path == "told") {
            Ok(is_kept) => kept = is_kept.then_some(reader),
            // A request that crosses the close of its connection was not read.
            Err(Loss::Unanswered) if at.elapsed() < PAUSE => {}
            Err(loss) if !shared.is_over() => {
                let loss =
                    format!("s-{call} {path} at {address}: {loss:?} after {:?}", at.elapsed());
                shared.lost.lock().expect(UNPOISONED).push(loss);
            }
            Err(_) => {}
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn connect(address: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(BufReader::new(stream))
}

/// How an answer is incomplete.
#[derive(Debug, PartialEq, Eq)]
enum Loss {
    Unanswered,
    Silent,
    Broken,
    /// Events are missing or come twice.
    Disordered,
}

/// Reads an answer; returns whether the connection is kept.
fn read_answer(reader: &mut BufReader<TcpStream>, is_stream: bool) -> Result<bool, Loss> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        match reader.read_line(&mut head) {
            Ok(0) => return Err(Loss::Unanswered),
            Ok(_) => {}
            Err(err) if err.kind() == ErrorKind::WouldBlock => return Err(Loss::Silent),
            Err(_) => return Err(Loss::Unanswered),
        }
    }
    let head = head.to_lowercase();
    let is_kept = !head.contains("connection: close");
    let length: Option<usize> =
        head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    if let Some(length) = length {
        let read = reader.read_exact(&mut vec![0; length]);
        return read.map(|()| is_kept).map_err(|_| Loss::Broken);
    }
    let mut body = String::new();
    loop {
        let mut size = String::new();
        let _ = reader.read_line(&mut size);
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return Err(Loss::Broken);
        };
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).map_err(|_| Loss::Broken)?;
        if size == 0 {
            break;
        }
        body.push_str(&String::from_utf8_lossy(&chunk[..size]));
    }
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse::<usize>().ok());
    let is_whole = !is_stream || !head.contains(" 200 ") || ids.eq(1..=EVENTS);
    if is_whole { Ok(is_kept) } else { Err(Loss::Disordered) }
}

/// An entry instance is stopped beside a change of the settings, and all endpoints fall silent: calls
/// that it has read get no complete answer.
#[test]
fn no_call_is_lost_at_a_stop_while_all_endpoints_are_silent() {
    struct Case {
        name: &'static str,
        silence: Duration,
        /// When the silence begins after the signal, or how long before it.
        begins_ms: i64,
    }
    let ms = Duration::from_millis;
    let cases = [
        Case { name: "with-signal", silence: ms(1200), begins_ms: 0 },
        Case { name: "before-signal", silence: ms(2600), begins_ms: -800 },
        Case { name: "after-signal", silence: ms(1200), begins_ms: 700 },
        Case { name: "long-after", silence: ms(2600), begins_ms: 300 },
    ];
    let mut failures = Vec::new();
    for Case { name, silence, begins_ms } in cases {
        let cfg = ServingCfg {
            gateways: GATEWAYS,
            per_domain: GATEWAYS,
            endpoints: ENDPOINTS,
            is_engine: false,
        };
        let mut serving = Serving::start_with(name, cfg);
        let shared = Arc::<Shared>::default();
        for i in 0..ENDPOINTS {
            let (address, control, shared) =
                (serving.endpoint(i), serving.control(), shared.clone());
            let announced = shared.clone();
            thread::spawn(move || run_endpoint(address, &shared));
            thread::spawn(move || {
                for sequence in 1.. {
                    if announced.is_over() {
                        return;
                    }
                    announce(control, i, 1, sequence, address);
                    thread::sleep(Duration::from_millis(300));
                }
            });
        }
        serving.start_gateways();
        for number in 0..GATEWAYS * CALLERS {
            let (address, shared) = (serving.gateway(number % GATEWAYS), shared.clone());
            thread::spawn(move || run_caller(number / GATEWAYS, address, &shared));
        }
        wait_until("calls are answered", || shared.calls.load(Ordering::Relaxed) > 150);
        for stopped in 0..2 {
            let silent = shared.clone();
            let before = Duration::from_millis(begins_ms.min(0).unsigned_abs());
            let after = Duration::from_millis(begins_ms.max(0).unsigned_abs());
            let silence = thread::spawn(move || {
                thread::sleep(after);
                silent.is_silent.store(true, Ordering::Relaxed);
                thread::sleep(silence);
                silent.is_silent.store(false, Ordering::Relaxed);
            });
            thread::sleep(before);
            serving.move_routes(&format!("{name}-{stopped}"), &[SERVICE]);
            serving.gateways[stopped].signal("-TERM");
            let exit = serving.gateways[stopped].wait();
            silence.join().expect("the silence ends");
            if !exit.success() {
                failures.push(format!("{name}: g{stopped} ended with {exit}"));
            }
            serving.restart_gateway(stopped);
            thread::sleep(Duration::from_secs(1));
        }
        shared.is_over.store(true, Ordering::Relaxed);
        let lost = shared.lost.lock().expect(UNPOISONED).clone();
        println!("{name}: {} lost of {}", lost.len(), shared.calls.load(Ordering::Relaxed));
        failures.extend(lost.into_iter().map(|loss| format!("{name}: {loss}")));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
