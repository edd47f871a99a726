//! `explain`: the story of one request, item, job, engine or version from the logs of many processes.

use crate::{CommandError, Exit};
use lexopt::prelude::*;
use saddlerelay_telemetry::line::LogLine;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// Fields whose values name other things that the story is about.
const RELATING_FIELDS: [&str; 3] = ["job", "instance", "item"];

/// How far from the story's own lines those about related things are told, in seconds.
const RELATED_WINDOW: f64 = 1.0;

/// Lines of the same event about related things that are told.
const RELATED_OF_EVENT: usize = 5;

struct Options {
    id: String,
    files: Vec<PathBuf>,
    /// How far apart the machines' clocks may be, in seconds.
    clock_error: f64,
    related: bool,
}

/// Runs the command.
pub fn run(parser: &mut lexopt::Parser) -> Result<(), CommandError> {
    let options = parse(parser)?;
    let lines = crate::logs::read_all(&options.files)?;
    let story = tell(&lines, &options.id, options.clock_error, options.related);
    if story.is_empty() {
        return Err(CommandError::new(Exit::Failed, format!("no line mentions `{}`", options.id)));
    }
    for line in story {
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
        _ => Err(CommandError::new(Exit::Usage, "name an identifier and one or more log files")),
    }
}

/// The story of `id`: its own lines in order of time; with `related`, those about its job, item and engines close to
/// them, indented. A line that another machine may have written first, as far as the clocks tell, is marked `~`.
pub fn tell(lines: &[LogLine], id: &str, clock_error: f64, related: bool) -> Vec<String> {
    let own: Vec<usize> = (0..lines.len()).filter(|index| lines[*index].mentions(id)).collect();
    let related = if related { related_lines(lines, &own, id) } else { BTreeSet::new() };
    let all: BTreeSet<usize> = own.iter().copied().chain(related.iter().copied()).collect();
    let Some(first) = all.first().map(|index| lines[*index].time) else {
        return Vec::new();
    };
    let mut story = Vec::new();
    let mut before: Option<&LogLine> = None;
    for index in all {
        let line = &lines[index];
        let uncertain = before.is_some_and(|before| before.node != line.node && line.time - before.time < clock_error);
        let mark = if uncertain { '~' } else { ' ' };
        let indent = if related.contains(&index) { "    " } else { "" };
        let fields: Vec<String> = line.fields.iter().map(|(key, value)| format!("{key}={value}")).collect();
        let offset = line.time - first;
        story.push(format!("{offset:9.3} s {mark} {indent}{}: {} ({})", line.node, line.event, fields.join(", ")));
        before = Some(line);
    }
    story
}

fn related_lines(lines: &[LogLine], own: &[usize], id: &str) -> BTreeSet<usize> {
    let names = |line: &LogLine| {
        let named = RELATING_FIELDS.iter().filter_map(|key| line.field(key)).filter(|value| *value != id);
        named.map(str::to_string).collect::<BTreeSet<_>>()
    };
    let mut found = BTreeSet::new();
    for index in own {
        let wanted = names(&lines[*index]);
        let close = |other: &usize| {
            let other = &lines[*other];
            let near = (other.time - lines[*index].time).abs() <= RELATED_WINDOW;
            near && !other.mentions(id) && wanted.iter().any(|name| other.mentions(name))
        };
        let mut told: Vec<&str> = Vec::new();
        for other in (0..lines.len()).filter(close) {
            let event = lines[other].event.as_str();
            if told.iter().filter(|told| **told == event).count() < RELATED_OF_EVENT {
                told.push(event);
                found.insert(other);
            }
        }
    }
    found
}
