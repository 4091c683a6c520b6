//! The settings tree: one subtree for each team, typed, inherited downwards, with revisions.

pub mod document;
pub mod effective;
pub mod tree;

pub use document::{
    Account, CallRule, Document, KeyHash, LatencyTarget, Limit, Placement, Service,
};
pub use effective::{Effective, EffectiveAccount, EffectiveService};
pub use tree::{Subtree, Tree};
