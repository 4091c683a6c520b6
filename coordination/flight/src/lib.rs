//! A request's life: claims, attempts, retries, resume and hand-off.

pub mod claims;
pub mod drain;
pub mod flight;
pub mod handoff;
pub mod home;
pub mod journal;
pub mod life;
pub mod sse;
pub mod transcript;

pub use claims::{ClaimBounds, ClaimTable};
pub use flight::{Action, Cause, Event, Flight, FlightCfg, Place, Spec, Weakening};
pub use life::{Failed, Life, NotRun};
pub use transcript::Transcript;
