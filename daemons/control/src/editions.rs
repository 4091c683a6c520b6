//! Documents numbered by an outside system (editions): the highest number is in force.

use std::sync::Arc;

use sill_base::{Millis, Name, event};
use sill_tree::DocumentText;
use sill_wire::control::{ChangeRefusal, Revision};

use crate::app::command::{ChangeAsk, Edition, Holder, Origin};
use crate::app::{Ask, Outcome};
use crate::shared::Shared;
use crate::submit;

/// Time limit for finding a leader. Outside systems time out after a second and call another
/// instance.
const SUBMIT_TIMEOUT: Millis = Millis(900);

/// Why an edition was not accepted, or may not have been.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplaceFailure {
    /// The edition is invalid.
    Refused(ChangeRefusal),
    /// The outcome is unknown; sending the edition again is safe.
    Unknown,
}

/// Puts an edition in force. If a higher one is in force already, the call succeeds without effect.
///
/// # Errors
///
/// Fails if the edition is invalid or no leader commits it in time.
pub async fn replace(
    shared: &Arc<Shared>,
    path: &Name,
    edition: Edition,
    document: DocumentText,
) -> Result<Revision, ReplaceFailure> {
    let number = edition.number;
    let change_id = format!("{number}-{}", blake3::hash(edition.source.as_bytes()).to_hex());
    let origin =
        Origin { holder: Holder::Root, change_id: change_id.into(), reason: String::new() };
    let ask = Ask::Change(ChangeAsk {
        origin,
        path: path.clone(),
        base: None,
        document: Some(document),
        edition: Some(edition),
    });
    let started = shared.clock.now();
    let result = submit::submit_within(shared, &ask, SUBMIT_TIMEOUT).await;
    let elapsed = shared.clock.now() - started;
    match result {
        Ok(Outcome::Changed(reply)) => {
            shared.metrics.changes_accepted.inc();
            let revision = reply.revision.0;
            event!(Info, "edition_accepted", number = number, revision = revision, ms = elapsed);
            Ok(reply.revision)
        }
        Ok(Outcome::Refused(refusal)) => {
            shared.metrics.changes_refused.inc();
            event!(Info, "edition_refused", number = number, code = refusal.code);
            Err(ReplaceFailure::Refused(refusal))
        }
        other => {
            event!(
                Warn,
                "edition_undecided",
                number = number,
                why = format!("{other:?}"),
                ms = elapsed
            );
            Err(ReplaceFailure::Unknown)
        }
    }
}

/// Reads the edition in force. The outer `None` means that this instance could not catch up with
/// the leader, so that there may be a newer one; the inner `None` that no edition is in force.
pub async fn read(shared: &Arc<Shared>, path: &str) -> Option<Option<Edition>> {
    let is_current = submit::catch_up_within(shared, SUBMIT_TIMEOUT).await;
    is_current.then(|| shared.log.app().read().edition(path).cloned())
}
