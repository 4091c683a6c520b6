//! One-line weakenings, to show that the checks notice when a rule is left out.

/// A rule that a test leaves out. Nothing but tests sets one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Weakening {
    /// Entry instances that fell silent are taken for idle, so both sides of a cut take the whole.
    SilentIsIdle,
    /// A restarted entry instance starts with the whole limit.
    RestartTakesAll,
    /// Shares are taken by the present demand in place of the one that the others know.
    UnreportedDemand,
    /// Dead entry instances keep their share for ever.
    DeadKeepShares,
    /// Requests are admitted without being counted against the share.
    UncountedAdmission,
}
