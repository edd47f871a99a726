//! The command line: `serve`, `member`, `check-config`, `explain`, `account` and `admin`.

pub mod account;
pub mod admin;
mod clients;
mod duties;
pub mod explain;
mod level_metrics;
mod logs;
pub mod member;
mod memory_metrics;
pub mod serve;
mod signals;
pub mod table;

use lexopt::prelude::*;
use std::ffi::OsString;
use std::fmt;
use std::path::{Path, PathBuf};

/// Help text.
pub const HELP: &str = "\
saddlerelay: a rollout service for reinforcement learning

  saddlerelay serve --config FILE         run a relay or a control replica
  saddlerelay member --config FILE        run a gateway or a coordinator
  saddlerelay check-config FILE           check a settings file and report all errors in it
  saddlerelay explain ID FILE... [--related] [--clock-error-ms N]
                                          history of a request, item, job, engine or node from log files
  saddlerelay account FILE... [--svg FILE]
                                          progress of training steps and use of engines from log files
  saddlerelay admin --address IP:PORT (--token TOKEN | --token-file FILE) [--json] COMMAND
      initialize                          bootstrap a control group with the replica at this address
      status                              the group, the relays and the configuration in force
      members | relays | engines          list the replicas of the group, the relays or the engines
      duties                              platform duties: holder, usage reports, wanted and present engines
      suspicions                          work during which engines crashed; quarantined after three engines
      release WORK                        release quarantined work, so that it is sent to engines again
      templates | tenants                 list the configuration
      template|tenant get ID
      template|tenant put ID FILE [--if-match REVISION | --if-absent] [--key KEY]
      template|tenant delete ID [--if-match REVISION] [--key KEY]
      trainer ID                          state of a tenant's trainer
      drain ENGINE                        drain an engine until it restarts
      dump-log                            dump the process's log ring to its data folder
  saddlerelay --help | --version

FILE of `put` is TOML, or JSON when its name ends in .json.

Exit codes: 0 success; 1 runtime failure; 2 invalid command line; 3 invalid settings;
            4 rejected by the administration API; 5 outcome unknown or service unreachable, retry.
";

/// Exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Success.
    Done = 0,
    /// Runtime failure.
    Failed = 1,
    /// Invalid command line.
    Usage = 2,
    /// Invalid settings.
    Settings = 3,
    /// The administration API rejected the call.
    Refused = 4,
    /// The outcome is unknown or the service unreachable; a retry may succeed.
    TryAgain = 5,
}

/// Error message and exit code of a failed command.
#[derive(Debug)]
pub struct CommandError {
    /// Exit code of the process.
    pub exit: Exit,
    /// Message for standard error.
    pub message: String,
}

impl CommandError {
    /// Creates an error.
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { exit, message: message.into() }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl From<lexopt::Error> for CommandError {
    fn from(error: lexopt::Error) -> Self {
        Self::new(Exit::Usage, format!("{error}; see saddlerelay --help"))
    }
}

/// Runs a command; `arguments` excludes the program name.
pub fn run(arguments: Vec<OsString>) -> Exit {
    match try_run(arguments) {
        Ok(()) => Exit::Done,
        Err(error) => {
            eprintln!("saddlerelay: {error}");
            error.exit
        }
    }
}

fn try_run(arguments: Vec<OsString>) -> Result<(), CommandError> {
    if arguments.iter().any(|argument| argument == "--help" || argument == "-h") {
        print!("{HELP}");
        return Ok(());
    }
    let mut parser = lexopt::Parser::from_args(arguments);
    match parser.next()? {
        Some(Long("version") | Short('V')) => {
            println!("saddlerelay {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some(Value(command)) if command == "serve" => serve::serve(&config_flag(&mut parser)?),
        Some(Value(command)) if command == "member" => member::run(&config_flag(&mut parser)?),
        Some(Value(command)) if command == "check-config" => check_config(&mut parser),
        Some(Value(command)) if command == "explain" => explain::run(&mut parser),
        Some(Value(command)) if command == "account" => account::run(&mut parser),
        Some(Value(command)) if command == "admin" => admin::run(&mut parser),
        Some(other) => Err(other.unexpected().into()),
        None => Err(CommandError::new(Exit::Usage, "missing command; see saddlerelay --help")),
    }
}

fn config_flag(parser: &mut lexopt::Parser) -> Result<PathBuf, CommandError> {
    let mut config = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("config") => config = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    config.ok_or_else(|| CommandError::new(Exit::Usage, "flag --config FILE is missing"))
}

fn check_config(parser: &mut lexopt::Parser) -> Result<(), CommandError> {
    let file = match parser.next()? {
        Some(Value(file)) => PathBuf::from(file),
        _ => return Err(CommandError::new(Exit::Usage, "missing argument FILE")),
    };
    if let Some(other) = parser.next()? {
        return Err(other.unexpected().into());
    }
    if is_member(&file)? {
        read_member_settings(&file)?;
    } else {
        read_settings(&file)?;
    }
    println!("{}: ok", file.display());
    Ok(())
}

fn read_file(file: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(file)
        .map_err(|error| CommandError::new(Exit::Settings, format!("{}: {error}", file.display())))
}

fn settings_error(file: &Path, errors: Vec<saddlerelay_settings::SettingError>) -> CommandError {
    let lines: Vec<String> = errors.iter().map(|error| format!("{}: {error}", file.display())).collect();
    CommandError::new(Exit::Settings, lines.join("\n"))
}

/// Whether a settings file is for the `member` command, recognized by its key `seeds`.
fn is_member(file: &Path) -> Result<bool, CommandError> {
    let table: Result<toml::Table, _> = read_file(file)?.parse();
    Ok(table.is_ok_and(|table| table.contains_key("seeds")))
}

/// Reads a settings file for the `serve` command; the error message lists all errors in the file.
pub fn read_settings(file: &Path) -> Result<saddlerelay_settings::Settings, CommandError> {
    saddlerelay_settings::parse(&read_file(file)?).map_err(|errors| settings_error(file, errors))
}

/// Reads a settings file for the `member` command; the error message lists all errors in the file.
pub fn read_member_settings(file: &Path) -> Result<saddlerelay_settings::MemberSettings, CommandError> {
    saddlerelay_settings::parse_member(&read_file(file)?).map_err(|errors| settings_error(file, errors))
}
