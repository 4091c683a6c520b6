//! Roll-outs of software versions: the versions in force, the orders and the leader's decisions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_rollout::OrderState;
use sill_wire::Software;
use sill_wire::rollout::{Candidate, MAX_REJECTED, RolloutPhase, ServiceVersions};

/// Services whose versions are kept. A configuration names far fewer; services that it has dropped
/// stay until the table is full.
const MAX_SERVICES: usize = 1000;

/// Time after the deadline of an ended order for which a repeat of it counts as the same order: the
/// operator repeats an order whose acknowledgement was lost.
const REPEAT_WINDOW: Millis = Millis(10_000);

/// Number of endpoints of a new candidate that are used until the leader's first decision.
const INITIAL_ENDPOINTS: u32 = 4;

/// Longest stored text on the reason for a decision, in bytes.
const MAX_REASON_BYTES: usize = 2000;

/// An order to move a service to another software version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutAsk {
    /// Identifies the call of the operator. An internal retry of a call whose outcome was unclear
    /// gets the outcome of its first attempt by it, not a conflict with itself.
    pub call: Name,
    /// The service.
    pub service: Name,
    /// The version to move to.
    pub to: Software,
    /// Time from the order to its deadline.
    pub duration: Millis,
    /// The part of the requests that the candidate may get until the leader's first decision.
    pub share: f64,
}

/// A decision of the leader on the versions of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutDecision {
    /// The service.
    pub service: Name,
    /// The newest decision that this one is based on; on a newer one, it has no effect.
    pub based_on: u64,
    /// What was decided.
    pub change: RolloutChange,
}

/// A change of the versions of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum RolloutChange {
    /// A version was found to be in force.
    Establish {
        /// The version.
        software: Software,
    },
    /// The order in progress continues with these settings.
    Set {
        /// The order.
        order: u64,
        /// The phase.
        phase: RolloutPhase,
        /// The part of the requests that the candidate may get.
        share: f64,
        /// Number of the candidate's endpoints that are used while probing.
        endpoints: u32,
    },
    /// The order ends, and its version is in force.
    Complete {
        /// The order.
        order: u64,
        /// The figures behind the decision.
        reason: String,
    },
    /// The order ends, and its version is rejected.
    Revert {
        /// The order.
        order: u64,
        /// The figures behind the decision.
        reason: String,
    },
}

/// The outcome of an order of the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The order is in the log.
    Ordered {
        /// The order: the index of its entry in the replicated log.
        order: u64,
    },
    /// The same order has ended, or its version is in force already; nothing has changed.
    AlreadyEnded,
    /// The same order is in progress.
    InProgress,
    /// An order for another version is in progress.
    OtherInProgress,
    /// The configuration in force doesn't name the service.
    UnknownService,
    /// Orders for too many services are in progress.
    TooMany,
}

/// The state of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderStatus {
    /// It is being carried out.
    InProgress,
    /// Its version is in force.
    Completed,
    /// Its version is rejected.
    Reverted,
}

/// The newest order of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The index of its entry in the replicated log.
    pub index: u64,
    /// The call that gave it.
    pub call: Name,
    /// The version to move to.
    pub to: Software,
    /// When it was given, in true time.
    pub ordered_at: Millis,
    /// Time from the order to its deadline.
    pub duration: Millis,
    /// Its state.
    pub status: OrderStatus,
    /// The phase, or the last one of an ended order.
    pub phase: RolloutPhase,
    /// When phase and share were decided, in true time.
    pub decided_at: Millis,
    /// The part of the requests that the candidate may get.
    pub share: f64,
    /// Number of the candidate's endpoints that are used while probing.
    pub endpoints: u32,
}

/// The versions of a service.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceRollout {
    /// The index of the newest decision in the replicated log.
    step: u64,
    /// The version in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    stable: Option<Software>,
    /// Reverted versions, the newest last.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    rejected: Vec<Software>,
    /// The newest order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    order: Option<Order>,
}

/// The versions of all services.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rollouts {
    services: BTreeMap<Name, ServiceRollout>,
}

impl Rollouts {
    /// Returns the versions of a service, if any decision was made on it.
    pub fn service(&self, service: &str) -> Option<&ServiceRollout> {
        self.services.get(service)
    }

    /// Returns the orders in progress.
    pub fn in_progress(&self) -> impl Iterator<Item = OrderState> + '_ {
        self.services.iter().filter_map(|(name, service)| service.order_state(name))
    }

    /// Returns the index of the newest decision on any service. As each change of the versions
    /// increases it, it identifies what [`Self::versions`] returns.
    pub fn newest_step(&self) -> u64 {
        self.services.values().map(|service| service.step).max().unwrap_or_default()
    }

    /// Returns what entry instances are told.
    pub fn versions(&self) -> Vec<ServiceVersions> {
        self.services.iter().map(|(name, service)| service.versions(name)).collect()
    }

    /// Returns whether endpoints of a version count towards the number of endpoints that a service
    /// needs. Once an order was given, only those of the version in force do, also after its end:
    /// those of the other version take no requests and stay for some seconds, and as surplus they
    /// would cause an order for fewer.
    pub fn is_counted(&self, service: &str, software: &Software) -> bool {
        let Some(known) = self.services.get(service) else { return true };
        match (&known.order, &known.stable) {
            (Some(_), Some(stable)) => software == stable,
            (Some(order), None) if order.status == OrderStatus::InProgress => *software != order.to,
            _ => true,
        }
    }

    /// Returns the outcome of an order that changes nothing at `at`, in true time, or `None` for
    /// one to carry out.
    pub fn settled_outcome(&self, at: Millis, ask: &RolloutAsk) -> Option<OrderOutcome> {
        let Some(known) = self.services.get(&ask.service) else {
            return (!self.has_room_for(&ask.service)).then_some(OrderOutcome::TooMany);
        };
        let order = known.order.as_ref()?;
        let is_repeated = order.to == ask.to;
        let is_current = at <= order.ordered_at + order.duration + REPEAT_WINDOW;
        let is_in_force = known.stable.as_ref() == Some(&ask.to);
        match order.status {
            _ if order.call == ask.call => Some(OrderOutcome::Ordered { order: order.index }),
            OrderStatus::InProgress if is_repeated => Some(OrderOutcome::InProgress),
            OrderStatus::InProgress => Some(OrderOutcome::OtherInProgress),
            OrderStatus::Completed if is_repeated && is_in_force => {
                Some(OrderOutcome::AlreadyEnded)
            }
            _ if is_repeated && is_current => Some(OrderOutcome::AlreadyEnded),
            _ => None,
        }
    }

    /// Carries out an order given at `at`, in true time.
    pub(super) fn order(&mut self, index: u64, at: Millis, ask: RolloutAsk) -> OrderOutcome {
        if let Some(outcome) = self.settled_outcome(at, &ask) {
            return outcome;
        }
        self.make_room_for(&ask.service);
        let known = self.services.entry(ask.service).or_default();
        let is_in_force = known.stable.as_ref() == Some(&ask.to);
        known.step = index;
        known.rejected.retain(|rejected| *rejected != ask.to);
        known.order = Some(Order {
            index,
            call: ask.call,
            to: ask.to,
            ordered_at: at,
            duration: ask.duration,
            status: if is_in_force { OrderStatus::Completed } else { OrderStatus::InProgress },
            phase: RolloutPhase::Probing,
            decided_at: at,
            share: ask.share,
            endpoints: INITIAL_ENDPOINTS,
        });
        OrderOutcome::Ordered { order: index }
    }

    /// Returns whether a decision would change anything.
    pub fn is_applicable(&self, decision: &RolloutDecision) -> bool {
        let known = self.services.get(&decision.service);
        let step = known.map_or(0, |known| known.step);
        let in_progress = known.and_then(ServiceRollout::in_progress);
        let is_in_progress = |order: u64| in_progress.is_some_and(|known| known.index == order);
        let is_applicable = match &decision.change {
            RolloutChange::Establish { software } => {
                !software.is_ambiguous()
                    && self.has_room_for(&decision.service)
                    && known.and_then(|known| known.stable.as_ref()) != Some(software)
                    && in_progress.is_none_or(|order| order.to != *software)
            }
            RolloutChange::Set { order, phase, share, .. } => {
                share.is_finite()
                    && is_in_progress(*order)
                    && in_progress.is_some_and(|known| known.phase <= *phase)
            }
            RolloutChange::Complete { order, .. } | RolloutChange::Revert { order, .. } => {
                is_in_progress(*order)
            }
        };
        decision.based_on == step && is_applicable
    }

    /// Applies a decision made at `at`, in true time. Returns whether it had an effect.
    pub(super) fn apply(&mut self, index: u64, at: Millis, decision: &RolloutDecision) -> bool {
        if !self.is_applicable(decision) {
            return false;
        }
        self.make_room_for(&decision.service);
        let known = self.services.entry(decision.service.clone()).or_default();
        known.step = index;
        match &decision.change {
            RolloutChange::Establish { software } => known.stable = Some(software.clone()),
            RolloutChange::Set { phase, share, endpoints, .. } => {
                if let Some(order) = &mut known.order {
                    order.phase = *phase;
                    order.share = share.clamp(0.0, 1.0);
                    order.endpoints = *endpoints;
                    order.decided_at = at;
                }
            }
            RolloutChange::Complete { .. } => known.end(at, OrderStatus::Completed),
            RolloutChange::Revert { .. } => known.end(at, OrderStatus::Reverted),
        }
        true
    }

    /// Removes the service with the oldest decision if the table is full.
    fn make_room_for(&mut self, service: &Name) {
        if self.services.len() < MAX_SERVICES || self.services.contains_key(service) {
            return;
        }
        if let Some(oldest) = self.evictable() {
            self.services.remove(&oldest);
        }
    }

    fn has_room_for(&self, service: &Name) -> bool {
        self.services.len() < MAX_SERVICES
            || self.services.contains_key(service)
            || self.evictable().is_some()
    }

    fn evictable(&self) -> Option<Name> {
        let idle = self.services.iter().filter(|(_, service)| service.in_progress().is_none());
        idle.min_by_key(|(_, service)| service.step).map(|(name, _)| name.clone())
    }
}

impl ServiceRollout {
    /// Returns the index of the newest decision in the replicated log.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// Returns the version in force.
    pub fn stable(&self) -> Option<&Software> {
        self.stable.as_ref()
    }

    /// Returns the reverted versions.
    pub fn rejected(&self) -> &[Software] {
        &self.rejected
    }

    /// Returns the newest order, in progress or ended.
    pub fn newest_order(&self) -> Option<&Order> {
        self.order.as_ref()
    }

    /// Returns the order in progress.
    pub fn in_progress(&self) -> Option<&Order> {
        self.order.as_ref().filter(|order| order.status == OrderStatus::InProgress)
    }

    fn order_state(&self, service: &Name) -> Option<OrderState> {
        let order = self.in_progress()?;
        Some(OrderState {
            order: order.index,
            step: self.step,
            service: service.clone(),
            stable: self.stable.clone(),
            to: order.to.clone(),
            ordered_at: order.ordered_at,
            duration: order.duration,
            phase: order.phase,
            decided_at: order.decided_at,
            share: order.share,
            endpoints: order.endpoints,
        })
    }

    fn versions(&self, service: &Name) -> ServiceVersions {
        let candidate = self.in_progress().map(|order| Candidate {
            order: order.index,
            software: order.to.clone(),
            phase: order.phase,
            share: order.share,
            endpoints: order.endpoints,
        });
        ServiceVersions {
            service: service.clone(),
            step: self.step,
            stable: self.stable.clone(),
            candidate,
            rejected: self.rejected.clone(),
        }
    }

    fn end(&mut self, at: Millis, status: OrderStatus) {
        let Some(order) = &mut self.order else { return };
        order.status = status;
        order.decided_at = at;
        if status == OrderStatus::Completed {
            self.stable = Some(order.to.clone());
            return;
        }
        self.rejected.push(order.to.clone());
        let surplus = self.rejected.len().saturating_sub(MAX_REJECTED);
        self.rejected.drain(..surplus);
    }
}

impl RolloutDecision {
    /// Returns the audit action and reason of a decision that ends an order.
    pub(super) fn ending(&self) -> Option<(&'static str, String)> {
        match &self.change {
            RolloutChange::Complete { reason, .. } => Some(("rollout_completed", bounded(reason))),
            RolloutChange::Revert { reason, .. } => Some(("rollout_reverted", bounded(reason))),
            RolloutChange::Establish { .. } | RolloutChange::Set { .. } => None,
        }
    }
}

fn bounded(reason: &str) -> String {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_owned()
}
