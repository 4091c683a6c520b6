//! Loss of one failure domain of four at 70% load, with different overload rules disabled.

use serde::Serialize;
use sill_base::Millis;
use sill_route::{PolicyCfg, PriorityBounds};

use super::figures::{Figures, Row, Span};
use super::pool::{CallerCfg, Pool, PoolCfg, Wave};
use super::traffic::Mix;

const LENGTH: Millis = Millis::from_secs(600);
const WAVE_AT: Millis = Millis::from_secs(240);
const REPLACED_AFTER: Millis = Millis::from_secs(180);

/// Number of endpoints: three in each failure domain, so that a quarter is lost.
const ENDPOINT_COUNT: usize = 12;

/// Length of a span of the timeline in seconds.
const SPAN_S: u64 = 10;

/// Request rate relative to the rate of the mix, at which 70% of the slots are in use.
const LOAD_FACTOR: f64 = 3.2;

/// Results with one set of overload rules.
#[derive(Debug, Serialize)]
pub struct OverloadRun {
    /// Names the disabled rules.
    pub name: &'static str,
    /// Measurements of the whole run.
    pub row: Row,
    /// Refusals by priority: low, normal, high.
    pub refused: [u64; 3],
    /// Before the domain is lost, while it is lost, and after its endpoints were replaced.
    pub phases: [Phase; 3],
}

/// Measurements of a part of the run.
#[derive(Debug, Default, Clone, Copy, Serialize)]
pub struct Phase {
    /// New requests, without retries.
    pub arrived: u64,
    /// Complete answers, in percent of the new requests.
    pub answered_percent: f64,
    /// Complete answers within both latency targets, in percent of the new requests.
    pub in_time_percent: f64,
    /// Mean load of the endpoints that are up, in percent of their slots.
    pub mean_load: f64,
    /// Highest number of running and queued requests at an endpoint, in percent of its slots.
    pub fullest: u64,
}

/// Runs all variants of the overload rules.
pub fn run(seed: u64) -> Vec<OverloadRun> {
    let no_refusal = PolicyCfg {
        load_factor: PriorityBounds::UNBOUNDED,
        wait_factor: PriorityBounds::UNBOUNDED,
        pool_factor: PriorityBounds::UNBOUNDED,
        ..PolicyCfg::default()
    };
    let short_timeout =
        CallerCfg { first_token_timeout: Millis(8_000), max_attempts: 6, ..CallerCfg::default() };
    let without_retry_rules =
        CallerCfg { retry_budget: false, obey_retry_after: false, ..short_timeout };
    let no_pool_bound =
        PolicyCfg { pool_factor: PriorityBounds::UNBOUNDED, ..PolicyCfg::default() };
    let variants = [
        ("all rules", PolicyCfg::default(), short_timeout),
        ("no bound on the pool", no_pool_bound, short_timeout),
        ("no early refusal", no_refusal.clone(), short_timeout),
        ("no budget, all after 1 s", PolicyCfg::default(), without_retry_rules),
        ("none of them", no_refusal, without_retry_rules),
    ];
    variants
        .into_iter()
        .map(|(name, policy, callers)| run_variant(name, policy, callers, seed))
        .collect()
}

/// Prints the tables.
pub fn print(runs: &[OverloadRun]) {
    println!(
        "shared prompts, one failure domain of four lost unannounced for {} s",
        REPLACED_AFTER.as_secs_f64()
    );
    println!("{}", Row::HEADING);
    for run in runs {
        println!("{}", run.row.line());
    }
    println!("\nin time % (whole %) mean load %; fullest endpoint %; refusals by priority");
    println!(
        "{:<26} {:<17} {:<17} {:<17} {:>6} {:>4} {:>5} {:>5} {:>6} {:>4}",
        "", "before", "lost", "after", "before", "lost", "after", "low", "normal", "high"
    );
    for run in runs {
        let [before, lost, after] = run.phases;
        let cell = |p: Phase| {
            format!("{:>5.1} ({:>5.1}) {:>3.0}", p.in_time_percent, p.answered_percent, p.mean_load)
        };
        println!(
            "{:<26} {} {} {} {:>6} {:>4} {:>5} {:>5} {:>6} {:>4}",
            run.name,
            cell(before),
            cell(lost),
            cell(after),
            before.fullest,
            lost.fullest,
            after.fullest,
            run.refused[0],
            run.refused[1],
            run.refused[2],
        );
    }
}

fn run_variant(
    name: &'static str,
    policy: PolicyCfg,
    callers: CallerCfg,
    seed: u64,
) -> OverloadRun {
    let figures = Pool::new(PoolCfg {
        mix: Mix::Shared,
        endpoints: Mix::Shared.pool(ENDPOINT_COUNT),
        policy,
        load: LOAD_FACTOR,
        entries: 8,
        length: LENGTH,
        warm_up: Millis::from_secs(60),
        wave: Some(Wave {
            domain: 1,
            at: WAVE_AT,
            notice: Millis::ZERO,
            replaced_after: REPLACED_AFTER,
        }),
        callers,
        seed,
    })
    .run();
    OverloadRun { name, row: figures.row(name), refused: figures.refused, phases: phases(&figures) }
}

fn phases(figures: &Figures) -> [Phase; 3] {
    let index = |at: Millis| (at.as_secs_f64() as u64 / SPAN_S) as usize;
    let (lost, replaced) = (index(WAVE_AT), index(WAVE_AT + REPLACED_AFTER));
    let spans = &figures.spans;
    [&spans[..lost], &spans[lost..replaced], &spans[replaced..]].map(phase)
}

fn phase(spans: &[Span]) -> Phase {
    let sum = |of: fn(&Span) -> u64| spans.iter().map(of).sum::<u64>();
    let arrived = sum(|s| s.arrived);
    let percent = |part: u64| part as f64 * 100.0 / arrived.max(1) as f64;
    Phase {
        arrived,
        answered_percent: percent(sum(|s| s.answered)),
        in_time_percent: percent(sum(|s| s.in_time)),
        mean_load: sum(|s| s.used_slots) as f64 * 100.0 / sum(|s| s.slots).max(1) as f64,
        fullest: spans.iter().map(|s| s.fullest).max().unwrap_or(0),
    }
}
