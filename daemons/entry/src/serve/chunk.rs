//! The JSON of answers: streamed pieces, whole answers, and what endpoints' pieces say.

use ntex::util::Bytes;
use serde_json::{Value, json};
use sill_flight::Transcript;
use sill_wire::handoff::AnswerPart;

/// The closing event of a stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// What the closing pieces of an endpoint's stream say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClosingChunk {
    /// Why the answer ended.
    Finish(String),
    /// Token counts.
    Usage {
        /// Tokens of the prompt.
        prompt: u32,
        /// Tokens of the answer.
        completion: u32,
    },
    /// The endpoint failed in the middle of its answer.
    Error,
    /// Nothing that has to be known.
    Other,
}

/// Reads a piece that carries no token.
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

/// Reads id, time and text of a piece with a token, by a parser.
pub fn parse(data: &str) -> Option<Value> {
    serde_json::from_str(data).ok()
}

/// Returns the text of a parsed piece as in JSON between the quotes.
pub fn escaped_text(data: &Value) -> String {
    let chat = data.pointer("/choices/0/delta/content").and_then(Value::as_str);
    let text = chat.or_else(|| data.pointer("/choices/0/text").and_then(Value::as_str));
    let quoted = Value::from(text.unwrap_or_default()).to_string();
    quoted[1..quoted.len() - 1].to_owned()
}

/// Notes the id and time that the caller sees.
pub fn set_head(transcript: &mut Transcript, data: &Value) {
    if transcript.id.is_none() {
        transcript.id = data.get("id").and_then(Value::as_str).map(str::to_owned);
        transcript.created = data.get("created").and_then(Value::as_u64).unwrap_or_default();
    }
}

/// Makes a later attempt's piece look like the first attempt's, so that the caller sees one answer.
pub fn rewrite_chunk(transcript: &Transcript, index: u32, mut data: Value) -> Bytes {
    data["id"] = json!(transcript.id);
    data["created"] = json!(transcript.created);
    format!("id: {index}\ndata: {data}\n\n").into()
}

/// How answers of one path look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFormat {
    /// Chat completions.
    Chat,
    /// Plain completions.
    Completion,
}

/// What every piece of an answer repeats.
#[derive(Debug, Clone, Copy)]
pub struct ChunkTemplate<'a> {
    /// How it looks.
    pub format: AnswerFormat,
    /// The model.
    pub model: &'a str,
    /// The completion's id.
    pub id: &'a str,
    /// The completion's time.
    pub created: u64,
}

impl AnswerFormat {
    /// Returns the shape of a path's answers.
    pub fn of(path: &str) -> Self {
        if path.ends_with("/chat/completions") { Self::Chat } else { Self::Completion }
    }
}

impl ChunkTemplate<'_> {
    /// Makes the event of a token from its text as in JSON between the quotes.
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

    /// Makes the closing events of a stream.
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

    /// Makes a whole answer.
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
