//! Capacity planning: which instances to start, stop, load and drain, in which failure domains, and
//! whether reclaimable or on-demand.

pub mod backoff;
mod baseline;
pub mod cfg;
pub mod counts;
pub mod demand;
pub mod event;
pub mod loads;
pub mod machine;
pub mod offer;
pub mod orders;
pub mod plan;

pub use cfg::{FleetCfg, Policy};
pub use counts::{CountCfg, CountOrder, CountPlanner, Demand, LiveEndpoint, PoolView};
pub use event::{Action, Event, ServiceTarget, StartId};
pub use machine::Fleet;
pub use offer::{Offer, OfferKey};
pub use orders::{FenceCheck, OrderCfg, OrderIssuer, Weakening};
pub use plan::{Need, Plan, cheapest_plan};
