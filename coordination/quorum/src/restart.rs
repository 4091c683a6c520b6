//! A leader at once, where all replicas were restarted together.
//!
//! A promise to a leader is not on disk, so a restarted replica votes for nobody for an election time:
//! a leader that it has forgotten may still rely on it. After a loss of power that wait is vain, since
//! no replica can lead that was itself restarted. It would keep entry instances, which come back
//! without settings, from serving for half a second more.
//!
//! A replica that has promised nothing since its start says so, with a number that stands for its run.
//! The one with the longest log collects these from all replicas, then has all of them confirm the
//! whole list. Between the last word of the first round and the first one of the second, all were in the
//! runs that the list names and had promised nothing, so no leader relied on any of them. What is
//! promised later is promised in these runs, or after another restart; a voter that did either no longer
//! fits the list, and refuses.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sill_base::Millis;

use crate::members::ReplicaId;
use crate::message::{Body, Message};
use crate::replica::Replica;
use crate::weakening::Weakening;

/// Questions to the others in one heartbeat; a process that starts a little later is found soon.
const ASKS: u64 = 2;

/// One run of a replica's process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The replica.
    pub replica: ReplicaId,
    /// Drawn at the start of the process.
    pub number: u64,
}

/// What a replica says that has promised nothing since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restarted {
    /// The number of its run.
    pub run: u64,
    /// Its last entry's term.
    pub last_term: u64,
    /// Its last entry.
    pub last_index: u64,
}

/// What a replica has heard since its start, for as long as it has promised nothing.
#[derive(Debug, Default)]
pub(crate) struct Restart {
    heard: BTreeMap<ReplicaId, Restarted>,
    confirmed: BTreeSet<ReplicaId>,
    pub(crate) ask_due: Millis,
}

impl Replica {
    /// Asks the others whether they were restarted as well.
    pub(crate) fn ask_restarted(&mut self, now: Millis) {
        let is_waiting = now < self.quiet_until;
        let Some(restart) = &mut self.restart else { return };
        if !is_waiting || now < restart.ask_due {
            return;
        }
        restart.ask_due = now + Millis(self.cfg.heartbeat.0 / ASKS);
        self.send_restarted();
    }

    /// Returns when it asks again.
    pub(crate) fn ask_due(&self) -> Millis {
        let due = self.restart.as_ref().map(|restart| restart.ask_due);
        due.filter(|due| *due < self.quiet_until).unwrap_or(Millis::MAX)
    }

    pub(crate) fn on_restarted(&mut self, now: Millis, msg: &Message) {
        let Body::Restarted { own, runs } = &msg.body else { return };
        if !self.hear_restarted(&msg.from, *own) {
            return;
        }
        let confirms = if self.fits(runs) { runs.clone() } else { Vec::new() };
        let own = self.restarted();
        self.reply(msg, self.hard.term, Body::RestartedToo { own, confirms });
        self.vote_if_all_restarted(now);
    }

    pub(crate) fn on_restarted_too(&mut self, now: Millis, msg: &Message) {
        let Body::RestartedToo { own, confirms } = &msg.body else { return };
        if !self.hear_restarted(&msg.from, *own) {
            return;
        }
        if self.runs_of_all().is_some_and(|runs| runs == *confirms)
            && let Some(restart) = &mut self.restart
        {
            restart.confirmed.insert(msg.from.clone());
        }
        self.vote_if_all_restarted(now);
    }

    /// Returns whether a list names this run of the replica, and it has promised nothing in it.
    pub(crate) fn fits(&self, runs: &[Run]) -> bool {
        let is_own = |run: &Run| run.replica == self.id && run.number == self.run;
        let is_fresh = self.restart.is_some() || self.weak(Weakening::ReleaseAfterPromise);
        is_fresh && runs.iter().any(is_own)
    }

    /// Returns whether it takes note, which it does while it has promised nothing itself.
    fn hear_restarted(&mut self, from: &ReplicaId, said: Restarted) -> bool {
        let Some(restart) = &mut self.restart else { return false };
        let before = restart.heard.insert(from.clone(), said);
        if before != Some(said) {
            restart.confirmed.clear();
        }
        true
    }

    fn restarted(&self) -> Restarted {
        let (last_term, last_index) = (self.log.last_term(), self.log.last_index());
        Restarted { run: self.run, last_term, last_index }
    }

    fn send_restarted(&mut self) {
        let own = self.restarted();
        let runs = self.runs_of_all().unwrap_or_default();
        for to in self.all_that_may_lead() {
            if to != self.id {
                self.send(to, Body::Restarted { own, runs: runs.clone() });
            }
        }
    }

    /// Returns all whose leadership may be unknown here: the newest members, and those before them,
    /// since the last change may be open. Learners are among them; the change may be a promotion.
    fn all_that_may_lead(&self) -> BTreeSet<ReplicaId> {
        let newest = self.log.members();
        let before = self.log.members_at(self.log.members_index().saturating_sub(1));
        newest.iter().chain(before.iter()).cloned().collect()
    }

    /// Returns the runs of all, once all have said that they were restarted.
    fn runs_of_all(&self) -> Option<Vec<Run>> {
        let restart = self.restart.as_ref()?;
        let run_of = |replica: &ReplicaId| {
            let heard = restart.heard.get(replica).map(|said| said.run);
            let number = if *replica == self.id { Some(self.run) } else { heard };
            number.map(|number| Run { replica: replica.clone(), number })
        };
        let all = self.all_that_may_lead();
        let runs: Vec<Run> = all.iter().filter_map(run_of).collect();
        let needed = match self.weak(Weakening::ReleaseByQuorum) {
            true => self.log.members().quorum(),
            false => all.len(),
        };
        (runs.len() >= needed).then_some(runs)
    }

    /// Tries to lead once all have confirmed that they were restarted. Only one of them does; if all
    /// did, each would vote for itself.
    fn vote_if_all_restarted(&mut self, now: Millis) {
        let (Some(restart), Some(runs)) = (&self.restart, self.runs_of_all()) else { return };
        if !self.comes_first(restart) {
            return;
        }
        let mut others = runs.iter().map(|run| &run.replica).filter(|id| **id != self.id);
        if others.all(|id| restart.confirmed.contains(id)) {
            self.start_vote(now, runs);
        } else if restart.confirmed.is_empty() {
            self.send_restarted();
        }
    }

    fn comes_first(&self, restart: &Restart) -> bool {
        let voters = &self.log.members().voters;
        let own = self.restarted();
        let rank = |said: &Restarted| (said.last_term, said.last_index);
        let mut others = restart.heard.iter().filter(|(id, _)| voters.contains(*id));
        voters.contains(&self.id)
            && others.all(|(id, said)| (rank(said), &self.id) < (rank(&own), id))
    }
}
