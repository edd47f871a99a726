//! The soak's command line.

use crate::case::{Case, PlanKind};
use crate::deployment::Size;
use crate::report::Report;
use crate::run::{SoakOptions, folder_of, run};
use anyhow::{Context, Result, bail};
use lexopt::prelude::*;
use saddlerelay_fleet_runner::process::own_executable;
use saddlerelay_simulator::command_line::{asks_for_help, exit_code};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Help text.
pub const HELP: &str = "\
saddlerelay-soak: the product's processes under randomized faults, checked by what callers and engines see

  run [--plan KIND] [--size C+G] [--seeds FROM..TO | --seed N | --count N] [--case CASE] [--length SECONDS] [--keep]
      [--production FILE]
                      soaks one after the other; without seeds, a fresh one
  regressions FILE [--length SECONDS]
                      the cases that FILE lists: on each line a case, and why it is kept
  plan [--plan KIND] --seed N [--length SECONDS]
                      the faults of a seed

KIND is single (faults of one party each), overlapping (the same, with series of signals that overlap, and suspensions;
the default), replaced (the same; at last the group moves to coordinators that the settings don't name), paired (a fault
of engines and, 0.3 to 3 s later, one of those who hold state, pair after pair, each followed by calm), upgrade (all processes
begin as the build of --production, an executable of the product, and are replaced one after the other) or lossy (the leader's zone
loses a fifth of its packets; all coordinators are killed before or after the lead has left it). Of the other kinds --production
runs all processes from the beginning to the end.
C+G are the numbers of coordinators and gateways. A CASE is SEED (of the kind single), KIND:SEED or KIND:SEED:C+G, as reports name it.

A soak that breaks a promise keeps its folder with the logs of every process, and names it.
Exit code 0 when no promise was broken, 1 otherwise.
";

/// Seconds of faults, unless told otherwise.
const DEFAULT_LENGTH: Duration = Duration::from_secs(30);

/// Runs the command that `arguments` name, without the program's own name.
pub fn main(arguments: Vec<OsString>) -> ExitCode {
    let first = arguments.first().and_then(|word| word.to_str()).unwrap_or_default().to_string();
    let rest = arguments.get(1..).unwrap_or_default().to_vec();
    let outcome = match first.as_str() {
        "run" | "regressions" | "plan" if asks_for_help(&rest) => {
            print!("{HELP}");
            Ok(true)
        }
        "run-product" => return ExitCode::from(saddlerelay_command_line::run(rest) as u8),
        "run" | "regressions" => Options::parse(rest).and_then(|options| soak_all(&options)),
        "plan" => Options::parse(rest).map(|options| print_plans(&options)),
        "" | "--help" | "-h" => {
            print!("{HELP}");
            Ok(true)
        }
        other => Err(anyhow::anyhow!("there is no command `{other}`; see --help")),
    };
    exit_code("saddlerelay-soak", outcome)
}

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The cases, in turn.
    pub cases: Vec<Case>,
    /// How long each causes faults.
    pub length: Duration,
    /// Whether to keep the folders of clean soaks too.
    pub keep: bool,
    /// An executable of the product that runs at first; only soaks of the kind `upgrade` replace it.
    pub production: Option<PathBuf>,
}

impl Options {
    /// Reads the arguments of a command.
    pub fn parse(arguments: Vec<OsString>) -> Result<Self> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut options = Self { cases: Vec::new(), length: DEFAULT_LENGTH, keep: false, production: None };
        let mut seeds: Vec<u64> = Vec::new();
        let mut kind = PlanKind::Overlapping;
        let mut size: Option<Size> = None;
        while let Some(argument) = parser.next()? {
            match argument {
                Long("seed") => seeds.push(parser.value()?.parse()?),
                Long("seeds") => seeds.extend(parse_range(&parser.value()?.string()?)?),
                Long("count") => {
                    let count: usize = parser.value()?.parse()?;
                    seeds.extend((0..count).map(|_| u64::from(fastrand::u32(..))));
                }
                Long("plan") => kind = parser.value()?.parse()?,
                Long("size") => size = Some(parser.value()?.parse()?),
                Long("case") => options.cases.push(parser.value()?.parse()?),
                Long("length") => options.length = Duration::from_secs(parser.value()?.parse()?),
                Long("keep") => options.keep = true,
                Long("production") => options.production = Some(PathBuf::from(parser.value()?)),
                Value(file) => options.cases.extend(read_cases(&PathBuf::from(file))?),
                other => return Err(other.unexpected().into()),
            }
        }
        if seeds.is_empty() && options.cases.is_empty() {
            seeds.push(u64::from(fastrand::u32(..)));
        }
        let size = size.unwrap_or(kind.size());
        options.cases.extend(seeds.into_iter().map(|seed| Case { seed, kind, size }));
        Ok(options)
    }
}

fn parse_range(text: &str) -> Result<std::ops::Range<u64>> {
    let (from, to) = text.split_once("..").context("seeds are FROM..TO")?;
    let (from, to) = (from.parse()?, to.parse()?);
    if from >= to {
        bail!("there is no seed in {text}");
    }
    Ok(from..to)
}

/// Reads a list of cases: on each line a case, and why it is kept; lines that begin with `#` are comments.
pub fn read_cases(file: &PathBuf) -> Result<Vec<Case>> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
    lines.map(|line| line.split_whitespace().next().unwrap_or_default().parse()).collect()
}

fn print_plans(options: &Options) -> bool {
    for case in &options.cases {
        println!("{case}");
        for planned in crate::plan::draw(*case, options.length) {
            println!("{:>8.3} s  {:?}", planned.at.as_secs_f64(), planned.fault);
        }
    }
    true
}

fn soak_all(options: &Options) -> Result<bool> {
    let mut clean = true;
    for case in &options.cases {
        clean &= soak(*case, options)?.is_clean();
    }
    Ok(clean)
}

fn soak(case: Case, options: &Options) -> Result<Report> {
    let folder = folder_of(case.seed, &std::env::temp_dir());
    let production = match case.kind {
        PlanKind::Upgrade => Some(options.production.clone().context("an upgrade needs --production FILE")?),
        _ => options.production.clone(),
    };
    let soak =
        SoakOptions { case, length: options.length, executable: own_executable()?, production, folder: folder.clone() };
    let report = compio::runtime::Runtime::new()?.block_on(run(&soak));
    let report = report.inspect_err(|_| eprintln!("{case}: its files are in {}", folder.display()))?;
    println!("{report}");
    if report.is_clean() && report.not_judged.is_empty() && !options.keep {
        std::fs::remove_dir_all(&folder)?;
    } else {
        println!("{case}: its files are in {}", folder.display());
    }
    Ok(report)
}
