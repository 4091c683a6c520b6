//! Parses an endpoint's stream and forwards its tokens.

use ntex::util::Bytes;
use serde_json::Value;
use sill_base::Name;
use sill_flight::Event;
use sill_flight::flight::Epoch;
use sill_flight::sse;

use super::chunk::{self, AnswerFormat, ChunkTemplate, ClosingChunk};
use super::driver::{Driver, ResponseMode};

impl Driver {
    /// Processes a part of an attempt's stream.
    pub(super) fn on_part(&mut self, epoch: Epoch, part: &Bytes) {
        let mut splitter = std::mem::take(&mut self.splitter);
        let pushed = splitter.push(part, |event| self.on_stream_event(epoch, event));
        self.splitter = splitter;
        if pushed.is_err() {
            self.events.push_back(Event::StreamCut { epoch });
        }
        self.job.run.notify_followers();
    }

    fn on_stream_event(&mut self, epoch: Epoch, event: &[u8]) {
        match sse::event_kind(event) {
            sse::EventKind::Token { index, escaped } => {
                if self.accept_token(epoch, index) {
                    self.forward_token(epoch, index, escaped, event);
                }
            }
            sse::EventKind::Done => {
                let tokens = self.closing.completion_tokens;
                self.events.push_back(Event::Done { epoch, tokens });
            }
            sse::EventKind::Other => self.on_closing_chunk(epoch, event),
        }
    }

    /// Forwards a token's event unchanged where possible: only chunks of later attempts are
    /// rewritten, and only those, the first chunk and chunks of an unusual form are parsed.
    fn forward_token(&mut self, epoch: Epoch, index: u32, escaped: Option<&str>, event: &[u8]) {
        let is_raw = self.head_epoch == Some(epoch);
        let parsed = (!is_raw || escaped.is_none())
            .then(|| sse::event_data(event).and_then(chunk::parse))
            .flatten()
            .unwrap_or_default();
        let is_streamed =
            matches!(self.job.mode, ResponseMode::Stream { .. }) && self.job.sender.is_some();
        let rewritten = self.job.run.with_transcript(|transcript| {
            match escaped {
                Some(escaped) => transcript.push(index, escaped),
                None => transcript.push(index, &chunk::escaped_text(&parsed)),
            }
            if transcript.id.is_none() {
                chunk::set_head(transcript, &parsed);
                self.head_epoch = Some(epoch);
            }
            (is_streamed && self.head_epoch != Some(epoch))
                .then(|| chunk::rewrite_chunk(transcript, index, parsed))
        });
        match rewritten {
            Some(rewritten) => self.send_buffer.extend_from_slice(&rewritten),
            None if is_streamed => self.send_buffer.extend_from_slice(event),
            None => {}
        }
    }

    fn on_closing_chunk(&mut self, epoch: Epoch, event: &[u8]) {
        let Some(data) = sse::event_data(event) else {
            return;
        };
        match chunk::parse_closing(data) {
            ClosingChunk::Finish(finish) => self.closing.finish_reason = Some(finish),
            ClosingChunk::Usage { prompt, completion } => {
                self.closing.prompt_tokens = Some(prompt);
                self.closing.completion_tokens = Some(completion);
            }
            ClosingChunk::Error => self.events.push_back(Event::StreamCut { epoch }),
            ClosingChunk::Other => {}
        }
    }

    /// Marks the answer as complete and closes the caller's stream.
    pub(super) fn close_answer(&mut self) {
        let closing = std::mem::take(&mut self.closing);
        let run = self.job.run.clone();
        run.with_transcript(|transcript| {
            transcript.finish_reason = closing.finish_reason;
            transcript.prompt_tokens = closing.prompt_tokens;
            transcript.is_complete = true;
        });
        let ResponseMode::Stream { include_usage } = self.job.mode else {
            return;
        };
        let part = run.full_part();
        let id = part.id.clone().unwrap_or_else(|| completion_id(run.request()));
        let template = ChunkTemplate {
            format: AnswerFormat::of(&run.path),
            model: &run.target,
            id: &id,
            created: part.created,
        };
        let tokens = part.escaped.len() as u32;
        self.send_buffer.extend_from_slice(&template.closing_events(&part, tokens, include_usage));
    }

    /// Returns the answer for a caller that did not ask for a stream.
    pub(super) fn full_answer(&self) -> Value {
        let run = &self.job.run;
        let part = run.full_part();
        let id = part.id.clone().unwrap_or_else(|| completion_id(run.request()));
        let template = ChunkTemplate {
            format: AnswerFormat::of(&run.path),
            model: &run.target,
            id: &id,
            created: part.created,
        };
        let text = run.with_transcript(|transcript| transcript.text());
        template.full_answer(&part, &text, part.escaped.len() as u32)
    }
}

/// Returns the completion id for an answer whose endpoint sent none.
pub fn completion_id(request: &Name) -> String {
    format!("chatcmpl-{request}")
}
