//! How many endpoints the load of a service takes, and has taken of late.

use sill_base::{Millis, RecentMax};

use super::spread::{Staying, staying};
use super::{CountCfg, Demand, PoolView};

/// What a service was seen to need.
#[derive(Debug, Default)]
pub(super) struct Needs {
    /// What stood when it was first looked at, until its load has been known for a while.
    first: Option<Need>,
    highest: Vec<Need>,
    /// The highest speed of engines. It is learned from what calls take, and in an overload all calls are slow.
    /// Followed down, it would have more endpoints ordered at the highest price for each second of a wave of
    /// reclaims, for a load that has not changed.
    speed: RecentMax,
}

#[derive(Debug, Clone, Copy)]
struct Need {
    endpoints: u32,
    at: Millis,
}

/// What the load takes, as the highest need of a longer and of a shorter while.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spans {
    /// For reclaimable endpoints, whose price is low enough to keep them for the next peak.
    pub(super) long: u32,
    /// For on-demand endpoints.
    pub(super) short: u32,
}

impl Needs {
    /// Begins with what stands.
    pub(super) fn of(now: Millis, view: &PoolView<'_>) -> Self {
        let first = Some(Need { endpoints: standing(view), at: now });
        Self { first, ..Self::default() }
    }

    /// Takes in the load of now, and returns what is needed.
    pub(super) fn renew(&mut self, now: Millis, view: &PoolView<'_>, cfg: &CountCfg) -> Spans {
        let speed = view.prefill_tokens_per_s.and_then(|learned| {
            self.speed.note(now, cfg.speed_window, learned);
            self.speed.at(now, cfg.speed_window)
        });
        let endpoints = need_of_now(view, planned_for(speed, cfg), cfg);
        // Without any load, nothing is known of what is needed, and some of what stands may not have
        // been heard of yet.
        if view.demand.running == 0
            && let Some(first) = &mut self.first
        {
            first.at = now;
            first.endpoints = first.endpoints.max(standing(view));
        }
        self.first.take_if(|first| now - first.at >= cfg.need_window);
        self.highest.retain(|need| now - need.at < cfg.need_window);
        // Only a rising need is worth keeping beside the newest one.
        while self.highest.last().is_some_and(|need| need.endpoints <= endpoints) {
            self.highest.pop();
        }
        self.highest.push(Need { endpoints, at: now });
        let highest = |span| {
            let within = self.highest.iter().find(|need| now - need.at < span);
            let first = self.first.filter(|first| now - first.at < span);
            let first = first.map_or(0, |first| first.endpoints);
            within.map_or(endpoints, |need| need.endpoints).max(first)
        };
        Spans { long: highest(cfg.need_window), short: highest(cfg.on_demand_window) }
    }
}

/// Returns the prompt tokens a second that are planned for an endpoint.
fn planned_for(learned: Option<f64>, cfg: &CountCfg) -> f64 {
    let ratio = learned.map_or(1.0, |speed| speed / cfg.reference_tokens_per_s);
    let beyond = if ratio > cfg.speed_tolerance {
        ratio / cfg.speed_tolerance
    } else if ratio < 1.0 / cfg.speed_tolerance {
        ratio * cfg.speed_tolerance
    } else {
        1.0
    };
    cfg.planned_tokens_per_s * beyond
}

/// Returns how many endpoints carry the load of now within its latency target.
fn need_of_now(view: &PoolView<'_>, tokens_per_endpoint: f64, cfg: &CountCfg) -> u32 {
    let Demand { running, fresh_tokens_per_s, refused_per_s } = view.demand;
    let carried = (f64::from(view.slots.max(1)) * cfg.usable_slot_share).max(1.0);
    let by_slots = f64::from(running) / carried;
    let by_tokens = fresh_tokens_per_s / tokens_per_endpoint.max(1.0);
    let endpoints = by_slots.max(by_tokens).ceil().max(1.0) as u32;
    endpoints + u32::from(refused_per_s > 1.0)
}

/// Presumes that what stands is needed, and returns it as a need.
///
/// Orders differ by one between failure domains. One that has less than that has just lost its own;
/// on-demand endpoints may stand in for them elsewhere.
fn standing(view: &PoolView<'_>) -> u32 {
    let staying = staying(view);
    let has_reclaimable = staying.values().any(|have| have.reclaimable > 0);
    let count = |have: &Staying| match has_reclaimable {
        true => have.reclaimable,
        false => have.on_demand,
    };
    let most = staying.values().map(count).max().unwrap_or(0);
    let domains = view.range.prices.keys();
    let ordered = domains.map(|domain| {
        let have = staying.get(domain).map_or(0, count);
        if have + 1 < most { most } else { have }
    });
    ordered.sum::<u32>().saturating_sub(most)
}
