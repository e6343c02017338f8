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
    /// Messages from a host to an upstream are lost, or with `back` those from the upstream to the
    /// host.
    CutUpstream { host: usize, upstream: usize, back: bool, span: Duration },
    /// Connections from a host to a share of the upstreams are reset, and refused from then on.
    ResetUpstreams { host: usize, share: f64, span: Duration },
    /// Connections from all hosts to an upstream are reset, and refused from then on. The upstream
    /// runs on.
    ResetUpstream { upstream: usize, span: Duration },
    /// All connections between hosts are reset, and again each second. New ones are accepted.
    ResetAllLinks { span: Duration },
    /// A host's connections to a share of the other hosts are reset, and again each second. New ones
    /// are accepted.
    ResetLinks { host: usize, share: f64, span: Duration },
    /// The connections between two hosts are reset once. New ones are accepted.
    ResetLink { one: usize, other: usize },
    /// A data centre is partitioned from all others and from the store.
    CutCentre { centre: usize, span: Duration },
    /// A share of the orders to upstreams gets no answer and is executed seconds later.
    LateOrders { share: f64, span: Duration },
    /// The next order from a host to an upstream gets no answer and is executed seconds later.
    LateOrder { host: usize, upstream: usize },
    /// A share of the answers to orders is lost. The orders are executed.
    LostAnswers { share: f64, span: Duration },
    /// An upstream crashes, and starts again under the same name after `down`.
    Crash { upstream: usize, down: Duration },
    /// An upstream crashes, and starts again under the same name after `down`. Its record shows the
    /// new process after another `delay`.
    Restart { upstream: usize, down: Duration, delay: Duration },
    /// An upstream drains for `notice`, then is removed for `gap` and replaced by another process,
    /// under a new name if `renamed` is set.
    Replace { upstream: usize, notice: Duration, gap: Duration, renamed: bool },
    /// An upstream's time of day is stepped by `step_ms` milliseconds. Only the time at which its
    /// next process says that it has started depends on it.
    StepClock { upstream: usize, step_ms: i64 },
    /// All runs that an upstream starts fail.
    Failing { upstream: usize, span: Duration },
    /// All runs that an upstream starts stall.
    Hanging { upstream: usize, span: Duration },
    /// Runs that an upstream starts take `factor` times as long.
    Slow { upstream: usize, factor: f64, span: Duration },
    /// An upstream drains for `after`, then is removed for `after` and comes back.
    Drain { upstream: usize, after: Duration },
    /// An upstream is partitioned from the store alone: its record is removed for `span`.
    LoseRecord { upstream: usize, span: Duration },
    /// The operators evacuate a data centre, and take it back after `span`.
    Evacuate { centre: usize, span: Duration },
    /// A host is partitioned from the store alone.
    CutFromStore { host: usize, span: Duration },
    /// The store discards its history.
    Compact,
    /// The store answers a host with its content at the begin of the fault.
    StaleReads { host: usize, span: Duration },
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

    /// Draws `count` faults as [`Self::draw`] does, half of them of further kinds. A step of a clock
    /// comes with a restart that shows it.
    pub fn draw_dense(seed: u64, count: usize, length: Duration, site: &Site) -> Vec<Fault> {
        let mut random = StdRng::seed_from_u64(seed ^ DENSE_FAULT_SEED);
        let mut draw = |_| {
            let at = length.mul_f64(random.random_range(0.05..0.8));
            let kinds = draw_dense_kinds(&mut random, site);
            kinds.into_iter().map(move |(after, kind)| Fault { at: at + after, kind })
        };
        let mut faults: Vec<Fault> = (0..count).flat_map(&mut draw).collect();
        faults.sort_by_key(|fault| fault.at);
        faults
    }
}

impl Fault {
    /// Draws single events around records that expire, from 5% to 30% of `length` on: `records`
    /// upstreams of one data centre are partitioned from the store within 2.5 s of each other, so that
    /// upstreams pass from host to host, and `others` further events hit the hosts of that data
    /// centre, their links, their view of the store or their paths to upstreams.
    pub fn draw_handovers(
        seed: u64,
        records: usize,
        others: usize,
        length: Duration,
        site: &Site,
    ) -> Vec<Fault> {
        let mut random = StdRng::seed_from_u64(seed ^ HANDOVER_SEED);
        let begin = length.mul_f64(random.random_range(0.05..0.3));
        let centre = random.random_range(0..site.centres);
        let first = centre * site.upstreams_each;
        let cut: Vec<usize> =
            (0..records).map(|_| first + random.random_range(0..site.upstreams_each)).collect();
        let mut faults: Vec<Fault> = Vec::new();
        for upstream in &cut {
            let at = begin + Duration::from_millis(random.random_range(0..2_500));
            let span = Duration::from_millis(random.random_range(500..5_000));
            faults.push(Fault { at, kind: FaultKind::LoseRecord { upstream: *upstream, span } });
        }
        for _ in 0..others {
            let at = begin + Duration::from_millis(random.random_range(0..5_000));
            let upstream = cut[random.random_range(0..cut.len())];
            let kind = draw_single_event(&mut random, centre, upstream, site);
            faults.push(Fault { at, kind });
        }
        faults.sort_by_key(|fault| fault.at);
        faults
    }
}

/// Draws an event that hits one host of a data centre, one of its links, or its path to an upstream.
fn draw_single_event(
    random: &mut StdRng,
    centre: usize,
    upstream: usize,
    site: &Site,
) -> FaultKind {
    let first = centre * site.hosts_each;
    let host = first + random.random_range(0..site.hosts_each);
    let neighbour = random.random_range(1..site.hosts_each.max(2));
    let other = first + (host - first + neighbour) % site.hosts_each;
    // Up to about twice the time after which hosts give each other up.
    let moment = Duration::from_millis(random.random_range(20..800));
    let span = Duration::from_millis(random.random_range(100..4_000));
    let back = random.random();
    match random.random_range(0..12) {
        0..3 => FaultKind::StaleReads { host, span },
        3 => FaultKind::CutUpstream { host, upstream, back, span },
        4 => FaultKind::CutUpstream { host, upstream, back, span: moment },
        5 | 6 => FaultKind::CutUpstreams { host, share: 1.0, back, span },
        7 => FaultKind::CutHosts { from: host, to: other, span: moment },
        8 => FaultKind::ResetLink { one: host, other },
        9 => FaultKind::Freeze { host, span: moment },
        10 => FaultKind::LateOrder { host, upstream },
        _ => FaultKind::Stop { host },
    }
}

/// Returns the kinds of faults that one draw stands for, each with the time from the drawn one.
/// [`draw_kind`] draws half of them; the others are those of connections and of upstreams that
/// restart or are replaced.
fn draw_dense_kinds(random: &mut StdRng, site: &Site) -> Vec<(Duration, FaultKind)> {
    let kind = draw_kind(random, site);
    let host = random.random_range(0..site.hosts());
    let upstream = random.random_range(0..site.upstreams());
    let share = random.random_range(0.2..1.0);
    let span = Duration::from_millis(random.random_range(100..3_500));
    // Shorter than the pause between two polls of an idle upstream.
    let down = Duration::from_millis(random.random_range(200..1_500));
    let delay = Duration::from_millis(random.random_range(0..2_000));
    let notice = Duration::from_millis(random.random_range(50..1_500));
    let gap = Duration::from_millis(random.random_range(500..4_000));
    let step_ms = random.random_range(-60_000..60_000);
    let renamed = random.random();
    let restart = FaultKind::Restart { upstream, down, delay };
    let kinds = match random.random_range(0..14) {
        0 => vec![FaultKind::ResetAllLinks { span }],
        1 => vec![FaultKind::ResetLinks { host, share, span }],
        2 | 3 => vec![FaultKind::Replace { upstream, notice, gap, renamed }],
        4 => vec![restart],
        5 => vec![FaultKind::StepClock { upstream, step_ms }, restart],
        6 => vec![FaultKind::ResetUpstream { upstream, span }],
        _ => vec![kind],
    };
    let later = |index: usize| span.mul_f64(index as f64);
    kinds.into_iter().enumerate().map(|(index, kind)| (later(index), kind)).collect()
}

/// Makes the draws of faults differ from the other draws of a simulation with the same seed.
const FAULT_SEED: u64 = 0x5eed;
/// Like [`FAULT_SEED`], for [`Fault::draw_dense`].
const DENSE_FAULT_SEED: u64 = 0xde45e;
/// Like [`FAULT_SEED`], for [`Fault::draw_handovers`].
const HANDOVER_SEED: u64 = 0x4a2d;

/// What a fault affects.
enum Target {
    /// A host, or paths from or to it.
    Host(usize),
    /// The path from one host to another.
    Hosts(usize, usize),
    /// The path between a host and an upstream.
    Path(usize, usize),
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
            | FaultKind::StaleReads { host, .. }
            | FaultKind::CutFromStore { host, .. }
            | FaultKind::ResetUpstreams { host, .. }
            | FaultKind::ResetLinks { host, .. } => Target::Host(host),
            FaultKind::CutHosts { from, to, .. } => Target::Hosts(from, to),
            FaultKind::ResetLink { one, other } => Target::Hosts(one, other),
            FaultKind::CutUpstream { host, upstream, .. }
            | FaultKind::LateOrder { host, upstream } => Target::Path(host, upstream),
            FaultKind::CutCentre { centre, .. } | FaultKind::Evacuate { centre, .. } => {
                Target::Centre(centre)
            }
            FaultKind::KillAll { .. }
            | FaultKind::StoreDown { .. }
            | FaultKind::Compact
            | FaultKind::ResetAllLinks { .. } => Target::AllHosts,
            FaultKind::ResetUpstream { upstream, .. }
            | FaultKind::Crash { upstream, .. }
            | FaultKind::Restart { upstream, .. }
            | FaultKind::Replace { upstream, .. }
            | FaultKind::StepClock { upstream, .. }
            | FaultKind::LoseRecord { upstream, .. }
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
            Target::Host(_)
            | Target::Hosts(..)
            | Target::Path(..)
            | Target::Centre(_)
            | Target::AllHosts => true,
            Target::Upstream(_) | Target::Any => false,
        }
    }

    /// Returns whether the site has the hosts, upstreams and data centres of this fault.
    pub fn is_valid_for(&self, site: &Site) -> bool {
        match self.target() {
            Target::Host(host) => host < site.hosts(),
            Target::Hosts(from, to) => from != to && from.max(to) < site.hosts(),
            Target::Path(host, upstream) => host < site.hosts() && upstream < site.upstreams(),
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
