//! Terms, votes and elections.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use sill_base::{Millis, Promise, assert_promise};

use crate::log::Payload;
use crate::members::ReplicaId;
use crate::message::{Body, Message};
use crate::replica::{HardState, LeaderState, Replica, Role};
use crate::restart::RunId;
use crate::weakening::Weakening;

impl Replica {
    pub(crate) fn reset_election_deadline(&mut self, now: Millis) {
        let jitter = self.rng.random_range(0..=self.cfg.election_jitter.0);
        self.election_deadline = now + self.cfg.election_timeout + Millis(jitter);
    }

    pub(crate) fn become_follower(&mut self, now: Millis, term: u64) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.pending_write.has_hard_state = true;
        }
        self.role = Role::Follower;
        self.leader = None;
        self.reset_election_deadline(now);
    }

    /// Asks whether it could win an election. Without this a replica that was cut off would return
    /// with a higher term and depose a leader that all others follow.
    pub(crate) fn start_pre_vote(&mut self, now: Millis) {
        self.reset_election_deadline(now);
        self.leader = None;
        self.role = Role::PreCandidate { votes: BTreeSet::from([self.id.clone()]) };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let term = self.hard_state.term + 1;
        for to in self.other_voters() {
            let from = self.id.clone();
            let body = Body::PreVote { last_index, last_term };
            self.outbox.push(Message { from, to, term, body });
        }
        self.count_votes(now);
    }

    /// Requests votes in a new term. `runs` are those of all replicas if all were restarted, else
    /// empty.
    pub(crate) fn start_election(&mut self, now: Millis, runs: Vec<RunId>) {
        self.reset_election_deadline(now);
        self.restart_poll = None;
        self.hard_state = HardState { term: self.hard_state.term + 1, vote: Some(self.id.clone()) };
        self.pending_write.has_hard_state = true;
        self.role = Role::Candidate { votes: BTreeSet::from([self.id.clone()]) };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_voters() {
            self.send(to, Body::Vote { last_index, last_term, runs: runs.clone() });
        }
        self.count_votes(now);
    }

    fn become_leader(&mut self, now: Millis) {
        self.leader = Some(self.id.clone());
        self.role = Role::Leader(LeaderState {
            elected_at: now,
            next_heartbeat: now,
            progress: BTreeMap::new(),
        });
        self.update_progress_members();
        self.append_payloads(vec![Payload::Noop]);
        self.broadcast(now);
        self.advance_commit();
    }

    fn count_votes(&mut self, now: Millis) {
        let members = self.log.members();
        let has_quorum = |votes: &BTreeSet<ReplicaId>| {
            votes.intersection(&members.voters).count() >= members.quorum()
        };
        match &self.role {
            Role::PreCandidate { votes } if has_quorum(votes) => {
                self.start_election(now, Vec::new())
            }
            Role::Candidate { votes } if has_quorum(votes) => self.become_leader(now),
            _ => {}
        }
    }

    pub(crate) fn on_pre_vote(&mut self, now: Millis, msg: &Message) {
        let Body::PreVote { last_index, last_term } = msg.body else { return };
        let granted = msg.term > self.hard_state.term
            && !self.has_active_leader(now)
            && self.is_up_to_date(last_index, last_term);
        let term = if granted { msg.term } else { self.hard_state.term };
        self.reply(msg, term, Body::PreVoteReply { granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, now: Millis, msg: &Message, is_granted: bool) {
        if !is_granted {
            if msg.term > self.hard_state.term {
                self.become_follower(now, msg.term);
            }
            return;
        }
        if let Role::PreCandidate { votes } = &mut self.role
            && msg.term == self.hard_state.term + 1
        {
            votes.insert(msg.from.clone());
            self.count_votes(now);
        }
    }

    pub(crate) fn on_vote(&mut self, now: Millis, msg: &Message) {
        let Body::Vote { last_index, last_term, ref runs } = msg.body else { return };
        // A leader's lease relies on a quorum that grants no votes for the election timeout. A vote
        // within that time would let a second leader commit while the first still serves reads.
        if self.has_active_leader(now) && !self.is_fresh_in(runs) {
            return;
        }
        if msg.term > self.hard_state.term {
            self.become_follower(now, msg.term);
        }
        let may_vote = match &self.hard_state.vote {
            None => true,
            Some(vote) => *vote == msg.from || self.is_weakened(Weakening::VoteTwice),
        };
        let granted = msg.term == self.hard_state.term
            && may_vote
            && self.is_up_to_date(last_index, last_term);
        if granted {
            self.record_vote(&msg.from);
            self.restart_poll = None;
            self.reset_election_deadline(now);
        }
        let term = self.hard_state.term;
        self.reply(msg, term, Body::VoteReply { granted });
    }

    fn record_vote(&mut self, candidate: &ReplicaId) {
        assert_promise!(
            Promise::OneOrderer,
            self.hard_state.vote.as_ref().is_none_or(|vote| vote == candidate),
            "second vote in term {}",
            self.hard_state.term
        );
        self.hard_state.vote = Some(candidate.clone());
        self.pending_write.has_hard_state = true;
    }

    pub(crate) fn on_vote_reply(&mut self, now: Millis, msg: &Message, is_granted: bool) {
        if msg.term > self.hard_state.term {
            self.become_follower(now, msg.term);
            return;
        }
        if let Role::Candidate { votes } = &mut self.role
            && msg.term == self.hard_state.term
            && is_granted
        {
            votes.insert(msg.from.clone());
            self.count_votes(now);
        }
    }

    /// Returns whether it has promised a leader to grant no votes, or has a lease itself.
    fn has_active_leader(&self, now: Millis) -> bool {
        if self.is_weakened(Weakening::VoteInsideLease) {
            return false;
        }
        now < self.no_vote_until || self.has_lease(now)
    }

    fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (last_term, last_index) >= own || self.is_weakened(Weakening::VoteForShorterLog)
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        self.log.members().voters.iter().filter(|id| **id != self.id).cloned().collect()
    }
}
