//! The pool of client connections.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use sill_base::{Clock, Millis};
use sill_net::h1::{ConnectFailure, ConnectionPool, ConnectionPoolCfg, Probe};
use tokio::net::TcpListener;

/// What listens at an address.
#[derive(Debug, Clone, Copy)]
enum Peer {
    Nobody,
    ProxyWithoutTarget,
    Server,
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
    let cfg = ConnectionPoolCfg {
        source: None,
        connect_timeout: Millis(5000),
        unacknowledged_timeout: Millis(5000),
        idle_timeout: Millis(10_000),
        keep_alive_margin: Millis(1000),
    };
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
