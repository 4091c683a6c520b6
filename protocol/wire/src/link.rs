//! Calls between entry instances that serve routes and control instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::call::Call;
use crate::control::Revision;
use crate::crash::CrashUpdate;
use crate::rollout::{RolloutReport, ServiceVersions};
use crate::settings::Manifest;
use crate::software::Software;
use crate::streams::{EntryPeer, ServedVersion};

/// The lifecycle state of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes its requests in flight and accepts no new ones.
    Leaving,
    /// No heartbeat has arrived for several heartbeat intervals.
    Silent,
    /// The endpoint has reported its end.
    Gone,
}

/// The state of one incarnation of an endpoint, from its newest heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointFact {
    /// The endpoint's name. A restarted endpoint may use the same name again.
    pub endpoint: Name,
    /// The start time of the endpoint, or the default if it doesn't report one. Name and start time
    /// identify an incarnation: the state of an earlier incarnation says nothing about a later one.
    #[serde(rename = "born", default)]
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Grows with each heartbeat of an incarnation.
    pub sequence: u64,
    /// The lifecycle state.
    pub state: EndpointState,
    /// Whether the platform may reclaim its instance.
    pub reclaimable: bool,
    /// Time left until its instance is reclaimed, counted from the heartbeat's arrival, if the
    /// platform has announced it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaves_in: Option<Millis>,
    /// The version of its software.
    #[serde(default, skip_serializing_if = "Software::is_unnamed")]
    pub software: Software,
    /// Time for which it is slower than usual after its start, counted from the heartbeat's arrival;
    /// absent once it is warm.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_for: Option<Millis>,
    /// Time since the heartbeat arrived.
    pub age: Millis,
}

impl EndpointFact {
    /// Returns its version as one of its service.
    pub fn served_version(&self) -> ServedVersion {
        ServedVersion { service: self.service.clone(), software: self.software.clone() }
    }
}

/// The name and addresses of a control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlInfo {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The address for other processes of the system.
    pub peer: SocketAddr,
    /// The address for operators and endpoints.
    pub address: SocketAddr,
}

/// A position in the sequence of endpoint changes of one control instance.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The incarnation of the control instance; a cursor is invalid for any other.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The number of the last change that was received.
    pub change: u64,
    /// The number of the last endpoint load that was received.
    #[serde(default)]
    pub load: u64,
    /// The number of the last crash that was received.
    #[serde(default)]
    pub crash: u64,
    /// The fingerprint of the tunnel offers that were received last.
    #[serde(default)]
    pub relays: u64,
    /// The fingerprint of the list of entry instances that was received last.
    #[serde(default)]
    pub entries: u64,
    /// The fingerprint of the versions of services that were received last.
    #[serde(default)]
    pub versions: u64,
}

/// An entry instance that offers tunnels to endpoints.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RelayOffer {
    /// The entry instance.
    pub entry: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The address at which it accepts tunnels.
    pub address: SocketAddr,
}

/// The load of an endpoint, as the endpoint reported it with an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// Its incarnation.
    #[serde(rename = "b", default, skip_serializing_if = "is_default")]
    pub incarnation: Incarnation,
    /// Number of requests that were running.
    #[serde(rename = "r")]
    pub running: u32,
    /// Number of requests that were queued.
    #[serde(rename = "q", default, skip_serializing_if = "is_default")]
    pub queued: u32,
    /// Whether it rejected a request because it was full.
    #[serde(rename = "f", default, skip_serializing_if = "is_default")]
    pub is_full: bool,
    /// Rejections per second that it bears before it ends, if it named a bound.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub rejection_bound: Option<u32>,
    /// Requests per second that it takes from all entry instances together; 0 if it has named a limit
    /// before and does so no longer.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub request_limit: Option<f64>,
    /// How long work took on its machine, in percent of the usual time, if it reported that.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<u32>,
    /// How long the reporting entry instance waited for the first part of its newest answer, relative
    /// to what is usual for such a call at that pace, in percent; only of endpoints that report a pace.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub relative_time: Option<u32>,
    /// Time since the endpoint reported it.
    #[serde(rename = "a")]
    pub age: Millis,
}

/// The number of requests that started in one time window, by client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowUsage {
    /// The number of the window.
    pub window: u64,
    /// Number of requests by client account.
    pub counts: BTreeMap<Name, u64>,
}

/// The demand of one client account at an entry instance, in the unit of its limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountReport {
    /// The client account.
    pub account: Name,
    /// Requested amount per second, admitted or not.
    pub asked_per_s: f64,
    /// Amount admitted in the last [`LIMIT_WINDOW`].
    pub admitted: f64,
    /// Recent rate of admission, per second.
    pub admitted_per_s: f64,
    /// The admitted amount by seconds, newest first, for an account that is not far below its
    /// limit. It shows how much is still inside the window some time later, when the entry instance
    /// may be gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub by_second: Vec<u64>,
    /// The share of the limit that the entry instance admits by itself, also while it is
    /// partitioned from the control instances.
    pub share: f64,
}

/// The load of one service at an entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service's name.
    pub service: Name,
    /// Number of requests in flight at its endpoints.
    pub running: u32,
    /// Prompt tokens sent per second that were expected to be absent from the prefix cache.
    pub fresh_tokens_per_s: f64,
    /// Requests refused per second for lack of capacity.
    pub refused_per_s: f64,
    /// The entry instance's estimate of its engines' speed, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<EngineSpeed>,
    /// Counts of answers by version, while a roll-out of the service is in progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<RolloutReport>,
    /// Work that waits and was started, if the service has a wait queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueLoad>,
}

/// Work that waits for the endpoints of a service, and that was started lately. Work is measured in
/// tokens for model engines, and in requests otherwise.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// Work that waits.
    pub waiting: f64,
    /// Work started per second.
    pub started_per_s: f64,
    /// Work started per second for each client account; anonymous calls have an empty name.
    pub accounts: Vec<(Name, f64)>,
}

/// The wait queues of one service at all entry instances together.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueTotal {
    /// The service.
    pub service: Name,
    /// Sums over the entry instances that report.
    pub load: QueueLoad,
}

/// An estimate of the speed of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineSpeed {
    /// Prefill throughput of an engine, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// The number of fits of measurements behind the estimate; at 0 the speed is only presumed.
    #[serde(rename = "lines")]
    pub fits: u32,
}

/// The regular report of an entry instance to the control instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// The reporting entry instance.
    pub entry: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// Grows with each report.
    pub sequence: u64,
    /// The time of its wall clock.
    pub wall: Millis,
    /// The uptime of its process; absent in reports of older versions.
    #[serde(rename = "up", default, skip_serializing_if = "Option::is_none")]
    pub uptime: Option<Millis>,
    /// The number of entry instances in the totals that it received last, or 0 if it has received
    /// none lately. This is the only way in which a control instance that becomes leader without
    /// prior state learns of partitioned entry instances.
    #[serde(default, skip_serializing_if = "is_default")]
    pub entries: u32,
    /// Age of the report when another control instance relayed it.
    #[serde(default, skip_serializing_if = "is_default")]
    pub age: Millis,
    /// Usage in the newest windows, each counted from the window's start.
    pub usage: Vec<WindowUsage>,
    /// Demand by client account.
    pub accounts: Vec<AccountReport>,
    /// Load by service.
    pub services: Vec<ServiceReport>,
    /// Loads that endpoints have recently reported to it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<EndpointLoad>,
    /// The address at which it accepts tunnels to endpoints; absent while it offers none, because
    /// it stops or doesn't reach endpoints itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relay: Option<SocketAddr>,
    /// The address at which it accepts calls of other entry instances; absent while it stops.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
}

/// A long poll by which an entry instance receives updates from a control instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkPoll {
    /// The newest revision of the served settings that the entry instance has applied, or that the
    /// called instance has announced to it.
    pub have: Revision,
    /// The position up to which it has received this control instance's endpoint changes.
    pub cursor: Cursor,
    /// How long the call may block until there is an update.
    pub wait: Millis,
    /// The entry instance's current report.
    pub report: EntryReport,
    /// Crashes that the entry instance has not sent to this control instance yet.
    #[serde(default, skip_serializing_if = "CrashUpdate::is_empty")]
    pub crashes: CrashUpdate,
}

/// The demand of one client account, summed over all entry instances.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountTotal {
    /// The client account.
    pub account: Name,
    /// Requested amount per second.
    pub asked_per_s: f64,
    /// Amount admitted in the last [`LIMIT_WINDOW`].
    pub admitted: f64,
    /// Recent rate of admission, per second.
    pub admitted_per_s: f64,
    /// The share of the limit held by entry instances that send no reports at present. The demand
    /// above is that of the other instances; `admitted` includes what these are known to have
    /// admitted.
    pub held: f64,
    /// The amount that may have been admitted in the last [`LIMIT_WINDOW`] without a report, in
    /// seconds of the limit. If it is absent, instances that hold a share are assumed to have held
    /// it for the whole window.
    #[serde(rename = "untold_s", default, skip_serializing_if = "Option::is_none")]
    pub unreported_s: Option<f64>,
}

/// The demand of all client accounts over all entry instances, as summed up by the leader.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Age of the totals.
    pub age: Millis,
    /// Number of entry instances, including those that may be partitioned.
    pub entries: u32,
    /// The amount that may have been admitted in the last [`LIMIT_WINDOW`] for an account that is
    /// in no report, in seconds of its limit.
    #[serde(rename = "untold_s", default, skip_serializing_if = "is_default")]
    pub unreported_s: f64,
    /// Demand by client account.
    pub accounts: Vec<AccountTotal>,
    /// Wait queues by service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub queues: Vec<QueueTotal>,
}

/// The updates for an entry instance, in reply to a [`LinkPoll`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkReply {
    /// The pieces of newer settings, if there are any. The settings themselves are fetched
    /// separately: on a slow link, their transfer would delay totals and departures of endpoints.
    pub settings: Option<Manifest>,
    /// The position up to which this reply contains endpoint changes.
    pub cursor: Cursor,
    /// The endpoints that changed.
    pub endpoints: Vec<EndpointFact>,
    /// Loads that endpoints have recently reported to other entry instances.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<EndpointLoad>,
    /// Crashes of endpoints after the poll's cursor.
    #[serde(default, skip_serializing_if = "CrashUpdate::is_empty")]
    pub crashes: CrashUpdate,
    /// Entry instances that offer tunnels, unless the poll's cursor names this list already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relays: Option<Vec<RelayOffer>>,
    /// All entry instances, unless the poll's cursor names this list already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<Vec<EntryPeer>>,
    /// The versions of services, unless the poll's cursor names this list already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions: Option<Vec<ServiceVersions>>,
    /// All known control instances.
    pub controls: Vec<ControlInfo>,
    /// The demand over all entry instances, if a leader is known.
    pub totals: Option<Totals>,
    /// The true time of day: the median of all wall clocks.
    pub true_time: Millis,
    /// Whether this control instance is in contact with a leader; without one its settings may be
    /// outdated.
    #[serde(rename = "is_led")]
    pub has_leader: bool,
    /// The time for which this control instance, or others that it heard from, has recorded
    /// endpoints without a gap.
    #[serde(default)]
    pub history: Millis,
    /// For how long no route has changed its services.
    #[serde(default)]
    pub routes: Option<UnchangedRoutes>,
    /// Versions that begin no streams yet that may be taken up, as the replicated log doesn't have
    /// them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<ServedVersion>,
}

/// For how long no route has changed the services that it draws from, as far as a control instance has
/// seen each revision of the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnchangedRoutes {
    /// The newest revision.
    pub revision: Revision,
    /// The time, up to that revision and since.
    pub age: Millis,
}

/// The updates that a control instance relays to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlSync {
    /// The sending control instance.
    pub from: ControlInfo,
    /// Its incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The time of its wall clock.
    pub wall: Millis,
    /// Endpoints that it has received heartbeats of since the last call.
    pub endpoints: Vec<EndpointFact>,
    /// Reports of entry instances, sent to the leader.
    pub reports: Vec<EntryReport>,
    /// The demand over all entry instances, sent by the leader.
    pub totals: Option<Totals>,
    /// Crashes of endpoints that were not sent to the called instance yet.
    #[serde(default, skip_serializing_if = "CrashUpdate::is_empty")]
    pub crashes: CrashUpdate,
    /// Entry instances that offer tunnels, sent by the leader when they have changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub relays: Option<Vec<RelayOffer>>,
    /// All entry instances, sent by the leader when the list has changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entries: Option<Vec<EntryPeer>>,
    /// The time for which the sender has recorded endpoints without a gap; set if `endpoints` are
    /// all of them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub history: Option<Millis>,
}

/// The reply to a [`ControlSync`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ControlSyncReply {
    /// The incarnation of the replying control instance. If it has changed, that instance lacks all
    /// updates sent before.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// The highest pace that makes sense, in percent of the usual time.
pub const MAX_PACE: u32 = 10_000;

/// Returns whether a reported pace makes sense.
pub fn is_valid_pace(percent: u32) -> bool {
    (1..=MAX_PACE).contains(&percent)
}

/// The length of the sliding window over which admitted amounts are summed.
pub const LIMIT_WINDOW: Millis = Millis(8000);

impl Call for LinkPoll {
    type Reply = LinkReply;

    const METHOD: &'static str = "link_poll";
}

impl Call for ControlSync {
    type Reply = ControlSyncReply;

    const METHOD: &'static str = "control_sync";
}

/// Skips fields with their default value, to keep frequent messages short.
fn is_default<T>(value: &T) -> bool
where
    T: Default + PartialEq,
{
    *value == T::default()
}
