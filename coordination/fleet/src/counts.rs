//! Planner for platforms that take orders by count and not by instance: how many endpoints of each
//! kind to have in each failure domain.
//!
//! Reclaimable endpoints cost a fifth of on-demand ones, and are reclaimed a whole failure domain
//! at a time. They are spread so that the others still carry the load after the loss of any one
//! domain. On-demand endpoints replace them while the platform has no reclaimable ones.

use std::collections::BTreeMap;

use sill_base::{Map, Millis, Name};
use sill_tree::CapacityRange;

mod needs;
mod spread;
mod waves;

use needs::{PeakNeed, RecentNeeds};
use spread::{
    EndpointCounts, current_counts, domains_by_price, on_demand_target, reclaimable_after_wave,
    spread,
};
use waves::ReclaimWaves;

/// Prompt tokens per second that are planned for an endpoint whose engine has the reference speed.
const PLANNED_TOKENS_PER_S: f64 = 32_000.0;

/// The reference speed of engines as it is learned: prompt tokens that one prefills per second
/// beside its other work.
const REFERENCE_TOKENS_PER_S: f64 = 42_000.0;

/// Ratio between learned and reference speed, in either direction, up to which the reference
/// applies.
///
/// The learned speed depends on the load, so engines of equal speed seem to differ. Beyond the
/// ratio the learned speed must count, or a service with engines of half the speed gets half of the
/// endpoints that it needs.
const SPEED_TOLERANCE: f64 = 1.6;

/// How long the highest learned speed of engines counts. A reclaim wave and its after-effects last
/// for 20 s; engines that are really slower are detected after that.
const SPEED_WINDOW: Millis = Millis(20_000);

/// Share of the need that on-demand endpoints cover during a reclaim wave. The need leaves half of
/// the engines' time free, so half of it carries the load with longer waits.
const WAVE_ON_DEMAND_SHARE: f64 = 0.5;

/// Number of further failure domains that a reclaim wave is expected to reach. A boot takes longer
/// than the notices of two. Endpoints in the other domains need no on-demand endpoints as backup:
/// the loss of one domain of six costs less than that of one of three.
const WAVE_FURTHER_DOMAINS: usize = 2;

/// Settings of the planner.
#[derive(Debug, Clone)]
pub struct CountCfg {
    /// Share of its slots that an endpoint can use within its latency target, from 0 to 1.
    pub usable_slot_share: f64,
    /// Prompt tokens per second that are planned for an endpoint at the reference speed.
    pub planned_tokens_per_s: f64,
    /// Reference speed of engines, in prompt tokens per second as they are learned.
    pub reference_tokens_per_s: f64,
    /// Ratio between learned and reference speed, in either direction, up to which the reference
    /// applies.
    pub speed_tolerance: f64,
    /// How long the highest learned speed of engines counts, at least.
    pub speed_window: Millis,
    /// Largest share of the need that on-demand endpoints cover during a reclaim wave, from 0 to 1.
    pub wave_on_demand_share: f64,
    /// Number of further failure domains that a reclaim wave is expected to reach.
    pub wave_further_domains: usize,
    /// How long a high need counts before the number of endpoints is reduced.
    pub need_window: Millis,
    /// How long a high need counts for on-demand endpoints; shorter, as they cost several times as
    /// much.
    pub on_demand_window: Millis,
    /// How long an order is not repeated after the platform refused it for lack of capacity.
    pub refusal_backoff: Millis,
    /// How long the running count may differ from the ordered one before the order is repeated.
    /// Longer than a boot, and than the delay with which the platform may carry an order out.
    pub settle_time: Millis,
}

/// An endpoint that runs or has just ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveEndpoint {
    /// Failure domain that it runs in.
    pub domain: Name,
    /// Whether the platform may reclaim it; otherwise it is on-demand.
    pub reclaimable: bool,
    /// Whether it is shutting down or has just ended.
    pub is_leaving: bool,
}

/// Load of a service, summed over all entry instances.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Number of requests in flight at its endpoints.
    pub running: u32,
    /// Prompt tokens per second that were not found in a prefix cache.
    pub fresh_tokens_per_s: f64,
    /// Requests per second that were refused for lack of capacity.
    pub refused_per_s: f64,
}

/// Input of the planner for one service.
#[derive(Debug, Clone)]
pub struct PoolView<'a> {
    /// Name of the service.
    pub service: &'a Name,
    /// Capacity that the settings allow: counts per failure domain, prices and boot time.
    pub range: &'a CapacityRange,
    /// Number of requests that an endpoint runs concurrently.
    pub slots: u32,
    /// Learned engine speed in prompt tokens per second; `None` until it has been learned.
    pub prefill_tokens_per_s: Option<f64>,
    /// Endpoints of the service that run or have just ended.
    pub endpoints: &'a [LiveEndpoint],
    /// Current load of the service.
    pub demand: Demand,
}

impl PoolView<'_> {
    /// Formats the load for the reason of an order.
    fn load_text(&self) -> String {
        let Demand { running, fresh_tokens_per_s, refused_per_s } = self.demand;
        let speed = self.prefill_tokens_per_s.map_or("unknown".to_owned(), |s| format!("{s:.0}/s"));
        format!(
            "running {running}, uncached tokens {fresh_tokens_per_s:.0}/s, engine speed {speed}, refused {refused_per_s:.1}/s"
        )
    }
}

/// Order for a number of endpoints of one kind in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountOrder {
    /// Service that the endpoints are for.
    pub service: Name,
    /// Failure domain that they run in.
    pub domain: Name,
    /// Whether the platform may reclaim them; otherwise they are on-demand.
    pub reclaimable: bool,
    /// Number of endpoints to have, including those that run.
    pub count: u32,
    /// The reason, for the log.
    pub why: String,
}

/// Plans the orders by count of all services.
#[derive(Debug)]
pub struct CountPlanner {
    cfg: CountCfg,
    last_orders: Map<OrderKey, LastOrder>,
    needs: Map<Name, RecentNeeds>,
    waves: ReclaimWaves,
}

/// Identifies a count that is ordered separately.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OrderKey {
    service: Name,
    domain: Name,
    reclaimable: bool,
}

/// State of the last order of a count.
#[derive(Debug, Default, Clone, Copy)]
struct LastOrder {
    /// The ordered count; `None` if the platform refused the order or did not answer.
    count: Option<u32>,
    ordered_at: Millis,
    /// End of the backoff after a refusal.
    blocked_until: Millis,
    /// Whether the last answer was a refusal. Stays set after the backoff.
    is_refused: bool,
}

impl CountPlanner {
    /// Creates a planner that has ordered nothing.
    pub fn new(cfg: CountCfg) -> Self {
        Self {
            cfg,
            last_orders: Map::default(),
            needs: Map::default(),
            waves: ReclaimWaves::default(),
        }
    }

    /// Returns the orders that are due for one service. The caller must record the answer to each.
    pub fn plan(&mut self, now: Millis, view: &PoolView<'_>) -> Vec<CountOrder> {
        let needs = self.needs.entry(view.service.clone());
        let need =
            needs.or_insert_with(|| RecentNeeds::new(now, view)).update(now, view, &self.cfg);
        self.waves.update(now, view);
        let current = current_counts(view);
        let targets = self.targets(now, view, need, &current);
        let PeakNeed { long, short } = need;
        let mut orders = Vec::new();
        for (domain, target) in &targets {
            let live_counts = current.get(domain).copied().unwrap_or_default();
            let kinds = [
                (true, target.reclaimable, live_counts.reclaimable),
                (false, target.on_demand, live_counts.on_demand),
            ];
            for (reclaimable, count, live) in kinds {
                let key =
                    OrderKey { service: view.service.clone(), domain: domain.clone(), reclaimable };
                if !self.is_due(now, &key, count, live) {
                    continue;
                }
                let last = self.last_orders.entry(key).or_default();
                last.count = Some(count);
                last.ordered_at = now;
                let why = format!(
                    "need {long}, short-term need {short}, {}, live {live}",
                    view.load_text()
                );
                let (service, domain) = (view.service.clone(), domain.clone());
                orders.push(CountOrder { service, domain, reclaimable, count, why });
            }
        }
        orders
    }

    /// Records that the platform refused an order for lack of capacity. The order is not repeated
    /// during `CountCfg::refusal_backoff`.
    pub fn record_refusal(&mut self, now: Millis, order: &CountOrder) {
        let last = self.last_orders.entry(key_of(order)).or_default();
        last.blocked_until = now + self.cfg.refusal_backoff;
        last.count = None;
        last.is_refused = true;
    }

    /// Records that the platform accepted an order.
    pub fn record_grant(&mut self, order: &CountOrder) {
        self.last_orders.entry(key_of(order)).or_default().is_refused = false;
    }

    /// Records that the platform did not answer an order, which it may or may not have received.
    pub fn record_no_answer(&mut self, order: &CountOrder) {
        self.last_orders.entry(key_of(order)).or_default().count = None;
    }

    /// Returns the counts to have in each failure domain.
    fn targets(
        &self,
        now: Millis,
        view: &PoolView<'_>,
        need: PeakNeed,
        current: &BTreeMap<Name, EndpointCounts>,
    ) -> BTreeMap<Name, EndpointCounts> {
        let mut targets: BTreeMap<Name, EndpointCounts> = BTreeMap::new();
        let mut expected = 0;
        for (domain, count) in spread(need.long, view) {
            let live_counts = current.get(&domain).copied().unwrap_or_default();
            let reclaimable = match view.range.reclaimable_price {
                None => 0,
                Some(_) if self.is_blocked(now, view.service, &domain, true) => {
                    live_counts.reclaimable.min(count)
                }
                Some(_) => count,
            };
            // An order that was last refused is retried, but the plan does not rely on it.
            let is_uncertain = self.is_refused(view.service, &domain) || reclaimable == 0;
            expected += if is_uncertain { live_counts.reclaimable } else { reclaimable };
            targets.insert(domain, EndpointCounts { reclaimable, on_demand: 0 });
        }
        // An endpoint ordered after the next reclaim notice of a wave starts too late, as a boot
        // takes longer than the notice. On-demand endpoints that carry the load alone are paid for
        // a few seconds, and the platform does not reclaim them.
        if self.waves.is_active(now, view.service) {
            let on_demand = (f64::from(need.short) * self.cfg.wave_on_demand_share).ceil() as u32;
            let remaining = reclaimable_after_wave(current, self.cfg.wave_further_domains);
            expected = expected.min(remaining.max(need.short - on_demand));
        }
        let on_demand = on_demand_target(need.short, expected, current);
        self.place_on_demand(now, view, on_demand, current, &mut targets);
        targets
    }

    /// Distributes on-demand endpoints: first to the failure domains where they run already, then
    /// to the cheapest ones.
    fn place_on_demand(
        &self,
        now: Millis,
        view: &PoolView<'_>,
        on_demand: u32,
        current: &BTreeMap<Name, EndpointCounts>,
        targets: &mut BTreeMap<Name, EndpointCounts>,
    ) {
        let domains = domains_by_price(view);
        let mut remaining = on_demand;
        for domain in &domains {
            let (Some(target), live_counts) = (targets.get_mut(*domain), current.get(*domain))
            else {
                continue;
            };
            let live_counts = live_counts.copied().unwrap_or_default();
            // The platform enforces the minimum on the sum of both kinds and refuses orders below
            // it.
            let is_uncertain = self.is_refused(view.service, domain) || target.reclaimable == 0;
            let expected = if is_uncertain { live_counts.reclaimable } else { target.reclaimable };
            let min = view.range.min.saturating_sub(expected);
            target.on_demand = live_counts.on_demand.min(remaining).max(min);
            remaining = remaining.saturating_sub(target.on_demand);
        }
        for domain in domains {
            let Some(target) = targets.get_mut(domain) else { continue };
            let is_blocked = self.is_blocked(now, view.service, domain, false);
            let live_counts = current.get(domain).copied().unwrap_or_default();
            let is_refused = self.is_refused(view.service, domain);
            let reclaimable = if is_refused { live_counts.reclaimable } else { target.reclaimable };
            let room = view.range.max.saturating_sub(reclaimable + target.on_demand);
            let extra = if is_blocked { 0 } else { remaining.min(room) };
            target.on_demand += extra;
            remaining -= extra;
        }
    }

    /// Returns whether the platform refused the last order of reclaimable endpoints in a failure
    /// domain.
    fn is_refused(&self, service: &Name, domain: &Name) -> bool {
        let key = OrderKey { service: service.clone(), domain: domain.clone(), reclaimable: true };
        self.last_orders.get(&key).is_some_and(|last| last.is_refused)
    }

    /// Returns whether an order is in its backoff after a refusal.
    fn is_blocked(&self, now: Millis, service: &Name, domain: &Name, reclaimable: bool) -> bool {
        let key = OrderKey { service: service.clone(), domain: domain.clone(), reclaimable };
        self.last_orders.get(&key).is_some_and(|last| now < last.blocked_until)
    }

    /// Returns whether a count must be ordered: it differs from the last order, or that order has
    /// had no effect for `CountCfg::settle_time`.
    fn is_due(&self, now: Millis, key: &OrderKey, count: u32, live: u32) -> bool {
        match self.last_orders.get(key).and_then(|last| last.count.map(|c| (c, last.ordered_at))) {
            Some((last, at)) if last == count => live != count && now - at >= self.cfg.settle_time,
            Some(_) => true,
            None => live != count,
        }
    }
}

fn key_of(order: &CountOrder) -> OrderKey {
    OrderKey {
        service: order.service.clone(),
        domain: order.domain.clone(),
        reclaimable: order.reclaimable,
    }
}

impl Default for CountCfg {
    fn default() -> Self {
        Self {
            usable_slot_share: 0.5,
            planned_tokens_per_s: PLANNED_TOKENS_PER_S,
            reference_tokens_per_s: REFERENCE_TOKENS_PER_S,
            speed_tolerance: SPEED_TOLERANCE,
            speed_window: SPEED_WINDOW,
            wave_on_demand_share: WAVE_ON_DEMAND_SHARE,
            wave_further_domains: WAVE_FURTHER_DOMAINS,
            need_window: Millis(20_000),
            on_demand_window: Millis(4000),
            refusal_backoff: Millis(4000),
            settle_time: Millis(8000),
        }
    }
}
