use heathertrack_platform::{Changes, Item};
use std::collections::BTreeMap;

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

    /// Applies a snapshot of the store, and returns the items that are newer than the local copy.
    /// Items that the snapshot lacks are marked as removed, and returned too.
    pub fn apply_snapshot(&mut self, changes: Changes) -> Vec<Item> {
        let revision = changes.revision;
        let present_keys: std::collections::HashSet<String> =
            changes.items.iter().map(|item| item.key.clone()).collect();
        let is_removed = |item: &&Item| {
            item.value.is_some() && item.revision <= revision && !present_keys.contains(&item.key)
        };
        let removed: Vec<Item> = self
            .items
            .values()
            .filter(is_removed)
            .map(|item| Item { key: item.key.clone(), revision, value: None })
            .collect();
        let mut newer_items = self.apply(changes);
        for item in removed {
            self.items.insert(item.key.clone(), item.clone());
            newer_items.push(item);
        }
        newer_items
    }

    /// Returns the items that changed after a revision, including removals.
    pub fn changes_after(&self, revision: u64) -> Changes {
        let newer = |item: &&Item| item.revision > revision;
        let items = self.items.values().filter(newer).cloned().collect();
        Changes { items, revision: self.revision }
    }
}
