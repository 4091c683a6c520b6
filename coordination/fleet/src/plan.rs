//! The cheapest set of instances that still carries the demand with any one failure domain lost.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::Name;

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
const KEEP_PRICE_PERCENT: u64 = 75;

/// Bounds on the slots of one failure domain that are tried in each of two rounds.
const BOUNDS_A_ROUND: u32 = 32;

/// Finds the cheapest plan.
///
/// For each bound on the slots of one failure domain, instances are taken cheapest slot first until
/// the need is met without the largest domain; the cheapest of these plans wins. With instances of
/// one size and few enough steps this is exact. Larger needs are searched coarsely,
/// then closely around the best, since a leader has a share of one core for all services.
pub fn cheapest_plan(need: &Need, candidates: &[Candidate]) -> Plan {
    let tranches = tranches(candidates);
    let step = tranches.iter().map(|t| t.slots).min().unwrap_or(1).max(1);
    let largest_instance = tranches.iter().map(|t| t.slots).max().unwrap_or(0);
    let domains = tranches.iter().map(|t| t.domain + 1).max().unwrap_or(0);
    let smallest = need.slots.div_ceil(domains.saturating_sub(1).max(1) as u32);
    let from = smallest.div_ceil(step);
    let to = (need.slots + largest_instance).div_ceil(step).max(from);
    let coarse = (to - from).div_ceil(BOUNDS_A_ROUND).max(1);
    let mut best = Best::default();
    let bounds = (0..=BOUNDS_A_ROUND).map(|i| (from + i * coarse).min(to));
    bounds.for_each(|bound| best.offer(need, &tranches, bound * step));
    if coarse > 1 {
        let around = best.bound / step;
        let from = around.saturating_sub(coarse).max(from);
        let fine = (2 * coarse).div_ceil(BOUNDS_A_ROUND).max(1);
        let bounds = (0..=BOUNDS_A_ROUND).map(|i| (from + i * fine).min(to));
        bounds.for_each(|bound| best.offer(need, &tranches, bound * step));
    }
    best.taken.map(|taken| taken.plan(need, &tranches)).unwrap_or_default()
}

/// Instances of one offer at one price.
#[derive(Debug, Clone)]
struct Tranche {
    key: OfferKey,
    domain: usize,
    price: u64,
    slots: u32,
    limit: u32,
}

fn tranches(candidates: &[Candidate]) -> Vec<Tranche> {
    let mut names: Vec<&Name> = candidates.iter().map(|c| &c.offer.key.domain).collect();
    names.sort();
    names.dedup();
    let mut tranches = Vec::with_capacity(candidates.len() * 2);
    for candidate in candidates.iter().filter(|c| c.offer.slots > 0) {
        let kept = candidate.running.min(candidate.limit);
        let domain = names.binary_search(&&candidate.offer.key.domain).unwrap_or_default();
        let tranche = |price, limit| Tranche {
            key: candidate.offer.key.clone(),
            domain,
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

/// The best filling so far.
#[derive(Default)]
struct Best {
    bound: u32,
    taken: Option<Taken>,
}

impl Best {
    fn offer(&mut self, need: &Need, tranches: &[Tranche], bound: u32) {
        let taken = fill(need, tranches, bound);
        if self.taken.as_ref().is_none_or(|best| taken.is_better(best, need)) {
            self.taken = Some(taken);
            self.bound = bound;
        }
    }
}

/// Instances taken so far, by tranche.
struct Taken {
    counts: Vec<u32>,
    by_domain: Vec<u32>,
    total: u32,
    instances: u32,
    price: u64,
}

impl Taken {
    fn new(tranches: &[Tranche]) -> Self {
        let domains = tranches.iter().map(|t| t.domain + 1).max().unwrap_or(0);
        Self {
            counts: vec![0; tranches.len()],
            by_domain: vec![0; domains],
            total: 0,
            instances: 0,
            price: 0,
        }
    }

    fn slots_after_loss(&self) -> u32 {
        self.total - self.by_domain.iter().copied().max().unwrap_or(0)
    }

    fn meets(&self, need: &Need) -> bool {
        self.slots_after_loss() >= need.slots && self.instances >= need.min_instances
    }

    /// A plan that meets the need wins by price; of two that don't, the one with more left.
    fn is_better(&self, other: &Self, need: &Need) -> bool {
        match (self.meets(need), other.meets(need)) {
            (true, true) => self.price < other.price,
            (false, false) => {
                let left = |t: &Self| (t.slots_after_loss(), t.total.min(need.slots));
                (left(self), other.price) > (left(other), self.price)
            }
            (meets, _) => meets,
        }
    }

    fn add(&mut self, i: usize, tranche: &Tranche, count: u32) {
        self.counts[i] += count;
        self.by_domain[tranche.domain] += tranche.slots * count;
        self.total += tranche.slots * count;
        self.instances += count;
        self.price += tranche.price * u64::from(count);
    }

    fn remove_one(&mut self, i: usize, tranche: &Tranche) {
        self.counts[i] -= 1;
        self.by_domain[tranche.domain] -= tranche.slots;
        self.total -= tranche.slots;
        self.instances -= 1;
        self.price -= tranche.price;
    }

    fn plan(self, need: &Need, tranches: &[Tranche]) -> Plan {
        let mut counts = BTreeMap::new();
        for (tranche, count) in tranches.iter().zip(&self.counts).filter(|(_, count)| **count > 0) {
            *counts.entry(tranche.key.clone()).or_default() += count;
        }
        Plan {
            counts,
            price: self.price,
            slots: self.total,
            slots_after_loss: self.slots_after_loss(),
            survives_loss: self.meets(need),
        }
    }
}

fn fill(need: &Need, tranches: &[Tranche], bound: u32) -> Taken {
    let mut taken = Taken::new(tranches);
    for (i, tranche) in tranches.iter().enumerate() {
        if taken.meets(need) {
            break;
        }
        let room = bound.saturating_sub(taken.by_domain[tranche.domain]) / tranche.slots;
        // Enough even if this domain turns out the largest; what is too much is trimmed below.
        let missing = (need.slots + bound).saturating_sub(taken.total).div_ceil(tranche.slots);
        let missing = missing.max(need.min_instances.saturating_sub(taken.instances));
        let count = tranche.limit.min(room).min(missing);
        taken.add(i, tranche, count);
    }
    trim(need, &mut taken, tranches);
    taken
}

/// Gives up instances that turned out not to be needed, the dearest slots first.
fn trim(need: &Need, taken: &mut Taken, tranches: &[Tranche]) {
    if !taken.meets(need) {
        return;
    }
    for (i, tranche) in tranches.iter().enumerate().rev() {
        while taken.counts[i] > 0 {
            taken.remove_one(i, tranche);
            if !taken.meets(need) {
                taken.add(i, tranche, 1);
                break;
            }
        }
    }
}
