//! Shares from what entry instances tell each other about demand.
//!
//! A share is the own part of the known demand. The demand of one that fell silent is kept as a
//! fixed part of the limit, since it may be cut off and go on admitting: both sides of a cut then
//! keep at most their last share.

use std::collections::VecDeque;

use sill_base::{Map, Millis, Name, Set};
use sill_wire::Incarnation;
use sill_wire::limits::{AccountDemand, DemandReport};

use crate::demand::Rates;
use crate::limiter::{Action, LimiterCfg, Split, SplitCfg};
use crate::tree::{Members, Peer, Place};
use crate::weakening::Weakening;

/// The shares of one entry instance.
#[derive(Debug)]
pub(crate) struct Exchange {
    entry: Name,
    domain: Name,
    incarnation: Incarnation,
    cfg: SplitCfg,
    place: Place,
    sequence: u64,
    started: Option<Millis>,
    /// Whether this life has lasted so long that whoever was not heard of is dead or cut off.
    waited: bool,
    /// The demand here as it was told last.
    reported: Sums,
    /// What was told before, the newest last, up to what the demand of all includes by now.
    told: VecDeque<Sums>,
    received: Map<Peer, Received>,
    /// Demand of all, as the parent or a peer told it.
    fleet: Option<Received>,
    /// Demand of all that shares are worked out from, while it is known.
    totals: Option<Sums>,
    /// Sources that are dead, and not just unheard of since the start.
    dead: Set<Peer>,
    shares: Map<Name, Rates>,
    weakening: Option<Weakening>,
}

type Sums = Map<Name, Sum>;

/// Demand of an account, added up.
#[derive(Debug, Default, Clone, Copy)]
struct Sum {
    rates: Rates,
    entries: u32,
}

/// A report with the time it speaks of.
#[derive(Debug, Clone)]
struct Received {
    entry: Name,
    domain: Name,
    incarnation: Incarnation,
    sequence: u64,
    sums: Sums,
    at: Millis,
    /// Parts of the limits that it held when it was last heard.
    held: Map<Name, Rates>,
    /// Whether it is new since the last tick.
    is_new: bool,
}

impl Exchange {
    pub(crate) fn new(cfg: LimiterCfg, incarnation: Incarnation, split: SplitCfg) -> Self {
        Self {
            place: Place::of(&cfg.entry, &cfg.domain, &Members::default()),
            entry: cfg.entry,
            domain: cfg.domain,
            incarnation,
            cfg: split,
            sequence: 0,
            started: None,
            waited: false,
            reported: Sums::default(),
            told: VecDeque::new(),
            received: Map::default(),
            fleet: None,
            totals: None,
            dead: Set::default(),
            shares: Map::default(),
            weakening: None,
        }
    }

    pub(crate) fn weaken(&mut self, weakening: Weakening) {
        self.weakening = Some(weakening);
    }

    /// Takes in who lives. Those that went keep their last share until they count as dead; those
    /// below another parent now are counted there.
    pub(crate) fn set_members(&mut self, members: &Members) {
        let place = Place::of(&self.entry, &self.domain, members);
        if place == self.place {
            return;
        }
        let moved = |source: &Peer| match source {
            Peer::Entry(name) => {
                members.neighbours.contains(name)
                    && !place.hears.iter().any(|heard| heard.source == *source)
            }
            Peer::Domain(_) => place.parent.is_some(),
        };
        self.received.retain(|source, _| !moved(source));
        self.place = place;
    }

    pub(crate) fn take_in(&mut self, now: Millis, reports: Vec<DemandReport>) {
        for report in reports {
            if report.entry == self.entry {
                continue;
            }
            let mut received = Received::new(now, &report);
            if report.domain.is_empty() {
                self.fleet = Some(received);
                continue;
            }
            let source = self.source(&report);
            if let Some(known) = self.received.get(&source) {
                let number = |r: &Received| (r.incarnation, r.sequence);
                if known.entry == received.entry && number(known) >= number(&received) {
                    continue;
                }
                received.held.clone_from(&known.held);
            }
            self.dead.remove(&source);
            self.received.insert(source, received);
        }
    }

    /// Returns what a caller is told: the demand of all to those below, the sum here to others.
    pub(crate) fn reply(&self, caller: &DemandReport) -> Vec<DemandReport> {
        if caller.domain != self.domain {
            // The sum of a subtree must not pass for that of the failure domain.
            return self.sum().filter(|_| self.is_root()).into_iter().collect();
        }
        let totals = self.totals.as_ref();
        totals.map(|t| self.report(Name::default(), t)).into_iter().collect()
    }

    /// Returns whether the sum of the demand here and below can be told. After a restart it can't
    /// until all below were heard: a sum that lacks some would free what they go on using.
    fn knows_below(&self) -> bool {
        let mut below = self.place.hears.iter().filter(|h| self.is_below(&h.source));
        self.waited || below.all(|h| !self.is_unheard(&h.source))
    }

    /// Returns the demand here and below, unless it isn't known.
    fn sum(&self) -> Option<DemandReport> {
        self.knows_below().then(|| self.report(self.domain.clone(), &self.subtree()))
    }

    pub(crate) fn share(&self, account: &Name) -> Rates {
        self.shares.get(account).copied().unwrap_or_else(|| self.floor())
    }

    /// Works out shares from the demand that the others know, and tells them the present one.
    pub(crate) fn tick(&mut self, now: Millis, demand: Vec<AccountDemand>, out: &mut Vec<Action>) {
        let started = *self.started.get_or_insert(now);
        self.waited = now.since(started) > self.cfg.dead_after;
        let present = sums(&demand);
        self.forget_dead(now);
        self.totals = self.work_out_totals(now);
        self.note_held();
        self.tell(present);
        self.set_shares(now);
        self.sequence += 1;
        let Some(report) = self.sum() else {
            return;
        };
        let is_root = self.is_root();
        for (turn, with) in self.place.tells.iter().enumerate() {
            // A root talks to every second failure domain at a time, to bound what it sends.
            if is_root && !(turn as u64 + self.sequence).is_multiple_of(2) {
                continue;
            }
            out.push(Action::Exchange { peer: with.clone(), report: report.clone() });
        }
    }

    /// Notes the present demand as told from now on.
    fn tell(&mut self, present: Sums) {
        let before = std::mem::replace(&mut self.reported, present);
        self.told.push_back(before);
        while self.told.len() > self.place.lag {
            self.told.pop_front();
        }
    }

    /// Returns the demand here that the demand of all includes. By the present one, a surge would
    /// raise the share here before it lowers those of the others.
    fn settled(&self) -> &Sums {
        match self.told.front() {
            Some(told) if self.weakening != Some(Weakening::UnreportedDemand) => told,
            _ => &self.reported,
        }
    }

    /// Forgets the dead.
    fn forget_dead(&mut self, now: Millis) {
        let cfg = &self.cfg;
        let heard: Vec<Name> = self
            .received
            .values()
            .filter(|r| now.since(r.at) <= cfg.silent_after)
            .map(|r| r.domain.clone())
            .collect();
        let keeps_dead = self.weakening == Some(Weakening::DeadKeepShares);
        let own_domain = &self.domain;
        let dead = &mut self.dead;
        let mut freed = Vec::new();
        self.received.retain(|source, received| {
            let silent_for = now.since(received.at);
            if silent_for <= cfg.silent_after {
                return true;
            }
            // Where others of its failure domain are heard, it is dead rather than cut off.
            let neighbours_heard = match source {
                Peer::Entry(_) if received.domain == *own_domain => !heard.is_empty(),
                Peer::Entry(_) => heard.contains(&received.domain),
                Peer::Domain(_) => false,
            };
            let limit = if neighbours_heard { cfg.dead_after } else { cfg.domain_dead_after };
            let is_kept = silent_for <= limit || keeps_dead;
            if !is_kept {
                dead.insert(source.clone());
                freed.push(std::mem::take(&mut received.held));
            }
            is_kept
        });
        for held in freed {
            self.hand_out(&held);
        }
    }

    /// Adds to what others hold their part of what a dead one held. Those that are cut off see it
    /// dead as well and take their part; were it all taken here, it would be given out twice.
    fn hand_out(&mut self, freed: &Map<Name, Rates>) {
        for received in self.received.values_mut() {
            for (account, held) in &mut received.held {
                let freed = freed.get(account).copied().unwrap_or_default();
                *held = held.zip(freed, |held, freed| (held / (1.0 - freed).max(1e-9)).min(1.0));
            }
        }
    }

    /// Returns the demand of all, raised so that the parts of silent ones stay free, or none while
    /// it isn't known.
    fn work_out_totals(&self, now: Millis) -> Option<Sums> {
        if self.place.parent.is_some() {
            let fleet = self.fleet.as_ref().filter(|f| f.is_fresh(now, &self.cfg));
            return fleet.map(|f| f.sums.clone());
        }
        let unheard = self.unheard();
        let takes_all = self.weakening == Some(Weakening::RestartTakesAll);
        if unheard > 0.0 && !takes_all && !self.waited {
            return None;
        }
        let mut live = self.subtree();
        let mut frozen: Map<Name, Rates> = Map::default();
        for (source, received) in &self.received {
            if self.is_below(source) {
                continue;
            }
            let turns = if matches!(source, Peer::Domain(_)) { 2 } else { 1 };
            if now.since(received.at) <= self.cfg.stale_after * turns {
                add(&mut live, &received.sums);
                continue;
            }
            if self.weakening == Some(Weakening::SilentIsIdle) {
                continue;
            }
            for (account, part) in &received.held {
                let held = frozen.entry(account.clone()).or_default();
                *held = held.plus(*part);
            }
        }
        let reserved = if self.waited { unheard } else { 0.0 };
        for (account, sum) in &mut live {
            let held = frozen.get(account).copied().unwrap_or_default();
            let free = |held: f64| (1.0 - held - reserved).max(1e-9);
            sum.rates = sum.rates.zip(held, |rate, held| rate / free(held));
        }
        Some(live)
    }

    /// Notes what those that were heard of since the last tick hold now. What they hold later is
    /// not known: once they are silent, demand that grows here must not make their part smaller.
    fn note_held(&mut self) {
        let Some(totals) = &self.totals else {
            return;
        };
        for received in self.received.values_mut().filter(|r| r.is_new) {
            received.held = parts(&received.sums, totals);
            received.is_new = false;
        }
    }

    /// Returns the part of the entry instances that have not been heard of in this life.
    fn unheard(&self) -> f64 {
        let is_unheard = |s: &Peer| !self.received.contains_key(s) && !self.dead.contains(s);
        let unheard = self.place.hears.iter().filter(|h| is_unheard(&h.source));
        unheard.map(|h| h.weight).sum::<usize>() as f64 / self.place.members as f64
    }

    fn is_unheard(&self, source: &Peer) -> bool {
        !self.received.contains_key(source) && !self.dead.contains(source)
    }

    fn set_shares(&mut self, now: Millis) {
        if self.is_given_up(now) {
            self.shares.clear();
            return;
        }
        let Some(totals) = &self.totals else {
            // Cut off from whoever knows the demand of all: the last shares stay.
            return;
        };
        let floor = self.floor();
        let members = self.place.members as f64;
        let settled = self.settled();
        let share = |account: &Name, total: &Sum| {
            let own = settled.get(account).copied().unwrap_or_default();
            let part =
                |own: f64, total: f64| if total > 0.0 { (own / total).min(1.0) } else { 0.0 };
            let above_floor = match self.cfg.split {
                Split::Demand => own.rates.zip(total.rates, part),
                Split::Equal => Rates { requests: 1.0 / members, tokens: 1.0 / members },
                Split::Active => {
                    let part = f64::from(own.entries.min(1)) / f64::from(total.entries.max(1));
                    Rates { requests: part, tokens: part }
                }
            };
            floor.zip(above_floor, |floor, part| floor + (1.0 - self.cfg.floor) * part)
        };
        self.shares = totals.iter().map(|(name, sum)| (name.clone(), share(name, sum))).collect();
    }

    /// Returns whether this one is alone, so that the others count it as dead and share out what it
    /// held.
    fn is_given_up(&self, now: Millis) -> bool {
        let newest = self.received.values().chain(&self.fleet).map(|r| r.at).max();
        let Some(newest) = newest else {
            return false;
        };
        let limit = match self.place.has_neighbours {
            true => self.cfg.isolated_after,
            false => self.cfg.domain_dead_after - self.cfg.silent_after,
        };
        now.since(newest) > limit
    }

    fn floor(&self) -> Rates {
        let part = match self.weakening {
            Some(Weakening::RestartTakesAll) => 1.0,
            _ => self.cfg.floor / self.place.members as f64,
        };
        Rates { requests: part, tokens: part }
    }

    /// Returns the demand here and below. One below that fell silent counts with its last demand
    /// until it is dead, since it keeps its last share.
    fn subtree(&self) -> Sums {
        let mut sums = self.reported.clone();
        let below = self.received.iter().filter(|(source, _)| self.is_below(source));
        for (_, received) in below {
            add(&mut sums, &received.sums);
        }
        sums
    }

    pub(crate) fn is_root(&self) -> bool {
        self.place.parent.is_none()
    }

    fn is_below(&self, source: &Peer) -> bool {
        matches!(source, Peer::Entry(_))
    }

    fn source(&self, report: &DemandReport) -> Peer {
        if report.domain == self.domain {
            Peer::Entry(report.entry.clone())
        } else {
            Peer::Domain(report.domain.clone())
        }
    }

    fn report(&self, domain: Name, sums: &Sums) -> DemandReport {
        let mut accounts: Vec<AccountDemand> = sums
            .iter()
            .map(|(account, sum)| AccountDemand {
                account: account.clone(),
                requests_per_s: rounded(sum.rates.requests),
                tokens_per_s: rounded(sum.rates.tokens),
                entries: sum.entries,
            })
            .collect();
        accounts.sort_by(|a, b| a.account.cmp(&b.account));
        DemandReport {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            domain,
            sequence: self.sequence,
            age: Millis::ZERO,
            accounts,
        }
    }
}

impl Received {
    fn new(now: Millis, report: &DemandReport) -> Self {
        Self {
            entry: report.entry.clone(),
            domain: report.domain.clone(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            sums: sums(&report.accounts),
            at: now - report.age,
            held: Map::default(),
            is_new: true,
        }
    }

    fn is_fresh(&self, now: Millis, cfg: &SplitCfg) -> bool {
        now.since(self.at) <= cfg.stale_after
    }
}

/// Cuts digits that would only take room in a message.
fn rounded(rate: f64) -> f64 {
    const DIGITS: f64 = 1000.0;
    (rate * DIGITS).round() / DIGITS
}

fn sums(demand: &[AccountDemand]) -> Sums {
    let sum = |d: &AccountDemand| Sum {
        rates: Rates { requests: d.requests_per_s, tokens: d.tokens_per_s },
        entries: d.entries,
    };
    demand.iter().map(|d| (d.account.clone(), sum(d))).collect()
}

fn add(sums: &mut Sums, more: &Sums) {
    for (account, sum) in more {
        let own = sums.entry(account.clone()).or_default();
        own.rates = own.rates.plus(sum.rates);
        own.entries += sum.entries;
    }
}

/// Returns the parts that some demand has of a whole.
fn parts(sums: &Sums, totals: &Sums) -> Map<Name, Rates> {
    let part = |own: f64, total: f64| if total > 0.0 { (own / total).min(1.0) } else { 0.0 };
    let of = |account: &Name, sum: &Sum| {
        let total = totals.get(account).copied().unwrap_or_default();
        sum.rates.zip(total.rates, part)
    };
    sums.iter().map(|(account, sum)| (account.clone(), of(account, sum))).collect()
}
