//! The life of one job at its home: admission, its tasks, its one outcome.

mod task;

use crate::log::{Event, JobEvent};
use crate::metrics;
use crate::state::{State, lock};
use heathertrack::clock::Time;
use heathertrack::dispatch::Refusal;
use heathertrack::lists::{Allowance, Customer as Listed};
use heathertrack::name::{Class, Customer};
use heathertrack::run::{Evidence, Run};
use heathertrack_wire::caller::{Answer, Job, Kind, Outcome, Problem};
use heathertrack_wire::frame::TaskEnd;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// How long a cancelled job waits for its tasks to be proved unstarted.
const PROOF_WAIT: Duration = Duration::from_millis(50);
/// Time in which a refused caller may try again.
const RETRY_AFTER_MS: u64 = 1_000;

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
    if let Err(problem) = admit(state, &accepted, &class) {
        log_refused(state, &accepted, &problem);
        return Outcome::Problem(problem);
    }
    let ideal = longest(state, &accepted.job, &class);
    let key = accepted.key.clone();
    let outcome = Tasks::start(state, accepted, &class).finish().await;
    let elapsed = state.now().since(arrived);
    metrics::response(&customer, &class, elapsed, ideal, &outcome);
    if let Outcome::Problem(problem) = &outcome {
        let detail = format!("{}: {}", problem.kind.name(), problem.detail);
        let job = JobEvent { key, customer: customer.to_string(), detail };
        state.log.write(&Event::JobFailed(job));
    }
    outcome
}

fn log_refused(state: &State, accepted: &Accepted, problem: &Problem) {
    let job = JobEvent {
        key: accepted.key.clone(),
        customer: accepted.customer.to_string(),
        detail: format!("{}: {}", problem.kind.name(), problem.detail),
    };
    state.log.write(&Event::JobRefused(job));
}

/// Expected time of the longest task at ordinary speed.
fn longest(state: &State, job: &Job, class: &Class) -> Duration {
    let expected = job.tasks.iter().map(|task| state.dispatcher.expect(class, task.declared));
    expected.max().unwrap_or_default()
}

fn work(state: &State, job: &Job, class: &Class) -> Duration {
    job.tasks.iter().map(|task| state.dispatcher.expect(class, task.declared)).sum()
}

/// Decides whether to take a job on. Nothing of it has left, so every refusal is `not_run`.
fn admit(state: &State, accepted: &Accepted, class: &Class) -> Result<(), Problem> {
    check_plan(accepted)?;
    check_allowance(state, accepted)?;
    let job = &accepted.job;
    let now = state.now();
    // A guess is no ground for a refusal.
    let known = job.tasks.iter().all(|task| state.dispatcher.knows(class, task.declared));
    let time = |span: Duration| if known { span } else { Duration::ZERO };
    let admitted = state.placement.admit(
        state.dispatcher.load(now),
        job.tasks.iter().map(|task| task.needs),
        time(work(state, job, class)),
        time(longest(state, job, class)),
        accepted.deadline.since(now),
    );
    admitted.map_err(|refusal| {
        let kind = match refusal {
            Refusal::DeadlineTooShort { .. } => Kind::DeadlineTooShort,
            Refusal::FitsNowhere { .. } => Kind::FitsNowhere,
        };
        let problem = Problem::new(kind, Run::NotRun, refusal.to_string());
        match kind {
            Kind::DeadlineTooShort => problem.retry_after_ms(RETRY_AFTER_MS),
            _ => problem,
        }
    })
}

fn check_plan(accepted: &Accepted) -> Result<(), Problem> {
    let Accepted { job, allowance, .. } = accepted;
    let plan = &accepted.listed.plan;
    let over = |detail: String| Err(Problem::new(Kind::OverPlan, Run::NotRun, detail));
    if job.tasks.len() > allowance.tasks_per_job {
        let most = allowance.tasks_per_job;
        return over(format!(
            "the plan {plan} allows {most} tasks in a job, not {}",
            job.tasks.len()
        ));
    }
    if job.deadline > allowance.deadline {
        let most = allowance.deadline.as_millis();
        return over(format!("the plan {plan} allows a deadline of {most} ms"));
    }
    let large = job.tasks.iter().position(|task| !allowance.task.holds(&task.needs));
    if let Some(index) = large {
        return over(format!("task {index} takes more of a worker than the plan {plan} allows"));
    }
    Ok(())
}

/// Refuses what the allowance can't start in time, however the hosts share it.
fn check_allowance(state: &State, accepted: &Accepted) -> Result<(), Problem> {
    let allowance = &accepted.allowance;
    let queued = state.gate.waiting(&accepted.customer) + accepted.job.tasks.len();
    let beyond_burst = (queued as f64 - allowance.burst).max(0.0);
    let needed = Duration::from_secs_f64(beyond_burst / allowance.starts_per_second);
    if needed <= accepted.job.deadline {
        return Ok(());
    }
    let detail = format!("the allowance of starts is used up for {} ms", needed.as_millis());
    let retry = u64::try_from(needed.as_millis()).unwrap_or(u64::MAX);
    Err(Problem::new(Kind::AllowanceUsed, Run::NotRun, detail).retry_after_ms(retry))
}

/// A job whose tasks are under way.
struct Tasks {
    state: Arc<State>,
    key: String,
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
    fn start(state: &Arc<State>, accepted: Accepted, class: &Class) -> Self {
        let count = accepted.job.tasks.len();
        let (sender, ends) = mpsc::channel(count);
        let evidence = Arc::new(Mutex::new(Evidence::default()));
        let stop = CancellationToken::new();
        let key = accepted.key.clone();
        let cancel = accepted.cancel.clone();
        let deadline = accepted.deadline;
        let shared = task::Shared { evidence: evidence.clone(), stop: stop.clone(), ends: sender };
        task::start(state, accepted, class, &shared);
        Tasks {
            state: state.clone(),
            key,
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
        self.state.peers.forget_job(&self.key);
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
            TaskEnd::Failed(reason) | TaskEnd::Unstarted(reason) => {
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
        self.state.peers.cancel_job(&self.state, &self.key);
        // Tasks taken out of a queue in time are proved unstarted; the answer can then say so.
        let proof = async { while self.ends.recv().await.is_some() {} };
        let _ = tokio::time::timeout(PROOF_WAIT, proof).await;
        let run = lock(&self.evidence).close();
        Outcome::Problem(Problem::new(kind, run, detail))
    }
}
