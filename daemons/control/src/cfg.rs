//! Settings of a control instance.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use sill_base::{Findings, Millis, Name, Secret};
use sill_setup::{Flag, Program, Values};

/// How often endpoints make themselves heard where nothing else is said.
const ENDPOINT_HEARTBEAT: Millis = Millis(1000);

/// `sill-control`.
pub const CONTROL: Program = Program {
    name: "sill-control",
    about: "a control instance: keeps settings, claims and the audit trail",
    operands: "",
    flags: &[
        Flag::one("name", "NAME", "name of this instance"),
        Flag::one("domain", "NAME", "its failure domain"),
        Flag::one("listen", "IP:PORT", "where operators reach it"),
        Flag::one("listen-peer", "IP:PORT", "where our own processes reach it"),
        Flag::many("voter", "NAME@DOMAIN@IP:PORT", "a voter and where its peers reach it"),
        Flag::many(
            "seed",
            "IP:PORT",
            "where a control instance is reached by its peers; in place of voters",
        ),
        Flag::switch("found", "start the log with the other seeds if none of them has one"),
        Flag::with_default("voters", "N", "3", "voters that are wanted, with seeds"),
        Flag::one("data", "DIR", "data folder"),
        Flag::one("cluster-key-file", "FILE", "file with the key our own processes share"),
        Flag::one("root-token-file", "FILE", "file with the token that owns the whole tree"),
        Flag::one("join-token-file", "FILE", "file with the token of endpoints of routes, if any"),
        Flag::with_default("log-level", "LEVEL", "info", "error, warn, info, debug or trace"),
    ],
};

/// Checked settings of a control instance.
#[derive(Debug, Clone)]
pub struct ControlCfg {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where operators reach it.
    pub listen: SocketAddr,
    /// Where metrics are served, beside the operators' address.
    pub listen_metrics: Option<SocketAddr>,
    /// Where our own processes reach it.
    pub listen_peer: SocketAddr,
    /// All voters, itself included; empty with seeds.
    pub voters: Vec<Voter>,
    /// How the others are found, where the voters are not named.
    pub seeds: Option<Seeds>,
    /// Time spans of the replicated log.
    pub spans: sill_quorum::Cfg,
    /// How often endpoints make themselves heard here.
    pub endpoint_heartbeat: Millis,
    /// The data folder.
    pub data: PathBuf,
    /// The key that our own processes share.
    pub cluster_key: Secret,
    /// The token that owns the whole tree.
    pub root_token: Secret,
    /// The token with which endpoints of routes announce themselves; none may without it.
    pub join_token: Option<Secret>,
}

/// A few addresses by which control instances find each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seeds {
    /// Where peers reach some control instances; the same everywhere at the first start.
    pub peers: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, so that the seeds start the log.
    pub may_found: bool,
    /// Voters that are wanted. More control instances than these stand by as learners: with three
    /// voters and one that stands by, a cut into halves leaves a quorum on one side, which four
    /// voters would not.
    pub voters: usize,
}

/// A voter of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Voter {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where its peers reach it.
    pub address: SocketAddr,
}

/// A voter flag of the wrong shape.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadVoter;

impl Display for BadVoter {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("expected NAME@DOMAIN@IP:PORT")
    }
}

impl Error for BadVoter {}

impl FromStr for Voter {
    type Err = BadVoter;

    fn from_str(text: &str) -> Result<Self, BadVoter> {
        let mut parts = text.splitn(3, '@');
        let name = parts.next().filter(|n| Name::is_well_formed(n)).ok_or(BadVoter)?;
        let domain = parts.next().filter(|n| Name::is_well_formed(n)).ok_or(BadVoter)?;
        let address = parts.next().and_then(|a| a.parse().ok()).ok_or(BadVoter)?;
        Ok(Self { name: name.into(), domain: domain.into(), address })
    }
}

impl ControlCfg {
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
        let voters: Vec<Voter> = values.many("voter");
        let peers: Vec<SocketAddr> = values.many("seed");
        let may_found = values.switch("found");
        let wanted = values.required("voters");
        let data: Option<PathBuf> = values.required("data");
        let cluster_key = values.secret("cluster-key-file");
        let root_token = values.secret("root-token-file");
        let join_token = values.optional_secret("join-token-file");
        if voters.is_empty() == peers.is_empty() {
            values.add_finding("voter", "expected at least one voter, or else at least one seed");
        }
        values.finish()?;
        let checked = "present once the check succeeded";
        Ok(Self {
            name: name.expect(checked),
            domain: domain.expect(checked),
            listen: listen.expect(checked),
            listen_metrics: None,
            listen_peer: listen_peer.expect(checked),
            voters,
            seeds: (!peers.is_empty()).then(|| Seeds {
                peers,
                may_found,
                voters: wanted.expect(checked),
            }),
            spans: sill_quorum::Cfg::default(),
            endpoint_heartbeat: ENDPOINT_HEARTBEAT,
            data: data.expect(checked),
            cluster_key: cluster_key.expect(checked),
            root_token: root_token.expect(checked),
            join_token,
        })
    }
}
