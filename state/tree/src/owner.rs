//! Authorization of operators: who may change a subtree and who may see its hashes.

use sill_base::Findings;

use crate::document::{Document, KeyHash};
use crate::effective::is_at_or_above;
use crate::object::Place;
use crate::tree::Tree;

/// The operator who sends a request, as identified by the token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operator {
    /// The holder of the root token, who owns all subtrees.
    Root,
    /// The holder of a token with this hash.
    TokenHolder(KeyHash),
}

impl Tree {
    /// Returns whether an operator owns the subtree at `path` or one above it, and so may change it
    /// and see its hashes of keys and tokens.
    pub fn is_owned_by(&self, operator: &Operator, path: &str) -> bool {
        self.owns_any(operator, |owned| is_at_or_above(owned, path))
    }

    /// Returns whether an operator owns a subtree above `path`, and so may change the owner of the
    /// subtree at `path`.
    pub fn may_change_owner(&self, operator: &Operator, path: &str) -> bool {
        self.owns_any(operator, |owned| owned != path && is_at_or_above(owned, path))
    }

    /// Checks that an operator may store `document` at `path`.
    ///
    /// # Errors
    ///
    /// Returns a finding if the operator doesn't own the subtree, or if `owner` changes and the
    /// operator doesn't own a subtree above. A team that could change its own owner could lock out
    /// the operator who granted it the subtree.
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

    fn owns_any(&self, operator: &Operator, is_covered: impl Fn(&str) -> bool) -> bool {
        match operator {
            Operator::Root => true,
            Operator::TokenHolder(hash) => self.subtrees.iter().any(|(path, subtree)| {
                is_covered(path) && subtree.document.owner.as_ref() == Some(hash)
            }),
        }
    }
}

/// Returns a copy of a document without its hashes of keys and tokens, for operators who don't own
/// it.
pub fn redact(document: &Document) -> Document {
    let mut redacted = document.clone();
    redacted.owner = None;
    for account in redacted.accounts.values_mut() {
        account.keys.clear();
    }
    redacted
}
