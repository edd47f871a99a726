//! Extracts values from a settings file and collects all errors.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::{Table, Value};

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The key, qualified with its sections.
    pub key: String,
    /// The rejected value; `None` if the key is missing or the value is omitted.
    pub value: Option<String>,
    /// Why the value was rejected, with the allowed range if there is one.
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

/// A section of a settings file. Reading a value removes it, so that keys left at the end are unknown.
pub struct Section<'a> {
    name: String,
    table: Table,
    errors: &'a mut Vec<SettingError>,
}

impl<'a> Section<'a> {
    /// Creates a reader of `table` that appends errors to `errors`. The file's root has an empty name.
    pub fn new(name: &str, table: Table, errors: &'a mut Vec<SettingError>) -> Self {
        Self { name: name.to_string(), table, errors }
    }

    fn full_key(&self, key: &str) -> String {
        if self.name.is_empty() { key.to_string() } else { format!("{}.{key}", self.name) }
    }

    /// Records an error about the value of `key`, which may be missing.
    pub fn reject(&mut self, key: &str, value: Option<String>, reason: impl Into<String>) {
        let error = SettingError { key: self.full_key(key), value, reason: reason.into() };
        self.errors.push(error);
    }

    /// Removes and returns a subsection; empty if missing.
    pub fn take_table(&mut self, key: &str) -> Table {
        match self.table.remove(key) {
            None => Table::new(),
            Some(Value::Table(table)) => table,
            Some(other) => {
                self.reject(key, Some(other.to_string()), "is not a section");
                Table::new()
            }
        }
    }

    /// An optional string.
    pub fn optional_text(&mut self, key: &str) -> Option<String> {
        match self.table.remove(key)? {
            Value::String(text) => Some(text),
            other => {
                self.reject(key, Some(other.to_string()), "is not a string");
                None
            }
        }
    }

    /// A required string of at least `min_bytes` bytes.
    pub fn text(&mut self, key: &str, min_bytes: usize) -> String {
        if !self.table.contains_key(key) {
            self.reject(key, None, "is missing");
            return String::new();
        }
        let text = self.optional_text(key).unwrap_or_default();
        if text.len() < min_bytes {
            self.reject(key, None, format!("needs at least {min_bytes} bytes"));
        }
        text
    }

    /// An optional socket address.
    pub fn optional_address(&mut self, key: &str) -> Option<SocketAddr> {
        let text = self.optional_text(key)?;
        let parsed = text.parse();
        if parsed.is_err() {
            self.reject(key, Some(format!("\"{text}\"")), "is not an IP address with a port, such as 10.0.0.1:7400");
        }
        parsed.ok()
    }

    /// A required socket address.
    pub fn address(&mut self, key: &str) -> SocketAddr {
        if !self.table.contains_key(key) {
            self.reject(key, None, "is missing");
        }
        self.optional_address(key).unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    /// A required, non-empty list of socket addresses.
    pub fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        let Some(value) = self.table.remove(key) else {
            self.reject(key, None, "is missing");
            return Vec::new();
        };
        let Value::Array(values) = value else {
            self.reject(key, Some(value.to_string()), "is not a list");
            return Vec::new();
        };
        if values.is_empty() {
            self.reject(key, None, "needs at least one address");
        }
        let mut addresses = Vec::new();
        for value in values {
            match value.as_str().and_then(|text| text.parse().ok()) {
                Some(address) => addresses.push(address),
                None => self.reject(key, Some(value.to_string()), "is not an IP address with a port"),
            }
        }
        addresses
    }

    /// A list of strings out of `allowed`; empty if missing.
    pub fn texts(&mut self, key: &str, allowed: &[&str]) -> Vec<String> {
        let Some(value) = self.table.remove(key) else {
            return Vec::new();
        };
        let Value::Array(values) = value else {
            self.reject(key, Some(value.to_string()), "is not a list");
            return Vec::new();
        };
        let mut texts = Vec::new();
        for value in values {
            match value.as_str().filter(|text| allowed.contains(text)) {
                Some(text) => texts.push(text.to_string()),
                None => self.reject(key, Some(value.to_string()), format!("is not one of {allowed:?}")),
            }
        }
        texts
    }

    /// An integer in `range`; `default` if missing.
    pub fn number(&mut self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.table.remove(key) else {
            return default;
        };
        let number = value.as_integer().and_then(|number| u64::try_from(number).ok());
        match number.filter(|number| range.contains(number)) {
            Some(number) => number,
            None => {
                let reason = format!("is not a whole number from {} to {}", range.start(), range.end());
                self.reject(key, Some(value.to_string()), reason);
                default
            }
        }
    }

    /// A duration given in whole milliseconds, with `range` in milliseconds; `default` if missing.
    pub fn milliseconds(&mut self, key: &str, default: Duration, range: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.number(key, default.as_millis() as u64, range))
    }

    /// A required integer in `range`.
    pub fn required_number(&mut self, key: &str, range: RangeInclusive<u64>) -> u64 {
        if !self.table.contains_key(key) {
            self.reject(key, None, "is missing");
        }
        let minimum = *range.start();
        self.number(key, minimum, range)
    }

    /// A duration given in seconds, fractions allowed, with `range` in seconds; `default` if missing.
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
                self.reject(key, Some(value.to_string()), reason);
                default
            }
        }
    }

    /// A boolean; `default` if missing.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        match self.table.remove(key) {
            None => default,
            Some(Value::Boolean(flag)) => flag,
            Some(other) => {
                self.reject(key, Some(other.to_string()), "is not `true` or `false`");
                default
            }
        }
    }

    /// Records an error for every key that was not read.
    pub fn reject_unknown_keys(mut self) {
        for (key, value) in std::mem::take(&mut self.table) {
            self.reject(&key, Some(value.to_string()), "is not a known key");
        }
    }
}
