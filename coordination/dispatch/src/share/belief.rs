//! What an entry instance believes of an account that is near its limit, for its log.

/// Amounts that were let in, by the reason.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct AdmittedByReason {
    /// All together were far below the limit.
    pub far_below: f64,
    /// The own share had room.
    pub share: f64,
    /// The own share had room, and the totals were too old to tell more.
    pub stale: f64,
}

/// The state of an account's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitEstimate {
    /// What all are presumed to have admitted in the last window.
    pub admitted_everywhere: f64,
    /// What the account may use in a window.
    pub window_limit: f64,
    /// What was admitted here in the last window.
    pub admitted_here: f64,
    /// What was let in here since it was last told.
    pub admitted_by_reason: AdmittedByReason,
    /// The part of the limit that is given out here, once it was learned.
    pub share: Option<f64>,
    /// What the bucket holds.
    pub balance: f64,
}

impl AdmittedByReason {
    /// Adds other amounts.
    pub fn add(&mut self, other: AdmittedByReason) {
        self.far_below += other.far_below;
        self.share += other.share;
        self.stale += other.stale;
    }
}
