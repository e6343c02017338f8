use crate::{Fields, Findings};
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// A value in a document, with its path.
#[derive(Clone, Debug)]
pub struct Node<'a> {
    value: &'a Value<'a>,
    path: String,
    /// Text of the whole document.
    text: &'a str,
}

impl<'a> Node<'a> {
    pub(crate) fn new(value: &'a Value<'a>, path: String, text: &'a str) -> Self {
        Node { value, path, text }
    }

    /// Returns the path of fields and indices that leads to the value.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Returns the part of the document's text that holds the value.
    pub fn raw(&self) -> &'a str {
        let range = self.value.range();
        &self.text[range.start..range.end]
    }

    /// Adds a finding about this value. `message` is a predicate, such as "is empty".
    pub fn reject(&self, message: impl Into<String>, findings: &mut Findings) {
        findings.add(self.value.range().start, &self.path, message);
    }

    /// Returns the fields of the value if it is an object. This and the following methods add a
    /// finding if the value is of another type.
    pub fn fields(&self, findings: &mut Findings) -> Option<Fields<'a>> {
        match self.value {
            Value::Object(object) => {
                Some(Fields::new(object, self.path.clone(), self.text, findings))
            }
            _ => self.wrong_type("an object", findings),
        }
    }

    /// Returns the items of the value if it is an array.
    pub fn items(&self, findings: &mut Findings) -> Option<Vec<Node<'a>>> {
        let Value::Array(array) = self.value else {
            return self.wrong_type("an array", findings);
        };
        let item = |(index, value)| Node::new(value, format!("{}[{index}]", self.path), self.text);
        Some(array.elements.iter().enumerate().map(item).collect())
    }

    /// Returns the value if it is a string.
    pub fn string(&self, findings: &mut Findings) -> Option<&'a str> {
        match self.value {
            Value::StringLit(text) => Some(text.value.as_ref()),
            _ => self.wrong_type("a string", findings),
        }
    }

    /// Parses the value if it is a string; adds a finding if that fails.
    pub fn parse<T>(&self, findings: &mut Findings) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.string(findings)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.reject(format!("is not valid: {error}"), findings);
                None
            }
        }
    }

    /// Returns the value if it is a whole number within `range`, written without a fraction or an
    /// exponent.
    pub fn integer(&self, range: RangeInclusive<u64>, findings: &mut Findings) -> Option<u64> {
        let Value::NumberLit(number) = self.value else {
            return self.wrong_type("a whole number", findings);
        };
        match number.value.parse::<u64>() {
            Ok(value) if range.contains(&value) => Some(value),
            _ => {
                let (low, high) = (range.start(), range.end());
                self.reject(format!("must be a whole number from {low} to {high}"), findings);
                None
            }
        }
    }

    /// Returns the value if it is a number within `range`.
    pub fn number(&self, range: RangeInclusive<f64>, findings: &mut Findings) -> Option<f64> {
        let Value::NumberLit(number) = self.value else {
            return self.wrong_type("a number", findings);
        };
        match number.value.parse::<f64>() {
            Ok(value) if range.contains(&value) => Some(value),
            _ => {
                let (low, high) = (range.start(), range.end());
                self.reject(format!("must be a number from {low} to {high}"), findings);
                None
            }
        }
    }

    fn wrong_type<T>(&self, expected: &str, findings: &mut Findings) -> Option<T> {
        self.reject(format!("must be {expected}"), findings);
        None
    }
}
