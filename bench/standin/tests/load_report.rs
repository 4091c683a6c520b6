//! Tests of the age of load reports.

use sill_base::Millis;
use sill_standin::load_report::LoadReport;
use sill_wire::Load;

/// If a report states the current load with the age of an older sample, the entry instance
/// attributes the requests that it sent in between to others, counts them twice, and refuses
/// callers despite free slots.
#[test]
fn a_report_is_as_old_as_it_says() {
    struct Case {
        name: &'static str,
        /// Times of the samples; the n-th sample has n running requests.
        samples: &'static [u64],
        now: u64,
        expected: (u32, u64),
    }
    let cases = [
        Case { name: "before any sample", samples: &[], now: 300, expected: (0, 300) },
        Case { name: "the newest is too new", samples: &[50, 250], now: 300, expected: (1, 250) },
        Case { name: "one just old enough", samples: &[50, 100], now: 300, expected: (2, 200) },
        Case { name: "a late announcement", samples: &[50, 100], now: 900, expected: (2, 800) },
        Case { name: "many", samples: &[50, 100, 150, 200, 250], now: 360, expected: (3, 210) },
    ];
    for Case { name, samples, now, expected: (running, age) } in cases {
        let mut report = LoadReport::new(Millis(200));
        for (i, at) in samples.iter().enumerate() {
            let running = i as u32 + 1;
            report.sample(Millis(*at), Load { running, ..Load::default() });
        }
        let load = report.report_at(Millis(now));
        assert_eq!((load.running, load.age), (running, Millis(age)), "{name}");
    }
}
