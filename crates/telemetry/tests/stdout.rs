//! Format, buffering and rate limit of log lines on standard output.

use saddlerelay_telemetry::stdout::{Buffer, format_line};
use spdlog::sink::{Sink, SinkProp};
use std::sync::{Arc, Mutex};

/// A sink that collects formatted lines.
#[derive(Default)]
struct Lines {
    properties: SinkProp,
    lines: Mutex<Vec<String>>,
}

impl spdlog::sink::GetSinkProp for Lines {
    fn prop(&self) -> &SinkProp {
        &self.properties
    }
}

impl Sink for Lines {
    fn log(&self, record: &spdlog::Record) -> spdlog::Result<()> {
        self.lines.lock().expect("the lines mutex is poisoned").push(format_line("node-1", record));
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

#[test]
fn a_line_has_time_level_node_event_and_fields() {
    let sink = Arc::new(Lines::default());
    let logger = spdlog::Logger::builder().sink(sink.clone()).build().expect("failed to build the logger");
    spdlog::warn!(logger: logger, "request refused", kv: { request = "r-1", reason = "no \"lease\" now", held_ms = 4_u64 });
    let lines = sink.lines.lock().expect("the lines mutex is poisoned");
    let line = lines[0].trim_end();
    assert!(line.starts_with("time="), "{line}");
    let rest = line.split_once(' ').expect("the line has no fields after the time").1;
    assert_eq!(
        rest,
        r#"level=warn node=node-1 event="request refused" request=r-1 reason="no \"lease\" now" held_ms=4"#
    );
}

#[test]
fn lines_beyond_the_rate_limit_are_dropped_and_their_count_is_logged() {
    let mut buffer = Buffer::new(100, 3);
    for _ in 0..5 {
        buffer.add_line("n", "a line\n");
    }
    assert_eq!(buffer.dropped(), 2);
    buffer.next_second();
    buffer.add_line("n", "later\n");
    let text = buffer.drain();
    assert_eq!(text.matches("a line").count(), 3);
    assert!(text.contains("event=\"log lines dropped\" count=2"), "{text}");
    assert!(text.ends_with("later\n"));
}

#[test]
fn a_full_buffer_drops_further_lines() {
    let mut buffer = Buffer::new(20, 1_000);
    buffer.add_line("n", "ten signs\n");
    buffer.add_line("n", "ten signs\n");
    buffer.add_line("n", "one too many\n");
    assert_eq!(buffer.dropped(), 1);
    assert_eq!(buffer.drain(), "ten signs\nten signs\n");
}
