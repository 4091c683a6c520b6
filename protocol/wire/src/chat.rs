//! The parts of the OpenAI request and response formats that the system reads or writes.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sill_base::{Findings, Name};

/// The number of tokens generated when a request sets no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 64;

/// The highest `max_tokens` that a request may set.
pub const MAX_MAX_TOKENS: u32 = 32_768;

/// The fields of a chat or completion request that the system uses; the body itself is forwarded
/// unchanged.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatSummary {
    /// The requested model.
    pub model: Name,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether a streamed answer ends with token counts.
    pub include_usage: bool,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The prompt as one text: each message as a line `ROLE: CONTENT`, in order.
    pub prompt: String,
}

/// Token counts of an answer.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Sum of prompt and generated tokens.
    pub total_tokens: u32,
}

impl ChatSummary {
    /// Reads the summary from a request body.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with the field that it concerns.
    pub fn read(body: &Value) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        let Some(fields) = body.as_object() else {
            return Err(Findings::one("body", "expected a JSON object"));
        };
        let model = match fields.get("model") {
            Some(Value::String(model)) if !model.is_empty() => Name::from(model.as_str()),
            Some(_) => {
                findings.add("model", "expected a non-empty string");
                Name::default()
            }
            None => {
                findings.add("model", "missing");
                Name::default()
            }
        };
        let stream = read_bool(fields.get("stream"), "stream", &mut findings);
        let include_usage = read_bool(
            fields.get("stream_options").and_then(|o| o.get("include_usage")),
            "stream_options.include_usage",
            &mut findings,
        );
        let max_tokens = read_max_tokens(fields, &mut findings);
        let prompt = match (fields.get("messages"), fields.get("prompt")) {
            (Some(messages), _) => read_messages(messages, &mut findings),
            (None, Some(Value::String(prompt))) => prompt.clone(),
            (None, Some(_)) => {
                findings.add("prompt", "expected a string");
                String::new()
            }
            (None, None) => {
                findings.add("messages", "missing, and no `prompt` either");
                String::new()
            }
        };
        findings.into_result(Self { model, stream, include_usage, max_tokens, prompt })
    }
}

fn read_bool(value: Option<&Value>, place: &str, findings: &mut Findings) -> bool {
    match value {
        None | Some(Value::Null) => false,
        Some(Value::Bool(set)) => *set,
        Some(_) => {
            findings.add(place, "expected true or false");
            false
        }
    }
}

fn read_max_tokens(fields: &serde_json::Map<String, Value>, findings: &mut Findings) -> u32 {
    for place in ["max_completion_tokens", "max_tokens"] {
        let Some(value) = fields.get(place).filter(|v| !v.is_null()) else {
            continue;
        };
        match value.as_u64() {
            Some(n) if (1..=u64::from(MAX_MAX_TOKENS)).contains(&n) => return n as u32,
            _ => {
                findings.add(place, format!("expected a whole number from 1 to {MAX_MAX_TOKENS}"));
                return 1;
            }
        }
    }
    DEFAULT_MAX_TOKENS
}

fn read_messages(messages: &Value, findings: &mut Findings) -> String {
    let Some(list) = messages.as_array().filter(|l| !l.is_empty()) else {
        findings.add("messages", "expected a non-empty list");
        return String::new();
    };
    let mut prompt = String::new();
    for (i, message) in list.iter().enumerate() {
        let role = message.get("role").and_then(Value::as_str);
        if role.is_none() {
            findings.add(format!("messages[{i}].role"), "expected a string");
        }
        prompt.push_str(role.unwrap_or_default());
        prompt.push_str(": ");
        match message.get("content") {
            Some(Value::String(text)) => prompt.push_str(text),
            Some(Value::Array(parts)) => read_parts(parts, i, &mut prompt, findings),
            Some(Value::Null) => {}
            _ => findings.add(format!("messages[{i}].content"), "expected a string or a list"),
        }
        prompt.push('\n');
    }
    prompt
}

fn read_parts(parts: &[Value], message: usize, prompt: &mut String, findings: &mut Findings) {
    for (i, part) in parts.iter().enumerate() {
        match part.get("text").and_then(Value::as_str) {
            Some(text) => prompt.push_str(text),
            None => {
                findings.add(format!("messages[{message}].content[{i}].text"), "expected a string")
            }
        }
    }
}
