//! Whether a task waits for a faster upstream.

use std::time::Duration;

/// Returns whether a task waits for another upstream rather than start on a slow one, where it takes
/// `there` and its job would be late. It starts there once the `usual` duration is too long as well:
/// a late answer is still of use.
///
/// Addresses the load pattern "a third of the upstreams turn slow while the others are busy": the
/// slow ones are always free, and one task there makes its whole job late.
pub fn waits(there: Duration, usual: Duration, time_left: Duration) -> bool {
    usual <= time_left && time_left < there
}
