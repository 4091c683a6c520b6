//! Ends of streams in tunnels that prove nothing.

#[allow(dead_code)] // The tests of ends in tunnels use a part of it.
mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use sill_wire::Incarnation;
use sill_wire::link::{EndpointFact, EndpointState, RelayOffer};
use sill_wire::streams::EntryPeer;
use support::{
    CallerResponse, ConnectFailure, DeadAddress, Harness, exchange, fact, head, not_run, request,
    wait_until_ready_is,
};

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

/// How long an endpoint stands still.
const PAUSE: Duration = Duration::from_secs(1);

const EVENT: &str = "id: 1\ndata: a\n\n";

/// How streams are framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Frame {
    /// Neither a length nor chunks.
    Unmarked,
    /// In chunks; the connection is closed with the last one.
    Chunked,
}

/// What shows of an endpoint after it has ended a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum After {
    /// It replies.
    Runs,
    /// It stands still for a second, and replies then.
    Pauses,
    /// Its host takes connections, and nobody reads them.
    Unread,
    /// Its host drops what arrives.
    Silent,
}

impl Frame {
    const ALL: [Self; 2] = [Self::Unmarked, Self::Chunked];

    fn begin(self) -> String {
        match self {
            Self::Unmarked => format!("{}{EVENT}", head(EVENT_STREAM)),
            Self::Chunked => format!("{}{:x}\r\n{EVENT}\r\n", head(CHUNKED), EVENT.len()),
        }
    }

    const fn end(self) -> &'static str {
        match self {
            Self::Unmarked => "",
            Self::Chunked => "0\r\n\r\n",
        }
    }
}

/// An endpoint that begins one stream, and ends it with its connection.
struct Endpoint {
    address: SocketAddr,
    frame: Frame,
    after: After,
    /// Number of streams that have begun.
    begun: AtomicUsize,
    may_end: AtomicBool,
    has_ended: AtomicBool,
    /// Until when it stands still.
    pauses_until: Mutex<Option<Instant>>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Endpoint {
    fn start(frame: Frame, after: After) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
        listener.set_nonblocking(true).expect("the option can be set");
        let endpoint = Arc::new(Self {
            address: listener.local_addr().expect("a bound listener has an address"),
            frame,
            after,
            begun: AtomicUsize::new(0),
            may_end: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            pauses_until: Mutex::default(),
            connections: Mutex::default(),
        });
        let accepting = endpoint.clone();
        thread::spawn(move || accepting.accept(&listener));
        endpoint
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while !self.has_ended.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("the option can be set");
            let other = stream.try_clone().expect("the socket can be cloned");
            self.connections.lock().push(other);
            let endpoint = self.clone();
            thread::spawn(move || endpoint.serve(stream));
        }
        let mut queued = Vec::new();
        if self.after == After::Silent {
            let socket = socket2::SockRef::from(listener);
            socket.listen(0).expect("the queue can be shortened");
            let timeout = Duration::from_millis(100);
            let connect = || TcpStream::connect_timeout(&self.address, timeout).ok();
            queued.extend(std::iter::from_fn(connect).take(16));
        }
        // The listener stays until the test has ended.
        while Arc::strong_count(&self) > 1 {
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream) {
            if self.has_ended.load(Ordering::Relaxed) {
                return;
            }
            if head.contains("sill-endpoint: -\r\n") {
                let pauses_until = *self.pauses_until.lock();
                pauses_until.into_iter().for_each(|at| thread::sleep(at - Instant::now()));
                let _ = stream.write_all(not_run("421 Misdirected Request").as_bytes());
                continue;
            }
            let text = self.frame.begin().replace("{id}", id_of(&head));
            let _ = stream.read_exact(&mut [0; "body".len()]);
            let _ = stream.write_all(text.as_bytes());
            self.begun.fetch_add(1, Ordering::Relaxed);
            while !self.may_end.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(1));
            }
            let _ = stream.write_all(self.frame.end().as_bytes());
            if self.after == After::Pauses {
                *self.pauses_until.lock() = Some(Instant::now() + PAUSE);
            } else if self.after != After::Runs {
                self.has_ended.store(true, Ordering::Relaxed);
                for other in self.connections.lock().drain(..) {
                    let _ = other.shutdown(Shutdown::Both);
                }
            }
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// An entry instance without connections to endpoints, one that carries its tunnels, and another one
/// that reaches the endpoint.
struct System {
    user: Harness,
    carrier: Harness,
    _other: Harness,
    _dead: DeadAddress,
}

impl System {
    fn start(endpoint: &Endpoint) -> Self {
        let carrier = reaching(endpoint);
        let offer = RelayOffer {
            entry: carrier.name.clone(),
            domain: "a".into(),
            address: carrier.peer_address,
        };
        let (user, other, dead) = start_user(endpoint, offer);
        Self { user, carrier, _other: other, _dead: dead }
    }
}

/// Starts an entry instance that reaches an endpoint.
fn reaching(endpoint: &Endpoint) -> Harness {
    let entry = Harness::start(vec![Vec::new()]);
    *entry.facts.lock() = vec![EndpointFact { sequence: 2, ..fact(0, endpoint.address) }];
    entry.wait_until_facts_applied();
    entry
}

/// Starts an entry instance that reaches the endpoint only in tunnels, and another one that reaches it.
fn start_user(endpoint: &Endpoint, offer: RelayOffer) -> (Harness, Harness, DeadAddress) {
    let other = reaching(endpoint);
    let user = Harness::start(vec![Vec::new()]);
    let dead = DeadAddress::new(ConnectFailure::Refused);
    *user.relays.lock() = vec![offer];
    *user.entries.lock() = vec![EntryPeer {
        entry: other.name.clone(),
        domain: "a".into(),
        address: other.peer_address,
        incarnation: Incarnation::default(),
    }];
    *user.facts.lock() = vec![EndpointFact { sequence: 2, ..fact(0, dead.address) }];
    user.wait_until_facts_applied();
    (user, other, dead)
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

fn id_of(head: &str) -> &str {
    let id = head.lines().find_map(|line| line.strip_prefix("sill-request-id: "));
    id.expect("the request has an id")
}

/// Sends a call, and has its endpoint end the stream once `before_end` has run.
fn play<F>(user: &Harness, endpoint: &Endpoint, before_end: F) -> CallerResponse
where
    F: FnOnce(),
{
    let address = user.address;
    let caller = thread::spawn(move || exchange(address, &request("/stream/x", "")));
    while endpoint.begun.load(Ordering::Relaxed) == 0 {
        assert!(!caller.is_finished(), "the call isn't sent in a tunnel");
        thread::sleep(Duration::from_millis(1));
    }
    before_end();
    endpoint.may_end.store(true, Ordering::Relaxed);
    caller.join().expect("the caller gets an answer")
}

fn text(got: &CallerResponse) -> String {
    String::from_utf8_lossy(&got.body).into_owned()
}

/// An endpoint ends in the middle of a stream, and its host still takes connections or drops them. The
/// instance that carries the stream sees nothing else, and its caller gets a part as all of it.
#[test]
fn a_stream_in_a_tunnel_whose_endpoint_has_ended_is_not_whole() {
    for frame in Frame::ALL {
        for after in [After::Unread, After::Silent] {
            let endpoint = Endpoint::start(frame, after);
            let system = System::start(&endpoint);
            let got = play(&system.user, &endpoint, || {});
            let name = format!("{frame:?}, {after:?}: {}", got.head);
            assert_eq!((got.status, text(&got).as_str()), (200, EVENT), "{name}");
            assert!(!got.is_complete, "{name}");
        }
    }
}

/// What the instance that carries a stream does at its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Carrier {
    Runs,
    /// It stops in order.
    Stops,
    /// It has heard that the endpoint is gone.
    Forgets,
}

/// A whole stream is cut because the instance that carried it can't ask the endpoint, although another
/// one can.
#[test]
fn a_whole_stream_in_a_tunnel_is_complete_whatever_its_carrier_knows() {
    for frame in Frame::ALL {
        for carrier in [Carrier::Runs, Carrier::Stops, Carrier::Forgets] {
            let endpoint = Endpoint::start(frame, After::Runs);
            let System { user, carrier: carries, _other, _dead } = System::start(&endpoint);
            let (mut carries, mut stop) = (Some(carries), None);
            let got = play(&user, &endpoint, || match (carrier, &carries) {
                (Carrier::Forgets, Some(carries)) => {
                    let (known, state) = (fact(0, endpoint.address), EndpointState::Gone);
                    *carries.facts.lock() = vec![EndpointFact { sequence: 3, state, ..known }];
                    carries.wait_until_facts_applied();
                }
                (Carrier::Stops, _) => {
                    let mut stopping = carries.take().expect("the carrier runs");
                    let ready = stopping.ready_address;
                    // Its process ends with the stop.
                    stop = Some(thread::spawn(move || stopping.stop()));
                    wait_until_ready_is(503, ready);
                }
                _ => {}
            });
            stop.into_iter().for_each(|stop| stop.join().expect("the carrier stops"));
            let name = format!("{frame:?}, {carrier:?}: {}", got.head);
            assert_eq!((got.status, text(&got).as_str()), (200, EVENT), "{name}");
            assert!(got.is_complete, "{name}");
        }
    }
}

/// A whole stream in a tunnel would be cut if its sound endpoint fell silent after its end, as only other
/// instances can ask it.
#[test]
fn a_whole_stream_in_a_tunnel_is_complete_if_its_endpoint_is_silent_for_a_second() {
    for frame in Frame::ALL {
        let endpoint = Endpoint::start(frame, After::Pauses);
        let system = System::start(&endpoint);
        let got = play(&system.user, &endpoint, || {});
        let name = format!("{frame:?}: {}", got.head);
        assert_eq!((got.status, text(&got).as_str()), (200, EVENT), "{name}");
        assert!(got.is_complete, "{name}");
    }
}

/// Carries one tunnel for an endpoint, and is killed once the stream may end: its connection is closed in
/// order, and new ones are refused.
fn run_killed_carrier(listener: TcpListener, endpoint: &Endpoint) {
    let (mut stream, _) = listener.accept().expect("a tunnel is asked for");
    read_head(&mut stream).expect("the request for the tunnel is complete");
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("the peer reads the bytes");
    let head = read_head(&mut stream).expect("the head is complete");
    // Unread bytes would reset the connection.
    stream.read_exact(&mut [0; "body".len()]).expect("the request is complete");
    let begin = endpoint.frame.begin().replace("{id}", id_of(&head));
    stream.write_all(begin.as_bytes()).expect("the peer reads the bytes");
    endpoint.begun.fetch_add(1, Ordering::Relaxed);
    while !endpoint.may_end.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(1));
    }
    drop(listener);
    stream.write_all(endpoint.frame.end().as_bytes()).expect("the peer reads the bytes");
}

/// An instance that carries a stream is killed, and closes the tunnel like an endpoint that has sent all.
/// That the endpoint runs, which another instance finds out, doesn't show that it ended the stream; only
/// a last chunk comes from itself.
#[test]
fn a_stream_whose_carrier_is_killed_is_whole_only_with_its_last_chunk() {
    struct Case {
        frame: Frame,
        state: EndpointState,
        is_complete: bool,
    }
    use EndpointState::{Gone, Leaving, Ready};
    let cases = [
        Case { frame: Frame::Unmarked, state: Ready, is_complete: false },
        Case { frame: Frame::Unmarked, state: Leaving, is_complete: false },
        Case { frame: Frame::Unmarked, state: Gone, is_complete: false },
        Case { frame: Frame::Chunked, state: Ready, is_complete: true },
    ];
    for Case { frame, state, is_complete } in cases {
        let endpoint = Endpoint::start(frame, After::Runs);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
        let address = listener.local_addr().expect("a bound listener has an address");
        let offer = RelayOffer { entry: "killed".into(), domain: "a".into(), address };
        let (user, _other, dead) = start_user(&endpoint, offer);
        let carried = endpoint.clone();
        let carrier = thread::spawn(move || run_killed_carrier(listener, &carried));
        let got = play(&user, &endpoint, || {
            let known = fact(0, dead.address);
            *user.facts.lock() = vec![EndpointFact { sequence: 3, state, ..known }];
            user.wait_until_facts_applied();
        });
        carrier.join().expect("the tunnel is used");
        let name = format!("{frame:?}, {state:?}: {}", got.head);
        assert_eq!((got.status, text(&got).as_str()), (200, EVENT), "{name}");
        assert_eq!(got.is_complete, is_complete, "{name}");
    }
}
