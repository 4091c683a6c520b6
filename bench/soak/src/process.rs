//! A child process of the soak test and the signals sent to it.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use eyre::{Result, WrapErr, eyre};
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

/// A program with its arguments and, while it runs, its child process.
#[derive(Debug)]
pub struct Process {
    /// Name of the process in findings and of its log file.
    pub name: String,
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    data: Option<PathBuf>,
    child: Option<Child>,
    /// Whether SIGTERM was sent since the last start.
    is_stopping: bool,
    /// The times at which it ended by itself, as findings.
    own_ends: Vec<String>,
}

impl Process {
    /// Creates a process that is not started yet.
    pub fn new(name: String, program: PathBuf, args: Vec<String>, logs: &Path) -> Self {
        let log = logs.join(format!("{name}.log"));
        Self {
            name,
            program,
            args,
            log,
            data: None,
            child: None,
            is_stopping: false,
            own_ends: Vec::new(),
        }
    }

    /// Sets the data folder, which `lose_disk` removes.
    pub fn with_data(mut self, data: PathBuf) -> Self {
        self.data = Some(data);
        self
    }

    /// Starts the process, unless it already runs because another fault restarted it. Output is
    /// appended to the log of earlier starts.
    ///
    /// # Errors
    ///
    /// Fails when the log can't be opened or the program can't be started.
    pub fn start(&mut self) -> Result<()> {
        self.note_own_end();
        let is_running =
            self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)));
        if is_running {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn();
        self.child = Some(child.wrap_err_with(|| self.program.display().to_string())?);
        self.is_stopping = false;
        Ok(())
    }

    /// Returns the process id of the child, if there is one.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        self.note_own_end();
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills the process and removes its data folder.
    ///
    /// # Errors
    ///
    /// Fails when the process has no data folder or the folder can't be removed.
    pub fn lose_disk(&mut self) -> Result<()> {
        self.kill();
        let data = self.data.as_ref().ok_or_else(|| eyre!("{} has no data folder", self.name))?;
        fs::remove_dir_all(data).wrap_err_with(|| data.display().to_string())
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Sends SIGTERM. Returns the process id of the child, if there is one.
    pub fn ask_to_stop(&mut self) -> Option<u32> {
        self.note_own_end();
        self.is_stopping = true;
        self.signal(Signal::SIGTERM);
        self.child.as_ref().map(Child::id)
    }

    /// Sends SIGHUP, as a closing terminal does.
    pub fn send_sighup(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Returns whether the child with this process id is running; `false` after a restart.
    pub fn is_running(&mut self, id: u32) -> bool {
        let child = self.child.as_mut().filter(|child| child.id() == id);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns a finding for each time that the process ended without a kill or SIGTERM, for
    /// example after a broken promise.
    pub fn take_own_ends(&mut self) -> Vec<String> {
        self.note_own_end();
        std::mem::take(&mut self.own_ends)
    }

    /// Notes an end before a restart, a kill or a signal hides it.
    fn note_own_end(&mut self) {
        if !self.is_stopping
            && let Some(status) = self.take_exit_status()
        {
            self.own_ends.push(format!("process: {} exited unexpectedly with {status}", self.name));
        }
    }

    /// Returns the exit status if the child has exited, and forgets that child.
    pub fn take_exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = signal::kill(Pid::from_raw(child.id() as i32), signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
