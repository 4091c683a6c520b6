//! Takes an endpoint's stream apart and passes it on.

use ntex::util::Bytes;
use serde_json::Value;
use sill_base::Name;
use sill_flight::Event;
use sill_flight::flight::Epoch;
use sill_flight::sse;

use super::chunk::{self, Closing, Frame, Shape};
use super::driver::{Driver, Form};

impl Driver {
    /// Takes in a part of the stream of an attempt.
    pub(super) fn part(&mut self, epoch: Epoch, part: &Bytes) {
        let mut splitter = std::mem::take(&mut self.splitter);
        let pushed = splitter.push(part, |event| self.event(epoch, event));
        self.splitter = splitter;
        if pushed.is_err() {
            self.events.push_back(Event::StreamCut { epoch });
        }
        self.order.run.wake();
    }

    fn event(&mut self, epoch: Epoch, event: &[u8]) {
        match sse::event_kind(event) {
            sse::EventKind::Token { index, escaped } => {
                if self.takes_token(epoch, index) {
                    self.forward(epoch, index, escaped, event);
                }
            }
            sse::EventKind::Done => {
                let tokens = self.closing.completion;
                self.events.push_back(Event::Done { epoch, tokens });
            }
            sse::EventKind::Other => self.closing_piece(epoch, event),
        }
    }

    /// Passes a token on as it came; only later attempts are rewritten, and only the first piece
    /// and pieces of an unusual shape are parsed.
    fn forward(&mut self, epoch: Epoch, index: u32, escaped: Option<&str>, event: &[u8]) {
        let raw = self.head_of == Some(epoch);
        let parsed = (!raw || escaped.is_none())
            .then(|| sse::event_data(event).and_then(chunk::parse))
            .flatten()
            .unwrap_or_default();
        let streams = matches!(self.order.form, Form::Streamed { .. }) && self.order.sink.is_some();
        let rewritten = self.order.run.with_transcript(|transcript| {
            match escaped {
                Some(escaped) => transcript.push(index, escaped),
                None => transcript.push(index, &chunk::escaped(&parsed)),
            }
            if transcript.id.is_none() {
                chunk::note_head(transcript, &parsed);
                self.head_of = Some(epoch);
            }
            (streams && self.head_of != Some(epoch))
                .then(|| chunk::rewritten(transcript, index, parsed))
        });
        match rewritten {
            Some(rewritten) => self.waiting.extend_from_slice(&rewritten),
            None if streams => self.waiting.extend_from_slice(event),
            None => {}
        }
    }

    fn closing_piece(&mut self, epoch: Epoch, event: &[u8]) {
        let Some(data) = sse::event_data(event) else {
            return;
        };
        match chunk::closing(data) {
            Closing::Finish(finish) => self.closing.finish = Some(finish),
            Closing::Usage { prompt, completion } => {
                self.closing.prompt = Some(prompt);
                self.closing.completion = Some(completion);
            }
            Closing::Error => self.events.push_back(Event::StreamCut { epoch }),
            Closing::Other => {}
        }
    }

    /// Notes the end of the answer, and closes the caller's stream.
    pub(super) fn close_answer(&mut self) {
        let closing = std::mem::take(&mut self.closing);
        let run = self.order.run.clone();
        run.with_transcript(|transcript| {
            transcript.finish_reason = closing.finish;
            transcript.prompt_tokens = closing.prompt;
            transcript.is_complete = true;
        });
        let Form::Streamed { include_usage } = self.order.form else {
            return;
        };
        let part = run.whole_part();
        let id = part.id.clone().unwrap_or_else(|| completion_id(run.request()));
        let frame = Frame {
            shape: Shape::of(&run.path),
            model: &run.target,
            id: &id,
            created: part.created,
        };
        let tokens = part.escaped.len() as u32;
        self.waiting.extend_from_slice(&frame.closing(&part, tokens, include_usage));
    }

    /// Returns the whole answer in one piece.
    pub(super) fn whole_answer(&self) -> Value {
        let run = &self.order.run;
        let part = run.whole_part();
        let id = part.id.clone().unwrap_or_else(|| completion_id(run.request()));
        let frame = Frame {
            shape: Shape::of(&run.path),
            model: &run.target,
            id: &id,
            created: part.created,
        };
        let text = run.with_transcript(|transcript| transcript.text());
        frame.whole(&part, &text, part.escaped.len() as u32)
    }
}

/// Returns the id of an answer whose endpoint gave none.
pub fn completion_id(request: &Name) -> String {
    format!("chatcmpl-{request}")
}
