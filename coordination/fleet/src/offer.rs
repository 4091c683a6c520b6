//! What the platform offers: instances of a class in a failure domain, at a price.

use serde::{Deserialize, Serialize};
use sill_base::Name;
use sill_tree::Placement;

/// Names an offer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OfferKey {
    /// The failure domain.
    pub domain: Name,
    /// The machine class.
    pub class: Name,
    /// Whether the platform may take the instance back.
    pub reclaimable: bool,
}

/// An offer as the platform quotes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// Its name.
    pub key: OfferKey,
    /// Price of an instance in thousandths of a currency unit an hour.
    pub price: u64,
    /// Requests that an instance runs side by side within the latency target.
    pub slots: u32,
    /// How often an instance of the offer was taken back lately, in a thousand hours.
    pub reclaims_per_1000h: u32,
}

impl Offer {
    /// Returns what an hour costs once the work lost by reclaims is counted in, in thousandths of a
    /// currency unit.
    pub fn price_with_risk(&self, cost_of_reclaim: u64) -> u64 {
        self.price + cost_of_reclaim * u64::from(self.reclaims_per_1000h) / 1000
    }

    /// Returns whether settings allow the offer.
    pub fn is_allowed(&self, placement: &Placement, price_cap: Option<u64>) -> bool {
        let domain_ok =
            placement.domains.is_empty() || placement.domains.contains(&self.key.domain);
        let class_ok = placement.classes.is_empty() || placement.classes.contains(&self.key.class);
        let kind_ok = placement.reclaimable.unwrap_or(true) || !self.key.reclaimable;
        let price_ok = price_cap.is_none_or(|cap| self.price <= cap);
        domain_ok && class_ok && kind_ok && price_ok && self.slots > 0
    }
}
