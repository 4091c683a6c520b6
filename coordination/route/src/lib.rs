//! Choice of the endpoint for a request: prefix cache, lagging load, bounded load, reclaim risk, price.

pub mod ask;
pub mod router;

pub use ask::{Ask, Choice, Chosen, Event, Outcome, Refusal, RefusalReason, Target};
pub use router::{Router, RouterCfg};
