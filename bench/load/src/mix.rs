//! Composition of a load: kinds of requests and their weights.

use ntex::http::Method;
use serde::{Deserialize, Serialize};
use serde_json::json;
use sill_base::{Findings, Name};
use sill_net::client::Header;
use sill_wire::header;

use crate::exchange::{Content, Request};

/// Kinds of requests, chosen at random by weight.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Kinds of requests; at least one has a weight above 0.
    pub kinds: Vec<RequestKind>,
}

/// One kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestKind {
    /// Weight relative to the other kinds.
    pub weight: u32,
    /// Content of the requests.
    pub ask: ContentSpec,
    /// Value of the priority header, if it is sent.
    pub priority: Option<Name>,
    /// Value of the deadline header in milliseconds, if it is sent.
    pub deadline_ms: Option<u64>,
    /// Whether each request has its own idempotency key.
    pub keyed: bool,
    /// Whether the request may run more than once; if not, a header says so.
    pub idempotent: bool,
}

/// Content of a kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "of", rename_all = "lowercase", deny_unknown_fields)]
pub enum ContentSpec {
    /// A chat completion.
    Chat(Chat),
    /// A call of a plain service.
    Plain(Plain),
}

/// Parameters of chat completion requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Chat {
    /// Name of the model.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Number of tokens of the answer.
    pub max_tokens: u32,
    /// Number of words of the prompt.
    pub prompt_words: usize,
    /// Number of these words that form a prefix shared with other requests.
    pub shared_words: usize,
    /// Number of different shared prefixes.
    pub prefixes: u64,
}

/// Parameters of calls of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plain {
    /// Name of the service.
    pub service: Name,
    /// HTTP method.
    pub method: String,
    /// Path below the service; the number of the request is appended.
    pub path: String,
}

impl Default for RequestKind {
    fn default() -> Self {
        Self {
            weight: 1,
            ask: ContentSpec::Chat(Chat::default()),
            priority: None,
            deadline_ms: None,
            keyed: false,
            idempotent: true,
        }
    }
}

impl Default for Chat {
    fn default() -> Self {
        Self {
            model: "desk-7b".to_owned(),
            stream: true,
            max_tokens: 32,
            prompt_words: 100,
            shared_words: 80,
            prefixes: 16,
        }
    }
}

impl Mix {
    /// Creates a mix of half streamed and half unstreamed chat completions.
    pub fn halves(chat: &Chat) -> Self {
        let kind = |stream| RequestKind {
            ask: ContentSpec::Chat(Chat { stream, ..chat.clone() }),
            ..RequestKind::default()
        };
        Self { kinds: vec![kind(true), kind(false)] }
    }

    /// Parses a mix from JSON.
    ///
    /// # Errors
    ///
    /// Returns findings for invalid JSON, for a mix without weights and for an unknown HTTP method.
    pub fn read(text: &str) -> Result<Self, Findings> {
        let mix: Self =
            serde_json::from_str(text).map_err(|err| Findings::one("mix", err.to_string()))?;
        let mut findings = Findings::new();
        if mix.kinds.iter().map(|kind| u64::from(kind.weight)).sum::<u64>() == 0 {
            findings.add("kinds", "expected at least one with a weight");
        }
        for (i, kind) in mix.kinds.iter().enumerate() {
            if let ContentSpec::Plain(plain) = &kind.ask
                && plain.method.parse::<Method>().is_err()
            {
                findings.add(format!("kinds[{i}].method"), "unknown method");
            }
        }
        findings.into_result(mix)
    }

    /// Returns the request with a number; the same number gives the same request. `run` is part of
    /// the idempotency keys, so that a run doesn't reuse the keys of an earlier one.
    pub fn request(&self, run: u64, number: u64) -> Request {
        let kind = self.draw_kind(mix_bits(number));
        let content = match &kind.ask {
            ContentSpec::Chat(chat) => chat.content(number),
            ContentSpec::Plain(plain) => plain.content(number),
        };
        let mut headers = Vec::new();
        let mut add =
            |name: &str, value: String| headers.push(Header { name: name.to_owned(), value });
        if let Some(priority) = &kind.priority {
            add(header::PRIORITY, priority.to_string());
        }
        if let Some(deadline) = kind.deadline_ms {
            add(header::DEADLINE_MS, deadline.to_string());
        }
        if kind.keyed {
            add(header::IDEMPOTENCY_KEY, format!("load-{run:x}-{number}"));
        }
        if !kind.idempotent {
            add(header::IDEMPOTENT, "false".to_owned());
        }
        Request { content, headers }
    }

    fn draw_kind(&self, draw: u64) -> &RequestKind {
        let sum: u64 = self.kinds.iter().map(|kind| u64::from(kind.weight)).sum();
        let mut left = draw % sum.max(1);
        for kind in &self.kinds {
            match left.checked_sub(u64::from(kind.weight)) {
                Some(rest) => left = rest,
                None => return kind,
            }
        }
        &self.kinds[0]
    }
}

impl Chat {
    fn content(&self, number: u64) -> Content {
        let prefix = mix_bits(number ^ 0x5eed) % self.prefixes.max(1);
        let shared =
            (0..self.shared_words.min(self.prompt_words)).map(|i| format!("p{prefix}-{i} "));
        let own = (self.shared_words..self.prompt_words).map(|i| format!("q{number}-{i} "));
        let prompt: String = shared.chain(own).collect();
        Content::Chat(json!({
            "model": self.model,
            "stream": self.stream,
            "max_tokens": self.max_tokens,
            "messages": [{ "role": "user", "content": prompt }],
        }))
    }
}

impl Plain {
    fn content(&self, number: u64) -> Content {
        Content::Plain {
            method: self.method.parse().unwrap_or(Method::GET),
            service: self.service.clone(),
            path: format!("{}{number}", self.path),
            body: format!("call {number}"),
        }
    }
}

/// Mixes the bits of a number, so that consecutive numbers choose different kinds.
fn mix_bits(number: u64) -> u64 {
    let mut x = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 31)
}
