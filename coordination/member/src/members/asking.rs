//! What is asked of peers and pushed to them, by the tick.

use std::collections::BTreeMap;

use rand::Rng as _;
use sill_base::{Millis, Name};
use sill_wire::member::{Digest, MemberSync};
use sill_wire::{Announcement, Incarnation};

use super::{FIRST_PROBES, Kind, Members, QUESTION_LIMIT, Question, RETRIES};
use crate::cfg::Weakening;
use crate::endpoints::{Confirmation, free_slots, served_name};
use crate::event::{Action, Report};

impl Members {
    pub(super) fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.entries.expire(now, &self.cfg, out);
        self.confirmation.is_alone = self.entries.is_empty();
        self.foreign.expire(now, out);
        self.questions.retain(|_, q| now - q.asked <= QUESTION_LIMIT);
        if now >= self.next_ask {
            self.next_ask = now + self.cfg.ask_every;
            self.own.sequence += 1;
            self.retries = RETRIES;
            self.ask_for_news(now, out);
            self.probe(now, out);
            self.ask_other_domains(now, out);
        }
        if now >= self.next_push {
            self.push_leaving(now, out);
        }
        let Self { endpoints, confirmation, cfg, .. } = self;
        endpoints.settle_all(now, confirmation, cfg, out);
        out.push(Action::Trust { until: now + self.cfg.trust_for });
    }

    /// Notices that this process did not run, as after a SIGSTOP or a move of its machine.
    ///
    /// Others may have heard of a leaving endpoint meanwhile, and what now comes out of buffers
    /// may be from before. Without the doubt, requests would go to endpoints long gone.
    pub(super) fn check_frozen(&mut self, now: Millis, out: &mut Vec<Action>) {
        let span = self.last_step.map_or(Millis::ZERO, |last| now - last);
        let started = self.last_step.is_none();
        self.last_step = Some(now);
        if started {
            self.confirmation = Confirmation { thawed: now, confirmed: None, is_alone: true };
        } else if span > self.cfg.frozen_after && self.cfg.weakening != Weakening::StaleTrusted {
            self.confirmation = Confirmation { thawed: now, confirmed: None, is_alone: true };
            self.endpoints.distrust();
            self.next_ask = now;
            out.push(Action::Report(Report::Frozen { span }));
            let Self { endpoints, confirmation, cfg, .. } = self;
            endpoints.settle_all(now, confirmation, cfg, out);
        }
    }

    pub(super) fn ask_for_news(&mut self, now: Millis, out: &mut Vec<Action>) {
        let askable = self.entries.askable(now, &self.cfg);
        if askable.is_empty() {
            return;
        }
        let peer = askable[self.rng.random_range(0..askable.len())].clone();
        let digest = self.digest(now);
        let mut sync = self.question(Some(digest));
        if now >= self.next_summary_ask {
            self.next_summary_ask = now + self.cfg.summary_ask_every;
            sync.summaries = Some(self.foreign.held(now));
        }
        self.ask(now, peer, sync, Kind::News, out);
    }

    /// Tries one address behind which a new or returned peer may be.
    pub(super) fn probe(&mut self, now: Millis, out: &mut Vec<Action>) {
        let is_placed = |address: &Name| {
            self.entries.has_address(now, &self.cfg, address)
                || self.foreign.has_address(address)
                || *address == self.own.peer_address
        };
        let unplaced = self.cfg.seeds.iter().filter(|a| !is_placed(a));
        let addresses: Vec<Name> = unplaced.chain(self.entries.suspected()).cloned().collect();
        let at_once = if self.confirmation.confirmed.is_none() { FIRST_PROBES } else { 1 };
        for _ in 0..at_once.min(addresses.len()) {
            self.next_probe = (self.next_probe + 1) % addresses.len();
            let peer = addresses[self.next_probe].clone();
            let digest = self.digest(now);
            let sync = self.question(Some(digest));
            self.ask(now, peer, sync, Kind::Probe, out);
        }
    }

    pub(super) fn ask_other_domains(&mut self, now: Millis, out: &mut Vec<Action>) {
        let is_gateway = || self.gateways(now).iter().any(|g| g.name == self.own.name);
        if now >= self.next_summary && is_gateway() {
            self.next_summary = now + self.cfg.summary_every;
            if let Some(peer) = self.foreign.next_contact() {
                self.ask(now, peer, self.question(None), Kind::Summary, out);
            }
        }
        let wants = self.needed();
        if wants.is_empty() {
            return;
        }
        if let Some(peer) = self.foreign.contact_with(now, &wants) {
            let holds = self.foreign.holds();
            let sync = MemberSync { wants, holds, ..self.question(None) };
            self.ask(now, peer, sync, Kind::Summary, out);
        }
    }

    /// Returns what the settings name and no endpoint of the domain has a free slot for.
    pub(super) fn needed(&self) -> Vec<Name> {
        let has_free = |name: &Name| {
            let serves = |a: &Announcement| a.serves.iter().any(|s| served_name(s) == name);
            self.endpoints.ready().any(|a| free_slots(a) > 0 && serves(a))
        };
        self.wanted.iter().filter(|name| !has_free(name)).cloned().collect()
    }

    pub(super) fn push_leaving(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.cfg.weakening == Weakening::LeavingNotPushed {
            self.pushes.clear();
        }
        // Those done stay until the life is forgotten, or each announcement would start them anew.
        let endpoints = &self.endpoints;
        self.pushes.retain(|(name, life), _| endpoints.is_leaving(name, *life));
        let live = self.entries.live(now, &self.cfg);
        let peers: Vec<Name> = live.iter().map(|info| info.peer_address.clone()).collect();
        let mut by_peer: BTreeMap<Name, Vec<(Name, Incarnation)>> = BTreeMap::new();
        for (key, push) in self.pushes.iter_mut().filter(|(_, p)| p.left > 0) {
            push.left -= 1;
            for peer in peers.iter().filter(|p| !push.acknowledged.contains(*p)) {
                by_peer.entry(peer.clone()).or_default().push(key.clone());
            }
        }
        if !by_peer.is_empty() {
            self.next_push = now + self.cfg.push_every;
        }
        for (peer, keys) in by_peer {
            let notices = keys.iter().filter_map(|(name, _)| self.endpoints.notice(now, name));
            let leaving = notices.collect();
            let sync = MemberSync { leaving, ..self.question(None) };
            self.ask(now, peer, sync, Kind::Push(keys), out);
        }
    }

    pub(super) fn digest(&mut self, now: Millis) -> Digest {
        let mut digest = Digest { salt: u64::from(self.rng.random::<u16>()), ..Digest::default() };
        self.mark_all(now, &mut digest);
        digest
    }

    pub(super) fn mark_all(&self, now: Millis, digest: &mut Digest) {
        self.entries.mark(now, &self.cfg, digest);
        self.endpoints.mark(now, &self.cfg, digest);
    }

    pub(super) fn question(&self, digest: Option<Digest>) -> MemberSync {
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

    pub(super) fn ask(
        &mut self,
        now: Millis,
        peer: Name,
        sync: MemberSync,
        kind: Kind,
        out: &mut Vec<Action>,
    ) {
        let id = self.next_question;
        self.next_question += 1;
        let salt = sync.digest.as_ref().map_or(0, |digest| digest.salt);
        let wanted = !sync.wants.is_empty();
        let question = Question { peer: peer.clone(), asked: now, kind, salt, wanted };
        self.questions.insert(id, question);
        out.push(Action::Ask { id, peer, sync });
    }
}
