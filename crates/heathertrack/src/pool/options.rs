use std::time::Duration;

/// Parameters of a dispatcher.
#[derive(Clone, Debug)]
pub struct Options {
    /// Duration of a lease after each renewal. Below the platform's maximum, so that all runs are
    /// over before a caller sends its job again (docs/design/platform.md).
    pub lease: Duration,
    /// Maximum duration of a stop, on an upstream whose clock is 2% slow (the users' pages: 50 ms).
    /// Until then a run that is missing from a list may still be ending.
    pub max_stop_time: Duration,
    /// Maximum wait of one poll of a busy upstream; below half a lease, so that one lost poll
    /// doesn't end the runs.
    pub poll_wait: Duration,
    /// Maximum wait of a poll for a while after an order got no answer. Ends of runs go unnoticed
    /// until a lost poll times out.
    pub short_poll_wait: Duration,
    /// Duration of the period of short polls after an order got no answer.
    pub short_poll_span: Duration,
    /// Whether a run whose start got no answer is stopped before its task is started elsewhere. Off
    /// only in tests, to show that they detect the resulting fault.
    pub stop_unanswered_starts: bool,
    /// Whether runs of jobs whose entry host is gone are stopped. Off only in tests, to show that
    /// they detect the resulting fault.
    pub end_orphaned_jobs: bool,
    /// Step of the backoff between polls of an unresponsive upstream: the first retry is immediate,
    /// later ones wait for this multiplied by the number of failed polls, ten at most. Also the
    /// pause of starts on an upstream that refused one as unhealthy.
    pub retry_backoff: Duration,
    /// Interval between polls of an idle upstream. It bounds the age of the clock sample: a clock
    /// that is 2% slow drifts by a seventh of a lease meanwhile.
    pub idle_poll_interval: Duration,
    /// Share of its objective that a job may wait for its first start before it is refused. After
    /// that, even a run on an upstream of usual speed would end late.
    pub max_wait_share: f64,
    /// Multiple of the objective up to which a late answer is still useful (the users' pages).
    pub late_factor: u32,
    /// Policy that chooses the upstream for a task.
    pub placement: super::placement::Policy,
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
            retry_backoff: Duration::from_millis(100),
            idle_poll_interval: Duration::from_secs(5),
            max_wait_share: 0.24,
            late_factor: 3,
            placement: super::placement::Policy::default(),
            order: super::order::Policy::default(),
        }
    }
}
