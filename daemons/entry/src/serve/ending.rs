//! How a driver hands its request over, and how it ends it.

use ntex::util::Bytes;
use sill_base::{Millis, Name, event};
use sill_flight::Event;
use sill_flight::flight::ServiceKind;
use sill_flight::handoff::HandOffRun;
use sill_wire::ErrorCode;
use sill_wire::claim::{ClaimAsk, ClaimOutcome};
use sill_wire::handoff::FailedRun;
use tokio::sync::oneshot;

use super::attach::{self, Source};
use super::caller::{Final, Out};
use super::driver::{Driver, Form};
use super::run::RunEnd;
use super::signals::Offer;

impl Driver {
    pub(super) fn signalled(&mut self) {
        self.check_notice();
        let model = self.order.run.spec.kind == ServiceKind::Model;
        if !model || self.offer.is_some() || !self.flight.may_have_sent() {
            return;
        }
        let Some(offers) = self.app.signals.offers() else {
            return;
        };
        let (taken_by, answer) = oneshot::channel();
        let run = self.handed();
        if offers.send(Offer { run, taken_by }).is_ok() {
            self.offer = Some(answer);
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
                time_left: notice.dies_at.since(self.now()),
            });
        }
    }

    pub(super) fn handed(&self) -> HandOffRun {
        let run = &self.order.run;
        HandOffRun {
            spec: run.spec.clone(),
            account: run.key.account.clone(),
            key: run.key.clone(),
            body_hash: run.body_hash.clone(),
            path: run.path.clone(),
            model: run.target.clone(),
            body: String::from_utf8_lossy(&self.order.outgoing.body).into_owned(),
            transcript: run.with_transcript(|t| t.clone()),
            placement: self.flight.placement().cloned(),
        }
        .with_relative_deadline(self.now())
    }

    pub(super) fn offered(&mut self, taken_by: Option<Name>) {
        self.offer = None;
        match taken_by {
            Some(peer) => {
                self.note(format!("handed over to {peer}"));
                self.ended = Some(RunEnd::Moved(peer));
            }
            None => self.note("no peer took it over".to_owned()),
        }
    }

    /// Tells everyone how it ended.
    pub(super) async fn finish(mut self) -> Option<Source> {
        let ended = self.ended.take().unwrap_or(RunEnd::Abandoned);
        // What was found under another's claim is counted and settled there.
        if !self.elsewhere {
            self.count(&ended);
            self.settle_claim(&ended);
        }
        self.order.run.end(ended.clone());
        self.app.runs.close(self.now(), &self.order.run);
        // A key whose request has no answer may be sent again, and must not lead here.
        if !matches!(ended, RunEnd::Whole | RunEnd::Reply(_) | RunEnd::Moved(_)) {
            super::forget_later(&self.app, &self.order.run);
        }
        if self.elsewhere {
            return Some(match ended {
                RunEnd::Moved(peer) => Source::At(peer),
                _ => Source::Here(self.order.run.clone()),
            });
        }
        if let Some(sink) = self.order.sink.take() {
            if !self.waiting.is_empty() {
                let rest = Bytes::from(std::mem::take(&mut self.waiting));
                let _ = sink.send(Out::Part(rest)).await;
            }
            let _ = sink.send(Out::End(self.last_word(ended))).await;
            // Until the caller has taken it, it counts as in flight, else a planned stop cuts it.
            sink.closed().await;
        }
        None
    }

    pub(super) fn count(&self, ended: &RunEnd) {
        let metrics = &self.app.metrics;
        let what = match ended {
            RunEnd::Whole => {
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
                    ms = self.now() - self.received
                );
                format!("refused, not run: {}", refusal.message())
            }
            RunEnd::Moved(peer) => format!("runs at {peer}"),
            RunEnd::Abandoned => "nobody waits for it".to_owned(),
        };
        self.note(what);
    }

    pub(super) fn settle_claim(&self, ended: &RunEnd) {
        let Some(claim) = &self.order.run.spec.claim else {
            return;
        };
        let outcome = match ended {
            RunEnd::Reply(reply) => ClaimOutcome::Answered {
                status: reply.status,
                body: std::str::from_utf8(reply.body.as_bytes()).ok().map(str::to_owned),
            },
            RunEnd::Whole => {
                ClaimOutcome::Answered { status: 200, body: Some(self.whole_answer().to_string()) }
            }
            // The machine has told the log of every other end.
            _ => return,
        };
        let ask = ClaimAsk::Finish { key: claim.key.clone(), owner: claim.owner.clone(), outcome };
        self.app.claims.settle(ask);
    }

    pub(super) fn last_word(&self, ended: RunEnd) -> Final {
        match ended {
            RunEnd::Whole if self.order.form == Form::Whole => {
                Final::Reply(attach::json_reply(&self.whole_answer()))
            }
            RunEnd::Whole => Final::Whole,
            RunEnd::Reply(reply) => Final::Reply(reply),
            RunEnd::Failed(failed) => failed.into(),
            RunEnd::NotRun(refusal) => Final::NotRun(refusal),
            RunEnd::Moved(_) => Final::Moved,
            RunEnd::Abandoned => Final::Failed(FailedRun {
                code: ErrorCode::Internal,
                message: "nobody waits for it".to_owned(),
                retry_after: Some(Millis(1000)),
            }),
        }
    }
}
