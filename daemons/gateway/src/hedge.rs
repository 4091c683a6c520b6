//! A second attempt at a stream, beside the first one whose connection is still read.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use futures_util::future::{self, BoxFuture};
use http_body::Body;
use sill_dispatch::EventTracker;
use sill_net::h1::Framing;
use sill_route::Outcome;

use crate::relay::{EndpointAnswer, Resuming};
use crate::resume::{MAX_COMMENTS, NotResumed};

/// An endpoint that is asked to continue a stream after the last event that its caller has.
pub struct Hedge {
    stage: Stage,
    /// Tracks the events that would follow.
    events: EventTracker,
    /// Comments that precede the first of them.
    comments: BytesMut,
    /// Resolves to whether the stream is whole, once the answer has ended without another event.
    end_check: Option<BoxFuture<'static, bool>>,
}

// At most one exists per call, so its size doesn't matter.
#[allow(clippy::large_enum_variant)]
enum Stage {
    Asked(Resuming<EndpointAnswer>),
    Answering(EndpointAnswer),
}

/// How the attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HedgeEnd {
    /// These events follow.
    Continued(Bytes),
    /// The answer is complete without another event, so the stream is whole.
    Whole,
    /// The endpoint doesn't continue the stream.
    Failed(NotResumed),
}

impl Hedge {
    /// Creates an attempt; `events` tracks what would follow.
    pub fn new(resuming: Resuming<EndpointAnswer>, events: EventTracker) -> Self {
        Self { stage: Stage::Asked(resuming), events, comments: BytesMut::new(), end_check: None }
    }

    /// Waits for the first event.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<HedgeEnd> {
        loop {
            let answer = match &mut self.stage {
                Stage::Asked(resuming) => match ready!(resuming.as_mut().poll(cx)) {
                    Ok(answer) => {
                        self.stage = Stage::Answering(answer);
                        continue;
                    }
                    Err(failure) => return Poll::Ready(HedgeEnd::Failed(failure)),
                },
                Stage::Answering(answer) => answer,
            };
            if let Some(check) = &mut self.end_check {
                return Poll::Ready(match ready!(check.as_mut().poll(cx)) {
                    true => HedgeEnd::Whole,
                    false => HedgeEnd::Failed(NotResumed::Sent),
                });
            }
            let frame = ready!(Pin::new(&mut answer.body).poll_frame(cx));
            let is_whole = answer.framing != Framing::Close
                && self.events.is_between_events()
                && self.events.last_id().is_some();
            if frame.is_none() && is_whole {
                self.end_check = Some(answer.check_marked_end());
                continue;
            }
            let Some(Ok(frame)) = frame else {
                answer.attempt.finish(Outcome::Failed);
                answer.attempt.record_broken_answer(None);
                answer.attempt.end_broken();
                return Poll::Ready(HedgeEnd::Failed(NotResumed::Sent));
            };
            let Ok(data) = frame.into_data() else { continue };
            answer.attempt.record_heard();
            self.comments.extend_from_slice(&self.events.push(data));
            if self.events.has_events() {
                let events = std::mem::take(&mut self.comments).freeze();
                return Poll::Ready(HedgeEnd::Continued(events));
            }
            if self.comments.len() > MAX_COMMENTS || self.events.hold_end().is_some() {
                answer.attempt.finish(Outcome::Failed);
                answer.attempt.end_broken();
                return Poll::Ready(HedgeEnd::Failed(NotResumed::Sent));
            }
        }
    }

    /// Returns the answer, for which may have to be waited, and what tracks its events.
    pub fn into_parts(self) -> (Resuming<EndpointAnswer>, EventTracker) {
        let resuming = match self.stage {
            Stage::Asked(resuming) => resuming,
            Stage::Answering(answer) => Box::pin(future::ready(Ok(answer))),
        };
        (resuming, self.events)
    }
}
