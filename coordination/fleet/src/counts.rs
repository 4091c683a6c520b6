//! How many endpoints of each kind to have in each failure domain, where the platform takes orders by
//! count and not by instance.
//!
//! Reclaimable endpoints cost a fifth, and are taken back a whole failure domain at a time. They are
//! spread so that what is left without any one domain still carries the load; on-demand endpoints
//! stand in while no reclaimable ones are to be had.

use std::collections::BTreeMap;

use sill_base::{Map, Millis, Name};
use sill_tree::CapacityRange;

mod needs;
mod spread;
mod waves;

use needs::{Needs, Spans};
use spread::{Staying, by_price, left_by_wave, spread, stand_ins, staying};
use waves::Waves;

/// Prompt tokens a second that are planned for an endpoint, of engines of the usual speed.
const PLANNED_TOKENS_PER_S: f64 = 32_000.0;

/// The learned speed of such engines: prompt tokens that one reads in a second beside its other work.
const USUAL_TOKENS_PER_S: f64 = 42_000.0;

/// Ratio to the usual speed up to which engines count as usual. The learned speed depends on the load, so that
/// engines of one speed seem to differ; beyond the ratio it counts, or engines of half the speed get half of
/// what they need.
const SPEED_BAND: f64 = 1.6;

/// How long the highest speed of engines counts. A wave of reclaims and what it leaves last for 20 s; engines
/// that are truly slower are found out after that.
const SPEED_HOLD: Millis = Millis(20_000);

/// Part of the need that stands on-demand during a wave of reclaims. The need leaves half of the engines' time
/// free, so half of it carries the load with longer waits.
const WAVE_PART: f64 = 0.5;

/// Failure domains that a wave of reclaims is expected to take back yet. A boot outlasts the notices of two. What
/// stands beyond them needs no on-demand endpoint beside it: one domain of six is not one of three.
const WAVE_DOMAINS: usize = 2;

/// Figures of the planner.
#[derive(Debug, Clone)]
pub struct CountCfg {
    /// Requests that an endpoint carries within its latency target, in parts of its slots.
    pub usable_slot_share: f64,
    /// Prompt tokens a second that are planned for an endpoint of the usual speed.
    pub planned_tokens_per_s: f64,
    /// The usual speed of engines, as it is learned.
    pub reference_tokens_per_s: f64,
    /// Ratio to it up to which engines count as usual.
    pub speed_tolerance: f64,
    /// How long the highest speed of engines counts, at least.
    pub speed_window: Millis,
    /// Part of the need that stands on-demand during a wave of reclaims, at most.
    pub wave_on_demand_share: f64,
    /// Failure domains that a wave is expected to take back yet.
    pub wave_further_domains: usize,
    /// How long a high need counts before endpoints are given up.
    pub need_window: Millis,
    /// How long a high need counts for on-demand endpoints, which cost several times as much.
    pub on_demand_window: Millis,
    /// How long an order that the platform could not meet is not repeated.
    pub refusal_backoff: Millis,
    /// How long what runs may differ from what was ordered before the order is repeated. It must
    /// outlast a boot, and an order that is carried out late.
    pub settle_time: Millis,
}

/// An endpoint that is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveEndpoint {
    /// Its failure domain.
    pub domain: Name,
    /// Whether the platform may take it back.
    pub reclaimable: bool,
    /// Whether it is on its way out, or has just ended.
    pub is_leaving: bool,
}

/// The work of a service over all entry instances.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Requests at its endpoints.
    pub running: u32,
    /// Prompt tokens a second that were not cached.
    pub fresh_tokens_per_s: f64,
    /// Requests refused in a second for want of room.
    pub refused_per_s: f64,
}

/// All that a decision on one service rests on.
#[derive(Debug, Clone)]
pub struct PoolView<'a> {
    /// The service.
    pub service: &'a Name,
    /// What may be ordered.
    pub range: &'a CapacityRange,
    /// Requests that an endpoint runs side by side.
    pub slots: u32,
    /// Prompt tokens that one of them reads in a second, once that was learned.
    pub prefill_tokens_per_s: Option<f64>,
    /// Its endpoints.
    pub endpoints: &'a [LiveEndpoint],
    /// Its work.
    pub demand: Demand,
}

impl PoolView<'_> {
    /// Describes the load, for the log.
    fn load(&self) -> String {
        let Demand { running, fresh_tokens_per_s, refused_per_s } = self.demand;
        let speed = self.prefill_tokens_per_s.map_or("unknown".to_owned(), |s| format!("{s:.0}/s"));
        format!(
            "running {running}, fresh {fresh_tokens_per_s:.0}/s, speed {speed}, refused {refused_per_s:.1}/s"
        )
    }
}

/// An order: so many endpoints of one kind in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CountOrder {
    /// The service.
    pub service: Name,
    /// The failure domain.
    pub domain: Name,
    /// Whether the platform may take them back.
    pub reclaimable: bool,
    /// How many.
    pub count: u32,
    /// Why, for the log.
    pub why: String,
}

/// Decides on orders by count, for all services.
#[derive(Debug)]
pub struct CountPlanner {
    cfg: CountCfg,
    cells: Map<Cell, Ordered>,
    needs: Map<Name, Needs>,
    waves: Waves,
}

/// What is ordered as one number.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Cell {
    service: Name,
    domain: Name,
    reclaimable: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Ordered {
    count: Option<u32>,
    at: Millis,
    refused_until: Millis,
    /// Whether the last answer was a refusal.
    is_unmet: bool,
}

impl CountPlanner {
    /// Makes a planner that has ordered nothing.
    pub fn new(cfg: CountCfg) -> Self {
        Self { cfg, cells: Map::default(), needs: Map::default(), waves: Waves::default() }
    }

    /// Returns the orders that are due for one service.
    pub fn plan(&mut self, now: Millis, view: &PoolView<'_>) -> Vec<CountOrder> {
        let needs = self.needs.entry(view.service.clone());
        let need = needs.or_insert_with(|| Needs::of(now, view)).renew(now, view, &self.cfg);
        self.waves.look(now, view);
        let staying = staying(view);
        let wanted = self.wanted(now, view, need, &staying);
        let Spans { long, short } = need;
        let mut orders = Vec::new();
        for (domain, want) in &wanted {
            let have = staying.get(domain).copied().unwrap_or_default();
            let kinds = [
                (true, want.reclaimable, have.reclaimable),
                (false, want.on_demand, have.on_demand),
            ];
            for (reclaimable, count, live) in kinds {
                let cell =
                    Cell { service: view.service.clone(), domain: domain.clone(), reclaimable };
                if !self.is_due(now, &cell, count, live) {
                    continue;
                }
                let ordered = self.cells.entry(cell).or_default();
                ordered.count = Some(count);
                ordered.at = now;
                let why = format!("need {long}, of late {short}, {}, live {live}", view.load());
                let (service, domain) = (view.service.clone(), domain.clone());
                orders.push(CountOrder { service, domain, reclaimable, count, why });
            }
        }
        orders
    }

    /// Takes in that the platform had none to give.
    pub fn record_refusal(&mut self, now: Millis, order: &CountOrder) {
        let ordered = self.cells.entry(cell_of(order)).or_default();
        ordered.refused_until = now + self.cfg.refusal_backoff;
        ordered.count = None;
        ordered.is_unmet = true;
    }

    /// Takes in that the platform took an order.
    pub fn record_grant(&mut self, order: &CountOrder) {
        self.cells.entry(cell_of(order)).or_default().is_unmet = false;
    }

    /// Takes in that it is unknown whether an order was heard.
    pub fn record_no_answer(&mut self, order: &CountOrder) {
        self.cells.entry(cell_of(order)).or_default().count = None;
    }

    /// Returns what is wanted in each failure domain.
    fn wanted(
        &self,
        now: Millis,
        view: &PoolView<'_>,
        need: Spans,
        staying: &BTreeMap<Name, Staying>,
    ) -> BTreeMap<Name, Staying> {
        let mut wanted: BTreeMap<Name, Staying> = BTreeMap::new();
        let mut expected = 0;
        for (domain, each) in spread(need.long, view) {
            let have = staying.get(&domain).copied().unwrap_or_default();
            let reclaimable = match view.range.reclaimable_price {
                None => 0,
                Some(_) if self.is_refused(now, view.service, &domain, true) => {
                    have.reclaimable.min(each)
                }
                Some(_) => each,
            };
            // An order that was refused the last time is tried again, but not relied on.
            let is_unmet = self.is_unmet(view.service, &domain) || reclaimable == 0;
            expected += if is_unmet { have.reclaimable } else { reclaimable };
            wanted.insert(domain, Staying { reclaimable, on_demand: 0 });
        }
        // While one failure domain after the other is taken back, what is ordered only then comes too late:
        // a boot takes longer than the notice. On-demand endpoints that carry the load alone are paid for a
        // few seconds, and no wave takes them back.
        if self.waves.is_on(now, view.service) {
            let least = (f64::from(need.short) * self.cfg.wave_on_demand_share).ceil() as u32;
            let left = left_by_wave(staying, self.cfg.wave_further_domains);
            expected = expected.min(left.max(need.short - least));
        }
        let stand_ins = stand_ins(need.short, expected, staying);
        self.place_stand_ins(now, view, stand_ins, staying, &mut wanted);
        wanted
    }

    /// Spreads on-demand endpoints: first over those that run, then over the cheapest domains.
    fn place_stand_ins(
        &self,
        now: Millis,
        view: &PoolView<'_>,
        stand_ins: u32,
        staying: &BTreeMap<Name, Staying>,
        wanted: &mut BTreeMap<Name, Staying>,
    ) {
        let by_price = by_price(view);
        let mut left = stand_ins;
        for domain in &by_price {
            let (Some(want), have) = (wanted.get_mut(*domain), staying.get(*domain)) else {
                continue;
            };
            let have = have.copied().unwrap_or_default();
            // The platform holds to the least number of both kinds; ordered less, it would refuse.
            let is_short = self.is_unmet(view.service, domain) || want.reclaimable == 0;
            let coming = if is_short { have.reclaimable } else { want.reclaimable };
            let least = view.range.min.saturating_sub(coming);
            want.on_demand = have.on_demand.min(left).max(least);
            left = left.saturating_sub(want.on_demand);
        }
        for domain in by_price {
            let Some(want) = wanted.get_mut(domain) else { continue };
            let is_refused = self.is_refused(now, view.service, domain, false);
            let have = staying.get(domain).copied().unwrap_or_default();
            let is_unmet = self.is_unmet(view.service, domain);
            let reclaimable = if is_unmet { have.reclaimable } else { want.reclaimable };
            let room = view.range.max.saturating_sub(reclaimable + want.on_demand);
            let more = if is_refused { 0 } else { left.min(room) };
            want.on_demand += more;
            left -= more;
        }
    }

    /// Returns whether the last order of reclaimable endpoints there was refused.
    fn is_unmet(&self, service: &Name, domain: &Name) -> bool {
        let cell = Cell { service: service.clone(), domain: domain.clone(), reclaimable: true };
        self.cells.get(&cell).is_some_and(|ordered| ordered.is_unmet)
    }

    fn is_refused(&self, now: Millis, service: &Name, domain: &Name, reclaimable: bool) -> bool {
        let cell = Cell { service: service.clone(), domain: domain.clone(), reclaimable };
        self.cells.get(&cell).is_some_and(|ordered| now < ordered.refused_until)
    }

    /// Returns whether an order differs from the last one, or has had no effect for long.
    fn is_due(&self, now: Millis, cell: &Cell, count: u32, live: u32) -> bool {
        match self.cells.get(cell).and_then(|ordered| ordered.count.map(|c| (c, ordered.at))) {
            Some((last, at)) if last == count => live != count && now - at >= self.cfg.settle_time,
            Some(_) => true,
            None => live != count,
        }
    }
}

fn cell_of(order: &CountOrder) -> Cell {
    Cell {
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
            reference_tokens_per_s: USUAL_TOKENS_PER_S,
            speed_tolerance: SPEED_BAND,
            speed_window: SPEED_HOLD,
            wave_on_demand_share: WAVE_PART,
            wave_further_domains: WAVE_DOMAINS,
            need_window: Millis(20_000),
            on_demand_window: Millis(4000),
            refusal_backoff: Millis(4000),
            settle_time: Millis(8000),
        }
    }
}
