use super::upstream::UpstreamKey;
use super::{
    Attribution, Estimates, Fairness, Finish, Options, PlacementPolicy, Queue, QueueKey, Rank,
    Shape, Spec, Task, Upstream,
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
    /// Key of a running task within one dispatcher.
    pub struct RunKey;
}

/// Orders the queued tasks of one host and places them on the upstreams that it dispatches to.
#[derive(Debug)]
pub struct Dispatcher<T> {
    options: Options,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_name: HashMap<Name, UpstreamKey>,
    queue: Queue<QueuedTask<T>>,
    /// Sum of the expected run times of the queued tasks.
    backlog: Duration,
    running: SlotMap<RunKey, Running>,
    estimates: Estimates,
    fairness: Fairness,
    attribution: Attribution,
    rng_state: u64,
}

#[derive(Debug)]
struct QueuedTask<T> {
    task: Task,
    /// Expected run time at nominal speed.
    expected: Duration,
    /// Amount charged to the customer's virtual clock, refunded if the task is cancelled.
    charge: Duration,
    payload: T,
}

#[derive(Debug)]
struct Running {
    upstream: UpstreamKey,
    task: Task,
    /// Expected run time at nominal speed.
    expected: Duration,
}

impl<T> Dispatcher<T> {
    /// Creates a dispatcher without upstreams.
    pub fn new(options: Options) -> Self {
        Dispatcher {
            options,
            upstreams: SlotMap::with_key(),
            by_name: HashMap::new(),
            queue: Queue::default(),
            backlog: Duration::ZERO,
            running: SlotMap::with_key(),
            estimates: Estimates::default(),
            fairness: Fairness::default(),
            attribution: Attribution::default(),
            // The state of the generator must not be 0.
            rng_state: options.seed | 1,
        }
    }

    /// Replaces the list of upstreams. `owned` tells to which of them this host dispatches.
    ///
    /// After the first list, an upstream taken over from another host gets no tasks for
    /// [`Options::takeover_delay`], so that its former dispatcher can finish its runs there. An
    /// upstream that is no longer listed gets no new tasks; its runs continue to their end.
    pub fn update(&mut self, listed: &[Spec], owned: impl Fn(&Name) -> bool, now: Time) {
        let first = self.by_name.is_empty();
        let usable_from = if first { now } else { now + self.options.takeover_delay };
        for spec in listed {
            self.update_one(spec, owned(&spec.name), usable_from);
        }
        for upstream in self.upstreams.values_mut() {
            if !listed.iter().any(|spec| spec.name == upstream.spec.name) {
                upstream.owned = false;
            }
        }
        self.remove_unlisted(listed);
    }

    fn update_one(&mut self, spec: &Spec, owned: bool, usable_from: Time) {
        let Some(key) = self.by_name.get(&spec.name) else {
            let upstream = Upstream::new(spec.clone(), owned, usable_from);
            let key = self.upstreams.insert(upstream);
            self.by_name.insert(spec.name.clone(), key);
            return;
        };
        let upstream = &mut self.upstreams[*key];
        if owned && !upstream.owned {
            upstream.usable_from = usable_from;
        }
        upstream.owned = owned;
        upstream.spec = spec.clone();
    }

    /// Removes upstreams that are no longer listed and run nothing.
    fn remove_unlisted(&mut self, listed: &[Spec]) {
        let removable = |upstream: &Upstream| {
            upstream.running() == 0 && !listed.iter().any(|spec| spec.name == upstream.spec.name)
        };
        self.upstreams.retain(|_, upstream| !removable(upstream));
        let upstreams = &self.upstreams;
        self.by_name.retain(|_, key| upstreams.contains_key(*key));
    }

    /// Adds a task to the queue. Returns the payload as the error if the queue is full.
    pub fn enqueue(&mut self, task: Task, payload: T, now: Time) -> Result<QueueKey, T> {
        if self.queue.len() >= self.options.max_queued {
            return Err(payload);
        }
        let expected = self.estimates.expected_run_time(&task.class, task.declared);
        let (rank, charge) = self.rank(&task, expected, now);
        self.backlog += expected;
        let shape = Shape::of(&task.needs);
        let deadline = task.deadline;
        let queued = QueuedTask { task, expected, charge, payload };
        Ok(self.queue.push(rank, shape, deadline, queued))
    }

    /// Returns the task's rank and the amount charged to its customer's virtual clock.
    fn rank(&mut self, task: &Task, expected: Duration, now: Time) -> (Rank, Duration) {
        if self.options.placement != PlacementPolicy::EarliestFinish {
            return (Rank::fifo(task), Duration::ZERO);
        }
        let rate = self.rate(now);
        let charge = self.fairness.charge(&task.customer, expected, rate, now);
        (Rank::of(task, expected, charge.start, rate, &self.options), charge.amount)
    }

    /// Places as many queued tasks as the free capacity allows.
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

    fn start(&mut self, key: QueueKey, at: UpstreamKey, now: Time) -> Option<Assignment<T>> {
        let QueuedTask { task, expected, payload, .. } = self.queue.remove(key)?;
        self.backlog = self.backlog.saturating_sub(expected);
        let needs = task.needs;
        let run = self.running.insert(Running { upstream: at, task, expected });
        let upstream = &mut self.upstreams[at];
        upstream.start(run, expected, needs, now);
        let Spec { name, address, .. } = &upstream.spec;
        Some(Assignment { run, upstream: name.clone(), address: address.clone(), payload })
    }

    /// Records the outcome of a run. Returns whether it caused the ejection of its upstream.
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
                upstream.health.record_success(now);
                self.attribution.record_success(&running.task.customer);
                self.learn(&running, elapsed);
                false
            }
            Finish::Failed => {
                let (customer, at) = (&running.task.customer, running.upstream);
                let max_ejected = self.max_ejected();
                self.attribution.record_failure(customer, at, max_ejected)
                    && self.upstreams[at].health.record_failure(now)
                    && self.try_eject(at, now)
            }
            Finish::Unsent => {
                upstream.health.record_unreachable(now);
                false
            }
            Finish::Abandoned => false,
        }
    }

    fn learn(&mut self, running: &Running, elapsed: Duration) {
        let upstream = &mut self.upstreams[running.upstream];
        let nominal = elapsed.div_f64(upstream.learned_slowness());
        upstream.learn(running.expected, elapsed);
        self.estimates.learn(&running.task, nominal);
    }

    /// Ejects an upstream unless too many are ejected already. Returns whether it is ejected now.
    fn try_eject(&mut self, key: UpstreamKey, now: Time) -> bool {
        let owned = self.owned_count();
        let ejected = self.upstreams.values().filter(|u| u.owned && u.health.is_ejected()).count();
        // The last one that is not ejected stays.
        if ejected >= self.max_ejected() || ejected + 1 >= owned {
            return false;
        }
        self.upstreams[key].health.eject(now);
        true
    }

    /// Number of upstreams that may be ejected at once. With few upstreams the share rounds down to
    /// 0, so at least one may be.
    fn max_ejected(&self) -> usize {
        ((self.owned_count() as f64 * self.options.max_ejected_share) as usize).max(1)
    }

    fn owned_count(&self) -> usize {
        self.upstreams.values().filter(|upstream| upstream.owned).count()
    }

    /// Expected run time of a task on an upstream of nominal speed.
    pub fn expected_run_time(&self, class: &crate::name::Class, declared: Duration) -> Duration {
        self.estimates.expected_run_time(class, declared)
    }

    /// Whether the expected run time comes from a declaration or past runs, not from a default.
    pub fn has_estimate(&self, class: &crate::name::Class, declared: Duration) -> bool {
        self.estimates.has_estimate(class, declared)
    }

    /// All known upstreams, including those that this host does not dispatch to.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Number of queued tasks.
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// Number of running tasks.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }
}
