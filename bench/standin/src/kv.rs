//! Export and import of KV cache by prefix id, which is the name of the request that made it.

use std::collections::VecDeque;
use std::sync::Arc;

use ntex::client::Client;
use ntex::http::Method;
use ntex::web::{self, HttpResponse};
use serde::{Deserialize, Serialize};
use sill_base::{Map, Millis, Name};
use sill_net::client;
use sill_net::http::{self, Failure};
use sill_wire::ErrorCode;
use sill_wire::endpoint::KvSource;

use crate::endpoint::{Shared, pause};

/// Requests whose KV cache is held for export.
const MAX_HELD: usize = 4096;

/// How long an import may take.
const TIMEOUT: Millis = Millis(30_000);

/// What is held of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Computed tokens, of prompt and answer.
    pub tokens: u64,
    /// The next token of the answer.
    pub next: u32,
}

/// KV cache that can be exported; the oldest goes first.
#[derive(Debug, Default)]
pub struct Exports {
    held: Map<Name, Held>,
    by_age: VecDeque<Name>,
}

impl Exports {
    /// Holds what was computed for a request so far.
    pub fn hold(&mut self, request: &Name, held: Held) {
        if self.held.insert(request.clone(), held).is_some() {
            return;
        }
        self.by_age.push_back(request.clone());
        if self.by_age.len() > MAX_HELD
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.held.remove(&oldest);
        }
    }

    /// Returns what is held of a request.
    pub fn get(&self, request: &str) -> Option<Held> {
        self.held.get(request).copied()
    }
}

/// `GET /kv/PREFIX`: takes as long as the move of the tokens does.
pub(crate) async fn export(
    app: web::types::State<Arc<Shared>>,
    prefix: web::types::Path<Name>,
) -> HttpResponse {
    let Some(held) = app.exports.lock().get(&prefix) else {
        return Failure::new(ErrorCode::NotFound, "no such prefix").response(&Name::default());
    };
    pause(Millis((held.tokens * app.cfg.kv_us_per_token).div_ceil(1000))).await;
    http::json(200, &held)
}

/// Imports from where the KV cache is held.
pub(crate) async fn fetch(shared: &Shared, client: &Client, source: &KvSource) -> Option<Held> {
    if source.address == shared.address.to_string().into() {
        return shared.exports.lock().get(&source.prefix);
    }
    let url = format!("http://{}/kv/{}", source.address, source.prefix);
    let sent = client::send::<()>(client, Method::GET, &url, None, &[], None, TIMEOUT).await;
    sent.ok().filter(client::Reply::is_ok)?.json().ok()
}
