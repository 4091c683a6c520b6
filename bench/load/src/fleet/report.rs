//! Text report of the policy comparison.

use std::fmt::Write;

use super::Row;
use super::sizes::SIZES;
use super::world::RUN_S;

/// Returns the report as Markdown, with one table per pool size.
pub fn text(rows: &[Row], seeds: u64) -> String {
    let mut text = String::from("# Fleet policies through a reclaim wave\n\n");
    let hours = RUN_S / 3600;
    let _ = writeln!(
        text,
        "Made by `sill-load fleet --seeds {seeds} --report docs/reports`: {seeds} runs of {hours} h \
         virtual time for each policy; the model and its assumptions stand in \
         bench/load/src/fleet/world.rs. Two failure domains are taken back, the second 20 min after \
         the first; a taken domain refuses reclaimable starts for 40 min, all others refuse 30 in \
         100 of them meanwhile. Prices are thousandths of an on-demand hour.\n"
    );
    for size in SIZES {
        let _ = writeln!(
            text,
            "## {}: {} slots at the peak, {} domains\n",
            size.name, size.peak_slots, size.domains
        );
        text.push_str(
            "| policy | price per 1,000 answered at target | answered at target | recomputed, running \
             | recomputed, cache | starts | refused | stops |\n|---|---|---|---|---|---|---|---|\n",
        );
        for row in rows.iter().filter(|r| r.size == size.name) {
            let t = &row.totals;
            let _ = writeln!(
                text,
                "| {:?} | {:.1} | {:.3} % | {} | {} | {} | {} | {} |",
                row.policy,
                t.price_per_1000() * 1000.0,
                100.0 * t.answered / t.asked.max(1.0),
                t.recomputed_running,
                t.recomputed_cache,
                t.starts,
                t.refused,
                t.stops
            );
        }
        let _ = writeln!(text, "\n![slots over time](fleet-{}.svg)\n", size.name);
    }
    text
}
