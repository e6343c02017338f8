use super::Needs;

/// Total capacity of a dispatcher's upstreams of one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Total resources of each worker.
    pub size: Needs,
    /// Number of slots of each upstream.
    pub slots: u32,
    /// Combined throughput in nominal seconds of work per second when all slots are busy.
    pub rate: f64,
}

impl Capacity {
    /// Throughput for tasks of these needs, of which a worker may hold fewer than it has slots.
    /// `None` if it can hold none.
    pub fn rate_for(&self, needs: &Needs) -> Option<f64> {
        let at_once = self.size.count(needs).min(self.slots);
        (at_once > 0).then(|| self.rate * f64::from(at_once) / f64::from(self.slots))
    }
}
