//! How entries get from the leader to the others and are committed.

use sill_base::{Millis, Promise, keep};

use crate::log::{Entry, Payload};
use crate::members::ReplicaId;
use crate::message::{Body, Message, Stamp};
use crate::replica::{Progress, Replica, Role};
use crate::weakening::Weakening;

/// How soon others are told of a new commit index when nothing else is sent.
const COMMIT_NOTICE: Millis = Millis(20);

/// Full messages that may be on their way to a replica without an answer.
const WINDOW: usize = 8;

impl Replica {
    pub(crate) fn append_own(&mut self, payloads: Vec<Payload>) {
        self.note_unsaved_from(self.log.last_index() + 1);
        for payload in payloads {
            self.log.push(Entry { term: self.hard.term, payload });
        }
    }

    /// Brings the list of those it sends to in line with the members.
    pub(crate) fn follow_members(&mut self) {
        let next = self.log.last_index() + 1;
        let members = self.log.members();
        let Role::Leader(leading) = &mut self.role else { return };
        leading.progress.retain(|id, _| members.contains(id));
        for id in members.iter().filter(|id| **id != self.id) {
            let fresh = Progress {
                next,
                matched: 0,
                answered: None,
                install_due: Millis::ZERO,
                round: 0,
                is_probing: true,
            };
            leading.progress.entry(id.clone()).or_insert(fresh);
        }
    }

    pub(crate) fn lead(&mut self, now: Millis) {
        let Role::Leader(leading) = &self.role else { return };
        if now >= leading.heartbeat_due {
            self.broadcast(now);
        }
    }

    pub(crate) fn broadcast(&mut self, now: Millis) {
        let Role::Leader(leading) = &mut self.role else { return };
        leading.heartbeat_due = now + self.cfg.heartbeat;
        let peers: Vec<ReplicaId> = leading.progress.keys().cloned().collect();
        for peer in peers {
            self.send_append(now, &peer);
        }
    }

    /// Sends what the other lacks, or a heartbeat.
    fn send_append(&mut self, now: Millis, peer: &ReplicaId) {
        let (base_index, _) = self.log.base();
        let max_entries = self.cfg.max_entries;
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(progress) = leading.progress.get_mut(peer) else { return };
        let stamp = Stamp { sent_at: now, round: progress.round };
        let is_installing = progress.next <= base_index;
        if is_installing && now >= progress.install_due {
            progress.install_due = now + self.cfg.election;
            if let Some(snapshot) = self.log.snapshot().cloned() {
                self.send(peer.clone(), Body::InstallSnapshot { snapshot, stamp });
            }
            return;
        }
        // While a snapshot is on its way this is a heartbeat which the other refuses, and its
        // refusal still counts as an answer to the leader.
        let prev_index = if is_installing { base_index } else { progress.next - 1 };
        let in_flight = progress.next - 1 - progress.matched.min(progress.next - 1);
        let is_full = !progress.is_probing && in_flight >= (WINDOW * max_entries) as u64;
        let entries = match is_installing || is_full {
            true => Vec::new(),
            false => self.log.range(progress.next, max_entries),
        };
        if !progress.is_probing {
            progress.next += entries.len() as u64;
        }
        let prev_term = self.log.term_at(prev_index).expect("entries from the base on are kept");
        let commit = self.commit;
        self.send(peer.clone(), Body::Append { prev_index, prev_term, entries, commit, stamp });
    }

    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leading) = &self.role else { return };
        let members = self.log.members();
        let last = self.log.last_index();
        // An own entry counts as stored: whatever follows from it comes after the write.
        let matched = members.voters.iter().map(|id| match leading.progress.get(id) {
            _ if *id == self.id => last,
            Some(progress) => progress.matched,
            None => 0,
        });
        let mut matched: Vec<u64> = matched.collect();
        matched.sort_unstable();
        matched.reverse();
        let needed = match self.weak(Weakening::CommitWithoutQuorum) {
            true => members.quorum().saturating_sub(1).max(1),
            false => members.quorum(),
        };
        let index = matched.get(needed - 1).copied().unwrap_or(0);
        // A quorum may hold an entry of an older term and yet elect someone without it; only an
        // entry of the own term on top keeps that from happening.
        let is_own = self.log.term_at(index) == Some(self.hard.term);
        if index > self.commit && (is_own || self.weak(Weakening::CommitOlderTerm)) {
            self.commit_to(index);
            self.after_commit();
        }
    }

    fn after_commit(&mut self) {
        let members = self.log.members();
        let is_out = !members.voters.contains(&self.id) && self.log.members_index() <= self.commit;
        if is_out {
            self.role = Role::Follower;
            self.leader = None;
        }
    }

    pub(crate) fn on_append(&mut self, now: Millis, msg: Message) {
        let Body::Append { prev_index, prev_term, ref entries, commit, stamp } = msg.body else {
            return;
        };
        if !self.follow(now, &msg) {
            self.refuse(&msg, self.log.last_index(), stamp);
            return;
        }
        let (base_index, _) = self.log.base();
        let is_known = prev_index < base_index || self.log.term_at(prev_index) == Some(prev_term);
        if !is_known && !self.weak(Weakening::AppendWithoutCheck) {
            let hint = self.log.last_index().min(prev_index.saturating_sub(1));
            self.refuse(&msg, hint.max(self.commit), stamp);
            return;
        }
        let matched = prev_index + entries.len() as u64;
        self.take_entries(prev_index, entries.clone());
        let committed = commit.min(matched);
        if committed > self.commit {
            self.commit_to(committed);
        }
        self.accept(&msg, matched, stamp);
    }

    fn take_entries(&mut self, prev_index: u64, entries: Vec<Entry>) {
        let first_kept = self.log.first_index();
        for (index, entry) in (prev_index + 1..).zip(entries) {
            // What lies before the log's start is committed, hence the same.
            let is_there = index < first_kept || self.log.term_at(index) == Some(entry.term);
            if is_there {
                continue;
            }
            if index <= self.log.last_index() {
                keep!(
                    Promise::AcceptedChangeStays,
                    index > self.commit,
                    "entry {index} is committed and would be replaced"
                );
                self.log.truncate_from(index);
            }
            self.note_unsaved_from(index);
            self.log.push(entry);
        }
    }

    pub(crate) fn on_install(&mut self, now: Millis, msg: Message) {
        let Body::InstallSnapshot { ref snapshot, stamp } = msg.body else { return };
        if !self.follow(now, &msg) {
            self.refuse(&msg, self.log.last_index(), stamp);
            return;
        }
        let index = snapshot.index;
        if index > self.commit || self.weak(Weakening::InstallOlderSnapshot) {
            self.log.install(snapshot.clone());
            self.unsaved.whole = true;
            keep!(
                Promise::AcceptedChangeStays,
                index >= self.commit,
                "a snapshot of {index} over {}",
                self.commit
            );
            self.commit = index;
            self.applied = index;
            self.restored = Some(snapshot.clone());
        }
        self.accept(&msg, index, stamp);
    }

    /// Follows the sender, unless it is of an older term.
    fn follow(&mut self, now: Millis, msg: &Message) -> bool {
        if msg.term < self.hard.term {
            return false;
        }
        let leads = matches!(self.role, Role::Leader(_)) && msg.term == self.hard.term;
        keep!(Promise::OneOrderer, !leads, "two leaders in term {}", msg.term);
        self.become_follower(now, msg.term);
        self.leader = Some(msg.from.clone());
        self.quiet_until = now + self.cfg.election;
        self.restart = None;
        true
    }

    fn accept(&mut self, msg: &Message, index: u64, stamp: Stamp) {
        let term = self.hard.term;
        self.reply(msg, term, Body::AppendReply { accepted: true, index, stamp });
    }

    fn refuse(&mut self, msg: &Message, index: u64, stamp: Stamp) {
        let term = self.hard.term;
        self.reply(msg, term, Body::AppendReply { accepted: false, index, stamp });
    }

    pub(crate) fn on_append_reply(&mut self, now: Millis, msg: &Message) {
        let Body::AppendReply { accepted, index, stamp } = msg.body else { return };
        if msg.term > self.hard.term {
            self.become_follower(now, msg.term);
            return;
        }
        if msg.term < self.hard.term {
            return;
        }
        let answered = if self.weak(Weakening::LeaseFromAnswer) { now } else { stamp.sent_at };
        let last = self.log.last_index();
        let (base_index, _) = self.log.base();
        let Role::Leader(leading) = &mut self.role else { return };
        let Some(progress) = leading.progress.get_mut(&msg.from) else { return };
        progress.answered = progress.answered.max(Some(answered));
        let is_news = if accepted {
            progress.take_accepted(index, stamp)
        } else {
            progress.take_refused(index, stamp)
        };
        // An answer that brings no news must not make it send anything. With messages doubled on
        // the way each answer would otherwise lead to more than one other, without end.
        let is_installing = progress.next <= base_index && now < progress.install_due;
        let is_behind = is_news && !is_installing && progress.next <= last;
        let before = self.commit;
        self.advance_commit();
        if is_behind {
            self.send_append(now, &msg.from);
        }
        if self.commit > before
            && let Role::Leader(leading) = &mut self.role
        {
            leading.heartbeat_due = leading.heartbeat_due.min(now + COMMIT_NOTICE);
        }
    }
}

impl Progress {
    fn take_accepted(&mut self, index: u64, stamp: Stamp) -> bool {
        let ends_probe = self.is_probing && stamp.round == self.round;
        let is_news = index > self.matched || ends_probe;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        self.is_probing &= !ends_probe;
        is_news
    }

    fn take_refused(&mut self, index: u64, stamp: Stamp) -> bool {
        if stamp.round != self.round {
            return false;
        }
        self.round += 1;
        self.is_probing = true;
        self.next = self.next.min(index + 1).max(self.matched + 1);
        true
    }
}
