//! Processes of a run that end by themselves.

use std::fs;
use std::thread;
use std::time::Duration;

use sill_soak::process::Process;

/// A process breaks a promise just before a fault restarts, kills or stops it. That fault must not
/// hide its end.
#[test]
fn an_end_of_its_own_is_found_whatever_follows() {
    type Step = fn(&mut Process);
    let steps: [(&str, Step); 4] = [
        ("nothing", |_| {}),
        ("start", |process| process.start().expect("it starts")),
        ("kill", Process::kill),
        ("stop", |process| _ = process.ask_to_stop()),
    ];
    let folder = std::env::temp_dir().join(format!("sill-soak-process-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder can be created");
    for (name, step) in steps {
        let args = ["-c", "exit 3"].map(str::to_owned).to_vec();
        let mut process = Process::new(name.to_owned(), "/bin/sh".into(), args, &folder);
        process.start().expect("it starts");
        let id = process.id().expect("it has been started");
        while process.is_running(id) {
            thread::sleep(Duration::from_millis(2));
        }
        step(&mut process);
        let found = process.take_own_ends();
        assert!(found.iter().any(|end| end.ends_with("exit status: 3")), "{name}: {found:?}");
    }
    let _ = fs::remove_dir_all(&folder);
}
