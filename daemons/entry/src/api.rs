//! The callers' API.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use ntex::client::Client;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde_json::{Value, json};
use sill_base::Name;
use sill_net::http::{self, Failure};
use sill_tree::{Effective, EffectiveAccount, EffectiveService, KeyHash, Service};
use sill_wire::ErrorCode;
use sill_wire::chat::ChatSummary;

use crate::announce;
use crate::daemon::Shared;
use crate::upstream::{self, Ask};

/// The shared state, as handlers get it.
pub type AppState = web::types::State<Arc<Shared>>;

/// Adds the routes.
pub fn routes(cfg: &mut ServiceConfig) {
    cfg.service((
        web::resource("/livez").route(web::get().to(livez)),
        web::resource("/readyz").route(web::get().to(readyz)),
        web::resource("/metrics").route(web::get().to(metrics)),
        web::resource("/announce").route(web::post().to(announce::announce)),
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
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(app.metrics.text())
}

async fn models(app: AppState, req: HttpRequest) -> HttpResponse {
    let settings = app.settings.current();
    let account = match account(&settings, &req) {
        Ok(account) => account,
        Err(failure) => return failure.response(&app.request_id()),
    };
    let visible = settings
        .services
        .values()
        .filter(|s| matches!(s.kind, Service::Model { .. }) && Effective::may_use(&account, s));
    let mut names: Vec<&Name> = visible.map(|s| &s.name).collect();
    names.sort();
    let data: Vec<Value> = names
        .iter()
        .map(|n| json!({ "id": n, "object": "model", "created": 0, "owned_by": "buckthornsill" }))
        .collect();
    http::json(200, &json!({ "object": "list", "data": data }))
}

async fn chat(
    app: AppState,
    client: web::types::State<Client>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let id = app.request_id();
    let result = match checked_chat(&app, &req, &body) {
        Ok(ask) => upstream::chat(&app, &client, &id, ask).await,
        Err(failure) => Err(Failure {
            not_run: true,
            ..failure
        }),
    };
    result.unwrap_or_else(|failure| {
        app.metrics.refused.inc();
        failure.response(&id)
    })
}

fn checked_chat(app: &Shared, req: &HttpRequest, body: &[u8]) -> Result<Ask, Failure> {
    if app.stopping.load(Ordering::Relaxed) {
        return Err(Failure {
            retry_after: Some(1),
            ..Failure::new(ErrorCode::Stopping, "stopping")
        });
    }
    let settings = app.settings.current();
    let account = account(&settings, req)?;
    let body: Value = serde_json::from_slice(body)
        .map_err(|err| Failure::new(ErrorCode::BadRequest, format!("body: not JSON: {err}")))?;
    let summary = ChatSummary::read(&body).map_err(|findings| Failure {
        findings: findings.clone(),
        ..Failure::new(ErrorCode::BadRequest, findings.to_string())
    })?;
    let is_model = |s: &Arc<EffectiveService>| matches!(s.kind, Service::Model { .. });
    let service = settings
        .services
        .get(&summary.model)
        .filter(|s| is_model(s) && Effective::may_use(&account, s));
    let Some(_) = service else {
        let message = format!(
            "model: {:?} is not served to this client account",
            summary.model
        );
        return Err(Failure::new(ErrorCode::NotFound, message));
    };
    Ok(Ask { summary, body })
}

/// Finds the client account by the key in the `Authorization` header.
fn account(settings: &Effective, req: &HttpRequest) -> Result<Arc<EffectiveAccount>, Failure> {
    let header = req
        .headers()
        .get("authorization")
        .and_then(|v| v.to_str().ok());
    let Some(key) = header.and_then(|h| h.strip_prefix("Bearer ")) else {
        return Err(Failure::new(
            ErrorCode::Unauthorized,
            "Authorization: expected `Bearer KEY`",
        ));
    };
    let account = settings.accounts.get(&KeyHash::of(key.trim()));
    account
        .cloned()
        .ok_or_else(|| Failure::new(ErrorCode::Unauthorized, "unknown key"))
}

async fn plain(
    app: AppState,
    client: web::types::State<Client>,
    req: HttpRequest,
    path: web::types::Path<PlainPath>,
    body: Bytes,
) -> HttpResponse {
    let id = app.request_id();
    let result = match checked_plain(&app, &req, &path) {
        Ok(()) => upstream::plain(&app, &client, &id, &req, &path, body).await,
        Err(failure) => Err(Failure {
            not_run: true,
            ..failure
        }),
    };
    result.unwrap_or_else(|failure| {
        app.metrics.refused.inc();
        failure.response(&id)
    })
}

/// The path of a plain service's call.
#[derive(Debug, serde::Deserialize)]
pub struct PlainPath {
    /// The service.
    pub service: Name,
    /// The path below it.
    pub path: String,
}

fn checked_plain(app: &Shared, req: &HttpRequest, path: &PlainPath) -> Result<(), Failure> {
    let settings = app.settings.current();
    let account = account(&settings, req)?;
    let is_plain = |s: &Arc<EffectiveService>| matches!(s.kind, Service::Plain { .. });
    let service = settings
        .services
        .get(&path.service)
        .filter(|s| is_plain(s) && Effective::may_use(&account, s));
    let message = || format!("{:?} is not served to this client account", path.service);
    service
        .map(|_| ())
        .ok_or_else(|| Failure::new(ErrorCode::NotFound, message()))
}
