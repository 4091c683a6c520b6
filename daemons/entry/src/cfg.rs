//! Process settings of an entry instance, from flags and variables.

use std::net::SocketAddr;
use std::path::PathBuf;

use sill_base::{Findings, Millis, Name, Secret};
use sill_setup::{Flag, Program, Values};

/// Command line of `sill-entry`.
pub const ENTRY: Program = Program {
    name: "sill-entry",
    about: "an entry instance: accepts callers' requests and gives each exactly one answer",
    operands: "",
    flags: &[
        Flag::one("name", "NAME", "name of this instance"),
        Flag::one("domain", "NAME", "its failure domain"),
        Flag::one("listen", "IP:PORT", "address for callers and endpoints"),
        Flag::one("listen-peer", "IP:PORT", "address for our own processes"),
        Flag::many("control", "IP:PORT", "control instance, by its peer address"),
        Flag::many("peer", "IP:PORT", "another entry instance, by its peer address"),
        Flag::one("data", "DIR", "data folder, on instances with a disk"),
        Flag::one("cluster-key-file", "FILE", "file with the key our own processes share"),
        Flag::one("join-token-file", "FILE", "file with the token endpoints join with"),
        Flag::with_default("workers", "N", "2", "worker threads that serve callers"),
        Flag::with_default("max-body", "BYTES", "4194304", "largest accepted request body"),
        Flag::with_default("max-in-flight", "N", "20000", "most requests in flight"),
        Flag::with_default("drain-notice-ms", "N", "3000", "time between readyz 503 and the close"),
        Flag::with_default("drain-limit-ms", "N", "600000", "longest wait for requests in flight"),
        Flag::one("record", "FILE", "record the inputs and choices of router N in FILE.N"),
        Flag::with_default("log-level", "LEVEL", "info", "error, warn, info, debug or trace"),
    ],
};

/// Validated process settings of an entry instance.
#[derive(Debug, Clone)]
pub struct EntryCfg {
    /// Name of the instance, which is also part of its request ids.
    pub name: Name,
    /// Failure domain of the instance.
    pub domain: Name,
    /// Address at which callers and endpoints reach it.
    pub listen: SocketAddr,
    /// Address at which our own processes reach it.
    pub listen_peer: SocketAddr,
    /// Control instances, by their peer address.
    pub control: Vec<SocketAddr>,
    /// Other entry instances, by their peer address.
    pub peers: Vec<SocketAddr>,
    /// Data folder for the local copy of the settings, on instances with a disk.
    pub data: Option<PathBuf>,
    /// Path prefix of the record files of the routers, if inputs and choices are recorded.
    pub record: Option<PathBuf>,
    /// Key shared by our own processes, which authenticates their calls.
    pub cluster_key: Secret,
    /// Token with which endpoints authenticate their announcements.
    pub join_token: Secret,
    /// Worker threads that serve callers.
    pub workers: usize,
    /// Largest accepted request body, in bytes.
    pub max_body: usize,
    /// Most requests in flight; more are refused.
    pub max_in_flight: usize,
    /// Time between reporting not ready and closing the listener, on a planned stop.
    pub drain_notice: Millis,
    /// Longest wait for requests in flight on a planned stop.
    pub drain_limit: Millis,
}

impl EntryCfg {
    /// Reads and validates flags and variables.
    ///
    /// # Errors
    ///
    /// Returns every invalid or missing value with its flag and variable.
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
