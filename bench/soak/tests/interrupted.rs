//! A soak that is interrupted.

use std::fs;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Number of control instances and entry instances of a run.
const PROCESSES: usize = 6;

/// A program that does nothing until it is killed: nobody writes to the pipe.
const PROGRAM: &str = "#!/bin/sh\nread line < \"$0.pipe\"\n";

/// A folder with the program and the logs of runs.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("sill-{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        let program = path.join("sill");
        fs::write(&program, PROGRAM)?;
        fs::set_permissions(&program, fs::Permissions::from_mode(0o755))?;
        nix::unistd::mkfifo(&path.join("sill.pipe"), nix::sys::stat::Mode::S_IRWXU)?;
        Ok(Self(path))
    }

    /// Returns the number of running processes of the program.
    fn count_processes(&self) -> usize {
        let program = self.0.join("sill").display().to_string();
        let is_program = |process: &Path| {
            let arguments = fs::read(process.join("cmdline")).unwrap_or_default();
            let mut arguments = arguments.split(|byte| *byte == 0);
            arguments.nth(1).is_some_and(|argument| argument == program.as_bytes())
        };
        let processes = fs::read_dir("/proc").expect("processes can be listed").flatten();
        processes.filter(|process| is_program(&process.path())).count()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Processes of an interrupted run stay behind, and each later run shares the machine with them.
#[test]
fn no_process_is_left_after_an_interrupted_run() {
    for signal in [Signal::SIGINT, Signal::SIGTERM] {
        let folder = Folder::new(signal.as_str()).expect("the folder can be created");
        let mut soak = Command::new(env!("CARGO_BIN_EXE_sill-soak"))
            .arg("--sill")
            .arg(folder.0.join("sill"))
            .arg("--logs")
            .arg(folder.0.join("logs"))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the soak can be started");
        while folder.count_processes() < PROCESSES {
            thread::sleep(Duration::from_millis(10));
        }
        kill(Pid::from_raw(soak.id() as i32), signal).expect("the soak runs");
        let status = soak.wait().expect("the soak ends");
        assert!(!status.success(), "{signal}: {status}");
        assert_eq!(folder.count_processes(), 0, "{signal}");
    }
}
