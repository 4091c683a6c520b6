//! Event boundaries in streams, whatever their line endings and however they are cut into parts.

use bytes::Bytes;
use sill_dispatch::{BufferBudget, EventTracker, HoldEnd};

/// Creates a tracker whose bounds the streams of these tests don't reach.
fn resumable() -> EventTracker {
    EventTracker::resumable(&BufferBudget::new(1 << 20), 1 << 20)
}

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
            let mut events = resumable();
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
    let mut events = resumable();
    assert_eq!(events.push(Bytes::from_static(b"id: 1\n\nid: 2\nda")), b"id: 1\n\n"[..]);
    events.restart();
    assert!(events.is_between_events() && !events.has_events());
    assert_eq!(events.last_id(), Some("1"));
    let resumed = Bytes::from_static("\u{feff}id: 2\ndata: b\n\n".as_bytes());
    assert_eq!(events.push(resumed), b"id: 2\ndata: b\n\n"[..]);
    assert_eq!(events.last_id(), Some("2"));
}

/// An event without end would take up the memory of the instance.
#[test]
fn an_event_is_held_back_up_to_its_bound_and_the_budget_of_all() {
    struct Case {
        limit: usize,
        budget: usize,
        /// Bytes of the event that are held back when the hold ends.
        held: usize,
        end: HoldEnd,
    }
    let cases = [
        Case { limit: 100_000, budget: 1 << 20, held: 101_000, end: HoldEnd::TooLong },
        Case { limit: 1 << 20, budget: 10_000, held: 27_000, end: HoldEnd::NoMemory },
        Case { limit: 1 << 20, budget: 0, held: 17_000, end: HoldEnd::NoMemory },
    ];
    for Case { limit, budget, held, end } in cases {
        let budget = BufferBudget::new(budget);
        let mut events = EventTracker::resumable(&budget, limit);
        assert_eq!(events.push(Bytes::from_static(b"id: 1\n\n")), b"id: 1\n\n"[..]);
        while events.hold_end().is_none() {
            assert!(events.push(Bytes::from(vec![b'x'; 1000])).is_empty());
        }
        assert_eq!((events.hold_end(), events.held_bytes()), (Some(end), held));
        assert!(events.can_resume());
        let continuation = events.of_continuation();
        assert_eq!((continuation.held_bytes(), continuation.last_id()), (0, Some("1")));
        // Where no other endpoint goes on, the rest of the event follows as it arrives.
        assert_eq!(events.release().len(), held);
        assert_eq!(events.push(Bytes::from_static(b"xx")), b"xx"[..]);
        assert!(!events.can_resume() && !events.is_between_events());
        assert_eq!(
            events.push(Bytes::from_static(b"\nid: 2\n\nid: 3\n\nda")),
            b"\nid: 2\n\nid: 3\n\n"[..]
        );
        assert!(!events.can_resume(), "the ids after a part of an event are not known");
        assert_eq!(events.push(Bytes::from_static(b"ta\nid: 4\n\n")), b"data\nid: 4\n\n"[..]);
        assert!(events.can_resume());
        assert_eq!(events.last_id(), Some("4"));
        drop(events);
        assert_eq!(budget.used(), 0);
    }
}

/// Large events in the queues of callers that read slowly would exceed the budget.
#[test]
fn a_large_event_counts_until_it_is_written() {
    let budget = BufferBudget::new(1 << 20);
    let mut events = EventTracker::resumable(&budget, 1 << 20);
    assert!(events.push(Bytes::from(vec![b'x'; 100_000])).is_empty());
    let event = events.push(Bytes::from_static(b"\n\n"));
    assert_eq!(event.len(), 100_002);
    let used = budget.used();
    assert!(used > 80_000, "{used}");
    drop(events);
    assert_eq!(budget.used(), used);
    drop(event);
    assert_eq!(budget.used(), 0);
}

/// After an id that can't be sent, a resumption after an older one would repeat events.
#[test]
fn a_stream_is_not_resumed_after_an_id_that_can_not_be_sent() {
    let long = "7".repeat(1 << 12);
    for id in [long.as_bytes(), b"\xff\xfe", b"a\x01b"] {
        let mut events = resumable();
        let event = [b"id: 1\n\nid: ", id, b"\n\n"].concat();
        assert_eq!(events.push(Bytes::from(event.clone())), event[..]);
        assert!(!events.can_resume() && events.last_id().is_none(), "{id:?}");
        assert_eq!(events.push(Bytes::from_static(b"id: 3\n\n")), b"id: 3\n\n"[..]);
        assert!(events.can_resume() && events.last_id() == Some("3"));
    }
}
