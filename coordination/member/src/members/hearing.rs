//! What announcements, notices and answers change.

use std::collections::BTreeSet;

use sill_base::{Millis, Name};
use sill_wire::announce::AnnounceReply;
use sill_wire::member::{LeavingNotice, MemberReply};
use sill_wire::{Announcement, Incarnation};

use super::{Kind, Members, NAMED_ENTRIES, PUSHES, Push};
use crate::cfg::Weakening;
use crate::endpoints::{Source, Taken};
use crate::entries::ranked;
use crate::event::{Action, Report};

impl Members {
    pub(super) fn announced(
        &mut self,
        now: Millis,
        announcement: Announcement,
        out: &mut Vec<Action>,
    ) {
        // The domain may be another one, whose entry instances are all down.
        let name = announcement.name.clone();
        let incarnation = announcement.incarnation;
        let left = announcement.leaving;
        // Right after a start or a freeze it may have lain in a buffer for long, and a peer may know
        // better.
        let is_old_buffer = now - self.confirmation.thawed < self.cfg.buffered;
        let is_fresh = (!is_old_buffer && self.is_settled(now))
            || self.cfg.weakening == Weakening::StaleTrusted;
        let source = if is_fresh { Source::Direct } else { Source::Relayed(Millis::ZERO) };
        if left.is_none() && self.cfg.weakening == Weakening::LeavingNotSticky {
            self.endpoints.forget_leaving(&announcement);
        }
        let taken = self.endpoints.take(now, announcement, source, &self.cfg);
        if let Taken::Replaced(winner) = taken {
            let endpoint = name;
            let reason = format!("incarnation {} of this name is in use", winner.0);
            let report = Report::NameClaimedTwice { endpoint, winner, refused: incarnation };
            out.push(Action::Report(report));
            return self.accept(now, Some(reason), out);
        }
        if let Some(left) = left {
            let notice = LeavingNotice { name: name.clone(), incarnation, left };
            self.leaving_heard(now, notice, out);
        }
        self.settle(now, &name, out);
        // One who knows no peers yet can't tell them; the endpoint has to tell another one.
        let untold = left.is_some() && !self.is_settled(now);
        let reason = untold.then(|| "no peer of the failure domain was heard yet".to_owned());
        self.accept(now, reason, out);
    }

    /// Takes in that an endpoint says it is leaving, and tells all peers at once.
    ///
    /// A peer that learns it by the next question only would send new work for seconds. The one who
    /// heard it from the endpoint tells all; where it dies before, the endpoint tells another one.
    pub(super) fn leaving_heard(
        &mut self,
        now: Millis,
        notice: LeavingNotice,
        out: &mut Vec<Action>,
    ) {
        self.endpoints.note_leaving(now, &notice);
        let key = (notice.name, notice.incarnation);
        if self.pushes.contains_key(&key) {
            return;
        }
        self.pushes.insert(key, Push { acknowledged: BTreeSet::new(), left: PUSHES });
        if now >= self.next_push {
            self.push_leaving(now, out);
        }
    }

    pub(super) fn accept(&self, now: Millis, reason: Option<String>, out: &mut Vec<Action>) {
        let others = ranked(&self.own.name, self.domain(now));
        let named = others.into_iter().take(NAMED_ENTRIES).map(|info| info.address.clone());
        let accepted = reason.is_none();
        out.push(Action::Accept(AnnounceReply { accepted, reason, entries: named.collect() }));
    }

    pub(super) fn answered(
        &mut self,
        now: Millis,
        id: u64,
        reply: MemberReply,
        out: &mut Vec<Action>,
    ) {
        let Some(question) = self.questions.remove(&id) else { return };
        // The news may have been on the way for the whole time since the question.
        let transit = match self.cfg.weakening {
            Weakening::TransitIgnored => Millis::ZERO,
            _ => now - question.asked,
        };
        for summary in reply.summaries {
            let is_whole = !question.wanted;
            self.foreign.take(now, summary, transit, is_whole, &self.cfg, out);
        }
        if reply.from.domain != self.own.domain {
            return self.foreign.note_contact(now, &reply.from);
        }
        if reply.from.name == self.own.name {
            return;
        }
        for notice in &reply.leaving {
            self.take_notice(now, notice, out);
        }
        if let Kind::Push(keys) = &question.kind {
            self.acknowledge(&question.peer, keys);
        }
        self.entries.note_answer(&reply.from.name);
        self.entries.take(now, reply.from, transit, out);
        for entry in reply.entries.into_iter().filter(|e| e.info.name != self.own.name) {
            self.entries.take(now, entry.info, entry.age + transit, out);
        }
        self.entries.take_heartbeats(now, question.salt, &reply.heartbeats, transit);
        let mut touched: BTreeSet<Name> = reply.leaving.iter().map(|n| n.name.clone()).collect();
        for relayed in reply.endpoints {
            touched.insert(relayed.announcement.name.clone());
            let source = Source::Relayed(relayed.age + transit);
            self.endpoints.take(now, relayed.announcement, source, &self.cfg);
        }
        if !reply.loads.is_empty() {
            let by_mark = self.endpoints.by_mark(question.salt);
            for load in &reply.loads {
                let Some(name) = by_mark.get(&load.hash) else { continue };
                self.endpoints.take_load(now, name, load, transit);
                touched.insert(name.clone());
            }
        }
        let counts = reply.settled || now - self.confirmation.thawed >= self.cfg.unsettled;
        let is_after_thaw = question.asked >= self.confirmation.thawed;
        if matches!(question.kind, Kind::News | Kind::Probe) && counts && is_after_thaw {
            let asked = question.asked;
            let confirmed = self.confirmation.confirmed.map_or(asked, |before| before.max(asked));
            self.confirmation.confirmed = Some(confirmed);
        }
        for name in &touched {
            self.settle(now, name, out);
        }
    }

    pub(super) fn take_notice(
        &mut self,
        now: Millis,
        notice: &LeavingNotice,
        out: &mut Vec<Action>,
    ) {
        if self.endpoints.note_leaving(now, notice) {
            self.settle(now, &notice.name, out);
        }
    }

    pub(super) fn acknowledge(&mut self, peer: &Name, keys: &[(Name, Incarnation)]) {
        for key in keys {
            if let Some(push) = self.pushes.get_mut(key) {
                push.acknowledged.insert(peer.clone());
            }
        }
    }

    pub(super) fn failed(&mut self, now: Millis, id: u64, out: &mut Vec<Action>) {
        let Some(question) = self.questions.remove(&id) else { return };
        match question.kind {
            Kind::News => {
                self.entries.note_failure(now, &question.peer);
                // Waiting for the next turn would leave this instance without confirmation.
                if self.retries > 0 {
                    self.retries -= 1;
                    self.ask_for_news(now, out);
                }
            }
            Kind::Summary => self.foreign.note_failure(&question.peer),
            Kind::Probe | Kind::Push(_) => {}
        }
    }
}
