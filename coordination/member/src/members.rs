//! The membership core of one entry instance.

mod replies;
mod requests;
mod updates;

use std::collections::{BTreeMap, BTreeSet};

use sill_base::random::{Rng, seeded};
use sill_base::{Machine, Millis, Name};
use sill_wire::member::{DomainCapacity, EntryInfo};
use sill_wire::{Announcement, Incarnation};

use crate::cfg::MemberCfg;
use crate::endpoints::{Confirmation, EndpointTable};
use crate::entries::{EntryTable, rank};
use crate::event::{Action, Event};
use crate::foreign::ForeignDomains;

/// Maximum number of immediate retries with another peer per sync interval, after failed gossip
/// requests.
const MAX_SYNC_RETRIES: u32 = 3;

/// Maximum number of pushes of a leaving notice to a peer. A peer that acknowledged none of them
/// gets the notice by its own gossip requests.
const MAX_PUSHES: u32 = 15;

/// Maximum number of addresses probed at once while no peer has confirmed the facts known here.
const INITIAL_PROBES: usize = 8;

/// Time after which a request without a reported outcome is removed.
const REQUEST_RETENTION: Millis = Millis(60_000);

/// Maximum number of entry instances in a summary, over which other domains spread their requests.
const MAX_SUMMARY_CONTACTS: usize = 8;

/// Maximum number of entry instances in the reply to an endpoint's announcement.
const MAX_ANNOUNCE_ENTRIES: usize = 4;

/// The lowest time that a caller may pass to the core.
///
/// The core stores the times of facts as points before now. With a clock that starts at zero, they
/// would saturate at zero after a restart, and an old fact would look new.
pub const CLOCK_START: Millis = Millis(86_400_000);

/// The view that one entry instance has of live, leaving and replaced members.
///
/// The times passed to it must not be below [`CLOCK_START`].
#[derive(Debug)]
pub struct Members {
    cfg: MemberCfg,
    own: EntryInfo,
    rng: Rng,
    endpoints: EndpointTable,
    entries: EntryTable,
    foreign: ForeignDomains,
    confirmation: Confirmation,
    pending: BTreeMap<u64, PendingRequest>,
    pushes: BTreeMap<(Name, Incarnation), Push>,
    /// The models and services of the settings.
    services: Vec<Name>,
    next_request_id: u64,
    last_step: Option<Millis>,
    /// Time of the next gossip request to a peer of the own domain.
    next_sync: Millis,
    next_push: Millis,
    /// Time of the next summary request to another domain, if this instance is a gateway.
    next_summary: Millis,
    /// Time of the next gossip request that also asks for summaries.
    next_summary_sync: Millis,
    /// Index of the address that was probed last.
    probe_index: usize,
    /// Retries left in the current sync interval.
    retries_left: u32,
    /// Sequence number of the last summary of the own domain.
    summary_sequence: u64,
}

/// A request in flight.
#[derive(Debug)]
struct PendingRequest {
    peer: Name,
    sent_at: Millis,
    kind: RequestKind,
    /// Salt of its digest, with which the reply hashes facts.
    salt: u64,
    /// Whether it asks only for certain models and services.
    is_filtered: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum RequestKind {
    /// Gossip with a peer of the own failure domain.
    Sync,
    /// Gossip with an unknown or suspected instance behind an address.
    Probe,
    /// Push of leaving notices.
    Push(Vec<(Name, Incarnation)>),
    /// Request for the summary of another failure domain.
    Summary,
}

/// The state of pushing a leaving notice to all peers.
#[derive(Debug)]
struct Push {
    /// Peer addresses that acknowledged the notice.
    acknowledged_by: BTreeSet<Name>,
    pushes_left: u32,
}

impl Members {
    /// Creates a core that knows only its own instance.
    pub fn new(cfg: MemberCfg) -> Self {
        Self {
            own: cfg.own.clone(),
            rng: seeded(cfg.seed),
            endpoints: EndpointTable::default(),
            entries: EntryTable::default(),
            foreign: ForeignDomains::new(&cfg.own.name),
            confirmation: Confirmation {
                resumed_at: Millis::ZERO,
                confirmed_at: None,
                is_alone: true,
            },
            pending: BTreeMap::new(),
            pushes: BTreeMap::new(),
            services: Vec::new(),
            next_request_id: 1,
            last_step: None,
            next_sync: Millis::ZERO,
            next_push: Millis::ZERO,
            next_summary: Millis::ZERO,
            next_summary_sync: Millis::ZERO,
            probe_index: 0,
            retries_left: 0,
            summary_sequence: 0,
            cfg,
        }
    }

    /// Returns the report that this instance sends to peers about itself.
    pub fn own(&self) -> &EntryInfo {
        &self.own
    }

    /// Returns the other entry instances of the failure domain that are live and not leaving.
    pub fn peers_of_domain(&self, now: Millis) -> Vec<EntryInfo> {
        self.entries.live(now, &self.cfg).into_iter().cloned().collect()
    }

    /// Returns the home of a key: the entry instance of the domain, possibly this one, that keeps
    /// the state of the key. Instances that know the same live instances return the same home.
    pub fn home_for(&self, now: Millis, key: &str) -> Option<EntryInfo> {
        rank(key, self.live_entries(now)).first().map(|info| (*info).clone())
    }

    /// Returns the peer addresses of the domain's live entry instances, ranked by a key, and the
    /// index of this instance among them. If this instance is leaving, the index is their number.
    pub fn ranking(&self, now: Millis, key: &str) -> (Vec<Name>, usize) {
        let ranked = rank(key, self.live_entries(now));
        let index = ranked.iter().position(|info| info.name == self.own.name);
        let addresses: Vec<Name> = ranked.iter().map(|info| info.peer_address.clone()).collect();
        let index = index.unwrap_or(addresses.len());
        (addresses, index)
    }

    /// Returns the entry instances of the domain that exchange summaries with other domains.
    pub fn gateways(&self, now: Millis) -> Vec<EntryInfo> {
        let ranked = rank("gateway", self.live_entries(now));
        ranked.into_iter().take(self.cfg.gateway_count).cloned().collect()
    }

    /// Returns the peer address of the entry instance that aggregates the figures of a domain.
    pub fn aggregator(&self, now: Millis, domain: &str) -> Option<Name> {
        if domain == self.own.domain.as_str() {
            return self.gateways(now).first().map(|info| info.peer_address.clone());
        }
        self.foreign.contact_of(domain)
    }

    /// Returns the names of the known failure domains, including the own one, sorted.
    pub fn domains(&self) -> Vec<Name> {
        let mut domains: Vec<Name> = self.foreign.domains().cloned().collect();
        domains.push(self.own.domain.clone());
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// Returns the endpoints of the domain that may receive requests.
    pub fn ready(&self) -> Vec<&Announcement> {
        self.endpoints.ready().collect()
    }

    /// Returns the endpoints of the domain that are leaving but not gone yet.
    pub fn leaving(&self) -> Vec<&Announcement> {
        self.endpoints.leaving().collect()
    }

    /// Returns whether this incarnation of an endpoint, or a later one, is known to be leaving.
    pub fn is_leaving(&self, name: &str, incarnation: Incarnation) -> bool {
        self.endpoints.is_leaving(name, incarnation)
    }

    /// Returns the live entry instances of the domain that are not leaving, including this one.
    fn live_entries(&self, now: Millis) -> Vec<&EntryInfo> {
        let mut live = self.entries.live(now, &self.cfg);
        if self.own.leaving.is_none() {
            live.push(&self.own);
        }
        live
    }

    fn update_router(&mut self, now: Millis, name: &Name, out: &mut Vec<Action>) {
        let Self { endpoints, confirmation, cfg, .. } = self;
        endpoints.update_router(now, name, confirmation, cfg, out);
    }
}

impl Machine for Members {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.detect_freeze(now, out);
        match event {
            Event::Tick => self.tick(now, out),
            Event::Announcement(announcement) => self.handle_announcement(now, announcement, out),
            Event::PeerRequest(sync) => self.handle_request(now, sync, out),
            Event::PeerReply { id, reply } => self.handle_reply(now, id, *reply, out),
            Event::RequestFailed { id } => self.handle_failure(now, id, out),
            Event::Services(services) => self.services = services,
            Event::ShutdownStarted { left } => {
                self.own.leaving = Some(left);
                self.own.sequence += 1;
                self.next_sync = now;
            }
        }
    }
}

fn empty_capacity(name: &Name) -> DomainCapacity {
    DomainCapacity { serves: name.clone(), free_slots: 0, slots: 0, endpoints: Vec::new() }
}
