//! Small HTTP+JSON calls to endpoints, control instances and the platform.

use std::time::Duration;

use eyre::{Result, eyre};
use ntex::SharedCfg;
use ntex::client::{Client, Connector};
use ntex::http::Method;
use ntex::time::Millis as NtexMillis;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sill_base::{Millis, Secret};

/// Response bodies larger than this are an error, in bytes.
const MAX_BODY: usize = 64 << 20;

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// Headers in lower case.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

/// One header of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Its name in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
}

impl Reply {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.name == name).map(|h| h.value.as_str())
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the body is of another shape.
    pub fn json<T>(&self) -> Result<T>
    where
        T: DeserializeOwned,
    {
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Returns whether the status code tells success.
    pub fn is_ok(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Makes a client without a limit on the length of an answer; must be called inside an ntex system.
///
/// # Errors
///
/// Fails when the connector can't be made.
pub async fn streaming(connections: usize) -> Result<Client> {
    Client::builder()
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(MAX_BODY)
        .response_payload_timeout(NtexMillis::ZERO)
        .connector::<()>(Connector::new().limit(connections))
        .build(SharedCfg::new("sill-client"))
        .await
        .map_err(|err| eyre!("client: {err:?}"))
}

/// Sends a JSON body, or none, and reads the whole answer.
///
/// # Errors
///
/// Fails when the other side can't be reached or the answer is not whole in time.
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
        .map_err(|()| eyre!("{url}: no answer in {timeout} ms"))?
}
