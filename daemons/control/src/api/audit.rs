//! `/audit`: audit records that match the filter and that the operator may read.

use ntex::web::{HttpRequest, HttpResponse};
use sill_base::Millis;
use sill_net::http;

use crate::api::caller;
use crate::api::reply::{App, error_response};
use crate::api::tree::run_on_runtime;
use crate::app::audit::AuditFilter;
use crate::submit;

pub async fn get(app: App, req: HttpRequest) -> HttpResponse {
    answer(&app, &req).await.unwrap_or_else(|refusal| refusal)
}

async fn answer(app: &App, req: &HttpRequest) -> Result<HttpResponse, HttpResponse> {
    let holder = caller::holder(app, req)?;
    let filter = AuditFilter {
        path: caller::query_param(req, "path").map(|path| path.trim_matches('/').into()),
        author: caller::query_param(req, "author").map(Into::into),
        since: time_param(req, "since")?,
        until: time_param(req, "until")?,
    };
    run_on_runtime(app, async |shared| submit::catch_up(&shared).await).await;
    let records = app.log.app().read().audit(&holder.operator(), &filter);
    Ok(http::json(200, &records))
}

fn time_param(req: &HttpRequest, name: &str) -> Result<Option<Millis>, HttpResponse> {
    let Some(text) = caller::query_param(req, name) else { return Ok(None) };
    let reason = format!("{name}: expected milliseconds since 1970");
    let at = text.parse().map_err(|_| error_response(400, "invalid", &reason))?;
    Ok(Some(Millis(at)))
}
