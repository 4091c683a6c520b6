//! Terms, votes, and the way to lead.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;
use sill_base::{Millis, Promise, keep};

use crate::log::Payload;
use crate::members::ReplicaId;
use crate::message::{Body, Message};
use crate::replica::{HardState, Leading, Replica, Role};
use crate::restart::Run;
use crate::weakening::Weakening;

impl Replica {
    pub(crate) fn wait_for_leader(&mut self, now: Millis) {
        let spread = self.rng.random_range(0..=self.cfg.election_spread.0);
        self.election_due = now + self.cfg.election + Millis(spread);
    }

    pub(crate) fn become_follower(&mut self, now: Millis, term: u64) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.unsaved.hard = true;
        }
        self.role = Role::Follower;
        self.leader = None;
        self.wait_for_leader(now);
    }

    /// Asks whether it could win, so that a replica that was cut off doesn't come back with a
    /// higher term and put down a leader that all others are content with.
    pub(crate) fn start_pre_vote(&mut self, now: Millis) {
        self.wait_for_leader(now);
        self.leader = None;
        self.role = Role::PreCandidate { granted: BTreeSet::from([self.id.clone()]) };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let term = self.hard.term + 1;
        for to in self.other_voters() {
            let from = self.id.clone();
            let body = Body::PreVote { last_index, last_term };
            self.outbox.push(Message { from, to, term, body });
        }
        self.count_votes(now);
    }

    /// Asks for votes; `runs` are those of all replicas, if all were restarted.
    pub(crate) fn start_vote(&mut self, now: Millis, runs: Vec<Run>) {
        self.wait_for_leader(now);
        self.restart = None;
        self.hard = HardState { term: self.hard.term + 1, vote: Some(self.id.clone()) };
        self.unsaved.hard = true;
        self.role = Role::Candidate { granted: BTreeSet::from([self.id.clone()]) };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for to in self.other_voters() {
            self.send(to, Body::Vote { last_index, last_term, runs: runs.clone() });
        }
        self.count_votes(now);
    }

    fn become_leader(&mut self, now: Millis) {
        self.leader = Some(self.id.clone());
        self.role =
            Role::Leader(Leading { since: now, heartbeat_due: now, progress: BTreeMap::new() });
        self.follow_members();
        self.append_own(vec![Payload::Noop]);
        self.broadcast(now);
        self.advance_commit();
    }

    fn count_votes(&mut self, now: Millis) {
        let members = self.log.members();
        let has_quorum = |granted: &BTreeSet<ReplicaId>| {
            granted.intersection(&members.voters).count() >= members.quorum()
        };
        match &self.role {
            Role::PreCandidate { granted } if has_quorum(granted) => {
                self.start_vote(now, Vec::new())
            }
            Role::Candidate { granted } if has_quorum(granted) => self.become_leader(now),
            _ => {}
        }
    }

    pub(crate) fn on_pre_vote(&mut self, now: Millis, msg: &Message) {
        let Body::PreVote { last_index, last_term } = msg.body else { return };
        let granted = msg.term > self.hard.term
            && !self.is_content(now)
            && self.is_up_to_date(last_index, last_term);
        let term = if granted { msg.term } else { self.hard.term };
        self.reply(msg, term, Body::PreVoteReply { granted });
    }

    pub(crate) fn on_pre_vote_reply(&mut self, now: Millis, msg: &Message, is_granted: bool) {
        if !is_granted {
            if msg.term > self.hard.term {
                self.become_follower(now, msg.term);
            }
            return;
        }
        if let Role::PreCandidate { granted } = &mut self.role
            && msg.term == self.hard.term + 1
        {
            granted.insert(msg.from.clone());
            self.count_votes(now);
        }
    }

    pub(crate) fn on_vote(&mut self, now: Millis, msg: &Message) {
        let Body::Vote { last_index, last_term, ref runs } = msg.body else { return };
        // A leader relies on a quorum that votes for nobody for a while. A vote inside that time
        // would let a second leader commit while the first still answers reads.
        if self.is_content(now) && !self.fits(runs) {
            return;
        }
        if msg.term > self.hard.term {
            self.become_follower(now, msg.term);
        }
        let is_free = match &self.hard.vote {
            None => true,
            Some(vote) => *vote == msg.from || self.weak(Weakening::VoteTwice),
        };
        let granted =
            msg.term == self.hard.term && is_free && self.is_up_to_date(last_index, last_term);
        if granted {
            self.vote_for(&msg.from);
            self.restart = None;
            self.wait_for_leader(now);
        }
        let term = self.hard.term;
        self.reply(msg, term, Body::VoteReply { granted });
    }

    fn vote_for(&mut self, candidate: &ReplicaId) {
        keep!(
            Promise::OneOrderer,
            self.hard.vote.as_ref().is_none_or(|vote| vote == candidate),
            "a second vote in term {}",
            self.hard.term
        );
        self.hard.vote = Some(candidate.clone());
        self.unsaved.hard = true;
    }

    pub(crate) fn on_vote_reply(&mut self, now: Millis, msg: &Message, is_granted: bool) {
        if msg.term > self.hard.term {
            self.become_follower(now, msg.term);
            return;
        }
        if let Role::Candidate { granted } = &mut self.role
            && msg.term == self.hard.term
            && is_granted
        {
            granted.insert(msg.from.clone());
            self.count_votes(now);
        }
    }

    /// Returns whether it has a leader, or leads itself, and so helps nobody else up.
    fn is_content(&self, now: Millis) -> bool {
        if self.weak(Weakening::VoteInsideLease) {
            return false;
        }
        now < self.quiet_until || self.holds_lease(now)
    }

    fn is_up_to_date(&self, last_index: u64, last_term: u64) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (last_term, last_index) >= own || self.weak(Weakening::VoteForShorterLog)
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        self.log.members().voters.iter().filter(|id| **id != self.id).cloned().collect()
    }
}
