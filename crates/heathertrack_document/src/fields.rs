use crate::{Findings, Node};
use jsonc_parser::ast::{Object, ObjectProp};
use jsonc_parser::common::Ranged;
use std::collections::HashSet;

/// Reads the fields of an object by name and records which ones were requested.
#[derive(Debug)]
pub struct Fields<'a> {
    object: &'a Object<'a>,
    /// Path of the object.
    path: String,
    /// Text of the whole document.
    text: &'a str,
    /// Names of the fields that were requested.
    read: HashSet<&'static str>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(
        object: &'a Object<'a>,
        path: String,
        text: &'a str,
        findings: &mut Findings,
    ) -> Self {
        let fields = Fields { object, path, text, read: HashSet::new() };
        fields.check_duplicates(findings);
        fields
    }

    fn check_duplicates(&self, findings: &mut Findings) {
        let mut seen = HashSet::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            if !seen.insert(name) {
                findings.add(property.range.start, &self.child_path(name), "stands twice");
            }
        }
    }

    /// Returns a field that may be missing.
    pub fn optional(&mut self, name: &'static str) -> Option<Node<'a>> {
        self.read.insert(name);
        let mut properties = self.object.properties.iter();
        let property = properties.find(|property| property.name.as_str() == name)?;
        Some(self.node(property))
    }

    /// Returns a field that must exist; adds a finding if it is missing.
    pub fn required(&mut self, name: &'static str, findings: &mut Findings) -> Option<Node<'a>> {
        let node = self.optional(name);
        if node.is_none() {
            let message = format!("lacks the field \"{name}\"");
            findings.add(self.object.range().start, &self.path, message);
        }
        node
    }

    /// Returns all fields with their names, for an object that is a map.
    pub fn entries(&self) -> Vec<(&'a str, Node<'a>)> {
        let entry = |property: &'a ObjectProp<'a>| (property.name.as_str(), self.node(property));
        self.object.properties.iter().map(entry).collect()
    }

    /// Adds a finding for every field that was not requested by name, as it is unknown.
    pub fn finish(self, findings: &mut Findings) {
        for property in &self.object.properties {
            let name = property.name.as_str();
            if !self.read.contains(name) {
                findings.add(property.range.start, &self.child_path(name), "is not a known field");
            }
        }
    }

    fn node(&self, property: &'a ObjectProp<'a>) -> Node<'a> {
        Node::new(&property.value, self.child_path(property.name.as_str()), self.text)
    }

    fn child_path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }
}
