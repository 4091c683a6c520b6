//! Real processes on loopback for tests.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The caller's key in every test.
pub const CALLER_KEY: &str = "test-caller-key";

/// How long anything may take before a test fails for good; no test measures speed by it.
const PATIENCE: Duration = Duration::from_secs(60);

/// Lines of each program's log that a failed test shows.
const SHOWN_LINES: usize = 80;

/// A folder of its own for a test, with the key files in it; removed when dropped.
pub struct Folder(pub PathBuf);

/// A running program, killed when dropped.
pub struct Program(pub Child);

/// A whole HTTP answer as text.
#[derive(Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// Header lines in lower case.
    pub head: String,
    /// The body, without chunk sizes.
    pub body: String,
}

impl Folder {
    /// Makes the folder.
    pub fn new(test: &str) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let unique = NEXT.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("sill-{test}-{}-{unique}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder for the test");
        for name in ["cluster-key", "join-token", "root-token"] {
            fs::write(path.join(name), format!("test-{name}\n")).expect("a key file");
        }
        Self(path)
    }

    /// Returns a path inside as text.
    pub fn file(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    /// Writes a file.
    pub fn write(&self, name: &str, text: &str) -> String {
        fs::write(self.0.join(name), text).expect("a file for the test");
        self.file(name)
    }

    /// Starts a verb of `sill`, with its log in this folder.
    pub fn start(&self, log: &str, words: &[&str]) -> Program {
        let log = fs::File::create(self.0.join(log)).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_sill"))
            .args(words)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        Program(child.expect("sill can be started"))
    }

    /// Prints the end of every log, since the folder goes with the test.
    fn print_logs(&self) {
        let entries = fs::read_dir(&self.0).into_iter().flatten().flatten();
        let mut logs: Vec<PathBuf> = entries.map(|entry| entry.path()).collect();
        logs.retain(|path| path.extension().is_some_and(|extension| extension == "log"));
        logs.sort();
        for path in logs {
            let text = fs::read_to_string(&path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            eprintln!("the last lines of {}:", path.display());
            for line in &lines[lines.len().saturating_sub(SHOWN_LINES)..] {
                eprintln!("    {line}");
            }
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A failure that shows once is not traced again without what the programs said.
        if thread::panicking() {
            self.print_logs();
        }
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs a verb of `sill` to its end.
pub fn sill(words: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sill"))
        .args(words)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("sill can be started");
    child.stdin.take().expect("a pipe").write_all(input.as_bytes()).expect("sill reads its input");
    child.wait_with_output().expect("sill ends")
}

/// Returns the hash of a key as `sill hash` prints it.
pub fn hash(key: &str) -> String {
    let output = sill(&["hash"], &format!("{key}\n"));
    String::from_utf8(output.stdout).expect("text").trim().to_owned()
}

/// Returns free addresses that no other test or program takes meanwhile.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    sill_standin::loopback::free_addresses(count).expect("free ports")
}

/// Waits until a condition holds.
pub fn wait_until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "never came true: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Sends one request on a connection of its own and reads the whole answer.
pub fn http(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[&str],
    body: &str,
) -> Option<Answer> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\n");
    for header in headers {
        text.push_str(header);
        text.push_str("\r\n");
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    read_answer(&String::from_utf8_lossy(&answer))
}

/// Sends a caller's request.
pub fn call(to: SocketAddr, path: &str, headers: &[&str], body: &str) -> Option<Answer> {
    let authorization = format!("authorization: Bearer {CALLER_KEY}");
    let mut all = vec![authorization.as_str(), "content-type: application/json"];
    all.extend(headers);
    http(to, "POST", path, &all, body)
}

/// Reads an answer's text.
pub fn read_answer(text: &str) -> Option<Answer> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let head = head.to_lowercase();
    let body =
        if head.contains("transfer-encoding: chunked") { unchunk(body)? } else { body.to_owned() };
    Some(Answer { status, head, body })
}

fn unchunk(mut rest: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, after) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(after.get(..size)?);
        rest = after.get(size + 2..)?;
    }
}
