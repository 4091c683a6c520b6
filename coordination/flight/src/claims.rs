//! The table of claims, as each control instance derives it from the replicated log.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Promise, keep};
use sill_wire::claim::{BodyHash, ClaimAsk, ClaimKey, ClaimOutcome, ClaimOwner, ClaimVerdict};

/// How long a claim that was given back keeps its owner from taking it again.
///
/// A `Take` that was sent twice may arrive after the `Release`. It would take the key for a request
/// that has already been refused, and every resend would get 409 for a whole retention.
const RELEASED_KEPT: Millis = Millis(60_000);

/// Bounds of a [`ClaimTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimBounds {
    /// Claims held at once; further ones are refused.
    #[serde(rename = "claims")]
    pub max_claims: usize,
    /// The largest answer kept for resent requests, in bytes.
    #[serde(rename = "answer")]
    pub max_answer_bytes: usize,
    /// Bytes of all kept answers; further answers are not kept, but their status code is.
    #[serde(rename = "answers")]
    pub max_total_answer_bytes: usize,
}

/// All claims that have not expired.
///
/// The same asks at the same times give the same table and the same verdicts on every instance.
/// `now` must come from the log record, never from the clock of the instance that applies it. Time
/// that goes back, as after a change of leader, counts as standing still.
///
/// An ask may be repeated by its owner through any instance: a `Take` is granted again to the very
/// same owner (entry, incarnation and request) until it is finished or released. The owner must
/// send on the first grant only.
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
    expires: Millis,
    state: State,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Held { body: BodyHash, outcome: Option<ClaimOutcome> },
    Released,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Millis,
    key: ClaimKey,
}

/// The written form; JSON has no maps with structured keys.
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
    /// Makes an empty table.
    pub fn new(bounds: ClaimBounds) -> Self {
        Self { bounds, ..Self::default() }
    }

    /// Returns the number of claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Carries out one ask.
    pub fn apply(&mut self, now: Millis, ask: &ClaimAsk) -> ClaimVerdict {
        self.now = self.now.max(now);
        self.expire();
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
            Some(Claim { state: State::Held { body: held, .. }, .. }) if held != body => {
                return ClaimVerdict::BodyMismatch;
            }
            Some(Claim { owner: holder, state: State::Held { outcome, .. }, .. }) => {
                if holder == owner && outcome.is_none() {
                    return ClaimVerdict::Granted;
                }
                return ClaimVerdict::Taken { owner: holder.clone(), outcome: outcome.clone() };
            }
            Some(Claim { owner: holder, state: State::Released, .. }) if holder == owner => {
                return ClaimVerdict::Unavailable;
            }
            Some(Claim { state: State::Released, .. }) => {}
            None if self.claims.len() >= self.bounds.max_claims => {
                return ClaimVerdict::Unavailable;
            }
            None => {}
        }
        let state = State::Held { body: body.clone(), outcome: None };
        self.put(key, Claim { owner: owner.clone(), expires: self.now + retention, state });
        ClaimVerdict::Granted
    }

    fn finish(
        &mut self,
        key: &ClaimKey,
        owner: &ClaimOwner,
        outcome: &ClaimOutcome,
    ) -> ClaimVerdict {
        let room = self
            .bounds
            .max_answer_bytes
            .min(self.bounds.max_total_answer_bytes.saturating_sub(self.answer_bytes));
        let Some(claim) = self.claims.get_mut(key) else {
            return ClaimVerdict::Done;
        };
        let State::Held { outcome: known, .. } = &mut claim.state else {
            return ClaimVerdict::Done;
        };
        if claim.owner != *owner {
            return ClaimVerdict::Taken { owner: claim.owner.clone(), outcome: known.clone() };
        }
        if known.is_none() {
            let kept = outcome.within(room);
            self.answer_bytes += kept.size();
            *known = Some(kept);
        }
        ClaimVerdict::Done
    }

    fn release(&mut self, key: &ClaimKey, owner: &ClaimOwner) -> ClaimVerdict {
        let released = Claim {
            owner: owner.clone(),
            expires: self.now + RELEASED_KEPT,
            state: State::Released,
        };
        match self.claims.get(key) {
            Some(Claim { owner: holder, state: State::Held { outcome, .. }, .. })
                if holder != owner || outcome.is_some() =>
            {
                ClaimVerdict::Taken { owner: holder.clone(), outcome: outcome.clone() }
            }
            None if self.claims.len() >= self.bounds.max_claims => ClaimVerdict::Done,
            _ => {
                self.put(key, released);
                ClaimVerdict::Done
            }
        }
    }

    fn put(&mut self, key: &ClaimKey, claim: Claim) {
        self.remove(key);
        self.by_expiry.insert(Expiry { at: claim.expires, key: key.clone() });
        self.claims.insert(key.clone(), claim);
    }

    fn remove(&mut self, key: &ClaimKey) {
        let Some(claim) = self.claims.remove(key) else {
            return;
        };
        self.by_expiry.remove(&Expiry { at: claim.expires, key: key.clone() });
        self.answer_bytes -= claim.size();
    }

    fn expire(&mut self) {
        while let Some(first) = self.by_expiry.first().filter(|e| e.at <= self.now).cloned() {
            self.remove(&first.key);
        }
        keep!(
            Promise::AtMostOnce,
            self.by_expiry.len() == self.claims.len(),
            "{} claims, {} expiries",
            self.claims.len(),
            self.by_expiry.len()
        );
    }
}

impl Claim {
    fn size(&self) -> usize {
        match &self.state {
            State::Held { outcome: Some(outcome), .. } => outcome.size(),
            State::Held { outcome: None, .. } | State::Released => 0,
        }
    }
}

/// What a kept outcome takes up.
trait Size: Sized {
    fn size(&self) -> usize;

    /// Returns the outcome without its body where that is larger than `room`.
    fn within(&self, room: usize) -> Self;
}

impl Size for ClaimOutcome {
    fn size(&self) -> usize {
        match self {
            Self::Answered { body, .. } => body.as_ref().map_or(0, String::len),
            Self::Unknown => 0,
        }
    }

    fn within(&self, room: usize) -> Self {
        match self {
            Self::Answered { status, .. } if self.size() > room => {
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
            table.answer_bytes += claim.size();
            table.put(&key, claim);
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
