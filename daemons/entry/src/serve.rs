//! Sees callers' requests through.

pub mod attach;
pub mod caller;
pub mod calls;
pub mod chunk;
pub mod driver;
mod ending;
pub mod headers;
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

use self::attach::{Followed, Follower, Found, Source};
use self::caller::Final;
use self::driver::{Driver, Form, Order};
use self::run::Run;
use self::upstream::Outgoing;
use crate::ask::{ChatAsk, CommonAsk, PlainAsk};
use crate::daemon::Shared;

/// The deadline of requests that name none, and the longest there is. A claim has to be kept for
/// longer than any request can run.
const LONGEST_DEADLINE: Millis = Millis(600_000);

/// How long a claim is kept: the longest deadline, and as long again for resends.
const CLAIM_RETENTION: Millis = Millis(1_200_000);

/// When to come back after a refusal for want of room.
const COME_BACK: Millis = Millis(1_000);

/// Sees a model request through.
pub async fn chat(app: &Arc<Shared>, client: &Client, id: Name, ask: ChatAsk) -> HttpResponse {
    let ChatAsk { common, summary, path, body, from } = ask;
    let form = if summary.stream {
        Form::Streamed { include_usage: summary.include_usage }
    } else {
        Form::Whole
    };
    let prompt_tokens = prefix::token_count(&summary.prompt);
    let spec = spec(app, &id, &common, ServiceKind::Model, prompt_tokens, summary.max_tokens);
    let outgoing = Outgoing {
        method: Method::POST,
        path: path.clone(),
        request: id,
        key: common.key.clone(),
        headers: vec![ReplyHeader::new("content-type", "application/json")],
        body: Outgoing::streamed_body(body),
    };
    let blocks = prefix::block_hashes(&summary.model, &summary.prompt).into();
    let run = run(&common, spec, path, summary.model);
    let order = Order { run, outgoing, blocks, priority: common.priority, form, sink: None };
    serve(app, client, order, from).await
}

/// Sees a call of a plain service through.
pub async fn plain(app: &Arc<Shared>, client: &Client, id: Name, ask: PlainAsk) -> HttpResponse {
    let PlainAsk { common, method, service, path, headers, body } = ask;
    let spec = spec(app, &id, &common, ServiceKind::Plain, 0, 0);
    let key = common.key.clone();
    let outgoing = Outgoing { method, path: path.clone(), request: id, key, headers, body };
    let run = run(&common, spec, path, service);
    let blocks = Arc::from([]);
    let priority = common.priority;
    let order = Order { run, outgoing, blocks, priority, form: Form::Whole, sink: None };
    serve(app, client, order, 0).await
}

fn spec(
    app: &Shared,
    id: &Name,
    common: &CommonAsk,
    kind: ServiceKind,
    prompt_tokens: u64,
    max_tokens: u32,
) -> RequestSpec {
    let key = common.key.as_ref().filter(|_| !common.idempotent);
    let claim = key.map(|key| ClaimSpec {
        key: ClaimKey { account: common.account.name.clone(), key: key.clone() },
        body: common.content.clone(),
        owner: ClaimOwner {
            entry: app.cfg.name.clone(),
            incarnation: app.incarnation,
            request: id.clone(),
        },
        retention: CLAIM_RETENTION,
    });
    let span = common.deadline.map_or(LONGEST_DEADLINE, |d| d.min(LONGEST_DEADLINE));
    RequestSpec {
        request: id.clone(),
        kind,
        is_idempotent: common.idempotent,
        claim,
        is_keyed: common.key.is_some(),
        deadline: app.clock.now() + span,
        prompt_tokens,
        max_tokens,
    }
}

/// An unkeyed request goes by its own name, so that its caller can come back after a hand-off.
fn run(common: &CommonAsk, spec: RequestSpec, path: String, target: Name) -> Arc<Run> {
    let key = common.key.clone().unwrap_or_else(|| spec.request.clone());
    let key = ClaimKey { account: common.account.name.clone(), key };
    let body = common.content.clone();
    Arc::new(Run::new(spec, key, body, path, target, Transcript::default()))
}

async fn serve(app: &Arc<Shared>, client: &Client, order: Order, from: u32) -> HttpResponse {
    let in_flight = InFlight::begin(app);
    let run = order.run.clone();
    let id = run.request().clone();
    open_record(app, &run);
    let (sink, source) = caller::pair();
    let follower = Follower { run: run.clone(), form: order.form, from, sink };
    let life = Lifecycle::new(id.clone());
    let found = if run.spec.is_keyed { attach::find(app, &run).await } else { Found::New };
    let task = match found {
        Found::BodyMismatch => {
            let message = "the idempotency key was used with another body";
            return refuse(app, life.refuse(ErrorCode::KeyReused, message, None));
        }
        Found::Here(there) => Task::Follow(Source::Here(there)),
        Found::At(RunLocation { address, .. }) => Task::Follow(Source::At(address)),
        Found::New => Task::Drive { home_lost: false },
        Found::HomeLost => Task::Drive { home_lost: true },
    };
    if let Some(refusal) = admit(app, &run, &task, life) {
        abandon(app, &run);
        return refuse(app, refusal);
    }
    if matches!(task, Task::Drive { home_lost: true }) {
        app.metrics.recomputed(sill_flight::RecomputeCause::HomeLost, run.spec.prompt_tokens);
    }
    ntex::rt::spawn(carry_out(in_flight, client.clone(), order, follower, task));
    caller::respond(&id, source).await
}

/// Counts a request as in flight, from its arrival until its caller has the last word; one that only
/// follows an answer from elsewhere counts too, else a planned stop would cut it off.
#[derive(Debug)]
struct InFlight(Arc<Shared>);

impl InFlight {
    fn begin(app: &Arc<Shared>) -> Self {
        app.metrics.in_flight.inc();
        Self(app.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

enum Task {
    Follow(Source),
    Drive { home_lost: bool },
}

/// How often a request may change between following and running before its caller is told to come
/// back.
const MAX_TURNS: u32 = 4;

fn open_record(app: &Shared, run: &Run) {
    let now = app.clock.now();
    app.journal.lock().open(now, run.request(), &run.key.account, &run.target);
}

/// Checks room and the account's limit; coming back for an answer costs nothing.
fn admit(app: &Shared, run: &Run, task: &Task, life: Lifecycle<Received>) -> Option<NotRunRefusal> {
    if matches!(task, Task::Follow(_)) {
        return None;
    }
    if app.metrics.in_flight.get() > app.cfg.max_in_flight as i64 {
        let message = "this entry instance holds as many requests as it may";
        return Some(life.refuse(ErrorCode::NoCapacity, message, Some(COME_BACK)));
    }
    let cost = Cost { tokens: run.spec.prompt_tokens + u64::from(run.spec.max_tokens) };
    match app.limits.admit(app.clock.now(), &run.key.account, cost) {
        Verdict::Admit => None,
        Verdict::Refuse { retry_after } => {
            let message = "the client account is over its limit";
            Some(life.refuse(ErrorCode::LimitReached, message, Some(retry_after)))
        }
    }
}

fn abandon(app: &Arc<Shared>, run: &Arc<Run>) {
    run.end(run::RunEnd::Abandoned);
    app.runs.close(app.clock.now(), run);
    forget_later(app, run);
}

/// Lets the key's home know that nothing runs, off the caller's path.
pub(crate) fn forget_later(app: &Arc<Shared>, run: &Arc<Run>) {
    if run.spec.is_keyed {
        let (app, run) = (app.clone(), run.clone());
        ntex::rt::spawn(async move { attach::forget(&app, &run.key, run.request()).await });
    }
}

/// Refuses a request of which nothing has left.
pub fn refuse(app: &Shared, refusal: NotRunRefusal) -> HttpResponse {
    app.metrics.refused.inc();
    let id = refusal.request().clone();
    let what = format!("refused, not run: {}", refusal.message());
    app.journal.lock().add_step(app.clock.now(), &id, what);
    caller::whole(&id, Final::NotRun(refusal))
}

/// Refuses a request that could not even be read.
pub fn refuse_unread(app: &Shared, id: &Name, failure: Failure) -> HttpResponse {
    app.metrics.refused.inc();
    // Reading a request sends nothing, so the certificate is due here as well.
    let Failure { code, message, findings, retry_after, .. } = failure;
    let retry = retry_after.map(|secs| Millis::from_secs(u64::from(secs)));
    let refusal = Lifecycle::new(id.clone()).refuse(code, message, retry);
    Failure { findings, ..caller::failure(Final::NotRun(refusal)) }.response(id)
}

async fn carry_out(
    in_flight: InFlight,
    client: Client,
    mut order: Order,
    follower: Follower,
    mut task: Task,
) {
    let app = in_flight.0.clone();
    let mut transcript = Transcript::default();
    for _ in 0..MAX_TURNS {
        if let Task::Follow(source) = task {
            transcript = match follower.follow(&app, source).await {
                Followed::Ended => return,
                Followed::Lost(transcript) => transcript,
            };
            task = go_on_alone(&app, &mut order, transcript.clone()).await;
        } else {
            let driven = drive(&app, &client, &order, &follower, std::mem::take(&mut transcript));
            match driven.await {
                Some(source) => task = Task::Follow(source),
                None => return,
            }
        }
    }
    // A request that nobody runs must not stay where the next caller of its key would wait for it.
    abandon(&app, &order.run);
    follower.lost().await;
}

/// Runs the request here; returns where its answer is followed, if another request has the key.
async fn drive(
    app: &Arc<Shared>,
    client: &Client,
    order: &Order,
    follower: &Follower,
    transcript: Transcript,
) -> Option<Source> {
    let run = &order.run;
    let next = transcript.next_index();
    let cfg = RequestCfg::default();
    // A request that may be run once only is not gone on with: the claims' log knows its owner.
    let (flight, first) = if next > 0 && run.spec.is_idempotent {
        let flight = InFlightRequest::from_hand_off(cfg, run.spec.clone(), next, seed(run));
        (flight, Event::TakenOver { from: None })
    } else {
        run.with_transcript(|transcript| *transcript = Transcript::default());
        (InFlightRequest::new(cfg, run.spec.clone(), seed(run)), Event::Admitted)
    };
    let order = Order { sink: Some(follower.sink.clone()), ..order.clone() };
    Driver::new(app.clone(), client.clone(), order, flight).run(first).await
}

/// Takes over an answer whose instance was lost while it was followed, unless another caller of the
/// same key was faster.
async fn go_on_alone(app: &Arc<Shared>, order: &mut Order, transcript: Transcript) -> Task {
    let lost = &order.run;
    let run = Arc::new(Run::new(
        lost.spec.clone(),
        lost.key.clone(),
        lost.body_hash.clone(),
        lost.path.clone(),
        lost.target.clone(),
        transcript,
    ));
    if let Some(there) = app.runs.open(&run) {
        return Task::Follow(Source::Here(there));
    }
    attach::note(app, &run).await;
    order.run = run;
    Task::Drive { home_lost: true }
}

/// A request that another entry instance handed over, on its way to a thread that goes on with it.
#[derive(Debug)]
pub struct TakenOver {
    in_flight: InFlight,
    run: Arc<Run>,
    body: String,
    from: Option<Placement>,
    /// Whether its caller was back before it came, and has begun it anew.
    begun_anew: bool,
}

impl TakenOver {
    /// Lets a caller who comes back find the request from now on.
    ///
    /// The instance that leaves cuts its callers off once it has our answer. One that is back before
    /// the request can be found would begin it anew: the tokens so far would be thrown away, and the
    /// prompt computed a second time. So this is done before the answer, not by the busy thread.
    pub fn begin(app: &Arc<Shared>, handed: HandOffRun) -> Self {
        let in_flight = InFlight::begin(app);
        let mut handed = handed.with_absolute_deadline(app.clock.now());
        handed.spec.is_keyed = true;
        let run = Arc::new(Run::new(
            handed.spec,
            handed.key,
            handed.body_hash,
            handed.path,
            handed.model,
            handed.transcript,
        ));
        open_record(app, &run);
        let begun_anew = app.runs.open(&run).is_some();
        Self { in_flight, run, body: handed.body, from: handed.placement, begun_anew }
    }

    /// Forgets the request again, since no thread is there to go on with it.
    pub fn give_back(self) {
        let app = &self.in_flight.0;
        self.run.end(run::RunEnd::Abandoned);
        app.runs.close(app.clock.now(), &self.run);
    }
}

/// Goes on with a request that another entry instance handed over; its caller comes back later.
pub async fn go_on(app: Arc<Shared>, client: Client, taken: TakenOver) {
    let TakenOver { in_flight: _in_flight, run, body, from, begun_anew } = taken;
    if begun_anew {
        return;
    }
    attach::note(&app, &run).await;
    let next = run.with_transcript(|transcript| transcript.next_index());
    let outgoing = Outgoing {
        method: Method::POST,
        path: run.path.clone(),
        request: run.request().clone(),
        key: Some(run.key.key.clone()),
        headers: vec![ReplyHeader::new("content-type", "application/json")],
        body: body.into(),
    };
    let blocks = Arc::from([]);
    let priority = sill_wire::Priority::High;
    let order =
        Order { run: run.clone(), outgoing, blocks, priority, form: Form::Whole, sink: None };
    let flight =
        InFlightRequest::from_hand_off(RequestCfg::default(), run.spec.clone(), next, seed(&run));
    let driver = Driver::new(app.clone(), client, order, flight);
    driver.run(Event::TakenOver { from }).await;
}

/// Differs from request to request, so that pauses do.
fn seed(run: &Run) -> u64 {
    let hash = blake3::hash(run.request().as_bytes());
    let mut seed = [0; 8];
    seed.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(seed)
}
