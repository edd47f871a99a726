//! Reads log lines back.

/// One line of a process's log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// Seconds since the Unix epoch, by the clock of the machine that wrote it.
    pub time: f64,
    /// The process.
    pub node: String,
    /// How serious it is.
    pub level: String,
    /// What happened.
    pub event: String,
    /// What decided it, and the outcome.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Reads a line; whatever stands before its time, for example what a collector adds, is left out. `None` if it is
    /// no log line.
    pub fn parse(line: &str) -> Option<Self> {
        let start = line.find("time=")?;
        let mut pairs = Pairs { rest: &line[start..] };
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

    /// Whether some field has this value.
    pub fn mentions(&self, value: &str) -> bool {
        self.fields.iter().any(|(_, held)| held == value)
    }

    /// The value of a field.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.iter().find(|(held, _)| held == key).map(|(_, value)| value.as_str())
    }
}

struct Pairs<'a> {
    rest: &'a str,
}

impl<'a> Pairs<'a> {
    fn next_pair(&mut self) -> Option<(&'a str, String)> {
        let (key, rest) = self.rest.trim_start().split_once('=')?;
        let (value, rest) = if rest.starts_with('"') { quoted(rest)? } else { plain(rest) };
        self.rest = rest;
        Some((key, value))
    }
}

fn plain(text: &str) -> (String, &str) {
    let end = text.find(char::is_whitespace).unwrap_or(text.len());
    (text[..end].to_string(), &text[end..])
}

/// A text in quotes, with `\"`, `\\` and `\n` in it.
fn quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut signs = text.char_indices().skip(1);
    while let Some((at, sign)) = signs.next() {
        match sign {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => match signs.next()?.1 {
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
