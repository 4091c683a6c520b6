//! The state that all control instances come to.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sill_base::{Millis, Name, Promise, assert_promise};
use sill_flight::claims::{ClaimBounds, ClaimTable};
use sill_quorum::{Entry, Payload};
use sill_tree::{DocumentText, Operator, Tree};
use sill_wire::claim::ClaimAsk;
use sill_wire::control::{AuditRecord, ChangeRefusal, ChangeReply, Revision};
use sill_wire::feed::{Change, FeedReply};

use crate::app::audit::{AuditFilter, AuditTrail, without_hashes};
use crate::app::change_ids::{Answer, AskName, ChangeIds};
use crate::app::command::{
    ChangeAsk, Checked, Command, DrainAsk, Edition, Holder, Origin, Outcome, UsageStatement,
    refusal,
};
use crate::app::history::History;

/// Places of findings that an audit record names.
const AUDITED_FINDINGS: usize = 20;

/// Drains that are remembered.
const MAX_DRAINS: usize = 10_000;

/// Windows whose usage is remembered; at 5 s each they reach back for ten minutes.
const MAX_WINDOWS: usize = 120;

/// Claims that are held at once; each takes about 1 kB of memory here.
const MAX_CLAIMS: usize = 300_000;

/// The state after some entry of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct App {
    index: u64,
    now: Millis,
    tree: Tree,
    history: History,
    change_ids: ChangeIds,
    audit: AuditTrail,
    claims: ClaimTable,
    drains: BTreeMap<Name, Drain>,
    /// The edition in force, by the path of its subtree.
    #[serde(default)]
    editions: BTreeMap<Name, Edition>,
    /// The stated usage of the newest windows.
    #[serde(default)]
    usage: BTreeMap<u64, UsageStatement>,
}

/// An instance that is to get no new work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// Who asked for it.
    pub author: Name,
    /// When.
    pub at: Millis,
}

/// A document that a newer version of the program wrote.
#[derive(Debug)]
pub struct NewerDocument {
    path: Name,
    error: serde_json::Error,
}

/// Where in the log a command stands.
#[derive(Debug, Clone, Copy)]
struct Place {
    index: u64,
    term: u64,
    at: Millis,
}

impl Display for NewerDocument {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} is of a newer version of sill-control: {}", self.path, self.error)
    }
}

impl Error for NewerDocument {}

impl Default for App {
    fn default() -> Self {
        let bounds = ClaimBounds { max_claims: MAX_CLAIMS, ..ClaimBounds::default() };
        Self {
            index: 0,
            now: Millis::ZERO,
            tree: Tree::default(),
            history: History::default(),
            change_ids: ChangeIds::default(),
            audit: AuditTrail::default(),
            claims: ClaimTable::new(bounds),
            drains: BTreeMap::new(),
            editions: BTreeMap::new(),
            usage: BTreeMap::new(),
        }
    }
}

impl App {
    /// Returns the last entry that was applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the tree.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns the newest revision.
    pub fn revision(&self) -> Revision {
        Revision(self.tree.revision)
    }

    /// Returns the number of claims.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    /// Returns the instances that are to be drained.
    pub fn drains(&self) -> &BTreeMap<Name, Drain> {
        &self.drains
    }

    /// Returns the edition in force of a subtree.
    pub fn edition(&self, path: &str) -> Option<&Edition> {
        self.editions.get(path)
    }

    /// Returns the stated usage of a window.
    pub fn usage(&self, window: u64) -> Option<&UsageStatement> {
        self.usage.get(&window)
    }

    /// Returns the windows whose usage was stated, the newest of them.
    pub fn stated_windows(&self) -> impl Iterator<Item = &UsageStatement> {
        self.usage.values()
    }

    /// Returns the answer to a change whose edition is not above the one in force. Nothing is done
    /// about it, and it counts as accepted: the outside system need not know what came between.
    pub fn overtaken(&self, ask: &ChangeAsk) -> Option<ChangeReply> {
        let edition = ask.edition.as_ref()?;
        let current = self.editions.get(&ask.path)?;
        let subtree = self.tree.subtrees.get(&ask.path);
        let revision = Revision(subtree.map_or(0, |subtree| subtree.revision));
        (edition.number <= current.number).then(|| ChangeReply {
            revision,
            path: ask.path.clone(),
            in_force: false,
        })
    }

    /// Returns what is newer than a revision.
    pub fn newer_than(&self, have: Revision) -> FeedReply {
        self.history.newer_than(&self.tree, have)
    }

    /// Returns the audit records that an operator may see and a filter lets through.
    pub fn audit(&self, operator: &Operator, filter: &AuditFilter) -> Vec<AuditRecord> {
        let is_root = *operator == Operator::Root;
        let may_see = |record: &&AuditRecord| {
            is_root
                || (matches!(&*record.action, "change" | "refused")
                    && self.tree.is_owned_by(operator, &record.subject))
        };
        self.audit.find(filter).filter(may_see).cloned().collect()
    }

    /// Returns whether a token is the root's or owns any subtree.
    pub fn is_known(&self, operator: &Operator) -> bool {
        let mut paths = self.tree.subtrees.keys();
        *operator == Operator::Root || paths.any(|path| self.tree.is_owned_by(operator, path))
    }

    /// Returns the first answer to an ask that was sent before.
    pub fn known(&self, origin: &Origin, content: &Name) -> Option<Outcome> {
        let answer = self.change_ids.get(&ask_name(origin))?;
        if answer.content == *content {
            return Some(answer.outcome.clone());
        }
        let message = "this Change-Id was used for another change";
        Some(Outcome::Refused(refusal("change_id_reused", message)))
    }

    /// Reads the documents that nobody has looked at yet.
    ///
    /// # Errors
    ///
    /// Fails on one that this version of the program can't read. Going on without it would make this
    /// instance's state differ from the others' for good.
    pub fn read_documents(&self) -> Result<(), NewerDocument> {
        for (path, subtree) in &self.tree.subtrees {
            let read = subtree.document.read();
            read.map_err(|error| NewerDocument { path: path.clone(), error })?;
        }
        Ok(())
    }

    /// Applies a committed entry.
    ///
    /// # Panics
    ///
    /// Panics on an entry that this version of the program can't read: going on without it would
    /// make this instance's state differ from the others' for good.
    pub fn apply(&mut self, index: u64, entry: &Entry) -> Option<Outcome> {
        assert_promise!(
            Promise::AcceptedChangeStays,
            index == self.index + 1,
            "entry {index} applied after {}",
            self.index
        );
        self.index = index;
        let before = self.tree.revision;
        let outcome = match &entry.payload {
            Payload::Noop => None,
            Payload::Members(members) => {
                let voters: Vec<&str> = members.voters.iter().map(|id| &*id.name).collect();
                let reason = format!("voters: {}", voters.join(", "));
                let place = self.place(index, entry.term, Millis::ZERO);
                self.audit.add(record(place, "control".into(), "voters", "".into(), reason));
                None
            }
            Payload::Command(text) => {
                let command = serde_json::from_str(text);
                let command = command.unwrap_or_else(|err| {
                    panic!("entry {index} is of a newer version of sill-control: {err}")
                });
                Some(self.carry_out(index, entry.term, command))
            }
        };
        assert_promise!(
            Promise::AcceptedChangeStays,
            self.tree.revision >= before,
            "the tree went back from revision {before}"
        );
        outcome
    }

    fn carry_out(&mut self, index: u64, term: u64, command: Command) -> Outcome {
        match command {
            Command::Change { at, checked } => {
                let place = self.place(index, term, at);
                self.change(place, checked, None)
            }
            Command::Refuse { at, checked, refusal } => {
                let place = self.place(index, term, at);
                self.change(place, checked, Some(refusal))
            }
            Command::Drain { at, ask } => {
                let place = self.place(index, term, at);
                self.drain(place, ask)
            }
            Command::Claims { at, asks } => {
                let at = self.place(index, term, at).at;
                self.claim(at, &asks)
            }
            Command::Usage(statement) => self.state_usage(statement),
        }
    }

    /// Returns the place of a command. Its time never goes back, also when a leader with a slower
    /// clock takes over.
    fn place(&mut self, index: u64, term: u64, at: Millis) -> Place {
        self.now = self.now.max(at);
        Place { index, term, at: self.now }
    }

    fn claim(&mut self, at: Millis, asks: &[ClaimAsk]) -> Outcome {
        let verdicts = asks.iter().map(|ask| self.claims.apply(at, ask)).collect();
        Outcome::Verdicts { verdicts }
    }

    fn state_usage(&mut self, statement: UsageStatement) -> Outcome {
        let window = statement.window;
        let stated = self.usage.entry(window).or_insert(statement).clone();
        while self.usage.len() > MAX_WINDOWS {
            self.usage.pop_first();
        }
        Outcome::Usage(stated)
    }

    fn change(
        &mut self,
        place: Place,
        checked: Checked,
        refused: Option<ChangeRefusal>,
    ) -> Outcome {
        let Checked { ask, content, against } = checked;
        if let Some(outcome) = self.known(&ask.origin, &content) {
            return outcome;
        }
        let author = self.author(&ask.origin.holder);
        let outcome = match self.conflict(&ask) {
            Some(conflict) => Outcome::Refused(conflict),
            // Another change was committed between the check and this entry. The check may not
            // hold any more, as with a limit that both changes raised by all that was left.
            None if against != self.revision() => return Outcome::Recheck,
            None => match (self.overtaken(&ask), refused) {
                (Some(reply), _) => Outcome::Changed(reply),
                (None, Some(refusal)) => Outcome::Refused(refusal),
                (None, None) => Outcome::Changed(self.put(&ask, author.clone())),
            },
        };
        self.note_change(place, &ask, &outcome, author);
        let name = ask_name(&ask.origin);
        self.change_ids.keep(Answer { name, content, outcome: outcome.clone() });
        outcome
    }

    fn conflict(&self, ask: &ChangeAsk) -> Option<ChangeRefusal> {
        let base = ask.base?;
        let current = self.tree.subtrees.get(&ask.path);
        let revision = Revision(current.map_or(0, |subtree| subtree.revision));
        if base == revision {
            return None;
        }
        let mut conflict = refusal("conflict", "another change came first");
        conflict.revision = Some(revision);
        conflict.author = current.map(|subtree| subtree.author.clone());
        Some(conflict)
    }

    fn put(&mut self, ask: &ChangeAsk, author: Name) -> ChangeReply {
        let revision = Revision(self.tree.revision + 1);
        let path = ask.path.clone();
        match &ask.document {
            None => self.tree.remove(&path, revision.0),
            Some(text) => self.tree.put(path.clone(), revision.0, author.clone(), text.clone()),
        }
        if let Some(edition) = &ask.edition {
            self.editions.insert(path.clone(), edition.clone());
            // It replaces the document as a whole, mostly the largest part of the tree. A thousand
            // of them would take more memory than the instance has.
            self.history = History::default();
        } else {
            let document = ask.document.as_ref().map(DocumentText::value);
            self.history.add(Change { revision, path: path.clone(), author, document });
        }
        ChangeReply { revision, path, in_force: false }
    }

    fn note_change(&mut self, place: Place, ask: &ChangeAsk, outcome: &Outcome, author: Name) {
        let why = ask.origin.reason.clone();
        let mut entry = record(place, author, "change", ask.path.clone(), why);
        match outcome {
            Outcome::Changed(reply) => {
                entry.revision = Some(reply.revision);
                match &ask.edition {
                    Some(edition) => entry.reason = format!("edition {}", edition.number),
                    None => {
                        let document = ask.document.as_ref().map(DocumentText::value);
                        let detail = document.as_ref().map_or(Value::Null, without_hashes);
                        entry.detail = Some(detail);
                    }
                }
            }
            Outcome::Refused(refusal) => {
                entry.action = "refused".into();
                entry.reason = audited_reason(refusal, &entry.reason);
                entry.revision = refusal.revision;
            }
            _ => {}
        }
        self.audit.add(entry);
    }

    fn drain(&mut self, place: Place, ask: DrainAsk) -> Outcome {
        let content = ask.content();
        if let Some(outcome) = self.known(&ask.origin, &content) {
            return outcome;
        }
        let name = ask_name(&ask.origin);
        let author = self.author(&ask.origin.holder);
        let (action, outcome) = if ask.origin.holder != Holder::Root {
            let refusal = refusal("forbidden", "only the root's token may drain an instance");
            ("refused", Outcome::Refused(refusal))
        } else if self.drains.len() >= MAX_DRAINS {
            let refusal = refusal("too_many", "too many drains are remembered");
            ("refused", Outcome::Refused(refusal))
        } else {
            let drain = Drain { author: author.clone(), at: place.at };
            self.drains.insert(ask.subject.clone(), drain);
            ("drain", Outcome::Drained)
        };
        let why = ask.origin.reason.clone();
        self.audit.add(record(place, author, action, ask.subject.clone(), why));
        self.change_ids.keep(Answer { name, content, outcome: outcome.clone() });
        outcome
    }

    fn author(&self, holder: &Holder) -> Name {
        let Holder::Token(hash) = holder else { return "root".into() };
        let owned = self
            .tree
            .subtrees
            .iter()
            .find(|(_, subtree)| subtree.document.owner.as_ref() == Some(hash));
        owned.map_or_else(|| "unknown".into(), |(path, _)| format!("owner:{path}").into())
    }
}

/// Names an ask by its token, not by what the token owns: the answer must be found again after the
/// change itself has altered that.
fn ask_name(origin: &Origin) -> AskName {
    let author = match &origin.holder {
        Holder::Root => "root".into(),
        Holder::Token(hash) => hash.0.clone(),
    };
    AskName { author, change_id: origin.change_id.clone() }
}

impl ChangeAsk {
    /// Returns a hash of what is asked for.
    pub fn content(&self) -> Name {
        content_hash(&(&self.path, self.base, &self.document))
    }
}

impl DrainAsk {
    /// Returns a hash of what is asked for.
    pub fn content(&self) -> Name {
        content_hash(&("drain", &self.subject))
    }
}

fn content_hash<T>(content: &T) -> Name
where
    T: Serialize,
{
    let bytes = serde_json::to_vec(content).unwrap_or_default();
    blake3::hash(&bytes).to_hex().as_str().into()
}

/// Returns why something was refused. Findings quote the document, which may hold a secret in a
/// wrong place, so only their places are told.
fn audited_reason(refusal: &ChangeRefusal, reason: &str) -> String {
    let mut text = format!("{}: {}", refusal.code, refusal.message);
    for finding in refusal.findings.iter().take(AUDITED_FINDINGS) {
        text.push_str(&format!("; {}", finding.place));
    }
    if !reason.is_empty() {
        text.push_str(&format!(" ({reason})"));
    }
    text
}

fn record(place: Place, author: Name, action: &str, subject: Name, reason: String) -> AuditRecord {
    AuditRecord {
        index: place.index,
        term: place.term,
        at: place.at,
        author,
        action: action.into(),
        subject,
        reason,
        revision: None,
        detail: None,
    }
}
