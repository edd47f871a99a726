//! Scale runs: measures several sizes along one dimension and extrapolates linearly to the planned size.

pub mod fit;
pub mod hollow;
pub mod point;

use crate::process::own_executable;
use crate::run::run_folder;
use anyhow::Result;
use fit::Line;
use point::{Measured, Size, measure};
use saddlerelay_scenarios::deployment::{Deployment, fund};
use serde::Serialize;

/// Planned number of relays.
pub const PLANNED_RELAYS: f64 = 390.0;
/// Planned number of engines.
pub const PLANNED_ENGINES: f64 = 1_500.0;
/// Planned requests per second.
pub const PLANNED_REQUESTS: f64 = 1_800.0;

/// Numbers of relays and engines in series that do not vary them.
const FEW_RELAYS: usize = 10;
const FEW_ENGINES: usize = 100;

/// A series of sizes that vary along one dimension.
struct Series {
    name: &'static str,
    /// Name of the varied dimension.
    along: &'static str,
    /// Planned value of the dimension.
    planned: f64,
    sizes: Vec<Size>,
    /// Value of the varied dimension.
    varied: fn(&Size) -> f64,
}

/// The measurements of a series.
#[derive(Serialize)]
pub struct MeasuredSeries {
    name: String,
    along: String,
    planned: f64,
    points: Vec<(Size, Measured)>,
}

fn base() -> Size {
    Size { relays: FEW_RELAYS, engines: FEW_ENGINES, claims_per_second: 0, answer_tokens: 24, weights: false }
}

fn all_series() -> Vec<Series> {
    let relays = [50, 100, 200, 390].map(|relays| Size { relays, ..base() });
    let engines = [200, 400, 800, 1500].map(|engines| Size { engines, weights: true, ..base() });
    let claims = [100, 200, 400, 800].map(|claims_per_second| Size { claims_per_second, ..base() });
    let responses = [24, 200, 600, 1200].map(|answer_tokens| Size { claims_per_second: 100, answer_tokens, ..base() });
    let combined =
        [100, 200, 300, 390].map(|relays| Size { relays, engines: relays * 1500 / 390, weights: true, ..base() });
    vec![
        Series {
            name: "relays",
            along: "relays",
            planned: PLANNED_RELAYS,
            sizes: relays.to_vec(),
            varied: |size| size.relays as f64,
        },
        Series {
            name: "engines",
            along: "engines",
            planned: PLANNED_ENGINES,
            sizes: engines.to_vec(),
            varied: |size| size.engines as f64,
        },
        Series {
            name: "claims",
            along: "claims/s",
            planned: PLANNED_REQUESTS,
            sizes: claims.to_vec(),
            varied: |size| size.claims_per_second as f64,
        },
        Series {
            name: "answers",
            along: "tokens",
            planned: PLANNED_REQUESTS,
            sizes: responses.to_vec(),
            varied: |size| f64::from(size.answer_tokens),
        },
        Series {
            name: "whole",
            along: "relays, 1500/390 engines each",
            planned: PLANNED_RELAYS,
            sizes: combined.to_vec(),
            varied: |size| size.relays as f64,
        },
    ]
}

/// Selects one value of a measurement.
type Value = fn(&Measured) -> f64;

/// Values that are fitted, with names and units.
const FITTED_VALUES: &[(&str, Value)] = &[
    ("leader, % of a core", |measured| measured.leader_core),
    ("follower, % of a core", |measured| measured.follower_core),
    ("leader memory, MB", |measured| measured.leader_memory),
    ("leader traffic, KB/s", |measured| measured.leader_traffic),
    ("idle relay, % of a core", |measured| measured.relay_core),
    ("idle relay memory, MB", |measured| measured.relay_memory),
    ("idle relay traffic, KB/s", |measured| measured.relay_traffic),
    ("idle relay frames, 1/s", |measured| measured.relay_frames),
    ("hollow relay, % of a core", |measured| measured.hollow_relay_core),
    ("in force, slowest change, ms", |measured| measured.in_force_max as f64),
    ("weights everywhere, ms", |measured| measured.weights_everywhere.unwrap_or(0) as f64),
    ("claim granted p50, us", |measured| measured.grant_p50 as f64),
    ("claim granted p99, us", |measured| measured.grant_p99 as f64),
];

/// Runs the series with the given name, or all, and prints each one when it is complete.
pub async fn run(only: Option<&str>) -> Result<Vec<MeasuredSeries>> {
    let executable = own_executable()?;
    let mut all = Vec::new();
    for series in all_series() {
        if only.is_some_and(|name| name != series.name) {
            continue;
        }
        let mut points = Vec::new();
        for size in &series.sizes {
            eprintln!("{}: {} {}", series.name, (series.varied)(size), series.along);
            let folder = run_folder();
            let measured = measure(deployment(size), *size, &executable, &folder).await;
            std::fs::remove_dir_all(&folder)?;
            points.push((*size, measured?));
        }
        print_series(&series, &points);
        let (name, along) = (series.name.to_string(), series.along.to_string());
        all.push(MeasuredSeries { name, along, planned: series.planned, points });
    }
    Ok(all)
}

/// One model with its engines, five control replicas and two real relays.
fn deployment(size: &Size) -> Deployment {
    let mut deployment = fund();
    deployment.name = "scale".to_string();
    deployment.relays = 2;
    deployment.engines.truncate(1);
    deployment.engines[0].count = size.engines as u32;
    deployment.tenants.clear();
    deployment
}

fn print_series(series: &Series, points: &[(Size, Measured)]) {
    println!("\nseries `{}` along {}; planned for {}", series.name, series.along, series.planned);
    let varied_values: Vec<String> = points.iter().map(|(size, _)| format!("{:>9}", (series.varied)(size))).collect();
    println!("{:<30} {}      slope      R2   at planned size", "", varied_values.join(" "));
    for (name, value) in FITTED_VALUES {
        let values: Vec<(f64, f64)> =
            points.iter().map(|(size, measured)| ((series.varied)(size), value(measured))).collect();
        if values.iter().all(|(_, y)| *y == 0.0) {
            continue;
        }
        let cells: Vec<String> = values.iter().map(|(_, y)| format!("{y:>9.2}")).collect();
        let line = Line::fit(&values);
        let fitted = line.map_or(String::new(), |line| {
            format!("{:>10.5} {:>7.3} {:>12.2}", line.slope, line.r_squared, line.predict(series.planned))
        });
        println!("{name:<30} {} {fitted}", cells.join(" "));
    }
}
