//! Signals to a program that is busy.

use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use sill_setup::signal::StopSignals;
use tokio::runtime::Builder;

/// A program is asked to stop while its own thread is busy, as one with a small part of a core mostly is.
/// Whoever asked counts from the signal; a program that counts from when it came to it thinks that it has
/// more time than it has, and is killed with calls in flight.
#[test]
fn it_is_known_how_long_ago_a_signal_came() {
    let mut stops = StopSignals::listen().expect("the handlers are set");
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let sent = Instant::now();
        let pid = std::process::id().to_string();
        let kill = Command::new("kill").args(["-TERM", &pid]).status().expect("kill can be run");
        assert!(kill.success());
        let gone = Instant::now();
        thread::sleep(Duration::from_millis(400));
        let (least, late) = (gone.elapsed(), Duration::from(stops.next().await));
        // The other thread needs a moment of its own, also beside other programs.
        let slack = Duration::from_millis(200);
        assert!(late + slack >= least, "{late:?} of {least:?} and more");
        assert!(late <= sent.elapsed(), "{late:?} of {:?}", sent.elapsed());
    });
}
