//! Answers to what peers and endpoints ask.

use std::collections::BTreeMap;

use sill_base::{Millis, Name};
use sill_wire::Announcement;
use sill_wire::member::{
    Digest, DomainCapacity, DomainSummary, EndpointIncarnation, MemberReply, MemberSync,
};

use super::{Kind, Members, NAMED_CONTACTS, empty};
use crate::digest::{self, Fact, Marks};
use crate::endpoints::{free_slots, served_name};
use crate::entries::{ranked, shape};
use crate::event::Action;

impl Members {
    pub(super) fn asked(&mut self, now: Millis, sync: MemberSync, out: &mut Vec<Action>) {
        let is_own_domain = sync.from.domain == self.own.domain;
        for notice in &sync.leaving {
            self.take_notice(now, notice, out);
        }
        if is_own_domain && sync.from.name != self.own.name {
            self.entries.take(now, sync.from.clone(), Millis::ZERO, out);
        } else if !is_own_domain {
            self.foreign.note_contact(now, &sync.from);
        }
        let reply = self.reply(now, &sync, is_own_domain);
        out.push(Action::Reply(Box::new(reply)));
        if is_own_domain && sync.from.name != self.own.name {
            self.ask_back(now, &sync, out);
        }
    }

    /// Asks the one who asks, where its digest shows news or it can confirm what is known here.
    ///
    /// With questions to random peers alone, news at one instance would wait until somebody happens
    /// to ask it, which over a third of the time nobody does in an interval. Each question is asked
    /// back, for a limit here has kept news at one instance for longer than the lease.
    pub(super) fn ask_back(&mut self, now: Millis, sync: &MemberSync, out: &mut Vec<Action>) {
        let Some(digest) = &sync.digest else { return };
        if sync.is_reply {
            return;
        }
        let is_asking = self.questions.values().any(|q| q.kind == Kind::News);
        let unconfirmed = self.confirmation.confirmed.is_none() && !is_asking;
        let mut mine = Digest { salt: digest.salt, ..Digest::default() };
        self.mark_all(now, &mut mine);
        let own = &self.own;
        let (life, sequence) = (own.incarnation, own.sequence);
        digest::mark(&mut mine, Fact::Entry, &own.name, life, shape(own), sequence);
        if unconfirmed || Marks::read(digest).is_ahead_of(&Marks::read(&mine)) {
            let digest = self.digest(now);
            let question = MemberSync { is_reply: true, ..self.question(Some(digest)) };
            self.ask(now, sync.from.peer_address.clone(), question, Kind::News, out);
        }
    }

    pub(super) fn reply(
        &mut self,
        now: Millis,
        sync: &MemberSync,
        is_own_domain: bool,
    ) -> MemberReply {
        let mut reply = MemberReply {
            from: self.own.clone(),
            settled: self.is_settled(now),
            entries: Vec::new(),
            heartbeats: Vec::new(),
            endpoints: Vec::new(),
            loads: Vec::new(),
            leaving: Vec::new(),
            summaries: Vec::new(),
        };
        if !is_own_domain {
            reply.summaries.push(self.summary(now, &sync.wants, &sync.holds));
            return reply;
        }
        if let Some(digest) = &sync.digest {
            let marks = Marks::read(digest);
            reply.entries = self.entries.whole(now, &self.cfg, &marks);
            reply.entries.retain(|e| e.info.name != sync.from.name);
            reply.heartbeats = self.entries.heartbeats(now, &self.cfg, &marks);
            reply.endpoints = self.endpoints.whole(now, &self.cfg, &marks);
            reply.loads = self.endpoints.loads(now, &self.cfg, &marks);
            reply.leaving = self.endpoints.notices(now, &marks);
        }
        if let Some(held) = &sync.summaries {
            reply.summaries = self.foreign.younger(now, held);
        }
        reply
    }

    /// Returns whether what this instance knows may confirm what a peer knows.
    pub(super) fn is_settled(&self, now: Millis) -> bool {
        self.confirmation.confirmed.is_some()
            || now - self.confirmation.thawed >= self.cfg.unsettled
    }

    pub(super) fn summary(
        &mut self,
        now: Millis,
        wants: &[Name],
        holds: &[EndpointIncarnation],
    ) -> DomainSummary {
        self.summaries_made += 1;
        let mut by_name: BTreeMap<Name, DomainCapacity> = BTreeMap::new();
        let mut ready: Vec<&Announcement> = self.endpoints.ready().collect();
        ready.sort_by_key(|a| (std::cmp::Reverse(free_slots(a)), a.name.clone()));
        let mut still = Vec::new();
        for announcement in ready {
            let (name, incarnation) = (announcement.name.clone(), announcement.incarnation);
            let offer = EndpointIncarnation { name, incarnation };
            let is_free = free_slots(announcement) > 0;
            let is_held = is_free && holds.contains(&offer);
            if is_held {
                still.push(offer);
            }
            let served = announcement.serves.iter().map(served_name);
            for name in served.filter(|name| wants.is_empty() || wants.contains(name)) {
                let capacity = by_name.entry(name.clone()).or_insert_with(|| empty(name));
                capacity.slots += announcement.slots;
                capacity.free_slots += free_slots(announcement);
                let offers = !wants.is_empty() && capacity.endpoints.len() < self.cfg.offered;
                if offers && is_free && !is_held {
                    capacity.endpoints.push(announcement.clone());
                }
            }
        }
        // What is held counts towards the number offered.
        for capacity in by_name.values_mut() {
            let spare = self.cfg.offered.saturating_sub(still.len());
            capacity.endpoints.truncate(spare);
        }
        let named = ranked("gateway", self.domain(now)).into_iter().take(NAMED_CONTACTS);
        DomainSummary {
            domain: self.own.domain.clone(),
            sequence: self.summaries_made,
            author: self.own.name.clone(),
            entries: named.map(|info| info.peer_address.clone()).collect(),
            age: Millis::ZERO,
            capacity: by_name.into_values().collect(),
            held_with_free_slots: still,
        }
    }
}
