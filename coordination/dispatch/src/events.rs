//! Splitting of event streams at event boundaries, where another endpoint can resume them.

use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};

use crate::buffers::{BufferBudget, Reservation};

/// The byte-order mark with which a stream may begin.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Longest id of an event that is kept, in bytes. It is sent on in a header and written to the log.
const MAX_ID_BYTES: usize = 1 << 10;

/// Finds where the events of a stream end, holds back an incomplete event and tracks the id of the
/// last complete one.
///
/// An endpoint may fail in the middle of an event. A part that was already forwarded cannot be
/// taken back, and the next endpoint resumes with a complete event, so the caller would read two
/// halves as one event.
#[derive(Debug)]
pub struct EventTracker {
    scanner: EventScanner,
    hold: Option<Hold>,
    last_id: Option<String>,
    /// Whether the last complete event has an id that can't be sent to another endpoint.
    has_unusable_id: bool,
    /// Whether a part of the present event was forwarded.
    is_split: bool,
    /// Whether no event of a resumed stream was forwarded yet. A byte-order mark is valid only at
    /// the beginning of the caller's stream.
    is_resumed: bool,
}

/// What a stream that may be resumed holds back.
#[derive(Debug)]
struct Hold {
    partial: BytesMut,
    reservation: Reservation,
    budget: Arc<BufferBudget>,
    /// Upper bound on the bytes of an incomplete event.
    limit: usize,
    end: Option<HoldEnd>,
}

/// Why no more of an incomplete event can be held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldEnd {
    /// It is longer than an event may be.
    TooLong,
    /// What the streams of this instance hold back together takes up the memory for it.
    NoMemory,
}

impl HoldEnd {
    /// Returns the name for log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::TooLong => "too_long",
            Self::NoMemory => "no_memory",
        }
    }
}

impl EventTracker {
    /// Creates a tracker of a stream that may be resumed: it holds back incomplete events of at most
    /// `limit` bytes each, within the budget of all streams.
    pub fn resumable(budget: &Arc<BufferBudget>, limit: usize) -> Self {
        Self { hold: Some(Hold::new(budget, limit)), ..Self::pass_through() }
    }

    /// Creates a tracker of a stream that is forwarded as it arrives.
    pub fn pass_through() -> Self {
        Self {
            scanner: EventScanner::default(),
            hold: None,
            last_id: None,
            has_unusable_id: false,
            is_split: false,
            is_resumed: false,
        }
    }

    /// Creates a tracker of the same stream as another endpoint would continue it.
    pub fn of_continuation(&self) -> Self {
        Self {
            scanner: EventScanner::default(),
            hold: self.hold.as_ref().map(|hold| Hold::new(&hold.budget, hold.limit)),
            last_id: self.last_id.clone(),
            has_unusable_id: self.has_unusable_id,
            is_split: self.is_split,
            is_resumed: true,
        }
    }

    /// Adds bytes and returns those to forward.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        let end = self.scanner.push(&data);
        let Some(hold) = &mut self.hold else { return data };
        if self.is_split {
            // The rest of an event of which a part was forwarded is forwarded as it arrives.
            let Some(end) = end else { return data };
            // Its id may be in the part that was forwarded before, and may be cut in two.
            (self.is_split, self.has_unusable_id) = (false, true);
            hold.add(&data[end..]);
            return data.slice(..end);
        }
        if hold.partial.is_empty() && end == Some(data.len()) {
            return self.forward(data);
        }
        let Some(end) = end else {
            hold.add(&data);
            return Bytes::new();
        };
        let complete = hold.complete(&data[..end]);
        hold.add(&data[end..]);
        self.forward(complete)
    }

    fn forward(&mut self, events: Bytes) -> Bytes {
        let events = self.strip_mark(events);
        self.update_last_id(&events);
        events
    }

    fn strip_mark(&mut self, mut events: Bytes) -> Bytes {
        if std::mem::take(&mut self.is_resumed) && events.starts_with(BYTE_ORDER_MARK) {
            events.advance(BYTE_ORDER_MARK.len());
        }
        events
    }

    /// Returns why the present event can't be held back any longer, if it can't: the stream must go on
    /// elsewhere, or the event has to be released.
    pub fn hold_end(&self) -> Option<HoldEnd> {
        self.hold.as_ref().and_then(|hold| hold.end)
    }

    /// Returns the number of bytes that are held back.
    pub fn held_bytes(&self) -> usize {
        self.hold.as_ref().map_or(0, |hold| hold.partial.len())
    }

    /// Returns what is held back of the present event, whose rest will be forwarded as it arrives. Until
    /// an event with an id follows, the stream can't be resumed.
    pub fn release(&mut self) -> Bytes {
        let Some(hold) = &mut self.hold else { return Bytes::new() };
        self.is_split = true;
        hold.end = None;
        let held = hold.complete(&[]);
        self.strip_mark(held)
    }

    /// Discards an incomplete event; the next bytes are those of a resumed stream.
    pub fn restart(&mut self) {
        *self = self.of_continuation();
    }

    /// Returns whether another endpoint can continue the stream after the last complete event.
    pub const fn can_resume(&self) -> bool {
        self.hold.is_some() && !self.is_split && !self.has_unusable_id
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
        let Some(id) = ids.next() else { return };
        let id = std::str::from_utf8(id).map(str::trim);
        let is_usable = |id: &&str| id.len() <= MAX_ID_BYTES && !id.contains(char::is_control);
        // An older id must not take the place of one that can't be used: events would be repeated.
        self.last_id = id.ok().filter(is_usable).map(str::to_owned);
        self.has_unusable_id = self.last_id.is_none();
    }
}

impl Hold {
    fn new(budget: &Arc<BufferBudget>, limit: usize) -> Self {
        Self {
            partial: BytesMut::new(),
            reservation: Reservation::new(budget.clone()),
            budget: budget.clone(),
            limit,
            end: None,
        }
    }

    /// Adds a part of an incomplete event. One more part is kept when the bound is reached, as it has
    /// been read already.
    fn add(&mut self, part: &[u8]) {
        if part.is_empty() {
            return;
        }
        let len = self.partial.len() + part.len();
        if len > self.limit {
            self.end = Some(HoldEnd::TooLong);
        } else if !self.reservation.grow_to(len) {
            self.end = Some(HoldEnd::NoMemory);
        }
        self.partial.extend_from_slice(part);
    }

    /// Takes out what is held back, with the last part of it.
    fn complete(&mut self, last: &[u8]) -> Bytes {
        self.partial.extend_from_slice(last);
        // Not a split, after which a few remaining bytes would keep the memory of all of them.
        let complete = std::mem::take(&mut self.partial).freeze();
        self.reservation.attach(complete)
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
