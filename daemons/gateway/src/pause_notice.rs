//! Tells the entry instance that carried a request that its endpoint asked for a pause.
//!
//! To the endpoint, that one is the sender, and it does not read the answers that it carries.

use std::sync::Arc;

use sill_base::{Millis, Name, event};
use sill_net::{PeerError, PeerServerBuilder};
use sill_wire::Incarnation;
use sill_wire::pause::{EndpointPause, EndpointPauseReply};

use crate::egress::Via;
use crate::state::State;

/// Sends the notice, without waiting for the reply.
pub fn send(
    state: &Arc<State>,
    via: &Via,
    endpoint: &Name,
    incarnation: Incarnation,
    span: Millis,
) {
    let notice = EndpointPause { endpoint: endpoint.clone(), incarnation, span };
    let client = state.streams.client(via.address);
    let entry = via.entry.clone();
    tokio::spawn(async move {
        if let Err(err) = client.call(&notice).await {
            let endpoint = notice.endpoint;
            event!(Warn, "pause_notice_failed", endpoint = endpoint, to = entry, why = err);
        }
    });
}

/// Adds the method by which notices arrive.
pub fn add_method(builder: &mut PeerServerBuilder, state: &Arc<State>) {
    let state = state.clone();
    builder.answer(move |notice: EndpointPause| {
        let state = state.clone();
        async move {
            let EndpointPause { endpoint, incarnation, span } = notice;
            state.record_pause(&endpoint, incarnation, span, (&Name::default(), ""));
            Ok::<_, PeerError>(EndpointPauseReply {})
        }
    });
}
