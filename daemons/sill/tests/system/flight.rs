//! Requests through failures of endpoints and entries, with real processes, checked against the
//! stand-ins' ledgers.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::{Value, json};
use sill_standin::answer::Answer as Expected;
use sill_wire::chat::ChatSummary;
use sill_wire::endpoint::{LedgerEntry, RunEnd};

use crate::harness::{
    Answer, CALLER_KEY, Folder, Program, call, free_addresses, hash, http, sill, wait_until,
};

/// A control instance, entries of one failure domain, endpoints of a model and a plain service.
struct Cluster {
    folder: Folder,
    entries: Vec<Instance>,
    endpoints: Vec<Instance>,
    gone: Vec<usize>,
    control: Program,
    control_words: Vec<String>,
}

struct Instance {
    address: SocketAddr,
    program: Program,
}

impl Cluster {
    fn start(test: &str, entries: usize, endpoints: usize, decode_ms: &str) -> Self {
        Self::start_with_limit(test, entries, endpoints, decode_ms, "600000")
    }

    /// Starts one whose entry instances stop in so many milliseconds at most.
    fn start_with_limit(
        test: &str,
        entries: usize,
        endpoints: usize,
        decode_ms: &str,
        limit_ms: &str,
    ) -> Self {
        let folder = Folder::new(test);
        let free = free_addresses(2 + 2 * entries + endpoints + 1);
        let text: Vec<String> = free.iter().map(ToString::to_string).collect();
        let (cluster_key, join_token) = (folder.file("cluster-key"), folder.file("join-token"));
        let (root_token, data) = (folder.file("root-token"), folder.file("data"));
        let voter = format!("c1@a@{}", text[1]);
        let control = [
            "control",
            "--name",
            "c1",
            "--domain",
            "a",
            "--listen",
            &text[0],
            "--listen-peer",
            &text[1],
            "--voter",
            &voter,
            "--data",
            &data,
            "--cluster-key-file",
            &cluster_key,
            "--root-token-file",
            &root_token,
        ];
        let control_words = control.map(str::to_owned).to_vec();
        let control = folder.start("control.log", &control);
        let mut cluster = Self {
            folder,
            entries: Vec::new(),
            endpoints: Vec::new(),
            gone: Vec::new(),
            control,
            control_words,
        };
        for i in 0..entries {
            let (listen, peer) = (2 + 2 * i, 3 + 2 * i);
            let name = format!("e{}", i + 1);
            let mut words = vec![
                "entry",
                "--name",
                &name,
                "--domain",
                "a",
                "--listen",
                &text[listen],
                "--listen-peer",
                &text[peer],
                "--control",
                &text[1],
                "--cluster-key-file",
                &cluster_key,
                "--join-token-file",
                &join_token,
                "--drain-notice-ms",
                "1500",
                "--log-level",
                "debug",
                "--drain-limit-ms",
                limit_ms,
            ];
            for other in (0..entries).filter(|o| *o != i) {
                words.extend(["--peer", &text[3 + 2 * other]]);
            }
            let program = cluster.folder.start(&format!("{name}.log"), &words);
            cluster.entries.push(Instance { address: free[listen], program });
        }
        for i in 0..=endpoints {
            let at = 2 + 2 * entries + i;
            let name = format!("m{}", i + 1);
            let mut words = vec![
                "standin",
                "endpoint",
                "--name",
                &name,
                "--domain",
                "a",
                "--listen",
                &text[at],
                "--join-token-file",
                &join_token,
                "--decode-ms",
                decode_ms,
            ];
            // One that knows a single entry instance is lost with it.
            for entry in 0..entries {
                words.extend(["--entry", &text[2 + 2 * entry]]);
            }
            if i == endpoints {
                words.extend(["--service", "notices"]);
            }
            let program = cluster.folder.start(&format!("{name}.log"), &words);
            cluster.endpoints.push(Instance { address: free[at], program });
        }
        cluster.settle(&text[0], &root_token);
        cluster
    }

    /// Waits until every entry instance serves the model and the plain service.
    fn settle(&self, control: &str, root_token: &str) {
        let key = hash(CALLER_KEY);
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
        wait_until("the settings are accepted", || sill(&apply, "").status.success());
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

    /// Returns an endpoint's runs; one that is dead or frozen tells none.
    fn ledger(&self, endpoint: usize) -> Vec<LedgerEntry> {
        if self.gone.contains(&endpoint) {
            return Vec::new();
        }
        let answer = http(self.endpoints[endpoint].address, "GET", "/ledger", &[], "");
        let runs = answer.and_then(|answer| serde_json::from_str(&answer.body).ok());
        runs.unwrap_or_default()
    }

    /// Returns the endpoint that runs the request with so many prompt tokens now.
    fn running(&self, wanted: u32) -> usize {
        let mut found = None;
        wait_until("the request runs", || {
            found = (0..self.endpoints.len()).find(|endpoint| {
                self.ledger(*endpoint)
                    .iter()
                    .any(|run| run.end == RunEnd::Running && run.sent_tokens >= wanted)
            });
            found.is_some()
        });
        found.expect("it was found")
    }

    fn model_runs(&self) -> Vec<LedgerEntry> {
        let models = 0..self.endpoints.len() - 1;
        models.flat_map(|e| self.ledger(e)).filter(|run| run.prompt_tokens > 8).collect()
    }

    /// Returns how many notices ran.
    fn notices(&self) -> usize {
        let service = self.endpoints.len() - 1;
        self.ledger(service).iter().filter(|run| run.path == "POST /send").count()
    }

    fn restart_control(&mut self) {
        let _ = self.control.0.kill();
        let _ = self.control.0.wait();
        let words: Vec<&str> = self.control_words.iter().map(String::as_str).collect();
        self.control = self.folder.start("control-again.log", &words);
    }

    fn reclaim(&self, address: SocketAddr, in_ms: u32) {
        let headers = ["authorization: Bearer test-join-token", "content-type: application/json"];
        let notice = json!({ "in_ms": in_ms }).to_string();
        let answer = http(address, "POST", "/reclaim", &headers, &notice).expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
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

/// Asks on a thread of its own.
fn ask(entry: SocketAddr, headers: &[&str], body: &str) -> JoinHandle<Option<Answer>> {
    let headers: Vec<String> = headers.iter().map(|h| (*h).to_owned()).collect();
    let body = body.to_owned();
    thread::spawn(move || {
        let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
        call(entry, "/v1/chat/completions", &headers, &body)
    })
}

/// Asserts that a stream is whole, of one piece and the answer to its request.
fn assert_whole(body: &str, answer: &Answer) {
    assert_eq!(answer.status, 200, "{answer:?}");
    let request: Value = serde_json::from_str(body).expect("JSON");
    let expected = Expected::compute(&ChatSummary::read(&request).expect("a request"));
    let mut text = String::new();
    let mut ids = Vec::new();
    let mut heads = Vec::new();
    for line in answer.body.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            ids.push(id.parse::<u32>().expect("an index"));
        }
        let Some(data) = line.strip_prefix("data: ").filter(|d| *d != "[DONE]") else {
            continue;
        };
        let data: Value = serde_json::from_str(data).expect("JSON");
        heads.push((data["id"].clone(), data["created"].clone()));
        text.push_str(data["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    heads.dedup();
    assert_eq!(text, expected.text());
    assert_eq!(ids, (0..expected.tokens).collect::<Vec<_>>());
    assert_eq!(heads.len(), 1, "the caller sees one answer, {heads:?}");
    assert!(answer.body.trim_end().ends_with("data: [DONE]"));
}

fn signal(program: &Program, name: &str) {
    let pid = program.0.id().to_string();
    let sent = Command::new("kill").args([name, &pid]).status().expect("kill runs");
    assert!(sent.success());
    if name == "-STOP" {
        // Until each of its threads has had a turn to stop, it still answers.
        wait_until("it is stopped", || is_stopped(&pid));
    }
}

fn is_stopped(pid: &str) -> bool {
    let threads = fs::read_dir(format!("/proc/{pid}/task")).expect("a process").flatten();
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
    moves_kv: bool,
}

/// The endpoint goes in the middle of an answer: with a notice that is long enough to move the KV
/// cache, with one that is too short, killed without any, frozen, and the successor goes as well.
/// The user would see half an answer, or the same words twice.
#[test]
fn an_answer_goes_on_at_the_exact_token_when_its_endpoint_goes() {
    let cases = [
        EndpointCase { name: "notice", failures: vec![Failure::Reclaim(900)], moves_kv: true },
        EndpointCase { name: "short", failures: vec![Failure::Reclaim(30)], moves_kv: false },
        EndpointCase { name: "kill", failures: vec![Failure::Kill], moves_kv: false },
        EndpointCase { name: "freeze", failures: vec![Failure::Freeze], moves_kv: false },
        EndpointCase {
            name: "successor",
            failures: vec![Failure::Reclaim(900), Failure::Kill],
            moves_kv: false,
        },
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(|| goes_on(case));
        }
    });
}

fn goes_on(case: &EndpointCase) {
    let mut cluster = Cluster::start(case.name, 1, 3, "10");
    let entry = cluster.entries[0].address;
    let body = body(PROMPT, 300, true);
    let asked = ask(entry, &[], &body);
    for (number, failure) in case.failures.iter().enumerate() {
        let endpoint = cluster.running(30 + 60 * number as u32);
        match failure {
            Failure::Reclaim(in_ms) => {
                cluster.reclaim(cluster.endpoints[endpoint].address, *in_ms);
            }
            Failure::Kill => {
                let _ = cluster.endpoints[endpoint].program.0.kill();
            }
            Failure::Freeze => signal(&cluster.endpoints[endpoint].program, "-STOP"),
        }
        cluster.gone.push(endpoint);
        if number + 1 < case.failures.len() {
            wait_until("another endpoint goes on", || {
                cluster.model_runs().iter().any(|run| run.resumed_at > 0)
            });
        }
    }
    let answer = asked.join().expect("no panic").expect("an answer");
    assert_whole(&body, &answer);
    let resumed: Vec<LedgerEntry> =
        cluster.model_runs().into_iter().filter(|run| run.resumed_at > 0).collect();
    assert!(!resumed.is_empty(), "{}: no endpoint went on", case.name);
    let moved = resumed.iter().any(|run| run.imported_from.is_some());
    assert_eq!(moved, case.moves_kv, "{}: {resumed:?}", case.name);
}

/// An operator stops an entry instance for an upgrade while answers run and the balancer has not
/// looked yet. A stop that closes at once cuts answers off and refuses connections.
#[test]
fn a_planned_stop_serves_during_its_notice_and_cuts_nothing() {
    let mut cluster = Cluster::start("stop", 1, 1, "10");
    let entry = cluster.entries[0].address;
    let long = body(PROMPT, 250, true);
    let asked = ask(entry, &[], &long);
    cluster.running(10);
    signal(&cluster.entries[0].program, "-TERM");
    wait_until("it turns not ready", || {
        http(entry, "GET", "/readyz", &[], "").is_some_and(|a| a.status == 503)
    });
    let late = body("A request that the balancer still sends here.", 5, true);
    let answer = call(entry, "/v1/chat/completions", &[], &late).expect("an answer");
    assert_whole(&late, &answer);
    assert_whole(&long, &asked.join().expect("no panic").expect("an answer"));
    let status = cluster.entries[0].program.0.wait().expect("it ends");
    assert_eq!(status.code(), Some(0));
}

/// A caller keeps its connection to an instance that stops. Unless it is told that the connection ends, it
/// sends one request after the other there, until one crosses the end of the process and has no answer.
#[test]
fn callers_with_kept_connections_are_sent_elsewhere_by_a_stop() {
    let mut cluster = Cluster::start("kept", 1, 1, "5");
    let entry = cluster.entries[0].address;
    let mut stream = TcpStream::connect(entry).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(60))).expect("a timeout");
    signal(&cluster.entries[0].program, "-TERM");
    wait_until("it turns not ready", || {
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
    stream.read_to_string(&mut answer).expect("the end in order");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.to_lowercase().contains("connection: close"), "{answer}");
    assert_eq!(cluster.entries[0].program.0.wait().expect("it ends").code(), Some(0));
}

/// The platform repeats its SIGTERM while answers run. Taken for an operator's order to end at once, the
/// second one cuts them all.
#[test]
fn a_repeated_sigterm_cuts_nothing() {
    let mut cluster = Cluster::start("again-stop", 1, 1, "10");
    let body = body(PROMPT, 250, true);
    let asked = ask(cluster.entries[0].address, &[], &body);
    cluster.running(10);
    for _ in 0..10 {
        signal(&cluster.entries[0].program, "-TERM");
        thread::sleep(Duration::from_millis(100));
    }
    assert_whole(&body, &asked.join().expect("no panic").expect("an answer"));
    let status = cluster.entries[0].program.0.wait().expect("it ends");
    assert_eq!(status.code(), Some(0));
}

/// An operator who has pressed Ctrl-C does so again, because an answer without end holds the stop. The
/// instance must end, or the operator kills it and nothing tells how many answers that cut.
#[test]
fn ctrl_c_during_a_stop_ends_it_at_once() {
    let mut cluster = Cluster::start("ctrl-c", 1, 1, "100");
    let body = body(PROMPT, 5000, true);
    let asked = ask(cluster.entries[0].address, &[], &body);
    cluster.running(2);
    for name in ["-INT", "-TERM", "-INT"] {
        signal(&cluster.entries[0].program, name);
        thread::sleep(Duration::from_millis(100));
    }
    let status = cluster.entries[0].program.0.wait().expect("it ends");
    assert_eq!(status.code(), Some(0));
    assert!(asked.join().expect("no panic").is_none_or(|answer| !answer.body.contains("[DONE]")));
    let log = std::fs::read_to_string(cluster.folder.file("e1.log")).expect("its log");
    assert!(log.contains("event=stop_ended name=e1 cut=1 forced=true"), "{log}");
}

/// A supervisor sends a hang-up to have settings read anew, and settings change, while an answer runs.
/// Its caller would see it end in the middle.
#[test]
fn a_hang_up_and_new_settings_cut_nothing() {
    let mut cluster = Cluster::start("hang-up", 1, 1, "10");
    let body = body(PROMPT, 250, true);
    let asked = ask(cluster.entries[0].address, &[], &body);
    cluster.running(10);
    signal(&cluster.entries[0].program, "-HUP");
    let (control, token) = (cluster.control_words[6].clone(), cluster.folder.file("root-token"));
    cluster.settle(&control, &token);
    signal(&cluster.entries[0].program, "-HUP");
    assert_whole(&body, &asked.join().expect("no panic").expect("an answer"));
    signal(&cluster.entries[0].program, "-TERM");
    let status = cluster.entries[0].program.0.wait().expect("it ends");
    assert_eq!(status.code(), Some(0));
}

/// A caller came back through an entry instance that is then stopped, while its answer runs at a
/// peer. Nothing runs at the stopped one, yet its caller's stream is in flight there.
#[test]
fn a_planned_stop_waits_for_answers_that_run_at_a_peer() {
    let mut cluster = Cluster::start("follow", 2, 1, "10");
    let body = body(PROMPT, 400, true);
    let key = ["idempotency-key: parcel-19"];
    let owner = ask(cluster.entries[0].address, &key, &body);
    cluster.running(10);
    let follower = ask(cluster.entries[1].address, &key, &body);
    thread::sleep(Duration::from_millis(300));
    signal(&cluster.entries[1].program, "-TERM");
    assert_whole(&body, &follower.join().expect("no panic").expect("an answer"));
    assert_whole(&body, &owner.join().expect("no panic").expect("an answer"));
    let status = cluster.entries[1].program.0.wait().expect("it ends");
    assert_eq!(status.code(), Some(0));
    assert_eq!(cluster.model_runs().len(), 1);
}

/// Reads a stream until it breaks off.
fn read_until_cut(entry: SocketAddr, headers: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(entry).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(60))).expect("a timeout");
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n\
         {headers}content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut all = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut buf) {
        all.extend_from_slice(&buf[..n]);
        if all.ends_with(b"0\r\n\r\n") {
            break;
        }
    }
    String::from_utf8_lossy(&all).into_owned()
}

/// The entry instance that holds a caller's stream is reclaimed. Its peer goes on with the answer;
/// the caller, cut off, comes back through the peer with its key, or the request's name where it had
/// none, and gets the whole, or the rest. Were the request begun again, its long prompt would be
/// computed twice.
#[test]
fn a_caller_gets_the_whole_answer_after_its_entry_was_reclaimed() {
    thread::scope(|scope| {
        for keyed in [true, false] {
            scope.spawn(move || comes_back(keyed));
        }
    });
}

fn comes_back(keyed: bool) {
    let cluster = Cluster::start("entry", 2, 2, "10");
    let body = body(PROMPT, 300, true);
    let (first, second) = (cluster.entries[0].address, cluster.entries[1].address);
    let sent = body.clone();
    let key = if keyed { "idempotency-key: parcel-17\r\n" } else { "" };
    let reader = thread::spawn(move || read_until_cut(first, key, &sent));
    let endpoint = cluster.running(30);
    cluster.reclaim(first, 1000);
    let cut = reader.join().expect("no panic");
    assert!(cut.contains("id: 29"), "the first part came: {cut}");
    assert!(!cut.contains("[DONE]"), "a cut answer must not look whole");
    let name = cut.lines().find_map(|line| line.strip_prefix("sill-request-id: "));
    let name = if keyed { "parcel-17" } else { name.expect("the request's name") };
    let key = format!("idempotency-key: {}", name.trim());
    let answer = call(second, "/v1/chat/completions", &[&key], &body);
    assert_whole(&body, &answer.expect("an answer"));
    let rest = call(second, "/v1/chat/completions", &[&key, "last-event-id: 99"], &body);
    let rest = rest.expect("an answer").body;
    assert!(rest.starts_with("id: 100\n") && rest.contains("id: 299\n"), "{rest}");
    let runs = cluster.model_runs();
    let from_the_start = runs.iter().filter(|run| run.resumed_at == 0).count();
    assert_eq!(from_the_start, 1, "{runs:?}");
    assert!(runs.iter().any(|run| run.resumed_at > 0), "{runs:?}, first at {endpoint}");
}

/// An answer lasts longer than a planned stop may. Cut at the limit, its caller has half of it, and the
/// whole prompt is computed again when it comes back; handed to a peer before that, the answer goes on.
#[test]
fn an_answer_longer_than_a_planned_stop_goes_on_at_a_peer() {
    thread::scope(|scope| {
        for keyed in [true, false] {
            scope.spawn(move || outlasts_a_stop(keyed));
        }
    });
}

fn outlasts_a_stop(keyed: bool) {
    let mut cluster = Cluster::start_with_limit("outlast", 2, 2, "20", "4000");
    let body = body(PROMPT, 500, true);
    let (first, second) = (cluster.entries[0].address, cluster.entries[1].address);
    let sent = body.clone();
    let key = if keyed { "idempotency-key: parcel-20\r\n" } else { "" };
    let reader = thread::spawn(move || read_until_cut(first, key, &sent));
    cluster.running(30);
    signal(&cluster.entries[0].program, "-TERM");
    let cut = reader.join().expect("no panic");
    assert!(!cut.contains("[DONE]"), "a cut answer must not look whole");
    let status = cluster.entries[0].program.0.wait().expect("it ends");
    assert_eq!(status.code(), Some(0));
    let name = cut.lines().find_map(|line| line.strip_prefix("sill-request-id: "));
    let name = if keyed { "parcel-20" } else { name.expect("the request's name") };
    let key = format!("idempotency-key: {}", name.trim());
    let answer = call(second, "/v1/chat/completions", &[&key], &body);
    assert_whole(&body, &answer.expect("an answer"));
    let runs = cluster.model_runs();
    let from_the_start = runs.iter().filter(|run| run.resumed_at == 0).count();
    assert_eq!(from_the_start, 1, "{runs:?}");
    let log = std::fs::read_to_string(cluster.folder.file("e1.log")).expect("its log");
    assert!(log.contains("event=stop_ended name=e1 cut=0 forced=false"), "{log}");
}

/// One of two peers is killed or frozen just as the reclaimed entry instance hands over. Whichever
/// it asks first, the other one has to take the request; else the caller's answer is lost.
#[test]
fn a_hand_off_goes_on_when_a_peer_dies_in_it() {
    thread::scope(|scope| {
        for (name, how) in [("peer-kill", "-KILL"), ("peer-freeze", "-STOP")] {
            scope.spawn(move || hands_off_past(name, how));
        }
    });
}

fn hands_off_past(name: &str, how: &str) {
    let cluster = Cluster::start(name, 3, 2, "10");
    let body = body(PROMPT, 300, true);
    let (first, third) = (cluster.entries[0].address, cluster.entries[2].address);
    let sent = body.clone();
    let reader =
        thread::spawn(move || read_until_cut(first, "idempotency-key: parcel-18\r\n", &sent));
    cluster.running(30);
    signal(&cluster.entries[1].program, how);
    cluster.reclaim(first, 1000);
    let cut = reader.join().expect("no panic");
    assert!(!cut.contains("[DONE]"), "a cut answer must not look whole");
    let answer = call(third, "/v1/chat/completions", &["idempotency-key: parcel-18"], &body);
    assert_whole(&body, &answer.expect("an answer"));
    let runs = cluster.model_runs();
    assert!(runs.iter().any(|run| run.resumed_at > 0), "{runs:?}");
    assert_eq!(runs.iter().filter(|run| run.resumed_at == 0).count(), 1, "{runs:?}");
}

/// A caller loses its connection and sends a keyed request again through another entry instance,
/// while it runs and after it has ended. Nothing is computed a second time.
#[test]
fn a_key_sent_again_through_another_entry_gets_the_running_answer() {
    let cluster = Cluster::start("again", 2, 2, "5");
    let body = body(PROMPT, 100, true);
    let asked = ask(cluster.entries[0].address, &["idempotency-key: k1"], &body);
    cluster.running(10);
    for stream in [true, false] {
        let again = call(
            cluster.entries[1].address,
            "/v1/chat/completions",
            &["idempotency-key: k1"],
            &body,
        );
        assert_whole(&body, &again.expect("an answer"));
        let other = self::body(PROMPT, 101, stream);
        let refused = ask(cluster.entries[1].address, &["idempotency-key: k1"], &other);
        let refused = refused.join().expect("no panic").expect("an answer");
        assert_eq!(refused.status, 409, "{refused:?}");
    }
    assert_whole(&body, &asked.join().expect("no panic").expect("an answer"));
    assert_eq!(cluster.model_runs().len(), 1);
}

/// Sends a notice, and again as long as it is refused for now, as callers are told to. A control
/// instance that is short of processor or disk time gives no verdict on a claim in time.
fn send_notice(entry: SocketAddr, key: &str, text: &str) -> Option<Answer> {
    let key = format!("idempotency-key: {key}");
    let mut answer = None;
    wait_until("the notice is not refused", || {
        answer = call(entry, "/s/notices/send", &[&key], text);
        let Some(refusal) = answer.as_ref().filter(|answer| answer.status == 503) else {
            return true;
        };
        thread::sleep(come_back_after(refusal));
        false
    });
    answer
}

/// Returns when the caller of a refused request may come back. Without the certificate it could not,
/// since the notice may have been sent.
fn come_back_after(refusal: &Answer) -> Duration {
    assert!(refusal.head.contains("sill-not-run: true"), "{refusal:?}");
    let secs = refusal.head.lines().find_map(|line| line.strip_prefix("retry-after: "));
    Duration::from_secs(secs.and_then(|secs| secs.parse().ok()).expect("a time to come back"))
}

/// The control instance hangs for longer than a claim is waited for, while a clerk sends a notice.
/// The clerk is told at once that it was not run, and sends it again. Were the claim of the first
/// one kept, the notice would never be sent; were it sent as well, the widow would get two letters.
#[test]
fn a_notice_that_was_refused_for_want_of_a_verdict_is_sent_once() {
    let cluster = Cluster::start("refused", 1, 1, "5");
    let entry = cluster.entries[0].address;
    signal(&cluster.control, "-STOP");
    let key = ["idempotency-key: notice-8"];
    for _ in 0..2 {
        let refusal = call(entry, "/s/notices/send", &key, "to the widow").expect("an answer");
        assert_eq!(refusal.status, 503, "{refusal:?}");
        assert!(refusal.body.contains("no_quorum"), "{refusal:?}");
        thread::sleep(come_back_after(&refusal));
    }
    assert_eq!(cluster.notices(), 0);
    signal(&cluster.control, "-CONT");
    let answer = send_notice(entry, "notice-8", "to the widow").expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(cluster.notices(), 1);
}

/// A clerk sends a notice, and the entry instance that sent it is killed before the answer came. The
/// application sends it again through the other entry, and again after the control instance has
/// restarted from its disk. Sent twice, the widow gets two letters.
#[test]
fn a_notice_is_not_sent_again_after_kills() {
    let mut cluster = Cluster::start("once", 2, 1, "2500");
    let (first, second) = (cluster.entries[0].address, cluster.entries[1].address);
    let lost = thread::spawn(move || send_notice(first, "notice-9", "to the widow"));
    wait_until("the notice is on its way, or its caller has an answer", || {
        cluster.notices() == 1 || lost.is_finished()
    });
    assert!(!lost.is_finished(), "an answer before the kill: {:?}", lost.join());
    let _ = cluster.entries[0].program.0.kill();
    assert!(lost.join().expect("no panic").is_none(), "its caller gets no answer");
    let again = || send_notice(second, "notice-9", "to the widow").expect("an answer");
    let answer = again();
    assert_eq!(answer.status, 409, "{answer:?}");
    assert!(answer.body.contains("outcome_unknown"), "{answer:?}");
    assert!(!answer.head.contains("sill-not-run"), "{answer:?}");
    cluster.restart_control();
    let answer = again();
    assert_eq!(answer.status, 409, "{answer:?}");
    let answer = send_notice(second, "notice-10", "to another one").expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(cluster.notices(), 2);
}
