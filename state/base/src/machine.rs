//! The interface of all state machines: time and events in, actions out.

use crate::clock::Millis;

/// A pure state machine.
///
/// Implementations do no I/O, take no lock, read no clock and start no thread. Randomness comes
/// from a seed given at construction. The same events at the same times yield the same actions, so
/// that runs can be replayed.
pub trait Machine {
    /// An input: something that happened, or a tick.
    type Event;

    /// An output: something that the caller must do.
    type Action;

    /// Handles one event and appends the resulting actions to `out`, in the order of execution.
    fn step(&mut self, now: Millis, event: Self::Event, out: &mut Vec<Self::Action>);
}
