//! Another endpoint that is tried for a stream while the connection of the first one is still read.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::Body;
use sill_dispatch::EventTracker;
use sill_route::Outcome;

use crate::relay::{EndpointAnswer, Resuming};
use crate::resume::NotResumed;

/// An endpoint that is asked to continue a stream after the last event that its caller has.
pub struct Rival {
    stage: Stage,
    /// Tracks the events that would follow.
    events: EventTracker,
}

// At most one exists per call, so its size doesn't matter.
#[allow(clippy::large_enum_variant)]
enum Stage {
    Asked(Resuming<EndpointAnswer>),
    Answering(EndpointAnswer),
}

/// How the try of another endpoint ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RivalEnd {
    /// These events follow.
    Continued(Bytes),
    /// The endpoint doesn't continue the stream.
    Failed(NotResumed),
}

impl Rival {
    /// Creates the try of another endpoint; `events` tracks what would follow.
    pub const fn new(resuming: Resuming<EndpointAnswer>, events: EventTracker) -> Self {
        Self { stage: Stage::Asked(resuming), events }
    }

    /// Waits for the first event.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<RivalEnd> {
        loop {
            let answer = match &mut self.stage {
                Stage::Asked(resuming) => match ready!(resuming.as_mut().poll(cx)) {
                    Ok(answer) => {
                        self.stage = Stage::Answering(answer);
                        continue;
                    }
                    Err(failure) => return Poll::Ready(RivalEnd::Failed(failure)),
                },
                Stage::Answering(answer) => answer,
            };
            let Some(Ok(frame)) = ready!(Pin::new(&mut answer.body).poll_frame(cx)) else {
                answer.attempt.finish(Outcome::Failed);
                answer.attempt.record_broken_answer(None);
                answer.attempt.end_broken();
                return Poll::Ready(RivalEnd::Failed(NotResumed::Sent));
            };
            let Ok(data) = frame.into_data() else { continue };
            answer.attempt.record_heard();
            let events = self.events.push(data);
            if !events.is_empty() {
                return Poll::Ready(RivalEnd::Continued(events));
            }
        }
    }

    /// Returns the answer, or the wait for its head, and what tracks its events.
    pub fn into_parts(self) -> (Result<EndpointAnswer, Resuming<EndpointAnswer>>, EventTracker) {
        let resuming = match self.stage {
            Stage::Asked(resuming) => Err(resuming),
            Stage::Answering(answer) => Ok(answer),
        };
        (resuming, self.events)
    }
}
