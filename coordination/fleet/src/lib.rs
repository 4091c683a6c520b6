//! Capacity: what to start, stop, load and drain, where, and at what price.

pub mod backoff;
pub mod demand;
pub mod loads;
pub mod machine;
pub mod offer;
pub mod orders;
pub mod plan;

pub use machine::{Action, Event, Fleet, FleetCfg, Policy};
pub use offer::{Offer, OfferKey};
pub use orders::{FenceCheck, Issuer, OrderCfg, Weakening};
pub use plan::{Need, Plan, cheapest};
