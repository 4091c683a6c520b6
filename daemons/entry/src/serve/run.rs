//! Runs: requests that run or ran at this instance, and their answers for callers that re-attach.

use std::collections::VecDeque;
use std::sync::Arc;

use parking_lot::Mutex;
use sill_base::{Map, Millis, Name};
use sill_flight::lifecycle::{NotRunRefusal, RequestFailure};
use sill_flight::{RequestSpec, Transcript};
use sill_wire::claim::{BodyHash, ClaimKey};
use sill_wire::handoff::{AnswerPart, FailedRun, FollowReply, HttpReply};
use tokio::sync::Notify;

/// How long a complete answer is retained for a caller that re-attaches.
const RETENTION: Millis = Millis(120_000);

/// Maximum number of retained answers; the oldest are evicted first.
const MAX_RETAINED: usize = 10_000;

/// Maximum size of all retained answers in bytes; the oldest are evicted first.
const MAX_RETAINED_BYTES: usize = 64 << 20;

/// State of one request that all threads share.
#[derive(Debug)]
pub struct Run {
    /// The request's parameters for the state machine.
    pub spec: RequestSpec,
    /// The key by which the caller can re-attach to it.
    pub key: ClaimKey,
    /// Hash of method, path and body, to detect a key reused with another request.
    pub body_hash: BodyHash,
    /// The path at the endpoint; it determines the format of the answer.
    pub path: String,
    /// Name of the model or plain service.
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
    /// The model's answer is complete.
    Complete,
    /// The endpoint sent a complete HTTP answer, successful or not.
    Reply(HttpReply),
    /// It failed and is not certified as not run.
    Failed(RequestFailure),
    /// It was refused, certified as not run.
    NotRun(NotRunRefusal),
    /// The peer at this address runs it.
    Moved(Name),
    /// It ended without an answer: no caller waits for it, it was refused before it started, or its
    /// driver panicked.
    Abandoned,
}

impl Run {
    /// Creates a run that has not ended; `transcript` holds the tokens of an earlier owner.
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

    /// Calls `work` with the tokens received so far, under the run's lock.
    pub fn with_transcript<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut Transcript) -> T,
    {
        work(&mut self.state.lock().transcript)
    }

    /// Wakes the followers to read new tokens.
    pub fn notify_followers(&self) {
        if self.state.lock().followers > 0 {
            self.changed.notify_waiters();
        }
    }

    /// Sets the end and wakes the followers; has no effect on a run that has ended already.
    pub fn set_end(&self, end: RunEnd) {
        self.state.lock().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Returns the end, or `None` while the request runs.
    pub fn end(&self) -> Option<RunEnd> {
        self.state.lock().end.clone()
    }

    /// Returns the tokens from index `from` or the end; waits up to `wait` if there is neither.
    pub async fn follow(&self, from: u32, wait: Millis) -> FollowReply {
        self.state.lock().followers += 1;
        let changed = self.changed.notified();
        let mut changed = std::pin::pin!(changed);
        changed.as_mut().enable();
        if self.has_update(from) {
            self.state.lock().followers -= 1;
            return self.reply_from(from);
        }
        let _ = tokio::time::timeout(wait.into(), changed).await;
        self.state.lock().followers -= 1;
        self.reply_from(from)
    }

    fn has_update(&self, from: u32) -> bool {
        let state = self.state.lock();
        state.end.is_some() || state.transcript.next_index() > from
    }

    /// Returns the tokens from index `from` or the end, without waiting.
    pub fn reply_from(&self, from: u32) -> FollowReply {
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
            Some(RunEnd::Complete) | None => {
                FollowReply::More(answer_part(&state.transcript, from))
            }
        }
    }

    /// Returns all tokens received so far.
    pub fn full_part(&self) -> AnswerPart {
        answer_part(&self.state.lock().transcript, 0)
    }

    fn size_bytes(&self) -> usize {
        let state = self.state.lock();
        let reply = match &state.end {
            Some(RunEnd::Reply(reply)) => reply.body.as_bytes().len(),
            _ => 0,
        };
        state.transcript.size_bytes() + reply
    }
}

fn answer_part(transcript: &Transcript, from: u32) -> AnswerPart {
    let escaped = (from..transcript.next_index()).map(|i| transcript.escaped_token(i).to_owned());
    AnswerPart {
        id: transcript.id.clone(),
        created: transcript.created,
        escaped: escaped.collect(),
        finish: transcript.finish_reason.clone(),
        prompt_tokens: transcript.prompt_tokens,
        whole: transcript.is_complete,
        software: transcript.software.clone(),
    }
}

/// Table of the runs at this instance by key.
#[derive(Debug, Default)]
pub struct Runs(Mutex<RunTable>);

#[derive(Debug, Default)]
struct RunTable {
    runs: Map<ClaimKey, Arc<Run>>,
    retained: VecDeque<RetainedRun>,
    retained_bytes: usize,
}

#[derive(Debug)]
struct RetainedRun {
    ended_at: Millis,
    bytes: usize,
    run: Arc<Run>,
}

impl Runs {
    /// Returns the run of a key.
    pub fn get(&self, key: &ClaimKey) -> Option<Arc<Run>> {
        self.0.lock().runs.get(key).cloned()
    }

    /// Adds a run, unless there is one with the same key, which is returned.
    pub fn open(&self, run: &Arc<Run>) -> Option<Arc<Run>> {
        let mut table = self.0.lock();
        if let Some(existing) = table.runs.get(&run.key) {
            return Some(existing.clone());
        }
        table.runs.insert(run.key.clone(), run.clone());
        None
    }

    /// Retains the answer of a run that has ended, or removes the run at once if it has no answer.
    pub fn close(&self, now: Millis, run: &Arc<Run>) {
        let is_answered = matches!(run.end(), Some(RunEnd::Complete | RunEnd::Reply(_)));
        let bytes = run.size_bytes();
        let mut table = self.0.lock();
        if is_answered {
            table.retained_bytes += bytes;
            table.retained.push_back(RetainedRun { ended_at: now, bytes, run: run.clone() });
        } else {
            table.remove(run);
        }
        table.evict(now);
    }
}

impl RunTable {
    fn remove(&mut self, run: &Arc<Run>) {
        if self.runs.get(&run.key).is_some_and(|existing| Arc::ptr_eq(existing, run)) {
            self.runs.remove(&run.key);
        }
    }

    fn evict(&mut self, now: Millis) {
        while let Some(oldest) = self.retained.front() {
            let is_full =
                self.retained.len() > MAX_RETAINED || self.retained_bytes > MAX_RETAINED_BYTES;
            if !is_full && oldest.ended_at + RETENTION > now {
                return;
            }
            if let Some(oldest) = self.retained.pop_front() {
                self.retained_bytes -= oldest.bytes;
                self.remove(&oldest.run);
            }
        }
    }
}
