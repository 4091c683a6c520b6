//! Plans of each policy: the one in use, and the baselines that it is compared with.

use std::collections::BTreeMap;

use crate::cfg::Policy;
use crate::plan::{Candidate, Need, Plan, cheapest_plan};

/// Returns how many instances of each candidate the policy has for the need.
pub(crate) fn plan_for_policy(policy: Policy, need: &Need, mut candidates: Vec<Candidate>) -> Plan {
    match policy {
        Policy::CheapestSurviving => cheapest_plan(need, &candidates),
        Policy::AllOnDemand => {
            candidates.retain(|c| !c.offer.key.reclaimable);
            cheapest_plan(need, &candidates)
        }
        Policy::CheapestReclaimable => {
            candidates.retain(|c| c.offer.key.reclaimable);
            candidates.sort_by_key(|c| (c.offer.price, c.offer.key.clone()));
            let mut plan = Plan::default();
            for candidate in &candidates {
                let missing = need.slots.saturating_sub(plan.slots);
                add_instances(&mut plan, candidate, missing.div_ceil(candidate.offer.slots));
            }
            plan
        }
        Policy::FixedShares => fixed_shares(need, &candidates),
    }
}

/// Covers the need in equal shares: half reclaimable, half on-demand, the same in each failure
/// domain.
fn fixed_shares(need: &Need, candidates: &[Candidate]) -> Plan {
    let mut plan = Plan::default();
    let domains = BTreeMap::from_iter(candidates.iter().map(|c| (&c.offer.key.domain, ())));
    let share = need.slots.div_ceil(2 * domains.len().max(1) as u32);
    for reclaimable in [true, false] {
        for domain in domains.keys() {
            let in_domain = candidates.iter().filter(|c| {
                c.offer.key.domain == **domain && c.offer.key.reclaimable == reclaimable
            });
            if let Some(candidate) = in_domain.min_by_key(|c| c.offer.price) {
                add_instances(&mut plan, candidate, share.div_ceil(candidate.offer.slots));
            }
        }
    }
    plan
}

/// Adds up to `count` instances of a candidate, within its limit.
fn add_instances(plan: &mut Plan, candidate: &Candidate, count: u32) {
    let count = count.min(candidate.limit);
    if count > 0 {
        *plan.counts.entry(candidate.offer.key.clone()).or_default() += count;
        plan.slots += count * candidate.offer.slots;
        plan.price += u64::from(count) * candidate.price;
    }
}
