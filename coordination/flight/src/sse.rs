//! Splits a stream of server-sent events, and extracts token index and text of each without a JSON
//! parser.

/// Splits a stream that arrives in chunks into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
}

/// The kind of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind<'a> {
    /// A token of the answer.
    Token {
        /// The token's index in the answer, from the event's `id` line.
        index: u32,
        /// The token's text, still escaped as in its JSON string; none if finding it needs a JSON
        /// parser.
        escaped: Option<&'a str>,
    },
    /// The end marker `[DONE]`.
    Done,
    /// Other data, such as the finish reason, usage counts or an error.
    Other,
}

/// Size of the largest event, in bytes; a stream with a larger one is malformed.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// An event is larger than 4 MiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Passes every complete event, with its closing blank line, to `on_event`, and buffers the
    /// remaining bytes.
    ///
    /// # Errors
    ///
    /// Fails if an incomplete event is larger than 4 MiB.
    pub fn push<F>(&mut self, bytes: &[u8], mut on_event: F) -> Result<(), EventTooLong>
    where
        F: FnMut(&[u8]),
    {
        if self.buf.is_empty() {
            let consumed = split_events(bytes, &mut on_event);
            self.buf.extend_from_slice(&bytes[consumed..]);
        } else {
            self.buf.extend_from_slice(bytes);
            let consumed = split_events(&self.buf, &mut on_event);
            self.buf.drain(..consumed);
        }
        if self.buf.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(()) }
    }
}

fn split_events<F>(bytes: &[u8], on_event: &mut F) -> usize
where
    F: FnMut(&[u8]),
{
    let mut start = 0;
    let mut at = 0;
    while let Some(offset) = bytes[at..].iter().position(|b| *b == b'\n') {
        let end = at + offset + 1;
        if bytes.get(end) == Some(&b'\n') {
            on_event(&bytes[start..=end]);
            start = end + 1;
            at = start;
        } else {
            at = end;
        }
    }
    start
}

/// Returns the kind of an event, with token index and text where it has them.
pub fn event_kind(event: &[u8]) -> EventKind<'_> {
    let Ok(text) = std::str::from_utf8(event) else {
        return EventKind::Other;
    };
    let mut index = None;
    let mut data = "";
    for line in text.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            index = id.trim().parse().ok();
        } else if let Some(content) = line.strip_prefix("data: ") {
            data = content;
        }
    }
    match index {
        Some(index) => EventKind::Token { index, escaped: token_text(data) },
        None if data.trim_end() == "[DONE]" => EventKind::Done,
        None => EventKind::Other,
    }
}

/// Returns the content of the first `data` line of an event.
pub fn event_data(event: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("data: "))
}

/// Finds the text of a token without a JSON parser: a JSON string ends at the first quote that has
/// an even number of backslashes before it.
fn token_text(data: &str) -> Option<&str> {
    const CHAT: &str = "\"delta\":{\"content\":\"";
    const COMPLETION: &str = "\"text\":\"";
    let start = match data.find(CHAT) {
        Some(at) => at + CHAT.len(),
        None => data.find(COMPLETION)? + COMPLETION.len(),
    };
    let text = &data[start..];
    let mut is_escaped = false;
    let end = text.bytes().position(|b| {
        let is_end = b == b'"' && !is_escaped;
        is_escaped = b == b'\\' && !is_escaped;
        is_end
    })?;
    Some(&text[..end])
}
