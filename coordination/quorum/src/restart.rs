//! Immediate election after all replicas were restarted together.
//!
//! A follower promises its leader to vote for nobody else for the election timeout. The promise is
//! not on disk, so a restarted replica grants no votes for that long: a leader that it has
//! forgotten may still rely on it. After a power loss of all instances the wait is useless, since a
//! replica that was itself restarted leads no longer. It would stop entry instances, which restart
//! without settings, from serving for another half second.
//!
//! A replica is fresh while it has made no promise since its process started: it has followed no
//! leader, granted no vote and started no election. A fresh replica reports this with a number that
//! identifies its run. The one with the longest log collects the reports of all replicas, then has
//! all of them confirm the complete list. Between the last report and the first confirmation all
//! replicas were fresh in the listed runs, so no leader relied on any of them. Later promises are
//! made in these runs or after another restart; a voter that made one, or was restarted, no longer
//! matches the list and refuses.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sill_base::Millis;

use crate::members::ReplicaId;
use crate::message::{Body, Message};
use crate::replica::Replica;
use crate::weakening::Weakening;

/// Restart queries per heartbeat interval, so that a process that starts slightly later is found
/// soon.
const QUERIES_PER_HEARTBEAT: u64 = 2;

/// Identifies one run of a replica's process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunId {
    /// The replica, by instance and incarnation of its disk.
    pub replica: ReplicaId,
    /// Drawn at random when the process starts.
    pub number: u64,
}

/// What a fresh replica reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartStatus {
    /// The number of its run.
    pub run: u64,
    /// Term of its last entry.
    pub last_term: u64,
    /// Index of its last entry.
    pub last_index: u64,
}

/// What a fresh replica has received from other fresh replicas.
#[derive(Debug, Default)]
pub(crate) struct RestartPoll {
    statuses: BTreeMap<ReplicaId, RestartStatus>,
    /// Replicas that have confirmed the complete list of runs; cleared when a status changes.
    confirmed_by: BTreeSet<ReplicaId>,
    pub(crate) next_query_at: Millis,
}

impl Replica {
    /// Asks the others whether they were restarted as well, if the next query is due.
    pub(crate) fn query_restarts(&mut self, now: Millis) {
        let is_waiting = now < self.no_vote_until;
        let Some(poll) = &mut self.restart_poll else { return };
        if !is_waiting || now < poll.next_query_at {
            return;
        }
        poll.next_query_at = now + Millis(self.cfg.heartbeat_interval.0 / QUERIES_PER_HEARTBEAT);
        self.send_restart_queries();
    }

    /// Returns when the next restart query is due, or [`Millis::MAX`] if there is none.
    pub(crate) fn next_restart_query(&self) -> Millis {
        let due = self.restart_poll.as_ref().map(|poll| poll.next_query_at);
        due.filter(|due| *due < self.no_vote_until).unwrap_or(Millis::MAX)
    }

    pub(crate) fn on_restart_query(&mut self, now: Millis, msg: &Message) {
        let Body::RestartQuery { own, runs } = &msg.body else { return };
        if !self.record_restart_status(&msg.from, *own) {
            return;
        }
        let confirms = if self.is_fresh_in(runs) { runs.clone() } else { Vec::new() };
        let own = self.restart_status();
        self.reply(msg, self.hard_state.term, Body::RestartReply { own, confirms });
        self.start_election_if_all_restarted(now);
    }

    pub(crate) fn on_restart_reply(&mut self, now: Millis, msg: &Message) {
        let Body::RestartReply { own, confirms } = &msg.body else { return };
        if !self.record_restart_status(&msg.from, *own) {
            return;
        }
        if self.runs_of_all().is_some_and(|runs| runs == *confirms)
            && let Some(poll) = &mut self.restart_poll
        {
            poll.confirmed_by.insert(msg.from.clone());
        }
        self.start_election_if_all_restarted(now);
    }

    /// Returns whether the list contains this run of the replica and the replica is still fresh.
    pub(crate) fn is_fresh_in(&self, runs: &[RunId]) -> bool {
        let is_own = |run: &RunId| run.replica == self.id && run.number == self.run_number;
        let is_fresh =
            self.restart_poll.is_some() || self.is_weakened(Weakening::ReleaseAfterPromise);
        is_fresh && runs.iter().any(is_own)
    }

    /// Records the status of another replica and returns true, if this replica is itself fresh.
    fn record_restart_status(&mut self, from: &ReplicaId, status: RestartStatus) -> bool {
        let Some(poll) = &mut self.restart_poll else { return false };
        let before = poll.statuses.insert(from.clone(), status);
        if before != Some(status) {
            poll.confirmed_by.clear();
        }
        true
    }

    fn restart_status(&self) -> RestartStatus {
        let (last_term, last_index) = (self.log.last_term(), self.log.last_index());
        RestartStatus { run: self.run_number, last_term, last_index }
    }

    fn send_restart_queries(&mut self) {
        let own = self.restart_status();
        let runs = self.runs_of_all().unwrap_or_default();
        for to in self.possible_leaders() {
            if to != self.id {
                self.send(to, Body::RestartQuery { own, runs: runs.clone() });
            }
        }
    }

    /// Returns all replicas that may lead without this one knowing: the newest members and those
    /// before them, since the last change may be uncommitted. This includes learners, since that
    /// change may be a promotion.
    fn possible_leaders(&self) -> BTreeSet<ReplicaId> {
        let newest = self.log.members();
        let before = self.log.members_at(self.log.members_index().saturating_sub(1));
        newest.iter().chain(before.iter()).cloned().collect()
    }

    /// Returns the runs of all possible leaders, once all have reported that they were restarted.
    fn runs_of_all(&self) -> Option<Vec<RunId>> {
        let poll = self.restart_poll.as_ref()?;
        let run_of = |replica: &ReplicaId| {
            let reported = poll.statuses.get(replica).map(|status| status.run);
            let number = if *replica == self.id { Some(self.run_number) } else { reported };
            number.map(|number| RunId { replica: replica.clone(), number })
        };
        let all = self.possible_leaders();
        let runs: Vec<RunId> = all.iter().filter_map(run_of).collect();
        let needed = match self.is_weakened(Weakening::ReleaseByQuorum) {
            true => self.log.members().quorum(),
            false => all.len(),
        };
        (runs.len() >= needed).then_some(runs)
    }

    /// Starts an election once all have confirmed that they were restarted. Only the best candidate
    /// does so; if all did, each would vote for itself.
    fn start_election_if_all_restarted(&mut self, now: Millis) {
        let (Some(poll), Some(runs)) = (&self.restart_poll, self.runs_of_all()) else { return };
        if !self.is_best_candidate(poll) {
            return;
        }
        let mut others = runs.iter().map(|run| &run.replica).filter(|id| **id != self.id);
        if others.all(|id| poll.confirmed_by.contains(id)) {
            self.start_election(now, runs);
        } else if poll.confirmed_by.is_empty() {
            self.send_restart_queries();
        }
    }

    /// Returns whether this voter has the longest log of all that reported; the lowest id breaks
    /// ties.
    fn is_best_candidate(&self, poll: &RestartPoll) -> bool {
        let voters = &self.log.members().voters;
        let own = self.restart_status();
        let rank = |status: &RestartStatus| (status.last_term, status.last_index);
        let mut others = poll.statuses.iter().filter(|(id, _)| voters.contains(*id));
        voters.contains(&self.id)
            && others.all(|(id, status)| (rank(status), &self.id) < (rank(&own), id))
    }
}
