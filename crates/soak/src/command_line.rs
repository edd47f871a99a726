//! The soak's command line.

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

  run [--seeds FROM..TO | --seed N | --count N] [--length SECONDS] [--keep]
                      soaks one after the other; without seeds, fresh ones
  regressions FILE [--length SECONDS]
                      the seeds that FILE lists: on each line a seed, and why it is kept
  plan --seed N [--length SECONDS]
                      the faults of a seed

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
    /// The seeds, in turn.
    pub seeds: Vec<u64>,
    /// How long each causes faults.
    pub length: Duration,
    /// Whether to keep the folders of clean soaks too.
    pub keep: bool,
}

impl Options {
    /// Reads the arguments of a command.
    pub fn parse(arguments: Vec<OsString>) -> Result<Self> {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut options = Self { seeds: Vec::new(), length: DEFAULT_LENGTH, keep: false };
        while let Some(argument) = parser.next()? {
            match argument {
                Long("seed") => options.seeds.push(parser.value()?.parse()?),
                Long("seeds") => options.seeds.extend(parse_range(&parser.value()?.string()?)?),
                Long("count") => {
                    let count: usize = parser.value()?.parse()?;
                    options.seeds.extend((0..count).map(|_| u64::from(fastrand::u32(..))));
                }
                Long("length") => options.length = Duration::from_secs(parser.value()?.parse()?),
                Long("keep") => options.keep = true,
                Value(file) => options.seeds.extend(read_seeds(&PathBuf::from(file))?),
                other => return Err(other.unexpected().into()),
            }
        }
        if options.seeds.is_empty() {
            options.seeds.push(u64::from(fastrand::u32(..)));
        }
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

/// Reads a list of seeds: on each line a seed, and why it is kept; lines that begin with `#` are comments.
pub fn read_seeds(file: &PathBuf) -> Result<Vec<u64>> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
    let seed = |line: &str| {
        let word = line.split_whitespace().next().unwrap_or_default();
        word.parse().with_context(|| format!("`{word}` is no seed"))
    };
    lines.map(seed).collect()
}

fn print_plans(options: &Options) -> bool {
    for seed in &options.seeds {
        println!("seed {seed}");
        for planned in crate::plan::draw(*seed, options.length) {
            println!("{:>8.3} s  {:?}", planned.at.as_secs_f64(), planned.fault);
        }
    }
    true
}

fn soak_all(options: &Options) -> Result<bool> {
    let mut clean = true;
    for seed in &options.seeds {
        clean &= soak(*seed, options)?.is_clean();
    }
    Ok(clean)
}

fn soak(seed: u64, options: &Options) -> Result<Report> {
    let folder = folder_of(seed, &std::env::temp_dir());
    let soak = SoakOptions { seed, length: options.length, executable: own_executable()?, folder: folder.clone() };
    let report = compio::runtime::Runtime::new()?.block_on(run(&soak));
    let report = report.inspect_err(|_| eprintln!("seed {seed}: its files are in {}", folder.display()))?;
    println!("{report}");
    if report.is_clean() && !options.keep {
        std::fs::remove_dir_all(&folder)?;
    } else {
        println!("seed {seed}: its files are in {}", folder.display());
    }
    Ok(report)
}
