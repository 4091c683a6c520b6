//! Replication of entries from the leader to the other replicas, and their commit.

use sill_base::{Millis, Promise, assert_promise};

use crate::log::{Entry, Payload};
use crate::members::ReplicaId;
use crate::message::{Body, Message, RequestStamp};
use crate::replica::{Progress, Replica, Role};
use crate::weakening::Weakening;

/// Delay before a new commit index is sent to the other replicas if nothing else is sent to them.
const COMMIT_NOTICE_DELAY: Millis = Millis(20);

/// Maximum number of full messages in flight to a replica without a reply.
const MAX_IN_FLIGHT_MESSAGES: usize = 8;

impl Replica {
    /// Appends entries of the current term to the own log.
    pub(crate) fn append_payloads(&mut self, payloads: Vec<Payload>) {
        self.mark_unpersisted_from(self.log.last_index() + 1);
        for payload in payloads {
            self.log.push(Entry { term: self.hard_state.term, payload });
        }
    }

    /// Starts to track replicas that became members, and drops those that no longer are.
    pub(crate) fn update_progress_members(&mut self) {
        let next_index = self.log.last_index() + 1;
        let members = self.log.members();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.progress.retain(|id, _| members.contains(id));
        for id in members.iter().filter(|id| **id != self.id) {
            let initial = Progress {
                next_index,
                match_index: 0,
                ack_time: None,
                snapshot_retry_at: Millis::ZERO,
                round: 0,
                is_probing: true,
            };
            leader.progress.entry(id.clone()).or_insert(initial);
        }
    }

    pub(crate) fn send_due_heartbeat(&mut self, now: Millis) {
        let Role::Leader(leader) = &self.role else { return };
        if now >= leader.next_heartbeat {
            self.broadcast(now);
        }
    }

    pub(crate) fn broadcast(&mut self, now: Millis) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.next_heartbeat = now + self.cfg.heartbeat_interval;
        let peers: Vec<ReplicaId> = leader.progress.keys().cloned().collect();
        for peer in peers {
            self.send_append(now, &peer);
        }
    }

    /// Sends the entries or the snapshot that the peer lacks, or a heartbeat.
    fn send_append(&mut self, now: Millis, peer: &ReplicaId) {
        let (base_index, _) = self.log.base();
        let max_append_entries = self.cfg.max_append_entries;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(peer) else { return };
        let stamp = RequestStamp { sent_at: now, round: progress.round };
        let is_installing = progress.next_index <= base_index;
        if is_installing && now >= progress.snapshot_retry_at {
            progress.snapshot_retry_at = now + self.cfg.election_timeout;
            if let Some(snapshot) = self.log.snapshot().cloned() {
                self.send(peer.clone(), Body::InstallSnapshot { snapshot, stamp });
            }
            return;
        }
        // While a snapshot is in flight this is a heartbeat. The peer rejects it, but the rejection
        // still counts as a reply for the lease.
        let prev_index = if is_installing { base_index } else { progress.next_index - 1 };
        let in_flight = progress.next_index - 1 - progress.match_index.min(progress.next_index - 1);
        let is_full = !progress.is_probing
            && in_flight >= (MAX_IN_FLIGHT_MESSAGES * max_append_entries) as u64;
        let entries = match is_installing || is_full {
            true => Vec::new(),
            false => self.log.range(progress.next_index, max_append_entries),
        };
        if !progress.is_probing {
            progress.next_index += entries.len() as u64;
        }
        let prev_term = self
            .log
            .term_at(prev_index)
            .expect("the log keeps the term of its base entry and all entries after it");
        let commit = self.commit_index;
        self.send(peer.clone(), Body::Append { prev_index, prev_term, entries, commit, stamp });
    }

    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let members = self.log.members();
        let last = self.log.last_index();
        // The leader counts its own entries as stored: actions that result from a commit come after
        // the action that persists them.
        let match_indexes = members.voters.iter().map(|id| match leader.progress.get(id) {
            _ if *id == self.id => last,
            Some(progress) => progress.match_index,
            None => 0,
        });
        let mut match_indexes: Vec<u64> = match_indexes.collect();
        match_indexes.sort_unstable();
        match_indexes.reverse();
        let needed = match self.is_weakened(Weakening::CommitWithoutQuorum) {
            true => members.quorum().saturating_sub(1).max(1),
            false => members.quorum(),
        };
        let index = match_indexes.get(needed - 1).copied().unwrap_or(0);
        // A replica without an entry of an older term may still be elected although a quorum stores
        // that entry. Only a later entry of the current term, stored by a quorum, rules this out.
        let is_current_term = self.log.term_at(index) == Some(self.hard_state.term);
        if index > self.commit_index
            && (is_current_term || self.is_weakened(Weakening::CommitOlderTerm))
        {
            self.set_commit_index(index);
            self.step_down_if_removed();
        }
    }

    fn step_down_if_removed(&mut self) {
        let members = self.log.members();
        let is_removed =
            !members.voters.contains(&self.id) && self.log.members_index() <= self.commit_index;
        if is_removed {
            self.role = Role::Follower;
            self.leader = None;
        }
    }

    pub(crate) fn on_append(&mut self, now: Millis, msg: Message) {
        let Body::Append { prev_index, prev_term, ref entries, commit, stamp } = msg.body else {
            return;
        };
        if !self.accept_leader(now, &msg) {
            self.send_reject_reply(&msg, self.log.last_index(), stamp);
            return;
        }
        let (base_index, _) = self.log.base();
        let has_prev = prev_index < base_index || self.log.term_at(prev_index) == Some(prev_term);
        if !has_prev && !self.is_weakened(Weakening::AppendWithoutCheck) {
            let hint = self.log.last_index().min(prev_index.saturating_sub(1));
            self.send_reject_reply(&msg, hint.max(self.commit_index), stamp);
            return;
        }
        let match_index = prev_index + entries.len() as u64;
        self.merge_entries(prev_index, entries.clone());
        let new_commit_index = commit.min(match_index);
        if new_commit_index > self.commit_index {
            self.set_commit_index(new_commit_index);
        }
        self.send_accept_reply(&msg, match_index, stamp);
    }

    /// Appends entries that the log lacks and replaces those that conflict.
    fn merge_entries(&mut self, prev_index: u64, entries: Vec<Entry>) {
        let first_index = self.log.first_index();
        for (index, entry) in (prev_index + 1..).zip(entries) {
            // Entries before the start of the log are committed and hence identical.
            let is_present = index < first_index || self.log.term_at(index) == Some(entry.term);
            if is_present {
                continue;
            }
            if index <= self.log.last_index() {
                assert_promise!(
                    Promise::AcceptedChangeStays,
                    index > self.commit_index,
                    "leader would replace committed entry {index}"
                );
                self.log.truncate_from(index);
            }
            self.mark_unpersisted_from(index);
            self.log.push(entry);
        }
    }

    pub(crate) fn on_install_snapshot(&mut self, now: Millis, msg: Message) {
        let Body::InstallSnapshot { ref snapshot, stamp } = msg.body else { return };
        if !self.accept_leader(now, &msg) {
            self.send_reject_reply(&msg, self.log.last_index(), stamp);
            return;
        }
        let index = snapshot.index;
        if index > self.commit_index || self.is_weakened(Weakening::InstallOlderSnapshot) {
            self.log.install(snapshot.clone());
            self.pending_write.is_full = true;
            assert_promise!(
                Promise::AcceptedChangeStays,
                index >= self.commit_index,
                "snapshot at index {index} is older than commit index {}",
                self.commit_index
            );
            self.commit_index = index;
            self.applied_index = index;
            self.pending_restore = Some(snapshot.clone());
        }
        self.send_accept_reply(&msg, index, stamp);
    }

    /// Follows the sender as the leader and returns true, unless its term is older.
    fn accept_leader(&mut self, now: Millis, msg: &Message) -> bool {
        if msg.term < self.hard_state.term {
            return false;
        }
        let is_leader = matches!(self.role, Role::Leader(_)) && msg.term == self.hard_state.term;
        assert_promise!(Promise::OneOrderer, !is_leader, "two leaders in term {}", msg.term);
        self.become_follower(now, msg.term);
        self.leader = Some(msg.from.clone());
        self.no_vote_until = now + self.cfg.election_timeout;
        self.restart_poll = None;
        true
    }

    fn send_accept_reply(&mut self, msg: &Message, index: u64, stamp: RequestStamp) {
        let term = self.hard_state.term;
        self.reply(msg, term, Body::AppendReply { accepted: true, index, stamp });
    }

    fn send_reject_reply(&mut self, msg: &Message, index: u64, stamp: RequestStamp) {
        let term = self.hard_state.term;
        self.reply(msg, term, Body::AppendReply { accepted: false, index, stamp });
    }

    pub(crate) fn on_append_reply(&mut self, now: Millis, msg: &Message) {
        let Body::AppendReply { accepted, index, stamp } = msg.body else { return };
        if msg.term > self.hard_state.term {
            self.become_follower(now, msg.term);
            return;
        }
        if msg.term < self.hard_state.term {
            return;
        }
        let ack_time =
            if self.is_weakened(Weakening::LeaseFromAnswer) { now } else { stamp.sent_at };
        let last_index = self.log.last_index();
        let (base_index, _) = self.log.base();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&msg.from) else { return };
        progress.ack_time = progress.ack_time.max(Some(ack_time));
        let has_progressed = if accepted {
            progress.record_acceptance(index, stamp)
        } else {
            progress.record_rejection(index, stamp)
        };
        // A reply that changes nothing must not trigger a message. With messages duplicated in
        // transit, each reply would otherwise trigger more than one other, without end.
        let is_installing = progress.next_index <= base_index && now < progress.snapshot_retry_at;
        let is_behind = has_progressed && !is_installing && progress.next_index <= last_index;
        let before = self.commit_index;
        self.advance_commit();
        if is_behind {
            self.send_append(now, &msg.from);
        }
        if self.commit_index > before
            && let Role::Leader(leader) = &mut self.role
        {
            leader.next_heartbeat = leader.next_heartbeat.min(now + COMMIT_NOTICE_DELAY);
        }
    }
}

impl Progress {
    /// Records an accepted append; returns whether it changed the progress.
    fn record_acceptance(&mut self, index: u64, stamp: RequestStamp) -> bool {
        let ends_probe = self.is_probing && stamp.round == self.round;
        let has_progressed = index > self.match_index || ends_probe;
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.is_probing &= !ends_probe;
        has_progressed
    }

    /// Records a rejected append; returns whether it changed the progress.
    fn record_rejection(&mut self, index: u64, stamp: RequestStamp) -> bool {
        if stamp.round != self.round {
            return false;
        }
        self.round += 1;
        self.is_probing = true;
        self.next_index = self.next_index.min(index + 1).max(self.match_index + 1);
        true
    }
}
