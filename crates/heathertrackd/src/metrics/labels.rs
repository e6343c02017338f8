use crate::state::lock;
use std::collections::HashSet;
use std::sync::Mutex;

/// Maximum number of distinct values of one label; all further ones count as `other`.
const MAX_VALUES: usize = 100;
const OTHER: &str = "other";

/// Bounds the number of distinct values of a label, and so the cardinality of its metrics.
#[derive(Debug, Default)]
pub struct LabelLimiter {
    known: Mutex<HashSet<String>>,
}

impl LabelLimiter {
    /// Returns the value itself, or `other` if it is new and the limit is reached.
    pub fn bound(&self, value: &str) -> String {
        let mut known = lock(&self.known);
        if known.contains(value) {
            return value.to_owned();
        }
        if known.len() >= MAX_VALUES {
            return OTHER.to_owned();
        }
        known.insert(value.to_owned());
        value.to_owned()
    }
}
