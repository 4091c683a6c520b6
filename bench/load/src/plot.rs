//! Plots the latency distributions of a report.

use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::*;

use crate::report::{Report, TimeDistribution};

/// Width and height of the plot in pixels.
const SIZE_PX: (u32, u32) = (900, 540);

/// Plots the latency distributions of a report to an SVG file.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn draw(report: &Report, file: &Path) -> Result<()> {
    draw_on(&SVGBackend::new(file, SIZE_PX).into_drawing_area(), report)
        .map_err(|err| eyre!("{}: {err}", file.display()))
}

fn draw_on<B>(
    area: &DrawingArea<B, plotters::coord::Shift>,
    report: &Report,
) -> Result<(), DrawingAreaErrorKind<B::ErrorType>>
where
    B: DrawingBackend,
{
    area.fill(&WHITE)?;
    let curves = [
        ("time to first token", &report.ttft, BLUE),
        ("between tokens", &report.between_tokens, GREEN),
        ("total", &report.total, RED),
    ];
    let longest = curves.iter().map(|(_, times, _)| times.quantile_ms(1.0)).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(44)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..nines(1.0), (0.01..longest * 1.2).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("share of requests, as nines: 1 is 90%, 2 is 99%, 3 is 99.9%")
        .y_desc("milliseconds")
        .draw()?;
    for (_, times, color) in curves {
        chart.draw_series(LineSeries::new(points(times), &color))?;
        let dots = points(times).into_iter().map(|at| Circle::new(at, 3, color.filled()));
        chart.draw_series(dots)?;
    }
    let names = curves.iter().enumerate().map(|(i, (name, times, color))| {
        let text = format!("{name} ({} times)", times.count);
        Text::new(text, (90, 24 + 18 * i as i32), ("sans-serif", 14).into_font().color(color))
    });
    for name in names {
        area.draw(&name)?;
    }
    area.present()
}

fn points(times: &TimeDistribution) -> Vec<(f64, f64)> {
    if times.count == 0 {
        return Vec::new();
    }
    times.points.iter().map(|point| (nines(point.quantile), point.ms.max(0.01))).collect()
}

/// Returns the number of nines of a quantile; this scale spreads out the slow end. Quantiles above
/// 0.99999 are drawn there, since 1.0 would be infinite.
fn nines(quantile: f64) -> f64 {
    const MIN_TAIL_SHARE: f64 = 0.000_01;
    -(1.0 - quantile).max(MIN_TAIL_SHARE).log10()
}
