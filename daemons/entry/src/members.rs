//! Membership of the entry instance: the core under its lock, its clock and its calls.

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

/// How long a peer has to answer; the core asks another one then.
const TIMEOUT: Millis = Millis(800);

/// Clients kept at most; beyond, all are made anew.
const MAX_CLIENTS: usize = 1024;

/// Who lives, who is leaving and who was replaced.
#[derive(Debug)]
pub struct Membership {
    core: Mutex<Members>,
    clock: Clock,
    questions: UnboundedSender<Question>,
    asked: Mutex<Option<UnboundedReceiver<Question>>>,
}

/// How many of each are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Live entry instances of the domain beside this one.
    pub peers: usize,
    /// Endpoints that may get requests.
    pub ready: usize,
    /// Endpoints that are leaving and not gone.
    pub leaving: usize,
}

/// Answers that the core gave in one step.
#[derive(Debug, Default)]
pub struct Answers {
    /// To an endpoint.
    pub accept: Option<AnnounceReply>,
    /// To a peer.
    pub reply: Option<MemberReply>,
}

#[derive(Debug)]
struct Question {
    id: u64,
    peer: Name,
    sync: MemberSync,
}

impl Membership {
    /// Makes the core of an instance that listens at these addresses.
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
        let (questions, asked) = unbounded_channel();
        Self { core: Mutex::new(core), clock, questions, asked: Mutex::new(Some(asked)) }
    }

    /// Gives the core an event and does what it asks for.
    pub fn step(&self, routing: &Routing, event: Event) -> Answers {
        let mut answers = Answers::default();
        let mut out = Vec::new();
        // The router hears under the core's lock. Else it could hear of an endpoint as ready after
        // it heard that the endpoint is leaving, from two steps that raced.
        let mut core = self.core.lock();
        let now = self.clock.now();
        core.step(CLOCK_START + now, event, &mut out);
        for action in out {
            self.act(now, routing, action, &mut answers);
        }
        answers
    }

    /// Returns the live entry instances of the failure domain, without this one.
    pub fn peers_of_domain(&self) -> Vec<EntryInfo> {
        self.core.lock().peers_of_domain(self.now())
    }

    /// Returns the entry instance of the domain that keeps what belongs to a key; it may be this
    /// one.
    pub fn home_for(&self, key: &str) -> Option<EntryInfo> {
        self.core.lock().home_for(self.now(), key)
    }

    /// Returns the entry instances of the domain that speak with other domains.
    pub fn gateways(&self) -> Vec<EntryInfo> {
        self.core.lock().gateways(self.now())
    }

    /// Returns the peer address of the entry instance that adds up figures of a failure domain.
    pub fn aggregator(&self, domain: &str) -> Option<SocketAddr> {
        self.core.lock().aggregator(self.now(), domain)?.parse().ok()
    }

    /// Returns the failure domains that are known, with the own one.
    pub fn domains(&self) -> Vec<Name> {
        self.core.lock().domains()
    }

    /// Returns how many of each are known.
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

    /// Returns the endpoints of the domain that are leaving and not gone.
    pub fn leaving(&self) -> Vec<Announcement> {
        self.core.lock().leaving().into_iter().cloned().collect()
    }

    /// Returns the peer addresses of the domain's live entry instances in the order of the fan-out
    /// tree, and the place of this one among them.
    pub fn feed_tree(&self) -> (Vec<Name>, usize) {
        self.core.lock().ranking(self.now(), "settings")
    }

    fn now(&self) -> Millis {
        CLOCK_START + self.clock.now()
    }

    fn act(&self, now: Millis, routing: &Routing, action: Action, answers: &mut Answers) {
        match action {
            Action::SendRequest { id, peer, sync } => {
                let _ = self.questions.send(Question { id, peer, sync });
            }
            Action::Reply(reply) => answers.reply = Some(*reply),
            Action::AnnounceReply(reply) => answers.accept = Some(reply),
            Action::UpdateEndpoint { announcement, age } => {
                routing.apply(now, sill_route::Event::Announced { announcement, age });
            }
            Action::RemoveEndpoint { endpoint, incarnation } => {
                routing.apply(now, sill_route::Event::Gone { endpoint, incarnation });
            }
            Action::AllowRouting { until } => routing.set_valid_until(until - CLOCK_START),
            Action::Report(found) => report(&found),
        }
    }
}

/// Ticks the core and carries its questions until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let Some(mut asked) = shared.members.asked.lock().take() else { return };
    let mut ticks = tokio::time::interval(TICK.into());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut clients: FxHashMap<Name, PeerClient> = FxHashMap::default();
    let mut wanted_at = Revision::default();
    let mut is_leaving = false;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                tell_wanted(&shared, &mut wanted_at);
                tell_leaving(&shared, &mut is_leaving);
                shared.members.step(&shared.routing, Event::Tick);
                shared.metrics.gauges.set(&shared);
            }
            question = asked.recv() => {
                let Some(question) = question else { return };
                ask(&shared, &mut clients, question);
            }
        }
    }
}

/// Answers the question of a peer.
///
/// # Errors
///
/// Never fails; the type is what peer calls ask for.
pub async fn answer(shared: Arc<Shared>, sync: MemberSync) -> Result<MemberReply, PeerError> {
    let answers = shared.members.step(&shared.routing, Event::PeerRequest(sync));
    answers.reply.ok_or_else(|| PeerError::Refused("the membership core gave no reply".to_owned()))
}

fn ask(shared: &Arc<Shared>, clients: &mut FxHashMap<Name, PeerClient>, question: Question) {
    let Question { id, peer, sync } = question;
    let Ok(address) = peer.parse() else {
        shared.members.step(&shared.routing, Event::RequestFailed { id });
        return;
    };
    if clients.len() > MAX_CLIENTS {
        clients.clear();
    }
    let make = || PeerClient::new(address, &shared.cfg.cluster_key, TIMEOUT);
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

fn tell_wanted(shared: &Shared, told: &mut Revision) {
    let revision = shared.settings.revision();
    if revision != *told {
        *told = revision;
        let names = shared.settings.current().services.keys().cloned().collect();
        shared.members.step(&shared.routing, Event::Services(names));
    }
}

fn tell_leaving(shared: &Shared, told: &mut bool) {
    if shared.stopping.load(Ordering::Relaxed) && !*told {
        *told = true;
        let left = shared.cfg.drain_notice + shared.cfg.drain_limit;
        shared.members.step(&shared.routing, Event::ShutdownStarted { left });
    }
}

fn report(found: &Report) {
    match found {
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
