//! Compares routing policies in the simulator, on both deployments and over several seeds. Each seed produces the same
//! arrivals for every policy.

pub mod plot;

use anyhow::{Context, Result};
use saddlerelay_checker::measures::Measures;
use saddlerelay_policies::PolicyName;
use saddlerelay_scenarios::{builtin, deployment};
use saddlerelay_simulator::run::run_on;
use serde::Serialize;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The deployments, each with its default scenario.
const DEPLOYMENTS: [(&str, &str); 2] = [("andino", "steady"), ("fund", "steady-fund")];

/// Options of an experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Seeds; every policy runs once per seed and deployment.
    pub seeds: Range<u64>,
    /// Overrides the default scenario of each deployment.
    pub scenario: Option<String>,
    /// Duration of the load in virtual milliseconds.
    pub duration_ms: u64,
    /// Number of concurrent runs.
    pub threads: usize,
}

/// Mean, minimum and maximum over the seeds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Minimum.
    pub least: f64,
    /// Maximum.
    pub greatest: f64,
}

impl Spread {
    fn of(values: &[f64]) -> Self {
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let greatest = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        Self { mean, least, greatest }
    }
}

/// The results of one policy on one deployment.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the routing policy.
    pub policy: String,
    /// Time that the trainer spent waiting for samples, in percent.
    pub idle: Spread,
    /// Mean staleness of received samples, in weight versions.
    pub staleness: Spread,
    /// Training steps completed.
    pub steps: Spread,
    /// 99th percentile of the time to the first token of interactive requests, in milliseconds.
    pub first_token_p99: Spread,
    /// Median time to complete interactive responses, in milliseconds.
    pub answer_p50: Spread,
    /// 99th percentile of the time to complete interactive responses, in milliseconds.
    pub answer_p99: Spread,
    /// Violations in all runs.
    pub violations: usize,
}

/// One run of the experiment.
#[derive(Clone, Copy)]
struct Simulation {
    deployment: usize,
    policy: PolicyName,
    seed: u64,
}

struct SimulationResult {
    run: Simulation,
    measures: Measures,
    violations: usize,
}

/// Runs every policy on both deployments with every seed; fails if a run fails.
pub fn run(experiment: &Experiment) -> Result<Vec<Row>> {
    let mut runs = Vec::new();
    for deployment in 0..DEPLOYMENTS.len() {
        for policy in PolicyName::ALL {
            runs.extend(experiment.seeds.clone().map(|seed| Simulation { deployment, policy, seed }));
        }
    }
    let next_run = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..experiment.threads.max(1) {
            scope.spawn(|| {
                while let Some(run) = runs.get(next_run.fetch_add(1, Ordering::Relaxed)) {
                    let outcome = measure_run(experiment, *run);
                    results.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(outcome);
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    let results: Vec<SimulationResult> = results.into_iter().collect::<Result<_>>()?;
    let mut rows = Vec::new();
    for (index, (name, _)) in DEPLOYMENTS.iter().enumerate() {
        for policy in PolicyName::ALL {
            let runs: Vec<&SimulationResult> =
                results.iter().filter(|result| result.run.deployment == index && result.run.policy == policy).collect();
            rows.push(row(name, policy, &runs));
        }
    }
    Ok(rows)
}

fn measure_run(experiment: &Experiment, run: Simulation) -> Result<SimulationResult> {
    let (name, default_scenario) = DEPLOYMENTS[run.deployment];
    let deployment = deployment::by_name(name).context("unknown deployment")?;
    let scenario = experiment.scenario.as_deref().unwrap_or(default_scenario);
    let mut scenario = builtin::scenario(scenario).with_context(|| format!("unknown scenario `{scenario}`"))?;
    scenario.duration_ms = experiment.duration_ms;
    let outcome = run_on(&scenario, deployment, run.seed, run.policy)?;
    Ok(SimulationResult { run, measures: outcome.report.measures, violations: outcome.report.violations.len() })
}

fn row(deployment: &str, policy: PolicyName, runs: &[&SimulationResult]) -> Row {
    let spread = |value: &dyn Fn(&Measures) -> f64| {
        let values: Vec<f64> = runs.iter().map(|run| value(&run.measures)).collect();
        Spread::of(&values)
    };
    let trainer = |measures: &Measures, value: &dyn Fn(&saddlerelay_checker::measures::TrainerMeasures) -> f64| {
        measures.trainers.values().map(value).sum::<f64>() / measures.trainers.len().max(1) as f64
    };
    let interactive = |measures: &Measures| measures.latency.get("interactive").copied().unwrap_or_default();
    let first_token = |measures: &Measures| measures.first_token.get("interactive").copied().unwrap_or_default();
    Row {
        deployment: deployment.to_string(),
        policy: policy.as_str().to_string(),
        idle: spread(&|measures| trainer(measures, &|trainer| trainer.idle_fraction * 100.0)),
        staleness: spread(&|measures| trainer(measures, &|trainer| trainer.staleness_mean)),
        steps: spread(&|measures| trainer(measures, &|trainer| trainer.steps as f64)),
        first_token_p99: spread(&|measures| first_token(measures).p99 as f64),
        answer_p50: spread(&|measures| interactive(measures).p50 as f64),
        answer_p99: spread(&|measures| interactive(measures).p99 as f64),
        violations: runs.iter().map(|run| run.violations).sum(),
    }
}

/// Formats the rows as a Markdown table.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| deployment | policy | trainer idle % | staleness, versions | steps | first token p99 ms | answer p50 ms | answer p99 ms | violations |\n\
         |---|---|---|---|---|---|---|---|---|\n",
    );
    let cell = |spread: &Spread, digits: usize| {
        format!("{:.digits$} ({:.digits$}-{:.digits$})", spread.mean, spread.least, spread.greatest)
    };
    for row in rows {
        text += &format!(
            "| {} | {} | {} | {} | {} | {} | {} | {} | {} |\n",
            row.deployment,
            row.policy,
            cell(&row.idle, 1),
            cell(&row.staleness, 2),
            cell(&row.steps, 0),
            cell(&row.first_token_p99, 0),
            cell(&row.answer_p50, 0),
            cell(&row.answer_p99, 0),
            row.violations
        );
    }
    text
}
