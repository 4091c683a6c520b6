//! `/tree`: reads, watches and changes subtrees of the settings.

use std::sync::Arc;

use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse, types};
use sill_base::{Findings, Millis, Name, event};
use sill_net::http;
use sill_tree::DocumentText;
use sill_wire::control::{ChangeReply, Revision, SubtreeReply};

use crate::api::caller;
use crate::api::reply::{App, STALE_HEADER, error_response, refusal_status};
use crate::app::command::{ChangeAsk, Holder};
use crate::app::{Ask, Outcome, decision};
use crate::entry_status;
use crate::shared::Shared;
use crate::submit::{self, NoOutcome};

/// Longest time a watch waits for a newer revision.
const WATCH_TIMEOUT: Millis = Millis(25_000);

/// Longest time to wait until a change is in force. It matches the promised time; waiting longer
/// would contradict the promise.
const IN_FORCE_TIMEOUT: Millis = Millis(6000);

/// Interval between checks of the revisions that entry instances run.
const IN_FORCE_CHECK_INTERVAL: Millis = Millis(10);

pub async fn get_root(app: App, req: HttpRequest) -> HttpResponse {
    answer_get(&app, &req, "").await.unwrap_or_else(|refusal| refusal)
}

pub async fn get(app: App, req: HttpRequest, path: types::Path<String>) -> HttpResponse {
    let answer = answer_get(&app, &req, path.trim_matches('/')).await;
    answer.unwrap_or_else(|refusal| refusal)
}

pub async fn put_root(app: App, req: HttpRequest, body: Bytes) -> HttpResponse {
    answer_put(&app, &req, "", &body).await.unwrap_or_else(|refusal| refusal)
}

pub async fn put(
    app: App,
    req: HttpRequest,
    path: types::Path<String>,
    body: Bytes,
) -> HttpResponse {
    let answer = answer_put(&app, &req, path.trim_matches('/'), &body).await;
    answer.unwrap_or_else(|refusal| refusal)
}

pub async fn delete(app: App, req: HttpRequest, path: types::Path<String>) -> HttpResponse {
    let answer = answer_change(&app, &req, path.trim_matches('/'), None).await;
    answer.unwrap_or_else(|refusal| refusal)
}

type Answer = Result<HttpResponse, HttpResponse>;

async fn answer_get(app: &App, req: &HttpRequest, path: &str) -> Answer {
    let holder = caller::holder(app, req)?;
    let is_fresh = run_on_runtime(app, async |shared| submit::catch_up(&shared).await).await;
    if let Some(seen) = caller::query_param(req, "watch") {
        let current = subtree_revision(app, path);
        let seen = match seen {
            "" => current,
            text => Revision(
                text.parse()
                    .map_err(|_| error_response(400, "invalid", "watch: expected a revision"))?,
            ),
        };
        if !wait_for_newer(app, path, seen).await {
            return Ok(HttpResponse::NoContent().finish());
        }
    }
    let reply = read_subtree(app, &holder, path)?;
    let mut res = http::json(200, &reply);
    if !is_fresh {
        res.headers_mut().insert(
            ntex::http::header::HeaderName::from_static(STALE_HEADER),
            ntex::http::header::HeaderValue::from_static("true"),
        );
    }
    Ok(res)
}

fn read_subtree(app: &App, holder: &Holder, path: &str) -> Result<SubtreeReply, HttpResponse> {
    let state = app.log.app().read();
    let Some(subtree) = state.tree().subtrees.get(path) else {
        return Err(error_response(404, "not_found", "no such subtree"));
    };
    let is_owner = state.tree().is_owned_by(&holder.operator(), path);
    let document = match is_owner {
        true => serde_json::to_value(&*subtree.document),
        false => serde_json::to_value(sill_tree::redact(&subtree.document)),
    };
    Ok(SubtreeReply {
        path: path.into(),
        revision: Revision(subtree.revision),
        author: subtree.author.clone(),
        document: document.unwrap_or_default(),
    })
}

fn subtree_revision(app: &App, path: &str) -> Revision {
    let state = app.log.app().read();
    Revision(state.tree().subtrees.get(path).map_or(0, |subtree| subtree.revision))
}

async fn wait_for_newer(app: &App, path: &str, seen: Revision) -> bool {
    let mut revision = app.log.revision();
    let newer = async {
        while subtree_revision(app, path) <= seen {
            if revision.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::time::timeout(WATCH_TIMEOUT.into(), newer).await.is_ok()
}

async fn answer_put(app: &App, req: &HttpRequest, path: &str, body: &Bytes) -> Answer {
    let (name, body) = (path.to_owned(), body.clone());
    let read = move || {
        // A duplicate name can be detected only in the text; the library keeps the last one.
        let document = sill_tree::read_json(&name, &body)?;
        Ok(DocumentText::from(&document))
    };
    let document = app.run_document_read(read).await;
    let document =
        document.map_err(|findings: Findings| http::json(400, &decision::invalid(findings)))?;
    answer_change(app, req, path, Some(document)).await
}

async fn answer_change(
    app: &App,
    req: &HttpRequest,
    path: &str,
    document: Option<DocumentText>,
) -> Answer {
    let holder = caller::holder(app, req)?;
    let base = if_match(req)?;
    let origin = caller::origin(holder, req)?;
    let ask = Ask::Change(ChangeAsk { origin, path: path.into(), base, document, edition: None });
    let outcome =
        run_on_runtime(app, async move |shared| submit::submit(&shared, &ask).await).await;
    match outcome {
        Ok(Outcome::Changed(mut reply)) => {
            app.metrics.changes_accepted.inc();
            event!(Info, "change_accepted", path = path, revision = reply.revision.0);
            if caller::query_param(req, "wait") == Some("in_force") {
                reply.in_force = wait_in_force(app, &reply).await;
            }
            Ok(http::json(200, &reply))
        }
        Ok(Outcome::Refused(refusal)) => {
            app.metrics.changes_refused.inc();
            event!(Info, "change_refused", path = path, code = refusal.code);
            Ok(http::json(refusal_status(&refusal), &refusal))
        }
        Ok(_) => Err(error_response(500, "internal", "an outcome of another kind")),
        Err(failure) => Err(no_outcome_response(app, failure)),
    }
}

/// Reads `If-Match`. A malformed value must not count as absent: the operator meant to change one
/// certain revision, and would overwrite every later change.
fn if_match(req: &HttpRequest) -> Result<Option<Revision>, HttpResponse> {
    if !req.headers().contains_key("if-match") {
        return Ok(None);
    }
    let text = caller::header_text(req, "if-match").unwrap_or_default().trim().trim_matches('"');
    let revision =
        text.parse().map_err(|_| caller::invalid_header("If-Match", "expected a revision"))?;
    Ok(Some(Revision(revision)))
}

async fn wait_in_force(app: &App, reply: &ChangeReply) -> bool {
    let end = app.clock.now() + IN_FORCE_TIMEOUT;
    run_on_runtime(app, async |shared| entry_status::calls::pull_from_peers(&shared).await).await;
    while app.clock.now() < end {
        if app.entry_status.all_run(app.clock.now(), reply.revision) {
            return true;
        }
        tokio::time::sleep(IN_FORCE_CHECK_INTERVAL.into()).await;
    }
    false
}

/// Returns the response to a request without an outcome: a full disk, or no quorum.
pub(super) fn no_outcome_response(app: &App, failure: NoOutcome) -> HttpResponse {
    let fault = app.log.status().disk_fault;
    let message = match failure {
        NoOutcome::NotWritten if fault.is_some() => {
            let fault = fault.unwrap_or_default();
            return error_response(507, "storage_full", &format!("nothing was changed: {fault}"));
        }
        NoOutcome::NotWritten => "no quorum of control instances; nothing was changed",
        NoOutcome::Unknown => {
            "no quorum of control instances; whether the change was made is unknown: send it again \
             with the same Change-Id"
        }
    };
    error_response(503, "no_quorum", message)
}

/// Runs a task on the runtime of the peer calls.
pub(super) async fn run_on_runtime<F, Fut, T>(app: &App, task: F) -> T
where
    F: FnOnce(Arc<Shared>) -> Fut,
    Fut: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    app.run_on_runtime(task(Arc::clone(app))).await
}

/// Parses the name of a subject from a part of a path.
pub(super) fn parse_subject(text: &str) -> Result<Name, HttpResponse> {
    match Name::is_well_formed(text) {
        true => Ok(text.into()),
        false => Err(error_response(400, "invalid", "not a well-formed name")),
    }
}
