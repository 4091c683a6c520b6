//! Settings of an entry instance.

use std::net::SocketAddr;
use std::path::PathBuf;

use sill_base::{Findings, Millis, Name, Secret};
use sill_setup::{Flag, Program, Values};

/// `sill-entry`.
pub const ENTRY: Program = Program {
    name: "sill-entry",
    about: "an entry instance: takes callers' requests and sees each through to its one answer",
    operands: "",
    flags: &[
        Flag::one("name", "NAME", "name of this instance"),
        Flag::one("domain", "NAME", "its failure domain"),
        Flag::one("listen", "IP:PORT", "where callers and endpoints reach it"),
        Flag::one("listen-peer", "IP:PORT", "where our own processes reach it"),
        Flag::many("control", "IP:PORT", "control instance, by its peer address"),
        Flag::many("peer", "IP:PORT", "another entry instance, by its peer address"),
        Flag::one("data", "DIR", "data folder, on instances with a disk"),
        Flag::one("cluster-key-file", "FILE", "file with the key our own processes share"),
        Flag::one("join-token-file", "FILE", "file with the token endpoints join with"),
        Flag::with_default("workers", "N", "2", "threads that serve callers"),
        Flag::with_default("max-body", "BYTES", "4194304", "largest request body taken"),
        Flag::with_default("max-in-flight", "N", "20000", "requests held at once"),
        Flag::with_default("drain-notice-ms", "N", "3000", "time between readyz 503 and the close"),
        Flag::with_default("drain-limit-ms", "N", "600000", "longest wait for requests in flight"),
        Flag::one("record", "FILE", "write what each router takes in and chooses to FILE.N"),
        Flag::with_default("log-level", "LEVEL", "info", "error, warn, info, debug or trace"),
    ],
};

/// Checked settings of an entry instance.
#[derive(Debug, Clone)]
pub struct EntryCfg {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where callers and endpoints reach it.
    pub listen: SocketAddr,
    /// Where our own processes reach it.
    pub listen_peer: SocketAddr,
    /// Control instances, by their peer address.
    pub control: Vec<SocketAddr>,
    /// Other entry instances, by their peer address.
    pub peers: Vec<SocketAddr>,
    /// The data folder, on instances with a disk.
    pub data: Option<PathBuf>,
    /// Where to write what the routers take in and choose, if anywhere.
    pub record: Option<PathBuf>,
    /// The key that our own processes share.
    pub cluster_key: Secret,
    /// The token that endpoints join with.
    pub join_token: Secret,
    /// Threads that serve callers.
    pub workers: usize,
    /// The largest request body taken, in bytes.
    pub max_body: usize,
    /// Requests held at once.
    pub max_in_flight: usize,
    /// Time between turning not ready and closing the listener.
    pub drain_notice: Millis,
    /// Longest wait for requests in flight on a planned stop.
    pub drain_limit: Millis,
}

impl EntryCfg {
    /// Checks flags and variables.
    ///
    /// # Errors
    ///
    /// Returns every finding with its flag and variable.
    pub fn read(values: &mut Values) -> Result<Self, Findings> {
        let name = values.name("name");
        let domain = values.name("domain");
        let listen = values.required("listen");
        let listen_peer = values.required("listen-peer");
        let control: Vec<SocketAddr> = values.many("control");
        let peers = values.many("peer");
        let data = values.optional("data");
        let record = values.optional("record");
        let cluster_key = values.secret("cluster-key-file");
        let join_token = values.secret("join-token-file");
        let workers = values.required("workers");
        let max_body = values.required("max-body");
        let max_in_flight = values.required("max-in-flight");
        let drain_notice = values.required("drain-notice-ms").map(Millis);
        let drain_limit = values.required("drain-limit-ms").map(Millis);
        if control.is_empty() {
            values.add_finding("control", "expected at least one control instance");
        }
        if workers == Some(0) {
            values.add_finding("workers", "expected at least 1");
        }
        values.finish()?;
        let checked = "present once the check succeeded";
        Ok(Self {
            name: name.expect(checked),
            domain: domain.expect(checked),
            listen: listen.expect(checked),
            listen_peer: listen_peer.expect(checked),
            control,
            peers,
            data,
            record,
            cluster_key: cluster_key.expect(checked),
            join_token: join_token.expect(checked),
            workers: workers.expect(checked),
            max_body: max_body.expect(checked),
            max_in_flight: max_in_flight.expect(checked),
            drain_notice: drain_notice.expect(checked),
            drain_limit: drain_limit.expect(checked),
        })
    }
}
