//! `/tree`.

use std::sync::Arc;

use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse, types};
use sill_base::{Findings, Millis, Name, event};
use sill_net::http;
use sill_tree::DocumentText;
use sill_wire::control::{ChangeReply, Revision, SubtreeReply};

use crate::api::caller;
use crate::api::reply::{App, STALE, refusal_status, refused};
use crate::app::command::{ChangeAsk, Holder};
use crate::app::{Ask, Outcome, decision};
use crate::entry_status;
use crate::shared::Shared;
use crate::submit::{self, NoOutcome};

/// How long a watch waits for a newer revision.
const WATCH: Millis = Millis(25_000);

/// How long a change may wait until it is in force; more would be against the promise.
const IN_FORCE: Millis = Millis(6000);

/// Pause between two looks at what entry instances run.
const LOOK: Millis = Millis(10);

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
    let is_fresh = on_runtime(app, async |shared| submit::catch_up(&shared).await).await;
    if let Some(seen) = caller::param(req, "watch") {
        let current = subtree_revision(app, path);
        let seen = match seen {
            "" => current,
            text => Revision(
                text.parse().map_err(|_| refused(400, "invalid", "watch: expected a revision"))?,
            ),
        };
        if !newer_than(app, path, seen).await {
            return Ok(HttpResponse::NoContent().finish());
        }
    }
    let reply = read(app, &holder, path)?;
    let mut res = http::json(200, &reply);
    if !is_fresh {
        res.headers_mut().insert(
            ntex::http::header::HeaderName::from_static(STALE),
            ntex::http::header::HeaderValue::from_static("true"),
        );
    }
    Ok(res)
}

fn read(app: &App, holder: &Holder, path: &str) -> Result<SubtreeReply, HttpResponse> {
    let state = app.log.app().read();
    let Some(subtree) = state.tree().subtrees.get(path) else {
        return Err(refused(404, "not_found", "no such subtree"));
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

async fn newer_than(app: &App, path: &str, seen: Revision) -> bool {
    let mut revision = app.log.revision();
    let newer = async {
        while subtree_revision(app, path) <= seen {
            if revision.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::time::timeout(WATCH.into(), newer).await.is_ok()
}

async fn answer_put(app: &App, req: &HttpRequest, path: &str, body: &Bytes) -> Answer {
    let (name, body) = (path.to_owned(), body.clone());
    let read = move || {
        // A name that stands twice is seen in the text alone; the library keeps the last one.
        let document = sill_tree::read_json(&name, &body)?;
        Ok(DocumentText::from(&document))
    };
    let document = app.read_aside(read).await;
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
    let base = base(req)?;
    let origin = caller::origin(holder, req)?;
    let ask = Ask::Change(ChangeAsk { origin, path: path.into(), base, document, edition: None });
    let outcome = on_runtime(app, async move |shared| submit::submit(&shared, &ask).await).await;
    match outcome {
        Ok(Outcome::Changed(mut reply)) => {
            app.metrics.accepted.inc();
            event!(Info, "change_accepted", path = path, revision = reply.revision.0);
            if caller::param(req, "wait") == Some("in_force") {
                reply.in_force = in_force(app, &reply).await;
            }
            Ok(http::json(200, &reply))
        }
        Ok(Outcome::Refused(refusal)) => {
            app.metrics.refused.inc();
            event!(Info, "change_refused", path = path, code = refusal.code);
            Ok(http::json(refusal_status(&refusal), &refusal))
        }
        Ok(_) => Err(refused(500, "internal", "an outcome of another kind")),
        Err(failure) => Err(no_outcome(app, failure)),
    }
}

/// Reads `If-Match`. What can't be read must not count as absent: the operator meant to change
/// one certain revision, and would overwrite whatever came since.
fn base(req: &HttpRequest) -> Result<Option<Revision>, HttpResponse> {
    if !req.headers().contains_key("if-match") {
        return Ok(None);
    }
    let text = caller::text(req, "if-match").unwrap_or_default().trim().trim_matches('"');
    let revision =
        text.parse().map_err(|_| caller::bad_header("If-Match", "expected a revision"))?;
    Ok(Some(Revision(revision)))
}

async fn in_force(app: &App, reply: &ChangeReply) -> bool {
    let end = app.clock.now() + IN_FORCE;
    on_runtime(app, async |shared| entry_status::calls::pull_from_peers(&shared).await).await;
    while app.clock.now() < end {
        if app.running.all_run(app.clock.now(), reply.revision) {
            return true;
        }
        tokio::time::sleep(LOOK.into()).await;
    }
    false
}

/// Answers an ask that has no outcome.
pub(super) fn no_outcome(app: &App, failure: NoOutcome) -> HttpResponse {
    let fault = app.log.status().disk_fault;
    let message = match failure {
        NoOutcome::NotWritten if fault.is_some() => {
            let fault = fault.unwrap_or_default();
            return refused(507, "storage_full", &format!("nothing was changed: {fault}"));
        }
        NoOutcome::NotWritten => "no quorum of control instances; nothing was changed",
        NoOutcome::Unknown => {
            "no quorum of control instances; whether the change was made is unknown: send it again \
             with the same Change-Id"
        }
    };
    refused(503, "no_quorum", message)
}

/// Runs something on the runtime of the peer calls.
pub(super) async fn on_runtime<F, Fut, T>(app: &App, task: F) -> T
where
    F: FnOnce(Arc<Shared>) -> Fut,
    Fut: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    app.on_runtime(task(Arc::clone(app))).await
}

/// Names a subject by a part of a path.
pub(super) fn subject(text: &str) -> Result<Name, HttpResponse> {
    match Name::is_well_formed(text) {
        true => Ok(text.into()),
        false => Err(refused(400, "invalid", "not a well-formed name")),
    }
}
