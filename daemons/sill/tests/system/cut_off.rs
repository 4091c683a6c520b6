//! Entry instances whose connections to endpoints fail while those of others work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::harness::{Answer, CALLER_KEY, http, read_answer, wait_until};
use crate::serving::{HOST, Serving, announce, gateway_source, read_request};

const GATEWAYS: usize = 3;
const ENDPOINTS: usize = 8;

/// Callers of each entry instance.
const CALLERS: usize = 4;

/// How long a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(1500);

/// Time after the start of a cut from which on its callers are to be served by other ways.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after which calls are served again by an entry instance that helps and has stood still.
const RETURN_TIME: Duration = Duration::from_millis(500);

/// Time without heartbeats after which endpoints count as ended, and more.
const SILENCE: Duration = Duration::from_millis(4500);

/// How long each cut lasts.
const CUT_TIME: Duration = Duration::from_secs(7);

/// Part of the calls that is to be answered, at instances that are cut off from endpoints.
const SERVED: f64 = 0.97;

const UNPOISONED: &str = "no thread panics with the lock";

/// What an endpoint does with the connections of an entry instance.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Cut {
    /// Serves them.
    #[default]
    None,
    /// Reads and writes nothing.
    Hang,
    /// Resets them.
    Reset,
    /// Serves open ones and resets new ones.
    ResetNew,
}

/// What the endpoints of a test have in common.
#[derive(Default)]
struct Endpoints {
    /// How the connections of each entry instance to each endpoint are cut.
    cuts: Mutex<[[Cut; ENDPOINTS]; GATEWAYS]>,
    /// Notified when a cut has changed.
    changed: Condvar,
    /// Open connections with their entry instances and endpoints.
    open: Mutex<Vec<(usize, usize, TcpStream)>>,
    /// The ids of requests that were run, with the entry instance whose connection carried each.
    runs: Mutex<Vec<(String, usize)>>,
    /// Whether they announce nothing.
    is_silent: AtomicBool,
    is_over: AtomicBool,
}

impl Endpoints {
    fn cut(&self, gateway: usize, endpoint: usize) -> Cut {
        self.cuts.lock().expect(UNPOISONED)[gateway][endpoint]
    }

    /// Cuts entry instances off from the first endpoints.
    fn set_cuts(&self, gateways: &[usize], endpoints: usize, cut: Cut) {
        let mut cuts = self.cuts.lock().expect(UNPOISONED);
        gateways.iter().for_each(|gateway| cuts[*gateway][..endpoints].fill(cut));
        drop(cuts);
        self.changed.notify_all();
        if cut == Cut::Reset {
            let is_cut = |gateway, endpoint| gateways.contains(&gateway) && endpoint < endpoints;
            self.close(is_cut);
        }
    }

    /// Resets the open connections between entry instances and endpoints.
    fn close<F>(&self, is_closed: F)
    where
        F: Fn(usize, usize) -> bool,
    {
        self.open.lock().expect(UNPOISONED).retain(|(gateway, endpoint, stream)| {
            if !is_closed(*gateway, *endpoint) {
                return true;
            }
            reset(stream);
            let _ = stream.shutdown(Shutdown::Both);
            false
        });
    }

    /// Waits while a cut holds a connection up; returns false if it ends the connection.
    fn may_go_on(&self, gateway: usize, endpoint: usize) -> bool {
        let cuts = self.cuts.lock().expect(UNPOISONED);
        let is_held = |cuts: &mut [[Cut; ENDPOINTS]; GATEWAYS]| {
            cuts[gateway][endpoint] == Cut::Hang && !self.is_over()
        };
        let cuts = self.changed.wait_while(cuts, is_held).expect(UNPOISONED);
        cuts[gateway][endpoint] != Cut::Reset && !self.is_over()
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.changed.notify_all();
        self.close(|_, _| true);
    }
}

/// One call as its caller saw it.
#[derive(Debug, Clone)]
struct Record {
    id: String,
    gateway: usize,
    at: Instant,
    took: Duration,
    answer: Option<Answer>,
}

impl Record {
    fn is_served(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.status == 200)
    }
}

/// Entry instances, endpoints, and callers that go on until the system is dropped.
struct System {
    serving: Serving,
    endpoints: Arc<Endpoints>,
    records: Arc<Mutex<Vec<Record>>>,
}

impl System {
    fn start(test: &str, path: &'static str) -> Self {
        let mut serving = Serving::start(test, GATEWAYS, ENDPOINTS);
        let endpoints = Arc::<Endpoints>::default();
        for i in 0..ENDPOINTS {
            let (address, control) = (serving.endpoint(i), serving.control());
            let endpoints = endpoints.clone();
            thread::spawn(move || run_endpoint(i, address, control, &endpoints));
        }
        serving.start_gateways();
        let records = Arc::<Mutex<Vec<Record>>>::default();
        for i in 0..GATEWAYS * CALLERS {
            let (gateway, address) = (i % GATEWAYS, serving.gateway(i));
            let (endpoints, records) = (endpoints.clone(), records.clone());
            thread::spawn(move || run_caller(gateway, address, path, &endpoints, &records));
        }
        let system = Self { serving, endpoints, records };
        wait_until("every entry instance has answered ten calls", || {
            let records = system.records.lock().expect(UNPOISONED);
            (0..GATEWAYS)
                .all(|i| records.iter().filter(|r| r.gateway == i && r.is_served()).count() >= 10)
        });
        system
    }

    /// Cuts entry instances off from the first endpoints for a while. Returns the calls that were
    /// sent after [`CONTACT_TIME`] and had to end before the cut did.
    fn cut(&self, gateways: &[usize], endpoints: usize, cut: Cut) -> Vec<Record> {
        let began = Instant::now();
        self.endpoints.set_cuts(gateways, endpoints, cut);
        thread::sleep(CUT_TIME);
        let ended = Instant::now();
        self.endpoints.set_cuts(gateways, endpoints, Cut::None);
        thread::sleep(DEADLINE);
        let records = self.records.lock().expect(UNPOISONED);
        let is_judged = |r: &&Record| r.at >= began + CONTACT_TIME && r.at + DEADLINE <= ended;
        records.iter().filter(is_judged).cloned().collect()
    }

    /// Cuts the first two entry instances off from all endpoints, which then stand still for the
    /// third as well for a while. Returns the calls that were sent after [`RETURN_TIME`] from its end
    /// on and had to end before the cut did.
    fn cut_with_standstill(&self, cut: Cut, from: Duration, to: Duration) -> Vec<Record> {
        let began = Instant::now();
        self.endpoints.set_cuts(&[0, 1], ENDPOINTS, cut);
        thread::sleep(from);
        self.endpoints.set_cuts(&[2], ENDPOINTS, Cut::Hang);
        thread::sleep(to - from);
        self.endpoints.set_cuts(&[2], ENDPOINTS, Cut::None);
        thread::sleep(CUT_TIME - to);
        let ended = Instant::now();
        self.endpoints.set_cuts(&[0, 1], ENDPOINTS, Cut::None);
        thread::sleep(DEADLINE);
        let records = self.records.lock().expect(UNPOISONED);
        let from = began + CONTACT_TIME.max(to + RETURN_TIME);
        let is_judged = |r: &&Record| r.at >= from && r.at + DEADLINE <= ended;
        records.iter().filter(is_judged).cloned().collect()
    }

    /// Returns the number of runs that a connection of an entry instance brought to endpoints.
    fn runs_from(&self, gateway: usize) -> usize {
        let runs = self.endpoints.runs.lock().expect(UNPOISONED);
        runs.iter().filter(|(_, from)| *from == gateway).count()
    }

    /// Checks that an entry instance uses its own connections again.
    fn wait_until_direct(&self, gateway: usize) {
        let before = self.runs_from(gateway);
        wait_until("calls reach endpoints by the instance's own connections again", || {
            self.runs_from(gateway) >= before + 5
        });
    }

    /// Checks that no request was run twice.
    fn check_runs(&self) {
        let runs = self.endpoints.runs.lock().expect(UNPOISONED);
        let mut ids: Vec<&str> = runs.iter().map(|(id, _)| id.as_str()).collect();
        ids.sort_unstable();
        let twice = ids.windows(2).filter(|pair| pair[0] == pair[1]).count();
        assert_eq!(twice, 0, "of {} runs", ids.len());
    }

    /// Checks that no entry instance took the loss of its connections for crashes of endpoints.
    fn check_no_crash(&self) {
        for i in 0..GATEWAYS {
            let metrics = http(self.serving.metrics(i), "GET", "/metrics", &[], "");
            let metrics = metrics.expect("an entry instance serves its metrics").body;
            let has_none = metrics.contains("sill_gateway_endpoint_crashes_total 0\n");
            assert!(has_none, "g{i}: {}", self.log_of_paths(i));
        }
    }

    /// Returns what an entry instance has logged of endpoints and the paths to them.
    fn log_of_paths(&self, gateway: usize) -> String {
        let path = self.serving.folder.file(&format!("g{gateway}.log"));
        let log = std::fs::read_to_string(path).unwrap_or_default();
        let events = ["event=endpoint_", "event=path_", "event=cut_off", "event=reconnected"];
        let is_told = |line: &&str| events.iter().any(|event| line.contains(event));
        log.lines().filter(is_told).collect::<Vec<_>>().join("\n")
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.endpoints.end();
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
            if !announced.is_silent.load(Ordering::Relaxed) {
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
        thread::spawn(move || accept(i, stream, &endpoints));
    }
}

/// Makes the connection end with a TCP reset.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn accept(i: usize, stream: TcpStream, endpoints: &Endpoints) {
    let Ok(peer) = stream.peer_addr() else { return };
    let gateway = (0..GATEWAYS).find(|i| gateway_source(*i) == peer.ip());
    let gateway = gateway.expect("only entry instances connect");
    if matches!(endpoints.cut(gateway, i), Cut::Reset | Cut::ResetNew) {
        return reset(&stream);
    }
    let Ok(copy) = stream.try_clone() else { return };
    let _ = stream.set_nodelay(true);
    endpoints.open.lock().expect(UNPOISONED).push((gateway, i, copy));
    serve(gateway, i, stream, endpoints);
    let is_other = |open: &TcpStream| open.peer_addr().is_ok_and(|other| other != peer);
    endpoints.open.lock().expect(UNPOISONED).retain(|(.., open)| is_other(open));
}

fn serve(gateway: usize, i: usize, mut stream: TcpStream, endpoints: &Endpoints) {
    while stream.peek(&mut [0]).is_ok_and(|n| n > 0) && endpoints.may_go_on(gateway, i) {
        let Some((id, body)) = read_request(&mut stream) else { return };
        endpoints.runs.lock().expect(UNPOISONED).push((id.clone(), gateway));
        thread::sleep(Duration::from_millis(15));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nsill-request-id: {id}\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let is_sent =
            endpoints.may_go_on(gateway, i) && stream.write_all(answer.as_bytes()).is_ok();
        if !is_sent {
            return;
        }
    }
}

/// Calls an entry instance again and again, on one connection as long as it lasts.
fn run_caller(
    gateway: usize,
    address: SocketAddr,
    path: &str,
    endpoints: &Endpoints,
    records: &Mutex<Vec<Record>>,
) {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let mut stream = None;
    while !endpoints.is_over() {
        let id = format!("r-{}", NEXT.fetch_add(1, Ordering::Relaxed));
        let at = Instant::now();
        let answer = call(&mut stream, address, path, &id);
        if answer.is_none() {
            stream = None;
        }
        let record = Record { id, gateway, at, took: at.elapsed(), answer };
        records.lock().expect(UNPOISONED).push(record);
        thread::sleep(Duration::from_millis(40));
    }
}

fn call(stream: &mut Option<TcpStream>, to: SocketAddr, path: &str, id: &str) -> Option<Answer> {
    if stream.is_none() {
        *stream = Some(TcpStream::connect(to).ok()?);
    }
    let stream = stream.as_mut()?;
    stream.set_read_timeout(Some(DEADLINE + Duration::from_millis(200))).ok()?;
    let text = format!(
        "POST /{path}/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         sill-request-id: {id}\r\nsill-deadline-ms: {}\r\ncontent-length: 4\r\n\r\nbody",
        DEADLINE.as_millis()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (mut answer, mut buf) = (String::new(), [0; 4096]);
    loop {
        let n = stream.read(&mut buf).ok().filter(|n| *n > 0)?;
        answer.push_str(&String::from_utf8_lossy(&buf[..n]));
        let Some((head, body)) = answer.split_once("\r\n\r\n") else { continue };
        let head = head.to_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        if body.len() >= length?.parse().ok()? {
            return read_answer(&answer);
        }
    }
}

/// A cut, and the calls that are made meanwhile.
struct Case {
    name: &'static str,
    path: &'static str,
    cut: Cut,
    gateways: &'static [usize],
    endpoints: usize,
}

fn check(case: &Case) {
    let Case { name, path, cut, gateways, endpoints } = case;
    let system = System::start(name, path);
    let records = system.cut(gateways, *endpoints, *cut);
    let (cut_off, others): (Vec<_>, Vec<_>) =
        records.into_iter().partition(|record| gateways.contains(&record.gateway));
    let served = |records: &[Record]| records.iter().filter(|r| r.is_served()).count();
    let counts = format!(
        "{name}: {} of {} answered at the instances cut off, {} of {} at the others",
        served(&cut_off),
        cut_off.len(),
        served(&others),
        others.len()
    );
    println!("{counts}");
    let failed: Vec<&Record> = cut_off.iter().filter(|r| !r.is_served()).take(3).collect();
    assert!(served(&cut_off) as f64 >= SERVED * cut_off.len() as f64, "{counts}; {failed:?}");
    assert!(cut_off.len() >= 40, "too few calls: {counts}");
    assert_eq!(served(&others), others.len(), "{counts}");
    gateways.iter().for_each(|gateway| system.wait_until_direct(*gateway));
    system.check_no_crash();
    if *path == "booked" {
        system.check_runs();
    }
}

/// An entry instance that loses its connections to all endpoints fails calls that the other entry
/// instances serve.
#[test]
fn calls_at_an_entry_instance_cut_off_from_all_endpoints_are_served() {
    let cases = [
        Case { name: "hang", path: "looked-up", cut: Cut::Hang, gateways: &[0], endpoints: 8 },
        Case { name: "reset", path: "looked-up", cut: Cut::Reset, gateways: &[0], endpoints: 8 },
        Case { name: "new", path: "looked-up", cut: Cut::ResetNew, gateways: &[0], endpoints: 8 },
    ];
    cases.iter().for_each(check);
}

/// The same where two of three entry instances are cut off, and the third serves for all.
#[test]
fn calls_at_most_entry_instances_cut_off_from_all_endpoints_are_served() {
    let cases = [
        Case { name: "two", path: "looked-up", cut: Cut::Hang, gateways: &[0, 1], endpoints: 8 },
        Case { name: "both", path: "booked", cut: Cut::Reset, gateways: &[1, 2], endpoints: 8 },
    ];
    cases.iter().for_each(check);
}

/// Nothing is served for a moment while entry instances are cut off, and they refuse all calls until
/// the cut is over.
#[test]
fn calls_at_entry_instances_cut_off_are_served_after_all_endpoints_stood_still() {
    struct Standstill {
        name: &'static str,
        path: &'static str,
        cut: Cut,
        from_ms: u64,
        to_ms: u64,
    }
    let cases = [
        Standstill { name: "still", path: "looked-up", cut: Cut::Hang, from_ms: 700, to_ms: 2900 },
        Standstill { name: "once", path: "booked", cut: Cut::Hang, from_ms: 700, to_ms: 2900 },
        Standstill { name: "reset", path: "booked", cut: Cut::Reset, from_ms: 700, to_ms: 2900 },
    ];
    let mut failures = Vec::new();
    for Standstill { name, path, cut, from_ms, to_ms } in cases {
        let system = System::start(name, path);
        let (from, to) = (Duration::from_millis(from_ms), Duration::from_millis(to_ms));
        let records = system.cut_with_standstill(cut, from, to);
        let (cut_off, others): (Vec<_>, Vec<_>) = records.into_iter().partition(|r| r.gateway < 2);
        let served = |records: &[Record]| records.iter().filter(|r| r.is_served()).count();
        let counts = format!(
            "{name}: {} of {} answered at the instances cut off, {} of {} at the other",
            served(&cut_off),
            cut_off.len(),
            served(&others),
            others.len()
        );
        println!("{counts}");
        let is_met = |records: &[Record]| served(records) as f64 >= SERVED * records.len() as f64;
        if !is_met(&cut_off) || !is_met(&others) || cut_off.len() < 40 {
            let failed: Vec<&Record> = cut_off.iter().filter(|r| !r.is_served()).take(10).collect();
            failures.push(format!(
                "{counts}; {failed:?}\n{}\n{}",
                system.log_of_paths(0),
                system.log_of_paths(2)
            ));
        }
        if path == "booked" {
            system.check_runs();
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// A call that must not run twice is lost or run twice when the connections of its entry instance
/// fail.
#[test]
fn calls_that_must_not_run_twice_are_served_once_over_a_cut() {
    let cases =
        [Case { name: "once", path: "booked", cut: Cut::Hang, gateways: &[0], endpoints: 8 }];
    cases.iter().for_each(check);
}

/// An entry instance that reaches half of the endpoints tries the others again and again.
#[test]
fn calls_at_an_entry_instance_cut_off_from_half_of_the_endpoints_are_served() {
    let cases = [
        Case { name: "half", path: "looked-up", cut: Cut::Hang, gateways: &[0], endpoints: 4 },
        Case { name: "half-new", path: "booked", cut: Cut::ResetNew, gateways: &[0], endpoints: 4 },
    ];
    cases.iter().for_each(check);
}

/// The same entry instance is cut off again and again, each time before the last cut is forgotten.
#[test]
fn calls_over_cuts_in_series_are_served() {
    let system = System::start("series", "looked-up");
    for cut in [Cut::Hang, Cut::Reset, Cut::Hang] {
        let records = system.cut(&[0], ENDPOINTS, cut);
        let cut_off: Vec<&Record> = records.iter().filter(|r| r.gateway == 0).collect();
        let served = cut_off.iter().filter(|r| r.is_served()).count();
        println!("{cut:?}: {served} of {} answered", cut_off.len());
        assert!(served as f64 >= SERVED * cut_off.len() as f64, "{served} of {}", cut_off.len());
        assert!(cut_off.len() >= 40, "{cut:?}: too few calls: {}", cut_off.len());
    }
    system.check_no_crash();
}

/// When no entry instance reaches an endpoint, callers wait for their whole deadlines although
/// nobody can serve them.
#[test]
fn calls_that_no_entry_instance_can_serve_are_refused_at_once() {
    let system = System::start("all", "looked-up");
    let records = system.cut(&[0, 1, 2], ENDPOINTS, Cut::Hang);
    let refused = records.iter().filter(|record| {
        let Some(answer) = &record.answer else { return false };
        let is_refusal = answer.status == 503 && answer.head.contains("sill-not-run: true");
        is_refusal && answer.head.contains("retry-after: ") && record.took < DEADLINE / 3
    });
    let refused = refused.count();
    println!("all: {refused} of {} refused at once", records.len());
    assert!(refused as f64 >= 0.9 * records.len() as f64, "{refused} of {}", records.len());
    (0..GATEWAYS).for_each(|gateway| system.wait_until_direct(gateway));
    let twice = records.iter().filter(|r| r.answer.is_none()).map(|r| &r.id).collect::<Vec<_>>();
    assert!(twice.is_empty(), "closed without an answer: {twice:?}");
}

/// Endpoints stand still so long that they count as ended, and the requests that wait there are refused
/// for ten minutes as if they had crashed them.
#[test]
fn calls_are_served_after_endpoints_stood_still_longer_than_their_heartbeats() {
    let system = System::start("silent", "looked-up");
    let still = |is_still: bool| {
        system.endpoints.is_silent.store(is_still, Ordering::Relaxed);
        let cut = if is_still { Cut::Hang } else { Cut::None };
        system.endpoints.set_cuts(&[1, 2], ENDPOINTS, cut);
    };
    system.endpoints.set_cuts(&[0], ENDPOINTS, Cut::Hang);
    thread::sleep(Duration::from_millis(900));
    still(true);
    thread::sleep(SILENCE);
    still(false);
    let is_noticed = |i| system.log_of_paths(i).contains("event=endpoint_crashed");
    assert!((0..GATEWAYS).any(is_noticed), "no endpoint counts as ended");
    thread::sleep(CONTACT_TIME);
    let from = Instant::now();
    thread::sleep(Duration::from_secs(2));
    system.endpoints.set_cuts(&[0], ENDPOINTS, Cut::None);
    let records = system.records.lock().expect(UNPOISONED).clone();
    let later: Vec<Record> = records.into_iter().filter(|r| r.at >= from).collect();
    let served = later.iter().filter(|r| r.is_served()).count();
    println!("silent: {served} of {} served", later.len());
    let blocked = |r: &&Record| {
        r.answer.as_ref().is_some_and(|answer| answer.body.contains("request_blocked"))
    };
    assert_eq!(later.iter().filter(blocked).count(), 0, "of {}", later.len());
    assert!(served as f64 >= SERVED * later.len() as f64, "{served} of {}", later.len());
    assert!(later.len() > 100, "too few calls: {}", later.len());
}
