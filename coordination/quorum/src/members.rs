//! Members of a replicated log and changes to them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name, Promise, assert_promise};

use crate::log::Payload;
use crate::replica::{Replica, Role};
use crate::weakening::Weakening;

/// Identifies a replica with the incarnation of its disk; after the loss of its disk it has a new
/// id.
///
/// Votes and acknowledgements count for this id only. A replica that restarts with an empty disk
/// under its old name would otherwise help to elect a leader without the entries that it
/// acknowledged and lost.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The name of the instance.
    pub name: Name,
    /// Grows with each new disk of the instance.
    pub incarnation: u64,
}

/// The replicas of a log.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that vote and whose copies count towards a commit.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive entries but neither vote nor count towards a commit.
    pub learners: BTreeSet<ReplicaId>,
}

/// A change of the members by one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a replica that receives entries without a vote.
    AddLearner(ReplicaId),
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}

impl Members {
    /// Creates members from voters, without learners.
    pub fn from_voters<I>(voters: I) -> Self
    where
        I: IntoIterator<Item = ReplicaId>,
    {
        Self { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Returns the number of voters in a quorum, a majority of them.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether a replica is a voter or a learner.
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }

    /// Iterates over the voters, then the learners.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    fn with_change(&self, change: &MemberChange) -> Self {
        let mut members = self.clone();
        match change {
            MemberChange::AddLearner(id) => {
                members.learners.insert(id.clone());
            }
            MemberChange::Promote(id) => {
                members.learners.remove(id);
                members.voters.insert(id.clone());
            }
            MemberChange::Remove(id) => {
                members.learners.remove(id);
                members.voters.remove(id);
            }
        }
        members
    }
}

impl Replica {
    /// Handles the request of a replica to join by making the next change towards it, if one is
    /// due.
    ///
    /// A voter that lost its disk is added as a learner, its older incarnation is removed, and then
    /// it is promoted. Each step changes at most one voter and waits for the one before.
    pub(crate) fn join(&mut self, now: Millis, id: &ReplicaId, as_voter: bool) {
        if let Some(change) = self.next_change_for(id, as_voter) {
            self.change_members(now, &change);
        }
    }

    fn next_change_for(&self, id: &ReplicaId, as_voter: bool) -> Option<MemberChange> {
        let members = self.log.members();
        let is_other_incarnation = |other: &&ReplicaId| other.name == id.name && *other != id;
        let others: Vec<&ReplicaId> = members.iter().filter(is_other_incarnation).collect();
        if others.iter().any(|other| other.incarnation > id.incarnation) {
            return None;
        }
        let old_learner = others.iter().find(|other| members.learners.contains(**other));
        if let Some(older) = old_learner {
            return Some(MemberChange::Remove((*older).clone()));
        }
        if !members.contains(id) {
            return Some(MemberChange::AddLearner(id.clone()));
        }
        if !as_voter || members.voters.contains(id) || !self.is_caught_up(id) {
            return None;
        }
        match others.first() {
            Some(older) => Some(MemberChange::Remove((*older).clone())),
            None => Some(MemberChange::Promote(id.clone())),
        }
    }

    /// Returns whether it may start an election: as a voter, or as one whose removal is
    /// uncommitted.
    ///
    /// The removed voter may be the only one that stores the entry which removes it. If it started
    /// no election, the others would need its vote, and it could not grant it to their shorter
    /// logs.
    pub(crate) fn may_lead(&self) -> bool {
        let is_uncommitted = self.log.members_index() > self.commit_index;
        let before = self.log.members_at(self.log.members_index().saturating_sub(1));
        self.log.members().voters.contains(&self.id)
            || is_uncommitted && before.voters.contains(&self.id)
    }

    /// Returns the learners that store all committed entries; none if this replica is not the
    /// leader.
    pub fn caught_up_learners(&self) -> Vec<ReplicaId> {
        let learners = self.log.members().learners.iter();
        learners.filter(|id| self.is_caught_up(id)).cloned().collect()
    }

    fn is_caught_up(&self, id: &ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        leader.progress.get(id).is_some_and(|progress| progress.match_index >= self.commit_index)
    }

    /// Appends a change, if this replica leads, no other change is uncommitted, and a quorum of the
    /// new members is active.
    pub(crate) fn change_members(&mut self, now: Millis, change: &MemberChange) {
        if !self.has_committed_own_term() {
            return;
        }
        // A quorum from before two concurrent changes and one from after them need not share a
        // replica, so two leaders could be elected in one term.
        if self.log.members_index() > self.commit_index
            && !self.is_weakened(Weakening::TwoChangesAtOnce)
        {
            return;
        }
        let before = self.log.members();
        let after = before.with_change(change);
        if after == *before || !self.has_active_quorum(now, &after) {
            return;
        }
        let changed = before.voters.symmetric_difference(&after.voters).count();
        assert_promise!(Promise::OneOrderer, changed <= 1, "change of {changed} voters at once");
        self.append_payloads(vec![Payload::Members(after)]);
        self.update_progress_members();
        self.broadcast(now);
        self.advance_commit();
    }
}
