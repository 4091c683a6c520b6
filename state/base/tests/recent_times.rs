//! Quantiles of the times of the last while.

use sill_base::{Millis, RecentTimes};

const SPAN: Millis = Millis(1000);

#[test]
fn a_quantile_is_known_to_a_quarter_and_forgotten_after_two_spans() {
    struct Case {
        name: &'static str,
        /// When each time was noted, and the time.
        noted: &'static [(u64, u64)],
        at: u64,
        part: f64,
        /// The time meant; the answer lies between it and a quarter more.
        expected: Option<u64>,
    }
    let cases = [
        Case { name: "none", noted: &[], at: 5000, part: 0.9, expected: None },
        Case { name: "one", noted: &[(100, 40)], at: 200, part: 0.9, expected: Some(40) },
        Case { name: "no time at all", noted: &[(100, 0)], at: 200, part: 0.9, expected: Some(1) },
        Case {
            name: "the middle of five",
            noted: &[(1, 10), (2, 5000), (3, 80), (4, 20), (5, 400)],
            at: 10,
            part: 0.5,
            expected: Some(80),
        },
        Case {
            name: "one slow one in ten is left out",
            noted: &[
                (1, 100),
                (2, 100),
                (3, 100),
                (4, 9000),
                (5, 100),
                (6, 100),
                (7, 100),
                (8, 100),
                (9, 100),
                (10, 100),
            ],
            at: 10,
            part: 0.9,
            expected: Some(100),
        },
        Case {
            name: "the span before counts",
            noted: &[(0, 3000), (1200, 50)],
            at: 1300,
            part: 0.9,
            expected: Some(3000),
        },
        Case {
            name: "the one before that does not",
            noted: &[(0, 3000), (1200, 50), (2400, 50)],
            at: 2500,
            part: 0.9,
            expected: Some(50),
        },
        Case { name: "too old", noted: &[(0, 3000)], at: 2000, part: 0.9, expected: None },
        Case {
            name: "beyond all classes",
            noted: &[(0, 9_000_000)],
            at: 1,
            part: 0.9,
            expected: Some(240_000),
        },
    ];
    for case in cases {
        let mut times = RecentTimes::default();
        for (at, time) in case.noted {
            times.record(Millis(*at), SPAN, Millis(*time));
        }
        let got = times.quantile(Millis(case.at), SPAN, case.part).map(|time| time.0);
        let is_right = match (got, case.expected) {
            (Some(got), Some(expected)) => (expected..=expected + expected / 4 + 1).contains(&got),
            (got, expected) => got == expected,
        };
        assert!(is_right, "{}: {got:?}, not {:?}", case.name, case.expected);
    }
}
