//! Documents that an outside system numbers by itself: the highest number is in force.

use std::sync::Arc;

use sill_base::{Millis, Name, event};
use sill_tree::DocumentText;
use sill_wire::control::{ChangeRefusal, Revision};

use crate::app::command::{ChangeAsk, Edition, Holder, Origin};
use crate::app::{Ask, Outcome};
use crate::shared::Shared;
use crate::submit;

/// How long a change looks for a leader. Outside systems give up after a second and ask another.
const SUBMIT_TIMEOUT: Millis = Millis(900);

/// Why an edition was not taken in, or may not have been.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplaceFailure {
    /// It has faults.
    Refused(ChangeRefusal),
    /// Whether it is accepted is not known; it can be sent again.
    Unknown,
}

/// Puts an edition in force, unless a higher one is; it then counts as accepted all the same.
///
/// # Errors
///
/// Fails when it has faults or no leader commits it in time.
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

/// Reads the edition in force; none where it can't be sure that there is no newer one.
pub async fn read(shared: &Arc<Shared>, path: &str) -> Option<Option<Edition>> {
    let is_current = submit::catch_up_within(shared, SUBMIT_TIMEOUT).await;
    is_current.then(|| shared.log.app().read().edition(path).cloned())
}
