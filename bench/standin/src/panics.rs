//! Panics of daemons that run inside a test. They end only a task, and the test would pass.

use std::panic::{self, PanicHookInfo};
use std::sync::Once;
use std::thread;

use parking_lot::Mutex;

/// Panics outside the code of tests since the start of this process.
static PANICS: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Fails the test on drop if a daemon in this process has panicked since its start.
#[derive(Debug)]
pub struct PanicCheck(());

impl PanicCheck {
    /// Records panics from now on.
    pub fn start() -> Self {
        static HOOK: Once = Once::new();
        HOOK.call_once(|| {
            let report = panic::take_hook();
            panic::set_hook(Box::new(move |info| {
                record(info);
                report(info);
            }));
        });
        Self(())
    }
}

impl Drop for PanicCheck {
    fn drop(&mut self) {
        let panics = PANICS.lock().clone();
        if !panics.is_empty() && !thread::panicking() {
            panic!("a daemon in this process panicked:\n{}", panics.join("\n"));
        }
    }
}

/// Records a panic, unless it is a failed assertion of a test.
fn record(info: &PanicHookInfo<'_>) {
    let file = info.location().map(|location| location.file()).unwrap_or_default();
    if !file.contains("tests/") && !file.starts_with("bench/") {
        PANICS.lock().push(info.to_string());
    }
}
