//! Remote procedure calls between the processes of the system.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A request from one process of the system to another, with its method name and reply type.
pub trait Call: Serialize + DeserializeOwned + Send + 'static {
    /// The method name on the wire.
    const METHOD: &'static str;

    /// The type of the called process's reply.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}
