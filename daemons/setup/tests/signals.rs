//! Stop signals to a program whose threads are busy.

use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use sill_setup::signal::StopSignals;
use tokio::runtime::Builder;

/// A program receives a stop signal while its own thread is busy, as is common with a small share
/// of a core. The sender counts from the signal. A program that counts from when it handles the
/// signal overestimates its remaining time and is killed with calls in flight.
#[test]
fn the_age_of_a_stop_signal_includes_the_time_the_program_was_busy() {
    let mut stop_signals = StopSignals::listen().expect("the signal handlers can be set");
    let runtime =
        Builder::new_current_thread().enable_all().build().expect("the runtime can be built");
    runtime.block_on(async {
        let before_kill = Instant::now();
        let pid = std::process::id().to_string();
        let kill = Command::new("kill").args(["-TERM", &pid]).status().expect("kill runs");
        assert!(kill.success(), "kill -TERM failed: {kill}");
        let after_kill = Instant::now();
        thread::sleep(Duration::from_millis(400));
        let (min_age, age) = (after_kill.elapsed(), Duration::from(stop_signals.next().await));
        // The signal thread may be scheduled late on a loaded machine.
        let slack = Duration::from_millis(200);
        assert!(age + slack >= min_age, "signal age {age:?}, expected at least {min_age:?}");
        assert!(
            age <= before_kill.elapsed(),
            "signal age {age:?}, sent {:?} ago",
            before_kill.elapsed()
        );
    });
}
