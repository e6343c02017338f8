//! Several entry hosts, the store's claims and the callers, as one model with every fault.

mod event;
mod flight;
mod job;
mod process;

pub use event::Event;

use flight::{Flight, Place};
use heathertrack::claim::Window;
use heathertrack::home::{Origin, Refused};
use heathertrack::name::Customer;
use heathertrack::record::{Cancelled, Digest, Entry, Key};
use heathertrack::run::Run;
use heathertrack::ticket::Home;
use job::Job;
use process::Process;
use std::collections::BTreeMap;
use std::time::Duration;

pub const WINDOW: Window =
    Window { accepted: Duration::from_millis(1_000), skew: Duration::from_millis(40) };
pub const TICKET_VALID: Duration = Duration::from_millis(1_000);
pub const HOSTS: usize = 3;
/// How long a refusal holds for its key, in milliseconds.
pub const HOLD_MS: u64 = 200;
/// Wall time at the beginning, in Unix milliseconds.
pub const EPOCH_MS: u64 = 1_800_000_000_000;

/// The mechanism that is left out, to show that its absence is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    Nothing,
    IncarnationCheck,
    ClaimReadBack,
    Retention,
    Evidence,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Answer(usize),
    /// Decided at this time: resubmissions get the same until [`HOLD_MS`] later.
    NotRun {
        at_ms: u64,
    },
    /// Cancelled before it came: it will never run.
    Never,
    MayHaveRun,
}

/// What the oracle knows of a key.
#[derive(Debug)]
pub struct Known {
    key: Key,
    origin: Origin,
    starts: u32,
    answer: Option<usize>,
    never: bool,
}

pub struct World {
    missing: Missing,
    now_ms: u64,
    hosts: Vec<Option<Process>>,
    incarnations: u64,
    claims: BTreeMap<Key, (u64, Home)>,
    store_down: bool,
    keys: Vec<Known>,
    flights: Vec<Flight>,
    jobs: Vec<Job>,
}

type Checked = Result<(), String>;

impl World {
    pub fn new(missing: Missing) -> Self {
        let mut world = World {
            missing,
            now_ms: 0,
            hosts: Vec::new(),
            incarnations: 0,
            claims: BTreeMap::new(),
            store_down: false,
            keys: Vec::new(),
            flights: Vec::new(),
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

    /// Applies an event; an error is a broken promise.
    pub fn apply(&mut self, event: Event) -> Checked {
        match event {
            Event::Advance(ms) => self.now_ms += u64::from(ms),
            Event::Mint { host, ago_ms } => self.mint(host, ago_ms),
            Event::Issue { host } => self.issue(host),
            Event::Submit { key, host, body } => self.submit(key, host, body, false),
            Event::Cancel { key, host } => self.submit(key, host, 0, true),
            Event::Step { flight, lost } => return self.step(flight, lost),
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
            Event::Cut { host, cut } => {
                if let Some(process) = &mut self.hosts[host] {
                    process.cut = cut;
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

    fn process(&mut self, host: usize) -> Option<&mut Process> {
        self.hosts[host].as_mut().filter(|process| !process.frozen)
    }

    fn mint(&mut self, host: usize, ago_ms: u16) {
        let now_ms = self.now_ms;
        let Some(process) = self.process(host) else {
            return;
        };
        let ms = process.clocks(now_ms).wall_ms.saturating_sub(u64::from(ago_ms));
        let text = format!("minted-{}", self.keys.len());
        self.add_key(text, Origin::Minted { ms });
    }

    fn issue(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let Some(process) = self.process(host) else {
            return;
        };
        let now = process.clocks(now_ms).now;
        if let Ok(ticket) = process.desk.issue(&customer(), now, TICKET_VALID) {
            self.add_key(format!("{ticket}/1"), Origin::Ticket(ticket));
        }
    }

    fn add_key(&mut self, text: String, origin: Origin) {
        let key = Key::new(customer().as_str(), text);
        self.keys.push(Known { key, origin, starts: 0, answer: None, never: false });
    }

    fn submit(&mut self, key: usize, host: usize, body: u8, cancel: bool) {
        if self.keys.is_empty() || self.hosts[host].is_none() {
            return;
        }
        let key = key % self.keys.len();
        self.flights.push(Flight { key, front: host, body, cancel, place: Place::Front });
    }

    /// Moves one submission on by one step.
    fn step(&mut self, flight: usize, lost: bool) -> Checked {
        if self.flights.is_empty() {
            return Ok(());
        }
        let at = flight % self.flights.len();
        let flight = self.flights[at].clone();
        match &flight.place {
            Place::Front => self.step_front(at, &flight),
            Place::Claiming { tries } => self.step_claim(at, &flight, *tries, lost),
            Place::Forwarded { home } => self.step_home(at, &flight, home),
            Place::Waiting { job } => self.step_wait(at, *job),
        }
    }

    fn step_front(&mut self, at: usize, flight: &Flight) -> Checked {
        let now_ms = self.now_ms;
        let (key, origin) =
            (self.keys[flight.key].key.clone(), self.keys[flight.key].origin.clone());
        let Some(process) = self.hosts[flight.front].as_mut() else {
            return self.reply(at, Reply::MayHaveRun);
        };
        if process.frozen {
            return Ok(());
        }
        let place = match origin {
            Origin::Ticket(ticket) => {
                Place::Forwarded { home: process.successions.current(&ticket.home) }
            }
            Origin::Minted { .. } if process.desk.knows(&key) => {
                Place::Forwarded { home: process.home.clone() }
            }
            Origin::Minted { ms } => match process.desk.judge(ms, process.clocks(now_ms)) {
                Ok(_) => Place::Claiming { tries: 0 },
                Err(refused) => return self.reply(at, told(refused, self.now_ms)),
            },
        };
        self.flights[at].place = place;
        Ok(())
    }

    fn step_claim(&mut self, at: usize, flight: &Flight, tries: u32, lost: bool) -> Checked {
        let Some(process) = self.hosts[flight.front].as_ref() else {
            return self.reply(at, Reply::MayHaveRun);
        };
        if process.frozen {
            return Ok(());
        }
        if self.store_down || tries > 3 {
            return self.reply(at, Reply::MayHaveRun);
        }
        let own = process.home.clone();
        let Known { key, origin, .. } = &self.keys[flight.key];
        let Origin::Minted { ms } = origin else {
            return Ok(());
        };
        let claim = self.claims.entry(key.clone()).or_insert_with(|| (*ms, own.clone()));
        let owner = claim.1.clone();
        if lost && self.missing == Missing::ClaimReadBack {
            self.flights[at].place = Place::Forwarded { home: own };
        } else if lost {
            self.flights[at].place = Place::Claiming { tries: tries + 1 };
        } else {
            let current = self.hosts[flight.front].as_ref().map(|p| p.successions.current(&owner));
            self.flights[at].place = Place::Forwarded { home: current.unwrap_or(owner) };
        }
        Ok(())
    }

    fn step_home(&mut self, at: usize, flight: &Flight, home: &Home) -> Checked {
        let now_ms = self.now_ms;
        let front_cut = self.hosts[flight.front].as_ref().is_none_or(|front| front.cut);
        let any_incarnation = self.missing == Missing::IncarnationCheck;
        let known = &self.keys[flight.key];
        let (key, origin) = (known.key.clone(), known.origin.clone());
        let index = process::index(home);
        let Some(process) = self.hosts[index].as_mut() else {
            return self.reply(at, Reply::MayHaveRun);
        };
        if process.frozen {
            return Ok(());
        }
        let reachable = index == flight.front || !(process.cut || front_cut);
        if !reachable || (process.home != *home && !any_incarnation) {
            return self.reply(at, Reply::MayHaveRun);
        }
        if any_incarnation {
            process.adopt_office_of(home, now_ms);
        }
        let clocks = process.clocks(now_ms);
        if flight.cancel {
            let cancelled = process.desk.cancel(&key, &origin, clocks);
            return self.after_cancel(at, cancelled);
        }
        let job = self.jobs.len();
        let digest = Digest::of(&[flight.body]);
        let entry = process.desk.submit(&key, &origin, digest, clocks, job);
        let begun = process.home.clone();
        self.after_submit(at, flight.key, entry, begun)
    }

    fn after_submit(
        &mut self,
        at: usize,
        key: usize,
        entry: Result<Entry<usize, usize>, Refused>,
        home: Home,
    ) -> Checked {
        match entry {
            Ok(Entry::Begin) => {
                let job = self.jobs.len();
                self.jobs.push(Job::new(key, home));
                self.flights[at].place = Place::Waiting { job };
                Ok(())
            }
            Ok(Entry::Join(job)) => {
                self.flights[at].place = Place::Waiting { job };
                Ok(())
            }
            Ok(Entry::Known(job)) => self.reply_of(at, job),
            Ok(Entry::Barred) => self.reply(at, Reply::Never),
            Ok(_) => self.reply(at, Reply::MayHaveRun),
            Err(refused) => self.reply(at, told(refused, self.now_ms)),
        }
    }

    fn after_cancel(
        &mut self,
        at: usize,
        cancelled: Result<Cancelled<usize, usize>, Refused>,
    ) -> Checked {
        match cancelled {
            Ok(Cancelled::Running(job)) => {
                self.jobs[job].cancelled = true;
                self.flights[at].place = Place::Waiting { job };
                Ok(())
            }
            Ok(Cancelled::Known(job)) => self.reply_of(at, job),
            Ok(Cancelled::Barred) => self.reply(at, Reply::Never),
            Ok(_) => self.reply(at, Reply::MayHaveRun),
            Err(refused) => self.reply(at, told(refused, self.now_ms)),
        }
    }

    /// Tells the stored outcome of a job.
    fn reply_of(&mut self, at: usize, job: usize) -> Checked {
        let reply = self.jobs[job].reply.unwrap_or(Reply::MayHaveRun);
        self.reply(at, reply)
    }

    fn step_wait(&mut self, at: usize, job: usize) -> Checked {
        if let Some(reply) = self.jobs[job].reply {
            return self.reply(at, reply);
        }
        if self.process_of(job).is_none() {
            return self.reply(at, Reply::MayHaveRun);
        }
        Ok(())
    }

    /// The process that a job runs in, if it is still there.
    fn process_of(&mut self, job: usize) -> Option<&mut Process> {
        let home = self.jobs[job].home.clone();
        let process = self.hosts[process::index(&home)].as_mut()?;
        (process.home == home).then_some(process)
    }

    /// Tells a caller, and holds what it is told against what ran.
    fn reply(&mut self, at: usize, reply: Reply) -> Checked {
        let flight = self.flights.swap_remove(at);
        let known = &mut self.keys[flight.key];
        match reply {
            Reply::MayHaveRun => Ok(()),
            // Told later than it holds, it speaks of the time at which it was decided.
            Reply::NotRun { at_ms } if at_ms + HOLD_MS <= self.now_ms => Ok(()),
            Reply::NotRun { .. } | Reply::Never => {
                known.never |= reply == Reply::Never;
                if known.starts > 0 {
                    return Err(format!("{:?} was said not to have run, and did", known.key));
                }
                Ok(())
            }
            Reply::Answer(answer) => {
                if known.answer.is_some_and(|other| other != answer) {
                    return Err(format!("{:?} got two answers", known.key));
                }
                known.answer = Some(answer);
                Ok(())
            }
        }
    }

    /// A byte of a job's task leaves.
    fn start(&mut self, job: usize) -> Checked {
        let Some(job) = self.open_job(job) else {
            return Ok(());
        };
        if self.jobs[job].started || !self.jobs[job].evidence.hand_over() {
            return Ok(());
        }
        self.jobs[job].started = true;
        let known = &mut self.keys[self.jobs[job].key];
        known.starts += 1;
        if known.starts > 1 {
            return Err(format!("{:?} started twice", known.key));
        }
        if known.never {
            return Err(format!("{:?} started after it was said to be cancelled", known.key));
        }
        Ok(())
    }

    /// A job that has no outcome yet, in a process that can act.
    fn open_job(&mut self, job: usize) -> Option<usize> {
        if self.jobs.is_empty() {
            return None;
        }
        let job = job % self.jobs.len();
        let acting = self.process_of(job).is_some_and(|process| !process.frozen);
        (acting && self.jobs[job].reply.is_none()).then_some(job)
    }

    fn end(&mut self, job: usize) {
        let Some(job) = self.open_job(job) else {
            return;
        };
        if self.jobs[job].started {
            self.jobs[job].reply = Some(Reply::Answer(job));
            self.store_outcome(job, false);
        }
    }

    /// A job fails: its deadline came, a task failed, or it was cancelled.
    fn give_up(&mut self, job: usize) -> Checked {
        let Some(job) = self.open_job(job) else { return Ok(()) };
        let run = self.jobs[job].evidence.close();
        let not_run = run == Run::NotRun || self.missing == Missing::Evidence;
        let cancelled = self.jobs[job].cancelled;
        self.jobs[job].reply = Some(match (not_run, cancelled) {
            (true, true) => Reply::Never,
            (true, false) => Reply::NotRun { at_ms: self.now_ms },
            (false, _) => Reply::MayHaveRun,
        });
        if not_run && self.keys[self.jobs[job].key].starts > 0 {
            return Err(format!("job {job} is said not to have run, and did"));
        }
        self.store_outcome(job, not_run && !cancelled);
        Ok(())
    }

    fn store_outcome(&mut self, job: usize, refused: bool) {
        let now_ms = self.now_ms;
        let key = self.keys[self.jobs[job].key].key.clone();
        let Some(process) = self.process_of(job) else {
            return;
        };
        if refused {
            let until = process.clocks(now_ms).now + Duration::from_millis(HOLD_MS);
            process.desk.refuse(&key, job, until);
        } else {
            process.desk.finish(&key, job, 1);
        }
    }

    fn expire(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let early = self.missing == Missing::Retention;
        if let Some(process) = self.process(host) {
            let now = process.clocks(now_ms).now;
            process.desk.expire(if early { now + 4 * TICKET_VALID } else { now });
        }
    }

    fn sweep(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let Some(process) = self.process(host) else {
            return;
        };
        let clocks = process.clocks(now_ms);
        if !process.desk.trusts(clocks) {
            return;
        }
        let ttl_ms = WINDOW.claim_ttl().as_millis() as u64;
        let oldest = clocks.wall_ms.saturating_sub(ttl_ms);
        self.claims.retain(|_, (minted_ms, _)| *minted_ms >= oldest);
    }

    /// A planned stop: the records go to a peer, unless the messages are lost.
    fn stop(&mut self, host: usize, to: usize, lost: bool) {
        let now_ms = self.now_ms;
        let running = (0..self.jobs.len()).any(|job| {
            let home = self.jobs[job].home.clone();
            let own = self.hosts[host].as_ref().is_some_and(|process| process.home == home);
            own && self.jobs[job].reply.is_none()
        });
        let apart = host == to || self.hosts[to].as_ref().is_none_or(|p| p.frozen || p.cut);
        if running || apart {
            return;
        }
        let Some(mut stopping) = self.hosts[host].take() else {
            return;
        };
        stopping.desk.close();
        let (offices, records) = stopping.desk.part(stopping.clocks(now_ms).now);
        if lost {
            return;
        }
        let there = stopping.clocks(now_ms).now;
        let Some(heir) = self.hosts[to].as_mut() else {
            return;
        };
        heir.take_over(&stopping.home, offices, records, there, now_ms);
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let now_ms = self.now_ms;
        let Some(from) = self.process(from) else {
            return;
        };
        let news: Vec<(Home, Home)> =
            from.successions.iter().map(|(a, b)| (a.clone(), b.clone())).collect();
        let Some(to) = self.process(to) else { return };
        let now = to.clocks(now_ms).now;
        for (stopped, heir) in news {
            to.successions.note(stopped, heir, now);
        }
    }
}

fn told(refused: Refused, now_ms: u64) -> Reply {
    match refused.run() {
        Run::NotRun => Reply::NotRun { at_ms: now_ms },
        Run::MayHaveRun => Reply::MayHaveRun,
    }
}

pub fn customer() -> Customer {
    Customer::new("kadriorg-crafts")
}
