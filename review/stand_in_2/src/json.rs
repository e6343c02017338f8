//! JSON values: a parser and a writer for the messages of the platform.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, Default, PartialEq)]
pub enum Value {
    #[default]
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    /// Parses a text; anything that is not JSON becomes null.
    pub fn parse(text: &str) -> Value {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        parser.value().unwrap_or_default()
    }

    pub fn get(&self, name: &str) -> &Value {
        const NULL: &Value = &Value::Null;
        match self {
            Value::Object(fields) => fields.get(name).unwrap_or(NULL),
            _ => NULL,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(values) => values,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn whole(&self) -> Option<u64> {
        match self {
            Value::Number(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Value::Number(number as f64)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Value::Text(text.to_owned())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Value::Text(text)
    }
}

impl From<bool> for Value {
    fn from(value: bool) -> Self {
        Value::Bool(value)
    }
}

impl From<Vec<Value>> for Value {
    fn from(values: Vec<Value>) -> Self {
        Value::List(values)
    }
}

/// Builds an object from names and values.
pub fn object<const N: usize>(fields: [(&str, Value); N]) -> Value {
    Value::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => f.write_str("null"),
            Value::Bool(value) => write!(f, "{value}"),
            Value::Number(number) => write!(f, "{number}"),
            Value::Text(text) => write_text(f, text),
            Value::List(values) => {
                f.write_str("[")?;
                for (index, value) in values.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(f, "{comma}{value}")?;
                }
                f.write_str("]")
            }
            Value::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for char in text.chars() {
        match char {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            control if control.is_control() => write!(f, "\\u{:04x}", control as u32)?,
            other => write!(f, "{other}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'n' => self.word("null", Value::Null),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'"' => self.text().map(Value::Text),
            b'[' => {
                self.take(b'[')?;
                let mut values = Vec::new();
                while self.peek()? != b']' {
                    values.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.take(b']')?;
                Some(Value::List(values))
            }
            b'{' => {
                self.take(b'{')?;
                let mut fields = BTreeMap::new();
                while self.peek()? != b'}' {
                    let name = self.text()?;
                    self.take(b':')?;
                    fields.insert(name, self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.take(b'}')?;
                Some(Value::Object(fields))
            }
            _ => {
                let rest = &self.bytes[self.at..];
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                let length = rest.iter().take_while(|byte| is_part(byte)).count();
                self.at += length;
                std::str::from_utf8(&rest[..length]).ok()?.parse().ok().map(Value::Number)
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let char = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            bytes.extend(char.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}
