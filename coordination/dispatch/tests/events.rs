//! Event boundaries in streams, whatever their line endings and however they are cut into parts.

use bytes::Bytes;
use sill_dispatch::EventTracker;

struct Case {
    name: &'static str,
    stream: &'static str,
    /// What is forwarded of a stream that may be resumed.
    forwarded: &'static str,
    is_between_events: bool,
    has_events: bool,
    last_id: Option<&'static str>,
}

impl Case {
    const fn new(name: &'static str, stream: &'static str) -> Self {
        let (is_between_events, has_events) = (true, true);
        Self { name, stream, forwarded: stream, is_between_events, has_events, last_id: Some("1") }
    }

    const fn inside(name: &'static str, stream: &'static str, forwarded: &'static str) -> Self {
        Self { forwarded, is_between_events: false, ..Self::new(name, stream) }
    }
}

const CASES: [Case; 22] = [
    Case::new("LF", "id: 1\ndata: a\n\n"),
    Case::new("CR LF", "id: 1\r\ndata: a\r\n\r\n"),
    Case::new("CR", "id: 1\rdata: a\r\r"),
    Case::new("two blank lines", "id: 1\ndata: a\n\n\n"),
    Case::new("LF after CR LF", "id: 1\r\ndata: a\r\n\n"),
    Case::new("comment after the event", "id: 1\ndata: a\n\n: alive\n"),
    Case::new("comment in the event", "id: 1\n: alive\ndata: a\n\n"),
    Case::new("byte-order mark", "\u{feff}id: 1\ndata: a\n\n"),
    Case::new("field without a colon", "id: 1\ndata\n\n"),
    Case { has_events: false, last_id: None, ..Case::new("nothing", "") },
    Case { has_events: false, last_id: None, ..Case::new("only a comment", ": alive\n\n") },
    Case { has_events: false, last_id: None, ..Case::new("only a mark", "\u{feff}") },
    Case::inside("within a line", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n"),
    Case::inside("after a field", "id: 1\ndata: a\n\nid: 2\n", "id: 1\ndata: a\n\n"),
    Case::inside("after the last field", "id: 1\n\nid: 2\ndata: b\n", "id: 1\n\n"),
    Case::inside("after the last field, CR LF", "id: 1\r\n\r\ndata: b\r\n", "id: 1\r\n\r\n"),
    Case::inside("after the last field, CR", "id: 1\r\rdata: b\r", "id: 1\r\r"),
    Case::inside("between CR and LF", "id: 1\r\n\r\ndata: b\r\n\r", "id: 1\r\n\r\n"),
    Case::inside("within a comment", "id: 1\n\n: ali", "id: 1\n\n"),
    Case::inside("comment after a field", "id: 1\n\ndata: b\n: alive\n", "id: 1\n\n"),
    Case {
        has_events: false,
        last_id: None,
        ..Case::inside("first event", "id: 1\ndata: a\n", "")
    },
    Case { has_events: false, last_id: None, ..Case::inside("within a field name", "i", "") },
];

/// An end inside an event that is taken for the end of the stream would give the caller a truncated
/// answer as a complete one.
#[test]
fn a_stream_is_inside_an_event_until_the_blank_line_after_it() {
    for case in &CASES {
        // The parts into which the stream is cut must not matter.
        for part in 1..=case.stream.len().max(1) {
            let mut events = EventTracker::resumable();
            let mut forwarded = Vec::new();
            for part in case.stream.as_bytes().chunks(part) {
                forwarded.extend_from_slice(&events.push(Bytes::copy_from_slice(part)));
            }
            let name = format!("{} in parts of {part}", case.name);
            assert_eq!(String::from_utf8_lossy(&forwarded), case.forwarded, "{name}");
            assert_eq!(events.is_between_events(), case.is_between_events, "{name}");
            assert_eq!(events.has_events(), case.has_events, "{name}");
            assert_eq!(events.last_id(), case.last_id, "{name}");
        }
    }
}

/// A stream that can't be resumed is forwarded as it arrives, and its end is judged all the same.
#[test]
fn a_stream_that_is_not_resumable_is_not_held_back() {
    for case in &CASES {
        let mut events = EventTracker::pass_through();
        let forwarded = events.push(Bytes::from_static(case.stream.as_bytes()));
        assert_eq!(forwarded, case.stream.as_bytes(), "{}", case.name);
        assert_eq!(events.is_between_events(), case.is_between_events, "{}", case.name);
        assert_eq!(events.has_events(), case.has_events, "{}", case.name);
    }
}

/// The half of an event from the old endpoint must not be joined with the first event of the new
/// one, whose byte-order mark would be read as a part of a field name.
#[test]
fn a_resumed_stream_begins_with_a_complete_event() {
    let mut events = EventTracker::resumable();
    assert_eq!(events.push(Bytes::from_static(b"id: 1\n\nid: 2\nda")), b"id: 1\n\n"[..]);
    events.restart();
    assert!(events.is_between_events() && !events.has_events());
    assert_eq!(events.last_id(), Some("1"));
    let resumed = Bytes::from_static("\u{feff}id: 2\ndata: b\n\n".as_bytes());
    assert_eq!(events.push(resumed), b"id: 2\ndata: b\n\n"[..]);
    assert_eq!(events.last_id(), Some("2"));
}
