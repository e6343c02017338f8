/// Revision at which the store accepted a value; revisions only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

/// Value with the revision at which the store accepted it.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// Revision at which the store accepted the value.
    pub revision: Revision,
    /// The value.
    pub value: T,
}

/// Newest valid value of one list, and the revision of a newer faulty one.
///
/// A value is accepted only at a higher revision than all seen before, so a stale read, a late peer
/// or a duplicate message can't restore an older one.
#[derive(Clone, Debug)]
pub struct ListVersions<T> {
    in_force: Option<Versioned<T>>,
    faulty: Option<Revision>,
}

impl<T> Default for ListVersions<T> {
    fn default() -> Self {
        ListVersions { in_force: None, faulty: None }
    }
}

impl<T> ListVersions<T> {
    /// Puts a value into force if it is newer than all seen before. Returns whether it was.
    pub fn accept_if_newer(&mut self, offered: Versioned<T>) -> bool {
        if Some(offered.revision) <= self.highest_seen() {
            return false;
        }
        self.in_force = Some(offered);
        self.faulty = None;
        true
    }

    /// Records that the value at this revision is faulty; the last valid one stays in force.
    /// Returns whether the revision is newer than all seen before.
    pub fn reject(&mut self, revision: Revision) -> bool {
        if Some(revision) <= self.highest_seen() {
            return false;
        }
        self.faulty = Some(revision);
        true
    }

    /// Returns the value in force.
    pub fn in_force(&self) -> Option<&Versioned<T>> {
        self.in_force.as_ref()
    }

    /// Returns the revision of the value in force, or zero.
    pub fn revision(&self) -> Revision {
        self.in_force.as_ref().map(|versioned| versioned.revision).unwrap_or_default()
    }

    /// Returns the revision of the newest faulty value, if it is newer than the value in force.
    pub fn faulty(&self) -> Option<Revision> {
        self.faulty
    }

    /// Returns the highest revision seen, valid or faulty.
    pub fn highest_seen(&self) -> Option<Revision> {
        let in_force = self.in_force.as_ref().map(|versioned| versioned.revision);
        in_force.max(self.faulty)
    }
}
