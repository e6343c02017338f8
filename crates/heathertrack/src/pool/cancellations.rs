//! Cancelled jobs, remembered so that a submission that arrives after the cancelling starts nothing.

use super::job::Id;
use crate::clock::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a cancelled job is remembered. Callers send a job again after seconds, and a
/// submission that is under way arrives within the caller's deadline.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of remembered jobs: 270 a second are cancelled for [`RETENTION`] before it is
/// reached.
const MAX_JOBS: usize = 16_384;

/// Identifiers of cancelled jobs.
#[derive(Debug, Default)]
pub(super) struct Cancellations {
    /// Time until which each job is remembered.
    expiries: BTreeMap<Id, Time>,
    /// The same, by time.
    order: BTreeSet<(Time, Id)>,
}

impl Cancellations {
    /// Records that a job was cancelled, for `remaining` or [`RETENTION`], whichever is shorter.
    /// Returns false if there is no room; the jobs that are remembered stay, as hosts have answered
    /// that they don't run.
    pub fn record(&mut self, id: &Id, remaining: Duration, now: Time) -> bool {
        self.remove_expired(now);
        let expiry = now + remaining.min(RETENTION);
        match self.expiries.get(id) {
            Some(known) if *known >= expiry => return true,
            Some(known) => {
                self.order.remove(&(*known, id.clone()));
            }
            None if self.expiries.len() >= MAX_JOBS => return false,
            None => {}
        }
        self.expiries.insert(id.clone(), expiry);
        self.order.insert((expiry, id.clone()));
        true
    }

    /// Returns whether a job was cancelled.
    pub fn contains(&self, id: &Id, now: Time) -> bool {
        self.expiries.get(id).is_some_and(|expiry| *expiry > now)
    }

    /// Returns the remembered jobs, each with the time for which it is still remembered.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = (&Id, Duration)> {
        let remembered = self.order.iter().filter(move |(expiry, _)| *expiry > now);
        remembered.map(move |(expiry, id)| (id, expiry.since(now)))
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some((expiry, id)) = self.order.first().filter(|(expiry, _)| *expiry <= now) {
            let entry = (*expiry, id.clone());
            self.order.remove(&entry);
            self.expiries.remove(&entry.1);
        }
    }
}
