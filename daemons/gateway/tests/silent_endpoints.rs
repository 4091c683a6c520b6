//! Sound endpoints that fall silent for a second or so around the end of an answer that proves nothing.

#[allow(dead_code)] // The tests of silences use a part of it.
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sill_base::Millis;
use sill_wire::link::{EndpointFact, EndpointState};
use support::{Action, CallerResponse, Harness, exchange, fact, head, request_as};

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// How an endpoint frames an answer that ends with its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Plain,
    Stream,
    /// A stream in chunks, on a connection that is announced to close.
    Chunked,
}

impl Answer {
    fn text(self) -> String {
        const STREAM: &str = "content-type: text/event-stream\r\n";
        match self {
            Self::Plain => format!("{}whole", head("")),
            Self::Stream => format!("{}{EVENTS}", head(STREAM)),
            Self::Chunked => {
                let headers =
                    format!("{STREAM}transfer-encoding: chunked\r\nconnection: close\r\n");
                format!("{}{:x}\r\n{EVENTS}\r\n0\r\n\r\n", head(&headers), EVENTS.len())
            }
        }
    }
}

/// One call, and how the endpoint stands still.
#[derive(Debug, Clone, Copy)]
struct Case {
    answer: Answer,
    path: &'static str,
    /// Time left to the call at its start.
    deadline: u64,
    /// When the endpoint stands still after it has written the answer, and for how long.
    silences: &'static [(u64, u64)],
    /// Whether it announces that it leaves while two answers are under way, which then end together.
    leaves: bool,
    /// Whether another process takes its place at the end of the last silence.
    is_replaced: bool,
}

const USUAL: Case = Case {
    answer: Answer::Stream,
    path: "/stream/x",
    deadline: 10_000,
    silences: &[],
    leaves: false,
    is_replaced: false,
};

fn millis(of: u64) -> Duration {
    Duration::from_millis(of)
}

/// Returns what the caller gets.
fn play(case: &Case) -> CallerResponse {
    let Case { answer, path, deadline, silences, leaves, is_replaced } = *case;
    // What the answers wait for.
    let ends = Arc::<AtomicBool>::default();
    let action = Action::AnswerAndCloseWhen(answer.text(), ends.clone());
    let harness = Harness::start(vec![vec![action; 2]]);
    let endpoint = &harness.endpoints[0];
    let call = |id: &'static str| {
        let headers = format!("sill-deadline-ms: {deadline}\r\n");
        let (address, text) = (harness.address, request_as(id, path, &headers));
        move || exchange(address, &text)
    };
    thread::scope(|scope| {
        let first = scope.spawn(call("r-1"));
        let other = leaves.then(|| scope.spawn(call("r-2")));
        let calls = 1 + usize::from(leaves);
        while endpoint.requests() < calls {
            thread::sleep(millis(1));
        }
        thread::sleep(millis(50));
        if leaves {
            let known = fact(0, endpoint.address);
            let leaves_in = Some(Millis(20_000));
            let state = EndpointState::Leaving;
            *harness.facts.lock() = vec![EndpointFact { sequence: 2, state, leaves_in, ..known }];
            harness.wait_until_facts_applied();
        }
        for (after, time) in silences {
            endpoint.stand_still(millis(*after), millis(*time));
        }
        ends.store(true, Ordering::Relaxed);
        if is_replaced {
            let (after, time) = silences.last().expect("it stands still before");
            thread::sleep(millis(after + time - 30));
            endpoint.restart();
        }
        let got = first.join().expect("the caller gets an answer");
        other.into_iter().for_each(|other| _ = other.join());
        got
    })
}

/// Runs all cases at the same time and returns what is wrong.
fn check_all<F>(cases: &[Case], check: F)
where
    F: Fn(&CallerResponse) -> bool + Sync,
{
    let check = &check;
    let failures: Vec<String> = thread::scope(|scope| {
        let running: Vec<_> = cases
            .iter()
            .map(|case| {
                scope.spawn(move || {
                    let got = play(case);
                    let (status, is_complete) = (got.status, got.is_complete);
                    (!check(&got)).then(|| format!("{case:?}: {status}, complete: {is_complete}"))
                })
            })
            .collect();
        running.into_iter().filter_map(|case| case.join().expect("a case ends")).collect()
    });
    assert!(failures.is_empty(), "{} of {} cases: {failures:#?}", failures.len(), cases.len());
}

fn is_whole(got: &CallerResponse) -> bool {
    got.status == 200 && got.is_complete
}

/// Whole answers were cut half a second or 1.6 s after their end, whatever time their calls had left.
#[test]
fn whole_answers_of_an_endpoint_that_falls_silent_are_not_cut() {
    const AT_ONCE: &[(u64, u64)] = &[(0, 1000)];
    let plain = Case { answer: Answer::Plain, path: "/non_idempotent/x", ..USUAL };
    let mut cases = vec![
        Case { deadline: 1500, silences: AT_ONCE, ..plain },
        Case { deadline: 1300, silences: AT_ONCE, ..plain },
        Case { deadline: 3000, silences: &[(0, 600)], ..plain },
        Case { deadline: 3000, silences: &[(0, 1300)], ..plain },
        Case { deadline: 4000, silences: &[(0, 700), (900, 700)], ..plain },
        Case { silences: AT_ONCE, ..plain },
        Case { path: "/idempotent/x", silences: AT_ONCE, ..plain },
    ];
    for answer in [Answer::Stream, Answer::Chunked] {
        let stream = Case { answer, ..USUAL };
        cases.extend([
            Case { silences: AT_ONCE, ..stream },
            Case { silences: &[(0, 1300)], ..stream },
            Case { silences: &[(100, 1000)], ..stream },
            Case { silences: &[(300, 1000)], ..stream },
            Case { silences: &[(600, 1000)], ..stream },
            Case { silences: &[(0, 700), (900, 700)], ..stream },
            Case { silences: &[(100, 1000)], deadline: 2600, ..stream },
            // There is no other endpoint.
            Case { path: "/resumable_stream/x", silences: &[(300, 1000)], ..stream },
            Case { leaves: true, silences: &[(100, 1000)], ..stream },
        ]);
    }
    check_all(&cases, is_whole);
}

/// Another process at the address replies once the silence is over: what it proves would make a part of an
/// answer look whole.
#[test]
fn answers_of_an_endpoint_that_is_replaced_while_it_is_silent_are_not_whole() {
    let mut cases = Vec::new();
    for (answer, path) in [
        (Answer::Plain, "/non_idempotent/x"),
        (Answer::Stream, "/stream/x"),
        (Answer::Chunked, "/stream/x"),
    ] {
        let usual = Case { answer, path, deadline: 4000, is_replaced: true, ..USUAL };
        cases.push(Case { silences: &[(0, 600)], ..usual });
        cases.push(Case { silences: &[(0, 1000)], ..usual });
        cases.push(Case { silences: &[(0, 1400)], ..usual });
    }
    check_all(&cases, |got| !is_whole(got));
}
