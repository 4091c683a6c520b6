//! Splitting of documents into pieces that revisions share, and the storage of documents as text.

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

/// Merges the pieces of a document.
fn join(parts: &[Document]) -> Document {
    let mut document = parts[0].clone();
    for part in &parts[1..] {
        document.accounts.extend(part.accounts.clone());
        document.routes.extend(part.routes.clone());
    }
    document
}

fn ids(document: &Document) -> Vec<PieceId> {
    let parts = pieces::split(document);
    parts.iter().map(|part| PieceId::of(DocumentText::of(part).as_str())).collect()
}

#[test]
fn pieces_hold_the_complete_document_and_have_a_size_bound() {
    // A reader assembles a document from its pieces, so none of its content may be missing. A piece
    // is transferred when one of its entries changes, so its size must be bounded. A reader fetches
    // the list of all piece ids, so their number must be bounded too.
    for routes in [0, 1, 1400, 20_000] {
        let document = document(routes);
        let parts = pieces::split(&document);
        assert_eq!(join(&parts), document, "{routes} routes");
        assert!(parts.iter().all(|part| part.routes.len() <= 256), "{routes} routes");
        assert!(parts.len() <= 10 + routes / 20, "{} pieces of {routes} routes", parts.len());
    }
}

#[test]
fn a_change_of_one_entry_changes_only_one_piece() {
    // Automation changes single routes in a tree of thousands. If other pieces changed as well,
    // each entry instance would fetch the complete tree for every change.
    struct Case {
        name: &'static str,
        change: fn(&mut Document),
    }
    let cases = [
        Case {
            name: "a route is changed",
            change: |d| {
                d.routes.get_mut("route-700").expect("the document has the route").max_attempts = 2
            },
        },
        Case { name: "a route is removed", change: |d| drop(d.routes.remove("route-700")) },
        Case {
            name: "a route is added",
            change: |d| drop(d.routes.insert("route-7000".into(), route(7000).1)),
        },
        Case {
            name: "a service is added",
            change: |d| drop(d.services.insert("x".into(), Service::Pool(Pool::default()))),
        },
    ];
    for Case { name, change } in cases {
        let before = document(1400);
        let mut after = before.clone();
        change(&mut after);
        let known: BTreeSet<PieceId> = ids(&before).into_iter().collect();
        let new = ids(&after).into_iter().filter(|id| !known.contains(id)).count();
        // Removing a route that ends a piece merges two pieces into one new piece.
        assert_eq!(new, 1, "{name}: number of new pieces");
    }
}

#[test]
fn a_stored_document_is_read_in_all_its_serialized_forms() {
    // Long documents are serialized compressed, short ones as plain JSON. Logs written by earlier
    // versions hold long documents as plain JSON too.
    for routes in [0, 1, 1400] {
        let document = document(routes);
        let stored = StoredDocument::from(DocumentText::of(&document));
        let json = serde_json::to_string(&stored).expect("the document can be serialized");
        let read: StoredDocument =
            serde_json::from_str(&json).expect("the document can be deserialized");
        assert_eq!(*read, document, "{routes} routes");
        // The form that earlier versions of the program wrote.
        let plain = serde_json::to_string(&document).expect("the document can be serialized");
        let read: StoredDocument =
            serde_json::from_str(&plain).expect("the document can be deserialized");
        assert_eq!(*read, document, "{routes} routes");
    }
}

#[test]
fn reading_a_document_with_unknown_fields_fails_with_the_field() {
    // A newer version of the program wrote a field that this one doesn't know. Reading the document
    // must fail with an error instead of dropping the field.
    let unknown = serde_json::json!({ "field_of_tomorrow": 1 });
    let mut tree = Tree::default();
    tree.put("serving".into(), 1, "root".into(), DocumentText::from(&unknown));
    let error = tree.subtrees["serving"].document.read().expect_err("unknown fields are rejected");
    assert!(error.to_string().contains("field_of_tomorrow"), "{error}");
}
