//! The operators' API.

mod announce;
mod audit;
mod caller;
mod drain;
mod health;
mod tree;

use std::sync::Arc;

use ntex::web::{self, HttpResponse, ServiceConfig};
use sill_net::http;
use sill_wire::control::ChangeRefusal;

use crate::app::command::refusal;
use crate::daemon::Shared;

/// Tells that an answer comes from an instance that found no leader, and may be old.
const STALE: &str = "sill-stale";

type App = web::types::State<Arc<Shared>>;

/// Adds the routes.
pub fn routes(cfg: &mut ServiceConfig) {
    cfg.service((
        web::resource("/livez").route(web::get().to(health::livez)),
        web::resource("/readyz").route(web::get().to(health::readyz)),
        web::resource("/metrics").route(web::get().to(health::metrics)),
        web::resource("/fleet").route(web::get().to(health::fleet)),
        web::resource("/announce").route(web::post().to(announce::post)),
        web::resource("/audit").route(web::get().to(audit::get)),
        web::resource("/drain/{name}").route(web::post().to(drain::post)),
        web::resource("/tree")
            .route(web::get().to(tree::get_root))
            .route(web::put().to(tree::put_root)),
        web::resource("/tree/{path}*")
            .route(web::get().to(tree::get))
            .route(web::put().to(tree::put))
            .route(web::delete().to(tree::delete)),
    ));
}

fn refused(status: u16, code: &str, message: &str) -> HttpResponse {
    http::json(status, &refusal(code, message))
}

fn refusal_status(refusal: &ChangeRefusal) -> u16 {
    match &*refusal.code {
        "conflict" | "change_id_reused" => 409,
        "forbidden" => 403,
        "not_found" => 404,
        "too_many" => 429,
        "no_quorum" => 503,
        "storage_full" => 507,
        _ => 400,
    }
}
