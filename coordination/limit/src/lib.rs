//! Rate limits of client accounts, divided among all entry instances.

pub mod bucket;
pub mod demand;
mod exchange;
pub mod limiter;
pub mod tree;
pub mod weakening;

pub use bucket::Bucket;
pub use demand::Rates;
pub use limiter::{
    AccountLimit, Action, Cost, Event, Limiter, LimiterCfg, Split, SplitCfg, Verdict,
};
pub use tree::{Members, Peer};
pub use weakening::Weakening;
