//! Choice of the endpoint for a request: prefix cache, lagging load, bounded load, reclaim risk, price.

pub mod ask;
mod endpoint;
mod holders;
mod home;
mod newest;
pub mod policy;
pub mod prefix;
pub mod retry;
mod risk;
pub mod router;
mod score;
mod survey;
pub mod view;
pub mod weaken;

pub use ask::{Ask, Choice, Chosen, Event, Outcome, Refusal, RefusalReason, Target};
pub use policy::{ByPriority, Drawn, Policy, PolicyCfg};
pub use retry::{RetryBudget, RetryCfg};
pub use router::{Router, RouterCfg};
pub use view::PoolView;
pub use weaken::Weakening;
