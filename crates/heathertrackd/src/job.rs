//! The life of one job at its home: admission, its tasks, its one outcome.

mod admission;
mod expected;
mod task;

use crate::log::{Event, JobEvent};
use crate::metrics;
use crate::state::{State, lock};
use expected::Expected;
use heathertrack::clock::Time;
use heathertrack::lists::{Allowance, Customer as Listed};
use heathertrack::name::{Class, Customer};
use heathertrack::run::Evidence;
use heathertrack_wire::caller::{Answer, Job, Kind, Outcome, Problem};
use heathertrack_wire::frame::{TaskEnd, job_name};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// How long a cancelled job waits for its tasks to be proved unstarted.
const PROOF_WAIT: Duration = Duration::from_millis(50);

/// A job that its home has taken on.
#[derive(Debug)]
pub struct Accepted {
    /// Its key as text; the upstreams see it.
    pub key: String,
    /// The customer.
    pub customer: Customer,
    /// The customer's entry of the list.
    pub listed: Listed,
    /// What its plan allows.
    pub allowance: Allowance,
    /// The job.
    pub job: Job,
    /// When it came.
    pub arrived: Time,
    /// When it must be answered.
    pub deadline: Time,
    /// Cancels it.
    pub cancel: CancellationToken,
}

/// How a task of the job ended.
struct Ended {
    index: usize,
    end: TaskEnd,
}

/// Runs a job to its outcome.
pub async fn run(state: &Arc<State>, accepted: Accepted) -> Outcome {
    let class = Class::new(&accepted.job.class);
    let arrived = accepted.arrived;
    let customer = accepted.customer.clone();
    let key = accepted.key.clone();
    let expected = Expected::of(state, &accepted.job, &class);
    if let Err(problem) = admission::admit(state, &accepted, &expected) {
        state.log.write(&Event::JobRefused(event(&key, &customer, &problem)));
        return Outcome::Problem(problem);
    }
    let outcome = Tasks::start(state, accepted, &class, &expected).finish().await;
    let elapsed = state.now().since(arrived);
    metrics::response(&customer, &class, elapsed, expected.longest, &outcome);
    if let Outcome::Problem(problem) = &outcome {
        state.log.write(&Event::JobFailed(event(&key, &customer, problem)));
    }
    outcome
}

/// What is logged of a job that ends with a problem.
fn event(key: &str, customer: &Customer, problem: &Problem) -> JobEvent {
    JobEvent {
        key: key.to_owned(),
        customer: customer.to_string(),
        detail: format!("{}: {}", problem.kind.name(), problem.detail),
    }
}

/// A job whose tasks are under way.
struct Tasks {
    state: Arc<State>,
    /// Its name among those of all customers.
    name: String,
    deadline: Time,
    cancel: CancellationToken,
    /// Cancels the tasks.
    stop: CancellationToken,
    evidence: Arc<Mutex<Evidence>>,
    ends: mpsc::Receiver<Ended>,
    answers: Vec<Option<Answer>>,
    open: usize,
}

impl Tasks {
    fn start(state: &Arc<State>, accepted: Accepted, class: &Class, expected: &Expected) -> Self {
        let count = accepted.job.tasks.len();
        let (sender, ends) = mpsc::channel(count);
        let evidence = Arc::new(Mutex::new(Evidence::default()));
        let stop = CancellationToken::new();
        let name = job_name(accepted.customer.as_str(), &accepted.key);
        let cancel = accepted.cancel.clone();
        let deadline = accepted.deadline;
        let shared = task::Shared { evidence: evidence.clone(), stop: stop.clone(), ends: sender };
        task::start(state, accepted, class, expected, &shared);
        Tasks {
            state: state.clone(),
            name,
            deadline,
            cancel,
            stop,
            evidence,
            ends,
            answers: vec![None; count],
            open: count,
        }
    }

    /// Waits for every answer, or for the first reason to give none.
    async fn finish(mut self) -> Outcome {
        let due = self.state.clock.instant(self.deadline);
        let timer = self.state.timer.clone();
        let deadline = timer.until(due);
        tokio::pin!(deadline);
        while self.open > 0 {
            tokio::select! {
                ended = self.ends.recv() => match ended {
                    Some(ended) => {
                        if let Some(problem) = self.take(ended) {
                            let kind = self.kind_of_failure();
                            return self.fail(kind, problem).await;
                        }
                    }
                    None => return self.fail(Kind::TaskFailed, "a task was dropped".to_owned()).await,
                },
                () = self.cancel.cancelled() => {
                    return self.fail(Kind::Cancelled, "the job was cancelled".to_owned()).await;
                }
                () = &mut deadline => {
                    return self.fail(Kind::DeadlinePassed, "the deadline passed".to_owned()).await;
                }
            }
        }
        self.state.peers.forget_job(&self.name);
        Outcome::Complete(self.answers.into_iter().flatten().collect())
    }

    /// Takes the end of a task; a reason to fail the job, if it is one.
    fn take(&mut self, ended: Ended) -> Option<String> {
        match ended.end {
            TaskEnd::Answered(answer) => {
                self.answers[ended.index] = Some(answer);
                self.open -= 1;
                None
            }
            TaskEnd::Failed(reason) | TaskEnd::Lost(reason) | TaskEnd::Unstarted(reason) => {
                Some(format!("task {}: {reason}", ended.index))
            }
        }
    }

    /// A task that fails as the deadline comes has run out of time, whoever noticed first.
    fn kind_of_failure(&self) -> Kind {
        if self.state.now() >= self.deadline { Kind::DeadlinePassed } else { Kind::TaskFailed }
    }

    /// Stops what has not started and tells what may be said of the job.
    async fn fail(mut self, kind: Kind, detail: String) -> Outcome {
        self.stop.cancel();
        self.state.peers.cancel_job(&self.state, &self.name);
        // Tasks taken out of a queue in time are proved unstarted; the answer can then say so.
        let proof = async { while self.ends.recv().await.is_some() {} };
        let _ = tokio::time::timeout(PROOF_WAIT, proof).await;
        let run = lock(&self.evidence).close();
        Outcome::Problem(Problem::new(kind, run, detail))
    }
}
