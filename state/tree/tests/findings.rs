//! Validation of settings documents: each fault is reported with its place and a reason.

use serde_json::{Value, json};
use sill_base::Findings;
use sill_tree::{KeyHash, Tree, read_json};

/// A document for `ga/desk` with one fault, and the finding that it must cause.
struct Case {
    name: &'static str,
    document: &'static str,
    place: &'static str,
    /// A part of the finding's reason.
    reason: &'static str,
}

const CASES: [Case; 34] = [
    Case {
        name: "a route to a service that does not exist",
        document: r#"{"routes":{"r":{"host":"h","path":"/a/","kind":"idempotent","timeout_ms":1,"split":[{"service":"gone","weight":1}]}}}"#,
        place: "ga/desk: routes.r.split[0]",
        reason: "is no service",
    },
    Case {
        name: "a route whose weights add up to 0",
        document: r#"{"services":{"s":{"kind":"pool"}},"routes":{"r":{"host":"h","path":"/a/","kind":"idempotent","timeout_ms":1,"split":[{"service":"s","weight":0}]}}}"#,
        place: "ga/desk: routes.r.split",
        reason: "add up to 0",
    },
    Case {
        name: "a route with a timeout of 0",
        document: r#"{"services":{"s":{"kind":"pool"}},"routes":{"r":{"host":"h","path":"/a/","kind":"idempotent","timeout_ms":0,"split":[{"service":"s","weight":1}]}}}"#,
        place: "ga/desk: routes.r.timeout_ms",
        reason: "more than 0",
    },
    Case {
        name: "a route of an unknown kind",
        document: r#"{"services":{"s":{"kind":"pool"}},"routes":{"r":{"host":"h","path":"/a/","kind":"safe","timeout_ms":1,"split":[{"service":"s","weight":1}]}}}"#,
        place: "ga/desk: routes.r.kind",
        reason: "idempotent, non_idempotent, stream, resumable_stream",
    },
    Case {
        name: "a path that does not end with a slash",
        document: r#"{"services":{"s":{"kind":"pool"}},"routes":{"r":{"host":"h","path":"/a","kind":"stream","timeout_ms":1,"split":[{"service":"s","weight":1}]}}}"#,
        place: "ga/desk: routes.r.path",
        reason: "ends with `/`",
    },
    Case {
        name: "two routes of one host and path",
        document: r#"{"services":{"s":{"kind":"pool"}},"routes":{"q":{"host":"h","path":"/a/","kind":"stream","timeout_ms":1,"split":[{"service":"s","weight":1}]},"r":{"host":"h","path":"/a/","kind":"stream","timeout_ms":1,"split":[{"service":"s","weight":1}]}}}"#,
        place: "ga/desk: routes.r",
        reason: "same host and path as ga/desk: routes.q",
    },
    Case {
        name: "a minimum of endpoints above the maximum",
        document: r#"{"services":{"s":{"kind":"pool","capacity":{"min":3,"max":2}}}}"#,
        place: "ga/desk: services.s.capacity.min",
        reason: "more than max",
    },
    Case {
        name: "unknown field",
        document: r#"{"acounts":{}}"#,
        place: "ga/desk: acounts",
        reason: "unknown field",
    },
    Case {
        name: "unknown field of a service",
        document: r#"{"services":{"chat":{"kind":"model","min":1}}}"#,
        place: "ga/desk: services.chat.min",
        reason: "unknown field",
    },
    Case {
        name: "wrong unit in the name",
        document: r#"{"latency":{"ttft_s":1,"ttft_ms":1,"between_tokens_ms":1}}"#,
        place: "ga/desk: latency.ttft_s",
        reason: "expected one of ttft_ms",
    },
    Case {
        name: "wrong unit in the value",
        document: r#"{"services":{"chat":{"kind":"model","latency":{"ttft_ms":"1s","between_tokens_ms":1}}}}"#,
        place: "ga/desk: services.chat.latency.ttft_ms",
        reason: "whole number of milliseconds",
    },
    Case {
        name: "fraction of a millisecond",
        document: r#"{"deadline_ms":0.5}"#,
        place: "ga/desk: deadline_ms",
        reason: "whole number of milliseconds",
    },
    Case {
        name: "latency target without one of its fields",
        document: r#"{"latency":{"ttft_ms":1}}"#,
        place: "ga/desk: latency.between_tokens_ms",
        reason: "missing",
    },
    Case {
        name: "deadline of 0",
        document: r#"{"deadline_ms":0}"#,
        place: "ga/desk: deadline_ms",
        reason: "more than 0",
    },
    Case {
        name: "service without kind",
        document: r#"{"services":{"chat":{}}}"#,
        place: "ga/desk: services.chat.kind",
        reason: "missing",
    },
    Case {
        name: "unknown kind",
        document: r#"{"services":{"chat":{"kind":"llm"}}}"#,
        place: "ga/desk: services.chat.kind",
        reason: "`model`, `plain` or `pool`",
    },
    Case {
        name: "negative count",
        document: r#"{"services":{"chat":{"kind":"model","min_endpoints":-1}}}"#,
        place: "ga/desk: services.chat.min_endpoints",
        reason: "whole number",
    },
    Case {
        name: "duplicate adapter",
        document: r#"{"services":{"chat":{"kind":"model","adapters":["x","x"]}}}"#,
        place: "ga/desk: services.chat.adapters[1]",
        reason: "twice",
    },
    Case {
        name: "unknown method",
        document: r#"{"services":{"s":{"kind":"plain","non_idempotent":[{"method":"SEND","path":"/"}]}}}"#,
        place: "ga/desk: services.s.non_idempotent[0].method",
        reason: "unknown method",
    },
    Case {
        name: "invalid call path",
        document: r#"{"services":{"s":{"kind":"plain","non_idempotent":[{"method":"POST","path":"x"}]}}}"#,
        place: "ga/desk: services.s.non_idempotent[0].path",
        reason: "starts with `/`",
    },
    Case {
        name: "invalid name",
        document: r#"{"accounts":{"the clerks":{}}}"#,
        place: "ga/desk: accounts.the clerks",
        reason: "not a well-formed name",
    },
    Case {
        name: "a key in place of its hash",
        document: r#"{"accounts":{"clerks":{"keys":["secret"]}}}"#,
        place: "ga/desk: accounts.clerks.keys[0]",
        reason: "64 hexadecimal digits",
    },
    Case {
        name: "unknown priority",
        document: r#"{"accounts":{"clerks":{"priority":"urgent"}}}"#,
        place: "ga/desk: accounts.clerks.priority",
        reason: "unknown priority",
    },
    Case {
        name: "priority above the highest allowed",
        document: r#"{"accounts":{"clerks":{"priority":"high","max_priority":"low"}}}"#,
        place: "ga/desk: accounts.clerks.priority",
        reason: "higher than max_priority",
    },
    Case {
        name: "limit of 0",
        document: r#"{"accounts":{"clerks":{"limit":{"requests_per_s":0}}}}"#,
        place: "ga/desk: accounts.clerks.limit.requests_per_s",
        reason: "more than 0",
    },
    Case {
        name: "weight of 0",
        document: r#"{"accounts":{"clerks":{"weight":0}}}"#,
        place: "ga/desk: accounts.clerks.weight",
        reason: "at least 1",
    },
    Case {
        name: "dangling reference",
        document: r#"{"accounts":{"clerks":{"services":["chat"]}}}"#,
        place: "ga/desk: accounts.clerks.services[0]",
        reason: "no service of this subtree or one above",
    },
    Case {
        name: "service of a sibling subtree",
        document: r#"{"accounts":{"clerks":{"services":["beside"]}}}"#,
        place: "ga/desk: accounts.clerks.services[0]",
        reason: "no service of this subtree or one above",
    },
    Case {
        name: "service name of another subtree",
        document: r#"{"services":{"beside":{"kind":"plain"}}}"#,
        place: "ga/desk: services.beside",
        reason: "duplicate name; ga/other has it too",
    },
    Case {
        name: "limits of accounts above their subtree's",
        document: r#"{"limit":{"requests_per_s":5},"accounts":{"a":{"limit":{"requests_per_s":3}},"b":{"limit":{"requests_per_s":3}}}}"#,
        place: "ga/desk: limit.requests_per_s",
        reason: "below the sum of the limits under it, 6",
    },
    Case {
        name: "limits that exceed the limit of the subtree above",
        document: r#"{"accounts":{"a":{"limit":{"tokens_per_s":1001}}}}"#,
        place: "ga: limit.tokens_per_s",
        reason: "below the sum of the limits under it, 1001",
    },
    Case {
        name: "price cap above that of the subtree above",
        document: r#"{"price_cap":2001}"#,
        place: "ga/desk: price_cap",
        reason: "the cap of ga",
    },
    Case {
        name: "unknown failure domain",
        document: r#"{"placement":{"domains":["a","z"]}}"#,
        place: "ga/desk: placement.domains[1]",
        reason: "not among those of ga",
    },
    Case {
        name: "reclaimable instances where none are allowed",
        document: r#"{"placement":{"reclaimable":true}}"#,
        place: "ga/desk: placement.reclaimable",
        reason: "allows no reclaimable",
    },
];

/// Returns a tree with the subtree `ga` of a team and `ga/other`, a sibling of the subtree under
/// test.
fn tree() -> Tree {
    let mut tree = Tree::default();
    let documents = [
        (
            "ga",
            json!({
                "limit": { "tokens_per_s": 1000 },
                "price_cap": 2000,
                "placement": { "domains": ["a", "b"], "reclaimable": false },
                "services": { "desk-7b": { "kind": "model" } },
            }),
        ),
        ("ga/other", json!({ "services": { "beside": { "kind": "plain" } } })),
    ];
    for (i, (path, document)) in documents.into_iter().enumerate() {
        let document = tree.check_value(path, &document).expect("the document is valid");
        tree.put(path.into(), i as u64 + 1, "test".into(), document);
    }
    tree
}

/// Validates a document for `ga/desk`.
fn check(document: &str) -> Result<(), Findings> {
    let value = read_json("ga/desk", document.as_bytes())?;
    tree().check_value("ga/desk", &value).map(|_| ())
}

#[test]
fn each_fault_causes_one_finding_with_its_place() {
    // An operator corrects a settings file by the findings alone, so a fault must not be missed,
    // reported at another place or cause follow-up findings.
    for case in CASES {
        let findings = check(case.document).expect_err(case.name);
        let matches =
            |place: &str, reason: &str| place == case.place && reason.contains(case.reason);
        let found = findings.iter().any(|f| matches(&f.place, &f.reason));
        assert!(found && findings.len() == 1, "{}: {findings}", case.name);
    }
}

#[test]
fn all_faults_of_a_document_are_reported_at_once() {
    // Reporting only the first fault would make an operator submit a file once for each fault. No
    // finding may contain a secret key that was put in place of its hash.
    let document = r#"{"x":1,"deadline_ms":"2s","services":{"chat":{"kind":"model","latency":{"ttft_ms":0,"between_tokens_ms":1}}},"accounts":{"clerks":{"keys":["k"],"services":["chat","gone"]}}}"#;
    let findings = check(document).expect_err("the document has faults");
    let places: Vec<&str> = findings.iter().map(|f| f.place.as_str()).collect();
    assert_eq!(
        places,
        [
            "ga/desk: deadline_ms",
            "ga/desk: services.chat.latency.ttft_ms",
            "ga/desk: accounts.clerks.keys[0]",
            "ga/desk: x",
            "ga/desk: accounts.clerks.services[1]",
        ]
    );
    assert!(!findings.to_string().contains("\"k\""), "a finding contains the secret: {findings}");
}

/// A merge of two edits leaves an account in the file twice. JSON libraries keep the last one, and
/// the callers of the first would be rejected without any log line.
#[test]
fn duplicate_names_in_an_object_are_reported() {
    let text = r#"{"accounts":{"a":{"weight":1,"weight":2},"a":{}},"accounts":{}}"#;
    let findings = read_json("ga", text.as_bytes()).expect_err("the text has duplicate names");
    let places: Vec<&str> = findings.iter().map(|f| f.place.as_str()).collect();
    assert_eq!(places, ["ga: accounts.a.weight", "ga: accounts.a", "ga: accounts"]);
}

#[test]
fn a_key_of_two_accounts_is_reported_without_its_hash() {
    // Calls with a key of two accounts would be charged to an arbitrary one of them.
    let key = KeyHash::of("k");
    let document = json!({ "accounts": { "a": { "keys": [key] }, "b": { "keys": [key] } } });
    let findings = tree().check_value("ga/desk", &document).expect_err("the key is shared");
    assert_eq!(findings.len(), 1, "{findings}");
    assert!(!findings.to_string().contains("blake3:"), "a finding contains the hash: {findings}");
}

/// A team removes a service that accounts of a subtree below still list.
#[test]
fn a_change_that_invalidates_a_subtree_below_is_rejected() {
    let mut tree = tree();
    let below = json!({ "accounts": { "clerks": { "services": ["desk-7b"] } } });
    let below = tree.check_value("ga/desk", &below).expect("the document is valid");
    tree.put("ga/desk".into(), 3, "test".into(), below);
    let findings = tree.check_value("ga", &json!({})).expect_err("a reference is dangling");
    assert_eq!(
        findings.iter().next().expect("there is a finding").place,
        "ga/desk: accounts.clerks.services[0]"
    );
}

#[test]
fn invalid_paths_are_rejected() {
    // A path must consist of well-formed names, without a leading slash or an empty name.
    let cases = [("", true), ("ga", true), ("ga/desk", true), ("/ga", false), ("ga//x", false)];
    for (path, is_valid) in cases {
        assert_eq!(
            tree().check_value(path, &Value::Object(Default::default())).is_ok(),
            is_valid,
            "{path}"
        );
    }
}
