//! Which standby replaces a lost voter, and which becomes a voter next.

use sill_base::{Millis, Name};

use crate::members::ReplicaId;

/// A voter that has not been seen for this long is replaced. A platform that replaces an instance
/// counts the new one as a full member after a few seconds, four on the smallest deployments, and
/// may take down the next voter then. An instance that only restarts is back sooner.
pub const VOTER_LOSS_TIMEOUT: Millis = Millis(2000);

/// A standby must have been seen within this time to replace a voter.
pub const STANDBY_PRESENCE_TIMEOUT: Millis = Millis(1000);

/// When a replica was last seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Presence {
    /// The replica that was seen, by instance and incarnation of its disk.
    pub id: ReplicaId,
    /// The failure domain of its instance.
    pub domain: Name,
    /// When it was last heard from, by the clock of the instance that decides.
    pub last_seen: Millis,
}

/// A lost voter and the standby that takes its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replacement {
    /// The voter to remove.
    pub voter: ReplicaId,
    /// The learner to promote.
    pub standby: ReplicaId,
}

/// Returns the replacement that is due, as the leader sees it.
///
/// `ready` are the learners that have caught up. Without one of them no voter is removed: all
/// remaining voters would be needed for every entry, and one more loss would end the log for good.
pub fn replacement(
    now: Millis,
    own: &ReplicaId,
    voters: &[ReplicaId],
    presences: &[Presence],
    ready: &[ReplicaId],
) -> Option<Replacement> {
    let is_present = |id: &ReplicaId, timeout: Millis| {
        presences.iter().any(|presence| presence.id == *id && now - presence.last_seen <= timeout)
    };
    let voter = voters.iter().find(|id| *id != own && !is_present(id, VOTER_LOSS_TIMEOUT))?;
    let voter_domains: Vec<Name> =
        voters.iter().filter(|id| *id != voter).filter_map(|id| domain_of(presences, id)).collect();
    let present = ready.iter().filter(|id| is_present(id, STANDBY_PRESENCE_TIMEOUT));
    let standby =
        present.min_by_key(|id| domain_of(presences, id).map(|d| count(&voter_domains, &d)))?;
    Some(Replacement { voter: voter.clone(), standby: standby.clone() })
}

/// Returns whether a replica may become a voter now, or another standby comes before it.
///
/// A failure domain is lost as a whole. Several voters in one domain, while other domains have
/// none, would all be lost with it, and the quorum with them.
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
    // Only learners that have caught up count: one that never does, for example because its disk is
    // full, must not block the others.
    let ready_domains = ready.iter().filter_map(|id| domain_of(presences, id));
    let fewest = ready_domains.map(|domain| count(&domains, &domain)).min();
    fewest.is_none_or(|fewest| count(&domains, &domain) <= fewest)
}

fn domain_of(presences: &[Presence], id: &ReplicaId) -> Option<Name> {
    let presence = presences.iter().find(|presence| presence.id.name == id.name);
    presence.map(|presence| presence.domain.clone())
}

fn count(domains: &[Name], domain: &Name) -> usize {
    domains.iter().filter(|other| *other == domain).count()
}
