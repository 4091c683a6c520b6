//! Requests that are answered before they have arrived completely.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use sill_base::Millis;
use sill_net::h1::{AnyBody, OpenConnections, ServerCfg, ServerPhase, full_body, serve};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// Read time-out after which a test fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

const CFG: ServerCfg = ServerCfg {
    max_header_bytes: 8 << 10,
    idle_timeout: Millis(20_000),
    unacknowledged_timeout: Millis(10_000),
};

/// Size of a part of a body.
const PART: usize = 4 << 10;

/// A body whose request is refused by its head.
struct Case {
    name: &'static str,
    parts: usize,
    /// Pause before each part.
    pause: Duration,
    is_chunked: bool,
    phase: ServerPhase,
}

async fn refuse(_req: Request<Incoming>, _peer: SocketAddr) -> Response<AnyBody> {
    let mut response = Response::new(full_body(Bytes::from_static(b"refused")));
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}

fn start(runtime: &Runtime, phase: ServerPhase) -> (SocketAddr, Arc<OpenConnections>) {
    let open = Arc::<OpenConnections>::default();
    let counted = open.clone();
    let address = runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener has an address");
        tokio::spawn(async move {
            let (_stop, stopped) = watch::channel(phase);
            serve(listener, CFG, stopped, counted, refuse).await;
        });
        address
    });
    (address, open)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the read time-out can be set");
    stream.set_nodelay(true).expect("the option can be set");
    stream
}

/// Sends a request part by part, as a caller that reads only once it has sent all of it. Returns the
/// answer, or at which step its connection broke off.
fn call(address: SocketAddr, case: &Case) -> Result<String, &'static str> {
    let mut stream = connect(address);
    let framing = match case.is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {}", case.parts * PART),
    };
    let head = format!("POST /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{framing}\r\n\r\n");
    stream.write_all(head.as_bytes()).map_err(|_| "its head")?;
    let part = "x".repeat(PART);
    let part = if case.is_chunked { format!("{PART:x}\r\n{part}\r\n") } else { part };
    for _ in 0..case.parts {
        std::thread::sleep(case.pause);
        stream.write_all(part.as_bytes()).map_err(|_| "its body")?;
    }
    if case.is_chunked {
        stream.write_all(b"0\r\n\r\n").map_err(|_| "its last chunk")?;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).map_err(|_| "its answer")?;
    Ok(answer)
}

/// A connection that is closed while its caller still sends is reset, and the refusal is lost with it.
#[test]
fn a_refusal_before_its_request_is_whole_is_not_lost_by_a_reset() {
    const CALLERS: usize = 8;
    let whole = Case {
        name: "in one go",
        parts: 18,
        pause: Duration::ZERO,
        is_chunked: false,
        phase: ServerPhase::Serving,
    };
    let pause = Duration::from_millis(10);
    let cases = [
        Case { name: "slowly", pause, ..whole },
        Case { name: "slowly, in chunks", pause, is_chunked: true, ..whole },
        Case { name: "slowly, in a stop", pause, phase: ServerPhase::Refusing, ..whole },
        Case { name: "larger than all buffers", parts: 2048, ..whole },
        whole,
    ];
    let runtime = Runtime::new().expect("the runtime can be built");
    for case in cases {
        let (address, open) = start(&runtime, case.phase);
        let answers: Vec<_> = std::thread::scope(|scope| {
            let case = &case;
            let callers: Vec<_> =
                (0..CALLERS).map(|_| scope.spawn(move || call(address, case))).collect();
            callers.into_iter().map(|caller| caller.join().expect("no caller panics")).collect()
        });
        for answer in answers {
            let answer =
                answer.unwrap_or_else(|step| panic!("{}: broken off in {step}", case.name));
            assert!(answer.starts_with("HTTP/1.1 404"), "{}: {answer}", case.name);
            assert!(answer.ends_with("refused"), "{}: {answer}", case.name);
        }
        while open.total() > 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A caller that neither completes its request nor closes its connection would hold it for ever.
#[test]
fn a_caller_that_does_not_close_a_refused_connection_is_closed() {
    /// Bytes that a caller sends after its request was refused, part by part.
    const SENT: [usize; 2] = [0, 64 << 20];
    let runtime = Runtime::new().expect("the runtime can be built");
    for bytes in SENT {
        let (address, open) = start(&runtime, ServerPhase::Serving);
        let mut stream = connect(address);
        let head =
            format!("POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n", 1_u64 << 40);
        stream.write_all(head.as_bytes()).expect("the head can be sent");
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).expect("an answer");
        assert_eq!(&answer, b"HTTP/1.1 404", "{bytes}");
        let part = vec![b'x'; PART];
        for _ in 0..bytes / PART {
            if stream.write_all(&part).is_err() {
                break;
            }
        }
        let deadline = Instant::now() + READ_TIMEOUT;
        while open.total() > 0 {
            assert!(Instant::now() < deadline, "{bytes}: the connection is still open");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// A close with a further request unread would drop the end of the answer before it that the caller, which
/// reads slowly, has not received yet.
#[test]
fn an_answer_is_whole_though_another_request_follows_it_unread() {
    /// Size of an answer that fits into no buffer on its way.
    const LARGE: usize = 8 << 20;
    async fn answer_large(_req: Request<Incoming>, _peer: SocketAddr) -> Response<AnyBody> {
        Response::new(full_body(vec![b'x'; LARGE]))
    }
    let runtime = Runtime::new().expect("the runtime can be built");
    for phase in [ServerPhase::Serving, ServerPhase::Draining] {
        let address = runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("a bound listener has an address");
            tokio::spawn(async move {
                let (_stop, stopped) = watch::channel(phase);
                serve(listener, CFG, stopped, Arc::default(), answer_large).await;
            });
            address
        });
        for round in 0..4 {
            let mut stream = connect(address);
            let close = "GET /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
            stream.write_all(close.as_bytes()).expect("the request can be sent");
            std::thread::sleep(Duration::from_millis(20));
            // More than the server reads ahead.
            let next = close.repeat(1000);
            stream.write_all(next.as_bytes()).expect("the requests can be sent");
            let (mut read, mut buf) = (0, vec![0; 64 << 10]);
            loop {
                std::thread::sleep(Duration::from_millis(1));
                match stream.read(&mut buf) {
                    Ok(0) => break,
                    Ok(n) => read += n,
                    Err(err) => panic!("{phase:?}, round {round}: {read} bytes, then {err}"),
                }
            }
            assert!(read > LARGE, "{phase:?}, round {round}: {read} bytes");
        }
    }
}
