//! Rules that tests break on purpose, one at a time.

/// A rule that a replica then doesn't follow. Only tests set one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Weakening {
    /// Votes for each candidate that asks.
    VoteTwice,
    /// Votes for candidates whose log lacks entries.
    VoteForShorterLog,
    /// Votes at once after a restart, though it may have promised a leader not to.
    VoteRightAfterRestart,
    /// Takes a quorum of restarted replicas for all of them.
    ReleaseByQuorum,
    /// Counts as just restarted, though it has promised something since.
    ReleaseAfterPromise,
    /// Votes while it hears a leader.
    VoteInsideLease,
    /// Relies on a heartbeat from when its answer came, not from when it was sent.
    LeaseFromAnswer,
    /// Relies on its lease for longer than others keep their promise.
    LeaseWithoutEnd,
    /// Serves reads before an entry of its own term is committed.
    ReadBeforeOwnTerm,
    /// Counts copies of entries of older terms as committed.
    CommitOlderTerm,
    /// Commits what fewer than a quorum hold.
    CommitWithoutQuorum,
    /// Takes entries without checking what stands before them.
    AppendWithoutCheck,
    /// Tells others of what it has not yet persisted.
    SendBeforePersist,
    /// Doesn't persist its vote.
    ForgetVote,
    /// Begins a change of voters while another one is open.
    TwoChangesAtOnce,
    /// Takes messages that were meant for another life of itself.
    AnswerForOldLife,
    /// Takes in a snapshot that is older than what it has applied.
    InstallOlderSnapshot,
}

impl Weakening {
    /// All of them.
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
