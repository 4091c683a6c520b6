//! `/rollouts`: orders to move a service to another software version, and their states.

use std::sync::Arc;

use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse, types};
use serde::Deserialize;
use sill_base::Name;
use sill_net::http;

use crate::api::caller;
use crate::api::reply::{App, error_response};
use crate::app::command::Holder;
use crate::app::rollouts::OrderOutcome;
use crate::rollouts::{self, OrderReading};

/// The body of an order.
#[derive(Debug, Deserialize)]
struct OrderBody {
    /// The version to move to.
    to: Name,
    /// Time from the order to its deadline.
    duration_ms: f64,
}

type Answer = Result<HttpResponse, HttpResponse>;

pub async fn post(
    app: App,
    req: HttpRequest,
    service: types::Path<String>,
    body: Bytes,
) -> HttpResponse {
    answer_post(&app, &req, &service, &body).await.unwrap_or_else(|refusal| refusal)
}

pub async fn get(app: App, req: HttpRequest, service: types::Path<String>) -> HttpResponse {
    answer_get(&app, &req, &service).await.unwrap_or_else(|refusal| refusal)
}

async fn answer_post(app: &App, req: &HttpRequest, service: &str, body: &Bytes) -> Answer {
    check_access(app, req)?;
    let order: OrderBody = serde_json::from_slice(body)
        .map_err(|err| error_response(400, "invalid", &err.to_string()))?;
    if !Name::is_well_formed(&order.to) {
        return Err(error_response(400, "invalid", "to: not a well-formed name"));
    }
    let duration = rollouts::duration(order.duration_ms / 1000.0)
        .ok_or_else(|| error_response(400, "invalid", "duration_ms: expected a number above 0"))?;
    let (shared, service): (_, Name) = (Arc::clone(app), service.into());
    let begun = async move { rollouts::begin(&shared, service, order.to, duration).await };
    match app.run_on_runtime(begun).await {
        Some(OrderOutcome::Ordered { order }) => {
            Ok(http::json(200, &serde_json::json!({ "order": order })))
        }
        Some(OrderOutcome::AlreadyEnded) => Ok(http::json(200, &serde_json::json!({}))),
        Some(refused) => Err(refusal(refused)),
        None => {
            let message = "no quorum of control instances; the outcome is unknown, send it again";
            Err(error_response(503, "no_quorum", message))
        }
    }
}

async fn answer_get(app: &App, req: &HttpRequest, service: &str) -> Answer {
    check_access(app, req)?;
    let (shared, name) = (Arc::clone(app), service.to_owned());
    match app.run_on_runtime(async move { rollouts::read(&shared, &name).await }).await {
        Some(Some(OrderReading { status, to })) => {
            Ok(http::json(200, &serde_json::json!({ "state": status, "to": to })))
        }
        Some(None) => Err(error_response(404, "not_found", "the service has no order")),
        None => Err(error_response(503, "no_quorum", "there may be a newer state")),
    }
}

/// Roll-outs concern all accounts of a service, so only the root's token may order them.
fn check_access(app: &App, req: &HttpRequest) -> Result<(), HttpResponse> {
    if caller::holder(app, req)? != Holder::Root {
        let message = "only the root's token may order roll-outs";
        return Err(error_response(403, "forbidden", message));
    }
    match app.cfg.rollouts {
        Some(_) => Ok(()),
        None => Err(error_response(404, "not_found", "roll-outs are not enabled")),
    }
}

fn refusal(outcome: OrderOutcome) -> HttpResponse {
    let (status, code, message) = match outcome {
        OrderOutcome::InProgress => (409, "in_progress", "the order is in progress"),
        OrderOutcome::UnknownService => {
            (404, "unknown_service", "the settings in force do not name the service")
        }
        OrderOutcome::OtherInProgress => {
            (422, "other_in_progress", "an order for another version is in progress")
        }
        OrderOutcome::TooMany => (422, "too_many", "too many orders are in progress"),
        OrderOutcome::Ordered { .. } | OrderOutcome::AlreadyEnded => {
            (500, "internal", "no refusal")
        }
    };
    error_response(status, code, message)
}
