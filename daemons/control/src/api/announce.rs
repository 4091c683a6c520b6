//! `/announce`: heartbeats of the endpoints that routes lead to.

use std::net::SocketAddr;

use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};
use sill_base::{Findings, Millis, Name, event};
use sill_dispatch::registry::check_names;
use sill_net::http;
use sill_wire::link::{EndpointFact, EndpointState};
use sill_wire::{Announcement, Servable, announce::AnnounceReply};

use crate::api::caller;
use crate::api::reply::{App, error_response};
use crate::app::decision;

pub async fn post(app: App, req: HttpRequest, body: Bytes) -> HttpResponse {
    let authorization = caller::header_text(&req, "authorization").unwrap_or_default();
    let join_token = app.cfg.join_token.as_ref();
    if !join_token.is_some_and(|token| token.is_bearer(authorization)) {
        return error_response(401, "unauthorized", "wrong join token");
    }
    let fact = serde_json::from_slice::<Announcement>(&body)
        .map_err(|err| Findings::one("body", err.to_string()))
        .and_then(endpoint_fact);
    let result = fact.and_then(|fact| app.link.record_heartbeat(app.clock.now(), fact));
    if let Err(findings) = result {
        event!(Warn, "announcement_refused", reason = findings);
        return http::json(400, &decision::invalid(findings));
    }
    // The list is empty: endpoints keep the control addresses they were configured with, since the
    // own addresses of control instances may not be reachable from them.
    http::json(200, &AnnounceReply { accepted: true, reason: None, entries: Vec::new() })
}

/// Converts an announcement. Each incarnation counts as an endpoint of its own: requests carry its
/// name, so that none reaches a later incarnation at the same address.
fn endpoint_fact(announcement: Announcement) -> Result<EndpointFact, Findings> {
    let address: Result<SocketAddr, _> = announcement.address.parse();
    let address = address.map_err(|_| Findings::one("address", "expected IP:PORT"))?;
    let service: Name = match &announcement.serves[..] {
        [Servable::Service { service }] => service.clone(),
        _ => return Err(Findings::one("serves", "expected one plain service")),
    };
    let state = match announcement.leaving {
        None => EndpointState::Ready,
        Some(_) => EndpointState::Leaving,
    };
    let fact = EndpointFact {
        endpoint: format!("{}.{}", announcement.name, announcement.incarnation.0).into(),
        incarnation: announcement.incarnation,
        service,
        domain: announcement.domain,
        address,
        slots: announcement.slots,
        sequence: announcement.sequence,
        state,
        reclaimable: announcement.reclaimable,
        leaves_in: announcement.leaving,
        software: announcement.software,
        cold_for: None,
        age: Millis::ZERO,
    };
    check_names(&fact)?;
    Ok(fact)
}
