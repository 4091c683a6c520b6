//! Attempts at a call whose answers may still come although their paths are lost.

use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use sill_base::{Name, event};
use sill_dispatch::AttemptOutcome;
use sill_net::h1::Answer;

use crate::dispatch::{Attempt, AttemptResult};

/// The attempts of one call that are kept while another one is made.
#[derive(Default)]
pub struct KeptAttempts {
    running: FuturesUnordered<BoxFuture<'static, AttemptResult>>,
    is_out_of_time: bool,
}

impl KeptAttempts {
    /// Keeps an attempt at the call `id`.
    pub fn push(&mut self, id: &Name, attempt: BoxFuture<'static, AttemptResult>) {
        event!(Info, "attempt_kept", id = id);
        self.running.push(attempt);
    }

    /// Waits for an answer; returns none once no attempt is left.
    pub async fn answer(&mut self) -> Option<(Attempt, Answer)> {
        while let Some(result) = self.running.next().await {
            match result {
                AttemptResult::Answer(attempt, answer) => return Some((attempt, answer)),
                AttemptResult::Failed(outcome) => {
                    self.is_out_of_time |= outcome == AttemptOutcome::TimedOut;
                }
                AttemptResult::TrialFailed => {}
            }
        }
        None
    }

    /// Returns whether one was not answered before the deadline.
    pub const fn is_out_of_time(&self) -> bool {
        self.is_out_of_time
    }
}
