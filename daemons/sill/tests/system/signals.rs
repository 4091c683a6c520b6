//! Signals to daemons: during start-up, repeated, and SIGHUP.

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::harness::{Folder, Program, free_addresses, http, wait_until};

/// The verbs of `sill` that run a daemon.
const DAEMONS: [&str; 3] = ["entry", "gateway", "control"];

/// Long enough for a signal or request to take effect; no test measures speed with it.
const EFFECT_TIME: Duration = Duration::from_millis(300);

/// A daemon whose peers and control instances don't run.
struct Daemon {
    folder: Folder,
    /// The address for callers or operators.
    address: SocketAddr,
    program: Program,
}

impl Daemon {
    fn start(verb: &str) -> Self {
        let folder = Folder::new(verb);
        let addresses = free_addresses(4);
        let address_texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let voter = format!("d1@a@{}", address_texts[1]);
        let [key, root, join, data] =
            ["cluster-key", "root-token", "join-token", "data"].map(|name| folder.file(name));
        let mut args = vec![verb, "--name", "d1", "--domain", "a", "--listen", &address_texts[0]];
        args.extend(["--cluster-key-file", &key]);
        args.extend(match verb {
            "control" => vec!["--listen-peer", &address_texts[1], "--voter", &voter],
            "entry" => vec!["--listen-peer", &address_texts[1], "--control", &address_texts[2]],
            _ => vec!["--listen-ready", &address_texts[1], "--control", &address_texts[2]],
        });
        args.extend(match verb {
            "control" => vec!["--data", &data, "--root-token-file", &root],
            "entry" => vec!["--join-token-file", &join, "--drain-notice-ms", "500"],
            _ => vec!["--listen-metrics", &address_texts[3], "--drain-notice-ms", "500"],
        });
        let program = folder.start("log", &args);
        Self { folder, address: addresses[0], program }
    }

    fn wait_until_listening(&self) {
        wait_until("the daemon listens", || TcpStream::connect(self.address).is_ok());
    }

    fn is_running(&mut self) -> bool {
        self.program.try_wait().is_none()
    }

    /// Waits until the daemon exits. Returns its exit code, or `None` if a signal killed it, and
    /// its log.
    fn wait_for_exit(mut self) -> (Option<i32>, String) {
        let code = self.program.wait().code();
        (code, fs::read_to_string(self.folder.file("log")).expect("the log can be read"))
    }
}

/// The platform stops an instance right after it has started it, as when a deployment is rolled
/// back. If the process listens before it handles SIGTERM, the signal kills it: it cuts accepted
/// requests and looks like a crash.
#[test]
fn a_stop_right_after_the_start_is_graceful() {
    thread::scope(|scope| {
        for verb in DAEMONS {
            scope.spawn(move || check_early_stop(verb));
        }
    });
}

fn check_early_stop(verb: &str) {
    let daemon = Daemon::start(verb);
    daemon.wait_until_listening();
    daemon.program.signal("-TERM");
    assert_eq!(daemon.wait_for_exit().0, Some(0), "{verb}: stopped as soon as it listened");
    for after_ms in [0, 2, 5, 10, 20, 50, 100, 200] {
        let daemon = Daemon::start(verb);
        thread::sleep(Duration::from_millis(after_ms));
        daemon.program.signal("-TERM");
        let (code, log) = daemon.wait_for_exit();
        // A process that has logged nothing has not run its first own step, and accepted nothing.
        let has_started = !log.is_empty();
        assert!(
            code == Some(0) || (code.is_none() && !has_started),
            "{verb}: stopped after {after_ms} ms with exit code {code:?}: {log}"
        );
    }
}

/// A terminal is closed, or a supervisor sends SIGHUP to have settings reloaded. The default action
/// kills a daemon that doesn't handle the signal, and cuts all requests in flight there.
#[test]
fn a_hang_up_does_not_end_a_daemon() {
    for verb in DAEMONS {
        let mut daemon = Daemon::start(verb);
        daemon.wait_until_listening();
        for _ in 0..3 {
            daemon.program.signal("-HUP");
        }
        thread::sleep(EFFECT_TIME);
        assert!(daemon.is_running(), "{verb}: ended by SIGHUP");
        daemon.program.signal("-TERM");
        daemon.program.signal("-HUP");
        assert_eq!(daemon.wait_for_exit().0, Some(0), "{verb}: SIGHUP after SIGTERM");
    }
}

/// A gateway (an entry instance for routes) has a call in flight, here one that waits for the first
/// settings, while the platform and an operator send one signal after the other. If one of them
/// ends the process at once, the caller gets no answer.
#[test]
fn repeated_signals_do_not_cut_a_call_at_a_gateway() {
    let daemon = Daemon::start("gateway");
    daemon.wait_until_listening();
    let address = daemon.address;
    let pending = thread::spawn(move || http(address, "POST", "/x", &[], "body"));
    thread::sleep(EFFECT_TIME);
    for name in ["-HUP", "-TERM", "-TERM", "-HUP", "-INT", "-INT", "-TERM"] {
        daemon.program.signal(name);
        thread::sleep(Duration::from_millis(20));
    }
    let answer = pending.join().expect("the thread does not panic").expect("an answer");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.head.contains("sill-not-run: true"), "{answer:?}");
    assert_eq!(daemon.wait_for_exit().0, Some(0));
}
