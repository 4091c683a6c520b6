//! Plots of wanted and ready slots over time.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use super::Row;
use super::sizes::Size;
use super::world::RUN_S;

/// Line colours, in the order of the compared policies.
const COLOURS: [RGBColor; 4] =
    [RGBColor(0, 90, 160), RGBColor(120, 120, 120), RGBColor(190, 30, 30), RGBColor(210, 150, 0)];

/// Plots the wanted slots, and the ready slots of each policy, to an SVG file.
pub fn capacity(path: &Path, size: &Size, rows: &[Row]) -> Result<()> {
    let rows: Vec<&Row> = rows.iter().filter(|r| r.size == size.name).collect();
    let highest = rows.iter().flat_map(|r| &r.trace).map(|s| s.ready.max(s.wanted)).max();
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    let draw_error = |err: &dyn std::fmt::Display| eyre!("{}: {err}", path.display());
    root.fill(&WHITE).map_err(|err| draw_error(&err))?;
    let hours = RUN_S as f64 / 3600.0;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{}: slots ready by policy", size.name), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..hours, 0.0..f64::from(highest.unwrap_or(1)) * 1.05)
        .map_err(|err| draw_error(&err))?;
    chart
        .configure_mesh()
        .x_desc("hours")
        .y_desc("slots")
        .draw()
        .map_err(|err| draw_error(&err))?;
    let hour = |at: u64| at as f64 / 3600.0;
    if let Some(row) = rows.first() {
        let wanted = row.trace.iter().map(|s| (hour(s.at), f64::from(s.wanted)));
        chart
            .draw_series(LineSeries::new(wanted, BLACK.stroke_width(2)))
            .map_err(|err| draw_error(&err))?
            .label("wanted")
            .legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLACK));
    }
    for (row, colour) in rows.iter().zip(COLOURS) {
        let ready = row.trace.iter().map(|s| (hour(s.at), f64::from(s.ready)));
        chart
            .draw_series(LineSeries::new(ready, &colour))
            .map_err(|err| draw_error(&err))?
            .label(format!("{:?}", row.policy))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|err| draw_error(&err))?;
    root.present().map_err(|err| draw_error(&err))
}
