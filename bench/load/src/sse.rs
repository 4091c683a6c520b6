//! Reads server-sent events as they arrive.

/// Collects the `data` of events out of pieces that may end anywhere.
#[derive(Debug, Default)]
pub struct SseReader {
    pending: Vec<u8>,
}

impl SseReader {
    /// Takes in a piece and returns the data of every event line that is whole by now.
    pub fn feed(&mut self, piece: &[u8]) -> Vec<String> {
        self.pending.extend_from_slice(piece);
        let Some(end) = self.pending.iter().rposition(|byte| *byte == b'\n') else {
            return Vec::new();
        };
        let rest = self.pending.split_off(end + 1);
        let lines = std::mem::replace(&mut self.pending, rest);
        let lines = String::from_utf8_lossy(&lines);
        lines.lines().filter_map(|line| line.strip_prefix("data: ")).map(str::to_owned).collect()
    }
}
