//! The lifecycle of a request: claims, attempts, retries, stream resume and hand-off.

pub mod claims;
pub mod drain;
pub mod flight;
pub mod handoff;
pub mod home;
pub mod journal;
pub mod lifecycle;
pub mod sse;
pub mod transcript;

pub use claims::{ClaimBounds, ClaimTable};
pub use flight::{
    Action, Event, InFlightRequest, Placement, RecomputeCause, RequestCfg, RequestSpec, Weakening,
};
pub use lifecycle::{Lifecycle, NotRunRefusal, RequestFailure};
pub use transcript::Transcript;
