//! Endpoints of a run that crash in the middle of streams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use sill_base::Millis;
use sill_soak::backend::{Endpoint, Ledger};
use sill_soak::exchange;
use sill_soak::link::Link;
use sill_soak::plan::Remains;
use sill_soak::stream::{PACE_HEADER, Pace};
use sill_standin::loopback::free_addresses;
use sill_wire::header;

/// Timeout of requests. Streams end sooner.
const TIMEOUT: Millis = Millis(3000);

/// Starts an endpoint behind a link, that streams in varied framings.
async fn start() -> (Endpoint, Link) {
    let [own, link, control] = free_addresses(3).expect("three free ports")[..] else {
        unreachable!("three ports were asked for")
    };
    let link = Link::open(link, own).await.expect("the address is free");
    let ledger = Arc::<Ledger>::default();
    let mut endpoint = Endpoint::new("e0".to_owned(), own, link.address, vec![control], ledger);
    endpoint.start().await.expect("the address is free");
    endpoint.vary_framing();
    (endpoint, link)
}

fn stream_request(endpoint: &str, id: &str) -> Request<Full<Bytes>> {
    Request::post("/stream")
        .header("host", "soak")
        .header(header::ENDPOINT, endpoint)
        .header(header::REQUEST_ID, id)
        .header(PACE_HEADER, Pace::Slow.name())
        .body(Full::default())
        .expect("a request with valid headers")
}

/// An entry instance that takes an opened or a slow connection for a running process is found only
/// if the address shows these after the crash, and the program answers pings before it.
#[tokio::test]
async fn an_address_shows_what_remains_of_a_crashed_endpoint() {
    struct Case {
        remains: Remains,
        connects: bool,
        is_silent: bool,
    }
    let cases = [
        Case { remains: Remains::Refusal, connects: true, is_silent: false },
        Case { remains: Remains::Listener, connects: true, is_silent: true },
        Case { remains: Remains::FullQueue, connects: false, is_silent: true },
    ];
    for Case { remains, connects, is_silent } in cases {
        let (mut endpoint, link) = start().await;
        let ping = || stream_request("none", "ping");
        let reply = exchange::send_once(link.address, ping(), TIMEOUT).await.expect("a reply");
        assert_eq!((reply.status, reply.header(header::NOT_RUN)), (421, Some("true")));
        endpoint.crash_in_streams(remains).await.expect("the address can be kept open");
        link.set_full(remains == Remains::FullQueue);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let within = Duration::from_millis(300);
        let connection = exchange::Connection::open(link.address);
        let connection = tokio::time::timeout(within, connection).await;
        assert_eq!(connection.is_ok(), connects, "{remains:?}");
        if let Ok(connection) = connection {
            let mut connection = connection.expect("the link accepts connections");
            let reply = tokio::time::timeout(within, connection.send(ping())).await;
            assert!(!matches!(reply, Ok(Ok(_))), "{remains:?}: {reply:?}");
            assert_eq!(reply.is_err(), is_silent, "{remains:?}: {reply:?}");
        }
        link.set_full(false);
        endpoint.restart().await.expect("the address is free");
        let reply = exchange::send_once(link.address, ping(), TIMEOUT).await.expect("a reply");
        assert_eq!(reply.status, 421, "{remains:?}");
    }
}

/// A soak whose crashes cut all streams visibly finds no stream that looks complete.
#[tokio::test]
async fn streams_of_a_crashing_endpoint_end_in_all_ways() {
    let (mut endpoint, link) = start().await;
    let address = link.address;
    let streams = ["0", "1", "2"].map(|id| {
        let req = stream_request("e0.1", id);
        tokio::spawn(async move { exchange::send_once(address, req, TIMEOUT).await })
    });
    tokio::time::sleep(Pace::Slow.gap().mul_f64(1.5)).await;
    endpoint.crash_in_streams(Remains::Refusal).await.expect("nothing is kept open");
    let mut framings = Vec::new();
    for stream in streams {
        let answer = stream.await.expect("no panic").expect("a head");
        framings.push((answer.header("transfer-encoding").is_some(), answer.body.is_some()));
    }
    framings.sort_unstable();
    assert_eq!(framings, [(false, true), (true, false), (true, true)]);
}
