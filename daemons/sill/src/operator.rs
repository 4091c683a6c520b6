//! Calls to a control instance on behalf of an operator.

use std::net::SocketAddr;

use eyre::{Result, bail};
use ntex::client::Client;
use ntex::http::Method;
use serde::de::DeserializeOwned;
use serde_json::Value;
use sill_base::{Findings, Millis, Secret};
use sill_net::client::{self, Header, Reply};
use sill_setup::{Flag, Values};
use sill_wire::control::ChangeRefusal;

/// How long a call may take.
const TIMEOUT: Millis = Millis(15_000);

/// How often all control instances are tried, so that a call lives through a change of leader.
const ROUNDS: usize = 4;

/// Pause between two rounds.
const PAUSE: ntex::time::Millis = ntex::time::Millis(500);

/// The status of an instance that has no quorum at the moment; another one may have it.
const UNAVAILABLE: u16 = 503;

/// Flags of every verb that calls a control instance.
pub const CONTROL_FLAG: Flag = Flag::many("control", "IP:PORT", "control instance to call");

/// The flag for the operator's token.
pub const TOKEN_FLAG: Flag = Flag::one("token-file", "FILE", "file with the operator's token");

/// The flag for output that programs read.
pub const JSON_FLAG: Flag = Flag::switch("json", "print JSON in place of a table");

/// Calls control instances, the next one when one can't be reached.
#[derive(Debug)]
pub struct Operator {
    controls: Vec<SocketAddr>,
    token: Secret,
}

impl Operator {
    /// Checks the flags.
    ///
    /// # Errors
    ///
    /// Returns every finding with its flag and variable.
    pub fn read(values: &mut Values) -> Result<Self, Findings> {
        let controls: Vec<SocketAddr> = values.many("control");
        let token = values.secret("token-file");
        if controls.is_empty() {
            values.add_finding("control", "missing");
        }
        values.finish()?;
        Ok(Self { controls, token: token.expect("present once the check succeeded") })
    }

    /// Returns the control instances.
    pub fn controls(&self) -> &[SocketAddr] {
        &self.controls
    }

    /// Returns the operator's token.
    pub fn token(&self) -> &Secret {
        &self.token
    }

    /// Calls control instances in turn until one has an answer. A call whose answer was lost is
    /// sent again, so a change must carry its `Change-Id`.
    ///
    /// # Errors
    ///
    /// Fails when none has an answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[Header],
        body: Option<&Value>,
    ) -> Result<Reply> {
        let http: Client = client::streaming(4).await?;
        let mut findings = Findings::new();
        for round in 0..ROUNDS {
            if round > 0 {
                ntex::time::sleep(PAUSE).await;
            }
            findings = Findings::new();
            for control in &self.controls {
                let url = format!("http://{control}{path}");
                let token = Some(&self.token);
                let sent = client::send(&http, method.clone(), &url, token, headers, body, TIMEOUT);
                match sent.await {
                    Ok(reply) if reply.status == UNAVAILABLE => {
                        findings.add(control.to_string(), refusal_text(&reply));
                    }
                    Ok(reply) => return Ok(reply),
                    Err(err) => findings.add(control.to_string(), err.to_string()),
                }
            }
        }
        bail!("no control instance has an answer:\n{findings}")
    }

    /// Reads something from the control instances.
    ///
    /// # Errors
    ///
    /// Fails when it is refused, or the answer has another shape.
    pub async fn get<T>(&self, path: &str) -> Result<T>
    where
        T: DeserializeOwned,
    {
        let reply = self.call(Method::GET, path, &[], None).await?;
        accepted(&reply)?.json()
    }
}

/// Returns the reply where it tells success.
///
/// # Errors
///
/// Fails with the refusal and all its findings.
pub fn accepted(reply: &Reply) -> Result<&Reply> {
    if reply.is_ok() {
        return Ok(reply);
    }
    bail!("{}", refusal_text(reply))
}

/// Tells people why a call was refused.
fn refusal_text(reply: &Reply) -> String {
    let Ok(refusal) = reply.json::<ChangeRefusal>() else {
        return format!("status {}: {}", reply.status, String::from_utf8_lossy(&reply.body));
    };
    let mut text = format!("{}: {}", refusal.code, refusal.message);
    if let (Some(revision), Some(author)) = (refusal.revision, refusal.author) {
        text.push_str(&format!(" (revision {}, by {author})", revision.0));
    }
    for finding in refusal.findings {
        text.push_str(&format!("\n{}: {}", finding.place, finding.reason));
    }
    text
}
