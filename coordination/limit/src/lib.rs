//! Limits of client accounts, shared by all entry instances.

mod bucket;
pub mod demand;
pub mod exchange;
pub mod limiter;
mod tree;
pub mod weaken;

pub use demand::Rates;
pub use exchange::Member;
pub use limiter::{
    AccountLimit, Action, Cost, Event, Limiter, LimiterCfg, Split, SplitCfg, Verdict,
};
pub use weaken::Weakening;
