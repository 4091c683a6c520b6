//! Parts shared by the handlers: server state, error responses and status codes.

use std::sync::Arc;

use ntex::web::{self, HttpResponse};
use sill_net::http;
use sill_wire::control::ChangeRefusal;

use crate::app::command::refusal;
use crate::shared::Shared;

/// The header of a response that may be outdated, because the instance found no leader.
pub(super) const STALE_HEADER: &str = "sill-stale";

/// The state passed to all handlers.
pub(super) type App = web::types::State<Arc<Shared>>;

/// Returns an error response with a code and a message for the operator.
pub(super) fn error_response(status: u16, code: &str, message: &str) -> HttpResponse {
    http::json(status, &refusal(code, message))
}

/// Returns the HTTP status for a refused change.
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
