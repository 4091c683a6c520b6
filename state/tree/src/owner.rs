//! Who may change a subtree, and who may see its secrets.

use sill_base::Findings;

use crate::document::{Document, KeyHash};
use crate::effective::is_at_or_above;
use crate::object::Place;
use crate::tree::Tree;

/// Who asks for something.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operator {
    /// The holder of the root token.
    Root,
    /// The holder of a token with this hash.
    TokenHolder(KeyHash),
}

impl Tree {
    /// Returns whether an operator owns the subtree or one above it. Who does may change it and
    /// see its secrets.
    pub fn is_owned_by(&self, operator: &Operator, path: &str) -> bool {
        self.owns(operator, |owned| is_at_or_above(owned, path))
    }

    /// Returns whether an operator owns a subtree above the path. Who does may name its owner.
    pub fn may_change_owner(&self, operator: &Operator, path: &str) -> bool {
        self.owns(operator, |owned| owned != path && is_at_or_above(owned, path))
    }

    /// Checks that an operator may put a document in place.
    ///
    /// # Errors
    ///
    /// Returns a finding where the subtree is another's, or where `owner` differs and the operator
    /// doesn't own a subtree above: a team that could name its own owner could lock out the one
    /// who granted it the subtree.
    pub fn check_owner(
        &self,
        operator: &Operator,
        path: &str,
        document: &Document,
    ) -> Result<(), Findings> {
        if !self.is_owned_by(operator, path) {
            let place = Place::top(path).text();
            return Err(Findings::one(place, "the token does not own this subtree"));
        }
        let current = self.subtrees.get(path).and_then(|subtree| subtree.document.owner.as_ref());
        if current != document.owner.as_ref() && !self.may_change_owner(operator, path) {
            let place = Place::top(path).field("owner").text();
            return Err(Findings::one(place, "only the owner of a subtree above may change it"));
        }
        Ok(())
    }

    fn owns(&self, operator: &Operator, covers: impl Fn(&str) -> bool) -> bool {
        match operator {
            Operator::Root => true,
            Operator::TokenHolder(hash) => self.subtrees.iter().any(|(path, subtree)| {
                covers(path) && subtree.document.owner.as_ref() == Some(hash)
            }),
        }
    }
}

/// Returns a document without its hashes of keys and tokens, for those who don't own it.
pub fn redact(document: &Document) -> Document {
    let mut redacted = document.clone();
    redacted.owner = None;
    for account in redacted.accounts.values_mut() {
        account.keys.clear();
    }
    redacted
}
