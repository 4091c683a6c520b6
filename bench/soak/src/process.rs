//! A program that the soak started, and what is done to it from outside.

use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use eyre::{Result, WrapErr, eyre};
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

/// A program with its args; it runs or not.
#[derive(Debug)]
pub struct Process {
    /// Its name, for findings and logs.
    pub name: String,
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    /// Its data folder, if it has one.
    data: Option<PathBuf>,
    child: Option<Child>,
    /// Whether it was asked to stop.
    is_stopping: bool,
}

impl Process {
    /// Describes a program; it isn't started yet.
    pub fn new(name: String, program: PathBuf, args: Vec<String>, logs: &Path) -> Self {
        let log = logs.join(format!("{name}.log"));
        Self { name, program, args, log, data: None, child: None, is_stopping: false }
    }

    /// Gives it a data folder.
    pub fn with_data(mut self, data: PathBuf) -> Self {
        self.data = Some(data);
        self
    }

    /// Starts it, unless another fault has brought it back already. Its log goes on where the one of an
    /// earlier run ended.
    ///
    /// # Errors
    ///
    /// Fails when it can't be started.
    pub fn start(&mut self) -> Result<()> {
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

    /// Kills it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills it and takes its disk away.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be removed.
    pub fn lose_disk(&mut self) -> Result<()> {
        self.kill();
        let data = self.data.as_ref().ok_or_else(|| eyre!("{} has no disk", self.name))?;
        fs::remove_dir_all(data).wrap_err_with(|| data.display().to_string())
    }

    /// Has it stand still.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Has it go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to stop. Returns the id of this start of it, if it runs.
    pub fn ask_to_stop(&mut self) -> Option<u32> {
        self.is_stopping = true;
        self.signal(Signal::SIGTERM);
        self.child.as_ref().map(Child::id)
    }

    /// Sends it the signal that a terminal sends when it closes.
    pub fn send_sighup(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Returns whether the start of it with this id runs.
    pub fn is_running(&mut self, id: u32) -> bool {
        let child = self.child.as_mut().filter(|child| child.id() == id);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns whether it should be running, paused or not.
    pub fn is_expected_running(&self) -> bool {
        self.child.is_some() && !self.is_stopping
    }

    /// Returns how it ended, if it has; it counts as not running then.
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
