//! How control instances find each other, start a log, and take part in one.

use std::net::SocketAddr;
use std::sync::Arc;

use sill_base::{Map, Millis, Name, event};
use sill_net::PeerClient;
use sill_quorum::standby::{self, Replacement};
use sill_quorum::{Event, MemberChange, Members, ReplicaId, RoleName};

use crate::cfg::Seeds;
use crate::log::handle::Status;
use crate::rpc::{Hello, HelloReply};
use crate::shared::Shared;

/// Pause between two tries. A voter that lost its disk takes three of them until it votes again, and
/// the next disk may be lost four seconds after it is back.
const PAUSE: Millis = Millis(300);

/// Pause between two tries to have the one that stands by vote, once the lost voter was taken out.
const AT_ONCE: Millis = Millis(20);

/// Pause between two tries while no leader is known: after a loss of power all look for each other, and
/// entry instances have no settings until they have found one.
const LEADERLESS_PAUSE: Millis = Millis(100);

/// How long one call may take. An instance without power answers nothing, and the others, which start at
/// the same time, must not be looked for only after it was given up.
const PATIENCE: Millis = Millis(300);

/// Tries to have it vote before the next look at all.
const TRIES: usize = 10;

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
                let lives = replies.iter().filter_map(|reply| reply.incarnation);
                if let Some(life) = lives.max() {
                    shared.log.older_life(life);
                }
            }
        }
        leads_since = match (status.role, leads_since) {
            (RoleName::Leader, None) => Some(shared.clock.now()),
            (RoleName::Leader, since) => since,
            _ => None,
        };
        if let (Some(seeds), Some(since)) = (seeds, leads_since) {
            replace_lost(&shared, seeds, since).await;
        }
        let is_led = shared.log.status().leader.is_some();
        let pause = if is_led { PAUSE } else { LEADERLESS_PAUSE };
        tokio::time::sleep(pause.into()).await;
    }
}

async fn ask_all(shared: &Shared, strangers: &mut Map<SocketAddr, PeerClient>) -> Vec<HelloReply> {
    let directory = &shared.directory;
    let is_named = shared.cfg.voters.iter().any(|voter| voter.name == shared.cfg.name);
    let as_voter = is_named || shared.cfg.seeds.is_some();
    let hello = Hello { id: shared.id(), as_voter, place: directory.own().clone() };
    let known: Vec<SocketAddr> = directory.places().iter().map(|place| place.peer).collect();
    for seed in directory.seeds().into_iter().filter(|seed| !known.contains(seed)) {
        strangers.entry(seed).or_insert_with(|| directory.client(seed));
    }
    strangers.retain(|address, _| !known.contains(address));
    let peers = directory.peers();
    let clients = peers.iter().map(|peer| &peer.client).chain(strangers.values());
    let calls = clients.map(|client| ask(shared, client, &hello));
    let replies = futures_util::future::join_all(calls).await;
    replies.into_iter().flatten().collect()
}

async fn ask(shared: &Shared, client: &PeerClient, hello: &Hello) -> Option<HelloReply> {
    let reply = tokio::time::timeout(PATIENCE.into(), client.call(hello)).await.ok()?.ok()?;
    let directory = &shared.directory;
    reply.peers.iter().for_each(|place| directory.add_discovered(place.clone()));
    directory.record_presence(shared.clock.now(), reply.place.clone(), reply.id.clone());
    Some(reply)
}

/// Starts the log, if all founders are there, all are new, and this one comes first.
///
/// A majority would not be enough: two voters that lost their disks would start an empty log, and
/// forget all that the third one still has.
fn found(shared: &Shared, replies: &[HelloReply]) {
    let new = replies.iter().filter(|reply| reply.is_new);
    let (is_first, founders, others): (bool, usize, Vec<ReplicaId>) = match &shared.cfg.seeds {
        Some(seeds) if !seeds.may_found => return,
        Some(Seeds { peers, .. }) => {
            let own = shared.directory.own().peer;
            let new = new.filter(|reply| peers.contains(&reply.place.peer));
            let others = new.map(|reply| reply.id.clone()).collect();
            (peers.iter().min() == Some(&own), peers.len(), others)
        }
        None => {
            let names: Vec<&Name> = shared.cfg.voters.iter().map(|voter| &voter.name).collect();
            let new = new.filter(|reply| names.contains(&&reply.id.name));
            let others = new.map(|reply| reply.id.clone()).collect();
            (names.iter().min() == Some(&&shared.cfg.name), names.len(), others)
        }
    };
    let ids: Vec<ReplicaId> = others.into_iter().chain([shared.id()]).collect();
    if is_first && ids.len() == founders {
        event!(Info, "log_started", voters = ids.len());
        shared.log.event(Event::Bootstrap(Members::from_voters(ids)));
    }
}

/// Replaces a voter that was lost by one that stands by.
///
/// The lost one goes first: promoted before, the new one would have to be there for each entry as
/// well. Between the two steps all voters left are needed, so the second follows at once.
async fn replace_lost(shared: &Shared, seeds: &Seeds, since: Millis) {
    let (now, status) = (shared.clock.now(), shared.log.status());
    if status.voters.len() < seeds.voters || now - since < standby::VOTER_LOSS_TIMEOUT {
        return;
    }
    let presences = shared.directory.presences();
    let due =
        standby::replacement(now, &shared.id(), &status.voters, &presences, &status.ready_learners);
    let Some(Replacement { voter: lost, standby: by }) = due else { return };
    event!(Warn, "voter_replaced", lost = lost.name, by = by.name);
    shared.log.event(Event::ChangeMembers(MemberChange::Remove(lost)));
    for _ in 0..TRIES {
        tokio::time::sleep(AT_ONCE.into()).await;
        let voters = shared.log.status().voters;
        if voters.contains(&by) {
            return;
        }
        if voters.len() < seeds.voters {
            shared.log.event(Event::Join { id: by.clone(), as_voter: true });
        }
    }
}

/// Answers a control instance that makes itself known.
pub fn answer(shared: &Shared, hello: Hello) -> HelloReply {
    let Hello { id, as_voter, place } = hello;
    let status = shared.log.status();
    shared.directory.record_presence(shared.clock.now(), place, id.clone());
    let is_wanted = as_voter && wants_voter(shared, &status, &id);
    let members = status.voters.iter().chain(&status.learners);
    let lives = members.filter(|member| member.name == id.name).map(|member| member.incarnation);
    let life = lives.max();
    if !status.voters.contains(&id) {
        shared.log.event(Event::Join { id, as_voter: is_wanted });
    }
    HelloReply {
        id: shared.id(),
        is_new: status.is_new,
        incarnation: life,
        place: shared.directory.own().clone(),
        peers: shared.directory.places(),
    }
}

/// Returns whether an instance is to become a voter. An older life of it is no voter any more.
fn wants_voter(shared: &Shared, status: &Status, id: &ReplicaId) -> bool {
    let Status { voters, ready_learners, .. } = status;
    match &shared.cfg.seeds {
        Some(seeds) => {
            let others = voters.iter().filter(|voter| voter.name != id.name).count();
            let (own, presences) = (&shared.cfg.domain, shared.directory.presences());
            others < seeds.voters
                && standby::may_become_voter(id, own, voters, &presences, ready_learners)
        }
        None => shared.cfg.voters.iter().any(|voter| voter.name == id.name),
    }
}
