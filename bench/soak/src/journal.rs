//! Which faults were brought about when, to tell whose fault a broken connection is.

use parking_lot::Mutex;
use sill_base::{Clock, Millis};

/// What happened to whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An entry instance was asked to stop and had not ended yet.
    GracefulStop(usize),
    /// An entry instance that was asked to stop was about to end.
    Exit(usize),
    /// An entry instance was killed, or stood still.
    Disruption(usize),
    /// An endpoint ended, or its way was cut.
    EndpointOutage(usize),
}

/// The faults of a run, by one clock.
#[derive(Debug, Default)]
pub struct Journal {
    clock: Clock,
    spans: Mutex<Vec<(Event, Millis, Millis)>>,
}

impl Journal {
    /// Returns the time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Notes what went on from then until now.
    pub fn note_since(&self, from: Millis, event: Event) {
        self.note(event, from, self.now());
    }

    /// Notes what went on, or has consequences, for a span.
    pub fn note(&self, event: Event, from: Millis, until: Millis) {
        self.spans.lock().push((event, from, until));
    }

    /// Returns whether it went on at any time of a span.
    pub fn overlaps(&self, event: Event, from: Millis, until: Millis) -> bool {
        let spans = self.spans.lock();
        spans.iter().any(|span| span.0 == event && span.1 <= until && from <= span.2)
    }
}
