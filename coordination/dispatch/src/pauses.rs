//! Pauses that endpoints ask this entry instance for.

use sill_base::{Map, Millis, Name};
use sill_wire::Incarnation;

/// The pauses of the endpoints of one service.
#[derive(Debug, Default)]
pub(crate) struct Pauses {
    ends: Map<Name, (Incarnation, Millis)>,
}

impl Pauses {
    /// Records that an endpoint asked for a pause until `end`. A shorter one than before changes
    /// nothing. Returns whether the pause has begun or is longer now.
    pub(crate) fn record(
        &mut self,
        now: Millis,
        endpoint: &Name,
        incarnation: Incarnation,
        end: Millis,
    ) -> bool {
        self.ends.retain(|_, (_, end)| now < *end);
        let known = self.ends.get(endpoint).filter(|(known, _)| *known == incarnation);
        let is_longer = now < end && known.is_none_or(|(_, known)| *known < end);
        if is_longer {
            self.ends.insert(endpoint.clone(), (incarnation, end));
        }
        is_longer
    }

    /// Returns how much longer an endpoint pauses; none if it doesn't.
    pub(crate) fn left(
        &self,
        now: Millis,
        endpoint: &Name,
        incarnation: Incarnation,
    ) -> Option<Millis> {
        let (known, end) = self.ends.get(endpoint)?;
        (*known == incarnation && now < *end).then(|| *end - now)
    }
}
