//! Messages between entry hosts, in a positional encoding: the order of fields and variants is part
//! of the protocol.

use heathertrack::clock::Time;
use heathertrack::name::{DataCentre, Host, Upstream};
use heathertrack::pool::job::{EVACUATED, Id, Needs, Outcome, Request, SHORTAGE, Step};
use heathertrack::pool::search::Holding;
use heathertrack::pool::{Load, Loss, LossCause, Roster, Task};
use heathertrack_platform::{HostRecord, Item};
use serde::{Deserialize, Deserializer, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Message with the sender's clock, from which the receiver estimates the transit time.
#[derive(Debug, Deserialize, Serialize)]
pub struct Envelope {
    /// Time since the start of the sender, in microseconds.
    pub sent_us: u64,
    pub frame: Frame,
}

/// Message between entry hosts.
#[derive(Debug, Deserialize, Serialize)]
pub enum Frame {
    /// Identifies the sender; the first message in both directions of a link.
    Hello(Hello),
    /// Shows that the sender is alive. The next one follows within the period that it holds.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Submits a job to a dispatcher.
    Submit(Submit),
    /// Cancels a job whose caller has disconnected.
    Cancel {
        /// Call number of the job, assigned by the sender.
        call: u64,
    },
    /// Outcome of a job.
    Ended {
        /// Call number of the job, assigned by the receiver.
        call: u64,
        how: OutcomeWire,
    },
    /// Requests the items that changed after a revision.
    #[serde(rename = "Ask")]
    RequestItems {
        /// Revision of the store.
        after: u64,
        /// Whether all items are requested, or only those of the operators.
        all: bool,
    },
    /// Items of the store: all that changed up to `revision`, or only those of the operators if
    /// `revision` is zero.
    Items { items: Vec<ItemWire>, revision: u64 },
    /// Hands upstreams over to their next dispatcher. The sender owned them, starts nothing there
    /// any more and follows its runs to their end. Sent only to hosts with
    /// [`Hello::takes_handovers`].
    Handover {
        /// Names of the upstreams.
        upstreams: Vec<String>,
    },
    /// Reports runs that were lost with their upstreams. Sent only to hosts with
    /// [`Hello::takes_losses`].
    Losses { losses: Vec<LossWire> },
    /// Reports losses that others than these tasks may have caused. Sent only to hosts with
    /// [`Hello::takes_doubtful_losses`].
    DoubtfulLosses { losses: Vec<LossWire> },
    /// Names the sender's runs on upstreams that it no longer owns, to their owner. Each entry
    /// replaces the former one for the same upstream. Sent only to hosts with
    /// [`Hello::takes_rosters`], in place of [`Frame::Handover`].
    Rosters { rosters: Vec<RosterWire> },
    /// Cancels a job by its identifier, and asks whether the receiver held it. Sent only to hosts
    /// with [`Hello::takes_cancellations`], as are the following messages.
    CancelJob {
        /// Number of the search, assigned by the sender.
        search: u64,
        id: String,
    },
    /// Answer to [`Frame::CancelJob`].
    CancelAnswer {
        /// Number of the search, assigned by the receiver.
        search: u64,
        holding: HoldingWire,
    },
    /// Reports jobs that were cancelled a short time ago. At most [`MAX_CANCELLED_JOBS`].
    Cancelled { jobs: Vec<CancelledWire> },
}

/// Maximum number of jobs in one [`Frame::Cancelled`].
pub const MAX_CANCELLED_JOBS: usize = 4_096;
/// Maximum length of the identifier of a job that a peer cancels. Those of callers are far shorter.
const MAX_CANCELLED_ID_BYTES: usize = 64;

/// Identity of the sender.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    pub name: String,
    pub data_centre: String,
    /// Listen address for other entry hosts.
    pub peers: SocketAddr,
    /// Share of one CPU core that the host has.
    pub cpu_share: f64,
    /// Random number drawn at each start of the sender's process.
    pub incarnation: u64,
    /// Whether the sender understands [`Frame::Handover`]. Earlier releases don't send this field.
    #[serde(deserialize_with = "or_default")]
    pub takes_handovers: bool,
    /// Whether the sender understands [`Frame::Losses`]. Earlier releases don't send this field.
    #[serde(deserialize_with = "or_default")]
    pub takes_losses: bool,
    /// Whether the sender understands [`Frame::DoubtfulLosses`]. Earlier releases don't send this
    /// field.
    #[serde(deserialize_with = "or_default")]
    pub takes_doubtful_losses: bool,
    /// Whether the sender understands [`Frame::Rosters`]. Earlier releases don't send this field.
    #[serde(deserialize_with = "or_default")]
    pub takes_rosters: bool,
    /// Whether the sender understands [`Frame::CancelJob`], [`Frame::CancelAnswer`],
    /// [`Frame::Cancelled`] and [`OutcomeWire::Cancelled`]. Earlier releases don't send this field.
    #[serde(deserialize_with = "or_default")]
    pub takes_cancellations: bool,
}

/// Reads a field that earlier releases don't send. Only such fields may follow it in its message, as
/// the encoding has nothing left to read there.
fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Default + Deserialize<'de>,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

/// State and load of the sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender is about to stop and accepts no more jobs.
    pub leaving: bool,
    /// The sender owns upstreams of its own data centre.
    pub dispatches: bool,
    /// Revision of the sender's mirror.
    pub revision: u64,
    /// Version of the sender's configuration.
    pub version: u64,
    /// [`Load::cores`] of the sender.
    pub cores: f32,
    /// [`Load::busy_cores`] of the sender.
    pub busy: f32,
    /// [`Load::queued_core_seconds`] of the sender.
    pub waiting: f32,
    /// [`Load::queued_jobs`] of the sender.
    pub waiting_jobs: u32,
    /// [`Load::free_slots`] of the sender.
    pub places: u32,
    /// Longest time until the next heartbeat on this link, in microseconds.
    pub period_us: u64,
    /// The sender has not yet had the configuration and the records of upstreams that it needs to
    /// dispatch. Earlier releases don't send this field.
    #[serde(deserialize_with = "or_default")]
    pub is_starting: bool,
    /// The sender has jobs in its pool. Earlier releases don't send this field.
    #[serde(deserialize_with = "or_default")]
    pub has_jobs: bool,
    /// Revision of the newest item of the operators that the sender knows. Earlier releases don't send
    /// this field.
    #[serde(deserialize_with = "or_default")]
    pub operator_revision: u64,
    /// The sender owns upstreams, in any data centre. Those of evacuated ones are not part of its load.
    /// Earlier releases don't send this field.
    #[serde(deserialize_with = "or_default")]
    pub owns_upstreams: bool,
}

/// Job for a dispatcher. Times are relative, as the clocks of hosts differ.
#[derive(Debug, Deserialize, Serialize)]
pub struct Submit {
    /// Call number of the job, assigned by the sender.
    pub call: u64,
    pub id: String,
    pub spec: String,
    pub class: String,
    pub service: String,
    pub priority: u32,
    pub max_attempts: u32,
    pub steps: Vec<StepWire>,
    /// Time since the caller's request was received, in microseconds.
    pub age_us: u64,
    /// Time from the receipt of the request within which the caller wants the answer, in
    /// microseconds.
    pub objective_us: u64,
    /// Time until the caller stops waiting, in microseconds.
    #[serde(rename = "left_us")]
    pub remaining_us: u64,
}

/// Step of a job, with the fields of [`Step`] and [`Needs`].
#[derive(Debug, Deserialize, Serialize)]
pub struct StepWire {
    pub count: u32,
    pub cpu: u32,
    pub memory: u32,
    pub accelerators: u32,
    pub estimate_us: u64,
    pub after: Vec<u32>,
    pub label: Option<String>,
    pub near: Option<String>,
    pub max_per_upstream: u32,
}

/// Outcome of a job.
#[derive(Debug, Deserialize, Serialize)]
pub enum OutcomeWire {
    Completed,
    Failed,
    NotRun {
        retry_after_us: u64,
        why: String,
    },
    MayHaveRun {
        why: String,
    },
    /// Sent only to hosts with [`Hello::takes_cancellations`].
    Cancelled,
}

/// [`Holding`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum HoldingWire {
    Held,
    Absent,
    Unknown,
}

/// A cancelled job.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelledWire {
    pub id: String,
    /// Time for which the sender still remembers it, in microseconds.
    pub remaining_us: u64,
}

/// Runs that were lost with the process of their upstream, with the fields of [`Loss`].
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct LossWire {
    pub upstream: String,
    pub started_ms: Option<u64>,
    pub cause: CauseWire,
    pub tasks: Vec<TaskWire>,
}

/// [`LossCause`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum CauseWire {
    Left,
    Unresponsive,
    RecordRemoved,
    Refused,
    Replaced,
}

/// [`Task`].
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskWire {
    pub job: String,
    pub occurrence: u64,
    pub step: u32,
    pub index: u32,
}

/// [`Roster`].
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub struct RosterWire {
    pub upstream: String,
    /// Tasks and the numbers of their runs.
    pub runs: Vec<(TaskWire, u32)>,
}

/// Item of the store; it has no value if it was removed.
#[derive(Debug, Deserialize, Serialize)]
pub struct ItemWire {
    pub key: String,
    pub revision: u64,
    pub value: Option<Vec<u8>>,
}

/// Returns a duration in microseconds.
fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

impl Hello {
    /// Returns the identity of a host.
    pub fn new(record: &HostRecord, incarnation: u64) -> Self {
        Hello {
            incarnation,
            name: record.name.to_string(),
            data_centre: record.data_centre.to_string(),
            peers: record.peers,
            cpu_share: record.cpu_share,
            takes_handovers: true,
            takes_losses: true,
            takes_doubtful_losses: true,
            takes_rosters: true,
            takes_cancellations: true,
        }
    }
}

impl From<Hello> for HostRecord {
    fn from(wire: Hello) -> Self {
        HostRecord {
            name: Host::new(wire.name),
            data_centre: DataCentre::new(wire.data_centre),
            peers: wire.peers,
            cpu_share: wire.cpu_share,
        }
    }
}

impl Heartbeat {
    /// Returns the sender's load.
    pub fn load(&self) -> Load {
        Load {
            cores: f64::from(self.cores),
            busy_cores: f64::from(self.busy),
            queued_core_seconds: f64::from(self.waiting),
            queued_jobs: self.waiting_jobs,
            free_slots: self.places,
        }
    }

    /// Returns whether `other` differs in anything that peers act upon at once. The revision is
    /// ignored, because it rises with every record that any host or upstream renews.
    pub fn differs_beyond_revision(&self, other: &Heartbeat) -> bool {
        Heartbeat { revision: other.revision, ..self.clone() } != *other
    }

    /// Returns a copy for a link on which the next heartbeat follows within `period`.
    pub fn with_period(&self, period: Duration) -> Self {
        Heartbeat { period_us: micros(period), ..self.clone() }
    }

    /// Returns the longest time until the next heartbeat.
    pub fn period(&self) -> Duration {
        Duration::from_micros(self.period_us)
    }
}

impl Submit {
    /// Returns the message that submits a job now.
    pub fn new(call: u64, job: &Request, now: Time) -> Self {
        Submit {
            call,
            id: job.id.to_string(),
            spec: job.spec.to_string(),
            class: job.class.to_string(),
            service: job.service.to_string(),
            priority: job.priority,
            max_attempts: job.max_attempts,
            steps: job.steps.iter().map(StepWire::from).collect(),
            age_us: micros(now.since(job.received)),
            objective_us: micros(job.objective),
            remaining_us: micros(job.deadline.since(now)),
        }
    }

    /// Returns the job with times of the receiver's clock. The message counts as sent at `now`, so
    /// its transit time is not part of the job's age.
    pub fn into_request(self, now: Time) -> Request {
        Request {
            id: Id::new(self.id),
            spec: Arc::from(self.spec),
            class: Arc::from(self.class),
            service: Arc::from(self.service),
            priority: self.priority,
            max_attempts: self.max_attempts,
            steps: self.steps.into_iter().map(Step::from).collect(),
            received: now - Duration::from_micros(self.age_us),
            objective: Duration::from_micros(self.objective_us),
            deadline: now + Duration::from_micros(self.remaining_us),
        }
    }
}

impl From<&Step> for StepWire {
    fn from(step: &Step) -> Self {
        StepWire {
            count: step.count,
            cpu: step.needs.cpu,
            memory: step.needs.memory,
            accelerators: step.needs.accelerators,
            estimate_us: micros(step.estimate),
            after: step.after.clone(),
            label: step.label.as_deref().map(str::to_owned),
            near: step.near.as_deref().map(str::to_owned),
            max_per_upstream: step.max_per_upstream,
        }
    }
}

impl From<StepWire> for Step {
    fn from(wire: StepWire) -> Self {
        Step {
            count: wire.count,
            needs: Needs { cpu: wire.cpu, memory: wire.memory, accelerators: wire.accelerators },
            estimate: Duration::from_micros(wire.estimate_us),
            after: wire.after,
            label: wire.label.map(Arc::from),
            near: wire.near.map(Arc::from),
            max_per_upstream: wire.max_per_upstream,
        }
    }
}

impl From<&Outcome> for OutcomeWire {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Completed => OutcomeWire::Completed,
            Outcome::Failed => OutcomeWire::Failed,
            Outcome::NotRun { retry_after, why } => {
                OutcomeWire::NotRun { retry_after_us: micros(*retry_after), why: (*why).to_owned() }
            }
            Outcome::MayHaveRun(why) => OutcomeWire::MayHaveRun { why: (*why).to_owned() },
            Outcome::Cancelled => OutcomeWire::Cancelled,
        }
    }
}

impl OutcomeWire {
    /// Returns the outcome for a host of an earlier release, which doesn't know
    /// [`OutcomeWire::Cancelled`].
    pub fn without_cancelled(self) -> Self {
        match self {
            OutcomeWire::Cancelled => OutcomeWire::MayHaveRun { why: "cancelled".to_owned() },
            other => other,
        }
    }
}

/// [`Outcome`] holds static texts, so a general reason replaces the dispatcher's own, except for those
/// that this host acts upon.
impl From<OutcomeWire> for Outcome {
    fn from(wire: OutcomeWire) -> Self {
        match wire {
            OutcomeWire::Completed => Outcome::Completed,
            OutcomeWire::Failed => Outcome::Failed,
            OutcomeWire::NotRun { retry_after_us, why } => Outcome::NotRun {
                retry_after: Duration::from_micros(retry_after_us),
                why: match &*why {
                    EVACUATED => EVACUATED,
                    SHORTAGE => SHORTAGE,
                    _ => "the dispatcher has no room for it",
                },
            },
            OutcomeWire::MayHaveRun { .. } => Outcome::MayHaveRun("the dispatcher gave it up"),
            OutcomeWire::Cancelled => Outcome::Cancelled,
        }
    }
}

impl From<Holding> for HoldingWire {
    fn from(holding: Holding) -> Self {
        match holding {
            Holding::Held => HoldingWire::Held,
            Holding::Absent => HoldingWire::Absent,
            Holding::Unknown => HoldingWire::Unknown,
        }
    }
}

impl From<HoldingWire> for Holding {
    fn from(wire: HoldingWire) -> Self {
        match wire {
            HoldingWire::Held => Holding::Held,
            HoldingWire::Absent => Holding::Absent,
            HoldingWire::Unknown => Holding::Unknown,
        }
    }
}

impl CancelledWire {
    /// Returns the message for a cancelled job.
    pub fn new(id: &Id, remaining: Duration) -> Self {
        CancelledWire { id: id.to_string(), remaining_us: micros(remaining) }
    }

    /// Returns the job and the time for which it is remembered, if the identifier is valid.
    pub fn job(&self) -> Option<(Id, Duration)> {
        Some((cancelled_id(&self.id)?, Duration::from_micros(self.remaining_us)))
    }
}

/// Returns the identifier of a job that a peer cancels, if it is one that is worth remembering.
pub fn cancelled_id(text: &str) -> Option<Id> {
    (1..=MAX_CANCELLED_ID_BYTES).contains(&text.len()).then(|| Id::new(text))
}

impl From<&Item> for ItemWire {
    fn from(item: &Item) -> Self {
        ItemWire { key: item.key.clone(), revision: item.revision, value: item.value.clone() }
    }
}

impl From<ItemWire> for Item {
    fn from(wire: ItemWire) -> Self {
        Item { key: wire.key, revision: wire.revision, value: wire.value }
    }
}

impl From<&Loss> for LossWire {
    fn from(loss: &Loss) -> Self {
        LossWire {
            upstream: loss.upstream.to_string(),
            started_ms: loss.started_ms,
            cause: loss.cause.into(),
            tasks: loss.tasks.iter().map(TaskWire::from).collect(),
        }
    }
}

impl LossWire {
    /// Returns the loss of a report.
    pub fn into_loss(self, is_doubtful: bool) -> Loss {
        Loss {
            upstream: Upstream::new(self.upstream),
            started_ms: self.started_ms,
            cause: self.cause.into(),
            is_doubtful,
            tasks: self.tasks.into_iter().map(Task::from).collect(),
        }
    }
}

impl Frame {
    /// Returns the messages that report losses. A host that doesn't take doubtful ones is told of
    /// them as losses for an unknown cause.
    pub fn report_losses(losses: &[Loss], takes_doubtful_losses: bool) -> Vec<Frame> {
        let is_separate = |loss: &&Loss| loss.is_doubtful && takes_doubtful_losses;
        let (doubtful, plain): (Vec<&Loss>, Vec<&Loss>) = losses.iter().partition(is_separate);
        // A doubtful loss without a crash blames nobody.
        let plain = plain.into_iter().filter(|loss| !loss.is_doubtful || loss.cause.is_crash());
        let plain = plain.map(|loss| {
            let cause = if loss.is_doubtful { LossCause::Unresponsive } else { loss.cause };
            LossWire { cause: cause.into(), ..LossWire::from(loss) }
        });
        let doubtful = doubtful.into_iter().map(LossWire::from);
        let frames = [
            Frame::Losses { losses: plain.collect() },
            Frame::DoubtfulLosses { losses: doubtful.collect() },
        ];
        let is_empty = |frame: &Frame| {
            matches!(frame, Frame::Losses { losses } | Frame::DoubtfulLosses { losses }
                if losses.is_empty())
        };
        frames.into_iter().filter(|frame| !is_empty(frame)).collect()
    }
}

impl From<&Roster> for RosterWire {
    fn from(roster: &Roster) -> Self {
        let run = |(task, number): &(Task, u32)| (TaskWire::from(task), *number);
        let runs = roster.runs.iter().map(run).collect();
        RosterWire { upstream: roster.upstream.to_string(), runs }
    }
}

impl From<RosterWire> for Roster {
    fn from(wire: RosterWire) -> Self {
        let run = |(task, number): (TaskWire, u32)| (task.into(), number);
        let runs = wire.runs.into_iter().map(run).collect();
        Roster { upstream: Upstream::new(wire.upstream), runs }
    }
}

impl From<LossCause> for CauseWire {
    fn from(cause: LossCause) -> Self {
        match cause {
            LossCause::Left => CauseWire::Left,
            LossCause::Unresponsive => CauseWire::Unresponsive,
            LossCause::RecordRemoved => CauseWire::RecordRemoved,
            LossCause::Refused => CauseWire::Refused,
            LossCause::Replaced => CauseWire::Replaced,
        }
    }
}

impl From<CauseWire> for LossCause {
    fn from(wire: CauseWire) -> Self {
        match wire {
            CauseWire::Left => LossCause::Left,
            CauseWire::Unresponsive => LossCause::Unresponsive,
            CauseWire::RecordRemoved => LossCause::RecordRemoved,
            CauseWire::Refused => LossCause::Refused,
            CauseWire::Replaced => LossCause::Replaced,
        }
    }
}

impl From<&Task> for TaskWire {
    fn from(task: &Task) -> Self {
        let job = task.job.to_string();
        TaskWire { job, occurrence: task.occurrence, step: task.step, index: task.index }
    }
}

impl From<TaskWire> for Task {
    fn from(wire: TaskWire) -> Self {
        let job = Id::new(wire.job);
        Task { job, occurrence: wire.occurrence, step: wire.step, index: wire.index }
    }
}
