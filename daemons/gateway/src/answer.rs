//! Turns an endpoint's answer into the caller's response.

use http::response::Parts;
use http::{HeaderMap, Response, Version, header};
use http_body::Body;
use http_body_util::BodyExt;
use sill_dispatch::{AnswerMode, CallProgress, EventTracker};
use sill_net::h1::{Answer, AnyBody, Framing, full_body, strip_hop_by_hop};
use sill_tree::RouteKind;
use sill_wire::header::EVENT_STREAM;

use crate::dispatch::Attempt;
use crate::relay::{EndpointAnswer, Relay, is_movable};
use crate::serve::Call;
use crate::state::State;
use crate::summary::CallSummary;
use crate::termination::FinalPhase;

/// Size limit in bytes of an answer that is buffered until it is complete. Short calls have a few
/// kilobytes. Longer answers fail, because the memory use of a small instance must not depend on
/// how many of them arrive in its last seconds.
const MAX_HELD_BYTES: usize = 256 << 10;

/// Relays an answer to the caller, as it arrives or once it is complete.
///
/// The head of a stream is held back until the first part of its body arrives. An endpoint may
/// start a stream and fail before its first event. If the head had already been sent, the caller
/// would get a success without content that breaks off, and no error response would be possible.
/// Head and first part are sent together, so the first event is not delayed.
pub async fn relay_answer(
    mut summary: CallSummary,
    attempt: Attempt,
    answer: Answer,
    progress: CallProgress,
) -> Response<AnyBody> {
    let framing = answer.framing();
    let (response, connection) = answer.into_parts();
    let (mut parts, body) = response.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    // The endpoint's version applies to its own connection. With HTTP/1.0 the caller's answer would
    // have no chunks, and a truncated one would look complete.
    parts.version = Version::HTTP_11;
    summary.set_status(parts.status.as_u16());
    let (state, call) = (attempt.state().clone(), attempt.call().clone());
    let is_stream = framing != Framing::Empty && is_stream(&call, &parts);
    let may_resume =
        is_stream && (call.route.route.kind == RouteKind::ResumableStream || is_movable(&call));
    if is_stream {
        // A continuation from another endpoint may have a different length, and a caller that has
        // received all bytes of a length can't be told that the stream is truncated.
        parts.headers.remove(header::CONTENT_LENGTH);
    }
    if !call.pool.is_engine && parts.status.is_success() {
        attempt.count_usage();
    }
    let events = is_stream.then(|| match may_resume {
        true => EventTracker::resumable(&state.buffers, state.max_body_bytes()),
        false => EventTracker::pass_through(),
    });
    let answer = EndpointAnswer::new(attempt, framing, body, connection);
    let mut relay = Relay::new(summary, answer, progress, events, may_resume);
    let mut mode = call.answer_mode;
    if !is_stream && may_be_cut(&relay, &call, &state) {
        mode = AnswerMode::Held;
    }
    if is_stream && mode == AnswerMode::Passed {
        let has_first = tokio::select! {
            biased;
            held = relay.buffer_first_part() => held.is_ok(),
            () = state.termination.wait_for(FinalPhase::LastAnswers) => return relay.fail_by_stop(),
        };
        if !has_first {
            return relay.fail();
        }
        let first_part = state.clock.now() - call.received_at;
        mode = state.planned_stop.stream_mode(
            &call.head.attempt,
            &call.route.name,
            call.due,
            first_part,
        );
    }
    match mode {
        AnswerMode::Passed => Response::from_parts(parts, relay.boxed_unsync()),
        AnswerMode::Held => relay_whole(parts, relay, &state).await,
    }
}

/// Returns whether the end of a stop may cut a plain answer that is short enough to be buffered
/// instead.
fn may_be_cut(relay: &Relay, call: &Call, state: &State) -> bool {
    let is_short = relay.size_hint().exact().is_some_and(|size| size <= MAX_HELD_BYTES as u64);
    is_short && state.planned_stop.may_cut(call.due)
}

/// Relays an answer once it is complete.
///
/// Only the end of the process bounds the call. If the answer were relayed as it arrives, it could
/// be cut in the middle, and its caller may not be able to repeat the call. The caller therefore
/// gets the complete answer, or a failure that says that the outcome is unknown.
async fn relay_whole(parts: Parts, mut relay: Relay, state: &State) -> Response<AnyBody> {
    let body = tokio::select! {
        biased;
        body = relay.buffer_all(MAX_HELD_BYTES) => body,
        () = state.termination.wait_for(FinalPhase::LastAnswers) => return relay.fail_by_stop(),
    };
    match body {
        Ok(body) => Response::from_parts(parts, full_body(body)),
        Err(_) => relay.fail(),
    }
}

fn is_stream(call: &Call, parts: &Parts) -> bool {
    call.route.route.kind.is_stream()
        && parts.status.is_success()
        && is_event_stream(&parts.headers)
}

/// Only event streams carry ids from which a stream can be resumed.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}
