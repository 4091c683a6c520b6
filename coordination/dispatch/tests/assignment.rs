//! Which entry instances use an endpoint that only a few may use.

use std::collections::BTreeMap;

use sill_base::Name;
use sill_dispatch::{RestrictedEndpoint, assigned};

fn names(prefix: &str, count: usize) -> Vec<Name> {
    (0..count).map(|i| format!("{prefix}{i}").into()).collect()
}

fn restricted(count: usize, users: usize) -> Vec<RestrictedEndpoint> {
    let endpoint = |endpoint| RestrictedEndpoint { endpoint, users };
    names("e", count).into_iter().map(endpoint).collect()
}

/// Returns the endpoints of each entry instance.
fn assignments(entries: &[Name], endpoints: &[RestrictedEndpoint]) -> BTreeMap<Name, Vec<Name>> {
    let of = |entry: &Name| (entry.clone(), assigned(entry, entries, endpoints));
    entries.iter().map(of).collect()
}

/// Entry instances come to different results, so an endpoint has too many users or none, or one
/// instance gets most endpoints and others none.
#[test]
fn each_endpoint_has_its_users_and_each_entry_instance_its_part() {
    struct Case {
        entries: usize,
        endpoints: usize,
        users: usize,
    }
    let cases = [
        Case { entries: 1, endpoints: 6, users: 3 },
        Case { entries: 3, endpoints: 6, users: 3 },
        Case { entries: 30, endpoints: 6, users: 3 },
        Case { entries: 83, endpoints: 112, users: 4 },
        Case { entries: 90, endpoints: 112, users: 1 },
    ];
    for Case { entries, endpoints, users } in cases {
        let (entries, endpoints) = (names("entry-", entries), restricted(endpoints, users));
        let by_entry = assignments(&entries, &endpoints);
        let users = users.min(entries.len());
        for RestrictedEndpoint { endpoint, .. } in &endpoints {
            let count = by_entry.values().filter(|own| own.contains(endpoint)).count();
            assert_eq!(count, users, "users of {endpoint} among {} instances", entries.len());
        }
        let most = (endpoints.len() * users).div_ceil(entries.len());
        for (entry, own) in by_entry {
            assert!(
                own.len() <= most + 1,
                "{entry} has {} endpoints, its part is {most}",
                own.len()
            );
        }
    }
}

/// The order in which lists arrive, or an instance that is missing in its own list, changes who uses
/// what.
#[test]
fn the_order_of_the_lists_does_not_matter() {
    let (entries, endpoints) = (names("entry-", 30), restricted(12, 3));
    let reversed: Vec<Name> = entries.iter().rev().cloned().collect();
    let backwards: Vec<RestrictedEndpoint> = endpoints.iter().rev().cloned().collect();
    for entry in &entries {
        let others: Vec<Name> = entries.iter().filter(|other| *other != entry).cloned().collect();
        let expected = assigned(entry, &entries, &endpoints);
        assert_eq!(assigned(entry, &reversed, &backwards), expected, "{entry}");
        assert_eq!(assigned(entry, &others, &endpoints), expected, "{entry}, not listed");
    }
}

/// An entry instance that ends moves the endpoints of all others, which then all begin anew.
#[test]
fn the_end_of_an_entry_instance_moves_few_assignments() {
    let (entries, endpoints) = (names("entry-", 30), restricted(60, 3));
    let before = assignments(&entries, &endpoints);
    let after = assignments(&entries[1..], &endpoints);
    let kept = |entry: &Name| before[entry].iter().filter(|e| after[entry].contains(e)).count();
    let kept: usize = entries[1..].iter().map(kept).sum();
    let all: usize = entries[1..].iter().map(|entry| before[entry].len()).sum();
    assert!(kept * 10 >= all * 7, "{kept} of {all} kept");
}

/// Without a list, each entry instance would take all endpoints for its own.
#[test]
fn without_a_list_of_entry_instances_few_endpoints_are_used() {
    let endpoints = restricted(160, 2);
    let used: usize = names("entry-", 16).iter().map(|e| assigned(e, &[], &endpoints).len()).sum();
    assert!((200..=440).contains(&used), "{used} assignments where 320 are meant");
}
