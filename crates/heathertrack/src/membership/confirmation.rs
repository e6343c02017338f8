use crate::clock::Time;
use std::time::Duration;

/// Longest time that requests wait for the store to confirm an outdated configuration. The store
/// answers within a few milliseconds if it answers at all.
pub const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(100);

/// Time after the age at which a configuration is outdated until the host counts as starved: a call to
/// the store that is slow, but doesn't fail, takes no longer.
const MAX_SLOW_CALL: Duration = Duration::from_secs(1);

/// Judges whether the configuration of a host may still be taken for the newest one.
///
/// A host that was suspended, starved or cut off from the store goes on with the configuration that
/// it knew. As long as the store confirmed it less than `max_age` ago, no newer one has to be in
/// force yet. After that, requests wait a moment for a confirmation.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    max_age: Duration,
    /// Latest time at which the store is known to have held no newer configuration.
    confirmed: Option<Time>,
    /// Time of the first request that found the configuration outdated.
    outdated_since: Option<Time>,
}

/// What a request may conclude from the configuration of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No newer configuration has to be in force.
    Current,
    /// A newer one may be in force elsewhere; the store is to be asked for it now.
    Ask,
    /// The same, and the store has been asked. Its answer is worth waiting for until this time.
    Wait(Time),
    /// The same, and the store hasn't answered in time.
    Outdated,
}

impl Confirmation {
    /// Creates the state of a host that has no configuration. `max_age` is the time after its
    /// acknowledgement within which a configuration has to be in force.
    pub fn new(max_age: Duration) -> Self {
        Confirmation { max_age, confirmed: None, outdated_since: None }
    }

    /// Records that the store held no newer configuration at a time. Use the time at which the store
    /// was asked, not that of its answer: a suspended process reads the answer late.
    pub fn confirm(&mut self, at: Time) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Records that the process was suspended, so that the store may answer again.
    pub fn on_resume(&mut self) {
        self.outdated_since = None;
    }

    /// Returns the time since the last confirmation, or `None` before the first one.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Returns whether the configuration is outdated although no call to the store has failed since
    /// it was confirmed: the host gets too little CPU to hear of a newer one, while others know it.
    pub fn is_starved(&self, last_store_failure: Option<Time>, now: Time) -> bool {
        self.confirmed.is_some_and(|at| {
            now.since(at) > self.max_age + MAX_SLOW_CALL
                && last_store_failure.is_none_or(|failed| failed < at)
        })
    }

    /// Returns the standing of the configuration for a request that is handled now. After
    /// [`Standing::Ask`] the store counts as asked.
    pub fn check(&mut self, now: Time) -> Standing {
        if self.age(now).is_some_and(|age| age <= self.max_age) {
            self.outdated_since = None;
            return Standing::Current;
        }
        let Some(since) = self.outdated_since else {
            self.outdated_since = Some(now);
            return Standing::Ask;
        };
        let until = since + MAX_CONFIRMATION_WAIT;
        if now < until { Standing::Wait(until) } else { Standing::Outdated }
    }
}
