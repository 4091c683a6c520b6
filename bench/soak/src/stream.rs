//! Event streams whose content follows from request id, body and endpoint.

use std::time::Duration;

use bytes::Bytes;
use sill_base::Millis;

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

    /// Returns how long a complete stream takes.
    pub fn duration(self) -> Millis {
        Millis(self.gap().as_millis() as u64 * self.events() as u64)
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

/// Returns the endpoint that sent each event of a stream; none unless the stream has all events once
/// and in order, each from an endpoint that ran the request.
pub fn senders<'a>(
    pace: Pace,
    id: &str,
    body: &[u8],
    endpoints: &'a [String],
    got: &[u8],
) -> Option<Vec<&'a String>> {
    let (mut rest, mut senders) = (got, Vec::new());
    for number in 1..=pace.events() {
        let sent = |endpoint: &&String| rest.starts_with(&event(number, id, body, endpoint)[..]);
        let sender = endpoints.iter().find(sent)?;
        rest = &rest[event(number, id, body, sender).len()..];
        senders.push(sender);
    }
    rest.is_empty().then_some(senders)
}
