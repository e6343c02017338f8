use super::upstream::UpstreamKey;
use super::{
    Choice, Estimates, Fairness, Finish, Options, Queue, Rank, Shape, Spec, Task, Upstream, WaitKey,
};
use crate::clock::Time;
use crate::name::Upstream as Name;
use slotmap::SlotMap;
use std::collections::HashMap;
use std::time::Duration;

mod assignment;
mod leave;
mod load;
mod pick;

pub use assignment::Assignment;

slotmap::new_key_type! {
    /// Names a running task in one dispatcher.
    pub struct RunKey;
}

/// Orders the waiting tasks of one host and places them on the upstreams that it dispatches to.
#[derive(Debug)]
pub struct Dispatcher<T> {
    options: Options,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_name: HashMap<Name, UpstreamKey>,
    waiting: Queue<Waiting<T>>,
    backlog: Duration,
    running: SlotMap<RunKey, Running>,
    estimates: Estimates,
    fairness: Fairness,
    draws: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    task: Task,
    expected: Duration,
    /// What its customer was charged for its turn.
    charge: Duration,
    payload: T,
}

#[derive(Debug)]
struct Running {
    upstream: UpstreamKey,
    task: Task,
    expected: Duration,
}

impl<T> Dispatcher<T> {
    /// A dispatcher without upstreams.
    pub fn new(options: Options) -> Self {
        Dispatcher {
            options,
            upstreams: SlotMap::with_key(),
            by_name: HashMap::new(),
            waiting: Queue::default(),
            backlog: Duration::ZERO,
            running: SlotMap::with_key(),
            estimates: Estimates::default(),
            fairness: Fairness::default(),
            draws: options.seed | 1,
        }
    }

    /// Takes a new list of upstreams, and which of them this host dispatches to.
    ///
    /// One that was not dispatched to from here settles first, so that its former host can end
    /// what it has there. One that is no longer listed gets nothing new; what runs there ends.
    pub fn update(&mut self, listed: &[Spec], owned: impl Fn(&Name) -> bool, now: Time) {
        let first = self.by_name.is_empty();
        let settled_at = if first { now } else { now + self.options.settle };
        for spec in listed {
            self.update_one(spec, owned(&spec.name), settled_at);
        }
        for upstream in self.upstreams.values_mut() {
            if !listed.iter().any(|spec| spec.name == upstream.spec.name) {
                upstream.owned = false;
            }
        }
        self.forget_idle(listed);
    }

    fn update_one(&mut self, spec: &Spec, owned: bool, settled_at: Time) {
        let Some(key) = self.by_name.get(&spec.name) else {
            let upstream = Upstream::new(spec.clone(), owned, settled_at);
            let key = self.upstreams.insert(upstream);
            self.by_name.insert(spec.name.clone(), key);
            return;
        };
        let upstream = &mut self.upstreams[*key];
        if owned && !upstream.owned {
            upstream.settled_at = settled_at;
        }
        upstream.owned = owned;
        upstream.spec = spec.clone();
    }

    fn forget_idle(&mut self, listed: &[Spec]) {
        let gone = |upstream: &Upstream| {
            upstream.running() == 0 && !listed.iter().any(|spec| spec.name == upstream.spec.name)
        };
        self.upstreams.retain(|_, upstream| !gone(upstream));
        let upstreams = &self.upstreams;
        self.by_name.retain(|_, key| upstreams.contains_key(*key));
    }

    /// Adds a task to the queue, or gives it back when the queue is full.
    pub fn enqueue(&mut self, task: Task, payload: T, now: Time) -> Result<WaitKey, T> {
        if self.waiting.len() >= self.options.waiting {
            return Err(payload);
        }
        let expected = self.estimates.expect(&task.class, task.declared);
        let (rank, charge) = self.rank(&task, expected, now);
        self.backlog += expected;
        let shape = Shape::of(&task.needs);
        let deadline = task.deadline;
        let waiting = Waiting { task, expected, charge, payload };
        Ok(self.waiting.push(rank, shape, deadline, waiting))
    }

    /// The task's rank, and what its customer is charged for its turn.
    fn rank(&mut self, task: &Task, expected: Duration, now: Time) -> (Rank, Duration) {
        if self.options.choice != Choice::EarliestFinish {
            return (Rank::fifo(task), Duration::ZERO);
        }
        let rate = self.rate(now);
        let turn = self.fairness.turn(&task.customer, expected, rate, now);
        (Rank::of(task, expected, turn.begin, rate, &self.options), turn.charge)
    }

    /// Places as many waiting tasks as there is room for.
    pub fn assign(&mut self, now: Time) -> Vec<Assignment<T>> {
        let mut assignments = Vec::new();
        while let Some((key, upstream)) = self.pick(now) {
            let Some(assignment) = self.start(key, upstream, now) else {
                break;
            };
            assignments.push(assignment);
        }
        assignments
    }

    fn start(&mut self, key: WaitKey, at: UpstreamKey, now: Time) -> Option<Assignment<T>> {
        let Waiting { task, expected, payload, .. } = self.waiting.remove(key)?;
        self.backlog = self.backlog.saturating_sub(expected);
        let needs = task.needs;
        let run = self.running.insert(Running { upstream: at, task, expected });
        let upstream = &mut self.upstreams[at];
        upstream.start(run, expected, needs, now);
        let Spec { name, address, .. } = &upstream.spec;
        Some(Assignment { run, upstream: name.clone(), address: address.clone(), payload })
    }

    /// Notes how a running task ended. Returns whether its upstream was ejected for it.
    pub fn finish(&mut self, run: RunKey, finish: Finish, now: Time) -> bool {
        let Some(running) = self.running.remove(run) else {
            return false;
        };
        let Some(upstream) = self.upstreams.get_mut(running.upstream) else {
            return false;
        };
        let Some(elapsed) = upstream.end(run, now) else {
            return false;
        };
        match finish {
            Finish::Succeeded => {
                upstream.health.succeed(now);
                self.learn(&running, elapsed);
                false
            }
            Finish::Failed => {
                let ought = upstream.health.fail(now);
                ought && self.eject(running.upstream, now)
            }
            Finish::Unsent => {
                upstream.health.miss(now);
                false
            }
            Finish::Abandoned => false,
        }
    }

    fn learn(&mut self, running: &Running, elapsed: Duration) {
        let upstream = &mut self.upstreams[running.upstream];
        let ordinary = elapsed.div_f64(upstream.learned_slowness());
        upstream.learn(running.expected, elapsed);
        self.estimates.learn(&running.task, ordinary);
    }

    fn eject(&mut self, key: UpstreamKey, now: Time) -> bool {
        let owned = self.upstreams.values().filter(|upstream| upstream.owned).count();
        let out = self.upstreams.values().filter(|u| u.owned && u.health.is_out()).count();
        // At least one may go, or a host with few upstreams could eject none; never the last one.
        let most = ((owned as f64 * self.options.ejected_share) as usize).max(1);
        if out >= most || out + 1 >= owned {
            return false;
        }
        self.upstreams[key].health.eject(now);
        true
    }

    /// Expected time of a task on an upstream of ordinary speed.
    pub fn expect(&self, class: &crate::name::Class, declared: Duration) -> Duration {
        self.estimates.expect(class, declared)
    }

    /// Whether a task's time is declared or learned, not guessed.
    pub fn knows(&self, class: &crate::name::Class, declared: Duration) -> bool {
        self.estimates.knows(class, declared)
    }

    /// The upstreams known here.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Tasks waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Tasks running.
    pub fn running(&self) -> usize {
        self.running.len()
    }
}
