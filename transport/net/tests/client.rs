//! The pool of client connections.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use sill_base::{Clock, Millis};
use sill_net::h1::{
    ConnectFailure, ConnectionPool, ConnectionPoolCfg, MAX_FETCHED_BYTES, Probe, SendFailure,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// What listens at an address.
#[derive(Debug, Clone, Copy)]
enum Peer {
    Nobody,
    ProxyWithoutTarget,
    Server,
}

fn cfg() -> ConnectionPoolCfg {
    ConnectionPoolCfg {
        source: None,
        connect_timeout: Millis(5000),
        unacknowledged_timeout: Millis(5000),
        idle_timeout: Millis(10_000),
        keep_alive_margin: Millis(1000),
    }
}

async fn start(peer: Peer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    if !matches!(peer, Peer::Nobody) {
        tokio::spawn(async move {
            let mut open = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                if matches!(peer, Peer::Server) {
                    open.push(stream);
                }
            }
        });
    }
    address
}

/// A process that has ended must be told from one that has broken off a single answer: its address
/// refuses connections, or a proxy in front of it closes them at once.
#[tokio::test]
async fn an_address_without_a_process_refuses_connections() {
    struct Case {
        peer: Peer,
        is_refused: bool,
    }
    let cases = [
        Case { peer: Peer::Nobody, is_refused: true },
        Case { peer: Peer::ProxyWithoutTarget, is_refused: true },
        Case { peer: Peer::Server, is_refused: false },
    ];
    let cfg = cfg();
    for Case { peer, is_refused } in cases {
        let pool = ConnectionPool::new(cfg, Clock::start());
        let address = start(peer).await;
        let probe = pool.probe(address, Millis(500)).await;
        assert_eq!(matches!(probe, Probe::Refused | Probe::Closed), is_refused, "{peer:?}");
        let kept = if is_refused { 0 } else { 1 };
        assert_eq!(pool.expire(), kept, "idle connections, {peer:?}");
    }
}

/// A connection that is accepted and reset at once may fail while it is opened. Taken for one that
/// was not accepted in time, it shows nothing about its endpoint.
#[test]
fn a_connection_that_is_reset_while_it_opens_is_told_from_a_time_out() {
    struct Case {
        kind: ErrorKind,
        is_refused: bool,
        is_reset: bool,
    }
    let cases = [
        Case { kind: ErrorKind::ConnectionRefused, is_refused: true, is_reset: false },
        Case { kind: ErrorKind::ConnectionReset, is_refused: false, is_reset: true },
        Case { kind: ErrorKind::TimedOut, is_refused: false, is_reset: false },
    ];
    for Case { kind, is_refused, is_reset } in cases {
        let failure = ConnectFailure::from(io::Error::from(kind));
        assert_eq!((failure.is_refused, failure.is_reset), (is_refused, is_reset), "{kind:?}");
    }
}

/// The first line of an answer, and the status that is passed on, if any.
struct StatusCase {
    line: &'static str,
    status: Option<u16>,
}

/// An endpoint in trouble sends a status that ends no request, and its caller would take it for an answer.
#[tokio::test]
async fn only_a_final_status_is_an_answer() {
    let cases = [
        StatusCase { line: "HTTP/1.1 200 OK", status: Some(200) },
        StatusCase { line: "HTTP/1.1 299 x", status: Some(299) },
        StatusCase { line: "HTTP/1.1 503 x", status: Some(503) },
        StatusCase { line: "HTTP/1.1 599 x", status: Some(599) },
        StatusCase { line: "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK", status: Some(200) },
        StatusCase { line: "HTTP/1.1 000 x", status: None },
        StatusCase { line: "HTTP/1.1 001 x", status: None },
        StatusCase { line: "HTTP/1.1 099 x", status: None },
        StatusCase { line: "HTTP/1.1 20 x", status: None },
        StatusCase { line: "HTTP/1.1 1000 x", status: None },
        StatusCase { line: "HTTP/1.1 600 x", status: None },
        StatusCase { line: "HTTP/1.1 999 x", status: None },
        StatusCase { line: "HTTP/1.1 101 x\r\nconnection: upgrade\r\nupgrade: x", status: None },
        StatusCase { line: "HTTP/1.1 101 x", status: None },
    ];
    for StatusCase { line, status } in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port can be bound");
        let address = listener.local_addr().expect("a bound listener has an address");
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let _ = stream.read(&mut [0; 1024]).await;
            let answer = format!("{line}\r\ncontent-length: 2\r\n\r\nok");
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.read(&mut [0; 1024]).await;
        });
        let pool = ConnectionPool::new(cfg(), Clock::start());
        let got = pool.send(address, Request::new(Full::new(Bytes::new())), Millis::ZERO).await;
        let is_unknown = matches!(got, Err(SendFailure::Unknown(_)));
        let got = got.ok().map(|answer| answer.response.status().as_u16());
        assert_eq!(got, status, "{line}");
        assert_eq!(is_unknown, status.is_none(), "{line}: its request may have run");
        drop(pool);
        server.abort();
    }
}

/// A response without end would take up the memory of the process that reads it.
#[tokio::test]
async fn a_response_without_end_is_not_read_on() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    for has_end in [true, false] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port can be bound");
        let address = listener.local_addr().expect("a bound listener has an address");
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let _ = stream.read(&mut [0; 1024]).await;
            let _ = stream.write_all(head.as_bytes()).await;
            let part = vec![b'x'; MAX_FETCHED_BYTES];
            while stream.write_all(&part).await.is_ok() && !has_end {}
        });
        let pool = ConnectionPool::new(cfg(), Clock::start());
        let got = pool.fetch(address, Request::new(Full::new(Bytes::new())), Millis::ZERO).await;
        assert_eq!(got.is_ok(), has_end, "{got:?}");
        // It ends once its connection is closed.
        server.await.expect("the server doesn't panic");
    }
}
