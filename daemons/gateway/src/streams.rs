//! Remembers which software version began each stream, replicates that to other entry instances, and
//! finds out where a stream may continue that a caller takes up here.
//!
//! `docs/design/streams.md` describes what is weighed. [`sill_dispatch::streams`] decides; this
//! module sends and answers the calls between entry instances.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt};
use parking_lot::Mutex;
use prometheus::{IntCounter, IntCounterVec, IntGauge};
use sill_base::{Clock, Map, Millis, Name, Secret, event};
use sill_dispatch::streams::{
    ASKED, HOLDERS, KnownStream, MAX_BATCH, StreamOrigins, TakeUp, VersionHistory, combine_views,
    decide, holders, is_single,
};
use sill_dispatch::{
    AccountEntry, Inquiry, OriginServices, Placement, ReleasedVersions, RouteEntry, RouteHistory,
    RouteTable,
};
use sill_net::{PeerClient, PeerError, PeerServerBuilder};
use sill_wire::control::Revision;
use sill_wire::link::{LinkReply, UnchangedRoutes};
use sill_wire::streams::{
    ConfirmVersions, ConfirmVersionsReply, EntryPeer, FindStream, FindStreamReply, RecordStreams,
    RecordStreamsReply, ServedVersion, StreamOrigin, VersionView,
};
use sill_wire::{RequestKey, Software};
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;

use crate::cfg::GatewayCfg;
use crate::dialect::CallHead;
use crate::metrics::Metrics;
use crate::serve::Call;
use crate::state::{PoolState, State};

/// Time for other instances to answer what they know of a stream. A caller is refused after it.
const LOOKUP_TIMEOUT: Millis = Millis(40);

/// Time for the replies without which a stream that nobody knows is refused, although a single version
/// may have begun it. A refused caller would come back as late.
const CONCLUSION_TIMEOUT: Millis = Millis(100);

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
    domain: Name,
    key: Secret,
    origins: Mutex<StreamOrigins>,
    history: Mutex<VersionHistory>,
    routes: Mutex<RouteHistory>,
    released: Mutex<ReleasedVersions>,
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
        let by_control = &self.by_control;
        self.clients.retain(|address, _| {
            by_control.contains_key(address) || all.iter().any(|peer| peer.address == *address)
        });
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
    /// Whether one replied that would know the stream, and a control instance confirmed the versions.
    has_holder_replied: bool,
    is_confirmed: bool,
    view: VersionView,
    /// The versions that the replicated log has, if it goes back far enough.
    recorded: Option<Vec<Software>>,
}

/// The reply of another instance about a stream.
enum Reply {
    Entry(Name, Result<FindStreamReply, PeerError>),
    /// The entry instance's process has ended.
    Ended(Name),
    Control(Result<ConfirmVersionsReply, PeerError>),
}

impl Streams {
    /// Creates the record of an instance that carries no streams yet.
    pub fn new(cfg: &GatewayCfg, clock: Clock, metrics: &Metrics) -> Self {
        Self {
            clock,
            name: cfg.name.clone(),
            domain: cfg.domain.clone(),
            key: cfg.cluster_key.clone(),
            origins: Mutex::default(),
            history: Mutex::default(),
            routes: Mutex::default(),
            released: Mutex::default(),
            peers: Mutex::default(),
            lookups: Semaphore::new(MAX_LOOKUPS),
            unreplicated: Notify::new(),
            take_ups: metrics.take_ups.clone(),
            replicated: metrics.streams_replicated.clone(),
            known: metrics.streams_known.clone(),
            received: metrics.streams_received.clone(),
        }
    }

    /// Records a reply, asked for at `asked_at`, of a control instance that is in contact with a
    /// leader.
    pub fn record_control_reply(&self, asked_at: Millis, history: Millis) {
        // The instance may have stood still between the reply and now.
        let history = history - (self.clock.now() - asked_at);
        self.history.lock().record_reply(asked_at, history);
    }

    /// Records which of the versions that a control instance tells of may begin streams.
    pub fn record_versions(&self, reply: &LinkReply) {
        if !reply.endpoints.is_empty() {
            self.released.lock().record(&reply.endpoints, &reply.held);
        }
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

    /// Returns the instances that keep a stream, this one among them.
    fn holders_with_own(&self, stream: RequestKey, count: usize) -> Vec<EntryPeer> {
        holders(stream, &self.peers.lock().all, count).into_iter().cloned().collect()
    }

    fn holders(&self, stream: RequestKey, count: usize) -> Vec<EntryPeer> {
        let mut chosen = self.holders_with_own(stream, count);
        chosen.retain(|peer| peer.entry != self.name);
        chosen
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

    /// Asks other instances for a stream, and control instances whether its services and versions are
    /// still those that are known here. `is_named` is unset if the caller hasn't named the stream.
    async fn look_up(
        &self,
        (stream, is_named): (RequestKey, bool),
        origins: &OriginServices,
        (revision, own): (u64, VersionView),
    ) -> Lookup {
        let asked = self.holders_with_own(stream, ASKED);
        let may_conclude = origins.is_single() && own.versions.len() == 1;
        let mut inquiry = Inquiry::new(&self.name, &self.domain, &asked, own);
        let (mut asked_count, mut replied) = (0, 0);
        if let Ok(_permit) = self.lookups.try_acquire() {
            let find = FindStream { stream, services: origins.services.clone() };
            let confirm = ConfirmVersions { services: origins.services.clone() };
            let (find, confirm) = (&find, &confirm);
            let mut replies = FuturesUnordered::new();
            for peer in asked.into_iter().filter(|peer| peer.entry != self.name) {
                let client = self.peers.lock().client(peer.address, &self.key);
                let reply = async move {
                    let reply = client.call(find).await;
                    let is_unreachable = matches!(reply, Err(PeerError::Unreachable(_)));
                    match is_unreachable && refuses_connections(peer.address).await {
                        true => Reply::Ended(peer.entry),
                        false => Reply::Entry(peer.entry, reply),
                    }
                };
                replies.push(reply.boxed());
            }
            asked_count = replies.len();
            let controls: Vec<PeerClient> = if may_conclude { self.controls() } else { Vec::new() };
            for client in controls {
                let reply = async move { Reply::Control(client.call(confirm).await) };
                replies.push(reply.boxed());
            }
            let began = Instant::now();
            while inquiry.known().is_none() {
                let lacks_replies = may_conclude && !inquiry.may_conclude();
                let timeout = if lacks_replies { CONCLUSION_TIMEOUT } else { LOOKUP_TIMEOUT };
                let reply = tokio::time::timeout_at(began + timeout.into(), replies.next()).await;
                match reply.ok().flatten() {
                    None => break,
                    Some(Reply::Entry(from, Ok(mut reply))) => {
                        replied += 1;
                        reply.origin = reply.origin.filter(|_| is_named);
                        inquiry.record_reply(&from, reply);
                    }
                    Some(Reply::Ended(of)) => inquiry.record_end(&of),
                    Some(Reply::Control(Ok(reply))) => inquiry.record_confirmation(revision, reply),
                    Some(Reply::Entry(_, Err(_)) | Reply::Control(Err(_))) => {}
                }
            }
        }
        let decision = inquiry.decide(origins);
        if let TakeUp::Known(KnownStream { origin, from: Some(from) }) = &decision {
            self.origins.lock().record_replica(self.clock.now(), origin, from);
        }
        Lookup {
            decision,
            asked: asked_count,
            replied,
            has_holder_replied: inquiry.has_holder_replied(),
            is_confirmed: inquiry.is_confirmed(),
            view: inquiry.view().clone(),
            recorded: inquiry.recorded().map(<[Software]>::to_vec),
        }
    }

    /// Returns clients of the control instances that are followed.
    fn controls(&self) -> Vec<PeerClient> {
        let mut peers = self.peers.lock();
        let addresses: Vec<SocketAddr> = peers.by_control.keys().copied().collect();
        addresses.into_iter().map(|address| peers.client(address, &self.key)).collect()
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

    /// Returns the endpoints at which no stream may begin that may be taken up, as the replicated log
    /// doesn't have their versions yet.
    pub fn held_endpoints(&self, pool: &PoolState) -> Vec<Name> {
        let released = self.streams.released.lock();
        let is_held = |software: &Software| {
            let (service, software) = (pool.service.clone(), software.clone());
            !released.admits(&ServedVersion { service, software })
        };
        let mut endpoints = pool.pool.lock();
        let versions = endpoints.ready_versions();
        let held: Vec<&Software> =
            versions.iter().map(|version| &version.software).filter(|v| is_held(v)).collect();
        if held.is_empty() {
            return Vec::new();
        }
        let facts = endpoints.facts().filter(|fact| held.contains(&&fact.software));
        facts.map(|fact| fact.endpoint.clone()).collect()
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
        let revision = self.table().map_or(0, |table| table.revision);
        let origins = self.origin_services(route, path);
        let own = self.version_view(&origins.services);
        let named = head.resumes.as_ref().map(|first| stream_key(account, head, path, first));
        let known =
            named.and_then(|stream| self.streams.origins.lock().find(self.clock.now(), stream));
        let lookup = if known.is_some() {
            let decision = decide(known, &origins, [own.clone()]);
            let (asked, replied) = (0, 0);
            let (has_holder_replied, is_confirmed) = (false, false);
            let recorded = None;
            Lookup {
                decision,
                asked,
                replied,
                has_holder_replied,
                is_confirmed,
                view: own,
                recorded,
            }
        } else {
            // Without a name, others still tell of versions.
            let of_call = || stream_key(account, head, path, &head.attempt);
            let stream = (named.unwrap_or_else(of_call), named.is_some());
            self.streams.look_up(stream, &origins, (revision, own)).await
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
        let Lookup { decision, asked, replied, has_holder_replied, is_confirmed, view, recorded } =
            lookup;
        let control_age = self.streams.history.lock().age(self.clock.now());
        let (result, software, known) = match decision {
            TakeUp::Known(known) => ("known", Some(&known.origin.software), Some(known)),
            TakeUp::Single(software) => ("single", Some(software), None),
            TakeUp::Unknown => ("unknown", None, None),
        };
        self.streams.take_ups.with_label_values(&[result]).inc();
        let from = known.map(|known| known.from.as_ref().unwrap_or(&self.cfg.name));
        let list = |versions: &[Software]| {
            versions.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
        };
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
            versions = list(&view.versions),
            is_complete = view.is_complete,
            recorded = recorded.as_deref().map(list).unwrap_or_default(),
            is_recorded = recorded.is_some(),
            asked = asked,
            replied = replied,
            has_holder_replied = has_holder_replied,
            is_confirmed = is_confirmed,
            control_age_ms = control_age.map(|age| age.to_string()).unwrap_or_default()
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

/// Returns whether the host of an address lives and no process listens there. A cut, or a process that
/// stands still, refuses nothing.
async fn refuses_connections(address: SocketAddr) -> bool {
    let connection = TcpStream::connect(address).await;
    connection.is_err_and(|err| err.kind() == ErrorKind::ConnectionRefused)
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
