//! Where and how a request continues when its endpoint is leaving or lost.

use sill_base::{Millis, Name};
use sill_wire::{ErrorCode, Incarnation};

use super::cfg::Weakening;
use super::event::{Action, Placement, RecomputeCause, ResumePoint, ServiceKind};
use super::{InFlightRequest, Stage};
use crate::lifecycle::{Dispatched, Lifecycle};

impl InFlightRequest {
    /// Decides whether to finish the answer on an endpoint that is leaving, or to move it.
    pub(super) fn on_endpoint_leaving(
        &mut self,
        now: Millis,
        endpoint: &Name,
        incarnation: Incarnation,
        time_left: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let is_same_incarnation =
            attempt.placement.endpoint == *endpoint && attempt.placement.incarnation == incarnation;
        if !is_same_incarnation || attempt.stays_on_endpoint || self.search.is_some() {
            return;
        }
        if !matches!(self.stage, Stage::Dispatched(_)) {
            return;
        }
        if self.has_weakening(Weakening::GiveUpOnReclaim) {
            let message = "the endpoint is leaving";
            self.give_up(now, ErrorCode::UpstreamFailed, message, Millis::ZERO, out);
            return;
        }
        if self.time_to_finish(now) + self.cfg.reclaim_margin <= time_left {
            return;
        }
        let has_time_for_transfer = self.kv_transfer_time() + self.cfg.reclaim_margin <= time_left;
        let is_movable =
            self.spec.kind == ServiceKind::Model && has_time_for_transfer && self.next_index > 0;
        if !self.spec.is_idempotent && !is_movable {
            self.keep_on_endpoint();
            return;
        }
        // A plain call can't be resumed. It may still finish here, and is sent again if it doesn't.
        if self.spec.kind == ServiceKind::Plain {
            self.keep_on_endpoint();
            return;
        }
        self.kv_source = is_movable.then(|| attempt.placement.clone());
        self.excluded_endpoints = vec![endpoint.clone()];
        self.start_search(now, Some(RecomputeCause::Reclaim), out);
    }

    fn keep_on_endpoint(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.stays_on_endpoint = true;
        }
    }

    /// Returns how long the remaining tokens take at most, at the mean interval of this attempt.
    fn time_to_finish(&self, now: Millis) -> Millis {
        let Some(attempt) = &self.attempt else {
            return Millis::MAX;
        };
        let interval = match attempt.first_token_at {
            Some(first_token_at) if attempt.tokens > 1 => {
                let intervals = u64::from(attempt.tokens - 1);
                Millis(now.since(first_token_at).0.div_ceil(intervals).max(1))
            }
            _ => self.cfg.token_interval,
        };
        interval * u64::from(self.spec.max_tokens.saturating_sub(self.next_index))
    }

    /// Returns how long the transfer of the KV cache of all tokens so far takes.
    fn kv_transfer_time(&self) -> Millis {
        let tokens = self.spec.prompt_tokens + u64::from(self.next_index);
        Millis((tokens * self.cfg.kv_us_per_token).div_ceil(1000))
    }

    /// Decides what a new attempt starts from: the beginning, imported KV cache, or a recomputed
    /// prefix.
    pub(super) fn resume_point(
        &mut self,
        lifecycle: &Lifecycle<Dispatched>,
        placement: &Placement,
        cause: Option<RecomputeCause>,
        out: &mut Vec<Action>,
    ) -> Option<ResumePoint> {
        let kv_source = self.kv_source.take();
        let is_moved = self.attempt.is_some() || kv_source.is_some();
        if !is_moved && !lifecycle.may_have_sent() {
            return None;
        }
        let tokens = self.spec.prompt_tokens + u64::from(self.next_index);
        let uncached = tokens.saturating_sub(placement.cached_tokens);
        let transfer_us = tokens * self.cfg.kv_us_per_token;
        let prefill_us = uncached * self.cfg.prefill_us_per_token;
        let kv_source = kv_source.filter(|_| !self.spec.is_idempotent || transfer_us < prefill_us);
        if let (None, Some(cause)) = (&kv_source, cause) {
            out.push(Action::CountRecomputed { cause, tokens: uncached });
        }
        if self.spec.kind == ServiceKind::Plain || (self.next_index == 0 && kv_source.is_none()) {
            return None;
        }
        let next_index = self.next_index;
        Some(ResumePoint {
            next_index,
            is_same_run: kv_source.is_some() && !self.spec.is_idempotent,
            kv_source,
        })
    }
}
