//! Keeps the settings up to date by waiting calls to control instances.

use std::sync::Arc;

use sill_base::{Millis, event};
use sill_net::PeerClient;
use sill_wire::feed::FeedPoll;

use crate::daemon::Shared;

/// How long a poll waits for something newer.
const WAIT: Millis = Millis(10_000);

/// Pause after a control instance could not be reached.
const RETRY: Millis = Millis(200);

/// Polls control instances, the next one after a failure, until the process ends.
pub async fn run(shared: Arc<Shared>) {
    let cfg = &shared.cfg;
    let clients: Vec<PeerClient> = cfg
        .control
        .iter()
        .map(|address| PeerClient::new(*address, &cfg.cluster_key, WAIT + Millis(2000)))
        .collect();
    let mut turn = 0;
    loop {
        let client = &clients[turn % clients.len()];
        let poll = FeedPoll {
            entry: cfg.name.clone(),
            incarnation: shared.incarnation,
            domain: cfg.domain.clone(),
            have: shared.settings.revision(),
            wait: WAIT,
            below: Vec::new(),
        };
        match client.call(&poll).await {
            Ok(reply) => {
                if let Err(findings) = shared.settings.take(reply) {
                    event!(Error, "settings_unreadable", findings = findings);
                    tokio::time::sleep(RETRY.into()).await;
                }
            }
            Err(err) => {
                event!(Debug, "control_unreachable", address = client.address(), error = err);
                turn += 1;
                tokio::time::sleep(RETRY.into()).await;
            }
        }
    }
}
