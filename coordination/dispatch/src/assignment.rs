//! Which entry instances use an endpoint that only a few may use.
//!
//! All entry instances that know the same lists come to the same result without a message, and a
//! change of one of them moves few assignments.

use std::cmp::Reverse;
use std::hash::{BuildHasher, BuildHasherDefault};

use rustc_hash::FxHasher;
use sill_base::{Map, Name};

/// Number of entry instances that is presumed while no list is known.
const PRESUMED_ENTRIES: u64 = 16;

/// An endpoint that only some entry instances may use.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RestrictedEndpoint {
    /// The endpoint.
    pub endpoint: Name,
    /// How many entry instances may use it.
    pub users: usize,
}

/// Returns the endpoints that the entry instance `own` may use. The order of both lists doesn't
/// matter.
///
/// Each endpoint is assigned to those that rank highest for it, but to none that has more than its
/// part of all assignments already.
pub fn assigned(own: &Name, entries: &[Name], endpoints: &[RestrictedEndpoint]) -> Vec<Name> {
    if entries.is_empty() {
        return presumably_assigned(own, endpoints);
    }
    let mut entries: Vec<&Name> = entries.iter().chain([own]).collect();
    entries.sort_unstable();
    entries.dedup();
    let mut endpoints: Vec<&RestrictedEndpoint> = endpoints.iter().collect();
    endpoints.sort_unstable();
    let users = |e: &&RestrictedEndpoint| e.users.min(entries.len());
    let most = endpoints.iter().map(users).sum::<usize>().div_ceil(entries.len());
    let mut counts: Map<&Name, usize> = Map::default();
    let mut own_endpoints = Vec::new();
    for endpoint in &endpoints {
        let mut ranked = entries.clone();
        ranked.sort_by_cached_key(|entry| {
            let has_enough = counts.get(entry).is_some_and(|count| *count >= most);
            (has_enough, Reverse(rank(&endpoint.endpoint, entry)))
        });
        for user in ranked.into_iter().take(users(endpoint)) {
            *counts.entry(user).or_default() += 1;
            if user == own {
                own_endpoints.push(endpoint.endpoint.clone());
            }
        }
    }
    own_endpoints
}

/// Returns whether a task that one entry instance does for all is assigned to `own`; to none while no
/// list of them is known.
pub fn is_assigned(own: &Name, entries: &[Name], task: &Name) -> bool {
    let others = entries.iter().filter(|entry| *entry != own);
    !entries.is_empty() && others.map(|entry| rank(task, entry)).all(|r| r < rank(task, own))
}

/// Returns the endpoints to use as long as it is unknown who else there is. Others that don't know
/// either choose by their own names.
fn presumably_assigned(own: &Name, endpoints: &[RestrictedEndpoint]) -> Vec<Name> {
    let is_assigned =
        |e: &&RestrictedEndpoint| rank(&e.endpoint, own) % PRESUMED_ENTRIES < e.users as u64;
    endpoints.iter().filter(is_assigned).map(|e| e.endpoint.clone()).collect()
}

fn rank(endpoint: &Name, entry: &Name) -> u64 {
    // The hash of a pair of short names differs too little in its upper bits.
    let hash = BuildHasherDefault::<FxHasher>::default().hash_one((endpoint, entry));
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 8
}
