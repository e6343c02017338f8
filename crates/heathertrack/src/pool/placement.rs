//! Which upstream a task is started on.

use std::time::Duration;

/// Share of the time left that a run may be expected to take on a slow upstream: estimates are off
/// by some 40%.
const CAUTION: f64 = 0.7;

/// How an upstream with room is chosen for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The fastest.
    Fastest,
    /// The slowest that is expected to end in time with some margin, else the fastest: fast ones
    /// are kept for tasks that need them. Answers the load pattern "long tasks come while short
    /// ones hold all fast upstreams".
    #[default]
    SlowestInTime,
    /// The one with the least room left over, whatever its speed.
    BestFit,
}

/// An upstream with room for a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice<K> {
    pub key: K,
    /// Expected duration of the task there.
    pub duration: Duration,
    /// Thousandths of a core that would stay free.
    pub spare: u32,
}

impl Policy {
    /// Chooses among upstreams with room. `left` is the time until the answer is wanted.
    pub(super) fn choose<K: Copy>(
        self,
        options: impl Iterator<Item = Choice<K>>,
        left: Duration,
    ) -> Option<K> {
        let limit = left.mul_f64(CAUTION);
        let best = options.min_by_key(|option| {
            let in_time = option.duration <= limit;
            match self {
                Policy::Fastest => (false, option.duration, option.spare),
                Policy::BestFit => (false, Duration::ZERO, option.spare),
                Policy::SlowestInTime if in_time => (false, limit - option.duration, option.spare),
                Policy::SlowestInTime => (true, option.duration, option.spare),
            }
        });
        best.map(|option| option.key)
    }
}
