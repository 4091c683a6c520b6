//! Shares computed from the demand that entry instances report to each other.
//!
//! A share is an entry instance's fraction of the reported demand. The share of a silent entry
//! instance stays reserved as a fixed fraction of the limit, since it may be partitioned from the
//! others and continue to admit requests. Both sides of a partition then keep at most their last
//! shares.

use std::collections::VecDeque;

use sill_base::{Map, Millis, Name, Set};
use sill_wire::Incarnation;
use sill_wire::limits::{AccountDemand, DemandReport};

use crate::demand::Rates;
use crate::limiter::{Action, LimiterCfg, Split, SplitCfg};
use crate::tree::{Members, Peer, TreePosition};
use crate::weakening::Weakening;

/// The shares of one entry instance.
#[derive(Debug)]
pub(crate) struct Exchange {
    entry: Name,
    domain: Name,
    incarnation: Incarnation,
    cfg: SplitCfg,
    position: TreePosition,
    sequence: u64,
    started: Option<Millis>,
    /// Whether this incarnation has run for longer than `dead_after`, so that an entry instance
    /// without a report is dead or partitioned.
    is_startup_over: bool,
    /// The demand of this entry instance as of the last tick.
    demand: AccountSums,
    /// Its demand at earlier ticks, the latest at the back. The front is what `totals` include.
    previous_demands: VecDeque<AccountSums>,
    /// The latest report of each source that is not dead.
    reports: Map<Peer, PeerReport>,
    /// Demand over all entry instances, as reported by the parent or another peer.
    reported_totals: Option<PeerReport>,
    /// Demand over all entry instances from which shares are computed, while it is known.
    totals: Option<AccountSums>,
    /// Sources that became silent and are dead, as opposed to those without a report since the
    /// start.
    dead_sources: Set<Peer>,
    /// Own shares by account, as fractions of the limits.
    shares: Map<Name, Rates>,
    weakening: Option<Weakening>,
}

type AccountSums = Map<Name, AccountSum>;

/// Demand of an account, summed over entry instances.
#[derive(Debug, Default, Clone, Copy)]
struct AccountSum {
    rates: Rates,
    /// Entry instances with demand.
    entries: u32,
}

/// A received report.
#[derive(Debug, Clone)]
struct PeerReport {
    entry: Name,
    domain: Name,
    incarnation: Incarnation,
    sequence: u64,
    sums: AccountSums,
    /// When the source measured the demand.
    sampled_at: Millis,
    /// Shares of the source, as fractions of the limits, as of the last report.
    shares: Map<Name, Rates>,
    /// Whether it was received after the last tick.
    is_new: bool,
}

impl Exchange {
    pub(crate) fn new(cfg: LimiterCfg, incarnation: Incarnation, split: SplitCfg) -> Self {
        Self {
            position: TreePosition::of(&cfg.entry, &cfg.domain, &Members::default()),
            entry: cfg.entry,
            domain: cfg.domain,
            incarnation,
            cfg: split,
            sequence: 0,
            started: None,
            is_startup_over: false,
            demand: AccountSums::default(),
            previous_demands: VecDeque::new(),
            reports: Map::default(),
            reported_totals: None,
            totals: None,
            dead_sources: Set::default(),
            shares: Map::default(),
            weakening: None,
        }
    }

    pub(crate) fn weaken(&mut self, weakening: Weakening) {
        self.weakening = Some(weakening);
    }

    /// Applies a change of membership. Entry instances that were removed keep their last share
    /// until they count as dead. Those that moved to another parent are counted there.
    pub(crate) fn set_members(&mut self, members: &Members) {
        let position = TreePosition::of(&self.entry, &self.domain, members);
        if position == self.position {
            return;
        }
        let moved = |source: &Peer| match source {
            Peer::Entry(name) => {
                members.neighbours.contains(name)
                    && !position.sources.iter().any(|s| s.peer == *source)
            }
            Peer::Domain(_) => position.parent.is_some(),
        };
        self.reports.retain(|source, _| !moved(source));
        self.position = position;
    }

    /// Stores reports that are newer than the stored ones of the same source.
    pub(crate) fn apply_reports(&mut self, now: Millis, reports: Vec<DemandReport>) {
        for report in reports {
            if report.entry == self.entry {
                continue;
            }
            let mut peer_report = PeerReport::new(now, &report);
            if report.domain.is_empty() {
                self.reported_totals = Some(peer_report);
                continue;
            }
            let source = self.source(&report);
            if let Some(previous) = self.reports.get(&source) {
                let version = |r: &PeerReport| (r.incarnation, r.sequence);
                if previous.entry == peer_report.entry && version(previous) >= version(&peer_report)
                {
                    continue;
                }
                peer_report.shares.clone_from(&previous.shares);
            }
            self.dead_sources.remove(&source);
            self.reports.insert(source, peer_report);
        }
    }

    /// Returns the answer to a caller's report: the total demand for callers in the own failure
    /// domain, and the demand of the own failure domain for all others.
    pub(crate) fn reply(&self, caller: &DemandReport) -> Vec<DemandReport> {
        if caller.domain != self.domain {
            // The demand of a subtree must not be taken for that of the whole failure domain.
            return self.subtree_report().filter(|_| self.is_root()).into_iter().collect();
        }
        let totals = self.totals.as_ref();
        totals.map(|t| self.report(Name::default(), t)).into_iter().collect()
    }

    /// Returns whether the demand of the subtree is complete. After a restart, it is only once all
    /// children have reported: a sum without some of them would free shares that they still use.
    fn is_subtree_reported(&self) -> bool {
        let mut children = self.position.sources.iter().filter(|s| self.is_in_subtree(&s.peer));
        self.is_startup_over || children.all(|s| !self.is_missing(&s.peer))
    }

    /// Returns a report of the demand of the subtree, or `None` while it is incomplete.
    fn subtree_report(&self) -> Option<DemandReport> {
        self.is_subtree_reported().then(|| self.report(self.domain.clone(), &self.subtree_demand()))
    }

    /// Returns the own share of an account, as fractions of its limit.
    pub(crate) fn share(&self, account: &Name) -> Rates {
        self.shares.get(account).copied().unwrap_or_else(|| self.floor())
    }

    /// Computes shares from the demand that the peers already have, and emits reports of the
    /// present demand.
    pub(crate) fn tick(&mut self, now: Millis, demand: Vec<AccountDemand>, out: &mut Vec<Action>) {
        let started = *self.started.get_or_insert(now);
        self.is_startup_over = now.since(started) > self.cfg.dead_after;
        let demand = sums(&demand);
        self.remove_dead(now);
        self.totals = self.compute_totals(now);
        self.update_peer_shares();
        self.record_demand(demand);
        self.set_shares(now);
        self.sequence += 1;
        let Some(report) = self.subtree_report() else {
            return;
        };
        let is_root = self.is_root();
        for (index, peer) in self.position.call_targets.iter().enumerate() {
            // A root calls only every second failure domain in each tick, to limit its messages.
            if is_root && !(index as u64 + self.sequence).is_multiple_of(2) {
                continue;
            }
            out.push(Action::Exchange { peer: peer.clone(), report: report.clone() });
        }
    }

    /// Stores the present demand and keeps the earlier ones for `report_lag_ticks`.
    fn record_demand(&mut self, demand: AccountSums) {
        let previous = std::mem::replace(&mut self.demand, demand);
        self.previous_demands.push_back(previous);
        while self.previous_demands.len() > self.position.report_lag_ticks {
            self.previous_demands.pop_front();
        }
    }

    /// Returns the own demand that `totals` include. With the present demand instead, a surge would
    /// raise the share here before it lowers those of the other entry instances.
    fn demand_in_totals(&self) -> &AccountSums {
        match self.previous_demands.front() {
            Some(previous) if self.weakening != Some(Weakening::UnreportedDemand) => previous,
            _ => &self.demand,
        }
    }

    /// Removes dead sources and redistributes their shares.
    fn remove_dead(&mut self, now: Millis) {
        let cfg = &self.cfg;
        let audible_domains: Vec<Name> = self
            .reports
            .values()
            .filter(|r| now.since(r.sampled_at) <= cfg.silent_after)
            .map(|r| r.domain.clone())
            .collect();
        let keeps_dead = self.weakening == Some(Weakening::DeadKeepShares);
        let own_domain = &self.domain;
        let dead_sources = &mut self.dead_sources;
        let mut freed = Vec::new();
        self.reports.retain(|source, report| {
            let silent_for = now.since(report.sampled_at);
            if silent_for <= cfg.silent_after {
                return true;
            }
            // If others of its failure domain report, it is dead rather than partitioned.
            let has_audible_neighbours = match source {
                Peer::Entry(_) if report.domain == *own_domain => !audible_domains.is_empty(),
                Peer::Entry(_) => audible_domains.contains(&report.domain),
                Peer::Domain(_) => false,
            };
            let limit = if has_audible_neighbours { cfg.dead_after } else { cfg.domain_dead_after };
            let is_kept = silent_for <= limit || keeps_dead;
            if !is_kept {
                dead_sources.insert(source.clone());
                freed.push(std::mem::take(&mut report.shares));
            }
            is_kept
        });
        for shares in freed {
            self.redistribute(&shares);
        }
    }

    /// Raises the recorded shares of the other sources by their fractions of the shares of a dead
    /// one. Partitioned sources also find it dead and use their fraction of its share. If its whole
    /// share were used on this side, it would be given out twice.
    fn redistribute(&mut self, freed: &Map<Name, Rates>) {
        for report in self.reports.values_mut() {
            for (account, share) in &mut report.shares {
                let freed = freed.get(account).copied().unwrap_or_default();
                *share =
                    share.zip(freed, |share, freed| (share / (1.0 - freed).max(1e-9)).min(1.0));
            }
        }
    }

    /// Returns the demand over all entry instances, raised so that the shares of silent ones stay
    /// reserved, or `None` while it isn't known.
    fn compute_totals(&self, now: Millis) -> Option<AccountSums> {
        if self.position.parent.is_some() {
            let totals = self.reported_totals.as_ref().filter(|r| r.is_fresh(now, &self.cfg));
            return totals.map(|r| r.sums.clone());
        }
        let missing = self.missing_fraction();
        let takes_all = self.weakening == Some(Weakening::RestartTakesAll);
        if missing > 0.0 && !takes_all && !self.is_startup_over {
            return None;
        }
        let mut live = self.subtree_demand();
        let mut frozen_shares: Map<Name, Rates> = Map::default();
        for (source, report) in &self.reports {
            if self.is_in_subtree(source) {
                continue;
            }
            let factor = if matches!(source, Peer::Domain(_)) { 2 } else { 1 };
            if now.since(report.sampled_at) <= self.cfg.stale_after * factor {
                add_sums(&mut live, &report.sums);
                continue;
            }
            if self.weakening == Some(Weakening::SilentIsIdle) {
                continue;
            }
            for (account, share) in &report.shares {
                let frozen = frozen_shares.entry(account.clone()).or_default();
                *frozen = frozen.plus(*share);
            }
        }
        let reserved = if self.is_startup_over { missing } else { 0.0 };
        for (account, sum) in &mut live {
            let frozen = frozen_shares.get(account).copied().unwrap_or_default();
            let free = |frozen: f64| (1.0 - frozen - reserved).max(1e-9);
            sum.rates = sum.rates.zip(frozen, |rate, frozen| rate / free(frozen));
        }
        Some(live)
    }

    /// Records the shares of the sources that reported since the last tick. Once a source is
    /// silent, its share is no longer known and stays as recorded: growing demand here must not
    /// reduce it.
    fn update_peer_shares(&mut self) {
        let Some(totals) = &self.totals else {
            return;
        };
        for report in self.reports.values_mut().filter(|r| r.is_new) {
            report.shares = fractions(&report.sums, totals);
            report.is_new = false;
        }
    }

    /// Returns the fraction of the entry instances that have not reported to this incarnation.
    fn missing_fraction(&self) -> f64 {
        let is_missing = |source: &Peer| {
            !self.reports.contains_key(source) && !self.dead_sources.contains(source)
        };
        let missing = self.position.sources.iter().filter(|s| is_missing(&s.peer));
        missing.map(|s| s.entry_count).sum::<usize>() as f64 / self.position.entry_count as f64
    }

    /// Returns whether a source has not reported to this incarnation.
    fn is_missing(&self, source: &Peer) -> bool {
        !self.reports.contains_key(source) && !self.dead_sources.contains(source)
    }

    fn set_shares(&mut self, now: Millis) {
        if self.is_isolated(now) {
            self.shares.clear();
            return;
        }
        let Some(totals) = &self.totals else {
            // Partitioned from the peers that have the total demand: the last shares stay.
            return;
        };
        let floor = self.floor();
        let entries = self.position.entry_count as f64;
        let demand_in_totals = self.demand_in_totals();
        let share = |account: &Name, total: &AccountSum| {
            let own = demand_in_totals.get(account).copied().unwrap_or_default();
            let part =
                |own: f64, total: f64| if total > 0.0 { (own / total).min(1.0) } else { 0.0 };
            let above_floor = match self.cfg.split {
                Split::Demand => own.rates.zip(total.rates, part),
                Split::Equal => Rates { requests: 1.0 / entries, tokens: 1.0 / entries },
                Split::Active => {
                    let part = f64::from(own.entries.min(1)) / f64::from(total.entries.max(1));
                    Rates { requests: part, tokens: part }
                }
            };
            floor.zip(above_floor, |floor, part| floor + (1.0 - self.cfg.floor) * part)
        };
        self.shares = totals.iter().map(|(name, sum)| (name.clone(), share(name, sum))).collect();
    }

    /// Returns whether this entry instance has received no report for so long that the others may
    /// count it as dead and redistribute its shares.
    fn is_isolated(&self, now: Millis) -> bool {
        let latest = self.reports.values().chain(&self.reported_totals).map(|r| r.sampled_at).max();
        let Some(latest) = latest else {
            return false;
        };
        let limit = match self.position.has_neighbours {
            true => self.cfg.isolated_after,
            false => self.cfg.domain_dead_after - self.cfg.silent_after,
        };
        now.since(latest) > limit
    }

    /// Returns the share that every entry instance has of any account, whatever its demand.
    fn floor(&self) -> Rates {
        let part = match self.weakening {
            Some(Weakening::RestartTakesAll) => 1.0,
            _ => self.cfg.floor / self.position.entry_count as f64,
        };
        Rates { requests: part, tokens: part }
    }

    /// Returns the demand of the subtree. A silent child counts with its last demand until it is
    /// dead, since it keeps its last share.
    fn subtree_demand(&self) -> AccountSums {
        let mut sums = self.demand.clone();
        let children = self.reports.iter().filter(|(source, _)| self.is_in_subtree(source));
        for (_, report) in children {
            add_sums(&mut sums, &report.sums);
        }
        sums
    }

    pub(crate) fn is_root(&self) -> bool {
        self.position.parent.is_none()
    }

    /// Returns whether a source is a child. Only roots receive reports of other failure domains.
    fn is_in_subtree(&self, source: &Peer) -> bool {
        matches!(source, Peer::Entry(_))
    }

    fn source(&self, report: &DemandReport) -> Peer {
        if report.domain == self.domain {
            Peer::Entry(report.entry.clone())
        } else {
            Peer::Domain(report.domain.clone())
        }
    }

    fn report(&self, domain: Name, sums: &AccountSums) -> DemandReport {
        let mut accounts: Vec<AccountDemand> = sums
            .iter()
            .map(|(account, sum)| AccountDemand {
                account: account.clone(),
                requests_per_s: round_rate(sum.rates.requests),
                tokens_per_s: round_rate(sum.rates.tokens),
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

impl PeerReport {
    fn new(now: Millis, report: &DemandReport) -> Self {
        Self {
            entry: report.entry.clone(),
            domain: report.domain.clone(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            sums: sums(&report.accounts),
            sampled_at: now - report.age,
            shares: Map::default(),
            is_new: true,
        }
    }

    fn is_fresh(&self, now: Millis, cfg: &SplitCfg) -> bool {
        now.since(self.sampled_at) <= cfg.stale_after
    }
}

/// Rounds to three decimal places, since further digits would only make messages longer.
fn round_rate(rate: f64) -> f64 {
    const DIGITS: f64 = 1000.0;
    (rate * DIGITS).round() / DIGITS
}

fn sums(demand: &[AccountDemand]) -> AccountSums {
    let sum = |d: &AccountDemand| AccountSum {
        rates: Rates { requests: d.requests_per_s, tokens: d.tokens_per_s },
        entries: d.entries,
    };
    demand.iter().map(|d| (d.account.clone(), sum(d))).collect()
}

fn add_sums(sums: &mut AccountSums, more: &AccountSums) {
    for (account, sum) in more {
        let own = sums.entry(account.clone()).or_default();
        own.rates = own.rates.plus(sum.rates);
        own.entries += sum.entries;
    }
}

/// Returns the fractions of the totals that some demand makes up, between 0 and 1.
fn fractions(sums: &AccountSums, totals: &AccountSums) -> Map<Name, Rates> {
    let part = |own: f64, total: f64| if total > 0.0 { (own / total).min(1.0) } else { 0.0 };
    let of = |account: &Name, sum: &AccountSum| {
        let total = totals.get(account).copied().unwrap_or_default();
        sum.rates.zip(total.rates, part)
    };
    sums.iter().map(|(account, sum)| (account.clone(), of(account, sum))).collect()
}
