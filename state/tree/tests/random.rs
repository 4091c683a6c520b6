//! Property tests with random documents: parsing never panics, accepted documents survive a round
//! trip, and settings are inherited from the nearest subtree above.

use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Map, Value, json};
use sill_base::random::{cases, seed};
use sill_tree::effective::is_at_or_above;
use sill_tree::{EffectiveSettings, Tree, read_json};

const PATHS: [&str; 6] = ["", "a", "a/b", "a/b/c", "a/d", "e"];

fn runner(default_cases: u32) -> TestRunner {
    let mut bytes = [7; 32];
    bytes[..8].copy_from_slice(&seed(1).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    TestRunner::new_with_rng(Config { cases: cases(default_cases), ..Config::default() }, rng)
}

/// Generates mostly known field names, so that random documents reach the checks of values.
fn field_name() -> impl Strategy<Value = String> {
    let known = [
        "owner",
        "latency",
        "ttft_ms",
        "between_tokens_ms",
        "price_cap",
        "placement",
        "domains",
        "deadline_ms",
        "limit",
        "requests_per_s",
        "services",
        "kind",
        "version",
        "adapters",
        "non_idempotent",
        "method",
        "path",
        "accounts",
        "keys",
        "weight",
        "priority",
        "x",
        "y",
    ];
    prop_oneof![9 => prop::sample::select(known.to_vec()).prop_map(str::to_owned), 1 => ".*"]
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        (0u64..3).prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        prop::sample::select(vec!["model", "plain", "low", "high", "POST", "/p", "x", "blake3:0"])
            .prop_map(Value::from),
    ];
    leaf.prop_recursive(5, 48, 5, |inner| {
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::from),
            btree_map(field_name(), inner, 0..5)
                .prop_map(|fields| Value::Object(Map::from_iter(fields))),
        ]
    })
}

/// Generates documents that are valid without the rest of the tree.
fn valid_document(path: usize) -> impl Strategy<Value = Value> {
    let latency = (1u64..900, 1u64..90);
    let fields = (
        prop::option::of(latency),
        prop::option::of(1u64..5000),
        prop::option::of(1u64..9000),
        prop::option::of(1u32..100),
        vec(1u32..100, 0..3),
    );
    fields.prop_map(move |(latency, price_cap, deadline, limit, accounts)| {
        let latency = latency.map(|(t, b)| json!({ "ttft_ms": t, "between_tokens_ms": b }));
        let limit = limit.map(|l| json!({ "requests_per_s": l }));
        let account = |(i, l): (usize, &u32)| {
            let key = sill_tree::KeyHash::of(&format!("{path}-{i}"));
            (format!("a{i}"), json!({ "keys": [key], "limit": { "requests_per_s": l } }))
        };
        let accounts: Map<String, Value> = accounts.iter().enumerate().map(account).collect();
        json!({
            "latency": latency,
            "price_cap": price_cap,
            "deadline_ms": deadline,
            "limit": limit,
            "services": { format!("s{path}"): { "kind": "plain" } },
            "accounts": accounts,
        })
    })
}

#[test]
fn random_json_is_rejected_with_a_place_or_survives_a_round_trip() {
    // Operators need the place of each fault. Documents are stored as they are serialized, so an
    // accepted document must be parsed to the same document again.
    let run = runner(2000).run(&any_json(), |value| {
        let tree = Tree::default();
        match tree.check_value("a", &value) {
            Err(findings) => prop_assert!(findings.iter().all(|f| f.place.starts_with('a'))),
            Ok(document) => {
                let text =
                    serde_json::to_string(&document).expect("the document can be serialized");
                let again = read_json("a", text.as_bytes())
                    .expect("an accepted document has no duplicate names");
                prop_assert_eq!(tree.check_value("a", &again), Ok(document));
            }
        }
        Ok(())
    });
    run.expect("all random documents pass");
}

#[test]
fn random_bytes_are_parsed_without_a_panic() {
    // A settings file may contain any bytes. Invalid text must cause a finding and not a panic.
    let random_bytes = vec(any::<u8>(), 0..64);
    let json_like = "[\\[\\]{}\",:0-9a-z\\\\ ]{0,40}";
    let random_text = prop_oneof![random_bytes, json_like.prop_map(String::into_bytes)];
    let run = runner(2000).run(&random_text, |text| {
        let _ = read_json("a", &text);
        Ok(())
    });
    run.expect("all random texts pass");
}

/// In an accepted tree, each service has the value of the nearest subtree that sets it, no price
/// cap exceeds one above it, and no account's limit exceeds that of a subtree above it.
#[test]
fn settings_are_inherited_from_the_nearest_subtree() {
    let documents = (
        valid_document(0),
        valid_document(1),
        valid_document(2),
        valid_document(3),
        valid_document(4),
        valid_document(5),
    );
    let run = runner(300).run(&documents, |documents| {
        let documents: [Value; 6] = documents.into();
        let mut tree = Tree::default();
        for (i, value) in documents.iter().enumerate() {
            if let Ok(document) = tree.check_value(PATHS[i], value) {
                tree.put(PATHS[i].into(), i as u64 + 1, "test".into(), document);
            }
        }
        let effective = EffectiveSettings::of(&tree);
        for service in effective.services.values() {
            let mut at_or_above: Vec<_> =
                tree.subtrees.iter().filter(|(p, _)| is_at_or_above(p, &service.path)).collect();
            at_or_above.sort_by_key(|(path, _)| std::cmp::Reverse(path.len()));
            let documents = || at_or_above.iter().map(|(_, subtree)| &subtree.document);
            prop_assert_eq!(service.latency, documents().find_map(|d| d.latency));
            prop_assert_eq!(service.deadline, documents().find_map(|d| d.deadline_ms));
            prop_assert_eq!(service.price_cap, documents().find_map(|d| d.price_cap));
            let lowest = documents().filter_map(|d| d.price_cap).min();
            prop_assert_eq!(service.price_cap, lowest, "a price cap exceeds one above it");
        }
        for account in effective.accounts.values() {
            let own = account.account.limit.and_then(|limit| limit.requests_per_s);
            prop_assert_eq!(account.limit.requests_per_s, own);
            for (path, subtree) in &tree.subtrees {
                let is_covered = is_at_or_above(path, &account.path);
                let limit = subtree.document.limit.and_then(|limit| limit.requests_per_s);
                if let (true, Some(limit), Some(own)) = (is_covered, limit, own) {
                    prop_assert!(
                        own <= limit,
                        "the limit {own} of {} exceeds {limit} of {path}",
                        account.name
                    );
                }
            }
        }
        Ok(())
    });
    run.expect("all random trees pass");
}
