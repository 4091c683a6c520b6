//! Requests during failures and planned stops of endpoints and entry instances. The ledgers of the
//! stand-in endpoints show what ran, where and how often.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::{Value, json};
use sill_standin::answer::Answer as Expected;
use sill_wire::chat::ChatSummary;
use sill_wire::endpoint::{LedgerEntry, RunEnd};

use crate::harness::{
    Answer, CALLER_KEY, Folder, Program, call, free_addresses, hash_key, http, run_sill, wait_until,
};

/// A control instance, entry instances and endpoints in one failure domain. The last endpoint
/// serves the plain service, the others the model.
struct Cluster {
    folder: Folder,
    entries: Vec<Instance>,
    endpoints: Vec<Instance>,
    /// Endpoints that a test has reclaimed, killed or frozen.
    failed_endpoints: Vec<usize>,
    control: Program,
    control_args: Vec<String>,
}

struct Instance {
    address: SocketAddr,
    program: Program,
}

impl Cluster {
    fn start(test: &str, entries: usize, endpoints: usize, decode_ms: &str) -> Self {
        Self::start_with_drain_limit(test, entries, endpoints, decode_ms, "600000")
    }

    /// Starts a cluster whose entry instances end a planned stop after at most `drain_limit_ms`.
    fn start_with_drain_limit(
        test: &str,
        entries: usize,
        endpoints: usize,
        decode_ms: &str,
        drain_limit_ms: &str,
    ) -> Self {
        let folder = Folder::new(test);
        let addresses = free_addresses(2 + 2 * entries + endpoints + 1);
        let address_texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        let (cluster_key, join_token) = (folder.file("cluster-key"), folder.file("join-token"));
        let (root_token, data) = (folder.file("root-token"), folder.file("data"));
        let voter = format!("c1@a@{}", address_texts[1]);
        let control = [
            "control",
            "--name",
            "c1",
            "--domain",
            "a",
            "--listen",
            &address_texts[0],
            "--listen-peer",
            &address_texts[1],
            "--voter",
            &voter,
            "--data",
            &data,
            "--cluster-key-file",
            &cluster_key,
            "--root-token-file",
            &root_token,
        ];
        let control_args = control.map(str::to_owned).to_vec();
        let control = folder.start("control.log", &control);
        let mut cluster = Self {
            folder,
            entries: Vec::new(),
            endpoints: Vec::new(),
            failed_endpoints: Vec::new(),
            control,
            control_args,
        };
        for i in 0..entries {
            let (listen, peer) = (2 + 2 * i, 3 + 2 * i);
            let name = format!("e{}", i + 1);
            let mut args = vec![
                "entry",
                "--name",
                &name,
                "--domain",
                "a",
                "--listen",
                &address_texts[listen],
                "--listen-peer",
                &address_texts[peer],
                "--control",
                &address_texts[1],
                "--cluster-key-file",
                &cluster_key,
                "--join-token-file",
                &join_token,
                "--drain-notice-ms",
                "1500",
                "--log-level",
                "debug",
                "--drain-limit-ms",
                drain_limit_ms,
            ];
            for other in (0..entries).filter(|o| *o != i) {
                args.extend(["--peer", &address_texts[3 + 2 * other]]);
            }
            let program = cluster.folder.start(&format!("{name}.log"), &args);
            cluster.entries.push(Instance { address: addresses[listen], program });
        }
        for i in 0..=endpoints {
            let index = 2 + 2 * entries + i;
            let name = format!("m{}", i + 1);
            let mut args = vec![
                "standin",
                "endpoint",
                "--name",
                &name,
                "--domain",
                "a",
                "--listen",
                &address_texts[index],
                "--join-token-file",
                &join_token,
                "--decode-ms",
                decode_ms,
            ];
            // An endpoint that announces itself to one entry instance only is lost with it.
            for entry in 0..entries {
                args.extend(["--entry", &address_texts[2 + 2 * entry]]);
            }
            if i == endpoints {
                args.extend(["--service", "notices"]);
            }
            let program = cluster.folder.start(&format!("{name}.log"), &args);
            cluster.endpoints.push(Instance { address: addresses[index], program });
        }
        cluster.apply_settings(&address_texts[0], &root_token);
        cluster
    }

    /// Applies the settings and waits until every entry instance serves both services.
    fn apply_settings(&self, control: &str, root_token: &str) {
        let key = hash_key(CALLER_KEY);
        let document = json!({
            "services": {
                "desk-7b": { "kind": "model" },
                "notices": {
                    "kind": "plain",
                    "non_idempotent": [{ "method": "POST", "path": "/send" }],
                },
            },
            "accounts": { "clerks": { "keys": [key] } },
        });
        let file = self.folder.write("ga.json", &document.to_string());
        let apply = ["apply", "--control", control, "--token-file", root_token, "ga", &file];
        wait_until("the settings are accepted", || run_sill(&apply, "").status.success());
        for entry in &self.entries {
            wait_until("a model is served", || {
                let answer =
                    call(entry.address, "/v1/chat/completions", &[], &body("warm", 1, false));
                answer.is_some_and(|a| a.status == 200)
            });
            wait_until("a plain service is served", || {
                let answer = call(entry.address, "/s/notices/list", &[], "");
                answer.is_some_and(|a| a.status == 200)
            });
        }
    }

    /// Returns an endpoint's runs, or none for an endpoint that has failed.
    fn ledger(&self, endpoint: usize) -> Vec<LedgerEntry> {
        if self.failed_endpoints.contains(&endpoint) {
            return Vec::new();
        }
        let answer = http(self.endpoints[endpoint].address, "GET", "/ledger", &[], "");
        let runs = answer.and_then(|answer| serde_json::from_str(&answer.body).ok());
        runs.unwrap_or_default()
    }

    /// Waits until an endpoint has sent at least `min_tokens` of a running request, and returns it.
    fn running_endpoint(&self, min_tokens: u32) -> usize {
        let mut endpoint = None;
        wait_until("the request runs", || {
            endpoint = (0..self.endpoints.len()).find(|endpoint| {
                self.ledger(*endpoint)
                    .iter()
                    .any(|run| run.end == RunEnd::Running && run.sent_tokens >= min_tokens)
            });
            endpoint.is_some()
        });
        endpoint.expect("set above")
    }

    /// Returns the runs of test prompts; the warm-up prompt has 8 tokens or fewer.
    fn model_runs(&self) -> Vec<LedgerEntry> {
        let models = 0..self.endpoints.len() - 1;
        models.flat_map(|e| self.ledger(e)).filter(|run| run.prompt_tokens > 8).collect()
    }

    /// Returns the number of notices that the plain service has run.
    fn notice_count(&self) -> usize {
        let service = self.endpoints.len() - 1;
        self.ledger(service).iter().filter(|run| run.path == "POST /send").count()
    }

    fn restart_control(&mut self) {
        self.control.kill();
        let args: Vec<&str> = self.control_args.iter().map(String::as_str).collect();
        self.control = self.folder.start("control-again.log", &args);
    }

    fn reclaim(&self, address: SocketAddr, in_ms: u32) {
        let headers = ["authorization: Bearer test-join-token", "content-type: application/json"];
        let notice = json!({ "in_ms": in_ms }).to_string();
        let answer = http(address, "POST", "/reclaim", &headers, &notice).expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
        let mut instances = self.entries.iter().chain(&self.endpoints);
        let reclaimed = instances.find(|instance| instance.address == address);
        reclaimed.expect("an instance of this cluster").program.allow_end();
    }
}

const PROMPT: &str = "Where would a parcel for the old lighthouse keeper be sent today?";

fn body(prompt: &str, max_tokens: u32, stream: bool) -> String {
    json!({
        "model": "desk-7b",
        "stream": stream,
        "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": prompt }],
    })
    .to_string()
}

/// Sends a chat request on a new thread.
fn spawn_request(entry: SocketAddr, headers: &[&str], body: &str) -> JoinHandle<Option<Answer>> {
    let headers: Vec<String> = headers.iter().map(|h| (*h).to_owned()).collect();
    let body = body.to_owned();
    thread::spawn(move || {
        let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
        call(entry, "/v1/chat/completions", &headers, &body)
    })
}

/// Asserts that a stream is the complete answer to its request, with each token once and one id.
fn assert_complete(body: &str, answer: &Answer) {
    assert_eq!(answer.status, 200, "{answer:?}");
    let request: Value = serde_json::from_str(body).expect("valid JSON");
    let expected = Expected::compute(&ChatSummary::read(&request).expect("a chat request"));
    let mut text = String::new();
    let mut ids = Vec::new();
    let mut chunk_heads = Vec::new();
    for line in answer.body.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            ids.push(id.parse::<u32>().expect("the event id is a token index"));
        }
        let Some(data) = line.strip_prefix("data: ").filter(|d| *d != "[DONE]") else {
            continue;
        };
        let data: Value = serde_json::from_str(data).expect("valid JSON");
        chunk_heads.push((data["id"].clone(), data["created"].clone()));
        text.push_str(data["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    chunk_heads.dedup();
    assert_eq!(text, expected.text());
    assert_eq!(ids, (0..expected.tokens).collect::<Vec<_>>());
    assert_eq!(
        chunk_heads.len(),
        1,
        "the chunks of one stream differ in id or creation time: {chunk_heads:?}"
    );
    assert!(answer.body.trim_end().ends_with("data: [DONE]"));
}

fn signal(program: &Program, name: &str) {
    let pid = program.id().to_string();
    program.signal(name);
    if name == "-STOP" {
        // The process answers until each of its threads has been scheduled and has stopped.
        wait_until("the process is stopped", || is_stopped(&pid));
    }
}

fn is_stopped(pid: &str) -> bool {
    let threads = fs::read_dir(format!("/proc/{pid}/task")).expect("the process exists").flatten();
    let stat = |thread: fs::DirEntry| fs::read_to_string(thread.path().join("stat"));
    threads.filter_map(|thread| stat(thread).ok()).all(|stat| stat.contains(") T "))
}

enum Failure {
    Reclaim(u32),
    Kill,
    Freeze,
}

struct EndpointCase {
    name: &'static str,
    failures: Vec<Failure>,
    /// Whether a successor must import the KV cache instead of computing it again.
    is_kv_moved: bool,
}

/// The endpoint fails in the middle of an answer: reclaimed with a notice that is long enough to
/// move the KV cache, reclaimed with one that is too short, killed, or frozen; in the last case its
/// successor is killed too. A faulty hand-over gives the caller half an answer, or tokens twice.
#[test]
fn a_stream_resumes_at_the_exact_token_when_its_endpoint_fails() {
    let cases = [
        EndpointCase { name: "notice", failures: vec![Failure::Reclaim(900)], is_kv_moved: true },
        EndpointCase { name: "short", failures: vec![Failure::Reclaim(30)], is_kv_moved: false },
        EndpointCase { name: "kill", failures: vec![Failure::Kill], is_kv_moved: false },
        EndpointCase { name: "freeze", failures: vec![Failure::Freeze], is_kv_moved: false },
        EndpointCase {
            name: "successor",
            failures: vec![Failure::Reclaim(900), Failure::Kill],
            is_kv_moved: false,
        },
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(|| check_stream_resumes(case));
        }
    });
}

fn check_stream_resumes(case: &EndpointCase) {
    let mut cluster = Cluster::start(case.name, 1, 3, "10");
    let entry = cluster.entries[0].address;
    let body = body(PROMPT, 300, true);
    let pending = spawn_request(entry, &[], &body);
    for (number, failure) in case.failures.iter().enumerate() {
        let endpoint = cluster.running_endpoint(30 + 60 * number as u32);
        match failure {
            Failure::Reclaim(in_ms) => {
                cluster.reclaim(cluster.endpoints[endpoint].address, *in_ms);
            }
            Failure::Kill => {
                cluster.endpoints[endpoint].program.kill();
            }
            Failure::Freeze => signal(&cluster.endpoints[endpoint].program, "-STOP"),
        }
        cluster.failed_endpoints.push(endpoint);
        if number + 1 < case.failures.len() {
            wait_until("another endpoint resumes the answer", || {
                cluster.model_runs().iter().any(|run| run.resumed_at > 0)
            });
        }
    }
    let answer = pending.join().expect("the thread does not panic").expect("an answer");
    assert_complete(&body, &answer);
    let resumed: Vec<LedgerEntry> =
        cluster.model_runs().into_iter().filter(|run| run.resumed_at > 0).collect();
    assert!(!resumed.is_empty(), "{}: no endpoint resumed the answer", case.name);
    let is_moved = resumed.iter().any(|run| run.imported_from.is_some());
    assert_eq!(is_moved, case.is_kv_moved, "{}: was the KV cache imported? {resumed:?}", case.name);
}

/// An operator stops an entry instance for an upgrade while answers are in flight and before the
/// load balancer has noticed. A stop that closes at once cuts answers and refuses connections.
#[test]
fn a_planned_stop_serves_during_its_notice_and_cuts_nothing() {
    let mut cluster = Cluster::start("stop", 1, 1, "10");
    let entry = cluster.entries[0].address;
    let long = body(PROMPT, 250, true);
    let pending = spawn_request(entry, &[], &long);
    cluster.running_endpoint(10);
    signal(&cluster.entries[0].program, "-TERM");
    wait_until("the entry is not ready", || {
        http(entry, "GET", "/readyz", &[], "").is_some_and(|a| a.status == 503)
    });
    let late = body("A request that the balancer still sends here.", 5, true);
    let answer = call(entry, "/v1/chat/completions", &[], &late).expect("an answer");
    assert_complete(&late, &answer);
    assert_complete(&long, &pending.join().expect("the thread does not panic").expect("an answer"));
    let status = cluster.entries[0].program.wait();
    assert_eq!(status.code(), Some(0));
}

/// A caller keeps a connection to an instance that stops. Without `connection: close` it keeps
/// sending requests there, until one arrives as the process exits and gets no answer.
#[test]
fn a_stop_closes_persistent_connections_of_callers() {
    let mut cluster = Cluster::start("kept", 1, 1, "5");
    let entry = cluster.entries[0].address;
    let mut stream = TcpStream::connect(entry).expect("the entry accepts connections");
    stream.set_read_timeout(Some(Duration::from_secs(60))).expect("the timeout can be set");
    signal(&cluster.entries[0].program, "-TERM");
    wait_until("the entry is not ready", || {
        http(entry, "GET", "/readyz", &[], "").is_some_and(|a| a.status == 503)
    });
    let body = body("A request of the notice.", 5, false);
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the connection is closed in order");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
    assert_eq!(cluster.entries[0].program.wait().code(), Some(0));
}

/// The platform repeats its SIGTERM while answers are in flight. If the second one counts as an
/// operator's request to exit at once, it cuts them all.
#[test]
fn a_repeated_sigterm_cuts_nothing() {
    let mut cluster = Cluster::start("again-stop", 1, 1, "10");
    let body = body(PROMPT, 250, true);
    let pending = spawn_request(cluster.entries[0].address, &[], &body);
    cluster.running_endpoint(10);
    for _ in 0..10 {
        signal(&cluster.entries[0].program, "-TERM");
        thread::sleep(Duration::from_millis(100));
    }
    assert_complete(&body, &pending.join().expect("the thread does not panic").expect("an answer"));
    let status = cluster.entries[0].program.wait();
    assert_eq!(status.code(), Some(0));
}

/// An endless answer delays a planned stop, and the operator presses Ctrl-C again. If the instance
/// doesn't exit then, the operator kills it, and no log line says how many answers that cut.
#[test]
fn ctrl_c_during_a_stop_ends_it_at_once() {
    let mut cluster = Cluster::start("ctrl-c", 1, 1, "100");
    let body = body(PROMPT, 5000, true);
    let pending = spawn_request(cluster.entries[0].address, &[], &body);
    cluster.running_endpoint(2);
    for name in ["-INT", "-TERM", "-INT"] {
        signal(&cluster.entries[0].program, name);
        thread::sleep(Duration::from_millis(100));
    }
    let status = cluster.entries[0].program.wait();
    assert_eq!(status.code(), Some(0));
    assert!(
        pending
            .join()
            .expect("the thread does not panic")
            .is_none_or(|answer| !answer.body.contains("[DONE]"))
    );
    let log = std::fs::read_to_string(cluster.folder.file("e1.log")).expect("the log can be read");
    assert!(log.contains("event=stop_ended name=e1 cut=1 forced=true"), "{log}");
}

/// A supervisor sends SIGHUP to have settings reloaded, and the settings change, while an answer is
/// in flight. If either ends the process or drops its state, the caller gets half an answer.
#[test]
fn a_hang_up_and_new_settings_cut_nothing() {
    let mut cluster = Cluster::start("hang-up", 1, 1, "10");
    let body = body(PROMPT, 250, true);
    let pending = spawn_request(cluster.entries[0].address, &[], &body);
    cluster.running_endpoint(10);
    signal(&cluster.entries[0].program, "-HUP");
    let (control, token) = (cluster.control_args[6].clone(), cluster.folder.file("root-token"));
    cluster.apply_settings(&control, &token);
    signal(&cluster.entries[0].program, "-HUP");
    assert_complete(&body, &pending.join().expect("the thread does not panic").expect("an answer"));
    signal(&cluster.entries[0].program, "-TERM");
    let status = cluster.entries[0].program.wait();
    assert_eq!(status.code(), Some(0));
}

/// A caller has reconnected through an entry instance that is then stopped, while its request runs
/// at a peer. A stop that waits only for the instance's own requests cuts the forwarded stream.
#[test]
fn a_planned_stop_waits_for_answers_that_run_at_a_peer() {
    let mut cluster = Cluster::start("follow", 2, 1, "10");
    let body = body(PROMPT, 400, true);
    let key = ["idempotency-key: parcel-19"];
    let owner = spawn_request(cluster.entries[0].address, &key, &body);
    cluster.running_endpoint(10);
    let follower = spawn_request(cluster.entries[1].address, &key, &body);
    thread::sleep(Duration::from_millis(300));
    signal(&cluster.entries[1].program, "-TERM");
    assert_complete(
        &body,
        &follower.join().expect("the thread does not panic").expect("an answer"),
    );
    assert_complete(&body, &owner.join().expect("the thread does not panic").expect("an answer"));
    let status = cluster.entries[1].program.wait();
    assert_eq!(status.code(), Some(0));
    assert_eq!(cluster.model_runs().len(), 1);
}

/// Sends a chat request and reads its stream until it ends or the connection is closed.
fn read_until_disconnect(entry: SocketAddr, headers: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(entry).expect("the entry accepts connections");
    stream.set_read_timeout(Some(Duration::from_secs(60))).expect("the timeout can be set");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         {headers}content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut received = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut buf) {
        received.extend_from_slice(&buf[..n]);
        if received.ends_with(b"0\r\n\r\n") {
            break;
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// The entry instance that holds a caller's stream is reclaimed, and a peer takes the request over.
/// The disconnected caller retries at the peer with its idempotency key, or with the request id if
/// it sent no key, and gets the complete answer, or the part after `last-event-id`. A retry that
/// starts the request again computes its long prompt twice.
#[test]
fn a_retry_gets_the_whole_answer_after_its_entry_was_reclaimed() {
    thread::scope(|scope| {
        for has_key in [true, false] {
            scope.spawn(move || check_retry_at_peer(has_key));
        }
    });
}

fn check_retry_at_peer(has_key: bool) {
    let cluster = Cluster::start("entry", 2, 2, "10");
    let body = body(PROMPT, 300, true);
    let (first, second) = (cluster.entries[0].address, cluster.entries[1].address);
    let sent = body.clone();
    let key = if has_key { "idempotency-key: parcel-17\r\n" } else { "" };
    let reader = thread::spawn(move || read_until_disconnect(first, key, &sent));
    let endpoint = cluster.running_endpoint(30);
    cluster.reclaim(first, 1000);
    let cut = reader.join().expect("the thread does not panic");
    assert!(cut.contains("id: 29"), "the answer was cut before token 29: {cut}");
    assert!(!cut.contains("[DONE]"), "a cut answer ends with the end marker");
    let name = cut.lines().find_map(|line| line.strip_prefix("sill-request-id: "));
    let name = if has_key { "parcel-17" } else { name.expect("the answer has a request id") };
    let key = format!("idempotency-key: {}", name.trim());
    let answer = call(second, "/v1/chat/completions", &[&key], &body);
    assert_complete(&body, &answer.expect("an answer"));
    let remainder = call(second, "/v1/chat/completions", &[&key, "last-event-id: 99"], &body);
    let remainder = remainder.expect("an answer").body;
    assert!(remainder.starts_with("id: 100\n") && remainder.contains("id: 299\n"), "{remainder}");
    let runs = cluster.model_runs();
    let full_runs = runs.iter().filter(|run| run.resumed_at == 0).count();
    assert_eq!(full_runs, 1, "{runs:?}");
    assert!(
        runs.iter().any(|run| run.resumed_at > 0),
        "{runs:?}, first run at endpoint {endpoint}"
    );
}

/// An answer lasts longer than the limit of a planned stop. If it is cut at the limit, the caller
/// has half of it, and its retry computes the whole prompt again. It must be handed over to a peer
/// before.
#[test]
fn an_answer_longer_than_a_planned_stop_is_handed_to_a_peer() {
    thread::scope(|scope| {
        for has_key in [true, false] {
            scope.spawn(move || check_hand_off_at_stop(has_key));
        }
    });
}

fn check_hand_off_at_stop(has_key: bool) {
    let mut cluster = Cluster::start_with_drain_limit("outlast", 2, 2, "20", "4000");
    let body = body(PROMPT, 500, true);
    let (first, second) = (cluster.entries[0].address, cluster.entries[1].address);
    let sent = body.clone();
    let key = if has_key { "idempotency-key: parcel-20\r\n" } else { "" };
    let reader = thread::spawn(move || read_until_disconnect(first, key, &sent));
    cluster.running_endpoint(30);
    signal(&cluster.entries[0].program, "-TERM");
    let cut = reader.join().expect("the thread does not panic");
    assert!(!cut.contains("[DONE]"), "a cut answer ends with the end marker");
    let status = cluster.entries[0].program.wait();
    assert_eq!(status.code(), Some(0));
    let name = cut.lines().find_map(|line| line.strip_prefix("sill-request-id: "));
    let name = if has_key { "parcel-20" } else { name.expect("the answer has a request id") };
    let key = format!("idempotency-key: {}", name.trim());
    let answer = call(second, "/v1/chat/completions", &[&key], &body);
    assert_complete(&body, &answer.expect("an answer"));
    let runs = cluster.model_runs();
    let full_runs = runs.iter().filter(|run| run.resumed_at == 0).count();
    assert_eq!(full_runs, 1, "{runs:?}");
    let log = std::fs::read_to_string(cluster.folder.file("e1.log")).expect("the log can be read");
    assert!(log.contains("event=stop_ended name=e1 cut=0 forced=false"), "{log}");
}

/// One of two peers is killed or frozen just as a reclaimed entry instance hands its request over.
/// If the hand-over does not try the other peer after that one fails, the caller's answer is lost.
#[test]
fn a_hand_off_tries_the_next_peer_when_one_fails() {
    thread::scope(|scope| {
        for (name, signal_name) in [("peer-kill", "-KILL"), ("peer-freeze", "-STOP")] {
            scope.spawn(move || check_hand_off_with_peer_failure(name, signal_name));
        }
    });
}

fn check_hand_off_with_peer_failure(name: &str, signal_name: &str) {
    let cluster = Cluster::start(name, 3, 2, "10");
    let body = body(PROMPT, 300, true);
    let (first, third) = (cluster.entries[0].address, cluster.entries[2].address);
    let sent = body.clone();
    let reader = thread::spawn(move || {
        read_until_disconnect(first, "idempotency-key: parcel-18\r\n", &sent)
    });
    cluster.running_endpoint(30);
    signal(&cluster.entries[1].program, signal_name);
    cluster.reclaim(first, 1000);
    let cut = reader.join().expect("the thread does not panic");
    assert!(!cut.contains("[DONE]"), "a cut answer ends with the end marker");
    let answer = call(third, "/v1/chat/completions", &["idempotency-key: parcel-18"], &body);
    assert_complete(&body, &answer.expect("an answer"));
    let runs = cluster.model_runs();
    assert!(runs.iter().any(|run| run.resumed_at > 0), "{runs:?}");
    assert_eq!(runs.iter().filter(|run| run.resumed_at == 0).count(), 1, "{runs:?}");
}

/// A caller loses its connection and retries a request with an idempotency key through another
/// entry instance, during the run and after it. A retry that is not matched with the run computes
/// it twice.
#[test]
fn a_retry_with_the_key_through_another_entry_gets_the_running_answer() {
    let cluster = Cluster::start("again", 2, 2, "5");
    let body = body(PROMPT, 100, true);
    let pending = spawn_request(cluster.entries[0].address, &["idempotency-key: k1"], &body);
    cluster.running_endpoint(10);
    for stream in [true, false] {
        let retry = call(
            cluster.entries[1].address,
            "/v1/chat/completions",
            &["idempotency-key: k1"],
            &body,
        );
        assert_complete(&body, &retry.expect("an answer"));
        let other = self::body(PROMPT, 101, stream);
        let refused = spawn_request(cluster.entries[1].address, &["idempotency-key: k1"], &other);
        let refused = refused.join().expect("the thread does not panic").expect("an answer");
        assert_eq!(refused.status, 409, "{refused:?}");
    }
    assert_complete(&body, &pending.join().expect("the thread does not panic").expect("an answer"));
    assert_eq!(cluster.model_runs().len(), 1);
}

/// Sends a notice, and retries after each temporary refusal as callers should. A control instance
/// that is short of processor or disk time gives no verdict on a claim in time.
fn send_notice(entry: SocketAddr, key: &str, text: &str) -> Option<Answer> {
    let key = format!("idempotency-key: {key}");
    let mut answer = None;
    wait_until("the notice is not refused", || {
        answer = call(entry, "/s/notices/send", &[&key], text);
        let Some(refusal) = answer.as_ref().filter(|answer| answer.status == 503) else {
            return true;
        };
        thread::sleep(retry_after(refusal));
        false
    });
    answer
}

/// Returns the time after which a refused request may be retried. Asserts that the answer certifies
/// that the request was not run; otherwise a retry could send the notice twice.
fn retry_after(refusal: &Answer) -> Duration {
    assert!(refusal.head.contains("sill-not-run: true"), "{refusal:?}");
    let secs = refusal.head.lines().find_map(|line| line.strip_prefix("retry-after: "));
    Duration::from_secs(
        secs.and_then(|secs| secs.parse().ok()).expect("the refusal has a retry-after in seconds"),
    )
}

/// The control instance hangs longer than the claim timeout while a clerk sends a notice. The
/// answer certifies that it was not run, and the clerk retries. If the first attempt's claim stays,
/// the notice is never sent; if the first attempt runs after all, the notice is sent twice.
#[test]
fn a_notice_refused_without_quorum_is_sent_once_by_its_retry() {
    let cluster = Cluster::start("refused", 1, 1, "5");
    let entry = cluster.entries[0].address;
    signal(&cluster.control, "-STOP");
    let key = ["idempotency-key: notice-8"];
    for _ in 0..2 {
        let refusal = call(entry, "/s/notices/send", &key, "to the widow").expect("an answer");
        assert_eq!(refusal.status, 503, "{refusal:?}");
        assert!(refusal.body.contains("no_quorum"), "{refusal:?}");
        thread::sleep(retry_after(&refusal));
    }
    assert_eq!(cluster.notice_count(), 0);
    signal(&cluster.control, "-CONT");
    let answer = send_notice(entry, "notice-8", "to the widow").expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(cluster.notice_count(), 1);
}

/// The entry instance that forwards a clerk's notice is killed before the answer arrives. The
/// application retries through the other entry, and again after the control instance has restarted
/// from its disk. If the claim of the first attempt is lost, the notice is sent twice.
#[test]
fn a_notice_is_not_sent_again_after_kills() {
    let mut cluster = Cluster::start("once", 2, 1, "2500");
    let (first, second) = (cluster.entries[0].address, cluster.entries[1].address);
    let killed_request = thread::spawn(move || send_notice(first, "notice-9", "to the widow"));
    wait_until("the notice runs, or its caller has an answer", || {
        cluster.notice_count() == 1 || killed_request.is_finished()
    });
    assert!(
        !killed_request.is_finished(),
        "the notice was answered before the kill: {:?}",
        killed_request.join()
    );
    cluster.entries[0].program.kill();
    assert!(
        killed_request.join().expect("the thread does not panic").is_none(),
        "the caller of the killed entry got an answer"
    );
    let retry = || send_notice(second, "notice-9", "to the widow").expect("an answer");
    let answer = retry();
    assert_eq!(answer.status, 409, "{answer:?}");
    assert!(answer.body.contains("outcome_unknown"), "{answer:?}");
    assert!(!answer.head.contains("sill-not-run"), "{answer:?}");
    cluster.restart_control();
    let answer = retry();
    assert_eq!(answer.status, 409, "{answer:?}");
    let answer = send_notice(second, "notice-10", "to another one").expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(cluster.notice_count(), 2);
}
