//! Structured log lines on standard output: bounded, and never in the way of the work that logs.
//!
//! Lines go into a buffer that a thread of its own writes out. When the buffer or the budget of a second is full, lines
//! are dropped and counted, and the count is told with the next line that fits.

use spdlog::Record;
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, UNIX_EPOCH};

/// Most bytes that wait to be written.
const BUFFER_BYTES: usize = 256 * 1024;

/// Most lines taken in one second.
const LINES_PER_SECOND: u32 = 2_000;

/// How long lines are gathered before they are written together.
const GATHER: Duration = Duration::from_millis(25);

/// Lines that wait to be written.
pub struct Buffer {
    text: String,
    most_bytes: usize,
    lines_per_second: u32,
    second: Option<Instant>,
    lines_in_second: u32,
    dropped: u64,
    dropped_untold: u64,
}

impl Default for Buffer {
    fn default() -> Self {
        Self::new(BUFFER_BYTES, LINES_PER_SECOND)
    }
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

/// The sink.
pub struct StdoutSink {
    properties: SinkProp,
    node: String,
    shared: Arc<Shared>,
}

impl StdoutSink {
    /// A sink whose lines name the process `node`. Its writer ends with the process.
    pub fn new(node: &str) -> Self {
        let shared = Arc::<Shared>::default();
        let writer = shared.clone();
        std::thread::spawn(move || write_out(&writer));
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

fn write_out(shared: &Shared) {
    loop {
        let mut buffer = lock(shared);
        while buffer.text.is_empty() {
            buffer = shared.filled.wait(buffer).unwrap_or_else(|poisoned| poisoned.into_inner());
        }
        drop(buffer);
        std::thread::sleep(GATHER);
        let text = lock(shared).drain();
        // Nobody reads standard output any more: the lines are lost, the process goes on.
        let _ = std::io::stdout().write_all(text.as_bytes());
    }
}

impl Buffer {
    /// A buffer for so many bytes, and so many lines each second.
    pub fn new(most_bytes: usize, lines_per_second: u32) -> Self {
        let text = String::new();
        Self { text, most_bytes, lines_per_second, second: None, lines_in_second: 0, dropped: 0, dropped_untold: 0 }
    }

    /// Lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Takes what waits.
    pub fn drain(&mut self) -> String {
        std::mem::take(&mut self.text)
    }

    /// Begins the budget of the next second.
    pub fn next_second(&mut self) {
        self.second = Some(Instant::now());
        self.lines_in_second = 0;
    }

    /// Takes a line, or drops and counts it.
    pub fn take(&mut self, node: &str, line: &str) {
        if self.second.is_none_or(|second| second.elapsed() >= Duration::from_secs(1)) {
            self.next_second();
        }
        self.lines_in_second += 1;
        if self.lines_in_second > self.lines_per_second || self.text.len() + line.len() > self.most_bytes {
            self.dropped += 1;
            self.dropped_untold += 1;
            return;
        }
        if self.dropped_untold > 0 {
            let count = std::mem::take(&mut self.dropped_untold);
            let _ = writeln!(self.text, "level=warn node={node} event=\"log lines dropped\" count={count}");
        }
        self.text.push_str(line);
    }
}

/// A record as one line of `key=value` pairs.
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
        let plain = !value.is_empty() && !value.contains(|sign: char| sign.is_whitespace() || sign == '"');
        let _ =
            if plain { write!(line, " {}={value}", key.as_str()) } else { write!(line, " {}={value:?}", key.as_str()) };
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
        lock(&self.shared).take(&self.node, &line);
        self.shared.filled.notify_one();
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        let text = lock(&self.shared).drain();
        let _ = std::io::stdout().write_all(text.as_bytes());
        Ok(())
    }
}
