use heathertrack_platform::{Changes, Item};
use std::collections::{BTreeMap, HashSet};

/// Local copy of the platform's store, with the newest known revision of each item.
#[derive(Debug, Default)]
pub struct Mirror {
    items: BTreeMap<String, Item>,
    revision: u64,
}

impl Mirror {
    /// Returns the revision up to which all items are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies changes, and returns those that are newer than the local copy.
    pub fn apply(&mut self, changes: Changes) -> Vec<Item> {
        let mut newer_items = Vec::new();
        for item in changes.items {
            let known_revision = self.items.get(&item.key).map_or(0, |item| item.revision);
            if item.revision > known_revision {
                self.items.insert(item.key.clone(), item.clone());
                newer_items.push(item);
            }
        }
        self.revision = self.revision.max(changes.revision);
        newer_items
    }

    /// Returns the items that a full read of the covered keys lacks, as removed by its revision. Those
    /// that changed later are left out.
    pub fn missing_from(&self, read: &Changes, is_covered: impl Fn(&str) -> bool) -> Vec<Item> {
        let present_keys: HashSet<&str> = read.items.iter().map(|item| item.key.as_str()).collect();
        let is_removed = |item: &&Item| {
            item.value.is_some()
                && item.revision < read.revision
                && is_covered(&item.key)
                && !present_keys.contains(item.key.as_str())
        };
        let removed = |item: &Item| Item { value: None, revision: read.revision, ..item.clone() };
        self.items.values().filter(is_removed).map(removed).collect()
    }

    /// Returns the items that changed after a revision, including removals.
    pub fn changes_after(&self, revision: u64) -> Changes {
        let newer = |item: &&Item| item.revision > revision;
        let items = self.items.values().filter(newer).cloned().collect();
        Changes { items, revision: self.revision }
    }
}
