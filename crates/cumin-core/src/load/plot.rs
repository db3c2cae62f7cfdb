//! Plot of a report: latency by percentile, and outcomes over time.

use std::collections::BTreeSet;
use std::fmt::Display;

use plotters::prelude::*;

use super::{Latency, Report};

const SIZE_PIXELS: (u32, u32) = (900, 900);
const FONT: (&str, u32) = ("sans-serif", 15);

/// Returns the plot as SVG.
pub(super) fn svg(report: &Report) -> Result<String, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE_PIXELS).into_drawing_area();
        area.fill(&WHITE).map_err(error_text)?;
        let (upper, lower) = area.split_vertically(SIZE_PIXELS.1 / 2);
        draw_latencies(&upper, report)?;
        draw_outcomes(&lower, report)?;
        area.present().map_err(error_text)?;
    }
    Ok(text)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn error_text(error: impl Display) -> String {
    error.to_string()
}

/// Returns the number of nines of a percentile: 1 for 90, 2 for 99.
fn nines(percentile: f64) -> f64 {
    -(1.0 - percentile / 100.0).log10()
}

fn draw_latencies(area: &Area<'_>, report: &Report) -> Result<(), String> {
    let lines: [(&str, &Latency); 3] = [
        ("first token", &report.first),
        ("between tokens", &report.between),
        ("total", &report.total),
    ];
    let max_ms = lines
        .iter()
        .map(|(_, latency)| latency.max)
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("Latency by percentile, from the time a call was due", FONT)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..4.0, (0.01..max_ms * 1.5).log_scale())
        .map_err(error_text)?;
    chart
        .configure_mesh()
        .x_labels(5)
        .x_label_formatter(&|nines| format!("{}", 100.0 - 100.0 * 10f64.powf(-nines)))
        .x_desc("percentile")
        .y_desc("ms")
        .draw()
        .map_err(error_text)?;
    for (number, (name, latency)) in lines.into_iter().enumerate() {
        let points = latency
            .curve
            .iter()
            .map(|(percentile, ms)| (nines(*percentile), ms.max(0.01)));
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, &colour))
            .map_err(error_text)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .draw()
        .map_err(error_text)
}

fn draw_outcomes(area: &Area<'_>, report: &Report) -> Result<(), String> {
    let names: BTreeSet<_> = report
        .timeline
        .iter()
        .flat_map(|second| second.keys())
        .collect();
    let outcome_counts = report.timeline.iter().flat_map(|second| second.values());
    let axis_end = outcome_counts.copied().max().unwrap_or(0) + 1;
    let mut chart = ChartBuilder::on(area)
        .caption("Outcomes of the calls due in each second", FONT)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(0..report.timeline.len().max(1), 0..axis_end)
        .map_err(error_text)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("calls")
        .draw()
        .map_err(error_text)?;
    for (number, name) in names.into_iter().enumerate() {
        let counts = report
            .timeline
            .iter()
            .map(|second| second.get(name).copied());
        let points = counts.map(Option::unwrap_or_default).enumerate();
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, &colour))
            .map_err(error_text)?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .border_style(BLACK)
        .draw()
        .map_err(error_text)
}
