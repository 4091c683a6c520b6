//! Sends requests in a closed loop and counts what came of them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use eyre::Result;
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use ntex::http::Method;
use serde_json::{Value, json};
use sill_base::{Millis, Secret};
use sill_net::client;

use crate::check;

/// What to send.
#[derive(Debug, Clone)]
pub struct LoadCfg {
    /// Entry instances, taken in turn.
    pub entries: Vec<SocketAddr>,
    /// The caller's key.
    pub key: Secret,
    /// The model asked for.
    pub model: String,
    /// Requests under way at once.
    pub concurrency: usize,
    /// How long to send.
    pub length: Millis,
    /// Tokens of an answer.
    pub max_tokens: u32,
    /// Words of a prompt.
    pub prompt_words: usize,
}

/// What came of it.
#[derive(Debug)]
pub struct LoadReport {
    /// Answers that were whole.
    pub whole: u64,
    /// Answers with success status that were not whole.
    pub broken: u64,
    /// Refusals and failures.
    pub refused: u64,
    /// Times of whole answers in microseconds.
    pub total_us: Histogram<u64>,
}

/// Runs the load; must be called inside an ntex system.
///
/// # Errors
///
/// Fails when no client can be made.
pub async fn run(cfg: LoadCfg) -> Result<LoadReport> {
    let http = client::streaming(cfg.concurrency).await?;
    let report = LoadReport { whole: 0, broken: 0, refused: 0, total_us: times()? };
    let report = Rc::new(RefCell::new(report));
    let started = Instant::now();
    let senders = (0..cfg.concurrency).map(|sender| {
        let (cfg, http, report) = (cfg.clone(), http.clone(), report.clone());
        async move {
            let mut turn = 0;
            while Millis::from(started.elapsed()) < cfg.length {
                let entry = cfg.entries[(sender + turn) % cfg.entries.len()];
                send_one(&cfg, &http, entry, &request(&cfg, sender, turn), &report).await;
                turn += 1;
            }
        }
    });
    join_all(senders).await;
    Ok(Rc::try_unwrap(report).expect("all senders have ended").into_inner())
}

fn times() -> Result<Histogram<u64>> {
    const LONGEST_US: u64 = 600_000_000;
    Ok(Histogram::new_with_bounds(1, LONGEST_US, 3)?)
}

fn request(cfg: &LoadCfg, sender: usize, turn: usize) -> Value {
    let words = (0..cfg.prompt_words).map(|i| format!("w{} ", (sender * 31 + i) % 997));
    let prompt: String = words.chain([format!("turn {turn}")]).collect();
    json!({
        "model": cfg.model,
        "stream": (sender + turn).is_multiple_of(2),
        "max_tokens": cfg.max_tokens,
        "messages": [{ "role": "user", "content": prompt }],
    })
}

async fn send_one(
    cfg: &LoadCfg,
    http: &ntex::client::Client,
    entry: SocketAddr,
    request: &Value,
    report: &RefCell<LoadReport>,
) {
    const TIMEOUT: Millis = Millis(120_000);
    let url = format!("http://{entry}/v1/chat/completions");
    let began = Instant::now();
    let sent =
        client::send(http, Method::POST, &url, Some(&cfg.key), &[], Some(request), TIMEOUT).await;
    let mut report = report.borrow_mut();
    match sent {
        Ok(reply) if reply.is_ok() && check::is_whole(request, &reply.body) => {
            report.whole += 1;
            report.total_us.saturating_record(began.elapsed().as_micros() as u64);
        }
        Ok(reply) if reply.is_ok() => report.broken += 1,
        Ok(_) | Err(_) => report.refused += 1,
    }
}
