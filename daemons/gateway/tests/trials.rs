//! Requests that try out a path on which earlier ones were not answered.

#[allow(dead_code)] // The tests of trials use a part of it.
mod support;

use std::collections::BTreeMap;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use sill_wire::link::RelayOffer;
use support::{Action, CallerResponse, Harness, answer_of, exchange, fact, lines, request_as};

/// Upper bound on the calls of a test. Calls try a path out once a second, those that must not be sent
/// twice more rarely.
const CALLS: usize = 1000;

const PAUSE: Duration = Duration::from_millis(50);

/// Most calls are answered at once or never.
const DEADLINE: &str = "sill-deadline-ms: 1500\r\n";

/// An entry instance whose requests to the first endpoint arrive there, but not the answers, and one
/// that reaches the endpoint, at another address.
struct Pair {
    cut_off: Harness,
    helper: Harness,
}

impl Pair {
    /// Starts the instances and waits until the path is known to be at fault.
    fn start(in_tunnel: &Action) -> Self {
        let mut actions = vec![Action::Answer(answer_of("hello"))];
        actions.extend(vec![in_tunnel.clone(); CALLS]);
        let helper = Harness::start(vec![actions, Vec::new()]);
        let answers = vec![Action::Answer(answer_of("hello")); CALLS];
        let cut_off = Harness::start_with_hidden(vec![Vec::new(), answers]);
        let (entry, address) = (helper.name.clone(), helper.peer_address);
        *cut_off.relays.lock() = vec![RelayOffer { entry, domain: "a".into(), address }];
        cut_off.wait_until_facts_applied();
        let pair = Self { cut_off, helper };
        let unanswered = pair.send("first", "/idempotent/x");
        while pair.helper.endpoints[0].requests() == 0 {
            thread::sleep(PAUSE);
            // Once the first request was unanswered for a while, others are sent in a tunnel, and an
            // answer there shows that the path is at fault.
            let _ = pair.send("other", "/idempotent/x");
        }
        let _ = unanswered.join();
        let endpoints = &pair.cut_off.endpoints;
        *pair.cut_off.facts.lock() =
            endpoints.iter().enumerate().map(|(i, endpoint)| fact(i, endpoint.address)).collect();
        pair.cut_off.wait_until_facts_applied();
        pair
    }

    fn send(&self, id: &str, path: &str) -> JoinHandle<CallerResponse> {
        let (address, call) = (self.cut_off.address, request_as(id, path, DEADLINE));
        thread::spawn(move || exchange(address, &call))
    }

    /// Makes calls until one has tried the path out. Returns how often each call was run, by id.
    fn call(&self, path: &str, prefix: &str) -> BTreeMap<String, usize> {
        let before = self.cut_off.endpoints[0].run_ids.lock().len();
        let tried = || self.cut_off.endpoints[0].run_ids.lock().len() - before;
        for i in 0..CALLS {
            let _ = self.send(&format!("{prefix}-{i}"), path).join();
            thread::sleep(PAUSE);
            if tried() > 0 {
                break;
            }
        }
        assert!(tried() > 0, "{path}: no call tried the path out");
        let endpoints = self.cut_off.endpoints.iter().chain(&self.helper.endpoints);
        let mut runs = BTreeMap::new();
        for id in endpoints.flat_map(|endpoint| endpoint.run_ids.lock().clone()) {
            *runs.entry(id).or_insert(0) += 1;
        }
        runs.retain(|id, _| id.starts_with(prefix));
        runs
    }
}

/// A request that tries out a path is sent once more in a tunnel, and then to further endpoints as
/// if it had been sent once.
#[test]
fn a_call_that_tries_out_a_path_is_not_sent_more_often_than_allowed() {
    struct Case {
        path: &'static str,
        max_attempts: usize,
        in_tunnel: Action,
    }
    let breaks_off = || Action::AnswerAndReset(String::new());
    let cases = [
        Case { path: "/idempotent/x", max_attempts: 2, in_tunnel: breaks_off() },
        Case { path: "/resumable_stream/x", max_attempts: 2, in_tunnel: breaks_off() },
        Case { path: "/once/x", max_attempts: 1, in_tunnel: breaks_off() },
    ];
    lines::capture();
    for (i, Case { path, max_attempts, in_tunnel }) in cases.into_iter().enumerate() {
        let pair = Pair::start(&in_tunnel);
        let runs = pair.call(path, &format!("r{i}"));
        let most = runs.values().max().copied().unwrap_or_default();
        assert!(most <= max_attempts, "{path}: a call was sent {most} times: {runs:?}");
        for (id, count) in runs {
            let lines = lines::of_call(&id);
            let line = lines.iter().find(|line| line.starts_with("event=call "));
            let line = line.unwrap_or_else(|| panic!("{id} has no line: {lines:?}"));
            assert_eq!(lines::value(line, "sends"), count.to_string(), "{line}");
        }
    }
}
