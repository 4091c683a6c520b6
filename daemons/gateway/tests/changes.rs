//! Calls under way while the settings or the endpoints change.

#[allow(dead_code)] // The tests of changes use a part of it.
mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use sill_tree::{Document, Limit, Pool, Service};
use sill_wire::link::{EndpointFact, EndpointState};
use support::{
    Action, CallerResponse, Harness, answer_of, document, fact, head, lines, request_as,
    try_read_answer,
};

/// Calls that the endpoint of the harness takes: 1.5 times its slots.
const CAPACITY: usize = 12;

/// Where a call is when the change comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Its head and a part of its body are read.
    BodyComes,
    /// It waits for an endpoint with room.
    Waits,
    /// The endpoint has it, and has not answered.
    Sent,
    /// A part of its answer is passed on.
    Answered,
}

const PLACES: [Place; 4] = [Place::BodyComes, Place::Waits, Place::Sent, Place::Answered];

/// What changes.
struct Change {
    name: &'static str,
    settings: Option<fn(&mut Document)>,
    /// State of the endpoint from then on.
    endpoint: Option<EndpointState>,
    /// Status of a call whose body comes later, and of one that waits.
    not_sent: (u16, u16),
}

const CHANGES: [Change; 8] = [
    Change {
        name: "the routes are removed",
        settings: Some(|document| document.routes.clear()),
        endpoint: None,
        not_sent: (200, 200),
    },
    Change {
        name: "the routes lead to a service without endpoints",
        settings: Some(|document| {
            document.services.insert("other".into(), Service::Pool(Pool::default()));
            for route in document.routes.values_mut() {
                route.split[0].service = "other".into();
            }
        }),
        endpoint: None,
        not_sent: (200, 200),
    },
    Change {
        name: "the service is removed",
        settings: Some(|document| {
            document.routes.clear();
            document.services.clear();
        }),
        endpoint: None,
        not_sent: (200, 200),
    },
    Change {
        name: "the key is removed",
        settings: Some(|document| {
            document.accounts.values_mut().for_each(|account| account.keys.clear());
        }),
        endpoint: None,
        not_sent: (200, 200),
    },
    Change {
        name: "the account is removed",
        settings: Some(|document| document.accounts.clear()),
        endpoint: None,
        not_sent: (200, 200),
    },
    Change {
        name: "the limit is lowered",
        settings: Some(|document| {
            let limit = Limit { requests_per_s: Some(1.0), ..Limit::default() };
            document.accounts.values_mut().for_each(|account| account.limit = Some(limit));
        }),
        endpoint: None,
        not_sent: (200, 200),
    },
    Change {
        name: "the endpoint leaves",
        settings: None,
        endpoint: Some(EndpointState::Leaving),
        not_sent: (503, 503),
    },
    Change {
        name: "the endpoint is gone",
        settings: None,
        endpoint: Some(EndpointState::Gone),
        not_sent: (503, 503),
    },
];

fn wait_until(what: &str, mut is_true: impl FnMut() -> bool) {
    let began = Instant::now();
    while !is_true() {
        assert!(began.elapsed() < Duration::from_secs(20), "{what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Sends a call, all but its last bytes at first if `pause` is set, and reads its answer.
fn call(
    address: SocketAddr,
    id: &str,
    pause: Option<Arc<AtomicBool>>,
) -> JoinHandle<Option<CallerResponse>> {
    let text = request_as(id, "/idempotent/x", "");
    thread::spawn(move || {
        let mut stream = TcpStream::connect(address).expect("the instance accepts connections");
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("the option can be set");
        let (first, rest) = text.split_at(text.len() - 2);
        stream.write_all(first.as_bytes()).expect("the peer reads the bytes");
        if let Some(may_go_on) = pause {
            wait_until("the change has come", || may_go_on.load(Ordering::Relaxed));
        }
        stream.write_all(rest.as_bytes()).expect("the peer reads the bytes");
        try_read_answer(&mut BufReader::new(stream))
    })
}

/// Returns what is wrong with a call at a place while a change comes.
fn play(place: Place, change: &Change) -> Option<String> {
    let has_changed = Arc::new(AtomicBool::new(false));
    let whole = Action::AnswerWhen(answer_of("whole"), has_changed.clone());
    let begun = Action::AnswerInTwo(
        format!("{}wh", head("content-length: 5\r\n")),
        Duration::from_millis(600),
        "ole".to_owned(),
    );
    let actions = match place {
        Place::Answered => vec![begun],
        Place::BodyComes | Place::Waits | Place::Sent => vec![whole; 2 * CAPACITY],
    };
    let harness = Harness::start(vec![actions]);
    let (address, requests) = (harness.address, || harness.endpoints[0].requests());
    let mut full = Vec::new();
    if place == Place::Waits {
        harness.enable_wait_queue();
        full = (0..CAPACITY).map(|i| call(address, &format!("full-{i}"), None)).collect();
        wait_until("all places are taken", || requests() == CAPACITY);
    }
    let id = format!("{place:?}/{}", change.name.replace(' ', "-"));
    let pause = (place == Place::BodyComes).then(|| has_changed.clone());
    let caller = call(address, &id, pause);
    match place {
        Place::BodyComes => thread::sleep(Duration::from_millis(150)),
        Place::Waits => {
            wait_until("the call waits", || harness.metric("sill_gateway_waiting_calls") == 1)
        }
        Place::Sent => wait_until("the call is sent", || requests() == 1),
        Place::Answered => {
            wait_until("the call is sent", || requests() == 1);
            thread::sleep(Duration::from_millis(150));
        }
    }
    if let Some(apply) = change.settings {
        let mut document = document();
        apply(&mut document);
        harness.apply_settings(2, &document);
    }
    if let Some(state) = change.endpoint {
        let fact = fact(0, harness.endpoints[0].address);
        harness.apply_fact(EndpointFact { sequence: 2, state, ..fact });
    }
    thread::sleep(Duration::from_millis(150));
    has_changed.store(true, Ordering::Relaxed);
    let got = caller.join().expect("the caller's thread ends");
    for full in full {
        let got = full.join().expect("the caller's thread ends");
        if got.is_none_or(|got| got.status != 200 || !got.is_complete) {
            return Some(format!("{id}: a call that was sent has no whole answer"));
        }
    }
    let has_run = harness.endpoints[0].run_ids.lock().contains(&id);
    let expected = match place {
        Place::BodyComes => change.not_sent.0,
        Place::Waits => change.not_sent.1,
        Place::Sent | Place::Answered => 200,
    };
    let status = got.as_ref().map(|got| (got.status, got.is_complete));
    let is_right = status == Some((expected, true)) && has_run == (expected == 200);
    wait_until("the call has a line", || !lines::of_call(&id).is_empty());
    let line = lines::of_call(&id).join("; ");
    (!is_right).then(|| format!("{id}: {status:?}, run: {has_run}: {line}"))
}

/// A change of the settings or of the endpoints ends calls that were read before it.
#[test]
fn a_call_from_before_a_change_is_answered() {
    lines::capture();
    let plays: Vec<JoinHandle<Vec<String>>> = PLACES
        .map(|place| {
            thread::spawn(move || CHANGES.iter().filter_map(|change| play(place, change)).collect())
        })
        .into_iter()
        .collect();
    let faults: Vec<String> = plays
        .into_iter()
        .flat_map(|playing| playing.join().expect("the changes are played"))
        .collect();
    assert!(faults.is_empty(), "{faults:#?}");
}
