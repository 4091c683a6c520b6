//! Lookup of routes and accounts by the host, path and key of a call.

use std::collections::BTreeMap;
use std::sync::Arc;

use sill_base::{Map, Name};
use sill_tree::{Account, CallerBounds, Document, KeyHash, Pool, Route, Service, Share};

/// The routes, pools and accounts of one revision of the settings.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Revision of the settings.
    pub revision: u64,
    /// Bounds on what callers may send.
    pub bounds: CallerBounds,
    /// Pools of endpoints by service.
    pub pools: BTreeMap<Name, Pool>,
    /// Accounts by name.
    pub accounts: BTreeMap<Name, Arc<AccountEntry>>,
    by_host: Map<Name, Map<Name, Arc<RouteEntry>>>,
    by_key: Map<KeyHash, Arc<AccountEntry>>,
}

/// A route and its name.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteEntry {
    /// Name of the route in the settings.
    pub name: Name,
    /// Host, path and services of the route.
    pub route: Route,
}

/// A client account and its name.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountEntry {
    /// Name of the account in the settings.
    pub name: Name,
    /// Keys and limits of the account.
    pub account: Account,
}

/// A part of a route table, ready to be joined with the others. Revisions share their equal parts.
#[derive(Debug, Default)]
pub struct TablePart {
    bounds: Option<CallerBounds>,
    pools: Vec<(Name, Pool)>,
    routes: Vec<Arc<RouteEntry>>,
    accounts: Vec<Arc<AccountEntry>>,
}

impl TablePart {
    /// Creates the part for the entries of a document.
    pub fn of(document: Document) -> Self {
        let pools = document.services.into_iter().filter_map(|(name, service)| match service {
            Service::Pool(pool) => Some((name, pool)),
            Service::Model { .. } | Service::Plain { .. } => None,
        });
        let routes = document.routes.into_iter();
        let accounts = document.accounts.into_iter();
        Self {
            bounds: document.caller_bounds,
            pools: pools.collect(),
            routes: routes.map(|(name, route)| Arc::new(RouteEntry { name, route })).collect(),
            accounts: accounts
                .map(|(name, account)| Arc::new(AccountEntry { name, account }))
                .collect(),
        }
    }
}

impl RouteTable {
    /// Creates the table of a valid document.
    pub fn of(revision: u64, document: &Document) -> Self {
        Self::join(revision, &[Arc::new(TablePart::of(document.clone()))])
    }

    /// Joins the parts of a valid document.
    pub fn join(revision: u64, parts: &[Arc<TablePart>]) -> Self {
        let mut table = Self { revision, ..Self::default() };
        for part in parts {
            table.add(part);
        }
        table
    }

    fn add(&mut self, part: &TablePart) {
        self.bounds = part.bounds.unwrap_or(self.bounds);
        self.pools.extend(part.pools.iter().cloned());
        for entry in &part.routes {
            let of_host = self.by_host.entry(entry.route.host.clone()).or_default();
            of_host.insert(entry.route.path.clone(), entry.clone());
        }
        for entry in &part.accounts {
            for key in &entry.account.keys {
                self.by_key.insert(key.clone(), entry.clone());
            }
            self.accounts.insert(entry.name.clone(), entry.clone());
        }
    }

    /// Returns the route of `host` with the longest path that is a prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let of_host = self.by_host.get(host)?;
        let ends = path.char_indices().rev().filter(|(_, c)| *c == '/').map(|(i, _)| i + 1);
        ends.filter_map(|end| of_host.get(&path[..end])).next()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteEntry>> {
        self.by_host.values().flat_map(Map::values)
    }

    /// Returns whether callers must present a key.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the account that a key belongs to.
    pub fn account_of(&self, key: &str) -> Option<&Arc<AccountEntry>> {
        self.by_key.get(&KeyHash::of(key))
    }
}

impl RouteEntry {
    /// Returns the services that calls may be drawn from, in order.
    pub fn services(&self) -> Vec<Name> {
        let drawn = self.route.split.iter().filter(|share| share.weight > 0);
        let mut services: Vec<Name> = drawn.map(|share| share.service.clone()).collect();
        services.sort();
        services.dedup();
        services
    }

    /// Returns the service for a random `draw` between 0 and 1.
    ///
    /// The weights apply even if a service has no endpoint at the moment: the operator set them to
    /// move calls, and other services would receive more than allowed.
    pub fn service(&self, draw: f64) -> &Name {
        let split = &self.route.split;
        let total: u32 = split.iter().map(|share| share.weight).sum();
        let mut left = draw * f64::from(total);
        for Share { service, weight } in split {
            left -= f64::from(*weight);
            if left < 0.0 {
                return service;
            }
        }
        &split.iter().rev().find(|share| share.weight > 0).unwrap_or(&split[0]).service
    }
}
