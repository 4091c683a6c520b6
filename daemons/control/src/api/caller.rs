//! Who calls, and the headers and parameters that came along.

use ntex::web::{HttpRequest, HttpResponse};
use sill_base::Name;
use sill_net::http;
use sill_tree::{KeyHash, Operator};
use sill_wire::header;

use crate::app::command::{Holder, Origin, refusal};
use crate::shared::Shared;

/// The longest `Change-Id` and the longest reason, in bytes.
const MAX_TEXT: usize = 256;

/// Tells why a change is made; it goes into the audit trail.
const REASON: &str = "sill-reason";

/// Returns whose token came, if it is the root's or owns any subtree.
///
/// # Errors
///
/// Returns the answer to a token that is missing or owns nothing. These are counted and not
/// written to the audit trail: anyone could fill the log with them.
pub fn holder(shared: &Shared, req: &HttpRequest) -> Result<Holder, HttpResponse> {
    let authorization = text(req, "authorization").unwrap_or_default();
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

/// Returns who asks, and the ask's name; one is made up if none was given.
///
/// # Errors
///
/// Returns the answer to a header that is too long.
pub fn origin(holder: Holder, req: &HttpRequest) -> Result<Origin, HttpResponse> {
    let change_id = match text(req, header::CHANGE_ID) {
        Some(id) if id.is_empty() || id.len() > MAX_TEXT => {
            return Err(bad_header(header::CHANGE_ID, "expected 1 to 256 bytes"));
        }
        Some(id) => Name::from(id),
        None => format!("{:032x}", rand::random::<u128>()).into(),
    };
    let reason = text(req, REASON).unwrap_or_default();
    if reason.len() > MAX_TEXT {
        return Err(bad_header(REASON, "expected at most 256 bytes"));
    }
    Ok(Origin { holder, change_id, reason: reason.to_owned() })
}

/// Returns the answer to a header of the wrong shape.
pub fn bad_header(name: &str, reason: &str) -> HttpResponse {
    http::json(400, &refusal("invalid", &format!("{name}: {reason}")))
}

/// Returns a header.
pub fn text<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|v| v.to_str().ok())
}

/// Returns a parameter of the query; one without a value is empty.
pub fn param<'a>(req: &'a HttpRequest, name: &str) -> Option<&'a str> {
    let mut pairs =
        req.query_string().split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
