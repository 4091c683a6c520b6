//! Sends requests to endpoints and their answers back.

use std::sync::Arc;

use futures_util::StreamExt;
use ntex::client::{Client, ClientResponse};
use ntex::web::HttpResponse;
use sill_base::{Millis, Name};
use sill_net::http::Failure;
use sill_route::{Ask, Choice, Chosen, Event, Outcome, Target};
use sill_wire::{ErrorCode, header, prefix};

use crate::ask::{ChatAsk, PlainAsk};
use crate::daemon::Shared;

/// Counts a request as in flight until dropped.
struct InFlight {
    app: Arc<Shared>,
    target: Target,
    endpoint: Name,
    request: Name,
}

impl InFlight {
    fn begin(app: &Arc<Shared>, ask: &Ask, chosen: &Chosen) -> Self {
        app.metrics.accepted.inc();
        app.metrics.in_flight.inc();
        Self {
            app: app.clone(),
            target: ask.target.clone(),
            endpoint: chosen.endpoint.clone(),
            request: ask.request.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.app.metrics.in_flight.dec();
        let ended = Event::Ended {
            endpoint: self.endpoint.clone(),
            request: self.request.clone(),
            tokens: 0,
            outcome: Outcome::Finished,
        };
        self.app.routing.hear_about(self.app.clock.now(), &self.target, ended);
    }
}

/// Sees a model request through.
///
/// # Errors
///
/// Returns the answer to give when no endpoint could be reached.
pub async fn chat(
    app: &Arc<Shared>,
    client: &Client,
    id: &Name,
    ask: ChatAsk,
) -> Result<HttpResponse, Failure> {
    let blocks = prefix::blocks(&ask.summary.model, &ask.summary.prompt);
    let routed = Ask {
        request: id.clone(),
        target: Target::Model(ask.summary.model.clone()),
        blocks: blocks.into(),
        prompt_tokens: prefix::tokens(&ask.summary.prompt),
        max_tokens: ask.summary.max_tokens,
        priority: ask.common.priority,
        deadline: ask.common.deadline.map_or(Millis::MAX, |span| app.clock.now() + span),
        exclude: Vec::new(),
    };
    let chosen = choose(app, &routed)?;
    let in_flight = InFlight::begin(app, &routed, &chosen);
    let url = format!("http://{}{}", chosen.address, ask.path);
    let sent = client.post(url).set_header(header::REQUEST_ID, id.as_str()).send_json(&ask.body);
    let res = sent.await.map_err(|err| Failure::new(ErrorCode::UpstreamFailed, err.to_string()))?;
    Ok(pass_on(app, id, res, in_flight))
}

/// Sees a call of a plain service through.
///
/// # Errors
///
/// Returns the answer to give when no endpoint could be reached.
pub async fn plain(
    app: &Arc<Shared>,
    client: &Client,
    id: &Name,
    ask: PlainAsk,
) -> Result<HttpResponse, Failure> {
    let routed = Ask {
        request: id.clone(),
        target: Target::Service(ask.service.clone()),
        blocks: Arc::from([]),
        prompt_tokens: 0,
        max_tokens: 0,
        priority: ask.common.priority,
        deadline: ask.common.deadline.map_or(Millis::MAX, |span| app.clock.now() + span),
        exclude: Vec::new(),
    };
    let chosen = choose(app, &routed)?;
    let in_flight = InFlight::begin(app, &routed, &chosen);
    let url = format!("http://{}{}", chosen.address, ask.path);
    let mut out = client.request(ask.method, url).set_header(header::REQUEST_ID, id.as_str());
    if let Some(kind) = ask.content_type {
        out = out.set_header("content-type", kind);
    }
    let res = out
        .send_body(ask.body)
        .await
        .map_err(|err| Failure::new(ErrorCode::UpstreamFailed, err.to_string()))?;
    Ok(pass_on(app, id, res, in_flight))
}

fn choose(app: &Shared, ask: &Ask) -> Result<Chosen, Failure> {
    match app.routing.choose(app.clock.now(), ask) {
        Choice::Endpoint(chosen) => Ok(chosen),
        Choice::Refuse(refusal) => Err(Failure {
            not_run: true,
            retry_after: Some(refusal.retry_after.0.div_ceil(1000) as u32),
            ..Failure::new(ErrorCode::NoCapacity, "no endpoint can take the request now")
        }),
    }
}

fn pass_on(app: &Arc<Shared>, id: &Name, res: ClientResponse, in_flight: InFlight) -> HttpResponse {
    let mut out = HttpResponse::build(res.status());
    out.set_header(header::REQUEST_ID, id.as_str());
    if let Some(kind) = res.headers().get("content-type") {
        out.set_header("content-type", kind.clone());
    }
    let payload = res.take_payload();
    let app = app.clone();
    let body = payload.map(move |chunk| {
        let _held = &in_flight;
        chunk
    });
    let ended = futures_util::stream::poll_fn(move |_| {
        app.metrics.answered.inc();
        std::task::Poll::Ready(None)
    });
    out.streaming(Box::pin(body.chain(ended)))
}
