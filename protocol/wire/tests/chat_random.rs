//! Random request bodies: reading never panics, accepted values are within bounds, and each refusal
//! names the field.

use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use serde_json::{Map, Value, json};
use sill_base::random::{cases, seed};
use sill_wire::chat::{ChatSummary, MAX_MAX_TOKENS};

const FIELDS: [&str; 12] = [
    "model",
    "stream",
    "stream_options",
    "include_usage",
    "max_tokens",
    "max_completion_tokens",
    "messages",
    "prompt",
    "role",
    "content",
    "text",
    "type",
];

fn runner(default_cases: u32) -> TestRunner {
    let mut bytes = [9; 32];
    bytes[..8].copy_from_slice(&seed(1).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    TestRunner::new_with_rng(Config { cases: cases(default_cases), ..Config::default() }, rng)
}

fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        (0u64..4).prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "(?s).{0,6}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 40, 5, |inner| {
        let name = prop::sample::select(FIELDS.to_vec()).prop_map(str::to_owned);
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::from),
            btree_map(name, inner, 0..6).prop_map(|fields| Value::Object(Map::from_iter(fields))),
        ]
    })
}

#[test]
fn a_random_body_is_accepted_within_bounds_or_refused_with_places() {
    let run = runner(3000).run(&any_json(), |body| {
        match ChatSummary::read(&body) {
            Ok(summary) => {
                prop_assert!(!summary.model.is_empty());
                prop_assert!((1..=MAX_MAX_TOKENS).contains(&summary.max_tokens));
            }
            Err(findings) => {
                prop_assert!(!findings.is_empty());
                prop_assert!(findings.iter().all(|f| !f.place.is_empty() && !f.reason.is_empty()));
            }
        }
        Ok(())
    });
    run.expect("the property holds for every body");
}

/// Fields that the system doesn't read are forwarded to the engine; they must not change what it
/// reads from the others.
#[test]
fn valid_bodies_are_read_alike_whatever_their_other_fields() {
    let run = runner(500).run(&(any_json(), 1u32..MAX_MAX_TOKENS), |(other, max_tokens)| {
        let body = json!({
            "model": "m",
            "max_tokens": max_tokens,
            "messages": [{ "role": "user", "content": "hi", "name": other }],
            "temperature": other,
            "tools": other,
        });
        let summary = ChatSummary::read(&body).expect("the body is valid");
        prop_assert_eq!(summary.max_tokens, max_tokens);
        prop_assert!(!summary.stream && !summary.include_usage);
        prop_assert_eq!(summary.prompt.as_str(), "user: hi\n");
        Ok(())
    });
    run.expect("the property holds for every body");
}
