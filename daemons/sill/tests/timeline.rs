//! `sill timeline`: the log lines of one request from several log files.

use sill::verbs::timeline::{Log, timeline};

fn log(name: &str, lines: &[&str]) -> Log {
    Log { name: name.to_owned(), text: lines.join("\n") }
}

/// A caller's stream was cut. The entry instance's log has the attempts, and only the control
/// instance's log says that the endpoint was being reclaimed. If the lines of both are not merged
/// by time, or the lines of other requests are among them, the cause is not visible.
#[test]
fn lines_of_several_logs_are_merged_by_time() {
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
        expected: &'static [&'static str],
    }
    let cases = [
        Case { id: "abc", expected: &["4900 control-1", "5000 entry-1", "5100 entry-1"] },
        Case { id: "other", expected: &["1000 entry-1", "1500 control-1"] },
        Case { id: "nobody", expected: &[] },
    ];
    for Case { id, expected } in cases {
        let lines = timeline(id, &[entry.clone(), control.clone()]);
        let sources: Vec<String> = lines.iter().map(|l| format!("{} {}", l.at, l.log)).collect();
        assert_eq!(sources, expected, "{id}: {lines:#?}");
    }
}

/// A caller takes its stream up at another instance under another id, and the versions of its tries
/// can't be compared.
#[test]
fn all_tries_at_a_stream_are_shown_for_each_of_them() {
    let first = "at=1 level=INFO event=call id=a endpoint=e1 software=v1 outcome=cut";
    let second = "at=5 level=INFO event=stream_taken_up id=b resumes=a result=known software=v1";
    let third = "at=9 level=WARN event=stream_taken_up id=c resumes=a result=unknown software=\"\"";
    let other = "at=6 level=INFO event=stream_taken_up id=d resumes=x result=known software=v2";
    let logs = [log("g0", &[first]), log("g1", &[second, other]), log("g2", &[third])];
    for id in ["a", "b", "c"] {
        let shown: Vec<u64> = timeline(id, &logs).iter().map(|entry| entry.at.0).collect();
        assert_eq!(shown, [1, 5, 9], "{id}");
    }
}
