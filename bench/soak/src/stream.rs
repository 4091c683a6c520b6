//! Streams of events, which anybody can work out from id, body and endpoint.

use std::time::Duration;

use bytes::Bytes;

use crate::caller::checksum;

/// The header by which a caller asks for a stream.
pub const PACE_HEADER: &str = "x-soak-pace";

/// How a stream goes. Each takes as long as the other, well within the time of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// Many events.
    Long,
    /// Few, with long pauses.
    Slow,
}

impl Pace {
    /// Returns its name in the header.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Long => "long",
            Self::Slow => "slow",
        }
    }

    /// Finds it by its name.
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::Long, Self::Slow].into_iter().find(|pace| pace.name() == name)
    }

    /// Returns the number of events.
    pub const fn events(self) -> usize {
        match self {
            Self::Long => 32,
            Self::Slow => 4,
        }
    }

    /// Returns the pause before each event.
    pub const fn gap(self) -> Duration {
        match self {
            Self::Long => Duration::from_millis(50),
            Self::Slow => Duration::from_millis(400),
        }
    }
}

/// Returns an event of a stream; the first one has the number 1.
pub fn event(number: usize, id: &str, body: &[u8], endpoint: &str) -> Bytes {
    format!("id: {number}\ndata: {id} with {} ran at {endpoint}\n\n", checksum(body)).into()
}

/// Returns whether a caller got all events in their order, each from an endpoint that ran the request.
pub fn is_complete(pace: Pace, id: &str, body: &[u8], endpoints: &[String], got: &[u8]) -> bool {
    let mut rest = got;
    for number in 1..=pace.events() {
        let after = |endpoint: &String| rest.strip_prefix(&event(number, id, body, endpoint)[..]);
        let Some(after) = endpoints.iter().find_map(after) else { return false };
        rest = after;
    }
    rest.is_empty()
}
