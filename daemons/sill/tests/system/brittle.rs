//! Endpoints that end if they have to reject too many requests in a second, and say so.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::{Answer, CALLER_KEY, read_answer, wait_until};
use crate::serving::{HOST, Serving, announce, read_request};

const GATEWAYS: usize = 3;
const ENDPOINTS: usize = 6;

/// Callers, each of which makes a call every [`CALL_PAUSE`]: twice what the endpoints hold.
const CALLERS: usize = 48;
const CALL_PAUSE: Duration = Duration::from_millis(300);

/// Requests that an endpoint runs at a time, before and after it holds less.
const ROOM: usize = 12;
const SMALL_ROOM: usize = 4;

/// Time that a request takes.
const SERVICE_TIME: Duration = Duration::from_millis(300);

/// Rejections in a second that an endpoint bears.
const REJECTION_BOUND: usize = 3;

/// Time for which endpoints say that they are brittle before they hold less.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time for which they hold less.
const SMALL_TIME: Duration = Duration::from_secs(10);

/// How long an endpoint is away once it has ended.
const FALL_TIME: Duration = Duration::from_secs(2);

const UNPOISONED: &str = "no thread panics with the lock";

#[derive(Default)]
struct Endpoint {
    running: AtomicUsize,
    rejections: Mutex<VecDeque<Instant>>,
    down_until: Mutex<Option<Instant>>,
    falls: AtomicUsize,
}

#[derive(Default)]
struct Endpoints {
    all: [Endpoint; ENDPOINTS],
    is_brittle: AtomicBool,
    is_small: AtomicBool,
    is_over: AtomicBool,
    rejected: AtomicUsize,
}

impl Endpoints {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn is_down(&self, i: usize) -> bool {
        let down_until = *self.all[i].down_until.lock().expect(UNPOISONED);
        down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Takes a place for a request; returns whether there was one.
    fn begin(&self, i: usize) -> bool {
        let room = if self.is_small.load(Ordering::Relaxed) { SMALL_ROOM } else { ROOM };
        let running = &self.all[i].running;
        let taken = running.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |running| {
            (running < room).then_some(running + 1)
        });
        taken.is_ok()
    }

    fn reject(&self, i: usize) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let mut rejections = self.all[i].rejections.lock().expect(UNPOISONED);
        rejections.push_back(now);
        rejections.retain(|at| now - *at < Duration::from_secs(1));
        if self.is_brittle.load(Ordering::Relaxed) && rejections.len() > REJECTION_BOUND {
            rejections.clear();
            *self.all[i].down_until.lock().expect(UNPOISONED) = Some(now + FALL_TIME);
            self.all[i].falls.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn falls(&self) -> usize {
        self.all.iter().map(|endpoint| endpoint.falls.load(Ordering::Relaxed)).sum()
    }
}

fn run_endpoint(i: usize, address: SocketAddr, control: SocketAddr, endpoints: &Arc<Endpoints>) {
    let listener = TcpListener::bind(address).expect("the address is reserved");
    let announced = endpoints.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            if announced.is_over() {
                return;
            }
            if !announced.is_down(i) {
                announce(control, i, 1, sequence, address);
            }
            thread::sleep(Duration::from_millis(300));
        }
    });
    for stream in listener.incoming().flatten() {
        if endpoints.is_over() {
            return;
        }
        let endpoints = endpoints.clone();
        thread::spawn(move || serve(i, stream, &endpoints));
    }
}

fn serve(i: usize, mut stream: TcpStream, endpoints: &Endpoints) {
    let _ = stream.set_nodelay(true);
    while let Some((id, body)) = read_request(&mut stream) {
        if endpoints.is_down(i) {
            return;
        }
        let has_place = endpoints.begin(i);
        if has_place {
            thread::sleep(SERVICE_TIME);
            endpoints.all[i].running.fetch_sub(1, Ordering::SeqCst);
        } else {
            endpoints.reject(i);
        }
        if endpoints.is_down(i) {
            return;
        }
        let status =
            if has_place { "200 OK" } else { "503 Service Unavailable\r\nsill-not-run: true" };
        let bound = match endpoints.is_brittle.load(Ordering::Relaxed) {
            true => format!("sill-rejection-bound: {REJECTION_BOUND}\r\n"),
            false => String::new(),
        };
        let answer = format!(
            "HTTP/1.1 {status}\r\nsill-request-id: {id}\r\n{bound}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Makes a call on a new connection.
fn call(to: SocketAddr) -> Option<Answer> {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT.fetch_add(1, Ordering::Relaxed);
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let text = format!(
        "POST /looked-up/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         sill-request-id: r-{id}\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    read_answer(&String::from_utf8_lossy(&answer))
}

/// Several entry instances find out at the same time that endpoints hold less than before, each by
/// requests that are rejected, and the endpoints fall over.
#[test]
fn entry_instances_do_not_make_brittle_endpoints_fall() {
    let mut serving = Serving::start("brittle", GATEWAYS, ENDPOINTS);
    let endpoints = Arc::<Endpoints>::default();
    for i in 0..ENDPOINTS {
        let (address, control) = (serving.endpoint(i), serving.control());
        let endpoints = endpoints.clone();
        thread::spawn(move || run_endpoint(i, address, control, &endpoints));
    }
    serving.start_gateways();
    let answered = Arc::<AtomicUsize>::default();
    for i in 0..CALLERS {
        let (address, endpoints, answered) =
            (serving.gateway(i), endpoints.clone(), answered.clone());
        thread::spawn(move || {
            while !endpoints.is_over() {
                let next = Instant::now() + CALL_PAUSE;
                if call(address).is_some_and(|answer| answer.status == 200) {
                    answered.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
    }
    wait_until("calls are answered", || answered.load(Ordering::Relaxed) >= 100);
    endpoints.is_brittle.store(true, Ordering::Relaxed);
    thread::sleep(CONTACT_TIME);
    endpoints.is_small.store(true, Ordering::Relaxed);
    let before = answered.load(Ordering::Relaxed);
    thread::sleep(SMALL_TIME);
    endpoints.is_over.store(true, Ordering::Relaxed);
    let falls = endpoints.falls();
    let line = format!(
        "{falls} falls, {} rejections, {} calls answered in {SMALL_TIME:?}",
        endpoints.rejected.load(Ordering::Relaxed),
        answered.load(Ordering::Relaxed) - before
    );
    println!("{line}");
    assert!(10 * falls <= 20 + ENDPOINTS, "{line}");
    assert!(answered.load(Ordering::Relaxed) > before, "none answered: {line}");
}
