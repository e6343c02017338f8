//! What goes wrong, and when.

use super::plan::Site;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Something that goes wrong. Hosts, upstreams and data centres are named by number; `span` and
/// `down` say how long it lasts, `share` is between zero and one.
#[expect(missing_docs, reason = "the fields are told above")]
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// A host's process is killed and starts again after a while.
    Kill { host: usize, down: Duration },
    /// A host loses power: nothing tells the others.
    Power { host: usize, down: Duration },
    /// All hosts are killed at once.
    KillAll { down: Duration },
    /// A host is suspended.
    Freeze { host: usize, span: Duration },
    /// A host is stopped as planned, and starts again.
    Stop { host: usize },
    /// Nothing gets from one host to another.
    CutHosts { from: usize, to: usize, span: Duration },
    /// Nothing gets from a host to some upstreams, or back.
    CutUpstreams { host: usize, share: f64, back: bool, span: Duration },
    /// Connections from a host to some upstreams are reset, and new ones refused.
    ResetUpstreams { host: usize, share: f64, span: Duration },
    /// A data centre is cut off from all others and the store.
    CutCentre { centre: usize, span: Duration },
    /// A share of the orders is answered by nobody and carried out seconds later.
    LateOrders { share: f64, span: Duration },
    /// A share of the answers to orders is lost.
    LostAnswers { share: f64, span: Duration },
    /// An upstream is down for a while, and starts anew under its name.
    Crash { upstream: usize, down: Duration },
    /// All that an upstream starts fails.
    Failing { upstream: usize, span: Duration },
    /// All that an upstream starts stands still.
    Hanging { upstream: usize, span: Duration },
    /// An upstream takes some times as long.
    Slow { upstream: usize, factor: f64, span: Duration },
    /// An upstream drains, and is gone after a while.
    Drain { upstream: usize, after: Duration },
    /// The store answers nobody.
    StoreDown { span: Duration },
    /// Some times as many callers come.
    Burst { factor: f64, span: Duration },
    /// A share of the callers leaves before its answer.
    Leaving { share: f64, span: Duration },
}

/// Trouble at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Since the start of the callers.
    pub at: Duration,
    /// What happens.
    pub trouble: Trouble,
}

impl Fault {
    /// Draws some faults within a span.
    pub fn draw(seed: u64, count: usize, length: Duration, site: &Site) -> Vec<Fault> {
        let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| Fault {
                at: length.mul_f64(random.random_range(0.05..0.8)),
                trouble: draw(&mut random, site),
            })
            .collect();
        faults.sort_by_key(|fault| fault.at);
        faults
    }
}

/// What a fault strikes.
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
    /// Orders or callers, wherever they are.
    Any,
}

impl Trouble {
    fn target(&self) -> Target {
        match *self {
            Trouble::Kill { host, .. }
            | Trouble::Power { host, .. }
            | Trouble::Freeze { host, .. }
            | Trouble::Stop { host }
            | Trouble::CutUpstreams { host, .. }
            | Trouble::ResetUpstreams { host, .. } => Target::Host(host),
            Trouble::CutHosts { from, to, .. } => Target::Hosts(from, to),
            Trouble::CutCentre { centre, .. } => Target::Centre(centre),
            Trouble::KillAll { .. } | Trouble::StoreDown { .. } => Target::AllHosts,
            Trouble::Crash { upstream, .. }
            | Trouble::Failing { upstream, .. }
            | Trouble::Hanging { upstream, .. }
            | Trouble::Slow { upstream, .. }
            | Trouble::Drain { upstream, .. } => Target::Upstream(upstream),
            Trouble::LateOrders { .. }
            | Trouble::LostAnswers { .. }
            | Trouble::Burst { .. }
            | Trouble::Leaving { .. } => Target::Any,
        }
    }

    /// Whether it strikes hosts, or paths between hosts and something else.
    pub fn is_of_hosts(&self) -> bool {
        match self.target() {
            Target::Host(_) | Target::Hosts(..) | Target::Centre(_) | Target::AllHosts => true,
            Target::Upstream(_) | Target::Any => false,
        }
    }

    /// Whether the hosts, upstreams and data centres that it names are there.
    pub fn fits(&self, site: &Site) -> bool {
        match self.target() {
            Target::Host(host) => host < site.hosts(),
            Target::Hosts(from, to) => from != to && from.max(to) < site.hosts(),
            Target::Centre(centre) => centre < site.centres,
            Target::Upstream(upstream) => upstream < site.upstreams(),
            Target::AllHosts | Target::Any => true,
        }
    }
}

fn draw(random: &mut StdRng, site: &Site) -> Trouble {
    let host = random.random_range(0..site.hosts());
    let other = (host + random.random_range(1..site.hosts().max(2))) % site.hosts();
    let upstream = random.random_range(0..site.upstreams());
    let span = Duration::from_millis(random.random_range(300..5_000));
    let down = Duration::from_millis(random.random_range(300..3_500));
    let share = random.random_range(0.02..0.5);
    match random.random_range(0..20) {
        0 => Trouble::Kill { host, down },
        1 => Trouble::Power { host, down },
        2 => Trouble::KillAll { down },
        3 | 4 => Trouble::Freeze { host, span },
        5 => Trouble::Stop { host },
        6 | 7 => Trouble::CutHosts { from: host, to: other, span },
        8 | 9 => Trouble::CutUpstreams { host, share: 1.0, back: random.random(), span },
        10 => Trouble::CutCentre { centre: random.random_range(0..site.centres), span },
        11 => Trouble::LateOrders { share: share / 2.0, span },
        12 => Trouble::LostAnswers { share: share / 2.0, span },
        13 => Trouble::Crash { upstream, down },
        14 => Trouble::Hanging { upstream, span },
        15 => Trouble::Drain { upstream, after: span },
        16 => Trouble::StoreDown { span },
        17 | 18 => Trouble::ResetUpstreams { host, share: 1.0, span },
        _ => Trouble::Leaving { share, span },
    }
}
