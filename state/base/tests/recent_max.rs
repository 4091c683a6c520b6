//! The maximum of recent values: values must neither be dropped too early nor kept too long.

use sill_base::{Millis, RecentMax};

#[test]
fn a_value_counts_for_one_to_two_windows() {
    struct Case {
        name: &'static str,
        /// The time and value of each record, in order.
        records: &'static [(u64, f64)],
        at: u64,
        expected: Option<f64>,
    }
    let case = |name, records, at, expected| Case { name, records, at, expected };
    let cases = [
        case("no value yet", &[], 0, Some(0.0)),
        case("no value for two windows", &[], 20, None),
        case("the maximum of one window", &[(1, 5.0), (2, 3.0)], 2, Some(5.0)),
        case("a value of the previous window", &[(9, 5.0), (11, 3.0)], 12, Some(5.0)),
        case("a value of two windows ago", &[(9, 5.0), (11, 3.0), (21, 2.0)], 21, Some(3.0)),
        case("after a gap without values", &[(9, 5.0), (40, 2.0)], 41, Some(2.0)),
        case("in a gap without values", &[(12, 5.0)], 40, None),
    ];
    for case in cases {
        let window = Millis(10);
        let mut max = RecentMax::default();
        for (at, value) in case.records {
            max.record(Millis(*at), window, *value);
        }
        assert_eq!(max.max(Millis(case.at), window), case.expected, "{}", case.name);
    }
}
