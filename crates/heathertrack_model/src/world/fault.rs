//! Injection of faults, and their end.

use super::{STOP_GRACE, World, centre_name};
use crate::fault::{Fault, FaultKind};
use crate::network::Node;
use crate::process::Process;
use crate::upstream::Misbehaviour;
use heathertrack::name::Upstream;
use heathertrack::pool::upstream::Record;
use heathertrack_platform::DecodedItem;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// Time from the start of a deadly task to the crash of its upstream.
const DEADLY_DELAY: Duration = Duration::from_millis(15);
/// Time between resets of connections between hosts.
const RESET_INTERVAL: Duration = Duration::from_secs(1);
/// Time until an upstream that crashed under a deadly task runs again.
const DEADLY_DOWN_TIME: Duration = Duration::from_secs(3);

/// Injects a fault at its time, and ends it after its duration.
pub(super) async fn inject(world: Rc<World>, fault: Fault) {
    sleep(fault.at).await;
    match fault.kind {
        FaultKind::Kill { host, down } => world.kill(&[host], /* power: */ false, down).await,
        FaultKind::Power { host, down } => world.kill(&[host], /* power: */ true, down).await,
        FaultKind::KillAll { down } => {
            let all: Vec<usize> = (0..world.plan.site.hosts()).collect();
            world.kill(&all, /* power: */ false, down).await;
        }
        FaultKind::Freeze { host, span } => world.suspend(host, span).await,
        FaultKind::Stop { host } => world.stop(host).await,
        FaultKind::KillWhileStopping { host, after, down } => {
            // The stop ends with its process.
            spawn_local({
                let world = world.clone();
                async move { world.begin_stop(host).await }
            });
            sleep(after).await;
            world.kill(&[host], /* power: */ false, down).await;
        }
        FaultKind::IsolateHost { host, span } => {
            let others = (0..world.plan.site.hosts()).filter(|other| *other != host);
            let both = |other| {
                let (one, other) = (Node::Host(host), Node::Host(other));
                [(one, other), (other, one)]
            };
            let paths: Vec<_> = others.flat_map(both).collect();
            world.partition(&paths, span).await;
        }
        FaultKind::CutHosts { from, to, span } => {
            world.partition(&[(Node::Host(from), Node::Host(to))], span).await;
        }
        FaultKind::CutUpstreams { host, share, back, span } => {
            let directed = |(from, to)| if back { (to, from) } else { (from, to) };
            let paths: Vec<_> = world.paths(host, share).map(directed).collect();
            world.partition(&paths, span).await;
        }
        FaultKind::CutUpstream { host, upstream, back, span } => {
            let (own, target) = (Node::Host(host), Node::Upstream(upstream));
            let path = if back { (target, own) } else { (own, target) };
            world.partition(&[path], span).await;
        }
        FaultKind::ResetUpstreams { host, share, span } => {
            let set = |refusing| {
                world
                    .paths(host, share)
                    .for_each(|(from, to)| world.network.set_refusing(from, to, refusing));
            };
            world.mark_disturbed(host);
            set(true);
            sleep(span).await;
            set(false);
            world.mark_disturbed(host);
        }
        FaultKind::ResetUpstream { upstream, span } => world.reset_upstream(upstream, span).await,
        FaultKind::ResetAllLinks { span } => world.reset_links(|_, _| true, span).await,
        FaultKind::ResetLinks { host, share, span } => {
            let count = ((world.plan.site.hosts() - 1) as f64 * share).ceil() as usize;
            let others = (0..world.plan.site.hosts()).filter(|other| *other != host);
            let others: Vec<Node> = others.take(count).map(Node::Host).collect();
            let is_reset = |one, other| one == Node::Host(host) && others.contains(&other);
            world.reset_links(is_reset, span).await;
        }
        FaultKind::ResetLink { one, other } => {
            world.mark_disturbed(one);
            world.mark_disturbed(other);
            let ends = (Node::Host(one), Node::Host(other));
            world.network.reset_connections(|from, to| (from, to) == ends);
        }
        FaultKind::CutCentre { centre, span } => world.partition_centre(centre, span).await,
        FaultKind::LateOrders { share, span } => {
            set_for(&world.order_faults.late_share, share, 0.0, span).await;
        }
        FaultKind::LateOrder { host, upstream } => {
            world.order_faults.late_paths.borrow_mut().insert((host, upstream));
        }
        FaultKind::LostAnswers { share, span } => {
            set_for(&world.order_faults.lost_answer_share, share, 0.0, span).await;
        }
        FaultKind::Crash { upstream, down } => {
            world.restart_upstream(upstream, down, Duration::ZERO).await;
        }
        FaultKind::Restart { upstream, down, delay } => {
            world.restart_upstream(upstream, down, delay).await;
        }
        FaultKind::Replace { upstream, notice, gap, renamed } => {
            world.replace_upstream(upstream, notice, gap, renamed).await;
        }
        FaultKind::StepClock { upstream, step_ms } => {
            let upstream = world.fleet.borrow()[upstream].clone();
            upstream.borrow_mut().time_of_day_step_ms += step_ms;
        }
        FaultKind::Failing { upstream, span } => {
            let failing = Misbehaviour { fails_runs: true, ..Misbehaviour::default() };
            world.misbehave(upstream, failing, span).await;
        }
        FaultKind::Hanging { upstream, span } => {
            let stalling = Misbehaviour { stalls_runs: true, ..Misbehaviour::default() };
            world.misbehave(upstream, stalling, span).await;
        }
        FaultKind::Slow { upstream, factor, span } => {
            let slow = Misbehaviour { slowdown: factor - 1.0, ..Misbehaviour::default() };
            world.misbehave(upstream, slow, span).await;
        }
        FaultKind::Drain { upstream, after } => world.drain(upstream, after).await,
        FaultKind::LoseRecord { upstream, span } => {
            let record = world.fleet.borrow()[upstream].borrow().record.clone();
            world.store.remove_upstream(&record.name);
            sleep(span).await;
            world.store.put(DecodedItem::Upstream(record));
        }
        FaultKind::Evacuate { centre, span } => {
            world.store.put(DecodedItem::Evacuation(centre_name(centre)));
            sleep(span).await;
            world.store.remove_evacuation(&centre_name(centre));
        }
        FaultKind::CutFromStore { host, span } => {
            let (own, store) = (Node::Host(host), Node::Store);
            world.partition(&[(own, store), (store, own)], span).await;
        }
        FaultKind::Compact => world.store.compact(),
        FaultKind::StaleReads { host, span } => {
            world.store.freeze_view(host);
            sleep(span).await;
            world.store.restore_view(host);
        }
        FaultKind::StoreDown { span } => {
            world.store.down.set(true);
            sleep(span).await;
            world.store.down.set(false);
        }
        FaultKind::Burst { factor, span } => set_for(&world.caller_factor, factor, 1.0, span).await,
        FaultKind::Leaving { share, span } => {
            set_for(&world.leaving_share, share, world.plan.load.leaving_share, span).await;
        }
        FaultKind::Deadly { share, span } => {
            set_for(&world.deadly_share, share, 0.0, span).await;
        }
    }
}

/// Crashes each upstream that starts a deadly task, shortly after the start.
pub(super) async fn crash_upstreams(
    world: Rc<World>,
    mut deadly_started: UnboundedReceiver<usize>,
) {
    while let Some(upstream) = deadly_started.recv().await {
        let kind = FaultKind::Crash { upstream, down: DEADLY_DOWN_TIME };
        spawn_local(inject(world.clone(), Fault { at: DEADLY_DELAY, kind }));
    }
}

/// Sets a value for a time, then sets it to `default`.
async fn set_for(cell: &Cell<f64>, value: f64, default: f64, span: Duration) {
    cell.set(value);
    sleep(span).await;
    cell.set(default);
}

impl World {
    /// Kills hosts, as by a loss of power if `power` is set, and starts them again after `down`.
    async fn kill(&self, hosts: &[usize], power: bool, down: Duration) {
        for host in hosts {
            self.mark_disturbed(*host);
            if power {
                self.network.set_powered_off(Node::Host(*host), true);
            }
            let process = self.machines.borrow()[*host].process.clone();
            process.kill();
        }
        sleep(down).await;
        for host in hosts {
            self.network.set_powered_off(Node::Host(*host), false);
            if self.machines.borrow()[*host].process.is_killed() {
                self.start_host(*host);
            }
        }
    }

    async fn suspend(&self, host: usize, span: Duration) {
        let process = self.machines.borrow()[host].process.clone();
        self.mark_disturbed(host);
        process.set_suspended(true);
        sleep(span).await;
        process.set_suspended(false);
        self.mark_disturbed(host);
    }

    async fn stop(&self, host: usize) {
        let Some(process) = self.begin_stop(host).await else { return };
        process.kill();
        sleep(Duration::from_millis(300)).await;
        self.start_host(host);
    }

    /// Shuts a host down and returns its process once it has stopped, or at the end of its grace
    /// period.
    async fn begin_stop(&self, host: usize) -> Option<Process> {
        let (process, entry) = {
            let mut machines = self.machines.borrow_mut();
            let machine = &mut machines[host];
            machine.stopping = true;
            (machine.process.clone(), machine.entry.borrow().clone())
        };
        let entry = entry?;
        let stopped = process.spawn(async move { entry.stop().await });
        // A host that does not stop within its grace period is killed.
        let _ = timeout(STOP_GRACE, stopped).await;
        Some(process)
    }

    /// Returns the paths from a host to a share of the upstreams.
    fn paths(&self, host: usize, share: f64) -> impl Iterator<Item = (Node, Node)> + use<> {
        let count = (self.plan.site.upstreams() as f64 * share).ceil() as usize;
        (0..count).map(move |upstream| (Node::Host(host), Node::Upstream(upstream)))
    }

    async fn partition(&self, paths: &[(Node, Node)], span: Duration) {
        for (from, to) in paths {
            self.network.set_partitioned(*from, *to, true);
        }
        for node in paths.iter().flat_map(|(from, to)| [from, to]) {
            if let Node::Host(host) = node {
                self.mark_disturbed(*host);
            }
        }
        sleep(span).await;
        for (from, to) in paths {
            self.network.set_partitioned(*from, *to, false);
        }
    }

    /// Resets the connections of all hosts to an upstream for a time. Missing answers are not
    /// attributed to it.
    async fn reset_upstream(&self, upstream: usize, span: Duration) {
        let set = |refusing| {
            for host in 0..self.plan.site.hosts() {
                let (from, to) = (Node::Host(host), Node::Upstream(upstream));
                self.network.set_refusing(from, to, refusing);
            }
        };
        set(true);
        sleep(span).await;
        set(false);
    }

    /// Resets the connections between the selected pairs of hosts, until `span` has passed.
    async fn reset_links(&self, is_reset: impl Fn(Node, Node) -> bool, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.network.reset_connections(&is_reset);
            sleep(RESET_INTERVAL).await;
        }
    }

    /// Crashes an upstream and starts it again after `down`. Its record follows after `delay`.
    async fn restart_upstream(&self, upstream: usize, down: Duration, delay: Duration) {
        let upstream = self.fleet.borrow()[upstream].clone();
        upstream.borrow_mut().crash(Instant::now());
        upstream.borrow_mut().down = true;
        sleep(down).await;
        // The start of a new incarnation, whose clock begins at zero.
        upstream.borrow_mut().crash(Instant::now());
        upstream.borrow_mut().down = false;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        self.store.put(DecodedItem::Upstream(upstream.borrow().record.clone()));
    }

    async fn partition_centre(&self, centre: usize, span: Duration) {
        let hosts = (0..self.plan.site.hosts()).map(Node::Host);
        let upstreams = (0..self.plan.site.upstreams()).map(Node::Upstream);
        let nodes: Vec<Node> = hosts.chain(upstreams).chain([Node::Store]).collect();
        let inside = |node: &Node| self.network.centre(*node) == Some(centre);
        let mut paths = Vec::new();
        for one in nodes.iter().filter(|node| inside(node)) {
            for other in nodes.iter().filter(|node| !inside(node)) {
                paths.push((*one, *other));
                paths.push((*other, *one));
            }
        }
        self.partition(&paths, span).await;
    }

    async fn misbehave(&self, upstream: usize, misbehaviour: Misbehaviour, span: Duration) {
        let upstream = self.fleet.borrow()[upstream].clone();
        upstream.borrow_mut().misbehaviour = misbehaviour;
        sleep(span).await;
        upstream.borrow_mut().misbehaviour = Misbehaviour::default();
    }

    /// Drains an upstream for `after`, removes it for as long, and registers it again.
    async fn drain(&self, upstream: usize, after: Duration) {
        let upstream = self.fleet.borrow()[upstream].clone();
        let record = Record { draining: true, ..upstream.borrow().record.clone() };
        self.store.put(DecodedItem::Upstream(record.clone()));
        sleep(after).await;
        upstream.borrow_mut().crash(Instant::now());
        upstream.borrow_mut().down = true;
        self.store.remove_upstream(&record.name);
        sleep(after).await;
        upstream.borrow_mut().down = false;
        let record = upstream.borrow().record.clone();
        self.store.put(DecodedItem::Upstream(record));
    }

    /// Drains an upstream for `notice`, removes it for `gap`, and registers another process in its
    /// place, under a new name if `renamed` is set.
    async fn replace_upstream(
        &self,
        upstream: usize,
        notice: Duration,
        gap: Duration,
        renamed: bool,
    ) {
        let upstream = self.fleet.borrow()[upstream].clone();
        let leaving = Record { draining: true, ..upstream.borrow().record.clone() };
        self.store.put(DecodedItem::Upstream(leaving.clone()));
        sleep(notice).await;
        upstream.borrow_mut().crash(Instant::now());
        upstream.borrow_mut().down = true;
        self.store.remove_upstream(&leaving.name);
        sleep(gap).await;
        upstream.borrow_mut().crash(Instant::now());
        if renamed {
            // Another fault may have brought the record back.
            self.store.remove_upstream(upstream.borrow().name());
            let name =
                Upstream::new(format!("{}-{}", leaving.name, upstream.borrow().incarnation()));
            upstream.borrow_mut().record.name = name;
        }
        upstream.borrow_mut().down = false;
        let record = upstream.borrow().record.clone();
        self.store.put(DecodedItem::Upstream(record));
    }
}
