//! The operators' API.

use std::sync::Arc;

use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde_json::Value;
use sill_base::{Name, event};
use sill_net::http;
use sill_tree::KeyHash;
use sill_tree::effective::is_at_or_above;
use sill_wire::control::{ChangeRefusal, FleetReply, Revision, SubtreeReply};
use sill_wire::header;

use crate::daemon::Shared;
use crate::state::Refusal;

type App = web::types::State<Arc<Shared>>;

/// Adds the routes.
pub fn routes(cfg: &mut ServiceConfig) {
    cfg.service((
        web::resource("/livez").route(web::get().to(livez)),
        web::resource("/readyz").route(web::get().to(livez)),
        web::resource("/fleet").route(web::get().to(fleet)),
        web::resource("/tree").route(web::get().to(get_root)).route(web::put().to(put_root)),
        web::resource("/tree/{path}*")
            .route(web::get().to(get_tree))
            .route(web::put().to(put_tree)),
    ));
}

async fn livez() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn fleet(app: App, req: HttpRequest) -> HttpResponse {
    if author(&app, &req, "").is_none() {
        return refused(403, "forbidden", "the token does not own the root");
    }
    let state = app.state.lock();
    let reply = FleetReply {
        control: app.cfg.name.clone(),
        leader: Some(app.cfg.name.clone()),
        term: 0,
        revision: state.revision(),
        entries: state.entries(app.clock.now()),
        endpoints: Vec::new(),
    };
    http::json(200, &reply)
}

async fn get_root(app: App, req: HttpRequest) -> HttpResponse {
    get(&app, &req, "")
}

async fn get_tree(app: App, req: HttpRequest, path: web::types::Path<String>) -> HttpResponse {
    get(&app, &req, path.trim_matches('/'))
}

async fn put_root(app: App, req: HttpRequest, body: Bytes) -> HttpResponse {
    put(&app, &req, "", &body)
}

async fn put_tree(
    app: App,
    req: HttpRequest,
    path: web::types::Path<String>,
    body: Bytes,
) -> HttpResponse {
    put(&app, &req, path.trim_matches('/'), &body)
}

fn get(app: &Shared, req: &HttpRequest, path: &str) -> HttpResponse {
    if author(app, req, path).is_none() {
        return refused(403, "forbidden", "the token does not own this subtree");
    }
    let state = app.state.lock();
    let Some(subtree) = state.tree().subtrees.get(path) else {
        return refused(404, "not_found", "no such subtree");
    };
    let reply = SubtreeReply {
        path: path.into(),
        revision: Revision(subtree.revision),
        author: subtree.author.clone(),
        document: serde_json::to_value(&subtree.document).unwrap_or_default(),
    };
    http::json(200, &reply)
}

fn put(app: &Shared, req: &HttpRequest, path: &str, body: &Bytes) -> HttpResponse {
    let Some(author) = author(app, req, path) else {
        return refused(403, "forbidden", "the token does not own this subtree");
    };
    let document: Value = match serde_json::from_slice(body) {
        Ok(document) => document,
        Err(err) => return refused(400, "invalid", &format!("not JSON: {err}")),
    };
    let base = text(req, "if-match").and_then(|t| t.trim_matches('"').parse().ok()).map(Revision);
    let change_id = text(req, header::CHANGE_ID).map(Name::from);
    let result = app.state.lock().put(path.into(), base, change_id, author, document);
    match result {
        Ok(reply) => {
            app.newest.send_replace(reply.revision);
            event!(Info, "change_accepted", path = path, revision = reply.revision.0);
            http::json(200, &reply)
        }
        Err(refusal) => refusal_response(refusal),
    }
}

fn refusal_response(refusal: Refusal) -> HttpResponse {
    match refusal {
        Refusal::Conflict { revision, author } => {
            let mut body = refusal_body("conflict", "another change came first");
            body.revision = Some(revision);
            body.author = Some(author);
            http::json(409, &body)
        }
        Refusal::Invalid(findings) => {
            let mut body = refusal_body("invalid", "the document has faults; nothing was applied");
            body.findings = findings.iter().cloned().collect();
            http::json(400, &body)
        }
        Refusal::Storage(err) => refused(507, "storage_full", &err.to_string()),
    }
}

fn refusal_body(code: &str, message: &str) -> ChangeRefusal {
    ChangeRefusal {
        code: code.into(),
        message: message.to_owned(),
        findings: Vec::new(),
        revision: None,
        author: None,
    }
}

fn refused(status: u16, code: &str, message: &str) -> HttpResponse {
    http::json(status, &refusal_body(code, message))
}

fn text<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|v| v.to_str().ok())
}

/// Returns who the token speaks for, if it owns the path or one above it.
fn author(app: &Shared, req: &HttpRequest, path: &str) -> Option<Name> {
    let authorization = text(req, "authorization")?;
    if app.cfg.root_token.is_bearer(authorization) {
        return Some("root".into());
    }
    let token = authorization.strip_prefix("Bearer ")?;
    let hash = KeyHash::of(token.trim());
    let state = app.state.lock();
    let owners = state.tree().subtrees.iter().filter(|(p, _)| is_at_or_above(p, path));
    let owned = owners.filter(|(_, subtree)| subtree.document.owner.as_ref() == Some(&hash));
    owned.map(|(p, _)| Name::from(format!("owner:{p}"))).next()
}
