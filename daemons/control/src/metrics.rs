//! Metrics of a control instance for `/metrics`.

use std::collections::BTreeSet;

use eyre::Result;
use parking_lot::Mutex;
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder, exponential_buckets,
};
use sill_base::Name;
use sill_quorum::RoleName;
use sill_rollout::{OrderState, RolloutView};
use sill_wire::rollout::RolloutPhase;

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
    recorded_versions: IntGauge,
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
    /// The leader's view of orders in progress.
    pub rollouts: RolloutMetrics,
}

/// The leader's metrics of orders to move services to other versions.
#[derive(Debug)]
pub struct RolloutMetrics {
    requests: IntGaugeVec,
    phase: IntGaugeVec,
    steps: IntCounterVec,
    services: Mutex<BTreeSet<Name>>,
}

/// Requests counted by all entry instances since an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentCounts {
    /// Requests whose answers began, at endpoints of any version.
    pub sent: u64,
    /// Requests that were sent to endpoints of the candidate.
    pub sent_to_candidate: u64,
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
        let rollouts = RolloutMetrics::new(&registry)?;
        Ok(Self {
            term: gauge("sill_control_term", "term of the replicated log")?,
            is_leader: gauge("sill_control_leads", "1 while this instance leads")?,
            is_voter: gauge("sill_control_voter", "1 while this instance is a voter")?,
            commit: gauge("sill_control_commit_index", "last committed entry")?,
            revision: gauge("sill_control_revision", "newest revision of the tree")?,
            claims: gauge("sill_control_claims", "claims held")?,
            recorded_versions: gauge(
                "sill_control_recorded_versions",
                "versions that may begin streams, by the log",
            )?,
            disk_fault: gauge("sill_control_disk_fault", "1 while the disk can't be written")?,
            changes_accepted: counter("sill_control_changes_accepted_total", "changes accepted")?,
            changes_refused: counter("sill_control_changes_refused_total", "changes refused")?,
            unknown_tokens: counter("sill_control_unknown_tokens_total", "unknown tokens")?,
            claim_asks: counter("sill_control_claim_asks_total", "claims asked for")?,
            polls: counter("sill_control_polls_total", "feed polls of entry instances")?,
            pieces: counter("sill_control_settings_pieces_total", "pieces of settings sent")?,
            append_seconds,
            rollouts,
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
        self.recorded_versions.set(app.origins().versions().count() as i64);
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

impl RolloutMetrics {
    fn new(registry: &Registry) -> Result<Self> {
        let requests = Opts::new(
            "sill_control_rollout_requests",
            "requests of a service since its order: all, and those sent to the candidate",
        );
        let requests = IntGaugeVec::new(requests, &["service", "sent_to"])?;
        let phase = Opts::new(
            "sill_control_rollout_phase",
            "phase of the order in progress: 1 probing, 2 shifting, 3 draining",
        );
        let phase = IntGaugeVec::new(phase, &["service"])?;
        let steps = Opts::new("sill_control_rollout_steps_total", "decisions by outcome");
        let steps = IntCounterVec::new(steps, &["outcome"])?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(phase.clone()))?;
        registry.register(Box::new(steps.clone()))?;
        Ok(Self { requests, phase, steps, services: Mutex::default() })
    }

    /// Updates the metrics of an order in progress.
    pub fn record(&self, order: &OrderState, view: &RolloutView<'_>) {
        let counts = SentCounts::of(view);
        let service = &*order.service;
        for (sent_to, count) in [("all", counts.sent), ("candidate", counts.sent_to_candidate)] {
            self.requests.with_label_values(&[service, sent_to]).set(count as i64);
        }
        self.phase.with_label_values(&[service]).set(match order.phase {
            RolloutPhase::Probing => 1,
            RolloutPhase::Shifting => 2,
            RolloutPhase::Draining => 3,
        });
        self.services.lock().insert(order.service.clone());
    }

    /// Counts a decision.
    pub fn count_step(&self, outcome: &str) {
        self.steps.with_label_values(&[outcome]).inc();
    }

    /// Removes the metrics of services without an order in progress.
    pub fn retain(&self, in_progress: &[&Name]) {
        self.services.lock().retain(|service| {
            let is_kept = in_progress.contains(&service);
            if !is_kept {
                // They are present: both were set when the service was inserted.
                let _ = self.phase.remove_label_values(&[service]);
                let _ = self.requests.remove_label_values(&[service, "all"]);
                let _ = self.requests.remove_label_values(&[service, "candidate"]);
            }
            is_kept
        });
    }

    /// Removes the metrics of all orders.
    pub fn reset(&self) {
        self.retain(&[]);
    }
}

impl SentCounts {
    /// Sums the reports of all entry instances.
    pub fn of(view: &RolloutView<'_>) -> Self {
        let reports = view.entries.iter().filter_map(|entry| entry.report);
        Self {
            sent: reports.clone().map(|report| report.sent).sum(),
            sent_to_candidate: reports.map(|report| report.sent_to_candidate).sum(),
        }
    }
}
