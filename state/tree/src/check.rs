//! Checks that span several subtrees: names, references, limits, caps.

use std::collections::BTreeMap;
use std::ops::Bound;

use sill_base::{Findings, Map, Name};

use crate::document::{Document, KeyHash, Limit};
use crate::effective::is_at_or_above;
use crate::object::Place;

/// All documents by path, as they would be after a change.
pub type Documents<'a> = BTreeMap<&'a str, &'a Document>;

/// Returns every finding that concerns more than one value of the tree, of which `changed` is the
/// document that is new.
pub fn check_tree(documents: &Documents<'_>, changed: &str) -> Findings {
    let mut findings = Findings::new();
    let is_new = |(path, _): &(&&str, &&Document)| **path == changed;
    // The new document comes last, so that it is the one to blame for what stands twice.
    let (new, old): (Vec<_>, Vec<_>) = documents.iter().partition(is_new);
    let in_turn: Vec<(&str, &Document)> =
        old.into_iter().chain(new).map(|(p, d)| (*p, *d)).collect();
    check_service_names(&in_turn, &mut findings);
    check_keys(&in_turn, &mut findings);
    check_route_places(&in_turn, &mut findings);
    for (path, document) in documents {
        check_references(documents, path, document, &mut findings);
        check_splits(documents, path, document, &mut findings);
        check_limit(documents, path, document, &mut findings);
        check_price_cap(documents, path, document, &mut findings);
        check_placement(documents, path, document, &mut findings);
    }
    findings
}

/// Callers ask for a service by its bare name, so two of one name could not be told apart.
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

/// A key names one client account; a second one would be charged and served by chance.
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

/// Two routes of one host and path could not be told apart.
fn check_route_places(documents: &[(&str, &Document)], findings: &mut Findings) {
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

/// Returns whether a service stands in a subtree or above it.
fn is_reachable(documents: &Documents<'_>, path: &str, service: &Name) -> bool {
    let mut above = documents.iter().filter(|(upper, _)| is_at_or_above(upper, path));
    above.any(|(_, document)| document.services.contains_key(service))
}

/// A route leads to services of its own subtree and of those above.
fn check_splits(
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

fn unreachable_service(service: &Name) -> String {
    format!("{service:?} is no service of this subtree or one above")
}

/// An account may use services of its own subtree and of those above.
fn check_references(
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

/// A limit covers what is promised below it; else accounts within their limits would be refused.
fn check_limit(
    documents: &Documents<'_>,
    path: &str,
    document: &Document,
    findings: &mut Findings,
) {
    let Some(limit) = document.limit else {
        return;
    };
    let promised = promised_below(documents, path);
    let top = Place::top(path);
    let place = top.field("limit");
    let parts = [
        ("requests_per_s", limit.requests_per_s, promised.requests_per_s),
        ("tokens_per_s", limit.tokens_per_s, promised.tokens_per_s),
    ];
    for (name, limit, promised) in parts {
        if let (Some(limit), Some(promised)) = (limit, promised)
            && limit < promised
        {
            let reason = format!("{limit} is below the sum of the limits under it, {promised}");
            findings.add(place.field(name).text(), reason);
        }
    }
}

/// Sums the limits of a subtree's accounts and of the subtrees next below; one without a limit of
/// its own counts with what it promises.
fn promised_below(documents: &Documents<'_>, path: &str) -> Limit {
    let mut sum = Limit::default();
    let accounts = documents.get(path).into_iter().flat_map(|document| document.accounts.values());
    for limit in accounts.filter_map(|account| account.limit) {
        add(&mut sum, limit);
    }
    for (lower, document) in
        documents.iter().filter(|(lower, _)| is_next_below(documents, path, lower))
    {
        let below = promised_below(documents, lower);
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

fn is_next_below(documents: &Documents<'_>, upper: &str, lower: &str) -> bool {
    parent(documents, lower).is_some_and(|(path, _)| path == upper)
}

/// Returns the nearest subtree above that exists.
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

/// A team may narrow what it was given, and not widen it.
fn check_price_cap(
    documents: &Documents<'_>,
    path: &str,
    document: &Document,
    findings: &mut Findings,
) {
    let inherited = nearest(documents, path, |upper| upper.price_cap);
    if let (Some(cap), Some((upper, highest))) = (document.price_cap, inherited)
        && cap > highest
    {
        let reason = format!("{cap} is above {highest}, the cap of {}", Place::top(upper).text());
        findings.add(Place::top(path).field("price_cap").text(), reason);
    }
}

/// Failure domains and machine classes are those that the subtree above names, if it names any.
fn check_placement(
    documents: &Documents<'_>,
    path: &str,
    document: &Document,
    findings: &mut Findings,
) {
    let Some(placement) = &document.placement else {
        return;
    };
    let Some((upper, above)) = nearest(documents, path, |upper| upper.placement.clone()) else {
        return;
    };
    let top = Place::top(path);
    let place = top.field("placement");
    let lists = [
        ("domains", &placement.domains, &above.domains),
        ("classes", &placement.classes, &above.classes),
    ];
    for (field, own, known) in lists {
        for (i, name) in own.iter().enumerate() {
            if !known.is_empty() && !known.contains(name) {
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

/// Returns the nearest value that a subtree above `path` sets, and where.
fn nearest<'a, T>(
    documents: &Documents<'a>,
    path: &str,
    get: impl Fn(&Document) -> Option<T>,
) -> Option<(&'a str, T)> {
    let mut at = parent(documents, path);
    while let Some((upper, document)) = at {
        if let Some(value) = get(document) {
            return Some((upper, value));
        }
        at = parent(documents, upper);
    }
    None
}
