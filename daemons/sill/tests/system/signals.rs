//! Signals to daemons as real processes.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::thread;
use std::time::Duration;

use crate::control_cluster::signal;
use crate::harness::{Folder, Program, free_addresses, http, wait_until};

/// The daemons, by the verbs of `sill` that run them.
const DAEMONS: [&str; 3] = ["entry", "gateway", "control"];

/// Long enough for a signal to have its effect; nothing is measured.
const SOON: Duration = Duration::from_millis(300);

/// A daemon that runs alone.
struct Daemon {
    folder: Folder,
    /// Where callers or operators reach it.
    address: SocketAddr,
    program: Program,
}

impl Daemon {
    fn start(verb: &str) -> Self {
        let folder = Folder::new(verb);
        let free = free_addresses(4);
        let text: Vec<String> = free.iter().map(ToString::to_string).collect();
        let voter = format!("d1@a@{}", text[1]);
        let [key, root, join, data] =
            ["cluster-key", "root-token", "join-token", "data"].map(|name| folder.file(name));
        let mut words = vec![verb, "--name", "d1", "--domain", "a", "--listen", &text[0]];
        words.extend(["--cluster-key-file", &key]);
        words.extend(match verb {
            "control" => vec!["--listen-peer", &text[1], "--voter", &voter],
            "entry" => vec!["--listen-peer", &text[1], "--control", &text[2]],
            _ => vec!["--listen-ready", &text[1], "--control", &text[2]],
        });
        words.extend(match verb {
            "control" => vec!["--data", &data, "--root-token-file", &root],
            "entry" => vec!["--join-token-file", &join, "--drain-notice-ms", "500"],
            _ => vec!["--listen-metrics", &text[3], "--drain-notice-ms", "500"],
        });
        // Some daemons log to standard output, and some to standard error.
        let log = File::create(folder.file("log")).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_sill"))
            .args(&words)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("it is open"))
            .stderr(log)
            .spawn();
        let program = Program(child.expect("sill can be started"));
        Self { folder, address: free[0], program }
    }

    fn wait_until_it_listens(&self) {
        wait_until("it listens", || TcpStream::connect(self.address).is_ok());
    }

    fn runs(&mut self) -> bool {
        self.program.0.try_wait().expect("its state").is_none()
    }

    /// Waits for its end, and returns its exit code, or none if a signal ended it, and its log.
    fn ends(mut self) -> (Option<i32>, String) {
        let code = self.program.0.wait().expect("it ends").code();
        (code, fs::read_to_string(self.folder.file("log")).expect("its log"))
    }
}

/// The platform starts an instance and stops it at once, as when a deployment is taken back. One that has
/// begun to listen and is ended on the spot cuts what it has taken, and looks like a crash.
#[test]
fn a_stop_right_after_the_start_ends_in_order() {
    thread::scope(|scope| {
        for verb in DAEMONS {
            scope.spawn(move || stops_early(verb));
        }
    });
}

fn stops_early(verb: &str) {
    let daemon = Daemon::start(verb);
    daemon.wait_until_it_listens();
    signal(&daemon.program, "-TERM");
    assert_eq!(daemon.ends().0, Some(0), "{verb} as soon as it listens");
    for after_ms in [0, 2, 5, 10, 20, 50, 100, 200] {
        let daemon = Daemon::start(verb);
        thread::sleep(Duration::from_millis(after_ms));
        signal(&daemon.program, "-TERM");
        let (code, log) = daemon.ends();
        // A process that has not come to its own first step has taken nothing on.
        let had_begun = !log.is_empty();
        assert!(code == Some(0) || (code.is_none() && !had_begun), "{verb}: {code:?} {log}");
    }
}

/// A terminal is closed, or a supervisor sends its usual signal to have settings read anew. A daemon
/// that doesn't expect it ends on the spot, and all that is in flight there is cut.
#[test]
fn a_hang_up_ends_no_daemon() {
    for verb in DAEMONS {
        let mut daemon = Daemon::start(verb);
        daemon.wait_until_it_listens();
        for _ in 0..3 {
            signal(&daemon.program, "-HUP");
        }
        thread::sleep(SOON);
        assert!(daemon.runs(), "{verb}");
        signal(&daemon.program, "-TERM");
        signal(&daemon.program, "-HUP");
        assert_eq!(daemon.ends().0, Some(0), "{verb}");
    }
}

/// An entry instance for routes holds a call, here one that waits for the first settings, while its
/// platform and an operator send it one signal after the other. The caller must get its answer.
#[test]
fn signals_in_series_cut_no_call_of_a_gateway() {
    let daemon = Daemon::start("gateway");
    daemon.wait_until_it_listens();
    let address = daemon.address;
    let asked = thread::spawn(move || http(address, "POST", "/x", &[], "body"));
    thread::sleep(SOON);
    for name in ["-HUP", "-TERM", "-TERM", "-HUP", "-INT", "-INT", "-TERM"] {
        signal(&daemon.program, name);
        thread::sleep(Duration::from_millis(20));
    }
    let answer = asked.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.head.contains("sill-not-run: true"), "{answer:?}");
    assert_eq!(daemon.ends().0, Some(0));
}
