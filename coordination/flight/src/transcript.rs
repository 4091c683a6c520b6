//! The part of an answer that was sent to the caller, kept to resume, resend and hand off the
//! answer.

use serde::{Deserialize, Serialize};
use sill_base::{Promise, assert_promise};
use sill_wire::Software;

/// The tokens of one answer, in order and without a gap.
///
/// The text is kept escaped, as in the JSON of the endpoint, so that adding a token takes a copy
/// and no JSON parser.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transcript {
    /// The completion's id, as sent to the caller; none before the first token.
    pub id: Option<String>,
    /// The completion's creation time, as sent to the caller.
    pub created: u64,
    /// The finish reason that the endpoint gave at the end of the answer.
    #[serde(rename = "finish")]
    pub finish_reason: Option<String>,
    /// Number of tokens of the prompt, as reported by the endpoint.
    pub prompt_tokens: Option<u32>,
    /// Whether the end marker arrived.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// The software version that generated the first token, which has to generate the others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<Software>,
    escaped: String,
    /// End of each token in `escaped`, in bytes.
    ends: Vec<u32>,
}

impl Transcript {
    /// Returns the index that the next token must have.
    pub fn next_index(&self) -> u32 {
        self.ends.len() as u32
    }

    /// Adds the token with this index; its text is escaped as in a JSON string.
    pub fn push(&mut self, index: u32, escaped: &str) {
        assert_promise!(
            Promise::WholeAnswer,
            index == self.next_index() && !self.is_complete,
            "transcript received token {index}, expected {} (complete: {})",
            self.next_index(),
            self.is_complete
        );
        self.escaped.push_str(escaped);
        self.ends.push(self.escaped.len() as u32);
    }

    /// Returns the text of one token, escaped as in a JSON string.
    pub fn escaped_token(&self, index: u32) -> &str {
        let index = index as usize;
        let start = if index == 0 { 0 } else { self.ends[index - 1] as usize };
        &self.escaped[start..self.ends[index] as usize]
    }

    /// Returns the unescaped texts of all tokens.
    pub fn tokens(&self) -> Vec<String> {
        (0..self.next_index()).map(|i| unescape(self.escaped_token(i))).collect()
    }

    /// Returns the unescaped text of all tokens.
    pub fn text(&self) -> String {
        unescape(&self.escaped)
    }

    /// Returns the memory that the tokens use, in bytes.
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
