//! Plots an experiment as SVG: one panel per measure, one bar per deployment and policy.

use crate::experiment::{Row, Spread};
use anyhow::{Result, anyhow};
use plotters::prelude::*;
use std::path::Path;

const PANEL_WIDTH: u32 = 460;
const PANEL_HEIGHT: u32 = 340;
const HEADROOM: f64 = 1.15;

/// A panel's title and the value that it shows.
type Panel = (&'static str, fn(&Row) -> &Spread);

const PANELS: [Panel; 4] = [
    ("trainer idle, %", |row| &row.idle),
    ("staleness, versions behind", |row| &row.staleness),
    ("first token p99, ms", |row| &row.first_token_p99),
    ("whole answer p99, ms", |row| &row.answer_p99),
];

/// Writes the plot to `file`. Bars show means, thin lines the range over the seeds.
pub fn write(rows: &[Row], file: &Path) -> Result<()> {
    let size = (PANEL_WIDTH * 2, PANEL_HEIGHT * 2);
    let area = SVGBackend::new(file, size).into_drawing_area();
    let result = draw(&area, rows).and_then(|()| area.present());
    result.map_err(|error| anyhow!("{}: {error}", file.display()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw<'a>(area: &Area<'a>, rows: &[Row]) -> Result<(), DrawError<'a>> {
    area.fill(&WHITE)?;
    for (panel, (title, value)) in area.split_evenly((2, 2)).iter().zip(PANELS) {
        draw_panel(panel, title, rows, value)?;
    }
    Ok(())
}

fn draw_panel<'a>(area: &Area<'a>, title: &str, rows: &[Row], value: fn(&Row) -> &Spread) -> Result<(), DrawError<'a>> {
    let top = rows.iter().map(|row| value(row).greatest).fold(0.0, f64::max) * HEADROOM;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(56)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..rows.len() as f64, 0.0..top.max(0.1))?;
    let label = |index: &f64| {
        let row = rows.get(*index as usize);
        row.map_or(String::new(), |row| format!("{} {}", row.deployment, row.policy))
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(rows.len())
        .x_label_formatter(&label)
        .x_label_style(("sans-serif", 9).into_font().transform(FontTransform::Rotate90))
        .draw()?;
    for (index, row) in rows.iter().enumerate() {
        let (left, spread) = (index as f64, value(row));
        let color = Palette99::pick(index % 4).to_rgba();
        let bar = Rectangle::new([(left + 0.15, 0.0), (left + 0.85, spread.mean)], color.filled());
        let range = PathElement::new(vec![(left + 0.5, spread.least), (left + 0.5, spread.greatest)], BLACK);
        chart.draw_series([bar])?;
        chart.draw_series([range])?;
    }
    Ok(())
}
