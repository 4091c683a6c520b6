//! What the leader decides about an ask before it is written.

use sill_base::{Findings, Millis};
use sill_wire::control::ChangeRefusal;

use crate::app::command::{Ask, ChangeAsk, Checked, Command, Outcome, refusal};
use crate::app::state::App;

/// What is to be done about an ask.
#[derive(Debug, Clone, PartialEq)]
pub enum Judged {
    /// It was asked before, and this came of it.
    Known(Outcome),
    /// This is to be written.
    Write(Command),
}

impl App {
    /// Checks an ask against the present state.
    pub fn judge(&self, at: Millis, ask: &Ask) -> Judged {
        match ask {
            Ask::Claims { asks } => Judged::Write(Command::Claims { at, asks: asks.clone() }),
            Ask::Usage(statement) => match self.usage(statement.window) {
                Some(stated) => Judged::Known(Outcome::Usage(stated.clone())),
                None => Judged::Write(Command::Usage(statement.clone())),
            },
            Ask::Drain(ask) => match self.known(&ask.origin, &ask.content()) {
                Some(outcome) => Judged::Known(outcome),
                None => Judged::Write(Command::Drain { at, ask: ask.clone() }),
            },
            Ask::Change(ask) => match self.known(&ask.origin, &ask.content()) {
                Some(outcome) => Judged::Known(outcome),
                None => self.judge_change(at, ask),
            },
        }
    }

    fn judge_change(&self, at: Millis, ask: &ChangeAsk) -> Judged {
        let (content, against) = (ask.content(), self.revision());
        match self.check_change(ask) {
            Ok(ask) => match self.overtaken(&ask) {
                Some(reply) => Judged::Known(Outcome::Changed(reply)),
                None => {
                    let checked = Checked { ask, content, against };
                    Judged::Write(Command::Change { at, checked })
                }
            },
            // An outside system sends what is invalid as often as it likes; were each try written,
            // it could fill the log.
            Err(refusal) if ask.edition.is_some() => Judged::Known(Outcome::Refused(refusal)),
            Err(refusal) => {
                let checked = Checked { ask: ask.clone(), content, against };
                Judged::Write(Command::Refuse { at, checked, refusal })
            }
        }
    }

    fn check_change(&self, ask: &ChangeAsk) -> Result<ChangeAsk, ChangeRefusal> {
        let (tree, operator) = (self.tree(), ask.origin.holder.operator());
        if !tree.is_owned_by(&operator, &ask.path) {
            return Err(refusal("forbidden", "the token does not own this subtree"));
        }
        let mut ask = ask.clone();
        let Some(text) = &ask.document else {
            return self.check_removal(ask);
        };
        let mut document = text.value();
        // Teams need not keep the hash of their own token in their files.
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
        Ok(ask)
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
        // An empty document stands for the removed one: what others need of it is found missing.
        let empty = serde_json::json!({});
        tree.check_value(&ask.path, &empty).map_err(invalid)?;
        Ok(ask)
    }
}

/// Refuses a document with all its findings.
pub fn invalid(findings: Findings) -> ChangeRefusal {
    let mut refusal = refusal("invalid", "the document has faults; nothing was applied");
    refusal.findings = findings.iter().cloned().collect();
    refusal
}
