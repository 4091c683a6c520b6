//! Fenced orders to endpoints: numbered by term and sequence, committed to the replicated log
//! before they are sent, and sent only within the leader's lease.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::{Machine, Map, Millis, Name, Promise, assert_promise};
use sill_wire::endpoint::{Order, OrderAction};

/// Settings of an order issuer.
#[derive(Debug, Clone, Copy)]
pub struct OrderCfg {
    /// Time after the lease check within which an endpoint may still accept the order.
    pub not_after: Millis,
    /// Time after which an order is sent again if no answer has arrived.
    pub resend_after: Millis,
    /// Number of times that an order is sent before the issuer gives up on it.
    pub max_attempts: u32,
}

impl Default for OrderCfg {
    fn default() -> Self {
        Self { not_after: Millis(500), resend_after: Millis(1000), max_attempts: 5 }
    }
}

/// Deliberate one-line faults. Tests switch them on to show that the invariants can fail.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Weakening {
    /// No fault.
    #[default]
    None,
    /// The issuer sends orders without checking the lease.
    SendWithoutLease,
    /// The sender ignores the latest time to send, as a process does that is frozen between the
    /// lease check and the send.
    IgnoreSendBy,
    /// A new leader sends orders before the lease of its predecessor has expired.
    NoWait,
    /// The issuer sends orders before the log has committed them.
    SendBeforeCommit,
    /// Endpoints accept orders with outdated fencing tokens.
    NoFenceCheck,
}

/// Inputs of the order issuer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// This control instance became the leader. It sends orders only after the lease of its
    /// predecessor has expired.
    #[serde(rename = "Leads")]
    LeadershipGained {
        /// Term in which it leads.
        term: u64,
        /// When the predecessor's lease expires on the local clock, with the margin for clock drift
        /// added.
        old_lease_over: Millis,
    },
    /// A quorum renewed the lease.
    Lease {
        /// Term that the lease is valid for.
        term: u64,
        /// When the lease expires on the local clock, with the margin for clock drift subtracted.
        until: Millis,
    },
    /// This control instance is no longer the leader.
    #[serde(rename = "Deposed")]
    LeadershipLost,
    /// An order to an endpoint is requested.
    #[serde(rename = "Want")]
    OrderRequest {
        /// Endpoint that the order is for.
        endpoint: Name,
        /// What the endpoint has to do.
        action: OrderAction,
        /// The reason, for the audit trail.
        why: String,
    },
    /// The replicated log has committed an order.
    #[serde(rename = "Committed")]
    OrderCommitted {
        /// Term of the order.
        term: u64,
        /// Sequence number of the order.
        sequence: u64,
    },
    /// An endpoint answered an order.
    #[serde(rename = "Answered")]
    OrderAnswered {
        /// Term of the order.
        term: u64,
        /// Sequence number of the order.
        sequence: u64,
        /// Whether the endpoint carried the order out.
        done: bool,
    },
    /// Time has passed; the issuer sends the orders that are due.
    Tick,
}

/// Outputs of the order issuer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Append the order to the replicated log.
    Log {
        /// Endpoint that the order is for.
        endpoint: Name,
        /// The order to append.
        order: Order,
        /// The reason, for the audit trail.
        why: String,
    },
    /// Send the order, unless `send_by` has passed on the local clock when the send begins.
    Send {
        /// Endpoint that the order is for.
        endpoint: Name,
        /// The order to send.
        order: Order,
        /// Latest time on the local clock at which the send may begin.
        send_by: Millis,
    },
    /// Stop waiting for an answer to the order. The next announcement of the endpoint shows whether
    /// another order is necessary.
    #[serde(rename = "GivenUp")]
    GiveUp {
        /// Endpoint that the order is for.
        endpoint: Name,
        /// The order that no answer has arrived for.
        order: Order,
    },
}

/// Numbers, logs and sends the orders of one control instance.
#[derive(Debug)]
pub struct OrderIssuer {
    cfg: OrderCfg,
    weakening: Weakening,
    leadership: Option<Leadership>,
    /// Orders without an answer, by sequence number.
    open_orders: BTreeMap<u64, OpenOrder>,
}

#[derive(Debug)]
struct Leadership {
    term: u64,
    may_order_from: Millis,
    lease_until: Millis,
    next_sequence: u64,
}

#[derive(Debug)]
struct OpenOrder {
    endpoint: Name,
    order: Order,
    is_committed: bool,
    attempts: u32,
    last_sent_at: Millis,
}

impl OrderIssuer {
    /// Creates an issuer of a control instance that does not lead.
    pub fn new(cfg: OrderCfg, weakening: Weakening) -> Self {
        Self { cfg, weakening, leadership: None, open_orders: BTreeMap::new() }
    }

    /// Returns whether an order may be sent now. The predecessor's lease must have expired, and the
    /// own lease must last until no endpoint accepts the order any more.
    pub fn may_send(&self, now: Millis) -> bool {
        self.leadership.as_ref().is_some_and(|l| {
            let old_lease_is_over = now >= l.may_order_from || self.weakening == Weakening::NoWait;
            let lease_is_sufficient = now + self.cfg.not_after <= l.lease_until
                || self.weakening == Weakening::SendWithoutLease;
            old_lease_is_over && lease_is_sufficient
        })
    }

    /// Returns the number of orders that are neither answered nor given up on.
    pub fn open_orders(&self) -> usize {
        self.open_orders.len()
    }

    /// Numbers and logs an order, unless the same one is open already.
    fn request_order(
        &mut self,
        endpoint: Name,
        action: OrderAction,
        why: String,
        out: &mut Vec<Action>,
    ) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let is_duplicate =
            self.open_orders.values().any(|o| o.endpoint == endpoint && o.order.action == action);
        if is_duplicate {
            return;
        }
        let sequence = leadership.next_sequence;
        leadership.next_sequence += 1;
        let order =
            Order { term: leadership.term, sequence, not_after: self.cfg.not_after, action };
        let open = OpenOrder {
            endpoint: endpoint.clone(),
            order: order.clone(),
            is_committed: false,
            attempts: 0,
            last_sent_at: Millis::ZERO,
        };
        self.open_orders.insert(sequence, open);
        out.push(Action::Log { endpoint, order, why });
    }

    fn send_due(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.may_send(now) {
            return;
        }
        let (cfg, weakening) = (self.cfg, self.weakening);
        let lease_until = self.leadership.as_ref().map_or(Millis::ZERO, |l| l.lease_until);
        let mut exhausted = Vec::new();
        for (sequence, open) in &mut self.open_orders {
            let may_be_sent = open.is_committed || weakening == Weakening::SendBeforeCommit;
            let is_due = open.attempts == 0 || now - open.last_sent_at >= cfg.resend_after;
            if !may_be_sent || !is_due {
                continue;
            }
            if open.attempts >= cfg.max_attempts {
                exhausted.push(*sequence);
                continue;
            }
            assert_promise!(
                Promise::OneOrderer,
                now + cfg.not_after <= lease_until || weakening == Weakening::SendWithoutLease,
                "order {}/{sequence} at {now} ms would outlive the lease until {lease_until} ms",
                open.order.term
            );
            open.attempts += 1;
            open.last_sent_at = now;
            let send_by = lease_until - cfg.not_after;
            let (endpoint, order) = (open.endpoint.clone(), open.order.clone());
            out.push(Action::Send { endpoint, order, send_by });
        }
        for sequence in exhausted {
            if let Some(open) = self.open_orders.remove(&sequence) {
                out.push(Action::GiveUp { endpoint: open.endpoint, order: open.order });
            }
        }
    }
}

impl Machine for OrderIssuer {
    type Action = Action;
    type Event = Event;

    fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::LeadershipGained { term, old_lease_over } => {
                self.open_orders.clear();
                self.leadership = Some(Leadership {
                    term,
                    may_order_from: old_lease_over,
                    lease_until: Millis::ZERO,
                    next_sequence: 1,
                });
            }
            Event::Lease { term, until } => {
                if let Some(l) = self.leadership.as_mut().filter(|l| l.term == term) {
                    l.lease_until = l.lease_until.max(until);
                }
            }
            Event::LeadershipLost => {
                self.leadership = None;
                self.open_orders.clear();
            }
            Event::OrderRequest { endpoint, action, why } => {
                self.request_order(endpoint, action, why, out)
            }
            Event::OrderCommitted { term, sequence } => {
                let open = self.open_orders.get_mut(&sequence).filter(|o| o.order.term == term);
                if let Some(open) = open {
                    open.is_committed = true;
                }
            }
            Event::OrderAnswered { term, sequence, .. } => {
                if self.open_orders.get(&sequence).is_some_and(|o| o.order.term == term) {
                    self.open_orders.remove(&sequence);
                }
            }
            Event::Tick => {}
        }
        self.send_due(now, out);
    }
}

/// Check of fencing tokens, as endpoints make it that support fencing.
#[derive(Debug, Default)]
pub struct FenceCheck {
    highest_tokens: Map<Name, FencingToken>,
    weakening: Weakening,
}

/// Fencing token, ordered by term and then by sequence number; endpoints refuse orders with a lower
/// one than they have seen.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken {
    /// Term of the leader that gave the order.
    pub term: u64,
    /// Sequence number within the term.
    pub sequence: u64,
}

impl FenceCheck {
    /// Creates a check that has seen no order; `weakening` is for tests.
    pub fn new(weakening: Weakening) -> Self {
        Self { highest_tokens: Map::default(), weakening }
    }

    /// Returns whether an endpoint may carry out an order. The order it has seen last may be
    /// repeated.
    pub fn admit(&mut self, endpoint: &Name, order: &Order) -> bool {
        let token = FencingToken { term: order.term, sequence: order.sequence };
        let highest = self.highest_tokens.entry(endpoint.clone()).or_default();
        if token < *highest && self.weakening != Weakening::NoFenceCheck {
            return false;
        }
        *highest = token.max(*highest);
        true
    }
}
