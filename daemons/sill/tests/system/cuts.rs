//! Entry instances whose connections to endpoints can be cut, with their callers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::harness::{Answer, CALLER_KEY, http, read_answer, wait_until};
use crate::serving::{HOST, Serving, ServingCfg, announce, gateway_of, read_request};

/// Endpoints of a test.
pub const ENDPOINTS: usize = 8;

/// How long a caller waits for an answer.
pub const DEADLINE: Duration = Duration::from_millis(1500);

/// Time after the start of a cut from which on its callers are to be served by other ways.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after which calls are served again by an entry instance that helps and has stood still.
const RETURN_TIME: Duration = Duration::from_millis(500);

/// How long each cut lasts.
pub const CUT_TIME: Duration = Duration::from_secs(7);

pub const UNPOISONED: &str = "no thread panics with the lock";

/// What an endpoint does with the connections of an entry instance.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
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

/// The entry instances of a test.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// Number of entry instances.
    pub gateways: usize,
    /// Number of entry instances in each failure domain.
    pub per_domain: usize,
    /// Number of callers of each entry instance; those that it doesn't name have none.
    pub callers: &'static [usize],
    /// Whether endpoints are model engines, which may be silent for long.
    pub is_engine: bool,
}

impl Default for Layout {
    fn default() -> Self {
        Self { gateways: 3, per_domain: 3, callers: &[4; 3], is_engine: false }
    }
}

/// What the endpoints of a test have in common.
pub struct Endpoints {
    /// How the connections of each entry instance to each endpoint are cut.
    cuts: Mutex<Vec<[Cut; ENDPOINTS]>>,
    /// Whether each endpoint is to be replaced by a new incarnation at another address.
    replaced: [AtomicBool; ENDPOINTS],
    /// Notified when a cut has changed.
    changed: Condvar,
    /// Open connections with their entry instances and endpoints.
    open: Mutex<Vec<(usize, usize, TcpStream)>>,
    /// The ids of requests that were run, with the entry instance whose connection carried each.
    runs: Mutex<Vec<(String, usize)>>,
    /// Whether they announce nothing.
    pub is_silent: AtomicBool,
    is_over: AtomicBool,
}

impl Endpoints {
    fn new(gateways: usize) -> Self {
        Self {
            cuts: Mutex::new(vec![[Cut::None; ENDPOINTS]; gateways]),
            replaced: Default::default(),
            changed: Condvar::new(),
            open: Mutex::default(),
            runs: Mutex::default(),
            is_silent: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
        }
    }

    fn cut(&self, gateway: usize, endpoint: usize) -> Cut {
        self.cuts.lock().expect(UNPOISONED)[gateway][endpoint]
    }

    /// Cuts entry instances off from the first endpoints.
    pub fn set_cuts(&self, gateways: &[usize], endpoints: usize, cut: Cut) {
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
        let is_held = |cuts: &mut Vec<[Cut; ENDPOINTS]>| {
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
pub struct Record {
    pub id: String,
    pub gateway: usize,
    pub at: Instant,
    pub took: Duration,
    pub answer: Option<Answer>,
}

impl Record {
    pub fn is_served(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.status == 200)
    }
}

/// Entry instances, endpoints, and callers that go on until the system is dropped.
pub struct System {
    layout: Layout,
    pub serving: Serving,
    pub endpoints: Arc<Endpoints>,
    pub records: Arc<Mutex<Vec<Record>>>,
}

impl System {
    pub fn start(test: &str, path: &'static str) -> Self {
        Self::start_with(test, path, Layout::default())
    }

    /// Starts all processes and callers, and waits until all entry instances with callers serve.
    pub fn start_with(test: &str, path: &'static str, layout: Layout) -> Self {
        let Layout { gateways, per_domain, callers, is_engine } = layout;
        let cfg = ServingCfg { gateways, per_domain, endpoints: 2 * ENDPOINTS, is_engine };
        let mut serving = Serving::start_with(test, cfg);
        let endpoints = Arc::new(Endpoints::new(gateways));
        for i in 0..ENDPOINTS {
            let addresses = [serving.endpoint(i), serving.endpoint(ENDPOINTS + i)];
            let (control, endpoints) = (serving.control(), endpoints.clone());
            thread::spawn(move || run_endpoint(i, addresses, control, &endpoints));
        }
        serving.start_gateways();
        let records = Arc::<Mutex<Vec<Record>>>::default();
        for (gateway, callers) in callers.iter().enumerate() {
            for _ in 0..*callers {
                let address = serving.gateway(gateway);
                let (endpoints, records) = (endpoints.clone(), records.clone());
                thread::spawn(move || run_caller(gateway, address, path, &endpoints, &records));
            }
        }
        let system = Self { layout, serving, endpoints, records };
        wait_until("every entry instance with callers has answered ten calls", || {
            let records = system.records.lock().expect(UNPOISONED);
            let served = |i| records.iter().filter(|r| r.gateway == i && r.is_served()).count();
            callers.iter().enumerate().all(|(i, callers)| *callers == 0 || served(i) >= 10)
        });
        system
    }

    /// Has a new incarnation at another address take an endpoint's place.
    pub fn replace(&self, endpoint: usize) {
        self.endpoints.replaced[endpoint].store(true, Ordering::Relaxed);
    }

    /// Cuts entry instances off from the first endpoints for a while. Returns the calls that were
    /// sent after [`CONTACT_TIME`] and had to end before the cut did.
    pub fn cut(&self, gateways: &[usize], endpoints: usize, cut: Cut) -> Vec<Record> {
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
    pub fn cut_with_standstill(&self, cut: Cut, from: Duration, to: Duration) -> Vec<Record> {
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

    /// Returns all calls that have ended.
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().expect(UNPOISONED).clone()
    }

    /// Returns the number of runs that a connection of an entry instance brought to endpoints.
    pub fn runs_from(&self, gateway: usize) -> usize {
        let runs = self.endpoints.runs.lock().expect(UNPOISONED);
        runs.iter().filter(|(_, from)| *from == gateway).count()
    }

    /// Checks that an entry instance uses its own connections again.
    pub fn wait_until_direct(&self, gateway: usize) {
        let before = self.runs_from(gateway);
        wait_until("calls reach endpoints by the instance's own connections again", || {
            self.runs_from(gateway) >= before + 5
        });
    }

    /// Checks that no request was run twice.
    pub fn check_runs(&self) {
        let runs = self.endpoints.runs.lock().expect(UNPOISONED);
        let mut ids: Vec<&str> = runs.iter().map(|(id, _)| id.as_str()).collect();
        ids.sort_unstable();
        let twice = ids.windows(2).filter(|pair| pair[0] == pair[1]).count();
        assert_eq!(twice, 0, "of {} runs", ids.len());
    }

    /// Checks that no entry instance took the loss of its connections for crashes of endpoints.
    pub fn check_no_crash(&self) {
        for i in 0..self.layout.gateways {
            let metrics = http(self.serving.metrics(i), "GET", "/metrics", &[], "");
            let metrics = metrics.expect("an entry instance serves its metrics").body;
            let has_none = metrics.contains("sill_gateway_endpoint_crashes_total 0\n");
            assert!(has_none, "g{i}: {}", self.log_of_paths(i));
        }
    }

    /// Returns what an entry instance has logged of endpoints and the paths to them.
    pub fn log_of_paths(&self, gateway: usize) -> String {
        let path = self.serving.folder.file(&format!("g{gateway}.log"));
        let log = std::fs::read_to_string(path).unwrap_or_default();
        let events = [
            "event=endpoint_",
            "event=path_",
            "event=cut_off",
            "event=reconnected",
            "event=tunnel",
        ];
        let is_told = |line: &&str| events.iter().any(|event| line.contains(event));
        log.lines().filter(is_told).collect::<Vec<_>>().join("\n")
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.endpoints.end();
    }
}

/// Runs one incarnation of an endpoint at each address, until it is replaced.
fn run_endpoint(
    i: usize,
    addresses: [SocketAddr; 2],
    control: SocketAddr,
    endpoints: &Arc<Endpoints>,
) {
    for (incarnation, address) in (1..).zip(addresses) {
        run_incarnation(i, incarnation, address, control, endpoints);
    }
}

fn run_incarnation(
    i: usize,
    incarnation: u64,
    address: SocketAddr,
    control: SocketAddr,
    endpoints: &Arc<Endpoints>,
) {
    let listener = TcpListener::bind(address).expect("the address is reserved");
    listener.set_nonblocking(true).expect("the socket option can be set");
    let has_ended = Arc::<AtomicBool>::default();
    let (announced, ended) = (endpoints.clone(), has_ended.clone());
    thread::spawn(move || {
        for sequence in 1.. {
            if announced.is_over() || ended.load(Ordering::Relaxed) {
                return;
            }
            if !announced.is_silent.load(Ordering::Relaxed) {
                announce(control, i, incarnation, sequence, address);
            }
            thread::sleep(Duration::from_millis(300));
        }
    });
    while !endpoints.is_over() && !endpoints.replaced[i].swap(false, Ordering::Relaxed) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        stream.set_nonblocking(false).expect("the socket option can be set");
        let endpoints = endpoints.clone();
        thread::spawn(move || accept(i, stream, &endpoints));
    }
    has_ended.store(true, Ordering::Relaxed);
    if !endpoints.is_over() {
        endpoints.close(|_, endpoint| endpoint == i);
    }
}

/// Makes the connection end with a TCP reset.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn accept(i: usize, stream: TcpStream, endpoints: &Endpoints) {
    let Ok(peer) = stream.peer_addr() else { return };
    let gateway = gateway_of(peer.ip());
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
