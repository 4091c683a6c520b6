//! Tests of orders with frozen leaders, delayed packets and two leader candidates, in virtual time.
//!
//! A leader can be frozen at any moment, also between the lease check and the send, and resumes as
//! if its lease were still valid. If its orders took effect, an endpoint would load, unload and
//! load again, or drain although the new leader needs it.

use rand::Rng as _;
use sill_base::random::{Rng, cases, seed, seeded};
use sill_base::{Machine, Millis, Name};
use sill_fleet::orders::{Action, Event, FenceCheck, OrderCfg, OrderIssuer, Weakening};
use sill_wire::endpoint::{Order, OrderAction};

const LEASE: Millis = Millis(2000);

/// An order in flight to the endpoint.
struct Packet {
    arrives_at: Millis,
    order: Order,
}

struct World {
    now: Millis,
    rng: Rng,
    weakening: Weakening,
    candidates: Vec<Candidate>,
    fence: FenceCheck,
    packets: Vec<Packet>,
    /// When the leader of the newest term may send orders, and its term.
    newest_leader: (Millis, u64),
    /// Term and sequence number of the committed orders.
    committed: Vec<(u64, u64)>,
    /// Highest term and sequence number that the endpoint carried out.
    highest_executed: (u64, u64),
    faults: Vec<&'static str>,
}

/// A control instance that may be elected, and may still act as the leader afterwards.
struct Candidate {
    issuer: OrderIssuer,
    frozen_until: Millis,
    term: u64,
    lease_until: Millis,
    /// Actions that were decided on but not carried out.
    pending_actions: Vec<Action>,
}

impl World {
    fn new(seed: u64, weakening: Weakening) -> Self {
        let candidate = || Candidate {
            issuer: OrderIssuer::new(OrderCfg::default(), weakening),
            frozen_until: Millis::ZERO,
            term: 0,
            lease_until: Millis::ZERO,
            pending_actions: Vec::new(),
        };
        Self {
            now: Millis(1),
            rng: seeded(seed),
            weakening,
            candidates: vec![candidate(), candidate()],
            fence: FenceCheck::new(weakening),
            packets: Vec::new(),
            newest_leader: (Millis::ZERO, 0),
            committed: Vec::new(),
            highest_executed: (0, 0),
            faults: Vec::new(),
        }
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now = self.now + Millis(self.rng.random_range(1..200));
            let index = self.rng.random_range(0..self.candidates.len());
            match self.rng.random_range(0..10) {
                0 => {
                    self.candidates[index].frozen_until =
                        self.now + Millis(self.rng.random_range(0..6000))
                }
                1 => self.elect(index),
                2..=4 => self.renew(index),
                5 => self.request(index),
                _ => self.step(index, Event::Tick),
            }
            self.carry_out(index);
            self.deliver();
        }
    }

    /// The candidate wins an election and waits until all earlier leases have expired.
    fn elect(&mut self, index: usize) {
        if self.candidates[index].frozen_until > self.now {
            return;
        }
        let term = self.newest_leader.1 + 1;
        let old_lease_over =
            self.candidates.iter().map(|l| l.lease_until).max().unwrap_or_default();
        self.newest_leader = (old_lease_over.max(self.now), term);
        self.candidates[index].term = term;
        self.step(index, Event::LeadershipGained { term, old_lease_over });
    }

    /// A quorum renews the candidate's lease if it leads in the newest term.
    fn renew(&mut self, index: usize) {
        if self.candidates[index].term == self.newest_leader.1
            && self.candidates[index].frozen_until <= self.now
        {
            let until = self.now + LEASE;
            self.candidates[index].lease_until = until;
            self.step(index, Event::Lease { term: self.newest_leader.1, until });
        }
    }

    fn request(&mut self, index: usize) {
        let version = Name::from(format!("v{}", self.rng.random_range(0..50)));
        let action = OrderAction::LoadModel { model: "m".into(), version };
        self.step(index, Event::OrderRequest { endpoint: "e".into(), action, why: "test".into() });
    }

    fn step(&mut self, index: usize, event: Event) {
        if self.candidates[index].frozen_until > self.now {
            return;
        }
        let mut out = Vec::new();
        self.candidates[index].issuer.step(self.now, event, &mut out);
        self.candidates[index].pending_actions.extend(out);
    }

    /// Carries out the pending actions, unless the candidate is frozen first.
    fn carry_out(&mut self, index: usize) {
        if self.rng.random_range(0..4) == 0 {
            self.candidates[index].frozen_until = self.now + Millis(self.rng.random_range(0..6000));
        }
        if self.candidates[index].frozen_until > self.now {
            return;
        }
        for action in std::mem::take(&mut self.candidates[index].pending_actions) {
            match action {
                Action::Log { order, .. } => self.commit(index, &order),
                Action::Send { order, send_by, .. } => self.send(index, order, send_by),
                Action::GiveUp { .. } => {}
            }
        }
    }

    fn commit(&mut self, index: usize, order: &Order) {
        // An order of an older term reaches no quorum, and an order of the newest one may stay
        // uncommitted.
        if order.term == self.newest_leader.1 && self.rng.random_range(0..3) > 0 {
            self.committed.push((order.term, order.sequence));
            let event = Event::OrderCommitted { term: order.term, sequence: order.sequence };
            self.step(index, event);
        }
    }

    fn send(&mut self, index: usize, order: Order, send_by: Millis) {
        let ignores_send_by =
            matches!(self.weakening, Weakening::SendWithoutLease | Weakening::IgnoreSendBy);
        if self.now > send_by && !ignores_send_by {
            return;
        }
        if !self.committed.contains(&(order.term, order.sequence)) {
            self.faults.push("an order was sent before the log committed it");
        }
        let (may_order_from, term) = self.newest_leader;
        if order.term < term && self.now >= may_order_from && may_order_from < Millis::MAX {
            self.faults.push("an old leader sent an order after the new one could order");
        }
        let has_other_lease =
            self.candidates.iter().enumerate().any(|(i, l)| i != index && self.now < l.lease_until);
        if has_other_lease && order.term == term {
            self.faults.push("an order was sent within the lease of another leader");
        }
        let arrives_at = self.now + Millis(self.rng.random_range(1..3000));
        self.packets.push(Packet { arrives_at, order });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, in_flight) =
            std::mem::take(&mut self.packets).into_iter().partition(|p| p.arrives_at <= now);
        self.packets = in_flight;
        let due: Vec<Packet> = due;
        for packet in due {
            let token = (packet.order.term, packet.order.sequence);
            if !self.fence.admit(&"e".into(), &packet.order) {
                continue;
            }
            if token < self.highest_executed {
                self.faults.push("an endpoint with a fence check carried out an outdated order");
            }
            self.highest_executed = self.highest_executed.max(token);
        }
    }
}

/// Returns the distinct faults that the runs with the given weakening show.
fn faults(weakening: Weakening, first_seed: u64, rounds: u32) -> Vec<&'static str> {
    let mut faults = Vec::new();
    for round in 0..rounds {
        let mut world = World::new(first_seed + u64::from(round), weakening);
        world.run(400);
        faults.extend(world.faults);
    }
    faults.sort_unstable();
    faults.dedup();
    faults
}

/// Orders of a leader that lost its lease while it was frozen must reach no endpoint that acts on
/// them.
#[test]
fn orders_of_superseded_leaders_have_no_effect() {
    assert_eq!(faults(Weakening::None, seed(21), cases(200)), Vec::<&str>::new());
}

/// Each weakening must lead to its fault, or the simulation can't detect that fault.
#[test]
fn each_weakening_is_detected() {
    struct Case {
        weakening: Weakening,
        /// Fault that the weakening leads to.
        fault: &'static str,
    }
    let cases = [
        Case {
            weakening: Weakening::SendWithoutLease,
            fault: "an old leader sent an order after the new one could order",
        },
        Case {
            weakening: Weakening::IgnoreSendBy,
            fault: "an old leader sent an order after the new one could order",
        },
        Case {
            weakening: Weakening::NoWait,
            fault: "an order was sent within the lease of another leader",
        },
        Case {
            weakening: Weakening::SendBeforeCommit,
            fault: "an order was sent before the log committed it",
        },
        Case {
            weakening: Weakening::NoFenceCheck,
            fault: "an endpoint with a fence check carried out an outdated order",
        },
    ];
    for case in cases {
        let faults = faults(case.weakening, 21, 200);
        assert!(
            faults.contains(&case.fault),
            "{:?} led to {faults:?}, not to \"{}\"",
            case.weakening,
            case.fault
        );
    }
}
