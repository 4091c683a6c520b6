//! Has other endpoints continue streams after the last event that their callers received.

use std::sync::Arc;

use bytes::BytesMut;
use http_body_util::BodyExt;
use sill_base::{Name, event};
use sill_dispatch::events::may_follow;
use sill_dispatch::{AttemptOutcome, CallProgress, EventTracker};
use sill_net::h1::Framing;
use sill_route::Outcome;
use sill_wire::Software;

use crate::cut::NoResumption;
use crate::dispatch::{self, Attempt, AttemptResult, PlacementRefusal, Resumption};
use crate::relay::EndpointAnswer;
use crate::serve::Call;
use crate::state::State;

/// Upper bound in bytes on what may precede the first event of a resumption beside another answer.
pub const MAX_COMMENTS: usize = 64 << 10;

/// Why a stream was not resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotResumed {
    /// The call was sent to no endpoint.
    NotSent,
    /// An endpoint that the call was sent to did not continue the stream.
    Sent,
}

impl From<NotResumed> for NoResumption {
    fn from(failure: NotResumed) -> Self {
        match failure {
            NotResumed::NotSent => Self::NotSent,
            NotResumed::Sent => Self::Failed,
        }
    }
}

// One exists per end, so its size doesn't matter.
#[allow(clippy::large_enum_variant)]
/// What the resumption of a stream that may be whole shows.
pub enum ResumedEnd {
    /// Events follow.
    Continued(EndpointAnswer),
    /// The answer is complete without another event.
    Whole,
    /// Neither.
    Unclear,
}

/// Has another endpoint, of the version that began the stream, continue it after the last event that
/// the caller received.
pub async fn resume(
    (state, call): (Arc<State>, Arc<Call>),
    progress: CallProgress,
    failed_endpoint: Name,
    software: Option<Software>,
    last_event: Option<String>,
) -> Result<EndpointAnswer, NotResumed> {
    let resumption = Resumption { last_event, memory: None };
    let now = state.clock.now();
    let exclude = [failed_endpoint];
    let needed = software.as_ref().map(ToString::to_string).unwrap_or_default();
    let placed =
        dispatch::place_attempt(&state, &call, now, &exclude, progress.attempts(), software);
    let attempt = match placed {
        Ok(attempt) => attempt,
        Err(PlacementRefusal { reason, view, .. }) => {
            let (id, why) = (&call.head.attempt, format!("{reason:?}"));
            event!(
                Warn,
                "stream_not_resumed",
                id = id,
                software = needed,
                why = why,
                endpoints = view
            );
            return Err(NotResumed::NotSent);
        }
    };
    resume_at(attempt, progress, resumption).await
}

pub async fn resume_at(
    attempt: Attempt,
    progress: CallProgress,
    resumption: Resumption,
) -> Result<EndpointAnswer, NotResumed> {
    match dispatch::send_attempt(attempt, &progress, Some(&resumption)).await {
        AttemptResult::Answer(attempt, answer) if answer.response.status().is_success() => {
            let framing = answer.framing();
            let (response, connection) = answer.into_parts();
            Ok(EndpointAnswer::new(attempt, framing, response.into_body(), connection))
        }
        AttemptResult::Failed(AttemptOutcome::NotSent) => Err(NotResumed::NotSent),
        _ => Err(NotResumed::Sent),
    }
}

/// Resumes a stream that may be whole, and reads until it is clear whether events follow.
///
/// # Errors
///
/// Fails if no other endpoint answers.
pub async fn check_end(
    resuming: impl Future<Output = Result<EndpointAnswer, NotResumed>>,
    last_event: &str,
) -> Result<ResumedEnd, NotResumed> {
    let mut answer = resuming.await?;
    let (mut events, mut first) = (EventTracker::pass_through(), BytesMut::new());
    while let Some(frame) = answer.body.frame().await {
        let Ok(frame) = frame else { return Ok(ResumedEnd::Unclear) };
        let Ok(data) = frame.into_data() else { continue };
        answer.attempt.record_heard();
        first.extend_from_slice(&events.push(data));
        if events.has_events() {
            if !may_follow(last_event, &first) {
                return Ok(ResumedEnd::Unclear);
            }
            answer.first = Some(first.freeze());
            return Ok(ResumedEnd::Continued(answer));
        }
        if first.len() > MAX_COMMENTS {
            return Ok(ResumedEnd::Unclear);
        }
    }
    if answer.framing == Framing::Close || !events.is_between_events() {
        return Ok(ResumedEnd::Unclear);
    }
    answer.attempt.finish(Outcome::Finished);
    match answer.check_marked_end().await {
        true => Ok(ResumedEnd::Whole),
        false => Ok(ResumedEnd::Unclear),
    }
}
