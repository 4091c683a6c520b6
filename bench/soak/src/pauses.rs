//! Pauses that endpoints ask for, and the requests that reach them meanwhile.

use std::sync::Arc;

use parking_lot::Mutex;
use sill_base::{Map, Millis};

use crate::caller::Record;
use crate::journal::{Event, Journal};

/// The time that an endpoint asks for.
pub const PAUSE: Millis = Millis(2000);

/// Time from which on no request may be under way any more.
const UNDER_WAY: Millis = Millis(500);

/// Requests that may reach the endpoint from then on until the end of its pause.
const MAX_REQUESTS: usize = 2;

/// A request that reached an endpoint.
#[derive(Debug, Clone)]
struct Arrival {
    /// The incarnation of the endpoint.
    endpoint: String,
    id: String,
    at: Millis,
    /// Whether the endpoint rejected it and asked for a pause.
    asks: bool,
}

/// The requests that reached endpoints.
#[derive(Debug, Default)]
pub struct Pauses {
    journal: Arc<Journal>,
    arrivals: Mutex<Vec<Arrival>>,
}

impl Pauses {
    /// Creates an empty list whose times are those of a journal.
    pub fn new(journal: Arc<Journal>) -> Self {
        Self { journal, ..Self::default() }
    }

    /// Notes a request; `asks` is whether its endpoint rejects it and asks for a pause.
    pub fn note(&self, endpoint: &str, id: &str, asks: bool) {
        let (endpoint, id) = (endpoint.to_owned(), id.to_owned());
        self.arrivals.lock().push(Arrival { endpoint, id, at: self.journal.now(), asks });
    }

    /// Returns how often endpoints asked for a pause.
    pub fn count(&self) -> usize {
        self.arrivals.lock().iter().filter(|arrival| arrival.asks).count()
    }

    /// Checks that the entry instance whose request was rejected sends the endpoint nothing until the
    /// pause is over. Returns the violations.
    pub fn check(&self, records: &[Record], journal: &Journal) -> Vec<String> {
        let entries: Map<&str, usize> =
            records.iter().map(|record| (record.id.as_str(), record.entry)).collect();
        let arrivals = self.arrivals.lock();
        let mut by_endpoint: Map<&str, Vec<&Arrival>> = Map::default();
        for arrival in arrivals.iter() {
            by_endpoint.entry(arrival.endpoint.as_str()).or_default().push(arrival);
        }
        let mut findings = Vec::new();
        for asked in arrivals.iter().filter(|arrival| arrival.asks) {
            let Some(entry) = entries.get(asked.id.as_str()).copied() else { continue };
            let (from, until) = (asked.at + UNDER_WAY, asked.at + PAUSE);
            if is_excused(journal, entry, &asked.endpoint, asked.at, until) {
                continue;
            }
            let is_late = |later: &&&Arrival| {
                (from..until).contains(&later.at) && entries.get(later.id.as_str()) == Some(&entry)
            };
            let late = by_endpoint[asked.endpoint.as_str()].iter().filter(is_late).count();
            if late > MAX_REQUESTS {
                let Arrival { endpoint, id, at, .. } = asked;
                findings.push(format!(
                    "pause: {endpoint} asked entry instance {entry} with {id} at {at} for {PAUSE} ms \
                     and got {late} requests from it"
                ));
            }
        }
        findings
    }
}

/// Returns whether the entry instance may not know of the pause: it was killed, paused or stopped, or
/// the answer was held up on its way.
fn is_excused(
    journal: &Journal,
    entry: usize,
    endpoint: &str,
    from: Millis,
    until: Millis,
) -> bool {
    let digits = endpoint.trim_start_matches('e');
    let digits = digits.split(|c: char| !c.is_ascii_digit()).next().unwrap_or_default();
    let outage = digits.parse().ok().map(Event::EndpointOutage);
    let events = [Event::Disruption(entry), Event::Exit(entry), Event::GracefulStop(entry)];
    events.into_iter().chain(outage).any(|event| journal.overlaps(event, from, until))
}
