//! Membership of the entry instance: the membership core behind a lock, with its timer and its
//! calls to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use sill_base::{Clock, Machine, Millis, Name, event};
use sill_member::{Action, CLOCK_START, Event, MemberCfg, Members, Report};
use sill_net::{PeerClient, PeerError};
use sill_wire::announce::AnnounceReply;
use sill_wire::control::Revision;
use sill_wire::member::{EntryInfo, MemberReply, MemberSync};
use sill_wire::{Announcement, Incarnation};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::cfg::EntryCfg;
use crate::daemon::Shared;
use crate::routing::Routing;

/// Time between two ticks of the core.
const TICK: Millis = Millis(200);

/// How long a peer has to answer; after that the core asks another one.
const REQUEST_TIMEOUT: Millis = Millis(800);

/// Most peer clients kept; when there are more, all are dropped and created again on use.
const MAX_CLIENTS: usize = 1024;

/// Entry instances and endpoints that are live, leaving or replaced.
#[derive(Debug)]
pub struct Membership {
    core: Mutex<Members>,
    clock: Clock,
    request_tx: UnboundedSender<SyncRequest>,
    request_rx: Mutex<Option<UnboundedReceiver<SyncRequest>>>,
}

/// Numbers of live peers and of endpoints in the failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Live entry instances of the domain, without this one.
    pub peers: usize,
    /// Endpoints that may get requests.
    pub ready: usize,
    /// Endpoints that are leaving and not yet removed.
    pub leaving: usize,
}

/// Replies that the core produced in one step.
#[derive(Debug, Default)]
pub struct StepReplies {
    /// Reply to the announcement of an endpoint.
    pub announce_reply: Option<AnnounceReply>,
    /// Reply to the request of a peer.
    pub peer_reply: Option<MemberReply>,
}

#[derive(Debug)]
struct SyncRequest {
    id: u64,
    peer: Name,
    sync: MemberSync,
}

impl Membership {
    /// Creates the core of an instance that listens at these addresses.
    pub fn new(
        cfg: &EntryCfg,
        clock: Clock,
        incarnation: Incarnation,
        address: SocketAddr,
        peer_address: SocketAddr,
    ) -> Self {
        let own = EntryInfo {
            name: cfg.name.clone(),
            incarnation,
            sequence: 0,
            domain: cfg.domain.clone(),
            address: address.to_string().into(),
            peer_address: peer_address.to_string().into(),
            leaving: None,
        };
        let seeds = cfg.peers.iter().map(|peer| peer.to_string().into()).collect();
        let core = Members::new(MemberCfg::new(own, seeds, incarnation.0));
        let (request_tx, request_rx) = unbounded_channel();
        Self { core: Mutex::new(core), clock, request_tx, request_rx: Mutex::new(Some(request_rx)) }
    }

    /// Passes an event to the core and executes the resulting actions.
    pub fn step(&self, routing: &Routing, event: Event) -> StepReplies {
        let mut replies = StepReplies::default();
        let mut actions = Vec::new();
        // The routers are updated under the core's lock. Otherwise, with two concurrent steps, a
        // router could receive that an endpoint is ready after it received that it is leaving.
        let mut core = self.core.lock();
        let now = self.clock.now();
        core.step(CLOCK_START + now, event, &mut actions);
        for action in actions {
            self.execute(now, routing, action, &mut replies);
        }
        replies
    }

    /// Returns the live entry instances of the failure domain, without this one.
    pub fn peers_of_domain(&self) -> Vec<EntryInfo> {
        self.core.lock().peers_of_domain(self.now())
    }

    /// Returns the entry instance of the domain that is the home of a key, which may be this one.
    pub fn home_for(&self, key: &str) -> Option<EntryInfo> {
        self.core.lock().home_for(self.now(), key)
    }

    /// Returns the entry instances of the domain that communicate with other domains.
    pub fn gateways(&self) -> Vec<EntryInfo> {
        self.core.lock().gateways(self.now())
    }

    /// Returns the peer address of the entry instance that aggregates figures of a failure domain.
    pub fn aggregator(&self, domain: &str) -> Option<SocketAddr> {
        self.core.lock().aggregator(self.now(), domain)?.parse().ok()
    }

    /// Returns all known failure domains, including the local one.
    pub fn domains(&self) -> Vec<Name> {
        self.core.lock().domains()
    }

    /// Returns the current numbers of peers and endpoints, for the gauges.
    pub fn counts(&self) -> Counts {
        let core = self.core.lock();
        Counts {
            peers: core.peers_of_domain(self.now()).len(),
            ready: core.ready().len(),
            leaving: core.leaving().len(),
        }
    }

    /// Returns the endpoints of the domain that requests may be sent to.
    pub fn ready(&self) -> Vec<Announcement> {
        self.core.lock().ready().into_iter().cloned().collect()
    }

    /// Returns the endpoints of the domain that are leaving and not yet removed.
    pub fn leaving(&self) -> Vec<Announcement> {
        self.core.lock().leaving().into_iter().cloned().collect()
    }

    /// Returns the peer addresses of the domain's live entry instances in the order of the fan-out
    /// tree, and the index of this one among them.
    pub fn feed_tree(&self) -> (Vec<Name>, usize) {
        self.core.lock().ranking(self.now(), "settings")
    }

    fn now(&self) -> Millis {
        CLOCK_START + self.clock.now()
    }

    fn execute(&self, now: Millis, routing: &Routing, action: Action, replies: &mut StepReplies) {
        match action {
            Action::SendRequest { id, peer, sync } => {
                let _ = self.request_tx.send(SyncRequest { id, peer, sync });
            }
            Action::Reply(reply) => replies.peer_reply = Some(*reply),
            Action::AnnounceReply(reply) => replies.announce_reply = Some(reply),
            Action::UpdateEndpoint { announcement, age } => {
                routing.apply(now, sill_route::Event::Announced { announcement, age });
            }
            Action::RemoveEndpoint { endpoint, incarnation } => {
                routing.apply(now, sill_route::Event::Gone { endpoint, incarnation });
            }
            Action::AllowRouting { until } => routing.set_valid_until(until - CLOCK_START),
            Action::Report(report) => log_report(&report),
        }
    }
}

/// Ticks the core and sends its requests to peers until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let Some(mut request_rx) = shared.members.request_rx.lock().take() else { return };
    let mut ticks = tokio::time::interval(TICK.into());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut clients: FxHashMap<Name, PeerClient> = FxHashMap::default();
    let mut reported_revision = Revision::default();
    let mut is_shutdown_announced = false;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                update_services(&shared, &mut reported_revision);
                announce_shutdown(&shared, &mut is_shutdown_announced);
                shared.members.step(&shared.routing, Event::Tick);
                shared.metrics.gauges.set(&shared);
            }
            request = request_rx.recv() => {
                let Some(request) = request else { return };
                send_request(&shared, &mut clients, request);
            }
        }
    }
}

/// Answers the membership request of a peer.
///
/// # Errors
///
/// Fails when the core produces no reply, which is a bug.
pub async fn answer(shared: Arc<Shared>, sync: MemberSync) -> Result<MemberReply, PeerError> {
    let replies = shared.members.step(&shared.routing, Event::PeerRequest(sync));
    replies
        .peer_reply
        .ok_or_else(|| PeerError::Refused("the membership core gave no reply".to_owned()))
}

fn send_request(
    shared: &Arc<Shared>,
    clients: &mut FxHashMap<Name, PeerClient>,
    request: SyncRequest,
) {
    let SyncRequest { id, peer, sync } = request;
    let Ok(address) = peer.parse() else {
        shared.members.step(&shared.routing, Event::RequestFailed { id });
        return;
    };
    if clients.len() > MAX_CLIENTS {
        clients.clear();
    }
    let make = || PeerClient::new(address, &shared.cfg.cluster_key, REQUEST_TIMEOUT);
    let client = clients.entry(peer).or_insert_with(make).clone();
    let shared = shared.clone();
    tokio::spawn(async move {
        let event = match client.call(&sync).await {
            Ok(reply) => Event::PeerReply { id, reply: Box::new(reply) },
            Err(err) => {
                event!(Debug, "peer_unreachable", address = address, error = err);
                Event::RequestFailed { id }
            }
        };
        shared.members.step(&shared.routing, event);
    });
}

fn update_services(shared: &Shared, reported: &mut Revision) {
    let revision = shared.settings.revision();
    if revision != *reported {
        *reported = revision;
        let names = shared.settings.current().services.keys().cloned().collect();
        shared.members.step(&shared.routing, Event::Services(names));
    }
}

fn announce_shutdown(shared: &Shared, is_announced: &mut bool) {
    if shared.is_stopping.load(Ordering::Relaxed) && !*is_announced {
        *is_announced = true;
        let remaining = shared.cfg.drain_notice + shared.cfg.drain_limit;
        shared.members.step(&shared.routing, Event::ShutdownStarted { left: remaining });
    }
}

fn log_report(report: &Report) {
    match report {
        Report::NameClaimedTwice { endpoint, winner, refused } => {
            let (winner, refused) = (winner.0, refused.0);
            event!(Warn, "name_claimed_twice", name = endpoint, winner = winner, refused = refused);
        }
        Report::EndpointLeaving { endpoint, incarnation } => {
            event!(Info, "endpoint_leaving", name = endpoint, incarnation = incarnation.0);
        }
        Report::EndpointLost { endpoint } => event!(Warn, "endpoint_lost", name = endpoint),
        Report::EntrySuspected { entry } => event!(Warn, "entry_suspected", name = entry),
        Report::EntryJoined { entry } => event!(Info, "entry_joined", name = entry),
        Report::Frozen { span } => event!(Warn, "process_was_frozen", ms = span),
    }
}
