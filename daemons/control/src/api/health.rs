//! `/livez`, `/readyz`, `/metrics` and `/fleet`.

use ntex::web::{HttpRequest, HttpResponse};
use sill_net::http;
use sill_wire::control::FleetReply;

use crate::api::caller;
use crate::api::reply::{App, error_response};

pub async fn livez() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// Reports whether this instance can accept changes: its disk is writable and it has a leader.
pub async fn readyz(app: App) -> HttpResponse {
    let status = app.log.status();
    if let Some(fault) = status.disk_fault {
        return error_response(503, "storage_full", &fault);
    }
    match status.leader {
        Some(_) => HttpResponse::Ok().body("ok\n"),
        None => error_response(503, "no_quorum", "no leader is known"),
    }
}

pub async fn metrics(app: App) -> HttpResponse {
    match app.metrics.text() {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text),
        Err(err) => error_response(500, "internal", &err.to_string()),
    }
}

pub async fn fleet(app: App, req: HttpRequest) -> HttpResponse {
    if let Err(refusal) = caller::holder(&app, &req) {
        return refusal;
    }
    let status = app.log.status();
    let reply = FleetReply {
        control: app.cfg.name.clone(),
        leader: status.leader,
        term: status.term,
        revision: app.log.app().read().revision(),
        entries: app.entry_status.entries(app.clock.now()),
        endpoints: app.entry_status.endpoints(app.clock.now()),
    };
    http::json(200, &reply)
}
