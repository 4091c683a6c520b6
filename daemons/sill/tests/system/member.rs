//! Membership and settings with real processes: restarts, freezes, wrong tokens, a control instance
//! that is gone.

use std::net::SocketAddr;
use std::process::Command;

use crate::harness::{
    Answer, CALLER_KEY, Folder, Program, call, free_addresses, hash, http, sill, wait_until,
};

const BODY: &str =
    r#"{"model":"desk-7b","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}"#;

/// Two entry instances, a control instance and endpoints in one failure domain.
struct System {
    folder: Folder,
    operators: SocketAddr,
    control: SocketAddr,
    callers: [SocketAddr; 2],
    peers: [SocketAddr; 2],
}

impl System {
    fn new(test: &str) -> Self {
        let free = free_addresses(6);
        let [operators, control, a, b, peer_a, peer_b] = free[..] else { unreachable!() };
        Self {
            folder: Folder::new(test),
            operators,
            control,
            callers: [a, b],
            peers: [peer_a, peer_b],
        }
    }

    fn start_control(&self) -> Program {
        let (listen, peer) = (self.operators.to_string(), self.control.to_string());
        let voter = format!("c1@a@{peer}");
        let (data, cluster_key) = (self.folder.file("data"), self.folder.file("cluster-key"));
        let token = self.folder.file("root-token");
        let words = ["control", "--name", "c1", "--domain", "a", "--listen", &listen];
        let more = ["--listen-peer", &peer, "--voter", &voter, "--data", &data];
        let keys = ["--cluster-key-file", &cluster_key, "--root-token-file", &token];
        self.folder.start("control.log", &[&words[..], &more[..], &keys[..]].concat())
    }

    fn start_entry(&self, n: usize, more: &[&str]) -> Program {
        let (name, listen) = (format!("e{n}"), self.callers[n].to_string());
        let (own, other) = (self.peers[n].to_string(), self.peers[1 - n].to_string());
        let control = self.control.to_string();
        let (cluster_key, join) = (self.folder.file("cluster-key"), self.folder.file("join-token"));
        let words = ["entry", "--name", &name, "--domain", "a", "--listen", &listen];
        let peers = ["--listen-peer", &own, "--peer", &other, "--control", &control];
        let keys = ["--cluster-key-file", &cluster_key, "--join-token-file", &join];
        let log = format!("{name}.log");
        self.folder.start(&log, &[&words[..], &peers[..], &keys[..], more].concat())
    }

    fn start_endpoint(&self, name: &str, listen: SocketAddr, token: &str) -> Program {
        let (listen, token) = (listen.to_string(), self.folder.file(token));
        let entry = self.callers[0].to_string();
        let words = ["standin", "endpoint", "--name", name, "--domain", "a", "--listen", &listen];
        let more = ["--entry", &entry, "--join-token-file", &token, "--decode-ms", "1"];
        self.folder.start(&format!("{name}.log"), &[&words[..], &more[..]].concat())
    }

    fn apply(&self, path: &str, document: &str) {
        let file = self.folder.write(&format!("{path}.json"), document);
        let (control, token) = (self.operators.to_string(), self.folder.file("root-token"));
        let words = ["apply", "--control", &control, "--token-file", &token, path, &file];
        wait_until("the change is accepted", || sill(&words, "").status.success());
    }

    fn apply_settings(&self) {
        let key = hash(CALLER_KEY);
        let document = format!(
            r#"{{"services":{{"desk-7b":{{"kind":"model"}}}},"accounts":{{"clerks":{{"keys":["{key}"]}}}}}}"#
        );
        self.apply("ga", &document);
    }

    fn is_ready(&self, n: usize) -> bool {
        http(self.callers[n], "GET", "/readyz", &[], "").is_some_and(|a| a.status == 200)
    }

    fn ask(&self, n: usize) -> Option<Answer> {
        call(self.callers[n], "/v1/chat/completions", &[], BODY)
    }

    fn is_served(&self, n: usize) -> bool {
        self.ask(n).is_some_and(|a| a.status == 200)
    }
}

fn signal(program: &Program, name: &str) {
    let pid = program.0.id().to_string();
    let sent = Command::new("kill").args([name, &pid]).status();
    assert!(sent.expect("kill runs").success());
}

/// Runs that an endpoint began.
fn runs(endpoint: SocketAddr) -> usize {
    let ledger = http(endpoint, "GET", "/ledger", &[], "");
    ledger.map_or(0, |answer| answer.body.matches("\"request\":").count())
}

/// The control instance is lost, and an entry restarts while it is away. A user would notice that
/// the restarted entry refuses every request, or serves by settings that were replaced.
#[test]
fn an_entry_that_restarts_without_control_reads_from_its_peer() {
    let system = System::new("restart");
    let control = system.start_control();
    let _first = system.start_entry(0, &[]);
    let second = system.start_entry(1, &[]);
    system.apply_settings();
    wait_until("both are ready", || system.is_ready(0) && system.is_ready(1));
    drop(second);
    drop(control);
    let _second = system.start_entry(1, &[]);
    wait_until("it is ready by its peer's settings", || system.is_ready(1));
    let unknown = system.ask(1).expect("an answer");
    assert_eq!(unknown.status, 503, "the key is known, and there is no endpoint: {unknown:?}");
}

/// All instances of a cut-off domain restart. A user would notice that none of them serves, though
/// one has a disk.
#[test]
fn an_entry_with_a_disk_restarts_by_its_own_copy() {
    let system = System::new("copy");
    let data = system.folder.file("entry-data");
    let control = system.start_control();
    let entry = system.start_entry(0, &["--data", &data]);
    system.apply_settings();
    wait_until("it is ready", || system.is_ready(0));
    drop(control);
    drop(entry);
    let _with_disk = system.start_entry(0, &["--data", &data]);
    wait_until("it is ready by its own copy", || system.is_ready(0));
    let _without = system.start_entry(1, &[]);
    wait_until("its peer reads from it", || system.is_ready(1));
}

/// The platform takes an endpoint back, and its notice reaches one entry only. A user would notice
/// that the other entry still sends requests there.
#[test]
fn a_leaving_endpoint_gets_nothing_new_from_any_entry() {
    let system = System::new("leaving");
    let addresses = free_addresses(2);
    let _control = system.start_control();
    let _entries = [system.start_entry(0, &[]), system.start_entry(1, &[])];
    system.apply_settings();
    let _leaves = system.start_endpoint("m1", addresses[0], "join-token");
    wait_until("both entries use it", || system.is_served(0) && system.is_served(1));
    let _stays = system.start_endpoint("m2", addresses[1], "join-token");
    let notice = http(
        addresses[0],
        "POST",
        "/reclaim",
        &["content-type: application/json"],
        r#"{"in_ms":600000}"#,
    );
    assert_eq!(notice.expect("an answer").status, 200);
    let knows = |n: usize| {
        let log = std::fs::read_to_string(system.folder.file(&format!("e{n}.log")));
        log.unwrap_or_default().contains("event=endpoint_leaving name=m1")
    };
    wait_until("both entries know", || knows(0) && knows(1));
    let metrics = |n: usize| http(system.callers[n], "GET", "/metrics", &[], "").map(|a| a.body);
    wait_until("both entries count it", || {
        let shown = |n| metrics(n).is_some_and(|m| m.contains("sill_member_endpoints_leaving 1"));
        shown(0) && shown(1)
    });
    wait_until("both entries use the other one", || system.is_served(0) && system.is_served(1));
    let before = runs(addresses[0]);
    assert!(before > 0, "it got requests before");
    for n in [0, 1, 0, 1, 0, 1, 0, 1] {
        assert!(system.is_served(n));
    }
    assert_eq!(runs(addresses[0]), before, "the leaving endpoint got a request");
}

/// An entry is stopped for seconds, as when its machine is moved, and an endpoint leaves meanwhile.
/// A user would notice requests that the entry sends there when it goes on.
#[test]
fn a_frozen_entry_comes_back_without_using_what_it_knew() {
    let system = System::new("frozen");
    let addresses = free_addresses(2);
    let _control = system.start_control();
    let _first = system.start_entry(0, &[]);
    let second = system.start_entry(1, &[]);
    system.apply_settings();
    let _leaves = system.start_endpoint("m1", addresses[0], "join-token");
    wait_until("both entries use it", || system.is_served(0) && system.is_served(1));
    signal(&second, "-STOP");
    let body = r#"{"in_ms":600000}"#;
    http(addresses[0], "POST", "/reclaim", &["content-type: application/json"], body);
    let log = system.folder.file("e0.log");
    wait_until("the other entry knows", || {
        std::fs::read_to_string(&log).unwrap_or_default().contains("event=endpoint_leaving")
    });
    // Long enough to be noticed as a freeze; nothing is measured.
    std::thread::sleep(std::time::Duration::from_millis(2500));
    let before = runs(addresses[0]);
    assert!(before > 0, "it got requests before");
    signal(&second, "-CONT");
    for _ in 0..20 {
        let answer = system.ask(1).expect("an answer");
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(runs(addresses[0]), before, "the leaving endpoint got a request");
    let _stays = system.start_endpoint("m2", addresses[1], "join-token");
    wait_until("the frozen one serves again", || system.is_served(1));
}

/// Someone without the join token announces an endpoint. A user would notice that prompts go to a
/// stranger.
#[test]
fn an_endpoint_with_a_wrong_token_is_refused() {
    let system = System::new("token");
    let address = free_addresses(1)[0];
    let _control = system.start_control();
    let _entry = system.start_entry(0, &[]);
    system.apply_settings();
    wait_until("it is ready", || system.is_ready(0));
    let _stranger = system.start_endpoint("m1", address, "root-token");
    let log = system.folder.file("e0.log");
    wait_until("the announcement is refused", || {
        std::fs::read_to_string(&log).unwrap_or_default().contains("event=announcement_refused")
    });
    for (path, body) in [("/announce", "{}"), ("/events", "{}")] {
        let headers = ["authorization: Bearer wrong", "content-type: application/json"];
        let answer = http(system.callers[0], "POST", path, &headers, body).expect("an answer");
        assert_eq!(answer.status, 401, "{path}: {answer:?}");
    }
    assert_eq!(system.ask(0).expect("an answer").status, 503);
    assert_eq!(runs(address), 0);
}
