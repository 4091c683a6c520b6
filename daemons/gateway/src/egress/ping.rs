//! Has the process of an endpoint reply to a request that it doesn't run.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use sill_base::{Millis, Name};
use sill_dispatch::EndpointSign;
use sill_net::h1::{Answer, KeptOutcome, Probe, Target};
use sill_wire::Incarnation;
use tokio::sync::watch;

use super::{Destination, Egress};

/// Longest time that a connection may have been idle if a ping is sent on it.
const MAX_IDLE: Millis = Millis(2000);

/// How long a connection is kept for the next ping. Ends are in doubt for less.
const KEPT: Millis = Millis(2500);

/// Time after which a reply to a ping is no longer waited for at all.
const LATE_TIME: Millis = Millis(800);

/// Upper bound in bytes on the reply to a ping that is read. Its head is the proof; a connection is kept if
/// the rest is short.
const MAX_REPLY: usize = 4 << 10;

impl Egress {
    /// Sends a request that the endpoint doesn't run, on a kept connection if there is one, and waits at
    /// most `wait` for a reply that counts by `is_reply`. An endpoint that is full resets new connections, so only
    /// refused ones show that it has ended.
    pub async fn ping<F>(
        self: &Arc<Self>,
        to: &Destination,
        req: Request<Full<Bytes>>,
        wait: Millis,
        is_reply: F,
    ) -> EndpointSign
    where
        F: Fn(&Response<Incoming>) -> bool + Send + Sync + 'static,
    {
        let (tx, mut sign) = watch::channel(EndpointSign::Unclear);
        let (egress, to) = (self.clone(), to.clone());
        // The reply of a busy endpoint shows later that it ran, and its connection is kept. The next ping would
        // open one that is too young.
        tokio::spawn(async move {
            let pinging = egress.ping_on_any(&to, &req, &is_reply, &tx);
            let _ = tokio::time::timeout(LATE_TIME.into(), pinging).await;
        });
        // What was seen until then counts.
        let seen = async { while sign.changed().await.is_ok() {} };
        let _ = tokio::time::timeout(wait.into(), seen).await;
        *sign.borrow()
    }

    async fn ping_on_any<F>(
        &self,
        to: &Destination,
        req: &Request<Full<Bytes>>,
        is_reply: &F,
        sign: &watch::Sender<EndpointSign>,
    ) where
        F: Fn(&Response<Incoming>) -> bool,
    {
        let key = (to.endpoint.clone(), to.incarnation);
        let record_reply = |sent_at: Millis, opened_at: Millis| {
            sign.send_replace(EndpointSign::Heard(opened_at));
            if sign.is_closed() {
                // Nobody waits for the reply any more.
                self.signs.begin(to).record(opened_at, sent_at);
            }
        };
        let sent_at = self.clock.now();
        let kept = self.pings.lock().remove(&key).filter(|(kept, _)| !kept.is_closed());
        if let Some((connection, _)) = kept
            && let Ok(answer) = self.pool.send_on(connection, req.clone()).await
            && is_reply(&answer.response)
        {
            record_reply(sent_at, answer.opened_at);
            return self.finish(key, answer).await;
        }
        let target = Target { address: to.address, via: None };
        if let KeptOutcome::Answered(answer) =
            self.pool.send_kept(target, req.clone(), MAX_IDLE).await
            && is_reply(&answer.response)
        {
            record_reply(sent_at, answer.opened_at);
            return self.finish(key, answer).await;
        }
        let connection = match self.pool.connect(to.address).await {
            Ok(connection) => connection,
            Err(err) => {
                let probe = match (err.is_refused, err.is_reset) {
                    (true, _) => Probe::Refused,
                    (false, true) => Probe::Closed,
                    (false, false) => Probe::Failed,
                };
                self.record_probe(to, probe);
                sign.send_replace(match probe {
                    Probe::Refused => EndpointSign::Closed,
                    Probe::Closed => EndpointSign::Open,
                    _ => EndpointSign::Unclear,
                });
                return;
            }
        };
        sign.send_replace(EndpointSign::Open);
        let sent_at = self.clock.now();
        match self.pool.send_on(connection, req.clone()).await {
            Ok(answer) if is_reply(&answer.response) => {
                self.record_probe(to, Probe::Open);
                record_reply(sent_at, answer.opened_at);
                self.finish(key, answer).await;
            }
            Ok(_) => self.record_probe(to, Probe::Open),
            Err(_) => self.record_probe(to, Probe::Closed),
        }
    }

    /// Reads the rest of a reply, and keeps its connection for the next pings: a reply on it is of the same
    /// process.
    async fn finish(&self, key: (Name, Incarnation), answer: Answer) {
        let (response, connection) = answer.into_parts();
        let body = Limited::new(response.into_body(), MAX_REPLY).collect().await;
        if let (Ok(_), Some(connection)) = (body, connection) {
            self.pings.lock().insert(key, (connection.into_connection(), self.clock.now()));
        }
    }

    /// Closes the connections on which no ping was sent lately.
    pub(super) fn expire_pings(&self, now: Millis) {
        self.pings.lock().retain(|_, (kept, used_at)| now - *used_at < KEPT && !kept.is_closed());
    }
}
