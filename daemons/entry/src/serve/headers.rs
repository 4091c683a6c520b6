//! Headers of plain services' calls and answers that are passed on.

use ntex::http::HeaderMap;
use sill_wire::handoff::ReplyHeader;

/// Headers that concern one connection, or that entry instances set themselves.
const OWN: [&str; 17] = [
    "authorization",
    "connection",
    "content-length",
    "date",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "last-event-id",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    // The client of the entry instance decodes answers itself.
    "accept-encoding",
];

/// Returns the headers that are passed on; those of the system are made anew for each hop.
pub fn passed_headers(headers: &HeaderMap) -> Vec<ReplyHeader> {
    let passed = headers.iter().filter_map(|(name, value)| {
        let name = name.as_str().to_ascii_lowercase();
        let is_own = OWN.contains(&name.as_str()) || name.starts_with("sill-");
        let value = value.to_str().ok()?;
        (!is_own && name != "content-encoding").then(|| ReplyHeader::new(&name, value))
    });
    passed.collect()
}
