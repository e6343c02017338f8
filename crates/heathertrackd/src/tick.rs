//! Runs the dispatcher's queue periodically, as deadlines pass and probe tasks come due without an
//! event.

use crate::state::State;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which the queue is run while tasks are queued.
const RUN_INTERVAL: Duration = Duration::from_millis(10);

/// Starts the loop that runs the queue.
pub fn spawn(state: &Arc<State>) {
    tokio::spawn(run(state.clone()));
}

async fn run(state: Arc<State>) {
    let mut ticks = state.timer.every(RUN_INTERVAL);
    while ticks.next().await.is_some() && !state.shutdown.is_cancelled() {
        if state.dispatcher.core().queued_count() > 0 {
            state.dispatcher.run_queue(&state);
        }
    }
}
