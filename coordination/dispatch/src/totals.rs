//! The demand for each account over all entry instances, and the shares of those that are not heard of.
//!
//! An entry instance that is cut off goes on with the share that it had. Those that are heard of divide
//! what is left: given the whole limit, they would pass it together with the others by as much as these
//! admit.

use std::collections::BTreeMap;

use sill_base::{Map, Millis, Name};
use sill_wire::link::{AccountTotal, EntryReport, Totals};

use crate::usage::Ledger;

/// Age of a report from which on an entry instance counts as silent. Reports come every 250 ms by way of two
/// control instances; one that is lost is made good within 850 ms.
const SILENT: Millis = Millis(1000);

/// Time for which a silent entry instance keeps its shares. It may be cut off and go on; cuts last for
/// some seconds.
const SHARE_HELD: Millis = Millis(15_000);

/// Time after which a new leader has heard of all entry instances that can reach it: a poll and a call
/// between control instances, twice.
const ALL_HEARD: Millis = Millis(700);

/// Adds up reports, as the leader.
#[derive(Debug, Default)]
pub struct Adder {
    inherited: Option<Inherited>,
    counted: Counted,
}

/// The entry instances that were added up.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counted {
    /// Those whose reports are new enough to be summed.
    pub heard: u32,
    /// Those that reported a while ago.
    pub silent: u32,
    /// Those that only the leader before has heard of.
    pub unknown: u32,
}

/// What the leader before knew.
#[derive(Debug)]
struct Inherited {
    entries: u32,
    held: Map<Name, f64>,
    since: Millis,
}

impl Adder {
    /// Begins to lead. `last` are the totals of the leader before, which may know of entry instances that
    /// were cut off since.
    pub fn begin(&mut self, now: Millis, last: Option<&Totals>) {
        let last = last.filter(|last| last.age < SHARE_HELD);
        self.inherited = last.map(|last| {
            let held = last.accounts.iter().map(|total| (total.account.clone(), total.held));
            Inherited { entries: last.entries, held: held.collect(), since: now }
        });
    }

    /// Adds up the newest reports; nothing while too few are in.
    pub fn add_up(&mut self, now: Millis, ledger: &Ledger) -> Option<Totals> {
        self.inherited.take_if(|inherited| now - inherited.since >= SHARE_HELD);
        if self.inherited.as_ref().is_some_and(|inherited| now - inherited.since < ALL_HEARD) {
            return None;
        }
        let heard = ledger.within(now, SILENT);
        let all = ledger.within(now, SHARE_HELD);
        let is_silent = |report: &&&EntryReport| heard.iter().all(|h| h.entry != report.entry);
        let mut totals: BTreeMap<&Name, AccountTotal> = BTreeMap::new();
        for account in heard.iter().flat_map(|report| &report.accounts) {
            let total = totals.entry(&account.account).or_insert_with(|| none(&account.account));
            total.asked_per_s += account.asked_per_s;
            total.admitted += account.admitted;
            total.admitted_per_s += account.admitted_per_s;
        }
        for account in all.iter().filter(is_silent).flat_map(|report| &report.accounts) {
            let total = totals.entry(&account.account).or_insert_with(|| none(&account.account));
            total.held += account.share;
        }
        let known = all.len() as u32;
        let entries = self.inherited.as_ref().map_or(known, |before| before.entries.max(known));
        let unknown = entries - known;
        let heard = heard.len() as u32;
        self.counted = Counted { heard, silent: known.saturating_sub(heard), unknown };
        let accounts = totals.into_values().map(|mut total| {
            total.held = (total.held + self.held_by_unknown(&total.account, unknown)).min(1.0);
            total
        });
        Some(Totals { age: Millis::ZERO, entries, accounts: accounts.collect() })
    }

    /// Returns whom the last sums are made of.
    pub fn counted(&self) -> Counted {
        self.counted
    }

    /// Returns what entry instances hold of a limit that only the leader before has heard of: what it
    /// said of the silent ones, at least an even part for each.
    fn held_by_unknown(&self, account: &Name, unknown: u32) -> f64 {
        match &self.inherited {
            Some(before) if unknown > 0 => {
                let even = f64::from(unknown) / f64::from(before.entries);
                before.held.get(account).copied().unwrap_or_default().max(even)
            }
            _ => 0.0,
        }
    }
}

fn none(account: &Name) -> AccountTotal {
    AccountTotal {
        account: account.clone(),
        asked_per_s: 0.0,
        admitted: 0.0,
        admitted_per_s: 0.0,
        held: 0.0,
    }
}
