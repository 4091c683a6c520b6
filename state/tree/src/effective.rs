//! The tree as entry instances use it: inheritance worked out, looked up by name.

use std::sync::Arc;

use sill_base::{Map, Millis, Name};

use crate::document::{Account, KeyHash, LatencyTarget, Limit, Placement, Service};
use crate::tree::Tree;

/// Settings in force at one revision.
#[derive(Debug, Default, Clone)]
pub struct EffectiveSettings {
    /// The revision.
    pub revision: u64,
    /// Models and services by name.
    pub services: Map<Name, Arc<EffectiveService>>,
    /// Accounts by the hash of each of their keys.
    pub accounts: Map<KeyHash, Arc<EffectiveAccount>>,
}

/// A service with what it inherits.
#[derive(Debug, Clone)]
pub struct EffectiveService {
    /// Its name.
    pub name: Name,
    /// The path of its subtree.
    pub path: Name,
    /// What it is.
    pub kind: Service,
    /// Its latency target.
    pub latency: Option<LatencyTarget>,
    /// The highest price of its instances.
    pub price_cap: Option<u64>,
    /// Where its endpoints may run.
    pub placement: Placement,
    /// The deadline of requests that name none.
    pub deadline: Option<Millis>,
}

/// A client account with what it inherits.
#[derive(Debug, Clone)]
pub struct EffectiveAccount {
    /// Its full name: path and name joined by `/`.
    pub name: Name,
    /// The path of its subtree.
    pub path: Name,
    /// The account as written.
    pub account: Account,
    /// Its limit.
    pub limit: Limit,
}

impl EffectiveSettings {
    /// Works out the settings in force.
    pub fn of(tree: &Tree) -> Self {
        let mut effective = Self { revision: tree.revision, ..Self::default() };
        for (path, subtree) in &tree.subtrees {
            let inherited = Inherited::at(tree, path);
            for (name, service) in &subtree.document.services {
                let own_latency = match service {
                    Service::Model { latency, .. } => *latency,
                    Service::Plain { .. } | Service::Pool(_) => None,
                };
                let service = EffectiveService {
                    name: name.clone(),
                    path: path.clone(),
                    kind: service.clone(),
                    latency: own_latency.or(inherited.latency),
                    price_cap: inherited.price_cap,
                    placement: inherited.placement.clone(),
                    deadline: inherited.deadline,
                };
                effective.services.insert(name.clone(), Arc::new(service));
            }
            for (name, account) in &subtree.document.accounts {
                let full =
                    if path.is_empty() { name.clone() } else { format!("{path}/{name}").into() };
                let account = Arc::new(EffectiveAccount {
                    name: full,
                    path: path.clone(),
                    account: account.clone(),
                    limit: inherited.limit_of(account),
                });
                for key in &account.account.keys {
                    effective.accounts.insert(key.clone(), account.clone());
                }
            }
        }
        effective
    }

    /// Returns whether an account may use a service: one of its own subtree, or of one above it.
    pub fn may_use(account: &EffectiveAccount, service: &EffectiveService) -> bool {
        let listed =
            account.account.services.is_empty() || account.account.services.contains(&service.name);
        listed && is_at_or_above(&service.path, &account.path)
    }
}

/// Returns whether `upper` is `lower` or one of the paths above it.
pub fn is_at_or_above(upper: &str, lower: &str) -> bool {
    upper.is_empty()
        || lower.strip_prefix(upper).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// What a subtree gets from itself and those above it, the nearest first.
#[derive(Default)]
struct Inherited {
    latency: Option<LatencyTarget>,
    price_cap: Option<u64>,
    placement: Placement,
    deadline: Option<Millis>,
    limit: Limit,
}

impl Inherited {
    /// An account without a limit of its own is held to that of its subtree.
    fn limit_of(&self, account: &Account) -> Limit {
        let own = account.limit.unwrap_or_default();
        Limit {
            requests_per_s: own.requests_per_s.or(self.limit.requests_per_s),
            tokens_per_s: own.tokens_per_s.or(self.limit.tokens_per_s),
        }
    }

    fn at(tree: &Tree, path: &str) -> Self {
        let mut inherited = Self::default();
        let mut has_placement = false;
        let above = tree.subtrees.iter().rev().filter(|(p, _)| is_at_or_above(p, path));
        for (_, subtree) in above {
            let document = &subtree.document;
            inherited.latency = inherited.latency.or(document.latency);
            inherited.price_cap = inherited.price_cap.or(document.price_cap);
            inherited.deadline = inherited.deadline.or(document.deadline_ms);
            let limit = document.limit.unwrap_or_default();
            inherited.limit.requests_per_s =
                inherited.limit.requests_per_s.or(limit.requests_per_s);
            inherited.limit.tokens_per_s = inherited.limit.tokens_per_s.or(limit.tokens_per_s);
            if let (false, Some(placement)) = (has_placement, &document.placement) {
                inherited.placement = placement.clone();
                has_placement = true;
            }
        }
        inherited
    }
}
