//! Requests through the entry's own I/O: what counts as sent, as whole, and as run once.

mod kit;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use kit::{
    Answer, CLUSTER_KEY, FakeControl, Script, Scripted, announce, call, call_routed, entries,
    metric, wait_until,
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
    Endpoint::start(cfg).expect("an endpoint")
}

fn model() -> Servable {
    Servable::Model { model: "desk-7b".into(), version: "".into(), adapters: vec![] }
}

fn service(entry: SocketAddr, decode: u64) -> Endpoint {
    let served = Servable::Service { service: "notices".into() };
    let endpoint = endpoint(vec![entry], vec![served], decode);
    wait_until("it is served", || call(entry, "/s/notices/warm", &[], "").status == 200);
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

/// The only endpoint fails in every way there is. A caller who is told not-run sends again; where
/// the request has left, that is a second notice to the same widow.
#[test]
fn not_run_is_said_only_where_no_byte_has_left() {
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
            script: Some(Script::Vanish),
            path: SEND,
            headers: &[],
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "vanished chat",
            script: Some(Script::Vanish),
            path: CHAT,
            headers: ONCE,
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "odd path",
            script: Some(Script::Vanish),
            path: "/s/notices/list/../send",
            headers: &[],
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "escaped path",
            script: Some(Script::Vanish),
            path: "/s/notices/%73end",
            headers: &[],
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "cut body",
            script: Some(Script::CutBody),
            path: SEND,
            headers: &[],
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "keyed",
            script: Some(Script::CutBody),
            path: SEND,
            headers: &["idempotency-key: k"],
            status: 409,
            not_run: false,
            requests: 1,
        },
        Case {
            name: "no marker",
            script: Some(Script::NoMarker),
            path: CHAT,
            headers: ONCE,
            status: 409,
            not_run: false,
            requests: 1,
        },
    ];
    for case in cases {
        let control = FakeControl::start();
        let entries = entries(&control, 1);
        let entry = entries[0].address;
        let scripted = case.script.map(Scripted::start);
        match &scripted {
            Some(scripted) => scripted.announce(entry, "scripted"),
            None => {
                let closed = TcpListener::bind("127.0.0.1:0").expect("a free port");
                let address = closed.local_addr().expect("its address").to_string();
                drop(closed);
                announce(entry, "closed", &address);
            }
        }
        let answer = call_routed(entry, case.path, case.headers, &body(3, false));
        assert_eq!(answer.status, case.status, "{}: {answer:?}", case.name);
        assert_eq!(is_not_run(&answer), case.not_run, "{}: {answer:?}", case.name);
        assert!(answer.head.contains("retry-after: "), "{}: {answer:?}", case.name);
        let requests = scripted.map_or(0, |s| s.requests.load(Ordering::Relaxed));
        assert_eq!(requests, case.requests, "{}", case.name);
        assert_eq!(metric(entry, "sill_requests_answered_total"), 0, "{}", case.name);
        assert_eq!(metric(entry, "sill_requests_in_flight"), 0, "{}", case.name);
    }
}

/// An endpoint ends its stream without the end marker. Passed off as whole, the clerk would file
/// half a report; so it is resumed elsewhere.
#[test]
fn an_answer_without_its_end_marker_goes_on_elsewhere() {
    let control = FakeControl::start();
    let entries = entries(&control, 1);
    let entry = entries[0].address;
    let scripted = Scripted::start(Script::NoMarker);
    scripted.announce(entry, "a-scripted");
    let asked = thread::spawn(move || call_routed(entry, CHAT, &[], &body(3, true)));
    wait_until("it was sent", || scripted.requests.load(Ordering::Relaxed) > 0);
    let endpoint = endpoint(vec![entry], vec![model()], 1);
    let answer = asked.join().expect("no panic");
    assert!(answer.body.contains("[DONE]"), "{answer:?}");
    let runs = endpoint.ledger();
    assert_eq!(runs.len(), 1, "{runs:?}");
    assert_eq!((runs[0].resumed_at, runs[0].end), (1, RunEnd::Finished));
}

/// A clerk's connection drops while a notice is being sent, and the application sends it again, at
/// once, later, ten times at once, through another entry instance. It must run once.
#[test]
fn a_keyed_notice_runs_once_however_often_it_is_sent() {
    let control = FakeControl::start();
    let entries = entries(&control, 2);
    let addresses: Vec<SocketAddr> = entries.iter().map(|e| e.address).collect();
    let endpoint = service(addresses[0], 50);
    wait_until("both serve it", || call(addresses[1], "/s/notices/warm", &[], "").status == 200);
    let key = ["idempotency-key: notice-1"];
    let asked: Vec<_> = (0..10)
        .map(|i| {
            let entry = addresses[i % 2];
            thread::spawn(move || call(entry, SEND, &key, "to the widow"))
        })
        .collect();
    let answers: Vec<Answer> = asked.into_iter().map(|a| a.join().expect("no panic")).collect();
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

/// A notice is answered, and sent again at once through another failure domain, before the claims' log
/// has its outcome. The clerk has the answer already and would now be told that it is unknown.
#[test]
fn a_resend_in_another_domain_waits_for_the_outcome_to_be_noted() {
    let control = FakeControl::start();
    // Two instances that don't know each other.
    let (first, second) = (entries(&control, 1), entries(&control, 1));
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

/// The failure domain is cut off from the quorum, or the verdict on a claim is lost. The notice is
/// refused at once, certified, and everything else is served; the same key works once the cut ends.
#[test]
fn without_a_quorum_only_what_needs_a_claim_is_refused() {
    let control = FakeControl::start();
    let entries = entries(&control, 1);
    let entry = entries[0].address;
    let endpoint = service(entry, 1);
    let key = ["idempotency-key: notice-2"];
    for fault in [&control.quorum, &control.loses_verdicts] {
        fault.fetch_xor(true, Ordering::Relaxed);
        let refused = call(entry, SEND, &key, "to the widow");
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(is_not_run(&refused) && refused.body.contains("no_quorum"), "{refused:?}");
        assert_eq!(call(entry, "/s/notices/list", &[], "").status, 200);
        fault.fetch_xor(true, Ordering::Relaxed);
    }
    assert_eq!(sends(&endpoint), 0);
    wait_until("the key works again", || call(entry, SEND, &key, "to the widow").status == 200);
    assert_eq!(sends(&endpoint), 1);
}

/// A control instance hangs: it takes the claim on a notice, but the verdict comes too late, and so
/// does the release once the notice was refused. The clerk, told that it was not run, sends it again
/// before the next release. A claim left by the refusal would make the second answer that nobody
/// knows whether the notice was sent, and the widow would get no letter.
#[test]
fn a_refused_notice_is_sent_when_it_comes_again_before_its_claim_is_released() {
    for through_peer in [false, true] {
        let control = FakeControl::start();
        let entries = entries(&control, 2);
        let (first, second) = (entries[0].address, entries[usize::from(through_peer)].address);
        let endpoint = service(first, 1);
        wait_until("both serve it", || call(second, "/s/notices/warm", &[], "").status == 200);
        let key = ["idempotency-key: notice-4"];
        control.loses_verdicts.store(true, Ordering::Relaxed);
        control.lost_releases.store(2, Ordering::Relaxed);
        let refused = call(first, SEND, &key, "to the widow");
        assert!(refused.status == 503 && is_not_run(&refused), "{refused:?}");
        wait_until("a release is lost", || control.lost_releases.load(Ordering::Relaxed) == 1);
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

/// The entry instance is restarted between the claim and the answer, so that nobody knows what came
/// of the notice. It must not be sent a second time.
#[test]
fn a_notice_whose_entry_is_gone_is_not_sent_again() {
    let control = FakeControl::start();
    let first = entries(&control, 1);
    let entry = first[0].address;
    let endpoint = service(entry, 4_000);
    let key = ["idempotency-key: notice-3"];
    thread::spawn(move || call(entry, SEND, &key, "to the widow"));
    wait_until("it was sent", || sends(&endpoint) == 1);
    let second = entries(&control, 1);
    let answer = call(second[0].address, SEND, &key, "to the widow");
    assert_eq!(answer.status, 409, "{answer:?}");
    assert!(answer.body.contains("outcome_unknown") && !is_not_run(&answer), "{answer:?}");
    assert_eq!(sends(&endpoint), 1);
}

/// A reader closes the page in the middle of an answer. The endpoint must not go on computing it.
#[test]
fn a_caller_that_goes_away_cancels_its_request() {
    let control = FakeControl::start();
    let entries = entries(&control, 1);
    let entry = entries[0].address;
    let endpoint = endpoint(vec![entry], vec![model()], 10);
    wait_until("it is served", || call(entry, CHAT, &[], &body(1, false)).status == 200);
    for stream in [true, false] {
        let body = body(3000, stream);
        let mut caller = TcpStream::connect(entry).expect("a connection");
        let request = format!(
            "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer test-caller-key\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        caller.write_all(request.as_bytes()).expect("it is sent");
        if stream {
            caller.read_exact(&mut [0; 1000]).expect("the answer begins");
        }
        let last = || endpoint.ledger().pop().expect("a run");
        wait_until("it runs", || last().sent_tokens > 0 && last().end == RunEnd::Running);
        drop(caller);
        wait_until("it is cancelled", || last().end == RunEnd::Cancelled);
        wait_until("nothing is in flight", || metric(entry, "sill_requests_in_flight") == 0);
    }
}

/// A reader's connection stalls in the middle of a long answer, so that parts of it wait in the entry
/// instance, and is then lost. The thread that serves it must notice; spinning on what waits, it would
/// leave all its other callers without a word until the process ends.
#[test]
fn a_slow_caller_that_goes_away_holds_up_nobody() {
    let control = FakeControl::start();
    let entries = entries(&control, 1);
    let entry = entries[0].address;
    let scripted = Scripted::start(Script::Endless);
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
        let mut stream = TcpStream::connect(entry).expect("a connection");
        stream.write_all(request.as_bytes()).expect("it is sent");
        stream.read_exact(&mut start).expect("an answer");
        caller = Some(stream);
        start == *b"HTTP/1.1 200"
    });
    let mut sent = 0;
    wait_until("nothing more is read", || {
        thread::sleep(Duration::from_millis(500));
        let before = std::mem::replace(&mut sent, scripted.tokens.load(Ordering::Relaxed));
        sent == before
    });
    assert_eq!(metric(entry, "sill_requests_in_flight"), 1);
    drop(caller);
    wait_until("nothing is in flight", || metric(entry, "sill_requests_in_flight") == 0);
}

/// A wave takes three of four endpoints, with notices from none to a second, while forty answers
/// run through two entry instances. Every one of them comes whole, and the text is its own.
#[test]
fn a_wave_of_reclaims_leaves_every_answer_whole() {
    let control = FakeControl::start();
    let entries = entries(&control, 2);
    let addresses: Vec<SocketAddr> = entries.iter().map(|e| e.address).collect();
    let endpoints: Vec<Endpoint> = (0..4)
        .map(|i| named_endpoint(&format!("m{i}"), addresses.clone(), vec![model()], 5))
        .collect();
    for entry in &addresses {
        wait_until("it is served", || call(*entry, CHAT, &[], &body(1, false)).status == 200);
    }
    let prompts: Vec<String> = (0..40)
        .map(|i| {
            let messages = json!([{ "role": "user", "content": format!("Case file {i}.") }]);
            let (model, stream) = ("desk-7b", i % 2 == 0);
            json!({ "model": model, "max_tokens": 200, "stream": stream, "messages": messages })
                .to_string()
        })
        .collect();
    let asked: Vec<_> = prompts
        .iter()
        .enumerate()
        .map(|(i, prompt)| {
            let (entry, prompt) = (addresses[i % 2], prompt.clone());
            thread::spawn(move || call(entry, CHAT, &[], &prompt))
        })
        .collect();
    wait_until("answers run", || {
        let runs = endpoints.iter().flat_map(Endpoint::ledger);
        runs.filter(|run| run.end == RunEnd::Running && run.sent_tokens > 20).count() >= 20
    });
    for (endpoint, in_ms) in endpoints.iter().zip([0, 300, 1000]) {
        endpoint.reclaim(Millis(in_ms));
    }
    for (prompt, asked) in prompts.iter().zip(asked) {
        let answer = asked.join().expect("no panic");
        assert_eq!(answer.status, 200, "{answer:?}");
        let request: Value = serde_json::from_str(prompt).expect("JSON");
        let expected = Expected::to(&ChatSummary::read(&request).expect("a request")).text();
        assert_eq!(text(&answer), expected, "{prompt}");
    }
    assert_eq!(addresses.iter().map(|e| metric(*e, "sill_requests_failed_total")).sum::<u64>(), 0);
}

/// Returns the text of an answer, streamed or in one piece.
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

/// As many as go in one call.
const HANDED: usize = 256;

/// Tokens that each caller has.
const HANDED_TOKENS: u32 = 3;

/// An entry instance that is reclaimed hands its requests over and, once the peer has answered, cuts
/// its callers off. They come back through the peer at once. One that is there before the peer's
/// busy thread has begun the handed request would start it anew: the answer so far would be thrown
/// away, and the long prompt computed a second time.
#[test]
fn a_handed_request_is_found_as_soon_as_it_is_taken() {
    let control = FakeControl::start();
    let entry = &entries(&control, 1)[0];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let runs: Vec<HandOffRun> = (0..HANDED).map(handed).collect();
    let last = runs[HANDED - 1].key.clone();
    let (taken, found) = runtime.block_on(async {
        let peer = PeerClient::new(entry.peer_address, &Secret::new(CLUSTER_KEY), Millis(5_000));
        let taken = peer.call(&HandOff { from: "e9".into(), runs }).await.expect("an answer");
        let follow = FollowRun { key: last, from: 0, wait: Millis(0) };
        (taken.accepted, peer.call(&follow).await.expect("an answer"))
    });
    assert_eq!(taken.len(), HANDED);
    let FollowReply::More(part) = found else {
        panic!("it is not known: {found:?}");
    };
    assert_eq!(part.escaped.len() as u32, HANDED_TOKENS);
}

fn handed(number: usize) -> HandOffRun {
    let (account, request): (Name, Name) = ("clerks".into(), format!("e9-1-{number}").into());
    let mut transcript = Transcript::default();
    (0..HANDED_TOKENS).for_each(|index| transcript.push(index, "word "));
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
