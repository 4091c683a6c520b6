//! The settings tree: a typed document for each subtree, validated on each change, inherited by the
//! subtrees below and versioned by revisions.

pub mod check;
pub mod document;
pub mod effective;
pub mod json;
pub mod object;
pub mod owner;
pub mod pieces;
pub mod read;
mod read_route;
pub mod route;
pub mod stored;
pub mod tree;

pub use document::{
    Account, CallRule, Document, KeyHash, LatencyTarget, Limit, Placement, Service,
};
pub use effective::{EffectiveAccount, EffectiveService, EffectiveSettings};
pub use json::read_json;
pub use owner::{Operator, redact};
pub use pieces::PieceId;
pub use route::{CallerBounds, CapacityRange, Engine, Pool, Route, RouteKind, Share};
pub use stored::{DocumentText, StoredDocument};
pub use tree::{Subtree, Tree};
