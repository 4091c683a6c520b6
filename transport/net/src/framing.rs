//! How the head of a response frames its body.
//!
//! HTTP libraries forgive some heads that contradict themselves, each in its own way. A proxy that
//! does so gives its caller other bytes than the server meant, so such responses are refused.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// Longest part of an invalid value that an error shows, in bytes.
const MAX_SHOWN: usize = 40;

/// The status of a response that never has a body. That of 304 has none either, but may tell the length of
/// the one that the requester has.
const NO_CONTENT: u16 = 204;

/// How a body ends according to the head before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclaredEnd {
    /// With the last chunk.
    Chunks,
    /// After a number of bytes.
    Length(u64),
    /// With its connection, as the head has no field on it.
    Connection,
}

/// Why a head doesn't tell how the body behind it ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FramingError {
    /// The body is in another coding than chunks. None is ever asked for.
    Coding(String),
    /// The length is no number, or there are several.
    Length(String),
    /// The body has a length and chunks.
    LengthAndChunks,
    /// The body has a length or chunks, and the status says that there is none.
    NoContent,
}

/// Returns how the body of a response ends, from its status and the names and values of the fields in its
/// head. This holds for a response without a body, too: the next reader of its head must agree.
///
/// # Errors
///
/// Fails if the fields are invalid, or contradict each other or the status.
pub fn declared_end<'a, I>(status: u16, fields: I) -> Result<DeclaredEnd, FramingError>
where
    I: IntoIterator<Item = (&'a str, &'a [u8])>,
{
    let (mut is_chunked, mut length) = (false, None);
    for (name, value) in fields {
        if name.eq_ignore_ascii_case("transfer-encoding") {
            let is_other = !value.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if is_other || is_chunked {
                return Err(FramingError::Coding(shown(value)));
            }
            is_chunked = true;
        } else if name.eq_ignore_ascii_case("content-length") {
            let parsed = parse_length(value);
            if parsed.is_none() || length.is_some_and(|before| Some(before) != parsed) {
                return Err(FramingError::Length(shown(value)));
            }
            length = parsed;
        }
    }
    match (is_chunked, length) {
        (true, Some(_)) => Err(FramingError::LengthAndChunks),
        // Some servers tell a length of 0, which does no harm.
        (true, None) | (false, Some(1..)) if status == NO_CONTENT => Err(FramingError::NoContent),
        (true, None) => Ok(DeclaredEnd::Chunks),
        (false, Some(length)) => Ok(DeclaredEnd::Length(length)),
        (false, None) => Ok(DeclaredEnd::Connection),
    }
}

/// Parses a length, which some servers repeat as a list.
fn parse_length(value: &[u8]) -> Option<u64> {
    let mut lengths = value.split(|byte| *byte == b',').map(|element| {
        let digits = element.trim_ascii();
        // A sign would be accepted by `parse`.
        let is_number = digits.iter().all(u8::is_ascii_digit);
        std::str::from_utf8(digits).ok().filter(|_| is_number)?.parse().ok()
    });
    let first = lengths.next()??;
    lengths.all(|length| length == Some(first)).then_some(first)
}

fn shown(value: &[u8]) -> String {
    value[..value.len().min(MAX_SHOWN)].escape_ascii().to_string()
}

impl Display for FramingError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Coding(value) => write!(f, "invalid transfer-encoding '{value}'"),
            Self::Length(value) => write!(f, "invalid content-length '{value}'"),
            Self::NoContent => write!(f, "status {NO_CONTENT} with a body"),
            Self::LengthAndChunks => f.write_str("both transfer-encoding and content-length"),
        }
    }
}

impl Error for FramingError {}
