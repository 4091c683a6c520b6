//! Estimated state of an account near its limit, for the log.

/// Admitted amounts by the reason for admission.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct AdmittedByReason {
    /// Admitted because all entry instances together were far below the limit.
    pub far_below: f64,
    /// Admitted from the own share.
    pub share: f64,
    /// Admitted from the own share while the totals were too old to use.
    pub stale: f64,
}

/// Estimated state of an account's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitEstimate {
    /// Amount that all entry instances are presumed to have admitted in the last window.
    pub admitted_everywhere: f64,
    /// Amount that the account may use in a window.
    pub window_limit: f64,
    /// Amount admitted here in the last window.
    pub admitted_here: f64,
    /// Amounts admitted here since the last estimate.
    pub admitted_by_reason: AdmittedByReason,
    /// Part of the limit that this entry instance may admit, once totals have set it.
    pub share: Option<f64>,
    /// Balance of the token bucket; below zero, it is in debt.
    pub balance: f64,
}

impl AdmittedByReason {
    /// Adds the amounts of `other`.
    pub fn add(&mut self, other: AdmittedByReason) {
        self.far_below += other.far_below;
        self.share += other.share;
        self.stale += other.stale;
    }
}
