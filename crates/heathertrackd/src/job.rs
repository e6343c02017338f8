//! Runs one job at its home: admits it, runs its tasks and produces its single outcome.

mod admission;
mod expected;
mod task;

use crate::log::{Event, JobEvent};
use crate::metrics;
use crate::state::{State, lock};
use expected::Expected;
use heathertrack::clock::Time;
use heathertrack::lists::{Allowance, CustomerEntry};
use heathertrack::name::{Class, Customer};
use heathertrack::run::HandoverTracker;
use heathertrack_wire::caller::{Answer, Job, Outcome, Problem, ProblemKind};
use heathertrack_wire::frame::{TaskEnd, job_name};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Longest wait, after a job fails or is cancelled, for proof that its tasks did not start.
const PROOF_TIMEOUT: Duration = Duration::from_millis(50);

/// A job to admit and run at its home.
#[derive(Debug)]
pub struct AcceptedJob {
    /// Key of the job as text, which is also sent to the upstreams.
    pub key: String,
    pub customer: Customer,
    /// The customer's entry in the list of plans.
    pub listed: CustomerEntry,
    /// Allowance of the customer's plan.
    pub allowance: Allowance,
    pub job: Job,
    /// Time at which the job arrived.
    pub arrived: Time,
    /// Time by which the job must be answered.
    pub deadline: Time,
    /// Cancelled when the caller cancels the job.
    pub cancel: CancellationToken,
}

/// End of one task of the job.
struct Ended {
    /// Index of the task in the job.
    index: usize,
    end: TaskEnd,
}

/// Admits a job, runs its tasks and returns its outcome.
pub async fn run(state: &Arc<State>, accepted: AcceptedJob) -> Outcome {
    let class = Class::new(&accepted.job.class);
    let arrived = accepted.arrived;
    let customer = accepted.customer.clone();
    let key = accepted.key.clone();
    let expected = Expected::of(state, &accepted.job, &class);
    if let Err(problem) = admission::admit(state, &accepted, &expected) {
        state.log.write(&Event::JobRefused(job_event(&key, &customer, &problem)));
        return Outcome::Problem(problem);
    }
    let outcome = RunningJob::start(state, accepted, &class, &expected).finish().await;
    let elapsed = state.now().since(arrived);
    metrics::response(&customer, &class, elapsed, expected.longest, &outcome);
    if let Outcome::Problem(problem) = &outcome {
        state.log.write(&Event::JobFailed(job_event(&key, &customer, problem)));
    }
    outcome
}

/// Builds the log event of a job that ends with a problem.
fn job_event(key: &str, customer: &Customer, problem: &Problem) -> JobEvent {
    JobEvent {
        key: key.to_owned(),
        customer: customer.to_string(),
        detail: format!("{}: {}", problem.kind.name(), problem.detail),
    }
}

/// A running job and the answers received so far.
struct RunningJob {
    state: Arc<State>,
    /// Name of the job, unique across customers; peers find its tasks by it.
    job_name: String,
    deadline: Time,
    /// Cancelled when the caller cancels the job.
    cancel: CancellationToken,
    /// Cancelled as soon as the job ends with a problem, so that no further task starts.
    cancel_tasks: CancellationToken,
    /// Decides whether any part of a failed job may have run.
    handover: Arc<Mutex<HandoverTracker>>,
    ends: mpsc::Receiver<Ended>,
    /// Answers by index of the task.
    answers: Vec<Option<Answer>>,
    unanswered: usize,
}

impl RunningJob {
    fn start(
        state: &Arc<State>,
        accepted: AcceptedJob,
        class: &Class,
        expected: &Expected,
    ) -> Self {
        let count = accepted.job.tasks.len();
        let (sender, ends) = mpsc::channel(count);
        let handover = Arc::new(Mutex::new(HandoverTracker::default()));
        let cancel_tasks = CancellationToken::new();
        let job_name = job_name(accepted.customer.as_str(), &accepted.key);
        let cancel = accepted.cancel.clone();
        let deadline = accepted.deadline;
        let shared = task::Shared {
            handover: handover.clone(),
            cancel_tasks: cancel_tasks.clone(),
            ends: sender,
        };
        task::start(state, accepted, class, expected, &shared);
        RunningJob {
            state: state.clone(),
            job_name,
            deadline,
            cancel,
            cancel_tasks,
            handover,
            ends,
            answers: vec![None; count],
            unanswered: count,
        }
    }

    /// Waits until every task has answered, or until the job fails, is cancelled or expires.
    async fn finish(mut self) -> Outcome {
        let due = self.state.clock.instant(self.deadline);
        let timer = self.state.timer.clone();
        let deadline = timer.until(due);
        tokio::pin!(deadline);
        while self.unanswered > 0 {
            tokio::select! {
                ended = self.ends.recv() => match ended {
                    Some(ended) => {
                        if let Some(problem) = self.record_end(ended) {
                            let kind = self.failure_kind();
                            return self.fail(kind, problem).await;
                        }
                    }
                    None => return self.fail(ProblemKind::TaskFailed, "a task was dropped".to_owned()).await,
                },
                () = self.cancel.cancelled() => {
                    return self.fail(ProblemKind::Cancelled, "the job was cancelled".to_owned()).await;
                }
                () = &mut deadline => {
                    return self.fail(ProblemKind::DeadlinePassed, "the deadline passed".to_owned()).await;
                }
            }
        }
        self.state.peers.forget_job(&self.job_name);
        Outcome::Complete(self.answers.into_iter().flatten().collect())
    }

    /// Records the end of a task. Returns the detail of the problem if the job fails.
    fn record_end(&mut self, ended: Ended) -> Option<String> {
        match ended.end {
            TaskEnd::Answered(answer) => {
                self.answers[ended.index] = Some(answer);
                self.unanswered -= 1;
                None
            }
            TaskEnd::Failed(reason) | TaskEnd::Lost(reason) | TaskEnd::Unstarted(reason) => {
                Some(format!("task {}: {reason}", ended.index))
            }
        }
    }

    /// Returns the kind of problem when a task has failed now: `DeadlinePassed` at or after the
    /// deadline, since a task may notice the expiry before the job's own timer does.
    fn failure_kind(&self) -> ProblemKind {
        if self.state.now() >= self.deadline {
            ProblemKind::DeadlinePassed
        } else {
            ProblemKind::TaskFailed
        }
    }

    /// Cancels the tasks that have not started, and reports whether any part of the job may have
    /// run.
    async fn fail(mut self, kind: ProblemKind, detail: String) -> Outcome {
        self.cancel_tasks.cancel();
        self.state.peers.cancel_job(&self.state, &self.job_name);
        // The channel closes once every task has ended. Tasks that are removed from a queue in time
        // are proved unstarted, and the problem can then say that the job did not run.
        let proof = async { while self.ends.recv().await.is_some() {} };
        let _ = tokio::time::timeout(PROOF_TIMEOUT, proof).await;
        let run = lock(&self.handover).close();
        Outcome::Problem(Problem::new(kind, run, detail))
    }
}
