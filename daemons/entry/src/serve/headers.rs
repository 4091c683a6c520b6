//! Headers that are forwarded with calls and answers of plain services.

use ntex::http::HeaderMap;
use sill_wire::handoff::ReplyHeader;

/// Headers that are not forwarded: they concern one connection, or entry instances set them.
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
    // The HTTP client of the entry instance decodes answers itself.
    "accept-encoding",
];

/// Returns the headers that are forwarded. `sill-` headers are set anew for each hop.
pub fn forwardable_headers(headers: &HeaderMap) -> Vec<ReplyHeader> {
    let forwardable = headers.iter().filter_map(|(name, value)| {
        let name = name.as_str().to_ascii_lowercase();
        let is_own = OWN.contains(&name.as_str()) || name.starts_with("sill-");
        let value = value.to_str().ok()?;
        (!is_own && name != "content-encoding").then(|| ReplyHeader::new(&name, value))
    });
    forwardable.collect()
}
