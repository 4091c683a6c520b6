//! Which services a route may have drawn over the life of a stream.

use sill_base::Millis;
use sill_dispatch::{RouteHistory, RouteTable};
use sill_tree::{Document, Route, Service, Share};

const START: Millis = Millis(1000);

/// Longer than the life of a stream.
const LONG: Millis = Millis(60_000);

/// Returns settings with routes at these paths, which draw from these services.
fn table(revision: u64, routes: &[(&str, &[(&str, u32)])]) -> RouteTable {
    let mut document = Document::default();
    for (path, split) in routes {
        let share =
            |(service, weight): &(&str, u32)| Share { service: (*service).into(), weight: *weight };
        for (service, _) in *split {
            document.services.insert((*service).into(), Service::Pool(Default::default()));
        }
        let split = split.iter().map(share).collect();
        let route = Route { host: "h".into(), path: (*path).into(), split, ..Route::default() };
        document.routes.insert((*path).into(), route);
    }
    RouteTable::of(revision, &document)
}

fn origins(history: &RouteHistory, now: Millis, table: &RouteTable, path: &str) -> Vec<String> {
    let route = table.find("h", path).expect("the path has a route");
    let services = history.origins(now, route, path).services;
    services.iter().map(ToString::to_string).collect()
}

/// A service that a route had when a stream began is forgotten, and another one continues the stream.
#[test]
fn the_services_of_a_route_are_known_as_long_as_streams_live() {
    struct Case {
        name: &'static str,
        before: &'static [(&'static str, &'static [(&'static str, u32)])],
        after: &'static [(&'static str, &'static [(&'static str, u32)])],
        path: &'static str,
        origins: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "moved",
            before: &[("/a/", &[("x", 1)])],
            after: &[("/a/", &[("y", 1)])],
            path: "/a/b",
            origins: &["x", "y"],
        },
        Case {
            name: "one service less",
            before: &[("/a/", &[("x", 1), ("y", 1)])],
            after: &[("/a/", &[("x", 1), ("y", 0)])],
            path: "/a/b",
            origins: &["x", "y"],
        },
        Case {
            name: "other weights",
            before: &[("/a/", &[("x", 1), ("y", 2)])],
            after: &[("/a/", &[("x", 2), ("y", 1)])],
            path: "/a/b",
            origins: &["x", "y"],
        },
        Case {
            name: "a longer path of its own",
            before: &[("/a/", &[("x", 1)])],
            after: &[("/a/", &[("x", 1)]), ("/a/b/", &[("y", 1)])],
            path: "/a/b/c",
            origins: &["x", "y"],
        },
        Case {
            name: "no longer a path of its own",
            before: &[("/a/", &[("x", 1)]), ("/a/b/", &[("y", 1)])],
            after: &[("/a/", &[("x", 1)])],
            path: "/a/b/c",
            origins: &["x", "y"],
        },
        Case {
            name: "another route",
            before: &[("/a/", &[("x", 1)]), ("/b/", &[("x", 1)])],
            after: &[("/a/", &[("y", 1)]), ("/b/", &[("x", 1)])],
            path: "/b/c",
            origins: &["x"],
        },
        Case {
            name: "added",
            before: &[("/a/", &[("x", 1)])],
            after: &[("/a/", &[("x", 1)]), ("/b/", &[("y", 1)])],
            path: "/b/c",
            origins: &["y"],
        },
    ];
    for Case { name, before, after, path, origins: expected } in cases {
        let (before, after) = (table(7, before), table(8, after));
        let mut history = RouteHistory::default();
        history.record_settings(START, None, &before);
        let moved_at = START + LONG;
        assert!(history.is_complete(moved_at), "{name}");
        history.record_settings(moved_at, Some(&before), &after);
        assert!(history.is_complete(moved_at), "{name}: each revision was seen");
        assert_eq!(origins(&history, moved_at, &after, path), expected, "{name}");
        let last = moved_at + LONG - Millis(1);
        assert_eq!(origins(&history, last, &after, path), expected, "{name}");
        let current = after.find("h", path).expect("a route").services();
        let now = origins(&history, moved_at + LONG, &after, path);
        assert_eq!(now.len(), current.len(), "{name}: {now:?}");
    }
}

/// An instance concludes from what it knows alone, and has missed a revision by which others served.
#[test]
fn changes_that_may_have_been_missed_are_known_as_such() {
    let routes: &[(&str, &[(&str, u32)])] = &[("/a/", &[("x", 1)])];
    let mut history = RouteHistory::default();
    assert!(history.is_complete(START), "nothing was served yet");
    history.record_settings(START, None, &table(7, routes));
    assert!(!history.is_complete(START + LONG - Millis(1)), "it has just started");
    assert!(history.may_have_changed(START + Millis(1)));
    history.record_unchanged(START + Millis(1000), Millis(500));
    assert!(!history.is_complete(START + Millis(1000)));
    history.record_unchanged(START + Millis(2000), LONG);
    assert!(history.is_complete(START + Millis(2000)), "a control instance knows");
    assert!(!history.may_have_changed(START + Millis(2000)));
    let now = START + Millis(3000);
    history.record_settings(now, Some(&table(7, routes)), &table(9, routes));
    assert!(!history.is_complete(now), "revision 8 was missed");
    history.record_settings(now + Millis(1), Some(&table(9, routes)), &table(10, routes));
    assert!(!history.is_complete(now + LONG - Millis(1)));
    assert!(history.is_complete(now + LONG));
}

/// A large change fills the memory of an instance.
#[test]
fn changes_that_are_forgotten_early_make_the_history_incomplete() {
    let paths: Vec<String> = (0..5000).map(|i| format!("/{i}/")).collect();
    let routes = |service: &'static str| -> Vec<(&str, Vec<(&str, u32)>)> {
        paths.iter().map(|path| (path.as_str(), vec![(service, 1)])).collect()
    };
    let (x, y) = (routes("x"), routes("y"));
    let of = |revision, routes: &[(&str, Vec<(&str, u32)>)]| {
        let routes: Vec<(&str, &[(&str, u32)])> =
            routes.iter().map(|(path, split)| (*path, split.as_slice())).collect();
        table(revision, &routes)
    };
    let (before, after) = (of(7, &x), of(8, &y));
    let mut history = RouteHistory::default();
    history.record_settings(START, None, &before);
    history.record_settings(START + LONG, Some(&before), &after);
    assert!(!history.is_complete(START + LONG + Millis(1)));
    assert!(history.is_complete(START + LONG + LONG));
}
