//! How control instances find each other, start a log, and take part in one.

use std::net::SocketAddr;
use std::sync::Arc;

use sill_base::{Map, Millis, event};
use sill_net::PeerClient;
use sill_quorum::{Event, MemberChange, Members, ReplicaId, RoleName};

use crate::cfg::Seeds;
use crate::daemon::Shared;
use crate::rpc::{Hello, HelloReply};

/// Pause between two tries.
const PAUSE: Millis = Millis(500);

/// A voter that was not heard of for this long is replaced by one that stands by. Cuts and restarts
/// last for up to six seconds, and moving the log costs more than waiting for them.
const LOST: Millis = Millis(8000);

/// One that stands by must have been heard of within this time to take a voter's place.
const PRESENT: Millis = Millis(1500);

/// Makes this instance known to all others.
///
/// With voters by name it does so while it is none of them. With seeds it goes on for as long as it
/// runs: a voter that was replaced while it was away learns of it in no other way.
pub async fn run(shared: Arc<Shared>) {
    let mut strangers = Map::default();
    let mut leads_since = None;
    loop {
        let status = shared.log.status();
        let seeds = shared.cfg.seeds.as_ref();
        if !status.is_voter || seeds.is_some() {
            let replies = ask_all(&shared, &mut strangers).await;
            if status.is_new {
                found(&shared, &replies);
            }
        }
        leads_since = match (status.role, leads_since) {
            (RoleName::Leader, None) => Some(shared.clock.now()),
            (RoleName::Leader, since) => since,
            _ => None,
        };
        if let (Some(seeds), Some(since)) = (seeds, leads_since) {
            replace_lost(&shared, seeds, &status.voters, since);
        }
        tokio::time::sleep(PAUSE.into()).await;
    }
}

async fn ask_all(shared: &Shared, strangers: &mut Map<SocketAddr, PeerClient>) -> Vec<HelloReply> {
    let directory = &shared.directory;
    let is_named = shared.cfg.voters.iter().any(|voter| voter.name == shared.cfg.name);
    let as_voter = is_named || shared.cfg.seeds.is_some();
    let hello = Hello { id: shared.id.clone(), as_voter, place: directory.own().clone() };
    let known: Vec<SocketAddr> = directory.places().iter().map(|place| place.peer).collect();
    for seed in directory.seeds().into_iter().filter(|seed| !known.contains(seed)) {
        strangers.entry(seed).or_insert_with(|| directory.client(seed));
    }
    strangers.retain(|address, _| !known.contains(address));
    let peers = directory.peers();
    let clients = peers.iter().map(|peer| &peer.quick).chain(strangers.values());
    let calls = clients.map(|client| client.call(&hello));
    let replies = futures_util::future::join_all(calls).await;
    let replies: Vec<HelloReply> = replies.into_iter().flatten().collect();
    for reply in &replies {
        reply.known.iter().for_each(|place| directory.add(place.clone()));
        directory.heard(shared.clock.now(), reply.place.clone(), reply.id.clone());
    }
    replies
}

/// Starts the log, if all founders are there, all are new, and this one comes first.
///
/// A majority would not be enough: two voters that lost their disks would start an empty log, and
/// forget all that the third one still has.
fn found(shared: &Shared, replies: &[HelloReply]) {
    let founders = match &shared.cfg.seeds {
        Some(seeds) if !seeds.may_found => return,
        Some(seeds) => seeds.peers.clone(),
        None => shared.cfg.voters.iter().map(|voter| voter.address).collect(),
    };
    let own = shared.directory.own().peer;
    if founders.iter().min() != Some(&own) {
        return;
    }
    let new = replies.iter().filter(|reply| reply.is_new && founders.contains(&reply.place.peer));
    let others = new.map(|reply| reply.id.clone());
    let ids: Vec<ReplicaId> = others.chain([shared.id.clone()]).collect();
    if ids.len() == founders.len() {
        event!(Info, "log_started", voters = ids.len());
        shared.log.event(Event::Found(Members::of_voters(ids)));
    }
}

/// Takes out a voter that was lost for good, once another can take its place.
fn replace_lost(shared: &Shared, seeds: &Seeds, voters: &[ReplicaId], since: Millis) {
    let now = shared.clock.now();
    if voters.len() < seeds.voters || now - since < LOST {
        return;
    }
    let present = shared.directory.heard_since(now - PRESENT);
    let stands_by = present.iter().any(|id| !voters.contains(id));
    let lately = shared.directory.heard_since(now - LOST);
    let is_lost = |id: &&ReplicaId| **id != shared.id && !lately.contains(id);
    if let (true, Some(lost)) = (stands_by, voters.iter().find(is_lost)) {
        event!(Warn, "voter_lost", name = lost.name, unheard_ms = LOST);
        shared.log.event(Event::Change(MemberChange::Remove(lost.clone())));
    }
}

/// Answers a control instance that makes itself known.
pub fn answer(shared: &Shared, hello: Hello) -> HelloReply {
    let Hello { id, as_voter, place } = hello;
    let status = shared.log.status();
    let is_wanted = as_voter && wants_voter(shared, &status.voters, &id);
    shared.directory.heard(shared.clock.now(), place, id.clone());
    if !status.voters.contains(&id) {
        shared.log.event(Event::Join { id, as_voter: is_wanted });
    }
    HelloReply {
        id: shared.id.clone(),
        is_new: status.is_new,
        place: shared.directory.own().clone(),
        known: shared.directory.places(),
    }
}

/// Returns whether an instance is to become a voter. An older life of it is no voter any more.
fn wants_voter(shared: &Shared, voters: &[ReplicaId], id: &ReplicaId) -> bool {
    match &shared.cfg.seeds {
        Some(seeds) => voters.iter().filter(|voter| voter.name != id.name).count() < seeds.voters,
        None => shared.cfg.voters.iter().any(|voter| voter.name == id.name),
    }
}
