//! Re-attaches callers: finds the run of a key that exists already and forwards its answer.

use std::sync::Arc;

use ntex::util::Bytes;
use serde_json::Value;
use sill_base::{Millis, Name, event};
use sill_flight::Transcript;
use sill_flight::lifecycle::RequestFailure;
use sill_net::PeerError;
use sill_wire::claim::{ClaimKey, ClaimOutcome, ClaimOwner};
use sill_wire::handoff::{
    AnswerPart, FailedRun, FollowReply, FollowRun, ForgetRun, HttpReply, LocateReply, LocateRun,
    RunLocation,
};
use sill_wire::{Call, ErrorCode};

use super::caller::{ResponseEnd, ResponseItem, ResponseSender};
use super::chunk::{AnswerFormat, ChunkTemplate};
use super::driver::ResponseMode;
use super::run::{Run, RunEnd};
use super::tokens::completion_id;
use crate::daemon::Shared;
use crate::peers::{self, Home};

/// Long-poll timeout of one request for more tokens, here or at a peer.
const FOLLOW_WAIT: Millis = Millis(5_000);

/// How often a run may be handed over while it is followed.
const MAX_HOPS: u32 = 5;

/// Timeout of calls to the home of a key.
const HOME_TIMEOUT: Millis = Millis(400);

/// `Retry-After` of answers that are not available yet or whose outcome is unknown.
const RETRY_AFTER: Millis = Millis(2_000);

/// Where a run with the request's key was found.
#[derive(Debug)]
pub enum LookupResult {
    /// Nowhere, so the request runs here.
    New,
    /// Unknown: the home of the key did not answer, so the request runs here.
    HomeUnreachable,
    /// At this instance.
    Local(Arc<Run>),
    /// At a peer.
    Remote(RunLocation),
    /// The key was used with another body.
    BodyMismatch,
}

/// Looks up a run with the same key: at this instance, then at the key's home.
pub async fn find(app: &Arc<Shared>, run: &Arc<Run>) -> LookupResult {
    if let Some(existing) = app.runs.open(run) {
        let is_same = existing.body_hash == run.body_hash;
        return if is_same { LookupResult::Local(existing) } else { LookupResult::BodyMismatch };
    }
    let asker = RunLocation { address: app.peer_address.clone(), request: run.request().clone() };
    let call = LocateRun {
        key: run.key.clone(),
        body: run.body_hash.clone(),
        asker: asker.clone(),
        is_running: false,
    };
    let location = match peers::home(app, &run.key) {
        Home::Local => Ok(locate(app, &call)),
        Home::Remote(address) => call_home(app, &address, call).await,
    };
    match location {
        Ok(LocateReply::New) => LookupResult::New,
        // The entry refers to this instance: to an earlier incarnation or to a run that has ended.
        Ok(LocateReply::At(at)) if at.address == asker.address => {
            report_run(app, run).await;
            LookupResult::New
        }
        Ok(LocateReply::At(at)) => {
            close_run(app, run, RunEnd::Moved(at.address.clone()));
            LookupResult::Remote(at)
        }
        Ok(LocateReply::BodyMismatch) => {
            close_run(app, run, RunEnd::Failed(key_reused_failure(run)));
            LookupResult::BodyMismatch
        }
        Err(err) => {
            event!(Info, "key_home_lost", request = run.request(), error = err);
            LookupResult::HomeUnreachable
        }
    }
}

async fn call_home<C>(app: &Arc<Shared>, address: &Name, call: C) -> Result<C::Reply, PeerError>
where
    C: Call + Sync,
{
    let called = tokio::time::timeout(HOME_TIMEOUT.into(), peers::call(app, address, call)).await;
    called.unwrap_or_else(|_| Err(PeerError::Unreachable("no answer in time".to_owned())))
}

/// Ends a run that was opened here but runs elsewhere, for callers that attached to it meanwhile.
fn close_run(app: &Shared, run: &Arc<Run>, end: RunEnd) {
    run.set_end(end);
    app.runs.close(app.clock.now(), run);
}

fn key_reused_failure(run: &Run) -> RequestFailure {
    RequestFailure {
        request: run.request().clone(),
        code: ErrorCode::KeyReused,
        message: "the idempotency key was used with another body".to_owned(),
        retry_after: None,
    }
}

/// Looks up or records a run, as the home of its key.
pub fn locate(app: &Shared, call: &LocateRun) -> LocateReply {
    let now = app.clock.now();
    let mut directory = app.directory.lock();
    if call.is_running {
        directory.record_run(now, &call.key, &call.body, call.asker.clone());
        return LocateReply::New;
    }
    directory.locate(now, &call.key, &call.body, call.asker.clone())
}

/// Reports to the home of the key that the request runs here.
pub async fn report_run(app: &Arc<Shared>, run: &Run) {
    let asker = RunLocation { address: app.peer_address.clone(), request: run.request().clone() };
    let (key, body) = (run.key.clone(), run.body_hash.clone());
    let call = LocateRun { key, body, asker, is_running: true };
    match peers::home(app, &run.key) {
        Home::Local => drop(locate(app, &call)),
        Home::Remote(address) => drop(call_home(app, &address, call).await),
    }
}

/// Tells the home of a key that its request has no answer here, so that it can be sent again.
pub async fn forget_run(app: &Arc<Shared>, key: &ClaimKey, request: &Name) {
    let run = RunLocation { address: app.peer_address.clone(), request: request.clone() };
    match peers::home(app, key) {
        Home::Local => app.directory.lock().remove(key, &run),
        Home::Remote(address) => {
            let call = ForgetRun { key: key.clone(), run };
            drop(call_home(app, &address, call).await);
        }
    }
}

/// Where the answer of a run is read from.
#[derive(Debug, Clone)]
pub enum AnswerSource {
    /// A run at this instance.
    Local(Arc<Run>),
    /// A run at a peer, given by the peer's address.
    Remote(Name),
}

/// A caller that receives the answer of an existing run.
pub struct Follower {
    /// The request as this caller sent it.
    pub run: Arc<Run>,
    /// Whether the caller gets a stream or one complete answer.
    pub mode: ResponseMode,
    /// Index of the first token that the caller has not received.
    pub start_index: u32,
    /// The channel to the caller's response.
    pub sender: ResponseSender,
}

/// How following a run ended.
#[derive(Debug)]
pub enum FollowOutcome {
    /// The caller received the end of the answer, or disconnected.
    Done,
    /// The source became unreachable or does not know the run; holds the tokens received so far.
    SourceLost(Transcript),
}

impl AnswerSource {
    async fn fetch(
        &self,
        app: &Arc<Shared>,
        key: &ClaimKey,
        from: u32,
    ) -> Result<FollowReply, PeerError> {
        match self {
            Self::Local(run) => Ok(run.follow(from, FOLLOW_WAIT).await),
            Self::Remote(address) => {
                let call = FollowRun { key: key.clone(), from, wait: FOLLOW_WAIT };
                peers::call(app, address, call).await
            }
        }
    }
}

impl Follower {
    /// Forwards the answer as it arrives, until it ends or its source is lost.
    pub async fn follow(&self, app: &Arc<Shared>, mut source: AnswerSource) -> FollowOutcome {
        let mut transcript = Transcript::default();
        let mut hops = 0;
        while hops < MAX_HOPS {
            let next = transcript.next_index();
            let reply = tokio::select! {
                reply = source.fetch(app, &self.run.key, next) => reply,
                () = self.sender.closed() => return FollowOutcome::Done,
            };
            match reply {
                Ok(FollowReply::More(part)) => {
                    self.forward_part(&mut transcript, &part).await;
                    if part.whole {
                        self.send_end(self.response_end(&transcript)).await;
                        return FollowOutcome::Done;
                    }
                }
                Ok(FollowReply::Reply(reply)) => {
                    self.replay(reply).await;
                    return FollowOutcome::Done;
                }
                Ok(FollowReply::Moved { address }) => {
                    hops += 1;
                    source = AnswerSource::Remote(address);
                }
                Ok(FollowReply::Failed(failed)) => {
                    self.send_end(ResponseEnd::Failed(failed)).await;
                    return FollowOutcome::Done;
                }
                Ok(FollowReply::Unknown) | Err(_) => return FollowOutcome::SourceLost(transcript),
            }
        }
        FollowOutcome::SourceLost(transcript)
    }

    async fn forward_part(&self, transcript: &mut Transcript, part: &AnswerPart) {
        transcript.id = part.id.clone();
        transcript.created = part.created;
        transcript.finish_reason = part.finish.clone();
        transcript.prompt_tokens = part.prompt_tokens;
        transcript.software.clone_from(&part.software);
        let id = part.id.clone().unwrap_or_else(|| completion_id(self.run.request()));
        let template = self.template(&id, part.created);
        let mut out = Vec::new();
        for escaped in &part.escaped {
            let index = transcript.next_index();
            transcript.push(index, escaped);
            if self.mode != ResponseMode::Full && index >= self.start_index {
                out.extend_from_slice(&template.token_event(index, escaped));
            }
        }
        transcript.is_complete = part.whole;
        if let (true, ResponseMode::Stream { include_usage }) = (part.whole, self.mode) {
            out.extend_from_slice(&template.closing_events(
                part,
                transcript.next_index(),
                include_usage,
            ));
        }
        if !out.is_empty() {
            let _ = self.sender.send(ResponseItem::Data(Bytes::from(out))).await;
        }
    }

    fn template<'a>(&'a self, id: &'a str, created: u64) -> ChunkTemplate<'a> {
        ChunkTemplate {
            format: AnswerFormat::of(&self.run.path),
            model: &self.run.target,
            id,
            created,
        }
    }

    fn response_end(&self, transcript: &Transcript) -> ResponseEnd {
        if self.mode != ResponseMode::Full {
            return ResponseEnd::Complete;
        }
        let id = transcript.id.clone().unwrap_or_else(|| completion_id(self.run.request()));
        let part = AnswerPart {
            finish: transcript.finish_reason.clone(),
            prompt_tokens: transcript.prompt_tokens,
            ..AnswerPart::default()
        };
        let template = self.template(&id, transcript.created);
        ResponseEnd::Reply(json_reply(&template.full_answer(
            &part,
            &transcript.text(),
            transcript.next_index(),
        )))
    }

    async fn send_end(&self, end: ResponseEnd) {
        let _ = self.sender.send(ResponseItem::End(end)).await;
        self.sender.closed().await;
    }

    /// Sends an answer that is complete already, as a stream if the caller asked for one.
    async fn replay(&self, reply: HttpReply) {
        let whole: Option<Value> = serde_json::from_slice(reply.body.as_bytes()).ok();
        let text = whole.as_ref().and_then(answer_text);
        let (ResponseMode::Stream { .. }, Some(text), Some(whole)) = (self.mode, text, &whole)
        else {
            self.send_end(ResponseEnd::Reply(reply)).await;
            return;
        };
        let quoted = Value::from(text).to_string();
        let part = AnswerPart {
            id: whole["id"].as_str().map(str::to_owned),
            created: whole["created"].as_u64().unwrap_or_default(),
            escaped: vec![quoted[1..quoted.len() - 1].to_owned()],
            finish: whole["choices"][0]["finish_reason"].as_str().map(str::to_owned),
            prompt_tokens: whole["usage"]["prompt_tokens"].as_u64().map(|n| n as u32),
            whole: true,
            software: None,
        };
        self.forward_part(&mut Transcript::default(), &part).await;
        self.send_end(ResponseEnd::Complete).await;
    }

    /// Ends a request whose answer could not be located within `MAX_TASK_SWITCHES`.
    pub async fn send_lost_failure(&self) {
        let failed = if self.run.spec.is_idempotent {
            FailedRun {
                code: ErrorCode::InProgress,
                message: "the request is on its way between entry instances".to_owned(),
                retry_after: Some(RETRY_AFTER),
            }
        } else {
            outcome_unknown()
        };
        self.send_end(ResponseEnd::Failed(failed)).await;
    }
}

/// Returns the end of a request whose key is claimed by another request: the recorded outcome, or
/// the owner to follow.
pub fn owner_run_end(
    app: &Shared,
    request: &Name,
    owner: &ClaimOwner,
    outcome: Option<ClaimOutcome>,
) -> RunEnd {
    let owner = peers::find_owner(app, owner);
    match (outcome, owner) {
        (Some(ClaimOutcome::Answered { status, body: Some(body) }), _) => {
            RunEnd::Reply(HttpReply::json(status, body))
        }
        (Some(ClaimOutcome::Answered { body: None, .. }) | None, Some(Home::Remote(address))) => {
            RunEnd::Moved(address)
        }
        _ => {
            let FailedRun { code, message, retry_after } = outcome_unknown();
            RunEnd::Failed(RequestFailure { request: request.clone(), code, message, retry_after })
        }
    }
}

fn outcome_unknown() -> FailedRun {
    FailedRun {
        code: ErrorCode::OutcomeUnknown,
        message: "the request was sent once, and its answer is not known here".to_owned(),
        retry_after: Some(RETRY_AFTER),
    }
}

fn answer_text(whole: &Value) -> Option<&str> {
    let choice = whole.pointer("/choices/0")?;
    choice.pointer("/message/content").or_else(|| choice.get("text"))?.as_str()
}

/// Wraps a JSON value in a reply with status 200.
pub fn json_reply(value: &Value) -> HttpReply {
    HttpReply::json(200, value.to_string())
}
