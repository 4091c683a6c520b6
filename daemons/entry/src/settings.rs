//! The settings that an entry instance runs, which never go back to an older revision.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use parking_lot::RwLock;
use sill_base::{Findings, Name, Promise, assert_promise};
use sill_tree::{Document, EffectiveSettings, Tree};
use sill_wire::control::Revision;
use sill_wire::feed::{Change, FeedReply};
use tokio::sync::watch;

/// Changes kept for peers that ask; those who miss more get a snapshot.
const KEPT_CHANGES: usize = 256;

/// Settings in force here.
#[derive(Debug)]
pub struct Settings {
    held: RwLock<Arc<Held>>,
    newest: watch::Sender<Revision>,
    weakening: Weakening,
}

/// Deliberate faults, by which tests show that they would notice them.
#[doc(hidden)]
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Weakening {
    /// None.
    #[default]
    None,
    /// The last answer to be worked out goes in force, whatever its revision.
    LastWins,
}

/// The settings at one revision, with what peers need to catch up. It never changes; the next
/// revision is worked out beside it, so that requests don't wait meanwhile.
#[derive(Debug, Default)]
pub struct Held {
    tree: Tree,
    effective: Arc<EffectiveSettings>,
    /// The last change of each subtree as it came, for snapshots.
    last: BTreeMap<Name, Change>,
    /// The newest changes without a gap.
    recent: VecDeque<Change>,
}

/// What became of an answer.
#[derive(Debug)]
pub struct Taken {
    /// The settings that follow, if any change could be taken in.
    pub next: Option<Held>,
    /// Why not all of it was.
    pub refused: Option<Refused>,
}

/// Why an answer was not taken in whole; everything before it is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refused {
    /// A change is missing.
    Gap {
        /// The revision that should have come.
        expected: Revision,
        /// The one that came.
        came: Revision,
    },
    /// The whole is older than what is in force.
    Older {
        /// Its revision.
        came: Revision,
    },
    /// A document can't be read, as one written for a later version of this program.
    Unreadable {
        /// The change's revision.
        revision: Revision,
        /// What is wrong with it.
        findings: Findings,
    },
}

impl Held {
    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        Revision(self.tree.revision)
    }

    /// Returns the settings as requests use them.
    pub fn effective(&self) -> &Arc<EffectiveSettings> {
        &self.effective
    }

    /// Works out what follows from an answer, and leaves these settings as they are.
    pub fn follow(&self, reply: FeedReply) -> Taken {
        match reply {
            FeedReply::Current | FeedReply::Empty => Taken { next: None, refused: None },
            FeedReply::Changes { changes } => self.follow_changes(changes),
            FeedReply::Snapshot { revision, subtrees } => self.follow_snapshot(revision, subtrees),
        }
    }

    /// Returns the whole as an answer.
    pub fn snapshot(&self) -> FeedReply {
        let subtrees = self.last.values().cloned().collect();
        FeedReply::Snapshot { revision: self.revision(), subtrees }
    }

    /// Returns what is newer than a revision, as an answer to a peer.
    pub fn newer_than(&self, have: Revision) -> FeedReply {
        if have >= self.revision() {
            return FeedReply::Current;
        }
        let is_kept = self.recent.front().is_some_and(|first| first.revision.0 <= have.0 + 1);
        if !is_kept {
            return self.snapshot();
        }
        let newer = self.recent.iter().filter(|change| change.revision > have);
        FeedReply::Changes { changes: newer.cloned().collect() }
    }

    fn follow_changes(&self, changes: Vec<Change>) -> Taken {
        let mut refused = None;
        let mut read = Vec::new();
        let newer = changes.into_iter().filter(|c| c.revision > self.revision());
        for (expected, change) in (self.tree.revision + 1..).zip(newer) {
            if change.revision.0 != expected {
                let (expected, came) = (Revision(expected), change.revision);
                refused = Some(Refused::Gap { expected, came });
                break;
            }
            read.push(ReadChange::of(change));
        }
        if let Some((end, unreadable)) = first_unrepaired(&read) {
            read.truncate(end);
            refused = Some(unreadable);
        }
        let next = (!read.is_empty()).then(|| self.with(read));
        Taken { next, refused }
    }

    fn follow_snapshot(&self, revision: Revision, subtrees: Vec<Change>) -> Taken {
        if revision < self.revision() {
            return Taken { next: None, refused: Some(Refused::Older { came: revision }) };
        }
        if revision == self.revision() {
            return Taken { next: None, refused: None };
        }
        let mut read: Vec<ReadChange> = subtrees.into_iter().map(ReadChange::of).collect();
        read.sort_by_key(|r| r.change.revision);
        if let Some((_, unreadable)) = first_unrepaired(&read) {
            return Taken { next: None, refused: Some(unreadable) };
        }
        let mut next = Self::default().with(read);
        next.recent.clear();
        next.tree.revision = revision.0;
        next.effective = Arc::new(EffectiveSettings::of(&next.tree));
        Taken { next: Some(next), refused: None }
    }

    fn with(&self, read: Vec<ReadChange>) -> Self {
        let mut tree = self.tree.clone();
        let mut last = self.last.clone();
        let mut recent = self.recent.clone();
        for ReadChange { change, document } in read {
            let revision = change.revision.0;
            match document {
                Ok(None) => tree.remove(&change.path, revision),
                Ok(Some(document)) => {
                    tree.put(change.path.clone(), revision, change.author.clone(), document);
                }
                Err(_) => tree.revision = revision,
            }
            if change.document.is_some() {
                last.insert(change.path.clone(), change.clone());
            } else {
                last.remove(&change.path);
            }
            recent.push_back(change);
        }
        let surplus = recent.len().saturating_sub(KEPT_CHANGES);
        recent.drain(..surplus);
        let effective = Arc::new(EffectiveSettings::of(&tree));
        Self { tree, effective, last, recent }
    }
}

impl Settings {
    /// Starts with settings read from the own copy, or with none.
    pub fn new(held: Held) -> Self {
        let newest = watch::Sender::new(held.revision());
        Self { held: RwLock::new(Arc::new(held)), newest, weakening: Weakening::None }
    }

    /// Sets a deliberate fault, for tests.
    #[doc(hidden)]
    pub fn weakened(self, weakening: Weakening) -> Self {
        Self { weakening, ..self }
    }

    /// Returns the settings in force.
    pub fn current(&self) -> Arc<EffectiveSettings> {
        self.held.read().effective.clone()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.held.read().revision()
    }

    /// Returns the settings in force with what peers need of them.
    pub fn held(&self) -> Arc<Held> {
        self.held.read().clone()
    }

    /// Lets a caller wait for the next revision.
    pub fn watch(&self) -> watch::Receiver<Revision> {
        self.newest.subscribe()
    }

    /// Puts settings in force, unless newer ones came first.
    pub fn put_in_force(&self, next: Held) {
        let mut held = self.held.write();
        let before = held.revision();
        if next.revision() <= before && self.weakening != Weakening::LastWins {
            return;
        }
        *held = Arc::new(next);
        let after = held.revision();
        assert_promise!(
            Promise::AcceptedChangeStays,
            after >= before,
            "settings went back from revision {} to {}",
            before.0,
            after.0
        );
        drop(held);
        self.newest.send_replace(after);
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new(Held::default())
    }
}

impl Display for Refused {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, came } => {
                write!(f, "expected revision {}, came {}", expected.0, came.0)
            }
            Self::Older { came } => write!(f, "revision {} is older than what is in force", came.0),
            Self::Unreadable { revision, findings } => {
                write!(f, "revision {} can't be read: {findings}", revision.0)
            }
        }
    }
}

/// A change with its document, or with what is wrong with it.
#[derive(Debug)]
struct ReadChange {
    change: Change,
    document: Result<Option<Document>, Findings>,
}

impl ReadChange {
    fn of(change: Change) -> Self {
        let read = change.document.clone().map(serde_json::from_value).transpose();
        let document = read.map_err(|err| Findings::one(change.path.as_str(), err.to_string()));
        Self { change, document }
    }
}

/// Returns where the changes have to end: before the first one that can't be read and that no later
/// change of the same subtree, before that end, replaces.
///
/// Without looking for the later one, a single bad document would stop all changes for good, also
/// once its author has mended it.
fn first_unrepaired(read: &[ReadChange]) -> Option<(usize, Refused)> {
    let mut found = None;
    let mut end = read.len();
    loop {
        let next = (0..end).find(|i| {
            let path = &read[*i].change.path;
            let is_same = |r: &ReadChange| r.change.path == *path && r.document.is_ok();
            read[*i].document.is_err() && !read[*i + 1..end].iter().any(is_same)
        });
        let Some(next) = next else { return found };
        if let Err(findings) = &read[next].document {
            let (revision, findings) = (read[next].change.revision, findings.clone());
            found = Some((next, Refused::Unreadable { revision, findings }));
        }
        end = next;
    }
}
