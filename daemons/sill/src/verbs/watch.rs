//! `sill watch`.

use std::net::SocketAddr;

use eyre::{Result, bail};
use futures_util::StreamExt;
use ntex::client::Client;
use sill_net::client;
use sill_setup::{Flag, Program, Values};
use sill_wire::control::{Revision, SubtreeReply};

use crate::operator::{CONTROL_FLAG, JSON_FLAG, Operator, TOKEN_FLAG};

/// Pause before the next call when one ended without news.
const PAUSE: ntex::time::Millis = ntex::time::Millis(300);

/// The verb and its flags.
pub const PROGRAM: Program = Program {
    name: "sill watch",
    about: "print each new revision of a subtree until stopped",
    operands: "[PATH]",
    flags: &[
        CONTROL_FLAG,
        TOKEN_FLAG,
        Flag::one("count", "N", "stop after that many revisions"),
        JSON_FLAG,
    ],
};

/// What was printed so far.
struct Watch {
    path: String,
    json: bool,
    seen: Revision,
    left: Option<u64>,
}

/// Runs the verb.
///
/// # Errors
///
/// Fails when a flag is wrong or the subtree may not be read.
pub async fn run(mut values: Values) -> Result<()> {
    let path = values.operands.first().cloned().unwrap_or_default();
    let left = values.optional("count");
    let json = values.switch("json");
    let operator = Operator::read(&mut values)?;
    let http = client::streaming(4).await?;
    let mut watch = Watch { path, json, seen: Revision(0), left };
    let mut turn = 0;
    while watch.left != Some(0) {
        let control = operator.controls()[turn % operator.controls().len()];
        let before = watch.seen;
        // The next instance has the same tree when this one can't be reached or loses its quorum.
        if watch.follow(&http, &operator, control).await?.is_none() {
            turn += 1;
        }
        if watch.seen == before {
            ntex::time::sleep(PAUSE).await;
        }
    }
    Ok(())
}

impl Watch {
    /// Reads one answer line by line, however long the control instance keeps it open; none where
    /// it can't be reached or its answer is malformed.
    async fn follow(
        &mut self,
        http: &Client,
        operator: &Operator,
        control: SocketAddr,
    ) -> Result<Option<()>> {
        let url = format!("http://{control}/tree/{}?watch={}", self.path, self.seen.0);
        let sent = http.get(url).bearer_auth(operator.token().reveal()).send().await;
        let Some(mut res) = sent.ok().filter(|res| client::check_head(res).is_ok()) else {
            return Ok(None);
        };
        let status = res.status().as_u16();
        if status >= 500 {
            return Ok(None);
        }
        let mut pending = Vec::new();
        while let Some(Ok(piece)) = res.next().await {
            pending.extend_from_slice(&piece);
            while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = pending.drain(..=end).collect();
                self.take(&line)?;
            }
        }
        if !(200..300).contains(&status) {
            bail!("status {status}: {}", String::from_utf8_lossy(&pending));
        }
        self.take(&pending)?;
        Ok(Some(()))
    }

    fn take(&mut self, line: &[u8]) -> Result<()> {
        let line = line.strip_prefix(b"data: ").unwrap_or(line);
        let Ok(subtree) = serde_json::from_slice::<SubtreeReply>(line) else {
            return Ok(());
        };
        if subtree.revision <= self.seen || self.left == Some(0) {
            return Ok(());
        }
        self.seen = subtree.revision;
        self.left = self.left.map(|left| left - 1);
        if self.json {
            println!("{}", serde_json::to_string(&subtree)?);
        } else {
            println!("{}: revision {} by {}", self.path, subtree.revision.0, subtree.author);
            println!("{}", serde_json::to_string_pretty(&subtree.document)?);
        }
        Ok(())
    }
}
