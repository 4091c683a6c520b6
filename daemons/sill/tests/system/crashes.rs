//! Requests under which endpoints crash, with several entry instances.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::harness::{Answer, CALLER_KEY, read_answer, wait_until};
use crate::serving::{HOST, Serving, announce, read_request};

const GATEWAYS: usize = 3;
const ENDPOINTS: usize = 8;

/// The body of the request that crashes each endpoint that runs it.
const CRASHING_BODY: &str = "crash";

/// How long an endpoint is down after a crash.
const DOWN_TIME: Duration = Duration::from_millis(700);

/// What the endpoints of a test have in common.
#[derive(Default)]
struct Endpoints {
    /// Number of times that an endpoint ran [`CRASHING_BODY`].
    crashing_runs: AtomicUsize,
    /// Number of crashes.
    crashes: AtomicUsize,
    /// Index of the endpoint that crashes by itself next, plus one.
    crashes_next: AtomicUsize,
    is_over: AtomicBool,
}

/// Entry instances for routes, and endpoints that may crash.
struct System {
    serving: Serving,
    endpoints: Arc<Endpoints>,
}

impl System {
    fn start(test: &str) -> Self {
        let mut serving = Serving::start(test, GATEWAYS, ENDPOINTS);
        let endpoints = Arc::<Endpoints>::default();
        for i in 0..ENDPOINTS {
            let (address, control) = (serving.endpoint(i), serving.control());
            let endpoints = endpoints.clone();
            thread::spawn(move || run_endpoint(i, address, control, &endpoints));
        }
        serving.start_gateways();
        Self { serving, endpoints }
    }

    fn gateway(&self, i: usize) -> SocketAddr {
        self.serving.gateway(i)
    }

    fn crashing_runs(&self) -> usize {
        self.endpoints.crashing_runs.load(Ordering::Relaxed)
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.endpoints.is_over.store(true, Ordering::Relaxed);
    }
}

/// Sends a request with a new id.
fn call(to: SocketAddr, body: &str) -> Option<Answer> {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok()?;
    let text = format!(
        "POST /looked-up/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         sill-request-id: r-{id}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    read_answer(&String::from_utf8_lossy(&answer))
}

fn is_blocked(answer: &Answer) -> bool {
    answer.status == 503 && answer.body.contains("request_blocked")
}

/// Runs one incarnation of an endpoint after the other.
fn run_endpoint(i: usize, address: SocketAddr, control: SocketAddr, endpoints: &Arc<Endpoints>) {
    for incarnation in 1.. {
        let Ok(listener) = TcpListener::bind(address) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        listener.set_nonblocking(true).expect("the socket option can be set");
        let has_crashed = Arc::<AtomicBool>::default();
        let announced = (has_crashed.clone(), endpoints.clone());
        thread::spawn(move || {
            announce_until_crash(i, incarnation, address, control, &announced.0, &announced.1)
        });
        let mut streams = Vec::new();
        while !has_crashed.load(Ordering::Relaxed) {
            if endpoints.is_over.load(Ordering::Relaxed) {
                return;
            }
            let next = &endpoints.crashes_next;
            if next.compare_exchange(i + 1, 0, Ordering::Relaxed, Ordering::Relaxed).is_ok() {
                has_crashed.store(true, Ordering::Relaxed);
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            stream.set_nonblocking(false).expect("the socket option can be set");
            streams.push(stream.try_clone().expect("the socket can be cloned"));
            let (has_crashed, endpoints) = (has_crashed.clone(), endpoints.clone());
            thread::spawn(move || serve(stream, &has_crashed, &endpoints));
        }
        endpoints.crashes.fetch_add(1, Ordering::Relaxed);
        drop(listener);
        for stream in streams {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        thread::sleep(DOWN_TIME);
    }
}

fn serve(mut stream: TcpStream, has_crashed: &AtomicBool, endpoints: &Endpoints) {
    while let Some((id, body)) = read_request(&mut stream) {
        if body == CRASHING_BODY {
            endpoints.crashing_runs.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(20));
            has_crashed.store(true, Ordering::Relaxed);
            return;
        }
        thread::sleep(Duration::from_millis(40));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nsill-request-id: {id}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        if has_crashed.load(Ordering::Relaxed) || stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn announce_until_crash(
    i: usize,
    incarnation: u64,
    address: SocketAddr,
    control: SocketAddr,
    has_crashed: &AtomicBool,
    endpoints: &Endpoints,
) {
    for sequence in 1.. {
        if has_crashed.load(Ordering::Relaxed) || endpoints.is_over.load(Ordering::Relaxed) {
            return;
        }
        announce(control, i, incarnation, sequence, address);
        thread::sleep(Duration::from_millis(300));
    }
}

/// Sends the same request again and again until the flag is set; returns how many answers had
/// status 200, and how many did not.
fn send_until(stop: &AtomicBool, gateways: &[SocketAddr], body: &str) -> (usize, usize) {
    let (mut served, mut failed) = (0, 0);
    for i in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let answer = call(gateways[i % gateways.len()], body);
        assert!(!answer.as_ref().is_some_and(is_blocked), "{body} was blocked: {answer:?}");
        match answer.is_some_and(|answer| answer.status == 200) {
            true => served += 1,
            false => failed += 1,
        }
        thread::sleep(Duration::from_millis(10));
    }
    (served, failed)
}

/// Sends requests until the flag is set, each body by another caller.
fn start_callers(
    system: &System,
    bodies: usize,
    stop: &Arc<AtomicBool>,
) -> Vec<thread::JoinHandle<(usize, usize)>> {
    let gateways: Vec<SocketAddr> = (0..GATEWAYS).map(|i| system.gateway(i)).collect();
    let callers = (0..9).map(|i| {
        let (stop, gateways) = (stop.clone(), gateways.clone());
        thread::spawn(move || send_until(&stop, &gateways, &format!("other {}", i % bodies)))
    });
    callers.collect()
}

/// One request crashes each endpoint that runs it and comes again at any entry instance. If it were
/// sent each time, it would keep all endpoints down, and the requests beside it would fail. It must
/// reach no endpoint once all entry instances know of three crashes, also one that starts later, and
/// no other request may be refused because of it.
#[test]
fn a_request_that_crashes_endpoints_is_blocked_at_all_entry_instances() {
    let mut system = System::start("crashing-request");
    let stop = Arc::<AtomicBool>::default();
    let callers = start_callers(&system, 9, &stop);
    let mut blocked = [false; GATEWAYS];
    for i in 0..150 {
        let answer = call(system.gateway(i), CRASHING_BODY);
        blocked[i % GATEWAYS] = answer.is_some_and(|answer| is_blocked(&answer));
        if blocked == [true; GATEWAYS] {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(blocked, [true; GATEWAYS], "after {} runs", system.crashing_runs());
    stop.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| _ = caller.join().expect("no caller was blocked"));

    let runs = system.crashing_runs();
    let stop = Arc::<AtomicBool>::default();
    wait_until("all others are answered", || {
        (0..20).all(|i| call(system.gateway(i), "other").is_some_and(|a| a.status == 200))
    });
    let callers = start_callers(&system, 9, &stop);
    for i in 0..30 {
        let answer = call(system.gateway(i), CRASHING_BODY).expect("an answer");
        assert!(is_blocked(&answer), "{answer:?}");
        assert!(answer.head.contains("sill-not-run: true"), "{}", answer.head);
        assert!(answer.head.contains("retry-after: "), "{}", answer.head);
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let (served, failed) = caller.join().expect("no caller was blocked");
        assert!(served > 0 && failed == 0, "{served} answered, {failed} not");
    }
    for i in 0..GATEWAYS {
        system.serving.restart_gateway(i);
        let answer = call(system.gateway(i), CRASHING_BODY).expect("an answer");
        assert!(is_blocked(&answer), "by an instance that has just started: {answer:?}");
    }
    assert_eq!(system.crashing_runs(), runs, "the request was sent to endpoints again");
}

/// Endpoints crash by themselves while everybody sends the same three requests, which break off in
/// each crash. None of them is the cause, so none may be refused.
#[test]
fn no_request_is_blocked_when_endpoints_crash_by_themselves() {
    let system = System::start("crashing-endpoints");
    let stop = Arc::<AtomicBool>::default();
    let callers = start_callers(&system, 3, &stop);
    for i in 0..24 {
        system.endpoints.crashes_next.store(1 + i % ENDPOINTS, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(250));
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let (served, _) = caller.join().expect("no caller was blocked");
        assert!(served > 0);
    }
    assert!(system.endpoints.crashes.load(Ordering::Relaxed) >= 12);
}
