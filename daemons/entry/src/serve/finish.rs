//! How a driver hands over its request, and how it ends it.

use ntex::util::Bytes;
use sill_base::{Millis, Name, event};
use sill_flight::Event;
use sill_flight::flight::ServiceKind;
use sill_flight::handoff::HandOffRun;
use sill_wire::ErrorCode;
use sill_wire::claim::{ClaimAsk, ClaimOutcome};
use sill_wire::handoff::FailedRun;
use tokio::sync::oneshot;

use super::attach::{self, AnswerSource};
use super::caller::{ResponseEnd, ResponseItem};
use super::driver::{Driver, ResponseMode};
use super::run::RunEnd;
use super::signals::Offer;

impl Driver {
    pub(super) fn on_signal(&mut self) {
        self.check_notice();
        let is_model = self.job.run.spec.kind == ServiceKind::Model;
        if !is_model || self.offer_reply.is_some() || !self.flight.may_have_sent() {
            return;
        }
        let Some(offers) = self.app.signals.offers() else {
            return;
        };
        let (accepted_by, answer) = oneshot::channel();
        let run = self.hand_off_run();
        if offers.send(Offer { run, accepted_by }).is_ok() {
            self.offer_reply = Some(answer);
        }
    }

    pub(super) fn check_notice(&mut self) {
        let Some(place) = self.flight.placement() else {
            return;
        };
        if let Some(notice) = self.app.signals.notice(&place.endpoint, place.incarnation) {
            self.events.push_back(Event::EndpointLeaving {
                endpoint: place.endpoint.clone(),
                incarnation: place.incarnation,
                time_left: notice.gone_at.since(self.now()),
            });
        }
    }

    pub(super) fn hand_off_run(&self) -> HandOffRun {
        let run = &self.job.run;
        HandOffRun {
            spec: run.spec.clone(),
            account: run.key.account.clone(),
            key: run.key.clone(),
            body_hash: run.body_hash.clone(),
            path: run.path.clone(),
            model: run.target.clone(),
            body: String::from_utf8_lossy(&self.job.upstream_request.body).into_owned(),
            transcript: run.with_transcript(|t| t.clone()),
            placement: self.flight.placement().cloned(),
        }
        .with_relative_deadline(self.now())
    }

    pub(super) fn on_offer_reply(&mut self, accepted_by: Option<Name>) {
        self.offer_reply = None;
        match accepted_by {
            Some(peer) => {
                self.note(format!("handed over to {peer}"));
                self.end = Some(RunEnd::Moved(peer));
            }
            None => self.note("no peer took it over".to_owned()),
        }
    }

    /// Publishes the end to the claims' log, followers and the caller.
    pub(super) async fn finish(mut self) -> Option<AnswerSource> {
        let end = self.end.take().unwrap_or(RunEnd::Abandoned);
        // If another request holds the claim, its driver counts and settles the request.
        if !self.is_attached {
            self.record_end(&end);
            self.settle_claim(&end);
        }
        self.job.run.set_end(end.clone());
        self.app.runs.close(self.now(), &self.job.run);
        // A request without an answer may be sent again, and its key must not lead to this run.
        if !matches!(end, RunEnd::Complete | RunEnd::Reply(_) | RunEnd::Moved(_)) {
            super::spawn_forget(&self.app, &self.job.run);
        }
        if self.is_attached {
            return Some(match end {
                RunEnd::Moved(peer) => AnswerSource::Remote(peer),
                _ => AnswerSource::Local(self.job.run.clone()),
            });
        }
        if let Some(sender) = self.job.sender.take() {
            if !self.send_buffer.is_empty() {
                let remaining = Bytes::from(std::mem::take(&mut self.send_buffer));
                let _ = sender.send(ResponseItem::Data(remaining)).await;
            }
            let _ = sender.send(ResponseItem::End(self.response_end(end))).await;
            // The request counts as in flight until the caller has read all of it, otherwise a
            // planned stop would cut it off.
            sender.closed().await;
        }
        None
    }

    pub(super) fn record_end(&self, end: &RunEnd) {
        let metrics = &self.app.metrics;
        let what = match end {
            RunEnd::Complete => {
                metrics.answered.inc();
                "answered whole".to_owned()
            }
            RunEnd::Reply(reply) => {
                metrics.answered.inc();
                format!("answered with status {}", reply.status)
            }
            RunEnd::Failed(failed) => {
                metrics.failed.inc();
                event!(Info, "request_failed", request = failed.request, why = failed.message);
                format!("given up: {}", failed.message)
            }
            RunEnd::NotRun(refusal) => {
                metrics.refused.inc();
                event!(
                    Info,
                    "request_refused",
                    request = refusal.request(),
                    why = refusal.message(),
                    attempts = self.flight.attempts(),
                    ms = self.now() - self.received_at
                );
                format!("refused, not run: {}", refusal.message())
            }
            RunEnd::Moved(peer) => format!("runs at {peer}"),
            RunEnd::Abandoned => "nobody waits for it".to_owned(),
        };
        self.note(what);
    }

    pub(super) fn settle_claim(&self, end: &RunEnd) {
        let Some(claim) = &self.job.run.spec.claim else {
            return;
        };
        let outcome = match end {
            RunEnd::Reply(reply) => ClaimOutcome::Answered {
                status: reply.status,
                body: std::str::from_utf8(reply.body.as_bytes()).ok().map(str::to_owned),
            },
            RunEnd::Complete => {
                ClaimOutcome::Answered { status: 200, body: Some(self.full_answer().to_string()) }
            }
            // The state machine reports every other end to the claims' log itself.
            _ => return,
        };
        let ask = ClaimAsk::Finish { key: claim.key.clone(), owner: claim.owner.clone(), outcome };
        self.app.claims.settle(ask);
    }

    pub(super) fn response_end(&self, end: RunEnd) -> ResponseEnd {
        match end {
            RunEnd::Complete if self.job.mode == ResponseMode::Full => {
                ResponseEnd::Reply(attach::json_reply(&self.full_answer()))
            }
            RunEnd::Complete => ResponseEnd::Complete,
            RunEnd::Reply(reply) => ResponseEnd::Reply(reply),
            RunEnd::Failed(failed) => failed.into(),
            RunEnd::NotRun(refusal) => ResponseEnd::NotRun(refusal),
            RunEnd::Moved(_) => ResponseEnd::Moved,
            RunEnd::Abandoned => ResponseEnd::Failed(FailedRun {
                code: ErrorCode::Internal,
                message: "nobody waits for it".to_owned(),
                retry_after: Some(Millis(1000)),
            }),
        }
    }
}
