//! An spdlog sink that writes structured lines to standard output without blocking the caller.
//!
//! A dedicated thread writes out a bounded buffer. Lines beyond the buffer size or the rate limit are dropped and counted;
//! the count is logged before the next accepted line.

use spdlog::Record;
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, UNIX_EPOCH};

/// Maximum number of buffered bytes.
const BUFFER_BYTES: usize = 256 * 1024;

/// Maximum number of lines accepted per second.
const LINES_PER_SECOND: u32 = 2_000;

/// Delay between the first buffered line and the write, so that lines are written in batches.
const FLUSH_DELAY: Duration = Duration::from_millis(25);

/// Buffer of lines that are not yet written, with a rate limit.
pub struct Buffer {
    text: String,
    max_bytes: usize,
    lines_per_second: u32,
    second_started_at: Option<Instant>,
    lines_in_second: u32,
    dropped: u64,
    dropped_unreported: u64,
}

impl Default for Buffer {
    fn default() -> Self {
        Self::new(BUFFER_BYTES, LINES_PER_SECOND)
    }
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    line_added: Condvar,
}

/// A sink for standard output.
pub struct StdoutSink {
    properties: SinkProp,
    node: String,
    shared: Arc<Shared>,
}

impl StdoutSink {
    /// Starts a sink whose lines have the field `node`. The writer thread runs until the process exits.
    pub fn new(node: &str) -> Self {
        let shared = Arc::<Shared>::default();
        let writer = shared.clone();
        std::thread::spawn(move || run_writer(&writer));
        Self { properties: SinkProp::default(), node: node.to_string(), shared }
    }

    /// Lines dropped so far.
    pub fn dropped(&self) -> u64 {
        lock(&self.shared).dropped()
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, Buffer> {
    shared.buffer.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn run_writer(shared: &Shared) {
    loop {
        let mut buffer = lock(shared);
        while buffer.text.is_empty() {
            buffer = shared.line_added.wait(buffer).unwrap_or_else(|poisoned| poisoned.into_inner());
        }
        drop(buffer);
        std::thread::sleep(FLUSH_DELAY);
        let text = lock(shared).drain();
        // If standard output is closed, the lines are discarded.
        let _ = std::io::stdout().write_all(text.as_bytes());
    }
}

impl Buffer {
    /// An empty buffer with a capacity in bytes and a rate limit.
    pub fn new(max_bytes: usize, lines_per_second: u32) -> Self {
        let text = String::new();
        Self {
            text,
            max_bytes,
            lines_per_second,
            second_started_at: None,
            lines_in_second: 0,
            dropped: 0,
            dropped_unreported: 0,
        }
    }

    /// Lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Removes and returns the buffered text.
    pub fn drain(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    /// Starts the next interval of the rate limit, which lasts a second.
    pub fn next_second(&mut self) {
        self.second_started_at = Some(Instant::now());
        self.lines_in_second = 0;
    }

    /// Buffers a line; drops and counts it if the buffer or the rate limit is exhausted.
    pub fn add_line(&mut self, node: &str, line: &str) {
        if self.second_started_at.is_none_or(|started_at| started_at.elapsed() >= Duration::from_secs(1)) {
            self.next_second();
        }
        self.lines_in_second += 1;
        if self.lines_in_second > self.lines_per_second || self.text.len() + line.len() > self.max_bytes {
            self.dropped += 1;
            self.dropped_unreported += 1;
            return;
        }
        if self.dropped_unreported > 0 {
            let count = std::mem::take(&mut self.dropped_unreported);
            let _ = writeln!(self.text, "level=warn node={node} event=\"log lines dropped\" count={count}");
        }
        self.text.push_str(line);
    }
}

/// Formats a record as one line of `key=value` pairs.
pub fn format_line(node: &str, record: &Record) -> String {
    let since_epoch = record.time().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = format!(
        "time={}.{:03} level={} node={node} event=\"{}\"",
        since_epoch.as_secs(),
        since_epoch.subsec_millis(),
        record.level().as_str(),
        record.payload()
    );
    for (key, value) in record.key_values() {
        let value = value.to_string();
        let unquoted =
            !value.is_empty() && !value.contains(|character: char| character.is_whitespace() || character == '"');
        let _ = if unquoted {
            write!(line, " {}={value}", key.as_str())
        } else {
            write!(line, " {}={value:?}", key.as_str())
        };
    }
    line.push('\n');
    line
}

impl GetSinkProp for StdoutSink {
    fn prop(&self) -> &SinkProp {
        &self.properties
    }
}

impl Sink for StdoutSink {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let line = format_line(&self.node, record);
        lock(&self.shared).add_line(&self.node, &line);
        self.shared.line_added.notify_one();
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        let text = lock(&self.shared).drain();
        let _ = std::io::stdout().write_all(text.as_bytes());
        Ok(())
    }
}
