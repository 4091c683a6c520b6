//! What entry instances tell each other about the streams that they carry, so that a caller can take
//! up its stream at another instance.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::call::Call;
use crate::control::Revision;
use crate::request_key::RequestKey;
use crate::software::Software;

/// An entry instance and the address at which it accepts calls of other entry instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryPeer {
    /// The entry instance.
    pub entry: Name,
    /// Its failure domain.
    pub domain: Name,
    /// The address.
    pub address: SocketAddr,
    /// Its incarnation; a later one has forgotten what an earlier one was told.
    pub incarnation: Incarnation,
}

/// The endpoint that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Identifies the stream: the client account, host, path, and id of the attempt that began it.
    #[serde(rename = "s")]
    pub stream: RequestKey,
    /// The service.
    #[serde(rename = "v")]
    pub service: Name,
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// The version of its software.
    #[serde(rename = "w")]
    pub software: Software,
    /// Time since the stream's first event.
    #[serde(rename = "a")]
    pub age: Millis,
    /// Time for which the stream may still be taken up.
    #[serde(rename = "t")]
    pub time_left: Millis,
}

/// The software versions that an entry instance knows of, over the longest life of a stream.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionView {
    /// The versions, each once.
    pub versions: Vec<Software>,
    /// Whether the instance can't have missed one.
    pub is_complete: bool,
}

/// A software version of the endpoints of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServedVersion {
    /// The service.
    pub service: Name,
    /// The version.
    pub software: Software,
}

/// Tells an entry instance of streams, which it keeps for those that ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordStreams {
    /// The entry instance that carries the streams.
    pub from: Name,
    /// The streams.
    pub streams: Vec<StreamOrigin>,
}

/// The reply to [`RecordStreams`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordStreamsReply {
    /// Number of streams that were new to the instance.
    pub new: usize,
}

/// Asks an entry instance which endpoint began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindStream {
    /// The stream.
    pub stream: RequestKey,
    /// The services that may have begun it.
    pub services: Vec<Name>,
}

/// The reply to [`FindStream`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindStreamReply {
    /// The origin of the stream, if it is known.
    pub origin: Option<StreamOrigin>,
    /// The versions of the services' endpoints.
    pub view: VersionView,
}

/// Asks a control instance for the software versions of services, before a stream of theirs that nobody
/// knows is continued.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmVersions {
    /// The services.
    pub services: Vec<Name>,
}

/// The reply to [`ConfirmVersions`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmVersionsReply {
    /// Whether a leader has confirmed since the call that it leads.
    #[serde(rename = "is_led")]
    pub has_leader: bool,
    /// The versions of the services' endpoints, as far as they are registered, each once.
    pub versions: Vec<Software>,
    /// The newest revision of the served settings.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
    /// All versions that can have begun streams of the services, by the replicated log; none if it
    /// doesn't go back far enough.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recorded: Option<Vec<Software>>,
}

impl Call for RecordStreams {
    type Reply = RecordStreamsReply;

    const METHOD: &'static str = "record_streams";
}

impl Call for FindStream {
    type Reply = FindStreamReply;

    const METHOD: &'static str = "find_stream";
}

impl Call for ConfirmVersions {
    type Reply = ConfirmVersionsReply;

    const METHOD: &'static str = "confirm_versions";
}
