//! Takes in announcements of endpoints.

use std::sync::Arc;

use ntex::web::{self, HttpRequest, HttpResponse};
use parking_lot::RwLock;
use sill_base::{Map, Millis, Name, event};
use sill_net::http::{self, Failure};
use sill_wire::announce::AnnounceReply;
use sill_wire::{Announcement, ErrorCode};

use crate::daemon::Shared;

/// An endpoint that was not heard of for this long is taken as gone.
const EXPIRY: Millis = Millis(3500);

/// Endpoints that were heard of.
#[derive(Debug, Default)]
pub struct Endpoints(RwLock<Map<Name, Known>>);

#[derive(Debug, Clone)]
struct Known {
    announcement: Announcement,
    heard: Millis,
}

impl Endpoints {
    /// Takes in an announcement; an older life or an older report changes nothing.
    pub fn take(&self, now: Millis, announcement: Announcement) {
        let mut endpoints = self.0.write();
        let newer = endpoints.get(&announcement.name).is_none_or(|known| {
            let before = &known.announcement;
            (announcement.incarnation, announcement.sequence)
                > (before.incarnation, before.sequence)
        });
        if newer {
            endpoints.insert(
                announcement.name.clone(),
                Known {
                    announcement,
                    heard: now,
                },
            );
        }
    }

    /// Returns endpoints that can take new work.
    pub fn ready<F>(&self, now: Millis, serves: F) -> Vec<Announcement>
    where
        F: Fn(&Announcement) -> bool,
    {
        let endpoints = self.0.read();
        let alive = endpoints.values().filter(|k| now - k.heard < EXPIRY);
        alive
            .map(|k| &k.announcement)
            .filter(|a| a.leaving.is_none() && serves(a))
            .cloned()
            .collect()
    }
}

/// `POST /announce`.
pub async fn announce(
    app: web::types::State<Arc<Shared>>,
    req: HttpRequest,
    announcement: web::types::Json<Announcement>,
) -> HttpResponse {
    let authorization = req
        .headers()
        .get("authorization")
        .and_then(|v| v.to_str().ok());
    if !authorization.is_some_and(|header| app.cfg.join_token.is_bearer(header)) {
        event!(
            Warn,
            "announcement_refused",
            name = announcement.name,
            reason = "wrong join token"
        );
        return Failure::new(ErrorCode::Unauthorized, "wrong join token")
            .response(&Name::default());
    }
    app.endpoints
        .take(app.clock.now(), announcement.into_inner());
    http::json(
        200,
        &AnnounceReply {
            accepted: true,
            reason: None,
            entries: Vec::new(),
        },
    )
}
