use crate::membership::rendezvous;
use crate::name::{DataCentre, Host, Upstream};
use std::time::Duration;

/// Number of upstreams that a dispatcher can own per core. At the peak of the users' load an
/// upstream costs its dispatcher about a thousandth of a core (docs/MEASUREMENTS.md), so these take
/// about a quarter of it; the rest is reserved for callers, bursts and takeovers.
const UPSTREAMS_PER_CORE: f64 = 240.0;

/// Factor by which the CPU share of a current dispatcher counts more than that of another host. A
/// takeover makes some upstreams unavailable for up to the duration of a lease, so a host that
/// joins or returns causes one only if it is much larger.
const INCUMBENT_FACTOR: f64 = 1.5;

/// Time for which a host that has just read of the other hosts waits for links to them before it
/// dispatches, because it could wrongly take itself for the only live host.
const STARTUP_GRACE: Duration = Duration::from_millis(250);
/// The same for a host that is as large as any other known one of its data centre. It would be
/// chosen anyway, unless another such host dispatches already: links to live hosts are up by then.
const LARGEST_STARTUP_GRACE: Duration = Duration::from_millis(30);

/// A host that can be chosen as a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The host.
    pub host: Host,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// CPU available to the host, in cores.
    pub cpu_share: f64,
    /// Whether it is a dispatcher already.
    pub incumbent: bool,
}

impl Candidate {
    fn weight(&self) -> f64 {
        if self.incumbent { self.cpu_share * INCUMBENT_FACTOR } else { self.cpu_share }
    }
}

/// Returns the hosts that dispatch for `upstreams` upstreams of a data centre. They are few, because
/// one queue for many upstreams serves better than several queues for a few each.
///
/// Hosts are added in descending order of CPU share, where that of a current dispatcher counts
/// `INCUMBENT_FACTOR` times, until they can own all upstreams or no candidate is left. At least
/// one is returned if there is a candidate.
///
/// `candidates` are the hosts of the data centre that are alive and not leaving. If it has had none
/// for some time, they are hosts of other data centres.
pub fn choose_dispatchers(
    data_centre: &DataCentre,
    upstreams: usize,
    candidates: &[Candidate],
) -> Vec<Host> {
    let mut remaining: Vec<&Candidate> = candidates.iter().collect();
    let mut chosen = Vec::new();
    let mut ownable_upstreams = 0.0;
    while (chosen.is_empty() || ownable_upstreams < upstreams as f64) && !remaining.is_empty() {
        let largest = remaining.iter().map(|c| c.weight()).fold(0.0, f64::max);
        let hosts = remaining.iter().filter(|c| c.weight() >= largest).map(|c| &c.host);
        // Among the hosts of the largest weight, the hash of this role decides. All hosts hash the
        // same text and so choose the same dispatchers.
        let role = format!("dispatcher {data_centre} {}", chosen.len());
        let Some(host) = rendezvous(&role, hosts).cloned() else { break };
        let cpu_share = remaining.iter().find(|c| c.host == host).map_or(0.0, |c| c.cpu_share);
        remaining.retain(|candidate| candidate.host != host);
        ownable_upstreams += cpu_share * UPSTREAMS_PER_CORE;
        chosen.push(host);
    }
    chosen
}

/// Returns how long after its first read of the other hosts a host with links missing waits before
/// it dispatches.
/// `neighbours` are the CPU shares of the known hosts of its data centre, alive or not.
///
/// Addresses the load pattern "all hosts start within a second": callers wait until the first host
/// dispatches, and a small one that begins would soon hand over to a larger one.
pub fn startup_grace(cpu_share: f64, neighbours: impl IntoIterator<Item = f64>) -> Duration {
    let is_largest = neighbours.into_iter().all(|other| other <= cpu_share);
    if is_largest { LARGEST_STARTUP_GRACE } else { STARTUP_GRACE }
}

/// Returns the dispatcher that owns an upstream; `None` without dispatchers.
pub fn owner<'a>(upstream: &Upstream, dispatchers: &'a [Host]) -> Option<&'a Host> {
    rendezvous(upstream.as_str(), dispatchers)
}
