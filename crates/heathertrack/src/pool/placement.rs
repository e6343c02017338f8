//! Choice of the upstream on which a task is started.

use std::time::Duration;

/// Share of the time left within which a run on a slow upstream has to be expected to end. The rest
/// is a margin, as estimates are off by some 40%.
const MAX_TIME_SHARE: f64 = 0.7;

/// Policy by which an upstream with enough free capacity is chosen for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The fastest.
    Fastest,
    /// The slowest that is expected to finish in time with some margin, else the fastest: fast ones
    /// are kept for tasks that need them. Addresses the load pattern "long tasks come while short
    /// ones hold all fast upstreams". Among those in time, the ones with the fewest bad neighbours go
    /// first: "some tasks slow others beside them".
    #[default]
    SlowestInTime,
    /// The one on which the least CPU stays free, regardless of speed.
    BestFit,
}

/// An upstream with enough free capacity for a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice<K> {
    pub key: K,
    /// Number of runs there that slow tasks like this one, or are slowed by them.
    pub bad_neighbours: u32,
    /// Expected duration of the task there.
    pub duration: Duration,
    /// CPU that would stay free, in thousandths of a core.
    pub spare: u32,
}

impl Policy {
    /// Chooses one of the upstreams. `time_left` is the time until the end of the job's objective.
    /// Returns `None` if there are no choices.
    ///
    /// Bad neighbours never make a task late that would otherwise end in time, and don't matter once it
    /// is late anyway.
    pub(super) fn choose<K: Copy>(
        self,
        choices: impl Iterator<Item = Choice<K>>,
        time_left: Duration,
    ) -> Option<K> {
        let limit = time_left.mul_f64(MAX_TIME_SHARE);
        let best = choices.min_by_key(|choice| {
            let in_time = choice.duration <= limit;
            match self {
                Policy::Fastest => (false, 0, choice.duration, choice.spare),
                Policy::BestFit => (false, 0, Duration::ZERO, choice.spare),
                Policy::SlowestInTime if in_time => {
                    (false, choice.bad_neighbours, limit - choice.duration, choice.spare)
                }
                Policy::SlowestInTime => (true, 0, choice.duration, choice.spare),
            }
        });
        best.map(|choice| choice.key)
    }
}
