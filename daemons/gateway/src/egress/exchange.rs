//! A request in flight, and what its answer says about its path.

use std::sync::atomic::Ordering;

use futures_util::future::BoxFuture;
use sill_base::{Millis, event};
use sill_net::h1::Answer;

use super::{Exchange, Via};

impl Exchange {
    /// Records the head of the answer.
    pub(super) fn answered(mut self, answer: Answer) -> (Answer, Self) {
        (self.opened_at, self.is_answered) = (answer.opened_at.0, true);
        let (now, mut paths) = (self.egress.clock.now(), self.egress.paths.lock());
        match &self.via {
            Some(_) => {
                paths.record_tunnel(now, self.address, true);
                paths.record_tunnel_end();
                self.egress.metrics.tunnel_answers.with_label_values(&["answered"]).inc();
            }
            None => paths.record_answered(now, self.address, answer.opened_at),
        }
        drop(paths);
        if let Some(via) = &self.via {
            let mut relays = self.egress.relays.lock();
            relays.list.health.record_heard(via.address);
            relays.list.health.record_end(via.address, self.address);
        }
        (answer, self)
    }

    /// Ends an exchange of which no byte was sent.
    pub(super) fn withdraw(mut self) {
        self.is_sent = false;
    }

    /// Records that a part of the answer arrived.
    pub fn record_heard(&self) {
        // What arrives in a tunnel says nothing about the own connections.
        if self.via.is_some() {
            self.egress.is_tunnel_heard.store(true, Ordering::Relaxed);
        }
        self.heard.fetch_max(self.opened_at + 1, Ordering::Relaxed);
    }

    /// Records that the process of the endpoint sent something at `at` or later.
    pub fn record_sign(&self, at: Millis) {
        self.sign.record(Millis(self.opened_at), at);
    }

    /// Records that a request in a tunnel has ended without an answer.
    pub(super) fn record_unanswered(&self, via: &Via) {
        self.egress.paths.lock().record_tunnel_end();
        self.egress.relays.lock().list.health.record_end(via.address, self.address);
        if !self.is_sent {
            return;
        }
        self.egress.metrics.tunnel_answers.with_label_values(&["unanswered"]).inc();
        event!(
            Info,
            "tunnel_unanswered",
            id = self.id,
            via = via.entry,
            address = self.address,
            ms = self.egress.clock.now() - self.sent_at
        );
    }

    /// Returns when the own connection to the endpoint was opened.
    pub fn opened_at(&self) -> Millis {
        if self.via.is_some() { Millis::ZERO } else { Millis(self.opened_at) }
    }

    /// Returns the tunnel that carries the request.
    pub const fn via(&self) -> Option<&Via> {
        self.via.as_ref()
    }

    /// Waits until the path is lost on which the answer arrives.
    pub fn wait_until_stuck(&self) -> BoxFuture<'static, ()> {
        if self.via.is_some() {
            return Box::pin(std::future::pending());
        }
        let (egress, address) = (self.egress.clone(), self.address);
        Box::pin(async move { egress.wait_until_stuck(address).await })
    }

    /// Waits for `pause`, and then until the path is lost.
    pub fn wait_until_still_stuck(&self, pause: Millis) -> BoxFuture<'static, ()> {
        let stuck = self.wait_until_stuck();
        Box::pin(async move {
            tokio::time::sleep(pause.into()).await;
            stuck.await;
        })
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        match &self.via {
            None => self.egress.paths.lock().record_end(self.address, self.is_answered),
            Some(via) if !self.is_answered => self.record_unanswered(via),
            Some(_) => {}
        }
    }
}
