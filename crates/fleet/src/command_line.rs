//! The command line of `saddlerelay-fleet`.

use crate::bench;
use crate::experiment::{self, Experiment};
use crate::process::own_executable;
use crate::run::{RunOptions, run};
use crate::scale;
use crate::summary;
use crate::up;
use anyhow::{Context, Result, bail};
use lexopt::prelude::*;
use saddlerelay_checker::check::Limits;
use saddlerelay_scenarios::{builtin, deployment};
use saddlerelay_simulator::command_line::{exit_code, is_help_requested, silence_logs};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Output of `--help`.
pub const HELP: &str = "\
saddlerelay-fleet: runs a whole deployment as processes on this machine

  demo                      a small deployment under load for about 15 s
  up                        the same deployment without load, until Ctrl-C, to try its interfaces
  run  --deployment andino|fund --scenario NAME [--duration 20s] [--report FILE] [--policy NAME] [--keep]
       [--record TRACE]
  run  --list               the scenarios
  experiment [--seeds FROM..TO] [--scenario NAME] [--duration 60s] [--threads N] [--plot FILE.svg] [--report FILE]
                            routing policies side by side on both deployments, in virtual time
  bench                     what a relay adds to a request, and requests for each second of a core
  scale [--series relays|engines|claims|answers|whole] [--report FILE]
                            slopes of the control group's and relays' own costs, with hollow relays and engines

Exit code 0 when no promise was broken, 1 otherwise.
";

/// Defaults of `experiment`: number of seeds, virtual milliseconds of load, concurrent runs.
const EXPERIMENT_SEEDS: u64 = 8;
const EXPERIMENT_MILLISECONDS: u64 = 60_000;
const EXPERIMENT_THREADS: usize = 6;

/// Duration of the load of `demo`.
const DEMO_SECONDS: u64 = 15;

/// Prefix of the subcommands that run child processes, which parse their own options.
const CHILD_PREFIX: &str = "run-";

/// Runs the command in `arguments`, which exclude the program name.
pub fn main(arguments: Vec<OsString>) -> ExitCode {
    let first = arguments.first().and_then(|argument| argument.to_str()).unwrap_or_default().to_string();
    let remaining = arguments.get(1..).unwrap_or_default().to_vec();
    let is_own = !first.starts_with(CHILD_PREFIX);
    let outcome = match first.as_str() {
        _ if is_own && is_help_requested(&remaining) => {
            print!("{HELP}");
            Ok(true)
        }
        "run-product" => return ExitCode::from(saddlerelay_command_line::run(remaining) as u8),
        "run-standin" => saddlerelay_standins::http::process::run(remaining).map(|()| true),
        "run-hollow" => scale::hollow::run(remaining).map(|()| true),
        "demo" => demo(),
        "up" => block_on(up::run(deployment::demo())).map(|()| true),
        "bench" => block_on(bench::run()).map(|table| {
            print!("{table}");
            true
        }),
        "experiment" => experiment_command(remaining),
        "scale" => scale_command(remaining),
        "run" => run_command(remaining),
        "" | "--help" | "-h" => {
            print!("{HELP}");
            Ok(true)
        }
        other => Err(anyhow::anyhow!("unknown command `{other}`; see --help")),
    };
    exit_code("saddlerelay-fleet", outcome)
}

/// Runs a future on a new runtime.
pub fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    compio::runtime::Runtime::new()?.block_on(future)
}

fn demo() -> Result<bool> {
    let options = RunOptions {
        scenario: builtin::scenario("steady").context("the scenario `steady` is missing")?,
        executable: own_executable()?,
        limits: Limits::default(),
        deployment: Some(deployment::demo()),
        duration: Some(Duration::from_secs(DEMO_SECONDS)),
        relay_settings: String::new(),
        progress: true,
        keep: false,
        record: None,
    };
    let result = block_on(run(options))?;
    print!("{}", summary::table(&result));
    Ok(result.report.violations.is_empty())
}

fn run_command(arguments: Vec<OsString>) -> Result<bool> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let (mut deployment_name, mut scenario, mut duration, mut report) = (None, None, None, None);
    let (mut relay_settings, mut keep, mut record) = (String::new(), false, None);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("list") => {
                for scenario in builtin::scenarios() {
                    println!("{:<24} {}", scenario.name, scenario.about);
                }
                return Ok(true);
            }
            Long("deployment") => deployment_name = Some(parser.value()?.string()?),
            Long("scenario") => scenario = Some(parser.value()?.string()?),
            Long("duration") => duration = Some(parse_duration(&parser.value()?.string()?)?),
            // Accepted and ignored, for the same options as the simulator.
            Long("seed") => drop(parser.value()?),
            Long("report") => report = Some(PathBuf::from(parser.value()?)),
            Long("policy") => relay_settings = format!("policy = \"{}\"", parser.value()?.string()?),
            Long("keep") => keep = true,
            Long("record") => record = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let scenario = scenario.context("flag --scenario NAME is missing; see --list")?;
    let scenario = builtin::scenario(&scenario).with_context(|| format!("unknown scenario `{scenario}`"))?;
    let deployment = match deployment_name {
        Some(name) => Some(deployment::by_name(&name).with_context(|| format!("unknown deployment `{name}`"))?),
        None => None,
    };
    let options = RunOptions {
        executable: own_executable()?,
        limits: scenario.limits(),
        scenario,
        deployment,
        duration,
        relay_settings,
        progress: true,
        keep,
        record,
    };
    let result = block_on(run(options))?;
    if let Some(file) = report {
        std::fs::write(&file, serde_json::to_vec_pretty(&summary::json_report(&result))?)?;
    }
    print!("{}", summary::table(&result));
    Ok(result.report.violations.is_empty())
}

fn experiment_command(arguments: Vec<OsString>) -> Result<bool> {
    silence_logs();
    let mut parser = lexopt::Parser::from_args(arguments);
    let (mut plot, mut report) = (None, None);
    let mut experiment = Experiment {
        seeds: 0..EXPERIMENT_SEEDS,
        scenario: None,
        duration_ms: EXPERIMENT_MILLISECONDS,
        threads: EXPERIMENT_THREADS,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seeds") => {
                let text = parser.value()?.string()?;
                let (from, to) = text.split_once("..").context("--seeds must be FROM..TO")?;
                experiment.seeds = from.parse()?..to.parse()?;
            }
            Long("scenario") => experiment.scenario = Some(parser.value()?.string()?),
            Long("duration") => {
                experiment.duration_ms = parse_duration(&parser.value()?.string()?)?.as_millis() as u64;
            }
            Long("threads") => experiment.threads = parser.value()?.parse()?,
            Long("plot") => plot = Some(PathBuf::from(parser.value()?)),
            Long("report") => report = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let rows = experiment::run(&experiment)?;
    print!("{}", experiment::table(&rows));
    if let Some(file) = plot {
        experiment::plot::write(&rows, &file)?;
    }
    if let Some(file) = report {
        std::fs::write(&file, serde_json::to_vec_pretty(&rows)?)?;
    }
    Ok(rows.iter().all(|row| row.violations == 0))
}

fn scale_command(arguments: Vec<OsString>) -> Result<bool> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let (mut series, mut report) = (None, None);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("series") => series = Some(parser.value()?.string()?),
            Long("report") => report = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let measured_series = block_on(scale::run(series.as_deref()))?;
    if let Some(file) = report {
        std::fs::write(&file, serde_json::to_vec_pretty(&measured_series)?)?;
    }
    anyhow::ensure!(!measured_series.is_empty(), "unknown series");
    Ok(true)
}

fn parse_duration(text: &str) -> Result<Duration> {
    let seconds = text.strip_suffix('s').unwrap_or(text);
    match seconds.parse() {
        Ok(seconds) => Ok(Duration::from_secs(seconds)),
        Err(_) => bail!("`{text}` is not a number of seconds, such as 20s"),
    }
}
