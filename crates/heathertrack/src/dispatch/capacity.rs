use super::Needs;

/// Total capacity of a dispatcher's upstreams with the same size and number of slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Total resources of each worker.
    pub size: Needs,
    /// Number of slots of each upstream.
    pub slots: u32,
    /// Combined throughput when all slots are busy, in nominal seconds of work per second: the run
    /// time that the tasks done in a second would take at nominal speed.
    pub rate: f64,
}

impl Capacity {
    /// Throughput if all tasks have these needs. It is lower than `rate` if a worker holds fewer of
    /// them than it has slots, and `None` if it holds none.
    pub fn rate_for(&self, needs: &Needs) -> Option<f64> {
        let at_once = self.size.count(needs).min(self.slots);
        (at_once > 0).then(|| self.rate * f64::from(at_once) / f64::from(self.slots))
    }
}
