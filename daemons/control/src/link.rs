//! Entry instances that serve routes: what they are told of endpoints and settings, what they tell
//! of their work; and how control instances share both.

use std::sync::Arc;

use parking_lot::Mutex;
use sill_base::{Findings, Map, Millis, Name, event};
use sill_dispatch::{Adder, Ledger, Loads, Registry, TrueTime};
use sill_net::PeerError;
use sill_quorum::RoleName;
use sill_wire::Incarnation;
use sill_wire::link::{
    ControlSync, ControlSyncReply, Cursor, EndpointFact, EndpointState, EntryReport, LinkPoll,
    LinkReply, LoadWord, Totals,
};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::cfg::ControlCfg;
use crate::daemon::Shared;
use crate::directory::ControlPeer;
use crate::served;

/// The subtree that holds the routes.
pub const SERVED: &str = "serving";

/// How often news are passed on to the other control instances.
const TICK: Millis = Millis(100);

/// How often something is told to each other control instance, also without news.
const REFRESH: Millis = Millis(1000);

/// How often reports go to the leader, and totals from it. Entry instances admit by totals; what
/// passes a limit grows with their age.
const WITH_LEADER: Millis = Millis(200);

/// The longest time a poll may wait.
const MAX_WAIT: Millis = Millis(2000);

/// What a control instance knows of endpoints and of entry instances that serve routes.
#[derive(Debug)]
pub struct Link {
    life: Incarnation,
    name: Name,
    registry: Mutex<Registry>,
    ledger: Mutex<Ledger>,
    time: Mutex<TrueTime>,
    loads: Mutex<Loads>,
    totals: Mutex<Option<TotalsHeard>>,
    adder: Mutex<Adder>,
    changes: watch::Sender<u64>,
    urgent: tokio::sync::Notify,
}

#[derive(Debug, Clone)]
struct TotalsHeard {
    totals: Totals,
    at: Millis,
}

/// What was told to one other control instance.
#[derive(Debug, Default)]
struct Told {
    life: Option<Incarnation>,
    at: Millis,
    pending: Vec<EndpointFact>,
    is_urgent: bool,
    call: Option<JoinHandle<Option<ControlSyncReply>>>,
}

impl Link {
    /// Makes a link that knows nothing.
    pub fn new(cfg: &ControlCfg) -> Self {
        let life = Incarnation(Millis::wall().0);
        Self {
            life,
            name: cfg.name.clone(),
            registry: Mutex::new(Registry::new(life, cfg.endpoint_heartbeat)),
            ledger: Mutex::default(),
            time: Mutex::default(),
            loads: Mutex::default(),
            totals: Mutex::default(),
            adder: Mutex::default(),
            changes: watch::Sender::new(0),
            urgent: tokio::sync::Notify::new(),
        }
    }

    /// Takes in a heartbeat of an endpoint.
    ///
    /// # Errors
    ///
    /// Fails where it contradicts what the endpoint said before in the same life.
    pub fn heartbeat(&self, now: Millis, fact: EndpointFact) -> Result<(), Findings> {
        if self.registry.lock().is_foreign(&fact) {
            let reason = "another service or failure domain than before in the same life";
            return Err(Findings::one("service", reason));
        }
        let (endpoint, state, sequence) = (fact.endpoint.clone(), fact.state, fact.sequence);
        let (born, leaves_in) = (fact.born, fact.leaves_in);
        let (service, domain, address) = (fact.service.clone(), fact.domain.clone(), fact.address);
        if self.registry.lock().heard(now, fact) {
            event!(
                Info,
                "endpoint_heard",
                endpoint = endpoint,
                state = format!("{state:?}"),
                sequence = sequence,
                service = service,
                domain = domain,
                address = address,
                born = born.0,
                leaves_ms = leaves_in.map(|left| left.to_string()).unwrap_or_default(),
            );
            self.changed();
        }
        Ok(())
    }

    /// Takes in that an endpoint says it ends.
    pub fn ended(&self, now: Millis, endpoint: &Name, born: Option<Incarnation>) {
        if self.registry.lock().ended(now, endpoint, born) {
            event!(Info, "endpoint_heard", endpoint = endpoint, state = "Gone");
            self.changed();
        }
    }

    fn changed(&self) {
        self.publish();
        self.urgent.notify_one();
    }

    /// Wakes the polls of entry instances.
    fn publish(&self) {
        let change = self.registry.lock().cursor().change;
        self.changes.send_replace(change);
    }

    /// Takes in what another control instance passes on.
    pub fn synced(&self, now: Millis, sync: ControlSync) -> ControlSyncReply {
        self.time.lock().read(now, &sync.from.name, sync.wall);
        let mut is_changed = false;
        {
            let mut registry = self.registry.lock();
            for fact in sync.endpoints {
                is_changed |= registry.take(now, fact);
            }
        }
        for report in sync.reports {
            self.ledger.lock().take(now, report, false);
        }
        if let Some(totals) = sync.totals {
            let at = now - totals.age;
            *self.totals.lock() = Some(TotalsHeard { totals, at });
        }
        if is_changed {
            self.publish();
        }
        ControlSyncReply { life: self.life }
    }

    /// Returns true time of day.
    pub fn true_time(&self, now: Millis) -> Millis {
        let mut time = self.time.lock();
        time.read(now, &self.name, Millis::wall());
        time.at(now).unwrap_or_else(Millis::wall)
    }

    /// Returns all endpoints that are known.
    pub fn endpoints(&self, now: Millis) -> Vec<EndpointFact> {
        self.registry.lock().all(now)
    }

    /// Returns the newest reports of entry instances that are alive.
    pub fn reports(&self, now: Millis) -> Vec<EntryReport> {
        self.ledger.lock().live(now).into_iter().cloned().collect()
    }

    /// Sums the usage of a window over all entry instances.
    pub fn usage(&self, window: u64) -> Option<std::collections::BTreeMap<Name, u64>> {
        self.ledger.lock().total(window)
    }

    /// Returns whether all entry instances have reported since a point in time.
    pub fn is_usage_complete(&self, now: Millis, since: Millis) -> bool {
        self.ledger.lock().is_complete(now, since)
    }

    /// Takes in the report of an entry instance.
    fn reported(&self, now: Millis, mut report: EntryReport) {
        let loads = std::mem::take(&mut report.loads);
        self.loads.lock().take(now, loads);
        self.time.lock().read(now, &report.entry, report.wall);
        self.ledger.lock().take(now, report, true);
    }

    /// Begins to add up the demand, as the leader.
    fn begin_to_lead(&self, now: Millis) {
        self.adder.lock().begin(now, self.totals(now).as_ref());
    }

    fn add_up(&self, now: Millis) -> Option<Totals> {
        self.adder.lock().add_up(now, &self.ledger.lock())
    }

    fn totals(&self, now: Millis) -> Option<Totals> {
        let heard = self.totals.lock().clone()?;
        Some(Totals { age: now - heard.at, ..heard.totals })
    }

    fn news(&self, now: Millis, cursor: Cursor) -> News {
        let (newest, endpoints) = {
            let registry = self.registry.lock();
            (registry.cursor(), registry.newer_than(now, cursor))
        };
        let seen = if cursor.life == self.life { cursor.load } else { 0 };
        let (load, loads) = self.loads.lock().newer_than(now, seen);
        News { cursor: Cursor { load, ..newest }, endpoints, loads }
    }
}

/// What an entry instance has not been told of endpoints.
struct News {
    cursor: Cursor,
    endpoints: Vec<EndpointFact>,
    loads: Vec<LoadWord>,
}

/// Answers a poll at once when something is new, else after its wait.
///
/// # Errors
///
/// Never fails; the type is what peer calls ask for.
pub async fn poll(shared: Arc<Shared>, poll: LinkPoll) -> Result<LinkReply, PeerError> {
    let LinkPoll { have, cursor, wait, report } = poll;
    let link = &shared.link;
    link.reported(shared.clock.now(), report);
    let mut changes = link.changes.subscribe();
    let mut revision = shared.log.revision();
    let known = (cursor.life == link.life).then_some(cursor.change);
    let news = async {
        tokio::select! {
            _ = changes.wait_for(|change| known != Some(*change)) => {},
            _ = revision.wait_for(|_| served::revision(&shared) > have) => {},
        }
    };
    let _ = tokio::time::timeout(wait.min(MAX_WAIT).into(), news).await;
    let settings = served::newer_than(&shared, have).await;
    let now = shared.clock.now();
    let News { cursor, endpoints, loads } = link.news(now, cursor);
    let status = shared.log.status();
    Ok(LinkReply {
        settings,
        cursor,
        endpoints,
        loads,
        controls: shared.directory.places(),
        totals: link.totals(now),
        true_time: link.true_time(now),
        is_led: status.leader.is_some(),
    })
}

/// Passes on to the other control instances what was heard here.
pub async fn run(shared: Arc<Shared>) {
    let mut told: Map<Name, Told> = Map::default();
    let mut leader: Option<Name> = None;
    loop {
        let _ = tokio::time::timeout(TICK.into(), shared.link.urgent.notified()).await;
        let now = shared.clock.now();
        let link = &shared.link;
        if link.registry.lock().expire(now) {
            event!(Info, "endpoints_fell_silent");
            link.changed();
        }
        link.time.lock().expire(now);
        link.ledger.lock().expire(now);
        let status = shared.log.status();
        if status.leader != leader {
            leader = status.leader.clone();
            link.ledger.lock().tell_again();
            if status.role == RoleName::Leader {
                link.begin_to_lead(now);
            }
        }
        let leads = status.role == RoleName::Leader;
        let totals = if leads { link.add_up(now) } else { None };
        if let Some(totals) = &totals {
            *link.totals.lock() = Some(TotalsHeard { totals: totals.clone(), at: now });
        }
        tell_all(&shared, &mut told, totals, leader.as_ref()).await;
    }
}

/// Starts a call to each other control instance that is due one. One that can't be reached must not
/// hold up the others: an endpoint that leaves would go on getting requests through them.
async fn tell_all(
    shared: &Arc<Shared>,
    told: &mut Map<Name, Told>,
    totals: Option<Totals>,
    leader: Option<&Name>,
) {
    let (now, link) = (shared.clock.now(), &shared.link);
    let fresh = link.registry.lock().fresh(now);
    let is_urgent = fresh.iter().any(|fact| fact.state != EndpointState::Ready);
    for peer in shared.directory.peers() {
        let state = told.entry(peer.place.name.clone()).or_default();
        state.pending.extend(fresh.iter().cloned());
        state.is_urgent |= is_urgent;
        if let Some(call) = state.call.take_if(|call| call.is_finished()) {
            state.replied(shared, call.await.ok().flatten());
        }
        let to_leader = leader == Some(&peer.place.name);
        let pause = if to_leader || totals.is_some() { WITH_LEADER } else { REFRESH };
        let is_due = state.is_urgent || now - state.at >= pause;
        if !is_due || state.call.is_some() {
            continue;
        }
        let reports = if to_leader { link.ledger.lock().untold() } else { Vec::new() };
        let sync = ControlSync {
            from: shared.directory.own().clone(),
            life: link.life,
            wall: Millis::wall(),
            endpoints: std::mem::take(&mut state.pending),
            reports,
            totals: totals.clone(),
        };
        state.at = now;
        state.is_urgent = false;
        state.call = Some(tokio::spawn(tell(peer, sync)));
    }
}

impl Told {
    fn replied(&mut self, shared: &Shared, reply: Option<ControlSyncReply>) {
        let life = reply.map(|reply| reply.life);
        if life.is_none() {
            shared.link.ledger.lock().tell_again();
        } else if life != self.life {
            // It lacks what was told to its earlier life, or what was lost on the way.
            self.pending = shared.link.registry.lock().all(shared.clock.now());
            self.is_urgent = true;
        }
        self.life = life;
    }
}

async fn tell(peer: Arc<ControlPeer>, sync: ControlSync) -> Option<ControlSyncReply> {
    let reply = peer.quick.call(&sync).await;
    if let Err(err) = &reply {
        event!(Debug, "control_unreachable", name = peer.place.name, error = err);
    }
    reply.ok()
}
