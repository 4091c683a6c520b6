//! Roll-outs of software versions: which versions of a service requests may go to, how two versions
//! compare, and when an order moves on, completes or is reverted.

pub mod counts;
mod evidence;
pub mod gate;
pub mod in_force;
pub mod plan;
mod slices;
pub mod verdict;
mod weakening;

pub use counts::{AnswerEnd, AnswerSample, Counts, size_class};
pub use gate::{Admission, EndpointSubset, Gate, GateCounts, Need, ReadyVersion, probed};
pub use in_force::VersionWatch;
pub use plan::{
    EntryView, OrderState, Planner, PoolView, RolloutView, Step, initial_share, probed_endpoints,
};
pub use verdict::{Judgement, Verdict};
pub use weakening::Weakening;

use sill_base::Millis;

/// Bounds on what a bad version may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// The part of a service's requests that a version may get before the verdict, from 0 to 1.
    pub share: f64,
    /// Requests that it may get beyond that part.
    pub slack: f64,
    /// Time after its 50th bad answer from which on a bad version must not be sent requests.
    pub rollback: Millis,
}

impl RolloutBounds {
    /// Returns whether the bounds leave requests for both versions.
    pub fn is_valid(&self) -> bool {
        self.share > 0.0 && self.share < 1.0 && self.slack >= 0.0 && self.slack.is_finite()
    }
}
