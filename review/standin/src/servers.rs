//! Stand-ins of servers and of the platform's API.

use std::io;
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{call, Conn, Message};
use crate::world::{wall_ms, Record, World};

/// What a handler does with the connection after a request.
#[derive(Debug, PartialEq, Eq)]
pub enum After {
    Keep,
    Close,
}

pub type Handler = Arc<dyn Fn(&Server, &Message, &mut Conn) -> io::Result<After> + Send + Sync>;

/// Decides whether a new connection is served; otherwise it is closed.
pub type Gate = Arc<dyn Fn(&TcpStream) -> bool + Send + Sync>;

pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub born: u64,
    pub running: AtomicUsize,
    pub is_draining: AtomicBool,
    pub is_silent: AtomicBool,
    pub leaves_ms: AtomicU64,
    seq: AtomicU64,
    has_ended: AtomicBool,
    conns: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// The head of a success for a request, without the framing of its body.
    pub fn head(&self, req: &Message, status: &str) -> String {
        let id = req.header("x-buckthornsill-attempt-id").unwrap_or("");
        format!(
            "HTTP/1.1 {status}\r\nX-Buckthornsill-Attempt-Id: {id}\r\n\
             X-Buckthornsill-Server-Seal: {}.{id}\r\nX-Buckthornsill-Server-Load: {},0,{}\r\n",
            self.id,
            self.running.load(Ordering::Relaxed),
            self.slots
        )
    }

    pub fn heartbeat(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.is_draining.load(Ordering::Relaxed) { "draining" } else { "ready" };
        let leaves = match self.leaves_ms.load(Ordering::Relaxed) {
            0 => String::new(),
            ms => format!(",\"spot_instances\":true,\"leaves_ms\":{ms}"),
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"seq\":{seq},\"born\":{}{leaves}}}",
            self.service, self.address, self.zone, self.slots, self.born
        )
    }

    /// Reports its end, until a node acknowledges it.
    pub fn deregister(&self, world: &World, first: usize) {
        self.is_silent.store(true, Ordering::SeqCst);
        let body = format!("{{\"born\":{}}}", self.born);
        let cores = world.cores();
        for i in 0..cores.len() {
            let to = cores[(first + i) % cores.len()].control();
            let path = format!("/-/instances/{}/deregister", self.id);
            let headers = [("Host", to.to_string()), ("Content-Type", "application/json".into())];
            let answer = call(to, "POST", &path, &headers, body.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                return;
            }
        }
    }

    /// Ends as a process does: it listens no more, and its connections are closed.
    pub fn exit(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
        for conn in self.conns.lock().unwrap().drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }

    /// Sends one heartbeat, to the next node until one acknowledges.
    pub fn beat(&self, world: &World, first: usize) {
        let body = self.heartbeat();
        let cores = world.cores();
        for i in 0..cores.len() {
            let to = cores[(first + i) % cores.len()].control();
            let path = format!("/-/instances/{}/heartbeat", self.id);
            let headers = [("Host", to.to_string()), ("Content-Type", "application/json".into())];
            let answer = call(to, "POST", &path, &headers, body.as_bytes(), Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() / 100 == 2) {
                return;
            }
        }
    }
}

/// Starts a server that announces itself until the world is over.
pub fn start(
    world: &Arc<World>,
    id: &str,
    service: &str,
    zone: &str,
    last: u8,
    slots: u32,
    handler: Handler,
) -> Arc<Server> {
    start_gated(world, id, service, zone, last, slots, handler, None)
}

/// Starts a server that serves only the connections that `gate` lets in.
#[allow(clippy::too_many_arguments)]
pub fn start_gated(
    world: &Arc<World>,
    id: &str,
    service: &str,
    zone: &str,
    last: u8,
    slots: u32,
    handler: Handler,
    gate: Option<Gate>,
) -> Arc<Server> {
    let listener =
        TcpListener::bind(SocketAddr::new(world.other_ip(last), 8080)).expect("a free address");
    let server = Arc::new(Server {
        id: id.into(),
        service: service.into(),
        zone: zone.into(),
        address: listener.local_addr().expect("an address"),
        slots,
        born: wall_ms(),
        running: AtomicUsize::new(0),
        is_draining: AtomicBool::new(false),
        is_silent: AtomicBool::new(false),
        leaves_ms: AtomicU64::new(0),
        seq: AtomicU64::new(0),
        has_ended: AtomicBool::new(false),
        conns: Mutex::default(),
    });
    let accepting = server.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if accepting.has_ended.load(Ordering::SeqCst) {
                break;
            }
            if gate.as_ref().is_some_and(|gate| !gate(&stream)) {
                continue;
            }
            if let Ok(stream) = stream.try_clone() {
                accepting.conns.lock().unwrap().push(stream);
            }
            let (server, handler) = (accepting.clone(), handler.clone());
            thread::spawn(move || serve(&server, &handler, Conn::new(stream)));
        }
    });
    let (beating, world) = (server.clone(), world.clone());
    thread::spawn(move || {
        let mut first = last as usize;
        while !world.is_over() {
            if !beating.is_silent.load(Ordering::Relaxed) {
                beating.beat(&world, first);
            }
            first += 1;
            thread::sleep(Duration::from_millis(1200));
        }
    });
    server
}

fn serve(server: &Server, handler: &Handler, mut conn: Conn) {
    serve_until_closed(server, handler, &mut conn);
    // The list of connections holds another handle of it.
    let _ = conn.stream.shutdown(Shutdown::Both);
    let own = conn.stream.peer_addr().ok();
    server.conns.lock().unwrap().retain(|other| own.is_none() || other.peer_addr().ok() != own);
}

fn serve_until_closed(server: &Server, handler: &Handler, conn: &mut Conn) {
    while let Ok(Some(mut req)) = conn.read_head() {
        if conn.read_body(&mut req, false).is_err() {
            return;
        }
        let expected = req.header("x-buckthornsill-expect-instance");
        if expected.is_some_and(|id| id != server.id) {
            let answer = "HTTP/1.1 421 Misdirected Request\r\nX-Buckthornsill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            if conn.write(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        match handler(server, &req, conn) {
            Ok(After::Keep) => {}
            _ => return,
        }
    }
}

/// The platform's API: it accepts every call and keeps the bodies.
pub fn start_platform(ip: IpAddr, record: Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind((ip, 8225)).expect("a free address");
    let address = listener.local_addr().expect("an address");
    let calls: Arc<Mutex<u64>> = Arc::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, calls) = (record.clone(), calls.clone());
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(mut req)) = conn.read_head() {
                    if conn.read_body(&mut req, false).is_err() {
                        return;
                    }
                    *calls.lock().unwrap() += 1;
                    let holder = req.header("x-buckthornsill-duty-holder").unwrap_or("").to_owned();
                    let token =
                        req.header("x-buckthornsill-fencing-token").unwrap_or("").to_owned();
                    let body = String::from_utf8_lossy(&req.body).into_owned();
                    record.say(&format!(
                        "platform: {} holder={holder} token={token} {body}",
                        req.path()
                    ));
                    if conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}
