//! Answers polls of entry instances, and replicates endpoint facts, reports and totals between
//! control instances.

use std::sync::Arc;

use sill_base::{Map, Millis, Name, event};
use sill_dispatch::relays::fingerprint;
use sill_net::PeerError;
use sill_quorum::RoleName;
use sill_wire::control::Revision;
use sill_wire::link::{
    ControlSync, ControlSyncReply, Cursor, EndpointFact, EndpointState, LinkPoll, LinkReply,
    RelayOffer, Totals,
};
use sill_wire::rollout::ServiceVersions;
use sill_wire::settings::Manifest;
use sill_wire::streams::{ConfirmVersions, ConfirmVersionsReply};
use sill_wire::{Incarnation, Software};
use tokio::task::JoinHandle;

use crate::directory::ControlPeer;
use crate::link::{EntryList, Link, ReceivedTotals, Updates};
use crate::settings_pieces::SERVING_SUBTREE;
use crate::shared::Shared;
use crate::submit;

/// How often changes are sent to the other control instances.
const SYNC_INTERVAL: Millis = Millis(100);

/// How often each other control instance is sent a sync even without changes.
const REFRESH_INTERVAL: Millis = Millis(1000);

/// How often reports are sent to the leader, and totals from it. Entry instances admit requests by
/// these totals; the older the totals, the more a limit can be exceeded.
const LEADER_SYNC_INTERVAL: Millis = Millis(200);

/// Time for a leader to confirm that it leads. The entry instance that asks waits little longer.
const CONFIRM_TIMEOUT: Millis = Millis(100);

/// Heartbeats after the start within which each endpoint that runs is heard of.
const LISTENED_HEARTBEATS: u64 = 2;

/// Upper bound for the time a poll may wait.
const MAX_POLL_WAIT: Millis = Millis(2000);

/// The state of replication to one other control instance.
#[derive(Debug, Default)]
struct PeerSyncState {
    incarnation: Option<Incarnation>,
    last_sync: Millis,
    pending: Vec<EndpointFact>,
    is_urgent: bool,
    /// Sequence number of the last crash that the peer has received.
    crash_received: u64,
    /// Sequence number of the last crash in the running call.
    crash_sent: u64,
    /// The fingerprint of the offers of tunnels that the peer has received, or 0.
    relays_sent: u64,
    /// The fingerprint of the list of entry instances that the peer has received, or 0.
    entries_sent: u64,
    /// Whether `pending` holds all endpoints.
    is_full: bool,
    call: Option<JoinHandle<Option<ControlSyncReply>>>,
}

/// Answers a poll as soon as endpoints or settings changed, else once its wait time has passed.
///
/// # Errors
///
/// Never fails; peer calls require the type.
pub async fn poll(shared: Arc<Shared>, poll: LinkPoll) -> Result<LinkReply, PeerError> {
    let LinkPoll { have, cursor, wait, report, crashes } = poll;
    let link = &shared.link;
    link.record_crashes(shared.clock.now(), &crashes, &report.entry);
    let (entry, domain) = (report.entry.clone(), report.domain.clone());
    link.record_report(shared.clock.now(), report);
    let mut changes = link.changes.subscribe();
    let mut manifests = shared.settings_pieces.manifests();
    let mut rollout_step = shared.log.rollout_step();
    let has_rollouts = shared.cfg.rollouts.is_some();
    let is_newer = |manifest: &Arc<Manifest>| manifest.revision > have;
    let seen = (cursor.incarnation == link.incarnation).then_some(cursor.change);
    let update = async {
        tokio::select! {
            _ = changes.wait_for(|change| seen != Some(*change)) => {},
            _ = manifests.wait_for(|newest| newest.as_ref().is_some_and(is_newer)) => {},
            _ = rollout_step.wait_for(|step| has_rollouts && *step != cursor.versions) => {},
        }
    };
    let _ = tokio::time::timeout(wait.min(MAX_POLL_WAIT).into(), update).await;
    let settings = manifests.borrow().clone().filter(is_newer);
    let now = shared.clock.now();
    let (relays_version, relays) = link.relays_for(now, &entry, &domain);
    let has_relays = seen.is_some() && cursor.relays == relays_version;
    let EntryList { entries, fingerprint: entries_version, .. } = link.entry_list(now);
    let has_entries = seen.is_some() && cursor.entries == entries_version;
    let (versions_step, versions) = if has_rollouts { versions(&shared) } else { (0, Vec::new()) };
    let has_versions = seen.is_some() && cursor.versions == versions_step;
    let Updates { cursor, endpoints, loads, crashes } = link.updates_since(now, cursor);
    let cursor = Cursor {
        relays: relays_version,
        entries: entries_version,
        versions: versions_step,
        ..cursor
    };
    // After the endpoints: a version is held before its first endpoint is known.
    let held = link.held_versions.lock().held();
    let status = shared.log.status();
    Ok(LinkReply {
        settings: settings.map(|manifest| Manifest::clone(&manifest)),
        cursor,
        endpoints,
        loads,
        crashes,
        relays: (!has_relays).then_some(relays),
        entries: (!has_entries).then(|| entries.to_vec()),
        versions: (has_rollouts && !has_versions).then_some(versions),
        controls: shared.directory.infos(),
        totals: link.totals(now),
        true_time: link.true_time(now),
        has_leader: status.leader.is_some(),
        history: link.history(now),
        routes: shared.settings_pieces.unchanged_routes(now),
        held,
    })
}

/// Confirms the software versions of services and the newest revision of the settings, after a leader
/// has confirmed that it leads: without it, others may have had news that this instance hasn't.
///
/// # Errors
///
/// Never fails; peer calls require the type.
pub async fn confirm_versions(
    shared: Arc<Shared>,
    call: ConfirmVersions,
) -> Result<ConfirmVersionsReply, PeerError> {
    let caught_up = submit::catch_up_within(&shared, CONFIRM_TIMEOUT);
    let has_leader = tokio::time::timeout(CONFIRM_TIMEOUT.into(), caught_up).await.unwrap_or(false);
    let now = shared.clock.now();
    let facts = shared.link.endpoints(now).into_iter();
    let mut versions: Vec<Software> =
        facts.filter(|fact| call.services.contains(&fact.service)).map(|f| f.software).collect();
    versions.sort_unstable();
    versions.dedup();
    let app = shared.log.app().read();
    let settings = app.tree().subtrees.get(SERVING_SUBTREE);
    let revision = settings.map(|subtree| Revision(subtree.revision));
    // Endpoints that run may be of a version that was used without a record.
    let has_heard_all = now >= shared.cfg.endpoint_heartbeat * LISTENED_HEARTBEATS;
    let recorded = app.origins().versions_of(&call.services).filter(|_| has_heard_all);
    Ok(ConfirmVersionsReply { has_leader, versions, revision, recorded })
}

/// Returns the software versions of services, and the index of the newest decision on them.
fn versions(shared: &Shared) -> (u64, Vec<ServiceVersions>) {
    let app = shared.log.app().read();
    (app.rollouts().newest_step(), app.rollouts().versions())
}

/// Sends endpoint facts, reports and totals from this instance to the other control instances.
pub async fn run(shared: Arc<Shared>) {
    let mut states: Map<Name, PeerSyncState> = Map::default();
    let mut leader: Option<Name> = None;
    loop {
        let _ =
            tokio::time::timeout(SYNC_INTERVAL.into(), shared.link.urgent_sync.notified()).await;
        let now = shared.clock.now();
        let link = &shared.link;
        if link.registry.lock().expire(now) {
            event!(Info, "endpoints_fell_silent");
            link.publish_urgently();
        }
        link.release_overdue_versions(now);
        link.time.lock().expire(now);
        link.report_store.lock().expire(now);
        link.crash_log.lock().expire(now);
        let status = shared.log.status();
        if status.leader != leader {
            leader = status.leader.clone();
            link.report_store.lock().mark_unforwarded();
            if status.role == RoleName::Leader {
                link.begin_aggregation(now);
            }
        }
        let is_leader = status.role == RoleName::Leader;
        let totals = if is_leader { link.aggregate_totals(now, &shared.metrics) } else { None };
        if let Some(totals) = &totals {
            *link.totals.lock() = Some(ReceivedTotals { totals: totals.clone(), at: now });
        }
        let lists = is_leader.then(|| LeaderLists::of(link, now));
        sync_peers(&shared, &mut states, totals, lists, leader.as_ref()).await;
    }
}

/// Starts a sync call to each other control instance that is due. An unreachable one must not delay
/// the others: entry instances polling them would go on sending requests to an endpoint that
/// leaves.
async fn sync_peers(
    shared: &Arc<Shared>,
    states: &mut Map<Name, PeerSyncState>,
    totals: Option<Totals>,
    lists: Option<LeaderLists>,
    leader: Option<&Name>,
) {
    let (now, link) = (shared.clock.now(), &shared.link);
    let direct = link.registry.lock().take_direct(now);
    let LeaderLists { relays, entries } = lists.unwrap_or_default();
    let relays_version = relays.as_deref().map_or(0, fingerprint);
    let entries_version = entries.as_ref().map_or(0, |list| list.fingerprint);
    let is_urgent = direct.iter().any(|fact| fact.state != EndpointState::Ready);
    for peer in shared.directory.peers() {
        let state = states.entry(peer.info.name.clone()).or_default();
        state.pending.extend(direct.iter().cloned());
        state.is_urgent |= is_urgent;
        if let Some(call) = state.call.take_if(|call| call.is_finished()) {
            state.record_reply(shared, call.await.ok().flatten());
        }
        let to_leader = leader == Some(&peer.info.name);
        let (crash_sent, crashes) = link.crash_log.lock().newer_than(now, state.crash_received);
        let interval =
            if to_leader || totals.is_some() { LEADER_SYNC_INTERVAL } else { REFRESH_INTERVAL };
        let is_due = state.is_urgent || !crashes.is_empty() || now - state.last_sync >= interval;
        if !is_due || state.call.is_some() {
            continue;
        }
        let reports =
            if to_leader { link.report_store.lock().take_unforwarded(now) } else { Vec::new() };
        let relays = relays.clone().filter(|_| state.relays_sent != relays_version);
        state.relays_sent = relays_version;
        let entries = entries.as_ref().filter(|_| state.entries_sent != entries_version);
        state.entries_sent = entries_version;
        let is_full = std::mem::take(&mut state.is_full);
        let sync = ControlSync {
            from: shared.directory.own_info().clone(),
            incarnation: link.incarnation,
            wall: Millis::wall(),
            endpoints: std::mem::take(&mut state.pending),
            reports,
            totals: totals.clone(),
            crashes,
            relays,
            entries: entries.map(|list| list.entries.to_vec()),
            history: is_full.then(|| link.history(now)),
        };
        state.crash_sent = crash_sent;
        state.last_sync = now;
        state.is_urgent = false;
        state.call = Some(tokio::spawn(send_sync(peer, sync)));
    }
}

/// Lists of entry instances that the leader sends to the other control instances.
#[derive(Debug, Default)]
struct LeaderLists {
    /// Those that offer tunnels.
    relays: Option<Vec<RelayOffer>>,
    /// All of them.
    entries: Option<EntryList>,
}

impl LeaderLists {
    fn of(link: &Link, now: Millis) -> Self {
        Self { relays: Some(link.relay_offers(now)), entries: Some(link.entry_list(now)) }
    }
}

impl PeerSyncState {
    /// Records the outcome of a sync call. After a failure, reports are sent again; a peer that
    /// changed its incarnation, or failed the previous call, is sent all endpoints.
    fn record_reply(&mut self, shared: &Shared, reply: Option<ControlSyncReply>) {
        let incarnation = reply.map(|reply| reply.incarnation);
        if incarnation.is_none() || incarnation != self.incarnation {
            self.relays_sent = 0;
            self.entries_sent = 0;
        }
        if incarnation.is_none() {
            shared.link.report_store.lock().mark_unforwarded();
        } else if incarnation != self.incarnation {
            // The peer lacks what was sent to its earlier incarnation, or what a failed call
            // carried.
            self.pending = shared.link.registry.lock().all(shared.clock.now());
            self.is_full = true;
            self.is_urgent = true;
            self.crash_received = 0;
        } else {
            self.crash_received = self.crash_sent;
        }
        self.incarnation = incarnation;
    }
}

async fn send_sync(peer: Arc<ControlPeer>, sync: ControlSync) -> Option<ControlSyncReply> {
    let reply = peer.client.call(&sync).await;
    if let Err(err) = &reply {
        event!(Debug, "control_unreachable", name = peer.info.name, error = err);
    }
    reply.ok()
}
