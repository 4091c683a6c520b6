//! Which voter is replaced by a replica that stands by.

use sill_base::Millis;

use crate::members::ReplicaId;

/// A voter that was not heard of for this long is replaced. A platform that replaces an instance
/// counts the new one as a full member after a few seconds, four on the smallest deployments, and may
/// lose the next voter then. What is merely restarted is back sooner.
pub const LOST: Millis = Millis(2000);

/// One that stands by must have been heard of within this time to take a voter's place.
pub const PRESENT: Millis = Millis(1000);

/// When a replica was last heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Presence {
    /// The replica.
    pub id: ReplicaId,
    /// When.
    pub at: Millis,
}

/// A voter that goes, and the replica that takes its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replacement {
    /// The voter.
    pub lost: ReplicaId,
    /// The replica that stands by.
    pub by: ReplicaId,
}

/// Returns the replacement that is due, as the leader sees it.
///
/// `ready` are the learners that have everything. Without one of them nobody is taken out: the voters
/// left would all be needed for every entry, and one more loss would end the log for good.
pub fn replacement(
    now: Millis,
    own: &ReplicaId,
    voters: &[ReplicaId],
    presences: &[Presence],
    ready: &[ReplicaId],
) -> Option<Replacement> {
    let heard_within = |id: &ReplicaId, span: Millis| {
        presences.iter().any(|presence| presence.id == *id && now - presence.at <= span)
    };
    let lost = voters.iter().find(|id| *id != own && !heard_within(id, LOST))?;
    let by = ready.iter().find(|id| heard_within(id, PRESENT))?;
    Some(Replacement { lost: lost.clone(), by: by.clone() })
}
