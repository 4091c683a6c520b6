//! Restarts in series: three control instances and three entry instances for routes, all at once.

use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::harness::{Folder, Program, free_addresses, http, wait_until};

/// Number of instances of each kind.
const SIZE: usize = 3;

/// Listening addresses of each instance.
const OWN_ADDRESSES: usize = 4;

/// Three control instances, followed by three entry instances.
struct System {
    addresses: Vec<SocketAddr>,
    folder: Folder,
}

/// How a process is ended.
#[derive(Debug, Clone, Copy)]
enum End {
    Kill,
    Stop,
    /// It is stopped, and its successor starts before it has ended.
    Overlap,
}

/// One of the series.
struct Case {
    name: &'static str,
    end: End,
    /// Pauses between a start and the next end.
    run_for_ms: &'static [u64],
}

impl System {
    fn new(test: &str) -> Self {
        let addresses = free_addresses(2 * SIZE * OWN_ADDRESSES);
        Self { addresses, folder: Folder::new(test) }
    }

    fn address(&self, i: usize, which: usize) -> SocketAddr {
        self.addresses[i * OWN_ADDRESSES + which]
    }

    fn start(&self, i: usize) -> Program {
        let own: Vec<String> =
            (0..OWN_ADDRESSES).map(|which| self.address(i, which).to_string()).collect();
        let key = |name: &str| [format!("--{name}-file"), self.folder.file(name)];
        let mut args: Vec<String> = Vec::new();
        let (verb, letter) = if i < SIZE { ("control", 'c') } else { ("gateway", 'g') };
        let name = format!("{letter}{}", i % SIZE);
        args.extend([verb, "--name", &name, "--domain", "a", "--listen", &own[0]].map(Into::into));
        args.extend(key("cluster-key"));
        let peers = (0..SIZE).map(|j| (j, self.address(j, 1)));
        if i < SIZE {
            args.extend(["--listen-peer".into(), own[1].clone()]);
            args.extend(["--data".into(), self.folder.file(&format!("data-{i}"))]);
            let voters = peers.map(|(j, peer)| ["--voter".into(), format!("c{j}@a@{peer}")]);
            args.extend(voters.flatten());
            args.extend(key("root-token").into_iter().chain(key("join-token")));
        } else {
            args.extend(["--listen-ready", &own[1], "--listen-metrics", &own[2]].map(Into::into));
            args.extend(["--drain-notice-ms", "100", "--drain-limit-ms", "1000"].map(Into::into));
            let controls = peers.map(|(_, peer)| ["--control".into(), peer.to_string()]);
            args.extend(controls.flatten());
        }
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        self.folder.start(&format!("{name}.log"), &args)
    }

    /// Ends a process and starts it again at once, once for each pause.
    fn restart(&self, i: usize, mut program: Program, case: &Case) -> Program {
        for run_for in case.run_for_ms {
            match case.end {
                End::Kill => program.kill(),
                End::Stop => {
                    program.signal("-TERM");
                    program.wait();
                }
                End::Overlap => program.signal("-TERM"),
            }
            let next = self.start(i);
            if let End::Overlap = case.end {
                program.wait();
            }
            program = next;
            thread::sleep(Duration::from_millis(*run_for));
        }
        program
    }

    /// Waits until a control instance has started or ended.
    fn wait_until_started(&self, i: usize, program: &mut Program) {
        wait_until("the control instance starts or ends", || {
            program.try_wait().is_some()
                || http(self.address(i, 0), "GET", "/metrics", &[], "").is_some()
        });
    }

    fn wait_until_ready(&self) {
        let headers = ["authorization: Bearer test-root-token"];
        for i in 0..SIZE {
            wait_until("the control instance accepts settings", || {
                let put = http(self.address(i, 0), "PUT", "/tree/serving", &headers, "{}");
                put.is_some_and(|answer| answer.status == 200)
            });
        }
        for i in SIZE..2 * SIZE {
            wait_until("the entry instance has settings", || {
                let page = http(self.address(i, 2), "GET", "/metrics", &[], "");
                page.is_some_and(|page| !page.body.contains("\nsill_gateway_revision 0\n"))
            });
        }
    }
}

/// A supervisor restarts instances again and again, some of them before they have finished to start
/// or to stop. No start may fail, and no process may end by itself or panic.
#[test]
fn restarts_in_series_always_succeed() {
    const SHORT: &[u64] = &[5, 10, 20, 30, 40, 50, 60, 5, 5, 300];
    let cases = [
        Case { name: "kill", end: End::Kill, run_for_ms: SHORT },
        Case { name: "stop", end: End::Stop, run_for_ms: SHORT },
        Case { name: "kill while running", end: End::Kill, run_for_ms: &[400, 400, 400] },
        Case { name: "stop while running", end: End::Stop, run_for_ms: &[400, 400, 400] },
        Case { name: "overlap", end: End::Overlap, run_for_ms: &[400, 60, 400] },
    ];
    for case in &cases {
        println!("{}", case.name);
        let system = System::new("restarts");
        let mut programs: Vec<Program> = (0..2 * SIZE).map(|i| system.start(i)).collect();
        system.wait_until_ready();
        programs = thread::scope(|scope| {
            let restarts = programs.into_iter().enumerate().map(|(i, program)| {
                let system = &system;
                scope.spawn(move || system.restart(i, program, case))
            });
            let restarts: Vec<_> = restarts.collect();
            restarts.into_iter().map(|r| r.join().expect("no process has ended")).collect()
        });
        system.wait_until_ready();
        drop(programs);
    }
}

/// A process is killed while it creates its data folder. If it leaves a folder that the next start
/// rejects, the instance never comes back.
#[test]
fn a_kill_at_the_first_start_leaves_a_usable_folder() {
    let system = System::new("first-start");
    thread::scope(|scope| {
        for i in 0..SIZE {
            let system = &system;
            scope.spawn(move || {
                for run_for in 0..40 {
                    let mut program = system.start(i);
                    thread::sleep(Duration::from_millis(run_for));
                    program.kill();
                    let mut again = system.start(i);
                    system.wait_until_started(i, &mut again);
                    again.kill();
                    fs::remove_dir_all(system.folder.file(&format!("data-{i}")))
                        .expect("the folder has been created");
                }
            });
        }
    });
}

/// What a start finds in its data folder. One that it can't use must end it with a reason, without a
/// panic; what an interrupted creation leaves must not.
#[test]
fn a_start_says_why_it_cannot_use_its_folder() {
    struct Case {
        name: &'static str,
        files: &'static [(&'static str, &'static str)],
        reason: Option<&'static str>,
    }
    let cases = [
        Case { name: "none", files: &[], reason: None },
        Case { name: "no format", files: &[("log-0", "")], reason: None },
        Case {
            name: "unfinished format",
            files: &[("log-0", ""), ("format.unfinished", "sill-")],
            reason: None,
        },
        Case {
            name: "torn record",
            files: &[("log-0", "torn"), ("format", "sill-store 1\n")],
            reason: None,
        },
        Case {
            name: "unfinished snapshot",
            files: &[
                ("log-0", ""),
                ("log-1", ""),
                ("snapshot.unfinished", "{"),
                ("format", "sill-store 1\n"),
            ],
            reason: None,
        },
        Case {
            name: "other format",
            files: &[("log-0", ""), ("format", "sill-store 9\n")],
            reason: Some("format"),
        },
        Case { name: "a file", files: &[("", "")], reason: Some("File exists") },
    ];
    for Case { name, files, reason } in cases {
        let system = System::new("folder");
        let data = system.folder.0.join("data-0");
        for (file, text) in files {
            let path = if file.is_empty() { data.clone() } else { data.join(file) };
            fs::create_dir_all(path.parent().expect("it is in the folder")).expect("a folder");
            fs::write(path, text).expect("the file can be written");
        }
        let mut program = system.start(0);
        system.wait_until_started(0, &mut program);
        let Some(reason) = reason else {
            assert!(program.try_wait().is_none(), "{name}: it ended");
            continue;
        };
        program.allow_end();
        assert_eq!(program.wait().code(), Some(1), "{name}");
        let log = fs::read_to_string(system.folder.file("c0.log")).expect("the log can be read");
        assert!(log.contains(reason), "{name}: {log}");
    }
}
