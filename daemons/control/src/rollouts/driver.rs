//! The leader's decisions on roll-outs: it finds versions in force, and carries out orders.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sill_base::{Millis, Name, event};
use sill_quorum::RoleName;
use sill_rollout::{EntryView, OrderState, Planner, PoolView, RolloutBounds, RolloutView, Step};
use sill_wire::Software;
use sill_wire::link::EndpointFact;
use sill_wire::rollout::RolloutPhase;

use crate::app::rollouts::{RolloutChange, RolloutDecision};
use crate::app::{Ask, Outcome};
use crate::link::RolloutEvidence;
use crate::metrics::SentCounts;
use crate::rollouts::endpoints::{EndpointHistory, VersionWatch};
use crate::rpc::SubmitReply;
use crate::settings_pieces::SERVING_SUBTREE;
use crate::shared::Shared;
use crate::submit;

/// Interval between two evaluations.
const TICK_INTERVAL: Millis = Millis(200);

/// Time from the beginning of a term to the first decision, in which all entry instances that are
/// in contact have reported: a poll and a call between control instances, twice.
const WARMUP: Millis = Millis(1000);

/// Time for which endpoints must have been recorded before a decision: three heartbeats. After a
/// restart of all control instances, the first one heard would pass for the only one.
const MIN_HISTORY: Millis = Millis(3000);

/// Age up to which reports count as evidence.
const EVIDENCE_TTL: Millis = Millis(15_000);

/// Time limit of committing a decision. A later tick decides again.
const COMMIT_TIMEOUT: Millis = Millis(2000);

/// Interval between two log lines on the progress of an order.
const PROGRESS_INTERVAL: Millis = Millis(1000);

/// What the leader keeps in one term.
struct Leadership {
    shared: Arc<Shared>,
    bounds: RolloutBounds,
    term: u64,
    began_at: Millis,
    evaluations: BTreeMap<u64, Evaluation>,
    watches: BTreeMap<Name, VersionWatch>,
}

/// The evaluation of one order.
struct Evaluation {
    planner: Planner,
    progress_at: Millis,
}

/// A version that was found to be in force, to be written to the log.
struct FoundVersion {
    software: Software,
    before: Option<Software>,
    decision: RolloutDecision,
}

/// Evaluates roll-outs while this instance is the leader.
pub async fn run(shared: Arc<Shared>, bounds: RolloutBounds) {
    // Also without leadership, so that a new leader knows which endpoints ended before.
    let mut history = EndpointHistory::default();
    let mut leadership: Option<Leadership> = None;
    loop {
        tokio::time::sleep(TICK_INTERVAL.into()).await;
        let (now, status) = (shared.clock.now(), shared.log.status());
        let facts = shared.link.endpoints(now);
        history.record(now, &facts);
        if status.role != RoleName::Leader {
            if leadership.take().is_some() {
                shared.metrics.rollouts.reset();
            }
            continue;
        }
        if now >= status.reads_until {
            continue;
        }
        let current = leadership.take().filter(|known| known.term == status.term);
        let mut current =
            current.unwrap_or_else(|| Leadership::new(shared.clone(), bounds, status.term, now));
        current.evaluate(now, &history, &facts).await;
        leadership = Some(current);
    }
}

impl Leadership {
    fn new(shared: Arc<Shared>, bounds: RolloutBounds, term: u64, began_at: Millis) -> Self {
        let (evaluations, watches) = (BTreeMap::new(), BTreeMap::new());
        Self { shared, bounds, term, began_at, evaluations, watches }
    }

    async fn evaluate(&mut self, now: Millis, history: &EndpointHistory, facts: &[EndpointFact]) {
        let is_informed =
            now - self.began_at >= WARMUP && self.shared.link.history(now) >= MIN_HISTORY;
        if !is_informed {
            return;
        }
        for FoundVersion { software, before, decision } in self.find_versions(now, facts) {
            let service = decision.service.clone();
            if self.commit(decision).await {
                event!(
                    Info,
                    "version_in_force",
                    service = service,
                    software = software,
                    before = before.map(|before| before.to_string()).unwrap_or_default()
                );
            }
        }
        let orders: Vec<OrderState> =
            self.shared.log.app().read().rollouts().in_progress().collect();
        self.drop_ended(&orders);
        if orders.is_empty() {
            return;
        }
        let evidence = self.shared.link.rollout_evidence(now, EVIDENCE_TTL);
        for order in orders {
            self.evaluate_order(now, &order, &evidence, history, facts).await;
        }
    }

    /// Returns decisions on the versions in force that have changed.
    fn find_versions(&mut self, now: Millis, facts: &[EndpointFact]) -> Vec<FoundVersion> {
        let app = self.shared.log.app().read();
        let serving = app.tree().subtrees.get(SERVING_SUBTREE);
        let services: BTreeSet<&Name> =
            serving.into_iter().flat_map(|subtree| subtree.document.services.keys()).collect();
        self.watches.retain(|service, _| services.contains(service));
        let mut found = Vec::new();
        for service in services {
            let known = app.rollouts().service(service);
            let stable = known.and_then(|known| known.stable());
            let candidate = known.and_then(|known| known.in_progress()).map(|order| &order.to);
            let watch =
                self.watches.entry(service.clone()).or_insert_with(|| VersionWatch::new(now));
            // An order may come before a version is in force; whatever else is there then is it.
            if candidate.is_some() && stable.is_some() {
                *watch = VersionWatch::new(now);
                continue;
            }
            let mut excluded = known.map(|known| known.rejected().to_vec()).unwrap_or_default();
            excluded.extend(candidate.cloned());
            if let Some(software) = watch.find(now, facts, service, stable, &excluded) {
                let based_on = known.map_or(0, |known| known.step());
                let change = RolloutChange::Establish { software: software.clone() };
                let decision = RolloutDecision { service: service.clone(), based_on, change };
                found.push(FoundVersion { software, before: stable.cloned(), decision });
            }
        }
        found
    }

    /// Drops the evaluations and metrics of orders that are no longer in progress.
    fn drop_ended(&mut self, orders: &[OrderState]) {
        self.evaluations.retain(|index, _| orders.iter().any(|order| order.order == *index));
        let services: Vec<&Name> = orders.iter().map(|order| &order.service).collect();
        self.shared.metrics.rollouts.retain(&services);
    }

    async fn evaluate_order(
        &mut self,
        now: Millis,
        order: &OrderState,
        evidence: &[RolloutEvidence],
        history: &EndpointHistory,
        facts: &[EndpointFact],
    ) {
        let link = &self.shared.link;
        let true_now = link.true_time(now);
        if !self.evaluations.contains_key(&order.order) {
            event!(
                Info,
                "rollout_ordered",
                order = order.order,
                service = order.service,
                to = order.to,
                from = order.stable.as_ref().map(Software::to_string).unwrap_or_default(),
                phase = phase_name(order.phase),
                age_ms = true_now - order.ordered_at,
                duration_ms = order.duration,
                term = self.term
            );
        }
        let since = now - (true_now - order.ordered_at);
        let pool = history.pool_view(facts, &order.service, &order.to, since, |name, born| {
            link.has_crashed_since(since, name, born)
        });
        let entries: Vec<EntryView<'_>> =
            evidence.iter().map(|evidence| evidence.view(order)).collect();
        let view = RolloutView {
            expected_entries: link.expected_entries(now).max(entries.len() as u32),
            entries,
            pool,
            is_configured: self.shared.log.app().read().is_served(&order.service),
        };
        self.shared.metrics.rollouts.record(order, &view);
        let bounds = self.bounds;
        let evaluation = self.evaluations.entry(order.order);
        let evaluation = evaluation
            .or_insert_with(|| Evaluation { planner: Planner::new(bounds), progress_at: now });
        if now >= evaluation.progress_at {
            evaluation.progress_at = now + PROGRESS_INTERVAL;
            log_progress(order, &view);
        }
        let Some(step) = evaluation.planner.step(true_now, order, &view) else { return };
        self.commit_step(order, &view, step, true_now).await;
    }

    async fn commit_step(
        &self,
        order: &OrderState,
        view: &RolloutView<'_>,
        step: Step,
        true_now: Millis,
    ) {
        let index = order.order;
        let (change, why) = match step {
            Step::Set { phase, share, endpoints, why } => {
                (RolloutChange::Set { order: index, phase, share, endpoints }, why)
            }
            Step::Complete { why } => {
                (RolloutChange::Complete { order: index, reason: why.clone() }, why)
            }
            Step::Revert { why } => {
                (RolloutChange::Revert { order: index, reason: why.clone() }, why)
            }
        };
        let age = true_now - order.ordered_at;
        let verdict = match &change {
            RolloutChange::Revert { .. } => Some("reverted"),
            RolloutChange::Set { phase, .. }
                if order.phase == RolloutPhase::Probing && *phase > order.phase =>
            {
                Some("shifted")
            }
            _ => None,
        };
        if let Some(verdict) = verdict {
            let SentCounts { sent, sent_to_candidate } = SentCounts::of(view);
            event!(
                Info,
                "rollout_verdict",
                order = index,
                service = order.service,
                to = order.to,
                verdict = verdict,
                why = why,
                age_ms = age,
                sent = sent,
                sent_to_candidate = sent_to_candidate,
                entries = view.entries.len(),
                expected_entries = view.expected_entries,
                candidate = candidate_text(&view.pool),
                stable = stable_text(&view.pool)
            );
        }
        let decision = RolloutDecision {
            service: order.service.clone(),
            based_on: order.step,
            change: change.clone(),
        };
        let is_committed = self.commit(decision).await;
        let outcome = match (&change, is_committed) {
            (_, false) => "not_committed",
            (RolloutChange::Complete { .. }, true) => "completed",
            (RolloutChange::Revert { .. }, true) => "reverted",
            (_, true) => "set",
        };
        self.shared.metrics.rollouts.count_step(outcome);
        match change {
            RolloutChange::Set { phase, share, endpoints, .. } => event!(
                Info,
                "rollout_step",
                order = index,
                service = order.service,
                phase = phase_name(phase),
                share = share,
                endpoints = endpoints,
                why = why,
                outcome = outcome,
                age_ms = age
            ),
            _ => event!(
                Info,
                "rollout_ended",
                order = index,
                service = order.service,
                to = order.to,
                phase = phase_name(order.phase),
                outcome = outcome,
                why = why,
                age_ms = age,
                duration_ms = order.duration
            ),
        }
    }

    /// Writes a decision to the log. Returns whether it is committed and had an effect.
    async fn commit(&self, decision: RolloutDecision) -> bool {
        let service = decision.service.clone();
        let ask = Ask::RolloutDecision(decision);
        // Never by way of another leader: it decides by its own evidence.
        let submitted = submit::submit_as_leader(&self.shared, &ask);
        let reply = tokio::time::timeout(COMMIT_TIMEOUT.into(), submitted).await;
        let applied = SubmitReply::Done { outcome: Outcome::RolloutDecision { is_applied: true } };
        let is_committed = reply.as_ref().is_ok_and(|reply| *reply == applied);
        if !is_committed {
            event!(Warn, "rollout_undecided", service = service, reply = format!("{reply:?}"));
        }
        is_committed
    }
}

fn log_progress(order: &OrderState, view: &RolloutView<'_>) {
    let SentCounts { sent, sent_to_candidate } = SentCounts::of(view);
    event!(
        Info,
        "rollout_progress",
        order = order.order,
        service = order.service,
        to = order.to,
        phase = phase_name(order.phase),
        share = order.share,
        sent = sent,
        sent_to_candidate = sent_to_candidate,
        entries = view.entries.len(),
        expected_entries = view.expected_entries,
        candidate = candidate_text(&view.pool),
        stable = stable_text(&view.pool)
    );
}

fn candidate_text(pool: &PoolView) -> String {
    let PoolView { candidate_ready, candidate_slots, candidate_crashed, .. } = pool;
    format!("{candidate_ready} ready, {candidate_slots} slots, {candidate_crashed} crashed")
}

fn stable_text(pool: &PoolView) -> String {
    let PoolView { stable_ready, stable_slots, stable_crashed, .. } = pool;
    format!("{stable_ready} ready, {stable_slots} slots, {stable_crashed} crashed")
}

/// Returns the name of a phase in log lines.
pub fn phase_name(phase: RolloutPhase) -> &'static str {
    match phase {
        RolloutPhase::Probing => "probing",
        RolloutPhase::Shifting => "shifting",
        RolloutPhase::Draining => "draining",
    }
}
