//! Checks answers against the pure function that stand-ins answer with.

use serde_json::Value;
use sill_standin::answer::Answer;
use sill_wire::chat::ChatSummary;

/// Returns the text of a streamed answer, or none where it is not whole.
pub fn streamed_text(body: &[u8]) -> Option<String> {
    let body = std::str::from_utf8(body).ok()?;
    let mut text = String::new();
    let mut ended = false;
    for data in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).ok()?;
        let content = chunk.pointer("/choices/0/delta/content").and_then(Value::as_str);
        text.push_str(content.unwrap_or_default());
    }
    ended.then_some(text)
}

/// Returns the text of a whole answer.
pub fn whole_text(body: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(body).ok()?;
    body.pointer("/choices/0/message/content")?.as_str().map(str::to_owned)
}

/// Returns whether an answer's body is the whole answer to a request.
pub fn is_whole(request: &Value, body: &[u8]) -> bool {
    let Ok(summary) = ChatSummary::read(request) else {
        return false;
    };
    let text = if summary.stream { streamed_text(body) } else { whole_text(body) };
    text.is_some_and(|text| text == Answer::to(&summary).text())
}
