//! A replicated log: terms, leader lease, snapshots, learners, change of one voter at a time.
//!
//! [`Replica`] is a pure state machine. Its caller carries out the actions in their order; what a
//! [`Action::Persist`] holds must be durable before any later action is begun.

mod append;
mod cfg;
mod election;
mod event;
mod lease;
mod log;
mod members;
mod message;
mod replica;
mod restart;
pub mod standby;
mod weakening;

pub use cfg::Cfg;
pub use event::{Action, Event, NewEntries, Write};
pub use log::{Entry, Payload, Snapshot};
pub use members::{MemberChange, Members, ReplicaId};
pub use message::{Body, Message, Stamp};
pub use replica::{HardState, PersistentState, Replica, RoleName};
pub use restart::{Restarted, Run};
pub use weakening::Weakening;
