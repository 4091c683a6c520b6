//! Membership of entry instances and endpoints: who lives, who is leaving, who was replaced.

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
