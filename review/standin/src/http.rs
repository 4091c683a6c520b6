//! HTTP/1.1 messages on blocking sockets, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head and the body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with the bytes that were read but not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Reads more bytes; an error at the end of the connection.
    pub fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16384];
        let n = self.stream.read(&mut part)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&part[..n]);
        Ok(())
    }

    /// Reads a head. None if the connection ended in order before it began.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                break at;
            }
            if let Err(err) = self.fill() {
                return match err.kind() {
                    io::ErrorKind::UnexpectedEof if self.buf.is_empty() => Ok(None),
                    _ => Err(err),
                };
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
            .collect();
        Ok(Some(Message { line, headers, body: Vec::new() }))
    }

    /// Takes up to `most` bytes that have arrived, or reads some.
    pub fn read_some(&mut self, most: usize) -> io::Result<Vec<u8>> {
        if self.buf.is_empty() {
            self.fill()?;
        }
        let n = most.min(self.buf.len());
        Ok(self.buf.drain(..n).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn read_exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    /// Reads the body that belongs to a head, as its headers say.
    pub fn read_body(&mut self, message: &mut Message, to_end: bool) -> io::Result<()> {
        let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        if chunked {
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size =
                    usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
                let part = self.read_exact(size)?;
                message.body.extend(part);
                self.read_exact(2)?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        if let Some(len) = message.header("content-length").and_then(|v| v.parse().ok()) {
            message.body = self.read_exact(len)?;
        } else if to_end {
            loop {
                match self.fill() {
                    Ok(()) => {}
                    Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => break,
                    Err(err) => return Err(err),
                }
            }
            message.body = std::mem::take(&mut self.buf);
        }
        Ok(())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends one request on a new connection and reads the complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut conn = Conn::connect(address, timeout.min(Duration::from_secs(1)))?;
    conn.stream.set_read_timeout(Some(timeout))?;
    conn.write(&request(method, path, headers, body))?;
    let mut answer = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    conn.read_body(&mut answer, true)?;
    Ok(answer)
}

/// Returns the bytes of a request with a length.
pub fn request(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

pub fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}

/// Returns whether something listens on an address.
pub fn is_open(ip: IpAddr, port: u16) -> bool {
    TcpStream::connect_timeout(&SocketAddr::new(ip, port), Duration::from_millis(200)).is_ok()
}

/// Waits until `is_so`, at most for `limit`.
pub fn wait_until(limit: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if is_so() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
