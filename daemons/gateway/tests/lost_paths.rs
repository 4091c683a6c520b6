//! Answers that arrive on a connection after the path to its endpoint is taken for lost.

#[allow(dead_code)] // The tests of lost paths use a part of it.
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use sill_wire::link::RelayOffer;
use support::{
    Action, CallerResponse, Harness, answer_of, exchange, head, not_run, request,
    wait_until_ready_is,
};

const STREAM: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

/// Longer than any silence in these tests.
const LONG: Duration = Duration::from_secs(20);

/// Silences after which the path is taken for lost.
const SILENCES: [Duration; 2] = [Duration::from_millis(1200), Duration::from_millis(2600)];

fn event(id: u32, data: &str) -> String {
    let text = format!("id: {id}\ndata: {data}\n\n");
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// What the other endpoint does with the request.
struct Case {
    name: &'static str,
    /// None if there is no other endpoint.
    other: Option<Action>,
    /// Whether the other endpoint's answer reaches the caller.
    is_other_first: bool,
}

impl Case {
    const fn new(name: &'static str, other: Option<Action>) -> Self {
        Self { name, other, is_other_first: false }
    }
}

/// Sends a call to an endpoint that then takes no new connections but answers on the open one, while
/// another entry instance reaches it. Then the other endpoint joins.
fn call_on_lost_path(
    path: &'static str,
    (begins, silence, rest): (String, Duration, String),
    other: Option<Action>,
    stops: bool,
) -> (CallerResponse, usize) {
    let helper = Harness::start(vec![Vec::new()]);
    let is_known = Arc::<AtomicBool>::default();
    let first = Action::AnswerInTwoAndRefuseOthersWhen(begins, is_known.clone(), silence, rest);
    let actions = vec![vec![first], other.iter().cloned().collect()];
    let mut harness = Harness::start_with_hidden(actions);
    *harness.relays.lock() = vec![RelayOffer {
        entry: helper.name.clone(),
        domain: "a".into(),
        address: helper.peer_address,
    }];
    harness.wait_until_facts_applied();
    let address = harness.address;
    let caller: JoinHandle<CallerResponse> =
        thread::spawn(move || exchange(address, &request(path, "")));
    while harness.endpoints[0].requests() == 0 {
        thread::sleep(Duration::from_millis(2));
    }
    if other.is_some() {
        harness.announce_last();
        harness.wait_until_facts_applied();
    }
    is_known.store(true, Ordering::Relaxed);
    if stops {
        let ready = harness.ready_address;
        let stop = thread::spawn(move || {
            harness.stop();
            harness
        });
        wait_until_ready_is(503, ready);
        let got = caller.join().expect("the caller gets an answer");
        let harness = stop.join().expect("the entry instance stops");
        return (got, harness.endpoints[1].requests());
    }
    let got = caller.join().expect("the caller gets an answer");
    assert!(harness.metric("sill_gateway_lost_paths") > 0, "the path was not taken for lost");
    (got, harness.endpoints[1].requests())
}

/// A stream whose path is taken for lost is cut if no other endpoint continues it, although its own
/// connection is sound and its next event is on the way.
#[test]
fn a_stream_is_read_on_while_another_endpoint_is_tried() {
    let cases = || {
        [
            Case::new("no other endpoint", None),
            Case::new("silent", Some(Action::Hang)),
            Case::new("refuses", Some(Action::Answer(not_run("503 Service Unavailable")))),
            Case::new("closes unanswered", Some(Action::AnswerAndClose(String::new()))),
            Case::new(
                "silent after its head",
                Some(Action::AnswerAndCloseLater(head(STREAM), LONG)),
            ),
            Case::new("closes after its head", Some(Action::AnswerAndClose(head(STREAM)))),
            Case::new(
                "closes in an event",
                Some(Action::AnswerAndClose(format!("{}9\r\nid: 9\ndat\r\n", head(STREAM)))),
            ),
            Case {
                is_other_first: true,
                ..Case::new(
                    "continues",
                    Some(Action::Answer(format!("{}{}0\r\n\r\n", head(STREAM), event(2, "other")))),
                )
            },
        ]
    };
    let begins = format!("{}{}", head(STREAM), event(1, "a"));
    let rest = format!("{}{}0\r\n\r\n", event(2, "b"), event(3, "c"));
    let mut failures = Vec::new();
    for silence in SILENCES {
        for stops in [false, true] {
            let runs: Vec<_> = cases()
                .into_iter()
                .map(|case| {
                    let action = (begins.clone(), silence, rest.clone());
                    thread::spawn(move || {
                        let Case { name, other, is_other_first } = case;
                        let (got, sends) =
                            call_on_lost_path("/resumable_stream/x", action, other, stops);
                        (name, is_other_first, got, sends)
                    })
                })
                .collect();
            for run in runs {
                let (name, is_other_first, got, sends) = run.join().expect("the case runs");
                let expected = match is_other_first {
                    true => "id: 1\ndata: a\n\nid: 2\ndata: other\n\n",
                    false => "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
                };
                let body = String::from_utf8_lossy(&got.body).into_owned();
                if !got.is_complete || body != expected || sends > 1 {
                    let whole = got.is_complete;
                    failures.push(format!(
                        "{name}, {silence:?}, stops={stops}: whole={whole} sends={sends} {body:?}"
                    ));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{} cases: {failures:#?}", failures.len());
}

/// A second attempt is misread: a complete answer without events as a failure, a comment as an event, or
/// what it sends once the first connection has broken is not read.
#[test]
fn a_second_attempt_continues_a_stream_only_with_what_it_proves() {
    struct Case {
        name: &'static str,
        /// What the first endpoint sends after its first event, and when.
        rest: (Duration, String),
        other: Action,
        events: &'static str,
    }
    let comment = format!("{}8\r\n: ping\n\n\r\n", head(STREAM));
    let other_event = format!("{}0\r\n\r\n", event(2, "other"));
    let cases = [
        Case {
            name: "nothing follows",
            rest: (LONG, String::new()),
            other: Action::Answer(format!("{}0\r\n\r\n", head(STREAM))),
            events: "id: 1\ndata: a\n\n",
        },
        Case {
            name: "a comment, then silence",
            rest: (SILENCES[1], format!("{}0\r\n\r\n", event(2, "b"))),
            other: Action::AnswerAndCloseLater(comment, LONG),
            events: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        },
        Case {
            name: "its head, and the first connection breaks",
            rest: (SILENCES[1], "no chunk\r\n".to_owned()),
            other: Action::AnswerInTwo(head(STREAM), Duration::from_secs(4), other_event),
            events: "id: 1\ndata: a\n\nid: 2\ndata: other\n\n",
        },
    ];
    let run = |case: Case| {
        thread::spawn(move || {
            let Case { name, rest: (silence, rest), other, events } = case;
            let begins = format!("{}{}", head(STREAM), event(1, "a"));
            let action = (begins, silence, rest);
            let (got, _) = call_on_lost_path("/resumable_stream/x", action, Some(other), false);
            let body = String::from_utf8_lossy(&got.body).into_owned();
            (!got.is_complete || body != events)
                .then(|| format!("{name}: whole={} {body:?}", got.is_complete))
        })
    };
    let runs: Vec<_> = cases.into_iter().map(run).collect();
    let failures: Vec<String> =
        runs.into_iter().filter_map(|run| run.join().expect("the case runs")).collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A call that may be repeated is failed if no other endpoint takes it, although its answer is on the
/// way.
#[test]
fn an_answer_is_waited_for_while_another_endpoint_is_tried() {
    let cases = || {
        [
            Case::new("no other endpoint", None),
            Case::new("silent", Some(Action::Hang)),
            Case::new("refuses", Some(Action::Answer(not_run("503 Service Unavailable")))),
            Case::new("closes unanswered", Some(Action::AnswerAndClose(String::new()))),
            Case {
                is_other_first: true,
                ..Case::new("answers", Some(Action::Answer(answer_of("other"))))
            },
        ]
    };
    let mut failures = Vec::new();
    for silence in SILENCES {
        for stops in [false, true] {
            let runs: Vec<_> = cases()
                .into_iter()
                .map(|case| {
                    let action = (String::new(), silence, answer_of("first"));
                    thread::spawn(move || {
                        let Case { name, other, is_other_first } = case;
                        let (got, sends) = call_on_lost_path("/idempotent/x", action, other, stops);
                        (name, is_other_first, got, sends)
                    })
                })
                .collect();
            for run in runs {
                let (name, is_other_first, got, sends) = run.join().expect("the case runs");
                // A stopping instance sends no call again that may outlast it.
                let expected = if is_other_first && !stops { "other" } else { "first" };
                let body = String::from_utf8_lossy(&got.body).into_owned();
                if (got.status, body.as_str()) != (200, expected) || sends > 1 {
                    let status = got.status;
                    failures.push(format!(
                        "{name}, {silence:?}, stops={stops}: {status} sends={sends} {body:?}"
                    ));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{} cases: {failures:#?}", failures.len());
}
