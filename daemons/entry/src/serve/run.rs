//! Requests that run or ran here, for those who come back for their answers.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;
use sill_base::{Map, Millis, Name};
use sill_flight::lifecycle::{NotRunRefusal, RequestFailure};
use sill_flight::{RequestSpec, Transcript};
use sill_wire::claim::{BodyHash, ClaimKey};
use sill_wire::handoff::{AnswerPart, FailedRun, FollowReply, HttpReply};
use tokio::sync::Notify;

/// How long an answer is kept for a caller that comes back.
const RETENTION: Millis = Millis(120_000);

/// Answers kept at most; the oldest go first.
const MAX_KEPT: usize = 10_000;

/// Bytes of all kept answers.
const MAX_KEPT_BYTES: usize = 64 << 20;

/// One request as all threads may see it.
#[derive(Debug)]
pub struct Run {
    /// What was asked for.
    pub spec: RequestSpec,
    /// The name by which its caller can come back for it.
    pub key: ClaimKey,
    /// The content.
    pub body_hash: BodyHash,
    /// The path that was called.
    pub path: String,
    /// The model or plain service.
    pub target: Name,
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    transcript: Transcript,
    end: Option<RunEnd>,
    followers: u32,
}

/// How a request ended.
#[derive(Debug, Clone)]
pub enum RunEnd {
    /// The model's answer is whole.
    Whole,
    /// A whole HTTP answer came from the endpoint.
    Reply(HttpReply),
    /// It was given up.
    Failed(RequestFailure),
    /// It was refused, certified as not run.
    NotRun(NotRunRefusal),
    /// A peer runs it now.
    Moved(Name),
    /// Nobody waits for it.
    Abandoned,
}

impl Run {
    /// Begins one.
    pub fn new(
        spec: RequestSpec,
        key: ClaimKey,
        body_hash: BodyHash,
        path: String,
        target: Name,
        transcript: Transcript,
    ) -> Self {
        let state = Mutex::new(State { transcript, ..State::default() });
        Self { spec, key, body_hash, path, target, state, changed: Notify::new() }
    }

    /// Returns the request's name.
    pub fn request(&self) -> &Name {
        &self.spec.request
    }

    /// Works on what was sent so far.
    pub fn with_transcript<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut Transcript) -> T,
    {
        work(&mut self.state.lock().transcript)
    }

    /// Wakes those who follow it.
    pub fn wake(&self) {
        if self.state.lock().followers > 0 {
            self.changed.notify_waiters();
        }
    }

    /// Notes how it ended; the first end stands.
    pub fn end(&self, end: RunEnd) {
        self.state.lock().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Returns how it ended.
    pub fn ended(&self) -> Option<RunEnd> {
        self.state.lock().end.clone()
    }

    /// Returns what came since a token, and waits for more where nothing came.
    pub async fn follow(&self, from: u32, wait: Millis) -> FollowReply {
        self.state.lock().followers += 1;
        let changed = self.changed.notified();
        let mut changed = std::pin::pin!(changed);
        changed.as_mut().enable();
        if self.is_news(from) {
            self.state.lock().followers -= 1;
            return self.since(from);
        }
        let _ = tokio::time::timeout(wait.into(), changed).await;
        self.state.lock().followers -= 1;
        self.since(from)
    }

    fn is_news(&self, from: u32) -> bool {
        let state = self.state.lock();
        state.end.is_some() || state.transcript.next_index() > from
    }

    /// Returns what came since a token.
    pub fn since(&self, from: u32) -> FollowReply {
        let state = self.state.lock();
        match &state.end {
            Some(RunEnd::Reply(reply)) => FollowReply::Reply(reply.clone()),
            Some(RunEnd::Failed(failed)) => FollowReply::Failed(FailedRun {
                code: failed.code,
                message: failed.message.clone(),
                retry_after: failed.retry_after,
            }),
            Some(RunEnd::Moved(address)) => FollowReply::Moved { address: address.clone() },
            Some(RunEnd::NotRun(_) | RunEnd::Abandoned) => FollowReply::Unknown,
            Some(RunEnd::Whole) | None => FollowReply::More(part(&state.transcript, from)),
        }
    }

    /// Returns all tokens so far.
    pub fn whole_part(&self) -> AnswerPart {
        part(&self.state.lock().transcript, 0)
    }

    fn size(&self) -> usize {
        let state = self.state.lock();
        let reply = match &state.end {
            Some(RunEnd::Reply(reply)) => reply.body.as_bytes().len(),
            _ => 0,
        };
        state.transcript.size_bytes() + reply
    }
}

fn part(transcript: &Transcript, from: u32) -> AnswerPart {
    let escaped = (from..transcript.next_index()).map(|i| transcript.escaped_token(i).to_owned());
    AnswerPart {
        id: transcript.id.clone(),
        created: transcript.created,
        escaped: escaped.collect(),
        finish: transcript.finish_reason.clone(),
        prompt_tokens: transcript.prompt_tokens,
        whole: transcript.is_complete,
    }
}

/// All keyed requests that run or ran here.
#[derive(Debug, Default)]
pub struct Runs(Mutex<Kept>);

#[derive(Debug, Default)]
struct Kept {
    runs: Map<ClaimKey, Arc<Run>>,
    ended: VecDeque<Ended>,
    bytes: usize,
}

#[derive(Debug)]
struct Ended {
    at: Millis,
    bytes: usize,
    run: Arc<Run>,
}

impl Runs {
    /// Returns the request with a key.
    pub fn get(&self, key: &ClaimKey) -> Option<Arc<Run>> {
        self.0.lock().runs.get(key).cloned()
    }

    /// Adds a request, unless one with the same key is there; returns that one then.
    pub fn open(&self, run: &Arc<Run>) -> Option<Arc<Run>> {
        let mut kept = self.0.lock();
        if let Some(there) = kept.runs.get(&run.key) {
            return Some(there.clone());
        }
        kept.runs.insert(run.key.clone(), run.clone());
        None
    }

    /// Keeps a request's answer for a while, or drops it at once where there is none to come for.
    pub fn close(&self, now: Millis, run: &Arc<Run>) {
        let answered = matches!(run.ended(), Some(RunEnd::Whole | RunEnd::Reply(_)));
        let bytes = run.size();
        let mut kept = self.0.lock();
        if answered {
            kept.bytes += bytes;
            kept.ended.push_back(Ended { at: now, bytes, run: run.clone() });
        } else {
            kept.remove(run);
        }
        kept.forget_old(now);
    }
}

impl Kept {
    fn remove(&mut self, run: &Arc<Run>) {
        if self.runs.get(&run.key).is_some_and(|there| Arc::ptr_eq(there, run)) {
            self.runs.remove(&run.key);
        }
    }

    fn forget_old(&mut self, now: Millis) {
        while let Some(oldest) = self.ended.front() {
            let full = self.ended.len() > MAX_KEPT || self.bytes > MAX_KEPT_BYTES;
            if !full && oldest.at + RETENTION > now {
                return;
            }
            if let Some(oldest) = self.ended.pop_front() {
                self.bytes -= oldest.bytes;
                self.remove(&oldest.run);
            }
        }
    }
}
