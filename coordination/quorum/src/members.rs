//! Who takes part in a replicated log.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name, Promise, keep};

use crate::log::Payload;
use crate::replica::{Replica, Role};
use crate::weakening::Weakening;

/// One life of a replica's disk. A replica that lost its disk is another one.
///
/// Votes and acknowledgements count for this id only. A replica that comes back empty under its
/// old name would otherwise help to elect a leader that lacks what it acknowledged and forgot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The instance.
    pub name: Name,
    /// Grows with each disk of the instance.
    pub incarnation: u64,
}

/// The replicas of a log.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Those whose copies count.
    pub voters: BTreeSet<ReplicaId>,
    /// Those that only get copies.
    pub learners: BTreeSet<ReplicaId>,
}

/// A change by one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Sends copies to a replica.
    AddLearner(ReplicaId),
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Takes a voter or learner out.
    Remove(ReplicaId),
}

impl Members {
    /// Makes members of voters only.
    pub fn from_voters<I>(voters: I) -> Self
    where
        I: IntoIterator<Item = ReplicaId>,
    {
        Self { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Returns how many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether a replica takes part.
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }

    /// Iterates over all replicas.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    fn with(&self, change: &MemberChange) -> Self {
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
    /// Takes in that a replica wants to take part, and does the next step towards it.
    ///
    /// A voter that lost its disk goes through learner, removal of its older life, and promotion;
    /// each step is a change of at most one voter and waits for the one before.
    pub(crate) fn join(&mut self, now: Millis, id: &ReplicaId, as_voter: bool) {
        if let Some(change) = self.next_change_for(id, as_voter) {
            self.change_members(now, &change);
        }
    }

    fn next_change_for(&self, id: &ReplicaId, as_voter: bool) -> Option<MemberChange> {
        let members = self.log.members();
        let is_other_life = |other: &&ReplicaId| other.name == id.name && *other != id;
        let other_lives: Vec<&ReplicaId> = members.iter().filter(is_other_life).collect();
        if other_lives.iter().any(|other| other.incarnation > id.incarnation) {
            return None;
        }
        let old_learner = other_lives.iter().find(|other| members.learners.contains(**other));
        if let Some(older) = old_learner {
            return Some(MemberChange::Remove((*older).clone()));
        }
        if !members.contains(id) {
            return Some(MemberChange::AddLearner(id.clone()));
        }
        if !as_voter || members.voters.contains(id) || !self.is_caught_up(id) {
            return None;
        }
        match other_lives.first() {
            Some(older) => Some(MemberChange::Remove((*older).clone())),
            None => Some(MemberChange::Promote(id.clone())),
        }
    }

    /// Returns whether it may try to lead: as a voter, or as one whose removal is still open.
    ///
    /// Only the removed voter may have the entry that removes it. If it stood back, the others
    /// would need its vote, and it could not give it to those with the shorter log.
    pub(crate) fn may_lead(&self) -> bool {
        let open = self.log.members_index() > self.commit;
        let before = self.log.members_at(self.log.members_index().saturating_sub(1));
        self.log.members().voters.contains(&self.id) || open && before.voters.contains(&self.id)
    }

    /// Returns the learners that have everything, as far as this replica knows as the leader.
    pub fn caught_up_learners(&self) -> Vec<ReplicaId> {
        let learners = self.log.members().learners.iter();
        learners.filter(|id| self.is_caught_up(id)).cloned().collect()
    }

    fn is_caught_up(&self, id: &ReplicaId) -> bool {
        let Role::Leader(leading) = &self.role else { return false };
        leading.progress.get(id).is_some_and(|progress| progress.matched >= self.commit)
    }

    /// Begins a change, if this replica leads and no other change is open.
    pub(crate) fn change_members(&mut self, now: Millis, change: &MemberChange) {
        if !self.has_committed_own_term() {
            return;
        }
        // Quorums before and after two changes at once need not share a replica, so two leaders
        // could be elected in one term.
        if self.log.members_index() > self.commit && !self.weak(Weakening::TwoChangesAtOnce) {
            return;
        }
        let before = self.log.members();
        let after = before.with(change);
        if after == *before || !self.has_quorum_of(now, &after) {
            return;
        }
        let changed = before.voters.symmetric_difference(&after.voters).count();
        keep!(Promise::OneOrderer, changed <= 1, "a change of {changed} voters at once");
        self.append_own(vec![Payload::Members(after)]);
        self.follow_members();
        self.broadcast(now);
        self.advance_commit();
    }
}
