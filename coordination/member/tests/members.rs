//! Simulations of the membership core under random faults, and deliberate faults in the core that
//! they must detect.

mod sim;

use std::panic::{AssertUnwindSafe, catch_unwind};

use sill_base::Millis;
use sill_base::random::{cases, seed};
use sill_member::Weakening;
use sim::{Faults, Sim};

/// Time with faults in each run.
const FAULTY_TIME: Millis = Millis(90_000);

/// Time without faults at the end of each run, in which the members must converge.
const CALM_TIME: Millis = Millis(60_000);

/// Partitions only between domains. Leaving endpoints get no requests after two seconds.
const OUTER: Faults = Faults { rate: 0.3, loss: 0.02, has_inner_cuts: false };

/// Partitions everywhere. Leaving endpoints get no requests after their lease.
const EVERYWHERE: Faults = Faults { rate: 0.4, loss: 0.05, has_inner_cuts: true };

fn run(seed: u64, faults: Faults, weakening: Weakening) -> Result<(), String> {
    let (entries, domains) = (4 + (seed % 27) as usize, 1 + (seed % 4) as usize);
    let endpoints = 6 + (seed % 30) as usize;
    let mut sim = Sim::new(seed, entries, endpoints, domains, faults).with_weakening(weakening);
    let run = || sim.run(FAULTY_TIME, CALM_TIME).and_then(|()| sim.check_converged());
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|panic| {
        Err(panic.downcast_ref::<String>().cloned().unwrap_or_else(|| "panicked".to_owned()))
    })
}

/// Guards against requests to an endpoint that is about to stop, and against a live endpoint that
/// no entry instance uses. Entry instances are killed, restarted and frozen; endpoints leave, die
/// and restart while their old process still announces itself; messages are lost, duplicated and
/// delayed; clocks differ.
#[test]
fn leaving_endpoints_get_no_requests_and_members_converge() {
    let first = seed(1);
    for seed in first..first + u64::from(cases(6)) {
        for faults in [OUTER, EVERYWHERE] {
            if let Err(failure) = run(seed, faults, Weakening::None) {
                panic!("seed {seed}, {faults:?}: {failure}");
            }
        }
    }
}

/// Guards against a live endpoint that gets no requests for a while. Two facts have the same short
/// hash in a digest, and the load of one, with its sequence number, is applied to the other.
#[test]
fn a_load_is_not_applied_to_another_endpoint() {
    assert_eq!(run(29, OUTER, Weakening::None), Ok(()));
}

struct WeakeningCase {
    weakening: Weakening,
    /// Part of the message of the failing check, in the simulation or in the core.
    message: &'static str,
}

/// Guards against checks that can't fail: the runs above must detect each deliberate fault of one
/// line.
#[test]
fn each_weakening_is_detected() {
    let table = [
        WeakeningCase { weakening: Weakening::LeavingNotSticky, message: "leaving" },
        WeakeningCase {
            weakening: Weakening::LeavingNotPushed,
            message: "after it reported that it is leaving",
        },
        WeakeningCase { weakening: Weakening::OldIncarnationTaken, message: "old incarnation" },
        WeakeningCase {
            weakening: Weakening::StaleTrusted,
            message: "after it reported that it is leaving",
        },
    ];
    for WeakeningCase { weakening, message } in table {
        let failure = (1..=40).find_map(|seed| run(seed, OUTER, weakening).err());
        let failure = failure.unwrap_or_else(|| panic!("no seed of 1 to 40 detects {weakening:?}"));
        assert!(
            failure.contains(message),
            "{weakening:?} is detected by another check than the expected one: {failure}"
        );
    }
}
