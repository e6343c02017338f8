//! Queue of one customer's tasks that wait for a permit.

use super::AllowanceUse;
use heathertrack::clock::Time;
use heathertrack::name::Host;
use heathertrack::share::{Account, Permit};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::oneshot;

/// One customer's account on this host and its queue of tasks that wait for a permit.
#[derive(Debug)]
pub(super) struct PermitQueue {
    pub account: Account<Host>,
    /// Queued tasks by due time, and by sequence number if that is equal.
    waiting: BTreeMap<(Time, u64), Waiter>,
    /// Time of the last loan request to a peer.
    last_loan_request: Time,
}

/// A queued task. Its sender is closed if the task was cancelled.
#[derive(Debug)]
struct Waiter {
    /// Time by which the task ends.
    end: Time,
    sender: oneshot::Sender<Permit<Host>>,
}

impl PermitQueue {
    pub fn new(now: Time) -> Self {
        PermitQueue {
            account: Account::new(rand::random(), now),
            waiting: BTreeMap::new(),
            last_loan_request: Time::ZERO,
        }
    }

    /// Takes a permit without waiting, unless other tasks are queued already.
    pub fn try_take(&mut self, end: Time, now: Time) -> Option<Permit<Host>> {
        if !self.waiting.is_empty() {
            return None;
        }
        self.account.acquire(end, now)
    }

    pub fn enqueue(
        &mut self,
        due: Time,
        sequence: u64,
        end: Time,
        sender: oneshot::Sender<Permit<Host>>,
    ) {
        self.waiting.insert((due, sequence), Waiter { end, sender });
    }

    /// Grants permits to queued tasks in order, until the account has none left.
    pub fn serve(&mut self, now: Time) {
        while let Some(first) = self.waiting.first_entry() {
            if first.get().sender.is_closed() {
                first.remove();
                continue;
            }
            let Some(permit) = self.account.acquire(first.get().end, now) else {
                return;
            };
            let waiter = first.remove();
            if let Err(unused) = waiter.sender.send(permit) {
                self.account.release(&unused, now);
            }
        }
    }

    /// Returns the number of queued tasks and the time by which the last of them ends, if any task
    /// is queued and the last loan request was made at least `min_interval` ago.
    pub fn loan_request(&mut self, min_interval: Duration, now: Time) -> Option<(u32, Time)> {
        self.waiting.retain(|_, waiter| !waiter.sender.is_closed());
        let end = self.waiting.values().map(|waiter| waiter.end).max()?;
        if now.since(self.last_loan_request) < min_interval {
            return None;
        }
        self.last_loan_request = now;
        Some((self.waiting.len() as u32, end))
    }

    /// Returns whether any queued task was not cancelled.
    pub fn has_waiters(&self) -> bool {
        self.waiting.values().any(|waiter| !waiter.sender.is_closed())
    }

    /// Returns the number of queued tasks, which may include some that were just cancelled.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no task is queued or in flight and nothing is lent.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.account.in_flight() == 0 && self.account.committed() == 0
    }

    pub fn usage(&self) -> AllowanceUse {
        AllowanceUse {
            share: self.account.share(),
            in_flight: self.account.in_flight(),
            waiting: self.waiting.len(),
            borrowed: self.account.borrowed_tasks(),
        }
    }
}
