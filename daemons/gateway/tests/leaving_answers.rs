//! Endpoints that say in their answers that they leave.

#[allow(dead_code)] // The tests of leaving use a part of it.
mod support;

use std::thread;
use std::time::{Duration, Instant};

use sill_wire::link::{EndpointFact, EndpointState};
use support::{Action, Harness, answer_of, exchange, fact, head, request_as};

/// Upper bound on the calls of a test.
const CALLS: usize = 1000;

/// Time for which calls go on after an endpoint has said that it leaves.
const SPAN: Duration = Duration::from_millis(1500);

/// Formats an answer with this line.
fn answer(status: &str, line: &str) -> String {
    let head = head(&format!("content-length: 5\r\n{line}"));
    format!("{}hello", head.replacen("200 OK", status, 1))
}

/// Makes calls for a while after the first request of the first endpoint; returns their statuses.
fn call_for_a_while(harness: &Harness, path: &str, prefix: &str) -> Vec<u16> {
    let (mut statuses, mut said_at) = (Vec::new(), None);
    while said_at.is_none_or(|at: Instant| at.elapsed() < SPAN) {
        let call = request_as(&format!("{prefix}-{}", statuses.len()), path, "");
        statuses.push(exchange(harness.address, &call).status);
        if said_at.is_none() && harness.endpoints[0].requests() > 0 {
            said_at = Some(Instant::now());
        }
        assert!(statuses.len() < CALLS, "the endpoint is not used");
        thread::sleep(Duration::from_millis(10));
    }
    statuses
}

/// The word of an endpoint that it leaves reaches no control instance, and it gets requests until it
/// ends.
#[test]
fn an_endpoint_that_says_in_an_answer_that_it_leaves_gets_no_more_requests() {
    struct Case {
        name: &'static str,
        status: &'static str,
        line: &'static str,
        /// Whether a later heartbeat says that it is ready.
        is_announced: bool,
        requests_after: bool,
    }
    let case = |name, status, line, is_announced, requests_after| Case {
        name,
        status,
        line,
        is_announced,
        requests_after,
    };
    let cases = [
        case("answered", "200 OK", "sill-leaving: true\r\n", false, false),
        case("ready again", "200 OK", "sill-leaving: true\r\n", true, false),
        case("rejected", "503 Full", "sill-not-run: true\r\nsill-leaving: true\r\n", false, false),
        case("failed", "500 Failed", "sill-leaving: true\r\n", false, false),
        case("no sense", "200 OK", "sill-leaving: 0\r\n", false, true),
    ];
    for (n, Case { name, status, line, is_announced, requests_after }) in
        cases.into_iter().enumerate()
    {
        let mut actions = vec![Action::Answer(answer(status, line))];
        actions.extend(vec![Action::Answer(answer_of("hello")); CALLS]);
        let other = vec![Action::Answer(answer_of("hello")); CALLS];
        let harness = Harness::start(vec![actions, other]);
        harness.wait_until_facts_applied();
        while harness.endpoints[0].requests() == 0 {
            exchange(harness.address, &request_as(&format!("w{n}"), "/idempotent/x", ""));
        }
        if is_announced {
            let ready = fact(0, harness.endpoints[0].address);
            let ready = EndpointFact { sequence: 9, state: EndpointState::Ready, ..ready };
            harness.facts.lock().push(ready);
            harness.wait_until_facts_applied();
        }
        let statuses = call_for_a_while(&harness, "/idempotent/x", &format!("l{n}"));
        assert!(statuses.iter().all(|status| *status == 200), "{name}: {statuses:?}");
        let after = harness.endpoints[0].requests() - 1;
        assert_eq!(after > 0, requests_after, "{name}: {after} of {} requests", statuses.len());
    }
}

/// All endpoints say that they leave, and calls wait for nothing or go there all the same.
#[test]
fn calls_are_refused_at_once_when_all_endpoints_say_that_they_leave() {
    let leaving = Action::Answer(answer("200 OK", "sill-leaving: true\r\n"));
    let harness = Harness::start(vec![vec![leaving; CALLS]; 2]);
    harness.wait_until_facts_applied();
    let served =
        call_for_a_while(&harness, "/idempotent/x", "a").iter().filter(|s| **s == 200).count();
    assert_eq!(served, 2);
    let at = Instant::now();
    let refused = exchange(harness.address, &request_as("last", "/idempotent/x", ""));
    let head = refused.head.to_lowercase();
    assert!(refused.status == 503 && head.contains("sill-not-run: true"), "{head}");
    assert!(head.contains("retry-after: ") && at.elapsed() < Duration::from_millis(300), "{head}");
}
