//! Rate limits of client accounts across two failure domains.

use std::net::SocketAddr;

use crate::harness::{
    CALLER_KEY, Folder, Program, call, free_addresses, hash_key, http, run_sill, wait_until,
};

const BODY: &str =
    r#"{"model":"desk-7b","max_tokens":1,"messages":[{"role":"user","content":"hi"}]}"#;

/// The account's rate limit in requests per second.
const LIMIT: usize = 40;

/// A control instance, and an entry instance and an endpoint in each of two failure domains.
struct System {
    folder: Folder,
    /// Addresses of the control instance (operators, peers), the entry instances (callers at 2 and
    /// 3, peers at 4 and 5) and the endpoints.
    addresses: Vec<SocketAddr>,
}

impl System {
    fn address(&self, n: usize) -> String {
        self.addresses[n].to_string()
    }

    fn start_control(&self) -> Program {
        let voter = format!("c1@a@{}", self.address(1));
        let (data, key) = (self.folder.file("data"), self.folder.file("cluster-key"));
        let (token, listen, peer) =
            (self.folder.file("root-token"), self.address(0), self.address(1));
        let args = ["control", "--name", "c1", "--domain", "a", "--listen", &listen];
        let extra_args = ["--listen-peer", &peer, "--voter", &voter, "--data", &data];
        let keys = ["--cluster-key-file", &key, "--root-token-file", &token];
        self.folder.start("control.log", &[&args[..], &extra_args[..], &keys[..]].concat())
    }

    fn start_entry(&self, n: usize) -> Program {
        let (name, domain) = (format!("e{n}"), ["a", "b"][n]);
        let (listen, own, other) = (self.address(2 + n), self.address(4 + n), self.address(5 - n));
        let control = self.address(1);
        let (key, join) = (self.folder.file("cluster-key"), self.folder.file("join-token"));
        let args = ["entry", "--name", &name, "--domain", domain, "--listen", &listen];
        let peers = ["--listen-peer", &own, "--peer", &other, "--control", &control];
        let keys = ["--cluster-key-file", &key, "--join-token-file", &join];
        self.folder.start(&format!("{name}.log"), &[&args[..], &peers[..], &keys[..]].concat())
    }

    fn start_endpoint(&self, n: usize) -> Program {
        let (name, domain) = (format!("lm{n}"), ["a", "b"][n]);
        let (listen, entry, token) =
            (self.address(6 + n), self.address(2 + n), self.folder.file("join-token"));
        let args = ["standin", "endpoint", "--name", &name, "--domain", domain];
        let extra_args = ["--listen", &listen, "--entry", &entry, "--join-token-file", &token];
        let speed_args = ["--decode-ms", "1", "--slots", "64"];
        self.folder
            .start(&format!("{name}.log"), &[&args[..], &extra_args[..], &speed_args[..]].concat())
    }

    fn apply_settings(&self) {
        let key = hash_key(CALLER_KEY);
        let document = format!(
            r#"{{"services":{{"desk-7b":{{"kind":"model"}}}},"accounts":{{"clerks":{{"keys":["{key}"],"limit":{{"requests_per_s":{LIMIT}}}}}}}}}"#
        );
        let file = self.folder.write("ga.json", &document);
        let (control, token) = (self.address(0), self.folder.file("root-token"));
        let args = ["apply", "--control", &control, "--token-file", &token, "ga", &file];
        wait_until("the change is accepted", || run_sill(&args, "").status.success());
    }

    fn status(&self, n: usize) -> u16 {
        call(self.addresses[2 + n], "/v1/chat/completions", &[], BODY).map_or(0, |a| a.status)
    }
}

/// A load balancer sends all callers of an account to the same entry instance. With a fixed split
/// of the limit they would get half of it there, and nearly nothing right after a start. The entry
/// instances exchange their demand, so that the callers get the whole limit, and are refused beyond
/// it.
#[test]
fn the_whole_limit_is_available_where_the_callers_are() {
    let system = System { folder: Folder::new("limits"), addresses: free_addresses(8) };
    let _programs = [
        system.start_control(),
        system.start_entry(0),
        system.start_entry(1),
        system.start_endpoint(0),
        system.start_endpoint(1),
    ];
    system.apply_settings();
    for n in 0..2 {
        let ready = || http(system.addresses[2 + n], "GET", "/readyz", &[], "");
        wait_until("the entry is ready", || ready().is_some_and(|a| a.status == 200));
    }
    let mut served = 0;
    let mut refused = 0;
    wait_until("one entry has served 5 s of the limit", || {
        match system.status(0) {
            200 => served += 1,
            429 => refused += 1,
            _ => {}
        }
        served >= 5 * LIMIT
    });
    assert!(refused > 0, "no request was refused beyond the limit of {LIMIT} per second");
}
