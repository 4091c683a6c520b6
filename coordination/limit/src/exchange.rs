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
use crate::tree::{Place, Source};
use crate::weaken::Weakening;

pub use crate::tree::Member;

/// The shares of one entry instance.
#[derive(Debug)]
pub(crate) struct Exchange {
    own: Member,
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
    received: Map<Source, Received>,
    /// Demand of all, as the parent or a peer told it.
    fleet: Option<Received>,
    /// Demand of all that shares are worked out from, while it is known.
    totals: Option<Sums>,
    /// Whether this one has heard of all itself, so that others may rely on its totals.
    knows_all: bool,
    /// Sources that are dead, and not just unheard of since the start.
    dead: Set<Source>,
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
        let own = Member { name: cfg.entry, domain: cfg.domain };
        Self {
            place: Place::of(&own, std::slice::from_ref(&own), split.flat_max),
            own,
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
            knows_all: false,
            dead: Set::default(),
            shares: Map::default(),
            weakening: None,
        }
    }

    pub(crate) fn weaken(&mut self, weakening: Weakening) {
        self.weakening = Some(weakening);
    }

    /// Takes in who belongs to the system. Those that went keep their last share until they count
    /// as dead; those below another parent now are counted there.
    pub(crate) fn set_members(&mut self, mut members: Vec<Member>) {
        members.push(self.own.clone());
        members.sort_unstable();
        members.dedup();
        let place = Place::of(&self.own, &members, self.cfg.flat_max);
        if place == self.place {
            return;
        }
        let moved = |source: &Source, received: &Received| {
            let member = members.iter().any(|m| m.name == received.entry);
            member && !place.hears.iter().any(|heard| heard.source == *source)
        };
        self.received.retain(|source, received| !moved(source, received));
        self.place = place;
    }

    pub(crate) fn take_in(&mut self, now: Millis, reports: Vec<DemandReport>) {
        for report in reports {
            if report.entry == self.own.name {
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

    /// Returns what a caller is told: this one's own report, or the demand of all to those below.
    pub(crate) fn reply(&self, caller: &DemandReport) -> Vec<DemandReport> {
        let is_below = !self.place.flat && caller.domain == self.own.domain;
        if is_below {
            let totals = self.totals.as_ref();
            return totals.map(|t| self.report(Name::default(), t)).into_iter().collect();
        }
        let mut reports = self.reports();
        // One that restarted while others are cut off can't hear of what those hold.
        if let (true, true, Some(totals)) = (caller.wants_totals, self.knows_all, &self.totals) {
            reports.push(self.report(Name::default(), totals));
        }
        reports
    }

    /// Returns whether the sum of the demand here and below can be told. After a restart it can't
    /// until all below were heard: a sum that lacks some would free what they go on using.
    fn knows_below(&self) -> bool {
        let mut below = self.place.hears.iter().filter(|h| self.is_below(&h.source));
        self.waited || below.all(|h| !self.is_unheard(&h.source))
    }

    /// Returns what others are told, or nothing while it isn't known.
    fn reports(&self) -> Vec<DemandReport> {
        if !self.knows_below() {
            return Vec::new();
        }
        vec![self.report(self.own.domain.clone(), &self.subtree())]
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
        self.knows_all = self.unheard() == 0.0;
        self.totals = self.work_out_totals(now);
        self.note_held();
        self.tell(present);
        self.set_shares(now);
        self.sequence += 1;
        let reports = self.reports();
        if reports.is_empty() {
            return;
        }
        let is_root = !self.place.flat && self.place.parent.is_none();
        for (turn, with) in self.place.tells.iter().enumerate() {
            // A root talks to every second failure domain at a time, to bound what it sends.
            if is_root && !(turn as u64 + self.sequence).is_multiple_of(2) {
                continue;
            }
            out.push(Action::Exchange { with: with.clone(), reports: reports.clone() });
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
        let own_domain = &self.own.domain;
        let dead = &mut self.dead;
        let mut freed = Vec::new();
        self.received.retain(|source, received| {
            let silent_for = now.since(received.at);
            if silent_for <= cfg.silent_after {
                return true;
            }
            // Where others of its failure domain are heard, it is dead rather than cut off.
            let neighbours_heard = match source {
                Source::Entry(_) if received.domain == *own_domain => !heard.is_empty(),
                Source::Entry(_) => heard.contains(&received.domain),
                Source::Domain(_) => false,
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
        let fleet = self.fleet.as_ref().filter(|f| f.is_fresh(now, &self.cfg));
        if self.place.parent.is_some() {
            return fleet.map(|f| f.sums.clone());
        }
        let unheard = self.unheard();
        let takes_all = self.weakening == Some(Weakening::RestartTakesAll);
        if !self.knows_all && !takes_all && (fleet.is_some() || !self.waited) {
            return fleet.map(|f| f.sums.clone());
        }
        let mut live = self.subtree();
        let mut frozen: Map<Name, Rates> = Map::default();
        for (source, received) in &self.received {
            if self.is_below(source) {
                continue;
            }
            let turns = if matches!(source, Source::Domain(_)) { 2 } else { 1 };
            if now.since(received.at) <= self.cfg.fresh_for * turns {
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
        let is_unheard = |s: &Source| !self.received.contains_key(s) && !self.dead.contains(s);
        let unheard = self.place.hears.iter().filter(|h| is_unheard(&h.source));
        unheard.map(|h| h.weight).sum::<usize>() as f64 / self.place.members as f64
    }

    fn is_unheard(&self, source: &Source) -> bool {
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

    /// Returns whether the others count this one as dead by now and have shared out what it held.
    fn is_given_up(&self, now: Millis) -> bool {
        let newest = self.received.values().chain(&self.fleet).map(|r| r.at).max();
        let Some(newest) = newest else {
            return false;
        };
        let limit = match self.place.has_neighbours {
            true => self.cfg.dead_after,
            false => self.cfg.domain_dead_after,
        };
        now.since(newest) + self.cfg.silent_after > limit
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

    fn is_below(&self, source: &Source) -> bool {
        !self.place.flat && matches!(source, Source::Entry(_))
    }

    fn source(&self, report: &DemandReport) -> Source {
        if self.place.flat || report.domain == self.own.domain {
            Source::Entry(report.entry.clone())
        } else {
            Source::Domain(report.domain.clone())
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
            entry: self.own.name.clone(),
            incarnation: self.incarnation,
            domain,
            sequence: self.sequence,
            age: Millis::ZERO,
            wants_totals: self.place.flat && !self.knows_all,
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
        now.since(self.at) <= cfg.fresh_for
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
