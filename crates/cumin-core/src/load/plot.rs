//! Draws a report: latency by percentile, and outcomes over time.

use std::collections::BTreeSet;
use std::fmt::Display;

use plotters::prelude::*;

use super::{Latency, Report};

const SIZE: (u32, u32) = (900, 900);
const FONT: (&str, u32) = ("sans-serif", 15);

/// Returns the plot as SVG.
pub(super) fn svg(report: &Report) -> Result<String, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(told)?;
        let (upper, lower) = area.split_vertically(SIZE.1 / 2);
        latencies(&upper, report)?;
        outcomes(&lower, report)?;
        area.present().map_err(told)?;
    }
    Ok(text)
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn told(error: impl Display) -> String {
    error.to_string()
}

/// Number of nines of a percentile: 90 is 1, 99 is 2.
fn nines(percentile: f64) -> f64 {
    -(1.0 - percentile / 100.0).log10()
}

fn latencies(area: &Area<'_>, report: &Report) -> Result<(), String> {
    let lines: [(&str, &Latency); 3] = [
        ("first token", &report.first),
        ("between tokens", &report.between),
        ("total", &report.total),
    ];
    let most = lines
        .iter()
        .map(|(_, latency)| latency.max)
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("Latency by percentile, from the time a call was due", FONT)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..4.0, (0.01..most * 1.5).log_scale())
        .map_err(told)?;
    chart
        .configure_mesh()
        .x_labels(5)
        .x_label_formatter(&|at| format!("{}", 100.0 - 100.0 * 10f64.powf(-at)))
        .x_desc("percentile")
        .y_desc("ms")
        .draw()
        .map_err(told)?;
    for (number, (name, latency)) in lines.into_iter().enumerate() {
        let points = latency
            .curve
            .iter()
            .map(|(percentile, ms)| (nines(*percentile), ms.max(0.01)));
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, &colour))
            .map_err(told)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .draw()
        .map_err(told)
}

fn outcomes(area: &Area<'_>, report: &Report) -> Result<(), String> {
    let names: BTreeSet<_> = report
        .timeline
        .iter()
        .flat_map(|second| second.keys())
        .collect();
    let most = report.timeline.iter().flat_map(|second| second.values());
    let most = most.copied().max().unwrap_or(0) + 1;
    let mut chart = ChartBuilder::on(area)
        .caption("Outcomes of the calls due in each second", FONT)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(0..report.timeline.len().max(1), 0..most)
        .map_err(told)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("calls")
        .draw()
        .map_err(told)?;
    for (number, name) in names.into_iter().enumerate() {
        let counts = report
            .timeline
            .iter()
            .map(|second| second.get(name).copied());
        let points = counts.map(Option::unwrap_or_default).enumerate();
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, &colour))
            .map_err(told)?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .border_style(BLACK)
        .draw()
        .map_err(told)
}
