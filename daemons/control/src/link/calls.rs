//! How control instances answer polls of entry instances, and pass on to each other what they heard.

use std::sync::Arc;

use sill_base::{Map, Millis, Name, event};
use sill_net::PeerError;
use sill_quorum::RoleName;
use sill_wire::Incarnation;
use sill_wire::link::{
    ControlSync, ControlSyncReply, EndpointFact, EndpointState, LinkPoll, LinkReply, Totals,
};
use sill_wire::settings::Manifest;
use tokio::task::JoinHandle;

use crate::directory::ControlPeer;
use crate::link::{News, TotalsHeard};
use crate::shared::Shared;

/// How often news are passed on to the other control instances.
const TICK: Millis = Millis(100);

/// How often something is told to each other control instance, also without news.
const REFRESH: Millis = Millis(1000);

/// How often reports go to the leader, and totals from it. Entry instances admit by totals; what
/// passes a limit grows with their age.
const WITH_LEADER: Millis = Millis(200);

/// The longest time a poll may wait.
const MAX_WAIT: Millis = Millis(2000);

/// What was told to one other control instance.
#[derive(Debug, Default)]
struct Told {
    life: Option<Incarnation>,
    at: Millis,
    pending: Vec<EndpointFact>,
    is_urgent: bool,
    call: Option<JoinHandle<Option<ControlSyncReply>>>,
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
    let mut manifests = shared.served.manifests();
    let is_newer = |manifest: &Arc<Manifest>| manifest.revision > have;
    let known = (cursor.incarnation == link.life).then_some(cursor.change);
    let news = async {
        tokio::select! {
            _ = changes.wait_for(|change| known != Some(*change)) => {},
            _ = manifests.wait_for(|newest| newest.as_ref().is_some_and(is_newer)) => {},
        }
    };
    let _ = tokio::time::timeout(wait.min(MAX_WAIT).into(), news).await;
    let settings = manifests.borrow().clone().filter(is_newer);
    let now = shared.clock.now();
    let News { cursor, endpoints, loads } = link.news(now, cursor);
    let status = shared.log.status();
    Ok(LinkReply {
        settings: settings.map(|manifest| Manifest::clone(&manifest)),
        cursor,
        endpoints,
        loads,
        controls: shared.directory.places(),
        totals: link.totals(now),
        true_time: link.true_time(now),
        has_leader: status.leader.is_some(),
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
            link.ledger.lock().mark_unforwarded();
            if status.role == RoleName::Leader {
                link.begin_to_lead(now);
            }
        }
        let leads = status.role == RoleName::Leader;
        let totals = if leads { link.add_up(now, &shared.metrics) } else { None };
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
    let fresh = link.registry.lock().take_direct(now);
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
        let reports = if to_leader { link.ledger.lock().take_unforwarded(now) } else { Vec::new() };
        let sync = ControlSync {
            from: shared.directory.own().clone(),
            incarnation: link.life,
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
        let life = reply.map(|reply| reply.incarnation);
        if life.is_none() {
            shared.link.ledger.lock().mark_unforwarded();
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
