//! Deterministic answers: token *i* is a pure function of model, prompt and *i*, so that a test can
//! recompute the expected answer.

use serde_json::{Value, json};
use sill_wire::chat::ChatSummary;

/// The answer of a model to a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    seed: u64,
    /// Length of the answer in tokens.
    pub tokens: u32,
}

impl Answer {
    /// Computes the answer to a request.
    pub fn compute(summary: &ChatSummary) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(summary.model.as_bytes());
        hasher.update(&[0]);
        hasher.update(summary.prompt.as_bytes());
        let hash = hasher.finalize();
        let mut seed = [0; 8];
        seed.copy_from_slice(&hash.as_bytes()[..8]);
        Self { seed: u64::from_le_bytes(seed), tokens: summary.max_tokens }
    }

    /// Returns the text of token `i`.
    pub fn token(&self, i: u32) -> String {
        let mut x = self.seed ^ u64::from(i).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^= x >> 29;
        format!("{:04x} ", x & 0xffff)
    }

    /// Returns the text of all tokens.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|i| self.token(i)).collect()
    }
}

/// Builds the JSON of one streamed chunk of a chat completion.
pub fn chunk(
    id: &str,
    created: u64,
    model: &str,
    content: Option<&str>,
    finish: Option<&str>,
) -> Value {
    let delta = content.map_or_else(|| json!({}), |text| json!({ "content": text }));
    json!({
        "id": id,
        "object": "chat.completion.chunk",
        "created": created,
        "model": model,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
    })
}
