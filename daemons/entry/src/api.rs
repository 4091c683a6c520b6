//! The HTTP routes of callers, endpoints and operators.

use std::sync::Arc;

use ntex::client::Client;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde_json::{Value, json};
use sill_base::Name;
use sill_net::http;
use sill_tree::{EffectiveSettings, Service};

use crate::body::Body;
use crate::daemon::Shared;
use crate::{announce, explain, handoff, request, serve};

/// Extractor of the shared state in handlers.
pub type AppState = web::types::State<Arc<Shared>>;

type ClientState = web::types::State<Client>;

/// Registers all routes.
pub fn routes(cfg: &mut ServiceConfig) {
    cfg.service((
        web::resource("/livez").route(web::get().to(livez)),
        web::resource("/readyz").route(web::get().to(readyz)),
        web::resource("/metrics").route(web::get().to(metrics)),
        web::resource("/announce").route(web::post().to(announce::announce)),
        web::resource("/reclaim").route(web::post().to(handoff::reclaim)),
        web::resource("/explain/{id}").route(web::get().to(explain::explain)),
        web::resource("/events").route(web::post().to(announce::events)),
        web::resource("/v1/models").route(web::get().to(models)),
        web::resource("/v1/chat/completions").route(web::post().to(chat)),
        web::resource("/v1/completions").route(web::post().to(chat)),
        web::resource("/s/{service}/{path}*").to(plain),
    ));
}

async fn livez() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readyz(app: AppState) -> HttpResponse {
    if app.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn metrics(app: AppState) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(app.metrics.text())
}

async fn models(app: AppState, req: HttpRequest) -> HttpResponse {
    let settings = app.settings.current();
    let account = match request::find_account(&settings, req.headers()) {
        Ok(account) => account,
        Err(failure) => return failure.response(&app.request_id()),
    };
    let visible = settings.services.values().filter(|s| {
        matches!(s.kind, Service::Model { .. }) && EffectiveSettings::may_use(&account, s)
    });
    let mut names: Vec<&Name> = visible.map(|s| &s.name).collect();
    names.sort();
    let data: Vec<Value> = names
        .iter()
        .map(|n| json!({ "id": n, "object": "model", "created": 0, "owned_by": "buckthornsill" }))
        .collect();
    http::json(200, &json!({ "object": "list", "data": data }))
}

async fn chat(app: AppState, client: ClientState, req: HttpRequest, body: Body) -> HttpResponse {
    let id = app.request_id();
    match request::chat(&app, &req, &body) {
        Ok(request) => serve::chat(&app, &client, id, request).await,
        Err(failure) => serve::refuse_with_failure(&app, &id, failure),
    }
}

async fn plain(
    app: AppState,
    client: ClientState,
    req: HttpRequest,
    path: web::types::Path<PlainPath>,
    body: Body,
) -> HttpResponse {
    let id = app.request_id();
    match request::plain(&app, &req, &path.service, &path.path, body.0) {
        Ok(request) => serve::plain(&app, &client, id, request).await,
        Err(failure) => serve::refuse_with_failure(&app, &id, failure),
    }
}

/// Path parameters of a call of a plain service; `path` is percent-decoded.
#[derive(Debug, serde::Deserialize)]
struct PlainPath {
    service: Name,
    path: String,
}
