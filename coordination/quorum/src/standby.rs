//! Which voter is replaced by a replica that stands by.

use sill_base::{Millis, Name};

use crate::members::ReplicaId;

/// A voter that was not heard of for this long is replaced. A platform that replaces an instance
/// counts the new one as a full member after a few seconds, four on the smallest deployments, and may
/// lose the next voter then. What is merely restarted is back sooner.
pub const VOTER_LOSS_TIMEOUT: Millis = Millis(2000);

/// One that stands by must have been heard of within this time to take a voter's place.
pub const PRESENT: Millis = Millis(1000);

/// When a replica was last heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Presence {
    /// The replica.
    pub id: ReplicaId,
    /// Its failure domain.
    pub domain: Name,
    /// When.
    pub last_seen: Millis,
}

/// A voter that goes, and the replica that takes its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replacement {
    /// The voter.
    pub voter: ReplicaId,
    /// The replica that stands by.
    pub standby: ReplicaId,
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
        presences.iter().any(|presence| presence.id == *id && now - presence.last_seen <= span)
    };
    let lost = voters.iter().find(|id| *id != own && !heard_within(id, VOTER_LOSS_TIMEOUT))?;
    let stays: Vec<Name> =
        voters.iter().filter(|id| *id != lost).filter_map(|id| domain_of(presences, id)).collect();
    let present = ready.iter().filter(|id| heard_within(id, PRESENT));
    let by = present.min_by_key(|id| domain_of(presences, id).map(|d| count(&stays, &d)))?;
    Some(Replacement { voter: lost.clone(), standby: by.clone() })
}

/// Returns whether a replica may become a voter, or another that stands by is to go first.
///
/// A failure domain is lost as a whole. Voters that stand together in one, while others have none, would
/// all be lost with it, and with them the quorum.
pub fn may_become_voter(
    id: &ReplicaId,
    own_domain: &Name,
    voters: &[ReplicaId],
    presences: &[Presence],
    ready: &[ReplicaId],
) -> bool {
    let others = voters.iter().filter(|voter| voter.name != id.name);
    let domains = others.map(|voter| domain_of(presences, voter));
    let domains: Vec<Name> = domains.map(|domain| domain.unwrap_or(own_domain.clone())).collect();
    let Some(domain) = domain_of(presences, id) else { return true };
    // One that never gets everything, as on a full disk, must not hold up the others.
    let stands_by = ready.iter().filter_map(|id| domain_of(presences, id));
    let fewest = stands_by.map(|domain| count(&domains, &domain)).min();
    fewest.is_none_or(|fewest| count(&domains, &domain) <= fewest)
}

fn domain_of(presences: &[Presence], id: &ReplicaId) -> Option<Name> {
    let presence = presences.iter().find(|presence| presence.id.name == id.name);
    presence.map(|presence| presence.domain.clone())
}

fn count(domains: &[Name], domain: &Name) -> usize {
    domains.iter().filter(|other| *other == domain).count()
}
