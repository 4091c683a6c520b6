//! What the soak's own client takes for an answer.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use sill_base::Millis;
use sill_soak::exchange::send_once;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const CHUNKS: &str = "5\r\nhello\r\n0\r\n\r\n";

struct Case {
    fields: &'static str,
    body: &'static str,
    is_whole: bool,
}

/// The verdict compares bodies, and another client may read other ones from a head that contradicts itself.
#[tokio::test]
async fn an_answer_with_a_malformed_head_has_no_body() {
    let cases = [
        Case { fields: "transfer-encoding: chunked\r\n", body: CHUNKS, is_whole: true },
        Case { fields: "content-length: 5\r\n", body: "hello", is_whole: true },
        Case { fields: "connection: close\r\n", body: "hello", is_whole: true },
        Case {
            fields: "content-length: 2\r\ntransfer-encoding: chunked\r\n",
            body: CHUNKS,
            is_whole: false,
        },
        Case { fields: "transfer-encoding: chunkex\r\n", body: "hello", is_whole: false },
        Case { fields: "transfer-encoding: gzip, chunked\r\n", body: CHUNKS, is_whole: false },
        Case { fields: "content-length: 9\r\n", body: "hello", is_whole: false },
    ];
    for Case { fields, body, is_whole } in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port can be bound");
        let address = listener.local_addr().expect("a bound listener has an address");
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let _ = stream.read(&mut [0; 1024]).await;
            let answer = format!("HTTP/1.1 200 OK\r\n{fields}\r\n{body}");
            let _ = stream.write_all(answer.as_bytes()).await;
        });
        let req = Request::get("/").header("host", "h").body(Full::new(Bytes::new()));
        let got = send_once(address, req.expect("a valid request"), Millis(5000)).await;
        let got = got.expect("an answer").body;
        assert_eq!(got.as_deref(), is_whole.then_some(b"hello".as_slice()), "{fields}");
    }
}
