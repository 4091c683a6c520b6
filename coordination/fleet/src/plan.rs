//! Search for the cheapest set of instances that still carries the demand after the loss of any one
//! failure domain.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::Name;

use crate::offer::{Offer, OfferKey};

/// Capacity that a service needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Slots that must remain after the loss of the largest failure domain.
    pub slots: u32,
    /// Lowest number of instances, whatever their slots.
    pub min_instances: u32,
}

/// An offer with the figures that the choice depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Offer to take instances from.
    pub offer: Offer,
    /// Price of an instance that includes the risk of reclaims, in thousandths of a currency unit
    /// an hour.
    pub price: u64,
    /// Instances of the offer that run or start already; keeping them costs less than replacing
    /// them.
    pub running: u32,
    /// Highest number of instances; equals `running` while the platform refuses new ones.
    pub limit: u32,
}

/// How many instances to have of each offer.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Number of instances by offer.
    pub counts: BTreeMap<OfferKey, u32>,
    /// Total price in thousandths of a currency unit an hour, with the discount for instances that
    /// are kept; meant for comparing plans.
    pub price: u64,
    /// Total number of slots.
    pub slots: u32,
    /// Slots that remain after the loss of the largest failure domain.
    pub slots_after_loss: u32,
    /// Whether the need is met after the loss of any one failure domain.
    pub survives_loss: bool,
}

/// Percentage of its price at which an instance that runs already enters the comparison.
///
/// Without this discount instances would move back and forth between two offers of nearly the same
/// price, and each move loses a prefix cache.
const KEEP_PRICE_PERCENT: u64 = 75;

/// Number of intervals into which each of the two search rounds divides its range of bounds on the
/// slots of one failure domain.
const BOUNDS_PER_ROUND: u32 = 32;

/// Finds the cheapest plan.
///
/// For each bound on the slots of one failure domain, instances are allocated cheapest slot first
/// until the need is met without the largest domain; the cheapest of these plans wins. The result
/// is exact if all instances have the same number of slots and the bounds fit into one round.
/// Larger needs are searched in coarse steps and then in fine steps around the best bound, since a
/// leader has only a share of one core for all services.
pub fn cheapest_plan(need: &Need, candidates: &[Candidate]) -> Plan {
    let tranches = tranches(candidates);
    let step = tranches.iter().map(|t| t.slots).min().unwrap_or(1).max(1);
    let largest_instance = tranches.iter().map(|t| t.slots).max().unwrap_or(0);
    let domains = tranches.iter().map(|t| t.domain + 1).max().unwrap_or(0);
    let smallest = need.slots.div_ceil(domains.saturating_sub(1).max(1) as u32);
    let from = smallest.div_ceil(step);
    let to = (need.slots + largest_instance).div_ceil(step).max(from);
    let coarse = (to - from).div_ceil(BOUNDS_PER_ROUND).max(1);
    let mut best = BestAllocation::default();
    let bounds = (0..=BOUNDS_PER_ROUND).map(|i| (from + i * coarse).min(to));
    bounds.for_each(|bound| best.try_bound(need, &tranches, bound * step));
    if coarse > 1 {
        let around = best.bound / step;
        let from = around.saturating_sub(coarse).max(from);
        let fine = (2 * coarse).div_ceil(BOUNDS_PER_ROUND).max(1);
        let bounds = (0..=BOUNDS_PER_ROUND).map(|i| (from + i * fine).min(to));
        bounds.for_each(|bound| best.try_bound(need, &tranches, bound * step));
    }
    best.allocation.map(|allocation| allocation.into_plan(need, &tranches)).unwrap_or_default()
}

/// Instances of one offer at the same price for comparison: either running or new ones.
#[derive(Debug, Clone)]
struct Tranche {
    key: OfferKey,
    /// Index into the sorted failure domains.
    domain: usize,
    price: u64,
    slots: u32,
    limit: u32,
}

/// Splits candidates into tranches, the cheapest slot first.
fn tranches(candidates: &[Candidate]) -> Vec<Tranche> {
    let mut names: Vec<&Name> = candidates.iter().map(|c| &c.offer.key.domain).collect();
    names.sort();
    names.dedup();
    let mut tranches = Vec::with_capacity(candidates.len() * 2);
    for candidate in candidates.iter().filter(|c| c.offer.slots > 0) {
        let running = candidate.running.min(candidate.limit);
        let domain = names.binary_search(&&candidate.offer.key.domain).unwrap_or_default();
        let tranche = |price, limit| Tranche {
            key: candidate.offer.key.clone(),
            domain,
            price,
            slots: candidate.offer.slots,
            limit,
        };
        tranches.push(tranche(candidate.price * KEEP_PRICE_PERCENT / 100, running));
        tranches.push(tranche(candidate.price, candidate.limit - running));
    }
    tranches.retain(|t| t.limit > 0);
    // Compares prices per slot by cross-multiplication, which rounds nothing.
    tranches.sort_by(|a, b| {
        let left = a.price * u64::from(b.slots);
        let right = b.price * u64::from(a.slots);
        left.cmp(&right).then_with(|| a.key.cmp(&b.key))
    });
    tranches
}

/// The best allocation found so far, with the bound that led to it.
#[derive(Default)]
struct BestAllocation {
    bound: u32,
    allocation: Option<Allocation>,
}

impl BestAllocation {
    fn try_bound(&mut self, need: &Need, tranches: &[Tranche], bound: u32) {
        let allocation = allocate(need, tranches, bound);
        if self.allocation.as_ref().is_none_or(|best| allocation.is_better_than(best, need)) {
            self.allocation = Some(allocation);
            self.bound = bound;
        }
    }
}

/// Number of instances allocated from each tranche, with their totals.
struct Allocation {
    counts: Vec<u32>,
    slots_by_domain: Vec<u32>,
    total_slots: u32,
    instances: u32,
    price: u64,
}

impl Allocation {
    fn new(tranches: &[Tranche]) -> Self {
        let domains = tranches.iter().map(|t| t.domain + 1).max().unwrap_or(0);
        Self {
            counts: vec![0; tranches.len()],
            slots_by_domain: vec![0; domains],
            total_slots: 0,
            instances: 0,
            price: 0,
        }
    }

    fn slots_after_loss(&self) -> u32 {
        self.total_slots - self.slots_by_domain.iter().copied().max().unwrap_or(0)
    }

    fn meets(&self, need: &Need) -> bool {
        self.slots_after_loss() >= need.slots && self.instances >= need.min_instances
    }

    /// Returns whether this allocation is better: one that meets the need beats one that does not.
    /// If both meet it, the lower price decides; if neither does, the slots left after a loss, then
    /// the total slots up to the need, then the price.
    fn is_better_than(&self, other: &Self, need: &Need) -> bool {
        match (self.meets(need), other.meets(need)) {
            (true, true) => self.price < other.price,
            (false, false) => {
                let remaining = |t: &Self| (t.slots_after_loss(), t.total_slots.min(need.slots));
                (remaining(self), other.price) > (remaining(other), self.price)
            }
            (meets, _) => meets,
        }
    }

    fn add(&mut self, i: usize, tranche: &Tranche, count: u32) {
        self.counts[i] += count;
        self.slots_by_domain[tranche.domain] += tranche.slots * count;
        self.total_slots += tranche.slots * count;
        self.instances += count;
        self.price += tranche.price * u64::from(count);
    }

    fn remove_one(&mut self, i: usize, tranche: &Tranche) {
        self.counts[i] -= 1;
        self.slots_by_domain[tranche.domain] -= tranche.slots;
        self.total_slots -= tranche.slots;
        self.instances -= 1;
        self.price -= tranche.price;
    }

    fn into_plan(self, need: &Need, tranches: &[Tranche]) -> Plan {
        let mut counts = BTreeMap::new();
        for (tranche, count) in tranches.iter().zip(&self.counts).filter(|(_, count)| **count > 0) {
            *counts.entry(tranche.key.clone()).or_default() += count;
        }
        Plan {
            counts,
            price: self.price,
            slots: self.total_slots,
            slots_after_loss: self.slots_after_loss(),
            survives_loss: self.meets(need),
        }
    }
}

/// Allocates instances cheapest slot first, with at most `bound` slots in each failure domain.
fn allocate(need: &Need, tranches: &[Tranche], bound: u32) -> Allocation {
    let mut allocation = Allocation::new(tranches);
    for (i, tranche) in tranches.iter().enumerate() {
        if allocation.meets(need) {
            break;
        }
        let room = bound.saturating_sub(allocation.slots_by_domain[tranche.domain]) / tranche.slots;
        // Suffices even if this domain becomes the largest one; `trim` removes the excess.
        let missing =
            (need.slots + bound).saturating_sub(allocation.total_slots).div_ceil(tranche.slots);
        let missing = missing.max(need.min_instances.saturating_sub(allocation.instances));
        let count = tranche.limit.min(room).min(missing);
        allocation.add(i, tranche, count);
    }
    trim(need, &mut allocation, tranches);
    allocation
}

/// Removes instances that the need is met without, the most expensive slots first.
fn trim(need: &Need, allocation: &mut Allocation, tranches: &[Tranche]) {
    if !allocation.meets(need) {
        return;
    }
    for (i, tranche) in tranches.iter().enumerate().rev() {
        while allocation.counts[i] > 0 {
            allocation.remove_one(i, tranche);
            if !allocation.meets(need) {
                allocation.add(i, tranche, 1);
                break;
            }
        }
    }
}
