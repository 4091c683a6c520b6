//! Who may change which subtree, and who sees its secrets.

use serde_json::json;
use sill_tree::{Document, KeyHash, Operator, Tree, redact};

/// A change by the holder of a token.
struct Case {
    token: &'static str,
    path: &'static str,
    new_owner: Option<&'static str>,
    allowed: bool,
}

const CASES: [Case; 10] = [
    Case { token: "root", path: "ga", new_owner: Some("other"), allowed: true },
    Case { token: "ga", path: "ga", new_owner: Some("ga"), allowed: true },
    Case { token: "ga", path: "ga", new_owner: Some("friend"), allowed: false },
    Case { token: "ga", path: "ga", new_owner: None, allowed: false },
    Case { token: "ga", path: "ga/desk", new_owner: Some("friend"), allowed: true },
    Case { token: "desk", path: "ga/desk", new_owner: Some("desk"), allowed: true },
    Case { token: "desk", path: "ga/desk", new_owner: Some("friend"), allowed: false },
    Case { token: "desk", path: "ga", new_owner: Some("ga"), allowed: false },
    Case { token: "desk", path: "ga/desks", new_owner: None, allowed: false },
    Case { token: "waitaha", path: "ga/desk", new_owner: Some("desk"), allowed: false },
];

fn tree() -> Tree {
    let mut tree = Tree::default();
    let owners = [("ga", "ga"), ("ga/desk", "desk"), ("waitaha", "waitaha")];
    for (revision, (path, owner)) in owners.into_iter().enumerate() {
        let document = Document { owner: Some(KeyHash::of(owner)), ..Document::default() };
        tree.put(path.into(), revision as u64 + 1, "root".into(), document);
    }
    tree
}

fn operator(token: &str) -> Operator {
    if token == "root" { Operator::Root } else { Operator::TokenHolder(KeyHash::of(token)) }
}

#[test]
fn only_the_owner_of_a_subtree_above_names_an_owner() {
    for Case { token, path, new_owner, allowed } in CASES {
        let document = Document { owner: new_owner.map(KeyHash::of), ..Document::default() };
        let checked = tree().check_owner(&operator(token), path, &document);
        assert_eq!(checked.is_ok(), allowed, "{token} sets the owner of {path} to {new_owner:?}");
    }
}

#[test]
fn hashes_are_left_out_for_others() {
    let document =
        json!({ "owner": KeyHash::of("t"), "accounts": { "a": { "keys": [KeyHash::of("k")] } } });
    let document: Document = serde_json::from_value(document).expect("a document");
    let shown = serde_json::to_string(&redact(&document)).expect("JSON");
    assert!(!shown.contains("blake3:"), "{shown}");
    assert!(shown.contains("\"a\""), "{shown}");
}
