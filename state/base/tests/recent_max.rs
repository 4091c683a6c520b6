//! The largest figure of the last while.

use sill_base::{Millis, RecentMax};

#[test]
fn a_figure_counts_for_one_to_two_spans() {
    struct Case {
        name: &'static str,
        /// When figures come, and which.
        figures: &'static [(u64, f64)],
        at: u64,
        expected: Option<f64>,
    }
    let case = |name, figures, at, expected| Case { name, figures, at, expected };
    let cases = [
        case("none yet", &[], 0, Some(0.0)),
        case("none for two spans", &[], 20, None),
        case("the largest", &[(1, 5.0), (2, 3.0)], 2, Some(5.0)),
        case("of the span before", &[(9, 5.0), (11, 3.0)], 12, Some(5.0)),
        case("of two spans before", &[(9, 5.0), (11, 3.0), (21, 2.0)], 21, Some(3.0)),
        case("after a gap", &[(9, 5.0), (40, 2.0)], 41, Some(2.0)),
        case("in a gap", &[(12, 5.0)], 40, None),
    ];
    for case in cases {
        let span = Millis(10);
        let mut max = RecentMax::default();
        for (at, figure) in case.figures {
            max.record(Millis(*at), span, *figure);
        }
        assert_eq!(max.max(Millis(case.at), span), case.expected, "{}", case.name);
    }
}
