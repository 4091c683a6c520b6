//! Choice of the endpoint for a request: prefix cache, lagging load, bounded load, reclaim risk, price.

mod endpoint;
mod holders;
mod home;
mod newest;
pub mod policy;
pub mod prefix;
pub mod request;
pub mod retry;
mod risk;
pub mod router;
mod score;
mod survey;
pub mod view;
pub mod weakening;

pub use policy::{Policy, PolicyCfg, PriorityBounds, SampleSize};
pub use request::{
    Choice, ChosenEndpoint, Event, Outcome, Refusal, RefusalReason, RouteRequest, Target,
};
pub use retry::{RetryBudget, RetryCfg};
pub use router::{Router, RouterCfg};
pub use view::PoolView;
pub use weakening::Weakening;
