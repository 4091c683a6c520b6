//! Which version of a service is in force while no order says so.

use sill_base::Millis;
use sill_wire::Software;

/// Time for which the only version has to be seen before it is in force. Endpoints of several
/// versions may start together, and their first heartbeats arrive one by one.
const ESTABLISH_TIME: Millis = Millis(1000);

/// Time without endpoints of the version in force after which another one replaces it. Longer than
/// the start of a crashed endpoint's replacement takes to be heard of.
const REPLACE_TIME: Millis = Millis(10_000);

/// Follows the versions of one service that has no order in progress.
#[derive(Debug, Default)]
pub struct VersionWatch {
    /// The only version of the ready endpoints, and since when.
    only: Option<(Software, Millis)>,
    /// Since when no endpoint of the version in force is present.
    absent_since: Option<Millis>,
}

impl VersionWatch {
    /// Returns the version that is to be in force from now on, if that changes.
    ///
    /// `ready` holds the versions of ready endpoints and `present` those of all known ones; entries
    /// may repeat. A version that was `rejected` is never put in force.
    pub fn step(
        &mut self,
        now: Millis,
        stable: Option<&Software>,
        ready: &[Software],
        present: &[Software],
        rejected: &[Software],
    ) -> Option<Software> {
        let only = ready.first().filter(|first| {
            !first.is_ambiguous() && !rejected.contains(first) && ready.iter().all(|v| v == *first)
        });
        match (&self.only, only) {
            (Some((known, _)), Some(only)) if known == only => {}
            (_, only) => self.only = only.map(|only| (only.clone(), now)),
        }
        let is_absent = stable.is_some_and(|stable| !present.contains(stable));
        match is_absent {
            true => _ = self.absent_since.get_or_insert(now),
            false => self.absent_since = None,
        }
        let (only, since) = self.only.as_ref()?;
        let is_due = match stable {
            Some(_) => self.absent_since.is_some_and(|since| now - since >= REPLACE_TIME),
            None => now - *since >= ESTABLISH_TIME,
        };
        (is_due && stable != Some(only)).then(|| only.clone())
    }
}
