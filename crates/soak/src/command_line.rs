//! Command line of the soak.

use crate::case::{Case, PlanKind};
use crate::deployment::Size;
use crate::report::Report;
use crate::run::{SoakOptions, folder_of, run};
use anyhow::{Context, Result, bail};
use lexopt::prelude::*;
use saddlerelay_fleet_runner::process::own_executable;
use saddlerelay_simulator::command_line::{exit_code, is_help_requested};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Help text.
pub const HELP: &str = "\
saddlerelay-soak: runs the product's processes under randomized faults and checks invariants that callers and engines observe

  run [--plan KIND] [--size C+G] [--seeds FROM..TO | --seed N | --count N] [--case CASE] [--length SECONDS] [--keep]
      [--production FILE]
                      runs soaks one after the other; without seeds, one with a random seed
  regressions FILE [--length SECONDS]
                      runs the cases that FILE lists, one per line, each followed by a reason
  plan [--plan KIND] --seed N [--length SECONDS]
                      prints the fault plan of a seed

KIND is one of:
  single       independent faults, each of one party
  overlapping  as single, plus series of overlapping signals, and suspensions (default)
  replaced     as overlapping; at the end, the group moves to coordinators that the settings do not name
  paired       a fault of engines and, 0.3 to 3 s later, a fault of a process that holds state; a quiet period follows each pair
  single-version  as paired, and each text of an item comes from a single weight version
  upgrade      all processes start with the build of --production, an executable of the product, and are upgraded one by one
  lossy        the leader's zone loses a fifth of its packets; all coordinators are killed before or after the leadership change
With any other kind than upgrade, all processes run the build of --production throughout.
C+G are the numbers of coordinators and gateways. A CASE is SEED (kind single), KIND:SEED or KIND:SEED:C+G, as in reports.

If an invariant is violated, the folder with the logs of all processes is kept and its path is printed.
Exit code: 0 if no invariant was violated, 1 otherwise.
";

/// Default duration of fault injection.
const DEFAULT_LENGTH: Duration = Duration::from_secs(30);

/// Runs a command; `arguments` exclude the program name.
pub fn main(arguments: Vec<OsString>) -> ExitCode {
    let first = arguments.first().and_then(|name| name.to_str()).unwrap_or_default().to_string();
    let rest = arguments.get(1..).unwrap_or_default().to_vec();
    let outcome = match first.as_str() {
        "run" | "regressions" | "plan" if is_help_requested(&rest) => {
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
        other => Err(anyhow::anyhow!("unknown command `{other}`; see --help")),
    };
    exit_code("saddlerelay-soak", outcome)
}

/// Parsed options of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Cases to run, in order.
    pub cases: Vec<Case>,
    /// Duration of fault injection per case.
    pub length: Duration,
    /// Whether to keep the folders of clean soaks, too.
    pub keep: bool,
    /// Executable of an older build that runs initially; only the `upgrade` kind replaces it.
    pub production: Option<PathBuf>,
}

impl Options {
    /// Parses the arguments of a command.
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
    let (from, to) = text.split_once("..").context("a seed range must be FROM..TO")?;
    let (from, to) = (from.parse()?, to.parse()?);
    if from >= to {
        bail!("empty seed range {text}");
    }
    Ok(from..to)
}

/// Reads a file with a case and a reason on each line; lines that start with `#` are comments.
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
    let mut all_clean = true;
    for case in &options.cases {
        all_clean &= soak(*case, options)?.is_clean();
    }
    Ok(all_clean)
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
    if report.is_clean() && report.inconclusive.is_empty() && !options.keep {
        std::fs::remove_dir_all(&folder)?;
    } else {
        println!("{case}: its files are in {}", folder.display());
    }
    Ok(report)
}
