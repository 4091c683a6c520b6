//! Where and how a request goes on when its endpoint is leaving or lost.

use sill_base::{Millis, Name};
use sill_wire::{ErrorCode, Incarnation};

use super::cfg::Weakening;
use super::event::{Action, Placement, RecomputeCause, ResumePoint, ServiceKind};
use super::{InFlightRequest, Stage};
use crate::lifecycle::{Dispatched, Lifecycle};

impl InFlightRequest {
    /// Decides whether to see the answer through on an endpoint that is leaving, or to move it.
    pub(super) fn leaving(
        &mut self,
        now: Millis,
        endpoint: &Name,
        incarnation: Incarnation,
        left: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let same = attempt.place.endpoint == *endpoint && attempt.place.incarnation == incarnation;
        if !same || attempt.stays || self.search.is_some() {
            return;
        }
        if !matches!(self.stage, Stage::Dispatched(_)) {
            return;
        }
        if self.weakened(Weakening::GiveUpOnReclaim) {
            let message = "the endpoint is leaving";
            self.give_up(now, ErrorCode::UpstreamFailed, message, Millis::ZERO, out);
            return;
        }
        if self.time_to_finish(now) + self.cfg.reclaim_margin <= left {
            return;
        }
        let fits = self.kv_time() + self.cfg.reclaim_margin <= left;
        let movable = self.spec.kind == ServiceKind::Model && fits && self.next > 0;
        if !self.spec.is_idempotent && !movable {
            self.stay();
            return;
        }
        // A plain call can't be resumed; it may still come to its end here, and is sent again if not.
        if self.spec.kind == ServiceKind::Plain {
            self.stay();
            return;
        }
        self.kv_from = movable.then(|| attempt.place.clone());
        self.excluded = vec![endpoint.clone()];
        self.search(now, Some(RecomputeCause::Reclaim), out);
    }

    fn stay(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.stays = true;
        }
    }

    /// Returns how long the rest of the answer takes at most, at the pace seen so far.
    fn time_to_finish(&self, now: Millis) -> Millis {
        let Some(attempt) = &self.attempt else {
            return Millis::MAX;
        };
        let pace = match attempt.first_token {
            Some(first) if attempt.tokens > 1 => {
                let between = u64::from(attempt.tokens - 1);
                Millis(now.since(first).0.div_ceil(between).max(1))
            }
            _ => self.cfg.token_interval,
        };
        pace * u64::from(self.spec.max_tokens.saturating_sub(self.next))
    }

    /// Returns how long the move of all computed tokens takes.
    fn kv_time(&self) -> Millis {
        let tokens = self.spec.prompt_tokens + u64::from(self.next);
        Millis((tokens * self.cfg.kv_us_per_token).div_ceil(1000))
    }

    /// Decides what a new attempt starts from: nothing, moved KV cache, or computed again.
    pub(super) fn resume_at(
        &mut self,
        life: &Lifecycle<Dispatched>,
        place: &Placement,
        cause: Option<RecomputeCause>,
        out: &mut Vec<Action>,
    ) -> Option<ResumePoint> {
        let kv_from = self.kv_from.take();
        let moved = self.attempt.is_some() || kv_from.is_some();
        if !moved && !life.may_have_sent() {
            return None;
        }
        let tokens = self.spec.prompt_tokens + u64::from(self.next);
        let missing = tokens.saturating_sub(place.cached_tokens);
        let by_kv = tokens * self.cfg.kv_us_per_token;
        let by_prefill = missing * self.cfg.prefill_us_per_token;
        let kv_from = kv_from.filter(|_| !self.spec.is_idempotent || by_kv < by_prefill);
        if let (None, Some(cause)) = (&kv_from, cause) {
            out.push(Action::CountRecomputed { cause, tokens: missing });
        }
        if self.spec.kind == ServiceKind::Plain || (self.next == 0 && kv_from.is_none()) {
            return None;
        }
        let next = self.next;
        Some(ResumePoint {
            next_index: next,
            is_same_run: kv_from.is_some() && !self.spec.is_idempotent,
            kv_source: kv_from,
        })
    }
}
