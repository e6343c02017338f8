use std::time::Duration;

/// Figures of a dispatcher.
#[derive(Clone, Debug)]
pub struct Options {
    /// How long a lease is prolonged at a time. Below the platform's longest lease, so that all
    /// runs are over before a caller sends its job again (docs/design/platform.md).
    pub lease: Duration,
    /// Longest time that a stop takes, on an upstream's clock 2% slow (the users' pages: 50 ms). Until
    /// then a run that is missing from a list may still be on its way out.
    pub stop: Duration,
    /// Longest wait of one look at a busy upstream; under half a lease, so that one lost look
    /// doesn't end the runs.
    pub look: Duration,
    /// The same for a while after an order got no answer: until a lost look is noticed, ends of runs
    /// are not seen.
    pub wary_look: Duration,
    /// How long looks are short after an order got no answer.
    pub wary_span: Duration,
    /// Whether a run whose start got no answer is stopped before its task starts elsewhere. Off
    /// only to show that tests notice it.
    pub stops_unanswered: bool,
    /// Whether runs are stopped whose job's entry host is gone. Off only to show that tests notice
    /// it.
    pub abandons: bool,
    /// Pause between looks at an upstream that doesn't answer.
    pub retry: Duration,
    /// Longest age of an upstream's clock sample before an idle upstream is looked at: a clock 2%
    /// slow drifts by a seventh of a lease meanwhile.
    pub idle_look: Duration,
    /// Share of its objective that a job may wait without a start before it is refused. After it
    /// even a start on a usual upstream would end late.
    pub wait_share: f64,
    /// Late answers are of use up to this multiple of the objective (the users' pages).
    pub late_factor: u32,
    /// How an upstream for a task is chosen.
    pub placement: super::placement::Policy,
    /// In which order waiting jobs are started.
    pub order: super::order::Policy,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            lease: Duration::from_millis(700),
            stop: Duration::from_millis(52),
            look: Duration::from_millis(300),
            wary_look: Duration::from_millis(60),
            wary_span: Duration::from_secs(3),
            stops_unanswered: true,
            abandons: true,
            retry: Duration::from_millis(100),
            idle_look: Duration::from_secs(5),
            wait_share: 0.24,
            late_factor: 3,
            placement: super::placement::Policy::default(),
            order: super::order::Policy::default(),
        }
    }
}
