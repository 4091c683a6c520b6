//! Protocol rules that tests break on purpose, one at a time.

/// A protocol rule that a replica then breaks. Only tests set one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Weakening {
    /// Grants a vote to every candidate that asks, also in the same term.
    VoteTwice,
    /// Votes for candidates whose log lacks entries.
    VoteForShorterLog,
    /// Votes right after a restart, although it may have promised a leader not to.
    VoteRightAfterRestart,
    /// Treats the restart of a quorum as the restart of all replicas.
    ReleaseByQuorum,
    /// Counts as fresh although it has made a promise since its restart.
    ReleaseAfterPromise,
    /// Votes while it receives messages from a leader.
    VoteInsideLease,
    /// Starts the lease when a heartbeat is acknowledged instead of when it was sent.
    LeaseFromAnswer,
    /// Relies on its lease for longer than followers keep their promise.
    LeaseWithoutEnd,
    /// Serves reads before an entry of its own term is committed.
    ReadBeforeOwnTerm,
    /// Commits entries of older terms by counting their replicas.
    CommitOlderTerm,
    /// Commits entries that fewer than a quorum hold.
    CommitWithoutQuorum,
    /// Appends entries without checking the entry before them.
    AppendWithoutCheck,
    /// Sends messages before it has persisted the state that they report.
    SendBeforePersist,
    /// Doesn't persist its vote.
    ForgetVote,
    /// Starts a change of voters while another one is uncommitted.
    TwoChangesAtOnce,
    /// Accepts messages addressed to another incarnation of itself.
    AnswerForOldLife,
    /// Installs a snapshot that is older than the entries it has applied.
    InstallOlderSnapshot,
}

impl Weakening {
    /// Every weakening, in order of declaration.
    pub const ALL: [Self; 17] = [
        Self::VoteTwice,
        Self::VoteForShorterLog,
        Self::VoteRightAfterRestart,
        Self::ReleaseByQuorum,
        Self::ReleaseAfterPromise,
        Self::VoteInsideLease,
        Self::LeaseFromAnswer,
        Self::LeaseWithoutEnd,
        Self::ReadBeforeOwnTerm,
        Self::CommitOlderTerm,
        Self::CommitWithoutQuorum,
        Self::AppendWithoutCheck,
        Self::SendBeforePersist,
        Self::ForgetVote,
        Self::TwoChangesAtOnce,
        Self::AnswerForOldLife,
        Self::InstallOlderSnapshot,
    ];
}
