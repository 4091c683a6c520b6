//! Orders to endpoints: numbered by term and sequence, logged before they are sent, and sent only
//! inside the leader's lease.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::{Machine, Map, Millis, Name, Promise, keep};
use sill_wire::endpoint::{Order, OrderAction};

/// Settings of an issuer.
#[derive(Debug, Clone, Copy)]
pub struct OrderCfg {
    /// Time between the check of the lease and the last moment an endpoint may take the order in.
    pub not_after: Millis,
    /// Time after which an order without an answer is sent again.
    pub resend_after: Millis,
    /// How often an order is sent before it is given up on.
    pub max_attempts: u32,
}

impl Default for OrderCfg {
    fn default() -> Self {
        Self { not_after: Millis(500), resend_after: Millis(1000), max_attempts: 5 }
    }
}

/// One-line weakenings by which tests show that the invariants can fail.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Weakening {
    /// Nothing is weakened.
    #[default]
    None,
    /// An order is sent without a look at the lease.
    SendWithoutLease,
    /// A send that was decided on goes out however late, as from a process frozen in between.
    IgnoreSendBy,
    /// A new leader orders at once, without waiting the old lease out.
    NoWait,
    /// An order is sent before the log has it.
    SendBeforeCommit,
    /// An endpoint takes in any order.
    NoFenceCheck,
}

/// What the issuer hears.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// This instance leads; it may order only once the lease of its predecessor is over.
    #[serde(rename = "Leads")]
    LeadershipGained {
        /// Its term.
        term: u64,
        /// When the predecessor's lease is over, drift margin included, on the own clock.
        old_lease_over: Millis,
    },
    /// The lease was renewed.
    Lease {
        /// The term it holds for.
        term: u64,
        /// Until when, drift margin taken off.
        until: Millis,
    },
    /// This instance no longer leads.
    #[serde(rename = "Deposed")]
    LeadershipLost,
    /// Somebody wants an order given.
    #[serde(rename = "Want")]
    OrderRequest {
        /// The endpoint.
        endpoint: Name,
        /// What to do.
        action: OrderAction,
        /// Why, for the audit trail.
        why: String,
    },
    /// The replicated log has committed an order.
    #[serde(rename = "Committed")]
    OrderCommitted {
        /// Its term.
        term: u64,
        /// Its sequence number.
        sequence: u64,
    },
    /// An endpoint answered.
    #[serde(rename = "Answered")]
    OrderAnswered {
        /// The order's term.
        term: u64,
        /// The order's sequence number.
        sequence: u64,
        /// Whether it was carried out.
        done: bool,
    },
    /// Time passed.
    Tick,
}

/// What the issuer wants done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Append the order to the replicated log.
    Log {
        /// The endpoint.
        endpoint: Name,
        /// The order.
        order: Order,
        /// Why, for the audit trail.
        why: String,
    },
    /// Send the order, unless `not_after` has passed on the own clock when the send begins.
    Send {
        /// The endpoint.
        endpoint: Name,
        /// The order.
        order: Order,
        /// The latest moment to begin sending.
        send_by: Millis,
    },
    /// The order was given up on; what the endpoint announces tells what is to be done next.
    #[serde(rename = "GivenUp")]
    GiveUp {
        /// The endpoint.
        endpoint: Name,
        /// The order.
        order: Order,
    },
}

/// Numbers, logs and sends orders of one control instance.
#[derive(Debug)]
pub struct OrderIssuer {
    cfg: OrderCfg,
    weakening: Weakening,
    leadership: Option<Leadership>,
    open: BTreeMap<u64, Open>,
}

#[derive(Debug)]
struct Leadership {
    term: u64,
    may_order_from: Millis,
    lease_until: Millis,
    next_sequence: u64,
}

#[derive(Debug)]
struct Open {
    endpoint: Name,
    order: Order,
    committed: bool,
    sent: u32,
    last_sent: Millis,
}

impl OrderIssuer {
    /// Makes an issuer that does not lead.
    pub fn new(cfg: OrderCfg, weakening: Weakening) -> Self {
        Self { cfg, weakening, leadership: None, open: BTreeMap::new() }
    }

    /// Returns whether an order may be sent at this time: the lease must last beyond the moment at
    /// which the order can still be taken in.
    pub fn may_send(&self, now: Millis) -> bool {
        self.leadership.as_ref().is_some_and(|l| {
            let waited = now >= l.may_order_from || self.weakening == Weakening::NoWait;
            let leased = now + self.cfg.not_after <= l.lease_until
                || self.weakening == Weakening::SendWithoutLease;
            waited && leased
        })
    }

    /// Returns orders that are neither answered nor given up on.
    pub fn open_orders(&self) -> usize {
        self.open.len()
    }

    fn want(&mut self, endpoint: Name, action: OrderAction, why: String, out: &mut Vec<Action>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let repeated =
            self.open.values().any(|o| o.endpoint == endpoint && o.order.action == action);
        if repeated {
            return;
        }
        let sequence = leadership.next_sequence;
        leadership.next_sequence += 1;
        let order =
            Order { term: leadership.term, sequence, not_after: self.cfg.not_after, action };
        let open = Open {
            endpoint: endpoint.clone(),
            order: order.clone(),
            committed: false,
            sent: 0,
            last_sent: Millis::ZERO,
        };
        self.open.insert(sequence, open);
        out.push(Action::Log { endpoint, order, why });
    }

    fn send_due(&mut self, now: Millis, out: &mut Vec<Action>) {
        if !self.may_send(now) {
            return;
        }
        let (cfg, weakening) = (self.cfg, self.weakening);
        let lease_until = self.leadership.as_ref().map_or(Millis::ZERO, |l| l.lease_until);
        let mut given_up = Vec::new();
        for (sequence, open) in &mut self.open {
            let ready = open.committed || weakening == Weakening::SendBeforeCommit;
            let due = open.sent == 0 || now - open.last_sent >= cfg.resend_after;
            if !ready || !due {
                continue;
            }
            if open.sent >= cfg.max_attempts {
                given_up.push(*sequence);
                continue;
            }
            keep!(
                Promise::OneOrderer,
                now + cfg.not_after <= lease_until || weakening == Weakening::SendWithoutLease,
                "order {}/{sequence} would be sent outside the lease",
                open.order.term
            );
            open.sent += 1;
            open.last_sent = now;
            let send_by = lease_until - cfg.not_after;
            let (endpoint, order) = (open.endpoint.clone(), open.order.clone());
            out.push(Action::Send { endpoint, order, send_by });
        }
        for sequence in given_up {
            if let Some(open) = self.open.remove(&sequence) {
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
                self.open.clear();
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
                self.open.clear();
            }
            Event::OrderRequest { endpoint, action, why } => self.want(endpoint, action, why, out),
            Event::OrderCommitted { term, sequence } => {
                let open = self.open.get_mut(&sequence).filter(|o| o.order.term == term);
                if let Some(open) = open {
                    open.committed = true;
                }
            }
            Event::OrderAnswered { term, sequence, .. } => {
                if self.open.get(&sequence).is_some_and(|o| o.order.term == term) {
                    self.open.remove(&sequence);
                }
            }
            Event::Tick => {}
        }
        self.send_due(now, out);
    }
}

/// The check of fencing tokens, as an endpoint that has one makes it.
#[derive(Debug, Default)]
pub struct FenceCheck {
    highest: Map<Name, FencingToken>,
    weakening: Weakening,
}

/// A fencing token; orders with an older one are refused.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken {
    /// The term.
    pub term: u64,
    /// The sequence number.
    pub sequence: u64,
}

impl FenceCheck {
    /// Makes a check.
    pub fn new(weakening: Weakening) -> Self {
        Self { highest: Map::default(), weakening }
    }

    /// Returns whether an order may be carried out; the same order again may.
    pub fn admit(&mut self, endpoint: &Name, order: &Order) -> bool {
        let token = FencingToken { term: order.term, sequence: order.sequence };
        let highest = self.highest.entry(endpoint.clone()).or_default();
        if token < *highest && self.weakening != Weakening::NoFenceCheck {
            return false;
        }
        *highest = token.max(*highest);
        true
    }
}
