use super::fault::Fault;
use super::load::Load;
use heathertrack::pool::Options;
use std::time::Duration;

/// Data centres, hosts and upstreams of a simulation.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Number of data centres.
    pub centres: usize,
    /// Entry hosts in each data centre.
    pub hosts_each: usize,
    /// CPU available to entry hosts in cores, assigned to the hosts in turn.
    pub cpu_shares: Vec<f64>,
    /// Upstreams in each data centre.
    pub upstreams_each: usize,
    /// Relative speeds, assigned to the upstreams in turn.
    pub speeds: Vec<f64>,
    /// CPU capacities in thousandths of a core, assigned to the upstreams in turn.
    pub cpu: Vec<u32>,
    /// One-way delay within a data centre.
    pub near: Duration,
    /// One-way delay between data centres.
    pub far: Duration,
}

impl Site {
    /// Returns the site of the user Virumaa.
    pub fn virumaa() -> Self {
        Site {
            centres: 3,
            hosts_each: 2,
            cpu_shares: vec![0.25],
            upstreams_each: 16,
            speeds: vec![0.6, 1.0, 1.6],
            cpu: vec![16_000, 16_000, 24_000],
            near: Duration::from_micros(100),
            far: Duration::from_micros(1_400),
        }
    }

    /// Returns a site with the same upstreams and a single host, in the data centre of all callers
    /// and upstreams: one queue with complete information.
    pub fn central(&self) -> Self {
        let upstreams_each = self.upstreams();
        // One core for each upstream, far more than dispatching to it takes.
        let cpu_shares = vec![upstreams_each as f64];
        Site { centres: 1, hosts_each: 1, cpu_shares, upstreams_each, ..self.clone() }
    }

    /// Returns the total number of entry hosts.
    pub fn hosts(&self) -> usize {
        self.centres * self.hosts_each
    }

    /// Returns the total number of upstreams.
    pub fn upstreams(&self) -> usize {
        self.centres * self.upstreams_each
    }
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Data centres, hosts and upstreams.
    pub site: Site,
    /// Time during which callers arrive.
    pub length: Duration,
    /// Jobs of the callers.
    pub load: Load,
    /// Faults to inject.
    pub faults: Vec<Fault>,
    /// Options of the dispatchers.
    pub options: Options,
}

impl Plan {
    /// Returns the plan of a simulation of a small site below its capacity, without faults.
    pub fn small(seed: u64) -> Self {
        let site = Site { upstreams_each: 4, ..Site::virumaa() };
        let load = Load { factor: 0.15, ..Load::specified() };
        let length = Duration::from_secs(8);
        Plan { seed, site, length, load, faults: Vec::new(), options: Options::default() }
    }

    /// Returns the plan of a simulation of Virumaa's site with `factor` times the load that the
    /// users specify, without faults.
    pub fn virumaa(seed: u64, factor: f64) -> Self {
        let load = Load { factor, ..Load::specified() };
        let length = Duration::from_secs(20);
        Plan {
            seed,
            site: Site::virumaa(),
            length,
            load,
            faults: Vec::new(),
            options: Options::default(),
        }
    }

    /// Returns the plan of the central baseline, an upper bound for what dispatchers on several
    /// hosts can achieve: one host with one queue for all upstreams, and exact estimates. Faults of
    /// hosts and of paths from or to hosts are dropped.
    pub fn central(mut self) -> Self {
        self.load.estimate_error = 0.0;
        self.faults.retain(|fault| !fault.kind.affects_hosts());
        Plan { site: self.site.central(), ..self }
    }

    /// Replaces the faults by `count` faults drawn from the seed.
    pub fn with_drawn_faults(mut self, count: usize) -> Self {
        self.faults = Fault::draw(self.seed, count, self.length, &self.site);
        self
    }

    /// Replaces the faults by `count` faults of all kinds drawn from the seed.
    pub fn with_dense_faults(mut self, count: usize) -> Self {
        self.faults = Fault::draw_dense(self.seed, count, self.length, &self.site);
        self
    }
}
