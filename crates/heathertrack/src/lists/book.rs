/// Revision at which the store accepted a value; it only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

/// A value with the revision at which the store accepted it.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// When the store accepted it.
    pub revision: Revision,
    /// The value.
    pub value: T,
}

/// The newest good value of one list, and the newest one that was found faulty.
///
/// A value is taken only at a higher revision than any seen, so a stale read, a late peer or a
/// doubled message can't bring an older one back.
#[derive(Clone, Debug)]
pub struct Book<T> {
    in_force: Option<Versioned<T>>,
    faulty: Option<Revision>,
}

impl<T> Default for Book<T> {
    fn default() -> Self {
        Book { in_force: None, faulty: None }
    }
}

impl<T> Book<T> {
    /// Takes a value into force if it is newer. Returns whether it was.
    pub fn offer(&mut self, offered: Versioned<T>) -> bool {
        if Some(offered.revision) <= self.seen() {
            return false;
        }
        self.in_force = Some(offered);
        self.faulty = None;
        true
    }

    /// Notes that the value at this revision has faults; the last good one stays in force.
    /// Returns whether that is news.
    pub fn reject(&mut self, revision: Revision) -> bool {
        if Some(revision) <= self.seen() {
            return false;
        }
        self.faulty = Some(revision);
        true
    }

    /// The value in force.
    pub fn in_force(&self) -> Option<&Versioned<T>> {
        self.in_force.as_ref()
    }

    /// Revision of the value in force, or zero.
    pub fn revision(&self) -> Revision {
        self.in_force.as_ref().map(|v| v.revision).unwrap_or_default()
    }

    /// Revision of a newer value that was found faulty.
    pub fn faulty(&self) -> Option<Revision> {
        self.faulty
    }

    /// Highest revision seen, good or faulty.
    pub fn seen(&self) -> Option<Revision> {
        let in_force = self.in_force.as_ref().map(|versioned| versioned.revision);
        in_force.max(self.faulty)
    }
}
