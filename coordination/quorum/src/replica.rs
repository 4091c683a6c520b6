//! State of a replica and its handling of events.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;

use rand::Rng as _;
use serde::{Deserialize, Serialize};
use sill_base::random::{Rng, seeded};
use sill_base::{Machine, Millis, Promise, assert_promise};

use crate::cfg::Cfg;
use crate::event::{Action, Event, NewEntries, Write};
use crate::log::{Entry, Log, Payload, Snapshot};
use crate::members::{Members, ReplicaId};
use crate::message::{Body, Message};
use crate::restart::RestartPoll;
use crate::weakening::Weakening;

/// Durable election state of a replica.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term that it has seen.
    pub term: u64,
    /// The candidate that it voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// Complete durable state of a replica.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Term and vote.
    #[serde(rename = "hard")]
    pub hard_state: HardState,
    /// The newest snapshot, if the log was ever compacted or a snapshot installed.
    pub snapshot: Option<Snapshot>,
    /// Index before the first entry that is kept.
    pub base_index: u64,
    /// Term of the entry at `base_index`.
    pub base_term: u64,
    /// The entries after `base_index`.
    pub entries: Vec<Entry>,
}

/// The current role of a replica, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    /// It receives entries from a leader, or waits for one.
    Follower,
    /// It holds a pre-vote or an election.
    Candidate,
    /// It appends entries and replicates them.
    Leader,
}

/// One replica of a log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) cfg: Cfg,
    pub(crate) id: ReplicaId,
    pub(crate) rng: Rng,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// Until when it has promised a leader to grant no votes.
    pub(crate) no_vote_until: Millis,
    pub(crate) election_deadline: Millis,
    /// Identifies this run of the process.
    pub(crate) run_number: u64,
    /// Set while it is fresh: it has promised nothing to any leader or candidate since its start.
    pub(crate) restart_poll: Option<RestartPoll>,
    pub(crate) pending_write: PendingWrite,
    pub(crate) outbox: Vec<Message>,
    /// An installed snapshot that the caller has yet to restore.
    pub(crate) pending_restore: Option<Snapshot>,
    pub(crate) proposal_replies: Vec<Action>,
}

#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate { votes: BTreeSet<ReplicaId> },
    Candidate { votes: BTreeSet<ReplicaId> },
    Leader(LeaderState),
}

/// State that only a leader has.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) elected_at: Millis,
    pub(crate) next_heartbeat: Millis,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
}

/// Replication state of another replica, as its leader tracks it.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// Index of the next entry to send.
    pub(crate) next_index: u64,
    /// Last index up to which its log is known to match.
    pub(crate) match_index: u64,
    /// When the newest message that it has answered was sent.
    pub(crate) ack_time: Option<Millis>,
    pub(crate) snapshot_retry_at: Millis,
    /// Number of rejections that were acted on; replies of an earlier round are outdated.
    pub(crate) round: u64,
    /// Whether it is unknown where its log starts to differ; only one batch is sent at a time then.
    pub(crate) is_probing: bool,
}

/// Which changes the next write must make durable.
#[derive(Debug, Default)]
pub(crate) struct PendingWrite {
    pub(crate) has_hard_state: bool,
    /// Index of the first entry to write.
    pub(crate) first_index: Option<u64>,
    /// Whether to write the complete state, after a change of the snapshot.
    pub(crate) is_full: bool,
}

impl PersistentState {
    /// Applies a write, for example when the records on a disk are replayed.
    pub fn apply(&mut self, write: Write) {
        if let Some(full_state) = write.full_state {
            *self = *full_state;
        }
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(new) = write.entries {
            let kept = new.first_index.saturating_sub(self.base_index + 1) as usize;
            self.entries.truncate(kept);
            self.entries.extend(new.entries);
        }
    }
}

impl Replica {
    /// Creates a replica from the state on its disk; an empty disk has the default state.
    ///
    /// `seed` must differ from that of each earlier run of the replica, since the number that
    /// identifies this run is drawn from it.
    pub fn restore(
        cfg: Cfg,
        id: ReplicaId,
        state: PersistentState,
        seed: u64,
        now: Millis,
    ) -> Self {
        let PersistentState { hard_state, snapshot, base_index, base_term, entries } = state;
        let commit_index = snapshot.as_ref().map_or(0, |s| s.index);
        let is_new = hard_state.term == 0;
        let mut rng = seeded(seed);
        let run_number = rng.random();
        let mut replica = Self {
            log: Log::restore(snapshot, base_index, base_term, entries),
            cfg,
            id,
            rng,
            hard_state,
            commit_index,
            applied_index: commit_index,
            role: Role::Follower,
            leader: None,
            no_vote_until: Millis::ZERO,
            election_deadline: Millis::ZERO,
            run_number,
            restart_poll: Some(RestartPoll::default()),
            pending_write: PendingWrite::default(),
            outbox: Vec::new(),
            pending_restore: None,
            proposal_replies: Vec::new(),
        };
        // A promise to a leader is not on disk. A vote right after a restart could help to elect a
        // second leader while the first still relies on that promise, and an operator would read a
        // stale value from the first.
        if !is_new && !replica.is_weakened(Weakening::VoteRightAfterRestart) {
            replica.no_vote_until = now + replica.cfg.election_timeout;
        }
        replica.reset_election_deadline(now);
        if replica.is_only_voter() {
            replica.election_deadline = now;
        }
        replica
    }

    /// Returns its id, which names the instance and the incarnation of its disk.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Returns whether it has never taken part in a log: it has seen no term and stores no entry.
    pub fn is_new(&self) -> bool {
        self.hard_state.term == 0 && self.log.last_index() == 0
    }

    /// Returns the highest term that it has seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns its current role; a pre-candidate counts as a candidate.
    pub fn role(&self) -> RoleName {
        match self.role {
            Role::Follower => RoleName::Follower,
            Role::PreCandidate { .. } | Role::Candidate { .. } => RoleName::Candidate,
            Role::Leader(_) => RoleName::Leader,
        }
    }

    /// Returns the current leader as far as it knows, which may be itself.
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Returns the members of the newest entry that set them, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns the index of the last entry that is known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the index of the last entry that was passed to the caller to apply or restore.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the index of the last entry in the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns when it needs the next tick if no other event comes before.
    pub fn wake_at(&self) -> Millis {
        match &self.role {
            Role::Leader(leader) => leader.next_heartbeat,
            _ if self.may_lead() => self.election_deadline.min(self.next_restart_query()),
            _ => Millis::MAX,
        }
    }

    /// Returns the number of applied entries still in the log, to decide when to compact it.
    pub fn compactable_entries(&self) -> u64 {
        self.applied_index.saturating_sub(self.log.base().0)
    }

    /// Returns the complete state that must be durable now.
    pub fn persistent_state(&self) -> PersistentState {
        let (base_index, base_term) = self.log.base();
        PersistentState {
            hard_state: self.hard_state.clone(),
            snapshot: self.log.snapshot().cloned(),
            base_index,
            base_term,
            entries: self.log.range(self.log.first_index(), usize::MAX),
        }
    }

    pub(crate) fn is_weakened(&self, weakening: Weakening) -> bool {
        self.cfg.weakening == Some(weakening)
    }

    pub(crate) fn is_only_voter(&self) -> bool {
        let voters = &self.log.members().voters;
        voters.len() == 1 && voters.contains(&self.id)
    }

    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        let (from, term) = (self.id.clone(), self.hard_state.term);
        self.outbox.push(Message { from, to, term, body });
    }

    pub(crate) fn reply(&mut self, msg: &Message, term: u64, body: Body) {
        let (from, to) = (msg.to.clone(), msg.from.clone());
        self.outbox.push(Message { from, to, term, body });
    }

    /// Notes that entries from this index on must be persisted.
    pub(crate) fn mark_unpersisted_from(&mut self, index: u64) {
        let first = self.pending_write.first_index.map_or(index, |first| first.min(index));
        self.pending_write.first_index = Some(first);
    }

    pub(crate) fn set_commit_index(&mut self, index: u64) {
        assert_promise!(
            Promise::AcceptedChangeStays,
            index >= self.commit_index && index <= self.log.last_index(),
            "commit index {} can't become {index}, last entry is {}",
            self.commit_index,
            self.log.last_index()
        );
        self.commit_index = index;
    }

    fn receive(&mut self, now: Millis, msg: Message) {
        let accepts_any_incarnation =
            self.is_weakened(Weakening::AnswerForOldLife) && msg.to.name == self.id.name;
        if msg.to != self.id && !accepts_any_incarnation {
            return;
        }
        match &msg.body {
            Body::PreVote { .. } => self.on_pre_vote(now, &msg),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(now, &msg, *granted),
            Body::Vote { .. } => self.on_vote(now, &msg),
            Body::VoteReply { granted } => self.on_vote_reply(now, &msg, *granted),
            Body::RestartQuery { .. } => self.on_restart_query(now, &msg),
            Body::RestartReply { .. } => self.on_restart_reply(now, &msg),
            Body::Append { .. } => self.on_append(now, msg),
            Body::InstallSnapshot { .. } => self.on_install_snapshot(now, msg),
            Body::AppendReply { .. } => self.on_append_reply(now, &msg),
        }
    }

    fn propose(&mut self, now: Millis, tag: u64, commands: Vec<std::sync::Arc<str>>) {
        if !matches!(self.role, Role::Leader(_)) {
            self.proposal_replies.push(Action::NotLeader { tag });
            return;
        }
        let first_index = self.log.last_index() + 1;
        self.append_payloads(commands.into_iter().map(Payload::Command).collect());
        self.proposal_replies.push(Action::ProposalAppended {
            tag,
            first_index,
            term: self.hard_state.term,
        });
        self.broadcast(now);
        self.advance_commit();
    }

    fn bootstrap(&mut self, now: Millis, members: Members) {
        if !self.is_new() {
            return;
        }
        self.hard_state = HardState { term: 1, vote: Some(self.id.clone()) };
        self.pending_write.has_hard_state = true;
        self.append_payloads(vec![Payload::Members(members)]);
        self.election_deadline = now;
    }

    fn compact(&mut self, index: u64, data: std::sync::Arc<str>) {
        let is_newer = self.log.snapshot().is_none_or(|s| s.index < index);
        let Some(term) = self.log.term_at(index) else { return };
        if index > self.applied_index || !is_newer {
            return;
        }
        let members = self.log.members_at(index);
        let trailing_entries = self.cfg.trailing_entries;
        self.log.compact(Snapshot { index, term, members, data }, trailing_entries);
        self.pending_write.is_full = true;
    }

    fn run_timers(&mut self, now: Millis) {
        if matches!(self.role, Role::Leader(_)) {
            self.send_due_heartbeat(now);
        } else if now >= self.election_deadline && self.may_lead() {
            self.start_pre_vote(now);
        } else if self.may_lead() {
            self.query_restarts(now);
        }
    }

    fn emit_actions(&mut self, out: &mut Vec<Action>) {
        let sends = mem::take(&mut self.outbox).into_iter().map(Action::Send);
        let sends_early = self.is_weakened(Weakening::SendBeforePersist);
        let mut sends = Some(sends);
        if sends_early {
            out.extend(sends.take().into_iter().flatten());
        }
        if let Some(write) = self.take_pending_write() {
            out.push(Action::Persist(write));
        }
        out.extend(sends.into_iter().flatten());
        out.extend(self.pending_restore.take().map(Action::Restore));
        out.append(&mut self.proposal_replies);
        while self.applied_index < self.commit_index {
            self.applied_index += 1;
            let entry = self
                .log
                .get(self.applied_index)
                .expect("the log keeps committed entries that are not applied")
                .clone();
            out.push(Action::Apply { index: self.applied_index, entry });
        }
    }

    fn take_pending_write(&mut self) -> Option<Write> {
        let pending_write = mem::take(&mut self.pending_write);
        if pending_write.is_full {
            let full_state = Some(Box::new(self.persistent_state()));
            return Some(Write { full_state, ..Write::default() });
        }
        let mut hard_state = pending_write.has_hard_state.then(|| self.hard_state.clone());
        if let Some(hard_state) = &mut hard_state
            && self.is_weakened(Weakening::ForgetVote)
        {
            hard_state.vote = None;
        }
        let entries = pending_write.first_index.map(|first_index| {
            let entries = self.log.range(first_index, usize::MAX);
            NewEntries { first_index, entries }
        });
        let is_empty = hard_state.is_none() && entries.is_none();
        (!is_empty).then_some(Write { hard_state, entries, full_state: None })
    }
}

impl Machine for Replica {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        let (term, commit_index) = (self.hard_state.term, self.commit_index);
        // A leader whose process was frozen steps down here, before it handles the messages that
        // waited.
        self.step_down_without_quorum(now);
        match event {
            Event::Tick => {}
            Event::Receive(msg) => self.receive(now, msg),
            Event::Propose { tag, commands } => self.propose(now, tag, commands),
            Event::Bootstrap(members) => self.bootstrap(now, members),
            Event::Join { id, as_voter } => self.join(now, &id, as_voter),
            Event::ChangeMembers(change) => self.change_members(now, &change),
            Event::Compact { index, data } => self.compact(index, data),
        }
        self.run_timers(now);
        self.emit_actions(out);
        assert_promise!(
            Promise::OneOrderer,
            self.hard_state.term >= term,
            "term decreased from {term} to {}",
            self.hard_state.term
        );
        assert_promise!(
            Promise::AcceptedChangeStays,
            self.commit_index >= commit_index && self.applied_index == self.commit_index,
            "commit index went from {commit_index} to {}, applied index {}",
            self.commit_index,
            self.applied_index
        );
    }
}
