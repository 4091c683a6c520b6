//! The client of JSON calls, and of calls between instances, at servers whose answers are malformed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::thread;

use ntex::http::Method;
use ntex::rt::{DefaultRuntime, System};
use serde_json::{Value, json};
use sill_base::{Millis, Secret};
use sill_net::{PeerClient, client};
use sill_wire::Incarnation;
use sill_wire::control::Revision;
use sill_wire::feed::{FeedPoll, FeedReply};

const TIMEOUT: Millis = Millis(5000);

/// How a server ends its body.
#[derive(Debug, Clone, Copy)]
enum End {
    Chunks,
    Length,
    Close,
}

/// What a server sends, and whether it is an answer.
#[derive(Debug)]
struct Case {
    head: &'static str,
    end: End,
    is_answer: bool,
}

const MALFORMED: Case = Case { head: "", end: End::Chunks, is_answer: false };

const CASES: [Case; 26] = [
    Case { head: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkex\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 404 x\r\ntransfer-encoding: identity\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 200 OK\r\ntransfer-encoding:\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 200 OK\r\ntransfer-encodinf: chunked\r\n", ..MALFORMED },
    Case {
        head: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: identity\r\n",
        ..MALFORMED
    },
    Case {
        head: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n",
        ..MALFORMED
    },
    Case {
        head: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n",
        ..MALFORMED
    },
    Case { head: "HTTP/1.1 200 OK\r\ncontent-length: 2x0\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 200 OK\r\ncontent-length: -2\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 200 OK\r\ncontent length: 2\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 200 OK\r\nno field\r\ntransfer-encoding: chunked\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 200 OK\r\nx\u{7}y: z\r\ntransfer-encoding: chunked\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 000 x\r\ntransfer-encoding: chunked\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 600 x\r\ntransfer-encoding: chunked\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 101 x\r\ntransfer-encoding: chunked\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 204 x\r\ntransfer-encoding: chunked\r\n", ..MALFORMED },
    Case { head: "HTTP/1.1 204 x\r\n", end: End::Length, ..MALFORMED },
    Case { head: "HTTP/1.1 200 OK\r\nconnection: close\r\n", end: End::Close, ..MALFORMED },
    Case { head: "HTTP/1.0 200 OK\r\n", end: End::Close, is_answer: true },
    Case {
        head: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
        is_answer: true,
        ..MALFORMED
    },
    Case {
        head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n",
        is_answer: true,
        ..MALFORMED
    },
    Case { head: "HTTP/1.1 200 OK\r\n", end: End::Length, is_answer: true },
    Case { head: "HTTP/1.0 200 OK\r\n", end: End::Length, is_answer: true },
];

/// Starts a server that answers each request with the head of a case and a body.
fn start(case: &Case, body: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port can be bound");
    let address = listener.local_addr().expect("a bound listener has an address");
    let Case { head, end, .. } = case;
    let answer = match end {
        End::Chunks => format!("{head}\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        End::Length => format!("{head}content-length: {}\r\n\r\n{body}", body.len()),
        End::Close => format!("{head}\r\n{body}"),
    };
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(answer.as_bytes());
            let _ = stream.shutdown(Shutdown::Write);
            // A close with a part of the request unread would reset the connection.
            let _ = stream.read_to_end(&mut Vec::new());
        }
    });
    address
}

/// An operator must not take a malformed answer for the result of a change.
#[test]
fn a_json_call_fails_if_its_answer_is_malformed() {
    let mut failures = Vec::new();
    for case in CASES {
        let url = format!("http://{}/tree", start(&case, r#"{"a":1}"#));
        let system = System::build().name("calls").build(DefaultRuntime);
        let reply = system.block_on(async move {
            let http = client::streaming(1).await?;
            client::send::<Value>(&http, Method::GET, &url, None, &[], None, TIMEOUT).await
        });
        let body = reply.as_ref().ok().map(|reply| reply.body.as_slice());
        if body != case.is_answer.then_some(br#"{"a":1}"#.as_slice()) {
            failures.push(format!("{:?}: {:?}", case.head, body.map(String::from_utf8_lossy)));
        }
    }
    let (failed, played) = (failures.len(), CASES.len());
    assert!(failures.is_empty(), "{failed} of {played} failed: {failures:#?}");
}

/// A reply between instances is read by its JSON, which no line of a chunk and no part of it passes for.
#[tokio::test]
async fn a_call_between_instances_gets_the_reply_or_none() {
    let reply = json!({ "jsonrpc": "2.0", "id": 0, "result": FeedReply::Current }).to_string();
    for case in CASES {
        let address = start(&case, &reply);
        let peer = PeerClient::new(address, &Secret::new("key"), TIMEOUT);
        let poll = FeedPoll {
            entry: "e1".into(),
            incarnation: Incarnation(1),
            domain: "a".into(),
            have: Revision(1),
            wait: Millis::ZERO,
            subscribers: Vec::new(),
            endpoints: None,
        };
        match peer.call(&poll).await {
            Ok(got) => assert!(matches!(got, FeedReply::Current), "{case:?}: {got:?}"),
            Err(err) => assert!(!case.is_answer, "{case:?}: {err}"),
        }
    }
}
