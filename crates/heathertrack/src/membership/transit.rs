use std::time::Duration;

/// Largest rate at which two steady clocks drift apart: each is within 100 parts per million.
const MAX_DRIFT: f64 = 200e-6;

/// Estimates how long messages were under way on one link, from clocks with different origins.
///
/// The smallest difference seen between the two clocks stands for a message without delay. It ages
/// by the largest drift of two clocks: otherwise the drift of a link that is up for hours would count as delay, and all
/// its messages as late.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransitEstimate {
    /// Smallest difference between the receiver's and the sender's clock, and the receiver's time of
    /// the last message, in microseconds. The difference ages by fractions of one.
    smallest: Option<(f64, u64)>,
}

impl TransitEstimate {
    /// Returns the estimated time that a message was under way. It was sent at `sent_us` of the
    /// sender's clock and received at `received_us` of the receiver's, in microseconds.
    pub fn record(&mut self, sent_us: u64, received_us: u64) -> Duration {
        let difference = received_us as f64 - sent_us as f64;
        let aged = self.smallest.map(|(smallest, last_us)| {
            smallest + received_us.saturating_sub(last_us) as f64 * MAX_DRIFT
        });
        let smallest = aged.map_or(difference, |aged| aged.min(difference));
        self.smallest = Some((smallest, received_us));
        Duration::from_micros((difference - smallest) as u64)
    }
}
