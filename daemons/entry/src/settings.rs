//! Active settings of an entry instance. Their revision never decreases.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use parking_lot::RwLock;
use sill_base::{Findings, Name, Promise, assert_promise};
use sill_tree::{Document, EffectiveSettings, Tree};
use sill_wire::control::Revision;
use sill_wire::feed::{Change, FeedReply};
use tokio::sync::watch;

/// Changes kept for peers that poll; a peer that misses more receives a snapshot.
const MAX_RECENT_CHANGES: usize = 256;

/// Holder of the active settings, which readers share and each newer revision replaces.
#[derive(Debug)]
pub struct Settings {
    state: RwLock<Arc<SettingsState>>,
    revision_tx: watch::Sender<Revision>,
    weakening: Weakening,
}

/// Deliberate faults, with which tests verify that they detect them.
#[doc(hidden)]
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Weakening {
    /// No fault.
    #[default]
    None,
    /// The state that was activated last replaces the others, whatever its revision.
    LastWins,
}

/// Settings at one revision, with the changes that peers need to catch up. It is immutable: the
/// next revision is computed as a new value, so that requests do not wait for it.
#[derive(Debug, Default)]
pub struct SettingsState {
    tree: Tree,
    effective: Arc<EffectiveSettings>,
    /// The latest change of each subtree as it was received, for snapshots.
    latest: BTreeMap<Name, Change>,
    /// The latest changes, with consecutive revisions, up to [`MAX_RECENT_CHANGES`].
    recent: VecDeque<Change>,
}

/// Result of applying a reply to a state.
#[derive(Debug)]
pub struct ApplyOutcome {
    /// The new state, if at least one change was applied.
    pub next: Option<SettingsState>,
    /// Why the reply was not applied in full.
    pub error: Option<ApplyError>,
}

/// Why a reply was not applied in full. Changes before the rejected one are applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyError {
    /// The revisions of two changes are not consecutive, so that a change is missing.
    Gap {
        /// The revision that should have followed.
        expected: Revision,
        /// The revision that was received instead.
        received: Revision,
    },
    /// The snapshot is older than the active settings.
    OlderSnapshot {
        /// The snapshot's revision.
        revision: Revision,
    },
    /// A document cannot be parsed, for example one written for a later version of this program.
    Unreadable {
        /// Revision of the change that holds the document.
        revision: Revision,
        /// The document's subtree and the parse error.
        findings: Findings,
    },
}

impl SettingsState {
    /// Returns the revision of the last change in this state, zero if there is none.
    pub fn revision(&self) -> Revision {
        Revision(self.tree.revision)
    }

    /// Returns the effective settings, with inherited values resolved, as requests use them.
    pub fn effective(&self) -> &Arc<EffectiveSettings> {
        &self.effective
    }

    /// Computes the state that results from a reply, without modifying this one.
    pub fn apply(&self, reply: FeedReply) -> ApplyOutcome {
        match reply {
            FeedReply::Current | FeedReply::Empty => ApplyOutcome { next: None, error: None },
            FeedReply::Changes { changes } => self.apply_changes(changes),
            FeedReply::Snapshot { revision, subtrees } => self.apply_snapshot(revision, subtrees),
        }
    }

    /// Returns the complete settings as a reply to a peer.
    pub fn snapshot(&self) -> FeedReply {
        let subtrees = self.latest.values().cloned().collect();
        FeedReply::Snapshot { revision: self.revision(), subtrees }
    }

    /// Returns the reply to a peer at revision `have`: the changes after it, or a snapshot where
    /// they are no longer kept.
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
        next.effective = Arc::new(EffectiveSettings::of(&next.tree));
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
        let effective = Arc::new(EffectiveSettings::of(&tree));
        Self { tree, effective, latest, recent }
    }
}

impl Settings {
    /// Starts with the settings from the local copy, or with the empty state.
    pub fn new(state: SettingsState) -> Self {
        let revision_tx = watch::Sender::new(state.revision());
        Self { state: RwLock::new(Arc::new(state)), revision_tx, weakening: Weakening::None }
    }

    /// Sets a deliberate fault, for tests.
    #[doc(hidden)]
    pub fn with_weakening(self, weakening: Weakening) -> Self {
        Self { weakening, ..self }
    }

    /// Returns the effective settings of the active revision.
    pub fn current(&self) -> Arc<EffectiveSettings> {
        self.state.read().effective.clone()
    }

    /// Returns the active revision, zero before the first settings have arrived.
    pub fn revision(&self) -> Revision {
        self.state.read().revision()
    }

    /// Returns the active state, including the changes that peers poll.
    pub fn state(&self) -> Arc<SettingsState> {
        self.state.read().clone()
    }

    /// Returns a receiver that is notified of each newly active revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision_tx.subscribe()
    }

    /// Activates a state, unless the active one has the same or a newer revision.
    pub fn activate(&self, next: SettingsState) {
        let mut state = self.state.write();
        let before = state.revision();
        if next.revision() <= before && self.weakening != Weakening::LastWins {
            return;
        }
        *state = Arc::new(next);
        let after = state.revision();
        assert_promise!(
            Promise::AcceptedChangeStays,
            after >= before,
            "active settings went back from revision {} to {}",
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
                write!(f, "snapshot of revision {} is older than the active settings", revision.0)
            }
            Self::Unreadable { revision, findings } => {
                write!(f, "document of revision {} cannot be parsed: {findings}", revision.0)
            }
        }
    }
}

/// A change with its parsed document, or with the parse error.
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

/// Returns the index before which the changes can be applied, and the error there: the first change
/// that cannot be parsed and that no later change of the same subtree, before that index, replaces.
///
/// If replacements were ignored, one bad document would block all later changes permanently, even
/// after its author has corrected it.
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
