/// Load of a dispatcher, as reported to entry hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Cores of the usable upstreams, weighted by speed.
    pub cores: f64,
    /// Cores of these that runs hold, weighted by speed.
    pub busy_cores: f64,
    /// Core-seconds of queued tasks.
    pub queued_core_seconds: f64,
    /// Number of accepted jobs of which no task has been started.
    pub queued_jobs: u32,
    /// Number of tasks of mean size that could be started at once.
    pub free_slots: u32,
}
