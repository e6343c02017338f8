//! Orders from hosts to emulated upstreams, with lost answers and late execution.

use super::audit::{Auditor, Origin};
use super::network::{Network, Node};
use super::process::ProcessEnd;
use super::upstream::{EmulatedUpstream, wait_for_end};
use heathertrack::name::Upstream;
use heathertrack::pool::{Listing, StartAnswer, Task};
use heathertrack_platform::{CallError, Poll, StartOrder, UpstreamClient};
use rand::Rng;
use rand::rngs::StdRng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Timeout of an order to start or stop a run, the same as in the daemon.
const ORDER_TIMEOUT: Duration = Duration::from_millis(30);
/// Timeout of a poll, the same as in the daemon, in addition to the wait that it asks for.
const POLL_TIMEOUT: Duration = Duration::from_millis(60);

/// Faults that affect orders.
#[derive(Debug, Default)]
pub struct OrderFaults {
    /// Share of the orders that get no answer and are executed seconds later.
    pub late_share: Cell<f64>,
    /// Paths, from a host to an upstream, on which the next order is executed late.
    pub late_paths: RefCell<BTreeSet<(usize, usize)>>,
    /// Share of the answers that are lost.
    pub lost_answer_share: Cell<f64>,
}

/// All emulated upstreams.
pub type Fleet = Rc<RefCell<Vec<Rc<RefCell<EmulatedUpstream>>>>>;

/// The upstreams as one host reaches them.
#[derive(Clone, Debug)]
pub struct HostUpstreams {
    pub network: Rc<Network>,
    pub host: usize,
    pub fleet: Fleet,
    /// End of the host's process, whose orders these are.
    pub process_end: ProcessEnd,
    pub auditor: Rc<Auditor>,
    pub order_faults: Rc<OrderFaults>,
    pub random: Rc<RefCell<StdRng>>,
    /// Receives the index of each upstream that has started a deadly task.
    pub deadly_starts: UnboundedSender<usize>,
}

impl HostUpstreams {
    fn find(&self, name: &Upstream) -> Option<(usize, Rc<RefCell<EmulatedUpstream>>)> {
        let fleet = self.fleet.borrow();
        let index = fleet.iter().position(|upstream| upstream.borrow().name() == name)?;
        Some((index, fleet[index].clone()))
    }

    /// Returns true with a probability of `share`. For 0 nothing is drawn.
    fn draw_chance(&self, share: f64) -> bool {
        share > 0.0 && self.random.borrow_mut().random_bool(share)
    }

    /// Sends an order to an upstream and returns the answer, or `None` if the connection is refused
    /// or the upstream is unknown. Does not return if the order or its answer is lost.
    ///
    /// `order` executes the order on the upstream. Its further arguments are whether it is executed
    /// late, and the time.
    async fn call<T: 'static>(
        &self,
        name: &Upstream,
        order: impl FnOnce(&mut EmulatedUpstream, bool, Instant) -> T + 'static,
    ) -> Option<T> {
        let (index, upstream) = self.find(name)?;
        let (own, target) = (Node::Host(self.host), Node::Upstream(index));
        self.network.deliver(own, target).await;
        if self.network.is_refusing(own, target) {
            return None;
        }
        let is_other = upstream.borrow().name() != name;
        if upstream.borrow().down || is_other {
            self.network.deliver(target, own).await;
            return None;
        }
        let is_late = self.order_faults.late_paths.borrow_mut().remove(&(self.host, index));
        if is_late || self.draw_chance(self.order_faults.late_share.get()) {
            let delay_s = self.random.borrow_mut().random_range(2.0..12.0);
            // Outside of the host's process, so that it is executed even if the host is killed.
            let late = LateOrder {
                name: name.clone(),
                index,
                upstream,
                process: self.process_end.clone(),
                auditor: self.auditor.clone(),
                delay: Duration::from_secs_f64(delay_s),
            };
            self.network.spawn_detached(late.execute(order));
            return pending().await;
        }
        let origin = Origin { process: self.process_end.clone(), late: false };
        let execute = |upstream: &mut EmulatedUpstream| order(upstream, false, Instant::now());
        let answer = self.auditor.execute(index, &mut upstream.borrow_mut(), &origin, execute);
        if self.draw_chance(self.order_faults.lost_answer_share.get()) {
            pending::<()>().await;
        }
        self.network.deliver(target, own).await;
        Some(answer)
    }
}

/// An order that is executed after a delay.
struct LateOrder {
    /// Upstream that it was given to.
    name: Upstream,
    /// Index of the upstream.
    index: usize,
    upstream: Rc<RefCell<EmulatedUpstream>>,
    /// Process of the host that gave it.
    process: ProcessEnd,
    auditor: Rc<Auditor>,
    delay: Duration,
}

impl LateOrder {
    /// Executes the order, unless the upstream is down or another one has taken its place.
    async fn execute<T: 'static>(
        self,
        order: impl FnOnce(&mut EmulatedUpstream, bool, Instant) -> T + 'static,
    ) {
        sleep(self.delay).await;
        let mut upstream = self.upstream.borrow_mut();
        if upstream.down || *upstream.name() != self.name {
            return;
        }
        let origin = Origin { process: self.process, late: true };
        let execute = |upstream: &mut EmulatedUpstream| order(upstream, true, Instant::now());
        self.auditor.execute(self.index, &mut upstream, &origin, execute);
    }
}

impl UpstreamClient for HostUpstreams {
    async fn start(
        &self,
        _: &str,
        upstream: &Upstream,
        order: &StartOrder,
    ) -> (StartAnswer, Option<u64>) {
        let order = order.clone();
        let index = self.find(upstream).map(|(index, _)| index);
        let deadly_starts = self.deadly_starts.clone();
        let start = move |upstream: &mut EmulatedUpstream, late: bool, now: Instant| {
            let answer = upstream.start(&order.task, order.number, order.lease_end_ms, late, now);
            if answer == StartAnswer::Running && upstream.is_deadly(&order.task) {
                // Fails only after the end of the simulation.
                let _ = index.map(|index| deadly_starts.send(index));
            }
            (answer, Some(upstream.clock_ms(now)))
        };
        match timeout(ORDER_TIMEOUT, self.call(upstream, start)).await {
            Ok(Some(answer)) => answer,
            Ok(None) => (StartAnswer::Unsent, None),
            Err(_) => (StartAnswer::Unknown, None),
        }
    }

    async fn stop(
        &self,
        _: &str,
        upstream: &Upstream,
        task: &Task,
        number: u32,
    ) -> Result<Option<u64>, CallError> {
        let task = task.clone();
        let stop = move |upstream: &mut EmulatedUpstream, _: bool, now: Instant| {
            upstream.stop(&task, number, now);
            upstream.clock_ms(now)
        };
        match timeout(ORDER_TIMEOUT, self.call(upstream, stop)).await {
            Ok(Some(clock_ms)) => Ok(Some(clock_ms)),
            Ok(None) => Err(CallError::Refused("connection refused".to_owned())),
            Err(_) => Err(CallError::ResponseLost("no answer".to_owned())),
        }
    }

    async fn poll(
        &self,
        _: &str,
        upstream: &Upstream,
        request: &Poll,
    ) -> Result<Listing, CallError> {
        let request = *request;
        let poll = async {
            let renew = move |upstream: &mut EmulatedUpstream, _: bool, now: Instant| {
                upstream.renew_and_acknowledge(request.lease_end_ms, request.acknowledged, now);
            };
            let refused = || CallError::Refused("connection refused".to_owned());
            self.call(upstream, renew).await.ok_or_else(refused)?;
            let (index, emulated) = self.find(upstream).ok_or_else(refused)?;
            let incarnation = emulated.borrow().incarnation();
            wait_for_end(&emulated, request.acknowledged, Instant::now() + request.wait).await;
            self.network.deliver(Node::Upstream(index), Node::Host(self.host)).await;
            let (own, target) = (Node::Host(self.host), Node::Upstream(index));
            if emulated.borrow().incarnation() != incarnation
                || self.network.is_refusing(own, target)
            {
                return Err(CallError::ResponseLost("connection closed".to_owned()));
            }
            Ok(emulated.borrow_mut().list(Instant::now()))
        };
        let no_answer = |_| Err(CallError::ResponseLost("no answer".to_owned()));
        timeout(POLL_TIMEOUT + request.wait, poll).await.unwrap_or_else(no_answer)
    }
}

impl Network {
    /// Runs a task independently of the hosts' processes.
    pub fn spawn_detached(&self, task: impl Future<Output = ()> + 'static) {
        self.detached.borrow_mut().push(Box::pin(task));
        self.detached_added.notify_one();
    }

    /// Spawns the tasks given to [`Network::spawn_detached`]. Must not run in a host's process, as
    /// the tasks would be suspended and killed with it.
    pub async fn run_detached(self: Rc<Self>) {
        loop {
            self.detached_added.notified().await;
            let tasks = std::mem::take(&mut *self.detached.borrow_mut());
            for task in tasks {
                spawn_local(task);
            }
        }
    }
}
