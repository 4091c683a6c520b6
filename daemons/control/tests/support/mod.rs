//! What the tests of control instances share.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long an answer may take before it counts as hung.
const HUNG: Duration = Duration::from_secs(60);

/// Sends one request of the root's operator, and returns the answer as text.
pub fn http(to: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(HUNG)).expect("a span");
    let head = "host: c\r\nconnection: close\r\nauthorization: Bearer root";
    let len = body.len();
    let text = format!("{method} {path} HTTP/1.1\r\n{head}\r\ncontent-length: {len}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}
