//! Connections to scripted endpoints, straight and through a process that carries tunnels.

use std::net::SocketAddr;
use std::sync::Arc;

use sill_base::{Clock, Millis, Secret};
use sill_net::PeerServerBuilder;
use sill_net::h1::{
    Connection, ConnectionPool, ConnectionPoolCfg, TunnelGrant, TunnelRequest, TunnelServer,
    serve_tunnels,
};
use sill_wire::Incarnation;
use tokio::net::TcpListener;

const KEY: &str = "cluster";

/// Listens on a free port.
pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    (listener, address)
}

/// Starts a process that carries tunnels to the address that is asked for.
pub async fn start_relay() -> SocketAddr {
    let (listener, address) = listen().await;
    let cfg = TunnelServer {
        key: Secret::new(KEY),
        clock: Clock::start(),
        source: None,
        connect_timeout: Millis(2000),
        unacknowledged_timeout: Millis(5000),
        open: Arc::default(),
        methods: PeerServerBuilder::new(Secret::new(KEY)).into_methods(),
    };
    let grant =
        |req: &TunnelRequest| Ok(TunnelGrant { address: req.address, answered_age: Millis::ZERO });
    tokio::spawn(serve_tunnels(listener, cfg, grant));
    address
}

/// Opens a connection to an endpoint, in a tunnel if there is a relay, from a pool of its own.
pub async fn connect(
    endpoint: SocketAddr,
    relay: Option<SocketAddr>,
) -> (ConnectionPool, Connection) {
    let cfg = ConnectionPoolCfg {
        source: None,
        connect_timeout: Millis(5000),
        unacknowledged_timeout: Millis(5000),
        idle_timeout: Millis(10_000),
        keep_alive_margin: Millis(1000),
    };
    let pool = ConnectionPool::new(cfg, Clock::start());
    let connection = match relay {
        None => pool.connect(endpoint).await.expect("the endpoint listens"),
        Some(relay) => {
            let req = TunnelRequest {
                tunnel: "g0-1".into(),
                entry: "g0".into(),
                endpoint: "e1".into(),
                incarnation: Incarnation(7),
                address: endpoint,
                key: Secret::new(KEY),
            };
            pool.connect_through(relay, &req, Millis(5000)).await.expect("a tunnel").connection
        }
    };
    (pool, connection)
}
