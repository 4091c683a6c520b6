//! An HTTP client for JSON calls to endpoints, control instances and the platform.

use std::time::Duration;

use eyre::{Result, ensure, eyre};
use ntex::SharedCfg;
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::{Method, StatusCode, Version};
use ntex::time::Millis as NtexMillis;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sill_base::{Millis, Secret};

use crate::framing::{DeclaredEnd, declared_end};
use crate::h1::is_final;

/// Maximum size of a response body; a larger one is an error.
const MAX_BODY_BYTES: usize = 64 << 20;

/// A complete response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The headers in the order received; a name may occur more than once.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// One header of a request or response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name; lower case in a response.
    pub name: String,
    /// The value; empty if a response's value is not printable ASCII.
    pub value: String,
}

impl Reply {
    /// Returns the value of the first header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.name == name).map(|h| h.value.as_str())
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not JSON of the type `T`.
    pub fn json<T>(&self) -> Result<T>
    where
        T: DeserializeOwned,
    {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Returns whether the status code is in 200..=299.
    pub fn is_ok(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Creates a client without a time limit on responses, so that they can be streamed; must be called
/// inside an ntex system.
///
/// # Errors
///
/// Fails if the connector can't be created.
pub async fn streaming(connections: usize) -> Result<Client> {
    Client::builder()
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(MAX_BODY_BYTES)
        .response_payload_timeout(NtexMillis::ZERO)
        .connector::<()>(Connector::new().limit(connections))
        .build(SharedCfg::new("sill-client"))
        .await
        .map_err(|err| eyre!("HTTP client: {err:?}"))
}

/// Checks that a response is an answer, and that the client reads its body up to its end. It takes a body
/// in another coding for an empty one, and with HTTP/1.1 one that ends with its connection as well.
///
/// # Errors
///
/// Fails if the status ends no request, or the head doesn't tell how the body ends.
pub fn check_head(res: &ClientResponse) -> Result<()> {
    let status = res.status().as_u16();
    ensure!(is_final(status), "status {status} ends no request");
    let fields = res.headers().iter().map(|(name, value)| (name.as_str(), value.as_bytes()));
    let is_unread = declared_end(status, fields)? == DeclaredEnd::Connection
        && res.version() == Version::HTTP_11
        && !matches!(res.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    ensure!(!is_unread, "neither transfer-encoding nor content-length");
    Ok(())
}

/// Sends a request with a JSON body, or with none, and reads the complete response.
///
/// # Errors
///
/// Fails if the server can't be reached, its response is no answer, or it is not complete within
/// `timeout`.
pub async fn send<T>(
    client: &Client,
    method: Method,
    url: &str,
    token: Option<&Secret>,
    headers: &[Header],
    body: Option<&T>,
    timeout: Millis,
) -> Result<Reply>
where
    T: Serialize,
{
    let mut req = client.request(method, url);
    if let Some(token) = token {
        req = req.bearer_auth(token.reveal());
    }
    for header in headers {
        req = req.set_header(header.name.as_str(), header.value.as_str());
    }
    let exchange = async {
        let res = match body {
            Some(body) => req.send_json(body).await,
            None => req.send().await,
        }
        .map_err(|err| eyre!("{url}: {err}"))?;
        check_head(&res).map_err(|err| eyre!("{url}: {err}"))?;
        let status = res.status().as_u16();
        let headers = res.headers().iter().map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.to_str().unwrap_or_default().to_owned(),
        });
        let headers = headers.collect();
        let body = res.body().await.map_err(|err| eyre!("{url}: {err}"))?;
        Ok(Reply { status, headers, body: body.to_vec() })
    };
    let limit = NtexMillis(Duration::from(timeout).as_millis() as u32);
    ntex::time::timeout(limit, exchange)
        .await
        .map_err(|()| eyre!("{url}: no complete answer within {timeout} ms"))?
}
