//! Documents are cut into pieces that revisions share, and are read when they are first looked at.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sill_base::{Millis, Name};
use sill_tree::{
    Account, CallerBounds, Document, DocumentText, KeyHash, PieceId, Pool, Route, Service, Share,
    StoredDocument, Tree, pieces,
};

fn route(i: usize) -> (Name, Route) {
    let route = Route {
        host: format!("h{}", i % 7).into(),
        path: format!("/p{i}/").into(),
        timeout_ms: Millis(1000),
        split: vec![Share { service: "desk".into(), weight: 1 }],
        max_attempts: 1,
        ..Route::default()
    };
    (format!("route-{i}").into(), route)
}

fn document(routes: usize) -> Document {
    let account = |i| {
        (
            format!("a{i}").into(),
            Account { keys: vec![KeyHash::of(&format!("key{i}"))], ..Account::default() },
        )
    };
    Document {
        services: BTreeMap::from([("desk".into(), Service::Pool(Pool::default()))]),
        accounts: (0..20).map(account).collect(),
        routes: (0..routes).map(route).collect(),
        caller_bounds: Some(CallerBounds::default()),
        ..Document::default()
    }
}

fn join(parts: &[Document]) -> Document {
    let mut whole = parts[0].clone();
    for part in &parts[1..] {
        whole.accounts.extend(part.accounts.clone());
        whole.routes.extend(part.routes.clone());
    }
    whole
}

fn ids(document: &Document) -> Vec<PieceId> {
    let parts = pieces::split(document);
    parts.iter().map(|part| PieceId::of(DocumentText::of(part).as_str())).collect()
}

#[test]
fn pieces_hold_the_whole_document_and_none_is_large() {
    for routes in [0, 1, 1400, 20_000] {
        let document = document(routes);
        let parts = pieces::split(&document);
        assert_eq!(join(&parts), document, "{routes} routes");
        assert!(parts.iter().all(|part| part.routes.len() <= 256), "{routes} routes");
        assert!(parts.len() <= 10 + routes / 20, "{} pieces of {routes} routes", parts.len());
    }
}

#[test]
fn a_change_of_one_route_changes_one_piece() {
    // Automation changes a route now and then in a tree of thousands. Were other pieces changed as well,
    // each entry instance would fetch the whole tree for it.
    struct Case {
        name: &'static str,
        change: fn(&mut Document),
    }
    let cases = [
        Case {
            name: "changed",
            change: |d| d.routes.get_mut("route-700").expect("it is there").max_attempts = 2,
        },
        Case { name: "removed", change: |d| drop(d.routes.remove("route-700")) },
        Case {
            name: "added",
            change: |d| drop(d.routes.insert("route-7000".into(), route(7000).1)),
        },
        Case {
            name: "service",
            change: |d| drop(d.services.insert("x".into(), Service::Pool(Pool::default()))),
        },
    ];
    for Case { name, change } in cases {
        let before = document(1400);
        let mut after = before.clone();
        change(&mut after);
        let known: BTreeSet<PieceId> = ids(&before).into_iter().collect();
        let new = ids(&after).into_iter().filter(|id| !known.contains(id)).count();
        // A route that ended a piece and goes away joins two of them.
        assert_eq!(new, 1, "{name}");
    }
}

#[test]
fn a_stored_document_is_the_same_however_it_was_written() {
    for routes in [0, 1, 1400] {
        let document = document(routes);
        let stored = StoredDocument::from(DocumentText::of(&document));
        let json = serde_json::to_string(&stored).expect("it can be written");
        let read: StoredDocument = serde_json::from_str(&json).expect("it can be read");
        assert_eq!(*read, document, "{routes} routes");
        // As earlier versions of the program wrote it.
        let plain = serde_json::to_string(&document).expect("it can be written");
        let read: StoredDocument = serde_json::from_str(&plain).expect("it can be read");
        assert_eq!(*read, document, "{routes} routes");
    }
}

#[test]
fn a_document_of_a_newer_version_is_found_unreadable_when_it_is_read() {
    let unknown = serde_json::json!({ "field_of_tomorrow": 1 });
    let mut tree = Tree::default();
    tree.put("serving".into(), 1, "root".into(), DocumentText::from(&unknown));
    let error = tree.subtrees["serving"].document.read().expect_err("the field is not known");
    assert!(error.to_string().contains("field_of_tomorrow"), "{error}");
}
