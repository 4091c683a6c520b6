//! Counts of endpoints in each failure domain, and how a need is spread over the failure domains.

use std::collections::BTreeMap;

use sill_base::Name;

use super::PoolView;

/// Endpoint counts of one failure domain, present or planned. Endpoints that are leaving are not
/// counted.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct EndpointCounts {
    pub(super) reclaimable: u32,
    pub(super) on_demand: u32,
}

/// Returns the failure domains, the cheapest first.
pub(super) fn domains_by_price<'a>(view: &PoolView<'a>) -> Vec<&'a Name> {
    let mut domains: Vec<(&Name, f64)> =
        view.range.prices.iter().map(|(domain, price)| (domain, *price)).collect();
    domains.sort_by(|a, b| a.1.total_cmp(&b.1));
    domains.into_iter().map(|(domain, _)| domain).collect()
}

/// Returns how many endpoints to have in each failure domain, so that the need is met after the
/// loss of any one of them. If the need is not a multiple of the remaining domains, the cheapest
/// domains get one more.
pub(super) fn spread(need: u32, view: &PoolView<'_>) -> Vec<(Name, u32)> {
    let remaining = remaining_domains(view);
    let (base, remainder) = (need / remaining, need % remaining);
    // One domain more than the remainder, as the lost domain may be one with an extra endpoint.
    let with_extra = if remainder == 0 { 0 } else { remainder as usize + 1 };
    let (min, max) = (view.range.min.max(1), view.range.max.max(1));
    let counts = domains_by_price(view).into_iter().enumerate().map(|(i, domain)| {
        let count = base + u32::from(i < with_extra);
        (domain.clone(), count.clamp(min, max))
    });
    counts.collect()
}

/// Returns how many on-demand endpoints to have as substitutes for missing reclaimable ones.
///
/// Running ones are kept until reclaimable endpoints serve, not only until these are ordered: a
/// boot takes seconds, in which requests would be refused.
pub(super) fn on_demand_target(
    need: u32,
    expected: u32,
    current: &BTreeMap<Name, EndpointCounts>,
) -> u32 {
    let reclaimable: u32 = current.values().map(|counts| counts.reclaimable).sum();
    let on_demand: u32 = current.values().map(|counts| counts.on_demand).sum();
    let shortfall = need.saturating_sub(expected);
    shortfall.max(on_demand.min(need.saturating_sub(reclaimable)))
}

/// Returns how many reclaimable endpoints remain if a wave reclaims those of `domains` further
/// failure domains, the largest ones.
pub(super) fn reclaimable_after_wave(
    current: &BTreeMap<Name, EndpointCounts>,
    domains: usize,
) -> u32 {
    let mut counts: Vec<u32> = current.values().map(|counts| counts.reclaimable).collect();
    counts.sort_unstable();
    counts.iter().rev().skip(domains).sum()
}

/// Returns how many failure domains remain after the loss of one; at least one.
fn remaining_domains(view: &PoolView<'_>) -> u32 {
    view.range.prices.len().saturating_sub(1).max(1) as u32
}

/// Counts the endpoints that are not leaving, by failure domain.
pub(super) fn current_counts(view: &PoolView<'_>) -> BTreeMap<Name, EndpointCounts> {
    let mut current: BTreeMap<Name, EndpointCounts> = BTreeMap::new();
    for endpoint in view.endpoints.iter().filter(|endpoint| !endpoint.is_leaving) {
        let counts = current.entry(endpoint.domain.clone()).or_default();
        match endpoint.reclaimable {
            true => counts.reclaimable += 1,
            false => counts.on_demand += 1,
        }
    }
    current
}
