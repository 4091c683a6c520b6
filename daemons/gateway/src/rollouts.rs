//! Roll-outs of software versions: which endpoints calls may use, and the counts of answers by
//! version that are reported to control instances.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use prometheus::IntCounter;
use sill_base::{Map, Millis, Name, event};
use sill_dispatch::{Placement, PlacementDecision, PlacementRequest, Pool};
use sill_rollout::{AnswerEnd, AnswerSample, Counts, Gate, Need, size_class};
use sill_route::{PoolView, RefusalReason};
use sill_wire::rollout::{RolloutReport, ServiceVersions};
use sill_wire::{Incarnation, Software};

use crate::metrics::Metrics;
use crate::serve::Call;
use crate::state::PoolState;

/// Retry time for a call that no endpoint may serve at present, such as one that continues a stream
/// of a version that has used up its share.
const RETRY_WITHOUT_ADMISSION: Millis = Millis(1000);

/// The gates of all services; none exists if this deployment has no roll-outs.
#[derive(Debug)]
pub struct Rollouts {
    is_enabled: bool,
    metrics: Metrics,
    gates: Mutex<Map<Name, Arc<ServiceGate>>>,
}

/// The gate of one service, with the counts of answers since the order in progress.
#[derive(Debug)]
pub struct ServiceGate {
    state: Mutex<GateState>,
    sent: IntCounter,
    sent_to_candidate: IntCounter,
}

#[derive(Debug, Default)]
struct GateState {
    gate: Gate,
    counts: Counts,
}

/// What is kept of a request that was placed while an order is in progress.
#[derive(Debug, Clone, Copy)]
pub struct Ticket {
    order: u64,
    is_candidate: bool,
    is_cold: bool,
}

/// Follows the answer to one attempt and counts it for its version. An answer that is dropped counts
/// as abandoned.
#[derive(Debug)]
pub struct AnswerWatch {
    gate: Arc<ServiceGate>,
    ticket: Ticket,
    endpoint: Name,
    incarnation: Incarnation,
    route: Name,
    size: u8,
    is_stream: bool,
    is_first_attempt: bool,
    is_continuation: bool,
    sent_at: Millis,
    first_at: Option<Millis>,
    last_at: Option<Millis>,
    pause: Option<Millis>,
    is_over: bool,
}

impl Rollouts {
    /// Creates the gates, which are used only if roll-outs are enabled.
    pub fn new(is_enabled: bool, metrics: Metrics) -> Self {
        Self { is_enabled, metrics, gates: Mutex::default() }
    }

    /// Returns the gate of a service; none if roll-outs are not enabled.
    pub fn gate_of(&self, service: &Name) -> Option<Arc<ServiceGate>> {
        if !self.is_enabled {
            return None;
        }
        let mut gates = self.gates.lock();
        let gate = gates.entry(service.clone()).or_insert_with(|| {
            let label = [service.as_str()];
            Arc::new(ServiceGate {
                state: Mutex::default(),
                sent: self.metrics.sent.with_label_values(&label),
                sent_to_candidate: self.metrics.sent_to_candidate.with_label_values(&label),
            })
        });
        Some(gate.clone())
    }

    /// Applies what a control instance reports of the versions of services.
    pub fn apply(&self, from: SocketAddr, versions: &[ServiceVersions]) {
        for versions in versions {
            let Some(gate) = self.gate_of(&versions.service) else { return };
            gate.apply(from, versions);
        }
    }

    /// Records the reply of a control instance that is in contact with a leader.
    pub fn record_leader(&self, now: Millis) {
        for gate in self.gates.lock().values() {
            gate.state.lock().gate.record_leader(now);
        }
    }
}

impl ServiceGate {
    fn apply(&self, from: SocketAddr, versions: &ServiceVersions) {
        let mut state = self.state.lock();
        let (step, order) = (state.gate.versions().map(|known| known.step), state.gate.order());
        if !state.gate.apply(versions) {
            return;
        }
        if state.gate.order() != order {
            state.counts = Counts::default();
        }
        drop(state);
        let ServiceVersions { service, stable, candidate, rejected, .. } = versions;
        let rejected: Vec<String> = rejected.iter().map(Software::to_string).collect();
        let text = |text: Option<String>| text.unwrap_or_default();
        let candidate = candidate.as_ref();
        event!(
            Info,
            "versions_heard",
            service = service,
            step = versions.step,
            before = step.unwrap_or_default(),
            stable = text(stable.as_ref().map(Software::to_string)),
            order = candidate.map(|candidate| candidate.order).unwrap_or_default(),
            candidate = text(candidate.map(|candidate| candidate.software.to_string())),
            phase = text(candidate.map(|candidate| format!("{:?}", candidate.phase))),
            share = text(candidate.map(|candidate| format!("{:.3}", candidate.share))),
            endpoints = candidate.map(|candidate| candidate.endpoints).unwrap_or_default(),
            rejected = rejected.join(","),
            from = from
        );
    }

    /// Returns whether a version was reverted and may get no requests.
    pub fn is_rejected(&self, software: &Software) -> bool {
        self.state.lock().gate.is_rejected(software)
    }

    /// Chooses among the endpoints that a request may use.
    ///
    /// The gate stays locked until the request is counted at its endpoint. Otherwise a report might
    /// say under a new step that nothing runs at a version, while a request that was admitted under
    /// the previous step is about to be sent there.
    fn place(
        &self,
        now: Millis,
        pool: &Mutex<Pool>,
        mut ask: PlacementRequest,
        is_first_attempt: bool,
    ) -> (PlacementDecision, Option<Ticket>) {
        let mut state = self.state.lock();
        let mut pool = pool.lock();
        let ready = pool.ready_versions();
        let candidate = state.gate.versions().and_then(|versions| versions.candidate.as_ref());
        let need = match &ask.software {
            Some(software) => Need::Continue(software),
            None if is_first_attempt => Need::New,
            None => Need::Retry {
                after_candidate: candidate
                    .is_some_and(|candidate| pool.has_version(&ask.exclude, &candidate.software)),
            },
        };
        let admissions = state.gate.admissions(now, need, &ready);
        let mut refusal = None;
        for admission in &admissions {
            ask.admitted = pool.admitted(now, admission);
            let decision = pool.place(now, &ask);
            match &decision {
                PlacementDecision::Endpoint(placement) => {
                    let is_cold = pool.is_cold(now, &placement.endpoint);
                    let ticket = self.record_sent(&mut state.gate, placement, is_cold);
                    return (decision, ticket);
                }
                PlacementDecision::Refused { reason, .. } => {
                    if refusal.is_none() || *reason == RefusalReason::Full {
                        refusal = Some(decision);
                    }
                }
            }
        }
        let refusal = refusal.unwrap_or_else(|| PlacementDecision::Refused {
            reason: RefusalReason::NoEndpoint,
            retry_after: RETRY_WITHOUT_ADMISSION,
            may_wait: false,
            view: PoolView::default(),
        });
        (refusal, None)
    }

    fn record_sent(&self, gate: &mut Gate, placement: &Placement, is_cold: bool) -> Option<Ticket> {
        gate.record_sent(&placement.software);
        self.sent.inc();
        let is_candidate = gate.is_candidate(&placement.software);
        if is_candidate {
            self.sent_to_candidate.inc();
        }
        Some(Ticket { order: gate.order()?, is_candidate, is_cold })
    }

    fn report(&self, pool: &Mutex<Pool>) -> Option<RolloutReport> {
        let state = self.state.lock();
        let counts = state.gate.counts()?;
        let candidate = &state.gate.versions()?.candidate.as_ref()?.software;
        let pool = pool.lock();
        let (all, at_candidate) = (pool.running(), pool.running_at(candidate));
        Some(state.counts.report(counts, all - at_candidate, at_candidate))
    }
}

impl PoolState {
    /// Chooses an endpoint for an attempt. The ticket is for an attempt during an order.
    pub fn place(
        &self,
        now: Millis,
        ask: PlacementRequest,
        is_first_attempt: bool,
    ) -> (PlacementDecision, Option<Ticket>) {
        match &self.gate {
            Some(gate) => gate.place(now, &self.pool, ask, is_first_attempt),
            None => (self.pool.lock().place(now, &ask), None),
        }
    }

    /// Returns whether a version was reverted and may get no requests.
    pub fn is_rejected(&self, software: &Software) -> bool {
        self.gate.as_ref().is_some_and(|gate| gate.is_rejected(software))
    }

    /// Returns the counts since the order in progress; none without one.
    pub fn rollout_report(&self) -> Option<RolloutReport> {
        self.gate.as_ref()?.report(&self.pool)
    }
}

impl AnswerWatch {
    /// Starts to follow the answer to an attempt that was placed at `now`. `continues` is whether it
    /// continues a stream.
    pub fn new(
        ticket: Ticket,
        call: &Call,
        placement: &Placement,
        is_first_attempt: bool,
        continues: bool,
    ) -> Option<Self> {
        Some(Self {
            gate: call.pool.gate.clone()?,
            ticket,
            endpoint: placement.endpoint.clone(),
            incarnation: placement.incarnation,
            route: call.route.name.clone(),
            size: if call.pool.is_engine { size_class(placement.fresh_tokens) } else { 0 },
            is_stream: call.route.route.kind.is_stream(),
            is_first_attempt,
            is_continuation: continues,
            sent_at: placement.sent_at,
            first_at: None,
            last_at: None,
            pause: None,
            is_over: false,
        })
    }

    /// Counts the request towards those whose answers began; called once for each call.
    pub fn record_begun(&self) {
        self.gate.state.lock().gate.record_answer(Some(self.ticket.order));
    }

    /// Records that a part of the answer arrived.
    pub fn record_part(&mut self, now: Millis) {
        self.first_at.get_or_insert(now);
        if let Some(last) = self.last_at.replace(now) {
            self.pause = Some(self.pause.unwrap_or_default().max(now - last));
        }
    }

    /// Records that no answer came in time. A later attempt has less time than the call, which is
    /// not the fault of its endpoint.
    pub fn end_late(&mut self, now: Millis) {
        self.end(now, if self.is_first_attempt { AnswerEnd::Failed } else { AnswerEnd::Abandoned });
    }

    /// Counts the answer. Only the first end counts.
    pub fn end(&mut self, now: Millis, end: AnswerEnd) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let mut state = self.gate.state.lock();
        if state.gate.order() != Some(self.ticket.order) {
            return;
        }
        let whole = now - self.sent_at;
        let first = match self.is_stream {
            true => self.first_at.map(|first_at| first_at - self.sent_at),
            false => (end == AnswerEnd::Whole).then_some(whole),
        };
        state.counts.record(&AnswerSample {
            candidate: self.ticket.is_candidate.then_some((&self.endpoint, self.incarnation)),
            route: &self.route,
            size: self.size,
            // A continued stream has other times than a new one.
            is_timed: !self.ticket.is_cold && !self.is_continuation,
            end,
            first,
            pause: self.pause.filter(|_| self.is_stream),
            whole,
        });
    }
}
