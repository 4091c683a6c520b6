//! Calls to a control instance on behalf of an operator.

use std::net::SocketAddr;

use eyre::{Result, bail};
use ntex::client::Client;
use ntex::http::Method;
use serde_json::Value;
use sill_base::{Findings, Millis, Secret};
use sill_net::client::{self, Header, Reply};
use sill_setup::{Flag, Values};

/// How long a call may take.
const TIMEOUT: Millis = Millis(15_000);

/// Flags of every verb that calls a control instance.
pub const CONTROL_FLAG: Flag = Flag::many("control", "IP:PORT", "control instance to call");

/// The flag for the operator's token.
pub const TOKEN_FLAG: Flag = Flag::one("token-file", "FILE", "file with the operator's token");

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
            values.finding("control", "missing");
        }
        values.finish()?;
        Ok(Self { controls, token: token.expect("present once the check succeeded") })
    }

    /// Calls the first control instance that can be reached.
    ///
    /// # Errors
    ///
    /// Fails when none can be reached.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[Header],
        body: Option<&Value>,
    ) -> Result<Reply> {
        let http: Client = client::streaming(4).await?;
        let mut findings = Findings::new();
        for control in &self.controls {
            let url = format!("http://{control}{path}");
            let token = Some(&self.token);
            match client::send(&http, method.clone(), &url, token, headers, body, TIMEOUT).await {
                Ok(reply) => return Ok(reply),
                Err(err) => findings.add(control.to_string(), err.to_string()),
            }
        }
        bail!("no control instance could be reached:\n{findings}")
    }
}
