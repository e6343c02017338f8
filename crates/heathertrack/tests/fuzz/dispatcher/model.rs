use super::event::Event;
use heathertrack::clock::Time;
use heathertrack::dispatch::{
    Assignment, Dispatcher, Finish, Needs, Options, QueueKey, RunKey, Spec, Task,
};
use heathertrack::name::{Class, Customer, Upstream};
use std::collections::BTreeMap;
use std::time::Duration;

pub const UPSTREAMS: usize = 5;
/// Slots of each upstream.
const SLOTS: u32 = 2;

/// State of a task according to the oracle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskState {
    /// Queued under this key, with this deadline.
    Queued(QueueKey, Time),
    /// Running on the upstream with this index.
    Running(RunKey, usize),
    /// Finished, expired, cancelled or given away.
    Ended,
}

/// The dispatcher and the expected state of all its tasks.
pub struct Model {
    /// The payload of a task is its index in `tasks`.
    pub dispatcher: Dispatcher<usize>,
    /// The platform's list of upstreams.
    pub specs: Vec<Spec>,
    /// Whether this host dispatches to each upstream.
    pub owned: Vec<bool>,
    pub tasks: Vec<TaskState>,
    /// Needs of each task.
    pub needs: Vec<Needs>,
    pub now: Time,
}

fn spec(index: usize) -> Spec {
    Spec {
        name: Upstream::new(format!("u{index}")),
        address: format!("127.0.0.1:{index}"),
        slots: SLOTS,
        connections: 64,
        size: Needs { cores: 16, memory_mb: 32_768, accelerators: u32::from(index == 0) },
        leaving: false,
    }
}

fn task(declared_ms: u16, customer: u8, needs: Needs, now: Time, deadline: Time) -> Task {
    let declared = Duration::from_millis(u64::from(declared_ms));
    Task {
        customer: Customer::new(format!("customer-{customer}")),
        class: Class::new("cut-plan"),
        worth: 1.0 + f64::from(customer),
        arrived: now,
        deadline,
        declared,
        needs,
        job_longest: declared,
        job_work: declared,
    }
}

impl Model {
    pub fn new() -> Self {
        let specs: Vec<Spec> = (0..UPSTREAMS).map(spec).collect();
        let mut model = Model {
            dispatcher: Dispatcher::new(Options::default()),
            specs,
            owned: vec![true; UPSTREAMS],
            tasks: Vec::new(),
            needs: Vec::new(),
            now: Time::ZERO,
        };
        model.update();
        model
    }

    /// Passes the list of upstreams to the dispatcher.
    pub fn update(&mut self) {
        let owned = self.owned.clone();
        let index = |name: &Upstream| name.as_str()[1..].parse::<usize>().expect("u and a number");
        self.dispatcher.update(&self.specs, |name| owned[index(name)], self.now);
    }

    /// Applies an event, assigns tasks, and checks the dispatcher against the oracle.
    pub fn apply(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Advance { ms } => self.now = self.now + Duration::from_millis(u64::from(ms)),
            Event::Enqueue { declared_ms, deadline_ms, customer, needs } => {
                let deadline = self.now + Duration::from_millis(u64::from(deadline_ms));
                let task = task(declared_ms, customer, needs, self.now, deadline);
                let key = self.dispatcher.enqueue(task, self.tasks.len(), self.now);
                let key = key.map_err(|_| "the queue is full".to_owned())?;
                self.tasks.push(TaskState::Queued(key, deadline));
                self.needs.push(needs);
            }
            Event::Cancel { which } => self.cancel(which)?,
            Event::End { which, finish } => self.end(which, finish)?,
            Event::Leave { upstream, leaving } => {
                self.specs[upstream].leaving = leaving;
                self.update();
            }
            Event::Own { upstream, owned } => {
                self.owned[upstream] = owned;
                self.update();
            }
            Event::GiveAway { count } => {
                for number in self.dispatcher.take_for_peer(usize::from(count), |_, _| true) {
                    self.leave_queue(number)?;
                }
            }
        }
        self.expire_and_assign()?;
        self.check()
    }

    /// Records that a task left the queue. Returns an error if it was not queued.
    fn leave_queue(&mut self, number: usize) -> Result<(), String> {
        match self.tasks[number] {
            TaskState::Queued(..) => {
                self.tasks[number] = TaskState::Ended;
                Ok(())
            }
            state => Err(format!("task {number} left the queue, but is {state:?}")),
        }
    }

    fn cancel(&mut self, which: usize) -> Result<(), String> {
        let Some(number) = which.checked_rem(self.tasks.len()) else { return Ok(()) };
        let TaskState::Queued(key, _) = self.tasks[number] else { return Ok(()) };
        match self.dispatcher.cancel(key) {
            Some(cancelled) if cancelled == number => self.leave_queue(number),
            other => Err(format!("cancelling task {number} returned {other:?}")),
        }
    }

    /// Ends a running task: `which` modulo the number of running tasks.
    pub fn end(&mut self, which: usize, finish: u8) -> Result<(), String> {
        let running = self.tasks.iter().enumerate().filter_map(|(number, state)| match state {
            TaskState::Running(run, _) => Some((number, *run)),
            _ => None,
        });
        let running: Vec<(usize, RunKey)> = running.collect();
        let Some(at) = which.checked_rem(running.len()) else { return Ok(()) };
        let (number, run) = running[at];
        let finish = match finish {
            0 | 1 => Finish::Failed,
            2 => Finish::Unsent,
            3 => Finish::Abandoned,
            _ => Finish::Succeeded,
        };
        self.dispatcher.finish(run, finish, self.now);
        self.tasks[number] = TaskState::Ended;
        Ok(())
    }

    /// Expires tasks, and starts those that the dispatcher assigns.
    fn expire_and_assign(&mut self) -> Result<(), String> {
        for number in self.dispatcher.expire(self.now) {
            self.leave_queue(number)?;
        }
        for Assignment { run, upstream, payload, .. } in self.dispatcher.assign(self.now) {
            let at = self.specs.iter().position(|spec| spec.name == upstream);
            let at = at.ok_or("an unknown upstream got a task")?;
            if self.specs[at].leaving || !self.owned[at] {
                return Err(format!("{upstream}, which is leaving or not owned, got a task"));
            }
            self.leave_queue(payload)?;
            self.tasks[payload] = TaskState::Running(run, at);
        }
        Ok(())
    }

    /// Checks the limits of the upstreams, the deadlines and the number of queued tasks.
    fn check(&self) -> Result<(), String> {
        let mut task_counts: BTreeMap<usize, u32> = BTreeMap::new();
        let mut used = [Needs::default(); UPSTREAMS];
        let mut queued = 0;
        for (state, needs) in self.tasks.iter().zip(&self.needs) {
            match state {
                TaskState::Running(_, at) => {
                    *task_counts.entry(*at).or_default() += 1;
                    used[*at].cores += needs.cores;
                    used[*at].memory_mb += needs.memory_mb;
                    used[*at].accelerators += needs.accelerators;
                }
                TaskState::Queued(_, deadline) if *deadline <= self.now => {
                    return Err("a task is queued past its deadline".to_owned());
                }
                TaskState::Queued(..) => queued += 1,
                TaskState::Ended => {}
            }
        }
        if task_counts.values().any(|count| *count > SLOTS) {
            return Err("an upstream has more tasks than slots".to_owned());
        }
        if self.specs.iter().zip(&used).any(|(spec, used)| !spec.size.holds(used)) {
            return Err("the tasks on a worker exceed its size".to_owned());
        }
        if queued != self.dispatcher.queued_count() {
            return Err("the number of queued tasks differs from that of the oracle".to_owned());
        }
        let owned = self.dispatcher.upstreams().filter(|upstream| upstream.owned);
        let ejected = owned.filter(|upstream| upstream.health.is_ejected()).count();
        // The limit on ejections applies to new ones only: an upstream that this host takes over
        // again may still be ejected from before.
        if self.owned.iter().all(|owned| *owned) && ejected > UPSTREAMS - 1 {
            return Err("every upstream is ejected".to_owned());
        }
        Ok(())
    }
}
