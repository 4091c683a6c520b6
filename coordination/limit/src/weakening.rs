//! Switches that leave out one rule of the limiter each, to show that the tests notice.

/// A rule that a test leaves out. Only tests set one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Weakening {
    /// Silent entry instances count as idle, so both sides of a network partition use the whole
    /// limit.
    SilentIsIdle,
    /// A restarted entry instance starts with the whole limit as its share.
    RestartTakesAll,
    /// Shares are computed from the present demand instead of the demand that peers already have.
    UnreportedDemand,
    /// Dead entry instances keep their shares forever.
    DeadKeepShares,
    /// Requests are admitted without a charge to the share.
    UncountedAdmission,
}
