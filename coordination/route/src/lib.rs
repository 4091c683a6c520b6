//! Choice of the endpoint for a request, by prefix cache, reported load, reclaim risk and price.

mod endpoint;
mod holders;
mod home;
mod pace;
mod performance;
pub mod policy;
mod pool_stats;
pub mod prefix;
pub mod request;
pub mod retry;
mod risk;
mod room;
pub mod router;
mod score;
mod versions;
pub mod view;
pub mod weakening;

pub use performance::EndpointWeights;
pub use policy::{Policy, PolicyCfg, PriorityBounds, SampleSize};
pub use request::{
    AdmittedEndpoints, Choice, ChosenEndpoint, Event, Guard, Outcome, Refusal, RefusalReason,
    RouteRequest, SendRate, Target,
};
pub use retry::{RetryBudget, RetryCfg};
pub use router::{Router, RouterCfg};
pub use view::PoolView;
pub use weakening::Weakening;
