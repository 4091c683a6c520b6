//! Finds a keyed request that runs or ran already, and gives its answer to a caller who came back.

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

use super::caller::{Final, Out, Sink};
use super::chunk::{Frame, Shape};
use super::driver::Form;
use super::run::{Run, RunEnd};
use super::tokens::completion_id;
use crate::daemon::Shared;
use crate::peers::{self, Home};

/// How long one question for more waits at a peer.
const WAIT: Millis = Millis(5_000);

/// How often an answer may move while it is followed.
const MAX_HOPS: u32 = 5;

/// How long the home of a key has to answer.
const HOME_TIMEOUT: Millis = Millis(400);

/// When to come back for an answer that is not there yet.
const COME_BACK: Millis = Millis(2_000);

/// Where a keyed request was found.
#[derive(Debug)]
pub enum Found {
    /// Nowhere; it is to be run here.
    New,
    /// Its home could not be asked.
    HomeLost,
    /// Here.
    Here(Arc<Run>),
    /// At a peer.
    At(RunLocation),
    /// The key was used with another body.
    BodyMismatch,
}

/// Looks for a request with the same key: here, then at the key's home.
pub async fn find(app: &Arc<Shared>, run: &Arc<Run>) -> Found {
    if let Some(there) = app.runs.open(run) {
        let same = there.body_hash == run.body_hash;
        return if same { Found::Here(there) } else { Found::BodyMismatch };
    }
    let asker = RunLocation { address: app.peer_address.clone(), request: run.request().clone() };
    let call = LocateRun {
        key: run.key.clone(),
        body: run.body_hash.clone(),
        asker: asker.clone(),
        is_running: false,
    };
    let location = match peers::home(app, &run.key) {
        Home::Here => Ok(locate(app, &call)),
        Home::At(address) => ask_home(app, &address, call).await,
    };
    match location {
        Ok(LocateReply::New) => Found::New,
        // This very instance, in an earlier life or with a run that is over.
        Ok(LocateReply::At(at)) if at.address == asker.address => {
            note(app, run).await;
            Found::New
        }
        Ok(LocateReply::At(at)) => {
            close(app, run, RunEnd::Moved(at.address.clone()));
            Found::At(at)
        }
        Ok(LocateReply::BodyMismatch) => {
            close(app, run, RunEnd::Failed(key_reused(run)));
            Found::BodyMismatch
        }
        Err(err) => {
            event!(Info, "key_home_lost", request = run.request(), error = err);
            Found::HomeLost
        }
    }
}

async fn ask_home<C>(app: &Arc<Shared>, address: &Name, call: C) -> Result<C::Reply, PeerError>
where
    C: Call + Sync,
{
    let called = tokio::time::timeout(HOME_TIMEOUT.into(), peers::call(app, address, call)).await;
    called.unwrap_or_else(|_| Err(PeerError::Unreachable("no answer in time".to_owned())))
}

/// Ends a request that is not run here, for those who came for it in the meantime.
fn close(app: &Shared, run: &Arc<Run>, end: RunEnd) {
    run.end(end);
    app.runs.close(app.clock.now(), run);
}

fn key_reused(run: &Run) -> RequestFailure {
    RequestFailure {
        request: run.request().clone(),
        code: ErrorCode::KeyReused,
        message: "the idempotency key was used with another body".to_owned(),
        retry_after: None,
    }
}

/// Answers as the home of a key.
pub fn locate(app: &Shared, call: &LocateRun) -> LocateReply {
    let now = app.clock.now();
    let mut directory = app.directory.lock();
    if call.is_running {
        directory.record_run(now, &call.key, &call.body, call.asker.clone());
        return LocateReply::New;
    }
    directory.locate(now, &call.key, &call.body, call.asker.clone())
}

/// Tells the home of a key that its request runs here.
pub async fn note(app: &Arc<Shared>, run: &Run) {
    let asker = RunLocation { address: app.peer_address.clone(), request: run.request().clone() };
    let (key, body) = (run.key.clone(), run.body_hash.clone());
    let call = LocateRun { key, body, asker, is_running: true };
    match peers::home(app, &run.key) {
        Home::Here => drop(locate(app, &call)),
        Home::At(address) => drop(ask_home(app, &address, call).await),
    }
}

/// Tells the home of a key that its request was refused, so that it can be sent again.
pub async fn forget(app: &Arc<Shared>, key: &ClaimKey, request: &Name) {
    let run = RunLocation { address: app.peer_address.clone(), request: request.clone() };
    match peers::home(app, key) {
        Home::Here => app.directory.lock().remove(key, &run),
        Home::At(address) => {
            let call = ForgetRun { key: key.clone(), run };
            drop(ask_home(app, &address, call).await);
        }
    }
}

/// Where an answer is followed.
#[derive(Debug, Clone)]
pub enum Source {
    /// It runs here.
    Here(Arc<Run>),
    /// It runs at a peer.
    At(Name),
}

/// A caller who came back.
pub struct Follower {
    /// The request, as the caller sent it again.
    pub run: Arc<Run>,
    /// How it wants its answer.
    pub form: Form,
    /// The first token that it has not got.
    pub from: u32,
    /// Where the answer goes.
    pub sink: Sink,
}

/// How following ended.
#[derive(Debug)]
pub enum Followed {
    /// The caller has its last word, or went away.
    Ended,
    /// The answer was lost on the way, or never known there.
    Lost(Transcript),
}

impl Source {
    async fn more(
        &self,
        app: &Arc<Shared>,
        key: &ClaimKey,
        from: u32,
    ) -> Result<FollowReply, PeerError> {
        match self {
            Self::Here(run) => Ok(run.follow(from, WAIT).await),
            Self::At(address) => {
                let call = FollowRun { key: key.clone(), from, wait: WAIT };
                peers::call(app, address, call).await
            }
        }
    }
}

impl Follower {
    /// Sends the answer on as it comes.
    pub async fn follow(&self, app: &Arc<Shared>, mut source: Source) -> Followed {
        let mut transcript = Transcript::default();
        let mut hops = 0;
        while hops < MAX_HOPS {
            let next = transcript.next_index();
            let more = tokio::select! {
                more = source.more(app, &self.run.key, next) => more,
                () = self.sink.closed() => return Followed::Ended,
            };
            match more {
                Ok(FollowReply::More(part)) => {
                    self.take(&mut transcript, &part).await;
                    if part.whole {
                        self.end(self.last_word(&transcript)).await;
                        return Followed::Ended;
                    }
                }
                Ok(FollowReply::Reply(reply)) => {
                    self.replay(reply).await;
                    return Followed::Ended;
                }
                Ok(FollowReply::Moved { address }) => {
                    hops += 1;
                    source = Source::At(address);
                }
                Ok(FollowReply::Failed(failed)) => {
                    self.end(Final::Failed(failed)).await;
                    return Followed::Ended;
                }
                Ok(FollowReply::Unknown) | Err(_) => return Followed::Lost(transcript),
            }
        }
        Followed::Lost(transcript)
    }

    async fn take(&self, transcript: &mut Transcript, part: &AnswerPart) {
        transcript.id = part.id.clone();
        transcript.created = part.created;
        transcript.finish_reason = part.finish.clone();
        transcript.prompt_tokens = part.prompt_tokens;
        let id = part.id.clone().unwrap_or_else(|| completion_id(self.run.request()));
        let frame = self.frame(&id, part.created);
        let mut out = Vec::new();
        for escaped in &part.escaped {
            let index = transcript.next_index();
            transcript.push(index, escaped);
            if self.form != Form::Whole && index >= self.from {
                out.extend_from_slice(&frame.token(index, escaped));
            }
        }
        transcript.is_complete = part.whole;
        if let (true, Form::Streamed { include_usage }) = (part.whole, self.form) {
            out.extend_from_slice(&frame.closing(part, transcript.next_index(), include_usage));
        }
        if !out.is_empty() {
            let _ = self.sink.send(Out::Part(Bytes::from(out))).await;
        }
    }

    fn frame<'a>(&'a self, id: &'a str, created: u64) -> Frame<'a> {
        Frame { shape: Shape::of(&self.run.path), model: &self.run.target, id, created }
    }

    fn last_word(&self, transcript: &Transcript) -> Final {
        if self.form != Form::Whole {
            return Final::Whole;
        }
        let id = transcript.id.clone().unwrap_or_else(|| completion_id(self.run.request()));
        let part = AnswerPart {
            finish: transcript.finish_reason.clone(),
            prompt_tokens: transcript.prompt_tokens,
            ..AnswerPart::default()
        };
        let frame = self.frame(&id, transcript.created);
        Final::Reply(json_reply(&frame.whole(&part, &transcript.text(), transcript.next_index())))
    }

    async fn end(&self, end: Final) {
        let _ = self.sink.send(Out::End(end)).await;
        self.sink.closed().await;
    }

    /// Gives a whole answer, as a stream where the caller wants one.
    async fn replay(&self, reply: HttpReply) {
        let whole: Option<Value> = serde_json::from_slice(reply.body.as_bytes()).ok();
        let text = whole.as_ref().and_then(answer_text);
        let (Form::Streamed { .. }, Some(text), Some(whole)) = (self.form, text, &whole) else {
            self.end(Final::Reply(reply)).await;
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
        };
        self.take(&mut Transcript::default(), &part).await;
        self.end(Final::Whole).await;
    }

    /// Ends a request whose answer can't be found.
    pub async fn lost(&self) {
        let failed = if self.run.spec.is_idempotent {
            FailedRun {
                code: ErrorCode::InProgress,
                message: "the request is on its way between entry instances".to_owned(),
                retry_after: Some(COME_BACK),
            }
        } else {
            unknown()
        };
        self.end(Final::Failed(failed)).await;
    }
}

/// Returns where a request ended whose claim another one holds.
pub fn resolve(
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
        (Some(ClaimOutcome::Answered { body: None, .. }) | None, Some(Home::At(address))) => {
            RunEnd::Moved(address)
        }
        _ => {
            let FailedRun { code, message, retry_after } = unknown();
            RunEnd::Failed(RequestFailure { request: request.clone(), code, message, retry_after })
        }
    }
}

fn unknown() -> FailedRun {
    FailedRun {
        code: ErrorCode::OutcomeUnknown,
        message: "the request was sent once, and its answer is not known here".to_owned(),
        retry_after: Some(COME_BACK),
    }
}

fn answer_text(whole: &Value) -> Option<&str> {
    let choice = whole.pointer("/choices/0")?;
    choice.pointer("/message/content").or_else(|| choice.get("text"))?.as_str()
}

/// Makes a JSON answer.
pub fn json_reply(value: &Value) -> HttpReply {
    HttpReply::json(200, value.to_string())
}
