//! Recorded traces end as stated, and a replay notices where they don't.

use std::fs;
use std::path::Path;

use sill::replay;

#[test]
fn every_trace_ends_as_stated() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let mut traces = 0;
    for file in fs::read_dir(folder).expect("the traces") {
        let file = file.expect("a file").path();
        if file.extension().is_some_and(|kind| kind == "jsonl") {
            let text = fs::read_to_string(&file).expect("a trace");
            let replayed = replay::run(&text);
            let replayed = replayed.unwrap_or_else(|err| panic!("{}: {err}", file.display()));
            assert!(replayed.outcomes > 0, "{} states no outcome", file.display());
            traces += 1;
        }
    }
    assert!(traces >= 3, "traces are missing");
}

/// A trace and the finding that it must give.
struct Case {
    name: &'static str,
    trace: &'static str,
    finding: &'static str,
}

const CASES: [Case; 5] = [
    Case { name: "empty", trace: "", finding: "line 1: expected the core's settings" },
    Case {
        name: "unknown core",
        trace: r#"{"core":"oracle"}"#,
        finding: "unknown variant `oracle`",
    },
    Case {
        name: "a line of another shape",
        trace: "{\"core\":\"claims\"}\n{\"at\":1}",
        finding: "line 2: ",
    },
    Case {
        name: "another outcome",
        trace: "{\"core\":\"claims\"}\n{\"at\":0,\"event\":{\"ask\":\"take\",\"key\":{\"account\":\"a\",\"key\":\"k\"},\"body\":\"b\",\"owner\":{\"entry\":\"e\",\"incarnation\":1,\"request\":\"r\"},\"retention\":1000}}\n{\"expect\":[{\"verdict\":\"done\"}]}",
        finding: "line 3: expected [{\"verdict\":\"done\"}], found [{\"verdict\":\"granted\"}]",
    },
    Case {
        name: "one action too few",
        trace: "{\"core\":\"claims\"}\n{\"expect\":[{}]}",
        finding: "line 2: expected [{}], found []",
    },
];

#[test]
fn a_trace_that_differs_is_noticed() {
    for case in CASES {
        let findings = replay::run(case.trace).expect_err(case.name).to_string();
        assert!(findings.contains(case.finding), "{}: {findings}", case.name);
    }
}
