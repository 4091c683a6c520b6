//! Answers to asks that have a name, so that one sent again gets the first answer.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use sill_base::{Map, Name};

use crate::app::command::Outcome;

/// Answers that are kept; at 1,800 changes a day they reach back for eleven days.
const MAX_ANSWERS: usize = 20_000;

/// The newest answers by author and `Change-Id`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "VecDeque<Answer>", into = "VecDeque<Answer>")]
pub struct ChangeIds {
    answers: VecDeque<Answer>,
    positions: Map<IdempotencyKey, u64>,
    removed: u64,
}

/// Names an ask of an author.
///
/// The author belongs to it: another team that guesses a `Change-Id` must not read its answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// Who asked.
    pub author: Name,
    /// The name that the author gave.
    pub change_id: Name,
}

/// What is known of a named ask.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Its name.
    pub name: IdempotencyKey,
    /// A hash of its content.
    pub content: Name,
    /// What came of it.
    pub outcome: Outcome,
}

impl ChangeIds {
    /// Returns the answer to an ask.
    pub fn get(&self, name: &IdempotencyKey) -> Option<&Answer> {
        let position = self.positions.get(name)?;
        self.answers.get((position - self.removed) as usize)
    }

    /// Keeps an answer; the first one for a name stays.
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
