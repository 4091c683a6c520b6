//! Limits of client accounts with real processes in two failure domains.

use std::net::SocketAddr;

use crate::harness::{
    CALLER_KEY, Folder, Program, call, free_addresses, hash, http, sill, wait_until,
};

const BODY: &str =
    r#"{"model":"desk-7b","max_tokens":1,"messages":[{"role":"user","content":"hi"}]}"#;

/// Requests a second that the account may send.
const LIMIT: usize = 40;

struct System {
    folder: Folder,
    free: Vec<SocketAddr>,
}

impl System {
    fn at(&self, n: usize) -> String {
        self.free[n].to_string()
    }

    fn start_control(&self) -> Program {
        let voter = format!("c1@a@{}", self.at(1));
        let (data, key) = (self.folder.file("data"), self.folder.file("cluster-key"));
        let (token, listen, peer) = (self.folder.file("root-token"), self.at(0), self.at(1));
        let words = ["control", "--name", "c1", "--domain", "a", "--listen", &listen];
        let more = ["--listen-peer", &peer, "--voter", &voter, "--data", &data];
        let keys = ["--cluster-key-file", &key, "--root-token-file", &token];
        self.folder.start("control.log", &[&words[..], &more[..], &keys[..]].concat())
    }

    fn start_entry(&self, n: usize) -> Program {
        let (name, domain) = (format!("e{n}"), ["a", "b"][n]);
        let (listen, own, other) = (self.at(2 + n), self.at(4 + n), self.at(5 - n));
        let control = self.at(1);
        let (key, join) = (self.folder.file("cluster-key"), self.folder.file("join-token"));
        let words = ["entry", "--name", &name, "--domain", domain, "--listen", &listen];
        let peers = ["--listen-peer", &own, "--peer", &other, "--control", &control];
        let keys = ["--cluster-key-file", &key, "--join-token-file", &join];
        self.folder.start(&format!("{name}.log"), &[&words[..], &peers[..], &keys[..]].concat())
    }

    fn start_endpoint(&self, n: usize) -> Program {
        let (name, domain) = (format!("lm{n}"), ["a", "b"][n]);
        let (listen, entry, token) =
            (self.at(6 + n), self.at(2 + n), self.folder.file("join-token"));
        let words = ["standin", "endpoint", "--name", &name, "--domain", domain];
        let more = ["--listen", &listen, "--entry", &entry, "--join-token-file", &token];
        let fast = ["--decode-ms", "1", "--slots", "64"];
        self.folder.start(&format!("{name}.log"), &[&words[..], &more[..], &fast[..]].concat())
    }

    fn apply_settings(&self) {
        let key = hash(CALLER_KEY);
        let document = format!(
            r#"{{"services":{{"desk-7b":{{"kind":"model"}}}},"accounts":{{"clerks":{{"keys":["{key}"],"limit":{{"requests_per_s":{LIMIT}}}}}}}}}"#
        );
        let file = self.folder.write("ga.json", &document);
        let (control, token) = (self.at(0), self.folder.file("root-token"));
        let words = ["apply", "--control", &control, "--token-file", &token, "ga", &file];
        wait_until("the change is accepted", || sill(&words, "").status.success());
    }

    fn status(&self, n: usize) -> u16 {
        call(self.free[2 + n], "/v1/chat/completions", &[], BODY).map_or(0, |a| a.status)
    }
}

/// All callers of an account come to the same entry instance, as a balancer may send them. With a
/// fixed split they would get half of their limit there, and nearly nothing right after a start;
/// they get the whole by what the two tell each other, and are refused beyond it.
#[test]
fn the_whole_limit_goes_where_the_callers_are() {
    let system = System { folder: Folder::new("limits"), free: free_addresses(8) };
    let _programs = [
        system.start_control(),
        system.start_entry(0),
        system.start_entry(1),
        system.start_endpoint(0),
        system.start_endpoint(1),
    ];
    system.apply_settings();
    for n in 0..2 {
        let ready = || http(system.free[2 + n], "GET", "/readyz", &[], "");
        wait_until("the entry is ready", || ready().is_some_and(|a| a.status == 200));
    }
    let mut served = 0;
    let mut refused = 0;
    wait_until("five seconds' worth of the limit is served by one entry", || {
        match system.status(0) {
            200 => served += 1,
            429 => refused += 1,
            _ => {}
        }
        served >= 5 * LIMIT
    });
    assert!(refused > 0, "callers that ask without pause are refused beyond the limit");
}
