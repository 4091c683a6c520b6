//! Starts `sill` processes on loopback and talks to them over HTTP.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub use sill_standin::program::Program;
use sill_standin::program::panics;

/// The caller's key in every test.
pub const CALLER_KEY: &str = "test-caller-key";

/// Limit for each wait and each read of an answer, after which the test fails. Long enough for a
/// busy machine; no test measures speed with it.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Number of lines at the end of each program's log that a failing test prints.
const LOG_TAIL_LINES: usize = 80;

/// The temporary folder of one test, with the key files in it; removed on drop.
pub struct Folder(pub PathBuf);

/// A complete HTTP answer as text.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// The status line and header lines, in lower case.
    pub head: String,
    /// The body, with chunked transfer encoding decoded.
    pub body: String,
}

impl Folder {
    /// Creates the folder and the key files, whose contents are `test-` and their names.
    pub fn new(test: &str) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let unique = NEXT.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("sill-{test}-{}-{unique}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder can be created");
        for name in ["cluster-key", "join-token", "root-token"] {
            fs::write(path.join(name), format!("test-{name}\n"))
                .expect("the key file can be written");
        }
        Self(path)
    }

    /// Returns the path of a file in this folder as text.
    pub fn file(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }

    /// Writes a file in this folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        fs::write(self.0.join(name), text).expect("the file can be written");
        self.file(name)
    }

    /// Starts `sill` with these arguments; all that it prints goes to a log file in this folder, in
    /// which a restarted program continues.
    pub fn start(&self, log: &str, args: &[&str]) -> Program {
        let mut sill = Command::new(env!("CARGO_BIN_EXE_sill"));
        Program::start(sill.args(args), &self.0.join(log)).expect("sill can be started")
    }

    /// Starts `sill try`, whose output has the keys, which its log must not have.
    pub fn start_try(&self, args: &[&str]) -> Program {
        let mut sill = Command::new(env!("CARGO_BIN_EXE_sill"));
        let (output, log) = (self.0.join("try.out"), self.0.join("try.log"));
        Program::start_with_output(sill.arg("try").args(args), &output, &log)
            .expect("sill can be started")
    }

    /// Prints the end of every log, because the folder is removed with the test.
    fn print_logs(&self) {
        let entries = fs::read_dir(&self.0).into_iter().flatten().flatten();
        let mut logs: Vec<PathBuf> = entries.map(|entry| entry.path()).collect();
        logs.retain(|path| path.extension().is_some_and(|extension| extension == "log"));
        logs.sort();
        for path in logs {
            let text = fs::read_to_string(&path).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            eprintln!("the last lines of {}:", path.display());
            for line in &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..] {
                eprintln!("    {line}");
            }
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A failure that occurs only once can't be explained later without the logs.
        if thread::panicking() {
            self.print_logs();
        }
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs `sill` with these arguments and this standard input until it exits.
pub fn run_sill(args: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sill"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("sill can be started");
    child
        .stdin
        .take()
        .expect("its input is a pipe")
        .write_all(input.as_bytes())
        .expect("sill reads its input");
    let output = child.wait_with_output().expect("sill exits");
    let panics = panics(&output.stderr);
    assert!(panics.is_empty(), "{}", panics.join("\n"));
    output
}

/// Returns the hash of a key as `sill hash` prints it.
pub fn hash_key(key: &str) -> String {
    let output = run_sill(&["hash"], &format!("{key}\n"));
    String::from_utf8(output.stdout).expect("its output is UTF-8").trim().to_owned()
}

/// Returns free loopback addresses, reserved so that no other test or program binds them.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    sill_standin::loopback::free_addresses(count).expect("there are free ports")
}

/// Polls a condition until it holds, and panics with its description after [`TIMEOUT`].
pub fn wait_until<F>(description: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out after {TIMEOUT:?} waiting until {description}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

/// Sends one request on a new connection and reads the complete answer. Returns `None` if the
/// connection fails or the answer can't be parsed.
pub fn http(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[&str],
    body: &str,
) -> Option<Answer> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
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

/// Sends a POST request with the caller's key.
pub fn call(to: SocketAddr, path: &str, headers: &[&str], body: &str) -> Option<Answer> {
    let authorization = format!("authorization: Bearer {CALLER_KEY}");
    let mut all = vec![authorization.as_str(), "content-type: application/json"];
    all.extend(headers);
    http(to, "POST", path, &all, body)
}

/// Parses the text of an answer.
pub fn read_answer(text: &str) -> Option<Answer> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let head = head.to_lowercase();
    let body = if head.contains("transfer-encoding: chunked") {
        decode_chunked(body)?
    } else {
        body.to_owned()
    };
    Some(Answer { status, head, body })
}

fn decode_chunked(mut input: &str) -> Option<String> {
    let mut body = String::new();
    loop {
        let (size, after) = input.split_once("\r\n")?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.push_str(after.get(..size)?);
        input = after.get(size + 2..)?;
    }
}
