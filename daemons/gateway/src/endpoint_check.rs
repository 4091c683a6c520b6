//! Finds out whether an endpoint has ended, with the help of other entry instances.

use std::sync::Arc;

use futures_util::future;
use sill_base::{Millis, event};
use sill_dispatch::check::check_endpoint;
use sill_dispatch::{EndpointCheck, TICK};
use sill_net::h1::Probe;
use sill_net::{PeerError, PeerServerBuilder};
use sill_wire::RequestKey;
use sill_wire::probe::{EndpointProbe, ProbeEndpoint, ProbeEndpointReply};

use crate::egress::{Destination, Via};
use crate::state::State;

/// Number of other entry instances that are asked.
const ASKED: usize = 3;

/// Upper bound on the time for which another instance keeps a connection open.
const MAX_WAIT: Millis = Millis(100);

impl State {
    /// Finds out whether an endpoint has ended: whether connections to it are refused, or closed
    /// within `wait`, here and at other entry instances.
    pub async fn check_endpoint(&self, to: &Destination, wait: Millis) -> EndpointCheck {
        let own = read_probe(self.egress.probe(to, wait).await);
        let (mut asked, mut replies) = (0, Vec::new());
        if own != EndpointProbe::Open {
            (asked, replies) = self.ask_others(to, wait).await;
        }
        let mut check = check_endpoint(own, asked, &replies);
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
            via = "",
            own = format!("{own:?}"),
            asked = asked,
            replies = format!("{replies:?}"),
            result = label
        );
        check
    }

    /// Finds out whether an endpoint runs at which an answer in a tunnel has ended. If the instance
    /// that carried the tunnel has ended, so has the answer.
    pub async fn check_endpoint_via(
        &self,
        via: &Via,
        to: &Destination,
        wait: Millis,
    ) -> EndpointCheck {
        let call =
            ProbeEndpoint { endpoint: to.endpoint.clone(), incarnation: to.incarnation, wait };
        let client = self.streams.client(via.address);
        let mut reply = client.call(&call).await;
        if reply.is_err() {
            // The other instance may just have closed a connection that was idle.
            reply = client.call(&call).await;
        }
        let check = match &reply {
            Ok(ProbeEndpointReply { probe: EndpointProbe::Open }) => EndpointCheck::Running,
            Ok(_) | Err(_) => EndpointCheck::Unclear,
        };
        let label = check.name();
        self.metrics.endpoint_checks.with_label_values(&[label]).inc();
        event!(
            Info,
            "endpoint_checked",
            endpoint = to.endpoint,
            address = to.address,
            born = to.incarnation.0,
            via = via.entry,
            own = "",
            asked = 1,
            replies = format!("{reply:?}"),
            result = label
        );
        check
    }

    /// Returns the number of instances that were asked or are not known yet, and the replies of those
    /// that answered.
    async fn ask_others(&self, to: &Destination, wait: Millis) -> (usize, Vec<EndpointProbe>) {
        let key = RequestKey::of(&[to.endpoint.as_str().as_bytes()]);
        // A new entry instance hears of tunnels before it hears of all other instances.
        let clients = self.streams.clients(key, ASKED, &self.egress.relay_addresses());
        let call =
            ProbeEndpoint { endpoint: to.endpoint.clone(), incarnation: to.incarnation, wait };
        let replies = future::join_all(clients.iter().map(|client| client.call(&call))).await;
        let replies: Vec<EndpointProbe> =
            replies.into_iter().flatten().map(|reply| reply.probe).collect();
        self.egress.record_probes(to.address, &replies);
        // One that is not known yet may reach the endpoint.
        let is_incomplete = clients.len() < ASKED && !self.streams.is_list_settled();
        (clients.len() + usize::from(is_incomplete), replies)
    }

    /// Returns whether no endpoint is reached, once other connections had the time to fail as well.
    async fn is_cut_off_after_tick(&self) -> bool {
        tokio::time::sleep(TICK.into()).await;
        self.egress.is_cut_off()
    }

    /// Connects to an endpoint for another entry instance.
    async fn answer_probe(&self, call: ProbeEndpoint) -> ProbeEndpointReply {
        let ProbeEndpoint { endpoint, incarnation, wait } = call;
        let Some(address) = self.address_of(&endpoint, incarnation) else {
            return ProbeEndpointReply { probe: EndpointProbe::Unclear };
        };
        let to = Destination { endpoint, incarnation, address };
        let probe = read_probe(self.egress.probe(&to, wait.min(MAX_WAIT)).await);
        if probe == EndpointProbe::Closed && self.is_cut_off_after_tick().await {
            return ProbeEndpointReply { probe: EndpointProbe::Unclear };
        }
        ProbeEndpointReply { probe }
    }
}

/// Adds the method that other entry instances call.
pub fn add_method(builder: &mut PeerServerBuilder, state: &Arc<State>) {
    let state = state.clone();
    builder.answer(move |call: ProbeEndpoint| {
        let state = state.clone();
        async move { Ok::<_, PeerError>(state.answer_probe(call).await) }
    });
}

fn read_probe(probe: Probe) -> EndpointProbe {
    match probe {
        Probe::Open => EndpointProbe::Open,
        Probe::Closed | Probe::Refused => EndpointProbe::Closed,
        Probe::Failed => EndpointProbe::Unclear,
    }
}
