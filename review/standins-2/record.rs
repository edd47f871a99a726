//! What was sent, answered and run, in the order of the real clock.

use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// One line: when, who, what, and its fields.
#[derive(Clone, Debug)]
pub struct Line {
    pub at_ms: u64,
    pub who: String,
    pub what: String,
    pub fields: Vec<(String, String)>,
}

impl Line {
    pub fn field(&self, name: &str) -> &str {
        self.fields.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> u64 {
        self.field(name).parse().unwrap_or(0)
    }

    pub fn parse(line: &str) -> Option<Self> {
        let mut words = line.split(' ');
        let at_ms = words.next()?.parse().ok()?;
        let (who, what) = (words.next()?.to_string(), words.next()?.to_string());
        let fields = words.filter_map(|word| word.split_once('='));
        let fields = fields.map(|(key, value)| (key.to_string(), value.to_string())).collect();
        Some(Self { at_ms, who, what, fields })
    }
}

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// The record of a run. Clones share it.
#[derive(Clone, Default)]
pub struct Record {
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Record {
    pub fn push(&self, line: Line) {
        self.lines.lock().unwrap().push(line);
    }

    pub fn note(&self, who: &str, what: &str, fields: &[(&str, String)]) {
        let fields = fields.iter().map(|(key, value)| (key.to_string(), value.replace([' ', '\n'], "_"))).collect();
        self.push(Line { at_ms: now_ms(), who: who.to_string(), what: what.to_string(), fields });
    }

    /// Forgets all lines.
    pub fn clear(&self) {
        self.lines.lock().unwrap().clear();
    }

    pub fn lines(&self) -> Vec<Line> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|line| line.at_ms);
        lines
    }

    /// Writes the record with times in seconds from its first line.
    pub fn write(&self, file: &Path, verdict: &str) {
        let lines = self.lines();
        let start = lines.first().map_or(0, |line| line.at_ms);
        let mut text = String::new();
        for line in &lines {
            text += &format!("{:8.3} {} {}", (line.at_ms - start) as f64 / 1_000.0, line.who, line.what);
            for (key, value) in &line.fields {
                text += &format!(" {key}={value}");
            }
            text.push('\n');
        }
        text += &format!("{verdict}\n");
        if let Err(error) = fs::write(file, text) {
            eprintln!("record not written: {error}");
        }
    }
}
