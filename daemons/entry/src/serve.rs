//! Serves callers' requests: admits them, then runs them or follows a run that exists already.

pub mod attach;
pub mod caller;
pub mod calls;
pub mod chunk;
pub mod driver;
mod finish;
pub mod headers;
pub mod plain;
pub mod run;
pub mod signals;
mod tokens;
pub mod upstream;

use std::sync::Arc;

use ntex::client::Client;
use ntex::http::Method;
use ntex::web::HttpResponse;
use sill_base::{Millis, Name};
use sill_flight::flight::{ClaimSpec, ServiceKind};
use sill_flight::handoff::HandOffRun;
use sill_flight::lifecycle::{Lifecycle, NotRunRefusal, Received};
use sill_flight::{Event, InFlightRequest, Placement, RequestCfg, RequestSpec, Transcript};
use sill_limit::{Cost, Verdict};
use sill_net::http::Failure;
use sill_wire::claim::{ClaimKey, ClaimOwner};
use sill_wire::handoff::{ReplyHeader, RunLocation};
use sill_wire::{ErrorCode, prefix};

use self::attach::{AnswerSource, FollowOutcome, Follower, LookupResult};
use self::caller::ResponseEnd;
use self::driver::{Driver, Job, ResponseMode};
use self::run::Run;
use self::upstream::UpstreamRequest;
use crate::daemon::Shared;
use crate::request::{ChatRequest, PlainRequest, RequestMeta};

/// The deadline of requests without one, and the upper limit for all others. A claim must be
/// retained for longer than any request can run, so deadlines are bounded.
const MAX_DEADLINE: Millis = Millis(600_000);

/// How long a claim is retained: the maximum deadline, and as long again for resends.
const CLAIM_RETENTION: Millis = Millis(1_200_000);

/// `Retry-After` of a refusal because of `max_in_flight`.
const RETRY_AFTER: Millis = Millis(1_000);

/// Serves a request to a model.
pub async fn chat(
    app: &Arc<Shared>,
    client: &Client,
    id: Name,
    request: ChatRequest,
) -> HttpResponse {
    let ChatRequest { meta, summary, path, body, start_index } = request;
    let mode = if summary.stream {
        ResponseMode::Stream { include_usage: summary.include_usage }
    } else {
        ResponseMode::Full
    };
    let prompt_tokens = prefix::token_count(&summary.prompt);
    let spec = request_spec(app, &id, &meta, ServiceKind::Model, prompt_tokens, summary.max_tokens);
    let upstream_request = UpstreamRequest {
        method: Method::POST,
        path: path.clone(),
        request: id,
        key: meta.key.clone(),
        headers: vec![ReplyHeader::new("content-type", "application/json")],
        body: UpstreamRequest::stream_body(body),
    };
    let blocks = prefix::block_hashes(&summary.model, &summary.prompt).into();
    let run = new_run(&meta, spec, path, summary.model);
    let job = Job { run, upstream_request, blocks, priority: meta.priority, mode, sender: None };
    serve(app, client, job, start_index).await
}

/// Serves a call of a plain service.
pub async fn plain(
    app: &Arc<Shared>,
    client: &Client,
    id: Name,
    request: PlainRequest,
) -> HttpResponse {
    let PlainRequest { meta, method, service, path, headers, body } = request;
    let spec = request_spec(app, &id, &meta, ServiceKind::Plain, 0, 0);
    let key = meta.key.clone();
    let upstream_request =
        UpstreamRequest { method, path: path.clone(), request: id, key, headers, body };
    let run = new_run(&meta, spec, path, service);
    let blocks = Arc::from([]);
    let priority = meta.priority;
    let job =
        Job { run, upstream_request, blocks, priority, mode: ResponseMode::Full, sender: None };
    serve(app, client, job, 0).await
}

fn request_spec(
    app: &Shared,
    id: &Name,
    meta: &RequestMeta,
    kind: ServiceKind,
    prompt_tokens: u64,
    max_tokens: u32,
) -> RequestSpec {
    let key = meta.key.as_ref().filter(|_| !meta.is_idempotent);
    let claim = key.map(|key| ClaimSpec {
        key: ClaimKey { account: meta.account.name.clone(), key: key.clone() },
        body: meta.content_hash.clone(),
        owner: ClaimOwner {
            entry: app.cfg.name.clone(),
            incarnation: app.incarnation,
            request: id.clone(),
        },
        retention: CLAIM_RETENTION,
    });
    let span = meta.deadline.map_or(MAX_DEADLINE, |d| d.min(MAX_DEADLINE));
    RequestSpec {
        request: id.clone(),
        kind,
        is_idempotent: meta.is_idempotent,
        claim,
        is_keyed: meta.key.is_some(),
        deadline: app.clock.now() + span,
        prompt_tokens,
        max_tokens,
    }
}

/// Uses the request's name as key if the caller sent none, so that the caller can re-attach after a
/// hand-off.
fn new_run(meta: &RequestMeta, spec: RequestSpec, path: String, target: Name) -> Arc<Run> {
    let key = meta.key.clone().unwrap_or_else(|| spec.request.clone());
    let key = ClaimKey { account: meta.account.name.clone(), key };
    let body = meta.content_hash.clone();
    Arc::new(Run::new(spec, key, body, path, target, Transcript::default()))
}

async fn serve(app: &Arc<Shared>, client: &Client, job: Job, start_index: u32) -> HttpResponse {
    let in_flight = InFlightGuard::begin(app);
    let run = job.run.clone();
    let id = run.request().clone();
    open_record(app, &run);
    let (sender, source) = caller::channel();
    let follower = Follower { run: run.clone(), mode: job.mode, start_index, sender };
    let lifecycle = Lifecycle::new(id.clone());
    let found = if run.spec.is_keyed { attach::find(app, &run).await } else { LookupResult::New };
    let task = match found {
        LookupResult::BodyMismatch => {
            let message = "the idempotency key was used with another body";
            return refuse(app, lifecycle.refuse(ErrorCode::KeyReused, message, None));
        }
        LookupResult::Local(existing) => Task::Follow(AnswerSource::Local(existing)),
        LookupResult::Remote(RunLocation { address, .. }) => {
            Task::Follow(AnswerSource::Remote(address))
        }
        LookupResult::New => Task::Drive { is_home_lost: false },
        LookupResult::HomeUnreachable => Task::Drive { is_home_lost: true },
    };
    if let Some(refusal) = admit(app, &run, &task, lifecycle) {
        abandon(app, &run);
        return refuse(app, refusal);
    }
    if matches!(task, Task::Drive { is_home_lost: true }) {
        app.metrics.count_recomputed(sill_flight::RecomputeCause::HomeLost, run.spec.prompt_tokens);
    }
    ntex::rt::spawn(run_task(in_flight, client.clone(), job, follower, task));
    caller::respond(&id, source).await
}

/// Counts a request as in flight from its arrival until its caller has received the end of the
/// answer. Requests that only follow a run elsewhere count too, otherwise a planned stop would cut
/// them off.
#[derive(Debug)]
struct InFlightGuard(Arc<Shared>);

impl InFlightGuard {
    fn begin(app: &Arc<Shared>) -> Self {
        app.metrics.in_flight.inc();
        Self(app.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

enum Task {
    Follow(AnswerSource),
    Drive { is_home_lost: bool },
}

/// How often a request may switch between following and driving before its caller is told to retry.
const MAX_TASK_SWITCHES: u32 = 4;

fn open_record(app: &Shared, run: &Run) {
    let now = app.clock.now();
    app.journal.lock().open(now, run.request(), &run.key.account, &run.target);
}

/// Checks `max_in_flight` and the client account's rate limit. Requests that follow an existing run
/// are free.
fn admit(
    app: &Shared,
    run: &Run,
    task: &Task,
    lifecycle: Lifecycle<Received>,
) -> Option<NotRunRefusal> {
    if matches!(task, Task::Follow(_)) {
        return None;
    }
    if app.metrics.in_flight.get() > app.cfg.max_in_flight as i64 {
        let message = "this entry instance holds as many requests as it may";
        return Some(lifecycle.refuse(ErrorCode::NoCapacity, message, Some(RETRY_AFTER)));
    }
    let cost = Cost { tokens: run.spec.prompt_tokens + u64::from(run.spec.max_tokens) };
    match app.limits.admit(app.clock.now(), &run.key.account, cost) {
        Verdict::Admit => None,
        Verdict::Refuse { retry_after } => {
            let message = "the client account is over its limit";
            Some(lifecycle.refuse(ErrorCode::LimitReached, message, Some(retry_after)))
        }
    }
}

fn abandon(app: &Arc<Shared>, run: &Arc<Run>) {
    run.set_end(run::RunEnd::Abandoned);
    app.runs.close(app.clock.now(), run);
    spawn_forget(app, run);
}

/// Tells the key's home in the background that the request does not run here. The caller does not
/// wait for it.
pub(crate) fn spawn_forget(app: &Arc<Shared>, run: &Arc<Run>) {
    if run.spec.is_keyed {
        let (app, run) = (app.clone(), run.clone());
        ntex::rt::spawn(async move { attach::forget_run(&app, &run.key, run.request()).await });
    }
}

/// Refuses a request of which no byte was sent to an endpoint.
pub fn refuse(app: &Shared, refusal: NotRunRefusal) -> HttpResponse {
    app.metrics.refused.inc();
    let id = refusal.request().clone();
    let what = format!("refused, not run: {}", refusal.message());
    app.journal.lock().add_step(app.clock.now(), &id, what);
    caller::full_response(&id, ResponseEnd::NotRun(refusal))
}

/// Refuses a request that failed its checks before it was admitted.
pub fn refuse_with_failure(app: &Shared, id: &Name, failure: Failure) -> HttpResponse {
    app.metrics.refused.inc();
    // Nothing was sent to an endpoint yet, so this refusal is certified as not run as well.
    let Failure { code, message, findings, retry_after, .. } = failure;
    let retry = retry_after.map(|secs| Millis::from_secs(u64::from(secs)));
    let refusal = Lifecycle::new(id.clone()).refuse(code, message, retry);
    Failure { findings, ..caller::failure(ResponseEnd::NotRun(refusal)) }.response(id)
}

async fn run_task(
    in_flight: InFlightGuard,
    client: Client,
    mut job: Job,
    follower: Follower,
    mut task: Task,
) {
    let app = in_flight.0.clone();
    let mut transcript = Transcript::default();
    for _ in 0..MAX_TASK_SWITCHES {
        if let Task::Follow(source) = task {
            transcript = match follower.follow(&app, source).await {
                FollowOutcome::Done => return,
                FollowOutcome::SourceLost(transcript) => transcript,
            };
            task = take_over_run(&app, &mut job, transcript.clone()).await;
        } else {
            let driven = drive(&app, &client, &job, &follower, std::mem::take(&mut transcript));
            match driven.await {
                Some(source) => task = Task::Follow(source),
                None => return,
            }
        }
    }
    // Without this, the next caller of the same key would follow a request that nobody runs.
    abandon(&app, &job.run);
    follower.send_lost_failure().await;
}

/// Drives the request here. Returns the source of the answer if another request holds the key.
async fn drive(
    app: &Arc<Shared>,
    client: &Client,
    job: &Job,
    follower: &Follower,
    transcript: Transcript,
) -> Option<AnswerSource> {
    let run = &job.run;
    let next_index = transcript.next_index();
    let cfg = RequestCfg::default();
    // A non-idempotent request is not resumed: it is admitted again, and the claims' log decides by
    // the owner of its claim.
    let (flight, first) = if next_index > 0 && run.spec.is_idempotent {
        let mut flight =
            InFlightRequest::from_hand_off(cfg, run.spec.clone(), next_index, jitter_seed(run));
        flight.continue_at(transcript.software.clone());
        (flight, Event::TakenOver { from: None })
    } else {
        run.with_transcript(|transcript| *transcript = Transcript::default());
        (InFlightRequest::new(cfg, run.spec.clone(), jitter_seed(run)), Event::Admitted)
    };
    let job = Job { sender: Some(follower.sender.clone()), ..job.clone() };
    Driver::new(app.clone(), client.clone(), job, flight).run(first).await
}

/// Takes over a run whose instance was lost while it was followed, unless another caller of the
/// same key has already done so here.
async fn take_over_run(app: &Arc<Shared>, job: &mut Job, transcript: Transcript) -> Task {
    let lost_run = &job.run;
    let run = Arc::new(Run::new(
        lost_run.spec.clone(),
        lost_run.key.clone(),
        lost_run.body_hash.clone(),
        lost_run.path.clone(),
        lost_run.target.clone(),
        transcript,
    ));
    if let Some(existing) = app.runs.open(&run) {
        return Task::Follow(AnswerSource::Local(existing));
    }
    attach::report_run(app, &run).await;
    job.run = run;
    Task::Drive { is_home_lost: true }
}

/// A request handed over by another entry instance, queued for the worker thread that resumes it.
#[derive(Debug)]
pub struct IncomingRun {
    in_flight: InFlightGuard,
    run: Arc<Run>,
    body: String,
    from: Option<Placement>,
    /// Whether the caller re-attached before the hand-off arrived and so started the request again.
    is_restarted: bool,
}

impl IncomingRun {
    /// Registers the request, so that its caller can re-attach to it.
    ///
    /// The leaving instance disconnects its callers as soon as it has our reply. A caller that
    /// re-attaches before the request is registered would start it again: the tokens so far would
    /// be discarded and the prompt computed a second time. So this happens before the reply and not
    /// on the worker thread, which may be busy.
    pub fn register(app: &Arc<Shared>, hand_off: HandOffRun) -> Self {
        let in_flight = InFlightGuard::begin(app);
        let mut hand_off = hand_off.with_absolute_deadline(app.clock.now());
        hand_off.spec.is_keyed = true;
        let run = Arc::new(Run::new(
            hand_off.spec,
            hand_off.key,
            hand_off.body_hash,
            hand_off.path,
            hand_off.model,
            hand_off.transcript,
        ));
        open_record(app, &run);
        let is_restarted = app.runs.open(&run).is_some();
        Self { in_flight, run, body: hand_off.body, from: hand_off.placement, is_restarted }
    }

    /// Removes the request again when no worker thread can resume it.
    pub fn unregister(self) {
        let app = &self.in_flight.0;
        self.run.set_end(run::RunEnd::Abandoned);
        app.runs.close(app.clock.now(), &self.run);
    }
}

/// Resumes a request handed over by another entry instance; its caller re-attaches later.
pub async fn resume_run(app: Arc<Shared>, client: Client, incoming: IncomingRun) {
    let IncomingRun { in_flight: _in_flight, run, body, from, is_restarted } = incoming;
    if is_restarted {
        return;
    }
    attach::report_run(&app, &run).await;
    let (next_index, software) =
        run.with_transcript(|transcript| (transcript.next_index(), transcript.software.clone()));
    let upstream_request = UpstreamRequest {
        method: Method::POST,
        path: run.path.clone(),
        request: run.request().clone(),
        key: Some(run.key.key.clone()),
        headers: vec![ReplyHeader::new("content-type", "application/json")],
        body: body.into(),
    };
    let blocks = Arc::from([]);
    let priority = sill_wire::Priority::High;
    let job = Job {
        run: run.clone(),
        upstream_request,
        blocks,
        priority,
        mode: ResponseMode::Full,
        sender: None,
    };
    let mut flight = InFlightRequest::from_hand_off(
        RequestCfg::default(),
        run.spec.clone(),
        next_index,
        jitter_seed(&run),
    );
    flight.continue_at(software);
    let driver = Driver::new(app.clone(), client, job, flight);
    driver.run(Event::TakenOver { from }).await;
}

/// Seed of the request's backoff jitter; differs between requests, so that their retries do not
/// coincide.
fn jitter_seed(run: &Run) -> u64 {
    let hash = blake3::hash(run.request().as_bytes());
    let mut seed = [0; 8];
    seed.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(seed)
}
