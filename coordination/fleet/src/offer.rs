//! Offers of the platform: instances of a machine class in a failure domain, at a price.

use serde::{Deserialize, Serialize};
use sill_base::Name;
use sill_tree::Placement;

/// Identifies an offer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OfferKey {
    /// Failure domain of its instances.
    pub domain: Name,
    /// Machine class of its instances.
    pub class: Name,
    /// Whether the platform may reclaim its instances; otherwise they are on-demand.
    pub reclaimable: bool,
}

/// An offer as the platform quotes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Identifies the offer.
    pub key: OfferKey,
    /// Price of an instance in thousandths of a currency unit an hour.
    pub price: u64,
    /// Number of requests that an instance runs concurrently within the latency target.
    pub slots: u32,
    /// Recent number of reclaims in a thousand instance hours of this offer.
    pub reclaims_per_1000h: u32,
}

impl Offer {
    /// Returns the price of an instance plus the expected cost of the work that reclaims destroy,
    /// in thousandths of a currency unit an hour.
    pub fn price_with_risk(&self, cost_of_reclaim: u64) -> u64 {
        self.price + cost_of_reclaim * u64::from(self.reclaims_per_1000h) / 1000
    }

    /// Returns whether the settings allow instances of this offer.
    pub fn is_allowed(&self, placement: &Placement, price_cap: Option<u64>) -> bool {
        let domain_ok =
            placement.domains.is_empty() || placement.domains.contains(&self.key.domain);
        let class_ok = placement.classes.is_empty() || placement.classes.contains(&self.key.class);
        let kind_ok = placement.reclaimable.unwrap_or(true) || !self.key.reclaimable;
        let price_ok = price_cap.is_none_or(|cap| self.price <= cap);
        domain_ok && class_ok && kind_ok && price_ok && self.slots > 0
    }
}
