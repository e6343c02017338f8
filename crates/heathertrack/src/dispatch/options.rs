use std::time::Duration;

/// Quantity that the order of queued tasks minimises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Objective {
    /// Response time relative to the ideal, all jobs weighted equally.
    #[default]
    Response,
    /// Response time relative to the ideal, each job weighted by its worth.
    Worth,
}

/// Placement policy: how an upstream is chosen for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The slot with the earliest expected finish, including busy slots that are faster.
    #[default]
    EarliestFinish,
    /// A random upstream, first in, first out; a baseline for experiments.
    Random,
    /// The less used of two random upstreams, first in, first out; a baseline for experiments.
    PowerOfTwo,
}

/// Configuration of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Quantity that the order of queued tasks minimises.
    pub objective: Objective,
    /// Placement policy.
    pub placement: PlacementPolicy,
    /// Multiple of its ideal time that a job may wait before later, shorter jobs no longer overtake
    /// it.
    pub wait_factor: f64,
    /// Duration for which an upstream taken over from another host gets no tasks, so that its
    /// former dispatcher can finish its runs.
    pub takeover_delay: Duration,
    /// Maximum share of the upstreams that may be ejected at once.
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
