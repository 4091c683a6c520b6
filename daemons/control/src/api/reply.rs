//! What the answers to operators have in common.

use std::sync::Arc;

use ntex::web::{self, HttpResponse};
use sill_net::http;
use sill_wire::control::ChangeRefusal;

use crate::app::command::refusal;
use crate::shared::Shared;

/// Tells that an answer comes from an instance that found no leader, and may be old.
pub(super) const STALE_HEADER: &str = "sill-stale";

/// What all calls work with.
pub(super) type App = web::types::State<Arc<Shared>>;

/// Refuses a call.
pub(super) fn error_response(status: u16, code: &str, message: &str) -> HttpResponse {
    http::json(status, &refusal(code, message))
}

/// Returns the status for a refused change.
pub(super) fn refusal_status(refusal: &ChangeRefusal) -> u16 {
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
