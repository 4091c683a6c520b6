//! Checksummed frames: one for each append, so that an append is there as a whole or not at all.

/// Starts each frame. The bytes can't occur in UTF-8 text, so payloads never look like frames.
const MAGIC: [u8; 2] = [0xB5, 0xF1];

/// Bytes before the payload: magic, length, checksum.
const HEADER: usize = 10;

/// What stands at a position of a file.
#[derive(Debug, PartialEq, Eq)]
pub enum FrameRead<'a> {
    /// The end of the file.
    End,
    /// A whole frame.
    Frame {
        /// Its payload.
        payload: &'a [u8],
        /// Where the next one starts.
        next: usize,
    },
    /// Something else.
    Invalid(&'static str),
}

/// Adds a frame with these records to a buffer.
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

/// Reads what stands at a position.
pub fn read_at(bytes: &[u8], start: usize) -> FrameRead<'_> {
    let rest = &bytes[start..];
    if rest.is_empty() {
        return FrameRead::End;
    }
    if rest.len() < HEADER {
        return FrameRead::Invalid("a cut-off header");
    }
    if rest[..2] != MAGIC {
        return FrameRead::Invalid("not the start of a record");
    }
    let len_bytes = [rest[2], rest[3], rest[4], rest[5]];
    let len = u32::from_le_bytes(len_bytes) as usize;
    let sum = u32::from_le_bytes([rest[6], rest[7], rest[8], rest[9]]);
    let Some(payload) = rest[HEADER..].get(..len) else {
        return FrameRead::Invalid("a record longer than the file");
    };
    if checksum(&len_bytes, payload) != sum {
        return FrameRead::Invalid("wrong checksum");
    }
    FrameRead::Frame { payload, next: start + HEADER + len }
}

/// Returns whether a whole frame starts anywhere from a position on.
pub fn has_frame_from(bytes: &[u8], start: usize) -> bool {
    let starts = (start..bytes.len()).filter(|&at| bytes[at..].starts_with(&MAGIC));
    starts.into_iter().any(|start| matches!(read_at(bytes, start), FrameRead::Frame { .. }))
}

/// Splits a payload into its records; none if their lengths don't add up.
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
