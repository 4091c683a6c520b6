//! The membership core of one entry instance.

use std::collections::{BTreeMap, BTreeSet};

use rand::Rng as _;
use sill_base::random::{Rng, seeded};
use sill_base::{Machine, Millis, Name};
use sill_wire::announce::AnnounceReply;
use sill_wire::member::{
    Digest, DomainCapacity, DomainSummary, EntryInfo, HeldOffer, LeavingNotice, MemberReply,
    MemberSync,
};
use sill_wire::{Announcement, Incarnation};

use crate::cfg::{MemberCfg, Weakening};
use crate::digest::{self, Fact, Marks};
use crate::endpoints::{Confirmation, Endpoints, Source, Taken, free_slots, served_name};
use crate::entries::{Entries, ranked, shape};
use crate::event::{Action, Event, Report};
use crate::foreign::Foreign;

/// Further peers asked at once when one does not answer, in one interval.
const RETRIES: u32 = 3;

/// Pushes of one leaving notice to one peer; later it comes by the peer's own questions.
const PUSHES: u32 = 15;

/// Unknown addresses tried at once while no peer has confirmed what is known here.
const FIRST_PROBES: usize = 8;

/// Questions without an end are forgotten after this time.
const QUESTION_LIMIT: Millis = Millis(60_000);

/// Entry instances named to other domains, over which these spread their questions.
const NAMED_CONTACTS: usize = 8;

/// Entry instances named to an endpoint.
const NAMED_ENTRIES: usize = 4;

/// The lowest time that the core may be given.
///
/// Times of facts are kept as points before now. With a clock that starts at zero they would be cut
/// off at the start, and a fact that is old at the time of a restart would look new.
pub const START: Millis = Millis(86_400_000);

/// Who lives, who is leaving and who was replaced, as one entry instance knows it.
///
/// Its clock must not show less than [`START`].
#[derive(Debug)]
pub struct Members {
    cfg: MemberCfg,
    own: EntryInfo,
    rng: Rng,
    endpoints: Endpoints,
    entries: Entries,
    foreign: Foreign,
    confirmation: Confirmation,
    questions: BTreeMap<u64, Question>,
    pushes: BTreeMap<(Name, Incarnation), Push>,
    wanted: Vec<Name>,
    next_question: u64,
    last_step: Option<Millis>,
    next_ask: Millis,
    next_push: Millis,
    next_summary: Millis,
    next_summary_ask: Millis,
    next_probe: usize,
    retries: u32,
    summaries_made: u64,
}

/// A question under way.
#[derive(Debug)]
struct Question {
    peer: Name,
    asked: Millis,
    kind: Kind,
    /// Of its digest, by which the answer names facts.
    salt: u64,
    /// Whether it asked for some models and services only.
    wanted: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Kind {
    /// For news of the own failure domain.
    News,
    /// To an address of which it is not known who is there.
    Probe,
    /// To tell that endpoints are leaving.
    Push(Vec<(Name, Incarnation)>),
    /// For the summary of another failure domain.
    Summary,
}

/// A leaving notice on its way to all peers.
#[derive(Debug)]
struct Push {
    acknowledged: BTreeSet<Name>,
    left: u32,
}

impl Members {
    /// Makes a core that knows itself only.
    pub fn new(cfg: MemberCfg) -> Self {
        Self {
            own: cfg.own.clone(),
            rng: seeded(cfg.seed),
            endpoints: Endpoints::default(),
            entries: Entries::default(),
            foreign: Foreign::new(&cfg.own.name),
            confirmation: Confirmation { thawed: Millis::ZERO, confirmed: None, is_alone: true },
            questions: BTreeMap::new(),
            pushes: BTreeMap::new(),
            wanted: Vec::new(),
            next_question: 1,
            last_step: None,
            next_ask: Millis::ZERO,
            next_push: Millis::ZERO,
            next_summary: Millis::ZERO,
            next_summary_ask: Millis::ZERO,
            next_probe: 0,
            retries: 0,
            summaries_made: 0,
            cfg,
        }
    }

    /// Returns this instance as peers see it.
    pub fn own(&self) -> &EntryInfo {
        &self.own
    }

    /// Returns the live entry instances of the failure domain, without this one.
    pub fn peers_of_domain(&self, now: Millis) -> Vec<EntryInfo> {
        self.entries.live(now, &self.cfg).into_iter().cloned().collect()
    }

    /// Returns the entry instance of the domain that keeps what belongs to a key; it may be this
    /// one. All instances that know the same live ones return the same.
    pub fn home_for(&self, now: Millis, key: &str) -> Option<EntryInfo> {
        ranked(key, self.domain(now)).first().map(|info| (*info).clone())
    }

    /// Returns the peer addresses of the domain's live entry instances in the order of a key, and
    /// the place of this one among them; that is their number where this one is leaving.
    pub fn ranked(&self, now: Millis, key: &str) -> (Vec<Name>, usize) {
        let ranked = ranked(key, self.domain(now));
        let place = ranked.iter().position(|info| info.name == self.own.name);
        let addresses: Vec<Name> = ranked.iter().map(|info| info.peer_address.clone()).collect();
        let place = place.unwrap_or(addresses.len());
        (addresses, place)
    }

    /// Returns the entry instances of the domain that speak with other domains.
    pub fn gateways(&self, now: Millis) -> Vec<EntryInfo> {
        let ranked = ranked("gateway", self.domain(now));
        ranked.into_iter().take(self.cfg.gateways).cloned().collect()
    }

    /// Returns the peer address of the entry instance that adds up figures of a failure domain.
    pub fn aggregator(&self, now: Millis, domain: &str) -> Option<Name> {
        if domain == self.own.domain.as_str() {
            return self.gateways(now).first().map(|info| info.peer_address.clone());
        }
        self.foreign.contact_of(domain)
    }

    /// Returns the failure domains that are known, with the own one.
    pub fn domains(&self) -> Vec<Name> {
        let mut domains: Vec<Name> = self.foreign.domains().cloned().collect();
        domains.push(self.own.domain.clone());
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// Returns the endpoints of the domain that requests may be sent to.
    pub fn ready(&self) -> Vec<&Announcement> {
        self.endpoints.ready().collect()
    }

    /// Returns the endpoints of the domain that are leaving and not gone.
    pub fn leaving(&self) -> Vec<&Announcement> {
        self.endpoints.leaving().collect()
    }

    /// Returns whether a life of an endpoint is known as leaving.
    pub fn is_leaving(&self, name: &str, incarnation: Incarnation) -> bool {
        self.endpoints.is_leaving(name, incarnation)
    }

    fn domain(&self, now: Millis) -> Vec<&EntryInfo> {
        let mut domain = self.entries.live(now, &self.cfg);
        if self.own.leaving.is_none() {
            domain.push(&self.own);
        }
        domain
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
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
    fn check_frozen(&mut self, now: Millis, out: &mut Vec<Action>) {
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

    fn ask_for_news(&mut self, now: Millis, out: &mut Vec<Action>) {
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
    fn probe(&mut self, now: Millis, out: &mut Vec<Action>) {
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

    fn ask_other_domains(&mut self, now: Millis, out: &mut Vec<Action>) {
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
    fn needed(&self) -> Vec<Name> {
        let has_free = |name: &Name| {
            let serves = |a: &Announcement| a.serves.iter().any(|s| served_name(s) == name);
            self.endpoints.ready().any(|a| free_slots(a) > 0 && serves(a))
        };
        self.wanted.iter().filter(|name| !has_free(name)).cloned().collect()
    }

    fn push_leaving(&mut self, now: Millis, out: &mut Vec<Action>) {
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

    fn digest(&mut self, now: Millis) -> Digest {
        let mut digest = Digest { salt: u64::from(self.rng.random::<u16>()), ..Digest::default() };
        self.mark_all(now, &mut digest);
        digest
    }

    fn mark_all(&self, now: Millis, digest: &mut Digest) {
        self.entries.mark(now, &self.cfg, digest);
        self.endpoints.mark(now, &self.cfg, digest);
    }

    fn question(&self, digest: Option<Digest>) -> MemberSync {
        let from = self.own.clone();
        MemberSync {
            from,
            digest,
            back: false,
            leaving: Vec::new(),
            summaries: None,
            wants: Vec::new(),
            holds: Vec::new(),
        }
    }

    fn ask(
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

    fn announced(&mut self, now: Millis, announcement: Announcement, out: &mut Vec<Action>) {
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
    fn leaving_heard(&mut self, now: Millis, notice: LeavingNotice, out: &mut Vec<Action>) {
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

    fn accept(&self, now: Millis, reason: Option<String>, out: &mut Vec<Action>) {
        let others = ranked(&self.own.name, self.domain(now));
        let named = others.into_iter().take(NAMED_ENTRIES).map(|info| info.address.clone());
        let accepted = reason.is_none();
        out.push(Action::Accept(AnnounceReply { accepted, reason, entries: named.collect() }));
    }

    fn asked(&mut self, now: Millis, sync: MemberSync, out: &mut Vec<Action>) {
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
    fn ask_back(&mut self, now: Millis, sync: &MemberSync, out: &mut Vec<Action>) {
        let Some(digest) = &sync.digest else { return };
        if sync.back {
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
            let question = MemberSync { back: true, ..self.question(Some(digest)) };
            self.ask(now, sync.from.peer_address.clone(), question, Kind::News, out);
        }
    }

    fn reply(&mut self, now: Millis, sync: &MemberSync, is_own_domain: bool) -> MemberReply {
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
    fn is_settled(&self, now: Millis) -> bool {
        self.confirmation.confirmed.is_some()
            || now - self.confirmation.thawed >= self.cfg.unsettled
    }

    fn summary(&mut self, now: Millis, wants: &[Name], holds: &[HeldOffer]) -> DomainSummary {
        self.summaries_made += 1;
        let mut by_name: BTreeMap<Name, DomainCapacity> = BTreeMap::new();
        let mut ready: Vec<&Announcement> = self.endpoints.ready().collect();
        ready.sort_by_key(|a| (std::cmp::Reverse(free_slots(a)), a.name.clone()));
        let mut still = Vec::new();
        for announcement in ready {
            let (name, incarnation) = (announcement.name.clone(), announcement.incarnation);
            let offer = HeldOffer { name, incarnation };
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
            still,
        }
    }

    fn answered(&mut self, now: Millis, id: u64, reply: MemberReply, out: &mut Vec<Action>) {
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
                let Some(name) = by_mark.get(&load.mark) else { continue };
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

    fn take_notice(&mut self, now: Millis, notice: &LeavingNotice, out: &mut Vec<Action>) {
        if self.endpoints.note_leaving(now, notice) {
            self.settle(now, &notice.name, out);
        }
    }

    fn acknowledge(&mut self, peer: &Name, keys: &[(Name, Incarnation)]) {
        for key in keys {
            if let Some(push) = self.pushes.get_mut(key) {
                push.acknowledged.insert(peer.clone());
            }
        }
    }

    fn failed(&mut self, now: Millis, id: u64, out: &mut Vec<Action>) {
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

    fn settle(&mut self, now: Millis, name: &Name, out: &mut Vec<Action>) {
        let Self { endpoints, confirmation, cfg, .. } = self;
        endpoints.settle(now, name, confirmation, cfg, out);
    }
}

impl Machine for Members {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.check_frozen(now, out);
        match event {
            Event::Tick => self.tick(now, out),
            Event::Announced(announcement) => self.announced(now, announcement, out),
            Event::Asked(sync) => self.asked(now, sync, out),
            Event::Answered { id, reply } => self.answered(now, id, *reply, out),
            Event::Failed { id } => self.failed(now, id, out),
            Event::Wanted(wanted) => self.wanted = wanted,
            Event::Leaving { left } => {
                self.own.leaving = Some(left);
                self.own.sequence += 1;
                self.next_ask = now;
            }
        }
    }
}

fn empty(name: &Name) -> DomainCapacity {
    DomainCapacity { serves: name.clone(), free_slots: 0, slots: 0, endpoints: Vec::new() }
}
