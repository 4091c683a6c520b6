//! Switches that leave out one rule of the decisions each, to show that the tests notice.

/// A rule that a test leaves out. Only tests set one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Weakening {
    /// The evidence of an endpoint counts in full, also where it is the only one.
    OneEndpointDecides,
    /// Routes are compared together only.
    AllRoutesTogether,
    /// Times to the first part are not compared.
    IgnoreFirstParts,
    /// Pauses are not compared.
    IgnorePauses,
    /// Failed answers are not compared.
    IgnoreFailures,
    /// Answers are compared with those of the first time slice in place of the same one.
    OldReference,
    /// A report whose counts went down is compared with the earlier one.
    IgnoreRestarts,
    /// Failures count also if only one entry instance sees them.
    TrustEveryEntry,
    /// Crashes of a candidate count also if as many endpoints in force crashed.
    NeverExcuseCrashes,
    /// Shifting begins with the verdict and does not wait until it is due.
    ShiftEarly,
    /// Shifting begins when it is due, whatever the evidence.
    ShiftAgainstEvidence,
    /// Requests that the candidate does not end are no evidence.
    IgnoreStuck,
    /// A bad verdict is ignored after the candidate was probed.
    VerdictWhileProbingOnly,
    /// All endpoints of the candidate are probed.
    ProbeAll,
    /// A new leader decides before it has heard of the counts.
    DecideUninformed,
    /// An order is judged by the evidence on the one before.
    KeepEvidence,
    /// The share does not grow with little traffic.
    FixedShare,
    /// Entry instances that don't report are waited for until the deadline.
    WaitForSilent,
    /// Requests that run at the version in force are not waited for.
    IgnoreRunning,
    /// An order that nobody led until its deadline goes on without evidence.
    ContinueUnled,
    /// An order goes on for a service that is no longer configured.
    IgnoreConfiguration,
    /// Shifting begins without ready endpoints of the candidate.
    IgnoreReadiness,
}
