//! Finds out whether an endpoint runs or has ended, with the help of other entry instances.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use futures_util::future;
use http::Response;
use sill_base::{Millis, Name, event};
use sill_dispatch::check::check_endpoint;
use sill_dispatch::{EndpointCheck, EndpointSign, TICK};
use sill_net::h1::Probe;
use sill_net::{PeerClient, PeerError, PeerServerBuilder};
use sill_wire::RequestKey;
use sill_wire::probe::{
    EndpointProbe, ProbeEndpoint, ProbeEndpointReply, ReportEnd, ReportEndReply,
};

use crate::egress::{Destination, Via};
use crate::state::State;
use crate::stream_end::EndedAnswer;

/// Number of other entry instances that are asked.
const ASKED: usize = 3;

/// Time for an endpoint to reply to this instance.
const REPLY_TIME: Millis = Millis(150);

/// Upper bound on the time for which another instance keeps a connection open, or waits for a reply.
const MAX_WAIT: Millis = Millis(100);

/// Time for another instance to answer.
const CALL_TIME: Millis = Millis(MAX_WAIT.0 + 50);

/// Time that [`State::check_process`] takes at most.
pub const CHECK_TIME: Millis = Millis(REPLY_TIME.0 + CALL_TIME.0);

/// Number of calls to the instance that carried an answer, until one is answered. It may have closed an idle
/// connection, or be busy.
const CARRIER_CALLS: usize = 4;

/// The address of an endpoint that is not known.
const NO_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

impl State {
    /// Finds out whether an endpoint has ended: whether connections to it are refused, or closed
    /// within `wait`, here and at other entry instances.
    pub async fn check_endpoint(&self, to: &Destination, wait: Millis) -> EndpointCheck {
        let own = sign_of(self.egress.probe(to, wait).await);
        let (mut asked, mut replies) = (0, Vec::new());
        if own != EndpointSign::Open {
            let (clients, is_complete) = self.others(&to.endpoint, None);
            asked = clients.len() + usize::from(!is_complete);
            replies = self.ask(to, &clients, wait, false).await;
        }
        self.decide_check(to, None, own, asked, &replies).await.0
    }

    /// Finds out whether the process of an endpoint runs, here and then at other entry instances: first
    /// at the one that carried its answer, if it was in a tunnel.
    /// Returns the result, and when the oldest connection was opened on which the process was heard.
    pub async fn check_process(
        &self,
        to: &Destination,
        via: Option<&Via>,
    ) -> (EndpointCheck, Option<Millis>) {
        let own = match via {
            Some(_) => EndpointSign::Unclear,
            None => self.ping(to, REPLY_TIME).await,
        };
        let (mut asked, mut replies) = (0, Vec::new());
        if own.opened_at().is_none() {
            let (clients, is_complete) = self.others(&to.endpoint, via);
            asked = clients.len() + usize::from(!is_complete);
            replies = self.ask(to, &clients, MAX_WAIT, true).await;
        }
        self.decide_check(to, via, own, asked, &replies).await
    }

    /// Returns whether the process that has carried an answer runs later than its end. One that is killed
    /// closes its tunnels like endpoints that have sent all.
    pub async fn is_carrier_running(&self, ended: &EndedAnswer) -> bool {
        let Some(via) = &ended.via else { return true };
        let client = self.streams.client(via.address);
        let call = self.end_report(&ended.to, &ended.answer, ended.ended_at);
        for _ in 0..CARRIER_CALLS {
            match tokio::time::timeout(CALL_TIME.into(), client.call(&call)).await {
                Ok(Ok(_) | Err(PeerError::Refused(_))) => return true,
                Ok(Err(PeerError::Unreachable(_))) => tokio::time::sleep(TICK.into()).await,
                Err(_) => {}
            }
        }
        event!(
            Info,
            "carrier_not_shown",
            endpoint = ended.to.endpoint,
            id = ended.answer,
            via = via.entry
        );
        false
    }

    async fn decide_check(
        &self,
        to: &Destination,
        via: Option<&Via>,
        own: EndpointSign,
        asked: usize,
        replies: &[EndpointSign],
    ) -> (EndpointCheck, Option<Millis>) {
        let mut check = check_endpoint(own, asked, replies);
        if check == EndpointCheck::Silent && own == EndpointSign::Open && !self.may_ping(to) {
            check = EndpointCheck::Open;
        }
        if check == EndpointCheck::Ended && self.is_cut_off_after_tick().await {
            check = EndpointCheck::Unclear;
        }
        let label = check.name();
        self.metrics.endpoint_checks.with_label_values(&[label]).inc();
        event!(
            Info,
            "endpoint_checked",
            endpoint = to.endpoint,
            address = to.address,
            born = to.incarnation.0,
            via = via.map(|via| via.entry.clone()).unwrap_or_default(),
            own = own.name(),
            asked = asked,
            replies = format!("{replies:?}"),
            result = label
        );
        let heard = replies.iter().chain([&own]).filter_map(|sign| sign.opened_at());
        (check, heard.min())
    }

    /// Has the process of an endpoint reply within `wait`. If it wants no requests, a connection shows
    /// whether its host refuses it.
    async fn ping(&self, to: &Destination, wait: Millis) -> EndpointSign {
        let began_at = self.clock.now();
        let sign = match self.ping_of(&to.endpoint, to.incarnation, wait) {
            Some(req) => {
                let dialect = self.cfg.dialect.clone();
                let is_reply = move |reply: &Response<_>| {
                    dialect.is_ping_reply(reply.status(), reply.headers())
                };
                self.egress.ping(to, req, wait, is_reply).await
            }
            None => sign_of(self.egress.probe(to, wait).await),
        };
        self.heard_since(to, began_at, sign)
    }

    /// Returns whether an endpoint may be asked for a reply.
    pub fn may_ping(&self, to: &Destination) -> bool {
        self.ping_of(&to.endpoint, to.incarnation, Millis::ZERO).is_some()
    }

    /// Returns that the endpoint was heard if it was, and else `sign`.
    fn heard_since(&self, to: &Destination, since: Millis, sign: EndpointSign) -> EndpointSign {
        let heard = self.egress.heard_on(to, since).into_iter().chain(sign.opened_at()).min();
        heard.map_or(sign, EndpointSign::Heard)
    }

    /// Returns what other instances see of an endpoint, if they answer.
    async fn ask(
        &self,
        to: &Destination,
        clients: &[PeerClient],
        wait: Millis,
        needs_reply: bool,
    ) -> Vec<EndpointSign> {
        let call = ProbeEndpoint {
            endpoint: to.endpoint.clone(),
            incarnation: to.incarnation,
            wait,
            needs_reply,
        };
        let calls = clients.iter().map(|client| client.call(&call));
        let replies: Vec<_> = match needs_reply {
            true => answered_in_time(calls).await,
            false => future::join_all(calls).await.into_iter().flatten().collect(),
        };
        let now = self.clock.now();
        let signs = replies.into_iter().map(|reply| EndpointSign::of_reply(now, reply));
        let replies: Vec<EndpointSign> = signs.collect();
        self.egress.record_probes(to.address, &replies);
        replies
    }

    /// Returns clients of the entry instances that are asked about an endpoint, and whether these are all:
    /// one that is not known yet may reach the endpoint.
    fn others(&self, endpoint: &Name, via: Option<&Via>) -> (Vec<PeerClient>, bool) {
        let key = RequestKey::of(&[endpoint.as_str().as_bytes()]);
        // A new entry instance hears of tunnels before it hears of all other instances.
        let mut clients = self.streams.clients(key, ASKED, &self.egress.relay_addresses());
        let is_complete = clients.len() >= ASKED || self.streams.is_list_settled();
        if let Some(via) = via {
            clients.retain(|client| client.address() != via.address);
            clients.insert(0, self.streams.client(via.address));
        }
        (clients, is_complete)
    }

    /// Tells others that an answer of an endpoint has ended with its connection, and returns whether
    /// others may have ended with it: they are known to, or no other instance replies.
    pub async fn report_end(&self, to: &Destination, answer: &Name, ended_at: Millis) -> bool {
        let key = (to.endpoint.clone(), to.incarnation);
        self.stream_ends.record_end(self.clock.now(), key.clone(), answer, ended_at);
        let (clients, _) = self.others(&to.endpoint, None);
        let call = self.end_report(to, answer, ended_at);
        let replies = answered_in_time(clients.iter().map(|client| client.call(&call))).await;
        // All ends are reported to the same instances, so one reply is enough, but no reply shows nothing.
        let is_unknown = replies.is_empty() && !clients.is_empty();
        is_unknown
            || replies.iter().any(|reply| reply.has_other)
            || self.stream_ends.has_other_end(&key, answer, ended_at)
    }

    fn end_report(&self, to: &Destination, answer: &Name, ended_at: Millis) -> ReportEnd {
        ReportEnd {
            endpoint: to.endpoint.clone(),
            incarnation: to.incarnation,
            answer: answer.clone(),
            age: self.clock.now() - ended_at,
        }
    }

    /// Returns whether no endpoint is reached, once other connections had the time to fail as well.
    async fn is_cut_off_after_tick(&self) -> bool {
        tokio::time::sleep(TICK.into()).await;
        self.egress.is_cut_off()
    }

    /// Connects to an endpoint, or has it reply, for another entry instance.
    async fn answer_probe(&self, call: ProbeEndpoint) -> ProbeEndpointReply {
        let ProbeEndpoint { endpoint, incarnation, wait, needs_reply } = call;
        let began_at = self.clock.now();
        let address = self.address_of(&endpoint, incarnation);
        // It may be heard although it counts as ended.
        let to = Destination { endpoint, incarnation, address: address.unwrap_or(NO_ADDRESS) };
        let wait = wait.min(MAX_WAIT);
        let sign = match address {
            Some(_) if needs_reply => self.ping(&to, wait).await,
            Some(_) => sign_of(self.egress.probe(&to, wait).await),
            None => self.heard_since(&to, began_at, EndpointSign::Unclear),
        };
        let probe = match sign {
            EndpointSign::Heard(_) | EndpointSign::Open => EndpointProbe::Open,
            EndpointSign::Closed if self.is_cut_off_after_tick().await => EndpointProbe::Unclear,
            EndpointSign::Closed => EndpointProbe::Closed,
            EndpointSign::Unclear => EndpointProbe::Unclear,
        };
        let now = self.clock.now();
        ProbeEndpointReply { probe, heard_on: sign.opened_at().map(|at| now - at) }
    }

    /// Records the end of an answer at another entry instance.
    fn answer_report(&self, call: ReportEnd) -> ReportEndReply {
        let ReportEnd { endpoint, incarnation, answer, age } = call;
        let now = self.clock.now();
        let (key, ended_at) = ((endpoint, incarnation), now - age);
        self.stream_ends.record_end(now, key.clone(), &answer, ended_at);
        ReportEndReply { has_other: self.stream_ends.has_other_end(&key, &answer, ended_at) }
    }
}

/// Adds the methods that other entry instances call.
pub fn add_method(builder: &mut PeerServerBuilder, state: &Arc<State>) {
    let probed = state.clone();
    builder.answer(move |call: ProbeEndpoint| {
        let state = probed.clone();
        async move { Ok::<_, PeerError>(state.answer_probe(call).await) }
    });
    let state = state.clone();
    builder.answer(move |call: ReportEnd| {
        let state = state.clone();
        async move { Ok::<_, PeerError>(state.answer_report(call)) }
    });
}

/// Returns the replies that arrive within [`CALL_TIME`].
async fn answered_in_time<I, F, T, E>(calls: I) -> Vec<T>
where
    I: Iterator<Item = F>,
    F: Future<Output = Result<T, E>>,
{
    let calls = calls.map(|call| tokio::time::timeout(CALL_TIME.into(), call));
    future::join_all(calls).await.into_iter().flatten().flatten().collect()
}

fn sign_of(probe: Probe) -> EndpointSign {
    match probe {
        Probe::Open => EndpointSign::Open,
        Probe::Closed | Probe::Refused => EndpointSign::Closed,
        Probe::Failed => EndpointSign::Unclear,
    }
}
