//! Settings of an entry instance for routes.

use std::net::SocketAddr;
use std::sync::Arc;

use sill_base::{Millis, Name, Secret};
use sill_dispatch::{LimitBounds, RetryBounds};

use crate::dialect::Dialect;

/// Checked settings of an entry instance.
#[derive(Debug, Clone)]
pub struct GatewayCfg {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where callers reach it.
    pub listen: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub listen_ready: SocketAddr,
    /// The path by which it asks.
    pub ready_path: Name,
    /// Where metrics are served.
    pub listen_metrics: SocketAddr,
    /// Where control instances are reached by their peers, to begin with.
    pub seeds: Vec<SocketAddr>,
    /// The key that our own processes share.
    pub cluster_key: Secret,
    /// How calls carry what is needed to route them.
    pub dialect: Arc<dyn Dialect>,
    /// How far limits may be passed.
    pub limits: LimitBounds,
    /// Bounds on retries.
    pub retries: RetryBounds,
    /// How long an endpoint serves after it has said that it leaves, where it names no time.
    pub endpoint_notice: Millis,
    /// The length of a window of usage.
    pub usage_window: Millis,
    /// How a planned stop goes.
    pub stop: StopCfg,
}

/// How a planned stop goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopCfg {
    /// Time for which new connections are still taken, until the balancer has noticed.
    pub notice: Millis,
    /// Time from the signal after which what still runs is cut. To tell of it, the process needs up to
    /// 0.4 s more.
    pub limit: Millis,
}
