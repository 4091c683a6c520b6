//! Basic types that all layers share: clock, names, maps, findings, seeded randomness, promises.

pub mod clock;
pub mod compressed;
pub mod event;
pub mod findings;
pub mod machine;
pub mod map;
pub mod name;
pub mod promise;
pub mod random;
pub mod recent_max;
pub mod recent_times;
pub mod secret;
mod window_pair;

pub use clock::{Clock, Millis};
pub use compressed::CompressedText;
pub use findings::{Finding, Findings};
pub use machine::Machine;
pub use map::{Map, Set};
pub use name::Name;
pub use promise::Promise;
pub use recent_max::RecentMax;
pub use recent_times::RecentTimes;
pub use secret::Secret;
