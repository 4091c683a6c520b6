//! Priorities of requests.

use serde::{Deserialize, Serialize};

/// How a request is placed against others when capacity is short.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Served when nothing else waits.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Served before all others.
    High,
}

impl Priority {
    /// Reads the value of the priority header.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "low" => Some(Self::Low),
            "normal" => Some(Self::Normal),
            "high" => Some(Self::High),
            _ => None,
        }
    }
}
