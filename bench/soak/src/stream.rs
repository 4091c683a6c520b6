//! Event streams whose content follows from request id, body and endpoint.

use std::time::Duration;

use bytes::Bytes;

use crate::caller::checksum;

/// The request header that selects the pace of a stream.
pub const PACE_HEADER: &str = "x-soak-pace";

/// Number and spacing of the events of a stream. Both variants take about as long, well within the
/// time of a graceful stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// Many events with short pauses.
    Long,
    /// Few events with long pauses.
    Slow,
}

impl Pace {
    /// Returns the value of the `PACE_HEADER` header.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Long => "long",
            Self::Slow => "slow",
        }
    }

    /// Parses the value of the `PACE_HEADER` header.
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Long, Self::Slow].into_iter().find(|pace| pace.name() == name)
    }

    /// Returns the number of events of a complete stream.
    pub const fn events(self) -> usize {
        match self {
            Self::Long => 32,
            Self::Slow => 4,
        }
    }

    /// Returns the pause before each event of a stream.
    pub const fn gap(self) -> Duration {
        match self {
            Self::Long => Duration::from_millis(50),
            Self::Slow => Duration::from_millis(400),
        }
    }
}

/// Returns one event of a stream. Numbers start at 1.
pub fn event(number: usize, id: &str, body: &[u8], endpoint: &str) -> Bytes {
    format!("id: {number}\ndata: {id} with {} ran at {endpoint}\n\n", checksum(body)).into()
}

/// Returns whether a body has all events once and in order, each from an endpoint that ran the
/// request.
pub fn is_complete(pace: Pace, id: &str, body: &[u8], endpoints: &[String], got: &[u8]) -> bool {
    let mut rest = got;
    for number in 1..=pace.events() {
        let after = |endpoint: &String| rest.strip_prefix(&event(number, id, body, endpoint)[..]);
        let Some(after) = endpoints.iter().find_map(after) else { return false };
        rest = after;
    }
    rest.is_empty()
}
