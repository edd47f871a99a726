//! An spdlog sink that keeps the most recent log lines in memory.

use spdlog::formatter::{Formatter, FormatterContext, FullFormatter};
use spdlog::prelude::Level;
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{Record, StringBuf};
use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::sync::Mutex;

/// Capacity in lines.
pub const RING_LINES: usize = 4096;

/// Maximum length of a line; longer lines are truncated.
const LINE_BYTES: usize = 1024;

/// Keeps the most recent [`RING_LINES`] lines and dumps them to a file when an error is logged.
pub struct RingSink {
    properties: SinkProp,
    lines: Mutex<VecDeque<String>>,
    file: PathBuf,
}

impl RingSink {
    /// An empty ring that is dumped to `file`.
    pub fn new(file: PathBuf) -> Self {
        Self { properties: SinkProp::default(), lines: Mutex::default(), file }
    }

    /// Overwrites the file with the ring's lines and returns its path.
    pub fn write_out(&self) -> io::Result<PathBuf> {
        let lines = self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let text: String = lines.iter().map(String::as_str).collect();
        drop(lines);
        std::fs::write(&self.file, text)?;
        Ok(self.file.clone())
    }

    fn add_line(&self, mut line: String) {
        if line.len() > LINE_BYTES {
            let end = (0..=LINE_BYTES).rev().find(|end| line.is_char_boundary(*end)).unwrap_or(0);
            line.truncate(end);
            line.push('\n');
        }
        let mut lines = self.lines.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if lines.len() == RING_LINES {
            lines.pop_front();
        }
        lines.push_back(line);
    }
}

impl GetSinkProp for RingSink {
    fn prop(&self) -> &SinkProp {
        &self.properties
    }
}

impl Sink for RingSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let mut text = StringBuf::new();
        let mut context = FormatterContext::new();
        FullFormatter::new().format(record, &mut text, &mut context)?;
        self.add_line(text.to_string());
        if matches!(record.level(), Level::Error | Level::Critical) {
            // Logging must not fail when the disk is full.
            let _ = self.write_out();
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}
