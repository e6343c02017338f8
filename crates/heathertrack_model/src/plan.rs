use super::fault::Fault;
use super::load::Load;
use heathertrack::pool::Options;
use std::time::Duration;

/// The machines of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Data centres.
    pub centres: usize,
    /// Entry hosts of each.
    pub hosts_each: usize,
    /// Share of a core of an entry host.
    pub cpu_share: f64,
    /// Upstreams of each data centre.
    pub upstreams_each: usize,
    /// Speeds of the upstreams, by turns.
    pub speeds: Vec<f64>,
    /// Thousandths of a core of the upstreams, by turns.
    pub cpu: Vec<u32>,
    /// One-way delay within a data centre.
    pub near: Duration,
    /// One-way delay between data centres.
    pub far: Duration,
}

impl Site {
    /// Virumaa's deployment.
    pub fn virumaa() -> Self {
        Site {
            centres: 3,
            hosts_each: 2,
            cpu_share: 0.25,
            upstreams_each: 16,
            speeds: vec![0.6, 1.0, 1.6],
            cpu: vec![16_000, 16_000, 24_000],
            near: Duration::from_micros(100),
            far: Duration::from_micros(1_400),
        }
    }

    /// The same upstreams in the hands of one host that is as near to each caller and upstream as
    /// any: one queue that knows everything at once.
    pub fn central(&self) -> Self {
        let upstreams_each = self.upstreams();
        let cpu_share = upstreams_each as f64;
        Site { centres: 1, hosts_each: 1, cpu_share, upstreams_each, ..self.clone() }
    }

    /// Entry hosts in all.
    pub fn hosts(&self) -> usize {
        self.centres * self.hosts_each
    }

    /// Upstreams in all.
    pub fn upstreams(&self) -> usize {
        self.centres * self.upstreams_each
    }
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Decides all that is drawn.
    pub seed: u64,
    /// The machines.
    pub site: Site,
    /// How long callers come.
    pub length: Duration,
    /// What they ask for.
    pub load: Load,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// Figures of the dispatchers.
    pub options: Options,
}

impl Plan {
    /// A few machines with a load that leaves room, and no faults.
    pub fn small(seed: u64) -> Self {
        let site = Site { upstreams_each: 4, ..Site::virumaa() };
        let load = Load { factor: 0.15, ..Load::sheet() };
        let length = Duration::from_secs(8);
        Plan { seed, site, length, load, faults: Vec::new(), options: Options::default() }
    }

    /// Virumaa's machines under some times the load of its sheet, without faults.
    pub fn virumaa(seed: u64, factor: f64) -> Self {
        let load = Load { factor, ..Load::sheet() };
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

    /// The bound that no dispatcher of several hosts can beat: one queue for all upstreams, with
    /// exact estimates. Faults of hosts and of paths between them are left out.
    pub fn central(mut self) -> Self {
        self.load.error = 0.0;
        self.faults.retain(|fault| !fault.trouble.is_of_hosts());
        Plan { site: self.site.central(), ..self }
    }

    /// The same with some faults that the seed draws.
    pub fn troubled(mut self, count: usize) -> Self {
        self.faults = Fault::draw(self.seed, count, self.length, &self.site);
        self
    }
}
