//! Membership of entry instances and endpoints: which are live, leaving or replaced.

pub mod cfg;
pub mod digest;
pub mod endpoints;
pub mod entries;
pub mod event;
pub mod foreign;
pub mod members;

pub use cfg::{MemberCfg, Weakening};
pub use event::{Action, Event, Report};
pub use members::{CLOCK_START, Members};
