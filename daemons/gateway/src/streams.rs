//! Remembers which software version began each stream, replicates that to other entry instances, and
//! finds out where a stream may continue that a caller takes up here.
//!
//! `docs/design/streams.md` describes what is weighed. [`sill_dispatch::streams`] decides; this
//! module sends and answers the calls between entry instances.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;
use prometheus::{IntCounter, IntCounterVec, IntGauge};
use sill_base::{Clock, Map, Millis, Name, Secret, event};
use sill_dispatch::streams::{
    ASKED, HOLDERS, KnownStream, MAX_BATCH, StreamOrigins, TakeUp, VersionHistory, combine_views,
    decide, holders, is_single,
};
use sill_dispatch::{
    AccountEntry, OriginServices, Placement, RouteEntry, RouteHistory, RouteTable,
};
use sill_net::{PeerClient, PeerError, PeerServerBuilder};
use sill_wire::RequestKey;
use sill_wire::control::Revision;
use sill_wire::link::UnchangedRoutes;
use sill_wire::streams::{
    EntryPeer, FindStream, FindStreamReply, RecordStreams, RecordStreamsReply, StreamOrigin,
    VersionView,
};
use tokio::sync::{Notify, Semaphore};

use crate::cfg::GatewayCfg;
use crate::dialect::CallHead;
use crate::metrics::Metrics;
use crate::serve::Call;
use crate::state::State;

/// Time for other instances to answer what they know of a stream. A caller is refused after it.
const LOOKUP_TIMEOUT: Millis = Millis(40);

/// Time for another instance to take a record.
const RECORD_TIMEOUT: Millis = Millis(500);

/// Pause before a record is sent once more to an instance that did not take it.
const RECORD_PAUSE: Millis = Millis(100);

/// Number of streams that are looked up at once. Callers may take up any number of made-up streams.
const MAX_LOOKUPS: usize = 64;

/// Interval at which streams are replicated whose services no longer have a single version.
const CHECK_INTERVAL: Millis = Millis(250);

/// Time beyond a call's deadline for which its stream is remembered.
const TAKE_UP_MARGIN: Millis = Millis(10_000);

/// Shortest time for which a stream is remembered. A caller's deadline may be later than that of one
/// call.
const MIN_REMEMBERED: Millis = Millis(60_000);

/// Time after the first list of entry instances in which others may not be listed yet. Those that
/// start at the same time are listed one after the other.
pub const LIST_SETTLE_TIME: Millis = Millis(3000);

/// The streams that an entry instance carries, and replicas of the records of other instances.
#[derive(Debug)]
pub struct Streams {
    clock: Clock,
    name: Name,
    key: Secret,
    origins: Mutex<StreamOrigins>,
    history: Mutex<VersionHistory>,
    routes: Mutex<RouteHistory>,
    peers: Mutex<Peers>,
    lookups: Semaphore,
    /// Wakes [`run`] when there may be streams to replicate.
    unreplicated: Notify,
    take_ups: IntCounterVec,
    replicated: IntCounterVec,
    known: IntGauge,
    received: IntCounter,
}

/// Other entry instances, by the control instance that named them.
#[derive(Debug, Default)]
struct Peers {
    by_control: Map<SocketAddr, Vec<EntryPeer>>,
    all: Vec<EntryPeer>,
    clients: Map<SocketAddr, PeerClient>,
    /// When the first list arrived.
    listed_at: Option<Millis>,
}

impl Peers {
    /// Rebuilds the list, in which the instances of `newest` are as given there. Returns those that
    /// are new or have restarted.
    fn rebuild(&mut self, newest: SocketAddr) -> Vec<EntryPeer> {
        let mut by_name: Map<&Name, &EntryPeer> = Map::default();
        let others = self.by_control.iter().filter(|(control, _)| **control != newest);
        let lists = others.map(|(_, list)| list).chain(self.by_control.get(&newest));
        lists.flatten().for_each(|peer| _ = by_name.insert(&peer.entry, peer));
        let mut all: Vec<EntryPeer> = by_name.into_values().cloned().collect();
        all.sort();
        self.clients.retain(|address, _| all.iter().any(|peer| peer.address == *address));
        let before = std::mem::replace(&mut self.all, all);
        let is_known = |peer: &&EntryPeer| {
            let is_same = |other: &EntryPeer| {
                other.entry == peer.entry && other.incarnation == peer.incarnation
            };
            before.iter().any(is_same)
        };
        self.all.iter().filter(|peer| !is_known(peer)).cloned().collect()
    }

    fn client(&mut self, address: SocketAddr, key: &Secret) -> PeerClient {
        let client = self.clients.entry(address);
        client.or_insert_with(|| PeerClient::new(address, key, RECORD_TIMEOUT)).clone()
    }
}

/// How a call takes up an earlier stream.
struct Lookup {
    decision: TakeUp,
    /// Number of instances that were asked, and that replied.
    asked: usize,
    replied: usize,
    view: VersionView,
}

impl Streams {
    /// Creates the record of an instance that carries no streams yet.
    pub fn new(cfg: &GatewayCfg, clock: Clock, metrics: &Metrics) -> Self {
        Self {
            clock,
            name: cfg.name.clone(),
            key: cfg.cluster_key.clone(),
            origins: Mutex::default(),
            history: Mutex::default(),
            routes: Mutex::default(),
            peers: Mutex::default(),
            lookups: Semaphore::new(MAX_LOOKUPS),
            unreplicated: Notify::new(),
            take_ups: metrics.take_ups.clone(),
            replicated: metrics.streams_replicated.clone(),
            known: metrics.streams_known.clone(),
            received: metrics.streams_received.clone(),
        }
    }

    /// Records a reply of a control instance that is in contact with a leader.
    pub fn record_control_reply(&self, history: Millis) {
        self.history.lock().record_reply(self.clock.now(), history);
    }

    /// Records that newer settings are put in force in place of `before`.
    pub fn record_settings(&self, before: Option<&RouteTable>, after: &RouteTable) {
        self.routes.lock().record_settings(self.clock.now(), before, after);
        self.unreplicated.notify_one();
    }

    /// Records for how long no route has changed, as a control instance says that is in contact with a
    /// leader; `revision` is in force here.
    pub fn record_unchanged_routes(&self, revision: u64, unchanged: UnchangedRoutes) {
        if unchanged.revision == Revision(revision) {
            self.routes.lock().record_unchanged(self.clock.now(), unchanged.age);
        }
    }

    /// Replaces the entry instances that a control instance knows of.
    pub fn set_peers(self: &Arc<Self>, from: SocketAddr, list: Vec<EntryPeer>) {
        let new = {
            let mut peers = self.peers.lock();
            peers.listed_at.get_or_insert(self.clock.now());
            peers.by_control.insert(from, list);
            peers.rebuild(from)
        };
        self.unreplicated.notify_one();
        if new.is_empty() {
            return;
        }
        // An instance that has restarted has lost what it kept.
        let is_new = |peer: &EntryPeer| new.contains(peer);
        let streams = self.origins.lock().replicated(self.clock.now());
        for part in streams.chunks(MAX_BATCH) {
            self.replicate(part, HOLDERS, is_new);
        }
    }

    /// Returns the names of all entry instances that control instances know of.
    pub fn entry_names(&self) -> Arc<[Name]> {
        self.peers.lock().all.iter().map(|peer| peer.entry.clone()).collect()
    }

    /// Drops the list of a control instance that is no longer followed, if there are others.
    pub fn drop_peers(&self, from: SocketAddr) {
        let mut peers = self.peers.lock();
        if peers.by_control.keys().any(|control| *control != from) {
            peers.by_control.remove(&from);
            if let Some(other) = peers.by_control.keys().next().copied() {
                let _ = peers.rebuild(other);
            }
        }
    }

    /// Has streams replicated whose services may have another version from now on.
    pub fn review(&self) {
        self.unreplicated.notify_one();
    }

    fn record_replica(&self, call: &RecordStreams) -> RecordStreamsReply {
        let now = self.clock.now();
        let mut origins = self.origins.lock();
        let streams = call.streams.iter().take(MAX_BATCH);
        let new = streams.filter(|origin| origins.record_replica(now, origin, &call.from)).count();
        self.known.set(origins.len() as i64);
        self.received.inc_by(new as u64);
        RecordStreamsReply { new }
    }

    fn holders(&self, stream: RequestKey, count: usize) -> Vec<EntryPeer> {
        let peers = self.peers.lock();
        let chosen = holders(stream, &peers.all, count).into_iter();
        chosen.filter(|peer| peer.entry != self.name).cloned().collect()
    }

    /// Returns clients of other entry instances, which are drawn by a key, and as far as possible of
    /// different failure domains. If fewer than `count` are known, those at the addresses `more`
    /// follow.
    pub fn clients(&self, key: RequestKey, count: usize, more: &[SocketAddr]) -> Vec<PeerClient> {
        let holders = self.holders(key, count);
        let mut chosen: Vec<SocketAddr> = holders.iter().map(|peer| peer.address).collect();
        let unknown = more.iter().filter(|address| !chosen.contains(address));
        let unknown: Vec<SocketAddr> = unknown.copied().collect();
        chosen.extend(unknown);
        chosen.truncate(count);
        let mut peers = self.peers.lock();
        chosen.into_iter().map(|address| peers.client(address, &self.key)).collect()
    }

    /// Returns a client of the entry instance at an address.
    pub fn client(&self, address: SocketAddr) -> PeerClient {
        self.peers.lock().client(address, &self.key)
    }

    /// Returns whether all entry instances are listed, also those that started at the same time.
    pub fn is_list_settled(&self) -> bool {
        let (now, peers) = (self.clock.now(), self.peers.lock());
        peers.listed_at.is_some_and(|at| now - at >= LIST_SETTLE_TIME)
    }

    /// Sends records of streams to the first `count` instances that keep each of them, as far as
    /// `is_target` selects these.
    fn replicate<F>(self: &Arc<Self>, streams: &[StreamOrigin], count: usize, is_target: F)
    where
        F: Fn(&EntryPeer) -> bool,
    {
        let mut by_holder: Map<EntryPeer, Vec<StreamOrigin>> = Map::default();
        for origin in streams {
            let holders = self.holders(origin.stream, count);
            for peer in holders.into_iter().filter(|peer| is_target(peer)) {
                by_holder.entry(peer).or_default().push(origin.clone());
            }
        }
        for (peer, streams) in by_holder {
            let client = self.peers.lock().client(peer.address, &self.key);
            let call = RecordStreams { from: self.name.clone(), streams };
            tokio::spawn(self.clone().send_record(client, peer, call));
        }
    }

    async fn send_record(
        self: Arc<Self>,
        client: PeerClient,
        peer: EntryPeer,
        call: RecordStreams,
    ) {
        let mut result = client.call(&call).await;
        if result.is_err() {
            tokio::time::sleep(RECORD_PAUSE.into()).await;
            result = client.call(&call).await;
        }
        let label = if result.is_ok() { "replicated" } else { "failed" };
        self.replicated.with_label_values(&[label]).inc_by(call.streams.len() as u64);
        if let Err(err) = result {
            event!(
                Debug,
                "streams_not_replicated",
                entry = peer.entry,
                streams = call.streams.len(),
                why = err
            );
        }
    }

    /// Asks other instances for a stream.
    async fn look_up(
        &self,
        stream: RequestKey,
        origins: &OriginServices,
        own: VersionView,
    ) -> Lookup {
        let mut lookup = Lookup { decision: TakeUp::Unknown, asked: 0, replied: 0, view: own };
        let Ok(_permit) = self.lookups.try_acquire() else { return lookup };
        let call = FindStream { stream, services: origins.services.clone() };
        let mut replies = FuturesUnordered::new();
        for peer in self.holders(stream, ASKED) {
            let client = self.peers.lock().client(peer.address, &self.key);
            let call = &call;
            replies.push(async move { (peer.entry, client.call(call).await) });
        }
        lookup.asked = replies.len();
        let mut known = None;
        let deadline = tokio::time::sleep(LOOKUP_TIMEOUT.into());
        tokio::pin!(deadline);
        while known.is_none() {
            let (from, reply) = tokio::select! {
                reply = replies.next() => match reply {
                    Some(reply) => reply,
                    None => break,
                },
                () = &mut deadline => break,
            };
            let Ok(FindStreamReply { origin, view }) = reply else { continue };
            lookup.replied += 1;
            lookup.view = combine_views([lookup.view, view]);
            known = origin.map(|origin| KnownStream { origin, from: Some(from) });
        }
        drop(replies);
        if let Some(KnownStream { origin, from: Some(from) }) = &known {
            self.origins.lock().record_replica(self.clock.now(), origin, from);
        }
        lookup.decision = decide(known, origins, [lookup.view.clone()]);
        lookup
    }
}

impl State {
    /// Returns the versions of the endpoints of some services.
    fn version_view(&self, services: &[Name]) -> VersionView {
        let now = self.clock.now();
        let is_complete = self.streams.history.lock().is_complete(now);
        let pools = services.iter().filter_map(|service| self.pool(service));
        let views =
            pools.map(|pool| VersionView { versions: pool.pool.lock().versions(now), is_complete });
        combine_views(views)
    }

    /// Returns the services that may have begun a stream at a path of a route.
    fn origin_services(&self, route: &RouteEntry, path: &str) -> OriginServices {
        self.streams.routes.lock().origins(self.clock.now(), route, path)
    }

    /// Records that an endpoint has begun the stream of a call, or continued one that the call took
    /// up.
    pub fn record_stream(&self, call: &Call, placement: &Placement) {
        let now = self.clock.now();
        let time_left = (call.due - now + TAKE_UP_MARGIN).max(MIN_REMEMBERED);
        let origins = self.origin_services(&call.route, call.uri.path());
        let services: Arc<[Name]> = call.route.services().into();
        let attempts = [Some(&call.head.attempt), call.head.resumes.as_ref()];
        let streams = &self.streams;
        let mut known = streams.origins.lock();
        for attempt in attempts.into_iter().flatten() {
            let origin = StreamOrigin {
                stream: stream_key(call.account.as_deref(), &call.head, call.uri.path(), attempt),
                service: call.pool.service.clone(),
                endpoint: placement.endpoint.clone(),
                software: placement.software.clone(),
                age: Millis::ZERO,
                time_left,
            };
            known.record_own(now, &origin, services.clone());
        }
        streams.known.set(known.len() as i64);
        drop(known);
        if !origins.is_single() || !is_single(&self.version_view(&services)) {
            streams.unreplicated.notify_one();
        }
    }

    /// Finds out where a stream continues that a call takes up.
    pub async fn take_up(
        &self,
        account: Option<&AccountEntry>,
        head: &CallHead,
        route: &RouteEntry,
        path: &str,
    ) -> TakeUp {
        let origins = self.origin_services(route, path);
        let own = self.version_view(&origins.services);
        let stream = head.resumes.as_ref().map(|first| stream_key(account, head, path, first));
        let known =
            stream.and_then(|stream| self.streams.origins.lock().find(self.clock.now(), stream));
        let lookup = match (stream, known) {
            (Some(stream), None) => self.streams.look_up(stream, &origins, own).await,
            (_, known) => {
                let decision = decide(known, &origins, [own.clone()]);
                Lookup { decision, asked: 0, replied: 0, view: own }
            }
        };
        let lookup = Lookup { decision: self.doubt_ambiguous(lookup.decision), ..lookup };
        self.log_take_up(head, route, &origins, &lookup);
        lookup.decision
    }

    /// Rejects the record of a stream whose endpoint has reported another version since.
    fn doubt_ambiguous(&self, decision: TakeUp) -> TakeUp {
        let TakeUp::Known(KnownStream { origin, .. }) = &decision else { return decision };
        let pool = self.pool(&origin.service);
        match pool.is_some_and(|pool| pool.pool.lock().is_ambiguous(&origin.endpoint)) {
            true => TakeUp::Unknown,
            false => decision,
        }
    }

    fn log_take_up(
        &self,
        head: &CallHead,
        route: &RouteEntry,
        origins: &OriginServices,
        lookup: &Lookup,
    ) {
        let Lookup { decision, asked, replied, view } = lookup;
        let (result, software, known) = match decision {
            TakeUp::Known(known) => ("known", Some(&known.origin.software), Some(known)),
            TakeUp::Single(software) => ("single", Some(software), None),
            TakeUp::Unknown => ("unknown", None, None),
        };
        self.streams.take_ups.with_label_values(&[result]).inc();
        let from = known.map(|known| known.from.as_ref().unwrap_or(&self.cfg.name));
        let versions: Vec<String> = view.versions.iter().map(ToString::to_string).collect();
        event!(
            Info,
            "stream_taken_up",
            id = head.attempt,
            resumes = head.resumes.as_ref().map(Name::as_str).unwrap_or_default(),
            last_event = head.last_event.as_ref().map(Name::as_str).unwrap_or_default(),
            route = route.name,
            result = result,
            software = software.map(ToString::to_string).unwrap_or_default(),
            service = known.map(|known| known.origin.service.as_str()).unwrap_or_default(),
            services = origins.services.join(","),
            are_services_known = origins.is_complete,
            endpoint = known.map(|known| known.origin.endpoint.as_str()).unwrap_or_default(),
            from = from.map(Name::as_str).unwrap_or_default(),
            age_ms = known.map(|known| known.origin.age.to_string()).unwrap_or_default(),
            versions = versions.join(","),
            is_complete = view.is_complete,
            asked = asked,
            replied = replied
        );
    }

    /// Records a take-up whose version has no endpoint left.
    pub fn record_unavailable_version(&self) {
        self.streams.take_ups.with_label_values(&["version_unavailable"]).inc();
    }

    fn find_stream(&self, call: &FindStream) -> FindStreamReply {
        let known = self.streams.origins.lock().find(self.clock.now(), call.stream);
        FindStreamReply {
            origin: known.map(|known| known.origin),
            view: self.version_view(&call.services),
        }
    }
}

/// Returns the key of the stream that an attempt began. Other accounts, hosts and paths have other
/// keys, so that no caller can name the stream of another one.
fn stream_key(
    account: Option<&AccountEntry>,
    head: &CallHead,
    path: &str,
    attempt: &Name,
) -> RequestKey {
    let account = account.map_or("", |account| account.name.as_str());
    let host = head.host.split(':').next().unwrap_or_default();
    RequestKey::of(&[account, host, path, attempt.as_str()].map(str::as_bytes))
}

/// Adds the methods that other entry instances call.
pub fn add_methods(builder: &mut PeerServerBuilder, state: &Arc<State>) {
    let recording = state.clone();
    builder.answer(move |call: RecordStreams| {
        let reply = recording.streams.record_replica(&call);
        async move { Ok::<_, PeerError>(reply) }
    });
    let finding = state.clone();
    builder.answer(move |call: FindStream| {
        let reply = finding.find_stream(&call);
        async move { Ok::<_, PeerError>(reply) }
    });
}

/// Tells other instances of streams whose services have several versions, or whose routes several
/// services, or may have.
pub async fn run(state: Arc<State>) {
    loop {
        let unreplicated = state.streams.unreplicated.notified();
        let _ = tokio::time::timeout(CHECK_INTERVAL.into(), unreplicated).await;
        if state.streams.peers.lock().all.is_empty() {
            continue;
        }
        loop {
            let now = state.clock.now();
            let may_have_moved = state.streams.routes.lock().may_have_changed(now);
            let mut views: Map<Vec<Name>, bool> = Map::default();
            let is_due = |services: &[Name]| {
                let is_due = views.entry(services.to_vec());
                let view = || state.version_view(services);
                may_have_moved
                    || services.len() > 1
                    || *is_due.or_insert_with(|| !is_single(&view()))
            };
            let streams = state.streams.origins.lock().take_unreplicated(now, is_due);
            if streams.is_empty() {
                break;
            }
            state.streams.replicate(&streams, HOLDERS, |_| true);
        }
    }
}

/// Hands everything that is known of streams on, because this instance stops.
pub fn hand_over(state: &State) {
    let streams = state.streams.origins.lock().replicated(state.clock.now());
    for part in streams.chunks(MAX_BATCH) {
        state.streams.replicate(part, ASKED, |_| true);
    }
}
