//! The leader's checks of an ask before a command is written to the log.

use sill_base::{Findings, Millis};
use sill_tree::Document;
use sill_wire::control::ChangeRefusal;

use crate::app::command::{Ask, ChangeAsk, CheckedChange, Command, Outcome, refusal};
use crate::app::rollouts::{OrderOutcome, RolloutAsk};
use crate::app::state::App;
use crate::settings_pieces::{SERVING_SUBTREE, drawn_services};

/// The leader's decision about an ask.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Nothing is to be written; this is the outcome, for example of an earlier ask.
    Answer(Outcome),
    /// This command is to be written to the log.
    Write(Command),
}

impl App {
    /// Checks an ask against the current state. `at` is the time stored in the command: true time
    /// for roll-outs, otherwise wall-clock time.
    pub fn decide(&self, at: Millis, ask: &Ask) -> Decision {
        match ask {
            Ask::Claims { asks } => Decision::Write(Command::Claims { at, asks: asks.clone() }),
            Ask::Usage(statement) => match self.usage(statement.window) {
                Some(stated) => Decision::Answer(Outcome::Usage(stated.clone())),
                None => Decision::Write(Command::Usage(statement.clone())),
            },
            Ask::Rollout(ask) => self.decide_rollout(at, ask),
            Ask::RolloutDecision(decision) if self.rollouts().is_applicable(decision) => {
                Decision::Write(Command::RolloutDecision { at, decision: decision.clone() })
            }
            Ask::RolloutDecision(_) => {
                Decision::Answer(Outcome::RolloutDecision { is_applied: false })
            }
            Ask::Origins(update) if self.origins().is_applicable(update) => {
                Decision::Write(Command::Origins(update.clone()))
            }
            Ask::Origins(_) => Decision::Answer(Outcome::OriginsRecorded),
            Ask::Drain(ask) => match self.previous_outcome(&ask.origin, &ask.content()) {
                Some(outcome) => Decision::Answer(outcome),
                None => Decision::Write(Command::Drain { at, ask: ask.clone() }),
            },
            Ask::Change(ask) => match self.previous_outcome(&ask.origin, &ask.content()) {
                Some(outcome) => Decision::Answer(outcome),
                None => self.decide_change(at, ask),
            },
        }
    }

    fn decide_rollout(&self, at: Millis, ask: &RolloutAsk) -> Decision {
        let settled = if self.is_served(&ask.service) {
            self.rollouts().settled_outcome(at, ask)
        } else {
            Some(OrderOutcome::UnknownService)
        };
        match settled {
            Some(result) => Decision::Answer(Outcome::Rollout { result }),
            None => Decision::Write(Command::Rollout { at, ask: ask.clone() }),
        }
    }

    fn decide_change(&self, at: Millis, ask: &ChangeAsk) -> Decision {
        let (content, against) = (ask.content(), self.revision());
        match self.check_change(ask) {
            Ok((ask, document)) => match self.superseded_reply(&ask) {
                Some(reply) => Decision::Answer(Outcome::Changed(reply)),
                None => {
                    let keeps_routes = self.keeps_routes(&ask.path, document.as_ref());
                    let checked = CheckedChange { ask, content, against, keeps_routes };
                    Decision::Write(Command::Change { at, checked })
                }
            },
            // An outside system may repeat an invalid document at any rate. If each attempt were
            // written, it could fill the log.
            Err(refusal) if ask.edition.is_some() => Decision::Answer(Outcome::Refused(refusal)),
            Err(refusal) => {
                let ask = ask.clone();
                let checked = CheckedChange { ask, content, against, keeps_routes: true };
                Decision::Write(Command::Refuse { at, checked, refusal })
            }
        }
    }

    /// Returns whether all routes draw from the same services after a document replaces that of a subtree.
    fn keeps_routes(&self, path: &str, document: Option<&Document>) -> bool {
        if path != SERVING_SUBTREE {
            return true;
        }
        let before = self.tree().subtrees.get(SERVING_SUBTREE).map(|s| &*s.document);
        before.zip(document).is_some_and(|(a, b)| drawn_services(a) == drawn_services(b))
    }

    /// Returns the change as it is to be made, with its document if it doesn't remove the subtree.
    fn check_change(
        &self,
        ask: &ChangeAsk,
    ) -> Result<(ChangeAsk, Option<Document>), ChangeRefusal> {
        let (tree, operator) = (self.tree(), ask.origin.holder.operator());
        if !tree.is_owned_by(&operator, &ask.path) {
            return Err(refusal("forbidden", "the token does not own this subtree"));
        }
        let mut ask = ask.clone();
        let Some(text) = &ask.document else {
            return Ok((self.check_removal(ask)?, None));
        };
        let mut document = text.value();
        // Teams may leave out the hash of their own token from their files.
        let current = tree.subtrees.get(&ask.path).and_then(|s| s.document.owner.as_ref());
        if let (Some(owner), Some(fields)) = (current, document.as_object_mut())
            && !tree.may_change_owner(&operator, &ask.path)
            && !fields.contains_key("owner")
        {
            fields.insert("owner".to_owned(), owner.0.as_str().into());
            ask.document = Some((&document).into());
        }
        let typed = tree.check_value(&ask.path, &document).map_err(invalid)?;
        tree.check_owner(&operator, &ask.path, &typed).map_err(invalid)?;
        Ok((ask, Some(typed)))
    }

    fn check_removal(&self, ask: ChangeAsk) -> Result<ChangeAsk, ChangeRefusal> {
        let tree = self.tree();
        if !tree.subtrees.contains_key(&ask.path) {
            return Err(refusal("not_found", "no such subtree"));
        }
        if !tree.may_change_owner(&ask.origin.holder.operator(), &ask.path) {
            let message = "only the owner of a subtree above may remove it";
            return Err(refusal("forbidden", message));
        }
        // Checking an empty document in its place finds references of other subtrees to the removed
        // one.
        let empty = serde_json::json!({});
        tree.check_value(&ask.path, &empty).map_err(invalid)?;
        Ok(ask)
    }
}

/// Creates the refusal of an invalid document, with all its findings.
pub fn invalid(findings: Findings) -> ChangeRefusal {
    let mut refusal = refusal("invalid", "the document has faults; nothing was applied");
    refusal.findings = findings.iter().cloned().collect();
    refusal
}
