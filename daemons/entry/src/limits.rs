//! Rate limits of client accounts, which entry instances share by exchanging reports of demand.

use std::sync::Arc;

use parking_lot::Mutex;
use sill_base::{Machine, Millis, Name, event};
use sill_limit::{
    AccountLimit, Action, Cost, Event, Limiter, LimiterCfg, Members, Peer, SplitCfg, Verdict,
};
use sill_net::PeerError;
use sill_tree::EffectiveSettings;
use sill_wire::Incarnation;
use sill_wire::limits::{DemandExchange, DemandReply, DemandReport};

use crate::cfg::EntryCfg;
use crate::daemon::Shared;
use crate::peers;

/// The limiter behind its lock; it admits requests within the limits of client accounts.
#[derive(Debug)]
pub struct Limits(Mutex<Limiter>);

impl Limits {
    /// Creates a limiter without limits; the settings supply them.
    pub fn new(cfg: &EntryCfg, incarnation: Incarnation) -> Self {
        let cfg = LimiterCfg { entry: cfg.name.clone(), domain: cfg.domain.clone() };
        Self(Mutex::new(Limiter::with_split(cfg, incarnation, SplitCfg::default())))
    }

    /// Admits a request of an account, or refuses it if the account has exceeded its limit.
    pub fn admit(&self, now: Millis, account: &Name, cost: Cost) -> Verdict {
        self.0.lock().admit(now, account, cost)
    }

    fn step(&self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.0.lock().step(now, event, &mut actions);
        actions
    }
}

/// Updates the limits from the settings and exchanges demand reports with peers, until the process
/// ends.
pub async fn run(shared: Arc<Shared>) {
    let mut revision = None;
    let mut ticks = tokio::time::interval(SplitCfg::default().tick.into());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let settings = shared.settings.current();
        if revision != Some(settings.revision) {
            revision = Some(settings.revision);
            shared.limits.step(shared.clock.now(), Event::Limits(account_limits(&settings)));
        }
        shared.limits.step(shared.clock.now(), Event::Members(limit_members(&shared)));
        for action in shared.limits.step(shared.clock.now(), Event::Tick) {
            let Action::Exchange { peer, report } = action;
            tokio::spawn(exchange(shared.clone(), peer, report));
        }
    }
}

/// Answers a peer's demand report. Other failure domains know only a few addresses of this one, so
/// their call may have to be forwarded to the aggregator of this domain.
///
/// # Errors
///
/// Fails when the call has to be forwarded and the aggregator is unknown or unreachable.
pub async fn answer(shared: Arc<Shared>, call: DemandExchange) -> Result<DemandReply, PeerError> {
    let is_from_other_domain = call.reports.first().is_some_and(|r| r.domain != shared.cfg.domain);
    if is_from_other_domain && !call.forwarded && !shared.limits.0.lock().is_domain_root() {
        return forward(&shared, call).await;
    }
    let reports = {
        let limiter = shared.limits.0.lock();
        call.reports.first().map(|caller| limiter.reply(caller)).unwrap_or_default()
    };
    shared.limits.step(shared.clock.now(), Event::Reports(call.reports));
    Ok(DemandReply { reports })
}

async fn forward(shared: &Arc<Shared>, call: DemandExchange) -> Result<DemandReply, PeerError> {
    let Some(address) = peer_address(shared, &Peer::Domain(shared.cfg.domain.clone())) else {
        return Err(PeerError::Refused("nobody adds up this failure domain".to_owned()));
    };
    peers::call(shared, &address, DemandExchange { forwarded: true, ..call }).await
}

async fn exchange(shared: Arc<Shared>, peer: Peer, report: DemandReport) {
    let Some(address) = peer_address(&shared, &peer) else {
        return;
    };
    let call = DemandExchange { reports: vec![report], forwarded: false };
    match peers::call(&shared, &address, call).await {
        Ok(reply) => {
            shared.limits.step(shared.clock.now(), Event::Reports(reply.reports));
        }
        Err(err) => event!(Debug, "demand_not_exchanged", address = address, error = err),
    }
}

fn peer_address(shared: &Shared, peer: &Peer) -> Option<Name> {
    match peer {
        Peer::Domain(domain) => {
            shared.members.aggregator(domain).map(|address| address.to_string().into())
        }
        Peer::Entry(name) => {
            let peers = shared.members.peers_of_domain();
            peers.into_iter().find(|info| info.name == *name).map(|info| info.peer_address)
        }
    }
}

/// Returns the members that share the limits. First among the neighbours is the aggregator that
/// other domains reach.
fn limit_members(shared: &Shared) -> Members {
    let own = (shared.cfg.name.clone(), shared.peer_address.clone());
    let peers = shared.members.peers_of_domain().into_iter();
    let mut neighbours: Vec<(Name, Name)> =
        peers.map(|info| (info.name, info.peer_address)).chain([own]).collect();
    let aggregator = shared.members.aggregator(&shared.cfg.domain).map(|a| a.to_string());
    neighbours.sort_by_key(|(name, address)| {
        (Some(address.as_str()) != aggregator.as_deref(), name.clone())
    });
    neighbours.dedup();
    let is_other = |domain: &Name| *domain != shared.cfg.domain;
    Members {
        neighbours: neighbours.into_iter().map(|(name, _)| name).collect(),
        domains: shared.members.domains().into_iter().filter(is_other).collect(),
    }
}

fn account_limits(settings: &EffectiveSettings) -> Vec<AccountLimit> {
    let is_limited = |l: &AccountLimit| l.requests_per_s.is_some() || l.tokens_per_s.is_some();
    let limit = |account: &Arc<sill_tree::EffectiveAccount>| AccountLimit {
        account: account.name.clone(),
        requests_per_s: account.limit.requests_per_s,
        tokens_per_s: account.limit.tokens_per_s,
    };
    settings.accounts.values().map(limit).filter(is_limited).collect()
}
