//! `/drain`: records an operator's request to drain a subject.

use ntex::web::{HttpRequest, HttpResponse, types};
use sill_base::event;
use sill_net::http;

use crate::api::caller;
use crate::api::reply::{App, error_response, refusal_status};
use crate::api::tree::{no_outcome_response, parse_subject, run_on_runtime};
use crate::app::command::DrainAsk;
use crate::app::{Ask, Outcome};
use crate::submit;

pub async fn post(app: App, req: HttpRequest, name: types::Path<String>) -> HttpResponse {
    answer(&app, &req, &name).await.unwrap_or_else(|refusal| refusal)
}

async fn answer(app: &App, req: &HttpRequest, name: &str) -> Result<HttpResponse, HttpResponse> {
    let holder = caller::holder(app, req)?;
    let origin = caller::origin(holder, req)?;
    let ask = Ask::Drain(DrainAsk { origin, subject: parse_subject(name)? });
    let outcome =
        run_on_runtime(app, async move |shared| submit::submit(&shared, &ask).await).await;
    match outcome {
        Ok(Outcome::Drained) => {
            event!(Info, "drain_accepted", subject = name);
            Ok(http::json(200, &serde_json::json!({ "noted": name, "carried_out": false })))
        }
        Ok(Outcome::Refused(refusal)) => Ok(http::json(refusal_status(&refusal), &refusal)),
        Ok(_) => Err(error_response(500, "internal", "an outcome of another kind")),
        Err(failure) => Err(no_outcome_response(app, failure)),
    }
}
