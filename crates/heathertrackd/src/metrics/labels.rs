use crate::state::lock;
use std::collections::HashSet;
use std::sync::Mutex;

/// Values of one label that are told apart; all further ones count as `other`.
const MOST: usize = 100;
const OTHER: &str = "other";

/// Bounds the values of a label.
#[derive(Debug, Default)]
pub struct Labels {
    known: Mutex<HashSet<String>>,
}

impl Labels {
    /// The value itself, or `other` once too many are known.
    pub fn bound(&self, value: &str) -> String {
        let mut known = lock(&self.known);
        if known.contains(value) {
            return value.to_owned();
        }
        if known.len() >= MOST {
            return OTHER.to_owned();
        }
        known.insert(value.to_owned());
        value.to_owned()
    }
}
