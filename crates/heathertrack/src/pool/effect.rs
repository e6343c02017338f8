use super::interference::Pair;
use super::{Evidence, FailedRun, JobKey, Load, Loss, LostRun, RunKey, Task, UpstreamKey};
use crate::pool::job::{Id, Outcome};
use std::sync::Arc;
use std::time::Duration;

/// An action that the owner of a [`super::Pool`] has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Order an upstream to start a run and pass the answer to [`super::Pool::on_start_answer`].
    Start {
        /// The upstream.
        upstream: UpstreamKey,
        /// The run.
        run: RunKey,
        /// The task.
        task: Task,
        /// Number of the run: counted per task, and higher for each later run.
        number: u32,
        /// Specification of the work, as given by the caller.
        spec: Arc<str>,
        /// End of the lease of all runs there, on the upstream's clock in milliseconds.
        lease_end_ms: u64,
    },
    /// Order an upstream to stop a run and pass the answer to [`super::Pool::on_stop_answer`].
    Stop {
        /// The upstream.
        upstream: UpstreamKey,
        /// The run.
        run: RunKey,
        /// The task.
        task: Task,
        /// Number of the run.
        number: u32,
    },
    /// Poll an upstream for its runs and pass the result to [`super::Pool::on_poll_answer`] or
    /// [`super::Pool::on_poll_failed`].
    Poll {
        /// The upstream.
        upstream: UpstreamKey,
        /// New end of the lease of all runs there, on the upstream's clock in milliseconds; `None`
        /// if the poll renews no lease.
        lease_end_ms: Option<u64>,
        /// Sequence number up to which ends are acknowledged, so that they are no longer listed.
        acknowledged: u64,
        /// Maximum time that the upstream waits for a run to end before it answers.
        wait: Duration,
    },
    /// Answer the caller of a job.
    Finish {
        /// The job.
        job: JobKey,
        /// Its identifier.
        id: Id,
        /// Outcome of the job.
        outcome: Outcome,
        /// Whether it ended within its objective.
        in_time: bool,
    },
    /// Tell the other dispatchers of a loss, with [`super::Pool::on_loss_report`]: a job may be
    /// submitted again to any of them.
    ReportLoss(Loss),
    /// Write a decision to the log.
    Log(Decision),
}

/// Whether and for which runs a dispatcher renews the lease of an upstream. Failed polls, after which
/// nothing is renewed either, are not part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Renewal {
    /// As the owner, for its own runs.
    #[default]
    OwnRuns,
    /// As the owner, also for runs on rosters.
    Rosters,
    /// For its own runs, after it has released the upstream.
    AfterRelease,
    /// None: the upstream isn't owned yet.
    Acquiring,
    /// None: runs are listed that no live host is known to follow, or that are left to the owner.
    Strays,
    /// None: a run is left to the expiry of the lease.
    Expiring,
}

impl Renewal {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Renewal::OwnRuns => "own runs",
            Renewal::Rosters => "own runs and rosters",
            Renewal::AfterRelease => "own runs after the release",
            Renewal::Acquiring => "none before the upstream is owned",
            Renewal::Strays => "none beside strays",
            Renewal::Expiring => "none beside a run that has to expire",
        }
    }

    /// Returns whether other dispatchers matter to it.
    pub fn is_shared(self) -> bool {
        !matches!(self, Renewal::OwnRuns | Renewal::Acquiring)
    }
}

/// A decision about a request or a change in the assumed state of an upstream, with its inputs.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A job was submitted.
    Submitted {
        /// The job.
        job: Id,
        /// Load of the dispatcher.
        load: Load,
        /// Core-seconds of queued tasks that are started before those of the job.
        ahead: f64,
    },
    /// The start of a task was ordered.
    Placed {
        /// The task.
        task: Task,
        /// Number of the run.
        number: u32,
        /// The upstream.
        upstream: crate::name::Upstream,
        /// Expected duration there, without neighbours.
        expected: Duration,
        /// Class of the runs for which another upstream was avoided, if one was.
        apart_from: Option<Arc<str>>,
        /// Learned speed of the upstream relative to the usual one.
        speed: f64,
        /// Time since the upstream's last answer.
        answer_age: Duration,
        /// Time since the entry host received the job.
        age: Duration,
    },
    /// A job was refused on submission or while it was queued.
    Refused {
        /// The job.
        job: Id,
        /// The check that refused it.
        why: &'static str,
        /// Time since the entry host received it.
        waited: Duration,
        /// Expected further wait on submission; the same as `waited` if it was queued.
        expected: Duration,
    },
    /// More work arrives than can be started, or no longer. Work is in core-seconds.
    Shortage {
        /// Share of the work that arrives that is turned away; 0 at the end.
        excess: f64,
        /// Work that arrives per second.
        offered: f64,
        /// Work that can be started per second.
        drain: f64,
        /// Queued work.
        queued: f64,
    },
    /// A job was given up, although some of its tasks may have been started.
    GivenUp {
        /// The job.
        job: Id,
        /// The reason.
        why: &'static str,
        /// Time since the entry host received it.
        age: Duration,
    },
    /// A task has failed the maximum number of times.
    TaskFailed {
        /// The task.
        task: Task,
        /// The failed runs.
        runs: Vec<FailedRun>,
    },
    /// A task is not started again, as upstreams were lost under it.
    TaskQuarantined {
        /// The task.
        task: Task,
        /// Number of upstreams that probably crashed.
        crashes: usize,
        /// The losses that this rests on.
        evidence: Vec<Evidence>,
    },
    /// A run ended without completing.
    RunEnded {
        /// The task.
        task: Task,
        /// Number of the run.
        number: u32,
        /// The upstream on which it ran.
        upstream: crate::name::Upstream,
        /// How it ended, as [`super::RunEnd::name`] gives it.
        how: &'static str,
        /// Whether the upstream had answered or listed it as running.
        has_begun: bool,
        /// Time since its start was ordered.
        age: Duration,
    },
    /// Runs were lost with the process of their upstream.
    RunsLost {
        /// The runs, and what is known of the process.
        loss: Loss,
        /// What is known of each run.
        runs: Vec<LostRun>,
        /// Number of other upstreams that stopped responding at the same time, and still don't
        /// respond.
        stopped_with_it: usize,
        /// Time since the upstream's last answer.
        age: Duration,
    },
    /// A loss is taken back, as the process of the upstream has answered again.
    LossTakenBack {
        /// The runs, and the process.
        loss: Loss,
    },
    /// What decides about renewals of an upstream's lease has changed.
    Renewal {
        /// The upstream.
        upstream: crate::name::Upstream,
        /// Whether and for which runs its lease is renewed from here.
        basis: Renewal,
        /// Number of runs that this dispatcher follows there.
        own: usize,
        /// Numbers of runs there that are on rosters, by the hosts that follow them.
        rosters: Vec<(crate::name::Host, usize)>,
        /// Runs there that its last list showed and nobody is known to follow.
        strays: Vec<(Task, u32)>,
    },
    /// A run is left to the expiry of its upstream's lease, and has left the rosters.
    LeftToExpiry {
        /// The task.
        task: Task,
        /// Number of the run.
        number: u32,
        /// The upstream.
        upstream: crate::name::Upstream,
        /// The reason.
        why: &'static str,
        /// Whether another dispatcher may renew its lease.
        competitor_may_renew: bool,
    },
    /// The rosters of a host no longer count, as its link has ended.
    RostersDropped {
        /// The host.
        host: crate::name::Host,
    },
    /// Tasks of a pair of classes are kept apart from now on, or no longer.
    Neighbours(Pair),
    /// The assumed state of an upstream changed.
    Upstream {
        /// The upstream.
        upstream: crate::name::Upstream,
        /// Description of the new state.
        state: &'static str,
        /// Time since its last answer.
        age: Duration,
    },
}
