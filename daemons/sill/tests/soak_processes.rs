//! Processes of soak runs: each run must end those that it has started, and find those that end by
//! themselves or panic.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

use sill_soak::run::{SIZES, SoakCfg, run_once};

/// Runs a soak and returns the number of processes of it that are left.
fn processes_left(name: &str, cfg: SoakCfg) -> usize {
    let logs = std::env::temp_dir().join(format!("sill-{name}-{}", std::process::id()));
    let cfg = SoakCfg { logs: logs.clone(), ..cfg };
    let ended = catch_unwind(AssertUnwindSafe(|| run_once(&cfg).is_ok_and(|v| v.answered > 0)));
    println!("{name}: {ended:?}");
    let left = count_processes(&logs);
    let _ = fs::remove_dir_all(&logs);
    left
}

/// Returns the number of processes with a path below a folder among their arguments.
fn count_processes(folder: &Path) -> usize {
    let folder = folder.display().to_string();
    let processes = fs::read_dir("/proc").expect("processes can be listed");
    let has_folder = |path: PathBuf| {
        fs::read(path.join("cmdline"))
            .is_ok_and(|cmd| String::from_utf8_lossy(&cmd).contains(&folder))
    };
    processes.flatten().filter(|process| has_folder(process.path())).count()
}

/// Processes of a run stay behind, and each later run shares the machine with them.
#[test]
fn no_process_is_left_after_a_run() {
    let cfg = SoakCfg {
        sill: PathBuf::from(env!("CARGO_BIN_EXE_sill")),
        seed: 912_020,
        seconds: 2,
        entries: SIZES.entries,
        crashes: true,
        cuts: true,
        rollouts: false,
        planned: false,
        logs: PathBuf::new(),
    };
    assert_eq!(processes_left("whole", cfg.clone()), 0);
    // There is no entry instance to draw.
    assert_eq!(processes_left("panic", SoakCfg { entries: 0, ..cfg }), 0);
}

/// A control instance ends by itself and a task of an entry instance panics, while the others keep
/// every promise to callers. Both must be findings.
#[test]
fn a_panic_and_an_own_end_are_findings() {
    let logs = std::env::temp_dir().join(format!("sill-own-ends-{}", std::process::id()));
    fs::create_dir_all(&logs).expect("the folder can be created");
    let script = format!(
        "#!/bin/sh\ncase \"$*\" in\n*'--name c2 '*) (sleep 3; kill -ABRT $$) &;;\n*'--name g0 '*) echo level=ERROR \
         event=panic thread=t;;\nesac\nexec {} \"$@\"\n",
        env!("CARGO_BIN_EXE_sill")
    );
    let sill = logs.join("sill");
    fs::write(&sill, script).expect("the script can be written");
    fs::set_permissions(&sill, fs::Permissions::from_mode(0o755)).expect("it can be run");
    let cfg = SoakCfg {
        sill,
        seed: 912_020,
        seconds: 2,
        entries: SIZES.entries,
        crashes: false,
        cuts: false,
        rollouts: false,
        planned: false,
        logs: logs.clone(),
    };
    let verdict = run_once(&cfg).expect("the others serve");
    for finding in ["process: c2 exited unexpectedly with signal: 6", "panic: g0.log: "] {
        assert!(verdict.findings.iter().any(|found| found.starts_with(finding)), "{verdict}");
    }
    let _ = fs::remove_dir_all(&logs);
}
