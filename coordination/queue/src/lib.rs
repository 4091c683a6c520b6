//! The wait queue of one service at one entry instance, for calls that no endpoint has capacity for,
//! and the times at which refused callers should return.
//!
//! The design is described in `docs/design/wait-queue.md`. Nothing here reads a clock or does I/O.

mod accounts;
mod queue;
mod rate;
mod returns;

pub use queue::{
    Ask, CallId, Elsewhere, Enqueued, QueueBounds, QueueRefusal, QueueRefusalReason, Removed,
    WaitQueue,
};
