//! Large texts, compressed into short ones that any message can carry.
//!
//! Settings repeat themselves, and take a tenth of their length. What is packed once is written, replicated
//! and sent to many readers without being escaped or compressed again.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::io::Read;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};

/// Compression level: higher ones take more time and save nothing on settings.
const LEVEL: i32 = 1;

/// The longest text that is unpacked, in bytes. A damaged or hostile one could claim to be far longer
/// than the memory of the instance that reads it.
const MAX_TEXT: u64 = 64 << 20;

/// Texts shorter than this, in bytes, are better left as they are: people can read them in a log.
pub const COMPRESSION_THRESHOLD: usize = 2048;

/// How every short form begins; no JSON text does.
const FRAME_START: &str = "KLUv/";

/// A text in its short form. Clones share it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CompressedText(Arc<str>);

/// A short form that stands for no text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecompressError;

impl CompressedText {
    /// Packs a text.
    ///
    /// # Panics
    ///
    /// Panics when memory for it can't be had.
    pub fn new(text: &str) -> Self {
        let short = zstd::bulk::compress(text.as_bytes(), LEVEL);
        let short = short.expect("compressing fails only for want of memory");
        Self(STANDARD_NO_PAD.encode(short).into())
    }

    /// Returns the text.
    ///
    /// # Errors
    ///
    /// Fails when the short form is damaged, or its text longer than 64 MiB.
    pub fn decompress(&self) -> Result<String, DecompressError> {
        let short = STANDARD_NO_PAD.decode(&*self.0).map_err(|_| DecompressError)?;
        let unpacked = zstd::Decoder::new(&*short).map_err(|_| DecompressError)?;
        let mut text = String::new();
        let read = unpacked.take(MAX_TEXT + 1).read_to_string(&mut text);
        let is_whole = read.is_ok_and(|len| len as u64 <= MAX_TEXT);
        is_whole.then_some(text).ok_or(DecompressError)
    }

    /// Returns the length of the short form, in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there is no short form at all.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Writes a long text packed and a short one as it is, and reads both; for fields of messages.
pub mod text {
    use std::sync::Arc;

    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{COMPRESSION_THRESHOLD, CompressedText, FRAME_START};

    /// Writes it.
    ///
    /// # Errors
    ///
    /// Fails where the serializer does.
    pub fn serialize<S>(text: &Arc<str>, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match text.len() < COMPRESSION_THRESHOLD {
            true => text.serialize(serializer),
            false => CompressedText::new(text).serialize(serializer),
        }
    }

    /// Reads it, packed or as it is.
    ///
    /// # Errors
    ///
    /// Fails where it is damaged, or no text.
    pub fn deserialize<'de, D>(deserializer: D) -> Result<Arc<str>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = Arc::<str>::deserialize(deserializer)?;
        if !text.starts_with(FRAME_START) {
            return Ok(text);
        }
        let text = CompressedText(text).decompress().map_err(D::Error::custom)?;
        Ok(text.into())
    }
}

impl Display for DecompressError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("the packed text is damaged")
    }
}

impl Error for DecompressError {}
