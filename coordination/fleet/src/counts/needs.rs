//! How many endpoints the load of a service needs now, and has needed recently.

use sill_base::{Millis, RecentMax};

use super::spread::{EndpointCounts, current_counts};
use super::{CountCfg, Demand, PoolView};

/// Recent needs of a service.
#[derive(Debug, Default)]
pub(super) struct RecentNeeds {
    /// Need presumed from the endpoints that ran when planning began; `None` once the load has been
    /// known for `need_window`.
    initial: Option<Need>,
    /// Needs within `need_window`, oldest first and strictly decreasing.
    peaks: Vec<Need>,
    /// Recent maximum of the learned engine speed in prompt tokens per second.
    ///
    /// The speed is learned from the duration of calls, and all calls are slow in an overload. If
    /// the planner followed it down, it would order more endpoints at the on-demand price for each
    /// second of a reclaim wave, although the load has not changed.
    max_speed: RecentMax,
}

#[derive(Debug, Clone, Copy)]
struct Need {
    endpoints: u32,
    at: Millis,
}

/// Highest need within a longer and within a shorter window, in endpoints.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeakNeed {
    /// Peak within `CountCfg::need_window`, for reclaimable endpoints: their price is low enough to
    /// keep them for the next peak.
    pub(super) long: u32,
    /// Peak within `CountCfg::on_demand_window`, for on-demand endpoints.
    pub(super) short: u32,
}

impl RecentNeeds {
    /// Creates the needs of a service with its current endpoints as the initial need.
    pub(super) fn new(now: Millis, view: &PoolView<'_>) -> Self {
        let initial = Some(Need { endpoints: presumed_need(view), at: now });
        Self { initial, ..Self::default() }
    }

    /// Records the current load and returns the peaks of the need.
    pub(super) fn update(&mut self, now: Millis, view: &PoolView<'_>, cfg: &CountCfg) -> PeakNeed {
        let speed = view.prefill_tokens_per_s.and_then(|learned| {
            self.max_speed.record(now, cfg.speed_window, learned);
            self.max_speed.max(now, cfg.speed_window)
        });
        let endpoints = current_need(view, planned_tokens_per_s(speed, cfg), cfg);
        // Without load the need is unknown, and some of the running endpoints may not have
        // announced themselves yet.
        if view.demand.running == 0
            && let Some(initial) = &mut self.initial
        {
            initial.at = now;
            initial.endpoints = initial.endpoints.max(presumed_need(view));
        }
        self.initial.take_if(|initial| now - initial.at >= cfg.need_window);
        self.peaks.retain(|need| now - need.at < cfg.need_window);
        // An earlier need that is no higher than the current one can't be the peak of any window.
        while self.peaks.last().is_some_and(|need| need.endpoints <= endpoints) {
            self.peaks.pop();
        }
        self.peaks.push(Need { endpoints, at: now });
        let peak_within = |window| {
            let peak = self.peaks.iter().find(|need| now - need.at < window);
            let initial = self.initial.filter(|initial| now - initial.at < window);
            let initial = initial.map_or(0, |initial| initial.endpoints);
            peak.map_or(endpoints, |need| need.endpoints).max(initial)
        };
        PeakNeed { long: peak_within(cfg.need_window), short: peak_within(cfg.on_demand_window) }
    }
}

/// Returns the prompt tokens per second to plan for an endpoint.
///
/// Only the part of the learned speed beyond the tolerance changes the planned figure.
fn planned_tokens_per_s(learned: Option<f64>, cfg: &CountCfg) -> f64 {
    let ratio = learned.map_or(1.0, |speed| speed / cfg.reference_tokens_per_s);
    let correction = if ratio > cfg.speed_tolerance {
        ratio / cfg.speed_tolerance
    } else if ratio < 1.0 / cfg.speed_tolerance {
        ratio * cfg.speed_tolerance
    } else {
        1.0
    };
    cfg.planned_tokens_per_s * correction
}

/// Returns how many endpoints carry the current load within its latency target; one more while
/// more than one request per second is refused.
fn current_need(view: &PoolView<'_>, tokens_per_endpoint: f64, cfg: &CountCfg) -> u32 {
    let Demand { running, fresh_tokens_per_s, refused_per_s } = view.demand;
    let requests_per_endpoint = (f64::from(view.slots.max(1)) * cfg.usable_slot_share).max(1.0);
    let by_slots = f64::from(running) / requests_per_endpoint;
    let by_tokens = fresh_tokens_per_s / tokens_per_endpoint.max(1.0);
    let endpoints = by_slots.max(by_tokens).ceil().max(1.0) as u32;
    endpoints + u32::from(refused_per_s > 1.0)
}

/// Returns the need for which the current endpoints were presumably ordered.
///
/// Orders of the failure domains differ by one at most. A domain with fewer endpoints than that has
/// just lost some, and counts as if it had them; on-demand endpoints elsewhere may replace them.
fn presumed_need(view: &PoolView<'_>) -> u32 {
    let current = current_counts(view);
    let has_reclaimable = current.values().any(|counts| counts.reclaimable > 0);
    let count = |counts: &EndpointCounts| match has_reclaimable {
        true => counts.reclaimable,
        false => counts.on_demand,
    };
    let max = current.values().map(count).max().unwrap_or(0);
    let domains = view.range.prices.keys();
    let ordered = domains.map(|domain| {
        let live = current.get(domain).map_or(0, count);
        if live + 1 < max { max } else { live }
    });
    ordered.sum::<u32>().saturating_sub(max)
}
