//! The membership core of one entry instance.

mod answering;
mod asking;
mod hearing;

use std::collections::{BTreeMap, BTreeSet};

use sill_base::random::{Rng, seeded};
use sill_base::{Machine, Millis, Name};
use sill_wire::member::{DomainCapacity, EntryInfo};
use sill_wire::{Announcement, Incarnation};

use crate::cfg::MemberCfg;
use crate::endpoints::{Confirmation, Endpoints};
use crate::entries::{Entries, ranked};
use crate::event::{Action, Event};
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
pub const CLOCK_START: Millis = Millis(86_400_000);

/// Who lives, who is leaving and who was replaced, as one entry instance knows it.
///
/// Its clock must not show less than [`CLOCK_START`].
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
    pub fn ranking(&self, now: Millis, key: &str) -> (Vec<Name>, usize) {
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
            Event::Announcement(announcement) => self.announced(now, announcement, out),
            Event::PeerRequest(sync) => self.asked(now, sync, out),
            Event::PeerReply { id, reply } => self.answered(now, id, *reply, out),
            Event::RequestFailed { id } => self.failed(now, id, out),
            Event::Services(wanted) => self.wanted = wanted,
            Event::ShutdownStarted { left } => {
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
