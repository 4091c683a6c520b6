//! Checksummed frames. Each append writes one frame, so that a restart reads either all records of
//! an append or none.

/// The first bytes of each frame. They can't occur in UTF-8 text, so no payload is mistaken for a
/// frame.
const MAGIC: [u8; 2] = [0xB5, 0xF1];

/// Bytes before the payload: 2 of magic, 4 of length, 4 of checksum.
const HEADER_BYTES: usize = 10;

/// The result of reading a frame at an offset of a file.
#[derive(Debug, PartialEq, Eq)]
pub enum FrameRead<'a> {
    /// The offset is the end of the file.
    End,
    /// A complete frame with a matching checksum.
    Frame {
        /// The payload; [`decode_records`] splits it into records.
        payload: &'a [u8],
        /// Offset in bytes at which the next frame starts.
        next: usize,
    },
    /// The bytes are not a valid frame, for the given reason.
    Invalid(&'static str),
}

/// Appends one frame that holds all `records` to a buffer.
pub fn append_frame<R>(buf: &mut Vec<u8>, records: &[R])
where
    R: AsRef<[u8]>,
{
    let mut payload = Vec::new();
    for record in records {
        let record = record.as_ref();
        payload.extend_from_slice(&(record.len() as u32).to_le_bytes());
        payload.extend_from_slice(record);
    }
    let len = (payload.len() as u32).to_le_bytes();
    buf.extend_from_slice(&MAGIC);
    buf.extend_from_slice(&len);
    buf.extend_from_slice(&checksum(&len, &payload).to_le_bytes());
    buf.extend_from_slice(&payload);
}

/// Reads the frame that starts at an offset in bytes.
pub fn read_at(bytes: &[u8], start: usize) -> FrameRead<'_> {
    let rest = &bytes[start..];
    if rest.is_empty() {
        return FrameRead::End;
    }
    if rest.len() < HEADER_BYTES {
        return FrameRead::Invalid("truncated frame header");
    }
    if rest[..2] != MAGIC {
        return FrameRead::Invalid("no frame starts here");
    }
    let len_bytes = [rest[2], rest[3], rest[4], rest[5]];
    let len = u32::from_le_bytes(len_bytes) as usize;
    let sum = u32::from_le_bytes([rest[6], rest[7], rest[8], rest[9]]);
    let Some(payload) = rest[HEADER_BYTES..].get(..len) else {
        return FrameRead::Invalid("frame longer than the file");
    };
    if checksum(&len_bytes, payload) != sum {
        return FrameRead::Invalid("checksum mismatch");
    }
    FrameRead::Frame { payload, next: start + HEADER_BYTES + len }
}

/// Returns whether a complete frame starts at or after an offset in bytes.
pub fn has_frame_from(bytes: &[u8], start: usize) -> bool {
    let starts = (start..bytes.len()).filter(|&offset| bytes[offset..].starts_with(&MAGIC));
    starts.into_iter().any(|start| matches!(read_at(bytes, start), FrameRead::Frame { .. }))
}

/// Splits a payload into its records. Returns `None` if a record's length exceeds the payload.
pub fn decode_records(mut payload: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !payload.is_empty() {
        let (len, rest) = payload.split_first_chunk::<4>()?;
        let len = u32::from_le_bytes(*len) as usize;
        records.push(rest.get(..len)?.to_vec());
        payload = &rest[len..];
    }
    Some(records)
}

fn checksum(len: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(len);
    hasher.update(payload);
    hasher.finalize()
}
