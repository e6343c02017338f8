use crate::clock::Time;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of classes that are compared. Tasks of further ones are neither compared nor kept
/// apart, so what is learned takes at most 50 kB.
pub const MAX_CLASSES: usize = 16;
/// Time without a start after which a class gives way to another one.
const IDLE_TIME: Duration = Duration::from_secs(600);

/// Index of a tracked class.
pub type Index = usize;

/// A value for each tracked class.
pub type PerClass<T> = [T; MAX_CLASSES];

#[derive(Debug)]
struct Entry {
    name: Arc<str>,
    /// Number of its current runs.
    runs: u32,
    last_start: Time,
}

/// The tracked classes.
#[derive(Debug, Default)]
pub(super) struct Classes {
    entries: Vec<Entry>,
}

impl Classes {
    /// Returns the number of indices in use.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the name of a class.
    pub fn name(&self, class: Index) -> &Arc<str> {
        &self.entries[class].name
    }

    /// Returns the index of a class, if it is tracked.
    pub fn find(&self, name: &str) -> Option<Index> {
        self.entries.iter().position(|entry| &*entry.name == name)
    }

    /// Returns the index that a new class gets, and whether another class had it, if there is room.
    pub fn vacancy(&self, now: Time) -> Option<(Index, bool)> {
        if self.entries.len() < MAX_CLASSES {
            return Some((self.entries.len(), false));
        }
        let is_idle = |entry: &Entry| entry.runs == 0 && now.since(entry.last_start) > IDLE_TIME;
        self.entries.iter().position(is_idle).map(|index| (index, true))
    }

    /// Tracks a class under the index that [`Self::vacancy`] has returned.
    pub fn insert(&mut self, class: Index, name: Arc<str>, now: Time) {
        let entry = Entry { name, runs: 0, last_start: now };
        if class == self.entries.len() {
            self.entries.push(entry);
        } else {
            self.entries[class] = entry;
        }
    }

    /// Records the start of a run.
    pub fn on_start(&mut self, class: Index, now: Time) {
        self.entries[class].runs += 1;
        self.entries[class].last_start = now;
    }

    /// Records that a run is over.
    pub fn on_end(&mut self, class: Index) {
        self.entries[class].runs -= 1;
    }
}
