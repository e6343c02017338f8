use super::class::{Index, MAX_CLASSES, PerClass};
use crate::clock::Time;
use crate::pool::RunKey;
use std::time::Duration;

/// Share of its expected duration during which the neighbours of a run count. Over its whole duration,
/// a run that takes longer for another reason would meet more of them.
const WINDOW_SHARE: f64 = 0.5;

/// A run, and the neighbours that it had so far.
#[derive(Debug)]
struct Tracked {
    run: RunKey,
    class: Index,
    began: Time,
    /// Instant up to which its neighbours count.
    window_end: Time,
    /// Run time by class at its start, as in [`Presence::run_seconds`].
    at_start: PerClass<f64>,
    /// Mean number of neighbours by class during the window, once that is over.
    neighbours: Option<PerClass<f64>>,
}

/// What runs on an upstream, by class.
#[derive(Debug)]
pub(super) struct Presence {
    counts: PerClass<u32>,
    /// Total run time in seconds up to `updated`.
    run_seconds: PerClass<f64>,
    updated: Time,
    runs: Vec<Tracked>,
    /// Difference of the logarithm of the work of the last completed run from that of similar ones.
    pub last_difference: f64,
}

impl Default for Presence {
    fn default() -> Self {
        Presence {
            counts: [0; MAX_CLASSES],
            run_seconds: [0.0; MAX_CLASSES],
            updated: Time::ZERO,
            runs: Vec::new(),
            last_difference: 0.0,
        }
    }
}

impl Presence {
    /// Returns the number of current runs of a class.
    pub fn count(&self, class: Index) -> u32 {
        self.counts[class]
    }

    /// Records the start of a run.
    pub fn on_start(&mut self, run: RunKey, class: Index, expected: Duration, now: Time) {
        self.advance(now);
        self.runs.push(Tracked {
            run,
            class,
            began: now,
            window_end: now + expected.mul_f64(WINDOW_SHARE),
            at_start: self.run_seconds,
            neighbours: None,
        });
        self.counts[class] += 1;
    }

    /// Records the end of a run. Returns its class and the mean number of its neighbours by class.
    pub fn on_end(&mut self, run: RunKey, now: Time) -> Option<(Index, PerClass<f64>)> {
        self.advance(now);
        let mut ended = self.take(run)?;
        if ended.neighbours.is_none() {
            ended.window_end = now;
            self.end_window(&mut ended);
        }
        Some((ended.class, ended.neighbours?))
    }

    /// Removes a run that never began. Returns its class.
    pub fn discard(&mut self, run: RunKey) -> Option<Index> {
        self.take(run).map(|discarded| discarded.class)
    }

    fn take(&mut self, run: RunKey) -> Option<Tracked> {
        let index = self.runs.iter().position(|tracked| tracked.run == run)?;
        let taken = self.runs.swap_remove(index);
        self.counts[taken.class] -= 1;
        Some(taken)
    }

    /// Accounts for the time since the last change of the runs.
    fn advance(&mut self, now: Time) {
        let mut runs = std::mem::take(&mut self.runs);
        for run in &mut runs {
            if run.neighbours.is_none() && run.window_end <= now {
                self.end_window(run);
            }
        }
        self.runs = runs;
        let elapsed = now.since(self.updated).as_secs_f64();
        for (total, count) in self.run_seconds.iter_mut().zip(self.counts) {
            *total += elapsed * f64::from(count);
        }
        self.updated = now;
    }

    /// Determines the neighbours of a run up to the end of its window. Since the last update the counts
    /// have not changed.
    fn end_window(&self, run: &mut Tracked) {
        let length = run.window_end.since(run.began).as_secs_f64();
        if length <= 0.0 {
            run.neighbours = Some([0.0; MAX_CLASSES]);
            return;
        }
        let since_update = run.window_end.since(self.updated).as_secs_f64();
        let mean = |class: Index| {
            let total = self.run_seconds[class] + since_update * f64::from(self.counts[class]);
            let own = if class == run.class { length } else { 0.0 };
            ((total - run.at_start[class] - own) / length).max(0.0)
        };
        run.neighbours = Some(std::array::from_fn(mean));
    }
}
