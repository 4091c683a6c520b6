//! Checks that span several values or subtrees: unique names and keys, references, limits, price
//! caps and placement.

use std::collections::BTreeMap;
use std::ops::Bound;

use sill_base::{Findings, Map, Name};

use crate::document::{Document, KeyHash, Limit};
use crate::effective::is_at_or_above;
use crate::object::Place;

/// All documents of a tree by path, as they would be after a change.
pub type Documents<'a> = BTreeMap<&'a str, &'a Document>;

/// Returns every finding that concerns more than one value of the tree. `changed` is the path of
/// the document that is new.
pub fn check_tree(documents: &Documents<'_>, changed: &str) -> Findings {
    let mut findings = Findings::new();
    let is_new = |(path, _): &(&&str, &&Document)| **path == changed;
    // The new document comes last, so that findings for duplicates point to it.
    let (new, old): (Vec<_>, Vec<_>) = documents.iter().partition(is_new);
    let ordered: Vec<(&str, &Document)> =
        old.into_iter().chain(new).map(|(p, d)| (*p, *d)).collect();
    check_service_names(&ordered, &mut findings);
    check_keys(&ordered, &mut findings);
    check_route_addresses(&ordered, &mut findings);
    for (path, document) in documents {
        check_account_services(documents, path, document, &mut findings);
        check_route_services(documents, path, document, &mut findings);
        check_limit(documents, path, document, &mut findings);
        check_price_cap(documents, path, document, &mut findings);
        check_placement(documents, path, document, &mut findings);
    }
    findings
}

/// Service names must be unique in the tree, because callers select a service by its name alone.
fn check_service_names(documents: &[(&str, &Document)], findings: &mut Findings) {
    let mut first: Map<&Name, &str> = Map::default();
    for (path, document) in documents {
        for name in document.services.keys() {
            if let Some(other) = first.insert(name, path) {
                let place = Place::top(path).field("services").field(name).text();
                let other = Place::top(other).text();
                findings.add(place, format!("duplicate name; {other} has it too"));
            }
        }
    }
}

/// A key must belong to one client account. Otherwise it is arbitrary which account a call is served
/// and charged as.
fn check_keys(documents: &[(&str, &Document)], findings: &mut Findings) {
    let mut first: Map<&KeyHash, (&str, &Name)> = Map::default();
    for (path, document) in documents {
        for (name, account) in &document.accounts {
            for (i, key) in account.keys.iter().enumerate() {
                if *first.entry(key).or_insert((*path, name)) != (*path, name) {
                    let place = Place::top(path)
                        .field("accounts")
                        .field(name)
                        .field("keys")
                        .element(i)
                        .text();
                    findings.add(place, "the key of another client account");
                }
            }
        }
    }
}

/// A host and path must belong to one route, because a call has nothing else to select a route by.
fn check_route_addresses(documents: &[(&str, &Document)], findings: &mut Findings) {
    let mut first: Map<(&Name, &Name), (&str, &Name)> = Map::default();
    let text = |path, name| Place::top(path).field("routes").field(name).text();
    for (path, document) in documents {
        for (name, route) in &document.routes {
            if let Some((upper, other)) = first.insert((&route.host, &route.path), (path, name)) {
                let reason = format!("same host and path as {}", text(upper, other));
                findings.add(text(path, name), reason);
            }
        }
    }
}

/// Returns whether a service is defined in the subtree at `path` or above it.
fn is_reachable(documents: &Documents<'_>, path: &str, service: &Name) -> bool {
    let mut at_or_above = documents.iter().filter(|(upper, _)| is_at_or_above(upper, path));
    at_or_above.any(|(_, document)| document.services.contains_key(service))
}

/// A route may send calls only to services of its own subtree and of those above.
fn check_route_services(
    documents: &Documents<'_>,
    path: &str,
    document: &Document,
    findings: &mut Findings,
) {
    for (name, route) in &document.routes {
        for (i, share) in route.split.iter().enumerate() {
            if !is_reachable(documents, path, &share.service) {
                let place =
                    Place::top(path).field("routes").field(name).field("split").element(i).text();
                findings.add(place, unreachable_service(&share.service));
            }
        }
    }
}

/// Returns the reason of the finding for a service that the subtree may not refer to.
fn unreachable_service(service: &Name) -> String {
    format!("{service:?} is no service of this subtree or one above")
}

/// An account may list only services of its own subtree and of those above.
fn check_account_services(
    documents: &Documents<'_>,
    path: &str,
    document: &Document,
    findings: &mut Findings,
) {
    for (name, account) in &document.accounts {
        for (i, service) in account.services.iter().enumerate() {
            if !is_reachable(documents, path, service) {
                let place = Place::top(path)
                    .field("accounts")
                    .field(name)
                    .field("services")
                    .element(i)
                    .text();
                findings.add(place, unreachable_service(service));
            }
        }
    }
}

/// A limit must be at least the sum of the limits below it. Otherwise calls of accounts within
/// their own limits would be rejected.
fn check_limit(
    documents: &Documents<'_>,
    path: &str,
    document: &Document,
    findings: &mut Findings,
) {
    let Some(limit) = document.limit else {
        return;
    };
    let allocated = limits_below(documents, path);
    let top = Place::top(path);
    let place = top.field("limit");
    let parts = [
        ("requests_per_s", limit.requests_per_s, allocated.requests_per_s),
        ("tokens_per_s", limit.tokens_per_s, allocated.tokens_per_s),
    ];
    for (name, limit, allocated) in parts {
        if let (Some(limit), Some(allocated)) = (limit, allocated)
            && limit < allocated
        {
            let reason = format!("{limit} is below the sum of the limits under it, {allocated}");
            findings.add(place.field(name).text(), reason);
        }
    }
}

/// Returns the sum of the limits of a subtree's accounts and of its child subtrees. A child without
/// a limit of its own counts with the sum of the limits below it.
fn limits_below(documents: &Documents<'_>, path: &str) -> Limit {
    let mut sum = Limit::default();
    let accounts = documents.get(path).into_iter().flat_map(|document| document.accounts.values());
    for limit in accounts.filter_map(|account| account.limit) {
        add(&mut sum, limit);
    }
    for (lower, document) in documents.iter().filter(|(lower, _)| is_child(documents, path, lower))
    {
        let below = limits_below(documents, lower);
        let own = document.limit.unwrap_or_default();
        add(
            &mut sum,
            Limit {
                requests_per_s: own.requests_per_s.or(below.requests_per_s),
                tokens_per_s: own.tokens_per_s.or(below.tokens_per_s),
            },
        );
    }
    sum
}

/// Returns whether `upper` is the nearest existing subtree above `lower`.
fn is_child(documents: &Documents<'_>, upper: &str, lower: &str) -> bool {
    parent(documents, lower).is_some_and(|(path, _)| path == upper)
}

/// Returns the nearest existing subtree above `path`. A path may have no subtree at its parent
/// path.
fn parent<'a>(documents: &Documents<'a>, path: &str) -> Option<(&'a str, &'a Document)> {
    let before = (Bound::Unbounded, Bound::Excluded(path));
    let above = documents.range::<str, _>(before).rev();
    above.map(|(p, d)| (*p, *d)).find(|(upper, _)| is_at_or_above(upper, path))
}

fn add(sum: &mut Limit, more: Limit) {
    let plus = |a: Option<f64>, b: Option<f64>| match (a, b) {
        (None, None) => None,
        (a, b) => Some(a.unwrap_or_default() + b.unwrap_or_default()),
    };
    sum.requests_per_s = plus(sum.requests_per_s, more.requests_per_s);
    sum.tokens_per_s = plus(sum.tokens_per_s, more.tokens_per_s);
}

/// A price cap must not exceed the inherited one: a team may narrow its permissions but not widen
/// them.
fn check_price_cap(
    documents: &Documents<'_>,
    path: &str,
    document: &Document,
    findings: &mut Findings,
) {
    let inherited = nearest_above(documents, path, |upper| upper.price_cap);
    if let (Some(cap), Some((upper, highest))) = (document.price_cap, inherited)
        && cap > highest
    {
        let reason = format!("{cap} is above {highest}, the cap of {}", Place::top(upper).text());
        findings.add(Place::top(path).field("price_cap").text(), reason);
    }
}

/// Failure domains and machine classes must be among those of the nearest placement above, if it
/// lists any, and reclaimable instances must not be allowed where that placement forbids them.
fn check_placement(
    documents: &Documents<'_>,
    path: &str,
    document: &Document,
    findings: &mut Findings,
) {
    let Some(placement) = &document.placement else {
        return;
    };
    let Some((upper, above)) = nearest_above(documents, path, |upper| upper.placement.clone())
    else {
        return;
    };
    let top = Place::top(path);
    let place = top.field("placement");
    let lists = [
        ("domains", &placement.domains, &above.domains),
        ("classes", &placement.classes, &above.classes),
    ];
    for (field, own, allowed) in lists {
        for (i, name) in own.iter().enumerate() {
            if !allowed.is_empty() && !allowed.contains(name) {
                let reason = format!("{name:?} is not among those of {}", Place::top(upper).text());
                findings.add(place.field(field).element(i).text(), reason);
            }
        }
    }
    if placement.reclaimable == Some(true) && above.reclaimable == Some(false) {
        let reason = format!("{} allows no reclaimable instances", Place::top(upper).text());
        findings.add(place.field("reclaimable").text(), reason);
    }
}

/// Returns the value of the nearest subtree above `path` that sets one, with the path of that
/// subtree.
fn nearest_above<'a, T>(
    documents: &Documents<'a>,
    path: &str,
    get: impl Fn(&Document) -> Option<T>,
) -> Option<(&'a str, T)> {
    let mut next = parent(documents, path);
    while let Some((upper, document)) = next {
        if let Some(value) = get(document) {
            return Some((upper, value));
        }
        next = parent(documents, upper);
    }
    None
}
