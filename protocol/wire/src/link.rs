//! What entry instances that serve routes and control instances say to each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::call::Call;
use crate::control::Revision;
use crate::settings::Manifest;

/// Where an endpoint is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Leaving,
    /// It has not been heard of for several heartbeats.
    Silent,
    /// It has said that it ends.
    Gone,
}

/// What is known of one life of an endpoint, from its newest heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointFact {
    /// Its name. An endpoint may start again under the name that it had.
    pub endpoint: Name,
    /// When it started; the default where it doesn't tell. Name and start together are one life: what is
    /// known of an earlier one says nothing about this one.
    #[serde(rename = "born", default)]
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Grows with each heartbeat of one life.
    pub sequence: u64,
    /// Where it is in its life.
    pub state: EndpointState,
    /// Whether the platform may take it back.
    pub reclaimable: bool,
    /// Time left when the heartbeat came, where the platform told it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaves_in: Option<Millis>,
    /// How long ago the heartbeat came.
    pub age: Millis,
}

/// Where a control instance is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlInfo {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where our own processes reach it.
    pub peer: SocketAddr,
    /// Where operators and endpoints reach it.
    pub address: SocketAddr,
}

/// A place in the sequence of endpoint changes of one control instance.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// The life of the control instance.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The last change that was taken in.
    pub change: u64,
    /// The last load of an endpoint that was taken in.
    #[serde(default)]
    pub load: u64,
}

/// The load of an endpoint, as it told it with an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// Its life.
    #[serde(rename = "b", default, skip_serializing_if = "is_default")]
    pub incarnation: Incarnation,
    /// Requests that it ran.
    #[serde(rename = "r")]
    pub running: u32,
    /// Requests that waited there.
    #[serde(rename = "q", default, skip_serializing_if = "is_default")]
    pub queued: u32,
    /// How long ago it said so.
    #[serde(rename = "a")]
    pub age: Millis,
}

/// Requests that began to run in one window of time, by client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowUsage {
    /// The number of the window.
    pub window: u64,
    /// Requests by account.
    pub counts: BTreeMap<Name, u64>,
}

/// What one client account asks for at an entry instance, in the unit of its limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountReport {
    /// The account.
    pub account: Name,
    /// Asked for in a second, admitted or not.
    pub asked_per_s: f64,
    /// Admitted in the last [`LIMIT_WINDOW`].
    pub admitted: f64,
    /// Admitted in a second, of late.
    pub admitted_per_s: f64,
    /// The same by seconds, the newest first, of an account that is not far below its limit. It tells what is
    /// left in the window some time later, when the entry instance may be gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub by_second: Vec<u64>,
    /// The part of the limit that the entry instance gives out, also while it is cut off.
    pub share: f64,
}

/// The work of one service at an entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: Name,
    /// Requests at its endpoints.
    pub running: u32,
    /// Prompt tokens sent in a second that were not thought to be cached.
    pub fresh_tokens_per_s: f64,
    /// Requests refused in a second for want of room.
    pub refused_per_s: f64,
    /// What was learned here of its engines' speed, if anything.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<EngineSpeed>,
}

/// What is known of the speed of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineSpeed {
    /// Prompt tokens that an engine reads in a second.
    pub prefill_tokens_per_s: f64,
    /// How often the figure was learned anew; never, and it is presumed.
    #[serde(rename = "lines")]
    pub fits: u32,
}

/// What an entry instance tells of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// The entry instance.
    pub entry: Name,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// Grows with each report.
    pub sequence: u64,
    /// Its time of day.
    pub wall: Millis,
    /// How long its process had been up.
    #[serde(rename = "up", default, skip_serializing_if = "Option::is_none")]
    pub uptime: Option<Millis>,
    /// How many entry instances it was told of lately; 0 if it was not. A control instance that begins to lead
    /// without any memory learns of those that are cut off by this alone.
    #[serde(default, skip_serializing_if = "is_default")]
    pub entries: u32,
    /// How old the report was when another control instance passed it on.
    #[serde(default, skip_serializing_if = "is_default")]
    pub age: Millis,
    /// Usage of the newest windows, counted from the start of each.
    pub usage: Vec<WindowUsage>,
    /// Demand by account.
    pub accounts: Vec<AccountReport>,
    /// Work by service.
    pub services: Vec<ServiceReport>,
    /// Loads that endpoints told it of late.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<EndpointLoad>,
}

/// A waiting call by which an entry instance gets what is new.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkPoll {
    /// The newest revision of the served settings that it runs, or that the called instance told it of.
    pub have: Revision,
    /// Up to where it knows this control instance's endpoint changes.
    pub cursor: Cursor,
    /// How long the call may wait for something new.
    pub wait: Millis,
    /// What it tells.
    pub report: EntryReport,
}

/// The demand for one account over all entry instances.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountTotal {
    /// The account.
    pub account: Name,
    /// Asked for in a second.
    pub asked_per_s: f64,
    /// Admitted in the last [`LIMIT_WINDOW`].
    pub admitted: f64,
    /// Admitted in a second, of late.
    pub admitted_per_s: f64,
    /// The part of the limit that entry instances give out which are not heard of now. The demand above is
    /// that of the others; what they are known to have admitted is in the sum.
    pub held: f64,
    /// What may have been admitted in the last [`LIMIT_WINDOW`] of which no report tells, in seconds of the
    /// limit. Where it is missing, those that hold a part had it for the whole window.
    #[serde(rename = "untold_s", default, skip_serializing_if = "Option::is_none")]
    pub unreported_s: Option<f64>,
}

/// The demand over all entry instances, as the leader adds it up.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// How old the figures are.
    pub age: Millis,
    /// Entry instances, with those that may be cut off.
    pub entries: u32,
    /// What may have been admitted in the last [`LIMIT_WINDOW`] for an account that no report names, in
    /// seconds of its limit.
    #[serde(rename = "untold_s", default, skip_serializing_if = "is_default")]
    pub unreported_s: f64,
    /// Demand by account.
    pub accounts: Vec<AccountTotal>,
}

/// What is new for an entry instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LinkReply {
    /// What newer settings are made of, if there are any. Were the settings themselves told here, a slow
    /// link would hold up totals and departures of endpoints for as long as it takes them.
    pub settings: Option<Manifest>,
    /// Up to where the changes go.
    pub cursor: Cursor,
    /// Endpoints that changed.
    pub endpoints: Vec<EndpointFact>,
    /// Loads that endpoints told others of late.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<EndpointLoad>,
    /// All control instances that are known.
    pub controls: Vec<ControlInfo>,
    /// The demand over all entry instances, if a leader is known.
    pub totals: Option<Totals>,
    /// True time of day, as the median of all clocks.
    pub true_time: Millis,
    /// Whether this control instance hears a leader; without one its settings may be old.
    #[serde(rename = "is_led")]
    pub has_leader: bool,
}

/// What a control instance passes on to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlSync {
    /// Who tells.
    pub from: ControlInfo,
    /// Its life.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Its time of day.
    pub wall: Millis,
    /// Endpoints that it heard since the last call.
    pub endpoints: Vec<EndpointFact>,
    /// Reports of entry instances, for the leader.
    pub reports: Vec<EntryReport>,
    /// Demand over all entry instances, from the leader.
    pub totals: Option<Totals>,
}

/// The answer to a [`ControlSync`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ControlSyncReply {
    /// The life of who answers; another one than before lacks all that was told.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// The span over which admitted amounts are summed.
pub const LIMIT_WINDOW: Millis = Millis(8000);

impl Call for LinkPoll {
    type Reply = LinkReply;

    const METHOD: &'static str = "link_poll";
}

impl Call for ControlSync {
    type Reply = ControlSyncReply;

    const METHOD: &'static str = "control_sync";
}

/// Short messages name only what differs from the usual.
fn is_default<T>(value: &T) -> bool
where
    T: Default + PartialEq,
{
    *value == T::default()
}
