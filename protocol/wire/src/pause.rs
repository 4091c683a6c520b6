//! How an entry instance is told that an endpoint wants no requests from it for a while.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::call::Call;

/// Tells an entry instance that an endpoint asked for a pause with its answer to a request that the
/// instance carried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointPause {
    /// The endpoint.
    pub endpoint: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Time for which it wants no requests.
    pub span: Millis,
}

/// The reply to [`EndpointPause`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointPauseReply {}

impl Call for EndpointPause {
    type Reply = EndpointPauseReply;

    const METHOD: &'static str = "pause_endpoint";
}
