//! Callers' connections while a server stops.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use futures_util::poll;
use http::{Request, Response};
use hyper::body::Incoming;
use sill_base::Millis;
use sill_net::h1::{AnyBody, OpenConnections, ServerCfg, ServerPhase, full_body, serve};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::watch;

/// How long a test waits for bytes before it counts as hung.
const HUNG: Duration = Duration::from_secs(20);

const CFG: ServerCfg = ServerCfg {
    max_header_bytes: 8 << 10,
    idle_timeout: Millis(20_000),
    unacknowledged_timeout: Millis(10_000),
};

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n";

async fn answer(_req: Request<Incoming>, _peer: SocketAddr) -> Response<AnyBody> {
    Response::new(full_body("served"))
}

async fn panics(_req: Request<Incoming>, _peer: SocketAddr) -> Response<AnyBody> {
    panic!("a promise is broken")
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

fn one_thread() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("it listens");
    stream.set_read_timeout(Some(HUNG)).expect("it is a socket");
    stream
}

/// A connection has been accepted, and its task waits for its turn behind others. An instance that
/// stops and sees no open connection ends right then; the caller's call, which may have been read, is
/// cut.
#[test]
fn a_connection_counts_as_open_from_when_it_was_accepted() {
    one_thread().block_on(async {
        let (listener, address) = listen().await;
        let open: Arc<OpenConnections> = Arc::default();
        let (_stop, stopped) = watch::channel(ServerPhase::Serving);
        let mut server = Box::pin(serve(listener, CFG, stopped, open.clone(), answer));
        let tasks = || Handle::current().metrics().num_alive_tasks();
        let _callers: Vec<TcpStream> = (0..3).map(|_| connect(address)).collect();
        // The server is polled from here, so that no task of a connection runs between it and the look.
        while tasks() < 3 {
            let _ = poll!(server.as_mut());
            assert_eq!(open.total(), tasks(), "accepted and not counted");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

/// A handler panics, as when a promise is broken. Its connection counted for ever, and a planned stop
/// would last until its limit, though nothing is left to wait for.
#[test]
fn a_connection_whose_handler_panicked_is_not_open() {
    one_thread().block_on(async {
        let (listener, address) = listen().await;
        let open: Arc<OpenConnections> = Arc::default();
        let (_stop, stopped) = watch::channel(ServerPhase::Serving);
        tokio::spawn(serve(listener, CFG, stopped, open.clone(), panics));
        let caller = thread::spawn(move || {
            let mut stream = connect(address);
            stream.write_all(REQUEST).expect("it is read");
            stream.read_to_end(&mut Vec::new())
        });
        while !caller.is_finished() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(open.total(), 0);
    });
}

/// A caller connects to an instance that stops, because its balancer has not noticed or too few others
/// are in rotation, and sends its call a moment later. Closed meanwhile, the caller has no answer and
/// can't know whether the call has run; one that may run once only is never sent again.
#[test]
fn a_call_on_a_new_connection_is_answered_during_a_stop() {
    one_thread().block_on(async {
        for pause in [Duration::ZERO, Duration::from_millis(50)] {
            for _ in 0..20 {
                let (listener, address) = listen().await;
                let (_stop, stopped) = watch::channel(ServerPhase::Draining);
                let server = tokio::spawn(serve(listener, CFG, stopped, Arc::default(), answer));
                let caller = thread::spawn(move || {
                    let mut stream = connect(address);
                    thread::sleep(pause);
                    let mut got = String::new();
                    stream.write_all(REQUEST)?;
                    stream.read_to_string(&mut got).map(|_| got)
                });
                while !caller.is_finished() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                let got = caller.join().expect("no panic").expect("the connection is not reset");
                assert!(got.ends_with("served"), "after {pause:?}: {got:?}");
                assert!(got.contains("connection: close"), "it would come back here: {got}");
                server.abort();
            }
        }
    });
}

/// The stop of an instance is over while a caller's connection still waits to be accepted, its call sent.
/// The caller is told by a reset. Were the call read all the same, it might run, and the caller would
/// have no answer.
#[test]
fn a_connection_that_was_not_accepted_is_reset_unread() {
    one_thread().block_on(async {
        let (listener, address) = listen().await;
        let (stop, stopped) = watch::channel(ServerPhase::Draining);
        let (open, read) = (Arc::<OpenConnections>::default(), Arc::<AtomicUsize>::default());
        let counted = read.clone();
        let count = move |req, peer| {
            counted.fetch_add(1, Ordering::Relaxed);
            answer(req, peer)
        };
        let mut waiting = connect(address);
        waiting.write_all(REQUEST).expect("the system takes it");
        stop.send_replace(ServerPhase::Closed);
        serve(listener, CFG, stopped, open.clone(), count).await;
        assert!(waiting.read_to_end(&mut Vec::new()).is_err(), "a reset says that it was not read");
        assert!(TcpStream::connect(address).is_err(), "nobody listens");
        assert_eq!((read.load(Ordering::Relaxed), open.total()), (0, 0));
    });
}

/// A caller sends its next request on a connection that it has kept, while the thread of the instance is
/// busy; the instance begins to stop in that moment. The request has arrived, but its connection was ended as
/// an unused one: the caller had no answer, and could not know that its request had not run.
#[test]
fn a_request_that_has_arrived_on_a_kept_connection_is_answered() {
    let runtime = one_thread();
    for turn in 0..20 {
        let (tx, stopped) = watch::channel(ServerPhase::Serving);
        let address = runtime.block_on(async {
            let (listener, address) = listen().await;
            tokio::spawn(serve(listener, CFG, stopped, Arc::default(), answer));
            address
        });
        let mut caller = connect(address);
        let ask = |caller: &mut TcpStream| caller.write_all(REQUEST).expect("it is read");
        ask(&mut caller);
        assert!(runtime.block_on(served(caller.try_clone().expect("a socket"))), "turn {turn}");
        ask(&mut caller);
        // The thread comes to its tasks once the request has arrived.
        thread::sleep(Duration::from_millis(10));
        tx.send_replace(ServerPhase::Draining);
        assert!(runtime.block_on(served(caller)), "turn {turn}: no answer");
    }
}

/// Reads one answer on another thread, while the runtime goes on.
async fn served(mut caller: TcpStream) -> bool {
    let read = tokio::task::spawn_blocking(move || {
        let (mut got, mut buf) = (Vec::new(), [0; 4096]);
        while !got.ends_with(b"served") {
            match caller.read(&mut buf) {
                Ok(0) | Err(_) => return false,
                Ok(read) => got.extend_from_slice(&buf[..read]),
            }
        }
        true
    });
    read.await.expect("no panic")
}
