use std::time::Duration;

/// Parameters of a dispatcher.
#[derive(Clone, Debug)]
pub struct Options {
    /// Duration of a lease after each renewal. Below the platform's maximum, so that all runs are
    /// over before a caller sends its job again (docs/design/platform.md).
    pub lease: Duration,
    /// Maximum duration of a stop: 50 ms on the upstream's clock, which may be 2% slow. Until then
    /// a run that is absent from a list may still be ending.
    pub max_stop_time: Duration,
    /// Maximum time that an upstream with runs waits for one to end before it answers a poll. Below
    /// half a lease, so that one lost poll doesn't end the runs.
    pub poll_wait: Duration,
    /// Replaces `poll_wait` for `short_poll_span` after an order or a poll got no answer. A lost
    /// poll then times out earlier, and until it does, ends of runs go unnoticed.
    pub short_poll_wait: Duration,
    /// Time for which polls use `short_poll_wait` after an order or a poll got no answer.
    pub short_poll_span: Duration,
    /// Whether a run whose start got no answer is stopped before its task is started elsewhere. Off
    /// only in tests, to show that they detect the resulting fault.
    pub stop_unanswered_starts: bool,
    /// Whether runs of jobs whose entry host is gone are stopped. Off only in tests, to show that
    /// they detect the resulting fault.
    pub end_orphaned_jobs: bool,
    /// Whether no lease is renewed on an upstream that lists runs which no live host is known to
    /// follow. Off only in tests, to show that they detect the resulting fault.
    pub withhold_from_strays: bool,
    /// Step of the backoff between polls of an unresponsive upstream: the pause is this times the
    /// number of failed polls in a row, at most ten times; the first retry is immediate. Also the
    /// pause of starts on an upstream that answered one with [`super::StartAnswer::Unwell`].
    pub retry_backoff: Duration,
    /// Interval between polls of an idle upstream. It bounds the age of the clock sample: a clock
    /// that is 2% slow drifts by a seventh of a lease meanwhile.
    pub idle_poll_interval: Duration,
    /// Share of its objective that a job may wait for its first start before it is refused. Started
    /// after that, it would end long past its objective.
    pub max_wait_share: f64,
    /// Share of its objective after which a waiting job is started only after those that have waited
    /// less: even a run on an upstream of usual speed would probably end late.
    pub prompt_wait_share: f64,
    /// Number of upstreams from which on jobs are turned away by shares while far more work arrives than
    /// can be started; see [`super::shortage::min_upstreams`]. Never by default.
    pub min_upstreams_for_shares: usize,
    /// Multiple of the objective up to which a late answer is still useful to callers.
    pub late_factor: u32,
    /// Policy that chooses the upstream for a task.
    pub placement: super::placement::Policy,
    /// Whether tasks that slow each other are kept apart where there is room. Off only to compare.
    pub keep_apart: bool,
    /// Policy that orders queued jobs.
    pub order: super::order::Policy,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            lease: Duration::from_millis(700),
            max_stop_time: Duration::from_millis(52),
            poll_wait: Duration::from_millis(300),
            short_poll_wait: Duration::from_millis(60),
            short_poll_span: Duration::from_secs(3),
            stop_unanswered_starts: true,
            end_orphaned_jobs: true,
            withhold_from_strays: true,
            retry_backoff: Duration::from_millis(100),
            idle_poll_interval: Duration::from_secs(5),
            max_wait_share: 1.0,
            prompt_wait_share: 0.4,
            min_upstreams_for_shares: usize::MAX,
            late_factor: 3,
            placement: super::placement::Policy::default(),
            keep_apart: true,
            order: super::order::Policy::default(),
        }
    }
}
