//! Calls between our own processes.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A request between our processes, its method name and its reply.
pub trait Call: Serialize + DeserializeOwned + Send + 'static {
    /// The method name on the wire.
    const METHOD: &'static str;

    /// What the called process answers.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}
