//! Faults that are injected into a simulation, and their times.

use super::plan::Site;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// What goes wrong in a simulation. Hosts, upstreams and data centres are numbered from zero.
/// `span` is the duration of the fault, `down` the time until the process runs again, `share` is
/// between zero and one.
#[expect(missing_docs, reason = "the fields are described above")]
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// A host's process is killed, and starts again after `down`.
    Kill { host: usize, down: Duration },
    /// A host loses power: its connections are not closed, so no other host is notified.
    Power { host: usize, down: Duration },
    /// All hosts are killed at once.
    KillAll { down: Duration },
    /// A host's process is suspended.
    Freeze { host: usize, span: Duration },
    /// A host is shut down gracefully, and starts again shortly after.
    Stop { host: usize },
    /// A host is shut down gracefully, is killed after `after`, before it has stopped, and starts
    /// again after `down`.
    KillWhileStopping { host: usize, after: Duration, down: Duration },
    /// A host is partitioned from all other hosts, but not from upstreams and the store.
    IsolateHost { host: usize, span: Duration },
    /// Messages from one host to another are lost.
    CutHosts { from: usize, to: usize, span: Duration },
    /// Messages from a host to a share of the upstreams are lost, or with `back` those from the
    /// upstreams to the host.
    CutUpstreams { host: usize, share: f64, back: bool, span: Duration },
    /// Connections from a host to a share of the upstreams are reset, and refused from then on.
    ResetUpstreams { host: usize, share: f64, span: Duration },
    /// Connections from all hosts to an upstream are reset, and refused from then on. The upstream
    /// runs on.
    ResetUpstream { upstream: usize, span: Duration },
    /// A data centre is partitioned from all others and from the store.
    CutCentre { centre: usize, span: Duration },
    /// A share of the orders to upstreams gets no answer and is executed seconds later.
    LateOrders { share: f64, span: Duration },
    /// A share of the answers to orders is lost. The orders are executed.
    LostAnswers { share: f64, span: Duration },
    /// An upstream crashes, and starts again under the same name after `down`.
    Crash { upstream: usize, down: Duration },
    /// All runs that an upstream starts fail.
    Failing { upstream: usize, span: Duration },
    /// All runs that an upstream starts stall.
    Hanging { upstream: usize, span: Duration },
    /// Runs that an upstream starts take `factor` times as long.
    Slow { upstream: usize, factor: f64, span: Duration },
    /// An upstream drains for `after`, then is removed for `after` and comes back.
    Drain { upstream: usize, after: Duration },
    /// The store answers all calls with an error.
    StoreDown { span: Duration },
    /// The rate at which callers arrive is multiplied by `factor`.
    Burst { factor: f64, span: Duration },
    /// A share of the callers disconnects before the answer, instead of the usual share.
    Leaving { share: f64, span: Duration },
    /// A share of the jobs has a task that crashes each upstream that starts it. The upstream is
    /// back after some seconds.
    Deadly { share: f64, span: Duration },
}

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Time since the first callers may arrive.
    pub at: Duration,
    /// What goes wrong.
    pub kind: FaultKind,
}

impl Fault {
    /// Draws `count` faults at times between 5% and 80% of `length`, in order of time.
    pub fn draw(seed: u64, count: usize, length: Duration, site: &Site) -> Vec<Fault> {
        let mut random = StdRng::seed_from_u64(seed ^ FAULT_SEED);
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| Fault {
                at: length.mul_f64(random.random_range(0.05..0.8)),
                kind: draw_kind(&mut random, site),
            })
            .collect();
        faults.sort_by_key(|fault| fault.at);
        faults
    }
}

/// Makes the draws of faults differ from the other draws of a simulation with the same seed.
const FAULT_SEED: u64 = 0x5eed;

/// What a fault affects.
enum Target {
    /// A host, or paths from or to it.
    Host(usize),
    /// The path from one host to another.
    Hosts(usize, usize),
    /// The hosts of a data centre, and their paths to others.
    Centre(usize),
    /// All hosts.
    AllHosts,
    /// An upstream.
    Upstream(usize),
    /// Orders or callers, at any host.
    Any,
}

impl FaultKind {
    fn target(&self) -> Target {
        match *self {
            FaultKind::Kill { host, .. }
            | FaultKind::Power { host, .. }
            | FaultKind::Freeze { host, .. }
            | FaultKind::Stop { host }
            | FaultKind::KillWhileStopping { host, .. }
            | FaultKind::IsolateHost { host, .. }
            | FaultKind::CutUpstreams { host, .. }
            | FaultKind::ResetUpstreams { host, .. } => Target::Host(host),
            FaultKind::CutHosts { from, to, .. } => Target::Hosts(from, to),
            FaultKind::CutCentre { centre, .. } => Target::Centre(centre),
            FaultKind::KillAll { .. } | FaultKind::StoreDown { .. } => Target::AllHosts,
            FaultKind::ResetUpstream { upstream, .. }
            | FaultKind::Crash { upstream, .. }
            | FaultKind::Failing { upstream, .. }
            | FaultKind::Hanging { upstream, .. }
            | FaultKind::Slow { upstream, .. }
            | FaultKind::Drain { upstream, .. } => Target::Upstream(upstream),
            FaultKind::LateOrders { .. }
            | FaultKind::LostAnswers { .. }
            | FaultKind::Burst { .. }
            | FaultKind::Leaving { .. }
            | FaultKind::Deadly { .. } => Target::Any,
        }
    }

    /// Returns whether the fault affects hosts, or paths from or to hosts. An outage of the store
    /// counts as one that affects all hosts.
    pub fn affects_hosts(&self) -> bool {
        match self.target() {
            Target::Host(_) | Target::Hosts(..) | Target::Centre(_) | Target::AllHosts => true,
            Target::Upstream(_) | Target::Any => false,
        }
    }

    /// Returns whether the site has the hosts, upstreams and data centres of this fault.
    pub fn is_valid_for(&self, site: &Site) -> bool {
        match self.target() {
            Target::Host(host) => host < site.hosts(),
            Target::Hosts(from, to) => from != to && from.max(to) < site.hosts(),
            Target::Centre(centre) => centre < site.centres,
            Target::Upstream(upstream) => upstream < site.upstreams(),
            Target::AllHosts | Target::Any => true,
        }
    }
}

fn draw_kind(random: &mut StdRng, site: &Site) -> FaultKind {
    let host = random.random_range(0..site.hosts());
    let other = (host + random.random_range(1..site.hosts().max(2))) % site.hosts();
    let upstream = random.random_range(0..site.upstreams());
    let span = Duration::from_millis(random.random_range(300..5_000));
    let down = Duration::from_millis(random.random_range(300..3_500));
    let share = random.random_range(0.02..0.5);
    match random.random_range(0..20) {
        0 => FaultKind::Kill { host, down },
        1 => FaultKind::Power { host, down },
        2 => FaultKind::KillAll { down },
        3 | 4 => FaultKind::Freeze { host, span },
        5 => FaultKind::Stop { host },
        6 | 7 => FaultKind::CutHosts { from: host, to: other, span },
        8 | 9 => FaultKind::CutUpstreams { host, share: 1.0, back: random.random(), span },
        10 => FaultKind::CutCentre { centre: random.random_range(0..site.centres), span },
        11 => FaultKind::LateOrders { share: share / 2.0, span },
        12 => FaultKind::LostAnswers { share: share / 2.0, span },
        13 => FaultKind::Crash { upstream, down },
        14 => FaultKind::Hanging { upstream, span },
        15 => FaultKind::Drain { upstream, after: span },
        16 => FaultKind::StoreDown { span },
        17 | 18 => FaultKind::ResetUpstreams { host, share: 1.0, span },
        _ => FaultKind::Leaving { share, span },
    }
}
