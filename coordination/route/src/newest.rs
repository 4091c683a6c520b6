//! The newest word of each endpoint, against late copies of what it said before.

use sill_base::{Map, Millis, Name};
use sill_wire::{Announcement, Incarnation};

/// The newest thing heard of an endpoint, kept apart from its state so that the promise is checked
/// against what was heard and not against what was made of it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Word {
    pub(crate) incarnation: Incarnation,
    sequence: u64,
    pub(crate) leaving: bool,
    pub(crate) at: Millis,
}

/// The newest words of all endpoints, also of those that went lately.
#[derive(Debug, Default)]
pub(crate) struct Newest(Map<Name, Word>);

impl Word {
    /// Returns whether an announcement tells something newer.
    ///
    /// Membership learns of a reclaim by a notice of its own and marks an announcement that it has
    /// passed on before, so what turns a life to leaving counts whatever its number.
    pub(crate) fn is_older_than(&self, announcement: &Announcement) -> bool {
        let same_life = self.incarnation == announcement.incarnation;
        let turns_leaving = same_life && announcement.leaving.is_some() && !self.leaving;
        let newer =
            (self.incarnation, self.sequence) < (announcement.incarnation, announcement.sequence);
        turns_leaving || newer
    }

    /// Returns whether this life was said to be leaving; it stays so, whatever a stale copy says.
    pub(crate) fn is_leaving(&self, incarnation: Incarnation) -> bool {
        self.leaving && self.incarnation == incarnation
    }
}

impl Newest {
    /// Returns the newest word of an endpoint.
    pub(crate) fn get(&self, name: &Name) -> Option<Word> {
        self.0.get(name).copied()
    }

    /// Takes note of an announcement that is news.
    pub(crate) fn note(&mut self, now: Millis, announcement: &Announcement) {
        let incarnation = announcement.incarnation;
        let known = self.get(&announcement.name).filter(|w| w.incarnation == incarnation);
        let sequence = known.map_or(0, |w| w.sequence).max(announcement.sequence);
        let leaving = announcement.leaving.is_some();
        let word = Word { incarnation, sequence, leaving, at: now };
        self.0.insert(announcement.name.clone(), word);
    }

    /// Forgets endpoints that are not known any more and said nothing for a while.
    pub(crate) fn forget<F>(&mut self, now: Millis, ttl: Millis, is_known: F)
    where
        F: Fn(&Name) -> bool,
    {
        self.0.retain(|name, word| is_known(name) || now.since(word.at) <= ttl);
    }
}
