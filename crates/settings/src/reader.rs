//! Takes values out of a settings file and collects every error.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::{Table, Value};

/// One thing wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The key, with its sections.
    pub key: String,
    /// The value given, if one was.
    pub value: Option<String>,
    /// Why it cannot be accepted, with the allowed range.
    pub reason: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(formatter, "`{}` = {value}: {}", self.key, self.reason),
            None => write!(formatter, "`{}`: {}", self.key, self.reason),
        }
    }
}

/// One section of a file. Values are taken out; what is left at the end is unknown.
pub struct Section<'a> {
    name: String,
    table: Table,
    errors: &'a mut Vec<SettingError>,
}

impl<'a> Section<'a> {
    /// A section; errors go to `errors`.
    pub fn new(name: &str, table: Table, errors: &'a mut Vec<SettingError>) -> Self {
        Self { name: name.to_string(), table, errors }
    }

    fn full_key(&self, key: &str) -> String {
        if self.name.is_empty() { key.to_string() } else { format!("{}.{key}", self.name) }
    }

    /// Records an error.
    pub fn refuse(&mut self, key: &str, value: Option<String>, reason: impl Into<String>) {
        let error = SettingError { key: self.full_key(key), value, reason: reason.into() };
        self.errors.push(error);
    }

    /// Takes a section out of this one; empty if it is not there.
    pub fn take_table(&mut self, key: &str) -> Table {
        match self.table.remove(key) {
            None => Table::new(),
            Some(Value::Table(table)) => table,
            Some(other) => {
                self.refuse(key, Some(other.to_string()), "is not a section");
                Table::new()
            }
        }
    }

    /// A text, or `None` if it is not there.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        match self.table.remove(key)? {
            Value::String(text) => Some(text),
            other => {
                self.refuse(key, Some(other.to_string()), "is not a text");
                None
            }
        }
    }

    /// A text that must be there and have at least `shortest` characters.
    pub fn text(&mut self, key: &str, shortest: usize) -> String {
        if !self.table.contains_key(key) {
            self.refuse(key, None, "is missing");
            return String::new();
        }
        let text = self.optional_text(key).unwrap_or_default();
        if text.len() < shortest {
            self.refuse(key, None, format!("needs at least {shortest} characters"));
        }
        text
    }

    /// An address, or `None` if it is not there.
    pub fn optional_address(&mut self, key: &str) -> Option<SocketAddr> {
        let text = self.optional_text(key)?;
        let parsed = text.parse();
        if parsed.is_err() {
            self.refuse(key, Some(format!("\"{text}\"")), "is not an IP number with a port, such as 10.0.0.1:7400");
        }
        parsed.ok()
    }

    /// An address that must be there.
    pub fn address(&mut self, key: &str) -> SocketAddr {
        if !self.table.contains_key(key) {
            self.refuse(key, None, "is missing");
        }
        self.optional_address(key).unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// A list of addresses that must be there and not be empty.
    pub fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        let Some(value) = self.table.remove(key) else {
            self.refuse(key, None, "is missing");
            return Vec::new();
        };
        let Value::Array(values) = value else {
            self.refuse(key, Some(value.to_string()), "is not a list");
            return Vec::new();
        };
        if values.is_empty() {
            self.refuse(key, None, "needs at least one address");
        }
        let mut addresses = Vec::new();
        for value in values {
            match value.as_str().and_then(|text| text.parse().ok()) {
                Some(address) => addresses.push(address),
                None => self.refuse(key, Some(value.to_string()), "is not an IP number with a port"),
            }
        }
        addresses
    }

    /// A list of texts, each one of `allowed`; empty if it is not there.
    pub fn texts(&mut self, key: &str, allowed: &[&str]) -> Vec<String> {
        let Some(value) = self.table.remove(key) else {
            return Vec::new();
        };
        let Value::Array(values) = value else {
            self.refuse(key, Some(value.to_string()), "is not a list");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for value in values {
            match value.as_str().filter(|text| allowed.contains(text)) {
                Some(text) => texts.push(text.to_string()),
                None => self.refuse(key, Some(value.to_string()), format!("is not one of {allowed:?}")),
            }
        }
        texts
    }

    /// A whole number in `range`, or `default`.
    pub fn number(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.table.remove(key) else {
            return default;
        };
        let number = value.as_integer().and_then(|number| u64::try_from(number).ok());
        match number.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let reason = format!("is not a whole number from {} to {}", range.start(), range.end());
                self.refuse(key, Some(value.to_string()), reason);
                default
            }
        }
    }

    /// Milliseconds in `range`, or `default`.
    pub fn milliseconds(&mut self, key: &str, default: Duration, range: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(key, default.as_millis() as u64, range))
    }

    /// A whole number in `range` that must be there.
    pub fn required_number(&mut self, key: &str, range: RangeInclusive<u64>) -> u64 {
        if !self.table.contains_key(key) {
            self.refuse(key, None, "is missing");
        }
        let least = *range.start();
        self.number(key, least, range)
    }

    /// Seconds, fractions too, in `range`, or `default`.
    pub fn seconds(&mut self, key: &str, default: Duration, range: RangeInclusive<u64>) -> Duration {
        let Some(value) = self.table.remove(key) else {
            return default;
        };
        let number = value.as_float().or_else(|| value.as_integer().map(|number| number as f64));
        let allowed = *range.start() as f64..=*range.end() as f64;
        match number.filter(|number| allowed.contains(number)) {
            Some(number) => Duration::from_secs_f64(number),
            None => {
                let reason = format!("is not a number of seconds from {} to {}", range.start(), range.end());
                self.refuse(key, Some(value.to_string()), reason);
                default
            }
        }
    }

    /// `true` or `false`, or `default`.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        match self.table.remove(key) {
            None => default,
            Some(Value::Boolean(flag)) => flag,
            Some(other) => {
                self.refuse(key, Some(other.to_string()), "is not `true` or `false`");
                default
            }
        }
    }

    /// Refuses every key that was not taken.
    pub fn end(mut self) {
        for (key, value) in std::mem::take(&mut self.table) {
            self.refuse(&key, Some(value.to_string()), "is not a known key");
        }
    }
}
