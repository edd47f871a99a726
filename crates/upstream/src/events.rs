//! Incremental parser for server-sent events.

use crate::limits::MAX_EVENT_BYTES;
use std::fmt;

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The numeric `id` field, if present.
    pub id: Option<u64>,
    /// The `data` fields, joined by line feeds.
    pub data: Vec<u8>,
    /// The value of the additional field that the parser was created for.
    pub extra_value: Option<String>,
    /// The raw bytes of the event, including the empty line at its end.
    pub raw: Vec<u8>,
}

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl fmt::Display for EventTooLong {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "an event of the stream exceeds {MAX_EVENT_BYTES} bytes")
    }
}

impl std::error::Error for EventTooLong {}

/// Splits a byte stream into events.
pub struct EventParser {
    buffer: Vec<u8>,
    /// Number of bytes of `buffer` already searched for the end of an event.
    searched: usize,
    /// Name of the additional field to extract, in lower case, with its colon.
    extra_field: String,
}

impl EventParser {
    /// A parser that also extracts the field `field_name`.
    pub fn new(field_name: &str) -> Self {
        Self { buffer: Vec::new(), searched: 0, extra_field: format!("{}:", field_name.to_ascii_lowercase()) }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the buffer contains an incomplete event.
    pub fn is_mid_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next complete event, if the buffer contains one; an error once an event is too long, whether or not its end
    /// has arrived.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLong> {
        let from = self.searched.saturating_sub(3);
        let end = end_of_event(&self.buffer[from..]).map(|end| from + end);
        if end.unwrap_or(self.buffer.len()) > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        let Some(end) = end else {
            self.searched = self.buffer.len();
            return Ok(None);
        };
        let raw: Vec<u8> = self.buffer.drain(..end).collect();
        self.searched = 0;
        Ok(Some(self.parse(raw)))
    }

    fn parse(&self, raw: Vec<u8>) -> Event {
        let mut event = Event::default();
        let mut has_data = false;
        for line in raw.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = field(line, b"data:") {
                if has_data {
                    event.data.push(b'\n');
                }
                has_data = true;
                event.data.extend_from_slice(value);
            } else if let Some(value) = field(line, b"id:") {
                event.id = std::str::from_utf8(value).ok().and_then(|value| value.trim().parse().ok());
            } else if let Some(value) = field(line, self.extra_field.as_bytes()) {
                event.extra_value = Some(String::from_utf8_lossy(value).trim().to_string());
            }
        }
        event.raw = raw;
        event
    }
}

/// The value of a line that starts with `name`, without one leading space.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// The index after the first empty line, which ends an event.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let lf_end = bytes.windows(2).position(|window| window == b"\n\n").map(|index| index + 2);
    let crlf_end = bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|index| index + 4);
    match (lf_end, crlf_end) {
        (Some(lf_end), Some(crlf_end)) => Some(lf_end.min(crlf_end)),
        (lf_end, crlf_end) => lf_end.or(crlf_end),
    }
}
