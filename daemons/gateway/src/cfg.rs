//! Settings of an entry instance for routes.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use sill_base::{Millis, Name, Secret};
use sill_dispatch::{LimitBounds, RetryBounds};
use sill_rollout::RolloutBounds;

use crate::dialect::Dialect;

/// Checked settings of an entry instance. They are fixed for the life of the process, except for
/// the seeds.
#[derive(Debug, Clone)]
pub struct GatewayCfg {
    /// The instance's name.
    pub name: Name,
    /// The instance's failure domain.
    pub domain: Name,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address of the balancer's readiness checks.
    pub listen_ready: SocketAddr,
    /// The path of the readiness checks.
    pub ready_path: Name,
    /// The address at which metrics are served.
    pub listen_metrics: SocketAddr,
    /// The address at which other entry instances ask for tunnels to endpoints.
    pub listen_peer: SocketAddr,
    /// The address from which connections to endpoints are opened; the system's choice if none.
    pub connect_from: Option<IpAddr>,
    /// Peer addresses of control instances that are contacted first.
    pub seeds: Vec<SocketAddr>,
    /// The key shared by all processes of the system.
    pub cluster_key: Secret,
    /// Decodes calls and answers, and writes the headers for endpoints and callers.
    pub dialect: Arc<dyn Dialect>,
    /// How far client accounts may exceed their limits.
    pub limits: LimitBounds,
    /// Bounds on retries.
    pub retries: RetryBounds,
    /// How long a leaving endpoint keeps serving, unless it announces another time.
    pub endpoint_notice: Millis,
    /// Interval at which endpoints announce themselves to control instances.
    pub endpoint_heartbeat: Millis,
    /// The length of a usage window.
    pub usage_window: Millis,
    /// Timing of a planned stop.
    pub stop: StopCfg,
    /// Memory for what can't be passed on yet: incomplete events, answers that are held in a stop, and
    /// bodies of calls, beyond the first 16 KiB of each.
    pub buffer_bytes: usize,
    /// Bounds on roll-outs of software versions; none if this deployment has no roll-outs.
    pub rollouts: Option<RolloutBounds>,
}

/// Timing of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopCfg {
    /// Time for which new connections are still accepted, until the balancer has noticed the stop.
    pub notice: Millis,
    /// Time from the stop signal until running calls are cut. Sending the errors for them takes up
    /// to 0.4 s more.
    pub limit: Millis,
}
