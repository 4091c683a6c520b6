//! Incremental reader for server-sent events.

/// Extracts the `data` of events from chunks, which may end anywhere in an event.
#[derive(Debug, Default)]
pub struct SseReader {
    pending: Vec<u8>,
}

impl SseReader {
    /// Appends a chunk and returns the data of every `data:` line completed by it.
    pub fn feed(&mut self, chunk: &[u8]) -> Vec<String> {
        self.pending.extend_from_slice(chunk);
        let Some(end) = self.pending.iter().rposition(|byte| *byte == b'\n') else {
            return Vec::new();
        };
        let rest = self.pending.split_off(end + 1);
        let lines = std::mem::replace(&mut self.pending, rest);
        let lines = String::from_utf8_lossy(&lines);
        lines.lines().filter_map(|line| line.strip_prefix("data: ")).map(str::to_owned).collect()
    }
}
