//! Runs of the membership core under faults, and the faults in the core that they would notice.

mod sim;

use std::panic::{AssertUnwindSafe, catch_unwind};

use sill_base::Millis;
use sill_base::random::{cases, seed};
use sill_member::Weakening;
use sim::{Faults, Sim};

const FAULTY: Millis = Millis(90_000);
const CALM: Millis = Millis(60_000);

/// Cuts between domains only; the two seconds hold.
const OUTER: Faults = Faults { rate: 0.3, loss: 0.02, inner_cuts: false };

/// Cuts everywhere; the lease holds.
const EVERYWHERE: Faults = Faults { rate: 0.4, loss: 0.05, inner_cuts: true };

fn run(seed: u64, faults: Faults, weakening: Weakening) -> Result<(), String> {
    let (entries, domains) = (4 + (seed % 27) as usize, 1 + (seed % 4) as usize);
    let endpoints = 6 + (seed % 30) as usize;
    let mut sim = Sim::new(seed, entries, endpoints, domains, faults).weakened(weakening);
    let run = || sim.run(FAULTY, CALM).and_then(|()| sim.check_converged());
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|panic| {
        Err(panic.downcast_ref::<String>().cloned().unwrap_or_else(|| "panicked".to_owned()))
    })
}

/// Entry instances are killed, restarted and frozen, endpoints leave, die and return while their
/// former process still talks, messages are lost, doubled and late, clocks differ. A user would
/// notice a request that is sent to an endpoint about to die, or an endpoint that nobody uses.
#[test]
fn leaving_endpoints_get_nothing_and_all_is_found_again() {
    let first = seed(1);
    for seed in first..first + u64::from(cases(6)) {
        for faults in [OUTER, EVERYWHERE] {
            if let Err(broken) = run(seed, faults, Weakening::None) {
                panic!("seed {seed}, {faults:?}: {broken}");
            }
        }
    }
}

/// Two facts had the same short hash in a digest, and the load of one was taken for the other's, with
/// its sequence number. A user would notice an endpoint that is up and gets no requests for a while.
#[test]
fn a_load_is_never_taken_for_that_of_another_endpoint() {
    assert_eq!(run(29, OUTER, Weakening::None), Ok(()));
}

struct Weak {
    weakening: Weakening,
    /// What the checker or the program says.
    noticed: &'static str,
}

/// Each deliberate fault of one line must be noticed by the run above, or the run proves nothing.
#[test]
fn each_weakening_is_noticed() {
    let table = [
        Weak { weakening: Weakening::LeavingNotSticky, noticed: "leaving" },
        Weak { weakening: Weakening::LeavingNotPushed, noticed: "after it said it is leaving" },
        Weak { weakening: Weakening::OldIncarnationTaken, noticed: "old life" },
        Weak { weakening: Weakening::StaleTrusted, noticed: "after it said it is leaving" },
    ];
    for Weak { weakening, noticed } in table {
        let found = (1..=40).find_map(|seed| run(seed, OUTER, weakening).err());
        let found = found.unwrap_or_else(|| panic!("{weakening:?} was not noticed"));
        assert!(found.contains(noticed), "{weakening:?}: {found}");
    }
}
