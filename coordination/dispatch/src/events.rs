//! Whole events of a stream, and where it can go on.

use bytes::{Bytes, BytesMut};

/// Splits a stream of events where one ends.
///
/// An endpoint may stop in the middle of an event. What was passed on of it could not be taken back,
/// and the next endpoint begins with a whole event, so the caller would read two halves as one.
#[derive(Debug, Default)]
pub struct EventTracker {
    tail: BytesMut,
    last_id: Option<String>,
}

impl EventTracker {
    /// Takes in bytes and returns those up to the end of the last whole event.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let end = end_of_events(&data);
        if self.tail.is_empty() && end == Some(data.len()) {
            self.note_id(&data);
            return data;
        }
        self.tail.extend_from_slice(&data);
        let Some(end) = end_of_events(&self.tail) else { return Bytes::new() };
        let whole = self.tail.split_to(end).freeze();
        self.note_id(&whole);
        whole
    }

    /// Returns the rest, for a stream that ended by itself.
    pub fn take_partial(&mut self) -> Bytes {
        std::mem::take(&mut self.tail).freeze()
    }

    /// Forgets the part of an event that did not come whole.
    pub fn drop_partial(&mut self) {
        self.tail.clear();
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn note_id(&mut self, events: &[u8]) {
        let lines = events.split(|byte| *byte == b'\n').rev();
        let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = ids.next().and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.trim().to_owned());
        }
    }
}

/// Returns where the last whole event ends.
fn end_of_events(data: &[u8]) -> Option<usize> {
    let blank =
        |end: &[u8]| data.windows(end.len()).rposition(|w| w == end).map(|at| at + end.len());
    blank(b"\n\n").max(blank(b"\r\n\r\n"))
}
