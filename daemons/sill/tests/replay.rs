//! Recorded traces replay with the outcomes that they state, and a replay reports every difference.

use std::fs;
use std::path::Path;

use sill::replay;

/// A change of a core changes the outcome of a recorded run, for example of one that once failed.
#[test]
fn every_trace_has_its_stated_outcomes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let mut traces = 0;
    for file in fs::read_dir(folder).expect("the trace folder can be read") {
        let file = file.expect("the folder entry can be read").path();
        if file.extension().is_some_and(|extension| extension == "jsonl") {
            let trace = fs::read_to_string(&file).expect("the trace can be read");
            let replayed = replay::run(&trace);
            let replayed = replayed.unwrap_or_else(|err| panic!("{}: {err}", file.display()));
            assert!(replayed.outcomes > 0, "{} states no outcome", file.display());
            traces += 1;
        }
    }
    assert!(traces >= 3, "expected at least 3 traces, found {traces}");
}

/// An invalid or differing trace, and a part of the finding that its replay must report.
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

/// A replay that accepts a trace with another outcome, or one that it can't read, checks nothing.
#[test]
fn a_trace_that_differs_is_reported() {
    for case in CASES {
        let finding = replay::run(case.trace).expect_err(case.name).to_string();
        assert!(finding.contains(case.finding), "{}: {finding}", case.name);
    }
}
