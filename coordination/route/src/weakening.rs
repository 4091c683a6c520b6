//! One-line weakenings, to show that the checks notice when a rule is left out.

/// A rule that a test leaves out. Nothing but tests sets one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Weakening {
    /// Endpoints that are leaving may be chosen.
    ChooseLeaving,
    /// A late copy of an announcement overrides a newer one.
    OldAnnouncementOverrides,
    /// An announcement after its endpoint went brings the same life back.
    NoTombstones,
    /// Announcements never expire.
    KeepExpired,
    /// Standby endpoints are given work.
    IgnoreRole,
    /// Endpoints are given more than their bound.
    UnboundedLoad,
    /// A gap in the cache events leaves all knowledge in force.
    IgnoreGaps,
    /// Reported load is taken as it is.
    TrustLaggingLoad,
}
