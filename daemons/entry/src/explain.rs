//! `GET /explain/ID`: returns the journal of a request, which shows how it ended and why.

use std::sync::Arc;

use ntex::web::{self, HttpRequest, HttpResponse};
use sill_base::Name;
use sill_net::http::{self, Failure};
use sill_wire::ErrorCode;

use crate::daemon::Shared;
use crate::request;

/// Returns the journal to the request's client account and to holders of the join token.
pub async fn explain(
    app: web::types::State<Arc<Shared>>,
    req: HttpRequest,
    id: web::types::Path<Name>,
) -> HttpResponse {
    let settings = app.settings.current();
    let authorization = req.headers().get("authorization").and_then(|v| v.to_str().ok());
    let is_operator = authorization.is_some_and(|header| app.cfg.join_token.is_bearer(header));
    let account = request::find_account(&settings, req.headers());
    if let (false, Err(failure)) = (is_operator, &account) {
        return failure.clone().response(&id);
    }
    let record = app.journal.lock().get(&id).cloned();
    let may_see = |owner: &Name| is_operator || account.is_ok_and(|a| a.name == *owner);
    match record {
        Some(record) if may_see(&record.account) => http::json(200, &record),
        _ => {
            let message = "this entry instance knows no such request";
            Failure::new(ErrorCode::NotFound, message).response(&id)
        }
    }
}
