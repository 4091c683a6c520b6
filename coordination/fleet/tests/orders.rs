//! Orders under frozen leaders, delayed packets and two claimants, in virtual time.
//!
//! A leader can be frozen at any moment, also between deciding to send and sending, and wakes up
//! believing its lease still holds. Operators notice it as an endpoint that loads, unloads and
//! loads again, or drains although the new leader wants it to serve.

use rand::Rng as _;
use sill_base::random::{Rng, cases, seed, seeded};
use sill_base::{Machine, Millis, Name};
use sill_fleet::orders::{Action, Event, FenceCheck, OrderCfg, OrderIssuer, Weakening};
use sill_wire::endpoint::{Order, OrderAction};

const LEASE: Millis = Millis(2000);

/// A send under way, with the moment from which its leader could no longer send.
struct Packet {
    arrives: Millis,
    order: Order,
}

struct World {
    now: Millis,
    rng: Rng,
    weakening: Weakening,
    /// Claimants with the time up to which each is frozen.
    leaders: Vec<Claimant>,
    fence: FenceCheck,
    packets: Vec<Packet>,
    /// When the newest leader may order, and its term.
    successor: (Millis, u64),
    committed: Vec<(u64, u64)>,
    highest_run: (u64, u64),
    faults: Vec<&'static str>,
}

struct Claimant {
    issuer: OrderIssuer,
    frozen_until: Millis,
    term: u64,
    lease_until: Millis,
    waiting: Vec<Action>,
}

impl World {
    fn new(seed: u64, weakening: Weakening) -> Self {
        let claimant = || Claimant {
            issuer: OrderIssuer::new(OrderCfg::default(), weakening),
            frozen_until: Millis::ZERO,
            term: 0,
            lease_until: Millis::ZERO,
            waiting: Vec::new(),
        };
        Self {
            now: Millis(1),
            rng: seeded(seed),
            weakening,
            leaders: vec![claimant(), claimant()],
            fence: FenceCheck::new(weakening),
            packets: Vec::new(),
            successor: (Millis::ZERO, 0),
            committed: Vec::new(),
            highest_run: (0, 0),
            faults: Vec::new(),
        }
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now = self.now + Millis(self.rng.random_range(1..200));
            let who = self.rng.random_range(0..self.leaders.len());
            match self.rng.random_range(0..10) {
                0 => {
                    self.leaders[who].frozen_until =
                        self.now + Millis(self.rng.random_range(0..6000))
                }
                1 => self.elect(who),
                2..=4 => self.renew(who),
                5 => self.want(who),
                _ => self.step(who, Event::Tick),
            }
            self.carry_out(who);
            self.deliver();
        }
    }

    /// Another claimant wins an election; it waits for all leases given before.
    fn elect(&mut self, who: usize) {
        if self.leaders[who].frozen_until > self.now {
            return;
        }
        let term = self.successor.1 + 1;
        let old_lease_over = self.leaders.iter().map(|l| l.lease_until).max().unwrap_or_default();
        self.successor = (old_lease_over.max(self.now), term);
        self.leaders[who].term = term;
        self.step(who, Event::LeadershipGained { term, old_lease_over });
    }

    /// Only the newest term's leader gets its lease renewed by a quorum.
    fn renew(&mut self, who: usize) {
        if self.leaders[who].term == self.successor.1 && self.leaders[who].frozen_until <= self.now
        {
            let until = self.now + LEASE;
            self.leaders[who].lease_until = until;
            self.step(who, Event::Lease { term: self.successor.1, until });
        }
    }

    fn want(&mut self, who: usize) {
        let version = Name::from(format!("v{}", self.rng.random_range(0..50)));
        let action = OrderAction::LoadModel { model: "m".into(), version };
        self.step(who, Event::OrderRequest { endpoint: "e".into(), action, why: "test".into() });
    }

    fn step(&mut self, who: usize, event: Event) {
        if self.leaders[who].frozen_until > self.now {
            return;
        }
        let mut out = Vec::new();
        self.leaders[who].issuer.step(self.now, event, &mut out);
        self.leaders[who].waiting.extend(out);
    }

    /// Does what was decided, unless frozen in between.
    fn carry_out(&mut self, who: usize) {
        if self.rng.random_range(0..4) == 0 {
            self.leaders[who].frozen_until = self.now + Millis(self.rng.random_range(0..6000));
        }
        if self.leaders[who].frozen_until > self.now {
            return;
        }
        for action in std::mem::take(&mut self.leaders[who].waiting) {
            match action {
                Action::Log { order, .. } => self.commit(who, &order),
                Action::Send { order, send_by, .. } => self.send(who, order, send_by),
                Action::GiveUp { .. } => {}
            }
        }
    }

    fn commit(&mut self, who: usize, order: &Order) {
        // A log of an older term reaches no quorum, and any commit may take a while.
        if order.term == self.successor.1 && self.rng.random_range(0..3) > 0 {
            self.committed.push((order.term, order.sequence));
            let event = Event::OrderCommitted { term: order.term, sequence: order.sequence };
            self.step(who, event);
        }
    }

    fn send(&mut self, who: usize, order: Order, send_by: Millis) {
        let late_is_sent =
            matches!(self.weakening, Weakening::SendWithoutLease | Weakening::IgnoreSendBy);
        if self.now > send_by && !late_is_sent {
            return;
        }
        if !self.committed.contains(&(order.term, order.sequence)) {
            self.faults.push("sent before the log had it");
        }
        let (from, term) = self.successor;
        if order.term < term && self.now >= from && from < Millis::MAX {
            self.faults.push("sent by the old leader once the successor may order");
        }
        let other =
            self.leaders.iter().enumerate().any(|(i, l)| i != who && self.now < l.lease_until);
        if other && order.term == term {
            self.faults.push("sent inside another's lease");
        }
        let arrives = self.now + Millis(self.rng.random_range(1..3000));
        self.packets.push(Packet { arrives, order });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.packets).into_iter().partition(|p| p.arrives <= now);
        self.packets = later;
        let due: Vec<Packet> = due;
        for packet in due {
            let token = (packet.order.term, packet.order.sequence);
            if !self.fence.admit(&"e".into(), &packet.order) {
                continue;
            }
            if token < self.highest_run {
                self.faults.push("an endpoint that checks carried out an old order");
            }
            self.highest_run = self.highest_run.max(token);
        }
    }
}

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

#[test]
fn orders_of_superseded_leaders_have_no_effect() {
    assert_eq!(faults(Weakening::None, seed(21), cases(200)), Vec::<&str>::new());
}

#[test]
fn each_weakening_is_noticed() {
    struct Case {
        weakening: Weakening,
        noticed: &'static str,
    }
    let cases = [
        Case {
            weakening: Weakening::SendWithoutLease,
            noticed: "sent by the old leader once the successor may order",
        },
        Case {
            weakening: Weakening::IgnoreSendBy,
            noticed: "sent by the old leader once the successor may order",
        },
        Case { weakening: Weakening::NoWait, noticed: "sent inside another's lease" },
        Case { weakening: Weakening::SendBeforeCommit, noticed: "sent before the log had it" },
        Case {
            weakening: Weakening::NoFenceCheck,
            noticed: "an endpoint that checks carried out an old order",
        },
    ];
    for case in cases {
        let faults = faults(case.weakening, 21, 200);
        assert!(faults.contains(&case.noticed), "{:?}: {faults:?}", case.weakening);
    }
}
