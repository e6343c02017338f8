/// Load of a dispatcher, as reported to entry hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Cores of the usable upstreams, weighted by speed.
    pub cores: f64,
    /// Those of `cores` that runs hold, weighted by speed.
    pub busy_cores: f64,
    /// Core-seconds of queued tasks, by their declared durations.
    pub queued_core_seconds: f64,
    /// Number of accepted jobs of which no task has been started.
    pub queued_jobs: u32,
    /// Number of tasks that could be started at once, if they need the mean CPU of current runs.
    pub free_slots: u32,
}
