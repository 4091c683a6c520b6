//! Streams over endpoints of several software versions, whose events don't fit together.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::harness::{CALLER_KEY, http, wait_until};
use crate::serving::{HOST, Serving, announce_version};

const GATEWAYS: usize = 3;
const ENDPOINTS: usize = 12;
const CALLERS: usize = 24;

/// Events of a whole stream.
const EVENTS: usize = 24;

/// Pause between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// How long a caller tries to get its stream.
const DEADLINE: Duration = Duration::from_millis(4500);

/// Pause of a caller after a refusal. The refusal's own time is in whole seconds.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time in which a take-up that nobody can serve has to be refused, with the time for a debug build
/// to read and write it.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// How long callers begin new streams in each test.
const LOAD_TIME: Duration = Duration::from_secs(7);

/// Time for entry instances to hear of a change of the endpoints.
const NEWS_TIME: Duration = Duration::from_millis(1500);

const UNPOISONED: &str = "no thread panics with the lock";

/// What the endpoints of a test have in common.
struct Endpoints {
    /// The version that each endpoint's next incarnation has; none if it doesn't start.
    versions: Mutex<Vec<Option<&'static str>>>,
    /// Whether an endpoint is to crash.
    crashes: [AtomicBool; ENDPOINTS],
    is_over: AtomicBool,
}

/// One stream as its caller saw it, over all tries.
#[derive(Debug, Default, Clone)]
pub struct Stream {
    /// The ids of its tries; the first one brought the first event.
    pub tries: Vec<String>,
    /// The number and the version of each event.
    pub events: Vec<(usize, String)>,
    /// How often it was taken up.
    pub taken_up: usize,
    /// Take-ups after which another event arrived.
    went_on: usize,
    /// Take-ups that were refused, with the time that it took.
    pub refusals: Vec<Duration>,
    pub is_complete: bool,
}

impl Stream {
    pub fn is_mixed(&self) -> bool {
        self.events.iter().any(|(_, version)| *version != self.events[0].1)
    }

    fn has_gap(&self) -> bool {
        self.events.iter().enumerate().any(|(i, (number, _))| *number != i + 1)
    }
}

/// Entry instances, endpoints, and callers that begin streams until told to stop.
struct System {
    serving: Serving,
    endpoints: Arc<Endpoints>,
    streams: Arc<Mutex<Vec<Stream>>>,
    stops: Arc<AtomicBool>,
    callers: Vec<thread::JoinHandle<()>>,
}

impl System {
    fn start(test: &str, versions: &[Option<&'static str>; ENDPOINTS]) -> Self {
        let mut serving = Serving::start(test, GATEWAYS, ENDPOINTS);
        let endpoints = Arc::new(Endpoints {
            versions: Mutex::new(versions.to_vec()),
            crashes: Default::default(),
            is_over: AtomicBool::new(false),
        });
        for i in 0..ENDPOINTS {
            let (address, control) = (serving.endpoint(i), serving.control());
            let endpoints = endpoints.clone();
            thread::spawn(move || run_endpoint(i, address, control, &endpoints));
        }
        serving.start_gateways();
        thread::sleep(NEWS_TIME);
        let (streams, stops) = (Arc::default(), Arc::default());
        Self { serving, endpoints, streams, stops, callers: Vec::new() }
    }

    /// Starts callers that lose their connections `losses` times in each stream.
    fn start_callers(&mut self, losses: usize) {
        let gateways: Vec<SocketAddr> = (0..GATEWAYS).map(|i| self.serving.gateway(i)).collect();
        for i in 0..CALLERS {
            let (gateways, streams) = (gateways.clone(), self.streams.clone());
            let stops = self.stops.clone();
            self.callers.push(thread::spawn(move || {
                for round in 0.. {
                    if stops.load(Ordering::Relaxed) {
                        return;
                    }
                    let stream = run_stream(&gateways, i + round, losses);
                    streams.lock().expect(UNPOISONED).push(stream);
                }
            }));
        }
    }

    /// Ends an incarnation of an endpoint; the next one has another version, or never starts.
    fn crash(&self, i: usize, version: Option<&'static str>) {
        self.endpoints.versions.lock().expect(UNPOISONED)[i] = version;
        self.endpoints.crashes[i].store(true, Ordering::Relaxed);
    }

    /// Waits for the last streams and returns all of them.
    fn finish(&mut self) -> Vec<Stream> {
        self.stops.store(true, Ordering::Relaxed);
        self.callers.drain(..).for_each(|caller| caller.join().expect("callers don't panic"));
        std::mem::take(&mut *self.streams.lock().expect(UNPOISONED))
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.stops.store(true, Ordering::Relaxed);
        self.endpoints.is_over.store(true, Ordering::Relaxed);
    }
}

/// Runs one incarnation of an endpoint after the other.
fn run_endpoint(i: usize, address: SocketAddr, control: SocketAddr, endpoints: &Arc<Endpoints>) {
    for incarnation in 1.. {
        let version = loop {
            if endpoints.is_over.load(Ordering::Relaxed) {
                return;
            }
            match endpoints.versions.lock().expect(UNPOISONED)[i] {
                Some(version) => break version,
                None => thread::sleep(Duration::from_millis(20)),
            }
        };
        run_incarnation(i, incarnation, version, (address, control), endpoints);
    }
}

fn run_incarnation(
    i: usize,
    incarnation: u64,
    version: &'static str,
    (address, control): (SocketAddr, SocketAddr),
    endpoints: &Arc<Endpoints>,
) {
    let Ok(listener) = TcpListener::bind(address) else {
        return thread::sleep(Duration::from_millis(10));
    };
    let has_ended = Arc::<AtomicBool>::default();
    let announced = has_ended.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            if announced.load(Ordering::Relaxed) {
                return;
            }
            announce_version(control, i, incarnation, sequence, address, version);
            thread::sleep(Duration::from_millis(200));
        }
    });
    serve_until(&listener, &format!("e{i}.{incarnation}"), version, || {
        let is_over = endpoints.is_over.load(Ordering::Relaxed);
        let ends = endpoints.crashes[i].swap(false, Ordering::Relaxed) || is_over;
        has_ended.store(ends, Ordering::Relaxed);
        ends
    });
}

/// Serves requests on the connections to a listener until `ends` says so, then closes all of them.
pub fn serve_until<F>(listener: &TcpListener, name: &str, version: &'static str, ends: F)
where
    F: Fn() -> bool,
{
    listener.set_nonblocking(true).expect("the socket option can be set");
    let mut open = Vec::new();
    while !ends() {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        stream.set_nonblocking(false).expect("the socket option can be set");
        let _ = stream.set_nodelay(true);
        open.push(stream.try_clone().expect("the socket can be cloned"));
        let name = name.to_owned();
        thread::spawn(move || while serve(&stream, &name, version).is_some() {});
    }
    for stream in open {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Serves one request on a connection; none once the connection has ended.
pub fn serve(mut stream: &TcpStream, name: &str, version: &str) -> Option<()> {
    let head = read_head(&mut stream)?;
    let header = |name: &str| {
        head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": ")).map(str::to_owned)
    };
    let id = header("sill-request-id")?;
    if header("sill-endpoint")? != name {
        let refusal = format!(
            "HTTP/1.1 421 Misdirected Request\r\nsill-request-id: {id}\r\nsill-not-run: true\r\n\
             content-length: 0\r\n\r\n"
        );
        return stream.write_all(refusal.as_bytes()).ok();
    }
    let begin = format!(
        "HTTP/1.1 200 OK\r\nsill-request-id: {id}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(begin.as_bytes()).ok()?;
    let last = header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    for number in last + 1..=EVENTS {
        let event = format!("id: {number}\ndata: {version}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).ok()?;
        thread::sleep(EVENT_INTERVAL);
    }
    stream.write_all(b"0\r\n\r\n").ok()
}

fn read_head(stream: &mut &TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Begins a stream, loses its connection `losses` times, and takes it up at another instance.
pub fn run_stream(gateways: &[SocketAddr], first: usize, losses: usize) -> Stream {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let (mut stream, due) = (Stream::default(), Instant::now() + DEADLINE);
    let gateway_count = gateways.len();
    for attempt in 0.. {
        // Without the end of its answer, a caller still knows from its last event that it has all.
        stream.is_complete |= stream.events.len() == EVENTS;
        if stream.is_complete || Instant::now() >= due {
            break;
        }
        let before = stream.events.len();
        let is_take_up = before > 0;
        stream.taken_up += usize::from(is_take_up);
        let lost_after = match stream.taken_up {
            taken_up if taken_up < losses => before + 3 + (number + taken_up) % 4,
            _ => EVENTS,
        };
        let id = format!("s{number}-{attempt}");
        let began = Instant::now();
        let status =
            read_stream(gateways[(first + attempt) % gateway_count], &id, &mut stream, lost_after);
        if is_take_up && stream.events.len() > before {
            stream.went_on += 1;
        } else if is_take_up && status == Some(503) {
            stream.refusals.push(began.elapsed());
        }
        if stream.tries.is_empty() && stream.events.is_empty() {
            thread::sleep(RETRY_PAUSE);
        } else {
            stream.tries.push(id);
            if status == Some(503) {
                thread::sleep(RETRY_PAUSE);
            }
        }
    }
    stream
}

/// Reads events until the stream ends or has `lost_after` events, and returns the status.
pub fn read_stream(
    to: SocketAddr,
    id: &str,
    stream: &mut Stream,
    lost_after: usize,
) -> Option<u16> {
    let mut socket = TcpStream::connect(to).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let resumption = match (stream.events.last(), stream.tries.first()) {
        (Some((last, _)), Some(first)) => {
            format!("last-event-id: {last}\r\nsill-resumes: {first}\r\n")
        }
        _ => String::new(),
    };
    let text = format!(
        "POST /told/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         sill-request-id: {id}\r\n{resumption}content-length: 4\r\n\r\nbody"
    );
    socket.write_all(text.as_bytes()).ok()?;
    let (mut answer, mut buf) = (String::new(), [0; 4096]);
    let mut read = 0;
    loop {
        let n = match socket.read(&mut buf) {
            Ok(n) if n > 0 => n,
            _ => return status_of(&answer),
        };
        answer.push_str(&String::from_utf8_lossy(&buf[..n]));
        let status = status_of(&answer);
        if status.is_some_and(|status| status != 200) {
            return status;
        }
        while let Some((event, end)) = next_event(&answer[read..]) {
            stream.events.push(event);
            read += end;
            if stream.events.len() >= lost_after && lost_after < EVENTS {
                return status;
            }
        }
        if answer.ends_with("\r\n0\r\n\r\n") {
            stream.is_complete = true;
            return status;
        }
    }
}

fn status_of(answer: &str) -> Option<u16> {
    answer.split_once("\r\n\r\n")?.0.split(' ').nth(1)?.parse().ok()
}

/// Returns the first event of a text, and where it ends.
fn next_event(text: &str) -> Option<((usize, String), usize)> {
    let start = text.find("\nid: ")? + 1;
    let length = text[start..].find("\n\n")?;
    let (number, data) = text[start..start + length].split_once('\n')?;
    let number = number.strip_prefix("id: ")?.parse().ok()?;
    let version = data.strip_prefix("data: ")?.to_owned();
    Some(((number, version), start + length + 2))
}

/// What happens while callers lose their connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Endpoints crash and come back at the same version.
    EndpointsCrash,
    /// Endpoints crash, and one of the other version starts at the address at once.
    VersionsSwapAddresses,
    /// All endpoints of the first version are replaced one after the other.
    Rollout,
    /// Entry instances are killed one after the other and start again at once.
    GatewaysRestart,
    /// The control instance is suspended.
    ControlSuspended,
}

/// Endpoints by version, and what happens to them and to callers.
struct Case {
    name: &'static str,
    /// Number of endpoints of the first version; the others have the second one.
    first_version: usize,
    losses: usize,
    fault: Fault,
}

const VERSIONS: [&str; 2] = ["v1", "v2"];

fn apply(system: &mut System, fault: Fault) {
    let other = |i: usize| Some(VERSIONS[1 - i % 2]);
    match fault {
        Fault::None => thread::sleep(LOAD_TIME),
        Fault::EndpointsCrash => {
            for i in 0..ENDPOINTS / 2 {
                thread::sleep(LOAD_TIME * 2 / ENDPOINTS as u32);
                system.crash(2 * i, Some(VERSIONS[0]));
            }
        }
        Fault::VersionsSwapAddresses => {
            for i in 0..ENDPOINTS / 2 {
                thread::sleep(LOAD_TIME * 2 / ENDPOINTS as u32);
                system.crash(i, other(i));
            }
        }
        Fault::Rollout => {
            for i in 0..ENDPOINTS {
                thread::sleep(LOAD_TIME / ENDPOINTS as u32);
                system.crash(i, Some(VERSIONS[1]));
            }
        }
        Fault::GatewaysRestart => {
            for i in 0..3 * GATEWAYS {
                thread::sleep(LOAD_TIME / (3 * GATEWAYS as u32));
                system.serving.restart_gateway(i % GATEWAYS);
            }
        }
        Fault::ControlSuspended => {
            thread::sleep(Duration::from_secs(1));
            system.serving.signal_control("STOP");
            thread::sleep(LOAD_TIME - Duration::from_secs(2));
            system.serving.signal_control("CONT");
            thread::sleep(Duration::from_secs(1));
        }
    }
}

fn check(case: &Case) {
    let Case { name, first_version, losses, fault } = *case;
    let mut versions = [Some(VERSIONS[1]); ENDPOINTS];
    // Versions alternate as far as there are endpoints of both.
    for i in 0..first_version {
        versions[if first_version <= ENDPOINTS / 2 { 2 * i } else { i }] = Some(VERSIONS[0]);
    }
    let mut system = System::start(name, &versions);
    system.start_callers(losses);
    apply(&mut system, fault);
    let streams = system.finish();
    let count =
        |is_counted: &dyn Fn(&Stream) -> bool| streams.iter().filter(|s| is_counted(s)).count();
    let taken_up: usize = streams.iter().map(|s| s.taken_up).sum();
    let went_on: usize = streams.iter().map(|s| s.went_on).sum();
    let refusals: usize = streams.iter().map(|s| s.refusals.len()).sum();
    let slowest = streams.iter().flat_map(|s| &s.refusals).max();
    let begun = count(&|s| !s.events.is_empty());
    let complete = count(&|s| s.is_complete);
    let resumed = count(&|s| s.taken_up > 0);
    let finished = count(&|s| s.taken_up > 0 && s.is_complete);
    let counts = format!(
        "{name}: {} streams, {begun} begun, {complete} complete, {} with two versions; {resumed} \
         taken up, {finished} of them complete; {taken_up} take-ups, {went_on} went on, {refusals} \
         refused, the slowest after {slowest:?}",
        streams.len(),
        count(&Stream::is_mixed),
    );
    println!("{counts}");
    let mixed: Vec<&Stream> = streams.iter().filter(|s| s.is_mixed()).take(2).collect();
    assert!(mixed.is_empty(), "{counts}; {mixed:?}");
    assert_eq!(count(&Stream::has_gap), 0, "{counts}");
    assert!(streams.len() >= 3 * CALLERS, "{counts}");
    let began_share = begun as f64 / streams.len() as f64;
    assert!(finished as f64 >= 0.9 * began_share * resumed as f64, "{counts}");
    let is_slow = |refusal: &&Duration| **refusal > REFUSAL_TIME;
    let slow = streams.iter().flat_map(|s| &s.refusals).filter(is_slow).count();
    assert!(slow <= taken_up / 20, "{slow} slow refusals: {counts}");
}

/// A caller that takes its stream up at another entry instance gets events of another version.
#[test]
fn streams_taken_up_elsewhere_go_on_at_the_version_that_began_them() {
    let cases = [
        Case { name: "once", first_version: 6, losses: 1, fault: Fault::None },
        Case { name: "thrice", first_version: 6, losses: 3, fault: Fault::None },
        Case { name: "few", first_version: 2, losses: 1, fault: Fault::None },
        Case { name: "control", first_version: 6, losses: 2, fault: Fault::ControlSuspended },
    ];
    cases.iter().for_each(check);
}

/// An entry instance continues a stream within one answer at an endpoint of another version.
#[test]
fn streams_of_endpoints_that_crash_go_on_at_the_version_that_began_them() {
    let cases = [
        Case { name: "crash", first_version: 6, losses: 0, fault: Fault::EndpointsCrash },
        Case { name: "swap", first_version: 6, losses: 1, fault: Fault::VersionsSwapAddresses },
    ];
    cases.iter().for_each(check);
}

/// What an entry instance knew of its streams is lost with it.
#[test]
fn streams_of_killed_entry_instances_go_on_at_the_version_that_began_them() {
    let cases = [
        Case { name: "kill", first_version: 6, losses: 0, fault: Fault::GatewaysRestart },
        Case { name: "kill-lose", first_version: 6, losses: 1, fault: Fault::GatewaysRestart },
    ];
    cases.iter().for_each(check);
}

/// With a single version, streams are taken up wherever they were begun, also of killed instances.
#[test]
fn streams_of_a_single_version_are_taken_up_anywhere() {
    let cases = [
        Case { name: "one", first_version: 12, losses: 2, fault: Fault::None },
        Case { name: "one-kill", first_version: 12, losses: 1, fault: Fault::GatewaysRestart },
        Case { name: "one-crash", first_version: 12, losses: 1, fault: Fault::EndpointsCrash },
    ];
    cases.iter().for_each(check);
}

/// While endpoints of one version replace those of another, take-ups reach the new ones.
#[test]
fn streams_over_a_rollout_go_on_at_the_version_that_began_them() {
    let mut system = System::start("rollout", &[Some(VERSIONS[0]); ENDPOINTS]);
    system.start_callers(1);
    apply(&mut system, Fault::Rollout);
    thread::sleep(NEWS_TIME);
    let streams = system.finish();
    let mixed: Vec<&Stream> = streams.iter().filter(|s| s.is_mixed()).collect();
    println!("rollout: {} streams, {} with two versions", streams.len(), mixed.len());
    assert!(mixed.is_empty(), "{} of {}: {:?}", mixed.len(), streams.len(), mixed[0]);
    // Streams of the first version can't go on once its last endpoint is replaced.
    let is_of_second = |s: &&Stream| s.events.first().is_some_and(|(_, by)| by == VERSIONS[1]);
    let second: Vec<&Stream> = streams.iter().filter(is_of_second).collect();
    let complete = second.iter().filter(|s| s.is_complete).count();
    println!("rollout: {complete} of {} of the second version complete", second.len());
    assert!(second.len() >= 2 * CALLERS, "only {} streams of the second version", second.len());
    assert!(complete as f64 >= 0.95 * second.len() as f64, "{complete} of {}", second.len());
}

/// When no endpoint of its version is left, a caller waits in vain or gets another version.
#[test]
fn take_ups_of_a_version_that_is_gone_are_refused_at_once() {
    let mut versions = [Some(VERSIONS[1]); ENDPOINTS];
    versions[..ENDPOINTS / 2].fill(Some(VERSIONS[0]));
    let system = System::start("gone", &versions);
    let gateways: Vec<SocketAddr> = (0..GATEWAYS).map(|i| system.serving.gateway(i)).collect();
    let mut begun = Vec::new();
    for i in 0..40 {
        let mut stream = Stream::default();
        let id = format!("gone-{i}");
        let status = read_stream(gateways[i % GATEWAYS], &id, &mut stream, 3);
        stream.tries.push(id);
        assert_eq!((status, stream.events.len()), (Some(200), 3), "{stream:?}");
        begun.push(stream);
    }
    begun.retain(|stream| stream.events[0].1 == VERSIONS[0]);
    assert!(begun.len() >= 5, "{} streams of the first version", begun.len());
    (0..ENDPOINTS / 2).for_each(|i| system.crash(i, None));
    wait_until("entry instances have heard of the crashes", || {
        (0..GATEWAYS).all(|i| {
            let path = http(system.serving.metrics(i), "GET", "/metrics", &[], "");
            path.is_some() && !is_served_by(gateways[i], VERSIONS[0])
        })
    });
    for (i, stream) in begun.iter().enumerate() {
        let (mut taken_up, began) = (stream.clone(), Instant::now());
        let status =
            read_stream(gateways[(i + 1) % GATEWAYS], &format!("more-{i}"), &mut taken_up, EVENTS);
        assert_eq!(status, Some(503), "{taken_up:?}");
        assert!(began.elapsed() < REFUSAL_TIME, "refused after {:?}", began.elapsed());
    }
}

/// Returns whether any of some new streams is begun by an endpoint of a version.
fn is_served_by(gateway: SocketAddr, version: &str) -> bool {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    (0..8).any(|_| {
        let mut stream = Stream::default();
        let id = format!("probe-{}", NEXT.fetch_add(1, Ordering::Relaxed));
        let status = read_stream(gateway, &id, &mut stream, 1);
        status != Some(200) || stream.events.first().is_none_or(|(_, of)| of == version)
    })
}
