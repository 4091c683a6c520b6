//! `/audit`.

use ntex::web::{HttpRequest, HttpResponse};
use sill_base::Millis;
use sill_net::http;

use crate::api::caller;
use crate::api::reply::{App, refused};
use crate::api::tree::on_runtime;
use crate::app::audit::AuditFilter;
use crate::submit;

pub async fn get(app: App, req: HttpRequest) -> HttpResponse {
    answer(&app, &req).await.unwrap_or_else(|refusal| refusal)
}

async fn answer(app: &App, req: &HttpRequest) -> Result<HttpResponse, HttpResponse> {
    let holder = caller::holder(app, req)?;
    let filter = AuditFilter {
        path: caller::param(req, "path").map(|path| path.trim_matches('/').into()),
        author: caller::param(req, "author").map(Into::into),
        since: time(req, "since")?,
        until: time(req, "until")?,
    };
    on_runtime(app, async |shared| submit::catch_up(&shared).await).await;
    let records = app.log.app().read().audit(&holder.operator(), &filter);
    Ok(http::json(200, &records))
}

fn time(req: &HttpRequest, name: &str) -> Result<Option<Millis>, HttpResponse> {
    let Some(text) = caller::param(req, name) else { return Ok(None) };
    let reason = format!("{name}: expected milliseconds since 1970");
    let at = text.parse().map_err(|_| refused(400, "invalid", &reason))?;
    Ok(Some(Millis(at)))
}
