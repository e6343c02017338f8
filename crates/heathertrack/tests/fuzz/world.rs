//! Model of several entry hosts, the claims in the store and the callers, with crashes, pauses,
//! partitions, clock steps and lost messages.

mod event;
mod job;
mod jobs;
mod process;
mod steps;
mod submission;

pub use event::Event;

use heathertrack::claim::KeyWindow;
use heathertrack::home::Origin;
use heathertrack::name::Customer;
use heathertrack::record::Key;
use heathertrack::ticket::Home;
use job::Job;
use process::Process;
use std::collections::BTreeMap;
use std::time::Duration;
use submission::{Stage, Submission};

/// Acceptance of minted keys and skew of the clocks.
pub const WINDOW: KeyWindow =
    KeyWindow { max_key_age: Duration::from_millis(1_000), skew: Duration::from_millis(40) };
/// Validity of a ticket.
pub const TICKET_VALID: Duration = Duration::from_millis(1_000);
pub const HOSTS: usize = 3;
/// Time for which resubmissions of a refused key get the same refusal, in milliseconds.
pub const REFUSAL_HOLD_MS: u64 = 200;
/// Wall time at the start of the model, in Unix milliseconds.
pub const EPOCH_MS: u64 = 1_800_000_000_000;

/// Mechanism that is turned off, to show that the oracle detects its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disabled {
    Nothing,
    /// A process takes only submissions that are meant for its own incarnation.
    IncarnationCheck,
    /// After a lost response of the store, the claim is read back to learn who holds it.
    ClaimReadBack,
    /// A record is kept as long as any host may accept its key.
    Retention,
    /// A job counts as not run only if none of its tasks was handed over.
    HandoverTracker,
}

/// Reply to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The answer of the job with this index.
    Answer(usize),
    /// The job did not run, as decided at this time. Resubmissions get the same reply for
    /// [`REFUSAL_HOLD_MS`].
    NotRun { at_ms: u64 },
    /// The job was cancelled before any task started, and will never run.
    Cancelled,
    /// It is unknown whether the job ran.
    MayHaveRun,
}

/// What the oracle recorded about a key.
#[derive(Debug)]
pub struct KeyState {
    key: Key,
    origin: Origin,
    /// Number of times that a job under the key started.
    starts: u32,
    /// Index of the job whose answer a caller got.
    answer: Option<usize>,
    /// Whether a caller was told that the job was cancelled before it ran.
    cancelled: bool,
}

/// The processes, the claims in the store, the submissions in flight, and the oracle.
pub struct World {
    disabled: Disabled,
    /// True time since the start of the model, in milliseconds.
    now_ms: u64,
    /// The process on each host, if one runs.
    hosts: Vec<Option<Process>>,
    /// Last incarnation given to a process.
    incarnations: u64,
    /// Claims in the store, each with the mint time in Unix milliseconds and the owner.
    claims: BTreeMap<Key, (u64, Home)>,
    store_down: bool,
    keys: Vec<KeyState>,
    submissions: Vec<Submission>,
    /// All jobs that were ever accepted.
    jobs: Vec<Job>,
}

/// An error describes the guarantee that was broken.
type CheckResult = Result<(), String>;

impl World {
    pub fn new(disabled: Disabled) -> Self {
        let mut world = World {
            disabled,
            now_ms: 0,
            hosts: Vec::new(),
            incarnations: 0,
            claims: BTreeMap::new(),
            store_down: false,
            keys: Vec::new(),
            submissions: Vec::new(),
            jobs: Vec::new(),
        };
        for host in 0..HOSTS {
            let process = world.new_process(host, 0);
            world.hosts.push(Some(process));
        }
        world
    }

    fn new_process(&mut self, host: usize, skew_ms: i64) -> Process {
        self.incarnations += 1;
        Process::new(host, self.incarnations, self.now_ms, skew_ms)
    }

    /// Applies an event. Returns an error if it breaks a guarantee.
    pub fn apply(&mut self, event: Event) -> CheckResult {
        match event {
            Event::Advance(ms) => self.now_ms += u64::from(ms),
            Event::Mint { host, ago_ms } => self.mint(host, ago_ms),
            Event::Issue { host } => self.issue(host),
            Event::Submit { key, host, body } => self.submit(key, host, body, false),
            Event::Cancel { key, host } => self.submit(key, host, 0, true),
            Event::Step { submission, lost } => return self.step(submission, lost),
            Event::Start { job } => return self.start(job),
            Event::End { job } => self.end(job),
            Event::GiveUp { job } => return self.give_up(job),
            Event::Kill { host } => self.hosts[host] = None,
            Event::Restart { host, skew_ms } => {
                let process = self.new_process(host, i64::from(skew_ms));
                self.hosts[host] = Some(process);
            }
            Event::Freeze { host, frozen } => {
                if let Some(process) = &mut self.hosts[host] {
                    process.frozen = frozen;
                }
            }
            Event::Partition { host, partitioned } => {
                if let Some(process) = &mut self.hosts[host] {
                    process.partitioned = partitioned;
                }
            }
            Event::StepClock { host, ms } => {
                if let Some(process) = &mut self.hosts[host] {
                    process.skew_ms += i64::from(ms);
                }
            }
            Event::Store { down } => self.store_down = down,
            Event::Expire { host } => self.expire(host),
            Event::Sweep { host } => self.sweep(host),
            Event::Stop { host, to, lost } => self.stop(host, to, lost),
            Event::Gossip { from, to } => self.gossip(from, to),
        }
        Ok(())
    }

    /// Returns the process on a host, unless it is frozen.
    fn process(&mut self, host: usize) -> Option<&mut Process> {
        self.hosts[host].as_mut().filter(|process| !process.frozen)
    }

    /// Mints a key on a host's clock, as if `ago_ms` earlier.
    fn mint(&mut self, host: usize, ago_ms: u16) {
        let now_ms = self.now_ms;
        let Some(process) = self.process(host) else {
            return;
        };
        let ms = process.clocks(now_ms).wall_ms.saturating_sub(u64::from(ago_ms));
        let text = format!("minted-{}", self.keys.len());
        self.add_key(text, Origin::Minted { ms });
    }

    /// Issues a ticket on a host, and adds a key under it.
    fn issue(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let Some(process) = self.process(host) else {
            return;
        };
        let now = process.clocks(now_ms).now;
        if let Ok(ticket) = process.submissions.issue(&customer(), now, TICKET_VALID) {
            self.add_key(format!("{ticket}/1"), Origin::Ticket(ticket));
        }
    }

    fn add_key(&mut self, text: String, origin: Origin) {
        let key = Key::new(customer().as_str(), text);
        self.keys.push(KeyState { key, origin, starts: 0, answer: None, cancelled: false });
    }

    /// Sends a submission of a key to an entry host, or a cancellation.
    fn submit(&mut self, key: usize, host: usize, body: u8, cancel: bool) {
        if self.keys.is_empty() || self.hosts[host].is_none() {
            return;
        }
        let key = key % self.keys.len();
        self.submissions.push(Submission {
            key,
            entry_host: host,
            body,
            cancel,
            stage: Stage::Received,
        });
    }

    /// Removes the records on a host whose keys are no longer accepted.
    fn expire(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let early = self.disabled == Disabled::Retention;
        // Four times the validity of a ticket is longer than any key is accepted.
        if let Some(process) = self.process(host) {
            let now = process.clocks(now_ms).now;
            process.submissions.expire(if early { now + 4 * TICKET_VALID } else { now });
        }
    }

    /// Removes expired claims from the store, by the clock of a host.
    fn sweep(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let Some(process) = self.process(host) else {
            return;
        };
        let clocks = process.clocks(now_ms);
        if !process.submissions.clocks_agree(clocks) {
            return;
        }
        let ttl_ms = WINDOW.claim_ttl().as_millis() as u64;
        let oldest = clocks.wall_ms.saturating_sub(ttl_ms);
        self.claims.retain(|_, (minted_ms, _)| *minted_ms >= oldest);
    }

    /// Stops a host gracefully: its records go to the host `to`, unless the messages are lost. Does
    /// nothing if a job still runs on the host, as only records of ended jobs are handed over, or
    /// if `to` can't take over.
    fn stop(&mut self, host: usize, to: usize, lost: bool) {
        let now_ms = self.now_ms;
        let running = (0..self.jobs.len()).any(|job| {
            let home = self.jobs[job].home.clone();
            let own = self.hosts[host].as_ref().is_some_and(|process| process.home == home);
            own && self.jobs[job].reply.is_none()
        });
        let no_successor =
            host == to || self.hosts[to].as_ref().is_none_or(|p| p.frozen || p.partitioned);
        if running || no_successor {
            return;
        }
        let Some(mut stopping) = self.hosts[host].take() else {
            return;
        };
        stopping.submissions.close();
        let (tickets, records) = stopping.submissions.hand_over(stopping.clocks(now_ms).now);
        if lost {
            return;
        }
        let stopped_now = stopping.clocks(now_ms).now;
        let Some(successor) = self.hosts[to].as_mut() else {
            return;
        };
        successor.take_over(&stopping.home, tickets, records, stopped_now, now_ms);
    }

    /// Passes the successions that one host knows on to another.
    fn gossip(&mut self, from: usize, to: usize) {
        let now_ms = self.now_ms;
        let Some(from) = self.process(from) else {
            return;
        };
        let known_successions: Vec<(Home, Home)> =
            from.successions.iter().map(|(a, b)| (a.clone(), b.clone())).collect();
        let Some(to) = self.process(to) else { return };
        let now = to.clocks(now_ms).now;
        for (stopped, successor) in known_successions {
            to.successions.record(stopped, successor, now);
        }
    }
}

pub fn customer() -> Customer {
    Customer::new("kadriorg-crafts")
}
