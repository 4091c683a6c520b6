//! Endpoints that reject a request and ask for a pause.

#[allow(dead_code)] // The tests of pauses use a part of it.
mod support;

use std::thread;
use std::time::{Duration, Instant};

use support::{Action, Harness, answer_of, exchange, request_as};

/// Upper bound on the calls of a test.
const CALLS: usize = 2000;

/// Time that an endpoint asks for.
const PAUSE: Duration = Duration::from_millis(2000);

/// Pause between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(15);

/// Formats a rejection with this line.
fn rejection(line: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nsill-request-id: {{id}}\r\nsill-not-run: true\r\n\
         {line}content-length: 0\r\n\r\n"
    )
}

/// Returns what an endpoint does that rejects its first request and answers all others.
fn reject_first(line: &str) -> Vec<Action> {
    let mut actions = vec![Action::Answer(rejection(line))];
    actions.extend(vec![Action::Answer(answer_of("hello")); CALLS]);
    actions
}

/// Returns when the requests of an endpoint arrived.
fn arrivals(harness: &Harness, endpoint: usize) -> Vec<Instant> {
    harness.endpoints[endpoint].request_log.lock().iter().map(|req| req.at).collect()
}

/// An endpoint asks for a pause and goes on getting requests, all of which it has to reject.
#[test]
fn an_endpoint_that_asked_for_a_pause_gets_no_request_until_it_is_over() {
    struct Case {
        path: &'static str,
        line: &'static str,
    }
    let cases = [
        Case { path: "/idempotent/x", line: "retry-after: 2\r\n" },
        Case { path: "/non_idempotent/x", line: "retry-after: 2.0\r\n" },
        Case { path: "/resumable_stream/x", line: "retry-after: 0.5\r\nretry-after: 2\r\n" },
    ];
    for (n, Case { path, line }) in cases.into_iter().enumerate() {
        let other = vec![Action::Answer(answer_of("hello")); CALLS];
        let harness = Harness::start(vec![reject_first(line), other]);
        harness.wait_until_facts_applied();
        let began = Instant::now();
        let mut statuses = Vec::new();
        // Calls go on until the endpoint is used again, in any case for the whole pause.
        while arrivals(&harness, 0).len() < 2 || began.elapsed() < PAUSE + PAUSE / 2 {
            let call = request_as(&format!("p{n}-{}", statuses.len()), path, "");
            statuses.push(exchange(harness.address, &call).status);
            assert!(statuses.len() < CALLS, "{path}: the endpoint is not used again");
            thread::sleep(CALL_INTERVAL);
        }
        let arrivals = arrivals(&harness, 0);
        let during = arrivals[1..].iter().filter(|at| **at - arrivals[0] < PAUSE).count();
        assert_eq!(during, 0, "{path}: {during} of {} requests in its pause", statuses.len());
        assert!(statuses.iter().all(|status| *status == 200), "{path}: {statuses:?}");
    }
}

/// All endpoints ask for a pause, and callers are told to come back before any of them takes requests.
#[test]
fn calls_are_refused_at_once_with_the_true_time_while_all_endpoints_pause() {
    let harness = Harness::start(vec![reject_first("retry-after: 2\r\n"); 2]);
    harness.wait_until_facts_applied();
    let call = |i: usize| {
        let at = Instant::now();
        (
            exchange(harness.address, &request_as(&format!("q-{i}"), "/idempotent/x", "")),
            at.elapsed(),
        )
    };
    assert_eq!(call(0).0.status, 503);
    let mut last = 0;
    while harness.endpoints[0].requests() + harness.endpoints[1].requests() < 2 {
        last += 1;
        call(last);
    }
    let paused_at = *arrivals(&harness, 0).iter().chain(&arrivals(&harness, 1)).min().expect("one");
    let mut refused = 0;
    loop {
        let left = PAUSE.saturating_sub(paused_at.elapsed());
        last += 1;
        let (answer, took) = call(last);
        if answer.status == 200 {
            break;
        }
        let head = answer.head.to_lowercase();
        let wait = head.lines().find_map(|line| line.strip_prefix("retry-after: "));
        let wait: u64 = wait.and_then(|wait| wait.parse().ok()).expect("a time is told");
        assert!(answer.status == 503 && head.contains("sill-not-run: true"), "{head}");
        assert!(Duration::from_secs(wait) >= left, "told {wait} s where {left:?} are left");
        assert!(took < PAUSE / 4, "refused after {took:?}");
        refused += 1;
        thread::sleep(CALL_INTERVAL);
    }
    assert!(refused > 20, "{refused}");
    assert!(paused_at.elapsed() >= PAUSE);
    for endpoint in 0..2 {
        let arrivals = arrivals(&harness, endpoint);
        let during = arrivals[1..].iter().filter(|at| **at - arrivals[0] < PAUSE).count();
        assert_eq!(during, 0, "at endpoint {endpoint}");
    }
}
