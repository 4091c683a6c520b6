//! The cheapest set of instances that still carries the demand with any one failure domain lost.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::{Map, Name};

use crate::offer::{Offer, OfferKey};

/// What a service needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Slots that must be left when the largest failure domain is gone.
    pub slots: u32,
    /// Instances wanted at least.
    pub min_instances: u32,
}

/// An offer with what bears on choosing it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The offer.
    pub offer: Offer,
    /// Price for comparison, with the risk of reclaims counted in.
    pub price: u64,
    /// Instances of it that run already, which cost less to keep than to replace.
    pub running: u32,
    /// The most instances to have of it; those that run, while new ones are refused.
    pub limit: u32,
}

/// How many instances to have of each offer.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Instances by offer.
    pub counts: BTreeMap<OfferKey, u32>,
    /// Price of the whole in thousandths of a currency unit an hour, for comparison.
    pub price: u64,
    /// Slots in all.
    pub slots: u32,
    /// Slots left when the largest failure domain is gone.
    pub slots_after_loss: u32,
    /// Whether the need is met with any one failure domain lost.
    pub survives_loss: bool,
}

/// Share of its price, in percent, at which an instance that runs already is counted.
///
/// Without it two offers of nearly the same price would make instances move back and forth, each
/// move losing the prefix cache.
const KEEP_PRICE_PERCENT: u64 = 90;

/// Finds the cheapest plan.
///
/// For each bound on the slots of one failure domain, instances are taken cheapest slot first until
/// the need is met without the largest domain; the cheapest of these plans wins. With instances of
/// one size this is exact; with mixed sizes it may be off by an instance.
pub fn cheapest(need: &Need, candidates: &[Candidate]) -> Plan {
    let tranches = tranches(candidates);
    let step = tranches.iter().map(|t| t.slots).min().unwrap_or(1).max(1);
    let domains = domains(&tranches);
    let smallest = need.slots.div_ceil(domains.saturating_sub(1).max(1) as u32);
    let largest = need.slots + tranches.iter().map(|t| t.slots).max().unwrap_or(0);
    let mut best: Option<Plan> = None;
    let mut bound = smallest.div_ceil(step) * step;
    loop {
        let plan = fill(need, &tranches, bound);
        if best.as_ref().is_none_or(|best| is_better(&plan, best)) {
            best = Some(plan);
        }
        if bound >= largest {
            break;
        }
        bound += step;
    }
    best.unwrap_or_default()
}

fn is_better(plan: &Plan, other: &Plan) -> bool {
    let rank = |p: &Plan| {
        let missing = if p.survives_loss { 0 } else { u64::from(u32::MAX - p.slots_after_loss) };
        (!p.survives_loss, missing, u64::from(u32::MAX - p.slots) * missing.min(1), p.price)
    };
    rank(plan) < rank(other)
}

/// Instances of one offer at one price.
#[derive(Debug, Clone)]
struct Tranche {
    key: OfferKey,
    price: u64,
    slots: u32,
    limit: u32,
}

fn tranches(candidates: &[Candidate]) -> Vec<Tranche> {
    let mut tranches = Vec::with_capacity(candidates.len() * 2);
    for candidate in candidates.iter().filter(|c| c.offer.slots > 0) {
        let kept = candidate.running.min(candidate.limit);
        let tranche = |price, limit| Tranche {
            key: candidate.offer.key.clone(),
            price,
            slots: candidate.offer.slots,
            limit,
        };
        tranches.push(tranche(candidate.price * KEEP_PRICE_PERCENT / 100, kept));
        tranches.push(tranche(candidate.price, candidate.limit - kept));
    }
    tranches.retain(|t| t.limit > 0);
    // Compared by price for each slot, without the rounding of a division.
    tranches.sort_by(|a, b| {
        let left = a.price * u64::from(b.slots);
        let right = b.price * u64::from(a.slots);
        left.cmp(&right).then_with(|| a.key.cmp(&b.key))
    });
    tranches
}

fn domains(tranches: &[Tranche]) -> usize {
    let mut names: Vec<&Name> = tranches.iter().map(|t| &t.key.domain).collect();
    names.sort();
    names.dedup();
    names.len()
}

/// Instances taken so far.
#[derive(Default)]
struct Taken {
    by_domain: Map<Name, u32>,
    counts: BTreeMap<OfferKey, u32>,
    total: u32,
    instances: u32,
    price: u64,
}

impl Taken {
    fn largest(&self) -> u32 {
        self.by_domain.values().copied().max().unwrap_or(0)
    }

    fn meets(&self, need: &Need) -> bool {
        self.total - self.largest() >= need.slots && self.instances >= need.min_instances
    }

    fn change(&mut self, tranche: &Tranche, add: bool) {
        let used = self.by_domain.entry(tranche.key.domain.clone()).or_default();
        let count = self.counts.entry(tranche.key.clone()).or_default();
        if add {
            *used += tranche.slots;
            *count += 1;
            self.total += tranche.slots;
            self.instances += 1;
            self.price += tranche.price;
        } else {
            *used -= tranche.slots;
            *count -= 1;
            self.total -= tranche.slots;
            self.instances -= 1;
            self.price -= tranche.price;
        }
    }
}

fn fill(need: &Need, tranches: &[Tranche], bound: u32) -> Plan {
    let mut taken = Taken::default();
    let mut order: Vec<&Tranche> = Vec::new();
    'all: for tranche in tranches {
        for _ in 0..tranche.limit {
            if taken.meets(need) {
                break 'all;
            }
            let used = taken.by_domain.get(&tranche.key.domain).copied().unwrap_or(0);
            if used + tranche.slots > bound {
                break;
            }
            taken.change(tranche, true);
            order.push(tranche);
        }
    }
    trim(need, &mut taken, &order);
    taken.counts.retain(|_, count| *count > 0);
    Plan {
        price: taken.price,
        slots: taken.total,
        slots_after_loss: taken.total - taken.largest(),
        survives_loss: taken.meets(need),
        counts: taken.counts,
    }
}

/// Gives up instances that turned out not to be needed, the dearest first.
fn trim(need: &Need, taken: &mut Taken, order: &[&Tranche]) {
    if !taken.meets(need) {
        return;
    }
    let mut order = order.to_vec();
    order.sort_by_key(|t| std::cmp::Reverse(t.price));
    for tranche in order {
        taken.change(tranche, false);
        if !taken.meets(need) {
            taken.change(tranche, true);
        }
    }
}
