//! Requests through the HTTP and peer connections of entry instances: which count as not run, as
//! complete, and as run once.

mod kit;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use kit::{
    Answer, CLUSTER_KEY, FakeControl, Script, ScriptedEndpoint, announce, call, call_until_routed,
    metric, start_entries, wait_until,
};
use serde_json::{Value, json};
use sill_base::{Millis, Name, Secret};
use sill_flight::flight::ServiceKind;
use sill_flight::handoff::{HandOff, HandOffRun};
use sill_flight::{RequestSpec, Transcript};
use sill_net::PeerClient;
use sill_standin::answer::Answer as Expected;
use sill_standin::{Endpoint, EndpointCfg};
use sill_wire::Servable;
use sill_wire::chat::ChatSummary;
use sill_wire::claim::{BodyHash, ClaimKey};
use sill_wire::endpoint::RunEnd;
use sill_wire::handoff::{FollowReply, FollowRun};

const CHAT: &str = "/v1/chat/completions";
const SEND: &str = "/s/notices/send";

fn body(max_tokens: u32, stream: bool) -> String {
    let messages = json!([{ "role": "user", "content": "Draft the trace report." }]);
    json!({
        "model": "desk-7b", "max_tokens": max_tokens, "stream": stream, "messages": messages,
    })
    .to_string()
}

fn endpoint(entries: Vec<SocketAddr>, serves: Vec<Servable>, decode: u64) -> Endpoint {
    named_endpoint("real", entries, serves, decode)
}

fn named_endpoint(
    name: &str,
    entries: Vec<SocketAddr>,
    serves: Vec<Servable>,
    decode: u64,
) -> Endpoint {
    let cfg = EndpointCfg {
        name: name.into(),
        domain: "a".into(),
        entries,
        join_token: Secret::new("test-join-token"),
        serves,
        decode: Millis(decode),
        ..EndpointCfg::default()
    };
    Endpoint::start(cfg).expect("endpoint should start")
}

fn model() -> Servable {
    Servable::Model { model: "desk-7b".into(), version: "".into(), adapters: vec![] }
}

fn service(entry: SocketAddr, decode: u64) -> Endpoint {
    let served = Servable::Service { service: "notices".into() };
    let endpoint = endpoint(vec![entry], vec![served], decode);
    wait_until("the entry instance serves the target", || {
        call(entry, "/s/notices/warm", &[], "").status == 200
    });
    endpoint
}

fn sends(endpoint: &Endpoint) -> usize {
    endpoint.ledger().iter().filter(|run| run.path.ends_with("/send")).count()
}

fn is_not_run(answer: &Answer) -> bool {
    answer.head.contains("sill-not-run: true")
}

struct Case {
    name: &'static str,
    script: Option<Script>,
    path: &'static str,
    headers: &'static [&'static str],
    status: u16,
    not_run: bool,
    requests: u32,
}

/// The only endpoint fails in different ways. A caller that is told "not run" sends its request
/// again; if the endpoint had received the request, a non-idempotent call would run twice.
#[test]
fn requests_that_reached_an_endpoint_are_not_certified_as_not_run() {
    const ONCE: &[&str] = &["sill-idempotent: false"];
    let cases = [
        Case {
            name: "refused",
            script: None,
            path: SEND,
            headers: &[],
            status: 503,
            not_run: true,
            requests: 0,
        },
        Case {
            name: "refused chat",
            script: None,
            path: CHAT,
            headers: &[],
            status: 503,
            not_run: true,
            requests: 0,
        },
        Case {
            name: "vanished",
            script: Some(Script::CloseWithoutReply),
            path: SEND,
            headers: &[],
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "vanished chat",
            script: Some(Script::CloseWithoutReply),
            path: CHAT,
            headers: ONCE,
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "odd path",
            script: Some(Script::CloseWithoutReply),
            path: "/s/notices/list/../send",
            headers: &[],
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "escaped path",
            script: Some(Script::CloseWithoutReply),
            path: "/s/notices/%73end",
            headers: &[],
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "cut body",
            script: Some(Script::TruncatedBody),
            path: SEND,
            headers: &[],
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "reset body without a length",
            script: Some(Script::UnframedReset),
            path: SEND,
            headers: &[],
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "keyed",
            script: Some(Script::TruncatedBody),
            path: SEND,
            headers: &["idempotency-key: k"],
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "no marker",
            script: Some(Script::NoEndMarker),
            path: CHAT,
            headers: ONCE,
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "unknown status",
            script: Some(Script::UnknownStatus),
            path: SEND,
            headers: &[],
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "unknown status, chat",
            script: Some(Script::UnknownStatus),
            path: CHAT,
            headers: ONCE,
            status: 409,
            not_run: false,
            requests: 1,
        },
    ];
    for case in cases {
        let control = FakeControl::start();
        let entries = start_entries(&control, 1);
        let entry = entries[0].address;
        let scripted = case.script.map(ScriptedEndpoint::start);
        match &scripted {
            Some(scripted) => scripted.announce(entry, "scripted"),
            None => {
                let closed = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
                let address =
                    closed.local_addr().expect("address of the bound listener").to_string();
                drop(closed);
                announce(entry, "closed", &address);
            }
        }
        let answer = call_until_routed(entry, case.path, case.headers, &body(3, false));
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        assert_eq!(is_not_run(&answer), case.not_run, "{}: {answer:?}", case.name);
        assert!(answer.head.contains("retry-after: "), "{}: {answer:?}", case.name);
        let requests = scripted.map_or(0, |s| s.requests.load(Ordering::Relaxed));
        assert_eq!(requests, case.requests, "{}", case.name);
        assert_eq!(metric(entry, "sill_requests_answered_total"), 0, "{}", case.name);
        assert_eq!(metric(entry, "sill_requests_in_flight"), 0, "{}", case.name);
    }
}

/// A failing endpoint sends malformed framing fields. The caller would get a body that isn't
/// the endpoint's, or none, as a complete one.
#[test]
fn an_answer_whose_framing_is_malformed_is_not_forwarded() {
    const FIELDS: [&str; 8] = [
        "transfer-encoding: chunkex\r\n",
        "transfer-encoding: identity\r\n",
        "transfer-encoding: Identity\r\nconnection: close\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: identity\r\ncontent-length: 5\r\n",
        "content-length: 5\r\ntransfer-encoding: identity\r\n",
        "content-length: 5\r\ntransfer-encoding: chunked\r\n",
        "content-length: 2x0\r\n",
    ];
    const ONCE: &[&str] = &["sill-idempotent: false"];
    let heads = ["200 OK", "404 x", "204 x"]
        .into_iter()
        .flat_map(|status| FIELDS.into_iter().map(move |fields| format!("{status}\r\n{fields}")));
    let heads: &[String] = heads.collect::<Vec<String>>().leak();
    let mut failures = Vec::new();
    for (path, headers) in [(SEND, &[] as &[&str]), (CHAT, ONCE)] {
        let control = FakeControl::start();
        let entries = start_entries(&control, 1);
        let scripted = ScriptedEndpoint::start(Script::ErrorInChunks(heads));
        scripted.announce(entries[0].address, "scripted");
        for (number, head) in heads.iter().enumerate() {
            let answer = call_until_routed(entries[0].address, path, headers, &body(3, false));
            let requests = scripted.requests.load(Ordering::Relaxed) as usize;
            assert_eq!(requests, number + 1, "{path} {head}: {answer:?}");
            if (answer.status, is_not_run(&answer)) != (409, false) {
                failures.push(format!("{path} {head}: {answer:?}"));
            }
        }
    }
    let (failed, played) = (failures.len(), 2 * heads.len());
    assert!(failures.is_empty(), "{failed} of {played} failed: {failures:#?}");
}

/// The client of requests at models reads no body up to the end of its connection. The caller would get an
/// error of the endpoint with an empty body.
#[test]
fn an_error_of_a_model_without_a_length_is_not_forwarded_without_its_body() {
    struct Case {
        head: &'static str,
        status: u16,
        body: &'static str,
    }
    const CASES: [Case; 4] = [
        Case { head: "404 x\r\n", status: 409, body: "outcome_unknown" },
        Case { head: "404 x\r\nconnection: close\r\n", status: 409, body: "outcome_unknown" },
        Case {
            head: "404 x\r\ntransfer-encodinf: chunked\r\n",
            status: 409,
            body: "outcome_unknown",
        },
        Case { head: "404 x\r\ntransfer-encoding: chunked\r\n", status: 404, body: "error" },
    ];
    let heads: &[String] = CASES.map(|case| case.head.to_owned()).to_vec().leak();
    let control = FakeControl::start();
    let entries = start_entries(&control, 1);
    let scripted = ScriptedEndpoint::start(Script::ErrorInChunks(heads));
    scripted.announce(entries[0].address, "scripted");
    for Case { head, status, body: text } in CASES {
        let once = ["sill-idempotent: false"];
        let answer = call_until_routed(entries[0].address, CHAT, &once, &body(3, false));
        assert_eq!(answer.status, status, "{head}: {answer:?}");
        assert!(answer.body.contains(text), "{head}: {answer:?}");
    }
}

/// A plain answer without a length or chunks is complete after an orderly close.
#[test]
fn an_answer_that_ends_with_its_connection_is_forwarded() {
    let control = FakeControl::start();
    let entries = start_entries(&control, 1);
    let scripted = ScriptedEndpoint::start(Script::UnframedBody);
    scripted.announce(entries[0].address, "scripted");
    let answer = call_until_routed(entries[0].address, SEND, &[], &body(3, false));
    assert_eq!((answer.status, answer.body.as_str()), (200, "whole"), "{answer:?}");
}

/// An endpoint ends its stream without the end marker. If that counted as a complete answer, the
/// caller would use a truncated one; so it has to be resumed at another endpoint.
#[test]
fn an_answer_without_end_marker_is_resumed_elsewhere() {
    let control = FakeControl::start();
    let entries = start_entries(&control, 1);
    let entry = entries[0].address;
    let scripted = ScriptedEndpoint::start(Script::NoEndMarker);
    scripted.announce(entry, "a-scripted");
    let caller = thread::spawn(move || call_until_routed(entry, CHAT, &[], &body(3, true)));
    wait_until("the request reaches the endpoint", || {
        scripted.requests.load(Ordering::Relaxed) > 0
    });
    let endpoint = endpoint(vec![entry], vec![model()], 1);
    let answer = caller.join().expect("caller thread panicked");
    assert!(answer.body.contains("[DONE]"), "{answer:?}");
    let runs = endpoint.ledger();
    assert_eq!(runs.len(), 1, "{runs:?}");
    assert_eq!((runs[0].resumed_at, runs[0].end), (1, RunEnd::Finished));
}

/// A caller's connection drops and the application resends its request: ten times concurrently,
/// later, and through another entry instance. The request must run once.
#[test]
fn resends_with_the_same_key_run_once() {
    let control = FakeControl::start();
    let entries = start_entries(&control, 2);
    let addresses: Vec<SocketAddr> = entries.iter().map(|e| e.address).collect();
    let endpoint = service(addresses[0], 50);
    wait_until("both entry instances serve the target", || {
        call(addresses[1], "/s/notices/warm", &[], "").status == 200
    });
    let key = ["idempotency-key: notice-1"];
    let callers: Vec<_> = (0..10)
        .map(|i| {
            let entry = addresses[i % 2];
            thread::spawn(move || call(entry, SEND, &key, "to the widow"))
        })
        .collect();
    let answers: Vec<Answer> =
        callers.into_iter().map(|a| a.join().expect("caller thread panicked")).collect();
    for answer in &answers {
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body, answers[0].body);
    }
    for entry in &addresses {
        let again = call(*entry, SEND, &key, "to the widow");
        assert_eq!((again.status, &again.body), (200, &answers[0].body));
        for (path, body) in [(SEND, "to another one"), ("/s/notices/send?copy=2", "to the widow")] {
            let reused = call(*entry, path, &key, body);
            assert_eq!(reused.status, 409, "{reused:?}");
            assert!(reused.body.contains("key_reused"), "{reused:?}");
        }
    }
    assert_eq!(sends(&endpoint), 1);
}

/// A request is answered and resent at once through another failure domain, before the claims' log
/// has its outcome. The caller would be told that the outcome of an answered request is unknown.
#[test]
fn a_resend_in_another_domain_waits_until_the_outcome_is_recorded() {
    let control = FakeControl::start();
    // Two instances that are not peers of each other.
    let (first, second) = (start_entries(&control, 1), start_entries(&control, 1));
    let (here, there) = (first[0].address, second[0].address);
    let endpoint = service(here, 1);
    let key = ["idempotency-key: notice-3"];
    let answer = call(here, SEND, &key, "to the widow");
    assert_eq!(answer.status, 200, "{answer:?}");
    control.late_outcomes.store(3, Ordering::Relaxed);
    let again = call(there, SEND, &key, "to the widow");
    assert_eq!((again.status, &again.body), (200, &answer.body), "{again:?}");
    assert_eq!(sends(&endpoint), 1);
}

/// The failure domain is partitioned from the quorum, or the verdict on a claim is lost. A request
/// that needs a claim is refused at once and certified as not run, and everything else is served.
/// The same key works again after the fault.
#[test]
fn without_a_quorum_only_requests_with_a_claim_are_refused() {
    let control = FakeControl::start();
    let entries = start_entries(&control, 1);
    let entry = entries[0].address;
    let endpoint = service(entry, 1);
    let key = ["idempotency-key: notice-2"];
    for fault in [&control.has_quorum, &control.loses_verdicts] {
        fault.fetch_xor(true, Ordering::Relaxed);
        let refused = call(entry, SEND, &key, "to the widow");
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(is_not_run(&refused) && refused.body.contains("no_quorum"), "{refused:?}");
        assert_eq!(call(entry, "/s/notices/list", &[], "").status, 200);
        fault.fetch_xor(true, Ordering::Relaxed);
    }
    assert_eq!(sends(&endpoint), 0);
    wait_until("a resend with the same key runs", || {
        call(entry, SEND, &key, "to the widow").status == 200
    });
    assert_eq!(sends(&endpoint), 1);
}

/// A control instance hangs: it applies the claim, but its verdict arrives too late, and the
/// release that follows the refusal is lost. The caller, told that its request was not run, resends
/// it before the next release. With the claim still held, it would be told that the outcome is
/// unknown, and the request would never run.
#[test]
fn a_refused_request_runs_when_resent_before_its_claim_is_released() {
    for through_peer in [false, true] {
        let control = FakeControl::start();
        let entries = start_entries(&control, 2);
        let (first, second) = (entries[0].address, entries[usize::from(through_peer)].address);
        let endpoint = service(first, 1);
        wait_until("both entry instances serve the target", || {
            call(second, "/s/notices/warm", &[], "").status == 200
        });
        let key = ["idempotency-key: notice-4"];
        control.loses_verdicts.store(true, Ordering::Relaxed);
        control.lost_releases.store(2, Ordering::Relaxed);
        let refused = call(first, SEND, &key, "to the widow");
        assert!(refused.status == 503 && is_not_run(&refused), "{refused:?}");
        wait_until("the control instance drops a release", || {
            control.lost_releases.load(Ordering::Relaxed) == 1
        });
        control.loses_verdicts.store(false, Ordering::Relaxed);
        let mut again = call(second, SEND, &key, "to the widow");
        while again.status == 503 {
            assert!(again.head.contains("retry-after: "), "{again:?}");
            thread::sleep(Duration::from_millis(100));
            again = call(second, SEND, &key, "to the widow");
        }
        assert_eq!(again.status, 200, "through a peer: {through_peer}, {again:?}");
        assert_eq!(sends(&endpoint), 1);
    }
}

/// The entry instance that owns a claim is lost between the claim and the answer, so the outcome is
/// unknown. The request must not run a second time.
#[test]
fn a_request_of_a_lost_entry_instance_is_not_run_again() {
    let control = FakeControl::start();
    let first = start_entries(&control, 1);
    let entry = first[0].address;
    let endpoint = service(entry, 4_000);
    let key = ["idempotency-key: notice-3"];
    thread::spawn(move || call(entry, SEND, &key, "to the widow"));
    wait_until("the request reaches the endpoint", || sends(&endpoint) == 1);
    let second = start_entries(&control, 1);
    let answer = call(second[0].address, SEND, &key, "to the widow");
    assert_eq!(answer.status, 409, "{answer:?}");
    assert!(answer.body.contains("outcome_unknown") && !is_not_run(&answer), "{answer:?}");
    assert_eq!(sends(&endpoint), 1);
}

/// A caller disconnects in the middle of an answer. The endpoint must not continue to compute it.
#[test]
fn a_disconnected_caller_cancels_its_request() {
    let control = FakeControl::start();
    let entries = start_entries(&control, 1);
    let entry = entries[0].address;
    let endpoint = endpoint(vec![entry], vec![model()], 10);
    wait_until("the entry instance serves the target", || {
        call(entry, CHAT, &[], &body(1, false)).status == 200
    });
    for stream in [true, false] {
        let body = body(3000, stream);
        let mut caller = TcpStream::connect(entry).expect("connect to the entry instance");
        let request = format!(
            "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer test-caller-key\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        caller.write_all(request.as_bytes()).expect("send the request");
        if stream {
            caller.read_exact(&mut [0; 1000]).expect("read the start of the answer");
        }
        let last = || endpoint.ledger().pop().expect("the endpoint should have a run");
        wait_until("the endpoint sends tokens", || {
            last().sent_tokens > 0 && last().end == RunEnd::Running
        });
        drop(caller);
        wait_until("the endpoint's run is cancelled", || last().end == RunEnd::Cancelled);
        wait_until("no request is in flight", || metric(entry, "sill_requests_in_flight") == 0);
    }
}

/// A caller's connection stalls in the middle of a long answer, so that parts of it are buffered in
/// the entry instance, and is then lost. The worker thread must notice; if it spun on the buffer,
/// all its other callers would hang until the process ends.
#[test]
fn a_disconnected_slow_caller_does_not_block_its_worker_thread() {
    let control = FakeControl::start();
    let entries = start_entries(&control, 1);
    let entry = entries[0].address;
    let scripted = ScriptedEndpoint::start(Script::EndlessStream);
    scripted.announce(entry, "a-scripted");
    let body = body(1000, true);
    let request = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer test-caller-key\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut start = [0; 12];
    let mut caller = None;
    wait_until("the answer begins", || {
        let mut stream = TcpStream::connect(entry).expect("connect to the entry instance");
        stream.write_all(request.as_bytes()).expect("send the request");
        stream.read_exact(&mut start).expect("read the reply");
        caller = Some(stream);
        start == *b"HTTP/1.1 200"
    });
    let mut sent = 0;
    wait_until("the entry instance stops reading the answer", || {
        thread::sleep(Duration::from_millis(500));
        let before = std::mem::replace(&mut sent, scripted.tokens.load(Ordering::Relaxed));
        sent == before
    });
    assert_eq!(metric(entry, "sill_requests_in_flight"), 1);
    drop(caller);
    wait_until("no request is in flight", || metric(entry, "sill_requests_in_flight") == 0);
}

/// Three of four endpoints are reclaimed, with notices from none to one second, while forty answers
/// run through two entry instances. Every answer must be complete and have the text of its own
/// prompt.
#[test]
fn a_wave_of_reclaims_truncates_no_answer() {
    let control = FakeControl::start();
    let entries = start_entries(&control, 2);
    let addresses: Vec<SocketAddr> = entries.iter().map(|e| e.address).collect();
    let endpoints: Vec<Endpoint> = (0..4)
        .map(|i| named_endpoint(&format!("m{i}"), addresses.clone(), vec![model()], 5))
        .collect();
    for entry in &addresses {
        wait_until("the entry instance serves the target", || {
            call(*entry, CHAT, &[], &body(1, false)).status == 200
        });
    }
    let prompts: Vec<String> = (0..40)
        .map(|i| {
            let messages = json!([{ "role": "user", "content": format!("Case file {i}.") }]);
            let (model, stream) = ("desk-7b", i % 2 == 0);
            json!({ "model": model, "max_tokens": 200, "stream": stream, "messages": messages })
                .to_string()
        })
        .collect();
    let callers: Vec<_> = prompts
        .iter()
        .enumerate()
        .map(|(i, prompt)| {
            let (entry, prompt) = (addresses[i % 2], prompt.clone());
            thread::spawn(move || call(entry, CHAT, &[], &prompt))
        })
        .collect();
    wait_until("at least 20 answers have more than 20 tokens", || {
        let runs = endpoints.iter().flat_map(Endpoint::ledger);
        runs.filter(|run| run.end == RunEnd::Running && run.sent_tokens > 20).count() >= 20
    });
    for (endpoint, in_ms) in endpoints.iter().zip([0, 300, 1000]) {
        endpoint.reclaim(Millis(in_ms));
    }
    for (prompt, caller) in prompts.iter().zip(callers) {
        let answer = caller.join().expect("caller thread panicked");
        assert_eq!(answer.status, 200, "{answer:?}");
        let request: Value = serde_json::from_str(prompt).expect("the prompt is JSON");
        let expected =
            Expected::compute(&ChatSummary::read(&request).expect("the prompt is a chat request"))
                .text();
        assert_eq!(text(&answer), expected, "{prompt}");
    }
    assert_eq!(addresses.iter().map(|e| metric(*e, "sill_requests_failed_total")).sum::<u64>(), 0);
}

/// Returns the text of an answer, streamed or complete.
fn text(answer: &Answer) -> String {
    let data = answer.body.lines().map(|line| line.strip_prefix("data: ").unwrap_or(line));
    let pieces = data.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    pieces
        .filter(|piece| piece.is_object())
        .map(|piece| {
            let choice = &piece["choices"][0];
            let text = choice["delta"]["content"].as_str();
            text.or_else(|| choice["message"]["content"].as_str()).unwrap_or_default().to_owned()
        })
        .collect()
}

/// Requests of the hand-off: as many as one call may carry.
const HAND_OFF_RUNS: usize = 256;

/// Tokens that each caller has received before the hand-off.
const TOKENS_PER_RUN: u32 = 3;

/// A reclaimed entry instance hands over its requests and disconnects its callers once the peer has
/// replied. They re-attach through the peer at once. If the peer's busy worker thread had yet to
/// register the request, a caller would start it again: the answer so far would be discarded and
/// the long prompt computed a second time.
#[test]
fn a_request_handed_over_is_found_as_soon_as_the_peer_replied() {
    let control = FakeControl::start();
    let entry = &start_entries(&control, 1)[0];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("build a runtime");
    let runs: Vec<HandOffRun> = (0..HAND_OFF_RUNS).map(hand_off_run).collect();
    let last = runs[HAND_OFF_RUNS - 1].key.clone();
    let (accepted, reply) = runtime.block_on(async {
        let peer = PeerClient::new(entry.peer_address, &Secret::new(CLUSTER_KEY), Millis(5_000));
        let reply = peer.call(&HandOff { from: "e9".into(), runs }).await.expect("read the reply");
        let follow = FollowRun { key: last, from: 0, wait: Millis(0) };
        (reply.accepted, peer.call(&follow).await.expect("read the reply"))
    });
    assert_eq!(accepted.len(), HAND_OFF_RUNS);
    let FollowReply::More(part) = reply else {
        panic!("the peer does not know the run that it accepted: {reply:?}");
    };
    assert_eq!(part.escaped.len() as u32, TOKENS_PER_RUN);
}

fn hand_off_run(number: usize) -> HandOffRun {
    let (account, request): (Name, Name) = ("clerks".into(), format!("e9-1-{number}").into());
    let mut transcript = Transcript::default();
    (0..TOKENS_PER_RUN).for_each(|index| transcript.push(index, "word "));
    HandOffRun {
        spec: RequestSpec {
            request: request.clone(),
            kind: ServiceKind::Model,
            is_idempotent: true,
            claim: None,
            is_keyed: true,
            deadline: Millis(60_000),
            prompt_tokens: 18,
            max_tokens: 300,
        },
        account: account.clone(),
        key: ClaimKey { account, key: request },
        body_hash: BodyHash("hash".into()),
        path: "/v1/chat/completions".to_owned(),
        model: "desk-7b".into(),
        body: "{}".to_owned(),
        transcript,
        placement: None,
    }
}
