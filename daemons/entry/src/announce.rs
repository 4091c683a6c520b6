//! Takes in announcements of endpoints.

use std::sync::Arc;

use ntex::web::{self, HttpRequest, HttpResponse};
use sill_base::{Millis, Name, event};
use sill_net::http::{self, Failure};
use sill_route::Event;
use sill_wire::announce::AnnounceReply;
use sill_wire::{Announcement, ErrorCode};

use crate::daemon::Shared;

/// `POST /announce`.
pub async fn announce(
    app: web::types::State<Arc<Shared>>,
    req: HttpRequest,
    announcement: web::types::Json<Announcement>,
) -> HttpResponse {
    let authorization = req.headers().get("authorization").and_then(|v| v.to_str().ok());
    if !authorization.is_some_and(|header| app.cfg.join_token.is_bearer(header)) {
        event!(Warn, "announcement_refused", name = announcement.name, reason = "wrong join token");
        return Failure::new(ErrorCode::Unauthorized, "wrong join token")
            .response(&Name::default());
    }
    app.routing.hear(
        app.clock.now(),
        Event::Announced { announcement: announcement.into_inner(), age: Millis::ZERO },
    );
    http::json(200, &AnnounceReply { accepted: true, reason: None, entries: Vec::new() })
}
