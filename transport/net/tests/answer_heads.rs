//! Answers whose heads are malformed, and sound ones that look unusual.

mod support;

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use sill_net::h1::{Framing, SendFailure};
use support::{connect, listen, start_relay};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A body in chunks. Read by a length or up to the end of its connection, it is another one.
const CHUNKS: &str = "5\r\nhello\r\n0\r\n\r\n";

/// What an endpoint sends, and what its caller may get.
#[derive(Debug, Clone, Copy)]
struct Case {
    /// The request's method is HEAD.
    is_head: bool,
    status: &'static str,
    /// The lines after the status line.
    fields: &'static str,
    body: &'static str,
    /// The framing and the body of the answer; none if it is refused.
    read: Option<(Framing, &'static str)>,
}

const MALFORMED: Case =
    Case { is_head: false, status: "200 OK", fields: "", body: CHUNKS, read: None };

const SOUND: Case = Case { read: Some((Framing::Chunked, "hello")), ..MALFORMED };

const LENGTH: Case = Case { body: "hello", read: Some((Framing::Length, "hello")), ..MALFORMED };

const EMPTY: Case = Case { body: "", read: Some((Framing::Empty, "")), ..MALFORMED };

/// Values of `Transfer-Encoding` that no sound server sends without being asked for.
const CODINGS: [&str; 28] = [
    "chunkedx",
    "chu",
    "xchunked",
    "chunked\u{e4}",
    "\u{e3}hunked",
    "identity",
    "gzip",
    "gzip, chunked",
    "chunkex, chunked",
    "chunked, gzip",
    "chunked, chunked",
    "identity, chunked",
    "",
    " ",
    ",",
    "chunked,",
    ",chunked",
    "\"chunked\"",
    "chunked;q=1",
    "chunked; x",
    "chun ked",
    "chunked chunked",
    "chunked\t5",
    "=chunked",
    "5",
    "chunked\r\ntransfer-encoding: chunked",
    "gzip\r\ntransfer-encoding: chunked",
    "chunked\r\ntransfer-encoding:",
];

async fn start_endpoint(answer: String) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            let _ = stream.shutdown().await;
        }
    });
    address
}

/// What a caller got.
#[derive(Debug, PartialEq, Eq)]
enum Got {
    /// The framing, the body and the values of `Content-Length`.
    Answer(Framing, Bytes, Vec<String>),
    /// No answer, or a body that broke off; the request may have run.
    Refused,
    /// No answer, though the request was sent.
    NotSent,
}

async fn call(endpoint: SocketAddr, relay: Option<SocketAddr>, is_head: bool) -> Got {
    let (pool, connection) = connect(endpoint, relay).await;
    let method = if is_head { Method::HEAD } else { Method::GET };
    let req = Request::builder().method(method).uri("/x").header("host", "h");
    let req = req.body(Full::new(Bytes::new())).expect("a valid request");
    let answer = match pool.send_on(connection, req).await {
        Ok(answer) => answer,
        Err(SendFailure::Unknown(_)) => return Got::Refused,
        Err(SendFailure::NotSent(_)) => return Got::NotSent,
    };
    let framing = answer.framing();
    let (parts, body) = answer.into_parts().0.into_parts();
    let lengths = parts.headers.get_all("content-length").iter();
    let lengths = lengths.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
    let lengths = lengths.collect();
    match body.collect().await {
        Ok(body) => Got::Answer(framing, body.to_bytes(), lengths),
        Err(_) => Got::Refused,
    }
}

/// Plays each case on a connection of its own and in a tunnel.
async fn play(cases: &[Case]) {
    let relay = start_relay().await;
    let mut failures = Vec::new();
    for case in cases {
        let Case { status, fields, body, .. } = case;
        let version = if status.starts_with("HTTP/") { "" } else { "HTTP/1.1 " };
        let endpoint = start_endpoint(format!("{version}{status}\r\n{fields}\r\n{body}")).await;
        for via in [None, Some(relay)] {
            let got = call(endpoint, via, case.is_head).await;
            let is_expected = match (&case.read, &got) {
                (None, Got::Refused) => true,
                (Some((framing, body)), Got::Answer(got, bytes, lengths)) => {
                    let is_length = |text: &String| text.bytes().all(|b| b.is_ascii_digit());
                    let has_one_length = lengths.len() <= 1 && lengths.iter().all(is_length);
                    (framing, body.as_bytes()) == (got, bytes.as_ref()) && has_one_length
                }
                _ => false,
            };
            if !is_expected {
                let path = if via.is_some() { "in a tunnel" } else { "straight" };
                failures.push(format!("{path}: {got:?} for {case:?}"));
            }
        }
    }
    let (failed, played) = (failures.len(), 2 * cases.len());
    assert!(failures.is_empty(), "{failed} of {played} failed: {failures:#?}");
}

/// A failing endpoint sends a malformed transfer coding. Its caller would take the chunks' own lines for
/// parts of the body, or a length that doesn't apply for the end.
#[tokio::test]
async fn an_answer_in_an_unknown_coding_is_refused() {
    let mut cases = Vec::new();
    for coding in CODINGS {
        let fields = |extra: &str| -> &'static str {
            format!("transfer-encoding: {coding}\r\n{extra}").leak()
        };
        let alone = Case { fields: fields(""), ..MALFORMED };
        cases.push(alone);
        for extra in ["connection: close\r\n", "content-length: 5\r\n"] {
            cases.push(Case { fields: fields(extra), ..MALFORMED });
        }
        for status in ["HTTP/1.0 200 OK", "204 x", "304 x", "404 x", "503 x"] {
            cases.push(Case { status, ..alone });
        }
        cases.push(Case { is_head: true, body: "", ..alone });
    }
    play(&cases).await;
}

/// Of a length and chunks one is wrong. Whichever decides, a caller may get other bytes than were meant.
#[tokio::test]
async fn an_answer_with_a_length_and_chunks_is_refused() {
    let mut cases = Vec::new();
    for length in ["2", "5", "15", "20", "0", "x", ""] {
        let first = format!("content-length: {length}\r\ntransfer-encoding: chunked\r\n").leak();
        let last = format!("transfer-encoding: chunked\r\ncontent-length: {length}\r\n").leak();
        for fields in [&*first, &*last] {
            cases.push(Case { fields, ..MALFORMED });
            cases.push(Case { fields, is_head: true, body: "", ..MALFORMED });
            cases.push(Case { fields, status: "204 x", body: "", ..MALFORMED });
            cases.push(Case { fields, status: "500 x", ..MALFORMED });
        }
    }
    play(&cases).await;
}

/// A corrupted status that has no body beside a field that tells of one: the caller would get an empty answer.
#[tokio::test]
async fn an_answer_without_content_that_has_a_body_is_refused() {
    let mut cases = Vec::new();
    for fields in ["content-length: 5\r\n", "content-length: 5, 5\r\n", "content-length: 1\r\n"] {
        cases.push(Case { status: "204 x", fields, body: "hello", ..MALFORMED });
        cases.push(Case { status: "204 x", fields, body: "", ..MALFORMED });
        cases.push(Case { status: "204 x", fields, body: "", is_head: true, ..MALFORMED });
    }
    let fields = "transfer-encoding: chunked\r\n";
    cases.push(Case { status: "204 x", fields, ..MALFORMED });
    cases.push(Case { status: "204 x", fields, body: "", is_head: true, ..MALFORMED });
    play(&cases).await;
}

/// A length that is none would be passed on with an answer without a body, and its caller's HTTP client
/// fails, or waits for a body.
#[tokio::test]
async fn an_answer_with_an_invalid_length_is_refused() {
    const LENGTHS: [&str; 20] = [
        "2x0",
        "x",
        "",
        " ",
        "-5",
        "+5",
        "0x5",
        "5.0",
        "5 5",
        "5,",
        ",5",
        "5, 6",
        "5; x",
        "\"5\"",
        "18446744073709551616",
        "99999999999999999999999",
        "\u{663}",
        "5\u{b}",
        "5\r\ncontent-length: 6",
        "5\r\ncontent-length: x",
    ];
    let mut cases = Vec::new();
    for length in LENGTHS {
        let fields = format!("content-length: {length}\r\n").leak();
        cases.push(Case { fields, body: "hello", ..MALFORMED });
        cases.push(Case { fields, body: "hello", status: "500 x", ..MALFORMED });
        cases.push(Case { fields, body: "", status: "204 x", ..MALFORMED });
        cases.push(Case { fields, body: "", status: "304 x", ..MALFORMED });
        cases.push(Case { fields, body: "", is_head: true, ..MALFORMED });
    }
    play(&cases).await;
}

/// A line of a head that is no field is a sign of a malformed answer. Passed on or left out, the body might be
/// another one.
#[tokio::test]
async fn an_answer_with_a_line_that_is_no_field_is_refused() {
    const LINES: [&str; 26] = [
        "no colon",
        "content-length 5",
        ": no name",
        "two words: x",
        "content length: 5",
        "content-length : 5",
        "content-length\t: 5",
        "tab\tname: x",
        "nul\0name: x",
        "bell\u{7}name: x",
        "delete\u{7f}name: x",
        "high\u{e4}name: x",
        "(name): x",
        "na\"me: x",
        "x: nul\0value",
        "x: bell\u{7}value",
        "x: delete\u{7f}value",
        "x: lone\rreturn",
        "x: escape\u{1b}",
        " leading: x",
        "\tleading: x",
        "x: folded\r\n value",
        "x: folded\r\n\tvalue",
        "\u{1}",
        "\u{7f}",
        "HTTP/1.1 200 OK",
    ];
    let mut cases = Vec::new();
    for line in LINES {
        let before = format!("{line}\r\ncontent-length: 5\r\n").leak();
        let behind = format!("content-length: 5\r\n{line}\r\n").leak();
        for fields in [&*before, &*behind] {
            cases.push(Case { fields, body: "hello", ..MALFORMED });
        }
        let chunked = format!("transfer-encoding: chunked\r\n{line}\r\n").leak();
        cases.push(Case { fields: chunked, ..MALFORMED });
        let interim = format!("103 x\r\n{line}\r\n\r\nHTTP/1.1 200 OK").leak();
        cases.push(Case { status: interim, fields: "content-length: 5\r\n", ..LENGTH });
        cases.last_mut().expect("one was pushed").read = None;
    }
    play(&cases).await;
}

/// Sound servers must not be refused for those in trouble.
#[tokio::test]
async fn unusual_answers_of_sound_servers_are_read_whole() {
    let close = Some((Framing::Close, "hello"));
    play(&[
        Case { fields: "transfer-encoding: chunked\r\n", ..SOUND },
        Case { fields: "Transfer-Encoding: Chunked\r\n", ..SOUND },
        Case { fields: "TRANSFER-ENCODING:CHUNKED\r\n", ..SOUND },
        Case { fields: "transfer-encoding: \t chunked \t\r\n", ..SOUND },
        Case { fields: "transfer-encoding: chunked\r\nconnection: close\r\n", ..SOUND },
        Case { fields: "transfer-encoding: chunked\r\n", status: "404 x", ..SOUND },
        Case {
            fields: "transfer-encoding: chunked\r\n",
            body: "005;x=\"y\"\r\nhello\r\n0\r\nx-last: 1\r\n\r\n",
            ..SOUND
        },
        Case {
            status: "103 x\r\nlink: x\r\n\r\nHTTP/1.1 200 OK",
            fields: "transfer-encoding: chunked\r\n",
            ..SOUND
        },
        Case { fields: "content-length: 5\r\n", ..LENGTH },
        Case { fields: "CONTENT-LENGTH:5\r\n", ..LENGTH },
        Case { fields: "content-length: \t 5 \t\r\n", ..LENGTH },
        Case { fields: "content-length: 0005\r\n", ..LENGTH },
        Case { fields: "content-length: 5\r\ncontent-length: 5\r\n", ..LENGTH },
        Case { fields: "content-length: 5, 5\r\n", ..LENGTH },
        Case { fields: "content-length: 5\r\nx: \u{e4}\r\n", ..LENGTH },
        Case { fields: "content-length: 5\r\n!#$%&'*+-.^_`|~1: x\r\n", ..LENGTH },
        Case { status: "200", fields: "content-length: 5\r\n", ..LENGTH },
        Case { status: "HTTP/1.0 200 OK", fields: "content-length: 5\r\n", ..LENGTH },
        Case { status: "HTTP/1.0 200 OK", read: close, ..LENGTH },
        Case { fields: "connection: close\r\n", read: close, ..LENGTH },
        Case { fields: "", read: close, ..LENGTH },
        Case { fields: "content-length: 0\r\n", ..EMPTY },
        Case { status: "204 x", ..EMPTY },
        Case { status: "204 x", fields: "content-length: 0\r\n", ..EMPTY },
        Case { status: "304 x", fields: "content-length: 5\r\n", ..EMPTY },
        Case { is_head: true, fields: "content-length: 5\r\n", ..EMPTY },
        Case { is_head: true, fields: "transfer-encoding: chunked\r\n", ..EMPTY },
        Case { is_head: true, ..EMPTY },
    ])
    .await;
}
