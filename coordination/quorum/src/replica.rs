//! One replica: its state, and how events are taken in.

use std::collections::{BTreeMap, BTreeSet};
use std::mem;

use rand::Rng as _;
use serde::{Deserialize, Serialize};
use sill_base::random::{Rng, seeded};
use sill_base::{Machine, Millis, Promise, keep};

use crate::cfg::Cfg;
use crate::event::{Action, Event, NewEntries, Write};
use crate::log::{Entry, Log, Payload, Snapshot};
use crate::members::{Members, ReplicaId};
use crate::message::{Body, Message};
use crate::restart::Restart;
use crate::weakening::Weakening;

/// What a replica must remember of elections.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term it knows.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// All that a replica must remember.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistentState {
    /// Term and vote.
    pub hard: HardState,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The index before the first kept entry.
    pub base_index: u64,
    /// The term of the entry there.
    pub base_term: u64,
    /// The kept entries.
    pub entries: Vec<Entry>,
}

/// What a replica does at present, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    /// It takes entries from a leader.
    Follower,
    /// It tries to become the leader.
    Candidate,
    /// It writes entries.
    Leader,
}

/// One replica of a log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) cfg: Cfg,
    pub(crate) id: ReplicaId,
    pub(crate) rng: Rng,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// Until when it has promised a leader to vote for nobody.
    pub(crate) quiet_until: Millis,
    pub(crate) election_due: Millis,
    /// Stands for this run of the process.
    pub(crate) run: u64,
    /// Set while it has promised nothing to any leader or candidate since its start.
    pub(crate) restart: Option<Restart>,
    pub(crate) unsaved: Unsaved,
    pub(crate) outbox: Vec<Message>,
    pub(crate) restored: Option<Snapshot>,
    pub(crate) answers: Vec<Action>,
}

#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(Leading),
}

/// What a leader keeps.
#[derive(Debug)]
pub(crate) struct Leading {
    pub(crate) since: Millis,
    pub(crate) heartbeat_due: Millis,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
}

/// What a leader knows of another replica.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    pub(crate) next: u64,
    pub(crate) matched: u64,
    /// When the newest message that it answered was sent.
    pub(crate) answered: Option<Millis>,
    pub(crate) install_due: Millis,
    /// Grows with each refusal that was acted on.
    pub(crate) round: u64,
    /// Whether it is unknown where the other's log begins to differ.
    pub(crate) is_probing: bool,
}

/// What changed since the last write.
#[derive(Debug, Default)]
pub(crate) struct Unsaved {
    pub(crate) hard: bool,
    pub(crate) from: Option<u64>,
    pub(crate) whole: bool,
}

impl PersistentState {
    /// Takes in a write, as a replay of a disk's records does.
    pub fn apply(&mut self, write: Write) {
        if let Some(whole) = write.full_state {
            *self = *whole;
        }
        if let Some(hard) = write.hard {
            self.hard = hard;
        }
        if let Some(new) = write.entries {
            let kept = new.first.saturating_sub(self.base_index + 1) as usize;
            self.entries.truncate(kept);
            self.entries.extend(new.entries);
        }
    }
}

impl Replica {
    /// Makes a replica of what its disk holds; a new disk holds the default.
    pub fn restore(
        cfg: Cfg,
        id: ReplicaId,
        persisted: PersistentState,
        seed: u64,
        now: Millis,
    ) -> Self {
        let PersistentState { hard, snapshot, base_index, base_term, entries } = persisted;
        let commit = snapshot.as_ref().map_or(0, |s| s.index);
        let is_new = hard.term == 0;
        let mut rng = seeded(seed);
        let run = rng.random();
        let mut replica = Self {
            log: Log::restore(snapshot, base_index, base_term, entries),
            cfg,
            id,
            rng,
            hard,
            commit,
            applied: commit,
            role: Role::Follower,
            leader: None,
            quiet_until: Millis::ZERO,
            election_due: Millis::ZERO,
            run,
            restart: Some(Restart::default()),
            unsaved: Unsaved::default(),
            outbox: Vec::new(),
            restored: None,
            answers: Vec::new(),
        };
        // A promise to a leader is not on disk. A replica that votes right after a restart could
        // help a second leader up while the first still relies on that promise, and an operator
        // would read an old value from the first.
        if !is_new && !replica.weak(Weakening::VoteRightAfterRestart) {
            replica.quiet_until = now + replica.cfg.election;
        }
        replica.wait_for_leader(now);
        if replica.is_only_voter() {
            replica.election_due = now;
        }
        replica
    }

    /// Returns its id.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Returns whether it has never taken part in anything.
    pub fn is_new(&self) -> bool {
        self.hard.term == 0 && self.log.last_index() == 0
    }

    /// Returns its term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns its role.
    pub fn role(&self) -> RoleName {
        match self.role {
            Role::Follower => RoleName::Follower,
            Role::PreCandidate { .. } | Role::Candidate { .. } => RoleName::Candidate,
            Role::Leader(_) => RoleName::Leader,
        }
    }

    /// Returns the leader it knows of, which may be itself.
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Returns the newest members.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns the last entry that is known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns the last entry that was given out to be applied.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Returns the last entry.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns when it has something to do if nothing happens before.
    pub fn wake_at(&self) -> Millis {
        match &self.role {
            Role::Leader(leading) => leading.heartbeat_due,
            _ if self.may_lead() => self.election_due.min(self.ask_due()),
            _ => Millis::MAX,
        }
    }

    /// Returns the number of applied entries that lie in the log, to decide when to compact it.
    pub fn compactable_entries(&self) -> u64 {
        self.applied.saturating_sub(self.log.base().0)
    }

    /// Returns all that must be on disk now.
    pub fn persistent_state(&self) -> PersistentState {
        let (base_index, base_term) = self.log.base();
        PersistentState {
            hard: self.hard.clone(),
            snapshot: self.log.snapshot().cloned(),
            base_index,
            base_term,
            entries: self.log.range(self.log.first_index(), usize::MAX),
        }
    }

    pub(crate) fn weak(&self, weakening: Weakening) -> bool {
        self.cfg.weakening == Some(weakening)
    }

    pub(crate) fn is_only_voter(&self) -> bool {
        let voters = &self.log.members().voters;
        voters.len() == 1 && voters.contains(&self.id)
    }

    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        let (from, term) = (self.id.clone(), self.hard.term);
        self.outbox.push(Message { from, to, term, body });
    }

    pub(crate) fn reply(&mut self, msg: &Message, term: u64, body: Body) {
        let (from, to) = (msg.to.clone(), msg.from.clone());
        self.outbox.push(Message { from, to, term, body });
    }

    pub(crate) fn note_unsaved_from(&mut self, index: u64) {
        let from = self.unsaved.from.map_or(index, |from| from.min(index));
        self.unsaved.from = Some(from);
    }

    pub(crate) fn commit_to(&mut self, index: u64) {
        keep!(
            Promise::AcceptedChangeStays,
            index >= self.commit && index <= self.log.last_index(),
            "commit index {} to {index}, last entry {}",
            self.commit,
            self.log.last_index()
        );
        self.commit = index;
    }

    fn receive(&mut self, now: Millis, msg: Message) {
        let for_old_life = self.weak(Weakening::AnswerForOldLife) && msg.to.name == self.id.name;
        if msg.to != self.id && !for_old_life {
            return;
        }
        match &msg.body {
            Body::PreVote { .. } => self.on_pre_vote(now, &msg),
            Body::PreVoteReply { granted } => self.on_pre_vote_reply(now, &msg, *granted),
            Body::Vote { .. } => self.on_vote(now, &msg),
            Body::VoteReply { granted } => self.on_vote_reply(now, &msg, *granted),
            Body::Restarted { .. } => self.on_restarted(now, &msg),
            Body::RestartedToo { .. } => self.on_restarted_too(now, &msg),
            Body::Append { .. } => self.on_append(now, msg),
            Body::InstallSnapshot { .. } => self.on_install(now, msg),
            Body::AppendReply { .. } => self.on_append_reply(now, &msg),
        }
    }

    fn propose(&mut self, now: Millis, tag: u64, commands: Vec<std::sync::Arc<str>>) {
        if !matches!(self.role, Role::Leader(_)) {
            self.answers.push(Action::NotLeader { tag });
            return;
        }
        let first = self.log.last_index() + 1;
        self.append_own(commands.into_iter().map(Payload::Command).collect());
        self.answers.push(Action::ProposalAppended {
            tag,
            first_index: first,
            term: self.hard.term,
        });
        self.broadcast(now);
        self.advance_commit();
    }

    fn bootstrap(&mut self, now: Millis, members: Members) {
        if !self.is_new() {
            return;
        }
        self.hard = HardState { term: 1, vote: Some(self.id.clone()) };
        self.unsaved.hard = true;
        self.append_own(vec![Payload::Members(members)]);
        self.election_due = now;
    }

    fn compact(&mut self, index: u64, data: std::sync::Arc<str>) {
        let is_newer = self.log.snapshot().is_none_or(|s| s.index < index);
        let Some(term) = self.log.term_at(index) else { return };
        if index > self.applied || !is_newer {
            return;
        }
        let members = self.log.members_at(index);
        let trailing = self.cfg.trailing_entries;
        self.log.compact(Snapshot { index, term, members, data }, trailing);
        self.unsaved.whole = true;
    }

    fn on_time(&mut self, now: Millis) {
        if matches!(self.role, Role::Leader(_)) {
            self.lead(now);
        } else if now >= self.election_due && self.may_lead() {
            self.start_pre_vote(now);
        } else if self.may_lead() {
            self.ask_restarted(now);
        }
    }

    fn flush(&mut self, out: &mut Vec<Action>) {
        let sends = mem::take(&mut self.outbox).into_iter().map(Action::Send);
        let early = self.weak(Weakening::SendBeforePersist);
        let mut sends = Some(sends);
        if early {
            out.extend(sends.take().into_iter().flatten());
        }
        if let Some(write) = self.take_write() {
            out.push(Action::Persist(write));
        }
        out.extend(sends.into_iter().flatten());
        out.extend(self.restored.take().map(Action::Restore));
        out.append(&mut self.answers);
        while self.applied < self.commit {
            self.applied += 1;
            let entry = self.log.get(self.applied).expect("committed entries are kept").clone();
            out.push(Action::Apply { index: self.applied, entry });
        }
    }

    fn take_write(&mut self) -> Option<Write> {
        let unsaved = mem::take(&mut self.unsaved);
        if unsaved.whole {
            let whole = Some(Box::new(self.persistent_state()));
            return Some(Write { full_state: whole, ..Write::default() });
        }
        let mut hard = unsaved.hard.then(|| self.hard.clone());
        if let Some(hard) = &mut hard
            && self.weak(Weakening::ForgetVote)
        {
            hard.vote = None;
        }
        let entries = unsaved.from.map(|first| {
            let entries = self.log.range(first, usize::MAX);
            NewEntries { first, entries }
        });
        let is_empty = hard.is_none() && entries.is_none();
        (!is_empty).then_some(Write { hard, entries, full_state: None })
    }
}

impl Machine for Replica {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        let (term, commit) = (self.hard.term, self.commit);
        // A leader that was frozen finds out here, before it takes in what waited for it.
        self.check_quorum(now);
        match event {
            Event::Tick => {}
            Event::Receive(msg) => self.receive(now, msg),
            Event::Propose { tag, commands } => self.propose(now, tag, commands),
            Event::Bootstrap(members) => self.bootstrap(now, members),
            Event::Join { id, as_voter } => self.join(now, &id, as_voter),
            Event::ChangeMembers(change) => self.change_members(now, &change),
            Event::Compact { index, data } => self.compact(index, data),
        }
        self.on_time(now);
        self.flush(out);
        keep!(Promise::OneOrderer, self.hard.term >= term, "term went back from {term}");
        keep!(
            Promise::AcceptedChangeStays,
            self.commit >= commit && self.applied == self.commit,
            "commit index went back from {commit} to {}, applied {}",
            self.commit,
            self.applied
        );
    }
}
