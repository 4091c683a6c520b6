//! Large texts in a compressed form that fits into any message.
//!
//! Settings are repetitive and compress to a tenth of their length. A text is compressed once and
//! then stored, replicated and sent to many readers without being escaped or compressed again.

use std::error::Error;
use std::fmt::{self, Display, Formatter};
use std::io::Read;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};

/// The zstd compression level: higher levels take more time and save nothing on settings.
const COMPRESSION_LEVEL: i32 = 1;

/// The maximum length of a decompressed text, in bytes. A corrupt or hostile text could expand to
/// more than the memory of the instance that reads it.
const MAX_TEXT_BYTES: u64 = 64 << 20;

/// The length in bytes from which texts are compressed. Shorter texts are left as they are, so that
/// people can read them in a log.
pub const COMPRESSION_THRESHOLD: usize = 2048;

/// The start of every compressed text, the zstd magic number in base64; no JSON text starts with
/// it.
const COMPRESSED_PREFIX: &str = "KLUv/";

/// A text in compressed form: a zstd frame in base64. Clones share one allocation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CompressedText(Arc<str>);

/// The error of a compressed text that is corrupt or decompresses to more than 64 MiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecompressError;

impl CompressedText {
    /// Compresses a text.
    ///
    /// # Panics
    ///
    /// Panics if memory can't be allocated.
    pub fn new(text: &str) -> Self {
        let frame = zstd::bulk::compress(text.as_bytes(), COMPRESSION_LEVEL);
        let frame = frame.expect("compression fails only if memory can't be allocated");
        Self(STANDARD_NO_PAD.encode(frame).into())
    }

    /// Returns the decompressed text.
    ///
    /// # Errors
    ///
    /// Fails if the compressed form is corrupt, or if the text is longer than 64 MiB.
    pub fn decompress(&self) -> Result<String, DecompressError> {
        let frame = STANDARD_NO_PAD.decode(&*self.0).map_err(|_| DecompressError)?;
        let decoder = zstd::Decoder::new(&*frame).map_err(|_| DecompressError)?;
        let mut text = String::new();
        let read = decoder.take(MAX_TEXT_BYTES + 1).read_to_string(&mut text);
        let is_complete = read.is_ok_and(|len| len as u64 <= MAX_TEXT_BYTES);
        is_complete.then_some(text).ok_or(DecompressError)
    }

    /// Returns the length of the compressed form, in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the compressed form is empty, which is never valid.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Serde functions for text fields of messages: long texts are compressed, short ones written as
/// they are, and both forms are read.
pub mod text {
    use std::sync::Arc;

    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{COMPRESSED_PREFIX, COMPRESSION_THRESHOLD, CompressedText};

    /// Serializes a text, compressed if it has at least [`COMPRESSION_THRESHOLD`] bytes.
    ///
    /// # Errors
    ///
    /// Fails if the serializer fails.
    pub fn serialize<S>(text: &Arc<str>, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match text.len() < COMPRESSION_THRESHOLD {
            true => text.serialize(serializer),
            false => CompressedText::new(text).serialize(serializer),
        }
    }

    /// Deserializes a text from either form.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a string, or if its compressed text is corrupt or too long.
    pub fn deserialize<'de, D>(deserializer: D) -> Result<Arc<str>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = Arc::<str>::deserialize(deserializer)?;
        if !text.starts_with(COMPRESSED_PREFIX) {
            return Ok(text);
        }
        let text = CompressedText(text).decompress().map_err(D::Error::custom)?;
        Ok(text.into())
    }
}

impl Display for DecompressError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("the compressed text is corrupt or longer than 64 MiB")
    }
}

impl Error for DecompressError {}
