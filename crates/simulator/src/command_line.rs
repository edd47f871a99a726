//! The simulator's command line.

use crate::run::{RunOutcome, run, run_on};
use anyhow::{Context, Result, bail};
use lexopt::prelude::*;
use saddlerelay_policies::PolicyName;
use saddlerelay_scenarios::trace::Scenario;
use saddlerelay_scenarios::{builtin, deployment};
use std::ffi::OsString;
use std::ops::Range;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Help text.
pub const HELP: &str = "\
saddlerelay-sim: runs the product's own node code in virtual time

  run --scenario NAME|all --seeds FROM..TO [--threads N] [--policy NAME]
  replay FILE [--seed N]      run a trace from a file
  show --scenario NAME --seed N [--full-size] [--records FILE] [--record TRACE]
                              the faults, violations, counts and measures of one run, as JSON; with --full-size on
                              the whole deployment; what the stand-ins saw goes to FILE, one JSON object on each line,
                              and the run's faults and arrivals as a trace to be replayed to TRACE
  list                        the scenarios

Exit code 0 when no promise was broken, 1 otherwise. The same seed gives the same trace hash.
";

const DEFAULT_THREADS: usize = 8;

/// Whether the arguments contain `--help` or `-h`.
pub fn is_help_requested(arguments: &[OsString]) -> bool {
    arguments.iter().any(|argument| argument == "--help" || argument == "-h")
}

/// Runs the command in `arguments`, which exclude the program name.
pub fn main(arguments: Vec<OsString>) -> ExitCode {
    if is_help_requested(&arguments) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    silence_logs();
    exit_code("saddlerelay-sim", try_main(arguments))
}

/// Disables logging: log lines would not show which simulated process wrote them.
pub fn silence_logs() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
}

/// Maps a command's outcome to the exit code: failure for `Ok(false)` and for errors, which are printed.
pub fn exit_code(program: &str, outcome: Result<bool>) -> ExitCode {
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{program}: {error:#}");
            ExitCode::FAILURE
        }
    }
}

struct Arguments {
    scenario: Option<String>,
    replayed_file: Option<String>,
    seeds: Range<u64>,
    threads: usize,
    policy: PolicyName,
    full_size: bool,
    records_file: Option<String>,
    trace_file: Option<String>,
}

fn try_main(arguments: Vec<OsString>) -> Result<bool> {
    let mut parser = lexopt::Parser::from_args(arguments);
    let command = match parser.next()? {
        Some(Value(command)) => command.string()?,
        _ => {
            print!("{HELP}");
            return Ok(true);
        }
    };
    let arguments = parse(&mut parser)?;
    match command.as_str() {
        "run" => run_all(&arguments),
        "replay" => replay(&arguments),
        "show" => show(&arguments),
        "list" => {
            builtin::scenarios().iter().for_each(|scenario| println!("{:<26} {}", scenario.name, scenario.about));
            Ok(true)
        }
        other => bail!("there is no command `{other}`; see --help"),
    }
}

fn parse(parser: &mut lexopt::Parser) -> Result<Arguments> {
    let mut arguments = Arguments {
        scenario: None,
        replayed_file: None,
        seeds: 0..1,
        threads: DEFAULT_THREADS,
        policy: PolicyName::PrefixAffinity,
        full_size: false,
        records_file: None,
        trace_file: None,
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("scenario") => arguments.scenario = Some(parser.value()?.string()?),
            Long("seeds") => arguments.seeds = parse_range(&parser.value()?.string()?)?,
            Long("seed") => {
                let seed: u64 = parser.value()?.parse()?;
                arguments.seeds = seed..seed + 1;
            }
            Long("full-size") => arguments.full_size = true,
            Long("record") => arguments.trace_file = Some(parser.value()?.string()?),
            Long("records") => arguments.records_file = Some(parser.value()?.string()?),
            Long("threads") => arguments.threads = parser.value()?.parse()?,
            Long("policy") => {
                let name = parser.value()?.string()?;
                arguments.policy = PolicyName::parse(&name).with_context(|| format!("there is no policy `{name}`"))?;
            }
            Value(file) => arguments.replayed_file = Some(file.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(arguments)
}

fn parse_range(text: &str) -> Result<Range<u64>> {
    let (from, to) = text.split_once("..").context("seeds are given as FROM..TO")?;
    Ok(from.parse()?..to.parse()?)
}

fn selected_scenarios(arguments: &Arguments) -> Result<Vec<Scenario>> {
    match arguments.scenario.as_deref() {
        None | Some("all") => Ok(builtin::scenarios()),
        Some(name) => Ok(vec![builtin::scenario(name).with_context(|| format!("there is no scenario `{name}`"))?]),
    }
}

/// Totals of a scenario's runs.
#[derive(Default)]
struct Tally {
    violations: u64,
    events: u64,
    failures: Vec<(u64, String)>,
}

fn run_all(arguments: &Arguments) -> Result<bool> {
    let mut all_passed = true;
    for scenario in selected_scenarios(arguments)? {
        let started = Instant::now();
        let tally = run_seeds(&scenario, arguments);
        let seeds = arguments.seeds.end - arguments.seeds.start;
        println!(
            "{:<26} {seeds:>5} seeds  {:>3} violations  {:>11} events  {:>6.1} s",
            scenario.name,
            tally.violations,
            tally.events,
            started.elapsed().as_secs_f64()
        );
        for (seed, detail) in tally.failures.iter().take(5) {
            println!("    seed {seed}: {detail}");
            println!("    reproduce: saddlerelay-sim show --scenario {} --seed {seed}", scenario.name);
        }
        all_passed &= tally.violations == 0;
    }
    Ok(all_passed)
}

/// Runs the seeds on several threads, each run on one thread.
fn run_seeds(scenario: &Scenario, arguments: &Arguments) -> Tally {
    let next = Arc::new(AtomicU64::new(arguments.seeds.start));
    let tally = Arc::new(Mutex::new(Tally::default()));
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= arguments.seeds.end {
                return;
            }
            let outcome = run_catching_panics(scenario, seed, arguments.policy);
            let mut tally = tally.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            add_outcome(&mut tally, seed, outcome);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..arguments.threads.max(1) {
            scope.spawn(work);
        }
    });
    let mut tally = std::mem::take(&mut *tally.lock().unwrap_or_else(|poisoned| poisoned.into_inner()));
    tally.failures.sort();
    tally
}

/// Runs one seed and converts a panic, which indicates a violated invariant, to an error.
fn run_catching_panics(scenario: &Scenario, seed: u64, policy: PolicyName) -> Result<RunOutcome> {
    let caught = std::panic::catch_unwind(|| run(scenario, seed, policy));
    caught.unwrap_or_else(|_| bail!("the run panicked: an invariant was violated"))
}

fn add_outcome(tally: &mut Tally, seed: u64, outcome: Result<RunOutcome>) {
    match outcome {
        Ok(outcome) => {
            tally.events += outcome.events;
            tally.violations += outcome.report.violations.len() as u64;
            let details = outcome.report.violations.iter().take(3);
            let details = details.map(|violation| (seed, format!("{:?}: {}", violation.promise, violation.detail)));
            tally.failures.extend(details);
        }
        Err(error) => {
            tally.violations += 1;
            tally.failures.push((seed, format!("{error:#}")));
        }
    }
}

fn print_outcome(outcome: &RunOutcome) -> Result<()> {
    let report = serde_json::to_string_pretty(&outcome.report)?;
    println!("{report}");
    for fault in &outcome.faults {
        println!("fault at {} ms: {:?}", fault.at_ms, fault.kind);
    }
    println!("trace hash {:016x}, {} events, {:?} virtual", outcome.trace_hash, outcome.events, outcome.virtual_time);
    Ok(())
}

fn show(arguments: &Arguments) -> Result<bool> {
    let scenario = selected_scenarios(arguments)?.into_iter().next().context("name a scenario")?;
    let seed = arguments.seeds.start;
    let outcome = match deployment::by_name(&scenario.deployment).filter(|_| arguments.full_size) {
        Some(deployment) => run_on(&scenario, deployment, seed, arguments.policy)?,
        None => run(&scenario, seed, arguments.policy)?,
    };
    print_outcome(&outcome)?;
    if let Some(file) = &arguments.records_file {
        write_records(&outcome, file)?;
    }
    if let Some(file) = &arguments.trace_file {
        std::fs::write(file, outcome.recorded.write()?)?;
    }
    Ok(outcome.report.violations.is_empty())
}

fn write_records(outcome: &RunOutcome, file: &str) -> Result<()> {
    let mut text = String::new();
    for record in &outcome.records {
        text += &serde_json::to_string(record)?;
        text.push('\n');
    }
    Ok(std::fs::write(file, text)?)
}

fn replay(arguments: &Arguments) -> Result<bool> {
    let file = arguments.replayed_file.as_ref().context("name a trace file")?;
    let scenario = Scenario::parse(&std::fs::read_to_string(file)?)?;
    let outcome = run(&scenario, arguments.seeds.start, arguments.policy)?;
    print_outcome(&outcome)?;
    Ok(outcome.report.violations.is_empty())
}
