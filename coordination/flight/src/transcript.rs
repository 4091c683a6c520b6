//! What was sent of an answer so far: enough to resume it, to send it again, and to hand it off.

use serde::{Deserialize, Serialize};
use sill_base::{Promise, keep};

/// The tokens of one answer, in order and without a gap.
///
/// The text is held as it stood in the endpoint's JSON, still escaped, so that a token costs a copy
/// and no parse.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transcript {
    /// The completion's id, as the caller saw it.
    pub id: Option<String>,
    /// The completion's time, as the caller saw it.
    pub created: u64,
    /// Why the answer ended, once it did.
    #[serde(rename = "finish")]
    pub finish_reason: Option<String>,
    /// Tokens of the prompt, as the endpoint counted them.
    pub prompt_tokens: Option<u32>,
    /// Whether the end marker came.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    escaped: String,
    ends: Vec<u32>,
}

impl Transcript {
    /// Returns the index of the next token.
    pub fn next_index(&self) -> u32 {
        self.ends.len() as u32
    }

    /// Adds the token of an index, with its text as in JSON between the quotes.
    pub fn push(&mut self, index: u32, escaped: &str) {
        keep!(
            Promise::WholeAnswer,
            index == self.next_index() && !self.is_complete,
            "token {index} came where {} was due",
            self.next_index()
        );
        self.escaped.push_str(escaped);
        self.ends.push(self.escaped.len() as u32);
    }

    /// Returns the text of one token, as in JSON between the quotes.
    pub fn escaped_token(&self, index: u32) -> &str {
        let index = index as usize;
        let start = if index == 0 { 0 } else { self.ends[index - 1] as usize };
        &self.escaped[start..self.ends[index] as usize]
    }

    /// Returns the texts of all tokens.
    pub fn tokens(&self) -> Vec<String> {
        (0..self.next_index()).map(|i| unescape(self.escaped_token(i))).collect()
    }

    /// Returns the whole text.
    pub fn text(&self) -> String {
        unescape(&self.escaped)
    }

    /// Returns the bytes held, to bound them.
    pub fn size_bytes(&self) -> usize {
        self.escaped.len() + self.ends.len() * size_of::<u32>()
    }
}

fn unescape(escaped: &str) -> String {
    if !escaped.contains('\\') {
        return escaped.to_owned();
    }
    serde_json::from_str(&format!("\"{escaped}\"")).unwrap_or_else(|_| escaped.to_owned())
}
