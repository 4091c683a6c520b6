//! Splitting of event streams at event boundaries, where another endpoint can resume them.

use bytes::{Bytes, BytesMut};

/// Holds back the incomplete event at the end of a stream, and tracks the id of the last complete
/// one.
///
/// An endpoint may fail in the middle of an event. A part that was already forwarded cannot be
/// taken back, and the next endpoint resumes with a complete event, so the caller would read two
/// halves as one event.
#[derive(Debug, Default)]
pub struct EventTracker {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventTracker {
    /// Adds bytes and returns those up to the end of the last complete event.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let end = end_of_events(&data);
        if self.partial.is_empty() && end == Some(data.len()) {
            self.update_last_id(&data);
            return data;
        }
        self.partial.extend_from_slice(&data);
        let Some(end) = end_of_events(&self.partial) else { return Bytes::new() };
        let complete = self.partial.split_to(end).freeze();
        self.update_last_id(&complete);
        complete
    }

    /// Returns the incomplete event at the end of a stream that ended normally.
    pub fn take_partial(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).freeze()
    }

    /// Discards an incomplete event.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn update_last_id(&mut self, events: &[u8]) {
        let lines = events.split(|byte| *byte == b'\n').rev();
        let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = ids.next().and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.trim().to_owned());
        }
    }
}

/// Returns the offset at which the last complete event ends.
fn end_of_events(data: &[u8]) -> Option<usize> {
    let blank_line =
        |end: &[u8]| data.windows(end.len()).rposition(|w| w == end).map(|at| at + end.len());
    blank_line(b"\n\n").max(blank_line(b"\r\n\r\n"))
}
