//! Metrics of a control instance for `/metrics`.

use eyre::Result;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder, exponential_buckets,
};
use sill_quorum::RoleName;

use crate::app::App;
use crate::log::Status;

/// The metrics of a control instance, with their registry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    term: IntGauge,
    is_leader: IntGauge,
    is_voter: IntGauge,
    commit: IntGauge,
    revision: IntGauge,
    claims: IntGauge,
    disk_fault: IntGauge,
    /// Entry instances whose demand the leader aggregates, by state: `heard`, `silent` or
    /// `unknown`.
    pub entries: IntGaugeVec,
    /// Changes accepted by calls to this instance.
    pub changes_accepted: IntCounter,
    /// Changes refused by calls to this instance.
    pub changes_refused: IntCounter,
    /// Calls with a token that owns no subtree; they are not written to the audit trail.
    pub unknown_tokens: IntCounter,
    /// Claim requests received by this instance.
    pub claim_asks: IntCounter,
    /// Feed polls received from entry instances.
    pub polls: IntCounter,
    /// Pieces of settings sent to entry instances.
    pub pieces: IntCounter,
    /// Seconds that a synced write to the log takes.
    pub append_seconds: Histogram,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if two metrics have the same name.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::with_opts(Opts::new(name, help))?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let counter = |name: &str, help: &str| -> Result<IntCounter> {
            let counter = IntCounter::with_opts(Opts::new(name, help))?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let buckets = exponential_buckets(0.000_05, 2.0, 16)?;
        let append = HistogramOpts::new("sill_control_append_seconds", "synced write to the log");
        let append_seconds = Histogram::with_opts(append.buckets(buckets))?;
        let entries = IntGaugeVec::new(
            Opts::new("sill_control_entries", "entry instances whose demand is added up"),
            &["state"],
        )?;
        registry.register(Box::new(entries.clone()))?;
        registry.register(Box::new(append_seconds.clone()))?;
        Ok(Self {
            term: gauge("sill_control_term", "term of the replicated log")?,
            is_leader: gauge("sill_control_leads", "1 while this instance leads")?,
            is_voter: gauge("sill_control_voter", "1 while this instance is a voter")?,
            commit: gauge("sill_control_commit_index", "last committed entry")?,
            revision: gauge("sill_control_revision", "newest revision of the tree")?,
            claims: gauge("sill_control_claims", "claims held")?,
            disk_fault: gauge("sill_control_disk_fault", "1 while the disk can't be written")?,
            changes_accepted: counter("sill_control_changes_accepted_total", "changes accepted")?,
            changes_refused: counter("sill_control_changes_refused_total", "changes refused")?,
            unknown_tokens: counter("sill_control_unknown_tokens_total", "unknown tokens")?,
            claim_asks: counter("sill_control_claim_asks_total", "claims asked for")?,
            polls: counter("sill_control_polls_total", "feed polls of entry instances")?,
            pieces: counter("sill_control_settings_pieces_total", "pieces of settings sent")?,
            append_seconds,
            entries,
            registry,
        })
    }

    /// Updates the gauges from the status of the log and the state of the tree.
    pub fn report(&self, status: &Status, app: &App) {
        self.term.set(status.term as i64);
        self.is_leader.set(i64::from(status.role == RoleName::Leader));
        self.is_voter.set(i64::from(status.is_voter));
        self.commit.set(status.commit as i64);
        self.revision.set(app.revision().0 as i64);
        self.claims.set(app.claims() as i64);
        self.disk_fault.set(i64::from(status.disk_fault.is_some()));
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}
