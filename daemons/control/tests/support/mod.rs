//! Helpers for the tests of control instances.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of a read from the connection; a later answer counts as hung.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends a request with the root token, and returns the answer as text.
pub fn http(to: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(to).expect("the instance accepts connections");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a read timeout can be set");
    let head = "host: c\r\nconnection: close\r\nauthorization: Bearer root";
    let len = body.len();
    let text = format!("{method} {path} HTTP/1.1\r\n{head}\r\ncontent-length: {len}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).expect("the request is sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the answer is read");
    answer
}
