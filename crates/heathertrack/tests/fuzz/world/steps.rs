//! Submissions in flight. Each advances by one step at a time, so that all interleavings can occur.

use super::job::Job;
use super::process::Process;
use super::submission::{Stage, Submission};
use super::{CheckResult, Disabled, KeyState, REFUSAL_HOLD_MS, Reply, World, process};
use heathertrack::home::{Origin, Refusal};
use heathertrack::record::{Admission, CancelResult, Digest};
use heathertrack::run::ExecutionStatus;
use heathertrack::ticket::Home;

/// Maximum number of times that a claim is repeated after a lost response.
const MAX_CLAIM_RETRIES: u32 = 3;

impl World {
    /// Advances a submission by one step. `lost` means that the response of the store to a claim is
    /// lost.
    pub(super) fn step(&mut self, submission: usize, lost: bool) -> CheckResult {
        if self.submissions.is_empty() {
            return Ok(());
        }
        let at = submission % self.submissions.len();
        let submission = self.submissions[at].clone();
        match &submission.stage {
            Stage::Received => self.step_received(at, &submission),
            Stage::Claiming { tries } => self.step_claiming(at, &submission, *tries, lost),
            Stage::Forwarded { home } => self.step_forwarded(at, &submission, home),
            Stage::Waiting { job } => self.step_waiting(at, *job),
        }
    }

    /// Checks the key at the entry host, and determines the home or that a claim is needed.
    fn step_received(&mut self, at: usize, submission: &Submission) -> CheckResult {
        let now_ms = self.now_ms;
        let (key, origin) =
            (self.keys[submission.key].key.clone(), self.keys[submission.key].origin.clone());
        let Some(process) = self.hosts[submission.entry_host].as_mut() else {
            return self.reply(at, Reply::MayHaveRun);
        };
        if process.frozen {
            return Ok(());
        }
        let stage = match origin {
            Origin::Ticket(ticket) => {
                Stage::Forwarded { home: process.successions.current(&ticket.home) }
            }
            Origin::Minted { .. } if process.submissions.contains(&key) => {
                Stage::Forwarded { home: process.home.clone() }
            }
            Origin::Minted { ms } => {
                match process.submissions.check_minted(ms, process.clocks(now_ms)) {
                    Ok(_) => Stage::Claiming { tries: 0 },
                    Err(refused) => return self.reply(at, reply_to_refusal(refused, self.now_ms)),
                }
            }
        };
        self.submissions[at].stage = stage;
        Ok(())
    }

    /// Claims a minted key in the store for the entry host. An existing claim is kept, and its
    /// owner or the owner's successor is the home.
    fn step_claiming(
        &mut self,
        at: usize,
        submission: &Submission,
        tries: u32,
        lost: bool,
    ) -> CheckResult {
        let Some(process) = self.hosts[submission.entry_host].as_ref() else {
            return self.reply(at, Reply::MayHaveRun);
        };
        if process.frozen {
            return Ok(());
        }
        if self.store_down || tries > MAX_CLAIM_RETRIES {
            return self.reply(at, Reply::MayHaveRun);
        }
        let own = process.home.clone();
        let KeyState { key, origin, .. } = &self.keys[submission.key];
        let Origin::Minted { ms } = origin else {
            return Ok(());
        };
        let claim = self.claims.entry(key.clone()).or_insert_with(|| (*ms, own.clone()));
        let owner = claim.1.clone();
        if lost && self.disabled == Disabled::ClaimReadBack {
            self.submissions[at].stage = Stage::Forwarded { home: own };
        } else if lost {
            self.submissions[at].stage = Stage::Claiming { tries: tries + 1 };
        } else {
            let current =
                self.hosts[submission.entry_host].as_ref().map(|p| p.successions.current(&owner));
            self.submissions[at].stage = Stage::Forwarded { home: current.unwrap_or(owner) };
        }
        Ok(())
    }

    /// Handles a submission or cancellation in its home, if that is reachable.
    fn step_forwarded(&mut self, at: usize, submission: &Submission, home: &Home) -> CheckResult {
        let now_ms = self.now_ms;
        let entry_partitioned =
            self.hosts[submission.entry_host].as_ref().is_none_or(|process| process.partitioned);
        let any_incarnation = self.disabled == Disabled::IncarnationCheck;
        let known = &self.keys[submission.key];
        let (key, origin) = (known.key.clone(), known.origin.clone());
        let index = process::host_index(home);
        let Some(process) = self.hosts[index].as_mut() else {
            return self.reply(at, Reply::MayHaveRun);
        };
        if process.frozen {
            return Ok(());
        }
        let reachable =
            index == submission.entry_host || !(process.partitioned || entry_partitioned);
        if !reachable || (process.home != *home && !any_incarnation) {
            return self.reply(at, Reply::MayHaveRun);
        }
        if any_incarnation {
            process.adopt_tickets_of(home, now_ms);
        }
        let clocks = process.clocks(now_ms);
        if submission.cancel {
            let cancelled = process.submissions.cancel(&key, &origin, clocks);
            return self.after_cancel(at, cancelled);
        }
        let job = self.jobs.len();
        let digest = Digest::of(&[submission.body]);
        let admission = process.submissions.submit(&key, &origin, digest, clocks, job);
        let home = process.home.clone();
        self.after_submit(at, submission.key, admission, home)
    }

    fn after_submit(
        &mut self,
        at: usize,
        key: usize,
        admission: Result<Admission<usize, usize>, Refusal>,
        home: Home,
    ) -> CheckResult {
        match admission {
            Ok(Admission::Started) => {
                let job = self.jobs.len();
                self.jobs.push(Job::new(key, home));
                self.submissions[at].stage = Stage::Waiting { job };
                Ok(())
            }
            Ok(Admission::Running(job)) => {
                self.submissions[at].stage = Stage::Waiting { job };
                Ok(())
            }
            Ok(Admission::Finished(job)) => self.reply_of(at, job),
            Ok(Admission::CancelledEarly) => self.reply(at, Reply::Cancelled),
            Ok(_) => self.reply(at, Reply::MayHaveRun),
            Err(refused) => self.reply(at, reply_to_refusal(refused, self.now_ms)),
        }
    }

    fn after_cancel(
        &mut self,
        at: usize,
        cancelled: Result<CancelResult<usize, usize>, Refusal>,
    ) -> CheckResult {
        match cancelled {
            Ok(CancelResult::Running(job)) => {
                self.jobs[job].cancelled = true;
                self.submissions[at].stage = Stage::Waiting { job };
                Ok(())
            }
            Ok(CancelResult::Finished(job)) => self.reply_of(at, job),
            Ok(CancelResult::CancelledEarly) => self.reply(at, Reply::Cancelled),
            Ok(_) => self.reply(at, Reply::MayHaveRun),
            Err(refused) => self.reply(at, reply_to_refusal(refused, self.now_ms)),
        }
    }

    /// Replies with the stored outcome of a job.
    fn reply_of(&mut self, at: usize, job: usize) -> CheckResult {
        let reply = self.jobs[job].reply.unwrap_or(Reply::MayHaveRun);
        self.reply(at, reply)
    }

    /// Replies once the job has an outcome, or if its process is gone.
    fn step_waiting(&mut self, at: usize, job: usize) -> CheckResult {
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
        let process = self.hosts[process::host_index(&home)].as_mut()?;
        (process.home == home).then_some(process)
    }

    /// Replies to a caller, and checks the reply against what ran.
    fn reply(&mut self, at: usize, reply: Reply) -> CheckResult {
        let submission = self.submissions.swap_remove(at);
        let known = &mut self.keys[submission.key];
        match reply {
            Reply::MayHaveRun => Ok(()),
            // The key may have been submitted again and run since the refusal was decided.
            Reply::NotRun { at_ms } if at_ms + REFUSAL_HOLD_MS <= self.now_ms => Ok(()),
            Reply::NotRun { .. } | Reply::Cancelled => {
                known.cancelled |= reply == Reply::Cancelled;
                if known.starts > 0 {
                    return Err(format!("{:?} was reported as not run, but has run", known.key));
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

fn reply_to_refusal(refused: Refusal, now_ms: u64) -> Reply {
    match refused.execution_status() {
        ExecutionStatus::NotRun => Reply::NotRun { at_ms: now_ms },
        ExecutionStatus::MayHaveRun => Reply::MayHaveRun,
    }
}
