//! What client accounts have received.

use sill_base::{Map, Millis, Name};

/// Time constant with which received work is forgotten. It covers the fluctuation of arrivals at
/// one entry instance; an account that was idle for longer has no claim on what it did not use.
const FORGET_SPAN: Millis = Millis(2000);

/// Age from which on figures of other entry instances are not used, as for limits.
const MAX_ELSEWHERE_AGE: Millis = Millis(1500);

/// Number of accounts from which on those that received next to nothing are dropped.
const MAX_ACCOUNTS: usize = 1024;

/// Received cost below which an account counts as idle.
const NEGLIGIBLE: f64 = 0.01;

/// What one client account has received.
#[derive(Debug)]
struct Account {
    weight: f64,
    /// Cost of the work that was started here and is not forgotten.
    local: f64,
    /// Cost of the work that was started at other entry instances, as far as is known.
    elsewhere: f64,
    /// The time for which both are true.
    updated_at: Millis,
    /// Cost that it receives per second at other entry instances.
    elsewhere_per_s: f64,
    /// When that rate was last heard of.
    elsewhere_at: Millis,
}

/// What all client accounts have received.
#[derive(Debug, Default)]
pub(crate) struct Accounts(Map<Name, Account>);

impl Account {
    /// Returns what was received here and elsewhere until `now`. The rate elsewhere counts until it
    /// is too old. Taking each reported rate for the whole span instead would add its noise, and
    /// an account would get nothing until the next report.
    fn at(&self, now: Millis) -> (f64, f64) {
        let passed = forget(now - self.updated_at);
        let known_until = self.elsewhere_at + MAX_ELSEWHERE_AGE;
        let counted_until = known_until.min(now).max(self.updated_at);
        let counted = 1.0 - forget(counted_until - self.updated_at);
        let added = self.elsewhere_per_s * FORGET_SPAN.as_secs_f64() * counted;
        let elsewhere = self.elsewhere * passed + added * forget(now - counted_until);
        (self.local * passed, elsewhere)
    }

    fn update(&mut self, now: Millis) {
        (self.local, self.elsewhere) = self.at(now);
        self.updated_at = self.updated_at.max(now);
    }

    fn total(&self, now: Millis) -> f64 {
        let (local, elsewhere) = self.at(now);
        local + elsewhere
    }
}

fn forget(age: Millis) -> f64 {
    (-age.as_secs_f64() / FORGET_SPAN.as_secs_f64()).exp()
}

impl Accounts {
    fn open(&mut self, now: Millis, name: &Name, weight: f64) -> &mut Account {
        if self.0.len() >= MAX_ACCOUNTS && !self.0.contains_key(name) {
            self.0.retain(|_, account| account.total(now) >= NEGLIGIBLE);
        }
        let new = || Account {
            weight,
            local: 0.0,
            elsewhere: 0.0,
            updated_at: now,
            elsewhere_per_s: 0.0,
            elsewhere_at: now,
        };
        let account = self.0.entry(name.clone()).or_insert_with(new);
        account.weight = weight.max(f64::MIN_POSITIVE);
        account
    }

    /// Sets the weight of an account.
    pub(crate) fn set_weight(&mut self, now: Millis, name: &Name, weight: f64) {
        self.open(now, name, weight);
    }

    /// Counts work that was started here.
    pub(crate) fn charge(&mut self, now: Millis, name: &Name, weight: f64, cost: f64) {
        let account = self.open(now, name, weight);
        account.update(now);
        account.local += cost;
    }

    /// Sets the rate at which an account received work lately at all entry instances together.
    pub(crate) fn set_rate_everywhere(&mut self, now: Millis, name: &Name, per_s: f64) {
        let weight = self.0.get(name).map_or(1.0, |account| account.weight);
        let account = self.open(now, name, weight);
        account.update(now);
        let own_per_s = account.local / FORGET_SPAN.as_secs_f64();
        account.elsewhere_per_s = (per_s - own_per_s).max(0.0);
        account.elsewhere_at = now;
    }

    /// Returns the cost that each account received here per second.
    pub(crate) fn local_per_s(&self, now: Millis) -> Vec<(Name, f64)> {
        let all = self.0.iter().map(|(name, account)| (name, account.at(now).0));
        let received = all.filter(|(_, local)| *local >= NEGLIGIBLE);
        received.map(|(name, local)| (name.clone(), local / FORGET_SPAN.as_secs_f64())).collect()
    }

    /// Returns what an account has received, and its weight.
    pub(crate) fn received(&self, now: Millis, name: &Name) -> (f64, Option<f64>) {
        match self.0.get(name) {
            Some(account) => (account.total(now), Some(account.weight)),
            None => (0.0, None),
        }
    }
}
