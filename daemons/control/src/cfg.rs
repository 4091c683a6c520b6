//! Flags and settings of a control instance.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use sill_base::{Findings, Millis, Name, Secret};
use sill_rollout::RolloutBounds;
use sill_setup::{Flag, Program, Values, rollout_flags};

/// Default interval between heartbeats of an endpoint.
const ENDPOINT_HEARTBEAT: Millis = Millis(1000);

/// The program `sill-control` with its flags.
pub const CONTROL: Program = Program {
    name: "sill-control",
    about: "a control instance: keeps settings, claims and the audit trail",
    operands: "",
    flags: &[
        Flag::one("name", "NAME", "name of this instance"),
        Flag::one("domain", "NAME", "its failure domain"),
        Flag::one("listen", "IP:PORT", "address of the API for operators and endpoints"),
        Flag::one("listen-peer", "IP:PORT", "address for calls of peers and entry instances"),
        Flag::many("voter", "NAME@DOMAIN@IP:PORT", "a voter and its address for peers"),
        Flag::many("seed", "IP:PORT", "peer address of a control instance; in place of voters"),
        Flag::switch("found", "bootstrap the log with the other seeds if none of them has one"),
        Flag::with_default("voters", "N", "3", "number of voters, with seeds"),
        Flag::one("data", "DIR", "data folder"),
        Flag::one("cluster-key-file", "FILE", "file with the key our own processes share"),
        Flag::one("root-token-file", "FILE", "file with the token that owns the whole tree"),
        Flag::one("join-token-file", "FILE", "file with the token of endpoints of routes, if any"),
        rollout_flags::SHARE,
        rollout_flags::SLACK,
        rollout_flags::ROLLBACK,
        Flag::with_default("log-level", "LEVEL", "info", "error, warn, info, debug or trace"),
    ],
};

/// Checked settings of a control instance.
#[derive(Debug, Clone)]
pub struct ControlCfg {
    /// Name of this instance, unique among control instances.
    pub name: Name,
    /// Failure domain of this instance.
    pub domain: Name,
    /// Address of the HTTP API for operators and endpoints.
    pub listen: SocketAddr,
    /// Further address that serves only metrics, if any.
    pub listen_metrics: Option<SocketAddr>,
    /// Address for calls of peers and entry instances.
    pub listen_peer: SocketAddr,
    /// All voters, this instance included; empty if seeds are set.
    pub voters: Vec<Voter>,
    /// How the other control instances are found if the voters are not listed.
    pub seeds: Option<Seeds>,
    /// Timeouts and limits of the replicated log.
    pub quorum: sill_quorum::Cfg,
    /// Interval at which endpoints send heartbeats to this instance.
    pub endpoint_heartbeat: Millis,
    /// Folder of the log and its snapshots.
    pub data: PathBuf,
    /// The key that authenticates calls between our own processes.
    pub cluster_key: Secret,
    /// The token of the operator who owns the whole tree.
    pub root_token: Secret,
    /// The token with which endpoints announce themselves; if unset, all announcements are
    /// rejected.
    pub join_token: Option<Secret>,
    /// Bounds on roll-outs of software versions; none if this deployment has no roll-outs.
    pub rollouts: Option<RolloutBounds>,
}

/// Addresses by which control instances discover each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seeds {
    /// Peer addresses of some control instances; the same on all of them at the first start.
    pub peers: Vec<SocketAddr>,
    /// Whether the seeds may bootstrap a new log, as at the first start of the whole system.
    pub may_bootstrap: bool,
    /// Target number of voters. Further control instances stand by as learners: with three voters
    /// and one standby, a network partition into halves leaves a quorum on one side, which four
    /// voters would not.
    pub voters: usize,
}

/// A voter of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Voter {
    /// Name of the control instance.
    pub name: Name,
    /// Failure domain of the control instance.
    pub domain: Name,
    /// Address for calls of its peers.
    pub address: SocketAddr,
}

/// The error for a malformed `--voter` flag.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidVoter;

impl Display for InvalidVoter {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("expected NAME@DOMAIN@IP:PORT")
    }
}

impl Error for InvalidVoter {}

impl FromStr for Voter {
    type Err = InvalidVoter;

    fn from_str(text: &str) -> Result<Self, InvalidVoter> {
        let mut parts = text.splitn(3, '@');
        let name = parts.next().filter(|n| Name::is_well_formed(n)).ok_or(InvalidVoter)?;
        let domain = parts.next().filter(|n| Name::is_well_formed(n)).ok_or(InvalidVoter)?;
        let address = parts.next().and_then(|a| a.parse().ok()).ok_or(InvalidVoter)?;
        Ok(Self { name: name.into(), domain: domain.into(), address })
    }
}

impl ControlCfg {
    /// Reads and checks flags and environment variables.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its flag and variable.
    pub fn read(values: &mut Values) -> Result<Self, Findings> {
        let name = values.name("name");
        let domain = values.name("domain");
        let listen = values.required("listen");
        let listen_peer = values.required("listen-peer");
        let voters: Vec<Voter> = values.many("voter");
        let peers: Vec<SocketAddr> = values.many("seed");
        let may_bootstrap = values.switch("found");
        let voter_count = values.required("voters");
        let data: Option<PathBuf> = values.required("data");
        let cluster_key = values.secret("cluster-key-file");
        let root_token = values.secret("root-token-file");
        let join_token = values.optional_secret("join-token-file");
        let rollouts = rollout_flags::read(values);
        if voters.is_empty() == peers.is_empty() {
            values.add_finding("voter", "expected at least one voter, or else at least one seed");
        }
        values.finish()?;
        let reason = "required flags are present after `finish` succeeded";
        Ok(Self {
            name: name.expect(reason),
            domain: domain.expect(reason),
            listen: listen.expect(reason),
            listen_metrics: None,
            listen_peer: listen_peer.expect(reason),
            voters,
            seeds: (!peers.is_empty()).then(|| Seeds {
                peers,
                may_bootstrap,
                voters: voter_count.expect(reason),
            }),
            quorum: sill_quorum::Cfg::default(),
            endpoint_heartbeat: ENDPOINT_HEARTBEAT,
            data: data.expect(reason),
            cluster_key: cluster_key.expect(reason),
            root_token: root_token.expect(reason),
            join_token,
            rollouts,
        })
    }
}
