//! Has the process of an endpoint reply to a request that it doesn't run.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use parking_lot::Mutex;
use sill_base::{Millis, Name};
use sill_dispatch::EndpointSign;
use sill_net::h1::{Answer, ConnectFailure, Connection, KeptOutcome, Probe, Target};
use sill_wire::Incarnation;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use super::{Destination, Egress};

/// Longest time that a connection may have been idle if a ping is sent on it.
const MAX_IDLE: Millis = Millis(2000);

/// How long a connection is kept for the next ping, in addition to the time for which ends are in doubt.
const KEPT_MARGIN: Millis = Millis(1000);

/// Upper bound in bytes on the reply to a ping that is read. Its head is the proof; a connection is kept if
/// the rest is short.
const MAX_REPLY: usize = 4 << 10;

/// Connections kept for the pings of one endpoint.
const MAX_KEPT: usize = 2;

/// Time for a ping that is under way to be replied to before the endpoint is tried beside it.
const TURN_TIME: Millis = Millis(20);

/// The pings of one endpoint. One is under way at a time: an endpoint that was silent has to reply to it
/// only, and its connection shows which process does.
#[derive(Debug)]
pub(super) struct Pings {
    turn: Arc<Semaphore>,
    /// Connections for the next pings. No other request is sent on them, as it could close them.
    kept: Mutex<Vec<Kept>>,
}

#[derive(Debug)]
struct Kept {
    connection: Connection,
    opened_at: Millis,
    used_at: Millis,
}

impl Default for Pings {
    fn default() -> Self {
        Self { turn: Arc::new(Semaphore::new(1)), kept: Mutex::default() }
    }
}

impl Pings {
    /// Takes the oldest connection: of all, a reply on it shows most.
    fn take(&self) -> Option<Connection> {
        let mut kept = self.kept.lock();
        kept.retain(|kept| !kept.connection.is_closed());
        (!kept.is_empty()).then(|| kept.remove(0).connection)
    }

    fn keep(&self, now: Millis, opened_at: Millis, connection: Connection) {
        let mut kept = self.kept.lock();
        kept.retain(|kept| !kept.connection.is_closed());
        kept.push(Kept { connection, opened_at, used_at: now });
        kept.sort_by_key(|kept| kept.opened_at);
        kept.truncate(MAX_KEPT);
    }

    fn has_kept(&self) -> bool {
        self.kept.lock().iter().any(|kept| !kept.connection.is_closed())
    }

    /// Closes the connections on which no ping was sent for this time. Returns whether any remains.
    fn expire(&self, now: Millis, limit: Millis) -> bool {
        let mut kept = self.kept.lock();
        kept.retain(|kept| now - kept.used_at < limit && !kept.connection.is_closed());
        !kept.is_empty()
    }
}

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
        let due = Instant::now() + wait.into();
        let pings = self.pings.lock().entry(key_of(to)).or_default().clone();
        let own_turn = due.min(Instant::now() + TURN_TIME.into());
        let mut turn =
            tokio::time::timeout_at(own_turn, pings.turn.clone().acquire_owned()).await.ok();
        let mut beside = EndpointSign::Unclear;
        if turn.is_none() {
            let trying = self.try_beside(to, &pings);
            beside = tokio::time::timeout_at(due, trying).await.unwrap_or(beside);
            turn = tokio::time::timeout_at(due, pings.turn.clone().acquire_owned()).await.ok();
        }
        // It is never closed.
        let Some(Ok(turn)) = turn else { return beside };
        let (tx, mut sign) = watch::channel(EndpointSign::Unclear);
        let (egress, of, own) = (self.clone(), to.clone(), pings.clone());
        // The reply of a silent endpoint shows later that it ran, on a connection that a process which takes
        // its address over doesn't have.
        tokio::spawn(async move {
            let _turn = turn;
            let pinging = egress.ping_on_any(&of, &own, &req, &is_reply, &tx);
            let _ = tokio::time::timeout(egress.late_time.into(), pinging).await;
        });
        // What was seen until then counts.
        let seen = async { while sign.changed().await.is_ok() {} };
        let _ = tokio::time::timeout_at(due, seen).await;
        let sign = *sign.borrow();
        if matches!(sign, EndpointSign::Open | EndpointSign::Unclear) && !pings.has_kept() {
            // Some endpoints close the connection of each reply.
            let (egress, of) = (self.clone(), to.clone());
            tokio::spawn(async move { egress.try_beside(&of, &pings).await });
        }
        sign
    }

    async fn ping_on_any<F>(
        &self,
        to: &Destination,
        pings: &Pings,
        req: &Request<Full<Bytes>>,
        is_reply: &F,
        sign: &watch::Sender<EndpointSign>,
    ) where
        F: Fn(&Response<Incoming>) -> bool,
    {
        let record_reply = |sent_at: Millis, opened_at: Millis| {
            sign.send_replace(EndpointSign::Heard(opened_at));
            if sign.is_closed() {
                // Nobody waits for the reply any more.
                self.signs.begin(to).record_late(opened_at, sent_at, self.clock.now());
            }
        };
        let sent_at = self.clock.now();
        if let Some(connection) = pings.take()
            && let Ok(answer) = self.pool.send_on(connection, req.clone()).await
            && is_reply(&answer.response)
        {
            record_reply(sent_at, answer.opened_at);
            return self.finish(pings, answer).await;
        }
        let target = Target { address: to.address, via: None };
        if let KeptOutcome::Answered(answer) =
            self.pool.send_kept(target, req.clone(), MAX_IDLE).await
            && is_reply(&answer.response)
        {
            record_reply(sent_at, answer.opened_at);
            return self.finish(pings, answer).await;
        }
        let connection = match self.pool.connect(to.address).await {
            Ok(connection) => connection,
            Err(err) => {
                sign.send_replace(self.record_failure(to, &err));
                return;
            }
        };
        sign.send_replace(EndpointSign::Open);
        let sent_at = self.clock.now();
        match self.pool.send_on(connection, req.clone()).await {
            Ok(answer) if is_reply(&answer.response) => {
                self.record_probe(to, Probe::Open);
                record_reply(sent_at, answer.opened_at);
                self.finish(pings, answer).await;
            }
            Ok(_) => self.record_probe(to, Probe::Open),
            Err(_) => self.record_probe(to, Probe::Closed),
        }
    }

    /// Opens a connection beside a ping that is under way, and keeps it for a later one.
    async fn try_beside(&self, to: &Destination, pings: &Pings) -> EndpointSign {
        match self.pool.connect(to.address).await {
            Ok(connection) => {
                let now = self.clock.now();
                pings.keep(now, now, connection);
                EndpointSign::Open
            }
            Err(err) => self.record_failure(to, &err),
        }
    }

    /// Records that a connection to an endpoint didn't open, and returns what that shows.
    fn record_failure(&self, to: &Destination, err: &ConnectFailure) -> EndpointSign {
        let (probe, sign) = match (err.is_refused, err.is_reset) {
            (true, _) => (Probe::Refused, EndpointSign::Closed),
            (false, true) => (Probe::Closed, EndpointSign::Open),
            (false, false) => (Probe::Failed, EndpointSign::Unclear),
        };
        self.record_probe(to, probe);
        sign
    }

    /// Reads the rest of a reply, and keeps its connection for the next pings: a reply on it is of the same
    /// process.
    async fn finish(&self, pings: &Pings, answer: Answer) {
        let opened_at = answer.opened_at;
        let (response, connection) = answer.into_parts();
        let body = Limited::new(response.into_body(), MAX_REPLY).collect().await;
        if let (Ok(_), Some(connection)) = (body, connection) {
            pings.keep(self.clock.now(), opened_at, connection.into_connection());
        }
    }

    /// Closes the connections on which no ping was sent lately.
    pub(super) fn expire_pings(&self, now: Millis) {
        let limit = self.late_time + KEPT_MARGIN;
        self.pings.lock().retain(|_, pings| {
            // One that is under way keeps its turn.
            pings.expire(now, limit) || pings.turn.available_permits() == 0
        });
    }
}

fn key_of(to: &Destination) -> (Name, Incarnation) {
    (to.endpoint.clone(), to.incarnation)
}
