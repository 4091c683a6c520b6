//! Authorisation of operators, and access to request headers and query parameters.

use ntex::web::{HttpRequest, HttpResponse};
use sill_base::Name;
use sill_net::http;
use sill_tree::{KeyHash, Operator};
use sill_wire::header;

use crate::app::command::{Holder, Origin, refusal};
use crate::shared::Shared;

/// Limit for the `Change-Id` and reason headers.
const MAX_HEADER_BYTES: usize = 256;

/// The header with the reason for a change, which is written to the audit trail.
const REASON_HEADER: &str = "sill-reason";

/// Returns the holder of the request's token, if it is the root token or owns any subtree.
///
/// # Errors
///
/// Returns the response to a token that is missing or owns nothing. Such requests are counted but
/// not written to the audit trail, since anyone could fill the log with them.
pub fn holder(shared: &Shared, req: &HttpRequest) -> Result<Holder, HttpResponse> {
    let authorization = header_text(req, "authorization").unwrap_or_default();
    if shared.cfg.root_token.is_bearer(authorization) {
        return Ok(Holder::Root);
    }
    let token = authorization.strip_prefix("Bearer ").unwrap_or_default().trim();
    let hash = KeyHash::of(token);
    if !token.is_empty() && shared.log.app().read().has_access(&Operator::TokenHolder(hash.clone()))
    {
        return Ok(Holder::Token(hash));
    }
    shared.metrics.unknown_tokens.inc();
    Err(http::json(403, &refusal("forbidden", "the token owns no subtree")))
}

/// Returns the origin of a change: its holder, change id and reason. A missing change id is
/// replaced by a random one.
///
/// # Errors
///
/// Returns the response to a header that is too long, or to an empty change id.
pub fn origin(holder: Holder, req: &HttpRequest) -> Result<Origin, HttpResponse> {
    let change_id = match header_text(req, header::CHANGE_ID) {
        Some(id) if id.is_empty() || id.len() > MAX_HEADER_BYTES => {
            return Err(invalid_header(header::CHANGE_ID, "expected 1 to 256 bytes"));
        }
        Some(id) => Name::from(id),
        None => format!("{:032x}", rand::random::<u128>()).into(),
    };
    let reason = header_text(req, REASON_HEADER).unwrap_or_default();
    if reason.len() > MAX_HEADER_BYTES {
        return Err(invalid_header(REASON_HEADER, "expected at most 256 bytes"));
    }
    Ok(Origin { holder, change_id, reason: reason.to_owned() })
}

/// Returns the response to a malformed header.
pub fn invalid_header(name: &str, reason: &str) -> HttpResponse {
    http::json(400, &refusal("invalid", &format!("{name}: {reason}")))
}

/// Returns a header, or `None` if it is missing or not visible ASCII.
pub fn header_text<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|v| v.to_str().ok())
}

/// Returns a query parameter; one without a value is the empty string.
pub fn query_param<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    let mut pairs =
        req.query_string().split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
