//! Timer ticks, and the requests and pushes that they send to peers.

use std::collections::BTreeMap;

use rand::Rng as _;
use sill_base::{Millis, Name};
use sill_wire::member::{Digest, MemberSync};
use sill_wire::{Announcement, Incarnation};

use super::{
    INITIAL_PROBES, MAX_SYNC_RETRIES, Members, PendingRequest, REQUEST_RETENTION, RequestKind,
};
use crate::cfg::Weakening;
use crate::endpoints::{Confirmation, free_slots, served_name};
use crate::event::{Action, Report};

impl Members {
    pub(super) fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.entries.expire(now, &self.cfg, out);
        self.confirmation.is_alone = self.entries.is_empty();
        self.foreign.expire(now, out);
        self.pending.retain(|_, r| now - r.sent_at <= REQUEST_RETENTION);
        if now >= self.next_sync {
            self.next_sync = now + self.cfg.sync_interval;
            self.own.sequence += 1;
            self.retries_left = MAX_SYNC_RETRIES;
            self.sync_with_peer(now, out);
            self.probe_addresses(now, out);
            self.query_other_domains(now, out);
        }
        if now >= self.next_push {
            self.push_notices(now, out);
        }
        let Self { endpoints, confirmation, cfg, .. } = self;
        endpoints.update_router_all(now, confirmation, cfg, out);
        out.push(Action::AllowRouting { until: now + self.cfg.routing_lease });
    }

    /// Detects that this process did not run for a while, as after a SIGSTOP or a live migration of
    /// its machine.
    ///
    /// Meanwhile peers may have received leaving notices, and messages that are now read from
    /// buffers may be old. If the known endpoints were used without a new confirmation, requests
    /// would be sent to endpoints that are long gone.
    pub(super) fn detect_freeze(&mut self, now: Millis, out: &mut Vec<Action>) {
        let span = self.last_step.map_or(Millis::ZERO, |last| now - last);
        let is_first_step = self.last_step.is_none();
        self.last_step = Some(now);
        if is_first_step {
            self.confirmation =
                Confirmation { resumed_at: now, confirmed_at: None, is_alone: true };
        } else if span > self.cfg.freeze_threshold && self.cfg.weakening != Weakening::StaleTrusted
        {
            self.confirmation =
                Confirmation { resumed_at: now, confirmed_at: None, is_alone: true };
            self.endpoints.clear_direct();
            self.next_sync = now;
            out.push(Action::Report(Report::Frozen { span }));
            let Self { endpoints, confirmation, cfg, .. } = self;
            endpoints.update_router_all(now, confirmation, cfg, out);
        }
    }

    /// Sends a gossip request to a random peer of the own domain.
    pub(super) fn sync_with_peer(&mut self, now: Millis, out: &mut Vec<Action>) {
        let candidates = self.entries.sync_candidates(now, &self.cfg);
        if candidates.is_empty() {
            return;
        }
        let peer = candidates[self.rng.random_range(0..candidates.len())].clone();
        let digest = self.new_digest(now);
        let mut sync = self.new_request(Some(digest));
        if now >= self.next_summary_sync {
            self.next_summary_sync = now + self.cfg.summary_sync_interval;
            sync.summaries = Some(self.foreign.summary_ages(now));
        }
        self.send_request(now, peer, sync, RequestKind::Sync, out);
    }

    /// Probes addresses that may belong to a new or recovered peer: one, or [`INITIAL_PROBES`]
    /// while no peer has confirmed the facts known here.
    pub(super) fn probe_addresses(&mut self, now: Millis, out: &mut Vec<Action>) {
        let is_known = |address: &Name| {
            self.entries.has_live_address(now, &self.cfg, address)
                || self.foreign.has_address(address)
                || *address == self.own.peer_address
        };
        let unknown = self.cfg.seeds.iter().filter(|a| !is_known(a));
        let addresses: Vec<Name> =
            unknown.chain(self.entries.suspect_addresses()).cloned().collect();
        let max_probes = if self.confirmation.confirmed_at.is_none() { INITIAL_PROBES } else { 1 };
        for _ in 0..max_probes.min(addresses.len()) {
            self.probe_index = (self.probe_index + 1) % addresses.len();
            let peer = addresses[self.probe_index].clone();
            let digest = self.new_digest(now);
            let sync = self.new_request(Some(digest));
            self.send_request(now, peer, sync, RequestKind::Probe, out);
        }
    }

    /// Requests a summary from the next other domain if this instance is a gateway, and offers for
    /// models and services without free slots in the own domain.
    pub(super) fn query_other_domains(&mut self, now: Millis, out: &mut Vec<Action>) {
        let is_gateway = || self.gateways(now).iter().any(|g| g.name == self.own.name);
        if now >= self.next_summary && is_gateway() {
            self.next_summary = now + self.cfg.summary_interval;
            if let Some(peer) = self.foreign.next_contact() {
                self.send_request(now, peer, self.new_request(None), RequestKind::Summary, out);
            }
        }
        let wants = self.services_without_slots();
        if wants.is_empty() {
            return;
        }
        if let Some(peer) = self.foreign.contact_for(now, &wants) {
            let holds = self.foreign.held_offers();
            let sync = MemberSync { wants, holds, ..self.new_request(None) };
            self.send_request(now, peer, sync, RequestKind::Summary, out);
        }
    }

    /// Returns the models and services of the settings for which no ready endpoint of the own
    /// domain has a free slot.
    pub(super) fn services_without_slots(&self) -> Vec<Name> {
        let has_free = |name: &Name| {
            let serves = |a: &Announcement| a.serves.iter().any(|s| served_name(s) == name);
            self.endpoints.ready().any(|a| free_slots(a) > 0 && serves(a))
        };
        self.services.iter().filter(|name| !has_free(name)).cloned().collect()
    }

    /// Pushes leaving notices to all live peers that have not acknowledged them.
    pub(super) fn push_notices(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.cfg.weakening == Weakening::LeavingNotPushed {
            self.pushes.clear();
        }
        // Finished pushes stay as long as their leaving notice; otherwise each announcement of the
        // leaving endpoint would start them again.
        let endpoints = &self.endpoints;
        self.pushes.retain(|(name, incarnation), _| endpoints.is_leaving(name, *incarnation));
        let live = self.entries.live(now, &self.cfg);
        let peers: Vec<Name> = live.iter().map(|info| info.peer_address.clone()).collect();
        let mut by_peer: BTreeMap<Name, Vec<(Name, Incarnation)>> = BTreeMap::new();
        for (key, push) in self.pushes.iter_mut().filter(|(_, p)| p.pushes_left > 0) {
            push.pushes_left -= 1;
            for peer in peers.iter().filter(|p| !push.acknowledged_by.contains(*p)) {
                by_peer.entry(peer.clone()).or_default().push(key.clone());
            }
        }
        if !by_peer.is_empty() {
            self.next_push = now + self.cfg.push_interval;
        }
        for (peer, keys) in by_peer {
            let notices =
                keys.iter().filter_map(|(name, _)| self.endpoints.leaving_notice(now, name));
            let leaving = notices.collect();
            let sync = MemberSync { leaving, ..self.new_request(None) };
            self.send_request(now, peer, sync, RequestKind::Push(keys), out);
        }
    }

    /// Returns a digest of all facts known here, with a random salt.
    pub(super) fn new_digest(&mut self, now: Millis) -> Digest {
        let mut digest = Digest { salt: u64::from(self.rng.random::<u16>()), ..Digest::default() };
        self.append_facts(now, &mut digest);
        digest
    }

    pub(super) fn append_facts(&self, now: Millis, digest: &mut Digest) {
        self.entries.append_to(now, &self.cfg, digest);
        self.endpoints.append_to(now, &self.cfg, digest);
    }

    pub(super) fn new_request(&self, digest: Option<Digest>) -> MemberSync {
        let from = self.own.clone();
        MemberSync {
            from,
            digest,
            is_reply: false,
            leaving: Vec::new(),
            summaries: None,
            wants: Vec::new(),
            holds: Vec::new(),
        }
    }

    /// Emits the action that sends a request, and records it as pending.
    pub(super) fn send_request(
        &mut self,
        now: Millis,
        peer: Name,
        sync: MemberSync,
        kind: RequestKind,
        out: &mut Vec<Action>,
    ) {
        let id = self.next_request_id;
        self.next_request_id += 1;
        let salt = sync.digest.as_ref().map_or(0, |digest| digest.salt);
        let is_filtered = !sync.wants.is_empty();
        let pending = PendingRequest { peer: peer.clone(), sent_at: now, kind, salt, is_filtered };
        self.pending.insert(id, pending);
        out.push(Action::SendRequest { id, peer, sync });
    }
}
