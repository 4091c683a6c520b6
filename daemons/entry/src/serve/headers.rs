//! Headers that are forwarded with calls and answers of plain services.

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

/// Returns the headers that are forwarded, from names and the values that are text. `sill-` headers
/// are set anew for each hop.
pub fn forwardable_headers<'a, I>(headers: I) -> Vec<ReplyHeader>
where
    I: Iterator<Item = (&'a str, Option<&'a str>)>,
{
    let forwardable = headers.filter_map(|(name, value)| {
        let name = name.to_ascii_lowercase();
        let is_own = OWN.contains(&name.as_str()) || name.starts_with("sill-");
        let value = value.filter(|_| !is_own && name != "content-encoding")?;
        Some(ReplyHeader::new(&name, value))
    });
    forwardable.collect()
}
