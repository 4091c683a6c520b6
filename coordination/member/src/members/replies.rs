//! Replies to requests of peers.

use std::collections::BTreeMap;

use sill_base::{Millis, Name};
use sill_wire::Announcement;
use sill_wire::member::{
    Digest, DomainCapacity, DomainSummary, EndpointIncarnation, MemberReply, MemberSync,
};

use super::{MAX_SUMMARY_CONTACTS, Members, RequestKind, empty_capacity};
use crate::digest::{self, DigestIndex, FactKind};
use crate::endpoints::{free_slots, served_name};
use crate::entries::{content_hash, rank};
use crate::event::Action;

impl Members {
    pub(super) fn handle_request(&mut self, now: Millis, sync: MemberSync, out: &mut Vec<Action>) {
        let is_own_domain = sync.from.domain == self.own.domain;
        for notice in &sync.leaving {
            self.apply_notice(now, notice, out);
        }
        if is_own_domain && sync.from.name != self.own.name {
            self.entries.apply(now, sync.from.clone(), Millis::ZERO, out);
        } else if !is_own_domain {
            self.foreign.record_contact(now, &sync.from);
        }
        let reply = self.build_reply(now, &sync, is_own_domain);
        out.push(Action::Reply(Box::new(reply)));
        if is_own_domain && sync.from.name != self.own.name {
            self.sync_back(now, &sync, out);
        }
    }

    /// Sends a gossip request back to a peer if its digest has newer facts, or if a confirmation is
    /// needed here.
    ///
    /// With requests to random peers alone, new facts at an instance would wait until another one
    /// happens to choose it, which over a third of the time none does in an interval. The number
    /// of requests sent back is not limited: a limit kept new facts at one instance for longer than
    /// the lease.
    pub(super) fn sync_back(&mut self, now: Millis, sync: &MemberSync, out: &mut Vec<Action>) {
        let Some(digest) = &sync.digest else { return };
        if sync.is_reply {
            return;
        }
        let is_syncing = self.pending.values().any(|r| r.kind == RequestKind::Sync);
        let needs_confirmation = self.confirmation.confirmed_at.is_none() && !is_syncing;
        let mut own_digest = Digest { salt: digest.salt, ..Digest::default() };
        self.append_facts(now, &mut own_digest);
        let own = &self.own;
        let (incarnation, sequence) = (own.incarnation, own.sequence);
        digest::append_fact(
            &mut own_digest,
            FactKind::Entry,
            &own.name,
            incarnation,
            content_hash(own),
            sequence,
        );
        if needs_confirmation
            || DigestIndex::parse(digest).is_ahead_of(&DigestIndex::parse(&own_digest))
        {
            let digest = self.new_digest(now);
            let request = MemberSync { is_reply: true, ..self.new_request(Some(digest)) };
            self.send_request(now, sync.from.peer_address.clone(), request, RequestKind::Sync, out);
        }
    }

    pub(super) fn build_reply(
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
            reply.summaries.push(self.build_summary(now, &sync.wants, &sync.holds));
            return reply;
        }
        if let Some(digest) = &sync.digest {
            let index = DigestIndex::parse(digest);
            reply.entries = self.entries.missing_from(now, &self.cfg, &index);
            reply.entries.retain(|e| e.info.name != sync.from.name);
            reply.heartbeats = self.entries.newer_heartbeats(now, &self.cfg, &index);
            reply.endpoints = self.endpoints.missing_from(now, &self.cfg, &index);
            reply.loads = self.endpoints.newer_loads(now, &self.cfg, &index);
            reply.leaving = self.endpoints.missing_notices(now, &index);
        }
        if let Some(held) = &sync.summaries {
            reply.summaries = self.foreign.newer_summaries(now, held);
        }
        reply
    }

    /// Returns whether replies of this instance may confirm the facts that a peer knows.
    pub(super) fn is_settled(&self, now: Millis) -> bool {
        self.confirmation.confirmed_at.is_some()
            || now - self.confirmation.resumed_at >= self.cfg.settle_timeout
    }

    /// Returns a summary of the own domain.
    ///
    /// It covers the requested models and services, or all of them without offers if none are
    /// requested. Endpoints that the requester already holds are only confirmed.
    pub(super) fn build_summary(
        &mut self,
        now: Millis,
        requested: &[Name],
        held: &[EndpointIncarnation],
    ) -> DomainSummary {
        self.summary_sequence += 1;
        let mut by_name: BTreeMap<Name, DomainCapacity> = BTreeMap::new();
        let mut ready: Vec<&Announcement> = self.endpoints.ready().collect();
        ready.sort_by_key(|a| (std::cmp::Reverse(free_slots(a)), a.name.clone()));
        let mut still_free = Vec::new();
        for announcement in ready {
            let (name, incarnation) = (announcement.name.clone(), announcement.incarnation);
            let offer = EndpointIncarnation { name, incarnation };
            let is_free = free_slots(announcement) > 0;
            let is_held = is_free && held.contains(&offer);
            if is_held {
                still_free.push(offer);
            }
            let served = announcement.serves.iter().map(served_name);
            for name in served.filter(|name| requested.is_empty() || requested.contains(name)) {
                let capacity = by_name.entry(name.clone()).or_insert_with(|| empty_capacity(name));
                capacity.slots += announcement.slots;
                capacity.free_slots += free_slots(announcement);
                let may_offer =
                    !requested.is_empty() && capacity.endpoints.len() < self.cfg.max_offers;
                if may_offer && is_free && !is_held {
                    capacity.endpoints.push(announcement.clone());
                }
            }
        }
        // Endpoints that the requester holds count towards the maximum number of offers.
        for capacity in by_name.values_mut() {
            let spare = self.cfg.max_offers.saturating_sub(still_free.len());
            capacity.endpoints.truncate(spare);
        }
        let contacts =
            rank("gateway", self.live_entries(now)).into_iter().take(MAX_SUMMARY_CONTACTS);
        DomainSummary {
            domain: self.own.domain.clone(),
            sequence: self.summary_sequence,
            author: self.own.name.clone(),
            entries: contacts.map(|info| info.peer_address.clone()).collect(),
            age: Millis::ZERO,
            capacity: by_name.into_values().collect(),
            held_with_free_slots: still_free,
        }
    }
}
