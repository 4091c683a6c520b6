//! What a load consists of: kinds of requests with their weights.

use ntex::http::Method;
use serde::{Deserialize, Serialize};
use serde_json::json;
use sill_base::{Findings, Name};
use sill_net::client::Header;
use sill_wire::header;

use crate::exchange::{Content, Request};

/// Kinds of requests, drawn by weight.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// The kinds.
    pub kinds: Vec<Kind>,
}

/// One kind of request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Kind {
    /// Its share against the other kinds.
    pub weight: u32,
    /// What is asked for.
    pub ask: Ask,
    /// The priority asked for, if any.
    pub priority: Option<Name>,
    /// The deadline asked for, if any.
    pub deadline_ms: Option<u64>,
    /// Whether each request carries an idempotency key of its own.
    pub keyed: bool,
    /// Whether it may be run more than once.
    pub idempotent: bool,
}

/// What a kind of request asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "of", rename_all = "lowercase", deny_unknown_fields)]
pub enum Ask {
    /// A model's answer.
    Chat(Chat),
    /// A call of a plain service.
    Plain(Plain),
}

/// A request for a model's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Chat {
    /// The model.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Tokens of the answer.
    pub max_tokens: u32,
    /// Words of the prompt.
    pub prompt_words: usize,
    /// Of these, words at the start that requests share.
    pub shared_words: usize,
    /// How many different shared starts there are.
    pub prefixes: u64,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plain {
    /// The service.
    pub service: Name,
    /// The method.
    pub method: String,
    /// The path below the service; the request's number is added.
    pub path: String,
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            weight: 1,
            ask: Ask::Chat(Chat::default()),
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
    /// Half streamed and half whole answers of one model.
    pub fn halves(chat: &Chat) -> Self {
        let kind =
            |stream| Kind { ask: Ask::Chat(Chat { stream, ..chat.clone() }), ..Kind::default() };
        Self { kinds: vec![kind(true), kind(false)] }
    }

    /// Reads a mix out of JSON.
    ///
    /// # Errors
    ///
    /// Returns a finding for JSON of another shape, or for a kind that can't be sent.
    pub fn read(text: &str) -> Result<Self, Findings> {
        let mix: Self =
            serde_json::from_str(text).map_err(|err| Findings::one("mix", err.to_string()))?;
        let mut findings = Findings::new();
        if mix.kinds.iter().map(|kind| u64::from(kind.weight)).sum::<u64>() == 0 {
            findings.add("kinds", "expected at least one with a weight");
        }
        for (i, kind) in mix.kinds.iter().enumerate() {
            if let Ask::Plain(plain) = &kind.ask
                && plain.method.parse::<Method>().is_err()
            {
                findings.add(format!("kinds[{i}].method"), "unknown method");
            }
        }
        findings.into_result(mix)
    }

    /// Returns the request of a number; the same number gives the same request. `run` tells runs
    /// apart, so that keys of an earlier one are not met again.
    pub fn request(&self, run: u64, number: u64) -> Request {
        let kind = self.kind(scatter(number));
        let content = match &kind.ask {
            Ask::Chat(chat) => chat.content(number),
            Ask::Plain(plain) => plain.content(number),
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

    fn kind(&self, draw: u64) -> &Kind {
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
        let prefix = scatter(number ^ 0x5eed) % self.prefixes.max(1);
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

/// Mixes the bits of a number, so that neighbours draw different kinds.
fn scatter(number: u64) -> u64 {
    let mut x = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 31)
}
