//! The table of claims on idempotency keys, derived by each control instance from the replicated
//! log.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Promise, assert_promise};
use sill_wire::claim::{BodyHash, ClaimAsk, ClaimKey, ClaimOutcome, ClaimOwner, ClaimVerdict};

/// How long the owner that released a claim can't take it again.
///
/// A duplicate `Take` may arrive after the `Release`. It would claim the key for a request that was
/// already refused, and every resend would get 409 until the retention ends.
const RELEASED_CLAIM_RETENTION: Millis = Millis(60_000);

/// Memory bounds of a [`ClaimTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBounds {
    /// Maximum number of claims; further ones are refused.
    #[serde(rename = "claims")]
    pub max_claims: usize,
    /// Size of the largest answer kept for resent requests, in bytes.
    #[serde(rename = "answer")]
    pub max_answer_bytes: usize,
    /// Total size of the kept answers, in bytes; of further answers only the status code is kept.
    #[serde(rename = "answers")]
    pub max_total_answer_bytes: usize,
}

/// All claims that have not expired.
///
/// The table is deterministic: the same asks at the same times give the same table and verdicts on
/// every instance. `now` must come from the log record, never from the clock of the instance that
/// applies it. If it goes backwards, as after a change of leader, the latest time so far is used.
///
/// The owner may repeat an ask through any instance: a `Take` is granted again to the same owner
/// (entry, incarnation and request) until the claim is finished or released. The owner must send
/// its request on the first grant only.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Snapshot", into = "Snapshot")]
pub struct ClaimTable {
    bounds: ClaimBounds,
    now: Millis,
    claims: BTreeMap<ClaimKey, Claim>,
    by_expiry: BTreeSet<Expiry>,
    answer_bytes: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    owner: ClaimOwner,
    #[serde(rename = "expires")]
    expires_at: Millis,
    state: ClaimState,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimState {
    Held { body: BodyHash, outcome: Option<ClaimOutcome> },
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Millis,
    key: ClaimKey,
}

/// The serialized form of a table, since JSON has no maps with structured keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Snapshot {
    bounds: ClaimBounds,
    now: Millis,
    claims: Vec<SnapshotClaim>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct SnapshotClaim {
    key: ClaimKey,
    claim: Claim,
}

impl Default for ClaimBounds {
    fn default() -> Self {
        Self { max_claims: 1_000_000, max_answer_bytes: 16 << 10, max_total_answer_bytes: 64 << 20 }
    }
}

impl ClaimTable {
    /// Makes an empty table with these bounds.
    pub fn new(bounds: ClaimBounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Returns the number of claims, including released ones that have not expired.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the table has no claim, not even a released one.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies one ask from the log, after it removed the claims that have expired by `now`.
    pub fn apply(&mut self, now: Millis, ask: &ClaimAsk) -> ClaimVerdict {
        self.now = self.now.max(now);
        self.remove_expired();
        match ask {
            ClaimAsk::Take { key, body, owner, retention } => {
                self.take(key, body, owner, *retention)
            }
            ClaimAsk::Finish { key, owner, outcome } => self.finish(key, owner, outcome),
            ClaimAsk::Release { key, owner } => self.release(key, owner),
        }
    }

    fn take(
        &mut self,
        key: &ClaimKey,
        body: &BodyHash,
        owner: &ClaimOwner,
        retention: Millis,
    ) -> ClaimVerdict {
        match self.claims.get(key) {
            Some(Claim { state: ClaimState::Held { body: claimed_body, .. }, .. })
                if claimed_body != body =>
            {
                return ClaimVerdict::BodyMismatch;
            }
            Some(Claim { owner: holder, state: ClaimState::Held { outcome, .. }, .. }) => {
                if holder == owner && outcome.is_none() {
                    return ClaimVerdict::Granted;
                }
                return ClaimVerdict::Taken { owner: holder.clone(), outcome: outcome.clone() };
            }
            Some(Claim { owner: holder, state: ClaimState::Released, .. }) if holder == owner => {
                return ClaimVerdict::Unavailable;
            }
            Some(Claim { state: ClaimState::Released, .. }) => {}
            None if self.claims.len() >= self.bounds.max_claims => {
                return ClaimVerdict::Unavailable;
            }
            None => {}
        }
        let state = ClaimState::Held { body: body.clone(), outcome: None };
        self.insert(key, Claim { owner: owner.clone(), expires_at: self.now + retention, state });
        ClaimVerdict::Granted
    }

    fn finish(
        &mut self,
        key: &ClaimKey,
        owner: &ClaimOwner,
        outcome: &ClaimOutcome,
    ) -> ClaimVerdict {
        let max_bytes = self
            .bounds
            .max_answer_bytes
            .min(self.bounds.max_total_answer_bytes.saturating_sub(self.answer_bytes));
        let Some(claim) = self.claims.get_mut(key) else {
            return ClaimVerdict::Done;
        };
        let ClaimState::Held { outcome: recorded, .. } = &mut claim.state else {
            return ClaimVerdict::Done;
        };
        if claim.owner != *owner {
            return ClaimVerdict::Taken { owner: claim.owner.clone(), outcome: recorded.clone() };
        }
        if recorded.is_none() {
            let bounded = outcome.without_large_body(max_bytes);
            self.answer_bytes += bounded.body_len();
            *recorded = Some(bounded);
        }
        ClaimVerdict::Done
    }

    fn release(&mut self, key: &ClaimKey, owner: &ClaimOwner) -> ClaimVerdict {
        let released_claim = Claim {
            owner: owner.clone(),
            expires_at: self.now + RELEASED_CLAIM_RETENTION,
            state: ClaimState::Released,
        };
        match self.claims.get(key) {
            Some(Claim { owner: holder, state: ClaimState::Held { outcome, .. }, .. })
                if holder != owner || outcome.is_some() =>
            {
                ClaimVerdict::Taken { owner: holder.clone(), outcome: outcome.clone() }
            }
            None if self.claims.len() >= self.bounds.max_claims => ClaimVerdict::Done,
            _ => {
                self.insert(key, released_claim);
                ClaimVerdict::Done
            }
        }
    }

    fn insert(&mut self, key: &ClaimKey, claim: Claim) {
        self.remove(key);
        self.by_expiry.insert(Expiry { at: claim.expires_at, key: key.clone() });
        self.claims.insert(key.clone(), claim);
    }

    fn remove(&mut self, key: &ClaimKey) {
        let Some(claim) = self.claims.remove(key) else {
            return;
        };
        self.by_expiry.remove(&Expiry { at: claim.expires_at, key: key.clone() });
        self.answer_bytes -= claim.answer_len();
    }

    fn remove_expired(&mut self) {
        while let Some(first) = self.by_expiry.first().filter(|e| e.at <= self.now).cloned() {
            self.remove(&first.key);
        }
        assert_promise!(
            Promise::AtMostOnce,
            self.by_expiry.len() == self.claims.len(),
            "claim table is inconsistent: {} claims, but {} expiry entries",
            self.claims.len(),
            self.by_expiry.len()
        );
    }
}

impl Claim {
    fn answer_len(&self) -> usize {
        match &self.state {
            ClaimState::Held { outcome: Some(outcome), .. } => outcome.body_len(),
            ClaimState::Held { outcome: None, .. } | ClaimState::Released => 0,
        }
    }
}

/// Bounds the memory of a kept outcome.
trait BoundedOutcome: Sized {
    fn body_len(&self) -> usize;

    /// Returns the outcome, without its body if that is larger than `max_bytes`.
    fn without_large_body(&self, max_bytes: usize) -> Self;
}

impl BoundedOutcome for ClaimOutcome {
    fn body_len(&self) -> usize {
        match self {
            Self::Answered { body, .. } => body.as_ref().map_or(0, String::len),
            Self::Unknown => 0,
        }
    }

    fn without_large_body(&self, max_bytes: usize) -> Self {
        match self {
            Self::Answered { status, .. } if self.body_len() > max_bytes => {
                Self::Answered { status: *status, body: None }
            }
            _ => self.clone(),
        }
    }
}

impl From<Snapshot> for ClaimTable {
    fn from(snapshot: Snapshot) -> Self {
        let mut table = Self { now: snapshot.now, ..Self::new(snapshot.bounds) };
        for SnapshotClaim { key, claim } in snapshot.claims {
            table.answer_bytes += claim.answer_len();
            table.insert(&key, claim);
        }
        table
    }
}

impl From<ClaimTable> for Snapshot {
    fn from(table: ClaimTable) -> Self {
        let claims = table.claims.into_iter();
        Self {
            bounds: table.bounds,
            now: table.now,
            claims: claims.map(|(key, claim)| SnapshotClaim { key, claim }).collect(),
        }
    }
}
