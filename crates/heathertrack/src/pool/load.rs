/// What a dispatcher tells entry hosts of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Cores of the upstreams that take starts, weighted by their speed.
    pub cores: f64,
    /// Cores of these that are taken, weighted likewise.
    pub busy: f64,
    /// Core-seconds of tasks that wait.
    pub waiting: f64,
    /// Jobs accepted of which nothing was started.
    pub waiting_jobs: u32,
    /// Tasks of the usual size that could be started at once.
    pub places: u32,
}
