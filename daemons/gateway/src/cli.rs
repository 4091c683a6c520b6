//! The command line of the entry instance for routes.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Result;
use sill_base::{Findings, Millis, Secret};
use sill_dispatch::{LimitBounds, RetryBounds};
use sill_setup::signal::StopSignals;
use sill_setup::start::start_when_free;
use sill_setup::{Flag, Program, Values, logs, rollout_flags};

use crate::cfg::{GatewayCfg, StopCfg};
use crate::daemon::Gateway;
use crate::sill_dialect::SillDialect;

/// Retries per request, and the allowance on top of that in ten seconds, over all entry instances.
const RETRIES: RetryBounds = RetryBounds { share: 0.1, allowance: 50.0 };

/// How long endpoints keep serving after they announced that they leave.
const ENDPOINT_NOTICE: Millis = Millis(2000);

/// Interval at which endpoints announce themselves.
const ENDPOINT_HEARTBEAT: Millis = Millis(1000);

/// The length of a usage window.
const USAGE_WINDOW: Millis = Millis(5000);

/// The command line of `sill-gateway`.
pub const GATEWAY: Program = Program {
    name: "sill-gateway",
    about: "an entry instance for routes: accepts calls and sends them to endpoints",
    operands: "",
    flags: &[
        Flag::one("name", "NAME", "name of this instance"),
        Flag::one("domain", "NAME", "its failure domain"),
        Flag::one("listen", "IP:PORT", "address for callers"),
        Flag::one("listen-ready", "IP:PORT", "address of the balancer's /readyz checks"),
        Flag::one("listen-metrics", "IP:PORT", "address at which /metrics is served"),
        Flag::one(
            "listen-peer",
            "IP:PORT",
            "address for other entry instances; a free port at the address for callers if not given",
        ),
        Flag::one(
            "connect-from",
            "IP",
            "address from which connections to endpoints are opened; the system's choice if not given",
        ),
        Flag::many("control", "IP:PORT", "peer address of a control instance"),
        Flag::one("cluster-key-file", "FILE", "file with the key shared by all processes"),
        Flag::with_default("limit-slack", "N", "0", "amount allowed beyond each account's limit"),
        Flag::with_default(
            "drain-notice-ms",
            "N",
            "3000",
            "time until the balancer notices a stop",
        ),
        Flag::with_default(
            "drain-limit-ms",
            "N",
            "30000",
            "time after which a stop cuts running calls",
        ),
        Flag::with_default(
            "buffer-mb",
            "N",
            "64",
            "memory for events, answers and bodies that can't be passed on yet, in MiB",
        ),
        rollout_flags::SHARE,
        rollout_flags::SLACK,
        rollout_flags::ROLLBACK,
        Flag::with_default("log-level", "LEVEL", "info", "error, warn, info, debug or trace"),
    ],
};

impl GatewayCfg {
    /// Reads the settings from flags and variables, and checks them.
    ///
    /// # Errors
    ///
    /// Returns every finding with its flag and variable.
    pub fn read(values: &mut Values) -> Result<Self, Findings> {
        let name = values.name("name");
        let domain = values.name("domain");
        let listen = values.required("listen");
        let listen_ready = values.required("listen-ready");
        let listen_metrics = values.required("listen-metrics");
        let listen_peer = values.optional("listen-peer");
        let connect_from = values.optional("connect-from");
        let seeds: Vec<SocketAddr> = values.many("control");
        let cluster_key: Option<Secret> = values.secret("cluster-key-file");
        let slack = values.required("limit-slack");
        let notice: Option<u64> = values.required("drain-notice-ms");
        let limit: Option<u64> = values.required("drain-limit-ms");
        let buffer_mb: Option<usize> = values.required("buffer-mb");
        let rollouts = rollout_flags::read(values);
        if seeds.is_empty() {
            values.add_finding("control", "expected at least one control instance");
        }
        values.finish()?;
        let present = "present once the check succeeded";
        let listen: SocketAddr = listen.expect(present);
        Ok(Self {
            name: name.expect(present),
            domain: domain.expect(present),
            listen,
            listen_ready: listen_ready.expect(present),
            ready_path: "/readyz".into(),
            listen_metrics: listen_metrics.expect(present),
            connect_from,
            listen_peer: listen_peer.unwrap_or(SocketAddr::new(listen.ip(), 0)),
            seeds,
            cluster_key: cluster_key.expect(present),
            dialect: Arc::new(SillDialect),
            limits: LimitBounds { slack: slack.expect(present) },
            retries: RETRIES,
            endpoint_notice: ENDPOINT_NOTICE,
            endpoint_heartbeat: ENDPOINT_HEARTBEAT,
            usage_window: USAGE_WINDOW,
            rollouts,
            buffer_bytes: buffer_mb.expect(present).saturating_mul(1 << 20),
            stop: StopCfg {
                notice: Millis(notice.expect(present)),
                limit: Millis(limit.expect(present)),
            },
        })
    }
}

/// Runs the daemon until it receives a stop signal.
///
/// # Errors
///
/// Fails when a flag is wrong or the daemon can't start.
pub fn run(args: Vec<String>) -> Result<()> {
    let Some(mut values) = GATEWAY.values_or_help(args)? else {
        return Ok(());
    };
    let mut stop_signals = StopSignals::listen()?;
    let level = values.required("log-level");
    let cfg = GatewayCfg::read(&mut values)?;
    logs::start_daemon(level.unwrap_or(log::LevelFilter::Info))?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let started = start_when_free(&mut stop_signals, || Gateway::start(cfg.clone())).await?;
        let Some(gateway) = started else { return Ok(()) };
        let delay = stop_signals.next().await;
        gateway.stop_late(delay).await;
        Ok(())
    })
}
