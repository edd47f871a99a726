//! A small reader of JSON.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn read(bytes: &[u8]) -> Option<Json> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut reader = Reader { rest: text };
        let value = reader.value()?;
        reader.rest.trim().is_empty().then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> Option<u64> {
        if let Json::Number(number) = self { Some(*number as u64) } else { None }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

struct Reader<'a> {
    rest: &'a str,
}

impl Reader<'_> {
    fn take(&mut self, token: &str) -> Option<()> {
        self.rest = self.rest.trim_start().strip_prefix(token)?;
        Some(())
    }

    fn value(&mut self) -> Option<Json> {
        self.rest = self.rest.trim_start();
        match self.rest.as_bytes().first()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => {
                let end = self.rest.find(|c: char| !matches!(c, '0'..='9' | '-' | '+' | '.' | 'e' | 'E'));
                let (number, rest) = self.rest.split_at(end.unwrap_or(self.rest.len()));
                self.rest = rest;
                number.parse().ok().map(Json::Number)
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = BTreeMap::new();
        while self.take("}").is_none() {
            if !fields.is_empty() {
                self.take(",")?;
            }
            self.rest = self.rest.trim_start();
            let key = self.string()?;
            self.take(":")?;
            fields.insert(key, self.value()?);
        }
        Some(Json::Object(fields))
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut entries = Vec::new();
        while self.take("]").is_none() {
            if !entries.is_empty() {
                self.take(",")?;
            }
            entries.push(self.value()?);
        }
        Some(Json::List(entries))
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut text = String::new();
        loop {
            let mut characters = self.rest.chars();
            let next = characters.next()?;
            self.rest = characters.as_str();
            match next {
                '"' => return Some(text),
                '\\' => {
                    let escaped = characters.next()?;
                    self.rest = characters.as_str();
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let code = u32::from_str_radix(self.rest.get(..4)?, 16).ok()?;
                            self.rest = &self.rest[4..];
                            text.push(char::from_u32(code)?);
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}
