//! Takes in announcements and cache events of endpoints.

use std::sync::Arc;

use ntex::web::{self, HttpRequest, HttpResponse};
use sill_base::{Name, event};
use sill_net::http::{self, Failure};
use sill_wire::endpoint::CacheEvents;
use sill_wire::{Announcement, ErrorCode};

use crate::daemon::Shared;

/// `POST /announce`.
pub async fn announce(
    app: web::types::State<Arc<Shared>>,
    req: HttpRequest,
    announcement: web::types::Json<Announcement>,
) -> HttpResponse {
    if !has_join_token(&app, &req) {
        event!(Warn, "announcement_refused", name = announcement.name, reason = "wrong join token");
        return wrong_token();
    }
    let heard = sill_member::Event::Announced(announcement.into_inner());
    match app.members.step(&app.routing, heard).accept {
        Some(reply) => http::json(200, &reply),
        None => Failure::new(ErrorCode::Internal, "no answer").response(&Name::default()),
    }
}

/// `POST /events`.
pub async fn events(
    app: web::types::State<Arc<Shared>>,
    req: HttpRequest,
    events: web::types::Json<CacheEvents>,
) -> HttpResponse {
    if !has_join_token(&app, &req) {
        event!(Warn, "events_refused", name = events.name, reason = "wrong join token");
        return wrong_token();
    }
    app.routing.hear(app.clock.now(), sill_route::Event::Cache(events.into_inner()));
    HttpResponse::NoContent().finish()
}

fn has_join_token(app: &Shared, req: &HttpRequest) -> bool {
    let authorization = req.headers().get("authorization").and_then(|v| v.to_str().ok());
    authorization.is_some_and(|header| app.cfg.join_token.is_bearer(header))
}

fn wrong_token() -> HttpResponse {
    Failure::new(ErrorCode::Unauthorized, "wrong join token").response(&Name::default())
}
