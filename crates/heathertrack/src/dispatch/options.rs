use std::time::Duration;

/// What the order of waiting tasks is meant to make small.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Objective {
    /// Response time against the ideal, each job alike.
    #[default]
    Response,
    /// Response time against the ideal, each job weighted by its worth.
    Worth,
}

/// How an upstream is chosen for a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Choice {
    /// The slot with the earliest expected finish, waiting for a faster one if that pays.
    #[default]
    EarliestFinish,
    /// Any upstream, first in first out; a baseline for experiments.
    Random,
    /// The less used of two upstreams drawn at random; a baseline for experiments.
    PowerOfTwo,
}

/// How a dispatcher orders and places tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// What the order is meant to make small.
    pub objective: Objective,
    /// How an upstream is chosen.
    pub choice: Choice,
    /// How many times its ideal time a job may wait before a later, shorter one stops passing it.
    pub patience: f64,
    /// Time for which an upstream taken over from another host is left alone.
    pub settle: Duration,
    /// Largest share of the upstreams that may be ejected at once.
    pub ejected_share: f64,
    /// Tasks that may wait at once.
    pub waiting: usize,
    /// Seed of the random draws.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            objective: Objective::default(),
            choice: Choice::default(),
            patience: 8.0,
            settle: Duration::from_millis(600),
            ejected_share: 0.34,
            waiting: 50_000,
            seed: 1,
        }
    }
}

impl Options {
    /// Sets what the order is meant to make small.
    pub fn objective(mut self, objective: Objective) -> Self {
        self.objective = objective;
        self
    }

    /// Sets how an upstream is chosen.
    pub fn choice(mut self, choice: Choice) -> Self {
        self.choice = choice;
        self
    }

    /// Sets the seed of the random draws.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
