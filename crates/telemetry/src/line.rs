//! Parses log lines.

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Seconds since the Unix epoch, by the clock of the machine that logged it.
    pub time: f64,
    /// Name of the process.
    pub node: String,
    /// Log level.
    pub level: String,
    /// Name of the event.
    pub event: String,
    /// Keys and values of the event, in order.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line, ignoring any prefix before `time=`, such as one that a log collector adds. `None` if it is not a
    /// complete log line.
    pub fn parse(line: &str) -> Option<Self> {
        let start = line.find("time=")?;
        let mut pairs = Pairs { remaining: &line[start..] };
        let mut parsed = Self {
            time: f64::NAN,
            node: String::new(),
            level: String::new(),
            event: String::new(),
            fields: Vec::new(),
        };
        while let Some((key, value)) = pairs.next_pair() {
            match key {
                "time" if parsed.time.is_nan() => parsed.time = value.parse().ok()?,
                "node" if parsed.node.is_empty() => parsed.node = value,
                "level" if parsed.level.is_empty() => parsed.level = value,
                "event" if parsed.event.is_empty() => parsed.event = value,
                _ => parsed.fields.push((key.to_string(), value)),
            }
        }
        (!parsed.time.is_nan() && !parsed.event.is_empty()).then_some(parsed)
    }

    /// Whether any field has this value.
    pub fn mentions(&self, value: &str) -> bool {
        self.fields.iter().any(|(_, found)| found == value)
    }

    /// The value of the first field with this key.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(found, _)| found == key).map(|(_, value)| value.as_str())
    }
}

struct Pairs<'a> {
    remaining: &'a str,
}

impl<'a> Pairs<'a> {
    fn next_pair(&mut self) -> Option<(&'a str, String)> {
        let (key, remaining) = self.remaining.trim_start().split_once('=')?;
        let (value, remaining) = if remaining.starts_with('"') { quoted(remaining)? } else { unquoted(remaining) };
        self.remaining = remaining;
        Some((key, value))
    }
}

fn unquoted(text: &str) -> (String, &str) {
    let end = text.find(char::is_whitespace).unwrap_or(text.len());
    (text[..end].to_string(), &text[end..])
}

/// Parses a quoted value with backslash escapes; returns it with the rest of the text. `None` if the quote is not closed.
fn quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut characters = text.char_indices().skip(1);
    while let Some((at, character)) = characters.next() {
        match character {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => match characters.next()?.1 {
                'n' => value.push('\n'),
                't' => value.push('\t'),
                'r' => value.push('\r'),
                other => value.push(other),
            },
            other => value.push(other),
        }
    }
    None
}
