//! Flags for roll-outs, which control and entry instances share.

use sill_base::Millis;
use sill_rollout::RolloutBounds;

use crate::{Flag, Values};

/// The flag that enables roll-outs.
pub const SHARE: Flag = Flag::one(
    "rollout-share",
    "N",
    "part of a service's requests that a new version may get; enables roll-outs",
);

/// The flag for requests beyond the share.
pub const SLACK: Flag = Flag::with_default(
    "rollout-slack",
    "N",
    "0",
    "requests that a new version may get beyond that part",
);

/// The flag for the time in which a bad version is withdrawn.
pub const ROLLBACK: Flag = Flag::with_default(
    "rollback-ms",
    "N",
    "5000",
    "time after its 50th bad answer from which on a bad version gets no requests",
);

/// Reads the bounds on roll-outs; without a share there are no roll-outs.
pub fn read(values: &mut Values) -> Option<RolloutBounds> {
    let share = values.optional(SHARE.name);
    let slack = values.required(SLACK.name);
    let rollback = values.required(ROLLBACK.name).map(Millis);
    let bounds = RolloutBounds { share: share?, slack: slack?, rollback: rollback? };
    if !bounds.is_valid() {
        values.add_finding(SHARE.name, "expected a number between 0 and 1");
    }
    Some(bounds)
}
