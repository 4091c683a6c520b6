//! The replicated state machine: the settings tree, its changes, claims, and the audit trail.
//!
//! Every control instance applies the same commands in the same order and reaches the same state.
//! Checks that may differ between versions of the program are made once, by the leader, before a
//! command is written; the rules for applying one are simple enough to stay the same.

pub mod audit;
pub mod change_ids;
pub mod command;
pub mod decision;
pub mod history;
pub mod origins;
pub mod rollouts;
pub mod state;

pub use command::{Ask, Command, Outcome};
pub use state::App;
