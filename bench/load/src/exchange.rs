//! Sends one request and checks its answer, chunk by chunk, against the expected answer.
//!
//! Stand-in endpoints compute their answers as a pure function of the request, so the expected
//! answer is known here.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use ntex::client::{Client, ClientResponse};
use ntex::http::Method;
use serde_json::Value;
use sill_base::{Name, Secret};
use sill_net::client::Header;
use sill_standin::answer::Answer;
use sill_wire::chat::ChatSummary;
use sill_wire::header;

use crate::sse::SseReader;

/// Timeout of a whole exchange, from sending the request to the end of the answer.
const EXCHANGE_TIMEOUT: ntex::time::Millis = ntex::time::Millis(120_000);

/// Content of a request.
#[derive(Debug, Clone)]
pub enum Content {
    /// A chat completion; the body has the OpenAI format.
    Chat(Value),
    /// A call of a plain service.
    Plain {
        /// HTTP method.
        method: Method,
        /// Name of the service.
        service: Name,
        /// Path below the service, starting with `/`.
        path: String,
        /// Request body.
        body: String,
    },
}

/// A request to an entry instance.
#[derive(Debug, Clone)]
pub struct Request {
    /// The chat completion or service call.
    pub content: Content,
    /// Headers besides the one with the caller's key.
    pub headers: Vec<Header>,
}

/// Outcome of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ending {
    /// The answer is complete and correct.
    Whole,
    /// The request was accepted, but the answer is truncated; the received part is correct.
    Cut,
    /// The request was accepted, but the received data is not the expected answer.
    Wrong,
    /// The request was refused with an error response.
    Refused,
    /// No response was received.
    NoAnswer,
}

/// Result of a request.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Outcome.
    pub ending: Ending,
    /// HTTP status code, or 0 without a response.
    pub status: u16,
    /// Request id assigned by the entry instance; empty without a response.
    pub request_id: Name,
    /// Whether the response certifies that the request was not run.
    pub not_run: bool,
    /// Error code of a refusal, or empty.
    pub code: Name,
    /// Whether the response has a `Retry-After` header.
    pub retry_after: bool,
    /// Correct tokens received.
    pub tokens: u32,
    /// Time to first token of a streamed answer.
    pub ttft: Option<Duration>,
    /// Times between consecutive chunks of a streamed answer.
    pub gaps: Vec<Duration>,
    /// Time to the end of the exchange.
    pub total: Duration,
}

impl Request {
    /// Creates a chat completion request.
    pub fn chat(body: Value) -> Self {
        Self { content: Content::Chat(body), headers: Vec::new() }
    }

    /// Adds a header and returns the request.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push(Header { name: name.to_owned(), value: value.to_owned() });
        self
    }
}

impl Exchange {
    fn without_answer() -> Self {
        Self {
            ending: Ending::NoAnswer,
            status: 0,
            request_id: Name::default(),
            not_run: false,
            code: Name::default(),
            retry_after: false,
            tokens: 0,
            ttft: None,
            gaps: Vec::new(),
            total: Duration::ZERO,
        }
    }
}

/// Sends a request and checks its answer.
///
/// Times count from `since`, the time at which the request was due, so that a load with a fixed
/// rate includes the delay before the request was sent.
pub async fn run(
    http: &Client,
    entry: SocketAddr,
    key: &Secret,
    request: &Request,
    since: Instant,
) -> Exchange {
    let mut exchange = Exchange::without_answer();
    let ended = ntex::time::timeout(
        EXCHANGE_TIMEOUT,
        send_and_check(http, entry, key, request, since, &mut exchange),
    );
    if ended.await.is_err() && exchange.status == 200 {
        exchange.ending = Ending::Cut;
    }
    exchange.total = since.elapsed();
    exchange
}

async fn send_and_check(
    http: &Client,
    entry: SocketAddr,
    key: &Secret,
    request: &Request,
    since: Instant,
    exchange: &mut Exchange,
) {
    let (method, path) = match &request.content {
        Content::Chat(_) => (Method::POST, "/v1/chat/completions".to_owned()),
        Content::Plain { method, service, path, .. } => {
            (method.clone(), format!("/s/{service}{path}"))
        }
    };
    let url = format!("http://{entry}{path}");
    let mut out = http.request(method, url).bearer_auth(key.reveal());
    for header in &request.headers {
        out = out.set_header(header.name.as_str(), header.value.as_str());
    }
    let sent = match &request.content {
        Content::Chat(body) => out.send_json(body).await,
        Content::Plain { body, .. } => out.send_body(body.clone()).await,
    };
    let Ok(res) = sent else {
        return;
    };
    read_head(&res, exchange);
    if exchange.status != 200 {
        exchange.ending = Ending::Refused;
        exchange.code = error_code(res).await;
        return;
    }
    exchange.ending = match &request.content {
        Content::Chat(body) => match ChatSummary::read(body) {
            Ok(summary) if summary.stream => check_stream(res, &summary, since, exchange).await,
            Ok(summary) => check_body(res, &summary, exchange).await,
            Err(_) => Ending::Wrong,
        },
        Content::Plain { method, path, body, .. } => check_plain(res, method, path, body).await,
    };
}

fn read_head(res: &ClientResponse, exchange: &mut Exchange) {
    let text = |name: &str| res.headers().get(name).and_then(|v| v.to_str().ok());
    exchange.status = res.status().as_u16();
    exchange.request_id = text(header::REQUEST_ID).unwrap_or_default().into();
    exchange.not_run = text(header::NOT_RUN) == Some("true");
    exchange.retry_after = text(header::RETRY_AFTER).is_some();
}

/// Returns the error code of an error response, or an empty name if it has none.
async fn error_code(res: ClientResponse) -> Name {
    let body = res.body().await.unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    body.pointer("/error/code").and_then(Value::as_str).unwrap_or_default().into()
}

async fn check_stream(
    mut res: ClientResponse,
    summary: &ChatSummary,
    since: Instant,
    exchange: &mut Exchange,
) -> Ending {
    let answer = Answer::compute(summary);
    let mut reader = SseReader::default();
    let mut last = None;
    while let Some(chunk) = res.next().await {
        let Ok(chunk) = chunk else {
            return Ending::Cut;
        };
        for data in reader.feed(&chunk) {
            if data == "[DONE]" {
                let is_whole = exchange.tokens == answer.tokens;
                return if is_whole { Ending::Whole } else { Ending::Cut };
            }
            let Ok(chunk) = serde_json::from_str::<Value>(&data) else {
                return Ending::Wrong;
            };
            if chunk.get("error").is_some() {
                return Ending::Cut;
            }
            let content = chunk.pointer("/choices/0/delta/content").and_then(Value::as_str);
            let Some(content) = content.filter(|text| !text.is_empty()) else {
                continue;
            };
            if !consume_tokens(&answer, content, &mut exchange.tokens) {
                return Ending::Wrong;
            }
            let now = Instant::now();
            match last {
                None => exchange.ttft = Some(now - since),
                Some(before) => exchange.gaps.push(now - before),
            }
            last = Some(now);
        }
    }
    Ending::Cut
}

/// Counts the tokens of a chunk and returns whether they are the next ones of the answer. An engine
/// may put several tokens into one chunk.
fn consume_tokens(answer: &Answer, mut content: &str, tokens: &mut u32) -> bool {
    while !content.is_empty() {
        let expected = answer.token(*tokens);
        let Some(rest) = content.strip_prefix(expected.as_str()) else {
            return false;
        };
        content = rest;
        *tokens += 1;
    }
    *tokens <= answer.tokens
}

async fn check_body(res: ClientResponse, summary: &ChatSummary, exchange: &mut Exchange) -> Ending {
    let Ok(body) = res.body().await else {
        return Ending::Cut;
    };
    let answer = Answer::compute(summary);
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let text = body.pointer("/choices/0/message/content").and_then(Value::as_str);
    if text.is_some_and(|text| text == answer.text()) {
        exchange.tokens = answer.tokens;
        return Ending::Whole;
    }
    Ending::Wrong
}

async fn check_plain(res: ClientResponse, method: &Method, path: &str, body: &str) -> Ending {
    let Ok(reply) = res.body().await else {
        return Ending::Cut;
    };
    let Ok(reply) = serde_json::from_slice::<Value>(&reply) else {
        return Ending::Wrong;
    };
    let echo = blake3::hash(body.as_bytes()).to_hex();
    let is_right = reply["method"] == method.as_str()
        && reply["path"] == path
        && reply["body"] == echo.as_str();
    if is_right { Ending::Whole } else { Ending::Wrong }
}
