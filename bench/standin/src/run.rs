//! Runs of a model, which may be resumed at a token and migrated with their KV cache.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures_util::stream;
use ntex::client::Client;
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};
use serde_json::{Value, json};
use sill_base::{Millis, Name};
use sill_net::http::{self, Failure};
use sill_wire::chat::{ChatSummary, Usage};
use sill_wire::endpoint::{LedgerEntry, Resume, RunEnd};
use sill_wire::{ErrorCode, header, prefix};
use tokio::sync::OwnedSemaphorePermit;

use crate::answer::{Answer, chunk};
use crate::endpoint::{Shared, attempt, idempotency_key, pause, request_header};
use crate::kv;
use crate::ledger::RunId;

/// `POST /v1/chat/completions` and `POST /v1/completions`.
pub(crate) async fn chat(
    app: web::types::State<Arc<Shared>>,
    client: web::types::State<Client>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let request = request_header(&req, header::REQUEST_ID);
    let Ok(body) = serde_json::from_slice::<Value>(&body) else {
        return Failure::new(ErrorCode::BadRequest, "not JSON").response(&request);
    };
    let summary = match ChatSummary::read(&body) {
        Ok(summary) => summary,
        Err(findings) => {
            return Failure::new(ErrorCode::BadRequest, findings.to_string()).response(&request);
        }
    };
    let resume =
        body.get("sill_resume").cloned().and_then(|r| serde_json::from_value::<Resume>(r).ok());
    let app = app.get_ref().clone();
    let mut run = Run::start(app, &req, request.clone(), summary.clone(), resume.as_ref());
    if let Some(resume) = &resume
        && !run.import_kv(&client, resume).await
        && resume.same_run
    {
        return Failure::new(ErrorCode::OutcomeUnknown, "the run is not held here")
            .response(&request);
    }
    if summary.stream { run.into_stream_response() } else { run.into_json_response().await }
}

/// One run of a model. A run that is dropped early is recorded as killed if the endpoint is dead,
/// and as cancelled otherwise.
struct Run {
    shared: Arc<Shared>,
    id: RunId,
    request: Name,
    summary: ChatSummary,
    answer: Answer,
    prompt_tokens: u64,
    created: u64,
    next: u32,
    has_prefilled: bool,
    closing_events: u8,
    has_imported_kv: bool,
    _slot: Option<OwnedSemaphorePermit>,
}

impl Run {
    fn start(
        shared: Arc<Shared>,
        req: &HttpRequest,
        request: Name,
        summary: ChatSummary,
        resume: Option<&Resume>,
    ) -> Self {
        let next = resume.map_or(0, |r| r.at);
        let prompt_tokens = prefix::token_count(&summary.prompt) + u64::from(next);
        let id = shared.ledger.open(LedgerEntry {
            request: request.clone(),
            attempt: attempt(req),
            idempotency_key: idempotency_key(req),
            prompt_tokens,
            resumed_at: next,
            ..LedgerEntry::default()
        });
        let answer = Answer::compute(&summary);
        let created = Millis::wall().0 / 1000;
        shared.running.fetch_add(1, Ordering::Relaxed);
        Self {
            shared,
            id,
            request,
            answer,
            prompt_tokens,
            created,
            summary,
            next,
            has_prefilled: false,
            closing_events: 0,
            has_imported_kv: false,
            _slot: None,
        }
    }

    /// Imports the KV cache of the same request. Returns whether it reaches the token to resume at.
    async fn import_kv(&mut self, client: &Client, resume: &Resume) -> bool {
        let Some(source) = &resume.kv else {
            return false;
        };
        let kv_prefix = kv::fetch(&self.shared, client, source).await;
        self.has_imported_kv = kv_prefix.is_some_and(|kv_prefix| kv_prefix.next >= resume.at);
        if self.has_imported_kv {
            self.shared.ledger.record_import(self.id, &source.address);
        }
        self.has_imported_kv
    }

    /// Waits for a slot and computes the prompt tokens that are not cached.
    async fn prefill(&mut self) {
        self.has_prefilled = true;
        let blocks = prefix::block_hashes(&self.summary.model, &self.summary.prompt);
        let Some(admission) = self.shared.admit(&blocks, self.prompt_tokens).await else {
            return;
        };
        let cached =
            if self.has_imported_kv { self.prompt_tokens } else { admission.cached_tokens };
        let computed = self.prompt_tokens - cached;
        self.shared.ledger.record_computed(self.id, cached, computed);
        self.shared.prefill(computed).await;
        self.shared.cache_prompt(&blocks);
        self.export_kv();
        self._slot = Some(admission.permit);
    }

    async fn decode_token(&mut self) -> Option<String> {
        if self.next >= self.answer.tokens {
            return None;
        }
        pause(self.shared.cfg.decode).await;
        let token = self.answer.token(self.next);
        self.next += 1;
        self.shared.ledger.record_sent(self.id, self.next);
        self.export_kv();
        Some(token)
    }

    /// Makes the KV cache computed so far available to other endpoints.
    fn export_kv(&self) {
        let tokens = prefix::token_count(&self.summary.prompt) + u64::from(self.next);
        self.shared.exports.lock().insert(&self.request, kv::KvPrefix { tokens, next: self.next });
    }

    fn usage(&self) -> Usage {
        let prompt_tokens = prefix::token_count(&self.summary.prompt) as u32;
        Usage {
            prompt_tokens,
            completion_tokens: self.answer.tokens,
            total_tokens: prompt_tokens + self.answer.tokens,
        }
    }

    fn completion_id(&self) -> String {
        format!("chatcmpl-{}", self.request)
    }

    fn into_stream_response(self) -> HttpResponse {
        let events = stream::unfold(self, |mut run| async move {
            let event = run.next_event().await?;
            Some((event, run))
        });
        HttpResponse::Ok().content_type(header::EVENT_STREAM).streaming(Box::pin(events))
    }

    async fn next_event(&mut self) -> Option<io::Result<Bytes>> {
        if !self.has_prefilled {
            self.prefill().await;
        }
        if self.shared.is_dead() || self.shared.is_cancelled(&self.request) {
            return Some(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let index = self.next;
        if let Some(token) = self.decode_token().await {
            if self.shared.is_dead() {
                return Some(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            let data = self.chunk(Some(&token), None);
            return Some(Ok(Bytes::from(format!("id: {index}\ndata: {data}\n\n"))));
        }
        self.closing_events += 1;
        match self.closing_events {
            1 => {
                let data = self.chunk(None, Some("stop"));
                Some(Ok(Bytes::from(format!("data: {data}\n\n"))))
            }
            2 if self.summary.include_usage => {
                let mut data = self.chunk(None, None);
                data["choices"] = json!([]);
                data["usage"] = json!(self.usage());
                Some(Ok(Bytes::from(format!("data: {data}\n\n"))))
            }
            2 | 3 if self.closing_events == 2 || self.summary.include_usage => {
                self.shared.ledger.close(self.id, RunEnd::Finished);
                Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
            }
            _ => None,
        }
    }

    fn chunk(&self, content: Option<&str>, finish: Option<&str>) -> Value {
        chunk(&self.completion_id(), self.created, &self.summary.model, content, finish)
    }

    async fn into_json_response(mut self) -> HttpResponse {
        self.prefill().await;
        let mut text = String::new();
        while let Some(token) = self.decode_token().await {
            text.push_str(&token);
        }
        self.shared.ledger.close(self.id, RunEnd::Finished);
        http::json(
            200,
            &json!({
                "id": self.completion_id(),
                "object": "chat.completion",
                "created": self.created,
                "model": self.summary.model,
                "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "finish_reason": "stop",
                }],
                "usage": self.usage(),
            }),
        )
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        let end = if self.shared.is_dead() { RunEnd::Killed } else { RunEnd::Cancelled };
        self.shared.ledger.close(self.id, end);
    }
}
