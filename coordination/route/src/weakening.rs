//! Switches that leave out one rule of the router each, to show that the tests notice.

/// A rule that a test leaves out. Only tests set one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Weakening {
    /// Endpoints that are leaving may be chosen.
    ChooseLeaving,
    /// A late copy of an announcement overrides a newer one.
    OldAnnouncementOverrides,
    /// An announcement that arrives after its endpoint was removed adds the same incarnation again.
    NoTombstones,
    /// Announcements never expire.
    KeepExpired,
    /// Standby endpoints may be chosen.
    IgnoreRole,
    /// Endpoints are sent requests above their load bound.
    UnboundedLoad,
    /// A gap in the sequence of cache events evicts nothing from the prefix index.
    IgnoreGaps,
    /// The reported load is used without a correction by the router's own dispatches.
    TrustLaggingLoad,
}
