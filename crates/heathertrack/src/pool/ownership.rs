use crate::membership::rendezvous;
use crate::name::{DataCentre, Host, Upstream};

/// Upstreams that a dispatcher can own for each core that it has. At the peak of the users' load an
/// upstream costs its dispatcher about a thousandth of a core (docs/MEASUREMENTS.md); the rest is
/// left for callers, bursts and takeovers.
const UPSTREAMS_PER_CORE: f64 = 240.0;

/// What a dispatcher's share of a core counts against that of a host that doesn't dispatch yet. A
/// takeover costs up to a lease's time of some upstreams, so hosts that come or return don't bring
/// one about unless they are much larger.
const INCUMBENT: f64 = 1.5;

/// A host that could dispatch.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The host.
    pub host: Host,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Share of a core that it has.
    pub cpu_share: f64,
    /// Whether it dispatches already.
    pub incumbent: bool,
}

impl Candidate {
    fn weight(&self) -> f64 {
        if self.incumbent { self.cpu_share * INCUMBENT } else { self.cpu_share }
    }
}

/// The hosts that dispatch for `upstreams` upstreams of a data centre: as few as carry them, as a
/// queue for many upstreams serves better than several for a few each, and the largest first, those
/// that dispatch already before others.
///
/// `candidates` are the hosts of the data centre that are alive and don't leave; if there are none,
/// all that are alive.
pub fn dispatchers(
    data_centre: &DataCentre,
    upstreams: usize,
    candidates: &[Candidate],
) -> Vec<Host> {
    let mut left: Vec<&Candidate> = candidates.iter().collect();
    let mut chosen = Vec::new();
    let mut carried = 0.0;
    while (chosen.is_empty() || carried < upstreams as f64) && !left.is_empty() {
        let largest = left.iter().map(|c| c.weight()).fold(0.0, f64::max);
        let hosts = left.iter().filter(|c| c.weight() >= largest).map(|c| &c.host);
        let role = format!("dispatcher {data_centre} {}", chosen.len());
        let Some(host) = rendezvous(&role, hosts).cloned() else { break };
        let share = left.iter().find(|c| c.host == host).map_or(0.0, |c| c.cpu_share);
        left.retain(|candidate| candidate.host != host);
        carried += share * UPSTREAMS_PER_CORE;
        chosen.push(host);
    }
    chosen
}

/// The dispatcher that owns an upstream.
pub fn owner<'a>(upstream: &Upstream, dispatchers: &'a [Host]) -> Option<&'a Host> {
    rendezvous(upstream.as_str(), dispatchers)
}
