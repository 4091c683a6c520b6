//! One request and its answer, read piece by piece and checked against the pure function.

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

/// How long a whole exchange may take.
const TIMEOUT: ntex::time::Millis = ntex::time::Millis(120_000);

/// What is asked for.
#[derive(Debug, Clone)]
pub enum Content {
    /// A model's answer; the body has the OpenAI shape.
    Chat(Value),
    /// A call of a plain service.
    Plain {
        /// The method.
        method: Method,
        /// The service.
        service: Name,
        /// The path below the service, starting with `/`.
        path: String,
        /// The body.
        body: String,
    },
}

/// A request to an entry instance.
#[derive(Debug, Clone)]
pub struct Request {
    /// What is asked for.
    pub content: Content,
    /// Headers besides the key.
    pub headers: Vec<Header>,
}

/// How an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ending {
    /// The whole right answer came.
    Whole,
    /// It was accepted, and what came of the answer is right, but the rest is missing.
    Cut,
    /// It was accepted, and something came that is not the answer.
    Wrong,
    /// It was refused with an error answer.
    Refused,
    /// No answer came.
    NoAnswer,
}

/// What came of a request.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// How it ended.
    pub ending: Ending,
    /// The status code, or 0 without an answer.
    pub status: u16,
    /// The name that the entry gave the request.
    pub request_id: Name,
    /// Whether a refusal was certified as not run.
    pub not_run: bool,
    /// The code of a refusal.
    pub code: Name,
    /// Whether a refusal told when to come back.
    pub retry_after: bool,
    /// Tokens that came.
    pub tokens: u32,
    /// Time to the first token of a streamed answer.
    pub ttft: Option<Duration>,
    /// Times between two pieces of a streamed answer.
    pub gaps: Vec<Duration>,
    /// Time to the end.
    pub total: Duration,
}

impl Request {
    /// Makes a request for a model's answer.
    pub fn chat(body: Value) -> Self {
        Self { content: Content::Chat(body), headers: Vec::new() }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push(Header { name: name.to_owned(), value: value.to_owned() });
        self
    }
}

impl Exchange {
    fn begin() -> Self {
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

/// Sends a request and reads its answer. Times count from `since`, so that a load with a fixed
/// rate also counts the time that a request was late in being sent.
pub async fn run(
    http: &Client,
    entry: SocketAddr,
    key: &Secret,
    request: &Request,
    since: Instant,
) -> Exchange {
    let mut exchange = Exchange::begin();
    let ended = ntex::time::timeout(TIMEOUT, talk(http, entry, key, request, since, &mut exchange));
    if ended.await.is_err() && exchange.status == 200 {
        exchange.ending = Ending::Cut;
    }
    exchange.total = since.elapsed();
    exchange
}

async fn talk(
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
            Ok(summary) if summary.stream => streamed(res, &summary, since, exchange).await,
            Ok(summary) => whole(res, &summary, exchange).await,
            Err(_) => Ending::Wrong,
        },
        Content::Plain { method, path, body, .. } => plain(res, method, path, body).await,
    };
}

fn read_head(res: &ClientResponse, exchange: &mut Exchange) {
    let text = |name: &str| res.headers().get(name).and_then(|v| v.to_str().ok());
    exchange.status = res.status().as_u16();
    exchange.request_id = text(header::REQUEST_ID).unwrap_or_default().into();
    exchange.not_run = text(header::NOT_RUN) == Some("true");
    exchange.retry_after = text(header::RETRY_AFTER).is_some();
}

/// Returns the code of an error answer, empty where it has none.
async fn error_code(res: ClientResponse) -> Name {
    let body = res.body().await.unwrap_or_default();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    body.pointer("/error/code").and_then(Value::as_str).unwrap_or_default().into()
}

async fn streamed(
    mut res: ClientResponse,
    summary: &ChatSummary,
    since: Instant,
    exchange: &mut Exchange,
) -> Ending {
    let answer = Answer::compute(summary);
    let mut reader = SseReader::default();
    let mut last = None;
    while let Some(piece) = res.next().await {
        let Ok(piece) = piece else {
            return Ending::Cut;
        };
        for data in reader.feed(&piece) {
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
            if !takes_next(&answer, content, &mut exchange.tokens) {
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

/// Takes the tokens of a piece, of which an engine may put several into one, and returns whether
/// they are the next ones of the answer.
fn takes_next(answer: &Answer, mut content: &str, tokens: &mut u32) -> bool {
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

async fn whole(res: ClientResponse, summary: &ChatSummary, exchange: &mut Exchange) -> Ending {
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

async fn plain(res: ClientResponse, method: &Method, path: &str, body: &str) -> Ending {
    let Ok(reply) = res.body().await else {
        return Ending::Cut;
    };
    let Ok(reply) = serde_json::from_slice::<Value>(&reply) else {
        return Ending::Wrong;
    };
    let echo = blake3::hash(body.as_bytes()).to_hex();
    let is_ours = reply["method"] == method.as_str()
        && reply["path"] == path
        && reply["body"] == echo.as_str();
    if is_ours { Ending::Whole } else { Ending::Wrong }
}
