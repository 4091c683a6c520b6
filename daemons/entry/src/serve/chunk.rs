//! The JSON of answers: builds chunks and complete answers, and reads endpoints' chunks.

use ntex::util::Bytes;
use serde_json::{Value, json};
use sill_flight::Transcript;
use sill_wire::handoff::AnswerPart;

/// The event that ends a stream in the OpenAI API.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// Content of a chunk that carries no token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClosingChunk {
    /// The finish reason.
    Finish(String),
    /// Token counts.
    Usage {
        /// Tokens of the prompt.
        prompt: u32,
        /// Tokens of the answer.
        completion: u32,
    },
    /// The endpoint reported an error in the middle of its answer.
    Error,
    /// Anything else, such as the role chunk; ignored.
    Other,
}

/// Parses the data of a chunk that carries no token.
pub fn parse_closing(data: &str) -> ClosingChunk {
    let Ok(data) = serde_json::from_str::<Value>(data) else {
        return ClosingChunk::Other;
    };
    if data.get("error").is_some() {
        return ClosingChunk::Error;
    }
    if let Some(finish) = data.pointer("/choices/0/finish_reason").and_then(Value::as_str) {
        return ClosingChunk::Finish(finish.to_owned());
    }
    let count = |name: &str| data.pointer(name).and_then(Value::as_u64).map(|n| n as u32);
    match (count("/usage/prompt_tokens"), count("/usage/completion_tokens")) {
        (Some(prompt), Some(completion)) => ClosingChunk::Usage { prompt, completion },
        _ => ClosingChunk::Other,
    }
}

/// Parses the data of a chunk with a token, when the fast path over its bytes does not apply.
pub fn parse(data: &str) -> Option<Value> {
    serde_json::from_str(data).ok()
}

/// Returns the text of a parsed chunk, escaped as in JSON but without the quotes.
pub fn escaped_text(data: &Value) -> String {
    let chat = data.pointer("/choices/0/delta/content").and_then(Value::as_str);
    let text = chat.or_else(|| data.pointer("/choices/0/text").and_then(Value::as_str));
    let quoted = Value::from(text.unwrap_or_default()).to_string();
    quoted[1..quoted.len() - 1].to_owned()
}

/// Stores the completion id and time that the caller sees, from the first chunk that has them.
pub fn set_head(transcript: &mut Transcript, data: &Value) {
    if transcript.id.is_none() {
        transcript.id = data.get("id").and_then(Value::as_str).map(str::to_owned);
        transcript.created = data.get("created").and_then(Value::as_u64).unwrap_or_default();
    }
}

/// Gives a later attempt's chunk the id and time of the first attempt, so that the caller sees one
/// answer.
pub fn rewrite_chunk(transcript: &Transcript, index: u32, mut data: Value) -> Bytes {
    data["id"] = json!(transcript.id);
    data["created"] = json!(transcript.created);
    format!("id: {index}\ndata: {data}\n\n").into()
}

/// The API format of an answer, which depends on the path that was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFormat {
    /// Chat completions.
    Chat,
    /// Text completions.
    Completion,
}

/// Fields that are the same in every chunk of an answer.
#[derive(Debug, Clone, Copy)]
pub struct ChunkTemplate<'a> {
    /// Chat or text completion.
    pub format: AnswerFormat,
    /// The model's name as the caller sent it.
    pub model: &'a str,
    /// The completion's id that the caller sees.
    pub id: &'a str,
    /// Creation time of the completion, in Unix seconds.
    pub created: u64,
}

impl AnswerFormat {
    /// Returns the format of the answers of a path.
    pub fn of(path: &str) -> Self {
        if path.ends_with("/chat/completions") { Self::Chat } else { Self::Completion }
    }
}

impl ChunkTemplate<'_> {
    /// Builds the event of a token from its text, escaped as in JSON but without the quotes.
    pub fn token_event(&self, index: u32, escaped: &str) -> Bytes {
        let Self { model, id, created, .. } = self;
        let (text, object) = match self.format {
            AnswerFormat::Chat => ("\"delta\":{\"content\":\"", "chat.completion.chunk"),
            AnswerFormat::Completion => ("\"text\":\"", "text_completion"),
        };
        let close = if self.format == AnswerFormat::Chat { "\"}" } else { "\"" };
        format!(
            "id: {index}\ndata: {{\"choices\":[{{{text}{escaped}{close},\"finish_reason\":null,\
             \"index\":0}}],\"created\":{created},\"id\":{},\"model\":{},\"object\":\"{object}\"}}\n\n",
            Value::from(*id),
            Value::from(*model),
        )
        .into()
    }

    /// Builds the events that close a stream: finish reason, usage if asked for, and `[DONE]`.
    pub fn closing_events(&self, part: &AnswerPart, tokens: u32, include_usage: bool) -> Bytes {
        let finish = part.finish.as_deref().unwrap_or("stop");
        let mut chunk = self.base_object();
        chunk["choices"] = match self.format {
            AnswerFormat::Chat => json!([{ "index": 0, "delta": {}, "finish_reason": finish }]),
            AnswerFormat::Completion => {
                json!([{ "index": 0, "text": "", "finish_reason": finish }])
            }
        };
        let mut out = format!("data: {chunk}\n\n");
        if include_usage {
            chunk["choices"] = json!([]);
            chunk["usage"] = usage(part.prompt_tokens, tokens);
            out.push_str(&format!("data: {chunk}\n\n"));
        }
        out.push_str("data: [DONE]\n\n");
        out.into()
    }

    fn base_object(&self) -> Value {
        let object = match self.format {
            AnswerFormat::Chat => "chat.completion.chunk",
            AnswerFormat::Completion => "text_completion",
        };
        json!({ "id": self.id, "object": object, "created": self.created, "model": self.model })
    }

    /// Builds the answer to a request that did not ask for a stream.
    pub fn full_answer(&self, part: &AnswerPart, text: &str, tokens: u32) -> Value {
        let finish = part.finish.as_deref().unwrap_or("stop");
        let mut answer = self.base_object();
        match self.format {
            AnswerFormat::Chat => {
                answer["object"] = json!("chat.completion");
                let message = json!({ "role": "assistant", "content": text });
                answer["choices"] =
                    json!([{ "index": 0, "message": message, "finish_reason": finish }]);
            }
            AnswerFormat::Completion => {
                answer["choices"] = json!([{ "index": 0, "text": text, "finish_reason": finish }]);
            }
        }
        answer["usage"] = usage(part.prompt_tokens, tokens);
        answer
    }
}

fn usage(prompt: Option<u32>, completion: u32) -> Value {
    let prompt = prompt.unwrap_or_default();
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": completion,
        "total_tokens": prompt + completion,
    })
}
