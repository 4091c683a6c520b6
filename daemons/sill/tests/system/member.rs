//! Membership and settings of entry instances: restarts and freezes, wrong tokens, and a control
//! instance that has been killed.

use std::net::SocketAddr;

use crate::harness::{
    Answer, CALLER_KEY, Folder, Program, call, free_addresses, hash_key, http, run_sill, wait_until,
};

const BODY: &str =
    r#"{"model":"desk-7b","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}"#;

/// The addresses of a control instance and two entry instances in one failure domain, and their
/// files.
struct System {
    folder: Folder,
    /// Where the control instance serves operators.
    operator_address: SocketAddr,
    /// Where the control instance serves its peers and the entry instances.
    control_address: SocketAddr,
    /// Where the entry instances serve callers.
    entry_addresses: [SocketAddr; 2],
    /// Where the entry instances serve each other.
    peer_addresses: [SocketAddr; 2],
}

impl System {
    fn new(test: &str) -> Self {
        let free = free_addresses(6);
        let [operator_address, control_address, a, b, peer_a, peer_b] = free[..] else {
            unreachable!()
        };
        Self {
            folder: Folder::new(test),
            operator_address,
            control_address,
            entry_addresses: [a, b],
            peer_addresses: [peer_a, peer_b],
        }
    }

    fn start_control(&self) -> Program {
        let (listen, peer) = (self.operator_address.to_string(), self.control_address.to_string());
        let voter = format!("c1@a@{peer}");
        let (data, cluster_key) = (self.folder.file("data"), self.folder.file("cluster-key"));
        let token = self.folder.file("root-token");
        let args = ["control", "--name", "c1", "--domain", "a", "--listen", &listen];
        let extra_args = ["--listen-peer", &peer, "--voter", &voter, "--data", &data];
        let keys = ["--cluster-key-file", &cluster_key, "--root-token-file", &token];
        self.folder.start("control.log", &[&args[..], &extra_args[..], &keys[..]].concat())
    }

    fn start_entry(&self, n: usize, extra_args: &[&str]) -> Program {
        let (name, listen) = (format!("e{n}"), self.entry_addresses[n].to_string());
        let (own, other) =
            (self.peer_addresses[n].to_string(), self.peer_addresses[1 - n].to_string());
        let control = self.control_address.to_string();
        let (cluster_key, join) = (self.folder.file("cluster-key"), self.folder.file("join-token"));
        let args = ["entry", "--name", &name, "--domain", "a", "--listen", &listen];
        let peers = ["--listen-peer", &own, "--peer", &other, "--control", &control];
        let keys = ["--cluster-key-file", &cluster_key, "--join-token-file", &join];
        let log = format!("{name}.log");
        self.folder.start(&log, &[&args[..], &peers[..], &keys[..], extra_args].concat())
    }

    fn start_endpoint(&self, name: &str, listen: SocketAddr, token: &str) -> Program {
        let (listen, token) = (listen.to_string(), self.folder.file(token));
        let entry = self.entry_addresses[0].to_string();
        let args = ["standin", "endpoint", "--name", name, "--domain", "a", "--listen", &listen];
        let extra_args = ["--entry", &entry, "--join-token-file", &token, "--decode-ms", "1"];
        self.folder.start(&format!("{name}.log"), &[&args[..], &extra_args[..]].concat())
    }

    fn apply(&self, path: &str, document: &str) {
        let file = self.folder.write(&format!("{path}.json"), document);
        let (control, token) = (self.operator_address.to_string(), self.folder.file("root-token"));
        let args = ["apply", "--control", &control, "--token-file", &token, path, &file];
        wait_until("the change is accepted", || run_sill(&args, "").status.success());
    }

    fn apply_settings(&self) {
        let key = hash_key(CALLER_KEY);
        let document = format!(
            r#"{{"services":{{"desk-7b":{{"kind":"model"}}}},"accounts":{{"clerks":{{"keys":["{key}"]}}}}}}"#
        );
        self.apply("ga", &document);
    }

    fn is_ready(&self, n: usize) -> bool {
        http(self.entry_addresses[n], "GET", "/readyz", &[], "").is_some_and(|a| a.status == 200)
    }

    fn send_request(&self, n: usize) -> Option<Answer> {
        call(self.entry_addresses[n], "/v1/chat/completions", &[], BODY)
    }

    fn is_served(&self, n: usize) -> bool {
        self.send_request(n).is_some_and(|a| a.status == 200)
    }
}

/// Returns the number of runs in an endpoint's ledger, or 0 if it doesn't answer.
fn run_count(endpoint: SocketAddr) -> usize {
    let ledger = http(endpoint, "GET", "/ledger", &[], "");
    ledger.map_or(0, |answer| answer.body.matches("\"request\":").count())
}

/// The control instance is killed, and an entry instance restarts without it. If it can't read the
/// settings from its peer, it never becomes ready and refuses every request; if the peer's are
/// outdated, it serves with settings that have been replaced.
#[test]
fn an_entry_that_restarts_without_control_reads_its_peers_settings() {
    let system = System::new("restart");
    let control = system.start_control();
    let _first = system.start_entry(0, &[]);
    let second = system.start_entry(1, &[]);
    system.apply_settings();
    wait_until("both entries are ready", || system.is_ready(0) && system.is_ready(1));
    drop(second);
    drop(control);
    let _second = system.start_entry(1, &[]);
    wait_until("the restarted entry is ready with its peer's settings", || system.is_ready(1));
    let answer = system.send_request(1).expect("an answer");
    assert_eq!(answer.status, 503, "expected a known key and no endpoint: {answer:?}");
}

/// All entry instances of a failure domain restart without a control instance, and one has a disk.
/// If it does not read its own copy of the settings and pass it on to its peer, none of them
/// serves.
#[test]
fn an_entry_with_a_disk_restarts_with_its_settings_copy() {
    let system = System::new("copy");
    let data = system.folder.file("entry-data");
    let control = system.start_control();
    let entry = system.start_entry(0, &["--data", &data]);
    system.apply_settings();
    wait_until("the entry is ready", || system.is_ready(0));
    drop(control);
    drop(entry);
    let _with_disk = system.start_entry(0, &["--data", &data]);
    wait_until("the entry is ready with its own settings copy", || system.is_ready(0));
    let _peer = system.start_entry(1, &[]);
    wait_until("its peer is ready with the settings of the first entry", || system.is_ready(1));
}

/// The platform reclaims an endpoint, whose notice reaches one entry instance only. If that one
/// does not pass it on, the other one still sends requests to the endpoint, and they fail when it
/// exits.
#[test]
fn a_leaving_endpoint_gets_no_new_requests_from_any_entry() {
    let system = System::new("leaving");
    let addresses = free_addresses(2);
    let _control = system.start_control();
    let _entries = [system.start_entry(0, &[]), system.start_entry(1, &[])];
    system.apply_settings();
    let _leaving = system.start_endpoint("m1", addresses[0], "join-token");
    wait_until("both entries use the endpoint", || system.is_served(0) && system.is_served(1));
    let _staying = system.start_endpoint("m2", addresses[1], "join-token");
    let notice = http(
        addresses[0],
        "POST",
        "/reclaim",
        &["content-type: application/json"],
        r#"{"in_ms":600000}"#,
    );
    assert_eq!(notice.expect("an answer").status, 200);
    let has_logged_it = |n: usize| {
        let log = std::fs::read_to_string(system.folder.file(&format!("e{n}.log")));
        log.unwrap_or_default().contains("event=endpoint_leaving name=m1")
    };
    wait_until("both entries have logged that the endpoint is leaving", || {
        has_logged_it(0) && has_logged_it(1)
    });
    let metrics =
        |n: usize| http(system.entry_addresses[n], "GET", "/metrics", &[], "").map(|a| a.body);
    wait_until("both entries count one leaving endpoint", || {
        let counts_it =
            |n| metrics(n).is_some_and(|m| m.contains("sill_member_endpoints_leaving 1"));
        counts_it(0) && counts_it(1)
    });
    wait_until("both entries use the other endpoint", || {
        system.is_served(0) && system.is_served(1)
    });
    let before = run_count(addresses[0]);
    assert!(before > 0, "the leaving endpoint got no request before its notice");
    for n in [0, 1, 0, 1, 0, 1, 0, 1] {
        assert!(system.is_served(n));
    }
    assert_eq!(run_count(addresses[0]), before, "the leaving endpoint got a new request");
}

/// An entry instance is frozen for seconds, as when its machine is migrated, and an endpoint starts
/// to leave meanwhile. If the resumed entry trusts its old view, it sends requests to that
/// endpoint.
#[test]
fn a_resumed_entry_does_not_use_its_outdated_view_of_endpoints() {
    let system = System::new("frozen");
    let addresses = free_addresses(2);
    let _control = system.start_control();
    let _first = system.start_entry(0, &[]);
    let second = system.start_entry(1, &[]);
    system.apply_settings();
    let _leaving = system.start_endpoint("m1", addresses[0], "join-token");
    wait_until("both entries use the endpoint", || system.is_served(0) && system.is_served(1));
    second.signal("-STOP");
    let body = r#"{"in_ms":600000}"#;
    http(addresses[0], "POST", "/reclaim", &["content-type: application/json"], body);
    let log = system.folder.file("e0.log");
    wait_until("the other entry has logged that the endpoint is leaving", || {
        std::fs::read_to_string(&log).unwrap_or_default().contains("event=endpoint_leaving")
    });
    // Long enough for the entry to detect the freeze; no test measures speed with it.
    std::thread::sleep(std::time::Duration::from_millis(2500));
    let before = run_count(addresses[0]);
    assert!(before > 0, "the leaving endpoint got no request before its notice");
    second.signal("-CONT");
    for _ in 0..20 {
        let answer = system.send_request(1).expect("an answer");
        assert_eq!(answer.status, 503, "{answer:?}");
    }
    assert_eq!(run_count(addresses[0]), before, "the leaving endpoint got a new request");
    let _staying = system.start_endpoint("m2", addresses[1], "join-token");
    wait_until("the resumed entry serves again", || system.is_served(1));
}

/// An endpoint announces itself without the right join token. If it is admitted, it receives the
/// prompts of callers.
#[test]
fn an_endpoint_with_a_wrong_token_is_refused() {
    let system = System::new("token");
    let address = free_addresses(1)[0];
    let _control = system.start_control();
    let _entry = system.start_entry(0, &[]);
    system.apply_settings();
    wait_until("the entry is ready", || system.is_ready(0));
    let _endpoint = system.start_endpoint("m1", address, "root-token");
    let log = system.folder.file("e0.log");
    wait_until("the announcement is refused", || {
        std::fs::read_to_string(&log).unwrap_or_default().contains("event=announcement_refused")
    });
    for (path, body) in [("/announce", "{}"), ("/events", "{}")] {
        let headers = ["authorization: Bearer wrong", "content-type: application/json"];
        let answer =
            http(system.entry_addresses[0], "POST", path, &headers, body).expect("an answer");
        assert_eq!(answer.status, 401, "{path}: {answer:?}");
    }
    assert_eq!(system.send_request(0).expect("an answer").status, 503);
    assert_eq!(run_count(address), 0);
}
