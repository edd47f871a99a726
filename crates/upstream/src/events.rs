//! Events of a stream, read from its bytes as they come.

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Its number in the stream, if it has one.
    pub id: Option<u64>,
    /// Its data; several lines are parted by line feeds.
    pub data: Vec<u8>,
    /// The value of a leading line with the name that the reader looks for.
    pub noted: Option<String>,
    /// The event as it came, with the empty line that ends it.
    pub raw: Vec<u8>,
}

/// Cuts a stream of bytes into events.
pub struct EventCutter {
    received: Vec<u8>,
    /// How many of `received` are known to hold no end of an event.
    searched: usize,
    /// The name of the line to note, in lower case and with its colon.
    noted_line: String,
}

impl EventCutter {
    /// A cutter that notes the value of lines named `noted_name`.
    pub fn new(noted_name: &str) -> Self {
        Self { received: Vec::new(), searched: 0, noted_line: format!("{}:", noted_name.to_ascii_lowercase()) }
    }

    /// Takes the next bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
    }

    /// Whether bytes of an unfinished event are left.
    pub fn is_mid_event(&self) -> bool {
        !self.received.is_empty()
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = end_of_event(&self.received[from..]).map(|end| from + end) else {
            self.searched = self.received.len();
            return None;
        };
        let raw: Vec<u8> = self.received.drain(..end).collect();
        self.searched = 0;
        Some(self.parse(raw))
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
            } else if let Some(value) = field(line, self.noted_line.as_bytes()) {
                event.noted = Some(String::from_utf8_lossy(value).trim().to_string());
            }
        }
        event.raw = raw;
        event
    }
}

/// The value of a line that begins with `name`, less one leading space.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// The index after the first empty line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let with_returns = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (plain, with_returns) {
        (Some(plain), Some(with_returns)) => Some(plain.min(with_returns)),
        (plain, with_returns) => plain.or(with_returns),
    }
}
