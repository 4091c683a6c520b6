//! Replays a recorded trace of a decision core against its stated outcomes.

pub mod cores;
pub mod trace;

use sill_base::Findings;

use crate::replay::cores::{ClaimsCore, Header, RouterCore};
use crate::replay::trace::{Replayed, replay};

/// Replays the lines of a trace.
///
/// # Errors
///
/// Returns a finding for each line that can't be read, and each outcome that differs.
pub fn run(text: &str) -> Result<Replayed, Findings> {
    let mut lines = text.lines();
    let header: Header = serde_json::from_str(lines.next().unwrap_or_default())
        .map_err(|err| Findings::one("line 1", format!("expected the core's settings: {err}")))?;
    match header {
        Header::Router { domain, seed } => replay(RouterCore::new(domain, seed), lines),
        Header::Claims {} => replay(ClaimsCore::default(), lines),
    }
}
