//! Submissions in flight. Each advances by one step at a time, so that all interleavings can occur.

use super::flight::{Flight, Place};
use super::job::Job;
use super::process::Process;
use super::{Checked, HOLD_MS, Known, Missing, Reply, World, process};
use heathertrack::home::{Origin, Refused};
use heathertrack::record::{Cancelled, Digest, Entry};
use heathertrack::run::Run;
use heathertrack::ticket::Home;

impl World {
    /// Advances a submission by one step.
    pub(super) fn step(&mut self, flight: usize, lost: bool) -> Checked {
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

    /// Replies with the stored outcome of a job.
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

    /// Returns the process that a job runs in, if it still exists.
    pub(super) fn process_of(&mut self, job: usize) -> Option<&mut Process> {
        let home = self.jobs[job].home.clone();
        let process = self.hosts[process::index(&home)].as_mut()?;
        (process.home == home).then_some(process)
    }

    /// Replies to a caller, and checks the reply against what ran.
    fn reply(&mut self, at: usize, reply: Reply) -> Checked {
        let flight = self.flights.swap_remove(at);
        let known = &mut self.keys[flight.key];
        match reply {
            Reply::MayHaveRun => Ok(()),
            // The refusal no longer holds, so it only states what was true when it was decided.
            Reply::NotRun { at_ms } if at_ms + HOLD_MS <= self.now_ms => Ok(()),
            Reply::NotRun { .. } | Reply::Never => {
                known.never |= reply == Reply::Never;
                if known.starts > 0 {
                    return Err(format!("{:?} was reported as not run and has run", known.key));
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
}

fn told(refused: Refused, now_ms: u64) -> Reply {
    match refused.run() {
        Run::NotRun => Reply::NotRun { at_ms: now_ms },
        Run::MayHaveRun => Reply::MayHaveRun,
    }
}
