//! The settings that an entry instance runs, which never go back to an older revision.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use parking_lot::RwLock;
use sill_base::{Findings, Name, Promise, keep};
use sill_tree::{Document, Effective, Tree};
use sill_wire::control::Revision;
use sill_wire::feed::{Change, FeedReply};
use tokio::sync::watch;

/// Changes kept for peers that ask; those who miss more get a snapshot.
const MAX_RECENT_CHANGES: usize = 256;

/// Settings in force here.
#[derive(Debug)]
pub struct Settings {
    state: RwLock<Arc<SettingsState>>,
    revision_tx: watch::Sender<Revision>,
    weakening: Weakening,
}

/// Deliberate faults, by which tests show that they would notice them.
#[doc(hidden)]
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Weakening {
    /// None.
    #[default]
    None,
    /// The latest answer to be worked out goes in force, whatever its revision.
    LastWins,
}

/// The settings at one revision, with what peers need to catch up. It never changes; the next
/// revision is worked out beside it, so that requests don't wait meanwhile.
#[derive(Debug, Default)]
pub struct SettingsState {
    tree: Tree,
    effective: Arc<Effective>,
    /// The latest change of each subtree as it received, for snapshots.
    latest: BTreeMap<Name, Change>,
    /// The revision_tx changes without a gap.
    recent: VecDeque<Change>,
}

/// What became of an answer.
#[derive(Debug)]
pub struct ApplyOutcome {
    /// The settings that follow, if any change could be taken in.
    pub next: Option<SettingsState>,
    /// Why not all of it was.
    pub error: Option<ApplyError>,
}

/// Why an answer was not taken in whole; everything before it is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyError {
    /// A change is missing.
    Gap {
        /// The revision that should have come.
        expected: Revision,
        /// The one that received.
        received: Revision,
    },
    /// The whole is older than what is in force.
    OlderSnapshot {
        /// Its revision.
        revision: Revision,
    },
    /// A document can't be parsed, as one written for a later version of this program.
    Unreadable {
        /// The change's revision.
        revision: Revision,
        /// What is wrong with it.
        findings: Findings,
    },
}

impl SettingsState {
    /// Returns the revision.
    pub fn revision(&self) -> Revision {
        Revision(self.tree.revision)
    }

    /// Returns the settings as requests use them.
    pub fn effective(&self) -> &Arc<Effective> {
        &self.effective
    }

    /// Works out what follows from an answer, and leaves these settings as they are.
    pub fn apply(&self, reply: FeedReply) -> ApplyOutcome {
        match reply {
            FeedReply::Current | FeedReply::Empty => ApplyOutcome { next: None, error: None },
            FeedReply::Changes { changes } => self.apply_changes(changes),
            FeedReply::Snapshot { revision, subtrees } => self.apply_snapshot(revision, subtrees),
        }
    }

    /// Returns the whole as an answer.
    pub fn snapshot(&self) -> FeedReply {
        let subtrees = self.latest.values().cloned().collect();
        FeedReply::Snapshot { revision: self.revision(), subtrees }
    }

    /// Returns what is newer than a revision, as an answer to a peer.
    pub fn reply_since(&self, have: Revision) -> FeedReply {
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

    fn apply_changes(&self, changes: Vec<Change>) -> ApplyOutcome {
        let mut error = None;
        let mut parsed = Vec::new();
        let newer = changes.into_iter().filter(|c| c.revision > self.revision());
        for (expected, change) in (self.tree.revision + 1..).zip(newer) {
            if change.revision.0 != expected {
                let (expected, received) = (Revision(expected), change.revision);
                error = Some(ApplyError::Gap { expected, received });
                break;
            }
            parsed.push(ParsedChange::parse(change));
        }
        if let Some((end, unreadable)) = first_unreadable(&parsed) {
            parsed.truncate(end);
            error = Some(unreadable);
        }
        let next = (!parsed.is_empty()).then(|| self.with_changes(parsed));
        ApplyOutcome { next, error }
    }

    fn apply_snapshot(&self, revision: Revision, subtrees: Vec<Change>) -> ApplyOutcome {
        if revision < self.revision() {
            return ApplyOutcome {
                next: None,
                error: Some(ApplyError::OlderSnapshot { revision }),
            };
        }
        if revision == self.revision() {
            return ApplyOutcome { next: None, error: None };
        }
        let mut parsed: Vec<ParsedChange> = subtrees.into_iter().map(ParsedChange::parse).collect();
        parsed.sort_by_key(|r| r.change.revision);
        if let Some((_, unreadable)) = first_unreadable(&parsed) {
            return ApplyOutcome { next: None, error: Some(unreadable) };
        }
        let mut next = Self::default().with_changes(parsed);
        next.recent.clear();
        next.tree.revision = revision.0;
        next.effective = Arc::new(Effective::of(&next.tree));
        ApplyOutcome { next: Some(next), error: None }
    }

    fn with_changes(&self, parsed: Vec<ParsedChange>) -> Self {
        let mut tree = self.tree.clone();
        let mut latest = self.latest.clone();
        let mut recent = self.recent.clone();
        for ParsedChange { change, document } in parsed {
            let revision = change.revision.0;
            match document {
                Ok(None) => tree.remove(&change.path, revision),
                Ok(Some(document)) => {
                    tree.put(change.path.clone(), revision, change.author.clone(), document);
                }
                Err(_) => tree.revision = revision,
            }
            if change.document.is_some() {
                latest.insert(change.path.clone(), change.clone());
            } else {
                latest.remove(&change.path);
            }
            recent.push_back(change);
        }
        let surplus = recent.len().saturating_sub(MAX_RECENT_CHANGES);
        recent.drain(..surplus);
        let effective = Arc::new(Effective::of(&tree));
        Self { tree, effective, latest, recent }
    }
}

impl Settings {
    /// Starts with settings parsed from the own copy, or with none.
    pub fn new(state: SettingsState) -> Self {
        let revision_tx = watch::Sender::new(state.revision());
        Self { state: RwLock::new(Arc::new(state)), revision_tx, weakening: Weakening::None }
    }

    /// Sets a deliberate fault, for tests.
    #[doc(hidden)]
    pub fn with_weakening(self, weakening: Weakening) -> Self {
        Self { weakening, ..self }
    }

    /// Returns the settings in force.
    pub fn current(&self) -> Arc<Effective> {
        self.state.read().effective.clone()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.state.read().revision()
    }

    /// Returns the settings in force with what peers need of them.
    pub fn state(&self) -> Arc<SettingsState> {
        self.state.read().clone()
    }

    /// Lets a caller wait for the next revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision_tx.subscribe()
    }

    /// Puts settings in force, unless newer ones came first.
    pub fn activate(&self, next: SettingsState) {
        let mut state = self.state.write();
        let before = state.revision();
        if next.revision() <= before && self.weakening != Weakening::LastWins {
            return;
        }
        *state = Arc::new(next);
        let after = state.revision();
        keep!(
            Promise::AcceptedChangeStays,
            after >= before,
            "settings went back from revision {} to {}",
            before.0,
            after.0
        );
        drop(state);
        self.revision_tx.send_replace(after);
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self::new(SettingsState::default())
    }
}

impl Display for ApplyError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { expected, received } => {
                write!(f, "expected revision {}, received {}", expected.0, received.0)
            }
            Self::OlderSnapshot { revision } => {
                write!(f, "revision {} is older than what is in force", revision.0)
            }
            Self::Unreadable { revision, findings } => {
                write!(f, "revision {} can't be parsed: {findings}", revision.0)
            }
        }
    }
}

/// A change with its document, or with what is wrong with it.
#[derive(Debug)]
struct ParsedChange {
    change: Change,
    document: Result<Option<Document>, Findings>,
}

impl ParsedChange {
    fn parse(change: Change) -> Self {
        let parsed = change.document.clone().map(serde_json::from_value).transpose();
        let document = parsed.map_err(|err| Findings::one(change.path.as_str(), err.to_string()));
        Self { change, document }
    }
}

/// Returns where the changes have to end: before the first one that can't be parsed and that no later
/// change of the same subtree, before that end, replaces.
///
/// Without looking for the later one, a single bad document would stop all changes for good, also
/// once its author has mended it.
fn first_unreadable(parsed: &[ParsedChange]) -> Option<(usize, ApplyError)> {
    let mut found = None;
    let mut end = parsed.len();
    loop {
        let next = (0..end).find(|i| {
            let path = &parsed[*i].change.path;
            let is_replacement = |r: &ParsedChange| r.change.path == *path && r.document.is_ok();
            parsed[*i].document.is_err() && !parsed[*i + 1..end].iter().any(is_replacement)
        });
        let Some(next) = next else { return found };
        if let Err(findings) = &parsed[next].document {
            let (revision, findings) = (parsed[next].change.revision, findings.clone());
            found = Some((next, ApplyError::Unreadable { revision, findings }));
        }
        end = next;
    }
}
