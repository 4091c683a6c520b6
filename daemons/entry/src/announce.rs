//! Receives announcements and cache events of endpoints.

use std::sync::Arc;

use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};
use serde::de::DeserializeOwned;
use sill_base::{Name, event};
use sill_net::http::{self, Failure};
use sill_wire::endpoint::CacheEvents;
use sill_wire::{Announcement, ErrorCode};

use crate::daemon::Shared;

/// `POST /announce`: an endpoint announces its address, load and state.
pub async fn announce(
    app: web::types::State<Arc<Shared>>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let announcement: Announcement = match parse_authorized(&app, &req, &body) {
        Ok(announcement) => announcement,
        Err(failure) => return refuse(&req, failure),
    };
    match app
        .members
        .step(&app.routing, sill_member::Event::Announcement(announcement))
        .announce_reply
    {
        Some(reply) => http::json(200, &reply),
        None => Failure::new(ErrorCode::Internal, "no answer").response(&Name::default()),
    }
}

/// `POST /events`: an endpoint reports changes of its prefix cache.
pub async fn events(
    app: web::types::State<Arc<Shared>>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let events: CacheEvents = match parse_authorized(&app, &req, &body) {
        Ok(events) => events,
        Err(failure) => return refuse(&req, failure),
    };
    app.routing.apply(app.clock.now(), sill_route::Event::Cache(events));
    HttpResponse::NoContent().finish()
}

/// Parses the body of a request that is authorized by the join token.
fn parse_authorized<T>(app: &Shared, req: &HttpRequest, body: &[u8]) -> Result<T, Failure>
where
    T: DeserializeOwned,
{
    let authorization = req.headers().get("authorization").and_then(|v| v.to_str().ok());
    if !authorization.is_some_and(|header| app.cfg.join_token.is_bearer(header)) {
        return Err(Failure::new(ErrorCode::Unauthorized, "wrong join token"));
    }
    serde_json::from_slice(body)
        .map_err(|err| Failure::new(ErrorCode::BadRequest, format!("body: {err}")))
}

fn refuse(req: &HttpRequest, failure: Failure) -> HttpResponse {
    let from = req.peer_addr().map(|a| a.to_string()).unwrap_or_default();
    event!(Warn, "announcement_refused", from = from, reason = failure.message);
    failure.response(&Name::default())
}
