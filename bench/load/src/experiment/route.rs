//! Compares routing policies during a reclaim wave.

use serde::Serialize;
use sill_base::Millis;
use sill_route::{Policy, PolicyCfg};

use super::figures::Row;
use super::pool::{CallerCfg, Pool, PoolCfg, Wave};
use super::traffic::Mix;

/// Results of all policies with one mix.
#[derive(Debug, Serialize)]
pub struct RouteTable {
    /// Name of the mix.
    pub mix: &'static str,
    /// One row per policy.
    pub rows: Vec<Row>,
}

/// Runs all policies with both mixes.
pub fn run(seed: u64) -> Vec<RouteTable> {
    let tables = [Mix::Shared, Mix::CaseFiles].map(|mix| {
        let rows =
            policies().map(|(name, policy)| Pool::new(cfg(mix, policy, seed)).run().row(name));
        RouteTable { mix: mix.name(), rows: rows.into() }
    });
    tables.into()
}

/// Prints the tables.
pub fn print(tables: &[RouteTable]) {
    for table in tables {
        println!("\n{}: 8 entry instances, a failure domain reclaimed at half time", table.mix);
        println!("{}", Row::HEADING);
        for row in &table.rows {
            println!("{}  ({:.1} us a choice)", row.line(), row.decision_us);
        }
    }
}

fn policies() -> [(&'static str, PolicyCfg); 9] {
    let with = |policy| PolicyCfg { policy, ..PolicyCfg::default() };
    [
        ("random", with(Policy::Random)),
        ("least loaded", with(Policy::LeastLoaded)),
        ("prefix only", with(Policy::PrefixOnly)),
        ("cost", with(Policy::Cost)),
        ("cost, plain prefill", PolicyCfg { prefill_weight: 1.0, ..PolicyCfg::default() }),
        ("cost, no home", PolicyCfg { home_share: 0.0, ..PolicyCfg::default() }),
        ("cost, no crowding", PolicyCfg { load_cost: Millis::ZERO, ..PolicyCfg::default() }),
        ("cost, no price", PolicyCfg { price_weight: 0.0, ..PolicyCfg::default() }),
        ("cost, no risk", PolicyCfg { risk_weight: 0.0, ..PolicyCfg::default() }),
    ]
}

fn cfg(mix: Mix, policy: PolicyCfg, seed: u64) -> PoolCfg {
    PoolCfg {
        mix,
        endpoints: mix.endpoints(),
        policy,
        load: 1.0,
        entries: 8,
        length: Millis::from_secs(900),
        warm_up: Millis::from_secs(120),
        wave: Some(Wave {
            domain: 1,
            at: Millis::from_secs(450),
            notice: Millis::from_secs(2),
            replaced_after: Millis::from_secs(60),
        }),
        callers: CallerCfg::default(),
        seed,
    }
}
