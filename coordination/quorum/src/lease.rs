//! How long a leader may rely on being the only one.

use sill_base::Millis;

use crate::members::Members;
use crate::replica::{Replica, Role, RoleName};
use crate::weakening::Weakening;

/// A leader that no quorum has answered for this many election times steps down.
const SILENT_ELECTIONS: u64 = 2;

impl Replica {
    /// Returns whether it leads and no other replica can lead before [`Replica::lease_until`].
    pub fn holds_lease(&self, now: Millis) -> bool {
        self.lease_until(now).is_some_and(|until| now < until)
    }

    /// Returns until when this leader is the only one; nothing if it doesn't lead.
    pub fn lease_until(&self, now: Millis) -> Option<Millis> {
        let span = match self.weak(Weakening::LeaseWithoutEnd) {
            true => self.cfg.lease * 10,
            false => self.cfg.lease,
        };
        Some(self.quorum_answered(now)? + span)
    }

    /// Returns whether the state after all applied entries is the newest there is.
    ///
    /// It takes a lease, and an own entry that is committed: a new leader doesn't know yet which
    /// of the entries before it were committed, and answered, by the one before.
    pub fn can_read(&self, now: Millis) -> bool {
        let knows = self.has_committed_own_term() || self.weak(Weakening::ReadBeforeOwnTerm);
        knows && self.holds_lease(now)
    }

    pub(crate) fn has_committed_own_term(&self) -> bool {
        self.role() == RoleName::Leader && self.log.term_at(self.commit) == Some(self.hard.term)
    }

    /// Returns the latest time by which a quorum had followed it, on its own clock.
    fn quorum_answered(&self, now: Millis) -> Option<Millis> {
        self.quorum_of_answered(now, self.log.members())
    }

    /// Returns whether a quorum of these members answers now. A change to members without one
    /// could never be committed, and no other change could be made after it.
    pub(crate) fn has_quorum_of(&self, now: Millis, members: &Members) -> bool {
        let answered = self.quorum_of_answered(now, members);
        answered.is_some_and(|answered| now < answered + self.cfg.lease)
    }

    fn quorum_of_answered(&self, now: Millis, members: &Members) -> Option<Millis> {
        let Role::Leader(leading) = &self.role else { return None };
        let answered = members.voters.iter().map(|id| match leading.progress.get(id) {
            _ if *id == self.id => Some(now),
            Some(progress) => progress.answered,
            None => None,
        });
        let mut answered: Vec<Option<Millis>> = answered.collect();
        answered.sort_unstable();
        answered.reverse();
        answered.get(members.quorum() - 1).copied().flatten()
    }

    pub(crate) fn check_quorum(&mut self, now: Millis) {
        let Role::Leader(leading) = &self.role else { return };
        let heard = self.quorum_answered(now).unwrap_or_default().max(leading.since);
        if now > heard + self.cfg.election * SILENT_ELECTIONS {
            self.become_follower(now, self.hard.term);
        }
    }
}
