//! What is asked of the replicated log, what is written to it, and what comes of it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_tree::{DocumentText, KeyHash, Operator};
use sill_wire::claim::{ClaimAsk, ClaimVerdict};
use sill_wire::control::{ChangeRefusal, ChangeReply, Revision};

/// Something that an operator or an entry instance wants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum Ask {
    /// A settings change.
    Change(ChangeAsk),
    /// That an instance gets no new work.
    Drain(DrainAsk),
    /// Claims of requests.
    Claims {
        /// The asks.
        asks: Vec<ClaimAsk>,
    },
    /// That the usage of a window is stated once and for all.
    Usage(UsageStatement),
}

/// Who asks for something, and under which name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// Whose token came with it.
    pub holder: Holder,
    /// Names the ask, so that it can be sent again.
    pub change_id: Name,
    /// Why, in the operator's words.
    pub reason: String,
}

/// Whose token it was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Holder {
    /// The holder of the root token.
    Root,
    /// The holder of the token with this hash.
    Token(KeyHash),
}

/// A settings change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeAsk {
    /// Who asks.
    pub origin: Origin,
    /// The subtree's path.
    pub path: Name,
    /// The revision that the subtree must still have.
    pub base: Option<Revision>,
    /// The new document, or none to remove the subtree.
    pub document: Option<DocumentText>,
    /// The edition of an outside system that the document stands for, if it is one's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edition: Option<Edition>,
}

/// One edition of a document that an outside system numbers by itself.
///
/// The highest number is in force, whatever the order in which editions arrive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edition {
    /// Its number there.
    pub number: u64,
    /// Its text as it came, to be read back unchanged.
    #[serde(with = "sill_base::compressed::text")]
    pub source: Arc<str>,
}

/// Requests by client account that began to run in one window of time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageStatement {
    /// The number of the window.
    pub window: u64,
    /// Requests by account.
    pub counts: BTreeMap<Name, u64>,
}

/// That an instance gets no new work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainAsk {
    /// Who asks.
    pub origin: Origin,
    /// The endpoint or entry instance.
    pub subject: Name,
}

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Command {
    /// Make a change that was checked.
    Change {
        /// Wall-clock time at the leader.
        at: Millis,
        /// The change as it was checked.
        checked: Checked,
    },
    /// Note that a change was refused.
    Refuse {
        /// Wall-clock time at the leader.
        at: Millis,
        /// The change as it was checked.
        checked: Checked,
        /// Why it was refused.
        refusal: ChangeRefusal,
    },
    /// Note that an instance is to be drained.
    Drain {
        /// Wall-clock time at the leader.
        at: Millis,
        /// The ask.
        ask: DrainAsk,
    },
    /// Carry out claims.
    Claims {
        /// Wall-clock time at the leader.
        at: Millis,
        /// The asks.
        asks: Vec<ClaimAsk>,
    },
    /// State the usage of a window; the first statement stays.
    Usage(UsageStatement),
}

/// A change with what its check depended on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Checked {
    /// The change, with what the check filled in.
    pub ask: ChangeAsk,
    /// A hash of what was asked for at first.
    pub content: Name,
    /// The revision of the tree that it was checked against.
    pub against: Revision,
}

/// What came of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The change was made.
    Changed(ChangeReply),
    /// The ask was refused.
    Refused(ChangeRefusal),
    /// The drain was noted.
    Drained,
    /// A verdict for each ask.
    Verdicts {
        /// In the order of the asks.
        verdicts: Vec<ClaimVerdict>,
    },
    /// The usage of a window as it is stated.
    Usage(UsageStatement),
    /// The tree has changed since the change was checked; it must be checked again.
    Recheck,
}

impl Holder {
    /// Returns the operator as the tree knows it.
    pub fn operator(&self) -> Operator {
        match self {
            Self::Root => Operator::Root,
            Self::Token(hash) => Operator::TokenHolder(hash.clone()),
        }
    }
}

/// Makes a refusal.
pub fn refusal(code: &str, message: &str) -> ChangeRefusal {
    ChangeRefusal {
        code: code.into(),
        message: message.to_owned(),
        findings: Vec::new(),
        revision: None,
        author: None,
    }
}
