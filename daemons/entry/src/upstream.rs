//! Sends requests to endpoints and their answers back.

use std::sync::Arc;

use futures_util::StreamExt;
use ntex::client::{Client, ClientResponse};
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};
use prometheus::IntGauge;
use serde_json::Value;
use sill_base::Name;
use sill_net::http::Failure;
use sill_wire::chat::ChatSummary;
use sill_wire::{Announcement, ErrorCode, header};

use crate::api::PlainPath;
use crate::daemon::Shared;

/// A checked request for a model's answer.
#[derive(Debug, Clone)]
pub struct Ask {
    /// What the system needs to know of it.
    pub summary: ChatSummary,
    /// The body as the caller sent it.
    pub body: Value,
}

/// Counts a request as in flight until dropped.
struct InFlight(IntGauge);

impl InFlight {
    fn begin(app: &Shared) -> Self {
        app.metrics.accepted.inc();
        app.metrics.in_flight.inc();
        Self(app.metrics.in_flight.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.dec();
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
    ask: Ask,
) -> Result<HttpResponse, Failure> {
    let endpoint = choose(app, |a| a.has_model(&ask.summary.model))?;
    let in_flight = InFlight::begin(app);
    let url = format!("http://{}/v1/chat/completions", endpoint.address);
    let sent = client
        .post(url)
        .set_header(header::REQUEST_ID, id.as_str())
        .send_json(&ask.body);
    let res = sent
        .await
        .map_err(|err| Failure::new(ErrorCode::UpstreamFailed, err.to_string()))?;
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
    req: &HttpRequest,
    path: &PlainPath,
    body: Bytes,
) -> Result<HttpResponse, Failure> {
    let endpoint = choose(app, |a| a.has_service(&path.service))?;
    let in_flight = InFlight::begin(app);
    let query = if req.query_string().is_empty() {
        ""
    } else {
        "?"
    };
    let rest = path.path.trim_start_matches('/');
    let url = format!(
        "http://{}/{rest}{query}{}",
        endpoint.address,
        req.query_string()
    );
    let mut out = client
        .request(req.method().clone(), url)
        .set_header(header::REQUEST_ID, id.as_str());
    if let Some(kind) = req.headers().get("content-type") {
        out = out.set_header("content-type", kind.clone());
    }
    let res = out
        .send_body(body)
        .await
        .map_err(|err| Failure::new(ErrorCode::UpstreamFailed, err.to_string()))?;
    Ok(pass_on(app, id, res, in_flight))
}

fn choose<F>(app: &Shared, serves: F) -> Result<Announcement, Failure>
where
    F: Fn(&Announcement) -> bool,
{
    let ready = app.endpoints.ready(app.clock.now(), serves);
    ready
        .into_iter()
        .min_by_key(|a| (a.load.running + a.load.queued, a.name.clone()))
        .ok_or_else(|| Failure {
            not_run: true,
            retry_after: Some(1),
            ..Failure::new(
                ErrorCode::NoCapacity,
                "no endpoint can take the request now",
            )
        })
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
