//! Compares the accuracy of shared rate limits with baselines, and measures the exchanged bytes.

use rand::Rng as _;
use serde::Serialize;
use sill_base::random::{self, Rng};
use sill_base::{Machine, Millis, Name};
use sill_limit::{
    AccountLimit, Action, Cost, Event, Limiter, LimiterCfg, Members, Peer, Split, SplitCfg, Verdict,
};
use sill_wire::Incarnation;
use sill_wire::limits::DemandReport;

/// Rate limit of the client account in requests per second.
const LIMIT_PER_S: f64 = 2000.0;

/// Demand of the callers, relative to the limit.
const DEMAND_FACTOR: f64 = 1.5;

const STEP: Millis = Millis(10);
const TICK_INTERVAL_MS: u64 = 1000;
const ACCOUNT_COUNT: usize = 5;

/// Bytes per call besides the reports: HTTP headers, JSON-RPC envelope, TCP and IP headers in both
/// directions.
const CALL_OVERHEAD_BYTES: usize = 600;

/// Distribution of the demand over the entry instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Spread {
    /// Half of the entry instances get half of the demand.
    Even,
    /// A fifth of the entry instances gets four fifths of the demand.
    Skewed,
    /// Like `Skewed`, but the busy fifth changes every ten seconds.
    Moving,
}

/// Results of one run.
#[derive(Debug, Serialize)]
pub struct LimitRow {
    /// How the limit is split between entry instances.
    pub split: String,
    /// Number of entry instances.
    pub entries: usize,
    /// Distribution of the demand.
    pub spread: Spread,
    /// Admitted requests, in percent of the limit.
    pub used: f64,
    /// Highest number of admitted requests in any ten seconds, in percent of the limit.
    pub most: f64,
    /// Like `used`, while one failure domain is partitioned from the others and the demand is three
    /// times as high.
    pub used_cut: f64,
    /// Like `most`, during the partition.
    pub most_cut: f64,
    /// Mean bytes per second that an entry instance sends and receives.
    pub bytes_mean: f64,
    /// Bytes per second of the entry instance that sends and receives the most.
    pub bytes_most: f64,
}

/// Runs all splits at two sizes, and the split by demand at more sizes to show how its bytes grow.
pub fn run(seed: u64) -> Vec<LimitRow> {
    let mut rows = Vec::new();
    for (entries, domains) in [(8, 4), (360, 10)] {
        for split in [Split::Equal, Split::Active, Split::Demand] {
            for spread in [Spread::Even, Spread::Skewed, Spread::Moving] {
                rows.push(run_split(split, entries, domains, spread, seed));
            }
        }
    }
    for (entries, domains) in [(16, 4), (40, 10), (90, 10), (180, 10), (720, 10)] {
        rows.push(run_split(Split::Demand, entries, domains, Spread::Skewed, seed));
    }
    rows
}

/// Prints the table.
pub fn print(rows: &[LimitRow]) {
    println!("percent of the limit, callers ask for {:.0}%", DEMAND_FACTOR * 100.0);
    println!(
        "split   entries  spread    used   most in 10 s   cut: used   most   bytes/s mean   busiest"
    );
    for row in rows {
        println!(
            "{:<7} {:>7}  {:<7} {:>6.2} {:>14.2} {:>11.2} {:>6.2} {:>14.0} {:>9.0}",
            row.split,
            row.entries,
            format!("{:?}", row.spread),
            row.used,
            row.most,
            row.used_cut,
            row.most_cut,
            row.bytes_mean,
            row.bytes_most
        );
    }
}

fn run_split(split: Split, entries: usize, domains: usize, spread: Spread, seed: u64) -> LimitRow {
    let mut fleet = EntryFleet::new(split, entries, domains, seed);
    fleet.spread_demand(spread, 0);
    fleet.run(Millis(10_000));
    let since = fleet.admitted.len();
    for round in 0..6 {
        fleet.spread_demand(spread, round);
        fleet.run(Millis(10_000));
    }
    let (used, most) = (fleet.used(since), fleet.max_used(since));
    let seconds = fleet.now.as_secs_f64();
    let bytes: Vec<f64> = fleet.bytes.iter().map(|b| *b as f64 / seconds).collect();
    fleet.cut_domain(0);
    let since = fleet.admitted.len();
    for demand in &mut fleet.demand {
        *demand *= 3.0;
    }
    fleet.run(Millis(60_000));
    LimitRow {
        split: format!("{split:?}").to_lowercase(),
        entries,
        spread,
        used: used * 100.0,
        most: most * 100.0,
        used_cut: fleet.used(since) * 100.0,
        most_cut: fleet.max_used(since) * 100.0,
        bytes_mean: bytes.iter().sum::<f64>() / entries as f64,
        bytes_most: bytes.iter().copied().fold(0.0, f64::max),
    }
}

/// Simulated entry instances, on a network that can be partitioned.
struct EntryFleet {
    now: Millis,
    rng: Rng,
    limiters: Vec<Limiter>,
    domains: usize,
    demand: Vec<f64>,
    is_cut_off: Vec<bool>,
    admitted: Vec<u32>,
    bytes: Vec<usize>,
}

impl EntryFleet {
    fn new(split: Split, entries: usize, domains: usize, seed: u64) -> Self {
        Self {
            now: Millis::ZERO,
            rng: random::seeded(seed),
            limiters: (0..entries).map(|i| limiter(split, i, entries, domains)).collect(),
            demand: vec![0.0; entries],
            is_cut_off: vec![false; entries],
            admitted: Vec::new(),
            bytes: vec![0; entries],
            domains,
        }
    }

    fn spread_demand(&mut self, spread: Spread, round: usize) {
        let entries = self.demand.len();
        let (busy, part, from) = match spread {
            Spread::Even => (entries / 2, 0.5, 0),
            Spread::Skewed => (entries.div_ceil(5), 0.8, 0),
            Spread::Moving => (entries.div_ceil(5), 0.8, round * entries.div_ceil(5)),
        };
        let idle = entries - busy;
        for i in 0..entries {
            let is_busy = (i + entries - from % entries) % entries < busy;
            let each = if is_busy { part / busy as f64 } else { (1.0 - part) / idle as f64 };
            self.demand[i] = LIMIT_PER_S * DEMAND_FACTOR * each;
        }
    }

    fn cut_domain(&mut self, domain: usize) {
        self.is_cut_off = (0..self.demand.len()).map(|i| i % self.domains == domain).collect();
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.tick();
            self.send_requests();
        }
    }

    fn tick(&mut self) {
        for i in 0..self.limiters.len() {
            if self.now.0 % TICK_INTERVAL_MS != (i as u64 * 70) % TICK_INTERVAL_MS / STEP.0 * STEP.0
            {
                continue;
            }
            let mut actions = Vec::new();
            self.limiters[i].step(self.now, Event::Tick, &mut actions);
            for Action::Exchange { peer: with, report } in actions {
                let peer = self.peer_index(&with);
                if self.is_cut_off[peer] == self.is_cut_off[i] {
                    self.exchange(i, peer, report);
                }
            }
        }
    }

    fn exchange(&mut self, caller: usize, called: usize, report: DemandReport) {
        let reply = self.limiters[called].reply(&report);
        let bytes = CALL_OVERHEAD_BYTES
            + serialized_size(std::slice::from_ref(&report))
            + serialized_size(&reply);
        self.bytes[caller] += bytes;
        self.bytes[called] += bytes;
        self.limiters[called].step(self.now, Event::Reports(vec![report]), &mut Vec::new());
        self.limiters[caller].step(self.now, Event::Reports(reply), &mut Vec::new());
    }

    fn peer_index(&self, peer: &Peer) -> usize {
        let is_peer = |i: &usize| match peer {
            Peer::Entry(wanted) => name(*i) == *wanted,
            Peer::Domain(wanted) => domain_name(*i % self.domains) == *wanted,
        };
        (0..self.demand.len())
            .find(is_peer)
            .expect("every peer is one of the simulated entry instances")
    }

    /// Sends the requests of one step: at random times for the limited account, and a few for the
    /// other accounts.
    fn send_requests(&mut self) {
        let mut admitted = 0;
        for i in 0..self.limiters.len() {
            let due = self.demand[i] * STEP.as_secs_f64();
            for _ in 0..draw_poisson(due, &mut self.rng) {
                let verdict = self.limiters[i].admit(self.now, &account(0), Cost { tokens: 1000 });
                admitted += u32::from(verdict == Verdict::Admit);
            }
            if self.now.0.is_multiple_of(200) {
                for other in 1..ACCOUNT_COUNT {
                    self.limiters[i].admit(self.now, &account(other), Cost { tokens: 1000 });
                }
            }
        }
        self.admitted.push(admitted);
    }

    fn used(&self, since: usize) -> f64 {
        let admitted: u32 = self.admitted[since..].iter().sum();
        let span = (self.admitted.len() - since) as f64 * STEP.as_secs_f64();
        f64::from(admitted) / (LIMIT_PER_S * span)
    }

    fn max_used(&self, since: usize) -> f64 {
        const WINDOW_STEPS: usize = 1000;
        let windows = self.admitted[since..].windows(WINDOW_STEPS).step_by(10);
        let most = windows.map(|w| w.iter().sum::<u32>()).max().unwrap_or(0);
        f64::from(most) / (LIMIT_PER_S * WINDOW_STEPS as f64 * STEP.as_secs_f64())
    }
}

fn limiter(split: Split, i: usize, entries: usize, domains: usize) -> Limiter {
    let own = i % domains;
    let cfg = LimiterCfg { entry: name(i), domain: domain_name(own) };
    let split = SplitCfg { split, ..SplitCfg::default() };
    let mut limiter = Limiter::with_split(cfg, Incarnation(1), split);
    let limits = (0..ACCOUNT_COUNT).map(|number| AccountLimit {
        account: account(number),
        requests_per_s: Some(LIMIT_PER_S),
        tokens_per_s: None,
    });
    limiter.step(Millis::ZERO, Event::Limits(limits.collect()), &mut Vec::new());
    let members = Members {
        neighbours: (own..entries).step_by(domains).map(name).collect(),
        domains: (0..domains).filter(|d| *d != own).map(domain_name).collect(),
    };
    limiter.step(Millis::ZERO, Event::Members(members), &mut Vec::new());
    limiter
}

/// Draws the Poisson-distributed number of requests in a step; the mean must be small.
fn draw_poisson(mean: f64, rng: &mut Rng) -> u32 {
    let limit = (-mean).exp();
    let mut count = 0;
    let mut product: f64 = rng.random();
    while product > limit {
        count += 1;
        product *= rng.random::<f64>();
    }
    count
}

fn serialized_size(reports: &[DemandReport]) -> usize {
    serde_json::to_vec(reports).map_or(0, |text| text.len())
}

fn account(number: usize) -> Name {
    format!("teams/desk/account-{number}").into()
}

fn name(i: usize) -> Name {
    format!("entry-{i:03}").into()
}

fn domain_name(domain: usize) -> Name {
    format!("domain-{domain}").into()
}
