//! Runs one task of a job: acquires its permit, places it and reports its end.

use super::expected::Expected;
use super::{AcceptedJob, Ended};
use crate::dispatch::Work;
use crate::gate::Permit;
use crate::placement;
use crate::state::{State, lock};
use bytes::Bytes;
use heathertrack::clock::Time;
use heathertrack::dispatch::Task;
use heathertrack::name::Class;
use heathertrack::run::HandoverTracker;
use heathertrack_wire::caller;
use heathertrack_wire::frame::TaskEnd;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Multiple of the expected duration of a job's longest task that is added to the job's arrival to
/// get the due time of its tasks. A customer's queued tasks get permits in order of due time, so a
/// later job of shorter tasks may overtake, but no job that arrives after the due time.
const DUE_FACTOR: u32 = 8;
/// Longest time that a task is assumed to be on its way. Its upstream counts the time left from its
/// arrival, so it may run for that much longer than its deadline.
const TRANSIT_MARGIN: Duration = Duration::from_millis(250);

/// State shared by the tasks of one job.
#[derive(Clone)]
pub(super) struct Shared {
    pub handover: Arc<Mutex<HandoverTracker>>,
    /// Cancelled as soon as the job ends with a problem.
    pub cancel_tasks: CancellationToken,
    pub ends: mpsc::Sender<Ended>,
}

/// Spawns one asynchronous task for each task of a job. They continue if the caller disconnects.
pub(super) fn start(
    state: &Arc<State>,
    accepted: AcceptedJob,
    class: &Class,
    expected: &Expected,
    shared: &Shared,
) {
    let due = accepted.arrived + expected.longest * DUE_FACTOR;
    for (index, spec) in accepted.job.tasks.into_iter().enumerate() {
        let task = Task {
            customer: accepted.customer.clone(),
            class: class.clone(),
            worth: accepted.listed.worth,
            arrived: accepted.arrived,
            deadline: accepted.deadline,
            declared: spec.declared,
            needs: spec.needs,
            job_longest: expected.longest,
            job_work: expected.work,
        };
        let work = build_work(&accepted.key, index, spec);
        state.tasks.spawn(run(state.clone(), index, task, work, due, shared.clone()));
    }
}

fn build_work(job: &str, index: usize, spec: caller::Task) -> Arc<Work> {
    Arc::new(Work {
        key: format!("{job}/{index}"),
        path: spec.path,
        body: Bytes::from(spec.body),
        hops: placement::MAX_HOPS,
    })
}

async fn run(
    state: Arc<State>,
    index: usize,
    task: Task,
    work: Arc<Work>,
    due: Time,
    shared: Shared,
) {
    let Shared { handover, cancel_tasks, ends } = shared;
    let latest_end = task.deadline + TRANSIT_MARGIN;
    let permit = tokio::select! {
        permit = state.gate.acquire(&task.customer, due, latest_end) => permit,
        () = cancel_tasks.cancelled() => return,
    };
    if !lock(&handover).try_hand_over() {
        // The job has ended with a problem meanwhile.
        return;
    }
    let end = placement::run(&state, &task, &work, &cancel_tasks).await;
    if matches!(end, TaskEnd::Unstarted(_)) {
        lock(&handover).confirm_unstarted();
    }
    let lost = matches!(end, TaskEnd::Lost(_));
    let _ = ends.send(Ended { index, end }).await;
    if lost {
        // The task may still be running, so it counts as in flight.
        tokio::spawn(release_permit_at(state, permit, latest_end));
    }
}

/// Releases a permit at the time by which its task has ended.
async fn release_permit_at(state: Arc<State>, permit: Permit, end: Time) {
    state.timer.until(state.clock.instant(end)).await;
    drop(permit);
}
