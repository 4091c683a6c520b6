//! Calls on kept connections while entry instances are stopped one after the other, all get SIGHUP, and the
//! routes are moved.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::harness::CALLER_KEY;
use crate::serving::{HOST, OTHER_SERVICE, SERVICE, Serving, announce_as, read_request};

const GATEWAYS: usize = 3;

/// Endpoints of each service.
const ENDPOINTS: usize = 3;

const CALLERS: usize = 16;

/// Number of stops, of one entry instance after the other.
const STOPS: usize = 4;

/// Time for entry instances to hear of endpoints.
const NEWS_TIME: Duration = Duration::from_millis(1500);

const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

const SIGNAL_INTERVAL: Duration = Duration::from_millis(60);

const CHANGE_INTERVAL: Duration = Duration::from_millis(150);

/// Time that an endpoint takes for an answer.
const SERVICE_TIME: Duration = Duration::from_millis(30);

/// Pause of a caller between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(5);

/// Time that a caller waits for its answer; routes have a time-out of 5 s.
const PATIENCE: Duration = Duration::from_secs(20);

const BODY: &str = "body";

const UNPOISONED: &str = "no thread panics with the lock";

/// The ids of calls that endpoints have begun.
type Begun = Arc<Mutex<BTreeSet<String>>>;

/// A call without a complete answer.
#[derive(Debug)]
struct Closed {
    id: String,
    /// Whether a part of its answer came.
    has_begun: bool,
    after: Duration,
}

#[derive(Debug, Default)]
struct Outcomes {
    answered: usize,
    refused: Vec<String>,
    other: Vec<(String, u16)>,
    closed: Vec<Closed>,
}

fn run_endpoint(
    (service, name): (&'static str, String),
    address: SocketAddr,
    control: SocketAddr,
    begun: Begun,
    is_over: Arc<AtomicBool>,
) {
    let listener = TcpListener::bind(address).expect("the address is reserved");
    let announced = is_over.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            if announced.load(Ordering::Relaxed) {
                return;
            }
            announce_as(control, service, &name, (1, sequence), address, "");
            thread::sleep(ANNOUNCE_INTERVAL);
        }
    });
    for mut stream in listener.incoming().flatten() {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let begun = begun.clone();
        let _ = stream.set_nodelay(true);
        thread::spawn(move || {
            while let Some((id, _)) = read_request(&mut stream) {
                begun.lock().expect(UNPOISONED).insert(id.clone());
                thread::sleep(SERVICE_TIME);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nsill-request-id: {id}\r\ncontent-length: {}\r\n\r\n{id}",
                    id.len()
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

/// Reads one answer. Fails with whether a part of it came.
fn read_answer(reader: &mut BufReader<TcpStream>) -> Result<(u16, String), bool> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        match reader.read_line(&mut head) {
            Ok(1..) => {}
            Ok(0) | Err(_) => return Err(!head.is_empty()),
        }
    }
    let lower = head.to_lowercase();
    let length = lower.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a number"))];
    reader.read_exact(&mut body).map_err(|_| true)?;
    Ok((lower.split(' ').nth(1).and_then(|status| status.parse().ok()).expect("a status"), lower))
}

/// Sends calls on kept connections, to one entry instance after the other.
fn call_until_over(caller: usize, gateways: &[SocketAddr], is_over: &AtomicBool) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut number = 0;
    for gateway in (caller..).map(|i| gateways[i % gateways.len()]) {
        if is_over.load(Ordering::Relaxed) {
            return outcomes;
        }
        let Ok(mut stream) = TcpStream::connect(gateway) else {
            thread::sleep(CALL_INTERVAL);
            continue;
        };
        stream.set_read_timeout(Some(PATIENCE)).expect("the option can be set");
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        let mut is_kept = true;
        while is_kept && !is_over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("c{caller}-{number}");
            let path = if number % 2 == 0 { "booked" } else { "looked-up" };
            let call = format!(
                "POST /{path}/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CALLER_KEY}\r\n\
                 sill-request-id: {id}\r\ncontent-length: {}\r\n\r\n{BODY}",
                BODY.len()
            );
            let is_sent = stream.write_all(call.as_bytes()).is_ok();
            let sent_at = Instant::now();
            is_kept = false;
            match read_answer(&mut reader) {
                Ok((200, head)) => {
                    outcomes.answered += 1;
                    is_kept = !head.contains("connection: close");
                }
                Ok((503, _)) => outcomes.refused.push(id),
                Ok((status, _)) => outcomes.other.push((id, status)),
                Err(has_begun) if is_sent || has_begun => {
                    outcomes.closed.push(Closed { id, has_begun, after: sent_at.elapsed() });
                }
                Err(_) => {}
            }
            thread::sleep(CALL_INTERVAL);
        }
    }
    outcomes
}

/// Planned work ends a call that was sent on without a complete answer, or refuses it although it has run.
#[test]
fn calls_beside_stops_in_series_signals_and_changes_are_answered() {
    let mut serving = Serving::start("planned-work", GATEWAYS, 2 * ENDPOINTS);
    let (begun, is_over) = (Begun::default(), Arc::<AtomicBool>::default());
    // Endpoints serve until the last caller has its answer.
    let are_callers_done = Arc::<AtomicBool>::default();
    for i in 0..2 * ENDPOINTS {
        let service = if i < ENDPOINTS { SERVICE } else { OTHER_SERVICE };
        let (address, control) = (serving.endpoint(i), serving.control());
        let (begun, are_callers_done) = (begun.clone(), are_callers_done.clone());
        thread::spawn(move || {
            run_endpoint((service, format!("e{i}")), address, control, begun, are_callers_done);
        });
    }
    serving.start_gateways();
    thread::sleep(NEWS_TIME);
    let gateways: Arc<[SocketAddr]> = (0..GATEWAYS).map(|i| serving.gateway(i)).collect();
    let callers: Vec<JoinHandle<Outcomes>> = (0..CALLERS)
        .map(|caller| {
            let (gateways, is_over) = (gateways.clone(), is_over.clone());
            thread::spawn(move || call_until_over(caller, &gateways, &is_over))
        })
        .collect();
    let mut changes = 0;
    for stop in 0..STOPS {
        let i = stop % GATEWAYS;
        serving.gateways[i].signal("-TERM");
        let mut changed_at = Instant::now();
        while serving.gateways[i].try_wait().is_none() {
            serving.gateways.iter().for_each(|gateway| gateway.signal("-HUP"));
            thread::sleep(SIGNAL_INTERVAL);
            if changed_at.elapsed() >= CHANGE_INTERVAL {
                changes += 1;
                let services = [SERVICE, OTHER_SERVICE];
                let services = [&services[..1], &services[1..], &services[..]][changes % 3];
                serving.move_routes(&format!("change-{changes}"), services);
                changed_at = Instant::now();
            }
        }
        serving.start_gateway_again(i);
    }
    is_over.store(true, Ordering::Relaxed);
    let begun = || begun.lock().expect(UNPOISONED);
    let mut all = Outcomes::default();
    for caller in callers {
        let outcomes = caller.join().expect("callers don't panic");
        all.answered += outcomes.answered;
        all.refused.extend(outcomes.refused);
        all.other.extend(outcomes.other);
        all.closed.extend(outcomes.closed);
    }
    are_callers_done.store(true, Ordering::Relaxed);
    let latest = all.closed.iter().map(|closed| closed.after).max().unwrap_or_default();
    println!(
        "{} answered, {} refused, {} failed, {} closed without an answer, {latest:?} after their sending \
         at most; {} stops, {changes} changes",
        all.answered,
        all.refused.len(),
        all.other.len(),
        all.closed.len(),
        STOPS
    );
    let begun = begun();
    all.refused.retain(|id| begun.contains(id));
    all.closed.retain(|closed| closed.has_begun || begun.contains(&closed.id));
    assert!(all.answered > 0, "no call was answered");
    assert!(all.refused.is_empty(), "refused though they have run: {:?}", all.refused);
    assert!(all.closed.is_empty(), "sent on and closed: {:#?}", all.closed);
    assert!(all.other.is_empty(), "failed: {:?}", all.other);
}
