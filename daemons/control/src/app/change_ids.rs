//! Answers to asks by idempotency key, so that a repeated ask gets the first answer.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sill_base::{Map, Name};

use crate::app::command::Outcome;

/// Answers kept; at 1,800 changes a day they cover eleven days.
const MAX_ANSWERS: usize = 20_000;

/// The newest answers by author and `Change-Id`; a full table evicts the oldest.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "VecDeque<Answer>", into = "VecDeque<Answer>")]
pub struct ChangeIds {
    answers: VecDeque<Answer>,
    positions: Map<IdempotencyKey, u64>,
    removed: u64,
}

/// Identifies an ask of an author.
///
/// The author is part of the key: another team that guesses a `Change-Id` must not read its answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The author: `root`, or the hash of the author's token.
    pub author: Name,
    /// The `Change-Id` that the author chose.
    pub change_id: Name,
}

/// The stored answer to an ask.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The idempotency key of the ask.
    pub name: IdempotencyKey,
    /// A hash of the ask's content, to detect a reused key.
    pub content: Name,
    /// The outcome of the ask.
    pub outcome: Outcome,
}

impl ChangeIds {
    /// Returns the answer stored under a key.
    pub fn get(&self, name: &IdempotencyKey) -> Option<&Answer> {
        let position = self.positions.get(name)?;
        self.answers.get((position - self.removed) as usize)
    }

    /// Stores an answer, unless its key already has one.
    pub fn insert(&mut self, answer: Answer) {
        if self.positions.contains_key(&answer.name) {
            return;
        }
        if self.answers.len() == MAX_ANSWERS
            && let Some(oldest) = self.answers.pop_front()
        {
            self.positions.remove(&oldest.name);
            self.removed += 1;
        }
        let position = self.removed + self.answers.len() as u64;
        self.positions.insert(answer.name.clone(), position);
        self.answers.push_back(answer);
    }
}

impl From<VecDeque<Answer>> for ChangeIds {
    fn from(answers: VecDeque<Answer>) -> Self {
        let mut ids = Self::default();
        answers.into_iter().for_each(|answer| ids.insert(answer));
        ids
    }
}

impl From<ChangeIds> for VecDeque<Answer> {
    fn from(ids: ChangeIds) -> Self {
        ids.answers
    }
}
