//! The replicated state, identical on all control instances at the same log index.

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
use crate::app::change_ids::{Answer, ChangeIds, IdempotencyKey};
use crate::app::command::{
    ChangeAsk, CheckedChange, Command, DrainAsk, Edition, Holder, Origin, Outcome, UsageStatement,
    refusal,
};
use crate::app::history::History;
use crate::app::origins::OriginRecord;
use crate::app::rollouts::{OrderOutcome, RolloutAsk, RolloutDecision, Rollouts};
use crate::settings_pieces::SERVING_SUBTREE;

/// Findings whose places an audit record lists.
const MAX_AUDITED_FINDINGS: usize = 20;

/// Drains kept.
const MAX_DRAINS: usize = 10_000;

/// Usage windows kept; at 5 s each they cover ten minutes.
const MAX_USAGE_WINDOWS: usize = 120;

/// Claims held at once; each takes about 1 kB of memory.
const MAX_CLAIMS: usize = 300_000;

/// The state after the log entry with index `index`.
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
    /// The editions in force, by the paths of their subtrees.
    #[serde(default)]
    editions: BTreeMap<Name, Edition>,
    /// The usage of the newest windows, by window number.
    #[serde(default)]
    usage: BTreeMap<u64, UsageStatement>,
    /// The software versions of services.
    #[serde(default)]
    rollouts: Rollouts,
    /// What can have begun streams.
    #[serde(default)]
    origins: OriginRecord,
}

/// The exclusion of an instance from new work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// The operator who asked for it.
    pub author: Name,
    /// The wall-clock time at the leader.
    pub at: Millis,
}

/// A document that this version of the program can't parse.
#[derive(Debug)]
pub struct UnsupportedDocument {
    path: Name,
    error: serde_json::Error,
}

/// The position of a command in the log, and its time.
#[derive(Debug, Clone, Copy)]
struct LogPosition {
    index: u64,
    term: u64,
    at: Millis,
}

impl Display for UnsupportedDocument {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the document of {} was written by a newer version of sill-control: {}",
            self.path, self.error
        )
    }
}

impl Error for UnsupportedDocument {}

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
            rollouts: Rollouts::default(),
            origins: OriginRecord::new(),
        }
    }
}

impl App {
    /// Returns the index of the last applied entry.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the settings tree at the newest revision.
    pub fn tree(&self) -> &Tree {
        &self.tree
    }

    /// Returns the newest revision of the settings tree.
    pub fn revision(&self) -> Revision {
        Revision(self.tree.revision)
    }

    /// Returns the number of claims held.
    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    /// Returns the drains by instance.
    pub fn drains(&self) -> &BTreeMap<Name, Drain> {
        &self.drains
    }

    /// Returns the edition in force of the subtree at a path.
    pub fn edition(&self, path: &str) -> Option<&Edition> {
        self.editions.get(path)
    }

    /// Returns the recorded usage of a window.
    pub fn usage(&self, window: u64) -> Option<&UsageStatement> {
        self.usage.get(&window)
    }

    /// Iterates over the recorded usage of the newest windows, the oldest first.
    pub fn usage_statements(&self) -> impl Iterator<Item = &UsageStatement> {
        self.usage.values()
    }

    /// Returns the software versions of services.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Returns what can have begun streams.
    pub fn origins(&self) -> &OriginRecord {
        &self.origins
    }

    /// Returns whether the configuration in force for routes names a service.
    pub fn is_served(&self, service: &str) -> bool {
        let serving = self.tree.subtrees.get(SERVING_SUBTREE);
        serving.is_some_and(|subtree| subtree.document.services.contains_key(service))
    }

    /// Returns the answer to a change whose edition is not above the one in force. It has no effect
    /// and counts as accepted: the outside system need not know of the editions in between.
    pub fn superseded_reply(&self, ask: &ChangeAsk) -> Option<ChangeReply> {
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

    /// Returns the changes after a revision, or a snapshot of the tree.
    pub fn changes_since(&self, have: Revision) -> FeedReply {
        self.history.changes_since(&self.tree, have)
    }

    /// Returns the audit records that match a filter and that an operator may see.
    pub fn audit(&self, operator: &Operator, filter: &AuditFilter) -> Vec<AuditRecord> {
        let is_root = *operator == Operator::Root;
        let may_see = |record: &&AuditRecord| {
            is_root
                || (matches!(&*record.action, "change" | "refused")
                    && self.tree.is_owned_by(operator, &record.subject))
        };
        self.audit.find(filter).filter(may_see).cloned().collect()
    }

    /// Returns whether an operator is root or owns any subtree.
    pub fn has_access(&self, operator: &Operator) -> bool {
        let mut paths = self.tree.subtrees.keys();
        *operator == Operator::Root || paths.any(|path| self.tree.is_owned_by(operator, path))
    }

    /// Returns the stored outcome of an earlier ask with the same `Change-Id`, or a refusal if its
    /// content was another.
    pub fn previous_outcome(&self, origin: &Origin, content: &Name) -> Option<Outcome> {
        let answer = self.change_ids.get(&idempotency_key(origin))?;
        if answer.content == *content {
            return Some(answer.outcome.clone());
        }
        let message = "this Change-Id was used for another change";
        Some(Outcome::Refused(refusal("change_id_reused", message)))
    }

    /// Parses the documents that were not read before.
    ///
    /// # Errors
    ///
    /// Fails on a document that this version of the program can't parse. Continuing without it
    /// would make this instance's state differ from the others' permanently.
    pub fn read_documents(&self) -> Result<(), UnsupportedDocument> {
        for (path, subtree) in &self.tree.subtrees {
            let read = subtree.document.read();
            read.map_err(|error| UnsupportedDocument { path: path.clone(), error })?;
        }
        Ok(())
    }

    /// Applies a committed entry.
    ///
    /// # Panics
    ///
    /// Panics on an entry that this version of the program can't parse: continuing without it would
    /// make this instance's state differ from the others' permanently.
    pub fn apply(&mut self, index: u64, entry: &Entry) -> Option<Outcome> {
        assert_promise!(
            Promise::AcceptedChangeStays,
            index == self.index + 1,
            "log entry {index} applied after entry {}",
            self.index
        );
        self.index = index;
        let before = self.tree.revision;
        let outcome = match &entry.payload {
            Payload::Noop => None,
            Payload::Members(members) => {
                let voters: Vec<&str> = members.voters.iter().map(|id| &*id.name).collect();
                let reason = format!("voters: {}", voters.join(", "));
                let position = self.log_position(index, entry.term, Millis::ZERO);
                self.audit.add(record(position, "control".into(), "voters", "".into(), reason));
                None
            }
            Payload::Command(text) => {
                let command = serde_json::from_str(text);
                let command = command.unwrap_or_else(|err| {
                    panic!(
                        "log entry {index} was written by a newer version of sill-control: {err}"
                    )
                });
                Some(self.apply_command(index, entry.term, command))
            }
        };
        assert_promise!(
            Promise::AcceptedChangeStays,
            self.tree.revision >= before,
            "entry {index} set the tree back from revision {before} to {}",
            self.tree.revision
        );
        outcome
    }

    fn apply_command(&mut self, index: u64, term: u64, command: Command) -> Outcome {
        match command {
            Command::Change { at, checked } => {
                let position = self.log_position(index, term, at);
                self.change(position, checked, None)
            }
            Command::Refuse { at, checked, refusal } => {
                let position = self.log_position(index, term, at);
                self.change(position, checked, Some(refusal))
            }
            Command::Drain { at, ask } => {
                let position = self.log_position(index, term, at);
                self.drain(position, ask)
            }
            Command::Claims { at, asks } => {
                let at = self.log_position(index, term, at).at;
                self.claim(at, &asks)
            }
            Command::Usage(statement) => self.record_usage(statement),
            Command::Origins(update) => {
                self.origins.apply(index, &update);
                Outcome::OriginsRecorded
            }
            Command::Rollout { at, ask } => {
                let position = self.log_position(index, term, at);
                self.order_rollout(position, at, ask)
            }
            Command::RolloutDecision { at, decision } => {
                let position = self.log_position(index, term, at);
                self.apply_rollout_decision(position, at, &decision)
            }
        }
    }

    /// Returns the position of a command. Its time never goes back, even if a leader with a slower
    /// clock takes over.
    fn log_position(&mut self, index: u64, term: u64, at: Millis) -> LogPosition {
        self.now = self.now.max(at);
        LogPosition { index, term, at: self.now }
    }

    fn claim(&mut self, at: Millis, asks: &[ClaimAsk]) -> Outcome {
        let verdicts = asks.iter().map(|ask| self.claims.apply(at, ask)).collect();
        Outcome::Verdicts { verdicts }
    }

    fn record_usage(&mut self, statement: UsageStatement) -> Outcome {
        let window = statement.window;
        let first = self.usage.entry(window).or_insert(statement).clone();
        while self.usage.len() > MAX_USAGE_WINDOWS {
            self.usage.pop_first();
        }
        Outcome::Usage(first)
    }

    fn change(
        &mut self,
        position: LogPosition,
        checked: CheckedChange,
        refused: Option<ChangeRefusal>,
    ) -> Outcome {
        let CheckedChange { ask, content, against, keeps_routes } = checked;
        if let Some(outcome) = self.previous_outcome(&ask.origin, &content) {
            return outcome;
        }
        let author = self.author(&ask.origin.holder);
        let outcome = match self.conflict(&ask) {
            Some(conflict) => Outcome::Refused(conflict),
            // Another change was committed between the check and this entry. The check may be
            // outdated, for example if each of the changes used up all that was left of a limit.
            None if against != self.revision() => return Outcome::Recheck,
            None => match (self.superseded_reply(&ask), refused) {
                (Some(reply), _) => Outcome::Changed(reply),
                (None, Some(refusal)) => Outcome::Refused(refusal),
                (None, None) => {
                    let is_first = !self.tree.subtrees.contains_key(SERVING_SUBTREE);
                    let reply = self.put(&ask, author.clone());
                    if ask.path.as_str() == SERVING_SUBTREE {
                        let (index, revision) = (position.index, reply.revision.0);
                        self.origins.record_routes(index, revision, is_first, keeps_routes);
                    }
                    Outcome::Changed(reply)
                }
            },
        };
        self.audit_change(position, &ask, &outcome, author);
        let name = idempotency_key(&ask.origin);
        self.change_ids.insert(Answer { name, content, outcome: outcome.clone() });
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
            // An edition replaces a whole document, usually the largest part of the tree. A
            // thousand of them in the history would take more memory than the instance has.
            self.history = History::default();
        } else {
            let document = ask.document.as_ref().map(DocumentText::value);
            self.history.add(Change { revision, path: path.clone(), author, document });
        }
        ChangeReply { revision, path, in_force: false }
    }

    fn audit_change(
        &mut self,
        position: LogPosition,
        ask: &ChangeAsk,
        outcome: &Outcome,
        author: Name,
    ) {
        let why = ask.origin.reason.clone();
        let mut entry = record(position, author, "change", ask.path.clone(), why);
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

    fn drain(&mut self, position: LogPosition, ask: DrainAsk) -> Outcome {
        let content = ask.content();
        if let Some(outcome) = self.previous_outcome(&ask.origin, &content) {
            return outcome;
        }
        let name = idempotency_key(&ask.origin);
        let author = self.author(&ask.origin.holder);
        let (action, outcome) = if ask.origin.holder != Holder::Root {
            let refusal = refusal("forbidden", "only the root's token may drain an instance");
            ("refused", Outcome::Refused(refusal))
        } else if self.drains.len() >= MAX_DRAINS {
            let refusal = refusal("too_many", "too many drains are remembered");
            ("refused", Outcome::Refused(refusal))
        } else {
            let drain = Drain { author: author.clone(), at: position.at };
            self.drains.insert(ask.subject.clone(), drain);
            ("drain", Outcome::Drained)
        };
        let why = ask.origin.reason.clone();
        self.audit.add(record(position, author, action, ask.subject.clone(), why));
        self.change_ids.insert(Answer { name, content, outcome: outcome.clone() });
        outcome
    }

    fn order_rollout(&mut self, position: LogPosition, at: Millis, ask: RolloutAsk) -> Outcome {
        let (service, reason) = (
            ask.service.clone(),
            format!("to {} within {} ms, by call {}", ask.to, ask.duration, ask.call),
        );
        let result = self.rollouts.order(position.index, at, ask);
        if result == (OrderOutcome::Ordered { order: position.index }) {
            self.audit.add(record(position, "root".into(), "rollout", service, reason));
        }
        Outcome::Rollout { result }
    }

    fn apply_rollout_decision(
        &mut self,
        position: LogPosition,
        at: Millis,
        decision: &RolloutDecision,
    ) -> Outcome {
        let is_applied = self.rollouts.apply(position.index, at, decision);
        if let Some((action, reason)) = decision.ending().filter(|_| is_applied) {
            let service = decision.service.clone();
            self.audit.add(record(position, "control".into(), action, service, reason));
        }
        Outcome::RolloutDecision { is_applied }
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

/// Returns the key of an ask. It holds the token's hash, not the path that the token owns: the
/// answer must still be found after the change itself altered the ownership.
fn idempotency_key(origin: &Origin) -> IdempotencyKey {
    let author = match &origin.holder {
        Holder::Root => "root".into(),
        Holder::Token(hash) => hash.0.clone(),
    };
    IdempotencyKey { author, change_id: origin.change_id.clone() }
}

impl ChangeAsk {
    /// Returns a hash of the path, base revision and document asked for.
    pub fn content(&self) -> Name {
        content_hash(&(&self.path, self.base, &self.document))
    }
}

impl DrainAsk {
    /// Returns a hash of the instance to drain.
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

/// Returns the reason of a refusal for the audit trail. Findings quote the document, which may hold
/// a secret in the wrong field, so only their places are included.
fn audited_reason(refusal: &ChangeRefusal, reason: &str) -> String {
    let mut text = format!("{}: {}", refusal.code, refusal.message);
    for finding in refusal.findings.iter().take(MAX_AUDITED_FINDINGS) {
        text.push_str(&format!("; {}", finding.place));
    }
    if !reason.is_empty() {
        text.push_str(&format!(" ({reason})"));
    }
    text
}

fn record(
    position: LogPosition,
    author: Name,
    action: &str,
    subject: Name,
    reason: String,
) -> AuditRecord {
    AuditRecord {
        index: position.index,
        term: position.term,
        at: position.at,
        author,
        action: action.into(),
        subject,
        reason,
        revision: None,
        detail: None,
    }
}
