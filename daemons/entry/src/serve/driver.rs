//! Performs the actions of a request's state machine: claims, routes, sends, reads the answer and
//! forwards it to the caller.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;

use ntex::client::Client;
use ntex::util::Bytes;
use sill_base::{Machine, Millis, Name};
use sill_flight::flight::{AttemptOutcome, DropReason, Epoch, ResumePoint, ServiceKind};
use sill_flight::sse::EventSplitter;
use sill_flight::{Action, Event, InFlightRequest, Placement};
use sill_route::{Choice, Outcome, RefusalReason, RouteRequest, Target};
use sill_wire::claim::ClaimVerdict;
use sill_wire::handoff::HttpReply;
use sill_wire::{Priority, Software};
use tokio::sync::{oneshot, watch};

use super::attach::{self, AnswerSource};
use super::caller::{ResponseItem, ResponseSender};
use super::run::{Run, RunEnd};
use super::upstream::{Upstream, UpstreamEvent, UpstreamRequest};
use crate::claims;
use crate::daemon::Shared;

/// Bytes buffered for a slow caller; the endpoint's answer is not read while the buffer holds more.
const MAX_SEND_BUFFER: usize = 64 << 10;

/// Upper limit of one sleep of the timer.
const MAX_SLEEP: Millis = Millis(3_600_000);

/// How the caller receives the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseMode {
    /// Every token as it arrives, as server-sent events.
    Stream {
        /// Whether the stream closes with usage counts.
        include_usage: bool,
    },
    /// One complete answer at the end.
    Full,
}

/// Input of the driver besides the state machine.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request's state that other threads and peers can read.
    pub run: Arc<Run>,
    /// The request that is sent to endpoints.
    pub upstream_request: UpstreamRequest,
    /// Chained hashes of the prompt's blocks, for prefix-cache routing; empty for plain services
    /// and for requests that were handed over.
    pub blocks: Arc<[u64]>,
    /// Priority of the first attempt; later attempts run with high priority.
    pub priority: Priority,
    /// How the caller receives the answer.
    pub mode: ResponseMode,
    /// The channel to the caller's response; `None` when no caller is connected.
    pub sender: Option<ResponseSender>,
}

/// Drives one request from admission to its end.
pub struct Driver {
    pub(super) app: Arc<Shared>,
    pub(super) job: Job,
    pub(super) flight: InFlightRequest,
    pub(super) events: VecDeque<Event>,
    pub(super) upstream: Option<Upstream>,
    pub(super) splitter: EventSplitter,
    pub(super) closing: ClosingChunks,
    pub(super) send_buffer: Vec<u8>,
    pub(super) head_epoch: Option<Epoch>,
    client: Client,
    actions: Vec<Action>,
    claim_verdict: Option<oneshot::Receiver<ClaimVerdict>>,
    pub(super) offer_reply: Option<oneshot::Receiver<Option<Name>>>,
    signals: watch::Receiver<u64>,
    timer: Timer,
    pub(super) end: Option<RunEnd>,
    reply: Option<HttpReply>,
    pub(super) received_at: Millis,
    first_token_at: Option<Millis>,
    is_accepted: bool,
    pub(super) is_attached: bool,
}

/// Contents of an attempt's closing chunks, held back until its end marker arrives. If they were
/// forwarded at once and the attempt was cut right then, the caller would see them twice.
#[derive(Debug, Default)]
pub(super) struct ClosingChunks {
    pub(super) finish_reason: Option<String>,
    pub(super) prompt_tokens: Option<u32>,
    pub(super) completion_tokens: Option<u32>,
}

/// A timer that is reset only for an earlier deadline. Most deadlines are postponed, so it may fire
/// too early; it is then set again.
struct Timer {
    deadline: Millis,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

enum Wakeup {
    Upstream(UpstreamEvent),
    Verdict(ClaimVerdict),
    OfferReply(Option<Name>),
    CallerDisconnect,
    SendCapacity,
    Signal,
    Tick,
}

impl Driver {
    /// Creates a driver whose state machine has not been stepped yet.
    pub fn new(app: Arc<Shared>, client: Client, job: Job, flight: InFlightRequest) -> Self {
        let signals = app.signals.subscribe();
        Self {
            received_at: app.clock.now(),
            app,
            job,
            flight,
            events: VecDeque::new(),
            upstream: None,
            splitter: EventSplitter::default(),
            closing: ClosingChunks::default(),
            send_buffer: Vec::new(),
            head_epoch: None,
            client,
            actions: Vec::new(),
            claim_verdict: None,
            offer_reply: None,
            signals,
            timer: Timer::new(),
            end: None,
            reply: None,
            first_token_at: None,
            is_accepted: false,
            is_attached: false,
        }
    }

    /// Drives the request to its end. Returns the source of the answer if another request holds the
    /// key.
    pub async fn run(mut self, first: Event) -> Option<AnswerSource> {
        self.events.push_back(first);
        loop {
            self.process_events();
            self.flush();
            if self.end.is_some() {
                break;
            }
            match self.next_wakeup().await {
                Wakeup::Upstream(event) => self.on_upstream_event(event),
                Wakeup::Verdict(verdict) => {
                    self.claim_verdict = None;
                    self.events.push_back(Event::Claimed(verdict));
                }
                Wakeup::OfferReply(accepted_by) => self.on_offer_reply(accepted_by),
                Wakeup::CallerDisconnect => {
                    self.job.sender = None;
                    self.note("the caller went away".to_owned());
                    self.events.push_back(Event::CallerDisconnected);
                }
                Wakeup::SendCapacity => {}
                Wakeup::Signal => self.on_signal(),
                Wakeup::Tick => self.events.push_back(Event::Tick),
            }
        }
        self.finish().await
    }

    async fn next_wakeup(&mut self) -> Wakeup {
        let now = self.app.clock.now();
        self.timer.set(now, self.flight.wake_at());
        let may_read = self.send_buffer.len() < MAX_SEND_BUFFER && self.offer_reply.is_none();
        tokio::select! {
            biased;
            event = next_upstream_event(&mut self.upstream), if may_read => Wakeup::Upstream(event),
            verdict = recv_reply(&mut self.claim_verdict) => Wakeup::Verdict(verdict.unwrap_or(ClaimVerdict::Unavailable)),
            accepted_by = recv_reply(&mut self.offer_reply) => Wakeup::OfferReply(accepted_by.flatten()),
            () = send_capacity(&self.job.sender), if !self.send_buffer.is_empty() => Wakeup::SendCapacity,
            () = caller_disconnect(&self.job.sender) => Wakeup::CallerDisconnect,
            _ = self.signals.changed() => Wakeup::Signal,
            () = self.timer.sleep.as_mut() => {
                self.timer.deadline = Millis::MAX;
                Wakeup::Tick
            }
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.app.clock.now()
    }

    pub(super) fn note(&self, what: String) {
        self.app.journal.lock().add_step(self.now(), self.job.run.request(), what);
    }

    pub(super) fn process_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.flight.step(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
            self.actions = actions;
        }
    }

    /// Steps the state machine with a token and returns whether the token has to be forwarded.
    pub(super) fn accept_token(&mut self, epoch: Epoch, index: u32) -> bool {
        let mut actions = std::mem::take(&mut self.actions);
        self.flight.step(self.app.clock.now(), Event::Token { epoch, index }, &mut actions);
        let mut forward = false;
        for action in actions.drain(..) {
            match action {
                Action::ForwardToken => forward = true,
                action => self.perform(action),
            }
        }
        self.actions = actions;
        if forward && self.first_token_at.is_none() {
            self.record_first_token();
        }
        forward
    }

    fn record_first_token(&mut self) {
        let now = self.now();
        self.first_token_at = Some(now);
        let software = self.flight.software().cloned();
        self.job.run.with_transcript(|transcript| transcript.software = software);
        if let Some(place) = self.flight.placement() {
            let endpoint = place.endpoint.clone();
            let request = self.job.run.request().clone();
            let event = sill_route::Event::FirstToken { endpoint, request };
            self.app.routing.apply_for_target(now, &self.target(), event);
        }
    }

    fn target(&self) -> Target {
        match self.job.run.spec.kind {
            ServiceKind::Model => Target::Model(self.job.run.target.clone()),
            ServiceKind::Plain => Target::Service(self.job.run.target.clone()),
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::TakeClaim(ask) => self.claim_verdict = Some(claims::submit(&self.app, ask)),
            Action::SettleClaim(ask) => self.app.claims.settle(ask),
            Action::Route { exclude, prompt_tokens, max_tokens, software } => {
                self.route(exclude, prompt_tokens, max_tokens, software);
            }
            Action::Dispatch { epoch, placement, resume } => {
                self.dispatch(epoch, &placement, resume)
            }
            Action::Cancel { epoch } => {
                if self.upstream.as_ref().is_some_and(|u| u.epoch == epoch) {
                    self.upstream = None;
                }
            }
            Action::ReleaseEndpoint { endpoint, outcome } => {
                self.release_endpoint(endpoint, outcome)
            }
            Action::ForwardToken => {}
            Action::Drop(dropped) => self.app.metrics.count_dropped(drop_label(dropped)),
            Action::CountRecomputed { cause, tokens } => {
                self.app.metrics.count_recomputed(cause, tokens);
                self.note(format!("{tokens} tokens computed again: {}", cause.name()));
            }
            Action::Attach { owner, outcome } => {
                self.note(format!("the key is held by {} at {}", owner.request, owner.entry));
                let request = self.job.run.request();
                self.end = Some(attach::owner_run_end(&self.app, request, &owner, outcome));
                self.is_attached = true;
            }
            Action::Finish => {
                self.close_answer();
                self.end = Some(RunEnd::Complete);
            }
            Action::ForwardError => {
                let reply = self.reply.take();
                self.end = reply.map(RunEnd::Reply).or(Some(RunEnd::Abandoned));
            }
            Action::Refuse(refusal) => self.end = Some(RunEnd::NotRun(refusal)),
            Action::Fail(failed) => self.end = Some(RunEnd::Failed(failed)),
            Action::Abandon => self.end = Some(RunEnd::Abandoned),
        }
    }

    fn route(
        &mut self,
        exclude: Vec<Name>,
        prompt_tokens: u64,
        max_tokens: u32,
        software: Option<Software>,
    ) {
        let version = software.as_ref().map(|software| format!(" of version {software}"));
        let request = RouteRequest {
            request: self.job.run.request().clone(),
            target: self.target(),
            blocks: self.job.blocks.clone(),
            prompt_tokens,
            max_tokens,
            // An accepted request must be completed, so its retries go before new requests.
            priority: if self.is_accepted { Priority::High } else { self.job.priority },
            deadline: self.job.run.spec.deadline,
            exclude,
            software,
            reserved: Vec::new(),
            admitted: Default::default(),
        };
        let event = match self.app.routing.choose(self.now(), &request) {
            Choice::Endpoint(chosen) => {
                self.note(format!("sent to {}: {}", chosen.endpoint, chosen.why));
                Event::Routed(Placement {
                    endpoint: chosen.endpoint,
                    incarnation: chosen.incarnation,
                    address: chosen.address,
                    cached_tokens: chosen.cached_tokens,
                    software: chosen.software,
                })
            }
            Choice::Refuse(refusal) => {
                let version = version.unwrap_or_default();
                self.note(format!("no endpoint{version}: {:?}", refusal.reason));
                let deadline = refusal.reason == RefusalReason::Deadline;
                Event::NoRoute { deadline, retry_after: refusal.retry_after }
            }
        };
        self.events.push_back(event);
    }

    fn dispatch(&mut self, epoch: Epoch, place: &Placement, resume: Option<ResumePoint>) {
        if !self.is_accepted {
            self.is_accepted = true;
            self.app.metrics.accepted.inc();
        }
        if let Some(at) = &resume {
            let how = if at.kv_source.is_some() { "KV cache moved" } else { "computed again" };
            self.note(format!("attempt {} goes on at token {}: {how}", epoch.0, at.next_index));
        }
        self.splitter = EventSplitter::default();
        self.closing = ClosingChunks::default();
        let is_model = self.job.run.spec.kind == ServiceKind::Model;
        self.upstream = Some(self.job.run.with_transcript(|transcript| {
            let upstream_request = &self.job.upstream_request;
            match is_model {
                true => Upstream::send_to_model(
                    &self.client,
                    upstream_request,
                    epoch,
                    place,
                    resume.as_ref(),
                    transcript,
                ),
                false => Upstream::send_to_service(
                    &self.app.plain_connections,
                    upstream_request,
                    epoch,
                    place,
                ),
            }
        }));
        // The endpoint may have received a reclaim notice that the router has not seen yet.
        self.check_notice();
    }

    fn release_endpoint(&mut self, endpoint: Name, attempt_outcome: AttemptOutcome) {
        let outcome = match attempt_outcome {
            AttemptOutcome::Finished => Outcome::Finished,
            AttemptOutcome::Cancelled => Outcome::Cancelled,
            AttemptOutcome::Failed => Outcome::Failed,
        };
        let request = self.job.run.request().clone();
        let tokens = self.flight.next_index();
        let event = sill_route::Event::Ended { endpoint, request, tokens, outcome };
        self.app.routing.apply_for_target(self.now(), &self.target(), event);
        if attempt_outcome != AttemptOutcome::Cancelled {
            self.upstream = None;
        }
    }

    fn on_upstream_event(&mut self, event: UpstreamEvent) {
        let Some(epoch) = self.upstream.as_ref().map(|u| u.epoch) else {
            return;
        };
        match event {
            UpstreamEvent::Head => {}
            UpstreamEvent::Part(part) => self.on_part(epoch, &part),
            UpstreamEvent::ConnectFailure(why) => {
                self.note(format!("attempt {} was not connected: {why}", epoch.0));
                self.events.push_back(Event::ConnectFailed { epoch });
            }
            UpstreamEvent::Cut(why) => {
                self.note(format!("attempt {} was cut: {why}", epoch.0));
                self.events.push_back(Event::StreamCut { epoch });
            }
            UpstreamEvent::Reply(reply) => {
                let status = reply.status;
                if status >= 400 {
                    self.note(format!("attempt {} got status {status}", epoch.0));
                }
                self.reply = Some(reply);
                self.events.push_back(Event::Rejected { epoch, status });
            }
        }
    }

    /// Sends the buffer if the caller's channel has capacity; discards it if no caller is
    /// connected.
    fn flush(&mut self) {
        if self.send_buffer.is_empty() {
            return;
        }
        let Some(sender) = &self.job.sender else {
            self.send_buffer.clear();
            return;
        };
        if let Ok(permit) = sender.try_reserve() {
            permit.send(ResponseItem::Data(Bytes::from(std::mem::take(&mut self.send_buffer))));
        }
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        // Needed after a panic too: followers of the request would wait for its end forever.
        if self.job.run.end().is_none() {
            self.job.run.set_end(RunEnd::Abandoned);
            self.app.runs.close(self.now(), &self.job.run);
        }
    }
}

impl Timer {
    fn new() -> Self {
        Self { deadline: Millis::MAX, sleep: Box::pin(tokio::time::sleep(MAX_SLEEP.into())) }
    }

    fn set(&mut self, now: Millis, deadline: Millis) {
        if deadline < self.deadline {
            self.deadline = deadline;
            let span = deadline.since(now).min(MAX_SLEEP);
            self.sleep.as_mut().reset(tokio::time::Instant::now() + span.into());
        }
    }
}

fn drop_label(dropped: DropReason) -> &'static str {
    match dropped {
        DropReason::StaleAttempt => "late",
        DropReason::DuplicateToken => "repeat",
    }
}

async fn next_upstream_event(upstream: &mut Option<Upstream>) -> UpstreamEvent {
    match upstream {
        Some(upstream) => upstream.next_event().await,
        None => std::future::pending().await,
    }
}

async fn recv_reply<T>(receiver: &mut Option<oneshot::Receiver<T>>) -> Option<T> {
    match receiver {
        Some(receiver) => receiver.await.ok(),
        None => std::future::pending().await,
    }
}

/// Waits until the caller's channel has capacity. Never completes for a disconnected caller, which
/// [`caller_disconnect`] reports.
///
/// Reporting capacity for a closed channel would hang the worker thread: the buffer can't be sent,
/// so the driver would be woken again at once and never yield to the other requests of the thread.
async fn send_capacity(sender: &Option<ResponseSender>) {
    let Some(sender) = sender else {
        return std::future::pending().await;
    };
    if sender.reserve().await.is_err() {
        std::future::pending().await
    }
}

async fn caller_disconnect(sender: &Option<ResponseSender>) {
    match sender {
        Some(sender) => sender.closed().await,
        None => std::future::pending().await,
    }
}
