//! What stands in each failure domain, and how a need is spread over them.

use std::collections::BTreeMap;

use sill_base::Name;

use super::PoolView;

/// Endpoints of one failure domain that stay.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Staying {
    pub(super) reclaimable: u32,
    pub(super) on_demand: u32,
}

/// Returns the failure domains, the cheapest first.
pub(super) fn by_price<'a>(view: &PoolView<'a>) -> Vec<&'a Name> {
    let mut domains: Vec<(&Name, f64)> =
        view.range.prices.iter().map(|(domain, price)| (domain, *price)).collect();
    domains.sort_by(|a, b| a.1.total_cmp(&b.1));
    domains.into_iter().map(|(domain, _)| domain).collect()
}

/// Returns how many endpoints to have in each failure domain, so that the need is met without any one of
/// them. Where it is no multiple of the others, the cheapest domains have one more.
pub(super) fn spread(need: u32, view: &PoolView<'_>) -> Vec<(Name, u32)> {
    let others = other_domains(view);
    let (each, rest) = (need / others, need % others);
    // The domain that is lost may be one of those with one more.
    let with_more = if rest == 0 { 0 } else { rest as usize + 1 };
    let (least, most) = (view.range.min.max(1), view.range.max.max(1));
    let counts = by_price(view).into_iter().enumerate().map(|(i, domain)| {
        let count = each + u32::from(i < with_more);
        (domain.clone(), count.clamp(least, most))
    });
    counts.collect()
}

/// Returns how many on-demand endpoints are wanted.
///
/// Those that run stay until reclaimable ones serve in their place, not only until these are ordered:
/// a boot takes seconds, in which the load would be refused.
pub(super) fn stand_ins(need: u32, expected: u32, staying: &BTreeMap<Name, Staying>) -> u32 {
    let live: u32 = staying.values().map(|have| have.reclaimable).sum();
    let running: u32 = staying.values().map(|have| have.on_demand).sum();
    let short = need.saturating_sub(expected);
    short.max(running.min(need.saturating_sub(live)))
}

/// Returns how many reclaimable endpoints are left once a wave has taken back those of further failure domains,
/// the largest first.
pub(super) fn left_by_wave(staying: &BTreeMap<Name, Staying>, domains: usize) -> u32 {
    let mut counts: Vec<u32> = staying.values().map(|have| have.reclaimable).collect();
    counts.sort_unstable();
    counts.iter().rev().skip(domains).sum()
}

/// Returns how many failure domains are left when one is lost.
fn other_domains(view: &PoolView<'_>) -> u32 {
    view.range.prices.len().saturating_sub(1).max(1) as u32
}

pub(super) fn staying(view: &PoolView<'_>) -> BTreeMap<Name, Staying> {
    let mut staying: BTreeMap<Name, Staying> = BTreeMap::new();
    for endpoint in view.endpoints.iter().filter(|endpoint| !endpoint.is_leaving) {
        let of_domain = staying.entry(endpoint.domain.clone()).or_default();
        match endpoint.reclaimable {
            true => of_domain.reclaimable += 1,
            false => of_domain.on_demand += 1,
        }
    }
    staying
}
