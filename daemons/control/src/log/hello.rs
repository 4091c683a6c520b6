//! Discovery of control instances, bootstrap of the log, and replacement of lost voters.

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

/// Pause between two rounds of calls. A voter that lost its disk needs three rounds until it votes
/// again, and the next disk may be lost four seconds after the instance is back.
const HELLO_PAUSE: Millis = Millis(300);

/// Pause between two attempts to promote the standby, once the lost voter was removed.
const PROMOTION_PAUSE: Millis = Millis(20);

/// Pause between two rounds of calls while no leader is known: after a power loss all control
/// instances search for each other, and entry instances have no settings until a leader exists.
const LEADERLESS_PAUSE: Millis = Millis(100);

/// Timeout of a call. An instance without power never answers, and must not delay the next round of
/// calls to the others, which start at the same time.
const CALL_TIMEOUT: Millis = Millis(300);

/// Attempts to promote the standby before the voters are examined again.
const PROMOTION_ATTEMPTS: usize = 10;

/// Announces this instance to all other control instances, and keeps the set of voters complete.
///
/// With configured voters it announces itself only while it is not a voter. With seeds it does so
/// for as long as it runs: a voter that was replaced during an outage has no other way to find out.
pub async fn run(shared: Arc<Shared>) {
    let mut seed_clients = Map::default();
    let mut leader_since = None;
    loop {
        let status = shared.log.status();
        let seeds = shared.cfg.seeds.as_ref();
        if !status.is_voter || seeds.is_some() {
            let replies = call_all(&shared, &mut seed_clients).await;
            if status.is_new {
                bootstrap_if_first(&shared, &replies);
                let incarnations = replies.iter().filter_map(|reply| reply.incarnation);
                if let Some(active) = incarnations.max() {
                    shared.log.report_active_incarnation(active);
                }
            }
        }
        leader_since = match (status.role, leader_since) {
            (RoleName::Leader, None) => Some(shared.clock.now()),
            (RoleName::Leader, since) => since,
            _ => None,
        };
        if let (Some(seeds), Some(since)) = (seeds, leader_since) {
            replace_lost(&shared, seeds, since).await;
        }
        let has_leader = shared.log.status().leader.is_some();
        let pause = if has_leader { HELLO_PAUSE } else { LEADERLESS_PAUSE };
        tokio::time::sleep(pause.into()).await;
    }
}

async fn call_all(
    shared: &Shared,
    seed_clients: &mut Map<SocketAddr, PeerClient>,
) -> Vec<HelloReply> {
    let directory = &shared.directory;
    let is_named = shared.cfg.voters.iter().any(|voter| voter.name == shared.cfg.name);
    let as_voter = is_named || shared.cfg.seeds.is_some();
    let hello = Hello { id: shared.id(), as_voter, info: directory.own_info().clone() };
    let known: Vec<SocketAddr> = directory.infos().iter().map(|info| info.peer).collect();
    for seed in directory.seeds().into_iter().filter(|seed| !known.contains(seed)) {
        seed_clients.entry(seed).or_insert_with(|| directory.client(seed));
    }
    seed_clients.retain(|address, _| !known.contains(address));
    let peers = directory.peers();
    let clients = peers.iter().map(|peer| &peer.client).chain(seed_clients.values());
    let calls = clients.map(|client| call(shared, client, &hello));
    let replies = futures_util::future::join_all(calls).await;
    replies.into_iter().flatten().collect()
}

async fn call(shared: &Shared, client: &PeerClient, hello: &Hello) -> Option<HelloReply> {
    let reply = tokio::time::timeout(CALL_TIMEOUT.into(), client.call(hello)).await.ok()?.ok()?;
    let directory = &shared.directory;
    reply.peers.iter().for_each(|info| directory.add_discovered(info.clone()));
    directory.record_presence(shared.clock.now(), reply.info.clone(), reply.id.clone());
    Some(reply)
}

/// Bootstraps the log, if all founders answered, all are new, and this instance is the first of
/// them.
///
/// A majority would not be enough: two voters that lost their disks would bootstrap an empty log,
/// and discard what the third one still has.
fn bootstrap_if_first(shared: &Shared, replies: &[HelloReply]) {
    let new = replies.iter().filter(|reply| reply.is_new);
    let (is_first, founders, others): (bool, usize, Vec<ReplicaId>) = match &shared.cfg.seeds {
        Some(seeds) if !seeds.may_bootstrap => return,
        Some(Seeds { peers, .. }) => {
            let own = shared.directory.own_info().peer;
            let new = new.filter(|reply| peers.contains(&reply.info.peer));
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
        shared.link.record_bootstrap();
        shared.log.event(Event::Bootstrap(Members::from_voters(ids)));
    }
}

/// Replaces a lost voter by a standby.
///
/// The lost voter is removed first: if the standby were promoted before, the quorum of the larger
/// set would need its vote for each entry as well. Between the two steps all remaining voters are
/// needed, so the second one follows at once.
async fn replace_lost(shared: &Shared, seeds: &Seeds, since: Millis) {
    let (now, status) = (shared.clock.now(), shared.log.status());
    if status.voters.len() < seeds.voters || now - since < standby::VOTER_LOSS_TIMEOUT {
        return;
    }
    let presences = shared.directory.presences();
    let replacement =
        standby::replacement(now, &shared.id(), &status.voters, &presences, &status.ready_learners);
    let Some(Replacement { voter: lost, standby }) = replacement else { return };
    event!(Warn, "voter_replaced", lost = lost.name, by = standby.name);
    shared.log.event(Event::ChangeMembers(MemberChange::Remove(lost)));
    for _ in 0..PROMOTION_ATTEMPTS {
        tokio::time::sleep(PROMOTION_PAUSE.into()).await;
        let voters = shared.log.status().voters;
        if voters.contains(&standby) {
            return;
        }
        if voters.len() < seeds.voters {
            shared.log.event(Event::Join { id: standby.clone(), as_voter: true });
        }
    }
}

/// Answers the announcement of a control instance, and lets it join the log.
pub fn answer(shared: &Shared, hello: Hello) -> HelloReply {
    let Hello { id, as_voter, info } = hello;
    let status = shared.log.status();
    shared.directory.record_presence(shared.clock.now(), info, id.clone());
    let may_vote = as_voter && may_become_voter_here(shared, &status, &id);
    let members = status.voters.iter().chain(&status.learners);
    let incarnations =
        members.filter(|member| member.name == id.name).map(|member| member.incarnation);
    let life = incarnations.max();
    if !status.voters.contains(&id) {
        shared.log.event(Event::Join { id, as_voter: may_vote });
    }
    HelloReply {
        id: shared.id(),
        is_new: status.is_new,
        incarnation: life,
        info: shared.directory.own_info().clone(),
        peers: shared.directory.infos(),
    }
}

/// Returns whether an instance may become a voter. An older incarnation of it doesn't count as one.
fn may_become_voter_here(shared: &Shared, status: &Status, id: &ReplicaId) -> bool {
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
