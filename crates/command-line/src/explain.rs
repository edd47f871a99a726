//! `explain`: the history of a request, item, job, engine or node from the logs of several processes.

use crate::{CommandError, Exit};
use lexopt::prelude::*;
use saddlerelay_telemetry::line::LogLine;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// Log fields whose values identify objects related to the line's subject.
const RELATING_FIELDS: [&str; 3] = ["job", "instance", "item"];

/// Maximum time between a line about the identifier and a line about a related object, in seconds.
const RELATED_WINDOW: f64 = 1.0;

/// Maximum number of related lines with the same event for each line about the identifier.
const MAX_RELATED_OF_EVENT: usize = 5;

struct Options {
    id: String,
    files: Vec<PathBuf>,
    /// Maximum clock difference between machines, in seconds.
    clock_error: f64,
    related: bool,
}

/// Runs the command.
pub fn run(parser: &mut lexopt::Parser) -> Result<(), CommandError> {
    let options = parse(parser)?;
    let lines = crate::logs::read_all(&options.files)?;
    let history = history_of(&lines, &options.id, options.clock_error, options.related);
    if history.is_empty() {
        return Err(CommandError::new(Exit::Failed, format!("no line mentions `{}`", options.id)));
    }
    for line in history {
        println!("{line}");
    }
    Ok(())
}

fn parse(parser: &mut lexopt::Parser) -> Result<Options, CommandError> {
    let mut id = None;
    let mut files = Vec::new();
    let mut clock_error = 0.05;
    let mut related = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("clock-error-ms") => clock_error = parser.value()?.parse::<u32>()? as f64 / 1_000.0,
            Long("related") => related = true,
            Value(value) if id.is_none() => id = Some(value.string()?),
            Value(value) => files.push(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    match id {
        Some(id) if !files.is_empty() => Ok(Options { id, files, clock_error, related }),
        _ => Err(CommandError::new(Exit::Usage, "missing identifier or log file")),
    }
}

/// The history of `id`: the lines that mention it, sorted by time. With `related`, also lines about its job, item and engines
/// within `RELATED_WINDOW`, indented. A line is marked `~` if, given `clock_error`, it may precede the line before it, which
/// another process logged.
pub fn history_of(lines: &[LogLine], id: &str, clock_error: f64, related: bool) -> Vec<String> {
    let matching: Vec<usize> = (0..lines.len()).filter(|index| lines[*index].mentions(id)).collect();
    let related = if related { related_lines(lines, &matching, id) } else { BTreeSet::new() };
    let all: BTreeSet<usize> = matching.iter().copied().chain(related.iter().copied()).collect();
    let Some(first) = all.first().map(|index| lines[*index].time) else {
        return Vec::new();
    };
    let mut history = Vec::new();
    let mut previous: Option<&LogLine> = None;
    for index in all {
        let line = &lines[index];
        let uncertain =
            previous.is_some_and(|previous| previous.node != line.node && line.time - previous.time < clock_error);
        let mark = if uncertain { '~' } else { ' ' };
        let indent = if related.contains(&index) { "    " } else { "" };
        let fields: Vec<String> = line.fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
        let offset = line.time - first;
        history.push(format!("{offset:9.3} s {mark} {indent}{}: {} ({})", line.node, line.event, fields.join(", ")));
        previous = Some(line);
    }
    history
}

fn related_lines(lines: &[LogLine], matching: &[usize], id: &str) -> BTreeSet<usize> {
    let related_values = |line: &LogLine| {
        let values = RELATING_FIELDS.iter().filter_map(|key| line.field(key)).filter(|value| *value != id);
        values.map(str::to_string).collect::<BTreeSet<_>>()
    };
    let mut found = BTreeSet::new();
    for index in matching {
        let related_ids = related_values(&lines[*index]);
        let is_related = |other: &usize| {
            let other = &lines[*other];
            let is_within_window = (other.time - lines[*index].time).abs() <= RELATED_WINDOW;
            is_within_window && !other.mentions(id) && related_ids.iter().any(|related_id| other.mentions(related_id))
        };
        let mut events: Vec<&str> = Vec::new();
        for other in (0..lines.len()).filter(is_related) {
            let event = lines[other].event.as_str();
            if events.iter().filter(|shown| **shown == event).count() < MAX_RELATED_OF_EVENT {
                events.push(event);
                found.insert(other);
            }
        }
    }
    found
}
