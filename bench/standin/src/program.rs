//! Child processes of tests. One that ends by itself or logs a panic fails the test, whatever the
//! test is about.

use std::fs::File;
use std::io::{self, Read, Seek};
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;

use parking_lot::Mutex;

/// What the log line of a panic contains.
const PANIC_EVENT: &str = "event=panic ";

/// A child process whose output goes to a log file. On drop it is killed and checked.
#[derive(Debug)]
pub struct Program {
    child: Child,
    name: String,
    /// Where its output and its errors go, which may be one file.
    logs: [File; 2],
    expected_end: Mutex<ExpectedEnd>,
}

/// How a process may end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExpectedEnd {
    /// Not at all.
    None,
    /// With exit code 0, or by the signal itself where its handler wasn't set yet.
    Stopped,
    /// In any way.
    Any,
}

impl Program {
    /// Starts a process. Its output is appended to the log, which it may share with earlier ones.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be opened or the process can't be started.
    pub fn start(command: &mut Command, log: &Path) -> io::Result<Self> {
        Self::start_with_output(command, log, log)
    }

    /// Starts a process whose output goes to another file than its errors.
    ///
    /// # Errors
    ///
    /// Fails when a file can't be opened or the process can't be started.
    pub fn start_with_output(command: &mut Command, output: &Path, log: &Path) -> io::Result<Self> {
        let name = log.display().to_string();
        let open = |path| File::options().read(true).create(true).append(true).open(path);
        let logs = [open(output)?, open(log)?];
        let (out, err) = (logs[0].try_clone()?, logs[1].try_clone()?);
        let child = command.stdin(Stdio::null()).stdout(out).stderr(err).spawn()?;
        Ok(Self { child, name, logs, expected_end: Mutex::new(ExpectedEnd::None) })
    }

    /// Sends a signal, given as an option of `kill`, such as `-TERM`.
    ///
    /// # Panics
    ///
    /// Panics if the signal can't be sent.
    pub fn signal(&self, name: &str) {
        let mut expected_end = self.expected_end.lock();
        match name {
            "-KILL" => *expected_end = ExpectedEnd::Any,
            "-TERM" | "-INT" if *expected_end == ExpectedEnd::None => {
                *expected_end = ExpectedEnd::Stopped;
            }
            _ => {}
        }
        let sent = Command::new("kill").args([name, &self.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "{name} can be sent");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // One that has ended by itself stays a fault.
        if self.try_wait().is_none() {
            *self.expected_end.lock() = ExpectedEnd::Any;
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }

    /// Notes that the process ends by itself, because the test makes it do so.
    pub fn allow_end(&self) {
        *self.expected_end.lock() = ExpectedEnd::Any;
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the end of the process.
    ///
    /// # Panics
    ///
    /// Panics if the process can't be waited for.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }

    /// Returns the exit status if the process has ended.
    ///
    /// # Panics
    ///
    /// Panics if the state of the process can't be read.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the state of the process can be read")
    }

    /// Kills the process. Returns what it did that no process may do: its end, and the panics in its
    /// log.
    pub fn end(&mut self) -> Vec<String> {
        let unexpected = self.try_wait().filter(|status| !self.expected_end.lock().allows(*status));
        let _ = self.child.kill();
        let _ = self.child.wait();
        let ended = unexpected.map(|status| format!("{}: ended with {status}", self.name));
        // Read through the open file, as the folder may have been removed.
        let mut text = Vec::new();
        for log in &mut self.logs {
            let _ = log.rewind().and_then(|()| log.read_to_end(&mut text));
        }
        let panics = panics(&text).into_iter().map(|line| format!("{}: {line}", self.name));
        ended.into_iter().chain(panics).collect()
    }
}

impl ExpectedEnd {
    fn allows(self, status: ExitStatus) -> bool {
        match self {
            Self::None => false,
            Self::Stopped => status.code().map_or(is_stop_signal(status), |code| code == 0),
            Self::Any => true,
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let faults = self.end();
        if faults.is_empty() {
            return;
        }
        let text = faults.join("\n");
        if thread::panicking() {
            eprintln!("{text}");
        } else {
            panic!("a process ended by itself or panicked:\n{text}");
        }
    }
}

/// Returns whether the process was ended by SIGINT or SIGTERM.
pub fn is_stop_signal(status: ExitStatus) -> bool {
    matches!(status.signal(), Some(2 | 15))
}

/// Returns the lines of a log that report a panic, as an event or, before logging has started, by the
/// default report.
pub fn panics(log: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(log);
    let is_default = |line: &str| line.starts_with("thread '") && line.contains(" panicked at ");
    let lines = text.lines().filter(|line| line.contains(PANIC_EVENT) || is_default(line));
    lines.map(str::to_owned).collect()
}
