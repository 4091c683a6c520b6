//! Priorities of requests.

use serde::{Deserialize, Serialize};

/// The rank of a request among others when capacity is short.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Served when no request of a higher priority is waiting.
    Low,
    /// The priority of requests that set none.
    #[default]
    Normal,
    /// Served before all other requests.
    High,
}

impl Priority {
    /// Parses the value of the priority header; returns `None` for an unknown value.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "low" => Some(Self::Low),
            "normal" => Some(Self::Normal),
            "high" => Some(Self::High),
            _ => None,
        }
    }
}
