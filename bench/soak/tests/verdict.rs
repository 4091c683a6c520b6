//! Tests of the rules by which the verdict reports violated guarantees.

use bytes::Bytes;
use sill_base::Millis;
use sill_soak::backend::{Ledger, expected};
use sill_soak::caller::{CallerAnswer, GUESTS, Kind, Record};
use sill_soak::journal::{Event, Journal};
use sill_soak::stream::{Pace, event};
use sill_soak::verdict::check;

const ID: &str = "r0-0";
const SENT: Millis = Millis(10_000);
const ENDED: Millis = Millis(11_000);

/// Test case: a request that was cut off after one second.
struct CutCase {
    name: &'static str,
    is_first: bool,
    /// Whether the caller received the head of an answer.
    has_head: bool,
    /// Endpoint incarnations that ran the request.
    runs: &'static [&'static str],
    is_withheld: bool,
    deadline: Millis,
    /// Events during the request.
    events: &'static [Event],
    /// The rule that the verdict must report, if any.
    rule: Option<&'static str>,
}

const DEFAULT_CASE: CutCase = CutCase {
    name: "",
    is_first: false,
    has_head: false,
    runs: &[],
    is_withheld: false,
    deadline: Millis(2900),
    events: &[],
    rule: None,
};

/// A stopping entry instance accepts a stream and cuts it off at the end of its stop time: the
/// caller has half an answer and may not send the request again. Only a fault of this instance, or
/// of the endpoint that ran the stream, excuses that; a simultaneous fault elsewhere does not.
#[test]
fn a_request_cut_off_without_a_fault_is_a_finding() {
    const RAN: &[&str] = &["e2.1"];
    let stopping = &[Event::GracefulStop(1)];
    let cases = [
        CutCase {
            name: "stop",
            runs: RAN,
            has_head: true,
            events: stopping,
            rule: Some("graceful_stop"),
            ..DEFAULT_CASE
        },
        CutCase {
            name: "stop, no head",
            runs: RAN,
            events: stopping,
            rule: Some("graceful_stop"),
            ..DEFAULT_CASE
        },
        CutCase {
            name: "new connection",
            is_first: true,
            events: stopping,
            rule: Some("graceful_stop"),
            ..DEFAULT_CASE
        },
        CutCase {
            name: "no stop",
            runs: RAN,
            has_head: true,
            rule: Some("whole_answer"),
            ..DEFAULT_CASE
        },
        CutCase {
            name: "another stops",
            runs: RAN,
            events: &[Event::GracefulStop(0)],
            rule: Some("whole_answer"),
            ..DEFAULT_CASE
        },
        CutCase {
            name: "another endpoint is cut off",
            runs: RAN,
            events: &[Event::GracefulStop(1), Event::EndpointOutage(1), Event::Disruption(2)],
            rule: Some("graceful_stop"),
            ..DEFAULT_CASE
        },
        CutCase { name: "used connection", events: stopping, ..DEFAULT_CASE },
        CutCase { name: "gone", is_first: true, events: &[Event::Exit(1)], ..DEFAULT_CASE },
        CutCase {
            name: "killed",
            runs: RAN,
            events: &[Event::GracefulStop(1), Event::Disruption(1)],
            ..DEFAULT_CASE
        },
        CutCase {
            name: "endpoint cut off",
            runs: RAN,
            events: &[Event::GracefulStop(1), Event::EndpointOutage(2)],
            ..DEFAULT_CASE
        },
        CutCase {
            name: "endpoint broke off",
            runs: RAN,
            is_withheld: true,
            events: stopping,
            ..DEFAULT_CASE
        },
        CutCase {
            name: "just before a near deadline",
            runs: RAN,
            has_head: true,
            deadline: Millis(1001),
            rule: Some("whole_answer"),
            ..DEFAULT_CASE
        },
        CutCase {
            name: "at a near deadline",
            runs: RAN,
            has_head: true,
            deadline: Millis(1000),
            ..DEFAULT_CASE
        },
    ];
    for case in cases {
        let (ledger, journal) = (Ledger::default(), Journal::default());
        case.runs.iter().for_each(|run| ledger.note_run(ID, run));
        if case.is_withheld {
            ledger.note_withheld(ID);
        }
        case.events.iter().for_each(|event| journal.note(*event, SENT, ENDED));
        let answer =
            case.has_head.then_some(CallerAnswer { status: 200, is_not_run: false, body: None });
        let (sent, ended, is_first) = (SENT, ENDED, case.is_first);
        let record = Record::new(ID.to_owned(), Kind::Stream);
        let deadline = case.deadline;
        let record = Record { entry: 1, sent, ended, is_first, deadline, answer, ..record };
        let findings = check(&[record], &ledger, &journal);
        let rules: Vec<&str> = findings.iter().filter_map(|f| f.split(':').next()).collect();
        assert_eq!(rules, Vec::from_iter(case.rule), "{}: {findings:?}", case.name);
    }
}

/// If the rate limit of an account is not enforced, its callers fill the endpoints and crowd out
/// the callers of other accounts.
#[test]
fn a_rate_limit_that_is_not_enforced_is_a_finding() {
    let limit = u64::from(GUESTS.limit.expect("GUESTS has a rate limit"));
    // Multiples of the number of requests that the limit allows in ten seconds.
    for (factor, is_finding) in [(1, false), (2, true), (6, true)] {
        let ledger = Ledger::default();
        let count = factor * limit * 10;
        let records = (0..count).map(|i| {
            let id = format!("r0-{i}");
            ledger.note_run(&id, "e0.1");
            let at = Millis(i * 10_000 / count);
            let body = Some(expected(&id, b"", "e0.1"));
            let answer = Some(CallerAnswer { status: 200, is_not_run: false, body });
            let record = Record::new(id, Kind::Idempotent);
            Record { client: &GUESTS, sent: at, ended: at, answer, ..record }
        });
        let records: Vec<Record> = records.collect();
        let findings = check(&records, &ledger, &Journal::default());
        let is_found = findings.iter().any(|finding| finding.starts_with("account_limit"));
        assert_eq!(is_found, is_finding, "{factor} times the limit: {findings:?}");
    }
}

/// A stream that is resumed at another endpoint may repeat an event, skip one, or end early. Its
/// caller then reads a text that no endpoint produced.
#[test]
fn a_stream_with_missing_or_repeated_events_is_a_finding() {
    let events = |from: usize, to: usize, endpoint: &str| -> Vec<Bytes> {
        (from..=to).map(|number| event(number, ID, b"body", endpoint)).collect()
    };
    let last = Pace::Slow.events();
    let cases = [
        ("whole", vec![events(1, last, "e0.1")], true),
        ("resumed", vec![events(1, 2, "e0.1"), events(3, last, "e1.4")], true),
        ("one twice", vec![events(1, 2, "e0.1"), events(2, last, "e1.4")], false),
        ("one left out", vec![events(1, 2, "e0.1"), events(4, last, "e1.4")], false),
        ("ended early", vec![events(1, last - 1, "e0.1")], false),
        ("of another endpoint", vec![events(1, last, "e3.1")], false),
        ("no stream", vec![vec![expected(ID, b"body", "e0.1")]], false),
    ];
    for (name, parts, is_complete) in cases {
        let ledger = Ledger::default();
        ["e0.1", "e1.4"].iter().for_each(|endpoint| ledger.note_run(ID, endpoint));
        let body = Some(Bytes::from(parts.concat().concat()));
        let answer = Some(CallerAnswer { status: 200, is_not_run: false, body });
        let record = Record::new(ID.to_owned(), Kind::ResumableStream);
        let record =
            Record { pace: Some(Pace::Slow), body: Bytes::from_static(b"body"), answer, ..record };
        let findings = check(&[record], &ledger, &Journal::default());
        assert_eq!(findings.is_empty(), is_complete, "{name}: {findings:?}");
    }
}
