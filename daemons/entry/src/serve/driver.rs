//! Does what a request's machine asks for: claims, routes, sends, reads, and tells the caller.

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
use sill_wire::Priority;
use sill_wire::claim::ClaimVerdict;
use sill_wire::handoff::HttpReply;
use tokio::sync::{oneshot, watch};

use super::attach::{self, Source};
use super::caller::{Out, Sink};
use super::run::{Run, RunEnd};
use super::upstream::{Came, Outgoing, Upstream};
use crate::claims;
use crate::daemon::Shared;

/// Bytes that wait for a slow caller before the endpoint's answer is read on.
const MAX_WAITING: usize = 64 << 10;

/// The longest that a timer is set for.
const LONGEST_SLEEP: Millis = Millis(3_600_000);

/// How a streamed answer is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Every token as it comes.
    Streamed {
        /// Whether it closes with usage counts.
        include_usage: bool,
    },
    /// At the end, in one piece.
    Whole,
}

/// What the driver needs beside the machine.
#[derive(Debug, Clone)]
pub struct Order {
    /// The request, as others see it.
    pub run: Arc<Run>,
    /// What an endpoint is sent.
    pub outgoing: Outgoing,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Arc<[u64]>,
    /// The priority.
    pub priority: Priority,
    /// How the answer is told.
    pub form: Form,
    /// Where the answer goes.
    pub sink: Option<Sink>,
}

/// Drives one request from admission to its end.
pub struct Driver {
    pub(super) app: Arc<Shared>,
    pub(super) order: Order,
    pub(super) flight: InFlightRequest,
    pub(super) events: VecDeque<Event>,
    pub(super) upstream: Option<Upstream>,
    pub(super) splitter: EventSplitter,
    pub(super) closing: ClosingPieces,
    pub(super) waiting: Vec<u8>,
    pub(super) head_of: Option<Epoch>,
    client: Client,
    actions: Vec<Action>,
    claim: Option<oneshot::Receiver<ClaimVerdict>>,
    pub(super) offer: Option<oneshot::Receiver<Option<Name>>>,
    signals: watch::Receiver<u64>,
    timer: Timer,
    pub(super) ended: Option<RunEnd>,
    reply: Option<HttpReply>,
    pub(super) received: Millis,
    first_at: Option<Millis>,
    accepted: bool,
    pub(super) elsewhere: bool,
}

/// The closing pieces of an attempt, held until its end marker has come: were they sent at once, an
/// attempt cut right then would make the caller see them twice.
#[derive(Debug, Default)]
pub(super) struct ClosingPieces {
    pub(super) finish: Option<String>,
    pub(super) prompt: Option<u32>,
    pub(super) completion: Option<u32>,
}

/// A timer that is set again only when it went off too early, since most deadlines move on.
struct Timer {
    at: Millis,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

enum Happened {
    Came(Came),
    Verdict(ClaimVerdict),
    Offered(Option<Name>),
    CallerGone,
    Room,
    Signal,
    Tick,
}

impl Driver {
    /// Makes the driver of a request.
    pub fn new(app: Arc<Shared>, client: Client, order: Order, flight: InFlightRequest) -> Self {
        let signals = app.signals.subscribe();
        Self {
            received: app.clock.now(),
            app,
            order,
            flight,
            events: VecDeque::new(),
            upstream: None,
            splitter: EventSplitter::default(),
            closing: ClosingPieces::default(),
            waiting: Vec::new(),
            head_of: None,
            client,
            actions: Vec::new(),
            claim: None,
            offer: None,
            signals,
            timer: Timer::new(),
            ended: None,
            reply: None,
            first_at: None,
            accepted: false,
            elsewhere: false,
        }
    }

    /// Runs the request to its end; returns where its answer is followed, if another
    /// request has the same key.
    pub async fn run(mut self, first: Event) -> Option<Source> {
        self.events.push_back(first);
        loop {
            self.settle_events();
            self.flush();
            if self.ended.is_some() {
                break;
            }
            match self.wait().await {
                Happened::Came(came) => self.came(came),
                Happened::Verdict(verdict) => {
                    self.claim = None;
                    self.events.push_back(Event::Claimed(verdict));
                }
                Happened::Offered(taken_by) => self.offered(taken_by),
                Happened::CallerGone => {
                    self.order.sink = None;
                    self.note("the caller went away".to_owned());
                    self.events.push_back(Event::CallerDisconnected);
                }
                Happened::Room => {}
                Happened::Signal => self.signalled(),
                Happened::Tick => self.events.push_back(Event::Tick),
            }
        }
        self.finish().await
    }

    async fn wait(&mut self) -> Happened {
        let now = self.app.clock.now();
        self.timer.set(now, self.flight.wake_at());
        let reads = self.waiting.len() < MAX_WAITING && self.offer.is_none();
        tokio::select! {
            biased;
            came = next(&mut self.upstream), if reads => Happened::Came(came),
            verdict = answer(&mut self.claim) => Happened::Verdict(verdict.unwrap_or(ClaimVerdict::Unavailable)),
            taken_by = answer(&mut self.offer) => Happened::Offered(taken_by.flatten()),
            () = room(&self.order.sink), if !self.waiting.is_empty() => Happened::Room,
            () = closed(&self.order.sink) => Happened::CallerGone,
            _ = self.signals.changed() => Happened::Signal,
            () = self.timer.sleep.as_mut() => {
                self.timer.at = Millis::MAX;
                Happened::Tick
            }
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.app.clock.now()
    }

    pub(super) fn note(&self, what: String) {
        self.app.journal.lock().add_step(self.now(), self.order.run.request(), what);
    }

    pub(super) fn settle_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.flight.step(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            self.actions = actions;
        }
    }

    /// Steps a token, and returns whether it has to be forwarded.
    pub(super) fn takes_token(&mut self, epoch: Epoch, index: u32) -> bool {
        let mut actions = std::mem::take(&mut self.actions);
        self.flight.step(self.app.clock.now(), Event::Token { epoch, index }, &mut actions);
        let mut forward = false;
        for action in actions.drain(..) {
            match action {
                Action::ForwardToken => forward = true,
                action => self.act(action),
            }
        }
        self.actions = actions;
        if forward && self.first_at.is_none() {
            self.first_token();
        }
        forward
    }

    fn first_token(&mut self) {
        let now = self.now();
        self.first_at = Some(now);
        if let Some(place) = self.flight.placement() {
            let endpoint = place.endpoint.clone();
            let request = self.order.run.request().clone();
            let heard = sill_route::Event::FirstToken { endpoint, request };
            self.app.routing.hear_about(now, &self.target(), heard);
        }
    }

    fn target(&self) -> Target {
        match self.order.run.spec.kind {
            ServiceKind::Model => Target::Model(self.order.run.target.clone()),
            ServiceKind::Plain => Target::Service(self.order.run.target.clone()),
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::TakeClaim(ask) => self.claim = Some(claims::ask(&self.app, ask)),
            Action::SettleClaim(ask) => self.app.claims.settle(ask),
            Action::Route { exclude, prompt_tokens, max_tokens } => {
                self.route(exclude, prompt_tokens, max_tokens);
            }
            Action::Dispatch { epoch, placement, resume } => {
                self.dispatch(epoch, &placement, resume)
            }
            Action::Cancel { epoch } => {
                if self.upstream.as_ref().is_some_and(|u| u.epoch == epoch) {
                    self.upstream = None;
                }
            }
            Action::ReleaseEndpoint { endpoint, outcome } => self.left(endpoint, outcome),
            Action::ForwardToken => {}
            Action::Drop(dropped) => self.app.metrics.dropped(name_of(dropped)),
            Action::CountRecomputed { cause, tokens } => {
                self.app.metrics.recomputed(cause, tokens);
                self.note(format!("{tokens} tokens computed again: {}", cause.name()));
            }
            Action::Attach { owner, outcome } => {
                self.note(format!("the key is held by {} at {}", owner.request, owner.entry));
                let request = self.order.run.request();
                self.ended = Some(attach::resolve(&self.app, request, &owner, outcome));
                self.elsewhere = true;
            }
            Action::Finish => {
                self.close_answer();
                self.ended = Some(RunEnd::Whole);
            }
            Action::ForwardError => {
                let reply = self.reply.take();
                self.ended = reply.map(RunEnd::Reply).or(Some(RunEnd::Abandoned));
            }
            Action::Refuse(refusal) => self.ended = Some(RunEnd::NotRun(refusal)),
            Action::Fail(failed) => self.ended = Some(RunEnd::Failed(failed)),
            Action::Abandon => self.ended = Some(RunEnd::Abandoned),
        }
    }

    fn route(&mut self, exclude: Vec<Name>, prompt_tokens: u64, max_tokens: u32) {
        let ask = RouteRequest {
            request: self.order.run.request().clone(),
            target: self.target(),
            blocks: self.order.blocks.clone(),
            prompt_tokens,
            max_tokens,
            // What was accepted has to be seen through, so it goes before all that is new.
            priority: if self.accepted { Priority::High } else { self.order.priority },
            deadline: self.order.run.spec.deadline,
            exclude,
        };
        let event = match self.app.routing.choose(self.now(), &ask) {
            Choice::Endpoint(chosen) => {
                self.note(format!("sent to {}: {}", chosen.endpoint, chosen.why));
                Event::Routed(Placement {
                    endpoint: chosen.endpoint,
                    incarnation: chosen.incarnation,
                    address: chosen.address,
                    cached_tokens: chosen.cached_tokens,
                })
            }
            Choice::Refuse(refusal) => {
                self.note(format!("no endpoint: {:?}", refusal.reason));
                let deadline = refusal.reason == RefusalReason::Deadline;
                Event::NoRoute { deadline, retry_after: refusal.retry_after }
            }
        };
        self.events.push_back(event);
    }

    fn dispatch(&mut self, epoch: Epoch, place: &Placement, resume: Option<ResumePoint>) {
        if !self.accepted {
            self.accepted = true;
            self.app.metrics.accepted.inc();
        }
        if let Some(at) = &resume {
            let how = if at.kv_source.is_some() { "KV cache moved" } else { "computed again" };
            self.note(format!("attempt {} goes on at token {}: {how}", epoch.0, at.next_index));
        }
        self.splitter = EventSplitter::default();
        self.closing = ClosingPieces::default();
        let streams = self.order.run.spec.kind == ServiceKind::Model;
        self.upstream = Some(self.order.run.with_transcript(|transcript| {
            let outgoing = &self.order.outgoing;
            Upstream::send(
                &self.client,
                outgoing,
                epoch,
                place,
                resume.as_ref(),
                transcript,
                streams,
            )
        }));
        // It may have been given notice since the router heard of it last.
        self.check_notice();
    }

    fn left(&mut self, endpoint: Name, how: AttemptOutcome) {
        let outcome = match how {
            AttemptOutcome::Finished => Outcome::Finished,
            AttemptOutcome::Cancelled => Outcome::Cancelled,
            AttemptOutcome::Failed => Outcome::Failed,
        };
        let request = self.order.run.request().clone();
        let tokens = self.flight.next_index();
        let ended = sill_route::Event::Ended { endpoint, request, tokens, outcome };
        self.app.routing.hear_about(self.now(), &self.target(), ended);
        if how != AttemptOutcome::Cancelled {
            self.upstream = None;
        }
    }

    fn came(&mut self, came: Came) {
        let Some(epoch) = self.upstream.as_ref().map(|u| u.epoch) else {
            return;
        };
        match came {
            Came::Began => {}
            Came::Part(part) => self.part(epoch, &part),
            Came::NotConnected(why) => {
                self.note(format!("attempt {} was not connected: {why}", epoch.0));
                self.events.push_back(Event::ConnectFailed { epoch });
            }
            Came::Cut(why) => {
                self.note(format!("attempt {} was cut: {why}", epoch.0));
                self.events.push_back(Event::StreamCut { epoch });
            }
            Came::Whole(reply) => {
                let status = reply.status;
                if status >= 400 {
                    self.note(format!("attempt {} got status {status}", epoch.0));
                }
                self.reply = Some(reply);
                self.events.push_back(Event::Rejected { epoch, status });
            }
        }
    }

    /// Sends what waits, as far as the caller takes it.
    fn flush(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let Some(sink) = &self.order.sink else {
            self.waiting.clear();
            return;
        };
        if let Ok(permit) = sink.try_reserve() {
            permit.send(Out::Part(Bytes::from(std::mem::take(&mut self.waiting))));
        }
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        // Also after a panic: whoever follows the request would wait for its end forever.
        if self.order.run.ended().is_none() {
            self.order.run.end(RunEnd::Abandoned);
            self.app.runs.close(self.now(), &self.order.run);
        }
    }
}

impl Timer {
    fn new() -> Self {
        Self { at: Millis::MAX, sleep: Box::pin(tokio::time::sleep(LONGEST_SLEEP.into())) }
    }

    fn set(&mut self, now: Millis, at: Millis) {
        if at < self.at {
            self.at = at;
            let span = at.since(now).min(LONGEST_SLEEP);
            self.sleep.as_mut().reset(tokio::time::Instant::now() + span.into());
        }
    }
}

fn name_of(dropped: DropReason) -> &'static str {
    match dropped {
        DropReason::StaleAttempt => "late",
        DropReason::DuplicateToken => "repeat",
    }
}

async fn next(upstream: &mut Option<Upstream>) -> Came {
    match upstream {
        Some(upstream) => upstream.next().await,
        None => std::future::pending().await,
    }
}

async fn answer<T>(receiver: &mut Option<oneshot::Receiver<T>>) -> Option<T> {
    match receiver {
        Some(receiver) => receiver.await.ok(),
        None => std::future::pending().await,
    }
}

/// Waits until the caller takes more. One that is gone never does, and [`closed`] tells of it.
///
/// To call that room as well would hang the worker thread: what waits can't be sent, so the driver
/// would find room again at once, without ever letting the thread's other requests go on.
async fn room(sink: &Option<Sink>) {
    let Some(sink) = sink else {
        return std::future::pending().await;
    };
    if sink.reserve().await.is_err() {
        std::future::pending().await
    }
}

async fn closed(sink: &Option<Sink>) {
    match sink {
        Some(sink) => sink.closed().await,
        None => std::future::pending().await,
    }
}
