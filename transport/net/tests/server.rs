//! Connections and requests of callers while a server stops.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use futures_util::poll;
use http::{Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use sill_base::Millis;
use sill_net::h1::{AnyBody, BodyError, OpenConnections, ServerCfg, ServerPhase, full_body, serve};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::watch;

/// Read time-out after which a test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

const CFG: ServerCfg = ServerCfg {
    max_header_bytes: 8 << 10,
    idle_timeout: Millis(20_000),
    unacknowledged_timeout: Millis(10_000),
};

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n";

async fn answer(_req: Request<Incoming>, _peer: SocketAddr) -> Response<AnyBody> {
    Response::new(full_body("served"))
}

async fn panic_handler(_req: Request<Incoming>, _peer: SocketAddr) -> Response<AnyBody> {
    panic!("a handler panics")
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

fn single_thread_runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("the runtime can be built")
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("the server listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the read time-out can be set");
    stream
}

/// A connection has been accepted, but its task has not run yet. If the connection did not count as
/// open, a stopping instance would exit and cut the call, which may already have been read.
#[test]
fn an_accepted_connection_counts_as_open_before_its_task_runs() {
    single_thread_runtime().block_on(async {
        let (listener, address) = listen().await;
        let open: Arc<OpenConnections> = Arc::default();
        let (_stop, stopped) = watch::channel(ServerPhase::Serving);
        let mut server = Box::pin(serve(listener, CFG, stopped, open.clone(), answer));
        let alive_tasks = || Handle::current().metrics().num_alive_tasks();
        let _callers: Vec<TcpStream> = (0..3).map(|_| connect(address)).collect();
        // The server is polled here, so that no connection's task runs between accept and check.
        while alive_tasks() < 3 {
            let _ = poll!(server.as_mut());
            assert_eq!(
                open.total(),
                alive_tasks(),
                "a connection was accepted but not counted as open"
            );
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
}

/// A handler panics, for example on a failed invariant check. If its connection counted as open
/// forever, a planned stop would wait for it up to its limit.
#[test]
fn a_connection_whose_handler_panicked_does_not_count_as_open() {
    single_thread_runtime().block_on(async {
        let (listener, address) = listen().await;
        let open: Arc<OpenConnections> = Arc::default();
        let (_stop, stopped) = watch::channel(ServerPhase::Serving);
        tokio::spawn(serve(listener, CFG, stopped, open.clone(), panic_handler));
        let caller = thread::spawn(move || {
            let mut stream = connect(address);
            stream.write_all(REQUEST).expect("the request can be sent");
            stream.read_to_end(&mut Vec::new())
        });
        while !caller.is_finished() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(open.total(), 0, "a connection whose handler panicked still counts");
    });
}

/// A caller connects to a stopping instance, because its load balancer has not noticed the stop or
/// has too few other instances, and sends its call a moment later. If the connection is closed
/// before that, the caller gets no answer and can't know whether the call has run; one that is not
/// idempotent can't be retried.
#[test]
fn a_call_on_a_new_connection_is_answered_during_a_stop() {
    single_thread_runtime().block_on(async {
        for pause in [Duration::ZERO, Duration::from_millis(50)] {
            for _ in 0..20 {
                let (listener, address) = listen().await;
                let (_stop, stopped) = watch::channel(ServerPhase::Draining);
                let server = tokio::spawn(serve(listener, CFG, stopped, Arc::default(), answer));
                let caller = thread::spawn(move || {
                    let mut stream = connect(address);
                    thread::sleep(pause);
                    let mut answer_text = String::new();
                    stream.write_all(REQUEST)?;
                    stream.read_to_string(&mut answer_text).map(|_| answer_text)
                });
                while !caller.is_finished() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                let answer_text = caller
                    .join()
                    .expect("the caller does not panic")
                    .expect("the connection is not reset");
                assert!(answer_text.ends_with("served"), "after {pause:?}: {answer_text:?}");
                assert!(
                    answer_text.contains("connection: close"),
                    "kept alive during a stop: {answer_text}"
                );
                server.abort();
            }
        }
    });
}

/// A server closes while connections with sent calls still wait to be accepted, as its process had no
/// processor time. If they were reset, their callers would hear late that their calls have not run;
/// if they were accepted and not counted, a stop would cut them.
#[test]
fn connections_that_wait_as_the_server_closes_are_counted_and_answered() {
    const CALLERS: usize = 8;
    let runtime = single_thread_runtime();
    let (listener, address) = runtime.block_on(listen());
    let (stop, stopped) = watch::channel(ServerPhase::Draining);
    let open = Arc::<OpenConnections>::default();
    let mut waiting: Vec<TcpStream> = (0..CALLERS).map(|_| connect(address)).collect();
    send_all(&mut waiting);
    stop.send_replace(ServerPhase::Closed);
    runtime.block_on(serve(listener, CFG, stopped, open.clone(), answer));
    assert!(TcpStream::connect(address).is_err(), "the listener is still open");
    assert_eq!(open.total(), CALLERS, "connections that were accepted and not counted");
    assert_eq!(count_answered(&runtime, &waiting), CALLERS, "closed without an answer");
}

/// A caller sends a request on a kept-alive connection while the instance's thread is busy, and the
/// instance starts to stop at that moment. If the connection is closed as idle although the request
/// has arrived, the caller gets no answer and can't know that its request has not run.
#[test]
fn a_request_that_arrived_on_a_kept_alive_connection_is_answered_during_a_stop() {
    let runtime = single_thread_runtime();
    for round in 0..20 {
        let (tx, stopped) = watch::channel(ServerPhase::Serving);
        let address = runtime.block_on(async {
            let (listener, address) = listen().await;
            tokio::spawn(serve(listener, CFG, stopped, Arc::default(), answer));
            address
        });
        let mut caller = connect(address);
        let send =
            |caller: &mut TcpStream| caller.write_all(REQUEST).expect("the request can be sent");
        send(&mut caller);
        assert!(
            runtime.block_on(is_answered(caller.try_clone().expect("the socket can be cloned"))),
            "round {round}: no answer before the stop"
        );
        send(&mut caller);
        // The server's thread runs its tasks only after the request has arrived.
        thread::sleep(Duration::from_millis(10));
        tx.send_replace(ServerPhase::Draining);
        assert!(runtime.block_on(is_answered(caller)), "round {round}: no answer during the stop");
    }
}

/// An answer that began before a stop ends in it, and its caller, to whom it announced no close, sends
/// the next request at once. That one must be answered, not closed unread.
#[test]
fn a_request_after_an_answer_from_before_the_stop_is_answered() {
    const ROUNDS: usize = 20;
    let runtime = single_thread_runtime();
    for round in 0..ROUNDS {
        let (tx, stopped) = watch::channel(ServerPhase::Serving);
        let (end_tx, may_end) = watch::channel(false);
        let long_answer = move |_req: Request<Incoming>, _peer: SocketAddr| {
            let mut may_end = may_end.clone();
            async move {
                let rest = async move {
                    let _ = may_end.wait_for(|may_end| *may_end).await;
                    Ok::<_, BodyError>(Frame::data(Bytes::from("served")))
                };
                let rest = futures_util::stream::once(rest);
                Response::new(StreamBody::new(rest).boxed_unsync())
            }
        };
        let address = runtime.block_on(async {
            let (listener, address) = listen().await;
            tokio::spawn(serve(listener, CFG, stopped, Arc::default(), long_answer));
            address
        });
        let mut caller = connect(address);
        caller.write_all(REQUEST).expect("the request can be sent");
        runtime.block_on(async {
            tokio::time::sleep(Duration::from_millis(10)).await;
            tx.send_replace(ServerPhase::Draining);
            // Longer than the wait for requests on idle connections.
            tokio::time::sleep(Duration::from_millis(80)).await;
            end_tx.send_replace(true);
        });
        let is_first_answered = is_answered(caller.try_clone().expect("the socket can be cloned"));
        assert!(runtime.block_on(is_first_answered), "round {round}: the first request");
        caller.write_all(REQUEST).expect("the request can be sent");
        assert!(runtime.block_on(is_answered(caller)), "round {round}: the second request");
    }
}

/// When requests arrive on idle connections that are about to be closed.
struct Arrival {
    name: &'static str,
    /// Whether they arrive after the runtime has looked for events.
    is_after_events: bool,
}

/// A stop waits for requests on idle connections, and its process gets no processor time until that
/// wait is over. Requests that arrived meanwhile must be answered, not closed unread.
#[test]
fn a_request_that_arrived_while_the_process_had_no_processor_time_is_answered() {
    const CALLERS: usize = 24;
    let cases = [
        Arrival { name: "before the runtime looks for events", is_after_events: false },
        Arrival { name: "after it", is_after_events: true },
    ];
    for Arrival { name, is_after_events } in cases {
        let runtime = single_thread_runtime();
        let (tx, stopped) = watch::channel(ServerPhase::Serving);
        let address = runtime.block_on(async {
            let (listener, address) = listen().await;
            tokio::spawn(serve(listener, CFG, stopped, Arc::default(), answer));
            address
        });
        let mut callers: Vec<TcpStream> = (0..CALLERS).map(|_| connect(address)).collect();
        send_all(&mut callers);
        assert_eq!(count_answered(&runtime, &callers), CALLERS, "{name}: before the stop");
        runtime.block_on(async {
            tx.send_replace(ServerPhase::Draining);
            // The connections' tasks begin to wait.
            tokio::time::sleep(Duration::from_millis(10)).await;
            if !is_after_events {
                send_all(&mut callers);
            }
            let mut due_by_then = Box::pin(tokio::time::sleep(Duration::from_millis(5)));
            let _ = poll!(due_by_then.as_mut());
            thread::sleep(Duration::from_millis(200));
            if is_after_events {
                // This task runs first of those that are woken by the same events.
                due_by_then.await;
                send_all(&mut callers);
                thread::sleep(Duration::from_millis(10));
            }
        });
        let answered = count_answered(&runtime, &callers);
        assert_eq!(answered, CALLERS, "{name}: closed with a request on the connection");
    }
}

fn send_all(callers: &mut [TcpStream]) {
    for caller in callers {
        caller.write_all(REQUEST).expect("the request can be sent");
    }
}

/// Returns how many callers get an answer.
fn count_answered(runtime: &Runtime, callers: &[TcpStream]) -> usize {
    let clones = callers.iter().map(|caller| caller.try_clone().expect("the socket is open"));
    runtime.block_on(async {
        let mut answered = 0;
        for caller in clones {
            answered += usize::from(is_answered(caller).await);
        }
        answered
    })
}

/// Returns whether the caller gets an answer. Reads on another thread, while the runtime continues.
async fn is_answered(mut caller: TcpStream) -> bool {
    let reader = tokio::task::spawn_blocking(move || {
        let (mut answer, mut buf) = (Vec::new(), [0; 4096]);
        while !answer.ends_with(b"served") && !answer.ends_with(b"served\r\n0\r\n\r\n") {
            match caller.read(&mut buf) {
                Ok(0) | Err(_) => return false,
                Ok(len) => answer.extend_from_slice(&buf[..len]),
            }
        }
        true
    });
    reader.await.expect("the reader does not panic")
}
