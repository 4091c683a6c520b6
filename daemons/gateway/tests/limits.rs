//! Limits of client accounts at an entry instance that has just started.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sill_base::{Millis, Name, Secret};
use sill_dispatch::{LimitBounds, RetryBounds, RouteTable};
use sill_gateway::cfg::StopCfg;
use sill_gateway::state::State;
use sill_gateway::{GatewayCfg, SillDialect};
use sill_tree::{Account, Document, Limit};
use sill_wire::CrashUpdate;
use sill_wire::link::{AccountTotal, Cursor, LinkReply, Totals};

const RATE: f64 = 1000.0;
/// More than the part of the limit that an instance assumes to be its share.
const LARGE: f64 = 500.0;
const LONG: Millis = Millis(60_000);

fn account() -> Name {
    "desk".into()
}

fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn state() -> Arc<State> {
    let cfg = GatewayCfg {
        name: "e1".into(),
        domain: "a".into(),
        listen: nowhere(),
        listen_ready: nowhere(),
        ready_path: "/readyz".into(),
        listen_metrics: nowhere(),
        connect_from: None,
        listen_peer: nowhere(),
        seeds: Vec::new(),
        cluster_key: Secret::new("test"),
        dialect: Arc::new(SillDialect),
        limits: LimitBounds { slack: 0.0 },
        retries: RetryBounds { share: 0.2, allowance: 10.0 },
        endpoint_notice: Millis(2000),
        endpoint_heartbeat: Millis(1000),
        usage_window: Millis(5000),
        stop: StopCfg { notice: Millis(100), limit: Millis(5000) },
        rollouts: None,
        buffer_bytes: 64 << 20,
    };
    Arc::new(State::new(cfg).expect("the state can be created"))
}

fn settings() -> Arc<RouteTable> {
    let limit = Limit { tokens_per_s: Some(RATE), ..Limit::default() };
    let desk = Account { limit: Some(limit), burst: Some(RATE), ..Account::default() };
    let accounts = [(account(), desk)].into_iter().collect();
    Arc::new(RouteTable::of(1, &Document { accounts, ..Document::default() }))
}

/// Returns totals by which all entry instances have used up the account's limit.
fn used_up() -> LinkReply {
    let admitted = RATE * 9.0;
    let used = AccountTotal { account: account(), admitted, ..AccountTotal::default() };
    LinkReply {
        settings: None,
        cursor: Cursor::default(),
        endpoints: Vec::new(),
        loads: Vec::new(),
        crashes: CrashUpdate::default(),
        relays: None,
        versions: None,
        controls: Vec::new(),
        totals: Some(Totals {
            age: Millis::ZERO,
            entries: 8,
            unreported_s: 0.0,
            accounts: vec![used],
            queues: Vec::new(),
        }),
        true_time: Millis::wall(),
        has_leader: true,
        entries: None,
        history: Millis::ZERO,
        routes: None,
        held: Vec::new(),
    }
}

/// An instance that has just started would admit from a full bucket what all others have used up
/// already.
#[tokio::test]
async fn a_call_waits_for_the_first_totals() {
    let state = state();
    state.apply_settings(settings());
    let waiting = tokio::spawn({
        let state = state.clone();
        async move { state.first_totals(&account(), LARGE, LONG, LONG).await }
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!waiting.is_finished(), "the call did not wait for totals");
    state.apply_reply(nowhere(), &used_up());
    waiting.await.expect("the waiting call doesn't panic");
    state.admit(&account(), 100.0).expect_err("the account is over its limit");
}

/// After a restart of all instances totals arrive a second later; small calls would all be delayed
/// until then.
#[tokio::test]
async fn a_call_within_the_assumed_share_does_not_wait() {
    let state = state();
    state.apply_settings(settings());
    state.first_totals(&account(), 10.0, Millis::MAX, Millis::MAX).await;
    state.admit(&account(), 10.0).expect("the assumed share of the burst is available");
}

/// Totals arrive before the first settings. If they were dropped, all accounts would count as
/// unused until the next totals.
#[tokio::test]
async fn totals_received_before_the_settings_count() {
    let state = state();
    state.apply_reply(nowhere(), &used_up());
    state.apply_settings(settings());
    state.first_totals(&account(), LARGE, LONG, LONG).await;
    state.admit(&account(), 100.0).expect_err("the account is over its limit");
}

/// After a restart of all instances no report names an account whose calls all wait, so it would
/// count as unused.
#[tokio::test]
async fn an_unreported_account_counts_as_used_after_a_restart() {
    let state = state();
    let totals = Totals {
        age: Millis::ZERO,
        entries: 8,
        unreported_s: 8.0,
        accounts: Vec::new(),
        queues: Vec::new(),
    };
    state.apply_reply(nowhere(), &LinkReply { totals: Some(totals), ..used_up() });
    state.apply_settings(settings());
    state.admit(&account(), LARGE).expect_err("the account may have used up its limit");
}

/// Without a leading control instance no totals are sent, and callers would wait for them in vain.
#[tokio::test]
async fn calls_are_admitted_by_the_share_while_no_totals_arrive() {
    let state = state();
    state.apply_settings(settings());
    state.first_totals(&account(), LARGE, LONG, Millis::ZERO).await;
    state.admit(&account(), 10.0).expect("the assumed share of the burst is available");
}
