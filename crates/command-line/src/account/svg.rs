//! Draws the account as SVG: the steps over time, and the number of items and weight loads in progress.

use crate::account::steps::Account;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

/// Width and height in pixels.
const SIZE: (u32, u32) = (1_000, 760);

/// Height of the panel of steps in pixels.
const STEPS_HEIGHT: u32 = 400;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

/// Writes the SVG to `file`; the error names the file and the reason.
pub fn write(account: &Account, file: &Path) -> Result<(), String> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    let drawn = draw(&area, account).and_then(|()| area.present());
    drawn.map_err(|error| format!("{}: {error}", file.display()))
}

fn draw<'a>(area: &Area<'a>, account: &Account) -> Result<(), DrawError<'a>> {
    area.fill(&WHITE)?;
    let (steps, usage) = area.split_vertically(STEPS_HEIGHT);
    draw_steps(&steps, account)?;
    let seconds = account.length.ceil().max(1.0) as usize;
    let (items, loads) = usage.split_vertically((SIZE.1 - STEPS_HEIGHT) / 2);
    draw_usage(&items, "items at engines", &account.attempts.by_second(seconds))?;
    draw_usage(&loads, "weight loads in progress", &account.loads.by_second(seconds))
}

/// Draws a bar for each step, with one row per model; odd and even steps are offset vertically.
fn draw_steps<'a>(area: &Area<'a>, account: &Account) -> Result<(), DrawError<'a>> {
    let models = account.models();
    let mut chart = ChartBuilder::on(area)
        .caption("steps, from start to end", ("sans-serif", 15))
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(110)
        .build_cartesian_2d(0.0..account.length.max(1.0), 0.0..models.len() as f64)?;
    let label = |row: &f64| models.get(*row as usize).map_or(String::new(), |model| model.to_string());
    chart.configure_mesh().disable_y_mesh().y_labels(models.len()).y_label_formatter(&label).draw()?;
    for step in &account.steps {
        let row = models.iter().position(|model| *model == step.model).unwrap_or_default() as f64;
        let offset = if step.step.is_multiple_of(2) { 0.1 } else { 0.5 };
        let corners = [(step.open.from, row + offset), (step.open.to, row + offset + 0.35)];
        chart.draw_series([Rectangle::new(corners, Palette99::pick(row as usize).filled())])?;
    }
    Ok(())
}

fn draw_usage<'a>(area: &Area<'a>, title: &str, by_second: &[f64]) -> Result<(), DrawError<'a>> {
    let top = by_second.iter().copied().fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 15))
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(110)
        .build_cartesian_2d(0.0..by_second.len() as f64, 0.0..top)?;
    chart.configure_mesh().disable_x_mesh().y_labels(5).draw()?;
    let bar = |(second, value): (usize, &f64)| {
        Rectangle::new([(second as f64, 0.0), (second as f64 + 1.0, *value)], BLUE.mix(0.4).filled())
    };
    chart.draw_series(by_second.iter().enumerate().map(bar))?;
    Ok(())
}
