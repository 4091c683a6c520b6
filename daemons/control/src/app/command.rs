//! Asks to the control instances, the commands written to the replicated log, and their outcomes.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_tree::{DocumentText, KeyHash, Operator};
use sill_wire::claim::{ClaimAsk, ClaimVerdict};
use sill_wire::control::{ChangeRefusal, ChangeReply, Revision};

use crate::app::origins::OriginUpdate;
use crate::app::rollouts::{OrderOutcome, RolloutAsk, RolloutDecision};

/// An ask of an operator or an entry instance, before the leader checks it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case")]
pub enum Ask {
    /// Changes settings.
    Change(ChangeAsk),
    /// Excludes an instance from new work.
    Drain(DrainAsk),
    /// Takes, finishes or releases claims on requests.
    Claims {
        /// One ask for each claim.
        asks: Vec<ClaimAsk>,
    },
    /// Fixes the usage of a window for good.
    Usage(UsageStatement),
    /// Moves a service to another software version.
    Rollout(RolloutAsk),
    /// Records a decision of the leader on the versions of a service.
    RolloutDecision(RolloutDecision),
    /// Records what can begin streams.
    Origins(OriginUpdate),
}

/// Who sent an ask, why, and its idempotency key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// The holder of the token sent with the ask.
    pub holder: Holder,
    /// The `Change-Id`, which makes it safe to repeat the ask.
    pub change_id: Name,
    /// The reason that the operator gave, for the audit trail.
    pub reason: String,
}

/// The holder of an operator's token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Holder {
    /// The holder of the root token.
    Root,
    /// The holder of the token with this hash.
    Token(KeyHash),
}

/// An ask to replace or remove the document of a subtree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeAsk {
    /// Who asks, and why.
    pub origin: Origin,
    /// The subtree's path.
    pub path: Name,
    /// The revision that the subtree must still have; none to skip the conflict check.
    pub base: Option<Revision>,
    /// The new document, or none to remove the subtree.
    pub document: Option<DocumentText>,
    /// The edition of an outside system that the document was made from, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edition: Option<Edition>,
}

/// An edition of a document that an outside system numbers itself.
///
/// The highest number is in force, whatever the order in which editions arrive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edition {
    /// The number that the outside system gave it.
    pub number: u64,
    /// The text as received, to be read back unchanged.
    #[serde(with = "sill_base::compressed::text")]
    pub source: Arc<str>,
}

/// The number of requests of each client account that started in a time window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageStatement {
    /// The number of the window, counted from the epoch in window lengths.
    pub window: u64,
    /// Requests by client account.
    pub counts: BTreeMap<Name, u64>,
}

/// An ask to exclude an instance from new work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainAsk {
    /// Who asks, and why.
    pub origin: Origin,
    /// The endpoint or entry instance to drain.
    pub subject: Name,
}

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case")]
pub enum Command {
    /// Applies a change that passed the leader's check.
    Change {
        /// Wall-clock time at the leader.
        at: Millis,
        /// The change as it was checked.
        checked: CheckedChange,
    },
    /// Records that a change was refused.
    Refuse {
        /// Wall-clock time at the leader.
        at: Millis,
        /// The change as it was checked.
        checked: CheckedChange,
        /// Why the leader refused it.
        refusal: ChangeRefusal,
    },
    /// Records that an instance is to be drained.
    Drain {
        /// Wall-clock time at the leader.
        at: Millis,
        /// The ask as received.
        ask: DrainAsk,
    },
    /// Applies claims.
    Claims {
        /// Wall-clock time at the leader.
        at: Millis,
        /// One ask for each claim.
        asks: Vec<ClaimAsk>,
    },
    /// Records the usage of a window; later statements for the same window have no effect.
    Usage(UsageStatement),
    /// Carries out an order to move a service to another software version.
    Rollout {
        /// True time at the leader.
        at: Millis,
        /// The order.
        ask: RolloutAsk,
    },
    /// Applies a decision on the versions of a service.
    RolloutDecision {
        /// True time at the leader.
        at: Millis,
        /// The decision.
        decision: RolloutDecision,
    },
    /// Changes the record of what can have begun streams.
    Origins(OriginUpdate),
}

/// A change that the leader checked, and the state it was checked against.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CheckedChange {
    /// The change, with the fields that the check filled in.
    pub ask: ChangeAsk,
    /// A hash of the ask as received, before the check filled in fields.
    pub content: Name,
    /// The revision of the tree at the check; at any other one the change must be checked again.
    pub against: Revision,
    /// Whether all routes draw from the same services as before the change.
    #[serde(default)]
    pub keeps_routes: bool,
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The change was applied.
    Changed(ChangeReply),
    /// The ask was refused.
    Refused(ChangeRefusal),
    /// The drain was recorded.
    Drained,
    /// A verdict for each ask.
    Verdicts {
        /// In the order of the asks.
        verdicts: Vec<ClaimVerdict>,
    },
    /// The recorded usage of a window, which may be from an earlier statement.
    Usage(UsageStatement),
    /// What became of an order.
    Rollout {
        /// The outcome of the order.
        result: OrderOutcome,
    },
    /// What became of a decision on the versions of a service.
    RolloutDecision {
        /// Whether it had an effect.
        is_applied: bool,
    },
    /// What can begin streams is recorded.
    OriginsRecorded,
    /// The tree has changed since the change was checked; it must be checked again.
    Recheck,
}

impl Holder {
    /// Converts the holder to the tree's type for ownership checks.
    pub fn operator(&self) -> Operator {
        match self {
            Self::Root => Operator::Root,
            Self::Token(hash) => Operator::TokenHolder(hash.clone()),
        }
    }
}

/// Creates a refusal without findings.
pub fn refusal(code: &str, message: &str) -> ChangeRefusal {
    ChangeRefusal {
        code: code.into(),
        message: message.to_owned(),
        findings: Vec::new(),
        revision: None,
        author: None,
    }
}
