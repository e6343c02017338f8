use heathertrack::dispatch::Objective;
use std::str::FromStr;
use std::time::Duration;

/// Whose installation is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Setup {
    Virumaa,
    Dongbaek,
}

impl FromStr for Setup {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "virumaa" => Ok(Setup::Virumaa),
            "dongbaek" => Ok(Setup::Dongbaek),
            _ => Err("must be virumaa or dongbaek".to_owned()),
        }
    }
}

impl Setup {
    pub fn name(self) -> &'static str {
        match self {
            Setup::Virumaa => "virumaa",
            Setup::Dongbaek => "dongbaek",
        }
    }

    /// What the order is meant to make small.
    pub fn objective(self) -> Objective {
        match self {
            Setup::Virumaa => Objective::Response,
            Setup::Dongbaek => Objective::Worth,
        }
    }

    /// One way between a client and an entry host.
    pub fn client_latency(self) -> Duration {
        match self {
            Setup::Virumaa => Duration::from_millis(1),
            Setup::Dongbaek => Duration::from_millis(3),
        }
    }

    /// Cores and memory of a worker.
    pub fn worker(self) -> (u32, u32) {
        match self {
            Setup::Virumaa => (16, 32_768),
            Setup::Dongbaek => (64, 131_072),
        }
    }
}

/// Data centres, as in the brief.
pub const DATA_CENTRES: usize = 3;
/// Entry hosts in each: 6 of the brief's 6 to 9.
pub const HOSTS_EACH: usize = 2;
/// Upstreams in each: 51 of the brief's about 50.
pub const UPSTREAMS_EACH: usize = 17;
/// Slots of each, as in the brief.
pub const SLOTS: u32 = 8;
/// The slowest upstream is this many times slower than the fastest.
pub const SPREAD: f64 = 4.0;
/// Way to an upstream and back, within a data centre.
pub const UPSTREAM_ROUND_TRIP: Duration = Duration::from_micros(400);

/// Slowness of each upstream of a data centre, evenly spread between 1 and [`SPREAD`].
pub fn slowness(index: usize) -> f64 {
    let place = index as f64 / (UPSTREAMS_EACH - 1) as f64;
    SPREAD.powf(place)
}

/// Accelerators of each upstream of a data centre: only one has any, four of them.
pub fn accelerators(index: usize) -> u32 {
    if index == 4 { 4 } else { 0 }
}

/// Ordinary seconds of work that all upstreams do in a second.
pub fn capacity() -> f64 {
    let each: f64 = (0..UPSTREAMS_EACH).map(|i| f64::from(SLOTS) / slowness(i)).sum();
    each * DATA_CENTRES as f64
}
