//! Quantiles of recent durations: they must be accurate to a bucket, and old durations must not
//! count.

use sill_base::{Millis, RecentTimes};

const WINDOW: Millis = Millis(1000);

#[test]
fn a_quantile_is_accurate_to_a_quarter_and_expires_after_two_windows() {
    struct Case {
        name: &'static str,
        /// The time of each record and the recorded duration, in order.
        records: &'static [(u64, u64)],
        at: u64,
        quantile: f64,
        /// The exact quantile; the result may exceed it by up to a quarter.
        expected: Option<u64>,
    }
    let cases = [
        Case { name: "no duration", records: &[], at: 5000, quantile: 0.9, expected: None },
        Case {
            name: "one duration",
            records: &[(100, 40)],
            at: 200,
            quantile: 0.9,
            expected: Some(40),
        },
        Case {
            name: "a duration of zero",
            records: &[(100, 0)],
            at: 200,
            quantile: 0.9,
            expected: Some(1),
        },
        Case {
            name: "the median of five",
            records: &[(1, 10), (2, 5000), (3, 80), (4, 20), (5, 400)],
            at: 10,
            quantile: 0.5,
            expected: Some(80),
        },
        Case {
            name: "one slow duration in ten is left out",
            records: &[
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
            quantile: 0.9,
            expected: Some(100),
        },
        Case {
            name: "the previous window counts",
            records: &[(0, 3000), (1200, 50)],
            at: 1300,
            quantile: 0.9,
            expected: Some(3000),
        },
        Case {
            name: "the window before the previous does not count",
            records: &[(0, 3000), (1200, 50), (2400, 50)],
            at: 2500,
            quantile: 0.9,
            expected: Some(50),
        },
        Case { name: "too old", records: &[(0, 3000)], at: 2000, quantile: 0.9, expected: None },
        Case {
            name: "beyond the last bucket",
            records: &[(0, 9_000_000)],
            at: 1,
            quantile: 0.9,
            expected: Some(240_000),
        },
    ];
    for case in cases {
        let mut times = RecentTimes::default();
        for (at, time) in case.records {
            times.record(Millis(*at), WINDOW, Millis(*time));
        }
        let got = times.quantile(Millis(case.at), WINDOW, case.quantile).map(|time| time.0);
        let is_right = match (got, case.expected) {
            (Some(got), Some(expected)) => (expected..=expected + expected / 4 + 1).contains(&got),
            (got, expected) => got == expected,
        };
        assert!(is_right, "{}: got {got:?}, expected {:?}", case.name, case.expected);
    }
}
