//! The JSON of answers: streamed pieces, whole answers, and what endpoints' pieces say.

use ntex::util::Bytes;
use serde_json::{Value, json};
use sill_flight::Transcript;
use sill_wire::handoff::AnswerPart;

/// The closing event of a stream.
pub const DONE: &[u8] = b"data: [DONE]\n\n";

/// What the closing pieces of an endpoint's stream say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Closing {
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
pub fn closing(data: &str) -> Closing {
    let Ok(data) = serde_json::from_str::<Value>(data) else {
        return Closing::Other;
    };
    if data.get("error").is_some() {
        return Closing::Error;
    }
    if let Some(finish) = data.pointer("/choices/0/finish_reason").and_then(Value::as_str) {
        return Closing::Finish(finish.to_owned());
    }
    let count = |name: &str| data.pointer(name).and_then(Value::as_u64).map(|n| n as u32);
    match (count("/usage/prompt_tokens"), count("/usage/completion_tokens")) {
        (Some(prompt), Some(completion)) => Closing::Usage { prompt, completion },
        _ => Closing::Other,
    }
}

/// Reads id, time and text of a piece with a token, by a parser.
pub fn parse(data: &str) -> Option<Value> {
    serde_json::from_str(data).ok()
}

/// Returns the text of a parsed piece as in JSON between the quotes.
pub fn escaped(data: &Value) -> String {
    let chat = data.pointer("/choices/0/delta/content").and_then(Value::as_str);
    let text = chat.or_else(|| data.pointer("/choices/0/text").and_then(Value::as_str));
    let quoted = Value::from(text.unwrap_or_default()).to_string();
    quoted[1..quoted.len() - 1].to_owned()
}

/// Notes the id and time that the caller sees.
pub fn note_head(transcript: &mut Transcript, data: &Value) {
    if transcript.id.is_none() {
        transcript.id = data.get("id").and_then(Value::as_str).map(str::to_owned);
        transcript.created = data.get("created").and_then(Value::as_u64).unwrap_or_default();
    }
}

/// Makes a later attempt's piece look like the first attempt's, so that the caller sees one answer.
pub fn rewritten(transcript: &Transcript, index: u32, mut data: Value) -> Bytes {
    data["id"] = json!(transcript.id);
    data["created"] = json!(transcript.created);
    format!("id: {index}\ndata: {data}\n\n").into()
}

/// How answers of one path look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Chat completions.
    Chat,
    /// Plain completions.
    Completion,
}

/// What every piece of an answer repeats.
#[derive(Debug, Clone, Copy)]
pub struct Frame<'a> {
    /// How it looks.
    pub shape: Shape,
    /// The model.
    pub model: &'a str,
    /// The completion's id.
    pub id: &'a str,
    /// The completion's time.
    pub created: u64,
}

impl Shape {
    /// Returns the shape of a path's answers.
    pub fn of(path: &str) -> Self {
        if path.ends_with("/chat/completions") { Self::Chat } else { Self::Completion }
    }
}

impl Frame<'_> {
    /// Makes the event of a token from its text as in JSON between the quotes.
    pub fn token(&self, index: u32, escaped: &str) -> Bytes {
        let Self { model, id, created, .. } = self;
        let (text, object) = match self.shape {
            Shape::Chat => ("\"delta\":{\"content\":\"", "chat.completion.chunk"),
            Shape::Completion => ("\"text\":\"", "text_completion"),
        };
        let close = if self.shape == Shape::Chat { "\"}" } else { "\"" };
        format!(
            "id: {index}\ndata: {{\"choices\":[{{{text}{escaped}{close},\"finish_reason\":null,\
             \"index\":0}}],\"created\":{created},\"id\":{},\"model\":{},\"object\":\"{object}\"}}\n\n",
            Value::from(*id),
            Value::from(*model),
        )
        .into()
    }

    /// Makes the closing events of a stream.
    pub fn closing(&self, part: &AnswerPart, tokens: u32, include_usage: bool) -> Bytes {
        let finish = part.finish.as_deref().unwrap_or("stop");
        let mut piece = self.piece();
        piece["choices"] = match self.shape {
            Shape::Chat => json!([{ "index": 0, "delta": {}, "finish_reason": finish }]),
            Shape::Completion => json!([{ "index": 0, "text": "", "finish_reason": finish }]),
        };
        let mut out = format!("data: {piece}\n\n");
        if include_usage {
            piece["choices"] = json!([]);
            piece["usage"] = usage(part.prompt_tokens, tokens);
            out.push_str(&format!("data: {piece}\n\n"));
        }
        out.push_str("data: [DONE]\n\n");
        out.into()
    }

    fn piece(&self) -> Value {
        let object = match self.shape {
            Shape::Chat => "chat.completion.chunk",
            Shape::Completion => "text_completion",
        };
        json!({ "id": self.id, "object": object, "created": self.created, "model": self.model })
    }

    /// Makes a whole answer.
    pub fn whole(&self, part: &AnswerPart, text: &str, tokens: u32) -> Value {
        let finish = part.finish.as_deref().unwrap_or("stop");
        let mut whole = self.piece();
        match self.shape {
            Shape::Chat => {
                whole["object"] = json!("chat.completion");
                let message = json!({ "role": "assistant", "content": text });
                whole["choices"] =
                    json!([{ "index": 0, "message": message, "finish_reason": finish }]);
            }
            Shape::Completion => {
                whole["choices"] = json!([{ "index": 0, "text": text, "finish_reason": finish }]);
            }
        }
        whole["usage"] = usage(part.prompt_tokens, tokens);
        whole
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
