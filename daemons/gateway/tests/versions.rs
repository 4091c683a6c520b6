//! Streams over scripted endpoints of several software versions.

#[allow(dead_code)] // The tests of versions use a part of it.
mod support;

use std::thread;
use std::time::Duration;

use sill_base::Millis;
use sill_wire::link::{EndpointFact, EndpointState};
use sill_wire::streams::ServedVersion;
use support::{Action, CallerResponse, Harness, answer_of, exchange, fact, head, request_as};

const CHUNKED: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

/// Most instances that a test starts until one has drawn the endpoint that fails.
const MAX_INSTANCES: usize = 64;

/// The path of streams that may be resumed.
const RESUMABLE: &str = "/resumable_stream/x";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A stream that breaks off after these events.
fn cut(events: &str) -> Action {
    let events = if events.is_empty() { String::new() } else { chunk(events) };
    Action::AnswerAndClose(format!("{}{events}", head(CHUNKED)))
}

fn whole(events: &str) -> Action {
    Action::Answer(format!("{}{}0\r\n\r\n", head(CHUNKED), chunk(events)))
}

/// Starts an entry instance with an endpoint of each version.
fn start(versions: &[&str], actions: Vec<Vec<Action>>) -> Harness {
    let harness = Harness::start(actions);
    announce(&harness, versions, &[]);
    harness
}

/// Announces endpoints of these versions; those listed as leaving do leave.
fn announce(harness: &Harness, versions: &[&str], leaving: &[usize]) {
    let facts = versions.iter().enumerate().map(|(i, version)| {
        let state = match leaving.contains(&i) {
            true => EndpointState::Leaving,
            false => EndpointState::Ready,
        };
        let known = fact(i, harness.endpoints[i].address);
        let sequence = 2 + leaving.len() as u64;
        let leaves_in = leaving.contains(&i).then_some(Millis(1300));
        EndpointFact { software: (*version).into(), sequence, state, leaves_in, ..known }
    });
    *harness.facts.lock() = facts.collect();
    harness.wait_until_facts_applied();
}

fn call(harness: &Harness, id: &str, path: &str, headers: &str) -> CallerResponse {
    exchange(harness.address, &request_as(id, path, headers))
}

/// Returns the endpoints that got the request with an id.
fn endpoints_of(harness: &Harness, id: &str) -> Vec<usize> {
    let runs =
        |i: &usize| harness.endpoints[*i].run_ids.lock().iter().filter(|of| *of == id).count();
    (0..harness.endpoints.len()).flat_map(|i| std::iter::repeat_n(i, runs(&i))).collect()
}

/// An endpoint crashes within its stream, and the entry instance continues the answer at one of
/// another version.
#[test]
fn an_answer_continues_at_the_version_of_its_first_event() {
    let versions = ["v1", "v2", "v1", "v2", "v1", "v2"];
    // The retry budget of a new instance is enough for one resumption.
    for i in 0..8 {
        let cuts = versions.iter().map(|_| vec![cut("id: 1\ndata: a\n\n"); 2]);
        let harness = start(&versions, cuts.collect());
        call(&harness, "r-1", RESUMABLE, "");
        let used = endpoints_of(&harness, "r-1");
        assert_eq!(used.len(), 2, "instance {i} resumed it once: {used:?}");
        assert_eq!(versions[used[0]], versions[used[1]], "instance {i} used {used:?}");
    }
}

/// The only other endpoint has another version. The caller must not get its events, and learns that
/// the answer is incomplete.
#[test]
fn an_answer_without_an_endpoint_of_its_version_is_incomplete() {
    for _ in 0..4 {
        let actions = || vec![cut("id: 1\ndata: a\n\n"); 2];
        let harness = start(&["v1", "v2"], vec![actions(), actions()]);
        let got = call(&harness, "r-1", RESUMABLE, "");
        assert_eq!((got.status, got.is_complete), (200, false), "{}", got.head);
        assert_eq!(endpoints_of(&harness, "r-1").len(), 1);
    }
}

/// Until the first event, any version may answer: a caller whose first endpoint fails before it would
/// get an error although others serve.
#[test]
fn an_answer_without_an_event_is_begun_anew_at_any_version() {
    let mut failed = 0;
    for i in 0..MAX_INSTANCES {
        // Each instance draws its first endpoint, so all of a few may draw the same one.
        if i >= 8 && failed > 0 {
            break;
        }
        let (fails, serves) = (vec![cut(""); 2], vec![whole("id: 1\ndata: a\n\n"); 2]);
        let harness = start(&["v1", "v2"], vec![fails, serves]);
        let got = call(&harness, "r-1", RESUMABLE, "");
        assert_eq!((got.status, got.is_complete), (200, true), "instance {i}: {}", got.head);
        failed += harness.endpoints[0].requests();
    }
    assert!(failed > 0, "the failing endpoint was never tried");
}

/// A run's KV cache is copied to an engine of another version.
#[test]
fn a_run_is_not_migrated_to_another_version() {
    let events = format!("{}{}", head(CHUNKED), chunk("id: 1\ndata: a\n\n"));
    let run = Action::AnswerAndCloseLater(events, Duration::from_millis(1500));
    let harness = Harness::start_with_hidden(vec![vec![run, Action::Hang], vec![Action::Hang]]);
    announce(&harness, &["v1"], &[]);
    let address = harness.address;
    let caller = thread::spawn(move || exchange(address, &request_as("r-1", "/stream/x", "")));
    while harness.endpoints[0].requests() == 0 {
        thread::sleep(Duration::from_millis(10));
    }
    announce(&harness, &["v1", "v2"], &[0]);
    let got = caller.join().expect("the caller gets an answer");
    assert!(!got.is_complete, "{got:?}");
    let lines: Vec<String> =
        harness.endpoints[0].request_log.lock().iter().map(|r| r.line.clone()).collect();
    assert!(!lines.iter().any(|line| line.contains("/copy/")), "{lines:?}");
    assert_eq!(harness.endpoints[1].requests(), 0);
}

/// What a caller names with a call, and what becomes of it.
struct Case {
    name: &'static str,
    headers: String,
    path: &'static str,
    status: u16,
    /// The version that serves it; none if any may.
    version: Option<&'static str>,
}

fn check(harness: &Harness, versions: &[&str], cases: &[Case]) {
    for (i, Case { name, headers, path, status, version }) in cases.iter().enumerate() {
        let id = format!("t-{i}");
        let began = std::time::Instant::now();
        let got = call(harness, &id, path, headers);
        assert_eq!(got.status, *status, "{name}: {}", got.head);
        let used = endpoints_of(harness, &id);
        if *status == 503 {
            assert!(began.elapsed() < Duration::from_millis(500), "{name}: refused late");
            assert!(used.is_empty(), "{name}: {used:?}");
            assert!(got.head.contains("sill-not-run: true"), "{name}: {}", got.head);
            assert!(got.head.contains("retry-after: "), "{name}: {}", got.head);
        }
        if let Some(version) = version {
            assert!(used.iter().all(|i| versions[*i] == *version), "{name}: {used:?}");
        }
    }
}

/// With two versions, a caller's names lead to another version, or to another caller's stream.
#[test]
fn take_ups_are_served_by_the_version_that_their_names_lead_to() {
    let serves = || vec![whole("id: 1\ndata: a\n\n"); 80];
    let versions = ["v1", "v2", "v1", "v2"];
    let harness = start(&versions, vec![serves(), serves(), serves(), serves()]);
    assert_eq!(call(&harness, "known", RESUMABLE, "").status, 200);
    let began = Some(versions[endpoints_of(&harness, "known")[0]]);
    let case = |name, headers: &str, status| Case {
        name,
        headers: headers.to_owned(),
        path: RESUMABLE,
        status,
        version: began,
    };
    let too_long = format!("last-event-id: 1\r\nsill-resumes: {}\r\n", "x".repeat(4000));
    let repeated = case("both names", "last-event-id: 1\r\nsill-resumes: known\r\n", 200);
    let cases = [
        case("both names", "last-event-id: 1\r\nsill-resumes: known\r\n", 200),
        case("again", "last-event-id: 1\r\nsill-resumes: known\r\n", 200),
        case("only the attempt", "sill-resumes: known\r\n", 200),
        case("only the event", "last-event-id: 1\r\n", 503),
        case("made up", "last-event-id: 1\r\nsill-resumes: made-up\r\n", 503),
        case("empty", "last-event-id: 1\r\nsill-resumes: \r\n", 503),
        case("too long", &too_long, 503),
        Case { path: "/resumable_stream/y", status: 503, ..repeated },
        Case {
            path: "/idempotent/x",
            version: None,
            ..case("not a stream", "last-event-id: 1\r\nsill-resumes: made-up\r\n", 200)
        },
    ];
    check(&harness, &versions, &cases);
}

/// With a single version, a take-up is refused because its caller names nothing that is known.
#[test]
fn take_ups_of_a_single_version_are_served_whatever_they_name() {
    let serves = || vec![whole("id: 1\ndata: a\n\n"); 40];
    for version in ["v1", ""] {
        let versions = [version; 2];
        let harness = start(&versions, vec![serves(), serves()]);
        let case = |name, headers: &str| Case {
            name,
            headers: headers.to_owned(),
            path: RESUMABLE,
            status: 200,
            version: None,
        };
        let cases = [
            case("only the event", "last-event-id: 1\r\n"),
            case("made up", "last-event-id: 1\r\nsill-resumes: made-up\r\n"),
        ];
        check(&harness, &versions, &cases);
    }
}

/// The endpoint that began a stream reports another version afterwards, so that nobody knows which one
/// began it.
#[test]
fn streams_of_an_endpoint_with_two_versions_are_not_taken_up() {
    let serves = || vec![whole("id: 1\ndata: a\n\n"); 20];
    let versions = ["v1", "v1"];
    let harness = start(&versions, vec![serves(), serves()]);
    assert_eq!(call(&harness, "begun", RESUMABLE, "").status, 200);
    let began = endpoints_of(&harness, "begun")[0];
    let mut facts = harness.facts.lock().clone();
    facts[began].software = "v2".into();
    facts[began].sequence += 1;
    *harness.facts.lock() = facts;
    harness.wait_until_facts_applied();
    let headers = "last-event-id: 1\r\nsill-resumes: begun\r\n".to_owned();
    let case = Case { name: "doubtful", headers, path: RESUMABLE, status: 503, version: None };
    check(&harness, &versions, &[case]);
}

/// A caller waits in vain for a version whose last endpoint leaves, or is sent there.
#[test]
fn take_ups_of_a_version_that_leaves_are_refused_at_once() {
    let serves = || vec![Action::Answer(answer_of("x")), whole("id: 1\ndata: a\n\n")];
    let versions = ["v1", "v2"];
    let harness = start(&versions, vec![vec![whole("id: 1\ndata: a\n\n")], serves()]);
    let mut id = String::new();
    for i in 0.. {
        id = format!("begun-{i}");
        call(&harness, &id, RESUMABLE, "");
        if endpoints_of(&harness, &id) == [0] {
            break;
        }
    }
    announce(&harness, &versions, &[0]);
    let headers = format!("last-event-id: 1\r\nsill-resumes: {id}\r\n");
    let case = Case { name: "gone", headers, path: RESUMABLE, status: 503, version: None };
    check(&harness, &versions, &[case]);
}

/// After a kill of all processes, a stream would go on at another version than the one that began it, as
/// nothing has told of that one.
#[test]
fn a_version_that_is_not_recorded_begins_no_stream_that_may_be_taken_up() {
    let events = "id: 1\ndata: a\n\n";
    let harness = Harness::start_with_hidden(vec![vec![whole(events); 8], vec![whole(events); 24]]);
    let v2 = ServedVersion { service: "desk".into(), software: "v2".into() };
    harness.held.lock().push(v2);
    announce(&harness, &["v1", "v2"], &[]);
    for i in 0..8 {
        let id = format!("held-{i}");
        let got = call(&harness, &id, RESUMABLE, "");
        assert_eq!((got.status, got.is_complete), (200, true), "{}", got.head);
        assert_eq!(endpoints_of(&harness, &id), [0], "a stream that may be taken up");
    }
    let used = |path: &str| {
        let ids = (0..MAX_INSTANCES).map(|i| format!("{path}-{i}"));
        let mut calls = ids.map(|id| {
            call(&harness, &id, path, "");
            endpoints_of(&harness, &id)
        });
        calls.any(|used| used.contains(&1))
    };
    assert!(used("/stream/x"), "other streams");
    harness.held.lock().clear();
    harness.wait_until_facts_applied();
    assert!(used(RESUMABLE), "once it is recorded");
}
