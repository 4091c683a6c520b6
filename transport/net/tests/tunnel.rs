//! Tunnels through another process, between a connection pool and scripted endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use sill_base::{Clock, Millis, Secret};
use sill_net::PeerServerBuilder;
use sill_net::h1::{
    ConnectionPool, ConnectionPoolCfg, Framing, TunnelDenial, TunnelFailure, TunnelGrant,
    TunnelRequest, TunnelServer, serve_tunnels,
};
use sill_wire::Incarnation;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const KEY: &str = "cluster";

/// How an endpoint ends its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The answer has a length, and the connection stays open.
    Length,
    /// The connection is closed in order.
    Close,
    /// The connection is reset.
    Reset,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

async fn start_endpoint(end: End) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, end));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, end: End) {
    let mut buf = [0; 4096];
    while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {
        let head = match end {
            End::Length => "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
            End::Close | End::Reset => "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
        };
        let _ = stream.write_all(format!("{head}hello").as_bytes()).await;
        if end == End::Length {
            continue;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        if end == End::Reset {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        return;
    }
}

/// How long ago an endpoint was heard by a process that carries tunnels.
const ANSWERED_AGE: Millis = Millis(1234);

fn granted(req: &TunnelRequest) -> TunnelGrant {
    TunnelGrant { address: req.address, answered_age: ANSWERED_AGE }
}

/// Starts a process that carries tunnels to the address that is asked for.
async fn start_relay(
    grant: fn(&TunnelRequest) -> Result<TunnelGrant, TunnelDenial>,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, address) = listen().await;
    let open = Arc::<AtomicUsize>::default();
    let cfg = TunnelServer {
        key: Secret::new(KEY),
        clock: Clock::start(),
        source: None,
        connect_timeout: Millis(2000),
        unacknowledged_timeout: Millis(5000),
        open: open.clone(),
        methods: PeerServerBuilder::new(Secret::new(KEY)).into_methods(),
    };
    tokio::spawn(serve_tunnels(listener, cfg, grant));
    (address, open)
}

fn pool() -> ConnectionPool {
    let cfg = ConnectionPoolCfg {
        source: None,
        connect_timeout: Millis(5000),
        unacknowledged_timeout: Millis(5000),
        idle_timeout: Millis(10_000),
        keep_alive_margin: Millis(1000),
    };
    ConnectionPool::new(cfg, Clock::start())
}

fn tunnel_request(address: SocketAddr, key: &str) -> TunnelRequest {
    TunnelRequest {
        tunnel: "g0-1".into(),
        entry: "g0".into(),
        endpoint: "e1".into(),
        incarnation: Incarnation(7),
        address,
        key: Secret::new(key),
    }
}

fn request() -> Request<Full<Bytes>> {
    let req = Request::post("/x").header("host", "h");
    req.body(Full::new(Bytes::from_static(b"body"))).expect("a valid request")
}

/// An answer that breaks off must not look complete behind a tunnel, whatever marks its end.
#[tokio::test]
async fn the_end_of_an_answer_is_the_same_in_a_tunnel() {
    struct Case {
        end: End,
        framing: Framing,
        is_whole: bool,
    }
    let cases = [
        Case { end: End::Length, framing: Framing::Length, is_whole: true },
        Case { end: End::Close, framing: Framing::Close, is_whole: true },
        Case { end: End::Reset, framing: Framing::Close, is_whole: false },
    ];
    let (relay, _) = start_relay(|req| Ok(granted(req))).await;
    for Case { end, framing, is_whole } in cases {
        let (pool, address) = (pool(), start_endpoint(end).await);
        let opened = pool.connect_through(relay, &tunnel_request(address, KEY), Millis(5000)).await;
        let opened = opened.expect("a tunnel");
        assert_eq!(opened.answered_age, Some(ANSWERED_AGE), "{end:?}");
        let answer = pool.send_on(opened.connection, request()).await;
        let answer = answer.expect("the head of an answer");
        assert_eq!(answer.framing(), framing, "{end:?}");
        let body = answer.into_parts().0.into_body().collect().await;
        assert_eq!(body.is_ok(), is_whole, "{end:?}: {body:?}");
        if let Ok(body) = body {
            assert_eq!(body.to_bytes(), "hello", "{end:?}");
        }
    }
}

/// An entry instance takes an endpoint for unreachable by all if the other one declines for a
/// reason of its own.
#[tokio::test]
async fn a_tunnel_that_is_denied_says_whose_fault_it_is() {
    struct Case {
        name: &'static str,
        grant: fn(&TunnelRequest) -> Result<TunnelGrant, TunnelDenial>,
        key: &'static str,
        failure: TunnelFailure,
    }
    let declined = TunnelFailure::Declined;
    let cases = [
        Case {
            name: "nobody listens",
            grant: |req| Ok(granted(req)),
            key: KEY,
            failure: TunnelFailure::Endpoint,
        },
        Case {
            name: "unknown",
            grant: |_| Err(TunnelDenial::UnknownEndpoint),
            key: KEY,
            failure: declined(StatusCode::NOT_FOUND),
        },
        Case {
            name: "busy",
            grant: |_| Err(TunnelDenial::Busy),
            key: KEY,
            failure: declined(StatusCode::SERVICE_UNAVAILABLE),
        },
        Case {
            name: "cut off itself",
            grant: |_| Err(TunnelDenial::CutOff),
            key: KEY,
            failure: declined(StatusCode::SERVICE_UNAVAILABLE),
        },
        Case {
            name: "does not reach it either",
            grant: |_| Err(TunnelDenial::Unreachable),
            key: KEY,
            failure: TunnelFailure::Endpoint,
        },
        Case {
            name: "wrong key",
            grant: |req| Ok(granted(req)),
            key: "other",
            failure: declined(StatusCode::UNAUTHORIZED),
        },
    ];
    let nobody = listen().await.1;
    for Case { name, grant, key, failure } in cases {
        let (relay, open) = start_relay(grant).await;
        let opened =
            pool().connect_through(relay, &tunnel_request(nobody, key), Millis(5000)).await;
        assert_eq!(opened.err(), Some(failure), "{name}");
        assert_eq!(open.load(Ordering::Relaxed), 0, "{name}");
    }
}

/// A tunnel whose entry instance has gone holds a connection to the endpoint forever.
#[tokio::test]
async fn a_tunnel_ends_with_the_connection_of_its_entry_instance() {
    let (relay, open) = start_relay(|req| Ok(granted(req))).await;
    let (pool, address) = (pool(), start_endpoint(End::Length).await);
    let opened = pool.connect_through(relay, &tunnel_request(address, KEY), Millis(5000)).await;
    let opened = opened.expect("a tunnel");
    assert_eq!(open.load(Ordering::Relaxed), 1);
    drop(opened);
    while open.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
