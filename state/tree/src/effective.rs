//! The tree as entry instances use it: with inheritance resolved and indexed by service and key.

use std::sync::Arc;

use sill_base::{Map, Millis, Name};

use crate::document::{Account, KeyHash, LatencyTarget, Limit, Placement, Service};
use crate::tree::Tree;

/// The settings in effect at one revision of the tree.
#[derive(Debug, Default, Clone)]
pub struct EffectiveSettings {
    /// The revision of the tree.
    pub revision: u64,
    /// Services of all subtrees by name, which is unique in the tree.
    pub services: Map<Name, Arc<EffectiveService>>,
    /// Accounts by the hash of a key; one with several keys has as many entries.
    pub accounts: Map<KeyHash, Arc<EffectiveAccount>>,
}

/// A service with the settings that it inherits.
#[derive(Debug, Clone)]
pub struct EffectiveService {
    /// The name that callers use.
    pub name: Name,
    /// The path of the subtree that defines it.
    pub path: Name,
    /// The service as written in its document.
    pub kind: Service,
    /// Its own latency target, or the inherited one.
    pub latency: Option<LatencyTarget>,
    /// Inherited maximum price of its instances, in thousandths of a currency unit per hour.
    pub price_cap: Option<u64>,
    /// Inherited constraints on where its endpoints may run.
    pub placement: Placement,
    /// Inherited deadline of requests that don't set one.
    pub deadline: Option<Millis>,
}

/// A client account with the settings that it inherits.
#[derive(Debug, Clone)]
pub struct EffectiveAccount {
    /// Its full name: path of the subtree and name, joined by `/`.
    pub name: Name,
    /// The path of the subtree that defines it.
    pub path: Name,
    /// The account as written in its document.
    pub account: Account,
    /// Its own limit, completed by the inherited one.
    pub limit: Limit,
}

impl EffectiveSettings {
    /// Resolves the inheritance of all services and accounts of a tree.
    pub fn of(tree: &Tree) -> Self {
        let mut effective = Self { revision: tree.revision, ..Self::default() };
        for (path, subtree) in &tree.subtrees {
            let inherited = InheritedSettings::at(tree, path);
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
                let full_name =
                    if path.is_empty() { name.clone() } else { format!("{path}/{name}").into() };
                let account = Arc::new(EffectiveAccount {
                    name: full_name,
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

    /// Returns whether an account may use a service. The service must be defined in the account's
    /// subtree or above it, and be in the account's list if that is not empty.
    pub fn may_use(account: &EffectiveAccount, service: &EffectiveService) -> bool {
        let is_listed =
            account.account.services.is_empty() || account.account.services.contains(&service.name);
        is_listed && is_at_or_above(&service.path, &account.path)
    }
}

/// Returns whether the path `upper` is equal to `lower` or an ancestor of it.
pub fn is_at_or_above(upper: &str, lower: &str) -> bool {
    upper.is_empty()
        || lower.strip_prefix(upper).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// For each setting, the value of the nearest subtree that sets it, starting with the subtree
/// itself.
#[derive(Default)]
struct InheritedSettings {
    latency: Option<LatencyTarget>,
    price_cap: Option<u64>,
    placement: Placement,
    deadline: Option<Millis>,
    limit: Limit,
}

impl InheritedSettings {
    /// Returns the limit of an account. Where it sets no limit, that of its subtree applies.
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
        // Paths are sorted, so a reversed iteration yields the nearest subtree first.
        let at_or_above = tree.subtrees.iter().rev().filter(|(p, _)| is_at_or_above(p, path));
        for (_, subtree) in at_or_above {
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
