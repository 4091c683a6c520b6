//! Answers that begin before the endpoint has read the request's body.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use socket2::SockRef;
use support::{connect, listen, start_relay};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bytes of the request that an endpoint reads before it answers.
const READ_BYTES: usize = 16 << 10;

/// Size of a request that fits into no buffer on its way.
const LARGE: usize = 4 << 20;

/// Rounds of each case, as an error is seen by a read or by a write.
const ROUNDS: usize = 12;

const CLOSE: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello";
const KEPT: &str = "HTTP/1.1 200 OK\r\n\r\nhello";
const OLD: &str = "HTTP/1.0 200 OK\r\n\r\nhello";
const LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

/// What an endpoint does after its answer.
#[derive(Debug, Clone, Copy)]
enum End {
    /// Resets the connection after a pause.
    Reset(Duration),
    /// Ends its side, then closes the connection with the rest of the request unread.
    Close,
    /// Ends its side, and reads the rest of the request.
    ReadOn,
    /// Reads the rest of the request before it answers, and closes the connection.
    AnswerLast,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    answer: &'static str,
    end: End,
    bytes: usize,
    /// Whether the answer is complete; none if it may be broken off as well.
    is_whole: Option<bool>,
}

async fn serve(mut stream: TcpStream, case: Case) {
    let mut buf = vec![0; READ_BYTES];
    let mut read = 0;
    let first = if matches!(case.end, End::AnswerLast) { case.bytes } else { READ_BYTES };
    while read < first.min(case.bytes) {
        read += stream.read(&mut buf).await.unwrap_or(usize::MAX / 2);
    }
    let _ = stream.write_all(case.answer.as_bytes()).await;
    match case.end {
        End::Reset(pause) => {
            tokio::time::sleep(pause).await;
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        End::Close => {
            let _ = stream.shutdown().await;
        }
        End::ReadOn | End::AnswerLast => {
            let _ = stream.shutdown().await;
            while stream.read(&mut buf).await.is_ok_and(|n| n > 0) {}
        }
    }
}

async fn start_endpoint(case: Case) -> SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, case));
        }
    });
    address
}

/// Sends a request; returns the body of its answer, or none if the answer broke off.
async fn call(endpoint: SocketAddr, relay: Option<SocketAddr>, bytes: usize) -> Option<Bytes> {
    let (pool, connection) = connect(endpoint, relay).await;
    let req = Request::post("/x").header("host", "h");
    let req = req.body(Full::new(Bytes::from(vec![b'x'; bytes]))).expect("a valid request");
    let answer = pool.send_on(connection, req).await.ok()?;
    let body = answer.into_parts().0.into_body().collect().await.ok()?;
    Some(body.to_bytes())
}

/// A reset that a write of the request notices would make a part of an answer without a length look
/// complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_answer_without_a_length_is_not_complete_if_its_connection_is_reset() {
    let mut cases = Vec::new();
    for answer in [CLOSE, KEPT, OLD] {
        let pauses = [0, 1, 20, 300].map(|ms| End::Reset(Duration::from_millis(ms)));
        for end in pauses.into_iter().chain([End::Close]) {
            cases.push(Case { answer, end, bytes: LARGE, is_whole: Some(false) });
        }
    }
    play(&cases).await;
}

/// Answers of endpoints that read on, or that say how long their answers are, must not be broken off for
/// those that don't.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_early_answer_is_complete_if_its_end_is_in_order() {
    let mut cases = Vec::new();
    for answer in [CLOSE, KEPT, OLD, LENGTH, CHUNKS] {
        for (end, bytes) in
            [(End::ReadOn, LARGE), (End::AnswerLast, LARGE), (End::AnswerLast, 1), (End::ReadOn, 1)]
        {
            cases.push(Case { answer, end, bytes, is_whole: Some(true) });
        }
    }
    for answer in [LENGTH, CHUNKS] {
        for end in [End::Reset(Duration::from_millis(20)), End::Close] {
            cases.push(Case { answer, end, bytes: LARGE, is_whole: Some(true) });
        }
        // The reset may overtake the answer.
        cases.push(Case { answer, end: End::Reset(Duration::ZERO), bytes: LARGE, is_whole: None });
    }
    play(&cases).await;
}

async fn play(cases: &[Case]) {
    let relay = start_relay().await;
    let mut failures = Vec::new();
    for case in cases {
        let endpoint = start_endpoint(*case).await;
        for via in [None, Some(relay)] {
            let mut wrong = 0;
            for _ in 0..ROUNDS {
                let body = call(endpoint, via, case.bytes).await;
                if let Some(body) = &body {
                    assert_eq!(&body[..], b"hello", "{case:?}");
                }
                wrong += usize::from(case.is_whole.is_some_and(|whole| whole != body.is_some()));
            }
            if wrong > 0 {
                let path = if via.is_some() { "in a tunnel" } else { "straight" };
                failures.push(format!("{wrong} of {ROUNDS} {path}: {case:?}"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
