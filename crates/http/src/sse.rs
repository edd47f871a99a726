//! Server-sent events with a single `data` line each.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;

/// Data of the event that ends a complete stream.
pub const DONE: &str = "[DONE]";

/// Content type of an event stream.
pub const CONTENT_TYPE: &str = "text/event-stream";

/// Maximum size of an event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

const DATA_PREFIX: &str = "data: ";

/// Encodes an event with `value` as JSON.
pub fn event(value: &impl Serialize) -> Bytes {
    let json = serde_json::to_string(value).unwrap_or_default();
    Bytes::from(format!("{DATA_PREFIX}{json}\n\n"))
}

/// Encodes the event that ends a complete stream.
pub fn done() -> Bytes {
    Bytes::from(format!("{DATA_PREFIX}{DONE}\n\n"))
}

/// Reads events from a response body.
pub struct EventReader {
    body: Incoming,
    buffer: Vec<u8>,
    /// Number of bytes of `buffer` already searched for the end of an event.
    searched: usize,
}

impl EventReader {
    /// Reads from `body`.
    pub fn new(body: Incoming) -> Self {
        Self { body, buffer: Vec::new(), searched: 0 }
    }

    /// The data of the next event; `None` when the body has ended or failed, or if an event exceeds [`MAX_EVENT_BYTES`].
    pub async fn next(&mut self) -> Option<String> {
        loop {
            if let Some(data) = self.next_buffered_event() {
                return Some(data);
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Some(bytes) = frame.data_ref() {
                self.buffer.extend_from_slice(bytes);
            }
        }
    }

    fn next_buffered_event(&mut self) -> Option<String> {
        let from = self.searched.saturating_sub(1);
        let Some(end) = self.buffer[from..].windows(2).position(|pair| pair == b"\n\n") else {
            self.searched = self.buffer.len();
            return None;
        };
        let end = from + end;
        self.searched = 0;
        let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
        let text = String::from_utf8_lossy(&event[..end]).into_owned();
        Some(text.strip_prefix(DATA_PREFIX).unwrap_or(&text).to_string())
    }
}
