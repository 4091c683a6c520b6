//! Splitting of event streams at event boundaries, where another endpoint can resume them.

use bytes::{Buf, Bytes, BytesMut};

/// The byte-order mark with which a stream may begin.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Finds where the events of a stream end, holds back an incomplete event and tracks the id of the
/// last complete one.
///
/// An endpoint may fail in the middle of an event. A part that was already forwarded cannot be
/// taken back, and the next endpoint resumes with a complete event, so the caller would read two
/// halves as one event.
#[derive(Debug, Clone)]
pub struct EventTracker {
    scanner: EventScanner,
    holds_back: bool,
    partial: BytesMut,
    last_id: Option<String>,
    /// Whether no event of a resumed stream was forwarded yet. A byte-order mark is valid only at
    /// the beginning of the caller's stream.
    is_resumed: bool,
}

impl EventTracker {
    /// Creates a tracker of a stream that may be resumed: it holds back incomplete events.
    pub fn resumable() -> Self {
        Self { holds_back: true, ..Self::pass_through() }
    }

    /// Creates a tracker of a stream that is forwarded as it arrives.
    pub fn pass_through() -> Self {
        Self {
            scanner: EventScanner::default(),
            holds_back: false,
            partial: BytesMut::new(),
            last_id: None,
            is_resumed: false,
        }
    }

    /// Adds bytes and returns those to forward.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let end = self.scanner.push(&data);
        if !self.holds_back {
            return data;
        }
        if self.partial.is_empty() && end == Some(data.len()) {
            return self.forward(data);
        }
        let Some(end) = end else {
            self.partial.extend_from_slice(&data);
            return Bytes::new();
        };
        self.partial.extend_from_slice(&data[..end]);
        let complete = self.partial.split().freeze();
        self.partial.extend_from_slice(&data[end..]);
        self.forward(complete)
    }

    fn forward(&mut self, mut events: Bytes) -> Bytes {
        if std::mem::take(&mut self.is_resumed) && events.starts_with(BYTE_ORDER_MARK) {
            events.advance(BYTE_ORDER_MARK.len());
        }
        self.update_last_id(&events);
        events
    }

    /// Discards an incomplete event; the next bytes are those of a resumed stream.
    pub fn restart(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::default();
        self.is_resumed = true;
    }

    /// Returns whether the last byte is not inside an event.
    pub fn is_between_events(&self) -> bool {
        self.scanner.is_between_events()
    }

    /// Returns whether the endpoint has sent a complete event.
    pub fn has_events(&self) -> bool {
        self.scanner.has_events
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn update_last_id(&mut self, events: &[u8]) {
        let events = events.strip_prefix(BYTE_ORDER_MARK).unwrap_or(events);
        let lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
        let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = ids.next().and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.trim().to_owned());
        }
    }
}

/// Returns whether the first of these events may follow the one with the id `last`. An endpoint that
/// begins a stream anew repeats ids, or goes back if they are numbers.
pub fn may_follow(last: &str, events: &[u8]) -> bool {
    let events = events.strip_prefix(BYTE_ORDER_MARK).unwrap_or(events);
    let lines = events.split(|byte| matches!(byte, b'\n' | b'\r'));
    let first = lines.filter_map(|line| line.strip_prefix(b"id:")).next();
    let Some(first) = first.and_then(|id| std::str::from_utf8(id).ok()).map(str::trim) else {
        return false;
    };
    match (last.parse::<u64>(), first.parse::<u64>()) {
        (Ok(last), Ok(first)) => first > last,
        _ => first != last,
    }
}

/// Reads an event stream byte by byte and tracks whether it is inside an event.
///
/// Lines end with LF, CR LF or CR. A line that starts with a colon is a comment; any other line
/// that is not blank is a field of an event, and a blank line ends the event.
#[derive(Debug, Default, Clone)]
struct EventScanner {
    line: Line,
    in_event: bool,
    has_events: bool,
    /// Whether the last byte is a CR, to which a following LF belongs.
    after_cr: bool,
    /// Whether lines end with CR LF, so that a line with only a CR is incomplete.
    uses_crlf: bool,
    /// Number of bytes read of a byte-order mark; its length once none can follow.
    mark_bytes: usize,
}

/// What the current line contains so far.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventScanner {
    /// Reads bytes and returns the last offset that is not inside an event.
    fn push(&mut self, data: &[u8]) -> Option<usize> {
        let mut end = None;
        for (offset, byte) in data.iter().enumerate() {
            self.step(*byte);
            if self.is_between_events() {
                end = Some(offset + 1);
            }
        }
        end
    }

    fn step(&mut self, byte: u8) {
        if self.reads_mark(byte) {
            return;
        }
        if byte == b'\n' && std::mem::take(&mut self.after_cr) {
            self.uses_crlf = true;
            return;
        }
        self.after_cr = byte == b'\r';
        match (byte, self.line) {
            (b'\n' | b'\r', line) => self.end_line(line),
            (b':', Line::Empty) => self.line = Line::Comment,
            (_, Line::Empty) => self.begin_field(),
            _ => {}
        }
    }

    /// Returns whether the byte belongs to a byte-order mark at the beginning of the stream.
    fn reads_mark(&mut self, byte: u8) -> bool {
        if BYTE_ORDER_MARK.get(self.mark_bytes) == Some(&byte) {
            self.mark_bytes += 1;
            return true;
        }
        if self.is_inside_mark() {
            self.begin_field();
        }
        self.mark_bytes = BYTE_ORDER_MARK.len();
        false
    }

    fn is_inside_mark(&self) -> bool {
        (1..BYTE_ORDER_MARK.len()).contains(&self.mark_bytes)
    }

    fn begin_field(&mut self) {
        self.line = Line::Field;
        self.in_event = true;
    }

    fn end_line(&mut self, line: Line) {
        if line == Line::Empty {
            self.has_events |= self.in_event;
            self.in_event = false;
        }
        self.line = Line::Empty;
    }

    fn is_between_events(&self) -> bool {
        let is_line_complete = self.line == Line::Empty && !(self.after_cr && self.uses_crlf);
        is_line_complete && !self.in_event && !self.is_inside_mark()
    }
}
