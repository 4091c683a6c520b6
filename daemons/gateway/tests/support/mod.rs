//! An entry instance between scripted endpoints and a stand-in for a control instance.

pub mod lines;
pub mod settings_pieces;

use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use parking_lot::Mutex;
use sill_base::{Millis, Name, Secret};
use sill_dispatch::{LimitBounds, Placement, RetryBounds, RouteTable};
use sill_gateway::cfg::StopCfg;
use sill_gateway::dialect::{InvalidLimit, LoadReport};
use sill_gateway::state::State;
use sill_gateway::{
    AnswerClass, CallHead, Dialect, Failure, Forward, Gateway, GatewayCfg, SillDialect,
};
use sill_net::{PeerServer, PeerServerBuilder};
use sill_rollout::RolloutBounds;
use sill_standin::loopback::free_addresses;
use sill_standin::panics::PanicCheck;
use sill_tree::{Account, Document, Engine, KeyHash, Pool, Route, RouteKind, Service, Share};
use sill_wire::control::Revision;
use sill_wire::link::{
    Cursor, EndpointFact, EndpointState, EntryReport, LinkPoll, LinkReply, RelayOffer, Totals,
    UnchangedRoutes,
};
use sill_wire::rollout::ServiceVersions;
use sill_wire::settings::PiecesRequest;
use sill_wire::streams::{ConfirmVersions, ConfirmVersionsReply, EntryPeer, ServedVersion};
use sill_wire::{CrashUpdate, Incarnation};
use tokio::runtime::Runtime;

use self::settings_pieces::SettingsPieces;

/// The key shared by all processes.
pub const CLUSTER_KEY: &str = "test";

/// The API key of a caller.
pub const KEY: &str = "caller-key";

/// Header of an answer whose reading ends in a panic.
pub const PANICS: &str = "x-panics";

/// Header of a request for another endpoint, to which each replies at once.
const PING: &str = "sill-endpoint: -";

/// Time that a test waits for bytes before it fails as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// What an endpoint does with one request.
#[derive(Clone)]
pub enum Action {
    /// Sends these bytes and keeps the connection. `{id}` is replaced by the request's id.
    Answer(String),
    /// Sends these bytes after a delay and keeps the connection.
    AnswerLater(String, Duration),
    /// Sends the first bytes, the others after a delay, and keeps the connection.
    AnswerInTwo(String, Duration, String),
    /// Sends these bytes and closes the connection.
    AnswerAndClose(String),
    /// Sends these bytes, stops to listen and closes the connection, like a process that ends.
    AnswerAndEnd(String),
    /// Sends the first bytes; once the flag is set, sends the others and closes the connection, and
    /// stops to listen after a delay, like a process that ends bit by bit.
    AnswerAndEndBitByBit(String, Arc<AtomicBool>, String, Duration),
    /// Sends these bytes and, once the flag is set, closes all connections. It serves new ones until it
    /// ends after a pause.
    AnswerAndServeNewConnections(String, Arc<AtomicBool>, Duration),
    /// Sends these bytes and closes the connection, like a process that ends behind a proxy: further
    /// connections are accepted, and closed after a delay.
    AnswerAndEndBehindProxy(String, Duration),
    /// Sends these bytes, and closes the connection after a delay.
    AnswerAndCloseLater(String, Duration),
    /// Sends these bytes, and closes the connection once the flag is set.
    AnswerAndCloseWhen(String, Arc<AtomicBool>),
    /// Sends the first bytes; once the flag is set, sends the others and closes the connection.
    AnswerInTwoAndCloseWhen(String, Arc<AtomicBool>, String),
    /// Sends the first bytes; once the flag is set, repeats the others until the other side closes the
    /// connection, at some 32 MB/s.
    AnswerWithoutEnd(String, Arc<AtomicBool>, String),
    /// Sends the first bytes; repeats the second ones every 50 ms until the flag is set, sends the last
    /// ones and keeps the connection.
    AnswerSteadily(String, String, Arc<AtomicBool>, String),
    /// Sends these bytes once the flag is set, and keeps the connection.
    AnswerWhen(String, Arc<AtomicBool>),
    /// Sends these bytes and resets the connection.
    AnswerAndReset(String),
    /// Sends these bytes, stops to listen and goes silent, like an endpoint behind a partition.
    AnswerAndFallSilent(String),
    /// Sends the first bytes and stops to listen, like an endpoint to which only open connections
    /// work; sends the others after a delay.
    AnswerInTwoAndRefuseOthers(String, Duration, String),
    /// Sends the first bytes, and stops to listen once the flag is set; sends the others after a
    /// delay.
    AnswerInTwoAndRefuseOthersWhen(String, Arc<AtomicBool>, Duration, String),
    /// Sends nothing until the other side closes the connection.
    Hang,
}

impl Action {
    /// Returns whether the answer says that the request has not run.
    fn is_refusal(&self) -> bool {
        match self {
            Self::Answer(text) | Self::AnswerLater(text, _) | Self::AnswerWhen(text, _) => {
                text.contains("sill-not-run: true")
            }
            _ => false,
        }
    }
}

/// A request as received by an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    pub line: String,
    pub headers: Vec<String>,
    pub body: Vec<u8>,
    /// The number of the connection that carried the request.
    pub connection: usize,
    /// When it had arrived.
    pub at: Instant,
}

/// An endpoint with a scripted action for each request.
pub struct Endpoint {
    pub address: SocketAddr,
    pub request_log: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// Ids of the requests that it started to run; those refused as not run are not included.
    pub run_ids: Arc<Mutex<Vec<String>>>,
    /// Number of connections that the other side closed while the endpoint hung.
    pub disconnects: Arc<Mutex<usize>>,
    listener: TcpListener,
    ending: Arc<Ending>,
    /// Connections that fill the queue of its listener.
    queued: Mutex<Vec<TcpStream>>,
}

/// What becomes of new connections to an endpoint.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum NewConnections {
    /// They are served.
    #[default]
    Served,
    /// They are reset.
    Reset,
    /// They are not accepted.
    Queued,
}

/// An entry instance with its endpoints and control instance.
pub struct Harness {
    pub endpoints: Vec<Endpoint>,
    pub address: SocketAddr,
    /// The entry instance's name, different in each test.
    pub name: Name,
    /// The address of the readiness checks.
    pub ready_address: SocketAddr,
    /// The address at which other entry instances ask for tunnels.
    pub peer_address: SocketAddr,
    /// The endpoint facts that the control instance sends.
    pub facts: Arc<Mutex<Vec<EndpointFact>>>,
    /// The offers of tunnels that the control instance sends.
    pub relays: Arc<Mutex<Vec<RelayOffer>>>,
    /// The other entry instances that the control instance names.
    pub entries: Arc<Mutex<Vec<EntryPeer>>>,
    /// The versions of services that the control instance sends.
    pub versions: Arc<Mutex<Option<Vec<ServiceVersions>>>>,
    /// The versions that the control instance holds.
    pub held: Arc<Mutex<Vec<ServedVersion>>>,
    /// Whether the control instance is in contact with a leader.
    pub has_leader: Arc<AtomicBool>,
    /// The newest report of the entry instance.
    pub report: Arc<Mutex<Option<EntryReport>>>,
    /// The crashes of endpoints that the control instance sends.
    pub crashes: Arc<Mutex<CrashUpdate>>,
    /// The address of the metrics.
    pub metrics_address: SocketAddr,
    /// Number of polls of the entry instance.
    polls: Arc<AtomicUsize>,
    runtime: Runtime,
    gateway: Option<Gateway>,
    _control: PeerServer,
    _panic_check: PanicCheck,
}

/// How connections to the endpoints fail.
#[derive(Debug, Clone, Copy)]
pub enum ConnectFailure {
    /// They are refused.
    Refused,
    /// They are not accepted.
    Hanging,
}

/// An address at which connections fail in one of these ways while it exists.
pub struct DeadAddress {
    pub address: SocketAddr,
    _listener: Option<TcpListener>,
    _queued: Vec<TcpStream>,
}

impl DeadAddress {
    pub fn new(failure: ConnectFailure) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
        let address = listener.local_addr().expect("a bound listener has an address");
        match failure {
            ConnectFailure::Refused => Self { address, _listener: None, _queued: Vec::new() },
            ConnectFailure::Hanging => {
                let queued = fill_queue(&listener, address);
                Self { address, _listener: Some(listener), _queued: queued }
            }
        }
    }
}

/// Fills the queue of a listener with connections that nobody accepts.
fn fill_queue(listener: &TcpListener, address: SocketAddr) -> Vec<TcpStream> {
    let socket = socket2::SockRef::from(listener);
    socket.listen(0).expect("the queue can be shortened");
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
    std::iter::from_fn(connect).take(16).collect()
}

/// An answer as received by a caller.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body is complete according to its framing.
    pub is_complete: bool,
}

/// How an entry instance is started.
#[derive(Debug, Clone, Copy)]
struct StartOptions {
    /// Whether its control instance has settings.
    has_settings: bool,
    /// Whether the last endpoint is not announced at first.
    is_last_hidden: bool,
    stop: StopCfg,
    rollouts: Option<RolloutBounds>,
    buffer_bytes: usize,
}

impl Default for StartOptions {
    fn default() -> Self {
        let stop = StopCfg { notice: Millis(100), limit: Millis(5000) };
        Self {
            has_settings: true,
            is_last_hidden: false,
            stop,
            rollouts: None,
            buffer_bytes: 64 << 20,
        }
    }
}

/// How the process of an endpoint ends.
#[derive(Default)]
struct Ending {
    /// Whether it does nothing any more, also on other connections.
    has_ended: AtomicBool,
    /// The time after which a proxy in front of it closes connections, once it has ended.
    proxy_delay: Mutex<Option<Duration>>,
    new_connections: Mutex<NewConnections>,
    /// How long the first reply on a new connection takes.
    reply_delay: Mutex<Duration>,
    /// When it stands still.
    silences: Mutex<Vec<Range<Instant>>>,
    /// The streams that end once their flag is set.
    streams: Mutex<Vec<(Arc<AtomicBool>, TcpStream)>>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Ending {
    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }

    /// Waits while the endpoint stands still.
    fn wait_out_silence(&self) {
        loop {
            let now = Instant::now();
            let silence = self.silences.lock().iter().find(|time| time.contains(&now)).cloned();
            let Some(silence) = silence else { return };
            thread::sleep(silence.end - now);
        }
    }

    /// Ends all streams with this flag: at the same time, however busy the machine is.
    fn end_streams(&self, flag: &Arc<AtomicBool>, end: &str) {
        self.has_ended.store(true, Ordering::Relaxed);
        self.streams.lock().retain_mut(|(may_close, stream)| {
            let is_other = !Arc::ptr_eq(may_close, flag);
            if !is_other {
                let _ = stream.write_all(end.as_bytes());
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            is_other
        });
    }

    /// Closes the listener and all connections.
    fn end(&self, listener: &TcpListener) {
        self.has_ended.store(true, Ordering::Relaxed);
        let _ = socket2::SockRef::from(listener).shutdown(std::net::Shutdown::Both);
        self.close_connections();
    }

    fn close_connections(&self) {
        for connection in self.connections.lock().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl Endpoint {
    fn start(actions: Vec<Action>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
        let address = listener.local_addr().expect("a bound listener has an address");
        let actions = Arc::new(Mutex::new(VecDeque::from(actions)));
        let (request_log, run_ids, disconnects) = (Arc::default(), Arc::default(), Arc::default());
        let ending = Arc::<Ending>::default();
        let endpoint = Self {
            listener: listener.try_clone().expect("the socket can be cloned"),
            ending: ending.clone(),
            queued: Mutex::default(),
            address,
            request_log: Arc::clone(&request_log),
            run_ids: Arc::clone(&run_ids),
            disconnects: Arc::clone(&disconnects),
        };
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let ending = ending.clone();
                let (actions, request_log) = (actions.clone(), request_log.clone());
                let (run_ids, disconnects) = (run_ids.clone(), disconnects.clone());
                let Ok(stream) = stream else { return };
                let new_connections = *ending.new_connections.lock();
                match new_connections {
                    NewConnections::Served => {}
                    NewConnections::Reset => {
                        let socket = socket2::SockRef::from(&stream);
                        socket.set_linger(Some(Duration::ZERO)).expect("the option can be set");
                        continue;
                    }
                    NewConnections::Queued => loop {
                        thread::park();
                    },
                }
                let other = stream.try_clone().expect("the socket can be cloned");
                ending.connections.lock().push(other);
                let listener = listener.try_clone().expect("the socket can be cloned");
                thread::spawn(move || {
                    let delay = *ending.proxy_delay.lock();
                    if let Some(delay) = delay {
                        thread::sleep(delay);
                        let _ = stream.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                    let (logs, peer) = ((&*request_log, &*run_ids), stream.peer_addr().ok());
                    serve(&stream, number, (&listener, &ending), &actions, logs, &disconnects);
                    // All handles have to go before the connection is closed.
                    ending.connections.lock().retain(|other| other.peer_addr().ok() != peer);
                });
            }
        });
        endpoint
    }

    pub fn requests(&self) -> usize {
        self.request_log.lock().len()
    }

    /// Has it do nothing any more: requests on open and on new connections stay unanswered.
    pub fn fall_silent(&self) {
        self.ending.has_ended.store(true, Ordering::Relaxed);
    }

    /// Has it stand still for some time, after a while. Its host accepts connections meanwhile.
    pub fn stand_still(&self, after: Duration, time: Duration) {
        let from = Instant::now() + after;
        self.ending.silences.lock().push(from..from + time);
    }

    /// Has another process take its place: all connections end that were opened before.
    pub fn restart(&self) {
        self.ending.close_connections();
    }

    /// Has it do nothing any more, and accept no connections: its queue of connections is full.
    pub fn fill_queue(&self) {
        self.fall_silent();
        *self.ending.new_connections.lock() = NewConnections::Queued;
        *self.queued.lock() = fill_queue(&self.listener, self.address);
    }

    /// Has it take this long for the first reply to a ping on each connection.
    pub fn delay_replies(&self, delay: Duration) {
        *self.ending.reply_delay.lock() = delay;
    }

    /// Has it reset new connections, like an endpoint that is full. Those that are open are served.
    pub fn reset_new_connections(&self) {
        *self.ending.new_connections.lock() = NewConnections::Reset;
    }
}

fn serve(
    mut stream: &TcpStream,
    number: usize,
    (listener, ending): (&TcpListener, &Ending),
    actions: &Mutex<VecDeque<Action>>,
    (request_log, run_ids): (&Mutex<Vec<ReceivedRequest>>, &Mutex<Vec<String>>),
    disconnects: &Mutex<usize>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
    let mut has_replied = false;
    while let Some(request) = read_request(&mut reader, number) {
        ending.wait_out_silence();
        if ending.has_ended() {
            let _ = reader.read_to_end(&mut Vec::new());
            return;
        }
        if request.headers.contains(&PING.to_owned()) {
            if !std::mem::replace(&mut has_replied, true) {
                let delay = *ending.reply_delay.lock();
                thread::sleep(delay);
            }
            let _ = stream.write_all(not_run("421 Misdirected Request").as_bytes());
            continue;
        }
        let id = request.headers.iter().find_map(|h| h.strip_prefix("sill-request-id: "));
        let id = id.unwrap_or_default().to_owned();
        request_log.lock().push(request);
        let action = actions.lock().pop_front().unwrap_or(Action::Hang);
        if !action.is_refusal() {
            run_ids.lock().push(id.clone());
        }
        match action {
            Action::Answer(text) => {
                stream
                    .write_all(text.replace("{id}", &id).as_bytes())
                    .expect("the peer reads the bytes");
            }
            Action::AnswerLater(text, pause) => {
                thread::sleep(pause);
                // The other side may have closed the connection meanwhile.
                if stream.write_all(text.replace("{id}", &id).as_bytes()).is_err() {
                    return;
                }
            }
            Action::AnswerInTwo(first, pause, remainder) => {
                let _ = stream.write_all(first.replace("{id}", &id).as_bytes());
                thread::sleep(pause);
                let _ = stream.write_all(remainder.replace("{id}", &id).as_bytes());
            }
            Action::AnswerInTwoAndRefuseOthers(first, pause, remainder) => {
                let _ = stream.write_all(first.replace("{id}", &id).as_bytes());
                let socket = socket2::SockRef::from(listener);
                let _ = socket.shutdown(std::net::Shutdown::Both);
                thread::sleep(pause);
                let _ = stream.write_all(remainder.replace("{id}", &id).as_bytes());
            }
            Action::AnswerInTwoAndRefuseOthersWhen(first, may_refuse, pause, remainder) => {
                let _ = stream.write_all(first.replace("{id}", &id).as_bytes());
                while !may_refuse.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(2));
                }
                let socket = socket2::SockRef::from(listener);
                let _ = socket.shutdown(std::net::Shutdown::Both);
                thread::sleep(pause);
                let _ = stream.write_all(remainder.replace("{id}", &id).as_bytes());
            }
            Action::AnswerAndClose(text) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
                return;
            }
            Action::AnswerAndEnd(text) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
                return ending.end(listener);
            }
            Action::AnswerAndEndBitByBit(text, may_close, end, pause) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
                let other = stream.try_clone().expect("the socket can be cloned");
                ending.streams.lock().push((may_close.clone(), other));
                while !may_close.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(1));
                }
                ending.end_streams(&may_close, &end);
                thread::sleep(pause);
                return ending.end(listener);
            }
            Action::AnswerAndServeNewConnections(text, may_close, pause) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
                while !may_close.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(1));
                }
                ending.close_connections();
                thread::sleep(pause);
                return ending.end(listener);
            }
            Action::AnswerAndEndBehindProxy(text, delay) => {
                *ending.proxy_delay.lock() = Some(delay);
                ending.has_ended.store(true, Ordering::Relaxed);
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
                return;
            }
            Action::AnswerAndCloseLater(text, pause) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
                thread::sleep(pause);
                return;
            }
            Action::AnswerAndCloseWhen(text, may_close) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
                while !may_close.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(10));
                }
                return;
            }
            Action::AnswerInTwoAndCloseWhen(first, may_close, remainder) => {
                let _ = stream.write_all(first.replace("{id}", &id).as_bytes());
                while !may_close.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(2));
                }
                let _ = stream.write_all(remainder.as_bytes());
                return;
            }
            Action::AnswerWithoutEnd(first, may_go_on, part) => {
                let _ = stream.write_all(first.replace("{id}", &id).as_bytes());
                while !may_go_on.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(1));
                }
                while stream.write_all(part.as_bytes()).is_ok() {
                    thread::sleep(Duration::from_millis(1) * (part.len() / (32 << 10)) as u32);
                }
                *disconnects.lock() += 1;
                return;
            }
            Action::AnswerSteadily(first, part, may_end, end) => {
                let _ = stream.write_all(first.replace("{id}", &id).as_bytes());
                while !may_end.load(Ordering::Relaxed) {
                    let _ = stream.write_all(part.as_bytes());
                    thread::sleep(Duration::from_millis(50));
                }
                let _ = stream.write_all(end.as_bytes());
            }
            Action::AnswerWhen(text, may_answer) => {
                while !may_answer.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(1));
                }
                stream
                    .write_all(text.replace("{id}", &id).as_bytes())
                    .expect("the peer reads the bytes");
            }
            Action::AnswerAndReset(text) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
                // The written bytes must arrive before the reset does.
                thread::sleep(Duration::from_millis(200));
                let socket = socket2::SockRef::from(stream);
                socket.set_linger(Some(Duration::ZERO)).expect("the socket option can be set");
                return;
            }
            Action::AnswerAndFallSilent(text) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
                ending.has_ended.store(true, Ordering::Relaxed);
                let socket = socket2::SockRef::from(listener);
                let _ = socket.shutdown(std::net::Shutdown::Both);
                let _ = reader.read_to_end(&mut Vec::new());
                return;
            }
            Action::Hang => {
                let mut ignored = Vec::new();
                let _ = reader.read_to_end(&mut ignored);
                *disconnects.lock() += 1;
                return;
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>, connection: usize) -> Option<ReceivedRequest> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let length = lines.iter().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a number"))];
    reader.read_exact(&mut body).ok()?;
    let line = lines.remove(0);
    Some(ReceivedRequest { line, headers: lines, body, connection, at: Instant::now() })
}

impl Harness {
    /// Starts an entry instance with one route per kind, and endpoints with their actions.
    pub fn start(actions: Vec<Vec<Action>>) -> Self {
        Self::start_with(actions, StartOptions::default())
    }

    /// Starts one with this memory for what can't be passed on yet.
    pub fn start_with_buffer(buffer_bytes: usize, actions: Vec<Vec<Action>>) -> Self {
        Self::start_with(actions, StartOptions { buffer_bytes, ..StartOptions::default() })
    }

    /// Starts one to which the last endpoint is not announced yet.
    pub fn start_with_hidden(actions: Vec<Vec<Action>>) -> Self {
        Self::start_with(actions, StartOptions { is_last_hidden: true, ..StartOptions::default() })
    }

    /// Starts one with roll-outs of software versions.
    pub fn start_with_rollouts(actions: Vec<Vec<Action>>) -> Self {
        let bounds = RolloutBounds { share: 0.1, slack: 50.0, rollback: Millis(5000) };
        Self::start_with(
            actions,
            StartOptions { rollouts: Some(bounds), ..StartOptions::default() },
        )
    }

    /// Starts one whose control instance has no settings yet.
    pub fn without_settings() -> Self {
        Self::start_with(
            Vec::new(),
            StartOptions { has_settings: false, ..StartOptions::default() },
        )
    }

    /// Starts one whose planned stops end after `limit`.
    pub fn start_with_stop_limit(limit: Millis, actions: Vec<Vec<Action>>) -> Self {
        let stop = StopCfg { limit, ..StartOptions::default().stop };
        Self::start_with(actions, StartOptions { stop, ..StartOptions::default() })
    }

    /// Starts one whose planned stops end after `limit`, and to which the last endpoint is not
    /// announced yet.
    pub fn start_with_stop_limit_and_hidden(limit: Millis, actions: Vec<Vec<Action>>) -> Self {
        let stop = StopCfg { limit, ..StartOptions::default().stop };
        Self::start_with(
            actions,
            StartOptions { stop, is_last_hidden: true, ..StartOptions::default() },
        )
    }

    fn start_with(actions: Vec<Vec<Action>>, options: StartOptions) -> Self {
        let StartOptions { has_settings, is_last_hidden, stop, rollouts, buffer_bytes } = options;
        let endpoints: Vec<Endpoint> = actions.into_iter().map(Endpoint::start).collect();
        let runtime = Runtime::new().expect("a runtime can be created");
        let _guard = runtime.enter();
        let mut facts: Vec<EndpointFact> =
            endpoints.iter().enumerate().map(|(i, e)| fact(i, e.address)).collect();
        if is_last_hidden {
            facts.pop();
        }
        let facts = Arc::new(Mutex::new(facts));
        let facts_sent = facts.clone();
        let relays = Arc::<Mutex<Vec<RelayOffer>>>::default();
        let relays_sent = relays.clone();
        let entries = Arc::<Mutex<Vec<EntryPeer>>>::default();
        let entries_sent = entries.clone();
        let versions = Arc::<Mutex<Option<Vec<ServiceVersions>>>>::default();
        let versions_sent = versions.clone();
        let has_leader = Arc::new(AtomicBool::new(true));
        let has_leader_sent = has_leader.clone();
        let held = Arc::<Mutex<Vec<ServedVersion>>>::default();
        let held_sent = held.clone();
        let report = Arc::<Mutex<Option<EntryReport>>>::default();
        let last_report = report.clone();
        let crashes = Arc::<Mutex<CrashUpdate>>::default();
        let crashes_sent = crashes.clone();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
        let mut peers = PeerServerBuilder::new(Secret::new(CLUSTER_KEY));
        let polls = Arc::<AtomicUsize>::default();
        let poll_counter = polls.clone();
        peers.answer(move |poll: LinkPoll| {
            poll_counter.fetch_add(1, Ordering::Relaxed);
            *last_report.lock() = Some(poll.report.clone());
            let (facts, relays) = (facts_sent.clone(), relays_sent.clone());
            let (entries, crashes) = (entries_sent.clone(), crashes_sent.clone());
            let (versions, has_leader) = (versions_sent.clone(), has_leader_sent.clone());
            let held = held_sent.clone();
            // What changes while the poll waits is in the reply.
            let reply = move || LinkReply {
                endpoints: facts.lock().clone(),
                relays: Some(relays.lock().clone()),
                entries: Some(entries.lock().clone()),
                crashes: crashes.lock().clone(),
                versions: versions.lock().clone(),
                has_leader: has_leader.load(Ordering::Relaxed),
                held: held.lock().clone(),
                ..empty_reply()
            };
            answer(poll, reply, has_settings)
        });
        let (facts_confirmed, has_leader_confirmed) = (facts.clone(), has_leader.clone());
        peers.answer(move |call: ConfirmVersions| {
            let facts = facts_confirmed.lock();
            let of_call = facts.iter().filter(|fact| call.services.contains(&fact.service));
            let reply = ConfirmVersionsReply {
                has_leader: has_leader_confirmed.load(Ordering::Relaxed),
                versions: of_call.map(|fact| fact.software.clone()).collect(),
                revision: Some(Revision(1)),
                recorded: None,
            };
            async move { Ok(reply) }
        });
        let pieces = SettingsPieces::of(1, &document());
        peers.answer(move |req: PiecesRequest| {
            let reply = pieces.reply(&req);
            async move { Ok(reply) }
        });
        let control = peers.start(listener).expect("the server starts");
        let addresses = free_addresses(3).expect("three ports are free");
        let cfg = GatewayCfg { stop, rollouts, buffer_bytes, ..cfg(&addresses, control.address()) };
        let name = cfg.name.clone();
        let _panic_check = PanicCheck::start();
        let gateway = Gateway::start(cfg).expect("the server starts");
        let (address, ready_address) = (gateway.address, gateway.ready_address);
        let peer_address = gateway.peer_address;
        let (gateway, _control) = (Some(gateway), control);
        let harness = Self {
            endpoints,
            address,
            name,
            ready_address,
            peer_address,
            facts,
            relays,
            entries,
            versions,
            held,
            has_leader,
            report,
            crashes,
            metrics_address: addresses[2],
            polls,
            gateway,
            _control,
            runtime,
            _panic_check,
        };
        if has_settings {
            wait_until_ready_is(200, addresses[1]);
        }
        harness
    }

    /// Returns the state of the entry instance.
    pub fn state(&self) -> &State {
        self.gateway.as_ref().expect("the entry instance runs").state()
    }

    /// Has the entry instance receive totals from a control instance.
    pub fn apply_totals(&self, totals: Totals) {
        let reply = LinkReply { totals: Some(totals), ..empty_reply() };
        self.state().apply_reply(self.address, &reply);
    }

    /// Puts other settings in force at once.
    pub fn apply_settings(&self, revision: u64, document: &Document) {
        self.state().apply_settings(Arc::new(RouteTable::of(revision, document)));
    }

    /// Has the entry instance receive a fact at once.
    pub fn apply_fact(&self, fact: EndpointFact) {
        let reply = LinkReply { endpoints: vec![fact], ..empty_reply() };
        self.state().apply_reply(self.address, &reply);
    }

    /// Has the service's endpoints count as reporting the pace of their machines, which its wait
    /// queue requires.
    pub fn enable_wait_queue(&self) {
        let state = self.state();
        let pool = state.pool(&"desk".into()).expect("the settings name the service");
        let (now, mut pool) = (state.clock.now(), pool.pool.lock());
        let places: Vec<Placement> = pool.facts().map(placement).collect();
        places.iter().for_each(|place| pool.record_pace(now, place, Some(100)));
    }

    /// Returns the value of a metric; 0 if it has none yet.
    pub fn metric(&self, name: &str) -> u64 {
        let text = exchange(self.metrics_address, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").body;
        let text = String::from_utf8_lossy(&text).into_owned();
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value.map_or(0, |value| value.parse().expect("the metric is a whole number"))
    }

    /// Sends a call on a new connection, and reads the answer.
    pub fn call(&self, path: &str) -> CallerResponse {
        exchange(self.address, &request(path, ""))
    }

    /// Sends a call and disconnects before the answer.
    pub fn call_and_disconnect(&self, path: &str) {
        self.call_and_disconnect_after(path, 1);
    }

    /// Sends a call and disconnects once the endpoints have received `requests` requests.
    pub fn call_and_disconnect_after(&self, path: &str, requests: usize) {
        let mut stream =
            TcpStream::connect(self.address).expect("the entry instance accepts connections");
        stream.write_all(request(path, "").as_bytes()).expect("the peer reads the bytes");
        let runs = || self.endpoints.iter().map(Endpoint::requests).sum::<usize>();
        while runs() < requests {
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Announces that the first endpoint leaves, and the last endpoint.
    pub fn announce_departure_and_last(&self, leaves_in: Millis) {
        *self.facts.lock() = self.departure_facts(leaves_in);
    }

    /// Returns the facts sent once the first endpoint leaves and the last one is ready.
    pub fn departure_facts(&self, leaves_in: Millis) -> Vec<EndpointFact> {
        let last = self.endpoints.len() - 1;
        let leaving = EndpointFact {
            sequence: 2,
            state: EndpointState::Leaving,
            leaves_in: Some(leaves_in),
            ..fact(0, self.endpoints[0].address)
        };
        vec![leaving, fact(last, self.endpoints[last].address)]
    }

    /// Announces the last endpoint.
    pub fn announce_last(&self) {
        let last = self.endpoints.len() - 1;
        self.facts.lock().push(fact(last, self.endpoints[last].address));
    }

    /// Waits until the entry instance has applied the current facts of its control instance: only
    /// then it polls again, from two tasks at most.
    pub fn wait_until_facts_applied(&self) {
        let polls_before = self.polls.load(Ordering::Relaxed);
        while self.polls.load(Ordering::Relaxed) < polls_before + 3 {
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Stops the entry instance.
    pub fn stop(&mut self) {
        self.stop_late(Millis::ZERO);
    }

    /// Stops it for a signal that arrived `late` ago.
    pub fn stop_late(&mut self, late: Millis) {
        if let Some(gateway) = self.gateway.take() {
            self.runtime.block_on(gateway.stop_late(late));
        }
    }
}

/// Waits until the readiness check returns a status.
pub fn wait_until_ready_is(status: u16, ready_address: SocketAddr) {
    let check = "GET /readyz HTTP/1.1\r\nhost: h\r\n\r\n";
    while exchange(ready_address, check).status != status {
        thread::sleep(Duration::from_millis(20));
    }
}

/// Formats a call with the id `r-1`.
pub fn request(path: &str, extra: &str) -> String {
    request_as("r-1", path, extra)
}

/// Formats a call with an id.
pub fn request_as(id: &str, path: &str, extra: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer {KEY}\r\n\
         sill-request-id: {id}\r\ncontent-length: 4\r\n{extra}\r\nbody"
    )
}

/// Formats the head of an endpoint's answer.
pub fn head(extra: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nsill-request-id: {{id}}\r\n{extra}\r\n")
}

/// Formats a complete answer.
pub fn answer_of(body: &str) -> String {
    format!("{}{body}", head(&format!("content-length: {}\r\n", body.len())))
}

/// Formats an answer that says that the call has not run.
pub fn not_run(status: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nsill-request-id: {{id}}\r\nsill-not-run: true\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// Sends bytes on a new connection and reads one answer.
pub fn exchange(address: SocketAddr, text: &str) -> CallerResponse {
    exchange_after(address, Duration::ZERO, text)
}

/// Opens a connection, and after a pause sends bytes and reads one answer.
pub fn exchange_after(address: SocketAddr, pause: Duration, text: &str) -> CallerResponse {
    let mut stream = TcpStream::connect(address).expect("the entry instance accepts connections");
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("the socket option can be set");
    thread::sleep(pause);
    stream.write_all(text.as_bytes()).expect("the peer reads the bytes");
    read_answer(&mut BufReader::new(stream))
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> CallerResponse {
    try_read_answer(reader).expect("the connection ended before an answer")
}

/// Reads one answer; returns none if the connection ends before its head.
pub fn try_read_answer(reader: &mut BufReader<TcpStream>) -> Option<CallerResponse> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        match reader.read_line(&mut head) {
            Ok(0) => return None,
            Err(err) if err.kind() == ErrorKind::ConnectionReset => return None,
            read => _ = read.expect("an answer in time"),
        }
    }
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    let lower = head.to_lowercase();
    let length = lower.split("\r\n").find_map(|line| line.strip_prefix("content-length: "));
    let (body, is_complete) = match length {
        Some(length) => read_length(reader, length.parse().expect("a number")),
        None => read_chunks(reader),
    };
    Some(CallerResponse { status, head, body, is_complete })
}

fn read_length(reader: &mut BufReader<TcpStream>, length: usize) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    let read = reader.take(length as u64).read_to_end(&mut body);
    let is_complete = read.is_ok() && body.len() == length;
    (body, is_complete)
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let mut size = String::new();
        if reader.read_line(&mut size).unwrap_or(0) == 0 {
            return (body, false);
        }
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return (body, false) };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Builds the settings of an entry instance that has one control instance as its seed.
pub fn cfg(addresses: &[SocketAddr], control: SocketAddr) -> GatewayCfg {
    GatewayCfg {
        name: format!("entry-{}", addresses[0]).into(),
        domain: "a".into(),
        listen: addresses[0],
        listen_ready: addresses[1],
        ready_path: "/readyz".into(),
        listen_metrics: addresses[2],
        connect_from: None,
        listen_peer: free_addresses(1).expect("a free port")[0],
        seeds: vec![control],
        cluster_key: Secret::new(CLUSTER_KEY),
        dialect: Arc::new(MigrationDialect),
        limits: LimitBounds { slack: 0.0 },
        retries: RetryBounds { share: 0.2, allowance: 1000.0 },
        endpoint_notice: Millis(2000),
        endpoint_heartbeat: Millis(1000),
        usage_window: Millis(5000),
        stop: StartOptions::default().stop,
        rollouts: None,
        buffer_bytes: 64 << 20,
    }
}

pub fn fact(number: usize, address: SocketAddr) -> EndpointFact {
    EndpointFact {
        endpoint: format!("e{number}").into(),
        incarnation: Incarnation::default(),
        service: "desk".into(),
        domain: "a".into(),
        address,
        slots: 8,
        sequence: 1,
        state: EndpointState::Ready,
        reclaimable: false,
        leaves_in: None,
        cold_for: None,
        age: Millis::ZERO,
        software: Default::default(),
    }
}

/// Returns the settings that an entry instance starts with.
pub fn document() -> Document {
    let mut document = Document::default();
    let engine = Engine { slots: 8, moves: true, ..Engine::default() };
    let pool = Pool { engine: Some(engine), ..Pool::default() };
    document.services.insert("desk".into(), Service::Pool(pool));
    let account = Account { keys: vec![KeyHash::of(KEY)], ..Account::default() };
    document.accounts.insert("clerks".into(), account);
    for (kind, name) in RouteKind::NAMES {
        let route = Route {
            host: "desk.example".into(),
            path: format!("/{name}/").into(),
            kind,
            timeout_ms: Millis(10_000),
            split: vec![Share { service: "desk".into(), weight: 1 }],
            max_attempts: 2,
            ..Route::default()
        };
        document.routes.insert(Name::from(name), route);
    }
    let idempotent = document.routes["idempotent"].clone();
    let once = Route { path: "/once/".into(), max_attempts: 1, ..idempotent };
    document.routes.insert("once".into(), once);
    document
}

async fn answer<F>(
    poll: LinkPoll,
    reply: F,
    has_settings: bool,
) -> Result<LinkReply, sill_net::PeerError>
where
    F: FnOnce() -> LinkReply,
{
    let is_known = poll.have >= Revision(1);
    if is_known {
        tokio::time::sleep(poll.wait.into()).await;
    }
    let settings = (has_settings && !is_known).then(|| SettingsPieces::of(1, &document()).manifest);
    Ok(LinkReply { settings, true_time: Millis::wall(), ..reply() })
}

/// Returns a placement at an endpoint, for what an answer from there reports.
fn placement(fact: &EndpointFact) -> Placement {
    Placement {
        endpoint: fact.endpoint.clone(),
        incarnation: fact.incarnation,
        address: fact.address,
        software: fact.software.clone(),
        fresh_tokens: 0,
        sent_at: Millis::ZERO,
        reason: String::new(),
    }
}

fn empty_reply() -> LinkReply {
    LinkReply {
        settings: None,
        cursor: Cursor::default(),
        endpoints: Vec::new(),
        loads: Vec::new(),
        crashes: CrashUpdate::default(),
        relays: None,
        versions: None,
        controls: Vec::new(),
        totals: None,
        true_time: Millis::wall(),
        has_leader: true,
        entries: None,
        history: Millis::from_secs(3600),
        routes: Some(UnchangedRoutes { revision: Revision(1), age: Millis::from_secs(3600) }),
        held: Vec::new(),
    }
}

/// The product's own headers, with engines whose runs can be migrated.
#[derive(Debug)]
struct MigrationDialect;

impl Dialect for MigrationDialect {
    fn read(&self, parts: &http::request::Parts) -> CallHead {
        SillDialect.read(parts)
    }

    fn forward(&self, headers: &mut HeaderMap, forward: &Forward<'_>) {
        SillDialect.forward(headers, forward);
        if let Some(memory) = forward.memory {
            let value = format!("{}/{}", memory.source, memory.handle);
            headers.insert("memory", value.parse().expect("a value"));
        }
    }

    fn classify(&self, attempt: &Name, status: StatusCode, headers: &HeaderMap) -> AnswerClass {
        assert!(!headers.contains_key(PANICS), "the test asks for a panic");
        SillDialect.classify(attempt, status, headers)
    }

    fn load(&self, headers: &HeaderMap) -> LoadReport {
        SillDialect.load(headers)
    }

    fn request_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, InvalidLimit> {
        SillDialect.request_limit(headers)
    }

    fn is_leaving(&self, headers: &HeaderMap) -> bool {
        SillDialect.is_leaving(headers)
    }

    fn rejection_bound(&self, headers: &HeaderMap) -> Option<u32> {
        SillDialect.rejection_bound(headers)
    }

    fn ping(&self, path: &str, time_left: Millis) -> Option<Request<Full<Bytes>>> {
        SillDialect.ping(path, time_left)
    }

    fn is_ping_reply(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        SillDialect.is_ping_reply(status, headers)
    }

    fn copy_run(
        &self,
        attempt: &Name,
        to: SocketAddr,
        stops: bool,
    ) -> Option<Request<Full<Bytes>>> {
        let path = format!("/copy/{attempt}?to={to}&stops={stops}");
        let mut req = Request::new(Full::new(Bytes::new()));
        *req.uri_mut() = path.parse().expect("a path");
        req.headers_mut().insert("host", "h".parse().expect("a value"));
        Some(req)
    }

    fn memory_handle(&self, status: StatusCode, body: &[u8]) -> Option<Name> {
        let handle = std::str::from_utf8(body).ok()?;
        status.is_success().then(|| handle.into())
    }

    fn failure(&self, headers: &mut HeaderMap, failure: &Failure) {
        SillDialect.failure(headers, failure);
    }
}
