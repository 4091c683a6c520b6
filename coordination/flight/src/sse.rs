//! Splits a stream of server-sent events, and finds what the system has to know of each.

/// Finds the ends of events in a stream that arrives in pieces.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: Vec<u8>,
}

/// What an event is, as far as the system has to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind<'a> {
    /// A token of the answer.
    Token {
        /// Its index.
        index: u32,
        /// Its text as in JSON between the quotes; none where it needs a parser to be found.
        escaped: Option<&'a str>,
    },
    /// The end marker.
    Done,
    /// Other data: the finish reason, usage counts, an error.
    Other,
}

/// An event that outgrows this is no event, in bytes.
const MAX_EVENT: usize = 4 << 20;

/// An event grew past all bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Passes every whole event, with its closing blank line, to `each`; the rest is kept.
    ///
    /// # Errors
    ///
    /// Fails when an event never ends.
    pub fn push<F>(&mut self, bytes: &[u8], mut each: F) -> Result<(), EventTooLong>
    where
        F: FnMut(&[u8]),
    {
        if self.rest.is_empty() {
            let used = split(bytes, &mut each);
            self.rest.extend_from_slice(&bytes[used..]);
        } else {
            self.rest.extend_from_slice(bytes);
            let used = split(&self.rest, &mut each);
            self.rest.drain(..used);
        }
        if self.rest.len() > MAX_EVENT { Err(EventTooLong) } else { Ok(()) }
    }
}

fn split<F>(bytes: &[u8], each: &mut F) -> usize
where
    F: FnMut(&[u8]),
{
    let mut start = 0;
    let mut at = 0;
    while let Some(found) = bytes[at..].iter().position(|b| *b == b'\n') {
        let end = at + found + 1;
        if bytes.get(end) == Some(&b'\n') {
            each(&bytes[start..=end]);
            start = end + 1;
            at = start;
        } else {
            at = end;
        }
    }
    start
}

/// Reads one event.
pub fn event_kind(event: &[u8]) -> EventKind<'_> {
    let Ok(text) = std::str::from_utf8(event) else {
        return EventKind::Other;
    };
    let mut index = None;
    let mut data = "";
    for line in text.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            index = id.trim().parse().ok();
        } else if let Some(rest) = line.strip_prefix("data: ") {
            data = rest;
        }
    }
    match index {
        Some(index) => EventKind::Token { index, escaped: content(data) },
        None if data.trim_end() == "[DONE]" => EventKind::Done,
        None => EventKind::Other,
    }
}

/// Returns the data of an event.
pub fn event_data(event: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("data: "))
}

/// Finds the text of a token without a parse: a JSON string ends at the first quote that has an
/// even number of backslashes before it.
fn content(data: &str) -> Option<&str> {
    const CHAT: &str = "\"delta\":{\"content\":\"";
    const COMPLETION: &str = "\"text\":\"";
    let start = match data.find(CHAT) {
        Some(at) => at + CHAT.len(),
        None => data.find(COMPLETION)? + COMPLETION.len(),
    };
    let rest = &data[start..];
    let mut escaped = false;
    let end = rest.bytes().position(|b| {
        let ends = b == b'"' && !escaped;
        escaped = b == b'\\' && !escaped;
        ends
    })?;
    Some(&rest[..end])
}
