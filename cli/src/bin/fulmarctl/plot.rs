//! Plots of attainment and goodput against load.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;

use crate::run::Outcome;
use crate::run::Run;

/// Width and height of the image in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Data point of a run.
#[derive(Clone, Debug)]
pub(crate) struct Point {
    policy: &'static str,
    load: f64,
    attainment: f64,
    goodput: f64,
}

impl Point {
    /// Creates the data point of a run.
    pub(crate) fn new(run: &Run, outcome: &Outcome) -> Self {
        Self {
            policy: run.policy.name(),
            load: run.load,
            attainment: outcome.report.attainment,
            goodput: outcome.report.goodput as f64 / run.duration.as_secs_f64(),
        }
    }
}

/// Writes both charts side by side into an SVG file.
pub(crate) fn write(path: &Path, points: &[Point]) -> eyre::Result<()> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (left, right) = area.split_horizontally(SIZE.0 / 2);
    draw(&left, "attainment (share of requests)", points, |p| {
        p.attainment
    })?;
    draw(&right, "goodput (weight a second)", points, |p| p.goodput)?;
    area.present()?;
    Ok(())
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(
    area: &Area<'_>,
    title: &str,
    points: &[Point],
    value: impl Fn(&Point) -> f64,
) -> eyre::Result<()> {
    let loads = points.iter().map(|p| p.load).fold(0.0, f64::max) * 1.05;
    let top = points.iter().map(&value).fold(0.0, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..loads, 0.0..top.max(f64::EPSILON))?;
    chart.configure_mesh().x_desc("load / capacity").draw()?;
    let mut lines: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for point in points {
        let line = lines.entry(point.policy).or_default();
        line.push((point.load, value(point)));
    }
    for (i, (policy, line)) in lines.into_iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)).point_size(3))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    Ok(())
}
