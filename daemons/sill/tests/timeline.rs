//! What log files tell of one request.

use sill::verbs::timeline::{Log, timeline};

fn log(name: &str, lines: &[&str]) -> Log {
    Log { name: name.to_owned(), text: lines.join("\n") }
}

/// A caller complains that its stream broke off. The entry instance's log has the attempts, and only the
/// control instance's log tells that the endpoint was just being taken back. Side by side, in the order of
/// time, and without the lines of other requests, they show it.
#[test]
fn lines_of_several_logs_are_put_together() {
    let entry = log(
        "entry-1",
        &[
            r#"at=1000 level=INFO event=call id=other outcome=answered endpoint=i-1"#,
            r#"at=5000 level=WARN event=attempt_failed id=abc endpoint=i-1 why="reset by peer""#,
            r#"collected 12 at=5100 level=INFO event=call id=abc/1 outcome=cut endpoint=i-2"#,
            r#"at=5200 level=INFO event=call id=abcd outcome=answered endpoint=i-9"#,
        ],
    );
    let control = log(
        "control-1",
        &[
            r#"at=1500 level=INFO event=endpoint_heard endpoint=i-1 state="Ready""#,
            r#"at=4900 level=INFO event=endpoint_heard endpoint=i-1 state="Leaving""#,
            r#"at=4950 level=INFO event=endpoint_heard endpoint=i-7 state="Leaving""#,
            r#"at=4960 level=INFO event=role role=Leader endpoint=i-1"#,
        ],
    );
    struct Case {
        id: &'static str,
        told: &'static [&'static str],
    }
    let cases = [
        Case { id: "abc", told: &["4900 control-1", "5000 entry-1", "5100 entry-1"] },
        Case { id: "other", told: &["1000 entry-1", "1500 control-1"] },
        Case { id: "nobody", told: &[] },
    ];
    for Case { id, told } in cases {
        let lines = timeline(id, &[entry.clone(), control.clone()]);
        let heads: Vec<String> = lines.iter().map(|l| format!("{} {}", l.at, l.log)).collect();
        assert_eq!(heads, told, "{id}: {lines:#?}");
    }
}
