//! The shape of every decision core: time and events in, actions out.

use crate::clock::Millis;

/// A pure state machine.
///
/// Implementations do no I/O, take no lock, read no clock and start no thread. Randomness comes
/// from a seed that they are made with. The same events at the same times give the same actions.
pub trait Machine {
    /// Something that happened, or a tick.
    type Event;

    /// Something the caller has to do.
    type Action;

    /// Takes in one event and adds the resulting actions to `out`, in the order to do them.
    fn step(&mut self, now: Millis, event: Self::Event, out: &mut Vec<Self::Action>);
}
