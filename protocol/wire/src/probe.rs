//! How entry instances ask each other whether an endpoint runs or has ended.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::call::Call;

/// Asks an entry instance to connect to an endpoint, or to find out whether its process runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeEndpoint {
    /// The endpoint.
    pub endpoint: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Time for which the connection has to stay open.
    pub wait: Millis,
    /// Whether the process of the endpoint has to reply; a connection that opens shows only that its
    /// host accepts connections.
    #[serde(default)]
    pub needs_reply: bool,
}

/// What connecting to an endpoint has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointProbe {
    /// The connection stays open.
    Open,
    /// The connection was refused, or accepted and closed.
    Closed,
    /// Neither: the endpoint is unknown, the connection was not accepted in time, or the instance
    /// reaches no endpoint at all.
    Unclear,
}

/// The reply to [`ProbeEndpoint`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeEndpointReply {
    /// What connecting has shown.
    pub probe: EndpointProbe,
    /// The age of the connection on which the process of the endpoint has sent something since the call.
    #[serde(default)]
    pub heard_on: Option<Millis>,
}

impl Call for ProbeEndpoint {
    type Reply = ProbeEndpointReply;

    const METHOD: &'static str = "probe_endpoint";
}

/// Tells an entry instance that an answer of an endpoint has ended with its connection, and asks
/// whether others have ended with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportEnd {
    /// The endpoint.
    pub endpoint: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The id of the call's attempt, which tells this answer from others.
    pub answer: Name,
    /// The time since the end.
    pub age: Millis,
}

/// The reply to [`ReportEnd`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportEndReply {
    /// Whether another answer of the endpoint is known to have ended at the same time.
    pub has_other: bool,
}

impl Call for ReportEnd {
    type Reply = ReportEndReply;

    const METHOD: &'static str = "report_end";
}
