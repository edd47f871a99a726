//! Reads and merges the log files of several processes.

use crate::{CommandError, Exit};
use saddlerelay_telemetry::line::LogLine;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

/// Returns the log lines of all `files`, sorted by time; other lines are skipped.
pub fn read_all(files: &[PathBuf]) -> Result<Vec<LogLine>, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        let failed = |error: std::io::Error| CommandError::new(Exit::Failed, format!("{}: {error}", file.display()));
        let reader = BufReader::new(std::fs::File::open(file).map_err(failed)?);
        for line in reader.lines() {
            lines.extend(LogLine::parse(&line.map_err(failed)?));
        }
    }
    lines.sort_by(|left, right| left.time.total_cmp(&right.time));
    Ok(lines)
}
