//! Which operators may change a subtree and its owner, and which see its hashes.

use serde_json::json;
use sill_tree::{Document, KeyHash, Operator, Tree, redact};

/// A change of a subtree's owner by the holder of a token.
struct Case {
    token: &'static str,
    path: &'static str,
    new_owner: Option<&'static str>,
    is_allowed: bool,
}

const CASES: [Case; 10] = [
    Case { token: "root", path: "ga", new_owner: Some("other"), is_allowed: true },
    Case { token: "ga", path: "ga", new_owner: Some("ga"), is_allowed: true },
    Case { token: "ga", path: "ga", new_owner: Some("friend"), is_allowed: false },
    Case { token: "ga", path: "ga", new_owner: None, is_allowed: false },
    Case { token: "ga", path: "ga/desk", new_owner: Some("friend"), is_allowed: true },
    Case { token: "desk", path: "ga/desk", new_owner: Some("desk"), is_allowed: true },
    Case { token: "desk", path: "ga/desk", new_owner: Some("friend"), is_allowed: false },
    Case { token: "desk", path: "ga", new_owner: Some("ga"), is_allowed: false },
    Case { token: "desk", path: "ga/desks", new_owner: None, is_allowed: false },
    Case { token: "waitaha", path: "ga/desk", new_owner: Some("desk"), is_allowed: false },
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
fn an_owner_is_changed_only_by_the_owner_of_a_subtree_above() {
    // A team that could change the owner of its own subtree could lock out the operator who granted
    // it. A token of a sibling subtree, or of one whose path only has the same prefix, must have no
    // access.
    for Case { token, path, new_owner, is_allowed } in CASES {
        let document = Document { owner: new_owner.map(KeyHash::of), ..Document::default() };
        let result = tree().check_owner(&operator(token), path, &document);
        assert_eq!(result.is_ok(), is_allowed, "{token} sets the owner of {path} to {new_owner:?}");
    }
}

#[test]
fn a_redacted_document_has_no_hashes() {
    // Operators who don't own a subtree may read it, but not its hashes of keys and tokens.
    let document =
        json!({ "owner": KeyHash::of("t"), "accounts": { "a": { "keys": [KeyHash::of("k")] } } });
    let document: Document = serde_json::from_value(document).expect("the document is valid");
    let text = serde_json::to_string(&redact(&document)).expect("the document can be serialized");
    assert!(!text.contains("blake3:"), "a hash is left: {text}");
    assert!(text.contains("\"a\""), "the account is missing: {text}");
}
