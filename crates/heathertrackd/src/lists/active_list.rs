//! A list in force and its replacement by newer versions.

use crate::log::{Event, Log};
use crate::state::lock;
use arc_swap::ArcSwapOption;
use heathertrack::lists::{ListVersions, Revision, Versioned};
use heathertrack_wire::frame::ListText;
use heathertrack_wire::list::List;
use std::sync::{Arc, Mutex};

/// The version of one list in force on this host, and the findings of a newer rejected one.
#[derive(Debug)]
pub struct ActiveList<T> {
    current: ArcSwapOption<Current<T>>,
    /// Revisions seen so far; the list itself is in `current`.
    versions: Mutex<ListVersions<()>>,
    /// Findings of the newest list, if it was rejected.
    faults: Mutex<Option<String>>,
}

/// A list in force.
#[derive(Debug)]
pub struct Current<T> {
    /// Revision of the store at which the list was written.
    pub revision: u64,
    /// The list as JSON.
    pub text: String,
    /// The parsed list.
    pub value: T,
}

impl<T> Default for ActiveList<T> {
    fn default() -> Self {
        ActiveList {
            current: ArcSwapOption::empty(),
            versions: Mutex::default(),
            faults: Mutex::default(),
        }
    }
}

impl<T: List> ActiveList<T> {
    /// Returns the list in force.
    pub fn current(&self) -> Option<Arc<Current<T>>> {
        self.current.load_full()
    }

    /// Returns the revision in force, or zero for none.
    pub fn revision(&self) -> u64 {
        self.current.load().as_ref().map_or(0, |current| current.revision)
    }

    /// Returns the highest revision seen, in force or rejected, or zero for none.
    pub fn highest_seen(&self) -> u64 {
        lock(&self.versions).highest_seen().map_or(0, |revision| revision.0)
    }

    /// Returns the findings of a newer list that was rejected.
    pub fn faults(&self) -> Option<String> {
        lock(&self.faults).clone()
    }

    /// Puts a list into force if it is newer and valid. Returns whether it did.
    pub fn offer(&self, text: &str, revision: u64, log: &Log) -> bool {
        let revision = Revision(revision);
        if Some(revision) <= lock(&self.versions).highest_seen() {
            return false;
        }
        let parsed = T::parse(T::NAME, text);
        // Parsing took place without the lock, so `versions` compares the revision again. The lock
        // is held until `current` is stored, so that an older list never replaces a newer one.
        let mut versions = lock(&self.versions);
        match parsed {
            Ok(value) => {
                if !versions.accept_if_newer(Versioned { revision, value: () }) {
                    return false;
                }
                let current = Current { revision: revision.0, text: text.to_owned(), value };
                self.current.store(Some(Arc::new(current)));
                *lock(&self.faults) = None;
                log.write(&Event::ListInForce(T::NAME, revision.0));
                true
            }
            Err(findings) => {
                if versions.reject(revision) {
                    let text = findings.to_string();
                    log.write(&Event::ListFaulty(T::NAME, text.clone()));
                    *lock(&self.faults) = Some(text);
                }
                false
            }
        }
    }

    /// Returns the list in force as a message to a peer.
    pub fn frame(&self) -> Option<ListText> {
        let current = self.current()?;
        Some(ListText { revision: current.revision, text: current.text.clone() })
    }
}
