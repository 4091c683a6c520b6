//! A Raft-style replicated log with leader leases, snapshots, learners and changes of one voter at
//! a time.
//!
//! [`Replica`] is a pure state machine. The caller carries out its actions in order. The content of
//! an [`Action::Persist`] must be durable before the caller starts any later action.

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
pub use message::{Body, Message, RequestStamp};
pub use replica::{HardState, PersistentState, Replica, RoleName};
pub use restart::{RestartStatus, RunId};
pub use weakening::Weakening;
