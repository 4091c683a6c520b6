//! Leader lease: the time for which a leader may rely on being the only one.

use sill_base::Millis;

use crate::members::Members;
use crate::replica::{Replica, Role, RoleName};
use crate::weakening::Weakening;

/// A leader that no quorum has acknowledged for this many election timeouts steps down.
const STEP_DOWN_ELECTION_TIMEOUTS: u64 = 2;

impl Replica {
    /// Returns whether it leads and no other replica can lead before [`Replica::lease_until`].
    pub fn has_lease(&self, now: Millis) -> bool {
        self.lease_until(now).is_some_and(|until| now < until)
    }

    /// Returns when this leader's lease ends, or nothing if it doesn't lead or no quorum has
    /// acknowledged it.
    pub fn lease_until(&self, now: Millis) -> Option<Millis> {
        let duration = match self.is_weakened(Weakening::LeaseWithoutEnd) {
            true => self.cfg.lease_duration * 10,
            false => self.cfg.lease_duration,
        };
        Some(self.quorum_ack_time(now)? + duration)
    }

    /// Returns whether the state after all applied entries is the newest committed state.
    ///
    /// This takes a lease and a committed entry of the leader's own term: a new leader doesn't know
    /// yet which of the earlier entries its predecessor committed and acknowledged.
    pub fn can_read(&self, now: Millis) -> bool {
        let is_current =
            self.has_committed_own_term() || self.is_weakened(Weakening::ReadBeforeOwnTerm);
        is_current && self.has_lease(now)
    }

    pub(crate) fn has_committed_own_term(&self) -> bool {
        self.role() == RoleName::Leader
            && self.log.term_at(self.commit_index) == Some(self.hard_state.term)
    }

    /// Returns the latest time, by this leader's clock, at which it had sent a message that each
    /// member of some quorum has acknowledged.
    fn quorum_ack_time(&self, now: Millis) -> Option<Millis> {
        self.quorum_ack_time_of(now, self.log.members())
    }

    /// Returns whether a quorum of these members has acknowledged this leader within the lease
    /// duration.
    ///
    /// Without one, a change to these members could never be committed, and no other change could
    /// follow it.
    pub(crate) fn has_active_quorum(&self, now: Millis, members: &Members) -> bool {
        let ack_time = self.quorum_ack_time_of(now, members);
        ack_time.is_some_and(|ack_time| now < ack_time + self.cfg.lease_duration)
    }

    fn quorum_ack_time_of(&self, now: Millis, members: &Members) -> Option<Millis> {
        let Role::Leader(leader) = &self.role else { return None };
        let ack_times = members.voters.iter().map(|id| match leader.progress.get(id) {
            _ if *id == self.id => Some(now),
            Some(progress) => progress.ack_time,
            None => None,
        });
        let mut ack_times: Vec<Option<Millis>> = ack_times.collect();
        ack_times.sort_unstable();
        ack_times.reverse();
        ack_times.get(members.quorum() - 1).copied().flatten()
    }

    pub(crate) fn step_down_without_quorum(&mut self, now: Millis) {
        let Role::Leader(leader) = &self.role else { return };
        let active = self.quorum_ack_time(now).unwrap_or_default().max(leader.elected_at);
        if now > active + self.cfg.election_timeout * STEP_DOWN_ELECTION_TIMEOUTS {
            self.become_follower(now, self.hard_state.term);
        }
    }
}
