//! Export and import of KV cache by prefix id, which is the id of the request that computed it.

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

/// Maximum number of requests whose KV cache is kept for export.
const MAX_EXPORTS: usize = 4096;

/// Timeout of an import.
const IMPORT_TIMEOUT: Millis = Millis(30_000);

/// The computed part of a request whose KV cache can be exported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvPrefix {
    /// Number of computed tokens of prompt and answer.
    pub tokens: u64,
    /// Index of the next token of the answer.
    pub next: u32,
}

/// KV caches that can be exported. The oldest is evicted first.
#[derive(Debug, Default)]
pub struct Exports {
    prefixes: Map<Name, KvPrefix>,
    insertion_order: VecDeque<Name>,
}

impl Exports {
    /// Stores what was computed for a request so far.
    pub fn insert(&mut self, request: &Name, kv_prefix: KvPrefix) {
        if self.prefixes.insert(request.clone(), kv_prefix).is_some() {
            return;
        }
        self.insertion_order.push_back(request.clone());
        if self.insertion_order.len() > MAX_EXPORTS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.prefixes.remove(&oldest);
        }
    }

    /// Returns what was computed for a request, unless it was evicted.
    pub fn get(&self, request: &str) -> Option<KvPrefix> {
        self.prefixes.get(request).copied()
    }
}

/// `GET /kv/PREFIX`: answers after the time that the transfer of the tokens takes.
pub(crate) async fn export(
    app: web::types::State<Arc<Shared>>,
    prefix: web::types::Path<Name>,
) -> HttpResponse {
    let Some(kv_prefix) = app.exports.lock().get(&prefix) else {
        return Failure::new(ErrorCode::NotFound, "no such prefix").response(&Name::default());
    };
    pause(Millis((kv_prefix.tokens * app.cfg.kv_us_per_token).div_ceil(1000))).await;
    http::json(200, &kv_prefix)
}

/// Imports the KV cache from the endpoint that the source names.
pub(crate) async fn fetch(shared: &Shared, client: &Client, source: &KvSource) -> Option<KvPrefix> {
    if source.address == shared.address.to_string().into() {
        return shared.exports.lock().get(&source.prefix);
    }
    let url = format!("http://{}/kv/{}", source.address, source.prefix);
    let sent = client::send::<()>(client, Method::GET, &url, None, &[], None, IMPORT_TIMEOUT).await;
    sent.ok().filter(client::Reply::is_ok)?.json().ok()
}
