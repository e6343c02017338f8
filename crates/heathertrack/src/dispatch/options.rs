use std::time::Duration;

/// Quantity that the order of queued tasks minimises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Objective {
    /// Ratio of a job's response time to the time that it needs, all jobs weighted equally.
    #[default]
    Response,
    /// Ratio of a job's response time to the time that it needs, each job weighted by its worth.
    Worth,
}

/// Placement policy: how an upstream is chosen for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The slot on which the task is expected to finish earliest. A task waits for a busy slot if
    /// it then still finishes clearly earlier than on a free one.
    #[default]
    EarliestFinish,
    /// A random upstream, first in, first out; a baseline for experiments.
    Random,
    /// Of two random upstreams the one that runs fewer tasks, first in, first out; a baseline for
    /// experiments.
    PowerOfTwo,
}

/// Configuration of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Quantity that the order of queued tasks minimises.
    pub objective: Objective,
    /// Placement policy.
    pub placement: PlacementPolicy,
    /// Multiple of the time that a job needs for which later, shorter jobs may overtake it; see
    /// [`Rank`](super::Rank).
    pub wait_factor: f64,
    /// Duration for which an upstream taken over from another host gets no tasks, so that its
    /// former dispatcher can finish its runs.
    pub takeover_delay: Duration,
    /// Maximum share of this host's upstreams that may be ejected at once.
    pub max_ejected_share: f64,
    /// Maximum number of queued tasks.
    pub max_queued: usize,
    /// Seed of the pseudo-random placement policies.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            objective: Objective::default(),
            placement: PlacementPolicy::default(),
            wait_factor: 8.0,
            takeover_delay: Duration::from_millis(600),
            max_ejected_share: 0.34,
            max_queued: 50_000,
            seed: 1,
        }
    }
}

impl Options {
    /// Sets the quantity that the order of queued tasks minimises.
    pub fn objective(mut self, objective: Objective) -> Self {
        self.objective = objective;
        self
    }

    /// Sets the placement policy.
    pub fn placement(mut self, placement: PlacementPolicy) -> Self {
        self.placement = placement;
        self
    }

    /// Sets the seed of the pseudo-random placement policies.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
